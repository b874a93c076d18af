/*
 * feed-wait.c: a front that starts waits to be fed.
 */
#include "feed-wait.h"

#include "meta/meta-mirror.h"
#include "runtime/timer.h"

/* Least time between two reads of the view, ms: a new ledger takes its members in one after the other, each a
 * new view. */
#define VIEW_READ_INTERVAL_MIN_MS 300
/* Longest time for which the store holds a watch, ms. */
#define VIEW_READ_INTERVAL_MAX_MS 1000
/* A leader that lives feeds a new front within this time, ms: a connection, a subscription and its answer,
 * each in a turn of a busy leader's main loop. */
#define FEED_TIMEOUT_MS 300

struct _QuinceFeedWait
{
  /* All fields belong to the main context. */
  QuinceObserver *observer; /* borrowed */
  QuinceMetaMirror *mirror; /* owned; NULL: the observer lists */
  QuinceTimer *timer;       /* NULL: no leader is known */
  QuinceLedgerViewRead view_read;
  gpointer user_data;
};

/* The lists bring the view too. */
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
  const QuinceMetaMirrorTimes times = { .pace_ms = VIEW_READ_INTERVAL_MIN_MS,
                                        .read_every_ms = VIEW_READ_INTERVAL_MAX_MS,
                                        .spread_ms = VIEW_READ_INTERVAL_MIN_MS };
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
