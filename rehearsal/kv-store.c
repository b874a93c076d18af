/*
 * kv-store.c: see kv-store.h.
 */
#include "kv-store.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define MAX_HISTORY 100000

typedef struct
{
  gint64 id;
  gint64 ttl_s;
  gint64 expires_us;
} Lease;

struct _KvStore
{
  GTree *entries;           /* GBytes key -> KvEntry; owned                  */
  guint64 revision;         /* of the last commit; 1 when nothing was written */
  guint64 compact_revision; /* events up to here are forgotten       */
  GQueue *history;          /* KvEvent, oldest first, at most MAX_HISTORY    */
  GArray *pending;          /* KvEvent of the commit under way               */
  GPtrArray *replaced;      /* for each: the KvEntry before it, NULL: none */
  GHashTable *leases;       /* gint64 id -> Lease; owned                   */
  KvStoreCommitted committed;
  gpointer user_data;
};

static void
entry_clear (gpointer data)
{
  KvEntry *entry = data;
  g_bytes_unref (entry->key);
  g_clear_pointer (&entry->value, g_bytes_unref);
}

KvEntry *
kv_entry_ref (KvEntry *entry)
{
  return g_rc_box_acquire (entry);
}

void
kv_entry_unref (KvEntry *entry)
{
  g_rc_box_release_full (entry, entry_clear);
}

static void
entry_unref_if_any (gpointer data)
{
  if (data != NULL)
    kv_entry_unref (data);
}

static void
event_clear (gpointer data)
{
  kv_entry_unref (((KvEvent *)data)->entry);
}

static void
event_free (gpointer data)
{
  event_clear (data);
  g_free (data);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user_data)
{
  return g_bytes_compare (a, b);
}

KvStore *
kv_store_new (KvStoreCommitted committed, gpointer user_data)
{
  KvStore *store = g_new0 (KvStore, 1);
  store->entries
      = g_tree_new_full (compare_keys, NULL, (GDestroyNotify)g_bytes_unref, (GDestroyNotify)kv_entry_unref);
  store->history = g_queue_new ();
  store->pending = g_array_new (FALSE, FALSE, sizeof (KvEvent));
  g_array_set_clear_func (store->pending, event_clear);
  store->replaced = g_ptr_array_new_with_free_func (entry_unref_if_any);
  store->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  store->revision = 1;
  store->committed = committed;
  store->user_data = user_data;
  return store;
}

void
kv_store_clear (KvStore *store)
{
  g_tree_remove_all (store->entries);
  g_queue_clear_full (store->history, event_free);
  g_hash_table_remove_all (store->leases);
  store->revision = 1;
  store->compact_revision = 0;
}

guint64
kv_store_get_revision (KvStore *store)
{
  return store->revision;
}

guint64
kv_store_get_compact_revision (KvStore *store)
{
  return store->compact_revision;
}

/* ---- Reading ---- */

gboolean
kv_key_in_range (GBytes *key, GBytes *start, GBytes *end)
{
  if (end == NULL)
    return g_bytes_equal (key, start);
  gsize length = 0;
  const char *bytes = g_bytes_get_data (end, &length);
  if (g_bytes_compare (key, start) < 0)
    return FALSE;
  return (length == 1 && bytes[0] == '\0') || g_bytes_compare (key, end) < 0;
}

GPtrArray *
kv_store_range (KvStore *store, GBytes *key, GBytes *end)
{
  GPtrArray *found = g_ptr_array_new_with_free_func ((GDestroyNotify)kv_entry_unref);
  for (GTreeNode *node = g_tree_lower_bound (store->entries, key); node != NULL;
       node = g_tree_node_next (node))
    {
      if (!kv_key_in_range (g_tree_node_key (node), key, end))
        break;
      g_ptr_array_add (found, kv_entry_ref (g_tree_node_value (node)));
    }
  return found;
}

KvEntry *
kv_store_lookup (KvStore *store, GBytes *key)
{
  return g_tree_lookup (store->entries, key);
}

/* ---- Writing ---- */

void
kv_store_begin (KvStore *store)
{
  g_array_set_size (store->pending, 0);
  g_ptr_array_set_size (store->replaced, 0);
}

