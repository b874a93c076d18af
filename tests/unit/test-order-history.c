/*
 * test-order-history.c: which workers a new leader may order, by the order records in its log.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"
#include "soak-seeds.h"

#define MS 1000
#define START_US (100 * G_USEC_PER_SEC)
#define PAUSE_US (3200 * MS)
/* From the receipt of a record to the end of its block. */
#define BLOCK_US (PAUSE_US + QUINCE_ORDER_SEND_MAX_US)

static QuinceOrderHistory *
make_history (void)
{
  return quince_order_history_new (START_US, PAUSE_US);
}

static void
read_orders (QuinceOrderHistory *history, guint64 index, guint64 epoch, const char *worker)
{
  char *workers[] = { (char *)worker };
  const QuinceOrderRecord orders = { { worker != NULL ? 1 : 0, workers } };
  quince_order_history_read_entry (history, index, epoch, &orders);
}

static void
read_other (QuinceOrderHistory *history, guint64 index, guint64 epoch)
{
  quince_order_history_read_entry (history, index, epoch, NULL);
}

/* ---- Times of receipt ----------------------------------------------------- */

/* Guards against a worker that is free too early: the order may have been sent 300 ms after the receipt of
 * the record. */
static void
test_worker_is_blocked_from_receipt (void **state)
{
  g_autoptr (QuinceOrderHistory) history = make_history ();
  gint64 received_us = START_US + 10 * G_USEC_PER_SEC;
  quince_order_history_record_receipt (history, received_us - G_USEC_PER_SEC, 1);
  quince_order_history_record_receipt (history, received_us, 2);
  quince_order_history_start_leading (history, 2);
  read_other (history, 1, 1);
  read_orders (history, 2, 1, "w1");
  assert_true (quince_order_history_is_complete (history));
  assert_false (quince_order_history_may_order (history, received_us + BLOCK_US - 1, "w1"));
  assert_true (quince_order_history_may_order (history, received_us + BLOCK_US, "w1"));
  assert_true (quince_order_history_may_order (history, received_us, "w2"));
  gint64 longest_us = 0;
  assert_int_equal (quince_order_history_count_blocked (history, received_us, &longest_us), 1);
  assert_int_equal (longest_us, BLOCK_US);
  assert_int_equal (quince_order_history_count_blocked (history, received_us + BLOCK_US, &longest_us), 0);
  assert_int_equal (longest_us, 0);
}

/* Guards against a restart that makes an order look older than it is: it is unknown when a record on the disk
 * was received. */
static void
test_records_on_disk_count_from_start (void **state)
{
  g_autoptr (QuinceOrderHistory) history = make_history ();
  quince_order_history_record_receipt (history, START_US + G_USEC_PER_SEC, 8);
  assert_int_equal (quince_order_history_get_received_us (history, 7), START_US);
  quince_order_history_start_leading (history, 2);
  read_orders (history, 7, 1, "w1");
  assert_false (quince_order_history_may_order (history, START_US + BLOCK_US - 1, "w1"));
  assert_true (quince_order_history_may_order (history, START_US + BLOCK_US, "w1"));
}

/* A backup whose log was reset or overwritten: records received again count from then on. */
static void
test_records_received_again_count_later (void **state)
{
  g_autoptr (QuinceOrderHistory) history = make_history ();
  for (guint i = 1; i <= 5; i++)
    quince_order_history_record_receipt (history, START_US + i * G_USEC_PER_SEC, 10 * i);
  assert_int_equal (quince_order_history_get_received_us (history, 25), START_US + 2 * G_USEC_PER_SEC);
  quince_order_history_record_receipt (history, START_US + 6 * G_USEC_PER_SEC, 25);
  assert_int_equal (quince_order_history_get_received_us (history, 24), START_US + 2 * G_USEC_PER_SEC);
  assert_int_equal (quince_order_history_get_received_us (history, 25), START_US + 6 * G_USEC_PER_SEC);
  assert_int_equal (quince_order_history_get_received_us (history, 50), START_US + 6 * G_USEC_PER_SEC);
  quince_order_history_record_receipt (history, START_US + 7 * G_USEC_PER_SEC, 1);
  for (guint i = 1; i <= 60; i++)
    assert_int_equal (quince_order_history_get_received_us (history, i), START_US + 7 * G_USEC_PER_SEC);
}

