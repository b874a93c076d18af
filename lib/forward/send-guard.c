/*
 * send-guard.c: whether a request may be sent to a worker.
 */
#include "runtime/log.h"
#include "runtime/clock.h"

#include "send-guard-private.h"
#include "worker-check.h"

/* Time after which a permit that another request has is asked for again, us: a usual run of a lookup takes
 * about 25 ms at the users' workers. */
#define BUSY_PAUSE_US (20 * 1000)
/* Time after which an unanswered request for a permit is made again, us.  Not measured: far above a round
 * trip to the leader (6 ms). */
#define ANSWER_PATIENCE_US (500 * 1000)
/* Time for which a permit whose request has gone may serve another one of the same digest, us: less than the
 * leader keeps it (3 s). */
#define GIVEN_KEEP_US (1 * G_USEC_PER_SEC)
/* Time for which a worker that was found to have ended is not checked again for further broken connections,
 * us: above the 3.6 s (three heartbeats of 1.2 s) after which its entry lapses. */
#define ENDED_KEEP_US (5 * G_USEC_PER_SEC)
/* Interval of the checks for outdated suspects, us: there may be some thousands.  Not measured. */
#define EXPIRE_EVERY_US (1 * G_USEC_PER_SEC)

typedef enum
{
  ASK_SENT,
  ASK_GIVEN,
  ASK_BUSY,
} AskState;

/* A permit that is asked for. */
typedef struct
{
  QuinceRequestDigest digest;
  AskState state;
  gint64 at_us; /* of the state */
  gboolean alone;
} Ask;

/* A request that lost its connection to the worker that is checked. */
typedef struct
{
  QuinceRequestIdentity identity;
  QuinceSendPermit permit;
} LostRun;

/* A worker whose connections broke. */
typedef struct
{
  QuinceSendGuard *guard;
  char *worker_id;
  char *service;
  char *software;
  GArray *runs;             /* LostRun */
  QuinceWorkerCheck *check; /* NULL: it has ended */
  gint64 ended_us;
} Loss;

static void
loss_free (gpointer data)
{
  Loss *loss = data;
  if (loss->check != NULL)
    quince_worker_check_cancel (loss->check);
  g_array_unref (loss->runs);
  g_free (loss->worker_id);
  g_free (loss->service);
  g_free (loss->software);
  g_free (loss);
}

void
quince_quarantine_read_limits (const QuinceSettings *settings, QuinceQuarantineLimits *limits)
{
  limits->entries_most = (guint)quince_settings_get_integer (settings, "quarantine", "entries");
  limits->bytes_most = (gsize)quince_settings_get_integer (settings, "quarantine", "kilobytes") * 1024;
  limits->suspect_keep_us = quince_settings_get_duration_us (settings, "quarantine", "doubt_keep");
  limits->hold_keep_us = quince_settings_get_duration_us (settings, "quarantine", "hold_keep");
}

QuinceSendGuard *
quince_send_guard_new (const QuinceQuarantineLimits *limits,
                       const QuinceSendGuardCallbacks *callbacks,
                       gpointer user_data)
{
  QuinceSendGuard *guard = g_new0 (QuinceSendGuard, 1);
  guard->quarantine = quince_quarantine_new (limits);
  guard->asks = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, NULL, g_free);
  guard->held = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  guard->capacities = quince_service_capacities_new ();
  guard->losses = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, loss_free);
  guard->callbacks = callbacks;
  guard->user_data = user_data;
  return guard;
}

void
quince_send_guard_free (QuinceSendGuard *guard)
{
  if (guard == NULL)
    return;
  g_hash_table_unref (guard->losses);
  g_hash_table_unref (guard->held);
  quince_service_capacities_free (guard->capacities);
  g_hash_table_unref (guard->asks);
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
  return guard->checks == 0 && quince_quarantine_get_size (guard->quarantine) == 0;
}

/* ---- Permits ----------------------------------------------------------- */

static gboolean
is_of (const QuinceRequestIdentity *lost, const QuinceRequestIdentity *identity)
{
  return quince_request_digest_equal (&lost->request, &identity->request)
         || (lost->has_prompt && identity->has_prompt
             && quince_request_digest_equal (&lost->prompt, &identity->prompt));
}

/* A loss of the request, or of its prompt, is not decided yet: it may turn out to be an end. */
static gboolean
is_checked (const QuinceSendGuard *guard, const QuinceRequestIdentity *identity)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, guard->losses);
  while (guard->checks > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Loss *loss = value;
      for (guint i = 0; loss->check != NULL && i < loss->runs->len; i++)
        if (is_of (&g_array_index (loss->runs, LostRun, i).identity, identity))
          return TRUE;
    }
  return FALSE;
}

