/*
 * standin-store-calls.c: calls, watches and injected faults of the metadata store stand-in.
 */
#include "standin-store-private.h"

#include <string.h>

#include <json-glib/json-glib.h>

/* Small, so that every test reads several pages. */
#define LIST_PAGE_MAX_ITEMS 2

/* ---- JSON ------------------------------------------------------------- */

static void
append_item_json (GString *text, const StandinItem *item)
{
  if (text->str[text->len - 1] != '[' && text->str[text->len - 1] != '{')
    g_string_append_c (text, ',');
  g_string_append_printf (text, "{\"tlsKey\":\"%s\",\"revision\":%" G_GUINT64_FORMAT, item->key,
                          item->revision);
  if (item->value != NULL)
    g_string_append_printf (text, ",\"value\":\"%s\",\"made\":1,\"lease\":%" G_GUINT64_FORMAT "}",
                            item->value, item->lease_id);
  else
    g_string_append (text, ",\"gone\":true}");
}

static void
answer_json (StandinCall *call, guint status, const char *text)
{
  standin_call_answer (call, status, "Content-Type: application/json\r\n", text, -1);
}

/* ---- Watches ---------------------------------------------------------- */

/* Returns FALSE if there is nothing to report yet.  @allow_empty: answer even without changes. */
static gboolean
answer_watch_if_due (StandinStore *store, StandinWatch *watch, gboolean allow_empty)
{
  g_autoptr (GString) text = g_string_new ("{\"events\":[");
  guint count = 0;
  gint64 first_change_us = 0;
  for (guint i = 0; i < store->history->len; i++)
    {
      const StandinItem *item = store->history->pdata[i];
      if (item->revision <= watch->after_revision || !g_str_has_prefix (item->key, watch->prefix))
        continue;
      append_item_json (text, item);
      if (count++ == 0)
        first_change_us = item->changed_us;
    }
  if (count == 0 && !allow_empty)
    return FALSE;
  if (count > 0 && g_get_monotonic_time () < first_change_us + store->watch_delay_us)
    return FALSE;
  g_string_append_printf (text, "],\"at\":%" G_GUINT64_FORMAT "}", store->revision);
  answer_json (watch->call, 200, text->str);
  return TRUE;
}

void
standin_store_check_watches (StandinStore *store)
{
  if (store->fault == STANDIN_STORE_UNRESPONSIVE)
    return; /* earlier watches are not answered either */
  gint64 now = g_get_monotonic_time ();
  for (guint i = store->watches->len; i > 0; i--)
    {
      StandinWatch *watch = store->watches->pdata[i - 1];
      if (watch->call->disconnected)
        standin_call_finish (watch->call);
      else if (!answer_watch_if_due (store, watch, now >= watch->deadline_us))
        continue;
      g_ptr_array_remove_index (store->watches, i - 1);
    }
}

/* ---- Calls ------------------------------------------------------------ */

static char *
get_query_parameter (const StandinCall *call, const char *name)
{
  const char *start = strchr (call->head->target, '?');
  if (start == NULL)
    return g_strdup ("");
  g_autoptr (GHashTable) values = g_uri_parse_params (start + 1, -1, "&", G_URI_PARAMS_NONE, NULL);
  const char *value = values != NULL ? g_hash_table_lookup (values, name) : NULL;
  return g_strdup (value != NULL ? value : "");
}

static void
handle_key_read (StandinStore *store, StandinCall *call)
{
  g_autofree char *key = get_query_parameter (call, "tlsKey");
  const StandinItem *item = g_hash_table_lookup (store->items, key);
  if (item == NULL)
    {
      answer_json (call, 404, "{}");
      return;
    }
  g_autoptr (GString) text = g_string_new ("{");
  append_item_json (text, item);
  g_string_erase (text, 0, 1);
  g_string_truncate (text, text->len - 1);
  g_string_append_printf (text, ",\"at\":%" G_GUINT64_FORMAT "}", store->revision);
  answer_json (call, 200, text->str);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 ((*(const StandinItem *const *)a)->key, (*(const StandinItem *const *)b)->key);
}

