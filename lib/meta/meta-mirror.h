/*
 * meta-mirror.h: a local copy of the keys of one prefix of the metadata store.
 *
 * A mirror reads the prefix through a QuinceMetaStore, or another process feeds it with the changes that it
 * has read.  It owns the copy, its timers and the call in progress, and belongs to the thread-default main
 * context that created it.
 */
#pragma once

#include "meta/meta-store.h"

G_BEGIN_DECLS

/**
 * QuinceMetaMirrorTimes:
 * @read_interval_min_ms: minimum time from an answer to the next watch, ms; limits the calls for keys that
 *   change constantly
 * @read_interval_burst_max_ms: maximum to which this interval grows while each watch returns changes, ms;
 *   should be below @read_interval_max_ms.  A value below @read_interval_min_ms counts as
 *   @read_interval_min_ms
 * @read_interval_max_ms: maximum time from one answer to the next, ms, if the store answers without delay.  A
 *   value below @read_interval_min_ms counts as @read_interval_min_ms
 * @feed_timeout_ms: time without a page after which a fed mirror reads the store, ms; should be above the
 *   @read_interval_max_ms of the process that feeds it
 * @outage_read_jitter_max_ms: maximum random delay of the first read after an outage of the store, ms;
 *   prevents all processes from reading at the same time.  0: no delay
 * @reader: this process feeds other mirrors.  When its own feed ends, the store answers its first watch
 *   immediately, even if nothing has changed
 *
 * How often a mirror reads the store.
 */
typedef struct
{
  guint read_interval_min_ms;
  guint read_interval_burst_max_ms;
  guint read_interval_max_ms;
  guint feed_timeout_ms;
  guint outage_read_jitter_max_ms;
  gboolean reader;
} QuinceMetaMirrorTimes;

typedef struct _QuinceMetaMirror QuinceMetaMirror;

/**
 * QuinceMetaMirrorCallbacks:
 * @item: called for each item that was written, or removed (its value is %NULL)
 * @synced: (nullable): called after each complete list and each page with the whole prefix: all items of the
 *   store have been reported
 * @read: (nullable): called after each successful read of the store itself, with its changes.  A page without
 *   items means that nothing has changed
 * @is_equivalent: (nullable): returns whether two values of a key have the same meaning; the second one
 *   is not reported then
 */
typedef struct
{
  void (*item) (const QuinceMetaItem *item, gpointer user_data);
  void (*synced) (gpointer user_data);
  void (*read) (const QuinceMetaPage *page, gpointer user_data);
  gboolean (*is_equivalent) (GBytes *before, GBytes *after);
} QuinceMetaMirrorCallbacks;

/**
 * quince_meta_mirror_new:
 * @store: must outlive the mirror
 * @prefix: prefix of the keys to mirror
 * @waits_to_be_fed: the first list is not made before quince_meta_mirror_list_now(), and not at all if
 *   another process feeds the mirror
 * @callbacks: must outlive the mirror
 *
 * Lists the prefix and then watches it until the mirror is freed.  A list that the store rejects continues
 * after its last page.  Lists the prefix again if the store has compacted the revision of the watch.  While
 * calls to the store fail, the mirror waits until the store recovers.  Call quince_meta_mirror_set_times()
 * before the main context runs.
 *
 * Returns: (transfer full): the mirror
 */
QuinceMetaMirror *quince_meta_mirror_new (QuinceMetaStore *store,
                                          const char *prefix,
                                          gboolean waits_to_be_fed,
                                          const QuinceMetaMirrorCallbacks *callbacks,
                                          gpointer user_data);
void quince_meta_mirror_free (QuinceMetaMirror *mirror); /* (nullable) */
/* Reads the store immediately after a suspension of the machine, since the copy may be stale and a watch may
 * be lost. */
void quince_meta_mirror_handle_resume (QuinceMetaMirror *mirror);
/* Reads the first page of the list if the mirror still waits to be fed, and then waits again, unless the page
 * holds all keys. */
void quince_meta_mirror_list_first_page (QuinceMetaMirror *mirror);
/* Starts the first list, or continues it after the first page, if the mirror still waits to be fed. */
void quince_meta_mirror_list_now (QuinceMetaMirror *mirror);
/* Returns whether a list is in progress. */
gboolean quince_meta_mirror_is_listing (const QuinceMetaMirror *mirror);
/* Returns whether the copy is complete as of some revision of the store. */
gboolean quince_meta_mirror_is_synced (const QuinceMetaMirror *mirror);
/* Takes effect with the next call or page.  A pause that is longer than the new maximum restarts with that
 * maximum, and a feed ends when its last page is older than the new feed timeout. */
void quince_meta_mirror_set_times (QuinceMetaMirror *mirror, const QuinceMetaMirrorTimes *times);
/**
 * quince_meta_mirror_feed:
 * @page: changes that another process has just read from the store, each with its revision
 * @whole: the page holds all items of the prefix
 *
 * While another process feeds it, a mirror makes no calls to the store.  A page without items means that
 * nothing has changed.  If no page arrives within the feed timeout, the mirror reads the store again from its
 * own revision.
 *
 * A large page with the whole prefix is applied in several iterations of the main loop.  The mirror is not
 * synced until the last one; pages that arrive meanwhile are applied after it.
 *
 * The mirror rejects a page that is older than its revision, and a page of changes before it is synced.  It
 * also rejects a page that begins after its revision, since the changes between are unknown; if it was fed,
 * it reads the store then.
 *
 * Returns: %TRUE if the page was applied, or %FALSE if it was rejected
 */
gboolean quince_meta_mirror_feed (QuinceMetaMirror *mirror, const QuinceMetaPage *page, gboolean whole);
/* Makes a fed mirror read the store, because its feeder is lost.
 * @answer_immediately: the store answers the first watch immediately, even if nothing has changed, as it
 * always does for a reader */
void quince_meta_mirror_handle_feed_end (QuinceMetaMirror *mirror, gboolean answer_immediately);
/* Returns whether the removed keys of the page that is being applied may have expired in an outage of the
 * store; see QuinceMetaPage. */
gboolean quince_meta_mirror_page_may_have_lapsed (const QuinceMetaMirror *mirror);
/* Returns whether another process feeds the mirror, so that it makes no calls to the store. */
gboolean quince_meta_mirror_is_fed (const QuinceMetaMirror *mirror);
/* Returns: (transfer full): the changes after @after_revision, or all items if it is 0, to feed another
 * mirror.
 * @whole: (out): the page holds all items of the prefix */
QuinceMetaPage *quince_meta_mirror_get_changes_since (const QuinceMetaMirror *mirror,
                                                      guint64 after_revision,
                                                      gboolean *whole);
/* Returns the revision of the store up to which the copy is complete, or 0 if the mirror is not synced. */
guint64 quince_meta_mirror_get_revision (const QuinceMetaMirror *mirror);
/* Returns the monotonic time of the last answer or page for the prefix, us, or 0 if there was none. */
gint64 quince_meta_mirror_get_last_contact_us (const QuinceMetaMirror *mirror);
/* Returns whether the last answer or page is recent enough to feed other mirrors from this one: not older
 * than the feed timeout.  @now_us: monotonic time */
gboolean quince_meta_mirror_is_fresh (const QuinceMetaMirror *mirror, gint64 now_us);

G_END_DECLS
