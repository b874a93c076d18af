/*
 * quarantine-coordinator.c: the leader's part in the quarantine of requests under which workers ended.
 */
#include "quarantine-coordinator.h"

#include <string.h>

#include "core/request/expected-ends.h"
#include "runtime/log.h"
#include "forward/suspect-list.h"
#include "forward/suspect-message.h"
#include "runtime/clock.h"

#include "quarantine-keys.h"

/* A permit expires after this time, us, so that others can send the request when its holder died or was cut
 * off. Not measured: above the deadlines of lookups (0.8 to 2 s). */
#define PERMIT_KEEP_US (3 * G_USEC_PER_SEC)
/* Reports are collected for this time and sent together, ms.  One message for each request would make 100,000
 * when 400 requests lose their workers at once before 250 fronts (calculated).  Not measured: shorter than a
 * usual run of a lookup (25 ms). */
#define REPORT_MS 10

struct _QuinceQuarantineCoordinator
{
  /* All fields belong to the main context. */
  QuinceSendGuard *guard;
  QuincePermits *permits;
  char *name;
  QuinceWorkerTable *workers;
  QuinceLedgerNode *ledger;         /* not owned; NULL during the start */
  guint64 informed_successor;       /* the successor that was sent all suspects; 0: none */
  GHashTable *links;                /* QuinceLink, of the owner; NULL: not leading */
  GHashTable *unreported;           /* QuinceRequestDigest, owned: changes not sent to all yet */
  GHashTable *unreported_successor; /* the same, not sent to the successor yet */
  GSource *report_timer;
  GSource *successor_timer;
  QuinceQuarantineKeys *keys;
  QuinceExpectedEnds *expected; /* sends of the leader, at other replicas */
};

static QuinceQuarantine *
quarantine_of (const QuinceQuarantineCoordinator *coordinator)
{
  return quince_send_guard_get_quarantine (coordinator->guard);
}

/* ---- Reports to other processes -------------------------------------------- */

static void
send_to_all (const QuinceQuarantineCoordinator *coordinator, GBytes *encoded)
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
report_suspects (const QuinceQuarantineCoordinator *coordinator, const GPtrArray *suspects)
{
  if (suspects->len == 0)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (suspects, quince_now_us (), coordinator->name);
  send_to_all (coordinator, encoded);
}

/* Returns: (transfer none) (nullable): the link to the successor */
static QuinceLink *
find_successor (const QuinceQuarantineCoordinator *coordinator)
{
  return coordinator->ledger != NULL ? quince_ledger_node_get_successor_link (coordinator->ledger) : NULL;
}

