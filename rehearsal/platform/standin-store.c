/*
 * standin-store.c: the platform's metadata store, small.
 */
#include "standin-store.h"

#include <stdlib.h>
#include <string.h>

#include <json-glib/json-glib.h>

typedef struct
{
  char *key;
  char *value; /* base64; NULL: removed */
  guint64 revision;
  guint64 lease;
  gint64 at_us; /* monotonic; when it was changed */
} Item;

typedef struct
{
  StandinCall *call;
  char *prefix;
  guint64 after;
  gint64 end_us;
} Watch;

typedef struct
{
  guint64 id;
  gint64 ttl_us;
  gint64 end_us;
} Lease;

struct _StandinStore
{
  StandinServer *server;
  GHashTable *items;  /* Item by key, owned */
  GPtrArray *history; /* Item, owned: every change since `oldest` */
  GPtrArray *watches;
  GPtrArray *unanswered; /* StandinCall, owned: taken while it was silent */
  GHashTable *leases;
  GPtrArray *saved; /* Item, owned; NULL: none */
  guint64 saved_revision;
  gint64 watch_delay_us;
  guint64 revision;
  guint64 oldest;
  guint64 next_lease;
  StandinStoreFault fault;
  char *nonsense;
  guint calls;
  guint timer;
};

static void
item_free (gpointer data)
{
  Item *item = data;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static Item *
item_copy (const Item *item)
{
  Item *copy = g_new0 (Item, 1);
  copy->key = g_strdup (item->key);
  copy->value = g_strdup (item->value);
  copy->revision = item->revision;
  copy->lease = item->lease;
  copy->at_us = item->at_us;
  return copy;
}

static void
watch_free (gpointer data)
{
  Watch *watch = data;
  g_free (watch->prefix);
  g_free (watch);
}

/* ---- JSON ------------------------------------------------------------- */

static void
append_item (GString *text, const Item *item)
{
  if (text->str[text->len - 1] != '[' && text->str[text->len - 1] != '{')
    g_string_append_c (text, ',');
  g_string_append_printf (text, "{\"tlsKey\":\"%s\",\"revision\":%" G_GUINT64_FORMAT, item->key,
                          item->revision);
  if (item->value != NULL)
    g_string_append_printf (text, ",\"value\":\"%s\",\"made\":1,\"lease\":%" G_GUINT64_FORMAT "}",
                            item->value, item->lease);
  else
    g_string_append (text, ",\"gone\":true}");
}

static void
answer_json (StandinCall *call, guint status, const char *text)
{
  standin_answer (call, status, "Content-Type: application/json\r\n", text, -1);
}

/* ---- Watches ---------------------------------------------------------- */

static gboolean
answer_watch (StandinStore *store, Watch *watch, gboolean even_empty)
{
  g_autoptr (GString) text = g_string_new ("{\"events\":[");
  guint count = 0;
  gint64 first_us = 0;
  for (guint i = 0; i < store->history->len; i++)
    {
      const Item *item = store->history->pdata[i];
      if (item->revision <= watch->after || !g_str_has_prefix (item->key, watch->prefix))
        continue;
      append_item (text, item);
      if (count++ == 0)
        first_us = item->at_us;
    }
  if (count == 0 && !even_empty)
    return FALSE;
  if (count > 0 && g_get_monotonic_time () < first_us + store->watch_delay_us)
    return FALSE;
  g_string_append_printf (text, "],\"at\":%" G_GUINT64_FORMAT "}", store->revision);
  answer_json (watch->call, 200, text->str);
  return TRUE;
}

static void
check_watches (StandinStore *store)
{
  if (store->fault == STANDIN_STORE_SILENT)
    return; /* nor are watches answered that waited before */
  gint64 now = g_get_monotonic_time ();
  for (guint i = store->watches->len; i > 0; i--)
    {
      Watch *watch = store->watches->pdata[i - 1];
      if (watch->call->gone)
        standin_done (watch->call);
      else if (!answer_watch (store, watch, now >= watch->end_us))
        continue;
      g_ptr_array_remove_index (store->watches, i - 1);
    }
}

/* ---- Changes ---------------------------------------------------------- */

static void
change (StandinStore *store, const char *key, const char *encoded, guint64 lease)
{
  Item *item = g_new0 (Item, 1);
  item->key = g_strdup (key);
  item->value = g_strdup (encoded);
  item->revision = ++store->revision;
  item->lease = lease;
  item->at_us = g_get_monotonic_time ();
  g_ptr_array_add (store->history, item_copy (item));
  if (encoded != NULL)
    g_hash_table_replace (store->items, item->key, item);
  else
    {
      g_hash_table_remove (store->items, key);
      item_free (item);
    }
}

static void
end_lease (StandinStore *store, guint64 lease)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Item *)value)->lease == lease)
      g_ptr_array_add (keys, g_strdup (((Item *)value)->key));
  for (guint i = 0; i < keys->len; i++)
    change (store, keys->pdata[i], NULL, 0);
  gint64 id = (gint64)lease;
  g_hash_table_remove (store->leases, &id);
}