/* With any pattern of appends and overwritten records, no record counts from before its receipt, and one that
 * is old enough to be free counts as such. */
static void
test_receipt_is_never_too_early (void **state)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);
      g_autoptr (QuinceOrderHistory) history = make_history ();
      gint64 received_us[4000] = { 0 };
      gint64 now_us = START_US;
      guint end = 1;
      for (guint i = 0; i < 1500; i++)
        {
          now_us += g_rand_int_range (random, 0, 40 * MS);
          guint first = g_rand_int_range (random, 0, 50) == 0
                            ? (guint)g_rand_int_range (random, 1, (gint32)end + 1)
                            : end;
          guint count = (guint)g_rand_int_range (random, 1, 3);
          end = MIN (first + count, G_N_ELEMENTS (received_us));
          quince_order_history_record_receipt (history, now_us, first);
          for (guint j = first; j < end; j++)
            received_us[j] = now_us;
        }
      for (guint i = 1; i < end; i++)
        {
          gint64 counted_us = quince_order_history_get_received_us (history, i);
          if (counted_us < received_us[i])
            fail_msg ("seed %u: record %u counts from before its receipt", seed, i);
          if (received_us[i] + 2 * BLOCK_US < now_us && counted_us + BLOCK_US > now_us)
            fail_msg ("seed %u: record %u blocks %" G_GINT64_FORMAT " us after its receipt", seed, i,
                      now_us - received_us[i]);
        }
    }
}

/* ---- Earlier leaders --------------------------------------------------------- */

/* A leader of an earlier version, or with the setting off, records nothing, even if its predecessors did. */
static void
test_leader_without_records_is_unknown (void **state)
{
  g_autoptr (QuinceOrderHistory) history = make_history ();
  quince_order_history_start_leading (history, 4);
  assert_false (quince_order_history_is_complete (history));
  read_orders (history, 1, 1, "w1");
  assert_true (quince_order_history_is_complete (history));
  read_other (history, 2, 3);
  assert_false (quince_order_history_is_complete (history));
  assert_false (quince_order_history_may_order (history, G_MAXINT64, "w2"));
  read_other (history, 3, 3);
  read_orders (history, 4, 3, NULL);
  assert_true (quince_order_history_is_complete (history));
  read_other (history, 5, 4); /* this leader's own */
  assert_true (quince_order_history_is_complete (history));
}

/* A leader that leads again: its own orders do not block it, those of leaders in between do, and an epoch in
 * which it appended no order record is ignored. */
static void
test_leader_leads_again (void **state)
{
  g_autoptr (QuinceOrderHistory) history = make_history ();
  quince_order_history_start_leading (history, 1);
  quince_order_history_start_leading (history, 3);
  quince_order_history_start_leading (history, 4);
  read_orders (history, 1, 1, "w1");
  read_orders (history, 2, 2, "w2");
  read_other (history, 3, 3);
  assert_true (quince_order_history_is_complete (history));
  assert_true (quince_order_history_may_order (history, START_US, "w1"));
  assert_false (quince_order_history_may_order (history, START_US, "w2"));
  quince_order_history_start_leading (history, 5);
  assert_false (quince_order_history_is_complete (history));
}

/* Records that a FORGET record lists no longer block any worker, and the last one is not listed: without it,
 * the next leader would wait the whole pause. */
