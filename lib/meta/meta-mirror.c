/*
 * meta-mirror.c: keeps a copy of a prefix up to date by a list and watches of the store.
 */
#include <string.h>
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"
#include "core/decisions/store-reads.h"
#include "meta-mirror-private.h"

/* Delay after a failed read, ms; doubled per consecutive failure: these count towards the store limit too. */
#define RETRY_DELAY_MIN_MS 100
/* Maximum delay after a failed read, ms; the default maximum interval between probes of the store client. */
#define RETRY_DELAY_MAX_MS 800

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

void
quince_meta_mirror_report_item (QuinceMetaMirror *mirror, const QuinceMetaItem *item)
{
  if (!quince_meta_copy_apply_item (mirror->copy, item))
    return;
  g_ptr_array_add (mirror->changes, copy_item (item));
  mirror->callbacks->item (item, mirror->user_data);
}

void
quince_meta_mirror_report_removed (QuinceMetaMirror *mirror, guint64 revision)
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

guint
quince_meta_mirror_get_watch_wait_ms (const QuinceMetaMirror *mirror)
{
  /* The read interval has passed already. */
  return mirror->times.read_interval_max_ms
         - MIN (mirror->read_interval_ms, mirror->times.read_interval_max_ms);
}

void
quince_meta_mirror_start_read (QuinceMetaMirror *mirror, guint wait_ms)
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
    quince_meta_mirror_start_read (mirror, quince_meta_mirror_get_watch_wait_ms (mirror));
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

void
quince_meta_mirror_drop_list (QuinceMetaMirror *mirror)
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
    quince_meta_mirror_report_item (mirror, page->items->pdata[i]);
  mirror->read_interval_ms
      = quince_store_reads_next_interval_ms (mirror->read_interval_ms, mirror->times.read_interval_min_ms,
                                             mirror->times.read_interval_burst_max_ms, page->items->len > 0);
  report_store_read (mirror, after);
  if (mirror->read_interval_ms > 0)
    schedule_read (mirror, mirror->read_interval_ms);
  else
    begin_watch (mirror, quince_meta_mirror_get_watch_wait_ms (mirror));
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
  quince_meta_mirror_report_removed (mirror, mirror->list_revision);
  quince_meta_mirror_drop_list (mirror);
  mirror->synced = TRUE;
  if (mirror->callbacks->synced != NULL)
    mirror->callbacks->synced (mirror->user_data);
  report_store_read (mirror, after);
  mirror->read_interval_ms = mirror->times.read_interval_min_ms;
  schedule_read (mirror, mirror->read_interval_ms);
}

/* A list that the store rejects or does not answer continues after its last page: if each of many processes
 * began again, their lists would keep the store above its rate limit for ever. */
static void
handle_list_error (QuinceMetaMirror *mirror, const GError *error)
{
  gboolean may_continue = g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_UNAVAILABLE)
                          || g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_UNKNOWN);
  if (!may_continue)
    quince_meta_mirror_drop_list (mirror);
  mirror->synced = FALSE;
  schedule_retry (mirror);
}

static void
handle_list_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceMetaMirror *mirror = data;
  mirror->call = NULL;
  if (error != NULL)
    {
      handle_list_error (mirror, error);
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
      quince_meta_mirror_report_item (mirror, item);
    }
  if (page->more && page->items->len > 0)
    {
      QuinceMetaItem *last = page->items->pdata[page->items->len - 1];
      g_free (mirror->list_after_key);
      mirror->list_after_key = g_strdup (last->key);
      if (mirror->pauses_after_page)
        mirror->first_read_pending = TRUE;
      else
        begin_list (mirror);
      mirror->pauses_after_page = FALSE;
    }
  else
    finish_list (mirror);
}

static void
log_list_begun (const QuinceMetaMirror *mirror)
{
  g_autofree char *prefix = quince_log_quote (mirror->prefix);
  quince_log_info ("list_begun", "prefix=%s reason=%s revision=%" G_GUINT64_FORMAT, prefix, mirror->reason,
                   mirror->revision);
}

static void
begin_list (QuinceMetaMirror *mirror)
{
  mirror->watching = FALSE;
  if (mirror->listed_keys == NULL)
    {
      log_list_begun (mirror);
      mirror->listed_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  mirror->call = quince_meta_store_list (mirror->store, mirror->prefix, mirror->list_after_key,
                                         mirror->reason, handle_list_reply, mirror);
}

/* ---- Feeds and recovery of the store ----------------------------------- */

void
quince_meta_mirror_stop_reading (QuinceMetaMirror *mirror)
{
  if (mirror->call != NULL)
    quince_meta_call_cancel (mirror->call);
  mirror->call = NULL;
  mirror->waits_for_store = FALSE;
  mirror->first_read_pending = FALSE;
  quince_timer_clear (&mirror->read_timer);
  quince_meta_mirror_drop_list (mirror);
}

void
quince_meta_mirror_resume_reads (QuinceMetaMirror *mirror, const char *reason, guint wait_ms)
{
  mirror->reason = reason;
  mirror->read_interval_ms = mirror->times.read_interval_min_ms;
  quince_timer_clear (&mirror->feed_timer);
  quince_meta_mirror_drop_whole_page (mirror);
  g_autofree char *prefix = quince_log_quote (mirror->prefix);
  quince_log_info ("feed_ended", "prefix=%s reason=%s revision=%" G_GUINT64_FORMAT, prefix, reason,
                   mirror->revision);
  quince_meta_mirror_start_read (mirror, wait_ms);
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
    quince_meta_mirror_start_read (mirror, 0);
}

/* ---- Public ----------------------------------------------------------- */

QuinceMetaMirror *
quince_meta_mirror_new (QuinceMetaStore *store,
                        const char *prefix,
                        gboolean waits_to_be_fed,
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
  mirror->first_read_pending = waits_to_be_fed;
  if (!waits_to_be_fed)
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
  quince_meta_mirror_drop_whole_page (mirror);
  quince_meta_mirror_drop_list (mirror);
  quince_meta_copy_free (mirror->copy);
  g_ptr_array_unref (mirror->changes);
  g_free (mirror->prefix);
  g_free (mirror);
}

void
quince_meta_mirror_set_times (QuinceMetaMirror *mirror, const QuinceMetaMirrorTimes *times)
{
  gboolean feed_timeout_changed = times->feed_timeout_ms != mirror->times.feed_timeout_ms;
  mirror->times = *times;
  mirror->times.read_interval_max_ms = MAX (times->read_interval_max_ms, times->read_interval_min_ms);
  mirror->times.read_interval_burst_max_ms
      = MAX (times->read_interval_burst_max_ms, times->read_interval_min_ms);
  /* Freshness is judged by the new timeout: a longer one that still ran would leave the mirror stale. */
  if (feed_timeout_changed)
    quince_meta_mirror_restart_feed_timer (mirror);
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
  quince_meta_mirror_stop_reading (mirror);
  quince_meta_mirror_resume_reads (mirror, "suspended", 0);
}

void
quince_meta_mirror_list_first_page (QuinceMetaMirror *mirror)
{
  if (!mirror->first_read_pending || mirror->listed_keys != NULL)
    return;
  mirror->pauses_after_page = TRUE;
  handle_read_timer (mirror);
}

void
quince_meta_mirror_list_now (QuinceMetaMirror *mirror)
{
  mirror->pauses_after_page = FALSE;
  if (mirror->first_read_pending)
    handle_read_timer (mirror);
}

gboolean
quince_meta_mirror_is_listing (const QuinceMetaMirror *mirror)
{
  return mirror->listed_keys != NULL && !mirror->first_read_pending;
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
