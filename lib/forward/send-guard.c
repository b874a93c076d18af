/*
 * send-guard.c: admission of requests to workers, and permits for suspects.
 */
#include "runtime/log.h"
#include "runtime/clock.h"

#include "send-guard-private.h"

/* Pause before a refused permit is requested again, us: about the duration of a lookup (25 ms), after which
 * its holder may have returned it. */
#define PERMIT_RETRY_DELAY_US (20 * 1000)
/* Time after which an unanswered permit request is sent again, us: much longer than a round trip to the
 * leader (6 ms). */
#define PERMIT_ANSWER_TIMEOUT_US (500 * 1000)
/* Time for which a granted permit that is not used yet remains valid, us: less than the 3 s after which it
 * expires at the leader. */
#define UNUSED_PERMIT_TTL_US (1 * G_USEC_PER_SEC)
/* Interval between removals of expired suspects, us: there may be thousands of suspects. */
#define EXPIRE_INTERVAL_US (1 * G_USEC_PER_SEC)

typedef enum
{
  PERMIT_REQUEST_PENDING,
  PERMIT_REQUEST_GRANTED,
  PERMIT_REQUEST_REFUSED,
} PermitRequestState;

/* A request to the leader for a permit, and the permit until it is used. */
typedef struct
{
  QuinceRequestDigest digest;
  PermitRequestState state;
  gint64 state_since_us; /* monotonic */
  gboolean alone;
} PermitRequest;

void
quince_quarantine_read_limits (const QuinceSettings *settings, QuinceQuarantineLimits *limits)
{
  limits->suspects_max = (guint)quince_settings_get_integer (settings, "quarantine", "entries");
  limits->suspect_bytes_max = (gsize)quince_settings_get_integer (settings, "quarantine", "kilobytes") * 1024;
  limits->suspect_ttl_us = quince_settings_get_duration_us (settings, "quarantine", "doubt_keep");
  limits->held_ttl_us = quince_settings_get_duration_us (settings, "quarantine", "hold_keep");
}

QuinceSendGuard *
quince_send_guard_new (const QuinceQuarantineLimits *limits,
                       const QuinceSendGuardCallbacks *callbacks,
                       gpointer user_data)
{
  QuinceSendGuard *guard = g_new0 (QuinceSendGuard, 1);
  guard->quarantine = quince_quarantine_new (limits);
  guard->permit_requests
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, NULL, g_free);
  guard->permits_in_use
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  guard->capacities = quince_service_capacities_new ();
  guard->losses = quince_send_guard_losses_new ();
  guard->return_checks = quince_send_guard_return_checks_new ();
  guard->callbacks = callbacks;
  guard->user_data = user_data;
  return guard;
}

void
quince_send_guard_free (QuinceSendGuard *guard)
{
  if (guard == NULL)
    return;
  g_hash_table_unref (guard->return_checks);
  g_hash_table_unref (guard->losses);
  g_hash_table_unref (guard->permits_in_use);
  quince_service_capacities_free (guard->capacities);
  g_hash_table_unref (guard->permit_requests);
  quince_quarantine_free (guard->quarantine);
  g_free (guard);
}

QuinceQuarantine *
quince_send_guard_get_quarantine (QuinceSendGuard *guard)
{
  return guard->quarantine;
}

void
quince_send_guard_set_workers (QuinceSendGuard *guard, QuinceWorkerTable *workers)
{
  guard->workers = workers;
}

gboolean
quince_send_guard_is_idle (const QuinceSendGuard *guard)
{
  return guard->pending_checks == 0 && quince_quarantine_get_size (guard->quarantine) == 0;
}

/* ---- Permits ----------------------------------------------------------- */

/* Returns whether the permit request is still valid; otherwise it must be sent again. */
static gboolean
is_permit_request_valid (const PermitRequest *request, gint64 now_us, gboolean alone)
{
  static const gint64 validity_us[] = { [PERMIT_REQUEST_PENDING] = PERMIT_ANSWER_TIMEOUT_US,
                                        [PERMIT_REQUEST_GRANTED] = UNUSED_PERMIT_TTL_US,
                                        [PERMIT_REQUEST_REFUSED] = PERMIT_RETRY_DELAY_US };
  return now_us - request->state_since_us < validity_us[request->state] && (request->alone || !alone);
}

