/*
 * quarantine-coordinator.c: the leader's part in the quarantine.
 */
#include "quarantine-coordinator.h"

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

struct _QuinceQuarantineCoordinator
{
  /* All fields belong to the main context. */
  QuinceSendGuard *guard;
  QuincePermits *permits;
  char *name;
  QuinceWorkerTable *workers;
  QuinceLedgerNode *ledger;   /* NULL: a next leader is not told of single ends */
  guint64 informed_successor; /* what is known was told to this one */
  GHashTable *links;          /* QuinceLink, of the owner; NULL: not leading */
  GHashTable *untold;         /* QuinceRequestDigest, owned: to be told to all */
  GHashTable *untold_next;    /* the same, to the likely next leader alone */
  GSource *tell_timer;
  GSource *tell_next_timer;
  QuinceQuarantineKeys *keys;
  QuinceExpectedEnds *expected; /* sends of the leader, while another one leads */
};

static QuinceQuarantine *
quarantine_of (const QuinceQuarantineCoordinator *coordinator)
{
  return quince_send_guard_get_quarantine (coordinator->guard);
}

/* ---- Telling ------------------------------------------------------------ */

static void
tell (const QuinceQuarantineCoordinator *coordinator, GBytes *encoded)
{
  if (coordinator->links == NULL || encoded == NULL)
    return;
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, coordinator->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    quince_link_send_bytes (link, encoded);
}

static void
tell_suspects (const QuinceQuarantineCoordinator *coordinator, const GPtrArray *suspects)
{
  if (suspects->len == 0)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (suspects, quince_now_us (), coordinator->name);
  tell (coordinator, encoded);
}

/* (nullable): the likely next leader. */
static QuinceLink *
next_leader (const QuinceQuarantineCoordinator *coordinator)
{
  return coordinator->ledger != NULL ? quince_ledger_node_get_successor_link (coordinator->ledger) : NULL;
}

