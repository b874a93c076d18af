/*
 * test-residency.c: routes and tenants that may be served in some regions only: workers, machines, disks.
 */
#include "protocol/codec.h"

#include "residency-world.h"

#include "batchlog/batch-log.h"

/* Above the second after which the leader takes a silent member out. */
#define SILENT_MS 2500
#define ITEMS 6
#define MANY 20

static PathWorld *
start_world (const char *name, const char *routes, const char *regions, const char *tenant_regions)
{
  PathWorld *world = residency_world_new (name);
  residency_configure (world, 7, routes, regions, tenant_regions);
  residency_world_start (world);
  return world;
}

/* ---- Requests -------------------------------------------------------------- */

/* Failed first: half of the lookups of a route of the east ran in the west. */
static void
test_lookups_stay (void **state)
{
  PathWorld *world = start_world ("lookups-stay", "l", "\"east\"", NULL);
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (residency_lookup (world, i, NULL) == 200);
  for (guint i = 0; i < MANY; i++)
    assert_int_equal (residency_lookup (world, i % PATH_FRONTS, NULL), 200);
  /* Neither a second run beside a slow one nor a retry goes elsewhere. */
  standin_worker_set_answer_delay (world->plain[0], 400);
  assert_int_equal (residency_lookup (world, 0, NULL), 200);
  standin_worker_set_answer_delay (world->plain[0], 0);
  standin_worker_set_fault (world->plain[0], STANDIN_WORKER_RESETS, 1);
  residency_lookup (world, 2, NULL);
  standin_worker_set_fault (world->plain[0], STANDIN_WORKER_REFUSES, G_MAXUINT);
  assert_int_equal (residency_lookup (world, 2, NULL), 503);
  assert_int_equal (residency_count_runs (world->plain[1]), 0);
  path_world_free (world);
}

/* Both sets bind: a tenant of the west on a route of both, then on one of the east. */
static void
test_tenant_and_route (void **state)
{
  PathWorld *world = start_world ("both", "l", ALL_REGIONS, "\"west\"");
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (residency_lookup (world, i, "key-t") == 200);
  for (guint i = 0; i < MANY; i++)
    assert_int_equal (residency_lookup (world, i % PATH_FRONTS, "key-t"), 200);
  assert_int_equal (residency_count_runs (world->plain[0]), 0);
  guint before = residency_count_runs (world->plain[1]);
  residency_configure (world, 8, "l", "\"east\"", "\"west\"");
  AWAIT (residency_lookup (world, 0, "key-t") == 503);
  AWAIT (residency_lookup (world, 2, "key-t") == 503);
  assert_int_equal (residency_count_runs (world->plain[0]), 0);
  assert_true (residency_count_runs (world->plain[1]) >= before);
  path_world_free (world);
}

/* A set with no worker: refused at once, with a time to come back, and no worker sees it. */
static void
test_nowhere (void **state)
{
  PathWorld *world = start_world ("nowhere", "", "", NULL);
  AWAIT (residency_lookup (world, 0, NULL) == 200);
  residency_configure (world, 8, "ls", "\"north\"", NULL);
  AWAIT (residency_lookup (world, 0, NULL) == 503);
  guint before = residency_count_runs (world->plain[0]) + residency_count_runs (world->plain[1]);
  PathAnswer answer;
  gint64 begun = g_get_monotonic_time ();
  assert_int_equal (residency_status (world, 0, "/l/1", NULL, &answer), 503);
  assert_true (g_get_monotonic_time () - begun < G_USEC_PER_SEC);
  assert_non_null (strstr (answer.body, "residency"));
  assert_non_null (answer.retry_after);
  path_answer_clear (&answer);
  assert_int_equal (residency_status (world, 0, "/s/1", NULL, &answer), 503);
  path_answer_clear (&answer);
  assert_int_equal (residency_count_runs (world->plain[0]) + residency_count_runs (world->plain[1]), before);
  for (guint i = 0; i < PATH_MODEL; i++)
    assert_int_equal (residency_count_runs (world->model[i]), 0);
  assert_true (residency_count_log_lines (world, "front-0", "cause=residency") >= 2);
  /* A set that comes back is served. */
  residency_configure (world, 9, "ls", "\"west\"", NULL);
  AWAIT (residency_lookup (world, 0, NULL) == 200);
  path_world_free (world);
}

