/*
 * send-guard-returns.c: checks whether workers that ended run again.
 *
 * A worker that starts again under its id is a new incarnation once its entry shows the new start time.  The
 * entry may be read late, or show no other start time, if the clock of the worker was set back.  Requests
 * that wait for the worker's return would wait for the expiry of its record.  While a service is protected,
 * its listed workers that are recorded as ended are therefore checked by a connection.
 */
#include "runtime/log.h"

#include "send-guard-private.h"
#include "worker-check.h"

/* Time between two checks of a worker, us: a fraction of the restart of a worker (some seconds). */
#define CHECK_INTERVAL_US (1 * G_USEC_PER_SEC)

/* A check of a worker that is recorded as ended. */
typedef struct
{
  QuinceSendGuard *guard;
  QuinceIncarnation incarnation;
  char *worker_id;
  gint64 started_us;
  QuinceWorkerCheck *check; /* NULL: complete */
} ReturnCheck;

static void
return_check_free (gpointer data)
{
  ReturnCheck *check = data;
  if (check->check != NULL)
    quince_worker_check_cancel (check->check);
  g_free (check->worker_id);
  g_free (check);
}

GHashTable *
quince_send_guard_return_checks_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, return_check_free);
}

static void
handle_check_result (QuinceWorkerCheckResult result, gpointer data)
{
  ReturnCheck *check = data;
  check->check = NULL;
  if (result != QUINCE_WORKER_CHECK_ALIVE)
    return;
  quince_log_info ("worker_returned", "worker=%s", check->worker_id);
  quince_quarantine_forget_ended_worker (check->guard->quarantine, check->incarnation);
}

static gboolean
is_obsolete_check (gpointer key, gpointer value, gpointer data)
{
  const ReturnCheck *check = value;
  const gint64 *now_us = data;
  return check->check == NULL && *now_us - check->started_us >= CHECK_INTERVAL_US;
}

static void
start_check (QuinceSendGuard *guard, gint64 now_us, const QuinceWorker *worker)
{
  ReturnCheck *check = g_new0 (ReturnCheck, 1);
  check->guard = guard;
  check->incarnation = worker->incarnation;
  check->worker_id = g_strdup (worker->id);
  check->started_us = now_us;
  check->check = quince_worker_check_start (worker->address, handle_check_result, check);
  g_hash_table_insert (guard->return_checks, &check->incarnation, check);
}

void
quince_send_guard_check_returns (QuinceSendGuard *guard, gint64 now_us, const char *service)
{
  g_hash_table_foreach_remove (guard->return_checks, is_obsolete_check, &now_us);
  g_autoptr (GPtrArray) workers = quince_worker_table_list (guard->workers, service);
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      if (!worker->draining && worker->expires_us == 0
          && quince_quarantine_has_worker_ended (guard->quarantine, worker->incarnation)
          && !g_hash_table_contains (guard->return_checks, &worker->incarnation))
        start_check (guard, now_us, worker);
    }
}
