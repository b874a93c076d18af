/*
 * test-results-text.c: lists of results as callers read them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include <json-glib/json-glib.h>
#include "runtime/json-check.h"

#include "platform.h"

static u_quad_t versions[] = { 3, 18446744073709551UL };

static JsonObject *
only_result (JsonNode *root)
{
  JsonArray *results = json_object_get_array_member (json_node_get_object (root), "results");
  assert_int_equal (json_array_get_length (results), 1);
  return json_array_get_object_element (results, 0);
}

static JsonNode *
format_one (const char *text, gsize length, const char *score)
{
  QuinceBatchResult result = { .score = (char *)score };
  result.text.text_val = (char *)text;
  result.text.text_len = (u_int)length;
  result.versions.versions_val = versions;
  result.versions.versions_len = G_N_ELEMENTS (versions);
  const QuincePlatformResult row = { "item-1", &result };
  g_autoptr (GBytes) body = quince_platform_format_results (7, 1, &row, 1);
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  assert_true (quince_json_check (data, size));
  g_autoptr (JsonParser) parser = json_parser_new ();
  assert_true (json_parser_load_from_data (parser, data, (gssize)size, NULL));
  return json_parser_steal_root (parser);
}

static void
assert_text (const char *text)
{
  g_autoptr (JsonNode) root = format_one (text, strlen (text), "");
  assert_string_equal (json_object_get_string_member (only_result (root), "message"), text);
}

/* Whatever a worker has written comes back as it was. */
static void
test_texts (void **state)
{
  assert_text ("");
  assert_text ("plain");
  assert_text ("\"quoted\" and \\escaped\\ \\u0041 /");
  assert_text ("lines\nof\r\nevents\tand \b\f");
  assert_text ("\x01\x1f\x7f ends");
  assert_text ("Kvarnholm \xc3\xa5\xc3\xa4\xc3\xb6 \xe2\x82\xac \xf0\x9f\x98\x80");
  g_autofree char *every = g_malloc0 (256);
  for (guint i = 1; i < 128; i++)
    every[i - 1] = (char)i;
  assert_text (every);
}

static void
test_members (void **state)
{
  g_autoptr (JsonNode) root = format_one ("text", 4, "s.1");
  JsonObject *list = json_node_get_object (root);
  assert_int_equal (json_object_get_int_member (list, "total"), 7);
  assert_int_equal (json_object_get_int_member (list, "nextToken"), 1);
  JsonObject *result = only_result (root);
  assert_string_equal (json_object_get_string_member (result, "id"), "item-1");
  assert_string_equal (json_object_get_string_member (result, "state"), "completed");
  assert_string_equal (json_object_get_string_member (result, "score"), "s.1");
  JsonArray *made_by = json_object_get_array_member (result, "versions");
  assert_int_equal (json_array_get_length (made_by), 2);
  assert_int_equal (json_array_get_int_element (made_by, 0), 3);
  assert_int_equal (json_array_get_int_element (made_by, 1), 18446744073709551);
}

static void
test_no_results (void **state)
{
  g_autoptr (GBytes) body = quince_platform_format_results (4, 2, NULL, 0);
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  const char *expected = "{\"total\":4,\"nextToken\":2,\"results\":[]}";
  assert_int_equal (size, strlen (expected));
  assert_memory_equal (data, expected, size);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_texts),
    cmocka_unit_test (test_members),
    cmocka_unit_test (test_no_results),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
