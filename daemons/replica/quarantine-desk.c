/*
 * quarantine-desk.c: the leader's part in the quarantine.
 */
#include "quarantine-desk.h"

#include <string.h>

#include "core/request/expected-ends.h"
#include "runtime/log.h"
#include "forward/suspect-list.h"
#include "forward/suspect-message.h"
#include "runtime/clock.h"

#include "quarantine-keys.h"

/* A permit of a process that died or was cut off expires, so that others can send the request.  Chosen above
 * the deadlines of the users' lookups (0.8 to 2 s). */
#define PERMIT_KEEP_US (3 * G_USEC_PER_SEC)
/* Changes are sent in batches.  One message for each request would be some 100,000 when 400 requests lose
 * their workers at once before 250 fronts (worked out).  Chosen: shorter than a usual run of a lookup (25
 * ms). */
#define TELL_MS 10

struct _QuinceQuarantineDesk
{
  /* All fields belong to the main context. */
  QuinceSendGuard *guard;
  QuincePermits *permits;
  char *name;
  QuinceWorkerTable *workers;
  QuinceLedgerNode *ledger; /* NULL: a next leader is not told of single ends */
  guint64 told_successor;   /* what is known was told to this one */
  GHashTable *links;        /* QuinceLink, of the owner; NULL: not leading */
  GHashTable *untold;       /* QuinceRequestDigest, owned: to be told to all */
  GHashTable *untold_next;  /* the same, to the likely next leader alone */
  GSource *tell_timer;
  GSource *tell_next_timer;
  QuinceQuarantineKeys *keys;
  QuinceExpectedEnds *expected; /* sends of the leader, while another one leads */
};

static QuinceQuarantine *
quarantine_of (const QuinceQuarantineDesk *desk)
{
  return quince_send_guard_get_quarantine (desk->guard);
}

/* ---- Telling ------------------------------------------------------------ */

static void
tell (const QuinceQuarantineDesk *desk, GBytes *encoded)
{
  if (desk->links == NULL || encoded == NULL)
    return;
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, desk->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    quince_link_send_bytes (link, encoded);
}

static void
tell_suspects (const QuinceQuarantineDesk *desk, const GPtrArray *suspects)
{
  if (suspects->len == 0)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (suspects, quince_now_us (), desk->name);
  tell (desk, encoded);
}

/* (nullable): the likely next leader. */
static QuinceLink *
next_leader (const QuinceQuarantineDesk *desk)
{
  return desk->ledger != NULL ? quince_ledger_node_get_successor_link (desk->ledger) : NULL;
}