static void
report_to_successor (const QuinceQuarantineCoordinator *coordinator, const GPtrArray *suspects)
{
  QuinceLink *next = find_successor (coordinator);
  if (suspects->len == 0 || next == NULL)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_news_encode (suspects, quince_now_us (), coordinator->name);
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

/* Returns: (transfer container): the known suspects of the set @digests, which is emptied */
static GPtrArray *
take_unreported (const QuinceQuarantineCoordinator *coordinator, GHashTable *digests)
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
report_now (gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_source_clear (&coordinator->report_timer);
  g_autoptr (GPtrArray) suspects = take_unreported (coordinator, coordinator->unreported);
  report_suspects (coordinator, suspects);
  return G_SOURCE_REMOVE;
}

static gboolean
report_to_successor_now (gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_source_clear (&coordinator->successor_timer);
  g_autoptr (GPtrArray) suspects = take_unreported (coordinator, coordinator->unreported_successor);
  report_to_successor (coordinator, suspects);
  return G_SOURCE_REMOVE;
}

static void
report_soon (QuinceQuarantineCoordinator *coordinator, const QuinceRequestDigest *digest)
{
  if (coordinator->links == NULL)
    return;
  g_hash_table_add (coordinator->unreported, g_memdup2 (digest, sizeof *digest));
  if (coordinator->report_timer == NULL)
    coordinator->report_timer = quince_timer_add (REPORT_MS, report_now, coordinator);
}

/* At the end of this turn of the main loop, together with the other runs of the same worker.  Not later: what
 * the successor doesn't know when the leader dies is sent to workers once more. */
static void
report_to_successor_soon (QuinceQuarantineCoordinator *coordinator, const QuinceRequestDigest *digest)
{
  if (coordinator->links == NULL)
    return;
  g_hash_table_add (coordinator->unreported_successor, g_memdup2 (digest, sizeof *digest));
  if (coordinator->successor_timer == NULL)
    coordinator->successor_timer = quince_timer_add (0, report_to_successor_now, coordinator);
}

static void
report_cleared (const QuinceQuarantineCoordinator *coordinator,
                const QuinceRequestDigest *digest,
                QuinceSuspectScope scope)
{
  g_autoptr (GBytes) encoded = quince_suspect_cleared_encode (digest, scope);
  send_to_all (coordinator, encoded);
}

/* A new successor knows nothing of requests that ended one worker. */
static void
report_to_new_successor (QuinceQuarantineCoordinator *coordinator, const GPtrArray *all)
{
  guint64 successor
      = coordinator->ledger != NULL ? quince_ledger_node_get_successor (coordinator->ledger) : 0;
  if (successor == coordinator->informed_successor)
    return;
  coordinator->informed_successor = successor;
  report_to_successor (coordinator, all);
}

/* ---- Permits and reports, caused by the leader's own guard ------------------- */

static gboolean
take_permit (QuinceQuarantineCoordinator *coordinator,
             const QuinceRequestDigest *digest,
             const char *service,
             gboolean alone,
             gconstpointer holder)
{
  gint64 now = quince_now_us ();
  guint at_risk = quince_permits_count (coordinator->permits, now, service, digest);
  if (!quince_send_guard_bears_end (coordinator->guard, now, service, at_risk))
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

/* A leader that dies sees no end of what it sent: the next leader counts it, see expected-ends.h. */
static void
sending (const QuinceSuspect *expected, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  QuinceLink *next = find_successor (coordinator);
  g_autoptr (GBytes) encoded
      = next != NULL ? quince_suspect_sending_encode (expected, quince_now_us (), coordinator->name) : NULL;
  if (encoded != NULL)
    quince_link_send_bytes (next, encoded);
}

/* Only the leader sends samples and reward calls: fronts need no report of a single end, the successor does.
 */
static void
ended (const QuinceSuspect *suspect, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  report_to_successor_soon (coordinator, &suspect->digest);
  if (suspect->n_workers >= QUINCE_QUARANTINE_ENDS_ALONE)
    report_soon (coordinator, &suspect->digest);
}

static void
cleared (const QuinceRequestDigest *digest, QuinceSuspectScope scope, guint ends, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  if (ends >= QUINCE_QUARANTINE_ENDS_ALONE)
    {
      report_cleared (coordinator, digest, scope);
      return;
    }
  QuinceLink *next = find_successor (coordinator);
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
  coordinator->unreported
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  coordinator->unreported_successor
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
  quince_source_clear (&coordinator->report_timer);
  quince_source_clear (&coordinator->successor_timer);
  g_hash_table_unref (coordinator->unreported);
  g_hash_table_unref (coordinator->unreported_successor);
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
  /* Nothing was sent during the election, which lasts longer than requests give way to others: without this
   * each new leader would send the same item of a suspected prompt first, which says nothing new of the
   * prompt. */
  quince_quarantine_resume (quarantine_of (coordinator), quince_now_us ());
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine_of (coordinator));
  report_suspects (coordinator, all);
}

void
quince_quarantine_coordinator_stop_leading (QuinceQuarantineCoordinator *coordinator)
{
  coordinator->links = NULL;
  quince_source_clear (&coordinator->report_timer);
  quince_source_clear (&coordinator->successor_timer);
  g_hash_table_remove_all (coordinator->unreported);
  g_hash_table_remove_all (coordinator->unreported_successor);
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

/* The outcome of a send is known, so no end is expected of it. */
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
      report_soon (coordinator, digest);
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
      report_cleared (coordinator, &one->digest, one->scope);
    }
}

static void
answer_ask (QuinceQuarantineCoordinator *coordinator, QuinceLink *link, const QuincePermitAsk *wanted)
{
  QuinceRequestDigest digest;
  memcpy (digest.bytes, wanted->digest, sizeof digest.bytes);
  /* The front may not know yet that the request is held, or that it must run alone. */
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

/* ---- The metadata store ----------------------------------------------------- */

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

/* All workers of the service run other software than the one that ended, which may handle the request. */
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
      report_soon (coordinator, &suspect->digest);
    }
  report_to_new_successor (coordinator, all);
  quince_quarantine_keys_save (coordinator->keys, all);
}