static void
tell_next_leader (const QuinceQuarantineCoordinator *coordinator, const GPtrArray *suspects)
{
  QuinceLink *next = next_leader (coordinator);
  if (suspects->len == 0 || next == NULL)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (suspects, quince_now_us (), coordinator->name);
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

/* (transfer container): what is known of @digests, which are forgotten. */
static GPtrArray *
take_untold (const QuinceQuarantineCoordinator *coordinator, GHashTable *digests)
{
  GPtrArray *suspects = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer digest;
  g_hash_table_iter_init (&iter, digests);
  while (g_hash_table_iter_next (&iter, &digest, NULL))
    {
      const QuinceSuspect *suspect = quince_quarantine_find (quarantine_of (coordinator), digest);
      if (suspect != NULL)
        g_ptr_array_add (suspects, (gpointer)suspect);
    }
  g_hash_table_remove_all (digests);
  return suspects;
}

static gboolean
tell_now (gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_source_clear (&coordinator->tell_timer);
  g_autoptr (GPtrArray) suspects = take_untold (coordinator, coordinator->untold);
  tell_suspects (coordinator, suspects);
  return G_SOURCE_REMOVE;
}

static gboolean
tell_next_now (gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_source_clear (&coordinator->tell_next_timer);
  g_autoptr (GPtrArray) suspects = take_untold (coordinator, coordinator->untold_next);
  tell_next_leader (coordinator, suspects);
  return G_SOURCE_REMOVE;
}

static void
tell_soon (QuinceQuarantineCoordinator *coordinator, const QuinceRequestDigest *digest)
{
  if (coordinator->links == NULL)
    return;
  g_hash_table_add (coordinator->untold, g_memdup2 (digest, sizeof *digest));
  if (coordinator->tell_timer == NULL)
    coordinator->tell_timer = quince_timer_add (TELL_MS, tell_now, coordinator);
}

/* At the end of this turn of the main loop, with the other runs of the same worker: what is not told when the
 * leader dies is sent to workers once more. */
static void
tell_next_soon (QuinceQuarantineCoordinator *coordinator, const QuinceRequestDigest *digest)
{
  if (coordinator->links == NULL)
    return;
  g_hash_table_add (coordinator->untold_next, g_memdup2 (digest, sizeof *digest));
  if (coordinator->tell_next_timer == NULL)
    coordinator->tell_next_timer = quince_timer_add (0, tell_next_now, coordinator);
}

static void
tell_cleared (const QuinceQuarantineCoordinator *coordinator,
              const QuinceRequestDigest *digest,
              QuinceSuspectScope scope)
{
  g_autoptr (GBytes) encoded = quince_suspect_cleared_encode (digest, scope);
  tell (coordinator, encoded);
}

/* Another replica is the likely next leader, and knows nothing of single ends. */
static void
tell_new_successor (QuinceQuarantineCoordinator *coordinator, const GPtrArray *all)
{
  guint64 successor
      = coordinator->ledger != NULL ? quince_ledger_node_get_successor (coordinator->ledger) : 0;
  if (successor == coordinator->informed_successor)
    return;
  coordinator->informed_successor = successor;
  tell_next_leader (coordinator, all);
}

/* ---- What the leader's own guard wants ----------------------------------- */

static gboolean
take_permit (QuinceQuarantineCoordinator *coordinator,
             const QuinceRequestDigest *digest,
             const char *service,
             gboolean alone,
             gconstpointer holder)
{
  gint64 now = quince_now_us ();
  guint at_risk = quince_permits_count (coordinator->permits, now, service, digest);
  if (!quince_send_guard_survives_end (coordinator->guard, now, service, at_risk))
    return FALSE;
  return quince_permits_take (coordinator->permits, now, digest, service, alone, holder,
                              now + PERMIT_KEEP_US);
}

static gboolean
ask (const QuinceRequestDigest *digest, const char *service, gboolean alone, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  if (coordinator->links == NULL)
    return FALSE;
  quince_send_guard_answer (coordinator->guard, digest,
                            take_permit (coordinator, digest, service, alone, coordinator));
  return TRUE;
}

static void
give_back (const QuinceRequestDigest *digest, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_permits_return (coordinator->permits, digest, coordinator);
}

/* A leader that dies sees no end of what it sent: the next one counts it, see expected-ends.h. */
static void
sending (const QuinceSuspect *expected, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  QuinceLink *next = next_leader (coordinator);
  g_autoptr (GBytes) encoded
      = next != NULL ? quince_suspect_sending_encode (expected, quince_now_us (), coordinator->name) : NULL;
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

/* The leader alone sends samples and reward calls: one end is nothing to the fronts, but it counts at the
 * next leader. */
static void
ended (const QuinceSuspect *suspect, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  tell_next_soon (coordinator, &suspect->digest);
  if (suspect->n_workers >= QUINCE_QUARANTINE_ENDS_ALONE)
    tell_soon (coordinator, &suspect->digest);
}

static void
cleared (const QuinceRequestDigest *digest, QuinceSuspectScope scope, guint ends, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  if (ends >= QUINCE_QUARANTINE_ENDS_ALONE)
    {
      tell_cleared (coordinator, digest, scope);
      return;
    }
  QuinceLink *next = next_leader (coordinator);
  g_autoptr (GBytes) encoded = next != NULL ? quince_suspect_cleared_encode (digest, scope) : NULL;
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

static const QuinceSendGuardCallbacks guard_callbacks
    = { .ask = ask, .give_back = give_back, .sending = sending, .ended = ended, .cleared = cleared };

/* ---- Life ---------------------------------------------------------------- */

QuinceQuarantineCoordinator *
quince_quarantine_coordinator_new (const QuinceQuarantineLimits *limits,
                                   const char *name,
                                   QuinceMetaStore *store,
                                   QuinceWorkerTable *workers)
{
  QuinceQuarantineCoordinator *coordinator = g_new0 (QuinceQuarantineCoordinator, 1);
  coordinator->name = g_strdup (name);
  coordinator->workers = workers;
  coordinator->guard = quince_send_guard_new (limits, &guard_callbacks, coordinator);
  coordinator->permits = quince_permits_new ();
  coordinator->untold
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  coordinator->untold_next
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  coordinator->expected = quince_expected_ends_new ();
  coordinator->keys = quince_quarantine_keys_new (store, quarantine_of (coordinator));
  return coordinator;
}

void
quince_quarantine_coordinator_free (QuinceQuarantineCoordinator *coordinator)
{
  if (coordinator == NULL)
    return;
  quince_expected_ends_free (coordinator->expected);
  quince_quarantine_keys_free (coordinator->keys);
  quince_send_guard_free (coordinator->guard);
  quince_permits_free (coordinator->permits);
  quince_source_clear (&coordinator->tell_timer);
  quince_source_clear (&coordinator->tell_next_timer);
  g_hash_table_unref (coordinator->untold);
  g_hash_table_unref (coordinator->untold_next);
  g_free (coordinator->name);
  g_free (coordinator);
}

QuinceSendGuard *
quince_quarantine_coordinator_get_guard (QuinceQuarantineCoordinator *coordinator)
{
  return coordinator->guard;
}

void
quince_quarantine_coordinator_set_ledger (QuinceQuarantineCoordinator *coordinator, QuinceLedgerNode *ledger)
{
  coordinator->ledger = ledger;
}

void
quince_quarantine_coordinator_lead (QuinceQuarantineCoordinator *coordinator, GHashTable *links)
{
  coordinator->links = links;
  coordinator->informed_successor = 0;
  quince_permits_free (coordinator->permits);
  coordinator->permits = quince_permits_new ();
  quince_expected_ends_count (coordinator->expected, quince_now_us (), quarantine_of (coordinator));
  /* Nothing was sent during the election, which lasts longer than requests give way: or each new leader would
   * send the same item of a suspected prompt first, which tells nothing new of the prompt. */
  quince_quarantine_resume (quarantine_of (coordinator), quince_now_us ());
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine_of (coordinator));
  tell_suspects (coordinator, all);
}

void
quince_quarantine_coordinator_stop_leading (QuinceQuarantineCoordinator *coordinator)
{
  coordinator->links = NULL;
  quince_source_clear (&coordinator->tell_timer);
  quince_source_clear (&coordinator->tell_next_timer);
  g_hash_table_remove_all (coordinator->untold);
  g_hash_table_remove_all (coordinator->untold_next);
  quince_send_guard_forget_requested (coordinator->guard);
}

void
quince_quarantine_coordinator_add (QuinceQuarantineCoordinator *coordinator, QuinceLink *link)
{
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine_of (coordinator));
  if (coordinator->links == NULL || all->len == 0)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (all, quince_now_us (), coordinator->name);
  if (encoded != NULL)
    quince_link_send_bytes (link, encoded);
}

void
quince_quarantine_coordinator_link_closed (QuinceQuarantineCoordinator *coordinator, QuinceLink *link)
{
  quince_permits_forget_holder (coordinator->permits, link);
}

/* ---- Messages ------------------------------------------------------------ */

static void
take_sending (QuinceQuarantineCoordinator *coordinator, const QuinceSuspectReports *news)
{
  gint64 now = quince_now_us ();
  for (guint i = 0; i < news->suspects.suspects_len; i++)
    {
      QuinceSuspect expected;
      quince_suspect_read (&news->suspects.suspects_val[i], now, &expected);
      quince_expected_ends_add (coordinator->expected, now, &expected);
    }
}

/* What became of a send is known now. */
static void
forget_expected (QuinceQuarantineCoordinator *coordinator, const QuinceSuspectReports *news)
{
  for (guint i = 0; i < news->suspects.suspects_len; i++)
    {
      QuinceRequestDigest digest;
      memcpy (digest.bytes, news->suspects.suspects_val[i].digest, sizeof digest.bytes);
      quince_expected_ends_remove (coordinator->expected, &digest);
    }
}

static void
forward_reports (QuinceQuarantineCoordinator *coordinator, gint64 now_us, const GArray *changed)
{
  for (guint i = 0; i < changed->len; i++)
    {
      const QuinceRequestDigest *digest = &g_array_index (changed, QuinceRequestDigest, i);
      quince_send_guard_note_report (coordinator->guard, now_us, digest);
      tell_soon (coordinator, digest);
    }
}

static void
take_news (QuinceQuarantineCoordinator *coordinator, const QuinceSuspectReports *news)
{
  forget_expected (coordinator, news);
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  g_autoptr (GArray) gone = g_array_new (FALSE, FALSE, sizeof (QuinceSuspectCleared));
  gint64 now = quince_now_us ();
  quince_suspect_news_take (quarantine_of (coordinator), now, news, changed, gone);
  forward_reports (coordinator, now, changed);
  for (guint i = 0; coordinator->links != NULL && i < gone->len; i++)
    {
      const QuinceSuspectCleared *one = &g_array_index (gone, QuinceSuspectCleared, i);
      tell_cleared (coordinator, &one->digest, one->scope);
    }
}

static void
answer_ask (QuinceQuarantineCoordinator *coordinator, QuinceLink *link, const QuincePermitAsk *wanted)
{
  QuinceRequestDigest digest;
  memcpy (digest.bytes, wanted->digest, sizeof digest.bytes);
  /* Its asker may not have heard yet that it is held, or that it must run alone. */
  QuinceSendRule rule = quince_quarantine_judge (quarantine_of (coordinator), &digest);
  gboolean known = rule != QUINCE_SEND_HELD && (wanted->alone || rule != QUINCE_SEND_ALONE);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PERMIT_ANSWER };
  QuincePermitAnswer *answer = &message.QuinceMessage_u.permit_answer;
  memcpy (answer->digest, wanted->digest, sizeof answer->digest);
  answer->given = coordinator->links != NULL && known
                  && take_permit (coordinator, &digest, wanted->service, wanted->alone, link);
  quince_link_send (link, &message);
}