/* Sends a permit request, which replaces an earlier one.  Returns (nullable): the request, perhaps already
 * answered; %NULL if there is no leader */
static const PermitRequest *
send_permit_request (QuinceSendGuard *guard,
                     gint64 now_us,
                     const QuinceRequestDigest *digest,
                     const char *service,
                     gboolean alone)
{
  PermitRequest *request = g_new0 (PermitRequest, 1);
  request->digest = *digest;
  request->state_since_us = now_us;
  request->alone = alone;
  g_hash_table_replace (guard->permit_requests, &request->digest, request);
  if (guard->callbacks->request_permit (digest, service, alone, guard->user_data))
    return g_hash_table_lookup (guard->permit_requests, digest);
  g_hash_table_remove (guard->permit_requests, digest);
  return NULL;
}

void
quince_send_guard_handle_permit_answer (QuinceSendGuard *guard,
                                        const QuinceRequestDigest *digest,
                                        gboolean granted)
{
  PermitRequest *request = g_hash_table_lookup (guard->permit_requests, digest);
  if (request == NULL || request->state != PERMIT_REQUEST_PENDING)
    {
      if (granted)
        guard->callbacks->return_permit (digest, guard->user_data);
      return;
    }
  request->state = granted ? PERMIT_REQUEST_GRANTED : PERMIT_REQUEST_REFUSED;
  request->state_since_us = quince_now_us ();
}

void
quince_send_guard_drop_permit_requests (QuinceSendGuard *guard)
{
  g_hash_table_remove_all (guard->permit_requests);
}

/* @request: (nullable): NULL if there is no leader */
static QuincePermitState
get_permit_state (const PermitRequest *request)
{
  if (request == NULL)
    return QUINCE_PERMIT_NO_LEADER;
  return request->state == PERMIT_REQUEST_GRANTED ? QUINCE_PERMIT_GRANTED : QUINCE_PERMIT_PENDING;
}

static QuinceAdmission
acquire_permit (QuinceSendGuard *guard,
                gint64 now_us,
                const QuinceRequestDigest *digest,
                const char *service,
                gboolean alone,
                QuinceSendPermit *permit)
{
  const PermitRequest *request = g_hash_table_lookup (guard->permit_requests, digest);
  if (request == NULL || !is_permit_request_valid (request, now_us, alone))
    request = send_permit_request (guard, now_us, digest, service, alone);
  QuinceAdmission admission = quince_admission_for_permit_state (get_permit_state (request), alone);
  if (admission != QUINCE_ADMISSION_PERMIT)
    return admission;
  *permit = (QuinceSendPermit){ .taken = TRUE, .alone = request->alone, .digest = *digest };
  g_hash_table_add (guard->permits_in_use, g_memdup2 (digest, sizeof *digest));
  g_hash_table_remove (guard->permit_requests, digest);
  return QUINCE_ADMISSION_PERMIT;
}

static void
expire_suspects (QuinceSendGuard *guard, gint64 now_us)
{
  if (now_us < guard->next_expire_us)
    return;
  guard->next_expire_us = now_us + EXPIRE_INTERVAL_US;
  quince_quarantine_expire (guard->quarantine, now_us);
}

/* Returns the stricter of the rules for the request and for its prompt.  @prompt_rule: (out): the rule for
 * the prompt */
static QuinceSendRule
get_stricter_rule (const QuinceSendGuard *guard,
                   const QuinceRequestIdentity *identity,
                   QuinceSendRule *prompt_rule)
{
  *prompt_rule = identity->has_prompt ? quince_quarantine_get_rule (guard->quarantine, &identity->prompt)
                                      : QUINCE_SEND_UNRESTRICTED;
  return MAX (quince_quarantine_get_rule (guard->quarantine, &identity->request), *prompt_rule);
}