/* A worker in a zone that the settings do not name stands nowhere. */
static void
test_unknown_zone (void **state)
{
  PathWorld *world = residency_world_new ("unknown-zone");
  standin_worker_set_zone (world->plain[0], "z9");
  residency_configure (world, 7, "l", ALL_REGIONS, NULL);
  residency_world_start (world);
  AWAIT (residency_lookup (world, 0, NULL) == 200);
  for (guint i = 0; i < MANY; i++)
    assert_int_equal (residency_lookup (world, 0, NULL), 200);
  assert_int_equal (residency_count_runs (world->plain[0]), 0);
  path_world_free (world);
}

/* A stream goes on in the regions that hold when it is sent again; the run in flight may end where it is. */
static void
test_stream_under_a_change (void **state)
{
  PathWorld *world = residency_world_new ("stream-change");
  standin_worker_set_events (world->model[0], 6, 1000);
  /* Others stand in the east, which a stream of the west must not go on at. */
  for (guint i = 2; i < PATH_MODEL; i++)
    {
      standin_worker_set_zone (world->model[i], "e2");
      standin_worker_set_fault (world->model[i], STANDIN_WORKER_REFUSES, G_MAXUINT);
    }
  residency_configure (world, 7, "s", "\"east\"", NULL);
  residency_world_start (world);
  AWAIT (residency_lookup (world, 0, NULL) == 200);
  PathAnswer answer;
  path_start_call (path_front (world, 0), "POST", "/s/1", "stream", "x", &answer);
  AWAIT (residency_count_runs (world->model[0]) == 1);
  residency_configure (world, 8, "s", "\"west\"", NULL);
  /* Its worker is done with it once the new set is in force. */
  run_for (1500);
  guint refused[PATH_MODEL];
  for (guint i = 2; i < PATH_MODEL; i++)
    {
      refused[i] = residency_count_runs (world->model[i]);
      standin_worker_set_fault (world->model[i], STANDIN_WORKER_HEALTHY, 0);
    }
  standin_worker_crash (world->model[0]);
  AWAIT (answer.done);
  assert_int_equal (answer.status, 200);
  assert_non_null (strstr (answer.body, "id: 6"));
  path_answer_clear (&answer);
  assert_int_equal (residency_count_runs (world->model[0]), 1);
  assert_int_equal (residency_count_runs (world->model[1]), 1);
  for (guint i = 2; i < PATH_MODEL; i++)
    assert_int_equal (residency_count_runs (world->model[i]), refused[i]);
  path_world_free (world);
}

/* ---- Batches ----------------------------------------------------------------- */

static guint
submit_status (PathWorld *world, guint front, const char *batch)
{
  g_autofree char *text = path_make_batch (batch, ITEMS);
  return path_status (path_front (world, front), "POST", "/r/batch", batch, text);
}

typedef struct
{
  guint records; /* that are not blank */
} Kept;

static gboolean
count_record (const QuinceLogEntry *entry, gpointer data)
{
  ((Kept *)data)->records += entry->record.record_len > 0;
  return TRUE;
}

/* Records on the disk of a replica, which is killed for it. */
static guint
kept_records (PathWorld *world, guint index)
{
  quince_process_kill (world->replicas[index]);
  g_clear_pointer (&world->replicas[index], quince_process_free);
  g_autofree char *folder = g_strdup_printf ("%s/data-%u", world->folder, index);
  gboolean was_empty = FALSE;
  g_autoptr (QuinceBatchLog) log = quince_batch_log_open (folder, &was_empty, NULL);
  assert_non_null (log);
  Kept kept = { 0 };
  assert_true (quince_batch_log_foreach (log, 1, count_record, &kept, NULL));
  return kept.records;
}

static gboolean
is_outside (const PathWorld *world, guint index)
{
  return g_str_equal (world->replica_zones[index], "w1");
}