gboolean
quince_quarantine_coordinator_take (QuinceQuarantineCoordinator *coordinator,
                                    QuinceLink *link,
                                    const QuinceMessage *message)
{
  QuinceRequestDigest digest;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_SUSPECT_NEWS:
      take_news (coordinator, &message->QuinceMessage_u.suspect_news);
      return TRUE;
    case QUINCE_MESSAGE_SUSPECT_SENDING:
      take_sending (coordinator, &message->QuinceMessage_u.suspect_sending);
      return TRUE;
    case QUINCE_MESSAGE_PERMIT_ASK:
      answer_ask (coordinator, link, &message->QuinceMessage_u.permit_ask);
      return TRUE;
    case QUINCE_MESSAGE_PERMIT_BACK:
      memcpy (digest.bytes, message->QuinceMessage_u.permit_back.digest, sizeof digest.bytes);
      quince_permits_return (coordinator->permits, &digest, link);
      return TRUE;
    default:
      return FALSE;
    }
}

/* ---- The store ------------------------------------------------------------ */

void
quince_quarantine_coordinator_take_list (QuinceQuarantineCoordinator *coordinator,
                                         const char *front,
                                         GBytes *value)
{
  if (value == NULL)
    return;
  gint64 now = quince_now_us ();
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  quince_suspect_list_take (quarantine_of (coordinator), now, quince_wall_ms (), front, value, changed);
  forward_reports (coordinator, now, changed);
}

