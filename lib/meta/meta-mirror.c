/*
 * meta-mirror.c: keeps a copy of a prefix up to date by a list and watches, or by pages from another process.
 */
#include <string.h>
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"
#include "core/decisions/store-reads.h"
#include "meta-copy.h"
#include "meta/meta-mirror.h"
#include "meta-private.h"

/* Delay after a failed read, ms; doubled per consecutive failure: these count towards the store limit too. */
#define RETRY_DELAY_MIN_MS 100
/* Maximum delay after a failed read, ms; the default maximum interval between probes of the store client. */
#define RETRY_DELAY_MAX_MS 800

struct _QuinceMetaMirror
{
  /* All fields belong to the context that created the mirror. */
  QuinceMetaStore *store;
  char *prefix;
  QuinceMetaMirrorTimes times;
  const QuinceMetaMirrorCallbacks *callbacks;
  gpointer user_data;
  QuinceMetaCall *call;    /* call in progress, or NULL */
  QuinceTimer *read_timer; /* starts the next call, or NULL */
  QuinceMetaCopy *copy;    /* the items reported to the owner */
  GPtrArray *changes;      /* QuinceMetaItem, owned: changes of the list or watch that is being read */
  GHashTable *listed_keys; /* set of the keys read by the list in progress; NULL if there is none */
  char *list_after_key;    /* last key of the previous page; NULL for the first page */
  guint64 revision;        /* the next watch returns the changes after this revision */
  guint64 list_revision;   /* revision of the first page of the list in progress */
  const char *reason;      /* why this process reads the store, for the metric; static */
  guint retry_delay_ms;
  gboolean first_read_pending; /* no call has been made and no page has arrived */
  guint read_interval_ms;      /* current interval from an answer to the next watch */
  gint64 watch_started_us;
  gint64 last_contact_us; /* monotonic time of the last answer or page; 0: none */
  gboolean synced;
  gboolean watching;        /* the call in progress is a watch */
  gboolean waits_for_store; /* calls to the store fail; reads resume when it recovers */
  QuinceTimer *feed_timer;  /* runs while another process feeds the mirror; ends the feed */
};

static void begin_list (QuinceMetaMirror *mirror);
static void begin_watch (QuinceMetaMirror *mirror, guint wait_ms);

static QuinceMetaItem *
copy_item (const QuinceMetaItem *item)
{
  QuinceMetaItem *copy = g_new0 (QuinceMetaItem, 1);
  copy->key = g_strdup (item->key);
  copy->value = item->value != NULL ? g_bytes_ref (item->value) : NULL;
  copy->revision = item->revision;
  return copy;
}

static void
report_item (QuinceMetaMirror *mirror, const QuinceMetaItem *item)
{
  if (!quince_meta_copy_apply_item (mirror->copy, item))
    return;
  g_ptr_array_add (mirror->changes, copy_item (item));
  mirror->callbacks->item (item, mirror->user_data);
}

static void
report_removed (QuinceMetaMirror *mirror, guint64 revision)
{
  g_autoptr (GPtrArray) removed
      = quince_meta_copy_remove_unlisted (mirror->copy, revision, mirror->listed_keys);
  for (guint i = 0; i < removed->len; i++)
    {
      const QuinceMetaItem *item = removed->pdata[i];
      g_ptr_array_add (mirror->changes, copy_item (item));
      mirror->callbacks->item (item, mirror->user_data);
    }
}

static GPtrArray *
new_item_array (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
}

/* Reports a read of the store with its changes after revision @after, even if there are none. */
static void
report_store_read (QuinceMetaMirror *mirror, guint64 after)
{
  g_autoptr (QuinceMetaPage) page = g_new0 (QuinceMetaPage, 1);
  page->items = g_steal_pointer (&mirror->changes);
  page->after = after;
  page->revision = mirror->revision;
  mirror->changes = new_item_array ();
  if (mirror->callbacks->read != NULL)
    mirror->callbacks->read (page, mirror->user_data);
}

/* Returns how long the store may hold the next watch: the maximum less the read interval that has passed. */
static guint
get_watch_wait_ms (const QuinceMetaMirror *mirror)
{
  return mirror->times.read_interval_max_ms
         - MIN (mirror->read_interval_ms, mirror->times.read_interval_max_ms);
}

static void
start_store_read (QuinceMetaMirror *mirror, guint wait_ms)
{
  if (mirror->synced && mirror->listed_keys == NULL)
    begin_watch (mirror, wait_ms);
  else
    begin_list (mirror);
}

