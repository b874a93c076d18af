/*
 * meta-mirror-private.h: state of a mirror, shared by meta-mirror.c (reads of the store) and
 * meta-mirror-feed.c (pages of another process).
 */
#pragma once

#include "meta/meta-mirror.h"
#include "runtime/timer.h"

#include "meta-copy.h"
#include "meta-private.h"

G_BEGIN_DECLS

/* A page with a whole prefix that is being applied in slices; see meta-mirror-feed.c. */
typedef struct _QuinceWholePage QuinceWholePage;

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
  gboolean first_read_pending;   /* waits to be fed: has made no call, or one for the first page */
  gboolean pauses_after_page;    /* the call in progress is for the first page alone */
  gboolean page_may_have_lapsed; /* QuinceMetaPage.may_have_lapsed of the page being applied */
  guint read_interval_ms;        /* current interval from an answer to the next watch */
  gint64 watch_started_us;
  gint64 last_contact_us; /* monotonic time of the last answer or page; 0: none */
  gboolean synced;
  gboolean watching;        /* the call in progress is a watch */
  gboolean waits_for_store; /* calls to the store fail; reads resume when it recovers */
  QuinceTimer *feed_timer;  /* runs while another process feeds the mirror; ends the feed */
  QuinceWholePage *whole;   /* whole prefix that is being applied in slices; NULL: none */
};

/* Applies an item that was read or fed, and reports it to the owner if it changes the copy. */
void quince_meta_mirror_report_item (QuinceMetaMirror *mirror, const QuinceMetaItem *item);
/* Removes the items that are not in @mirror->listed_keys, and reports them as removed at @revision. */
void quince_meta_mirror_report_removed (QuinceMetaMirror *mirror, guint64 revision);
/* Cancels the call in progress and the next one, and drops the list in progress. */
void quince_meta_mirror_stop_reading (QuinceMetaMirror *mirror);
void quince_meta_mirror_drop_list (QuinceMetaMirror *mirror);
/* Starts the next call: a watch that the store may hold for @wait_ms, or a page of a list. */
void quince_meta_mirror_start_read (QuinceMetaMirror *mirror, guint wait_ms);
/* Returns how long the store may hold the next watch, ms. */
guint quince_meta_mirror_get_watch_wait_ms (const QuinceMetaMirror *mirror);
/* Ends the feed, if there is one, and reads the store, which may hold the first watch for @wait_ms.
 * @reason: for the log and the metric; static */
void quince_meta_mirror_resume_reads (QuinceMetaMirror *mirror, const char *reason, guint wait_ms);
/* Restarts the timer of the feed, if there is one, with what is left of the feed timeout. */
void quince_meta_mirror_restart_feed_timer (QuinceMetaMirror *mirror);
/* Drops the rest of a page that is being applied. */
void quince_meta_mirror_drop_whole_page (QuinceMetaMirror *mirror);

G_END_DECLS
