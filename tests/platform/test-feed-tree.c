/*
 * test-feed-tree.c: guards against fronts that a relay feeds and that learn of changes late or not at all
 * when the relay or the leader fails.
 */
#define PATH_FRONTS 1

#include "path-world.h"

#include "core/routing/feed-tree.h"
#include "runtime/link.h"

/* A configuration must be in force within 5 s; the front may try two relays, and the machine may be busy. */
#define CHANGE_MAX_MS 5000

/* ---- Subscribers that the test plays -------------------------------------- */

typedef struct
{
  QuinceLink *link;
  guint updates; /* with keys */
  guint n_relays;
  gint64 last_message_us; /* monotonic; 0: none */
  gint64 longest_gap_us;  /* between two messages */
} Subscriber;

static void
subscriber_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  Subscriber *subscriber = data;
  gint64 now_us = g_get_monotonic_time ();
  if (subscriber->last_message_us != 0)
    subscriber->longest_gap_us = MAX (subscriber->longest_gap_us, now_us - subscriber->last_message_us);
  subscriber->last_message_us = now_us;
  if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    subscriber->updates += message->QuinceMessage_u.feed_update.items.items_len > 0;
  else if (message->kind == QUINCE_MESSAGE_FEED_RELAYS)
    subscriber->n_relays = message->QuinceMessage_u.feed_relays.relays.relays_len;
  quince_message_free (message);
}

static const QuinceLinkCallbacks subscriber_callbacks = { .message = subscriber_message };

/* @n_values: 4 for a front of an earlier version, which names no role */
static void
subscribe (Subscriber *subscriber, const char *address, QuinceFeedRole role, guint n_values)
{
  u_quad_t values[] = { 0, 0, 0, 0, role };
  QuinceMessage message = { .kind = QUINCE_MESSAGE_FEED_SUBSCRIBE };
  message.QuinceMessage_u.feed_subscribe.revisions.revisions_val = values;
  message.QuinceMessage_u.feed_subscribe.revisions.revisions_len = n_values;
  *subscriber = (Subscriber){ .link = quince_link_connect (address, &subscriber_callbacks, subscriber) };
  quince_link_send (subscriber->link, &message);
}

static void
subscriber_clear (Subscriber *subscriber)
{
  quince_link_close (subscriber->link);
  quince_link_unref (subscriber->link);
}

/* ---- A deployment whose leader feeds as many fronts as it may ------------- */

typedef struct
{
  PathWorld *path;
  Subscriber direct[QUINCE_FEED_TREE_DIRECT_FRONTS_MAX];
} World;

static const char *
get_leader_address (World *world)
{
  return world->path->links[path_find_leader (world->path)];
}

/* Waits until the replicas list the store no more. */
static void
await_replicas_are_fed (World *world)
{
  guint before;
  do
    {
      before = standin_store_get_n_list_calls (world->path->store);
      run_for (500);
    }
  while (standin_store_get_n_list_calls (world->path->store) != before);
}

/* Bounds of a large deployment: processes read the store, and so relays send pages, less often. */
#define LONG_BOUNDS "change_bound=5s\ndrain_bound=5s\nevacuation_bound=5s\n"

static void
world_start (World *world, const char *name)
{
  world->path = path_world_new (name);
  world->path->store_settings = LONG_BOUNDS;
  path_reserve_links (world->path);
  path_configure (world->path, 7);
  path_register_workers (world->path);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world->path, i);
  world->path->bootstrapped = TRUE;
  AWAIT (path_find_leader (world->path) >= 0);
  for (guint i = 0; i < G_N_ELEMENTS (world->direct); i++)
    subscribe (&world->direct[i], get_leader_address (world), QUINCE_FEED_ROLE_FRONT, 5);
  for (guint i = 0; i < G_N_ELEMENTS (world->direct); i++)
    AWAIT (world->direct[i].updates > 0);
  await_replicas_are_fed (world);
}

static void
world_stop (World *world)
{
  for (guint i = 0; i < G_N_ELEMENTS (world->direct); i++)
    subscriber_clear (&world->direct[i]);
  path_world_free (world->path);
}

/* Returns the replica that feeds the front, or -1 if none does. */
static gint
find_relay (World *world)
{
  g_autofree char *output = quince_process_read_output (world->path->fronts[0]);
  const char *last = output != NULL ? g_strrstr (output, "event=feed_relay relay=replica-") : NULL;
  return last != NULL ? atoi (last + strlen ("event=feed_relay relay=replica-")) : -1;
}

static gboolean
front_has_configuration (World *world, guint version)
{
  g_autofree char *output = quince_process_read_output (world->path->fronts[0]);
  g_autofree char *text = g_strdup_printf ("event=configuration version=%u ", version);
  return output != NULL && strstr (output, text) != NULL;
}

static void
start_front_with_relay (World *world)
{
  path_start_front (world->path, 0);
  AWAIT (path_status (path_front (world->path, 0), "POST", "/l/1", "q", "x") == 200);
  AWAIT (find_relay (world) >= 0);
  assert_int_not_equal (find_relay (world), path_find_leader (world->path));
}

static void
assert_change_arrives (World *world, guint version)
{
  path_configure (world->path, version);
  gint64 start_us = g_get_monotonic_time ();
  AWAIT (front_has_configuration (world, version));
  assert_true (g_get_monotonic_time () - start_us < CHANGE_MAX_MS * 1000);
}

/* ---- Tests --------------------------------------------------------------- */

