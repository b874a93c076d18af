/*
 * sample-runner.c: runs samples of rollouts, leased from the ledger's leader.
 */
#include "sample-runner.h"

#include <quince/log.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "leased-sample.h"

#define ASK_INTERVAL_MS 200
#define LEASE_TIMEOUT_US (2 * (gint64)G_USEC_PER_SEC)

struct _QuinceSampleRunner
{
  /* All fields belong to the worker's context. */
  QuinceWorker *worker;
  GHashTable *runs; /* key text -> QuinceLeasedRun, both owned          */
  guint concurrency;
  guint lease_ms;
  gboolean stopping;
  guint64 lease_call;   /* in progress, 0 when none                         */
  GSource *ask_timer;   /* until the next call for leases                   */
  GSource *renew_timer; /* every third of a lease                           */
  QuinceSampleRunnerCounters counters;
};

static void ask_leases (QuinceSampleRunner *runner);

static char *
make_key (const QuinceLeaseRef *ref)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%s/%u", ref->trainer, (guint64)ref->step, ref->sample_id,
                          ref->generation);
}

/* ---- Leases ------------------------------------------------------------------------ */

static gboolean
ask_due (gpointer data)
{
  QuinceSampleRunner *runner = data;
  quince_source_clear (&runner->ask_timer);
  ask_leases (runner);
  return G_SOURCE_REMOVE;
}

static void
ask_later (QuinceSampleRunner *runner, guint wait_ms)
{
  quince_source_clear (&runner->ask_timer);
  if (!runner->stopping)
    runner->ask_timer = quince_timer_add (wait_ms, ask_due, runner);
}

static void
run_done (QuinceLeasedRun *run, QuinceLeasedEnd end, gpointer user_data)
{
  QuinceSampleRunner *runner = user_data;
  QuinceLeaseRef ref = quince_leased_run_get_ref (run);
  g_autofree char *key = make_key (&ref);
  runner->counters.completed += end == QUINCE_LEASED_COMPLETED ? 1 : 0;
  runner->counters.dropped += end == QUINCE_LEASED_COMPLETED ? 0 : 1;
  g_hash_table_remove (runner->runs, key);
  if (runner->lease_call == 0)
    ask_later (runner, 0);
}

static void
start_run (QuinceSampleRunner *runner, const QuinceLeasedSample *sample)
{
  const QuinceLeaseRef ref = {
    .trainer = sample->trainer,
    .step = sample->step,
    .sample_id = sample->spec.sample_id,
    .generation = sample->generation,
  };
  g_autofree char *key = make_key (&ref);
  if (g_hash_table_contains (runner->runs, key))
    return; /* leased again after a change of leader: it runs already */
  runner->counters.leased++;
  QuinceLeasedRun *run = quince_leased_run_new (runner->worker, sample, &runner->counters.attempts,
                                                &runner->counters.score_failures, run_done, runner);
  g_hash_table_insert (runner->runs, g_steal_pointer (&key), run);
}

static void
leases_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  QuinceSampleRunner *runner = user_data;
  runner->lease_call = 0;
  guint count = 0;
  if (reply != NULL && reply->status == QUINCE_LEDGER_OK && reply->result.kind == QUINCE_COMMAND_LEASE)
    count = reply->result.QuinceLedgerResult_u.leased.leased_len;
  for (guint i = 0; i < count; i++)
    start_run (runner, &reply->result.QuinceLedgerResult_u.leased.leased_val[i]);
  ask_later (runner, ASK_INTERVAL_MS / 2 + (guint)(quince_random_u64 () % ASK_INTERVAL_MS));
}

static void
ask_leases (QuinceSampleRunner *runner)
{
  guint running = g_hash_table_size (runner->runs);
  if (runner->stopping || runner->lease_call != 0 || running >= runner->concurrency)
    return;
  QuinceCommand command = { .kind = QUINCE_COMMAND_LEASE };
  QuinceLeaseSamples *lease = &command.QuinceCommand_u.lease;
  lease->agent = (char *)runner->worker->name;
  lease->most = runner->concurrency - running;
  lease->lease_ms = runner->lease_ms;
  runner->lease_call
      = quince_hub_client_call_ledger (runner->worker->hub, quince_command_copy (&command),
                                       quince_now_us () + LEASE_TIMEOUT_US, leases_answered, runner);
}

static void
renew_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  /* A lease that lapses leads at worst to a second run, whose result is dropped. */
}

static gboolean
renew_due (gpointer data)
{
  QuinceSampleRunner *runner = data;
  g_autoptr (GArray) refs = g_array_new (FALSE, FALSE, sizeof (QuinceLeaseRef));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, runner->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceLeaseRef ref = quince_leased_run_get_ref (value);
      g_array_append_val (refs, ref);
    }
  if (refs->len == 0)
    return G_SOURCE_CONTINUE;
  QuinceCommand command = { .kind = QUINCE_COMMAND_RENEW };
  QuinceRenewLeases *renew = &command.QuinceCommand_u.renew;
  renew->agent = (char *)runner->worker->name;
  renew->lease_ms = runner->lease_ms;
  renew->leases.leases_len = refs->len;
  renew->leases.leases_val = (QuinceLeaseRef *)(gpointer)refs->data;
  quince_hub_client_call_ledger (runner->worker->hub, quince_command_copy (&command),
                                 quince_now_us () + (gint64)runner->lease_ms * G_TIME_SPAN_MILLISECOND / 3,
                                 renew_answered, NULL);
  return G_SOURCE_CONTINUE;
}

/* ---- Life and views ------------------------------------------------------------------ */

QuinceSampleRunner *
quince_sample_runner_new (QuinceWorker *worker)
{
  QuinceSampleRunner *runner = g_new0 (QuinceSampleRunner, 1);
  gint64 lease_us = quince_settings_get_duration_us (worker->settings, "agent", "sample_lease");
  runner->worker = worker;
  runner->concurrency = (guint)quince_settings_get_integer (worker->settings, "agent", "sample_concurrency");
  runner->lease_ms = (guint)(lease_us / G_TIME_SPAN_MILLISECOND);
  runner->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_leased_run_free);
  runner->renew_timer = quince_timer_add (runner->lease_ms / 3, renew_due, runner);
  ask_later (runner, 0);
  return runner;
}

void
quince_sample_runner_free (QuinceSampleRunner *runner)
{
  quince_source_clear (&runner->ask_timer);
  quince_source_clear (&runner->renew_timer);
  if (runner->lease_call != 0)
    quince_hub_client_cancel (runner->worker->hub, runner->lease_call);
  g_hash_table_unref (runner->runs);
  g_free (runner);
}

void
quince_sample_runner_stop (QuinceSampleRunner *runner)
{
  runner->stopping = TRUE;
  quince_source_clear (&runner->ask_timer);
  if (runner->lease_call != 0)
    quince_hub_client_cancel (runner->worker->hub, runner->lease_call);
  runner->lease_call = 0;
}

void
quince_sample_runner_get_counters (const QuinceSampleRunner *runner, QuinceSampleRunnerCounters *out)
{
  *out = runner->counters;
  out->running = g_hash_table_size (runner->runs);
}