static void
handle_list (StandinStore *store, StandinCall *call)
{
  g_autofree char *prefix = get_query_parameter (call, "pathPrefix");
  g_autofree char *after_key = get_query_parameter (call, "afterRev");
  g_autoptr (GPtrArray) matches = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_str_has_prefix (((StandinItem *)value)->key, prefix)
        && strcmp (((StandinItem *)value)->key, after_key) > 0)
      g_ptr_array_add (matches, value);
  g_ptr_array_sort (matches, compare_keys);
  g_autoptr (GString) text = g_string_new ("{\"items\":[");
  for (guint i = 0; i < MIN (matches->len, LIST_PAGE_MAX_ITEMS); i++)
    append_item_json (text, matches->pdata[i]);
  g_string_append_printf (text, "],\"more\":%s,\"at\":%" G_GUINT64_FORMAT "}",
                          matches->len > LIST_PAGE_MAX_ITEMS ? "true" : "false", store->revision);
  answer_json (call, 200, text->str);
}

static void
handle_watch (StandinStore *store, StandinCall *call)
{
  g_autofree char *revision_text = get_query_parameter (call, "afterRev");
  g_autofree char *wait_ms_text = get_query_parameter (call, "waitMs");
  guint64 revision = g_ascii_strtoull (revision_text, NULL, 10);
  if (revision < store->oldest_revision)
    {
      answer_json (call, 410, "{}");
      return;
    }
  StandinWatch *watch = g_new0 (StandinWatch, 1);
  watch->call = call;
  watch->prefix = get_query_parameter (call, "pathPrefix");
  watch->after_revision = revision;
  watch->deadline_us = g_get_monotonic_time () + g_ascii_strtoll (wait_ms_text, NULL, 10) * 1000;
  g_ptr_array_add (store->watches, watch);
  standin_store_check_watches (store);
}

static gboolean
are_expected_revisions_current (StandinStore *store, JsonArray *conditions)
{
  for (guint i = 0; i < json_array_get_length (conditions); i++)
    {
      JsonObject *condition = json_array_get_object_element (conditions, i);
      const StandinItem *item
          = g_hash_table_lookup (store->items, json_object_get_string_member (condition, "tlsKey"));
      guint64 expected = (guint64)json_object_get_int_member (condition, "revision");
      if ((item != NULL ? item->revision : 0) != expected)
        return FALSE;
    }
  return TRUE;
}

static void
handle_transaction (StandinStore *store, StandinCall *call)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_assert_true (json_parser_load_from_data (parser, (const char *)call->body->data, call->body->len, NULL));
  JsonObject *object = json_node_get_object (json_parser_get_root (parser));
  if (!are_expected_revisions_current (store, json_object_get_array_member (object, "expected")))
    {
      answer_json (call, 412, "{\"items\":[]}");
      return;
    }
  JsonArray *puts = json_object_get_array_member (object, "put");
  for (guint i = 0; i < json_array_get_length (puts); i++)
    {
      JsonObject *put = json_array_get_object_element (puts, i);
      guint64 lease_id
          = json_object_has_member (put, "lease") ? (guint64)json_object_get_int_member (put, "lease") : 0;
      standin_store_change (store, json_object_get_string_member (put, "tlsKey"),
                            json_object_get_string_member (put, "value"), lease_id);
    }
  JsonArray *removes = json_object_get_array_member (object, "remove");
  for (guint i = 0; i < json_array_get_length (removes); i++)
    standin_store_change (store, json_array_get_string_element (removes, i), NULL, 0);
  if (store->fault == STANDIN_STORE_DROPS_WRITE_ANSWERS
      || store->fault == STANDIN_STORE_DROPS_WRITE_ANSWERS_FAILS_READS)
    standin_call_close_connection (call);
  else
    {
      g_autofree char *text = g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT "}", store->revision);
      answer_json (call, 200, text);
    }
  standin_store_check_watches (store);
}

