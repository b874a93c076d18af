/*
 * feed-wait.c: waits for the ledger's leader to feed a front that starts.
 */
#include "feed-wait.h"

#include "meta/meta-mirror.h"
#include "runtime/timer.h"

/* Minimum time between two reads of the view, ms.  A new ledger adds its members one after another and writes
 * a new view for each. */
#define VIEW_READ_INTERVAL_MIN_MS 300
/* Maximum time between two reads of the view if the store answers immediately, ms. */
#define VIEW_READ_INTERVAL_MAX_MS 1000
/* Maximum time from the first view until the leader feeds the front, ms.  It allows a busy leader to accept
 * the connection, handle the subscription and answer it. */
#define FEED_TIMEOUT_MS 300

struct _QuinceFeedWait
{
  /* All fields belong to the main context. */
  QuinceObserver *observer; /* not owned */
  QuinceMetaMirror *mirror; /* owned; NULL: the observer lists the store */
  QuinceTimer *timer;       /* limits the wait to FEED_TIMEOUT_MS; NULL: no view was read */
  QuinceLedgerViewRead view_read;
  gpointer user_data;
};

/* Stops reading the view separately, since the observer's lists contain it. */
static void
list_store (QuinceFeedWait *wait)
{
  g_clear_pointer (&wait->mirror, quince_meta_mirror_free);
  quince_observer_list_now (wait->observer);
}

static gboolean
feed_timed_out (gpointer data)
{
  list_store (data);
  return G_SOURCE_REMOVE;
}

static void
handle_item (const QuinceMetaItem *item, gpointer data)
{
  QuinceFeedWait *wait = data;
  if (item->value == NULL || !g_str_equal (item->key, QUINCE_LEDGER_KEY))
    return;
  if (wait->timer == NULL)
    wait->timer = quince_timer_add (FEED_TIMEOUT_MS, feed_timed_out, wait);
  wait->view_read (item->value, item->revision, wait->user_data);
}

static const QuinceMetaMirrorCallbacks mirror_callbacks = { .item = handle_item };

QuinceFeedWait *
quince_feed_wait_new (QuinceMetaStore *store,
                      QuinceObserver *observer,
                      QuinceLedgerViewRead view_read,
                      gpointer user_data)
{
  QuinceFeedWait *wait = g_new0 (QuinceFeedWait, 1);
  wait->observer = observer;
  wait->view_read = view_read;
  wait->user_data = user_data;
  wait->mirror = quince_meta_mirror_new (store, QUINCE_LEDGER_KEY, 0, &mirror_callbacks, wait);
  const QuinceMetaMirrorTimes times = { .read_interval_min_ms = VIEW_READ_INTERVAL_MIN_MS,
                                        .read_interval_max_ms = VIEW_READ_INTERVAL_MAX_MS,
                                        .outage_read_jitter_max_ms = VIEW_READ_INTERVAL_MIN_MS };
  quince_meta_mirror_set_times (wait->mirror, &times);
  return wait;
}

void
quince_feed_wait_unlinked (QuinceFeedWait *wait)
{
  list_store (wait);
}

void
quince_feed_wait_free (QuinceFeedWait *wait)
{
  if (wait == NULL)
    return;
  quince_timer_clear (&wait->timer);
  quince_meta_mirror_free (wait->mirror);
  g_free (wait);
}
