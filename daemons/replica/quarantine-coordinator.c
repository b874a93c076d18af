/*
 * quarantine-coordinator.c: coordinates the quarantine of requests that were running at workers which ended.
 */
#include "quarantine-coordinator.h"

#include <string.h>

#include "core/request/expected-ends.h"
#include "runtime/log.h"
#include "forward/suspect-list.h"
#include "forward/suspect-message.h"
#include "runtime/clock.h"

#include "quarantine-keys.h"
#include "suspect-reporter.h"

/* Time after which a permit expires, us.  Another process may then send the request, even if the holder
 * failed or was disconnected.  Longer than the deadlines of lookups, 0.8 to 2 s. */
#define PERMIT_TTL_US (3 * G_USEC_PER_SEC)

struct _QuinceQuarantineCoordinator
{
  /* All fields belong to the main context. */
  QuinceSendGuard *guard;
  QuincePermits *permits;
  QuinceWorkerTable *workers; /* not owned */
  QuinceSuspectReporter *reporter;
  QuinceQuarantineKeys *keys;
  QuinceExpectedEnds *expected_ends; /* in-flight sends that the leader reported */
};

static QuinceQuarantine *
get_quarantine (const QuinceQuarantineCoordinator *coordinator)
{
  return quince_send_guard_get_quarantine (coordinator->guard);
}

/* ---- Callbacks of the leader's send guard ------------------------------------ */

static gboolean
grant_permit (QuinceQuarantineCoordinator *coordinator,
              const QuinceRequestDigest *digest,
              const char *service,
              gboolean alone,
              gconstpointer holder)
{
  gint64 now = quince_now_us ();
  guint recent_permits = quince_permits_count_recent (coordinator->permits, now, service, digest);
  if (!quince_send_guard_service_survives_end (coordinator->guard, now, service, recent_permits))
    return FALSE;
  return quince_permits_take (coordinator->permits, now, digest, service, alone, holder, now + PERMIT_TTL_US);
}

static gboolean
request_permit (const QuinceRequestDigest *digest, const char *service, gboolean alone, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  if (!quince_suspect_reporter_is_active (coordinator->reporter))
    return FALSE;
  quince_send_guard_handle_permit_answer (coordinator->guard, digest,
                                          grant_permit (coordinator, digest, service, alone, coordinator));
  return TRUE;
}

static void
return_permit (const QuinceRequestDigest *digest, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_permits_return (coordinator->permits, digest, coordinator);
}

/* A leader that fails cannot report the outcome of its sends, so the successor must know them; see
 * expected-ends.h. */
static void
handle_sending (const QuinceSuspect *expected, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_suspect_reporter_send_expected_end (coordinator->reporter, expected);
}

/* Fronts need no report of a single end, since only the leader sends samples and reward calls.  The successor
 * needs it to continue the count. */
static void
handle_suspect_end (const QuinceSuspect *suspect, gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  quince_suspect_reporter_queue_change_for_successor (coordinator->reporter, &suspect->digest);
  if (suspect->n_workers >= QUINCE_QUARANTINE_ALONE_ENDS_MIN)
    quince_suspect_reporter_queue_change (coordinator->reporter, &suspect->digest);
}

static void
handle_suspect_cleared (const QuinceRequestDigest *digest,
                        QuinceSuspectScope scope,
                        guint ends,
                        gpointer data)
{
  QuinceQuarantineCoordinator *coordinator = data;
  if (ends >= QUINCE_QUARANTINE_ALONE_ENDS_MIN)
    quince_suspect_reporter_send_cleared (coordinator->reporter, digest, scope);
  else
    quince_suspect_reporter_send_cleared_to_successor (coordinator->reporter, digest, scope);
}

static const QuinceSendGuardCallbacks guard_callbacks = { .request_permit = request_permit,
                                                          .return_permit = return_permit,
                                                          .sending = handle_sending,
                                                          .ended = handle_suspect_end,
                                                          .cleared = handle_suspect_cleared };

/* ---- Construction and leadership ----------------------------------------- */

QuinceQuarantineCoordinator *
quince_quarantine_coordinator_new (const QuinceQuarantineLimits *limits,
                                   const char *name,
                                   QuinceMetaStore *store,
                                   QuinceWorkerTable *workers)
{
  QuinceQuarantineCoordinator *coordinator = g_new0 (QuinceQuarantineCoordinator, 1);
  coordinator->workers = workers;
  coordinator->guard = quince_send_guard_new (limits, &guard_callbacks, coordinator);
  coordinator->permits = quince_permits_new ();
  coordinator->reporter = quince_suspect_reporter_new (get_quarantine (coordinator), name);
  coordinator->expected_ends = quince_expected_ends_new ();
  coordinator->keys = quince_quarantine_keys_new (store, get_quarantine (coordinator));
  return coordinator;
}

