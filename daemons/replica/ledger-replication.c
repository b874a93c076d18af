/*
 * ledger-replication.c: the backups connected to a leader.
 */
#include "ledger-replication.h"

#include "core/group/replica-list.h"
#include "runtime/clock.h"
#include "runtime/log.h"

struct _QuinceLedgerReplication
{
  /* All fields belong to the main context. */
  QuinceBatchLog *log;      /* borrowed */
  QuinceLedgerGroup *group; /* borrowed */
  gboolean several_regions;
  guint quorum;

  guint64 epoch;       /* epoch that this replica leads; 0: none */
  GHashTable *backups; /* replica id to QuinceLedgerBackup, owned */
  guint64 last_serial; /* serial of the last added backup; 0: none */

  char **allowed_nodes;         /* machines that may store records; NULL: all */
  gboolean allowed_nodes_known; /* the allowed nodes were set since this replica started to lead */
  gboolean recovered;           /* this leader has read its log */
};

QuinceLedgerReplication *
quince_ledger_replication_new (QuinceBatchLog *log,
                               QuinceLedgerGroup *group,
                               gboolean several_regions,
                               guint quorum)
{
  QuinceLedgerReplication *replication = g_new0 (QuinceLedgerReplication, 1);
  replication->log = log;
  replication->group = group;
  replication->several_regions = several_regions;
  replication->quorum = quorum;
  replication->backups
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)quince_ledger_backup_free);
  return replication;
}

static void
remove_all_backups (QuinceLedgerReplication *replication)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, replication->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    quince_link_close (((QuinceLedgerBackup *)value)->link);
  g_hash_table_remove_all (replication->backups);
}

void
quince_ledger_replication_free (QuinceLedgerReplication *replication)
{
  if (replication == NULL)
    return;
  remove_all_backups (replication);
  g_hash_table_unref (replication->backups);
  g_strfreev (replication->allowed_nodes);
  g_free (replication);
}

void
quince_ledger_replication_start_leading (QuinceLedgerReplication *replication, guint64 epoch)
{
  remove_all_backups (replication);
  replication->epoch = epoch;
}

void
quince_ledger_replication_set_recovered (QuinceLedgerReplication *replication)
{
  replication->recovered = TRUE;
}

void
quince_ledger_replication_stop_leading (QuinceLedgerReplication *replication, gboolean forget_allowed_nodes)
{
  remove_all_backups (replication);
  replication->epoch = 0;
  replication->recovered = FALSE;
  if (forget_allowed_nodes)
    replication->allowed_nodes_known = FALSE;
}

/* ---- Recipients of records ---------------------------------------------- */

static void
clear_backup (QuinceLedgerReplication *replication, QuinceLedgerBackup *backup)
{
  gint64 now_us = quince_now_us ();
  quince_ledger_group_peer_cleared (replication->group, backup->replica, now_us);
  quince_ledger_backup_clear_records (backup, replication->epoch, now_us);
}

static void
update_backup (QuinceLedgerReplication *replication, QuinceLedgerBackup *backup, gboolean is_recipient)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (replication->group);
  /* A member of an outstanding view counts, since commits may rely on its records. */
  gboolean is_member = quince_ledger_group_is_in_any_view (replication->group, backup->replica);
  gboolean is_excluded = replication->allowed_nodes != NULL
                         && !g_strv_contains ((const char *const *)replication->allowed_nodes, backup->node);
  /* Until the log is read and the allowed nodes are set, it is unknown which machines may store records.  A
   * view of fewer members than a quorum dates from the first start and has no records to protect. */
  gboolean allowed_nodes_unknown = replication->several_regions
                                   && !(replication->recovered && replication->allowed_nodes_known)
                                   && view->members.members_len >= replication->quorum;
  /* An earlier leader allowed a backup with records to have them.  Without such backups, a leader that lost
   * members might never reach a quorum, and so never read its log. */
  backup->receives_records = is_recipient && (is_member || !allowed_nodes_unknown || backup->has_records);
  backup->has_records = backup->has_records || backup->receives_records;
  if (is_excluded && !is_member && !allowed_nodes_unknown && backup->has_records)
    clear_backup (replication, backup);
}

