/*
 * feed-wait.h: how long a front that starts waits for the ledger's leader to feed it, before it lists the
 * metadata store itself.
 *
 * Hundreds of fronts that start while a leader lives read one key, which names the leader, and get all the
 * rest from it.  A new system has no leader yet, and waits for its first one.  Where there was a leader and
 * it does not feed the front at once, as after all processes were killed, callers come before the saving of
 * calls: the front lists at once.  The wait ends when the front has the own keys.
 *
 * Owns a mirror of that key and a timer.  Belongs to the main context.
 */
#pragma once

#include "observer/observer.h"

G_BEGIN_DECLS

typedef struct _QuinceFeedWait QuinceFeedWait;

/* @value: the ledger's view as it is stored; not NULL.  Called for each view written from now on. */
typedef void (*QuinceLedgerViewRead) (GBytes *value, guint64 revision, gpointer user_data);

/* @store, @observer: must outlive the wait; the observer has not begun to list */
QuinceFeedWait *quince_feed_wait_new (QuinceMetaStore *store,
                                      QuinceObserver *observer,
                                      QuinceLedgerViewRead view_read,
                                      gpointer user_data);
/* The link to the leader could not be made, or broke. */
void quince_feed_wait_unlinked (QuinceFeedWait *wait);
void quince_feed_wait_free (QuinceFeedWait *wait);

G_END_DECLS