void
quince_quarantine_coordinator_free (QuinceQuarantineCoordinator *coordinator)
{
  if (coordinator == NULL)
    return;
  quince_expected_ends_free (coordinator->expected_ends);
  quince_quarantine_keys_free (coordinator->keys);
  quince_send_guard_free (coordinator->guard);
  quince_permits_free (coordinator->permits);
  quince_suspect_reporter_free (coordinator->reporter);
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
  quince_suspect_reporter_set_ledger (coordinator->reporter, ledger);
}

/* Checks the workers to which the former leader was sending under a permit: they may have ended unnoticed. */
static void
check_former_leader_sends (QuinceQuarantineCoordinator *coordinator)
{
  g_autoptr (GPtrArray) former_sends
      = quince_expected_ends_take (coordinator->expected_ends, quince_now_us ());
  for (guint i = 0; i < former_sends->len; i++)
    quince_send_guard_check_send (coordinator->guard, former_sends->pdata[i]);
}

void
quince_quarantine_coordinator_start_leading (QuinceQuarantineCoordinator *coordinator, GHashTable *links)
{
  quince_suspect_reporter_set_links (coordinator->reporter, links);
  quince_permits_free (coordinator->permits);
  coordinator->permits = quince_permits_new ();
  check_former_leader_sends (coordinator);
  /* The election lasts longer than the yield time (quince_quarantine_should_yield()), and nothing was sent
   * during it.  Without a restart, each new leader would first send the same request of a suspected prompt
   * again.  Further ends with that request do not count against the prompt. */
  quince_quarantine_restart_yield_time (get_quarantine (coordinator), quince_now_us ());
  quince_suspect_reporter_send_all (coordinator->reporter);
}

void
quince_quarantine_coordinator_stop_leading (QuinceQuarantineCoordinator *coordinator)
{
  quince_suspect_reporter_set_links (coordinator->reporter, NULL);
  quince_send_guard_drop_permit_requests (coordinator->guard);
}

void
quince_quarantine_coordinator_add_link (QuinceQuarantineCoordinator *coordinator, QuinceLink *link)
{
  quince_suspect_reporter_send_all_to (coordinator->reporter, link);
}

void
quince_quarantine_coordinator_link_closed (QuinceQuarantineCoordinator *coordinator, QuinceLink *link)
{
  quince_permits_return_all (coordinator->permits, link);
}

/* ---- Messages ------------------------------------------------------------ */

static void
add_expected_ends (QuinceQuarantineCoordinator *coordinator, const QuinceSuspectReports *reports)
{
  gint64 now = quince_now_us ();
  for (guint i = 0; i < reports->suspects.suspects_len; i++)
    {
      QuinceSuspect expected;
      quince_suspect_read_report (&reports->suspects.suspects_val[i], now, &expected);
      quince_expected_ends_add (coordinator->expected_ends, now, &expected);
    }
}

/* Removes the in-flight sends whose outcome was reported. */
static void
remove_expected_ends (QuinceQuarantineCoordinator *coordinator, const QuinceSuspectReports *reports)
{
  for (guint i = 0; i < reports->suspects.suspects_len; i++)
    {
      QuinceRequestDigest digest;
      memcpy (digest.bytes, reports->suspects.suspects_val[i].digest, sizeof digest.bytes);
      quince_expected_ends_remove (coordinator->expected_ends, &digest);
    }
}

static void
forward_reports (QuinceQuarantineCoordinator *coordinator, gint64 now_us, const GArray *changed)
{
  for (guint i = 0; i < changed->len; i++)
    {
      const QuinceRequestDigest *digest = &g_array_index (changed, QuinceRequestDigest, i);
      quince_send_guard_handle_report (coordinator->guard, now_us, digest);
      quince_suspect_reporter_queue_change (coordinator->reporter, digest);
    }
}

static void
handle_suspect_reports (QuinceQuarantineCoordinator *coordinator, const QuinceSuspectReports *reports)
{
  remove_expected_ends (coordinator, reports);
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  g_autoptr (GArray) cleared_suspects = g_array_new (FALSE, FALSE, sizeof (QuinceSuspectCleared));
  gint64 now = quince_now_us ();
  quince_suspect_reports_apply (get_quarantine (coordinator), now, reports, changed, cleared_suspects);
  forward_reports (coordinator, now, changed);
  for (guint i = 0; quince_suspect_reporter_is_active (coordinator->reporter) && i < cleared_suspects->len;
       i++)
    {
      const QuinceSuspectCleared *suspect = &g_array_index (cleared_suspects, QuinceSuspectCleared, i);
      quince_suspect_reporter_send_cleared (coordinator->reporter, &suspect->digest, suspect->scope);
    }
}

