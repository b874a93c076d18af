/*
 * meta-mirror-feed.c: applies pages of another process to a mirror, and makes pages for other mirrors.
 *
 * A page with a whole prefix can have tens of thousands of items.  It is applied in slices, one in each
 * iteration of the main loop, so that the process answers requests and heartbeats meanwhile.  Pages that
 * arrive before the last slice wait for it.
 */
#include "core/decisions/store-reads.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "meta-mirror-private.h"

/* Maximum number of items that are applied in one iteration of the main loop.  Bounds the time for which a
 * process with a tenth of a core answers nothing to some 50 ms. */
#define SLICE_ITEMS_MAX 200

struct _QuinceWholePage
{
  GPtrArray *items; /* QuinceMetaItem, owned reference */
  guint next;       /* index of the first item that has not been applied */
  guint64 revision; /* of the page */
  gboolean may_have_lapsed;
  GQueue later; /* QuinceMetaPage, owned: pages that arrived after this one */
  QuinceTimer *timer;
};

/* ---- Pages for other mirrors -------------------------------------------- */

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

/* ---- The end of a feed --------------------------------------------------- */

/* Returns how long the store may hold the first watch after a feed; it answers immediately if changes were
 * missed.  A reader does not wait, as it also has to report to other processes that nothing has changed. */
static guint
get_first_watch_wait_ms (const QuinceMetaMirror *mirror)
{
  return mirror->times.reader ? 0 : quince_meta_mirror_get_watch_wait_ms (mirror);
}

static gboolean
handle_feed_timeout (gpointer data)
{
  QuinceMetaMirror *mirror = data;
  quince_meta_mirror_resume_reads (mirror, "silent", get_first_watch_wait_ms (mirror));
  return G_SOURCE_REMOVE;
}

void
quince_meta_mirror_handle_feed_end (QuinceMetaMirror *mirror, gboolean answer_immediately)
{
  if (mirror->feed_timer != NULL)
    quince_meta_mirror_resume_reads (mirror, "feeder_gone",
                                     answer_immediately ? 0 : get_first_watch_wait_ms (mirror));
}

gboolean
quince_meta_mirror_is_fed (const QuinceMetaMirror *mirror)
{
  return mirror->feed_timer != NULL;
}

void
quince_meta_mirror_restart_feed_timer (QuinceMetaMirror *mirror)
{
  if (mirror->feed_timer == NULL)
    return;
  guint left_ms = quince_store_reads_get_feed_time_left_ms (mirror->times.feed_timeout_ms,
                                                            quince_now_us () - mirror->last_contact_us);
  quince_timer_clear (&mirror->feed_timer);
  mirror->feed_timer = quince_timer_add (left_ms, handle_feed_timeout, mirror);
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
  if (mirror->whole == NULL)
    quince_meta_mirror_stop_reading (mirror);
  quince_timer_clear (&mirror->feed_timer);
  mirror->feed_timer = quince_timer_add (mirror->times.feed_timeout_ms, handle_feed_timeout, mirror);
}

/* ---- Whole prefixes ------------------------------------------------------ */

void
quince_meta_mirror_drop_whole_page (QuinceMetaMirror *mirror)
{
  QuinceWholePage *whole = g_steal_pointer (&mirror->whole);
  if (whole == NULL)
    return;
  quince_timer_clear (&whole->timer);
  g_queue_clear_full (&whole->later, (GDestroyNotify)quince_meta_page_free);
  g_ptr_array_unref (whole->items);
  g_free (whole);
  quince_meta_mirror_drop_list (mirror);
}

gboolean
quince_meta_mirror_page_may_have_lapsed (const QuinceMetaMirror *mirror)
{
  return mirror->page_may_have_lapsed;
}