/* Returns: %FALSE when @ask has to be made again. */
static gboolean
is_current (const Ask *ask, gint64 now_us, gboolean alone)
{
  static const gint64 keep_us[]
      = { [ASK_SENT] = ANSWER_PATIENCE_US, [ASK_GIVEN] = GIVEN_KEEP_US, [ASK_BUSY] = BUSY_PAUSE_US };
  return now_us - ask->at_us < keep_us[ask->state] && (ask->alone || !alone);
}

/* Returns: (nullable): %NULL when there is no leader to ask. */
static const Ask *
ask_again (QuinceSendGuard *guard,
           gint64 now_us,
           const QuinceRequestDigest *digest,
           const char *service,
           gboolean alone)
{
  Ask *ask = g_new0 (Ask, 1);
  ask->digest = *digest;
  ask->at_us = now_us;
  ask->alone = alone;
  g_hash_table_replace (guard->asks, &ask->digest, ask);
  if (guard->callbacks->ask (digest, service, alone, guard->user_data))
    return g_hash_table_lookup (guard->asks, digest);
  g_hash_table_remove (guard->asks, digest);
  return NULL;
}

void
quince_send_guard_answer (QuinceSendGuard *guard, const QuinceRequestDigest *digest, gboolean given)
{
  Ask *ask = g_hash_table_lookup (guard->asks, digest);
  if (ask == NULL || ask->state != ASK_SENT)
    {
      if (given)
        guard->callbacks->give_back (digest, guard->user_data);
      return;
    }
  ask->state = given ? ASK_GIVEN : ASK_BUSY;
  ask->at_us = quince_now_us ();
}

void
quince_send_guard_forget_requested (QuinceSendGuard *guard)
{
  g_hash_table_remove_all (guard->asks);
}

/* @ask: (nullable) */
static QuincePermitState
state_of (const Ask *ask)
{
  if (ask == NULL)
    return QUINCE_PERMIT_NO_LEADER;
  return ask->state == ASK_GIVEN ? QUINCE_PERMIT_GIVEN : QUINCE_PERMIT_PENDING;
}

static QuinceAdmission
ask_permit (QuinceSendGuard *guard,
            gint64 now_us,
            const QuinceRequestDigest *digest,
            const char *service,
            gboolean alone,
            QuinceSendPermit *permit)
{
  const Ask *ask = g_hash_table_lookup (guard->asks, digest);
  if (ask == NULL || !is_current (ask, now_us, alone))
    ask = ask_again (guard, now_us, digest, service, alone);
  QuinceAdmission admission = quince_admission_of_permit (state_of (ask), alone);
  if (admission != QUINCE_ADMISSION_PERMIT)
    return admission;
  *permit = (QuinceSendPermit){ .taken = TRUE, .alone = ask->alone, .digest = *digest };
  g_hash_table_add (guard->held, g_memdup2 (digest, sizeof *digest));
  g_hash_table_remove (guard->asks, digest);
  return QUINCE_ADMISSION_PERMIT;
}

static void
expire_seldom (QuinceSendGuard *guard, gint64 now_us)
{
  if (now_us < guard->expire_us)
    return;
  guard->expire_us = now_us + EXPIRE_EVERY_US;
  quince_quarantine_expire (guard->quarantine, now_us);
}

/* What is known of the request and of its prompt: the stricter one counts. */
static QuinceSendRule
judge (const QuinceSendGuard *guard, const QuinceRequestIdentity *identity, QuinceSendRule *of_prompt)
{
  *of_prompt = identity->has_prompt ? quince_quarantine_judge (guard->quarantine, &identity->prompt)
                                    : QUINCE_SEND_FREE;
  return MAX (quince_quarantine_judge (guard->quarantine, &identity->request), *of_prompt);
}

QuinceAdmission
quince_send_guard_ask (QuinceSendGuard *guard,
                       gint64 now_us,
                       const QuinceRequestIdentity *identity,
                       const char *service,
                       QuinceSendPermit *permit)
{
  expire_seldom (guard, now_us);
  QuinceSendRule of_prompt;
  QuinceSendRule rule = judge (guard, identity, &of_prompt);
  /* One permit for all that share a suspected prompt. */
  const QuinceRequestDigest *digest = of_prompt != QUINCE_SEND_FREE ? &identity->prompt : &identity->request;
  const QuinceAdmissionCase request
      = { .rule = rule,
          .loss_checked = is_checked (guard, identity),
          .permit_in_use = g_hash_table_contains (guard->held, digest),
          .gives_way = quince_quarantine_gives_way (guard->quarantine, now_us, identity) };
  QuinceAdmission admission = quince_admission_of_request (&request);
  if (admission != QUINCE_ADMISSION_PERMIT)
    return admission;
  if (!quince_send_guard_survives_end (guard, now_us, service, 0))
    return QUINCE_ADMISSION_PROTECTED;
  return ask_permit (guard, now_us, digest, service, rule == QUINCE_SEND_ALONE, permit);
}

