/*
 * test-result-cache.c: a cached result is not unpacked again, and trimming limits the size of the cache.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "runtime/packed-message.h"
#include "batchlog/result-cache.h"

#define RESULT_TEXT_BYTES 8000                   /* text of each result */
#define CACHE_MAX_BYTES (10 * RESULT_TEXT_BYTES) /* fewer results than the tests read */

/* Returns a packed result whose text starts with @number. */
static GBytes *
make_packed_result (guint number)
{
  char text[RESULT_TEXT_BYTES];
  memset (text, 'a', sizeof text);
  g_snprintf (text, sizeof text, "%08u", number);
  QuinceBatchResult result = { .batch = "b", .item = number, .score = "s" };
  result.text.text_val = text;
  result.text.text_len = sizeof text;
  return quince_batch_result_pack (&result);
}

static void
test_cache_hit (void **state)
{
  g_autoptr (QuinceResultCache) cache = quince_result_cache_new (CACHE_MAX_BYTES);
  g_autoptr (GBytes) body = make_packed_result (7);
  const QuinceBatchResult *first = quince_result_cache_get (cache, body, NULL);
  assert_non_null (first);
  assert_int_equal (first->item, 7);
  assert_memory_equal (first->text.text_val, "00000007", 8);
  quince_result_cache_trim (cache);
  assert_ptr_equal (quince_result_cache_get (cache, body, NULL), first);
}

/* Reads many results repeatedly: a trimmed cache is within its limit, and each result is the right one. */
static void
test_trim_enforces_limit (void **state)
{
  g_autoptr (QuinceResultCache) cache = quince_result_cache_new (CACHE_MAX_BYTES);
  g_autoptr (GPtrArray) bodies = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (guint i = 0; i < 50; i++)
    g_ptr_array_add (bodies, make_packed_result (i));
  for (guint i = 0; i < 500; i++)
    {
      guint number = (i * 7) % 50;
      quince_result_cache_trim (cache);
      assert_true (quince_result_cache_get_bytes (cache) <= CACHE_MAX_BYTES);
      assert_int_equal (quince_result_cache_get (cache, bodies->pdata[number], NULL)->item, number);
    }
}

/* Results that one response uses stay valid until the next trim, even if they exceed the limit. */
static void
test_results_stay_valid_until_trim (void **state)
{
  g_autoptr (QuinceResultCache) cache = quince_result_cache_new (CACHE_MAX_BYTES);
  g_autoptr (GPtrArray) bodies = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  const QuinceBatchResult *results[30];
  for (guint i = 0; i < G_N_ELEMENTS (results); i++)
    {
      g_ptr_array_add (bodies, make_packed_result (i));
      results[i] = quince_result_cache_get (cache, bodies->pdata[i], NULL);
    }
  for (guint i = 0; i < G_N_ELEMENTS (results); i++)
    assert_int_equal (results[i]->item, i);
}

static void
test_corrupt_result (void **state)
{
  g_autoptr (QuinceResultCache) cache = quince_result_cache_new (CACHE_MAX_BYTES);
  g_autoptr (GBytes) body = g_bytes_new_static ("\x78 is no such stream", 20);
  g_autoptr (GError) error = NULL;
  assert_null (quince_result_cache_get (cache, body, &error));
  assert_non_null (error);
  assert_int_equal (quince_result_cache_get_bytes (cache), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cache_hit),
    cmocka_unit_test (test_trim_enforces_limit),
    cmocka_unit_test (test_results_stay_valid_until_trim),
    cmocka_unit_test (test_corrupt_result),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