/* Failed first: items, reward calls and records went everywhere. */
static void
test_batch_stays (void **state)
{
  PathWorld *world = start_world ("batch-stays", "rw", "\"east\"", NULL);
  AWAIT (submit_status (world, 2, "b1") == 202);
  AWAIT (path_count_results (world, 2, "b1") == ITEMS);
  assert_true (residency_count_runs (world->model[0]) >= ITEMS);
  assert_true (residency_count_runs (world->plain[0]) >= ITEMS);
  for (guint i = 1; i < PATH_MODEL; i++)
    assert_int_equal (residency_count_runs (world->model[i]), 0);
  assert_int_equal (residency_count_runs (world->plain[1]), 0);
  residency_assert_ledger_is_confined (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (is_outside (world, i))
      assert_int_equal (kept_records (world, i), 0);
  path_world_free (world);
}

/* The third machine inside starts after the batch is complete: two of them are a quorum.  The ledger is
 * confined to all three then. */
static void
test_third_machine_is_late (void **state)
{
  PathWorld *world = residency_world_new ("third-late");
  residency_configure (world, 7, "rw", "\"east\"", NULL);
  path_register_workers (world);
  for (guint i = 0; i + 1 < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  world->bootstrapped = TRUE;
  AWAIT (submit_status (world, 2, "b1") == 202);
  AWAIT (path_count_results (world, 2, "b1") == ITEMS);
  assert_int_equal (residency_count_confined_lines (world), 0);
  path_start_replica (world, PATH_REPLICAS - 1);
  residency_assert_ledger_is_confined (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (is_outside (world, i))
      assert_int_equal (kept_records (world, i), 0);
  path_world_free (world);
}

/* Too few machines inside: refused, and nobody has it; taken once the set allows it. */
static void
test_batch_has_no_place (void **state)
{
  PathWorld *world = residency_world_new ("no-place");
  for (guint i = 1; i < PATH_REPLICAS; i++)
    world->replica_zones[i] = "w1";
  world->replica_zones[2] = "e2";
  residency_configure (world, 7, "r", "\"north\"", NULL);
  residency_world_start (world);
  /* Other batches of the same ledger are not known to be wanted: the route alone is refused. */
  AWAIT (path_status (path_front (world, 0), "GET", "/quinceroute/lots/b1", "q", NULL) == 404);
  g_autofree char *text = path_make_batch ("b1", ITEMS);
  PathAnswer answer;
  assert_int_equal (path_call (path_front (world, 0), "POST", "/r/batch", "b1", text, &answer), 503);
  assert_non_null (strstr (answer.body, "residency_ledger"));
  assert_non_null (answer.retry_after);
  path_answer_clear (&answer);
  for (guint i = 0; i < PATH_MODEL; i++)
    assert_int_equal (residency_count_runs (world->model[i]), 0);
  assert_int_equal (residency_count_replica_log_lines (world, "event=batch_taken"), 0);
  residency_configure (world, 8, "r", ALL_REGIONS, NULL);
  AWAIT (submit_status (world, 0, "b1") == 202);
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  path_world_free (world);
}

/* A batch is open when its route is bound to a region: its next sends and the ledger's disks follow. */
static void
test_change_under_a_batch (void **state)
{
  PathWorld *world = residency_world_new ("batch-change");
  for (guint i = 1; i < PATH_MODEL; i++)
    standin_worker_set_fault (world->model[i], STANDIN_WORKER_REFUSES, G_MAXUINT);
  standin_worker_set_fault (world->model[0], STANDIN_WORKER_REFUSES, G_MAXUINT);
  residency_configure (world, 7, "", "", NULL);
  residency_world_start (world);
  AWAIT (submit_status (world, 0, "b1") == 202);
  residency_configure (world, 8, "r", "\"east\"", NULL);
  AWAIT (
      residency_count_replica_log_lines (world, "event=ledger_confined nodes=replica-0,replica-2,replica-4")
      > 0);
  run_for (APPLY_MAX_MS);
  guint before = residency_count_runs (world->model[1]) + residency_count_runs (world->model[2]);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_fault (world->model[i], STANDIN_WORKER_HEALTHY, 0);
  AWAIT (path_count_results (world, 2, "b1") == ITEMS);
  assert_int_equal (residency_count_runs (world->model[1]) + residency_count_runs (world->model[2]), before);
  /* What disks outside held is gone, and the log says so. */
  AWAIT (residency_count_replica_log_lines (world, "event=outside_disk_cleared") > 0);
  run_for (1000);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (is_outside (world, i))
      assert_int_equal (kept_records (world, i), 0);
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  path_world_free (world);
}

/* The leader of a confined ledger dies: the next one stands inside, and takes batches. */
static void
test_leader_of_a_region_dies (void **state)
{
  PathWorld *world = start_world ("region-leader", "r", "\"east\"", NULL);
  AWAIT (submit_status (world, 0, "b1") == 202);
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  gint first = path_find_leader (world);
  assert_true (first >= 0 && !is_outside (world, (guint)first));
  quince_process_kill (world->replicas[first]);
  AWAIT (path_find_leader (world) != first);
  AWAIT (submit_status (world, 0, "b2") == 202);
  AWAIT (path_count_results (world, 0, "b2") == ITEMS);
  assert_false (is_outside (world, (guint)path_find_leader (world)));
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (is_outside (world, i))
      assert_int_equal (kept_records (world, i), 0);
  path_world_free (world);
}

/* Some replica inside that does not lead. */
static guint
other_inside (PathWorld *world, gint leader)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if ((gint)i != leader && !is_outside (world, i))
      return i;
  fail ();
  return 0;
}

/* Failed first: nobody led any more.  A replica inside falls silent and leaves the view, then the leader
 * dies: the new one has no quorum but with the replica that is back, which is no member and holds all but the
 * last records. */
static void
test_leader_dies_with_few_members (void **state)
{
  PathWorld *world = start_world ("region-few", "r", "\"east\"", NULL);
  AWAIT (submit_status (world, 0, "b1") == 202);
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  gint first = path_find_leader (world);
  guint silent = other_inside (world, first);
  quince_process_suspend (world->replicas[silent]);
  run_for (SILENT_MS);
  AWAIT (submit_status (world, 0, "b2") == 202);
  quince_process_kill (world->replicas[first]);
  quince_process_resume (world->replicas[silent]);
  AWAIT (path_find_leader (world) >= 0 && path_find_leader (world) != first);
  AWAIT (submit_status (world, 0, "b3") == 202);
  AWAIT (path_count_results (world, 0, "b2") == ITEMS);
  path_world_free (world);
}

/* Of two tenants whose regions have nothing in common, so that no place fits all batches. */
#define TWO_TENANTS "\"east\"]},{\"name\":\"u\",\"apiKeys\":[\"key-u\"],\"allowedRegions\":[\"west\""

static guint
members (const PathWorld *world)
{
  g_autoptr (GBytes) bytes = standin_store_get_bytes (world->store, "quinceroute/ledger");
  gsize length = 0;
  gconstpointer data = bytes != NULL ? g_bytes_get_data (bytes, &length) : NULL;
  QuinceLedgerView *view = bytes != NULL ? quince_ledger_view_decode (data, length, NULL) : NULL;
  guint count = view != NULL ? view->members.members_len : 0;
  g_clear_pointer (&view, quince_ledger_view_free);
  return count;
}

/* Failed first: while a batch was not committed yet, the members that fell silent were replaced by machines
 * outside, which got it. */
static void
test_batch_stays_before_its_commit (void **state)
{
  static const guint inside[] = { 0, 2, 4 };
  PathWorld *world = residency_world_new ("before-commit");
  residency_configure (world, 7, "", "", TWO_TENANTS);
  path_register_workers (world);
  for (guint i = 0; i < G_N_ELEMENTS (inside); i++)
    path_start_replica (world, inside[i]);
  path_start_front (world, 0);
  AWAIT (members (world) == G_N_ELEMENTS (inside));
  world->bootstrapped = TRUE;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (is_outside (world, i))
      path_start_replica (world, i);
  AWAIT (path_status (path_front (world, 0), "GET", "/quinceroute/lots/none", "q", NULL) != 503);
  run_for (SILENT_MS); /* the machines outside are linked and may be fed */
  gint leader = path_find_leader (world);
  for (guint i = 0; i < G_N_ELEMENTS (inside); i++)
    if ((gint)inside[i] != leader)
      quince_process_suspend (world->replicas[inside[i]]);
  g_autofree char *text = path_make_batch ("b1", ITEMS);
  PathAnswer answer;
  path_start_call_with_header (path_front (world, 0), "POST", "/r/batch", "b1", text, "Credential", "key-t",
                               &answer);
  run_for (SILENT_MS);
  for (guint i = 0; i < G_N_ELEMENTS (inside); i++)
    if ((gint)inside[i] != leader)
      quince_process_resume (world->replicas[inside[i]]);
  AWAIT (answer.done);
  path_answer_clear (&answer);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (is_outside (world, i))
      assert_int_equal (kept_records (world, i), 0);
  path_world_free (world);
}

/* Failed first: the place of a machine that is gone counted among those where batches may lie, for ever. */
static void
test_place_of_an_emptied_machine (void **state)
{
  PathWorld *world = start_world ("emptied", "r", ALL_REGIONS, NULL);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *key = g_strdup_printf ("quinceroute/places/replica-%u", i);
      AWAIT (standin_store_get (world->store, key) != NULL);
    }
  standin_store_put (world->store, "op/retire/replica-1", "{\"durationS\":10}");
  AWAIT (standin_store_get (world->store, "quinceroute/places/replica-1") == NULL);
  run_for (SILENT_MS);
  assert_null (standin_store_get (world->store, "quinceroute/places/replica-1"));
  assert_non_null (standin_store_get (world->store, "quinceroute/places/replica-3"));
  /* The operator changes his mind. */
  standin_store_remove (world->store, "op/retire/replica-1");
  AWAIT (standin_store_get (world->store, "quinceroute/places/replica-1") != NULL);
  path_world_free (world);
}

/* ---- The directory ------------------------------------------------------------ */

/* Which of the fronts the answer names, one letter each, in its order. (transfer full) */
static char *
resolve (PathWorld *world, guint asked, const char *query)
{
  g_autofree char *target = g_strdup_printf ("/quinceroute/resolve?name=" PATH_HOST "%s", query);
  PathAnswer answer;
  path_call (quince_process_get_ready_value (world->fronts[asked], "directory"), "GET", target, "q", NULL,
             &answer);
  g_autoptr (GString) named = g_string_new (NULL);
  for (const char *at = answer.body; at != NULL && *at != '\0'; at++)
    for (guint i = 0; i < PATH_FRONTS; i++)
      {
        g_autofree char *address = g_strdup_printf ("\"%s\"", path_front (world, i));
        if (g_str_has_prefix (at, address))
          g_string_append_c (named, (char)('0' + i));
      }
  path_answer_clear (&answer);
  return g_string_free (g_steal_pointer (&named), FALSE);
}

static gboolean
resolves_to (PathWorld *world, guint asked, const char *query, const char *expected)
{
  g_autofree char *named = resolve (world, asked, query);
  return g_str_equal (named, expected);
}

/* Failed first: every front was named to every caller, those of other regions too. */
static void
test_directory_keeps_to_the_region (void **state)
{
  PathWorld *world = start_world ("regions", "", "", NULL);
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (resolves_to (world, i, "&region=east&zone=e1", "01"));
      AWAIT (resolves_to (world, i, "&region=east&zone=e2", "10"));
      /* Its zone tells the region too. */
      AWAIT (resolves_to (world, i, "&zone=e2", "10"));
    }
  /* One front alone is named alone: callers choose by chance, and two of three would go elsewhere. */
  AWAIT (resolves_to (world, 0, "&region=west&zone=w1", "2"));
  /* Callers of whom nothing is known are told of all. */
  assert_int_equal (strlen (resolve (world, 1, "")), 3);
  quince_process_kill (world->fronts[1]);
  AWAIT (resolves_to (world, 0, "&region=east&zone=e1", "0"));
  AWAIT (resolves_to (world, 0, "&region=east&zone=e2", "0"));
  /* Where none of the region is left, the others are better than none. */
  quince_process_kill (world->fronts[2]);
  AWAIT (resolves_to (world, 0, "&region=west&zone=w1", "0"));
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lookups_stay),
    cmocka_unit_test (test_tenant_and_route),
    cmocka_unit_test (test_nowhere),
    cmocka_unit_test (test_unknown_zone),
    cmocka_unit_test (test_stream_under_a_change),
    cmocka_unit_test (test_batch_stays),
    cmocka_unit_test (test_third_machine_is_late),
    cmocka_unit_test (test_batch_has_no_place),
    cmocka_unit_test (test_change_under_a_batch),
    cmocka_unit_test (test_leader_of_a_region_dies),
    cmocka_unit_test (test_leader_dies_with_few_members),
    cmocka_unit_test (test_batch_stays_before_its_commit),
    cmocka_unit_test (test_place_of_an_emptied_machine),
    cmocka_unit_test (test_directory_keeps_to_the_region),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
