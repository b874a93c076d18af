/*
 * progress.c: in-memory progress of samples.
 */
#include "progress.h"

#include "runtime/packed-message.h"

#include <string.h>

/* Age after which an entry is removed, us: its sample is done or abandoned by then. */
#define PROGRESS_TTL_US (40 * G_USEC_PER_SEC)
/* Maximum number of samples; further ones are ignored, so that a malformed message cannot exhaust memory.  It
 * is the number of samples of one large step. */
#define ENTRIES_MAX 8192
/* Maximum age of listed progress that this process received, us.  A leader reports each growing text five
 * times a second, and a new leader takes over within one or two seconds.  Progress from the disk is listed
 * until it expires, since all processes may have been down for longer than this. */
#define RECENT_MAX_AGE_US (5 * G_USEC_PER_SEC)
/* Size of the listed texts after which the list ends, bytes.  Holds the partial texts of 400 samples of
 * 8 kB, which take two thirds as much when packed. */
#define LISTED_TEXTS_MAX_BYTES (4 * 1024 * 1024)

typedef struct
{
  char *batch;
  guint item;
  GString *text;
  GArray *versions; /* guint64 */
  guint64 last_event;
  guint failures;
  gint64 reported_us;
  guint64 report_number; /* rises with each report of any sample */
  gboolean from_disk;    /* written by an earlier process and not reported since; to be offered */
} ProgressEntry;

struct _QuinceProgressStore
{
  GHashTable *entries; /* Entry by "batch item", owned */
  guint64 last_report_number;
};

static void
entry_free (gpointer data)
{
  ProgressEntry *entry = data;
  g_free (entry->batch);
  g_string_free (entry->text, TRUE);
  g_array_unref (entry->versions);
  g_free (entry);
}

QuinceProgressStore *
quince_progress_store_new (void)
{
  QuinceProgressStore *store = g_new0 (QuinceProgressStore, 1);
  store->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  return store;
}

void
quince_progress_store_free (QuinceProgressStore *store)
{
  if (store == NULL)
    return;
  g_hash_table_unref (store->entries);
  g_free (store);
}

void
quince_progress_store_clear (QuinceProgressStore *store)
{
  g_hash_table_remove_all (store->entries);
}

static char *
entry_key (const char *batch, guint item)
{
  return g_strdup_printf ("%s %u", batch, item);
}

static void
remove_expired_entries (QuinceProgressStore *store, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us - ((ProgressEntry *)value)->reported_us > PROGRESS_TTL_US)
      g_hash_table_iter_remove (&iter);
}

static ProgressEntry *
find_or_create_entry (QuinceProgressStore *store, const QuinceProgressItem *item)
{
  g_autofree char *key = entry_key (item->batch, item->item);
  ProgressEntry *entry = g_hash_table_lookup (store->entries, key);
  if (entry != NULL || g_hash_table_size (store->entries) >= ENTRIES_MAX)
    return entry;
  entry = g_new0 (ProgressEntry, 1);
  entry->batch = g_strdup (item->batch);
  entry->item = item->item;
  entry->text = g_string_new (NULL);
  entry->versions = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_hash_table_insert (store->entries, g_steal_pointer (&key), entry);
  return entry;
}

static void
apply_progress_item (QuinceProgressStore *store, gint64 now_us, const QuinceProgressItem *item)
{
  ProgressEntry *entry = find_or_create_entry (store, item);
  if (entry == NULL)
    return;
  entry->failures = MAX (entry->failures, item->failures);
  entry->from_disk = FALSE;
  entry->reported_us = now_us;
  entry->report_number = ++store->last_report_number;
  if (item->from_event == 0)
    g_string_truncate (entry->text, 0);
  else if (item->from_event != entry->last_event)
    return; /* an earlier report was lost: the stored text stays valid, but cannot be extended */
  g_string_append_len (entry->text, item->text.text_val, item->text.text_len);
  entry->last_event = item->last_event;
  g_array_set_size (entry->versions, 0);
  for (guint i = 0; i < item->versions.versions_len; i++)
    {
      guint64 version = item->versions.versions_val[i];
      g_array_append_val (entry->versions, version);
    }
}