void
quince_ledger_replication_choose_recipients (QuinceLedgerReplication *replication)
{
  g_autoptr (GArray) recipients = g_array_new (FALSE, FALSE, sizeof (guint64));
  quince_ledger_group_choose_recipients (replication->group, quince_now_us (), recipients);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, replication->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceLedgerBackup *backup = value;
      update_backup (replication, backup, quince_replica_list_has (recipients, backup->replica));
    }
}

void
quince_ledger_replication_set_allowed_nodes (QuinceLedgerReplication *replication, const char *const *nodes)
{
  const char *const *allowed_nodes = (const char *const *)replication->allowed_nodes;
  gboolean is_unchanged
      = (nodes == NULL) == (allowed_nodes == NULL) && (nodes == NULL || g_strv_equal (nodes, allowed_nodes));
  if (is_unchanged && replication->allowed_nodes_known)
    return;
  replication->allowed_nodes_known = TRUE;
  g_strfreev (replication->allowed_nodes);
  replication->allowed_nodes = g_strdupv ((char **)nodes);
  quince_ledger_group_set_allowed_nodes (replication->group, nodes);
  if (replication->epoch != 0)
    quince_ledger_replication_choose_recipients (replication);
}

/* ---- Sending ------------------------------------------------------------ */

static void
send_to_backup (QuinceLedgerReplication *replication, QuinceLedgerBackup *backup, gboolean heartbeat)
{
  if (!quince_ledger_group_may_send (replication->group, quince_now_us (), backup->replica))
    return;
  quince_ledger_backup_send (
      backup, replication->log, replication->epoch, quince_ledger_group_get_commit_index (replication->group),
      quince_ledger_group_get_sendable_index (replication->group, backup->replica), heartbeat);
}

void
quince_ledger_replication_send (QuinceLedgerReplication *replication, gboolean heartbeat)
{
  if (heartbeat)
    quince_ledger_replication_choose_recipients (replication);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, replication->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_to_backup (replication, value, heartbeat);
}

/* ---- Connections of backups --------------------------------------------- */

void
quince_ledger_replication_add_backup (QuinceLedgerReplication *replication,
                                      QuinceLink *link,
                                      const QuinceLedgerHello *hello)
{
  QuinceLedgerBackup *backup
      = quince_ledger_backup_new (link, hello, ++replication->last_serial, replication->log);
  g_hash_table_replace (replication->backups, &backup->replica, backup);
  quince_ledger_group_peer_joined (replication->group, quince_now_us (), &hello->member);
  quince_ledger_group_set_zone (replication->group, hello->member.replica, hello->zone);
  quince_log_info ("backup_joined",
                   "node=%s replica=%" G_GUINT64_FORMAT " has_index=%" G_GUINT64_FORMAT
                   " send_from=%" G_GUINT64_FORMAT " reset=%s",
                   hello->member.node, (guint64)hello->member.replica, (guint64)hello->last_index,
                   backup->next_index, backup->needs_reset ? "true" : "false");
  quince_ledger_replication_choose_recipients (replication);
  send_to_backup (replication, backup, TRUE);
}

static QuinceLedgerBackup *
find_by_link (const QuinceLedgerReplication *replication, QuinceLink *link)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, replication->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((QuinceLedgerBackup *)value)->link == link)
      return value;
  return NULL;
}