/* The front makes one call for the key that names the leader; a relay feeds it the rest, and changes. */
static void
test_front_is_fed_by_a_relay (void **state)
{
  World world;
  world_start (&world, "feed-tree");
  guint before = standin_store_get_n_list_calls (world.path->store);
  start_front_with_relay (&world);
  assert_int_equal (standin_store_get_n_list_calls (world.path->store) - before, 1);
  assert_change_arrives (&world, 8);
  world_stop (&world);
}

static void
test_relay_is_killed (void **state)
{
  World world;
  world_start (&world, "feed-tree-killed");
  start_front_with_relay (&world);
  quince_process_kill (world.path->replicas[find_relay (&world)]);
  assert_change_arrives (&world, 8);
  world_stop (&world);
}

static void
test_relay_is_suspended (void **state)
{
  World world;
  world_start (&world, "feed-tree-suspended");
  start_front_with_relay (&world);
  gint relay = find_relay (&world);
  quince_process_suspend (world.path->replicas[relay]);
  assert_change_arrives (&world, 8);
  quince_process_resume (world.path->replicas[relay]);
  assert_change_arrives (&world, 9);
  world_stop (&world);
}

static gboolean
front_has_logged (World *world, const char *text)
{
  g_autofree char *output = quince_process_read_output (world->path->fronts[0]);
  return strstr (output, text) != NULL;
}

/* The relay is elected or follows the new leader. */
static void
test_leader_is_killed (void **state)
{
  World world;
  world_start (&world, "feed-tree-leader");
  start_front_with_relay (&world);
  quince_process_kill (world.path->replicas[path_find_leader (world.path)]);
  assert_change_arrives (&world, 8);
  world_stop (&world);
}

/* Only the relay is left, so that nobody can be elected.  It reads the store itself, and the front stays with
 * it and makes no call: otherwise all fronts would read the store whenever a leader is lost. */
static void
test_relay_without_a_leader (void **state)
{
  World world;
  world_start (&world, "feed-tree-alone");
  start_front_with_relay (&world);
  gint relay = find_relay (&world);
  for (gint i = 0; i < PATH_REPLICAS; i++)
    if (i != relay)
      quince_process_kill (world.path->replicas[i]);
  run_for (4000);
  assert_change_arrives (&world, 8);
  assert_false (front_has_logged (&world, "event=feed_relay_lost"));
  assert_false (front_has_logged (&world, "event=feed_ended"));
  world_stop (&world);
}

static gboolean
is_replica_fed (World *world, guint index)
{
  g_autofree char *output = quince_process_read_output (world->path->replicas[index]);
  return strstr (output, "event=feed_begun prefix=servers/") != NULL;
}

/* All replicas but one end when that one has just been fed for the first time.  It may become a member of the
 * ledger, and so a reserve reader, only then; a child must hear it without a gap all the same. */
static void
test_leader_ends_at_the_first_feed (void **state)
{
  World world;
  world.path = path_world_new ("feed-tree-first");
  world.path->store_settings = LONG_BOUNDS;
  path_reserve_links (world.path);
  path_configure (world.path, 7);
  path_register_workers (world.path);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world.path, i);
  gint relay = PATH_REPLICAS - 1;
  Subscriber child;
  subscribe (&child, world.path->links[relay], QUINCE_FEED_ROLE_CHILD, 5);
  AWAIT (is_replica_fed (&world, relay));
  for (gint i = 0; i < PATH_REPLICAS; i++)
    if (i != relay)
      quince_process_kill (world.path->replicas[i]);
  AWAIT (child.updates > 0);
  run_for (4000);
  child.longest_gap_us = MAX (child.longest_gap_us, g_get_monotonic_time () - child.last_message_us);
  if (child.longest_gap_us >= QUINCE_FEED_TREE_FEEDER_TIMEOUT_MS * 1000)
    fail_msg ("the child heard nothing for %d ms", (gint)(child.longest_gap_us / 1000));
  subscriber_clear (&child);
  path_world_free (world.path);
}

/* The leader feeds a front that cannot be fed by a relay, whatever the number of fronts: one of an earlier
 * version, and one whose relays failed.  To the others it names the relays. */
static void
test_roles_of_subscribers (void **state)
{
  World world;
  world_start (&world, "feed-tree-roles");
  Subscriber earlier, failed, other;
  subscribe (&earlier, get_leader_address (&world), QUINCE_FEED_ROLE_DIRECT, 4);
  subscribe (&failed, get_leader_address (&world), QUINCE_FEED_ROLE_DIRECT, 5);
  subscribe (&other, get_leader_address (&world), QUINCE_FEED_ROLE_FRONT, 5);
  AWAIT (earlier.updates > 0 && failed.updates > 0);
  AWAIT (other.n_relays == PATH_REPLICAS - 1);
  assert_int_equal (other.updates, 0);
  subscriber_clear (&earlier);
  subscriber_clear (&failed);
  subscriber_clear (&other);
  world_stop (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_front_is_fed_by_a_relay),
    cmocka_unit_test (test_relay_is_killed),
    cmocka_unit_test (test_relay_is_suspended),
    cmocka_unit_test (test_leader_is_killed),
    cmocka_unit_test (test_relay_without_a_leader),
    cmocka_unit_test (test_roles_of_subscribers),
    cmocka_unit_test (test_leader_ends_at_the_first_feed),
  };
  return cmocka_run_group_tests_name ("feed-tree", tests, NULL, NULL);
}