void
quince_progress_store_apply (QuinceProgressStore *store, gint64 now_us, const QuinceSampleProgress *progress)
{
  remove_expired_entries (store, now_us);
  for (guint i = 0; i < progress->items.items_len; i++)
    apply_progress_item (store, now_us, &progress->items.items_val[i]);
}

void
quince_progress_store_merge (QuinceProgressStore *store, gint64 now_us, const QuinceSampleProgress *progress)
{
  remove_expired_entries (store, now_us);
  for (guint i = 0; i < progress->items.items_len; i++)
    {
      const QuinceProgressItem *item = &progress->items.items_val[i];
      g_autofree char *key = entry_key (item->batch, item->item);
      ProgressEntry *entry = g_hash_table_lookup (store->entries, key);
      if (entry != NULL && (item->from_event != 0 || item->last_event <= entry->last_event))
        entry->failures = MAX (entry->failures, item->failures);
      else if (item->from_event == 0)
        apply_progress_item (store, now_us, item);
    }
}

guint64
quince_progress_store_get_last_report (const QuinceProgressStore *store)
{
  return store->last_report_number;
}

void
quince_progress_store_mark_from_disk (QuinceProgressStore *store, guint64 after_report)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const ProgressEntry *)value)->report_number > after_report)
      ((ProgressEntry *)value)->from_disk = TRUE;
}

static gboolean
is_recent (const ProgressEntry *entry, gint64 now_us)
{
  return now_us - entry->reported_us <= RECENT_MAX_AGE_US;
}

gboolean
quince_progress_store_has_recent (QuinceProgressStore *store, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_recent (value, now_us))
      return TRUE;
  return FALSE;
}

static gint
compare_newest_first (gconstpointer a, gconstpointer b)
{
  const ProgressEntry *first = *(const ProgressEntry *const *)a;
  const ProgressEntry *second = *(const ProgressEntry *const *)b;
  return (first->report_number < second->report_number) - (first->report_number > second->report_number);
}

static void
append_progress_item (GArray *items, const ProgressEntry *entry)
{
  QuinceProgressItem item = {
    .batch = entry->batch, .item = entry->item, .last_event = entry->last_event, .failures = entry->failures
  };
  item.text.text_val = entry->text->str;
  item.text.text_len = (u_int)entry->text->len;
  item.versions.versions_val = (u_quad_t *)entry->versions->data;
  item.versions.versions_len = entry->versions->len;
  g_array_append_val (items, item);
}

void
quince_progress_store_list_offers (QuinceProgressStore *store, gint64 now_us, GArray *items)
{
  remove_expired_entries (store, now_us);
  g_autoptr (GPtrArray) offers = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const ProgressEntry *)value)->from_disk || is_recent (value, now_us))
      g_ptr_array_add (offers, value);
  g_ptr_array_sort (offers, compare_newest_first);
  gsize bytes = 0;
  for (guint i = 0; i < offers->len && bytes < LISTED_TEXTS_MAX_BYTES; i++)
    {
      const ProgressEntry *entry = offers->pdata[i];
      bytes += entry->text->len;
      append_progress_item (items, entry);
    }
}

guint
quince_progress_store_get_failures (QuinceProgressStore *store, const char *batch, guint item)
{
  g_autofree char *key = entry_key (batch, item);
  const ProgressEntry *entry = g_hash_table_lookup (store->entries, key);
  return entry != NULL ? entry->failures : 0;
}

gboolean
quince_progress_store_get (QuinceProgressStore *store,
                           const char *batch,
                           guint item,
                           GString *text,
                           GArray *versions,
                           guint64 *last_event)
{
  g_autofree char *key = entry_key (batch, item);
  const ProgressEntry *entry = g_hash_table_lookup (store->entries, key);
  if (entry == NULL || entry->last_event == 0)
    return FALSE;
  g_string_append_len (text, entry->text->str, (gssize)entry->text->len);
  g_array_append_vals (versions, entry->versions->data, entry->versions->len);
  *last_event = entry->last_event;
  return TRUE;
}

GBytes *
quince_progress_pack_items (const GArray *items)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PROGRESS };
  message.QuinceMessage_u.progress.items.items_val = (QuinceProgressItem *)items->data;
  message.QuinceMessage_u.progress.items.items_len = items->len;
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  return encoded != NULL ? quince_message_pack (encoded, QUINCE_PACK_FAST) : NULL;
}
