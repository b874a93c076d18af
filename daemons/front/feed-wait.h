/*
 * feed-wait.h: waits for another process to feed a front that starts; on failure the front lists the
 * metadata store itself.
 *
 * To limit the calls to the store, a front that starts reads only the ledger's view, which names the leader,
 * and gets all other keys from the store feed of the leader or of a relay.  In a new system it waits until
 * the replica that the first view names may lead, which needs other members.  If none feeds it in time, the
 * front lists the operator's keys and the product's own keys, which are few, and the first page of the
 * workers, with which it can serve.  It lists the other workers when it is its turn among all fronts
 * (core/decisions/list-turn.h).
 *
 * The wait owns a mirror of the view's key and a timer.  It belongs to the main context.  The owner frees it
 * once the front has read or been fed all workers.
 */
#pragma once

#include "observer/observer.h"

G_BEGIN_DECLS

typedef struct _QuinceFeedWait QuinceFeedWait;

/* Called for the current view and for each later one, until the front lists the store.  @value: the encoded
 * view; not NULL.  @revision: revision of the key in the store
 * Returns: whether the leader that the view names may feed this front already */
typedef gboolean (*QuinceLedgerViewRead) (GBytes *value, guint64 revision, gpointer user_data);

/* Returns: (transfer full): the wait.  @store and @observer are not owned and must outlive it; the observer
 * waits to be fed.
 * @node: name of this front */
QuinceFeedWait *quince_feed_wait_new (QuinceMetaStore *store,
                                      QuinceObserver *observer,
                                      const char *node,
                                      QuinceLedgerViewRead view_read,
                                      gpointer user_data);
/* The product's own keys, which list @n_fronts fronts, have been read or fed. */
void quince_feed_wait_own_keys_synced (QuinceFeedWait *wait, guint n_fronts);
void quince_feed_wait_free (QuinceFeedWait *wait); /* (nullable) */

G_END_DECLS
