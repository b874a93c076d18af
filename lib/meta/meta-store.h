/*
 * meta-store.h: the shared metadata store: a few small facts under conditions, watches and leases.
 *
 * The store's own words live in a dialect (QuinceMetaDialect), so that this side holds only what is ours:
 * retries, pacing, mirrors of a prefix, leases that are renewed.  Everything belongs to the thread-default
 * context that created it.
 */
#pragma once

#include "http1/http-client.h"

G_BEGIN_DECLS

#define QUINCE_META_ERROR (quince_meta_error_quark ())
GQuark quince_meta_error_quark (void);

typedef enum
{
  QUINCE_META_ERROR_UNAVAILABLE, /* nothing was done                                  */
  QUINCE_META_ERROR_UNKNOWN,     /* no answer: may be done, now or some seconds later */
  QUINCE_META_ERROR_CONFLICT,    /* a condition does not hold                         */
  QUINCE_META_ERROR_GONE,        /* no such item or lease, or history that is dropped */
  QUINCE_META_ERROR_MALFORMED,   /* an answer that cannot be read                     */
} QuinceMetaError;

typedef struct
{
  char *key;
  GBytes *value; /* NULL: removed */
  guint64 revision;
} QuinceMetaItem;

void quince_meta_item_free (QuinceMetaItem *item);

typedef struct
{
  GPtrArray *items;         /* owned QuinceMetaItem */
  gboolean more;            /* another page follows the last key */
  guint64 after;            /* all changes since this revision are among the items; 0: all there is */
  guint64 revision;         /* of the store, at this answer */
  gboolean may_have_lapsed; /* page from another process: keys may have expired during a store outage there */
} QuinceMetaPage;

void quince_meta_page_free (QuinceMetaPage *page);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMetaPage, quince_meta_page_free)

/* One change: all or nothing.  @expected_revision 0: the key must not be there; -1: no condition. */
typedef struct
{
  const char *key;
  gint64 expected_revision;
  GBytes *value; /* NULL: remove */
  guint64 lease; /* 0: none */
} QuinceMetaChange;

/* The store's own words.  Targets are (transfer full). */
typedef struct
{
  char *(*get_target) (const char *key);
  char *(*list_target) (const char *prefix, const char *after_key);
  char *(*watch_target) (const char *prefix, guint64 after_revision, guint wait_ms);
  char *(*change_target) (void);
  char *(*lease_target) (void);
  char *(*renew_target) (guint64 lease);
  char *(*release_target) (guint64 lease);
  GBytes *(*format_change) (const QuinceMetaChange *changes, guint n_changes);
  GBytes *(*format_lease) (guint ttl_ms);
  QuinceMetaPage *(*parse_page) (const char *body, gsize length, GError **error);
  QuinceMetaPage *(*parse_item) (const char *body, gsize length, GError **error);
  guint64 (*parse_revision) (const char *body, gsize length);
  guint64 (*parse_lease) (const char *body, gsize length);
} QuinceMetaDialect;

/* ---- Calls ------------------------------------------------------------ */

typedef struct _QuinceMetaStore QuinceMetaStore;

/* How calls went, for metrics. */
typedef struct
{
  guint64 calls;
  guint64 failures;
  gint64 last_answer_us; /* monotonic; 0: none yet */
  gint64 lost_us;        /* when calls began to fail the last time */
  gint64 regained_us;    /* when they came to succeed again */
} QuinceMetaCounters;

QuinceMetaStore *quince_meta_store_new (const char *address, const QuinceMetaDialect *dialect);
void quince_meta_store_free (QuinceMetaStore *store);
const QuinceMetaCounters *quince_meta_store_get_counters (const QuinceMetaStore *store);

/* The last call failed. */
gboolean quince_meta_store_is_failing (const QuinceMetaStore *store);

/* @relaxed: another process tells this one of all news, and so that the store is back: while calls fail this
 * one looks each 4 s, no longer each 0.8 s. */
void quince_meta_store_set_relaxed (QuinceMetaStore *store, gboolean relaxed);

/* Keys under leases may have gone though their owners live: the store is, or was lately, not to be reached.
 */
#define QUINCE_META_LAPSE_US (3 * G_USEC_PER_SEC)
gboolean quince_meta_store_may_have_lapsed (const QuinceMetaStore *store, gint64 now_us);

/**
 * QuinceMetaReply:
 * @page: (nullable): items read
 * @number: revision of a change, or id of a lease
 * @error: (nullable): set when the call failed
 */
typedef void (*QuinceMetaReply) (const QuinceMetaPage *page,
                                 guint64 number,
                                 const GError *error,
                                 gpointer user_data);

/* The machine was suspended: the store may have forgotten the kept connections. */
void quince_meta_store_resumed (QuinceMetaStore *store);
/* One item; GONE where there is none. */
void
quince_meta_store_get (QuinceMetaStore *store, const char *key, QuinceMetaReply reply, gpointer user_data);
void quince_meta_store_change (QuinceMetaStore *store,
                               const QuinceMetaChange *changes,
                               guint n_changes,
                               QuinceMetaReply reply,
                               gpointer user_data);
void quince_meta_store_open_lease (QuinceMetaStore *store,
                                   guint ttl_ms,
                                   QuinceMetaReply reply,
                                   gpointer user_data);
void quince_meta_store_renew_lease (QuinceMetaStore *store,
                                    guint64 lease,
                                    QuinceMetaReply reply,
                                    gpointer user_data);
void quince_meta_store_end_lease (QuinceMetaStore *store,
                                  guint64 lease,
                                  QuinceMetaReply reply,
                                  gpointer user_data);

/* ---- Mirrors ---------------------------------------------------------- */

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
/* The store answers again since @regained_us: a watch that began before may have been swallowed, begin it
 * anew; so does a mirror that waits for the store. */
void quince_meta_mirror_mark_stale (QuinceMetaMirror *mirror, gint64 regained_us);

/* ---- A key under a lease ---------------------------------------------- */

typedef struct _QuinceMetaPresence QuinceMetaPresence;

/**
 * quince_meta_presence_new:
 * @ttl_ms: the key goes that long after this process was last heard
 *
 * Writes @key with @value under a lease, renews the lease, and writes the key anew when it was lost.
 */
QuinceMetaPresence *
quince_meta_presence_new (QuinceMetaStore *store, const char *key, GBytes *value, guint ttl_ms);
/* Writes a new value under the same lease. */
/* The machine was suspended: the lease may be over, and is renewed or opened anew at once. */
void quince_meta_presence_resumed (QuinceMetaPresence *presence);
void quince_meta_presence_update (QuinceMetaPresence *presence, GBytes *value);
/* Ends the lease and with it the key; call once, before free. */
void quince_meta_presence_withdraw (QuinceMetaPresence *presence);
void quince_meta_presence_free (QuinceMetaPresence *presence);

G_END_DECLS