gboolean
quince_ledger_replication_handle_ack (QuinceLedgerReplication *replication,
                                      QuinceLink *link,
                                      const QuinceLedgerAck *ack)
{
  QuinceLedgerBackup *backup = find_by_link (replication, link);
  if (backup == NULL || ack->epoch != replication->epoch || ack->replica != backup->replica)
    return FALSE;
  quince_ledger_group_record_contact (replication->group, backup->replica, quince_now_us ());
  if (ack->promised > ack->epoch)
    {
      quince_ledger_group_peer_refused (replication->group, ack->promised);
      return FALSE;
    }
  quince_send_window_acknowledge (backup->window, ack->last_index);
  quince_ledger_group_peer_acked (replication->group, backup->replica, ack->last_index, (gint64)ack->echo_us);
  if (quince_ledger_group_is_change_outstanding (replication->group))
    /* Others may have waited for this acknowledgement (quince_ledger_group_get_sendable_index()). */
    quince_ledger_replication_send (replication, FALSE);
  else
    send_to_backup (replication, backup, FALSE);
  return TRUE;
}

void
quince_ledger_replication_remove_backup (QuinceLedgerReplication *replication, QuinceLink *link)
{
  QuinceLedgerBackup *backup = find_by_link (replication, link);
  if (backup == NULL)
    return;
  quince_log_warning ("backup_left", "replica=%" G_GUINT64_FORMAT, backup->replica);
  quince_ledger_group_peer_left (replication->group, backup->replica);
  g_hash_table_remove (replication->backups, &backup->replica);
}

gboolean
quince_ledger_replication_has_backup (const QuinceLedgerReplication *replication, guint64 replica)
{
  return g_hash_table_contains (replication->backups, &replica);
}

/* ---- The successor ------------------------------------------------------ */

/* Backups campaign in the order of the view, so the first member that receives records is the most likely
 * next leader. */
const QuinceLedgerBackup *
quince_ledger_replication_find_successor (const QuinceLedgerReplication *replication)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (replication->group);
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      const QuinceLedgerBackup *backup = g_hash_table_lookup (replication->backups, &replica);
      if (backup != NULL && backup->receives_records)
        return backup;
    }
  return NULL;
}

guint64
quince_ledger_replication_get_successor_serial (const QuinceLedgerReplication *replication)
{
  const QuinceLedgerBackup *successor = quince_ledger_replication_find_successor (replication);
  return successor != NULL ? successor->serial : 0;
}

QuinceLink *
quince_ledger_replication_get_successor_link (const QuinceLedgerReplication *replication)
{
  const QuinceLedgerBackup *successor = quince_ledger_replication_find_successor (replication);
  return successor != NULL ? successor->link : NULL;
}

const QuinceLedgerBackup *
quince_ledger_replication_find_backup (const QuinceLedgerReplication *replication, guint64 replica)
{
  return g_hash_table_lookup (replication->backups, &replica);
}

const char *
quince_ledger_replication_get_zone (const QuinceLedgerReplication *replication, guint64 replica)
{
  return quince_ledger_group_get_zone (replication->group, replica);
}

void
quince_ledger_replication_list_copy_candidates (const QuinceLedgerReplication *replication,
                                                GArray *candidates)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (replication->group);
  const QuinceLedgerBackup *successor = quince_ledger_replication_find_successor (replication);
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      const QuinceLedgerBackup *backup = quince_ledger_replication_find_backup (replication, replica);
      const QuinceProgressBackup candidate
          = { .replica = replica, .zone = quince_ledger_replication_get_zone (replication, replica) };
      if (backup != NULL && backup != successor && backup->receives_records)
        g_array_append_val (candidates, candidate);
    }
}

/* ---- Progress that backups offer ---------------------------------------- */

void
quince_ledger_replication_record_progress_offer (QuinceLedgerReplication *replication, QuinceLink *link)
{
  QuinceLedgerBackup *backup = find_by_link (replication, link);
  if (backup != NULL)
    backup->progress_offered = TRUE;
}

void
quince_ledger_replication_count_progress_offers (const QuinceLedgerReplication *replication,
                                                 guint *other_members,
                                                 guint *offered_members)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (replication->group);
  *other_members = *offered_members = 0;
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      const QuinceLedgerBackup *backup = quince_ledger_replication_find_backup (replication, replica);
      *other_members += replica != view->primary;
      *offered_members += backup != NULL && backup->progress_offered;
    }
}
