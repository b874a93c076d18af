/*
 * send-guard-losses.c: broken connections to workers, and the checks whether the workers ended.
 *
 * When a connection breaks, its worker is checked.  Until the check is complete, the requests that ran on the
 * worker are not admitted.
 */
#include "runtime/clock.h"
#include "runtime/log.h"

#include "send-guard-private.h"
#include "worker-check.h"

/* Time for which further broken connections to an ended worker count as its end without another check, us.
 * Longer than the 3.6 s (three heartbeats of 1.2 s) after which the worker's entry expires. */
#define ENDED_WORKER_RETENTION_US (5 * G_USEC_PER_SEC)

/* A request whose connection to the worker broke. */
typedef struct
{
  QuinceRequestIdentity identity;
  QuinceSendPermit permit;
  gint64 sent_us;
} LostRun;

/* A worker with broken connections. */
typedef struct
{
  QuinceSendGuard *guard;
  QuinceIncarnation incarnation;
  char *worker_id;
  char *service;
  char *software;
  GArray *runs;             /* LostRun */
  GPtrArray *sends;         /* QuinceSuspect, owned: sends of a failed leader */
  QuinceWorkerCheck *check; /* NULL: the worker has ended */
  gint64 ended_us;
} WorkerLoss;

static void
loss_free (gpointer data)
{
  WorkerLoss *loss = data;
  if (loss->check != NULL)
    quince_worker_check_cancel (loss->check);
  g_array_unref (loss->runs);
  g_ptr_array_unref (loss->sends);
  g_free (loss->worker_id);
  g_free (loss->service);
  g_free (loss->software);
  g_free (loss);
}

GHashTable *
quince_send_guard_losses_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, loss_free);
}

static gboolean
run_matches_request (const QuinceRequestIdentity *lost, const QuinceRequestIdentity *identity)
{
  return quince_request_digest_equal (&lost->request, &identity->request)
         || (lost->has_prompt && identity->has_prompt
             && quince_request_digest_equal (&lost->prompt, &identity->prompt));
}

static gboolean
send_matches_request (const QuinceSuspect *send, const QuinceRequestIdentity *identity)
{
  return quince_request_digest_equal (&send->digest, &identity->request)
         || (identity->has_prompt && quince_request_digest_equal (&send->digest, &identity->prompt));
}

static gboolean
loss_affects_request (const WorkerLoss *loss, const QuinceRequestIdentity *identity)
{
  for (guint i = 0; i < loss->runs->len; i++)
    if (run_matches_request (&g_array_index (loss->runs, LostRun, i).identity, identity))
      return TRUE;
  for (guint i = 0; i < loss->sends->len; i++)
    if (send_matches_request (loss->sends->pdata[i], identity))
      return TRUE;
  return FALSE;
}

gboolean
quince_send_guard_is_loss_check_pending (const QuinceSendGuard *guard, const QuinceRequestIdentity *identity)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, guard->losses);
  while (guard->pending_checks > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const WorkerLoss *loss = value;
      if (loss->check != NULL && loss_affects_request (loss, identity))
        return TRUE;
    }
  return FALSE;
}

void
quince_send_guard_return_permit (QuinceSendGuard *guard, QuinceSendPermit *permit)
{
  if (permit->taken && g_hash_table_remove (guard->permits_in_use, &permit->digest))
    guard->callbacks->return_permit (&permit->digest, guard->user_data);
  *permit = (QuinceSendPermit){ 0 };
}

/* ---- Ends of workers ---------------------------------------------------- */

void
quince_send_guard_describe_end (const QuinceSendGuard *guard,
                                const QuinceRequestIdentity *identity,
                                const QuinceSendPermit *permit,
                                QuinceSuspectScope scope,
                                QuinceIncarnation worker,
                                gint64 sent_us,
                                QuinceSuspect *observed)
{
  const QuinceRequestDigest *digest = scope == QUINCE_SUSPECT_PROMPT ? &identity->prompt : &identity->request;
  QuinceIncarnation ended = quince_quarantine_identify_end (guard->quarantine, digest, worker, sent_us);
  *observed = (QuinceSuspect){ .digest = *digest,
                               .scope = scope,
                               .workers = { ended },
                               .n_workers = 1,
                               .alone = permit->taken && permit->alone,
                               .member = quince_quarantine_hash_request (&identity->request) };
}