static gboolean
handle_read_timer (gpointer data)
{
  QuinceMetaMirror *mirror = data;
  quince_timer_clear (&mirror->read_timer);
  mirror->first_read_pending = FALSE;
  mirror->waits_for_store = quince_meta_store_is_failing (mirror->store);
  if (!mirror->waits_for_store)
    start_store_read (mirror, get_watch_wait_ms (mirror));
  return G_SOURCE_REMOVE;
}

static void
schedule_read (QuinceMetaMirror *mirror, guint wait_ms)
{
  quince_timer_clear (&mirror->read_timer);
  mirror->read_timer = quince_timer_add (wait_ms, handle_read_timer, mirror);
}

static void
schedule_retry (QuinceMetaMirror *mirror)
{
  schedule_read (mirror, mirror->retry_delay_ms);
  mirror->retry_delay_ms = MIN (mirror->retry_delay_ms * 2, RETRY_DELAY_MAX_MS);
}

static void
drop_list (QuinceMetaMirror *mirror)
{
  g_clear_pointer (&mirror->listed_keys, g_hash_table_unref);
  g_clear_pointer (&mirror->list_after_key, g_free);
}

static void
record_contact (QuinceMetaMirror *mirror)
{
  mirror->last_contact_us = quince_now_us ();
  mirror->retry_delay_ms = RETRY_DELAY_MIN_MS;
}

static void
handle_watch_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceMetaMirror *mirror = data;
  mirror->call = NULL;
  if (g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_GONE))
    {
      begin_list (mirror);
      return;
    }
  if (error != NULL)
    {
      schedule_retry (mirror);
      return;
    }
  record_contact (mirror);
  guint64 after = mirror->revision;
  mirror->revision = MAX (mirror->revision, page->revision);
  for (guint i = 0; i < page->items->len; i++)
    report_item (mirror, page->items->pdata[i]);
  mirror->read_interval_ms
      = quince_store_reads_next_interval_ms (mirror->read_interval_ms, mirror->times.read_interval_min_ms,
                                             mirror->times.read_interval_burst_max_ms, page->items->len > 0);
  report_store_read (mirror, after);
  if (mirror->read_interval_ms > 0)
    schedule_read (mirror, mirror->read_interval_ms);
  else
    begin_watch (mirror, get_watch_wait_ms (mirror));
}

static void
begin_watch (QuinceMetaMirror *mirror, guint wait_ms)
{
  mirror->watching = TRUE;
  mirror->watch_started_us = quince_now_us ();
  mirror->call = quince_meta_store_watch (mirror->store, mirror->prefix, mirror->revision, wait_ms,
                                          mirror->reason, handle_watch_reply, mirror);
}

static void
finish_list (QuinceMetaMirror *mirror)
{
  guint64 after = mirror->revision;
  mirror->revision = mirror->list_revision;
  report_removed (mirror, mirror->list_revision);
  drop_list (mirror);
  mirror->synced = TRUE;
  if (mirror->callbacks->synced != NULL)
    mirror->callbacks->synced (mirror->user_data);
  report_store_read (mirror, after);
  mirror->read_interval_ms = mirror->times.read_interval_min_ms;
  schedule_read (mirror, mirror->read_interval_ms);
}

static void
handle_list_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceMetaMirror *mirror = data;
  mirror->call = NULL;
  if (error != NULL)
    {
      drop_list (mirror);
      mirror->synced = FALSE;
      schedule_retry (mirror);
      return;
    }
  record_contact (mirror);
  if (mirror->list_after_key == NULL)
    /* Pages are not a snapshot, so the watch begins at the revision of the first one. */
    mirror->list_revision = page->revision;
  for (guint i = 0; i < page->items->len; i++)
    {
      QuinceMetaItem *item = page->items->pdata[i];
      g_hash_table_add (mirror->listed_keys, g_strdup (item->key));
      report_item (mirror, item);
    }
  if (page->more && page->items->len > 0)
    {
      QuinceMetaItem *last = page->items->pdata[page->items->len - 1];
      g_free (mirror->list_after_key);
      mirror->list_after_key = g_strdup (last->key);
      begin_list (mirror);
    }
  else
    finish_list (mirror);
}

static void
begin_list (QuinceMetaMirror *mirror)
{
  mirror->watching = FALSE;
  if (mirror->listed_keys == NULL)
    mirror->listed_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mirror->call = quince_meta_store_list (mirror->store, mirror->prefix, mirror->list_after_key,
                                         mirror->reason, handle_list_reply, mirror);
}