static void
add_pending (KvStore *store, KvEntry *entry, KvEntry *old, gboolean deleted)
{
  g_ptr_array_add (store->replaced, old != NULL ? kv_entry_ref (old) : NULL);
  KvEvent event = { deleted, kv_entry_ref (entry) };
  g_array_append_val (store->pending, event);
}

void
kv_store_put (KvStore *store, GBytes *key, GBytes *value, gint64 lease)
{
  KvEntry *old = kv_store_lookup (store, key);
  KvEntry *entry = g_rc_box_new0 (KvEntry);
  entry->key = g_bytes_ref (key);
  entry->value = g_bytes_ref (value);
  entry->mod_revision = store->revision + 1;
  entry->create_revision = old != NULL ? old->create_revision : entry->mod_revision;
  entry->version = old != NULL ? old->version + 1 : 1;
  entry->lease = lease;
  add_pending (store, entry, old, FALSE);
  g_tree_replace (store->entries, g_bytes_ref (key), entry);
}

static void
delete_entry (KvStore *store, KvEntry *old)
{
  KvEntry *entry = g_rc_box_new0 (KvEntry);
  entry->key = g_bytes_ref (old->key);
  entry->mod_revision = store->revision + 1;
  add_pending (store, entry, old, TRUE);
  g_tree_remove (store->entries, entry->key);
  kv_entry_unref (entry);
}

guint
kv_store_delete_range (KvStore *store, GBytes *key, GBytes *end)
{
  g_autoptr (GPtrArray) found = kv_store_range (store, key, end);
  for (guint i = 0; i < found->len; i++)
    delete_entry (store, g_ptr_array_index (found, i));
  return found->len;
}

static void
remember_event (KvStore *store, const KvEvent *event)
{
  KvEvent *copy = g_new (KvEvent, 1);
  copy->deleted = event->deleted;
  copy->entry = kv_entry_ref (event->entry);
  g_queue_push_tail (store->history, copy);
  if (store->history->length <= MAX_HISTORY)
    return;
  KvEvent *oldest = g_queue_pop_head (store->history);
  store->compact_revision = oldest->entry->mod_revision;
  event_free (oldest);
}

void
kv_store_commit (KvStore *store)
{
  if (store->pending->len == 0)
    return;
  store->revision++;
  for (guint i = 0; i < store->pending->len; i++)
    remember_event (store, &g_array_index (store->pending, KvEvent, i));
  store->committed (store->pending, store->user_data);
  g_array_set_size (store->pending, 0);
}

void
kv_store_rollback (KvStore *store)
{
  for (guint i = store->pending->len; i > 0; i--)
    {
      GBytes *key = g_array_index (store->pending, KvEvent, i - 1).entry->key;
      KvEntry *old = g_ptr_array_index (store->replaced, i - 1);
      if (old != NULL)
        g_tree_replace (store->entries, g_bytes_ref (key), kv_entry_ref (old));
      else
        g_tree_remove (store->entries, key);
    }
  kv_store_begin (store);
}

void
kv_store_replay (KvStore *store,
                 guint64 start_revision,
                 void (*visit) (const KvEvent *event, gpointer user_data),
                 gpointer user_data)
{
  for (GList *item = store->history->head; item != NULL; item = item->next)
    {
      const KvEvent *event = item->data;
      if (event->entry->mod_revision >= start_revision)
        visit (event, user_data);
    }
}

void
kv_store_compact (KvStore *store, guint64 revision)
{
  store->compact_revision = MAX (store->compact_revision, MIN (revision, store->revision));
  while (!g_queue_is_empty (store->history))
    {
      const KvEvent *oldest = g_queue_peek_head (store->history);
      if (oldest->entry->mod_revision > store->compact_revision)
        return;
      event_free (g_queue_pop_head (store->history));
    }
}

/* ---- Leases ---- */

gboolean
kv_store_has_lease (KvStore *store, gint64 lease)
{
  return g_hash_table_contains (store->leases, &lease);
}

void
kv_store_grant_lease (KvStore *store, gint64 lease, gint64 ttl_s, gint64 now_us)
{
  Lease *granted = g_new0 (Lease, 1);
  granted->id = lease;
  granted->ttl_s = ttl_s;
  granted->expires_us = now_us + ttl_s * G_USEC_PER_SEC;
  g_hash_table_replace (store->leases, &granted->id, granted);
}

