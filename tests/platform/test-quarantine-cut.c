/*
 * test-quarantine-cut.c: zones that are cut from each other, each of which reaches the metadata store and the
 * workers, while a request that ends its workers comes to fronts of all of them.
 */
/* So many that their service bears four ends at once. */
#define PATH_PLAIN 8
/* One that stays with the ledger's leader, and a zone of others. */
#define PATH_FRONTS 6
#define STAYING 0
#include "forward/suspect-list.h"

#include "relayed-world.h"

#include "crash-world.h"

/* Three may be chance, and three more may be sent later. */
#define SENDS_MAX 6
#define ROUNDS 2
/* A front counts as without a leader once it was not heard for so long, ms: heartbeats of 0.3 s, three of
 * which may be missing, with time to spare on a busy machine. */
#define UNLINKED_MS 2500

typedef struct
{
  RelayedWorld *relayed;
  CrashWorld *ends;
} CutWorld;

static CutWorld
cut_world_start (const char *name, const char *fatal)
{
  CutWorld world = { .relayed = relayed_world_new (name) };
  world.relayed->direct = TRUE;
  relayed_world_start (world.relayed);
  world.ends = crash_world_watch (world.relayed->path, fatal);
  return world;
}

static void
cut_world_free (CutWorld *world)
{
  g_source_remove (world->ends->timer);
  g_free (world->ends);
  relayed_world_free (world->relayed);
}

/* The network between all fronts but the staying one and all replicas. */
static void
cut_fronts (CutWorld *world, gboolean cut)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    for (guint j = 0; i != STAYING && j < PATH_REPLICAS; j++)
      relayed_set_paused (world->relayed, i, RELAYED_REPLICA (j), cut);
}

static gboolean
all_serve (CutWorld *world)
{
  if (!crash_world_all_running (world->ends))
    return FALSE;
  for (guint i = 0; i < PATH_FRONTS; i++)
    if (!crash_world_serves (world->ends, i))
      return FALSE;
  return TRUE;
}

/* One after the other, as clients repeat it. */
static void
send_to_all (CutWorld *world, const char *body)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (all_serve (world));
      crash_world_call (world->ends, (i + 1) % PATH_FRONTS, "/l/1", body);
      run_for (CRASH_POLL_INTERVAL_MS);
    }
}

/* Failed first: each front that had no leader sent it twice, whatever the others had met. */
static void
test_cut_zones_share_ends (void **state)
{
  CutWorld world = cut_world_start ("cut-zones", "poison");
  cut_fronts (&world, TRUE);
  run_for (UNLINKED_MS);
  for (guint i = 0; i < ROUNDS; i++)
    send_to_all (&world, "poison");
  guint runs = crash_world_count_runs (world.ends, "poison");
  print_message ("  %u sends in all\n", runs);
  assert_in_range (runs, 1, SENDS_MAX);
  cut_world_free (&world);
}

/* What the cut zone met counts for the others once they are joined, and nothing is left in the store. */
static void
test_joined_again (void **state)
{
  CutWorld world = cut_world_start ("cut-joined", "poison");
  cut_fronts (&world, TRUE);
  run_for (UNLINKED_MS);
  send_to_all (&world, "poison");
  cut_fronts (&world, FALSE);
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (world.relayed->path, i), "GET", "/quinceroute/lots/none", "q", NULL)
           == 404);
  for (guint i = 0; i < ROUNDS; i++)
    send_to_all (&world, "poison");
  guint runs = crash_world_count_runs (world.ends, "poison");
  print_message ("  %u sends in all\n", runs);
  assert_in_range (runs, 1, SENDS_MAX);
  g_autofree char *all = NULL;
  AWAIT ((g_free (all), all = standin_store_dump_except (world.relayed->path->store, "none"),
          strstr (all, "quinceroute/suspects/") == NULL));
  cut_world_free (&world);
}

/* Requests that only were near when workers ended are served in the cut zone, too. */
static void
test_innocent_in_cut_zone (void **state)
{
  CutWorld world = cut_world_start ("cut-innocent", "poison");
  cut_fronts (&world, TRUE);
  run_for (UNLINKED_MS);
  send_to_all (&world, "poison");
  AWAIT (all_serve (&world));
  for (guint i = 0; i < PATH_FRONTS; i++)
    assert_int_equal (crash_world_call (world.ends, i, "/l/1", "sound"), 200);
  cut_world_free (&world);
}

/* ---- The list ----------------------------------------------------------------- */

#define NOW_US (100 * G_USEC_PER_SEC)
#define WALL_MS 5000000

static const QuinceQuarantineLimits limits = { .suspects_max = 64,
                                               .suspect_bytes_max = 64 * 1024,
                                               .suspect_ttl_us = 10 * G_TIME_SPAN_MINUTE,
                                               .held_ttl_us = G_TIME_SPAN_DAY };

/* What was met by two fronts adds up, and the same end counts once. */
static void
test_list (void **state)
{
  QuinceRequestDigest digest;
  quince_request_digest_make (&digest, NULL, "h", "POST", "/x", "body", 4);
  QuinceSuspect seen = { .digest = digest, .workers = { 7 }, .n_workers = 1, .service = "svc" };
  g_autoptr (QuinceQuarantine) first = quince_quarantine_new (&limits);
  g_autoptr (QuinceQuarantine) second = quince_quarantine_new (&limits);
  quince_quarantine_record_end (first, NOW_US, &seen);
  quince_quarantine_record_end (second, NOW_US, &seen);
  seen.workers[0] = G_MAXUINT64;
  quince_quarantine_record_end (first, NOW_US, &seen);
  g_autoptr (GPtrArray) all = quince_quarantine_list (first);
  g_autoptr (GBytes) value = quince_suspect_list_format (all, NOW_US, WALL_MS);
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  for (guint i = 0; i < 2; i++)
    quince_suspect_list_merge (second, NOW_US, WALL_MS, "front-1", value, changed);
  assert_int_equal (changed->len, 1);
  const QuinceSuspect *known = quince_quarantine_find (second, &digest);
  assert_int_equal (known->n_workers, 2);
  assert_string_equal (known->reported_by, "front-1");
  assert_int_equal (quince_quarantine_get_rule (second, &digest), QUINCE_SEND_ALONE);
}

static void
test_list_that_cannot_be_read (void **state)
{
  static const char *const texts[]
      = { "", "x", "[none]\nworkers=1\n", "[00112233445566778899aabbccddeeff]\nworkers=zz;;\nended_ms=x\n" };
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GBytes) value = g_bytes_new_static (texts[i], strlen (texts[i]));
      quince_suspect_list_merge (quarantine, NOW_US, WALL_MS, "front-1", value, changed);
    }
  assert_int_equal (changed->len, 0);
  assert_int_equal (quince_quarantine_get_size (quarantine), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_list),
    cmocka_unit_test (test_list_that_cannot_be_read),
    cmocka_unit_test (test_cut_zones_share_ends),
    cmocka_unit_test (test_joined_again),
    cmocka_unit_test (test_innocent_in_cut_zone),
  };
  return cmocka_run_group_tests_name ("quarantine-cut", tests, NULL, NULL);
}