static void
record_suspect_end (QuinceSendGuard *guard,
                    const WorkerLoss *loss,
                    const LostRun *run,
                    QuinceSuspectScope scope)
{
  QuinceSuspect observed;
  quince_send_guard_describe_end (guard, &run->identity, &run->permit, scope, loss->incarnation, run->sent_us,
                                  &observed);
  observed.service = loss->service;
  observed.software = loss->software;
  const QuinceSuspect *known = quince_quarantine_record_end (guard->quarantine, quince_now_us (), &observed);
  if (known == NULL)
    return;
  g_autofree char *digest = quince_request_digest_format (&known->digest);
  quince_log_warning ("worker_ended", "worker=%s digest=%s scope=%s ends=%u alone=%u held=%s",
                      loss->worker_id, digest, quince_suspect_scope_name (scope), known->n_workers,
                      known->alone, known->held ? "true" : "false");
  guard->callbacks->ended (known, guard->user_data);
}

static void
record_run_end (QuinceSendGuard *guard, const WorkerLoss *loss, LostRun *run)
{
  quince_quarantine_record_ended_worker (guard->quarantine, quince_now_us (), loss->incarnation);
  record_suspect_end (guard, loss, run, QUINCE_SUSPECT_REQUEST);
  if (run->identity.has_prompt)
    record_suspect_end (guard, loss, run, QUINCE_SUSPECT_PROMPT);
  quince_service_capacities_record_end (guard->capacities, quince_now_us (), loss->service);
  quince_send_guard_return_permit (guard, &run->permit);
}

/* ---- Sends of a failed leader --------------------------------------------- */

/* @outcome: value of the key "outcome" in the log */
static void
log_checked_send (const QuinceSuspect *send, const char *worker_id, const char *outcome)
{
  g_autofree char *digest = quince_request_digest_format (&send->digest);
  quince_log_info ("suspect_send_checked", "worker=%s digest=%s scope=%s outcome=%s", worker_id, digest,
                   quince_suspect_scope_name (send->scope), outcome);
}

static void
record_send_end (QuinceSendGuard *guard, const QuinceSuspect *send, const char *worker_id)
{
  log_checked_send (send, worker_id, "ended");
  if (quince_quarantine_merge (guard->quarantine, quince_now_us (), send))
    guard->callbacks->ended (quince_quarantine_find (guard->quarantine, &send->digest), guard->user_data);
}

/* Records ends only if the check found that the worker ended.  A running worker recorded as ended could keep
 * its service protected; then no suspect would be sent and cleared by an answer. */
static void
handle_checked_sends (QuinceSendGuard *guard, const WorkerLoss *loss, QuinceWorkerCheckResult result)
{
  for (guint i = 0; i < loss->sends->len; i++)
    if (result == QUINCE_WORKER_CHECK_ENDED)
      record_send_end (guard, loss->sends->pdata[i], loss->worker_id);
    else
      log_checked_send (loss->sends->pdata[i], loss->worker_id,
                        result == QUINCE_WORKER_CHECK_ALIVE ? "lives" : "unknown");
  if (result != QUINCE_WORKER_CHECK_ENDED || loss->sends->len == 0)
    return;
  quince_quarantine_record_ended_worker (guard->quarantine, quince_now_us (), loss->incarnation);
  quince_service_capacities_record_end (guard->capacities, quince_now_us (), loss->service);
}

/* ---- Checks ------------------------------------------------------------------ */

static gboolean
is_expired_loss (gpointer key, gpointer value, gpointer data)
{
  const WorkerLoss *loss = value;
  const gint64 *now_us = data;
  return loss->check == NULL && *now_us - loss->ended_us > ENDED_WORKER_RETENTION_US;
}

/* Counts no request as sent alone if several requests that were sent alone ran on the worker: at most one of
 * them ended it, and harmless requests must not be held.  Such runs can overlap, since a permit excludes
 * others only for a short time. */
static void
clear_alone_if_several (WorkerLoss *loss)
{
  guint sent_alone = 0;
  for (guint i = 0; i < loss->runs->len; i++)
    sent_alone += g_array_index (loss->runs, LostRun, i).permit.alone;
  for (guint i = 0; sent_alone > 1 && i < loss->runs->len; i++)
    g_array_index (loss->runs, LostRun, i).permit.alone = FALSE;
}

static void
handle_check_result (QuinceWorkerCheckResult result, gpointer data)
{
  WorkerLoss *loss = data;
  QuinceSendGuard *guard = loss->guard;
  loss->check = NULL;
  loss->ended_us = quince_now_us ();
  guard->pending_checks--;
  clear_alone_if_several (loss);
  for (guint i = 0; i < loss->runs->len; i++)
    {
      LostRun *run = &g_array_index (loss->runs, LostRun, i);
      if (result == QUINCE_WORKER_CHECK_ENDED)
        record_run_end (guard, loss, run);
      else
        quince_send_guard_return_permit (guard, &run->permit);
    }
  handle_checked_sends (guard, loss, result);
  if (result != QUINCE_WORKER_CHECK_ENDED)
    g_hash_table_remove (guard->losses, &loss->incarnation);
}