static void
handle_lease_open (StandinStore *store, StandinCall *call)
{
  g_autofree char *body = g_strndup ((const char *)call->body->data, call->body->len);
  const char *ttl_text = strchr (body, ':');
  StandinLease *lease = g_new0 (StandinLease, 1);
  lease->id = ++store->last_lease_id;
  lease->ttl_us = g_ascii_strtoll (ttl_text + 1, NULL, 10) * 1000;
  lease->expires_us = g_get_monotonic_time () + lease->ttl_us;
  g_hash_table_insert (store->leases, &lease->id, lease);
  g_autofree char *text = g_strdup_printf ("{\"lease\":%" G_GUINT64_FORMAT ",\"ttl_ms\":1000}", lease->id);
  answer_json (call, 200, text);
}

static void
handle_lease_renewal (StandinStore *store, StandinCall *call, const char *id_text)
{
  gint64 id = g_ascii_strtoll (id_text, NULL, 10);
  StandinLease *lease = g_hash_table_lookup (store->leases, &id);
  if (lease == NULL)
    {
      answer_json (call, 404, "{}");
      return;
    }
  lease->expires_us = g_get_monotonic_time () + lease->ttl_us;
  answer_json (call, 200, "{\"ttl_ms\":1000}");
}

static gboolean
is_list (const StandinCall *call)
{
  return g_str_has_prefix (call->head->target, "/quinceroute/kv-range?");
}

static void
count_list (StandinStore *store, const StandinCall *call)
{
  g_autofree char *prefix = get_query_parameter (call, "pathPrefix");
  store->n_list_calls++;
  standin_store_count_client_list (store, call, prefix);
}

static gboolean
has_own_prefix (const char *target)
{
  return strstr (target, "pathPrefix=quinceroute") != NULL;
}

void
standin_store_handle_call (StandinCall *call, gpointer data)
{
  StandinStore *store = data;
  const char *target = call->head->target;
  store->n_calls++;
  if (is_list (call))
    count_list (store, call);
  if (store->endless_answer != NULL)
    standin_endless_writer_answer (store->endless_writer, call, store->endless_answer);
  else if (store->fault == STANDIN_STORE_UNRESPONSIVE)
    g_ptr_array_add (store->unanswered_calls, call);
  else if (store->fault == STANDIN_STORE_MALFORMED_ANSWERS)
    answer_json (call, 200, store->malformed_answer);
  else if (store->fault == STANDIN_STORE_UNAVAILABLE)
    answer_json (call, 503, "{}");
  else if (store->fault == STANDIN_STORE_CLOSES_CONNECTIONS)
    standin_call_close_connection (call);
  else if (store->fault == STANDIN_STORE_FAILS_LISTS && is_list (call))
    answer_json (call, 503, "{}");
  else if (store->fault == STANDIN_STORE_REJECTS_EVERY_SECOND_LIST && is_list (call)
           && store->n_list_calls % 2 == 0)
    answer_json (call, 429, "{}");
  else if (store->fault == STANDIN_STORE_FAILS_OWN_PREFIX && has_own_prefix (target))
    answer_json (call, 503, "{}");
  else if (store->fault == STANDIN_STORE_DROPS_WRITE_ANSWERS_FAILS_READS
           && g_str_has_prefix (target, "/quinceroute/kv-key?"))
    answer_json (call, 503, "{}");
  else if (g_str_has_prefix (target, "/quinceroute/kv-key?"))
    handle_key_read (store, call);
  else if (is_list (call))
    handle_list (store, call);
  else if (g_str_has_prefix (target, "/quinceroute/kv-watch?"))
    handle_watch (store, call);
  else if (g_str_equal (target, "/quinceroute/kv-txn"))
    handle_transaction (store, call);
  else if (g_str_equal (target, "/quinceroute/kv-lease"))
    handle_lease_open (store, call);
  else if (g_str_has_prefix (target, "/quinceroute/kv-keep/"))
    handle_lease_renewal (store, call, target + strlen ("/quinceroute/kv-keep/"));
  else if (g_str_has_prefix (target, "/quinceroute/kv-lease-end/"))
    {
      standin_store_remove_lease (
          store, g_ascii_strtoull (target + strlen ("/quinceroute/kv-lease-end/"), NULL, 10));
      answer_json (call, 200, "{}");
      standin_store_check_watches (store);
    }
  else
    answer_json (call, 404, "{}");
}