QuinceAdmission
quince_send_guard_admit (QuinceSendGuard *guard,
                         gint64 now_us,
                         const QuinceRequestIdentity *identity,
                         gboolean owed,
                         const char *service,
                         QuinceSendPermit *permit)
{
  expire_suspects (guard, now_us);
  QuinceSendRule prompt_rule;
  QuinceSendRule rule = get_stricter_rule (guard, identity, &prompt_rule);
  /* Requests that share a suspected prompt share one permit. */
  const QuinceRequestDigest *digest
      = prompt_rule != QUINCE_SEND_UNRESTRICTED ? &identity->prompt : &identity->request;
  const QuinceAdmissionInput request
      = { .rule = rule,
          .loss_check_pending = quince_send_guard_is_loss_check_pending (guard, identity),
          .permit_in_use = g_hash_table_contains (guard->permits_in_use, digest),
          .should_yield = quince_quarantine_should_yield (guard->quarantine, now_us, identity),
          .owed = owed,
          .owed_wait_us = quince_quarantine_get_owed_wait_us (guard->quarantine, now_us, identity) };
  QuinceAdmission admission = quince_admission_for_request (&request);
  if (admission != QUINCE_ADMISSION_PERMIT)
    return admission;
  if (!quince_send_guard_service_survives_end (guard, now_us, service, 0))
    return QUINCE_ADMISSION_PROTECTED;
  return acquire_permit (guard, now_us, digest, service, rule >= QUINCE_SEND_ALONE, permit);
}

gboolean
quince_send_guard_may_hedge (QuinceSendGuard *guard,
                             gint64 now_us,
                             const QuinceRequestIdentity *identity,
                             const char *service)
{
  QuinceSendRule prompt_rule;
  const QuinceAdmissionInput request
      = { .rule = get_stricter_rule (guard, identity, &prompt_rule),
          .loss_check_pending = quince_send_guard_is_loss_check_pending (guard, identity) };
  return quince_admission_allows_hedge (&request)
         && quince_send_guard_service_allows_hedge (guard, now_us, service);
}

/* ---- Sends and answers --------------------------------------------------- */

static void
report_expected_end (QuinceSendGuard *guard,
                     gint64 now_us,
                     const QuinceRequestIdentity *identity,
                     const QuinceSendPermit *permit,
                     const QuinceWorker *worker,
                     QuinceSuspectScope scope)
{
  QuinceSuspect observed;
  QuinceSuspect expected;
  quince_send_guard_describe_end (guard, identity, permit, scope, worker->incarnation, now_us, &observed);
  quince_quarantine_expect_end (guard->quarantine, now_us, &observed, &expected);
  guard->callbacks->sending (&expected, guard->user_data);
}

void
quince_send_guard_report_send (QuinceSendGuard *guard,
                               gint64 now_us,
                               const QuinceRequestIdentity *identity,
                               const QuinceSendPermit *permit,
                               const QuinceWorker *worker)
{
  if (!permit->taken || guard->callbacks->sending == NULL)
    return;
  report_expected_end (guard, now_us, identity, permit, worker, QUINCE_SUSPECT_REQUEST);
  if (identity->has_prompt)
    report_expected_end (guard, now_us, identity, permit, worker, QUINCE_SUSPECT_PROMPT);
}

static void
report_cleared (QuinceSendGuard *guard,
                const QuinceRequestDigest *digest,
                QuinceSuspectScope scope,
                guint ends)
{
  g_autofree char *digest_text = quince_request_digest_format (digest);
  quince_log_info ("suspect_cleared", "digest=%s scope=%s", digest_text, quince_suspect_scope_name (scope));
  guard->callbacks->cleared (digest, scope, ends, guard->user_data);
}

static guint
count_ends (const QuinceSendGuard *guard, const QuinceRequestDigest *digest)
{
  const QuinceSuspect *suspect = quince_quarantine_find (guard->quarantine, digest);
  return suspect != NULL ? suspect->n_workers : 0;
}

void
quince_send_guard_handle_answer (QuinceSendGuard *guard,
                                 const QuinceRequestIdentity *identity,
                                 QuinceSendPermit *permit)
{
  guint ends = count_ends (guard, &identity->request);
  if (quince_quarantine_clear (guard->quarantine, &identity->request))
    report_cleared (guard, &identity->request, QUINCE_SUSPECT_REQUEST, ends);
  ends = identity->has_prompt ? count_ends (guard, &identity->prompt) : 0;
  if (identity->has_prompt
      && quince_quarantine_clear_prompt (guard->quarantine, quince_now_us (), &identity->prompt))
    report_cleared (guard, &identity->prompt, QUINCE_SUSPECT_PROMPT, ends);
  quince_send_guard_return_permit (guard, permit);
}
