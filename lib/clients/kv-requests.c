/*
 * kv-requests.c: request bodies of the etcd v3 JSON gateway; see kv-json.h.
 */
#include "kv-json.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* The least key that is greater than every key with @prefix. */
static char *
prefix_end (const char *prefix, gsize *length)
{
  g_autofree guchar *end = (guchar *)g_strdup (prefix);
  gsize n = strlen (prefix);
  while (n > 0 && end[n - 1] == 0xff)
    n--;
  if (n == 0)
    {
      /* etcd: a range end of one zero byte stands for "to the last key" */
      *length = 1;
      return g_malloc0 (1);
    }
  end[n - 1]++;
  *length = n;
  return g_memdup2 (end, n);
}

static void
add_base64 (JsonBuilder *builder, const char *name, const char *data, gsize length)
{
  g_autofree char *text = g_base64_encode ((const guchar *)data, length);
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, text);
}

static void
add_u64 (JsonBuilder *builder, const char *name, guint64 value)
{
  g_autofree char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, value);
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, text);
}

static void
add_text (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
add_key_range (JsonBuilder *builder, const char *key, gboolean prefix)
{
  add_base64 (builder, "key", key, strlen (key));
  if (!prefix)
    return;
  gsize length;
  g_autofree char *end = prefix_end (key, &length);
  add_base64 (builder, "range_end", end, length);
}

static char *
to_text (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

char *
quince_kv_json_range (const char *key, gboolean prefix)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  add_key_range (builder, key, prefix);
  json_builder_end_object (builder);
  return to_text (builder);
}

char *
quince_kv_json_watch (const char *prefix, guint64 start_revision)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "create_request");
  json_builder_begin_object (builder);
  add_key_range (builder, prefix, TRUE);
  add_u64 (builder, "start_revision", start_revision);
  json_builder_end_object (builder);
  json_builder_end_object (builder);
  return to_text (builder);
}

static void
add_compare (JsonBuilder *builder, const char *key, guint64 expected)
{
  json_builder_set_member_name (builder, "compare");
  json_builder_begin_array (builder);
  json_builder_begin_object (builder);
  add_text (builder, "target", "MOD");
  add_text (builder, "result", "EQUAL");
  add_base64 (builder, "key", key, strlen (key));
  add_u64 (builder, "mod_revision", expected);
  json_builder_end_object (builder);
  json_builder_end_array (builder);
}

static void
begin_operation (JsonBuilder *builder, const char *list, const char *operation, const char *key)
{
  json_builder_set_member_name (builder, list);
  json_builder_begin_array (builder);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, operation);
  json_builder_begin_object (builder);
  add_base64 (builder, "key", key, strlen (key));
}

static void
end_operation (JsonBuilder *builder)
{
  json_builder_end_object (builder);
  json_builder_end_object (builder);
  json_builder_end_array (builder);
}

char *
quince_kv_json_swap (const char *key, guint64 expected, const char *value, gsize length)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  add_compare (builder, key, expected);
  begin_operation (builder, "success", value != NULL ? "request_put" : "request_delete_range", key);
  if (value != NULL)
    add_base64 (builder, "value", value, length);
  end_operation (builder);
  begin_operation (builder, "failure", "request_range", key);
  end_operation (builder);
  json_builder_end_object (builder);
  return to_text (builder);
}
