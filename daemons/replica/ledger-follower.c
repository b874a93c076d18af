/*
 * ledger-follower.c: receives the leader's records at a backup.
 */
#include "ledger-follower.h"

#include "core/group/leader-connect.h"
#include "runtime/clock.h"
#include "runtime/log.h"

/* Timeout for connecting to the leader, us.  Longer than the 1 s after which backups replace an unresponsive
 * leader. */
#define CONNECT_TIMEOUT_US (1200 * 1000)

struct _QuinceLedgerFollower
{
  /* All fields belong to the main context. */
  const QuinceLedgerMember *self;                 /* borrowed */
  const char *zone;                               /* borrowed */
  QuinceLedgerStorage *storage;                   /* borrowed */
  QuinceBatchLog *log;                            /* borrowed from the storage */
  QuinceLedgerGroup *group;                       /* borrowed */
  const QuinceLedgerFollowerCallbacks *callbacks; /* borrowed */
  gpointer user_data;

  QuinceLink *link;         /* owned; NULL: none; may still be connecting */
  char *address;            /* owned: address of the leader; NULL: none */
  gboolean was_connected;   /* the current link was connected */
  gboolean leader_accepted; /* an append message was accepted on the current link */
  gboolean loss_logged;     /* the loss of the leader was logged, and no append message was accepted since */
  QuinceLeaderAttempt last_attempt;
};

QuinceLedgerFollower *
quince_ledger_follower_new (const QuinceLedgerMember *self,
                            const char *zone,
                            QuinceLedgerStorage *storage,
                            QuinceLedgerGroup *group,
                            const QuinceLedgerFollowerCallbacks *callbacks,
                            gpointer user_data)
{
  QuinceLedgerFollower *follower = g_new0 (QuinceLedgerFollower, 1);
  follower->self = self;
  follower->zone = zone;
  follower->storage = storage;
  follower->log = quince_ledger_storage_get_log (storage);
  follower->group = group;
  follower->callbacks = callbacks;
  follower->user_data = user_data;
  return follower;
}

void
quince_ledger_follower_stop (QuinceLedgerFollower *follower)
{
  if (follower->link != NULL)
    quince_link_close (follower->link);
  g_clear_pointer (&follower->link, quince_link_unref);
  g_clear_pointer (&follower->address, g_free);
}

void
quince_ledger_follower_free (QuinceLedgerFollower *follower)
{
  if (follower == NULL)
    return;
  quince_ledger_follower_stop (follower);
  g_free (follower);
}

QuinceLink *
quince_ledger_follower_get_leader_link (const QuinceLedgerFollower *follower)
{
  gboolean connected = follower->link != NULL && quince_link_is_connected (follower->link);
  return connected ? follower->link : NULL;
}

gboolean
quince_ledger_follower_has_input (const QuinceLedgerFollower *follower)
{
  return follower->link != NULL && quince_link_has_input (follower->link);
}

/* Drops a link that is down.  A later quince_ledger_follower_update_link() connects again. */
static void
handle_link_loss (QuinceLedgerFollower *follower)
{
  if (!follower->loss_logged)
    quince_log_warning ("dependency_lost", "what=ledger_primary address=%s", follower->address);
  follower->loss_logged = TRUE;
  g_clear_pointer (&follower->link, quince_link_unref);
  follower->callbacks->leader_disconnected (follower->user_data);
}

/* ---- Records ------------------------------------------------------------ */

/* Logs the first accepted append message of the link.  A connected link alone does not show that the other
 * end leads: a replica that does not lead accepts links and closes them. */
static void
record_leader_accepted (QuinceLedgerFollower *follower)
{
  if (follower->leader_accepted)
    return;
  follower->leader_accepted = TRUE;
  follower->loss_logged = FALSE;
  quince_log_info ("dependency_regained", "what=ledger_primary address=%s", follower->address);
}

/* @promised_epoch: the greater epoch that this replica has promised, if it refuses the append for that
 * reason; 0 otherwise */
static void
send_ack (QuinceLedgerFollower *follower, const QuinceLedgerAppend *append, guint64 promised_epoch)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_ACK };
  QuinceLedgerAck *ack = &message.QuinceMessage_u.ledger_ack;
  ack->epoch = append->epoch;
  ack->replica = follower->self->replica;
  ack->last_index = append->held_index;
  ack->echo_us = append->sent_us;
  ack->promised = promised_epoch;
  quince_link_send (follower->link, &message);
}

/* Answers a refused append if a later epoch was promised.  Other refused appends get no answer. */
static void
refuse_append (QuinceLedgerFollower *follower, const QuinceLedgerAppend *append)
{
  guint64 promised_epoch = quince_ledger_group_get_persistent_state (follower->group)->promised;
  if (promised_epoch > append->epoch)
    send_ack (follower, append, promised_epoch);
}

/* Applies the append to the log on disk.  Returns %FALSE if the write failed, which is logged. */
static gboolean
apply_append (QuinceLedgerFollower *follower, const QuinceLedgerAppend *append)
{
  /* Records of earlier epochs past the end of the leader's log were never committed. */
  guint64 last_index = quince_batch_log_get_last_index (follower->log);
  gboolean has_stale_records = last_index > append->end_index
                               && quince_batch_log_get_epoch (follower->log, last_index) < append->epoch;
  if (append->entries.entries_len == 0 && !append->reset && !has_stale_records)
    return TRUE;
  g_autoptr (GError) error = NULL;
  if (quince_ledger_storage_append (follower->storage, append->entries.entries_val,
                                    append->entries.entries_len, append->reset, append->end_index,
                                    append->commit_index, &error))
    return TRUE;
  quince_log_failure ("ledger_disk_failed", "doing=append reason=\"%s\"", error->message);
  return FALSE;
}