/* ---- Feeds and recovery of the store ---------------------------------- */

QuinceMetaPage *
quince_meta_mirror_get_changes_since (const QuinceMetaMirror *mirror, guint64 after_revision, gboolean *whole)
{
  return quince_meta_copy_get_changes_since (mirror->copy, after_revision, mirror->revision, whole);
}

guint64
quince_meta_mirror_get_revision (const QuinceMetaMirror *mirror)
{
  return mirror->synced ? mirror->revision : 0;
}

static void
stop_reading (QuinceMetaMirror *mirror)
{
  if (mirror->call != NULL)
    quince_meta_call_cancel (mirror->call);
  mirror->call = NULL;
  mirror->waits_for_store = FALSE;
  mirror->first_read_pending = FALSE;
  quince_timer_clear (&mirror->read_timer);
  drop_list (mirror);
}

/* Ends the feed, if there is one, and reads the store, which may hold the first watch for @wait_ms. */
static void
resume_store_reads (QuinceMetaMirror *mirror, const char *reason, guint wait_ms)
{
  mirror->reason = reason;
  mirror->read_interval_ms = mirror->times.read_interval_min_ms;
  quince_timer_clear (&mirror->feed_timer);
  g_autofree char *prefix = quince_log_quote (mirror->prefix);
  quince_log_info ("feed_ended", "prefix=%s reason=%s revision=%" G_GUINT64_FORMAT, prefix, reason,
                   mirror->revision);
  start_store_read (mirror, wait_ms);
}

/* Returns how long the store may hold the first watch after a feed; it answers immediately if changes were
 * missed.  A reader does not wait, as it also has to report to other processes that nothing has changed. */
static guint
get_first_watch_wait_ms (const QuinceMetaMirror *mirror)
{
  return mirror->times.reader ? 0 : get_watch_wait_ms (mirror);
}

static gboolean
handle_feed_timeout (gpointer data)
{
  QuinceMetaMirror *mirror = data;
  resume_store_reads (mirror, "silent", get_first_watch_wait_ms (mirror));
  return G_SOURCE_REMOVE;
}

void
quince_meta_mirror_handle_feed_end (QuinceMetaMirror *mirror, gboolean answer_immediately)
{
  if (mirror->feed_timer != NULL)
    resume_store_reads (mirror, "feeder_gone", answer_immediately ? 0 : get_first_watch_wait_ms (mirror));
}

gboolean
quince_meta_mirror_is_fed (const QuinceMetaMirror *mirror)
{
  return mirror->feed_timer != NULL;
}

/* Starts the feed or restarts its timeout, and stops reads of the store. */
static void
extend_feed (QuinceMetaMirror *mirror)
{
  if (mirror->feed_timer == NULL)
    {
      g_autofree char *prefix = quince_log_quote (mirror->prefix);
      quince_log_info ("feed_begun", "prefix=%s revision=%" G_GUINT64_FORMAT, prefix, mirror->revision);
    }
  stop_reading (mirror);
  quince_timer_clear (&mirror->feed_timer);
  mirror->feed_timer = quince_timer_add (mirror->times.feed_timeout_ms, handle_feed_timeout, mirror);
}

/* Returns whether changes between the mirror's revision and the page must be read from the store. */
static gboolean
has_gap (const QuinceMetaMirror *mirror, const QuinceMetaPage *page, gboolean whole)
{
  return !whole && page->after > mirror->revision;
}

gboolean
quince_meta_mirror_feed (QuinceMetaMirror *mirror, const QuinceMetaPage *page, gboolean whole)
{
  if (page->revision < mirror->revision || (!whole && !mirror->synced))
    return FALSE;
  if (has_gap (mirror, page, whole))
    {
      if (mirror->feed_timer != NULL)
        resume_store_reads (mirror, "gap", get_first_watch_wait_ms (mirror));
      return FALSE;
    }
  extend_feed (mirror);
  mirror->last_contact_us = quince_now_us ();
  mirror->revision = page->revision;
  if (whole)
    mirror->listed_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < page->items->len; i++)
    {
      const QuinceMetaItem *item = page->items->pdata[i];
      if (whole)
        g_hash_table_add (mirror->listed_keys, g_strdup (item->key));
      report_item (mirror, item);
    }
  if (whole)
    report_removed (mirror, page->revision);
  /* Only reads of the store are reported to @read: the feeder sends its changes to other processes itself. */
  g_ptr_array_set_size (mirror->changes, 0);
  if (!whole)
    return TRUE;
  drop_list (mirror);
  mirror->synced = TRUE;
  if (mirror->callbacks->synced != NULL)
    mirror->callbacks->synced (mirror->user_data);
  return TRUE;
}

