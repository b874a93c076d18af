/*
 * test-batch-reader.c: guards against batches that are decoded differently when they are read in slices, and
 * against texts that are accepted or refused wrongly.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/batches/batch-size.h"
#include "platform.h"

#define SEED 71002
#define SLICE_SIZES 40

static const char whole_batch[]
    = "{\"other\":[{\"items\":[1,{\"id\":\"no\"}]},null],\"step\":7,\"model\":\"model-\\u00e9\","
      "\"minVersion\":6.0,"
      "\"desired\":2,\"items\":[{\"id\":\"a\",\"path\":\"/r/"
      "1\",\"headers\":{\"Model\":\"m\",\"N\":3,\"L\":[1]},"
      "\"body\":\"cXVlc3Rpb24=\",\"tokens\":940,\"group\":\"g\\\"1\",\"more\":{\"id\":\"x\"},"
      "\"scorer\":{\"id\":\"s\",\"host\":\"h\",\"body\":\"c2NvcmU=\",\"headers\":{}}},"
      "{\"path\":\"/r/2\",\"id\":\"b\",\"tokens\":\"many\"}]}";

static void
check_whole_batch (const QuinceBatchJob *batch)
{
  assert_string_equal (batch->model, "model-\xc3\xa9");
  assert_int_equal (batch->step, 7);
  assert_int_equal (batch->minimum_version, 6);
  assert_int_equal (batch->wanted_groups, 2);
  assert_int_equal (batch->items.items_len, 2);
  const QuinceBatchItem *item = &batch->items.items_val[0];
  assert_string_equal (item->id, "a");
  assert_string_equal (item->path, "/r/1");
  assert_string_equal (item->group, "g\"1");
  assert_int_equal (item->tokens, 940);
  assert_int_equal (item->headers.headers_len, 3);
  assert_string_equal (item->headers.headers_val[0].value, "m");
  assert_string_equal (item->headers.headers_val[1].value, "");
  assert_string_equal (item->headers.headers_val[2].value, "");
  assert_int_equal (item->body.body_len, 8);
  assert_memory_equal (item->body.body_val, "question", 8);
  assert_int_equal (item->reward.reward_len, 1);
  assert_string_equal (item->reward.reward_val->host, "h");
  assert_string_equal (item->reward.reward_val->path, "/");
  assert_memory_equal (item->reward.reward_val->body.body_val, "score", 5);
  assert_string_equal (batch->items.items_val[1].id, "b");
  assert_string_equal (batch->items.items_val[1].group, "");
  assert_int_equal (batch->items.items_val[1].tokens, 0);
  assert_true (quince_batch_estimate_bytes (batch) > sizeof *batch + 2 * sizeof *item);
}

static void
test_slices (void **state)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (SEED);
  g_autoptr (GBytes) text = g_bytes_new_static (whole_batch, strlen (whole_batch));
  for (guint i = 0; i < SLICE_SIZES; i++)
    {
      g_autoptr (GError) error = NULL;
      QuincePlatformBatchReader *reader = quince_platform_batch_reader_new (text);
      while (!quince_platform_batch_reader_continue (reader, (gsize)g_rand_int_range (random, 1, 60), &error))
        assert_null (error);
      g_autoptr (QuinceBatchJob) batch = quince_platform_batch_reader_take (reader);
      quince_platform_batch_reader_free (reader);
      check_whole_batch (batch);
    }
}

static void
test_malformed (void **state)
{
  static const char *const texts[] = {
    "",
    "[]",
    "7",
    "\"text\"",
    "{}",
    "{\"items\":{}}",
    "{\"items\":[]}",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\"}],\"items\":7}",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\"}],\"items\":null}",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\"}],\"items\":\"b\"}",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\"}],\"items\":{}}",
    "{\"items\":[7]}",
    "{\"items\":[null]}",
    "{\"items\":[[{\"id\":\"a\",\"path\":\"/\"}]]}",
    "{\"items\":[{\"id\":\"a\"}]}",
    "{\"items\":[{\"path\":\"/\"}]}",
    "{\"items\":[{\"id\":7,\"path\":\"/\"}]}",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\",\"scorer\":{}}]}",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\"}],\"items\":[{\"id\":\"b\",\"path\":\"/\"}]}",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\"}]",
    "{\"items\":[{\"id\":\"a\",\"path\":\"/\"}]} x",
    "{\"items\":[{\"id\":\"a\" \"path\":\"/\"}]}",
    "{\"items\":[{\"id\":\"a\\u0000\",\"path\":\"/\"}]}",
  };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GError) error = NULL;
      if (quince_platform_read_batch (texts[i], strlen (texts[i]), &error) != NULL)
        fail_msg ("accepted: %s", texts[i]);
      assert_non_null (error);
    }
}

/* Guards against line ends and blanks in what is written into the head of a request: the rest of it was read
 * as another request. */