static gboolean
check_time (gpointer data)
{
  StandinStore *store = data;
  gint64 now = g_get_monotonic_time ();
  g_autoptr (GArray) over = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Lease *)value)->end_us < now)
      g_array_append_val (over, ((Lease *)value)->id);
  for (guint i = 0; i < over->len; i++)
    end_lease (store, g_array_index (over, guint64, i));
  check_watches (store);
  return G_SOURCE_CONTINUE;
}

/* ---- Calls ------------------------------------------------------------ */

static char *
query (const StandinCall *call, const char *name)
{
  const char *start = strchr (call->head->target, '?');
  if (start == NULL)
    return g_strdup ("");
  g_autoptr (GHashTable) values = g_uri_parse_params (start + 1, -1, "&", G_URI_PARAMS_NONE, NULL);
  const char *value = values != NULL ? g_hash_table_lookup (values, name) : NULL;
  return g_strdup (value != NULL ? value : "");
}

static void
get_key (StandinStore *store, StandinCall *call)
{
  g_autofree char *key = query (call, "tlsKey");
  const Item *item = g_hash_table_lookup (store->items, key);
  if (item == NULL)
    {
      answer_json (call, 404, "{}");
      return;
    }
  g_autoptr (GString) text = g_string_new ("{");
  append_item (text, item);
  g_string_erase (text, 0, 1);
  g_string_truncate (text, text->len - 1);
  g_string_append_printf (text, ",\"at\":%" G_GUINT64_FORMAT "}", store->revision);
  answer_json (call, 200, text->str);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 ((*(const Item *const *)a)->key, (*(const Item *const *)b)->key);
}

/* Pages of two items, so that every test sees pages. */
static void
get_range (StandinStore *store, StandinCall *call)
{
  g_autofree char *prefix = query (call, "pathPrefix");
  g_autofree char *after = query (call, "afterRev");
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_str_has_prefix (((Item *)value)->key, prefix) && strcmp (((Item *)value)->key, after) > 0)
      g_ptr_array_add (found, value);
  g_ptr_array_sort (found, compare_keys);
  g_autoptr (GString) text = g_string_new ("{\"items\":[");
  for (guint i = 0; i < MIN (found->len, 2); i++)
    append_item (text, found->pdata[i]);
  g_string_append_printf (text, "],\"more\":%s,\"at\":%" G_GUINT64_FORMAT "}",
                          found->len > 2 ? "true" : "false", store->revision);
  answer_json (call, 200, text->str);
}

static void
begin_watch (StandinStore *store, StandinCall *call)
{
  g_autofree char *after = query (call, "afterRev");
  g_autofree char *wait = query (call, "waitMs");
  guint64 revision = g_ascii_strtoull (after, NULL, 10);
  if (revision < store->oldest)
    {
      answer_json (call, 410, "{}");
      return;
    }
  Watch *watch = g_new0 (Watch, 1);
  watch->call = call;
  watch->prefix = query (call, "pathPrefix");
  watch->after = revision;
  watch->end_us = g_get_monotonic_time () + g_ascii_strtoll (wait, NULL, 10) * 1000;
  g_ptr_array_add (store->watches, watch);
  check_watches (store);
}

static gboolean
conditions_hold (StandinStore *store, JsonArray *conditions)
{
  for (guint i = 0; i < json_array_get_length (conditions); i++)
    {
      JsonObject *condition = json_array_get_object_element (conditions, i);
      const Item *item
          = g_hash_table_lookup (store->items, json_object_get_string_member (condition, "tlsKey"));
      guint64 expected = (guint64)json_object_get_int_member (condition, "revision");
      if ((item != NULL ? item->revision : 0) != expected)
        return FALSE;
    }
  return TRUE;
}