static void
test_finished_records_are_taken (void **state)
{
  g_autoptr (QuinceOrderHistory) history = make_history ();
  quince_order_history_start_leading (history, 2);
  read_orders (history, 3, 1, "w1");
  read_orders (history, 4, 1, "w1");
  g_autoptr (GArray) early = quince_order_history_take_finished (history, START_US + BLOCK_US - 1, 1, 9);
  assert_int_equal (early->len, 0);
  gint64 appended_us = START_US + G_USEC_PER_SEC;
  quince_order_history_add_own (history, appended_us, 7);
  quince_order_history_add_own (history, appended_us, 8);
  g_autoptr (GArray) none = quince_order_history_take_finished (history, appended_us + BLOCK_US - 1, 3, 9);
  assert_int_equal (none->len, 0);
  g_autoptr (GArray) first = quince_order_history_take_finished (history, appended_us + BLOCK_US, 2, 3);
  assert_int_equal (first->len, 3);
  assert_int_equal (g_array_index (first, guint64, 0), 3);
  assert_int_equal (g_array_index (first, guint64, 2), 7);
  g_autoptr (GArray) last = quince_order_history_take_finished (history, G_MAXINT64, 1, 9);
  assert_int_equal (last->len, 0);
}

/* ---- Permits --------------------------------------------------------------------- */

/* Guards against an order without a committed record, and against one that is sent more than 300 ms after the
 * append, as by a leader that was suspended, or whose order got no answer and is repeated. */
static void
test_permit_needs_commit_and_expires (void **state)
{
  static const char *const workers[] = { "w1", "w2" };
  g_autoptr (QuinceOrderPermits) permits = quince_order_permits_new ();
  quince_order_permits_add (permits, START_US, 5, workers, 2);
  assert_true (quince_order_permits_has_record (permits, START_US, "w1"));
  assert_false (quince_order_permits_has_record (permits, START_US, "w3"));
  quince_order_permits_commit (permits, 4);
  assert_int_equal (quince_order_permits_get_send_by_us (permits, START_US, "w1"), 0);
  quince_order_permits_commit (permits, 5);
  const gint64 send_by_us = START_US + QUINCE_ORDER_SEND_MAX_US;
  assert_int_equal (quince_order_permits_get_send_by_us (permits, START_US, "w1"), send_by_us);
  assert_int_equal (quince_order_permits_get_send_by_us (permits, send_by_us, "w2"), send_by_us);
  assert_int_equal (quince_order_permits_get_send_by_us (permits, send_by_us + 1, "w2"), 0);
  assert_false (quince_order_permits_has_record (permits, send_by_us + 1, "w2"));
  assert_int_equal (quince_order_permits_get_send_by_us (permits, START_US, "w3"), 0);
}

/* Records that commit too late permit no orders, and no further ones are appended meanwhile. */
static void
test_late_commit (void **state)
{
  static const char *const workers[] = { "w1" };
  g_autoptr (QuinceOrderPermits) permits = quince_order_permits_new ();
  quince_order_permits_add (permits, START_US, 5, workers, 1);
  gint64 late_us = START_US + QUINCE_ORDER_SEND_MAX_US + 1;
  assert_false (quince_order_permits_is_stalled (permits, late_us - 1));
  assert_true (quince_order_permits_is_stalled (permits, late_us));
  quince_order_permits_commit (permits, 5);
  assert_false (quince_order_permits_is_stalled (permits, late_us));
  assert_int_equal (quince_order_permits_get_send_by_us (permits, late_us, "w1"), 0);
  quince_order_permits_add (permits, late_us, 6, workers, 1);
  assert_int_equal (quince_order_permits_get_send_by_us (permits, late_us, "w1"), 0);
  quince_order_permits_clear (permits);
  assert_false (quince_order_permits_has_record (permits, late_us, "w1"));
}

/* ---- Leaders that change under orders ----------------------------------------------- */

/* Returns the number of orders that new leaders sent within the pause.  The simulation fails if two machines
 * order one worker within 3 s. */
