/*
 * feed-wait.h: waits for the ledger's leader to feed a front that starts; on failure the front lists the
 * metadata store itself.
 *
 * To limit the calls to the store, a front that starts reads only the ledger's view, which names the leader,
 * and gets all other keys from the leader's store feed.  If the leader does not feed it in time, for example
 * after a restart of all processes, the front lists the store in order to serve callers soon.  While the
 * store holds no view, the front waits for the first leader.  The owner frees the wait once the front has its
 * own keys.
 *
 * The wait owns a mirror of the view's key and a timer.  It belongs to the main context.
 */
#pragma once

#include "observer/observer.h"

G_BEGIN_DECLS

typedef struct _QuinceFeedWait QuinceFeedWait;

/* Called for the current view and for each later one, until the front lists the store.  @value: the encoded
 * view; not NULL.  @revision: revision of the key in the store */
typedef void (*QuinceLedgerViewRead) (GBytes *value, guint64 revision, gpointer user_data);

/* Returns: (transfer full): the wait.  @store and @observer are not owned and must outlive it; the observer
 * has not started to list. */
QuinceFeedWait *quince_feed_wait_new (QuinceMetaStore *store,
                                      QuinceObserver *observer,
                                      QuinceLedgerViewRead view_read,
                                      gpointer user_data);
/* The link to the leader could not be opened, or was closed: the front lists the store now. */
void quince_feed_wait_unlinked (QuinceFeedWait *wait);
void quince_feed_wait_free (QuinceFeedWait *wait); /* (nullable) */

G_END_DECLS
