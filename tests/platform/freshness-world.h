/*
 * freshness-world.h: a leader, a replica and a follower that mirror the store in one test program.  Each has
 * its own stand-in of the store, so that the store can fail for one of them alone.
 */
#pragma once

#include "observer/store-feed.h"

#include <string.h>

#include "runtime/link.h"
#include "runtime/timer.h"

#include "await.h"
#include "platform.h"
#include "standin-store.h"

#define MODEL "model-a"
#define ZONE "z1"
#define EVACUATE_KEY "op/evacuate/" ZONE
#define VERSION_KEY "op/version/" MODEL
/* An operator's change must be in force within 2 s; the rest allows for a busy machine. */
#define CHANGE_MAX_DELAY_MS 3000
/* An accepted policy must be in force everywhere within 3 s; 0.5 s of them is left for a slow response. */
#define POLICY_MAX_DELAY_MS 2500
/* Between the 0.9 s after which a follower abandons a silent leader and the 2 s for which it trusts own keys
 * that were fed. */
#define SILENT_LEADER_MAX_MS 1800
#define WORKER_ENTRY                                                                                         \
  "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\",\"version\":1,\"slots\":4,"                \
  "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1}"

typedef struct
{
  StandinStore *standin;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceStoreFeed *feed;               /* NULL: the process is not the leader */
  gboolean is_reserve_reader;          /* reports what it reads from the store to the leader */
  QuinceLink *link;                    /* to the leader; NULL: none */
  GPtrArray *accepted;                 /* QuinceLink, owned */
  guint n_own_key_changes;             /* observed changes of the product's own keys */
  QuinceTimer *leader_heartbeat_timer; /* NULL: the process is not the leader */
  QuinceLinkServer *server;
} Process;

static inline void
handle_store_read (const char *prefix, const QuinceMetaPage *page, gpointer data)
{
  Process *process = data;
  if (process->feed != NULL)
    quince_store_feed_publish (process->feed, prefix, page);
  else if (process->is_reserve_reader && process->link != NULL)
    quince_store_feed_report (process->observer, process->link, prefix, page);
}

static inline void
count_own_key (const char *key, GBytes *value, guint64 revision, gpointer data)
{
  ((Process *)data)->n_own_key_changes++;
}

static const QuinceObserverCallbacks observer_callbacks
    = { .read = handle_store_read, .own_key = count_own_key };

static inline void
publish_version (Process *process, guint version)
{
  g_autofree char *value = g_strdup_printf ("{\"model\":\"" MODEL "\",\"version\":%u}", version);
  standin_store_put (process->standin, VERSION_KEY, value);
}

static inline guint64
get_known_version (Process *process)
{
  return quince_observer_get_version (process->observer, MODEL);
}

static inline guint
count_known_workers (Process *process)
{
  return quince_worker_table_get_size (quince_backends_get_workers (process->backends));
}

static inline gboolean
knows_zone_evacuated (Process *process)
{
  return quince_zone_table_is_evacuated (quince_backends_get_zones (process->backends), ZONE);
}

/* Returns the revision of the workers' keys that the process has applied. */
static inline guint64
get_workers_revision (Process *process)
{
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_get_revisions (process->observer, revisions);
  return revisions[1];
}

static inline void
process_init (Process *process, gboolean is_reserve_reader)
{
  *process = (Process){ .is_reserve_reader = is_reserve_reader };
  process->accepted = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref);
  process->standin = standin_store_new ();
  publish_version (process, 2);
  process->store
      = quince_meta_store_new (standin_store_get_address (process->standin), &quince_platform_meta_codec);
  process->backends = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  const QuinceObserverOptions options
      = { .workers_read_interval_min_ms = 100, .change_bound_ms = QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS };
  process->observer = quince_observer_new (process->store, process->backends, &quince_platform_observer_codec,
                                           &options, &observer_callbacks, process);
  quince_observer_set_reserve_reader (process->observer, is_reserve_reader);
  AWAIT (quince_observer_is_synced (process->observer));
}

static inline void
process_clear (Process *process)
{
  quince_timer_clear (&process->leader_heartbeat_timer);
  if (process->link != NULL)
    quince_link_close (process->link);
  g_clear_pointer (&process->link, quince_link_unref);
  g_ptr_array_unref (process->accepted);
  g_clear_pointer (&process->server, quince_link_server_free);
  quince_store_feed_free (process->feed);
  quince_observer_free (process->observer);
  quince_meta_store_free (process->store);
  quince_backends_free (process->backends);
  standin_store_free (process->standin);
}

/* ---- The link between leader and follower ----------------------------- */

static inline void
on_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  Process *process = data;
  if (process->feed == NULL)
    quince_observer_record_feeder_contact (process->observer);
  if (message->kind == QUINCE_MESSAGE_FEED_SUBSCRIBE)
    quince_store_feed_add (process->feed, link, &message->QuinceMessage_u.feed_subscribe);
  else if (message->kind == QUINCE_MESSAGE_FEED_UPDATE && process->feed != NULL)
    quince_store_feed_apply_report (process->feed, link, &message->QuinceMessage_u.feed_update);
  else if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    quince_store_feed_apply (process->observer, &message->QuinceMessage_u.feed_update);
  quince_message_free (message);
}

static inline void
on_accepted (QuinceLink *link, gpointer data)
{
  g_ptr_array_add (((Process *)data)->accepted, link);
}

static const QuinceLinkCallbacks link_callbacks = { .message = on_message };

/* Sends heartbeats to all followers, also while the store is unavailable to the leader. */
static inline gboolean
send_heartbeats (gpointer data)
{
  Process *leader = data;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HEARTBEAT };
  for (guint i = 0; i < leader->accepted->len; i++)
    quince_link_send (leader->accepted->pdata[i], &message);
  return G_SOURCE_CONTINUE;
}

static inline void
start_leading (Process *leader)
{
  leader->leader_heartbeat_timer = quince_timer_add (250, send_heartbeats, leader);
  leader->feed = quince_store_feed_new (leader->observer);
  leader->server = quince_link_server_new ("127.0.0.1:0", &link_callbacks, on_accepted, leader, NULL);
  assert_non_null (leader->server);
}

static inline void
connect_to_leader (Process *follower, Process *leader)
{
  guint before = leader->accepted->len;
  follower->link
      = quince_link_connect (quince_link_server_get_address (leader->server), &link_callbacks, follower);
  AWAIT (quince_link_is_connected (follower->link));
  quince_store_feed_subscribe (follower->observer, follower->link, QUINCE_FEED_ROLE_DIRECT);
  AWAIT (leader->accepted->len > before);
}

static inline void
assert_version_in_time (Process *process, guint64 version)
{
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (get_known_version (process) == version);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > CHANGE_MAX_DELAY_MS)
    fail_msg ("version %u was observed after %d ms", (guint)version, (int)took_ms);
}

/* ---- Cases ------------------------------------------------------------ */

/* Static, so that the teardown also clears them after a failed case. */
static Process leader;
static Process replica;
static Process follower;

static inline int
set_up (void **state)
{
  process_init (&leader, TRUE);
  process_init (&replica, TRUE);
  process_init (&follower, FALSE);
  start_leading (&leader);
  return 0;
}

static inline int
tear_down (void **state)
{
  process_clear (&follower);
  process_clear (&replica);
  process_clear (&leader);
  return 0;
}

#define CASE(function) cmocka_unit_test_setup_teardown (function, set_up, tear_down)