static void
tell_next_leader (const QuinceQuarantineDesk *desk, const GPtrArray *suspects)
{
  QuinceLink *next = next_leader (desk);
  if (suspects->len == 0 || next == NULL)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (suspects, quince_now_us (), desk->name);
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

/* (transfer container): what is known of @digests, which are forgotten. */
static GPtrArray *
take_untold (const QuinceQuarantineDesk *desk, GHashTable *digests)
{
  GPtrArray *suspects = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer digest;
  g_hash_table_iter_init (&iter, digests);
  while (g_hash_table_iter_next (&iter, &digest, NULL))
    {
      const QuinceSuspect *suspect = quince_quarantine_find (quarantine_of (desk), digest);
      if (suspect != NULL)
        g_ptr_array_add (suspects, (gpointer)suspect);
    }
  g_hash_table_remove_all (digests);
  return suspects;
}

static gboolean
tell_now (gpointer data)
{
  QuinceQuarantineDesk *desk = data;
  quince_source_clear (&desk->tell_timer);
  g_autoptr (GPtrArray) suspects = take_untold (desk, desk->untold);
  tell_suspects (desk, suspects);
  return G_SOURCE_REMOVE;
}

static gboolean
tell_next_now (gpointer data)
{
  QuinceQuarantineDesk *desk = data;
  quince_source_clear (&desk->tell_next_timer);
  g_autoptr (GPtrArray) suspects = take_untold (desk, desk->untold_next);
  tell_next_leader (desk, suspects);
  return G_SOURCE_REMOVE;
}

static void
tell_soon (QuinceQuarantineDesk *desk, const QuinceRequestDigest *digest)
{
  if (desk->links == NULL)
    return;
  g_hash_table_add (desk->untold, g_memdup2 (digest, sizeof *digest));
  if (desk->tell_timer == NULL)
    desk->tell_timer = quince_timer_add (TELL_MS, tell_now, desk);
}

/* At the end of this turn of the main loop, with the other runs of the same worker: what is not told when the
 * leader dies is sent to workers once more. */
static void
tell_next_soon (QuinceQuarantineDesk *desk, const QuinceRequestDigest *digest)
{
  if (desk->links == NULL)
    return;
  g_hash_table_add (desk->untold_next, g_memdup2 (digest, sizeof *digest));
  if (desk->tell_next_timer == NULL)
    desk->tell_next_timer = quince_timer_add (0, tell_next_now, desk);
}

static void
tell_cleared (const QuinceQuarantineDesk *desk, const QuinceRequestDigest *digest, QuinceSuspectScope scope)
{
  g_autoptr (GBytes) encoded = quince_suspect_cleared_encode (digest, scope);
  tell (desk, encoded);
}

/* Another replica is the likely next leader, and knows nothing of single ends. */
static void
tell_new_successor (QuinceQuarantineDesk *desk, const GPtrArray *all)
{
  guint64 successor = desk->ledger != NULL ? quince_ledger_node_get_successor (desk->ledger) : 0;
  if (successor == desk->told_successor)
    return;
  desk->told_successor = successor;
  tell_next_leader (desk, all);
}

/* ---- What the leader's own guard wants ----------------------------------- */

static gboolean
take_permit (QuinceQuarantineDesk *desk,
             const QuinceRequestDigest *digest,
             const char *service,
             gboolean alone,
             gconstpointer holder)
{
  gint64 now = quince_now_us ();
  guint at_risk = quince_permits_count (desk->permits, now, service, digest);
  if (!quince_send_guard_bears_end (desk->guard, now, service, at_risk))
    return FALSE;
  return quince_permits_take (desk->permits, now, digest, service, alone, holder, now + PERMIT_KEEP_US);
}

static gboolean
ask (const QuinceRequestDigest *digest, const char *service, gboolean alone, gpointer data)
{
  QuinceQuarantineDesk *desk = data;
  if (desk->links == NULL)
    return FALSE;
  quince_send_guard_answer (desk->guard, digest, take_permit (desk, digest, service, alone, desk));
  return TRUE;
}

static void
give_back (const QuinceRequestDigest *digest, gpointer data)
{
  QuinceQuarantineDesk *desk = data;
  quince_permits_return (desk->permits, digest, desk);
}

/* A leader that dies sees no end of what it sent: the next one counts it, see expected-ends.h. */
static void
sending (const QuinceSuspect *expected, gpointer data)
{
  QuinceQuarantineDesk *desk = data;
  QuinceLink *next = next_leader (desk);
  g_autoptr (GBytes) encoded
      = next != NULL ? quince_suspect_sending_encode (expected, quince_now_us (), desk->name) : NULL;
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

/* The leader alone sends samples and reward calls: one end is nothing to the fronts, but it counts at the
 * next leader. */
static void
ended (const QuinceSuspect *suspect, gpointer data)
{
  QuinceQuarantineDesk *desk = data;
  tell_next_soon (desk, &suspect->digest);
  if (suspect->n_workers >= QUINCE_QUARANTINE_ENDS_ALONE)
    tell_soon (desk, &suspect->digest);
}

static void
cleared (const QuinceRequestDigest *digest, QuinceSuspectScope scope, guint ends, gpointer data)
{
  QuinceQuarantineDesk *desk = data;
  if (ends >= QUINCE_QUARANTINE_ENDS_ALONE)
    {
      tell_cleared (desk, digest, scope);
      return;
    }
  QuinceLink *next = next_leader (desk);
  g_autoptr (GBytes) encoded = next != NULL ? quince_suspect_cleared_encode (digest, scope) : NULL;
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

static const QuinceSendGuardCallbacks guard_callbacks
    = { .ask = ask, .give_back = give_back, .sending = sending, .ended = ended, .cleared = cleared };

/* ---- Life ---------------------------------------------------------------- */

QuinceQuarantineDesk *
quince_quarantine_desk_new (const QuinceQuarantineLimits *limits,
                            const char *name,
                            QuinceMetaStore *store,
                            QuinceWorkerTable *workers)
{
  QuinceQuarantineDesk *desk = g_new0 (QuinceQuarantineDesk, 1);
  desk->name = g_strdup (name);
  desk->workers = workers;
  desk->guard = quince_send_guard_new (limits, &guard_callbacks, desk);
  desk->permits = quince_permits_new ();
  desk->untold
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  desk->untold_next
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  desk->expected = quince_expected_ends_new ();
  desk->keys = quince_quarantine_keys_new (store, quarantine_of (desk));
  return desk;
}

void
quince_quarantine_desk_free (QuinceQuarantineDesk *desk)
{
  if (desk == NULL)
    return;
  quince_expected_ends_free (desk->expected);
  quince_quarantine_keys_free (desk->keys);
  quince_send_guard_free (desk->guard);
  quince_permits_free (desk->permits);
  quince_source_clear (&desk->tell_timer);
  quince_source_clear (&desk->tell_next_timer);
  g_hash_table_unref (desk->untold);
  g_hash_table_unref (desk->untold_next);
  g_free (desk->name);
  g_free (desk);
}

QuinceSendGuard *
quince_quarantine_desk_get_guard (QuinceQuarantineDesk *desk)
{
  return desk->guard;
}

void
quince_quarantine_desk_set_ledger (QuinceQuarantineDesk *desk, QuinceLedgerNode *ledger)
{
  desk->ledger = ledger;
}

void
quince_quarantine_desk_lead (QuinceQuarantineDesk *desk, GHashTable *links)
{
  desk->links = links;
  desk->told_successor = 0;
  quince_permits_free (desk->permits);
  desk->permits = quince_permits_new ();
  quince_expected_ends_count (desk->expected, quince_now_us (), quarantine_of (desk));
  /* Nothing was sent during the election, which lasts longer than requests give way: or each new leader would
   * send the same item of a suspected prompt first, which tells nothing new of the prompt. */
  quince_quarantine_resume (quarantine_of (desk), quince_now_us ());
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine_of (desk));
  tell_suspects (desk, all);
}

void
quince_quarantine_desk_stop_leading (QuinceQuarantineDesk *desk)
{
  desk->links = NULL;
  quince_source_clear (&desk->tell_timer);
  quince_source_clear (&desk->tell_next_timer);
  g_hash_table_remove_all (desk->untold);
  g_hash_table_remove_all (desk->untold_next);
  quince_send_guard_forget_asked (desk->guard);
}

void
quince_quarantine_desk_add (QuinceQuarantineDesk *desk, QuinceLink *link)
{
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine_of (desk));
  if (desk->links == NULL || all->len == 0)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (all, quince_now_us (), desk->name);
  if (encoded != NULL)
    quince_link_send_bytes (link, encoded);
}

void
quince_quarantine_desk_link_closed (QuinceQuarantineDesk *desk, QuinceLink *link)
{
  quince_permits_forget_holder (desk->permits, link);
}

/* ---- Messages ------------------------------------------------------------ */

static void
take_sending (QuinceQuarantineDesk *desk, const QuinceSuspectNews *news)
{
  gint64 now = quince_now_us ();
  for (guint i = 0; i < news->suspects.suspects_len; i++)
    {
      QuinceSuspect expected;
      quince_suspect_read (&news->suspects.suspects_val[i], now, &expected);
      quince_expected_ends_add (desk->expected, now, &expected);
    }
}

/* What became of a send is known now. */
static void
forget_expected (QuinceQuarantineDesk *desk, const QuinceSuspectNews *news)
{
  for (guint i = 0; i < news->suspects.suspects_len; i++)
    {
      QuinceRequestDigest digest;
      memcpy (digest.bytes, news->suspects.suspects_val[i].digest, sizeof digest.bytes);
      quince_expected_ends_remove (desk->expected, &digest);
    }
}

static void
note_told (QuinceQuarantineDesk *desk, gint64 now_us, const GArray *changed)
{
  for (guint i = 0; i < changed->len; i++)
    {
      const QuinceRequestDigest *digest = &g_array_index (changed, QuinceRequestDigest, i);
      quince_send_guard_note_told (desk->guard, now_us, digest);
      tell_soon (desk, digest);
    }
}

static void
take_news (QuinceQuarantineDesk *desk, const QuinceSuspectNews *news)
{
  forget_expected (desk, news);
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  g_autoptr (GArray) gone = g_array_new (FALSE, FALSE, sizeof (QuinceSuspectCleared));
  gint64 now = quince_now_us ();
  quince_suspect_news_take (quarantine_of (desk), now, news, changed, gone);
  note_told (desk, now, changed);
  for (guint i = 0; desk->links != NULL && i < gone->len; i++)
    {
      const QuinceSuspectCleared *one = &g_array_index (gone, QuinceSuspectCleared, i);
      tell_cleared (desk, &one->digest, one->scope);
    }
}

static void
answer_ask (QuinceQuarantineDesk *desk, QuinceLink *link, const QuincePermitAsk *wanted)
{
  QuinceRequestDigest digest;
  memcpy (digest.bytes, wanted->digest, sizeof digest.bytes);
  /* Its asker may not have heard yet that it is held, or that it must run alone. */
  QuinceSendRule rule = quince_quarantine_judge (quarantine_of (desk), &digest);
  gboolean known = rule != QUINCE_SEND_HELD && (wanted->alone || rule != QUINCE_SEND_ALONE);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PERMIT_ANSWER };
  QuincePermitAnswer *answer = &message.QuinceMessage_u.permit_answer;
  memcpy (answer->digest, wanted->digest, sizeof answer->digest);
  answer->given
      = desk->links != NULL && known && take_permit (desk, &digest, wanted->service, wanted->alone, link);
  quince_link_send (link, &message);
}