static void
transact (StandinStore *store, StandinCall *call)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_assert_true (json_parser_load_from_data (parser, (const char *)call->body->data, call->body->len, NULL));
  JsonObject *object = json_node_get_object (json_parser_get_root (parser));
  if (!conditions_hold (store, json_object_get_array_member (object, "expected")))
    {
      answer_json (call, 412, "{\"items\":[]}");
      return;
    }
  JsonArray *puts = json_object_get_array_member (object, "put");
  for (guint i = 0; i < json_array_get_length (puts); i++)
    {
      JsonObject *put = json_array_get_object_element (puts, i);
      guint64 lease
          = json_object_has_member (put, "lease") ? (guint64)json_object_get_int_member (put, "lease") : 0;
      change (store, json_object_get_string_member (put, "tlsKey"),
              json_object_get_string_member (put, "value"), lease);
    }
  JsonArray *removes = json_object_get_array_member (object, "remove");
  for (guint i = 0; i < json_array_get_length (removes); i++)
    change (store, json_array_get_string_element (removes, i), NULL, 0);
  if (store->fault == STANDIN_STORE_LOSES || store->fault == STANDIN_STORE_LOSES_AND_HIDES)
    standin_close (call);
  else
    {
      g_autofree char *text = g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT "}", store->revision);
      answer_json (call, 200, text);
    }
  check_watches (store);
}

static void
open_lease (StandinStore *store, StandinCall *call)
{
  g_autofree char *body = g_strndup ((const char *)call->body->data, call->body->len);
  const char *number = strchr (body, ':');
  Lease *lease = g_new0 (Lease, 1);
  lease->id = ++store->next_lease;
  lease->ttl_us = g_ascii_strtoll (number + 1, NULL, 10) * 1000;
  lease->end_us = g_get_monotonic_time () + lease->ttl_us;
  g_hash_table_insert (store->leases, &lease->id, lease);
  g_autofree char *text = g_strdup_printf ("{\"lease\":%" G_GUINT64_FORMAT ",\"ttl_ms\":1000}", lease->id);
  answer_json (call, 200, text);
}

static void
keep_lease (StandinStore *store, StandinCall *call, const char *id_text)
{
  gint64 id = g_ascii_strtoll (id_text, NULL, 10);
  Lease *lease = g_hash_table_lookup (store->leases, &id);
  if (lease == NULL)
    {
      answer_json (call, 404, "{}");
      return;
    }
  lease->end_us = g_get_monotonic_time () + lease->ttl_us;
  answer_json (call, 200, "{\"ttl_ms\":1000}");
}

static gboolean
reads_own_keys (const char *target)
{
  return strstr (target, "pathPrefix=quinceroute") != NULL;
}

static void
handle (StandinCall *call, gpointer data)
{
  StandinStore *store = data;
  const char *target = call->head->target;
  store->calls++;
  if (store->fault == STANDIN_STORE_SILENT)
    g_ptr_array_add (store->unanswered, call);
  else if (store->fault == STANDIN_STORE_NONSENSE)
    answer_json (call, 200, store->nonsense);
  else if (store->fault == STANDIN_STORE_BUSY)
    answer_json (call, 503, "{}");
  else if (store->fault == STANDIN_STORE_RESETS)
    standin_close (call);
  else if (store->fault == STANDIN_STORE_LISTS_NOTHING && g_str_has_prefix (target, "/quinceroute/kv-range?"))
    answer_json (call, 503, "{}");
  else if (store->fault == STANDIN_STORE_HIDES_OWN && reads_own_keys (target))
    answer_json (call, 503, "{}");
  else if (store->fault == STANDIN_STORE_LOSES_AND_HIDES && g_str_has_prefix (target, "/quinceroute/kv-key?"))
    answer_json (call, 503, "{}");
  else if (g_str_has_prefix (target, "/quinceroute/kv-key?"))
    get_key (store, call);
  else if (g_str_has_prefix (target, "/quinceroute/kv-range?"))
    get_range (store, call);
  else if (g_str_has_prefix (target, "/quinceroute/kv-watch?"))
    begin_watch (store, call);
  else if (g_str_equal (target, "/quinceroute/kv-txn"))
    transact (store, call);
  else if (g_str_equal (target, "/quinceroute/kv-lease"))
    open_lease (store, call);
  else if (g_str_has_prefix (target, "/quinceroute/kv-keep/"))
    keep_lease (store, call, target + strlen ("/quinceroute/kv-keep/"));
  else if (g_str_has_prefix (target, "/quinceroute/kv-lease-end/"))
    {
      end_lease (store, g_ascii_strtoull (target + strlen ("/quinceroute/kv-lease-end/"), NULL, 10));
      answer_json (call, 200, "{}");
      check_watches (store);
    }
  else
    answer_json (call, 404, "{}");
}

/* ---- Public ----------------------------------------------------------- */

