/*
 * test-worker-incarnation.c: workers that start again under the same id.  Guards against a row of the worker
 * table that keeps what it knew of the former process, and against ends that are not counted.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/request/quarantine.h"
#include "core/routing/worker-table.h"

#define SECOND G_TIME_SPAN_SECOND
#define STARTED_AT_MS G_GINT64_CONSTANT (1790000000000)

static const QuinceQuarantineLimits limits = { .suspects_max = 64,
                                               .suspect_bytes_max = 64 * 1024,
                                               .suspect_ttl_us = 600 * SECOND,
                                               .held_ttl_us = 600 * SECOND };

static QuinceWorker *
update_worker (QuinceWorkerTable *table, const char *id, gint64 started_at_ms, guint64 version)
{
  QuinceWorker *entry = quince_worker_new (id);
  quince_worker_set_start_time (entry, started_at_ms);
  entry->service = g_strdup ("llm");
  entry->address = g_strdup ("127.0.0.1:1");
  quince_worker_set_model (entry, "m", version);
  quince_worker_table_update (table, entry);
  return quince_worker_table_find (table, id);
}

static void
count_removed (QuinceWorker *worker, gpointer data)
{
  (*(guint *)data)++;
}

/* An incarnation depends on the id and the start time, and its successors differ from both. */
static void
test_identity (void **state)
{
  QuinceIncarnation first = quince_incarnation_make ("w", STARTED_AT_MS);
  QuinceIncarnation later = quince_incarnation_get_successor (quince_incarnation_get_successor (first));
  assert_true (first == quince_incarnation_make ("w", STARTED_AT_MS));
  assert_true (first != quince_incarnation_make ("v", STARTED_AT_MS));
  assert_true (first != quince_incarnation_make ("w", STARTED_AT_MS + 1));
  assert_true (first != quince_incarnation_make ("w", 0));
  assert_true (quince_incarnation_is_same_or_successor (first, first, 0));
  assert_true (quince_incarnation_is_same_or_successor (first, later, 2));
  assert_false (quince_incarnation_is_same_or_successor (first, later, 1));
  assert_false (quince_incarnation_is_same_or_successor (later, first, 8));
}

/* Another start time, later or earlier, replaces the worker with all that was measured of it. */
static void
test_new_start_replaces_worker (void **state)
{
  static const QuinceWorkerTableCallbacks callbacks = { .removed = count_removed };
  guint removed = 0;
  g_autoptr (QuinceWorkerTable) table = quince_worker_table_new (&callbacks, &removed);
  QuinceWorker *worker = update_worker (table, "w", STARTED_AT_MS, 5);
  QuinceWorkerRef ref = { 0 };
  quince_worker_ref_set (&ref, worker, 1);
  worker->running = 3;
  quince_worker_record_failure (worker, 1);
  assert_ptr_equal (update_worker (table, "w", STARTED_AT_MS, 5), worker);
  assert_ptr_equal (quince_worker_table_find_ref (table, &ref), worker);
  for (gint step_ms = 1; step_ms >= -1; step_ms -= 2)
    {
      worker = update_worker (table, "w", STARTED_AT_MS + step_ms, 4);
      assert_null (quince_worker_table_find_ref (table, &ref));
      assert_int_equal (worker->running, 0);
      assert_int_equal (worker->consecutive_failures, 0);
      assert_int_equal (quince_worker_get_version (worker, "m"), 4);
    }
  assert_int_equal (removed, 2);
  assert_int_equal (quince_worker_table_get_size (table), 1);
  quince_worker_ref_clear (&ref);
}

static QuinceSuspect
describe_end (const QuinceQuarantine *quarantine, QuinceIncarnation worker, gint64 sent_us)
{
  QuinceSuspect observed = { .n_workers = 1, .service = (char *)"llm" };
  quince_request_digest_make (&observed.digest, NULL, "h", "POST", "/x", "x", 1);
  observed.workers[0] = quince_quarantine_identify_end (quarantine, &observed.digest, worker, sent_us);
  return observed;
}

static guint
record_end (QuinceQuarantine *quarantine, QuinceIncarnation worker, gint64 sent_us, gint64 ended_us)
{
  const QuinceSuspect observed = describe_end (quarantine, worker, sent_us);
  return quince_quarantine_record_end (quarantine, ended_us, &observed)->n_workers;
}

/* One worker that ends three times is three ends, whether its new start times are read or not. */
static void
test_ends_of_one_worker (void **state)
{
  for (guint reads_start_times = 0; reads_start_times < 2; reads_start_times++)
    {
      g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
      for (guint i = 0; i < QUINCE_QUARANTINE_HOLD_ENDS_MIN; i++)
        {
          gint64 sent_us = (1 + i) * 10 * SECOND;
          QuinceIncarnation worker
              = quince_incarnation_make ("w", STARTED_AT_MS + (reads_start_times ? i : 0));
          assert_int_equal (record_end (quarantine, worker, sent_us, sent_us + SECOND), i + 1);
        }
    }
}

/* Requests that were sent before the end became known ran on the same incarnation: one end.  A leader that
 * expects the end of a send gets the same incarnation as the process that reports it. */
static void
test_one_end_counts_once (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  g_autoptr (QuinceQuarantine) successor = quince_quarantine_new (&limits);
  QuinceIncarnation worker = quince_incarnation_make ("w", STARTED_AT_MS);
  assert_int_equal (record_end (quarantine, worker, 1 * SECOND, 3 * SECOND), 1);
  assert_int_equal (record_end (quarantine, worker, 2 * SECOND, 3 * SECOND), 1);
  QuinceSuspect observed = describe_end (quarantine, worker, 5 * SECOND);
  QuinceSuspect expected;
  quince_quarantine_expect_end (quarantine, 5 * SECOND, &observed, &expected);
  assert_int_equal (record_end (quarantine, worker, 5 * SECOND, 6 * SECOND), 2);
  quince_quarantine_merge (successor, 7 * SECOND, &expected);
  quince_quarantine_merge (successor, 7 * SECOND, quince_quarantine_find (quarantine, &expected.digest));
  assert_int_equal (quince_quarantine_find (successor, &expected.digest)->n_workers, 2);
}

/* A worker that runs again is not recorded as ended, and the suspect keeps its count. */
static void
test_returned_worker (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  QuinceIncarnation worker = quince_incarnation_make ("w", STARTED_AT_MS);
  record_end (quarantine, worker, 1 * SECOND, 2 * SECOND);
  assert_true (quince_quarantine_has_worker_ended (quarantine, worker));
  assert_false (
      quince_quarantine_has_worker_ended (quarantine, quince_incarnation_make ("w", STARTED_AT_MS + 1)));
  quince_quarantine_forget_ended_worker (quarantine, worker);
  assert_false (quince_quarantine_has_worker_ended (quarantine, worker));
  assert_int_equal (record_end (quarantine, worker, 3 * SECOND, 4 * SECOND), 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_identity),           cmocka_unit_test (test_new_start_replaces_worker),
    cmocka_unit_test (test_ends_of_one_worker), cmocka_unit_test (test_one_end_counts_once),
    cmocka_unit_test (test_returned_worker),
  };
  return cmocka_run_group_tests_name ("worker-incarnation", tests, NULL, NULL);
}