gboolean
quince_quarantine_desk_take (QuinceQuarantineDesk *desk, QuinceLink *link, const QuinceMessage *message)
{
  QuinceRequestDigest digest;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_SUSPECT_NEWS:
      take_news (desk, &message->QuinceMessage_u.suspect_news);
      return TRUE;
    case QUINCE_MESSAGE_SUSPECT_SENDING:
      take_sending (desk, &message->QuinceMessage_u.suspect_sending);
      return TRUE;
    case QUINCE_MESSAGE_PERMIT_ASK:
      answer_ask (desk, link, &message->QuinceMessage_u.permit_ask);
      return TRUE;
    case QUINCE_MESSAGE_PERMIT_BACK:
      memcpy (digest.bytes, message->QuinceMessage_u.permit_back.digest, sizeof digest.bytes);
      quince_permits_return (desk->permits, &digest, link);
      return TRUE;
    default:
      return FALSE;
    }
}

/* ---- The store ------------------------------------------------------------ */

void
quince_quarantine_desk_take_list (QuinceQuarantineDesk *desk, const char *front, GBytes *value)
{
  if (value == NULL)
    return;
  gint64 now = quince_now_us ();
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  quince_suspect_list_take (quarantine_of (desk), now, quince_wall_ms (), front, value, changed);
  note_told (desk, now, changed);
}

