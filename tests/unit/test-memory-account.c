/*
 * test-memory-account.c: guards against requests that hold more than the account, large ones that leave
 * nothing to small ones, and requests that are ended although they make progress.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "runtime/memory-account.h"

#define LIMIT_BYTES (8u << 20)
#define SMALL_BYTES 1000u
#define LARGE_BYTES (3u << 20)
#define SECOND_US G_USEC_PER_SEC

typedef struct
{
  QuinceMemoryHold *hold;
  guint n_evicted;
} Request;

static void
evict (gpointer data)
{
  Request *request = data;
  request->n_evicted++;
  g_clear_pointer (&request->hold, quince_memory_hold_free);
}

static void
start (QuinceMemoryAccount *account, Request *request, guint64 bytes, gint64 now_us)
{
  *request = (Request){ 0 };
  request->hold = quince_memory_hold_new (account, evict, request);
  assert_true (quince_memory_hold_reserve (request->hold, bytes, now_us));
  quince_memory_hold_set_waiting (request->hold, TRUE, now_us);
}

static void
test_limit (void **state)
{
  g_autoptr (QuinceMemoryAccount) account = quince_memory_account_new (LIMIT_BYTES);
  Request first, second;
  start (account, &first, LARGE_BYTES, 0);
  start (account, &second, LARGE_BYTES, 0);
  g_autoptr (QuinceMemoryHold) third = quince_memory_hold_new (account, NULL, NULL);
  assert_false (quince_memory_hold_reserve (third, LARGE_BYTES, SECOND_US));
  assert_int_equal (quince_memory_hold_get_bytes (third), 0);
  assert_int_equal (quince_memory_account_get_held (account), 2 * LARGE_BYTES);
  quince_memory_hold_free (first.hold);
  assert_true (quince_memory_hold_reserve (third, LARGE_BYTES, SECOND_US));
  quince_memory_hold_free (second.hold);
}

/* Bytes that are in memory already may exceed the limit; nothing more is reserved then. */
static void
test_forced (void **state)
{
  g_autoptr (QuinceMemoryAccount) account = quince_memory_account_new (LIMIT_BYTES);
  g_autoptr (QuinceMemoryHold) first = quince_memory_hold_new (account, NULL, NULL);
  g_autoptr (QuinceMemoryHold) second = quince_memory_hold_new (account, NULL, NULL);
  quince_memory_hold_set (first, 2 * LIMIT_BYTES);
  assert_false (quince_memory_hold_reserve (second, SMALL_BYTES, 0));
  assert_true (quince_memory_hold_reserve (first, LARGE_BYTES, 0));
  assert_true (quince_memory_hold_reserve (second, SMALL_BYTES, 0));
}

static void
test_small_share (void **state)
{
  g_autoptr (QuinceMemoryAccount) account = quince_memory_account_new (LIMIT_BYTES);
  g_autoptr (QuinceMemoryHold) large = quince_memory_hold_new (account, NULL, NULL);
  g_autoptr (QuinceMemoryHold) small = quince_memory_hold_new (account, NULL, NULL);
  assert_false (quince_memory_hold_reserve (large, LIMIT_BYTES, 0));
  assert_true (quince_memory_hold_reserve (large, LIMIT_BYTES / 8 * 7, 0));
  assert_true (quince_memory_hold_reserve (small, QUINCE_SMALL_REQUEST_MAX_BYTES, 0));
  assert_false (quince_memory_hold_reserve (small, QUINCE_SMALL_REQUEST_MAX_BYTES + 1, 0));
}

/* The request that stood still for the longest time is ended, and no more than needed. */
static void
test_stalled (void **state)
{
  g_autoptr (QuinceMemoryAccount) account = quince_memory_account_new (LIMIT_BYTES);
  Request older, newer, processed;
  start (account, &newer, LARGE_BYTES / 2, SECOND_US);
  start (account, &older, LARGE_BYTES / 2, 0);
  start (account, &processed, LARGE_BYTES, 0);
  quince_memory_hold_set_waiting (processed.hold, FALSE, 0);
  g_autoptr (QuinceMemoryHold) hold = quince_memory_hold_new (account, NULL, NULL);
  assert_false (quince_memory_hold_reserve (hold, LARGE_BYTES / 2, SECOND_US));
  assert_true (quince_memory_hold_reserve (hold, LARGE_BYTES / 2, 4 * SECOND_US));
  assert_int_equal (older.n_evicted, 1);
  assert_int_equal (newer.n_evicted, 0);
  assert_int_equal (quince_memory_account_get_n_evicted (account), 1);
  assert_false (quince_memory_hold_reserve (hold, LIMIT_BYTES - 1, 4 * SECOND_US));
  assert_int_equal (newer.n_evicted, 0);
  quince_memory_hold_free (newer.hold);
  quince_memory_hold_free (processed.hold);
}

static void
test_progress (void **state)
{
  g_autoptr (QuinceMemoryAccount) account = quince_memory_account_new (LIMIT_BYTES);
  Request steady, trickling;
  start (account, &steady, LARGE_BYTES, 0);
  start (account, &trickling, LARGE_BYTES, 0);
  for (guint second = 1; second <= 4; second++)
    {
      quince_memory_hold_record_progress (steady.hold, LARGE_BYTES / 100, second * SECOND_US);
      quince_memory_hold_record_progress (trickling.hold, 1, second * SECOND_US);
    }
  g_autoptr (QuinceMemoryHold) hold = quince_memory_hold_new (account, NULL, NULL);
  assert_true (quince_memory_hold_reserve (hold, LARGE_BYTES, 4 * SECOND_US));
  assert_int_equal (steady.n_evicted, 0);
  assert_int_equal (trickling.n_evicted, 1);
  quince_memory_hold_free (steady.hold);
}

/* Another hold of the request that needs the room is not ended for it. */
static void
test_same_request (void **state)
{
  g_autoptr (QuinceMemoryAccount) account = quince_memory_account_new (LIMIT_BYTES);
  Request request;
  start (account, &request, 2 * LARGE_BYTES, 0);
  g_autoptr (QuinceMemoryHold) other = quince_memory_hold_new (account, evict, &request);
  assert_false (quince_memory_hold_reserve (other, LARGE_BYTES, 10 * SECOND_US));
  assert_int_equal (request.n_evicted, 0);
  quince_memory_hold_free (request.hold);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit),   cmocka_unit_test (test_forced),   cmocka_unit_test (test_small_share),
    cmocka_unit_test (test_stalled), cmocka_unit_test (test_progress), cmocka_unit_test (test_same_request),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