static void
handle_permit_request (QuinceQuarantineCoordinator *coordinator,
                       QuinceLink *link,
                       const QuincePermitAsk *request)
{
  QuinceRequestDigest digest;
  memcpy (digest.bytes, request->digest, sizeof digest.bytes);
  /* The front may not know yet that the request is held or must be sent alone. */
  QuinceSendRule rule = quince_quarantine_get_rule (get_quarantine (coordinator), &digest);
  gboolean allowed = rule != QUINCE_SEND_HELD && (request->alone || rule != QUINCE_SEND_ALONE);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PERMIT_ANSWER };
  QuincePermitAnswer *answer = &message.QuinceMessage_u.permit_answer;
  memcpy (answer->digest, request->digest, sizeof answer->digest);
  answer->given = quince_suspect_reporter_is_active (coordinator->reporter) && allowed
                  && grant_permit (coordinator, &digest, request->service, request->alone, link);
  quince_link_send (link, &message);
}

gboolean
quince_quarantine_coordinator_handle_message (QuinceQuarantineCoordinator *coordinator,
                                              QuinceLink *link,
                                              const QuinceMessage *message)
{
  QuinceRequestDigest digest;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_SUSPECT_NEWS:
      handle_suspect_reports (coordinator, &message->QuinceMessage_u.suspect_news);
      return TRUE;
    case QUINCE_MESSAGE_SUSPECT_SENDING:
      add_expected_ends (coordinator, &message->QuinceMessage_u.suspect_sending);
      return TRUE;
    case QUINCE_MESSAGE_PERMIT_ASK:
      handle_permit_request (coordinator, link, &message->QuinceMessage_u.permit_ask);
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
quince_quarantine_coordinator_merge_list (QuinceQuarantineCoordinator *coordinator,
                                          const char *front,
                                          GBytes *value)
{
  if (value == NULL)
    return;
  gint64 now = quince_now_us ();
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  quince_suspect_list_merge (get_quarantine (coordinator), now, quince_wall_ms (), front, value, changed);
  forward_reports (coordinator, now, changed);
}

void
quince_quarantine_coordinator_apply_entry (QuinceQuarantineCoordinator *coordinator,
                                           const char *name,
                                           GBytes *value)
{
  quince_quarantine_keys_apply_entry (coordinator->keys, name, value);
}

/* Returns whether the software of the worker that ended has been replaced in the whole service, so that the
 * request may succeed now: no listed worker runs it, and at least one worker that is not draining reports
 * other software. */
static gboolean
is_software_replaced (const QuinceQuarantineCoordinator *coordinator, const QuinceSuspect *suspect)
{
  if (!suspect->held || suspect->service == NULL || suspect->software == NULL)
    return FALSE;
  g_autoptr (GPtrArray) workers = quince_worker_table_list (coordinator->workers, suspect->service);
  gboolean has_replacement = FALSE;
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      if (g_strcmp0 (worker->software, suspect->software) == 0)
        return FALSE;
      has_replacement = has_replacement || (!worker->draining && worker->software != NULL);
    }
  return has_replacement;
}

void
quince_quarantine_coordinator_step (QuinceQuarantineCoordinator *coordinator)
{
  gint64 now = quince_now_us ();
  quince_quarantine_expire (get_quarantine (coordinator), now);
  if (!quince_suspect_reporter_is_active (coordinator->reporter))
    return;
  g_autoptr (GPtrArray) suspects = quince_quarantine_list (get_quarantine (coordinator));
  for (guint i = 0; i < suspects->len; i++)
    {
      const QuinceSuspect *suspect = suspects->pdata[i];
      if (!is_software_replaced (coordinator, suspect))
        continue;
      g_autofree char *digest = quince_request_digest_format (&suspect->digest);
      quince_log_info ("suspect_released", "digest=%s", digest);
      quince_quarantine_release (get_quarantine (coordinator), now, &suspect->digest);
      quince_suspect_reporter_queue_change (coordinator->reporter, &suspect->digest);
    }
  quince_suspect_reporter_step (coordinator->reporter, suspects);
  quince_quarantine_keys_sync (coordinator->keys, suspects);
}