void
quince_quarantine_desk_take_key (QuinceQuarantineDesk *desk, const char *name, GBytes *value)
{
  quince_quarantine_keys_take (desk->keys, name, value);
}

/* All workers of the service run other software than the one that ended: it may be sound now. */
static gboolean
is_outdated (const QuinceQuarantineDesk *desk, const QuinceSuspect *suspect)
{
  if (!suspect->held || suspect->service == NULL || suspect->software == NULL)
    return FALSE;
  g_autoptr (GPtrArray) workers = quince_worker_table_list (desk->workers, suspect->service);
  gboolean any = FALSE;
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      if (g_strcmp0 (worker->software, suspect->software) == 0)
        return FALSE;
      any = any || (!worker->draining && worker->software != NULL);
    }
  return any;
}

void
quince_quarantine_desk_step (QuinceQuarantineDesk *desk)
{
  gint64 now = quince_now_us ();
  quince_quarantine_expire (quarantine_of (desk), now);
  if (desk->links == NULL)
    return;
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine_of (desk));
  for (guint i = 0; i < all->len; i++)
    {
      const QuinceSuspect *suspect = all->pdata[i];
      if (!is_outdated (desk, suspect))
        continue;
      g_autofree char *digest = quince_request_digest_format (&suspect->digest);
      quince_log_info ("suspect_released", "digest=%s", digest);
      quince_quarantine_release (quarantine_of (desk), now, &suspect->digest);
      tell_soon (desk, &suspect->digest);
    }
  tell_new_successor (desk, all);
  quince_quarantine_keys_save (desk->keys, all);
}