StandinStore *
standin_store_new (void)
{
  StandinStore *store = g_new0 (StandinStore, 1);
  store->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, item_free);
  store->history = g_ptr_array_new_with_free_func (item_free);
  store->watches = g_ptr_array_new_with_free_func (watch_free);
  store->unanswered = g_ptr_array_new ();
  store->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  store->server = standin_server_new (handle, store);
  store->timer = g_timeout_add (20, check_time, store);
  return store;
}

void
standin_store_free (StandinStore *store)
{
  g_source_remove (store->timer);
  standin_server_free (store->server);
  for (guint i = 0; i < store->watches->len; i++)
    standin_done (((Watch *)store->watches->pdata[i])->call);
  for (guint i = 0; i < store->unanswered->len; i++)
    standin_done (store->unanswered->pdata[i]);
  g_ptr_array_unref (store->unanswered);
  g_ptr_array_unref (store->watches);
  g_ptr_array_unref (store->history);
  g_clear_pointer (&store->saved, g_ptr_array_unref);
  g_free (store->nonsense);
  g_hash_table_unref (store->items);
  g_hash_table_unref (store->leases);
  g_free (store);
}

const char *
standin_store_get_address (const StandinStore *store)
{
  return standin_server_get_address (store->server);
}

void
standin_store_put (StandinStore *store, const char *key, const char *value)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *)value, strlen (value));
  change (store, key, encoded, 0);
  check_watches (store);
}

void
standin_store_remove (StandinStore *store, const char *key)
{
  change (store, key, NULL, 0);
  check_watches (store);
}

const char *
standin_store_get (const StandinStore *store, const char *key)
{
  static char *decoded;
  const Item *item = g_hash_table_lookup (store->items, key);
  if (item == NULL)
    return NULL;
  gsize length;
  g_autofree guchar *bytes = g_base64_decode (item->value, &length);
  g_free (decoded);
  decoded = g_strndup ((const char *)bytes, length);
  return decoded;
}

GBytes *
standin_store_get_bytes (const StandinStore *store, const char *key)
{
  const Item *item = g_hash_table_lookup (store->items, key);
  if (item == NULL)
    return NULL;
  gsize length;
  guchar *bytes = g_base64_decode (item->value, &length);
  return g_bytes_new_take (bytes, length);
}

char *
standin_store_all_but (const StandinStore *store, const char *key)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      if (g_str_equal (name, key))
        continue;
      gsize length;
      g_autofree guchar *bytes = g_base64_decode (((const Item *)value)->value, &length);
      g_string_append (text, name);
      for (gsize i = 0; i < length; i++)
        g_string_append_c (text, g_ascii_isprint (bytes[i]) ? (char)bytes[i] : ' ');
    }
  return g_string_free (text, FALSE);
}

guint64
standin_store_get_revision (const StandinStore *store, const char *key)
{
  const Item *item = g_hash_table_lookup (store->items, key);
  return item != NULL ? item->revision : 0;
}

void
standin_store_set_fault (StandinStore *store, StandinStoreFault fault)
{
  store->fault = fault;
}

void
standin_store_set_nonsense (StandinStore *store, const char *text)
{
  g_free (store->nonsense);
  store->nonsense = g_strdup (text);
}

void
standin_store_compact (StandinStore *store)
{
  store->oldest = store->revision + 1;
  store->revision++;
  g_ptr_array_set_size (store->history, 0);
  standin_server_drop_all (store->server);
  check_watches (store);
}

void
standin_store_drop_connections (StandinStore *store)
{
  standin_server_drop_all (store->server);
  check_watches (store);
}

void
standin_store_set_watch_delay (StandinStore *store, guint delay_ms)
{
  store->watch_delay_us = (gint64)delay_ms * 1000;
}

void
standin_store_save (StandinStore *store)
{
  g_clear_pointer (&store->saved, g_ptr_array_unref);
  store->saved = g_ptr_array_new_with_free_func (item_free);
  store->saved_revision = store->revision;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (store->saved, item_copy (value));
}

void
standin_store_restore (StandinStore *store)
{
  g_hash_table_remove_all (store->items);
  for (guint i = 0; i < store->saved->len; i++)
    {
      Item *item = item_copy (store->saved->pdata[i]);
      g_hash_table_replace (store->items, item->key, item);
    }
  g_hash_table_remove_all (store->leases);
  store->revision = store->saved_revision;
  store->oldest = store->revision;
  g_ptr_array_set_size (store->history, 0);
  standin_server_drop_all (store->server);
  check_watches (store);
}

void
standin_store_lapse (StandinStore *store)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Lease *)value)->end_us = 0;
  check_time (store);
}

guint
standin_store_get_calls (const StandinStore *store)
{
  return store->calls;
}