gint64
kv_store_renew_lease (KvStore *store, gint64 lease, gint64 now_us)
{
  Lease *found = g_hash_table_lookup (store->leases, &lease);
  if (found == NULL)
    return -1;
  found->expires_us = now_us + found->ttl_s * G_USEC_PER_SEC;
  return found->ttl_s;
}

typedef struct
{
  gint64 lease;
  GPtrArray *entries; /* KvEntry, referenced */
} LeaseKeys;

static gboolean
collect_lease_key (gpointer key, gpointer value, gpointer user_data)
{
  LeaseKeys *keys = user_data;
  KvEntry *entry = value;
  if (entry->lease == keys->lease)
    g_ptr_array_add (keys->entries, kv_entry_ref (entry));
  return FALSE;
}

gboolean
kv_store_revoke_lease (KvStore *store, gint64 lease)
{
  if (!g_hash_table_remove (store->leases, &lease))
    return FALSE;
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func ((GDestroyNotify)kv_entry_unref);
  LeaseKeys keys = { lease, entries };
  g_tree_foreach (store->entries, collect_lease_key, &keys);
  kv_store_begin (store);
  for (guint i = 0; i < entries->len; i++)
    delete_entry (store, g_ptr_array_index (entries, i));
  kv_store_commit (store);
  return TRUE;
}

void
kv_store_expire_leases (KvStore *store, gint64 now_us)
{
  g_autoptr (GArray) expired = g_array_new (FALSE, FALSE, sizeof (gint64));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Lease *)value)->expires_us <= now_us)
      g_array_append_val (expired, ((Lease *)value)->id);
  for (guint i = 0; i < expired->len; i++)
    kv_store_revoke_lease (store, g_array_index (expired, gint64, i));
}

/* ---- Saved state ---- */

static char *
encode_bytes (GBytes *bytes)
{
  gsize length = 0;
  const guchar *data = g_bytes_get_data (bytes, &length);
  return g_base64_encode (data, length);
}

static GBytes *
decode_member (JsonObject *object, const char *name)
{
  gsize length = 0;
  guchar *data = g_base64_decode (json_object_get_string_member (object, name), &length);
  return g_bytes_new_take (data, length);
}

static gboolean
save_entry (gpointer key, gpointer value, gpointer user_data)
{
  KvEntry *entry = value;
  GString *text = user_data;
  g_autofree char *key_text = encode_bytes (entry->key);
  g_autofree char *value_text = encode_bytes (entry->value);
  g_string_append_printf (text,
                          "%s{\"key\":\"%s\",\"value\":\"%s\",\"create\":%" G_GUINT64_FORMAT
                          ",\"mod\":%" G_GUINT64_FORMAT ",\"version\":%" G_GUINT64_FORMAT "}",
                          text->str[text->len - 1] == '[' ? "" : ",", key_text, value_text,
                          entry->create_revision, entry->mod_revision, entry->version);
  return FALSE;
}

char *
kv_store_save (KvStore *store)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"revision\":%" G_GUINT64_FORMAT ",\"entries\":[", store->revision);
  g_tree_foreach (store->entries, save_entry, text);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

gboolean
kv_store_load (KvStore *store, const char *json, GError **error)
{
  g_autoptr (JsonNode) root = json_from_string (json, error);
  if (root == NULL)
    return FALSE;
  JsonObject *object = json_node_get_object (root);
  kv_store_clear (store);
  store->revision = (guint64)json_object_get_int_member (object, "revision");
  store->compact_revision = store->revision;
  JsonArray *entries = json_object_get_array_member (object, "entries");
  for (guint i = 0; i < json_array_get_length (entries); i++)
    {
      JsonObject *saved = json_array_get_object_element (entries, i);
      KvEntry *entry = g_rc_box_new0 (KvEntry);
      entry->key = decode_member (saved, "key");
      entry->value = decode_member (saved, "value");
      entry->create_revision = (guint64)json_object_get_int_member (saved, "create");
      entry->mod_revision = (guint64)json_object_get_int_member (saved, "mod");
      entry->version = (guint64)json_object_get_int_member (saved, "version");
      g_tree_replace (store->entries, g_bytes_ref (entry->key), entry);
    }
  return TRUE;
}