/* Returns (transfer full): the loss of @incarnation of @worker, without a check */
static WorkerLoss *
loss_new (QuinceSendGuard *guard, const QuinceWorker *worker, QuinceIncarnation incarnation)
{
  WorkerLoss *loss = g_new0 (WorkerLoss, 1);
  loss->guard = guard;
  loss->incarnation = incarnation;
  loss->worker_id = g_strdup (worker->id);
  loss->service = g_strdup (worker->service);
  loss->software = g_strdup (worker->software);
  loss->runs = g_array_new (FALSE, FALSE, sizeof (LostRun));
  loss->sends = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_suspect_free);
  return loss;
}

/* Returns the loss of @worker that covers a request sent at @sent_us.  A request that was sent after the
 * recorded end went to a later start of the worker, which is checked anew. */
static WorkerLoss *
find_or_start_check (QuinceSendGuard *guard, const QuinceWorker *worker, gint64 sent_us)
{
  gint64 now = quince_now_us ();
  g_hash_table_foreach_remove (guard->losses, is_expired_loss, &now);
  WorkerLoss *loss = g_hash_table_lookup (guard->losses, &worker->incarnation);
  if (loss != NULL && (loss->check != NULL || sent_us <= loss->ended_us))
    return loss;
  loss = loss_new (guard, worker, worker->incarnation);
  loss->check = quince_worker_check_start (worker->address, handle_check_result, loss);
  g_hash_table_replace (guard->losses, &loss->incarnation, loss);
  guard->pending_checks++;
  return loss;
}

/* Records the end of the incarnation to which a request was sent, since @worker has started again. */
static void
record_end_of_former_start (QuinceSendGuard *guard,
                            const QuinceWorker *worker,
                            const QuinceWorkerRef *ref,
                            LostRun *run)
{
  WorkerLoss *loss = loss_new (guard, worker, ref->incarnation);
  record_run_end (guard, loss, run);
  loss_free (loss);
}

/* Returns whether the worker is draining or not listed: its end is not attributed to a request. */
static gboolean
is_expected_to_end (const QuinceWorker *worker)
{
  return worker == NULL || worker->draining || worker->expires_us != 0;
}

void
quince_send_guard_handle_connection_loss (QuinceSendGuard *guard,
                                          const QuinceRequestIdentity *identity,
                                          QuinceSendPermit *permit,
                                          const QuinceWorkerRef *ref,
                                          const QuinceWorker *worker)
{
  if (is_expected_to_end (worker))
    {
      quince_send_guard_return_permit (guard, permit);
      return;
    }
  LostRun run = { .identity = *identity, .permit = *permit, .sent_us = ref->sent_us };
  *permit = (QuinceSendPermit){ 0 }; /* returned when the check is complete */
  if (guard->workers != NULL)
    quince_send_guard_count_workers (guard, quince_now_us (), worker->service);
  if (worker->incarnation != ref->incarnation)
    {
      record_end_of_former_start (guard, worker, ref, &run);
      return;
    }
  WorkerLoss *loss = find_or_start_check (guard, worker, ref->sent_us);
  if (loss->check != NULL)
    g_array_append_val (loss->runs, run);
  else
    record_run_end (guard, loss, &run);
}

/* Returns the listed worker that @send went to, or NULL if it is not listed. */
static const QuinceWorker *
find_worker_of_send (const QuinceSendGuard *guard, const QuinceSuspect *send)
{
  if (guard->workers == NULL || send->n_workers == 0)
    return NULL;
  g_autoptr (GPtrArray) workers = quince_worker_table_list_all (guard->workers);
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      if (quince_incarnation_is_same_or_successor (worker->incarnation, send->workers[send->n_workers - 1],
                                                   QUINCE_QUARANTINE_WORKERS_MAX))
        return worker;
    }
  return NULL;
}

void
quince_send_guard_check_send (QuinceSendGuard *guard, const QuinceSuspect *expected)
{
  const QuinceWorker *worker = find_worker_of_send (guard, expected);
  /* A worker that is no longer listed counts as ended. */
  if (worker == NULL || worker->expires_us != 0)
    {
      record_send_end (guard, expected, worker != NULL ? worker->id : "");
      return;
    }
  if (worker->draining)
    {
      log_checked_send (expected, worker->id, "leaves");
      return;
    }
  WorkerLoss *loss = find_or_start_check (guard, worker, expected->ended_us);
  if (loss->check != NULL)
    g_ptr_array_add (loss->sends, quince_suspect_copy (expected));
  else
    record_send_end (guard, expected, worker->id);
}