static void
test_texts_that_cannot_be_sent (void **state)
{
  static const char *const items[] = {
    "{\"id\":\"a\\r\\nb\",\"path\":\"/\"}",
    "{\"id\":\"a b\",\"path\":\"/\"}",
    "{\"id\":\"a\",\"path\":\"/ HTTP/1.1\\r\\n\\r\\nPOST /b\"}",
    "{\"id\":\"a\",\"path\":\"/b\\n\"}",
    "{\"id\":\"a\",\"path\":\"/b \"}",
    "{\"id\":\"a\",\"path\":\"b\"}",
    "{\"id\":\"a\",\"path\":\"/\",\"headers\":{\"N\":\"v\\r\\nM: w\"}}",
    "{\"id\":\"a\",\"path\":\"/\",\"headers\":{\"N\":\"v\\u007f\"}}",
    "{\"id\":\"a\",\"path\":\"/\",\"headers\":{\"N\\r\\nM\":\"v\"}}",
    "{\"id\":\"a\",\"path\":\"/\",\"headers\":{\"N: x\":\"v\"}}",
    "{\"id\":\"a\",\"path\":\"/\",\"headers\":{\"\":\"v\"}}",
    "{\"id\":\"a\",\"path\":\"/\",\"scorer\":{\"id\":\"s\\n\",\"host\":\"h\",\"path\":\"/s\"}}",
    "{\"id\":\"a\",\"path\":\"/\",\"scorer\":{\"id\":\"s\",\"host\":\"h\\n\",\"path\":\"/s\"}}",
    "{\"id\":\"a\",\"path\":\"/\",\"scorer\":{\"id\":\"s\",\"host\":\"h\",\"path\":\"/s\\r\\n\"}}",
  };
  for (guint i = 0; i < G_N_ELEMENTS (items); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *text = g_strdup_printf ("{\"items\":[%s]}", items[i]);
      if (quince_platform_read_batch (text, strlen (text), &error) != NULL)
        fail_msg ("accepted: %s", text);
      assert_true (g_error_matches (error, QUINCE_PLATFORM_ERROR, QUINCE_PLATFORM_ERROR_FIELD));
    }
}

/* Query strings, tabs, blanks inside a value, and characters that are not ASCII are sent as they are. */
static void
test_texts_that_can_be_sent (void **state)
{
  static const char text[] = "{\"items\":[{\"id\":\"a/\\u00e9:1\",\"path\":\"/r/1?a=b&c=%20#\",\"headers\":"
                             "{\"X-\\u0041.b_c~\":\"a \\t\\u00e9\",\"Empty\":\"\"}}]}";
  g_autoptr (QuinceBatchJob) batch = quince_platform_read_batch (text, strlen (text), NULL);
  assert_non_null (batch);
  const QuinceBatchItem *item = &batch->items.items_val[0];
  assert_string_equal (item->path, "/r/1?a=b&c=%20#");
  assert_string_equal (item->headers.headers_val[0].value, "a \t\xc3\xa9");
}

/* Any end of a sound text is missed. */
static void
test_truncated (void **state)
{
  for (gsize length = 0; length < strlen (whole_batch); length++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *text = g_strndup (whole_batch, length);
      assert_null (quince_platform_read_batch (text, length, &error));
      assert_non_null (error);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slices),
    cmocka_unit_test (test_malformed),
    cmocka_unit_test (test_texts_that_cannot_be_sent),
    cmocka_unit_test (test_texts_that_can_be_sent),
    cmocka_unit_test (test_truncated),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
