/*
 * test-progress-copies.c: guards against long texts that are generated again although a machine with a copy
 * is left: real processes, losses of disks and of all processes at once.
 */
#include "zone-world.h"

/* A text takes 8 s, longer than the faults of a test take on a busy machine, and its workers send each event
 * after 100 ms. */
#define EVENTS 80
#define EVENT_MS 100
/* Until a text is long enough for a copy (1 s) and was reported several times.  Most events come later. */
#define BEFORE_FAULT_MS 2500
/* A text that goes on after the fault has at least this many events: those of the first second. */
#define KEPT_EVENTS 10
/* Minimum events after BEFORE_FAULT_MS and the 0.5 s for which the backup with the copy is the successor. */
#define GROWN_EVENTS 34
#define WHOLE_TEXT "\\ne79\\ne80\""
/* Longer than progress that a process received counts as recent. */
#define LONG_OUTAGE_MS 6000

typedef struct
{
  ZoneWorld *zones;
  PathWorld *path;
  guint n_replicas;
  guint leader;
  guint successor;
  guint copy; /* holds the further copy; PATH_REPLICAS: none */
} Scene;

/* Returns the first member of the view that does not lead. */
static guint
find_successor (const ZoneWorld *world)
{
  QuinceLedgerView *view = zone_view (world);
  guint successor = PATH_REPLICAS;
  for (guint i = 0; i < view->members.members_len && successor == PATH_REPLICAS; i++)
    if (view->members.members_val[i].replica != view->primary)
      successor = zone_replica_of (&view->members.members_val[i]);
  quince_ledger_view_free (view);
  return successor;
}

/* Returns the replica that the leader chose last for the further copy; PATH_REPLICAS: none. */
static guint
find_copy (const Scene *scene)
{
  g_autofree char *file = g_strdup_printf ("%s/replica-%u.out", scene->path->folder, scene->leader);
  g_autofree char *text = NULL;
  assert_true (g_file_get_contents (file, &text, NULL, NULL));
  const char *line = g_strrstr (text, "event=progress_copy copy=1 node=replica-");
  if (line == NULL)
    return PATH_REPLICAS;
  return (guint)g_ascii_strtoull (strstr (line, "node=replica-") + strlen ("node=replica-"), NULL, 10);
}

