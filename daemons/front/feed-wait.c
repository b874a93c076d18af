/*
 * feed-wait.c: waits for another process to feed a front that starts.
 */
#include "feed-wait.h"

#include "core/decisions/list-turn.h"
#include "core/decisions/store-reads.h"
#include "meta/meta-mirror.h"
#include "runtime/timer.h"

/* Minimum time between two reads of the view, ms.  A new ledger adds its members one after another and writes
 * a new view for each. */
#define VIEW_READ_INTERVAL_MIN_MS 300
/* Maximum time between two reads of the view if the store answers immediately, ms. */
#define VIEW_READ_INTERVAL_MAX_MS 1000
/* Maximum time from the first view with a leader that may feed until the front is fed, ms.  It allows a
 * leader that starts at the same time to listen, and a busy leader to accept the connection and to handle the
 * subscription. */
#define FEED_TIMEOUT_MS 300
typedef enum
{
  WAITS_FOR_FEED,
  LISTS_SMALL_PREFIXES,
  WAITS_FOR_TURN,
  LISTS_WORKERS,
} Stage;

struct _QuinceFeedWait
{
  /* All fields belong to the main context. */
  QuinceObserver *observer; /* not owned */
  QuinceMetaMirror *mirror; /* owned, of the view; NULL: the observer lists it */
  QuinceTimer *timer;       /* ends the wait of the stage */
  Stage stage;
  char *node;            /* name of this front */
  gboolean leader_known; /* a view named a leader that may feed */
  QuinceLedgerViewRead view_read;
  gpointer user_data;
};

static void
set_timer (QuinceFeedWait *wait, guint wait_ms, gboolean (*timed_out) (gpointer))
{
  quince_timer_clear (&wait->timer);
  wait->timer = quince_timer_add (wait_ms, timed_out, wait);
}

static gboolean
list_workers (gpointer data)
{
  QuinceFeedWait *wait = data;
  quince_timer_clear (&wait->timer);
  wait->stage = LISTS_WORKERS;
  quince_observer_list_workers (wait->observer);
  return G_SOURCE_REMOVE;
}

/* Stops reading the view separately, since the lists contain it. */
static gboolean
feed_timed_out (gpointer data)
{
  QuinceFeedWait *wait = data;
  quince_timer_clear (&wait->timer);
  g_clear_pointer (&wait->mirror, quince_meta_mirror_free);
  wait->stage = LISTS_SMALL_PREFIXES;
  quince_observer_list_small_prefixes (wait->observer);
  return G_SOURCE_REMOVE;
}

static void
handle_item (const QuinceMetaItem *item, gpointer data)
{
  QuinceFeedWait *wait = data;
  if (item->value == NULL || !g_str_equal (item->key, QUINCE_LEDGER_KEY))
    return;
  gboolean may_feed = wait->view_read (item->value, item->revision, wait->user_data);
  if (may_feed && !wait->leader_known)
    set_timer (wait, FEED_TIMEOUT_MS, feed_timed_out);
  wait->leader_known = wait->leader_known || may_feed;
}

static const QuinceMetaMirrorCallbacks mirror_callbacks = { .item = handle_item };

QuinceFeedWait *
quince_feed_wait_new (QuinceMetaStore *store,
                      QuinceObserver *observer,
                      const char *node,
                      QuinceLedgerViewRead view_read,
                      gpointer user_data)
{
  QuinceFeedWait *wait = g_new0 (QuinceFeedWait, 1);
  wait->observer = observer;
  wait->node = g_strdup (node);
  wait->view_read = view_read;
  wait->user_data = user_data;
  wait->timer = quince_timer_add (QUINCE_STORE_FIRST_READ_WAIT_MS, feed_timed_out, wait);
  wait->mirror = quince_meta_mirror_new (store, QUINCE_LEDGER_KEY, FALSE, &mirror_callbacks, wait);
  const QuinceMetaMirrorTimes times = { .read_interval_min_ms = VIEW_READ_INTERVAL_MIN_MS,
                                        .read_interval_max_ms = VIEW_READ_INTERVAL_MAX_MS,
                                        .outage_read_jitter_max_ms = VIEW_READ_INTERVAL_MIN_MS };
  quince_meta_mirror_set_times (wait->mirror, &times);
  return wait;
}

/* Also called if these keys were fed: the process that feeds them may not know the workers yet. */
void
quince_feed_wait_own_keys_synced (QuinceFeedWait *wait, guint n_fronts)
{
  if (wait->stage >= WAITS_FOR_TURN)
    return;
  guint turn_ms = quince_list_turn_wait_ms (wait->node, n_fronts);
  if (wait->stage == WAITS_FOR_FEED)
    turn_ms += FEED_TIMEOUT_MS;
  g_clear_pointer (&wait->mirror, quince_meta_mirror_free);
  wait->stage = WAITS_FOR_TURN;
  set_timer (wait, turn_ms, list_workers);
}

void
quince_feed_wait_free (QuinceFeedWait *wait)
{
  if (wait == NULL)
    return;
  quince_timer_clear (&wait->timer);
  quince_meta_mirror_free (wait->mirror);
  g_free (wait->node);
  g_free (wait);
}
