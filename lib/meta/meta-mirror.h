/*
 * meta-mirror.h: a local copy of the keys of one prefix of the metadata store.
 *
 * Owns the copy, its timers and the call in progress; reads through a QuinceMetaStore, or is fed by another
 * process.  Belongs to the thread-default context that created it.
 */
#pragma once

#include "meta/meta-store.h"

G_BEGIN_DECLS

/* How often a mirror reads, in milliseconds. */
typedef struct
{
  guint read_interval_min_ms; /* least time from an answer to the next watch: keys may change all the time */
  guint read_interval_burst_max_ms; /* up to which the pace grows while each watch tells changes; below
                                       @read_interval_max_ms */
  guint read_interval_max_ms;      /* greatest time from one answer to the next, if the store answers at once;
                                    * above the      pace */
  guint feed_timeout_ms;           /* without a page for so long a fed mirror reads the store; above
                                    * @read_interval_max_ms of           the process that feeds it */
  guint outage_read_jitter_max_ms; /* a store that answers again is read at a random moment within this time,
                                    * so that not all processes read it at once; 0: at once */
  gboolean reader; /* it feeds other mirrors: when it is fed no longer the store answers its first watch at
                    * once, also if nothing has changed */
} QuinceMetaMirrorTimes;

typedef struct _QuinceMetaMirror QuinceMetaMirror;

/**
 * QuinceMetaMirrorCallbacks:
 * @item: an item was written, or removed (@item->value is %NULL)
 * @synced: (nullable): all that the store held at some moment was reported; called after each list
 * @read: (nullable): the store itself was read; the page holds the changes.  A page without items proves that
 *   nothing changed
 * @is_equivalent: (nullable): two values of a key mean the same, so that the second one is not reported
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
 * @prefix: of the keys to follow
 * @first_read_wait_ms: before the first list, which is not made if the mirror is fed by then; 0: at once
 *
 * Lists the prefix and then watches it, until it is freed; lists anew if the store has dropped its history.
 * Set its times before the context runs.  While calls to the store fail it waits for the first good answer.
 *
 * Returns: (transfer full): the mirror; @store and @callbacks must outlive it
 */
QuinceMetaMirror *quince_meta_mirror_new (QuinceMetaStore *store,
                                          const char *prefix,
                                          guint first_read_wait_ms,
                                          const QuinceMetaMirrorCallbacks *callbacks,
                                          gpointer user_data);
void quince_meta_mirror_free (QuinceMetaMirror *mirror);
/* The machine was suspended: the copy may be old and a watch may be lost, so the store is read at once. */
void quince_meta_mirror_handle_resume (QuinceMetaMirror *mirror);
/* Ends the wait before the first list. */
void quince_meta_mirror_list_now (QuinceMetaMirror *mirror);
/* A list of the store is in progress. */
gboolean quince_meta_mirror_is_listing (const QuinceMetaMirror *mirror);
/* The copy holds all that the store held at some moment. */
gboolean quince_meta_mirror_is_synced (const QuinceMetaMirror *mirror);
/* Takes effect with the next call or page. */
void quince_meta_mirror_set_times (QuinceMetaMirror *mirror, const QuinceMetaMirrorTimes *times);
/**
 * quince_meta_mirror_feed:
 * @page: changes that another process has just read from the store, each with its revision
 * @whole: the page is all that the store holds under the prefix
 *
 * While it is fed a mirror makes no calls to the store.  A page without items says that nothing changed.
 * Without a page for its patience the mirror reads the store again, from its own revision on.  It refuses a
 * page that is older than its revision, and one that begins after it, since the changes between are unknown.
 *
 * Returns: whether the page was taken
 */
gboolean quince_meta_mirror_feed (QuinceMetaMirror *mirror, const QuinceMetaPage *page, gboolean whole);
/* The feeding process is gone: a fed mirror reads the store.  @answer_immediately: the store answers also if
 * nothing has changed, as always to a reader */
void quince_meta_mirror_handle_feed_end (QuinceMetaMirror *mirror, gboolean answer_immediately);
/* Another process feeds the mirror, so it makes no calls to the store. */
gboolean quince_meta_mirror_is_fed (const QuinceMetaMirror *mirror);
/* (transfer full): the changes after revision @after_revision (0: everything), to feed another mirror.
 * @whole: (out): the page is all there is under the prefix */
QuinceMetaPage *quince_meta_mirror_get_changes_since (const QuinceMetaMirror *mirror,
                                                      guint64 after_revision,
                                                      gboolean *whole);
/* Revision of the store up to which the copy is complete; 0: it is not synced. */
guint64 quince_meta_mirror_get_revision (const QuinceMetaMirror *mirror);
/* Monotonic time of the last answer or page for the prefix, in microseconds; 0: none yet. */
gint64 quince_meta_mirror_get_last_contact_us (const QuinceMetaMirror *mirror);
/* The last answer or page is recent enough to feed other mirrors from this one. */
gboolean quince_meta_mirror_is_fresh (const QuinceMetaMirror *mirror, gint64 now_us);

G_END_DECLS