/* Three replicas, one in each zone: all of them are members, and a quorum. */
static void
start_three_replicas (PathWorld *path)
{
  path_configure (path, 7);
  path_register_workers (path);
  for (guint i = 0; i < 3; i++)
    path_start_replica (path, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (path, i);
  path->bootstrapped = TRUE;
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (path, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
}

/* All samples of a batch have run for BEFORE_FAULT_MS. */
static Scene *
scene_new (const char *name, guint n_replicas)
{
  Scene *scene = g_new0 (Scene, 1);
  scene->zones = zone_world_new (name);
  scene->path = scene->zones->path;
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (scene->path->model[i], EVENTS, EVENT_MS);
  scene->n_replicas = n_replicas;
  if (n_replicas == ZONE_REPLICAS)
    zone_world_start (scene->zones);
  else
    start_three_replicas (scene->path);
  run_for (1500); /* the last change of members is settled */
  ZoneBatch *batch = zone_submit (scene->zones, ZONES);
  AWAIT (zone_runs (scene->zones, batch, NULL) == ZONE_ITEMS);
  run_for (BEFORE_FAULT_MS);
  scene->leader = zone_leader (scene->zones);
  scene->successor = find_successor (scene->zones);
  scene->copy = find_copy (scene);
  return scene;
}

static void
scene_free (Scene *scene)
{
  zone_world_free (scene->zones);
  g_free (scene);
}

static void
kill_all (Scene *scene)
{
  for (guint i = 0; i < scene->n_replicas; i++)
    quince_process_kill (scene->path->replicas[i]);
}

static void
start_all_except (Scene *scene, guint excepted)
{
  for (guint i = 0; i < scene->n_replicas; i++)
    if (i != excepted)
      path_start_replica (scene->path, i);
}

/* Deletes the texts on the disk of a replica that is not running, but not its log. */
static void
delete_texts (Scene *scene, guint replica)
{
  for (guint i = 0; i < 2; i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/data-%u/progress-%u", scene->path->folder, replica, i);
      assert_int_equal (g_remove (file), 0);
    }
}

static void
lose_disk (Scene *scene, guint replica)
{
  path_delete_replica_data (scene->path, replica);
  delete_texts (scene, replica);
}

/* Returns how many runs of the batch resumed from event @first_event or later. */
static guint
count_resumed (const Scene *scene, guint64 first_event)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (scene->path->model[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          count
              += run->last_event_id != NULL && g_ascii_strtoull (run->last_event_id, NULL, 10) >= first_event;
        }
    }
  return count;
}

/* Each text is listed once, whole, with its score, and went on from event @first_event or later. */
static void
assert_texts_went_on_from (Scene *scene, guint64 first_event)
{
  g_autofree char *text = NULL;
  const ZoneBatch *batch = scene->zones->batches->pdata[0];
  AWAIT (path_count_results (scene->path, 0, batch->id) == ZONE_ITEMS);
  text = path_read_results (scene->path, 0, batch->id);
  assert_int_equal (path_count_occurrences (text, WHOLE_TEXT), ZONE_ITEMS);
  assert_int_equal (path_count_occurrences (text, "\"message\":\"e1\\ne2\\ne3\\n"), ZONE_ITEMS);
  assert_int_equal (path_count_occurrences (text, "\"versions\":[1]"), ZONE_ITEMS);
  assert_true (count_resumed (scene, first_event) >= ZONE_ITEMS);
}

static void
assert_texts_went_on (Scene *scene)
{
  assert_texts_went_on_from (scene, KEPT_EVENTS);
}

/* The machines of the leader and of its successor lose their disks, and all processes are killed at once. */
static void
test_texts_outlive_leader_and_successor (void **state)
{
  Scene *scene = scene_new ("copies", ZONE_REPLICAS);
  kill_all (scene);
  lose_disk (scene, scene->leader);
  lose_disk (scene, scene->successor);
  start_all_except (scene, PATH_REPLICAS);
  assert_texts_went_on (scene);
  scene_free (scene);
}

/* The further copy is neither in the zone of the leader nor in that of the successor, where there is a
 * third zone. */
static void
test_copy_is_in_another_zone (void **state)
{
  Scene *scene = scene_new ("copy-zone", ZONE_REPLICAS);
  assert_true (scene->copy < ZONE_REPLICAS);
  guint zone = zone_of_replica (scene->zones, scene->copy);
  guint leader_zone = zone_of_replica (scene->zones, scene->leader);
  guint successor_zone = zone_of_replica (scene->zones, scene->successor);
  assert_int_not_equal (zone, leader_zone);
  assert_true (zone != successor_zone || leader_zone == successor_zone);
  scene_free (scene);
}

/* The replica with the copy lacks a record, so another one leads, and all processes were down for long: what
 * was read from the disk is offered at any age. */
static void
test_copy_is_offered_after_a_long_outage (void **state)
{
  Scene *scene = scene_new ("copy-offer", ZONE_REPLICAS);
  assert_true (scene->copy < ZONE_REPLICAS);
  quince_process_suspend (scene->path->replicas[scene->copy]);
  zone_submit (scene->zones, ZONES);
  kill_all (scene);
  lose_disk (scene, scene->leader);
  lose_disk (scene, scene->successor);
  run_for (LONG_OUTAGE_MS);
  start_all_except (scene, PATH_REPLICAS);
  assert_texts_went_on (scene);
  assert_int_not_equal (path_find_leader (scene->path), (gint)scene->copy);
  scene_free (scene);
}

/* The successor is away for a moment, so that the replica with the copy takes its place and receives all
 * texts, and no other replica holds the copy meanwhile.  Then the copy must grow again: reports that continue
 * those from before the turn do not fit its texts. */
static void
test_copy_grows_after_a_turn_as_successor (void **state)
{
  Scene *scene = scene_new ("copy-turn", 3);
  assert_true (scene->copy < 3);
  quince_process_kill (scene->path->replicas[scene->successor]);
  run_for (400); /* two reports */
  path_start_replica (scene->path, scene->successor);
  run_for (1200);
  assert_int_equal (find_copy (scene), scene->copy);
  kill_all (scene);
  delete_texts (scene, scene->leader);
  delete_texts (scene, scene->successor);
  start_all_except (scene, PATH_REPLICAS);
  assert_texts_went_on_from (scene, GROWN_EVENTS);
  scene_free (scene);
}

/* The replica with the copy comes back when the samples already run again from the beginning: they go on from
 * its longer texts. */
static void
test_running_samples_take_longer_texts (void **state)
{
  Scene *scene = scene_new ("copy-late", ZONE_REPLICAS);
  assert_true (scene->copy < ZONE_REPLICAS);
  kill_all (scene);
  delete_texts (scene, scene->leader);
  delete_texts (scene, scene->successor);
  start_all_except (scene, scene->copy);
  const ZoneBatch *batch = scene->zones->batches->pdata[0];
  AWAIT (zone_runs (scene->zones, batch, NULL) == 2 * ZONE_ITEMS);
  assert_int_equal (count_resumed (scene, KEPT_EVENTS), 0);
  path_start_replica (scene->path, scene->copy);
  assert_texts_went_on (scene);
  scene_free (scene);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_texts_outlive_leader_and_successor),
    cmocka_unit_test (test_copy_is_in_another_zone),
    cmocka_unit_test (test_copy_is_offered_after_a_long_outage),
    cmocka_unit_test (test_copy_grows_after_a_turn_as_successor),
    cmocka_unit_test (test_running_samples_take_longer_texts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