gboolean
quince_send_guard_may_hedge (QuinceSendGuard *guard,
                             gint64 now_us,
                             const QuinceRequestIdentity *identity,
                             const char *service)
{
  QuinceSendRule of_prompt;
  const QuinceAdmissionCase request
      = { .rule = judge (guard, identity, &of_prompt), .loss_checked = is_checked (guard, identity) };
  return quince_admission_allows_hedge (&request) && quince_send_guard_allows_hedge (guard, now_us, service);
}

void
quince_send_guard_over (QuinceSendGuard *guard, QuinceSendPermit *permit)
{
  if (permit->taken && g_hash_table_remove (guard->held, &permit->digest))
    guard->callbacks->give_back (&permit->digest, guard->user_data);
  *permit = (QuinceSendPermit){ 0 };
}

/* ---- Ends of workers ---------------------------------------------------- */

/* One end of @worker_id under a request, or under its prompt. */
static void
describe_end (const QuinceRequestIdentity *identity,
              const QuinceSendPermit *permit,
              const char *worker_id,
              QuinceSuspectScope scope,
              QuinceSuspect *seen)
{
  *seen = (QuinceSuspect){ .digest = scope == QUINCE_SUSPECT_PROMPT ? identity->prompt : identity->request,
                           .scope = scope,
                           .workers = { quince_quarantine_hash_worker (worker_id) },
                           .n_workers = 1,
                           .alone = permit->taken && permit->alone,
                           .member = quince_quarantine_hash_request (&identity->request) };
}

static void
note_suspect (QuinceSendGuard *guard, const Loss *loss, const LostRun *run, QuinceSuspectScope scope)
{
  QuinceSuspect seen;
  describe_end (&run->identity, &run->permit, loss->worker_id, scope, &seen);
  seen.service = loss->service;
  seen.software = loss->software;
  const QuinceSuspect *known = quince_quarantine_note_end (guard->quarantine, quince_now_us (), &seen);
  if (known == NULL)
    return;
  g_autofree char *digest = quince_request_digest_format (&known->digest);
  quince_log_warning ("worker_ended", "worker=%s digest=%s scope=%s ends=%u alone=%u held=%s",
                      loss->worker_id, digest, quince_suspect_scope_name (scope), known->n_workers,
                      known->alone, known->held ? "true" : "false");
  guard->callbacks->ended (known, guard->user_data);
}

static void
note_end (QuinceSendGuard *guard, const Loss *loss, LostRun *run)
{
  note_suspect (guard, loss, run, QUINCE_SUSPECT_REQUEST);
  if (run->identity.has_prompt)
    note_suspect (guard, loss, run, QUINCE_SUSPECT_PROMPT);
  quince_service_capacities_note_end (guard->capacities, quince_now_us (), loss->service);
  quince_send_guard_over (guard, &run->permit);
}

static void
tell_sending (QuinceSendGuard *guard,
              gint64 now_us,
              const QuinceRequestIdentity *identity,
              const QuinceSendPermit *permit,
              const char *worker_id,
              QuinceSuspectScope scope)
{
  QuinceSuspect seen;
  QuinceSuspect expected;
  describe_end (identity, permit, worker_id, scope, &seen);
  quince_quarantine_expect_end (guard->quarantine, now_us, &seen, &expected);
  guard->callbacks->sending (&expected, guard->user_data);
}

void
quince_send_guard_sending (QuinceSendGuard *guard,
                           gint64 now_us,
                           const QuinceRequestIdentity *identity,
                           const QuinceSendPermit *permit,
                           const char *worker_id)
{
  if (!permit->taken || guard->callbacks->sending == NULL)
    return;
  tell_sending (guard, now_us, identity, permit, worker_id, QUINCE_SUSPECT_REQUEST);
  if (identity->has_prompt)
    tell_sending (guard, now_us, identity, permit, worker_id, QUINCE_SUSPECT_PROMPT);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer data)
{
  const Loss *loss = value;
  const gint64 *now_us = data;
  return loss->check == NULL && *now_us - loss->ended_us > ENDED_KEEP_US;
}