/* Restarts a watch that began before the store recovered: its connection may be broken without an error, so
 * that no answer arrives.  Also starts the read of a mirror that waits for the store. */
static void
handle_store_recovery (gint64 recovered_us, gpointer data)
{
  QuinceMetaMirror *mirror = data;
  gboolean watch_may_be_lost
      = mirror->call != NULL && mirror->watching && mirror->watch_started_us < recovered_us;
  if (!watch_may_be_lost && !mirror->waits_for_store)
    return;
  if (watch_may_be_lost)
    quince_meta_call_cancel (mirror->call);
  mirror->call = NULL;
  mirror->waits_for_store = FALSE;
  if (mirror->times.outage_read_jitter_max_ms > 0)
    schedule_read (mirror, (guint)g_random_int_range (0, (gint32)mirror->times.outage_read_jitter_max_ms));
  else
    start_store_read (mirror, 0);
}

/* ---- Public ----------------------------------------------------------- */

QuinceMetaMirror *
quince_meta_mirror_new (QuinceMetaStore *store,
                        const char *prefix,
                        guint first_read_wait_ms,
                        const QuinceMetaMirrorCallbacks *callbacks,
                        gpointer user_data)
{
  QuinceMetaMirror *mirror = g_new0 (QuinceMetaMirror, 1);
  mirror->store = store;
  mirror->prefix = g_strdup (prefix);
  mirror->callbacks = callbacks;
  mirror->user_data = user_data;
  mirror->copy = quince_meta_copy_new (callbacks->is_equivalent);
  mirror->changes = new_item_array ();
  mirror->retry_delay_ms = RETRY_DELAY_MIN_MS;
  mirror->reason = "start";
  quince_meta_store_add_listener (store, handle_store_recovery, mirror);
  mirror->first_read_pending = first_read_wait_ms > 0;
  if (mirror->first_read_pending)
    schedule_read (mirror, first_read_wait_ms);
  else
    begin_list (mirror);
  return mirror;
}

void
quince_meta_mirror_free (QuinceMetaMirror *mirror)
{
  if (mirror == NULL)
    return;
  quince_meta_store_remove_listener (mirror->store, mirror);
  if (mirror->call != NULL)
    quince_meta_call_cancel (mirror->call);
  quince_timer_clear (&mirror->read_timer);
  quince_timer_clear (&mirror->feed_timer);
  drop_list (mirror);
  quince_meta_copy_free (mirror->copy);
  g_ptr_array_unref (mirror->changes);
  g_free (mirror->prefix);
  g_free (mirror);
}

void
quince_meta_mirror_set_times (QuinceMetaMirror *mirror, const QuinceMetaMirrorTimes *times)
{
  mirror->times = *times;
  mirror->times.read_interval_max_ms = MAX (times->read_interval_max_ms, times->read_interval_min_ms);
  mirror->times.read_interval_burst_max_ms
      = MAX (times->read_interval_burst_max_ms, times->read_interval_min_ms);
  if (mirror->read_interval_ms <= mirror->times.read_interval_burst_max_ms)
    return;
  /* A process that becomes a reader does not finish a pause that is longer than the new maximum. */
  mirror->read_interval_ms = mirror->times.read_interval_burst_max_ms;
  if (mirror->read_timer != NULL && !mirror->first_read_pending)
    schedule_read (mirror, mirror->read_interval_ms);
}

void
quince_meta_mirror_handle_resume (QuinceMetaMirror *mirror)
{
  stop_reading (mirror);
  resume_store_reads (mirror, "suspended", 0);
}

void
quince_meta_mirror_list_now (QuinceMetaMirror *mirror)
{
  if (mirror->first_read_pending)
    handle_read_timer (mirror);
}

gboolean
quince_meta_mirror_is_listing (const QuinceMetaMirror *mirror)
{
  return mirror->listed_keys != NULL;
}

gboolean
quince_meta_mirror_is_synced (const QuinceMetaMirror *mirror)
{
  return mirror->synced;
}

gint64
quince_meta_mirror_get_last_contact_us (const QuinceMetaMirror *mirror)
{
  return mirror->last_contact_us;
}

gboolean
quince_meta_mirror_is_fresh (const QuinceMetaMirror *mirror, gint64 now_us)
{
  return mirror->last_contact_us > 0
         && now_us - mirror->last_contact_us <= (gint64)mirror->times.feed_timeout_ms * 1000;
}