static void
report_items (QuinceMetaMirror *mirror, const QuinceMetaPage *page)
{
  mirror->page_may_have_lapsed = page->may_have_lapsed;
  for (guint i = 0; i < page->items->len; i++)
    quince_meta_mirror_report_item (mirror, page->items->pdata[i]);
  mirror->page_may_have_lapsed = FALSE;
  /* Only reads of the store are reported to @read: the feeder sends its changes to other processes itself. */
  g_ptr_array_set_size (mirror->changes, 0);
}

static void
finish_whole_page (QuinceMetaMirror *mirror)
{
  mirror->page_may_have_lapsed = mirror->whole->may_have_lapsed;
  quince_meta_mirror_report_removed (mirror, mirror->whole->revision);
  mirror->page_may_have_lapsed = FALSE;
  for (GList *link = mirror->whole->later.head; link != NULL; link = link->next)
    report_items (mirror, link->data);
  g_ptr_array_set_size (mirror->changes, 0);
  quince_meta_mirror_drop_whole_page (mirror);
  mirror->synced = TRUE;
  if (mirror->callbacks->synced != NULL)
    mirror->callbacks->synced (mirror->user_data);
}

/* Returns: whether the page has been applied completely */
static gboolean
apply_slice (QuinceMetaMirror *mirror)
{
  QuinceWholePage *whole = mirror->whole;
  guint end = MIN (whole->next + SLICE_ITEMS_MAX, whole->items->len);
  for (; whole->next < end; whole->next++)
    {
      const QuinceMetaItem *item = whole->items->pdata[whole->next];
      g_hash_table_add (mirror->listed_keys, g_strdup (item->key));
      quince_meta_mirror_report_item (mirror, item);
    }
  g_ptr_array_set_size (mirror->changes, 0);
  if (whole->next < whole->items->len)
    return FALSE;
  finish_whole_page (mirror);
  return TRUE;
}

static gboolean
handle_slice_timer (gpointer data)
{
  return apply_slice (data) ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

static void
begin_whole_page (QuinceMetaMirror *mirror, const QuinceMetaPage *page)
{
  QuinceWholePage *whole = g_new0 (QuinceWholePage, 1);
  whole->items = g_ptr_array_ref (page->items);
  whole->revision = page->revision;
  whole->may_have_lapsed = page->may_have_lapsed;
  g_queue_init (&whole->later);
  mirror->whole = whole;
  mirror->synced = FALSE;
  mirror->listed_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (!apply_slice (mirror))
    whole->timer = quince_timer_add (0, handle_slice_timer, mirror);
}

static void
add_later_page (QuinceWholePage *whole, const QuinceMetaPage *page)
{
  QuinceMetaPage *later = g_new0 (QuinceMetaPage, 1);
  later->items = g_ptr_array_ref (page->items);
  later->may_have_lapsed = page->may_have_lapsed;
  g_queue_push_tail (&whole->later, later);
}

/* ---- Pages from another process ------------------------------------------ */

/* Returns whether changes between the mirror's revision and the page must be read from the store. */
static gboolean
has_gap (const QuinceMetaMirror *mirror, const QuinceMetaPage *page, gboolean whole)
{
  return !whole && page->after > mirror->revision;
}

gboolean
quince_meta_mirror_feed (QuinceMetaMirror *mirror, const QuinceMetaPage *page, gboolean whole)
{
  if (page->revision < mirror->revision || (!whole && !mirror->synced && mirror->whole == NULL))
    return FALSE;
  if (has_gap (mirror, page, whole))
    {
      if (mirror->feed_timer != NULL)
        quince_meta_mirror_resume_reads (mirror, "gap", get_first_watch_wait_ms (mirror));
      return FALSE;
    }
  if (whole)
    quince_meta_mirror_drop_whole_page (mirror);
  extend_feed (mirror);
  mirror->last_contact_us = quince_now_us ();
  mirror->revision = page->revision;
  if (whole)
    begin_whole_page (mirror, page);
  else if (mirror->whole != NULL)
    add_later_page (mirror->whole, page);
  else
    report_items (mirror, page);
  return TRUE;
}
