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
  guint pace_ms;       /* least time from one answer to the next watch, for keys that change all the time */
  guint read_every_ms; /* most time from one answer to the next where the store answers at once; more than the
                        * pace */
  guint patience_ms; /* a fed mirror reads by itself so long after the last page; more than @read_every_ms of
                      * the feeder */
  guint spread_ms;   /* once the store answers again it is asked at a moment drawn from this time, so that
                      * not all processes ask at once; 0: at once */
} QuinceMetaMirrorTimes;

typedef struct _QuinceMetaMirror QuinceMetaMirror;

/**
 * QuinceMetaMirrorCallbacks:
 * @item: an item was written, or removed (@item->value is %NULL)
 * @synced: all that the store held at some moment has been told; again after each list
 * @read: (nullable): the store itself was read; the items are what was new in it, perhaps nothing, which
 *   proves that nothing changed
 * @same: (nullable): two values of a key that say the same: the second is no news
 */
typedef struct
{
  void (*item) (const QuinceMetaItem *item, gpointer user_data);
  void (*synced) (gpointer user_data);
  void (*read) (const QuinceMetaPage *page, gpointer user_data);
  gboolean (*same) (GBytes *before, GBytes *after);
} QuinceMetaMirrorCallbacks;

/**
 * quince_meta_mirror_new:
 * @prefix: of the keys to follow
 *
 * Lists the prefix and then watches it, for ever; lists anew where history is dropped.  Its times are to be
 * set before the context runs.  While calls to the store fail it waits for the first good answer instead of
 * asking.
 */
QuinceMetaMirror *quince_meta_mirror_new (QuinceMetaStore *store,
                                          const char *prefix,
                                          const QuinceMetaMirrorCallbacks *callbacks,
                                          gpointer user_data);
void quince_meta_mirror_free (QuinceMetaMirror *mirror);
/* The machine was suspended: nothing that was told or asked before counts, and the store is read at once. */
void quince_meta_mirror_resumed (QuinceMetaMirror *mirror);
gboolean quince_meta_mirror_is_synced (const QuinceMetaMirror *mirror);
/* Takes effect with the next call or page. */
void quince_meta_mirror_set_times (QuinceMetaMirror *mirror, const QuinceMetaMirrorTimes *times);
/**
 * quince_meta_mirror_feed:
 * @page: items as another process had them from the store, each with its revision
 * @whole: all that the store holds under the prefix
 *
 * While it is fed a mirror asks the store for nothing.  Each page must come from a read of the store just
 * now: a page without items says that nothing changed.  Without any for its patience the mirror reads by
 * itself, from the revision that it has.  It takes no page that is older than that, or that begins after it,
 * since changes between are not known.
 * Returns: whether the page was taken
 */
gboolean quince_meta_mirror_feed (QuinceMetaMirror *mirror, const QuinceMetaPage *page, gboolean whole);
/* Whoever fed is gone: goes on by itself at once. */
void quince_meta_mirror_feed_ended (QuinceMetaMirror *mirror);
/* Another process feeds the mirror, so it makes no calls to the store. */
gboolean quince_meta_mirror_is_fed (const QuinceMetaMirror *mirror);
/* What one lacks that has all up to revision @after (0: nothing), to feed it with.
 * @whole: (out): it is all there is under the prefix */
QuinceMetaPage *quince_meta_mirror_since (const QuinceMetaMirror *mirror, guint64 after, gboolean *whole);
/* All up to it is known; 0: not all that the store held at any moment. */
guint64 quince_meta_mirror_get_revision (const QuinceMetaMirror *mirror);
/* Monotonic time of the last answer or page for the prefix, in microseconds; 0: none yet. */
gint64 quince_meta_mirror_get_contact_us (const QuinceMetaMirror *mirror);
/* The last answer or page is recent enough to feed other mirrors from this one. */
gboolean quince_meta_mirror_is_fresh (const QuinceMetaMirror *mirror, gint64 now_us);

G_END_DECLS