/* Returns whether the leader assumes records that this log lacks.  It may have sent them on this link before
 * this replica accepted its epoch, so that they were refused. */
static gboolean
has_gap (const QuinceLedgerFollower *follower, const QuinceLedgerAppend *append)
{
  guint64 last_index = append->reset ? 0 : quince_batch_log_get_last_index (follower->log);
  if (append->entries.entries_len > 0)
    return append->entries.entries_val[0].index > last_index + 1;
  return append->held_index > last_index;
}

/* Closes the link.  The hello message of the next one tells the leader where this log ends. */
static void
close_for_rejoin (QuinceLedgerFollower *follower)
{
  quince_link_close (follower->link);
  quince_leader_connect_record_end (&follower->last_attempt, FALSE);
  handle_link_loss (follower);
}

static void
handle_append (QuinceLedgerFollower *follower, const QuinceLedgerAppend *append)
{
  if (append->replica != follower->self->replica)
    return;
  if (!quince_ledger_group_accept_leader (follower->group, quince_now_us (), append->epoch))
    {
      refuse_append (follower, append);
      return;
    }
  /* An acknowledgement would count this log towards a quorum for records that it does not have. */
  if (has_gap (follower, append))
    {
      close_for_rejoin (follower);
      return;
    }
  record_leader_accepted (follower);
  /* The promise is saved first: a replica that has acknowledged a record must not follow an older epoch, even
   * after a restart. */
  if (quince_ledger_storage_save_state (follower->storage, "follow") && apply_append (follower, append))
    send_ack (follower, append, 0);
}

/* ---- The link ----------------------------------------------------------- */

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLedgerFollower *follower = data;
  if (message->kind == QUINCE_MESSAGE_LEDGER_APPEND && link == follower->link)
    handle_append (follower, &message->QuinceMessage_u.ledger_append);
  else if (link == follower->link)
    follower->callbacks->other_message (link, message, follower->user_data);
  quince_message_free (message);
}

static void
link_connected (QuinceLink *link, gpointer data)
{
  QuinceLedgerFollower *follower = data;
  follower->was_connected = TRUE;
  const QuinceLogEnd end = quince_ledger_storage_get_log_end (follower->storage);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_HELLO };
  QuinceLedgerHello *hello = &message.QuinceMessage_u.ledger_hello;
  hello->member = *follower->self;
  hello->zone = (char *)follower->zone;
  hello->last_index = end.index;
  hello->last_epoch = end.epoch;
  hello->commit_index = MIN (quince_batch_log_get_commit_index (follower->log), end.index);
  hello->commit_epoch = quince_batch_log_get_epoch (follower->log, hello->commit_index);
  quince_link_send (link, &message);
  follower->callbacks->leader_connected (link, follower->user_data);
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLedgerFollower *follower = data;
  quince_leader_connect_record_end (&follower->last_attempt,
                                    follower->was_connected && !follower->leader_accepted);
  handle_link_loss (follower);
  /* The leader may have been elected after it refused this link. */
  quince_ledger_follower_update_link (follower);
}

static const QuinceLinkCallbacks link_callbacks
    = { .connected = link_connected, .message = link_message, .closed = link_closed };

/* Returns: (transfer none) (nullable): the leader to follow, or %NULL if none is known or this replica is not
 * a backup */
static const QuinceLedgerMember *
find_leader_to_follow (const QuinceLedgerFollower *follower)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (follower->group);
  const QuinceLedgerMember *leader = view != NULL ? quince_ledger_view_find (view, view->primary) : NULL;
  gboolean is_backup = quince_ledger_group_get_role (follower->group) == QUINCE_LEDGER_BACKUP;
  return is_backup && leader != NULL && leader->replica != follower->self->replica ? leader : NULL;
}

void
quince_ledger_follower_update_link (QuinceLedgerFollower *follower)
{
  const QuinceLedgerMember *leader = find_leader_to_follow (follower);
  if (leader == NULL || g_strcmp0 (leader->address, follower->address) != 0)
    {
      quince_ledger_follower_stop (follower);
      follower->last_attempt = (QuinceLeaderAttempt){ 0 };
    }
  if (leader == NULL)
    return;
  guint64 epoch = quince_ledger_group_get_view (follower->group)->epoch;
  gint64 now_us = quince_now_us ();
  gboolean connect_timed_out = follower->link != NULL && !quince_link_is_connected (follower->link)
                               && now_us - follower->last_attempt.started_us > CONNECT_TIMEOUT_US;
  if (connect_timed_out)
    quince_ledger_follower_stop (follower);
  if (follower->link != NULL || !quince_leader_connect_is_due (&follower->last_attempt, now_us, epoch))
    return;
  g_free (follower->address);
  follower->address = g_strdup (leader->address);
  follower->was_connected = follower->leader_accepted = FALSE;
  quince_leader_connect_record_start (&follower->last_attempt, now_us, epoch);
  follower->link = quince_link_connect (leader->address, &link_callbacks, follower);
}