static guint
run_orders (guint32 seed, guint n_nodes, guint losses, guint records_orders_of_4)
{
  World *world = world_new (seed, n_nodes, losses);
  gint last_wiped = -1;
  world->orders = g_rand_new_with_seed (seed + 7);
  world->records_orders_of_4 = records_orders_of_4;
  for (guint i = 0; i < n_nodes; i++)
    world->nodes[i].records_orders = g_rand_int_range (world->orders, 0, 4) < (gint)records_orders_of_4;
  settle (world);
  for (guint round = 0; round < 40; round++)
    {
      random_fault (world, &last_wiped);
      world_run (world, (guint)g_rand_int_range (world->random, 10, 1800));
      if (round % 10 != 9)
        continue;
      clear_faults (world);
      world_run (world, 9000);
    }
  assert_true (world->n_orders > 0);
  guint n_early_orders = world->n_early_orders;
  world_free (world);
  return n_early_orders;
}

static guint
run_order_seeds (guint records_orders_of_4)
{
  guint32 seed = get_first_seed ();
  guint32 seeds = get_n_seeds (40);
  guint n_early_orders = 0;
  for (guint32 i = 0; i < seeds; i++)
    {
      n_early_orders += run_orders (seed + i, 3, 1, records_orders_of_4);
      n_early_orders += run_orders (seed + i, 5, 2, records_orders_of_4);
    }
  return n_early_orders;
}

static void
test_leaders_that_record (void **state)
{
  guint n_early_orders = run_order_seeds (4);
  print_message ("orders within the pause of a new leader: %u\n", n_early_orders);
  assert_true (n_early_orders > 0);
}

/* Processes that record and processes of a configuration that does not, which changes at each start. */
static void
test_leaders_of_mixed_configurations (void **state)
{
  assert_true (run_order_seeds (2) > 0);
}

static void
test_leaders_that_do_not_record (void **state)
{
  assert_int_equal (run_order_seeds (0), 0);
}

/* A leader gives orders without records, is restarted with the setting on and leads again.  Guards against an
 * order record of it before the pause is over: its successor would take the log for complete, although it
 * lacks the orders from before the restart. */
static void
test_setting_is_turned_on_at_restart (void **state)
{
  guint n_led_again = 0;
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      World *world = world_new (seed, 3, 1);
      settle (world);
      world->orders = g_rand_new_with_seed (seed);
      world->records_orders_of_4 = 4;
      world_run (world, 4000);
      assert_true (world->n_orders > 0);
      guint former = (guint)world_find_leader (world);
      for (guint i = 0; i < world->n_nodes; i++)
        world->nodes[i].records_orders = i != former;
      world_kill (world, former);
      world_start (world, former, FALSE);
      world_run (world, 900);
      n_led_again += world_find_leader (world) == (gint)former;
      world_kill (world, former);
      world_run (world, 3000);
      assert_int_not_equal (world_find_leader (world), -1);
      assert_int_equal (world->n_early_orders, 0);
      world_free (world);
    }
  assert_true (n_led_again > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_worker_is_blocked_from_receipt),
    cmocka_unit_test (test_records_on_disk_count_from_start),
    cmocka_unit_test (test_records_received_again_count_later),
    cmocka_unit_test (test_receipt_is_never_too_early),
    cmocka_unit_test (test_leader_without_records_is_unknown),
    cmocka_unit_test (test_leader_leads_again),
    cmocka_unit_test (test_finished_records_are_taken),
    cmocka_unit_test (test_permit_needs_commit_and_expires),
    cmocka_unit_test (test_late_commit),
    cmocka_unit_test (test_leaders_that_record),
    cmocka_unit_test (test_leaders_of_mixed_configurations),
    cmocka_unit_test (test_leaders_that_do_not_record),
    cmocka_unit_test (test_setting_is_turned_on_at_restart),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