void
quince_quarantine_coordinator_take_key (QuinceQuarantineCoordinator *coordinator,
                                        const char *name,
                                        GBytes *value)
{
  quince_quarantine_keys_take (coordinator->keys, name, value);
}

/* All workers of the service run other software than the one that ended: it may be sound now. */
static gboolean
is_outdated (const QuinceQuarantineCoordinator *coordinator, const QuinceSuspect *suspect)
{
  if (!suspect->held || suspect->service == NULL || suspect->software == NULL)
    return FALSE;
  g_autoptr (GPtrArray) workers = quince_worker_table_list (coordinator->workers, suspect->service);
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
quince_quarantine_coordinator_step (QuinceQuarantineCoordinator *coordinator)
{
  gint64 now = quince_now_us ();
  quince_quarantine_expire (quarantine_of (coordinator), now);
  if (coordinator->links == NULL)
    return;
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine_of (coordinator));
  for (guint i = 0; i < all->len; i++)
    {
      const QuinceSuspect *suspect = all->pdata[i];
      if (!is_outdated (coordinator, suspect))
        continue;
      g_autofree char *digest = quince_request_digest_format (&suspect->digest);
      quince_log_info ("suspect_released", "digest=%s", digest);
      quince_quarantine_release (quarantine_of (coordinator), now, &suspect->digest);
      tell_soon (coordinator, &suspect->digest);
    }
  tell_new_successor (coordinator, all);
  quince_quarantine_keys_save (coordinator->keys, all);
}