/* If several requests that were sent alone met at this worker, at most one of them ended it: none counts as
 * sent alone, or an innocent prompt would be held.  A run may outlast the time for which others are kept
 * away. */
static void
count_none_alone_if_several (Loss *loss)
{
  guint sent_alone = 0;
  for (guint i = 0; i < loss->runs->len; i++)
    sent_alone += g_array_index (loss->runs, LostRun, i).permit.alone;
  for (guint i = 0; sent_alone > 1 && i < loss->runs->len; i++)
    g_array_index (loss->runs, LostRun, i).permit.alone = FALSE;
}

static void
check_done (QuinceWorkerSign sign, gpointer data)
{
  Loss *loss = data;
  QuinceSendGuard *guard = loss->guard;
  loss->check = NULL;
  loss->ended_us = quince_now_us ();
  guard->checks--;
  count_none_alone_if_several (loss);
  for (guint i = 0; i < loss->runs->len; i++)
    {
      LostRun *run = &g_array_index (loss->runs, LostRun, i);
      if (sign == QUINCE_WORKER_ENDED)
        note_end (guard, loss, run);
      else
        quince_send_guard_over (guard, &run->permit);
    }
  if (sign != QUINCE_WORKER_ENDED)
    g_hash_table_remove (guard->losses, loss->worker_id);
}

static Loss *
find_or_check (QuinceSendGuard *guard, const QuinceWorker *worker)
{
  gint64 now = quince_now_us ();
  g_hash_table_foreach_remove (guard->losses, is_old, &now);
  Loss *loss = g_hash_table_lookup (guard->losses, worker->id);
  if (loss != NULL)
    return loss;
  loss = g_new0 (Loss, 1);
  loss->guard = guard;
  loss->worker_id = g_strdup (worker->id);
  loss->service = g_strdup (worker->service);
  loss->software = g_strdup (worker->software);
  loss->runs = g_array_new (FALSE, FALSE, sizeof (LostRun));
  loss->check = quince_worker_check_start (worker->address, check_done, loss);
  g_hash_table_insert (guard->losses, loss->worker_id, loss);
  guard->checks++;
  return loss;
}

/* The end of a worker that drains, or is not listed, is not caused by a request. */
static gboolean
is_expected_to_end (const QuinceWorker *worker)
{
  return worker == NULL || worker->draining || worker->gone_after_us != 0;
}

void
quince_send_guard_lost (QuinceSendGuard *guard,
                        const QuinceRequestIdentity *identity,
                        QuinceSendPermit *permit,
                        const QuinceWorker *worker)
{
  if (is_expected_to_end (worker))
    {
      quince_send_guard_over (guard, permit);
      return;
    }
  LostRun run = { .identity = *identity, .permit = *permit };
  *permit = (QuinceSendPermit){ 0 }; /* it is over when the loss is decided */
  if (guard->workers != NULL)
    quince_send_guard_note_service (guard, quince_now_us (), worker->service);
  Loss *loss = find_or_check (guard, worker);
  if (loss->check != NULL)
    g_array_append_val (loss->runs, run);
  else
    note_end (guard, loss, &run);
}

static void
tell_cleared (QuinceSendGuard *guard, const QuinceRequestDigest *digest, QuinceSuspectScope scope, guint ends)
{
  g_autofree char *text = quince_request_digest_format (digest);
  quince_log_info ("suspect_cleared", "digest=%s scope=%s", text, quince_suspect_scope_name (scope));
  guard->callbacks->cleared (digest, scope, ends, guard->user_data);
}

static guint
count_ends (const QuinceSendGuard *guard, const QuinceRequestDigest *digest)
{
  const QuinceSuspect *suspect = quince_quarantine_find (guard->quarantine, digest);
  return suspect != NULL ? suspect->n_workers : 0;
}

void
quince_send_guard_answered (QuinceSendGuard *guard,
                            const QuinceRequestIdentity *identity,
                            QuinceSendPermit *permit)
{
  guint ends = count_ends (guard, &identity->request);
  if (quince_quarantine_clear (guard->quarantine, &identity->request))
    tell_cleared (guard, &identity->request, QUINCE_SUSPECT_REQUEST, ends);
  ends = identity->has_prompt ? count_ends (guard, &identity->prompt) : 0;
  if (identity->has_prompt
      && quince_quarantine_clear_prompt (guard->quarantine, quince_now_us (), &identity->prompt))
    tell_cleared (guard, &identity->prompt, QUINCE_SUSPECT_PROMPT, ends);
  quince_send_guard_over (guard, permit);
}
