/*
 * test-policy-spread.c: an accepted policy is in force on every process within
 * seconds and never goes back, whatever else fails.
 *
 * The revision of each process is read all the time; none may ever decrease.  What is decided is judged by
 * the engines' own records: the policy "closed" admits nothing.
 */
#include "harness.h"

#include <string.h>

#include <quince/task.h>

#define PROMISE_MS 3000
#define FREEZE_MS 2000 /* below the silence after which agents give a node up */
#define CUT_MS 5000    /* above the promise */
#define LATE_WATCH "{\"late_watches_ms\":1500}"
#define CALLS 80
#define TOKENS 10
#define CALLS_MS 2500
#define EXIT_CONFLICT 3
#define OTHER_WRITES 8

static const char open_policy[] = "function admit(request) return { priority = %u } end\n";
static const char closed_policy[] = "function admit(request) return { refuse = \"closed %u\" } end\n";

typedef struct
{
  QuinceCluster *cluster;
  HarnessWatch *watch;
  guint policies;  /* written so far, so that no two texts are the same */
  gint64 revision; /* accepted last */
  gint64 accepted_us;
} Scene;

/* ---- Watching ------------------------------------------------------------------ */

/* In force on all processes, and within the promised time of its acceptance. */
static void
assert_spread (Scene *scene)
{
  HARNESS_AWAIT (harness_watch_is_at (scene->watch, scene->revision, NULL));
  gint64 took_ms = (quince_now_us () - scene->accepted_us) / 1000;
  print_message ("  revision=%d in_force_everywhere_ms=%d\n", (int)scene->revision, (int)took_ms);
  assert_true (took_ms <= PROMISE_MS);
  harness_watch_assert_never_back (scene->watch);
}

/* ---- Operators ------------------------------------------------------------------- */

static void
set_kv_faults (Scene *scene, const char *faults)
{
  assert_true (quince_set_faults (harness_get_part (scene->cluster, QUINCE_PART_KV, 0)->control, faults));
}

/* A policy file with a text of its own. (transfer full) */
static char *
write_policy (Scene *scene, const char *format)
{
  g_autofree char *name = g_strdup_printf ("policy-%u.lua", ++scene->policies);
  char *path = g_build_filename (scene->cluster->folder, name, NULL);
  g_autofree char *text = g_strdup_printf (format, scene->policies);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

static void
note_accepted (Scene *scene, gint64 revision)
{
  assert_true (revision > scene->revision);
  scene->revision = revision;
  scene->accepted_us = quince_now_us ();
}

static void
accept_policy (Scene *scene, const char *format)
{
  g_autofree char *path = write_policy (scene, format);
  note_accepted (scene, harness_accept_policy (scene->cluster, path));
}

/* One of two operators, on the revision that both have read. */
static QuinceProcess *
spawn_operator (Scene *scene, const char *name, const char *path)
{
  g_autofree char *program = g_build_filename (scene->cluster->build_folder, "tools", "quinceroute", NULL);
  g_autofree char *expected = g_strdup_printf ("%d", (int)scene->revision);
  const char *kv = harness_get_part (scene->cluster, QUINCE_PART_KV, 0)->http;
  const char *const arguments[]
      = { program, "--kv", kv, "policy", "accept", path, "--comment", name, "--expect", expected, NULL };
  QuinceProcess *process = quince_process_spawn (scene->cluster->folder, name, arguments, NULL);
  assert_non_null (process);
  return process;
}

/* ---- Acceptance -------------------------------------------------------------------- */

static void
test_plain (void **state)
{
  Scene *scene = *state;
  for (guint i = 0; i < 3; i++)
    {
      accept_policy (scene, open_policy);
      assert_spread (scene);
    }
}

/* Two nodes cannot see the service, which then goes down for all. */
static void
test_service_down_after_accept (void **state)
{
  Scene *scene = *state;
  for (guint i = 1; i < 3; i++)
    assert_true (quince_cluster_set_kv_faults (
        scene->cluster, harness_get_part (scene->cluster, QUINCE_PART_NODE, i), "{\"cut\":true}"));
  accept_policy (scene, open_policy);
  set_kv_faults (scene, "{\"unavailable\":true,\"drop_watches\":true}");
  assert_spread (scene);
  for (guint i = 1; i < 3; i++)
    assert_true (quince_cluster_set_kv_faults (
        scene->cluster, harness_get_part (scene->cluster, QUINCE_PART_NODE, i), "{\"cut\":false}"));
  set_kv_faults (scene, "{\"unavailable\":false}");
}

static void
test_answer_lost (void **state)
{
  Scene *scene = *state;
  set_kv_faults (scene, "{\"lose_answer_next\":1}");
  accept_policy (scene, open_policy);
  assert_spread (scene);
  QuinceClusterPart *kv = harness_get_part (scene->cluster, QUINCE_PART_KV, 0);
  assert_int_equal (harness_trainer_count (kv, "lost_answers"), 1);
}

static void
test_two_operators (void **state)
{
  Scene *scene = *state;
  g_autofree char *first_path = write_policy (scene, open_policy);
  g_autofree char *second_path = write_policy (scene, open_policy);
  g_autoptr (QuinceProcess) first = spawn_operator (scene, "operator-1", first_path);
  g_autoptr (QuinceProcess) second = spawn_operator (scene, "operator-2", second_path);
  int first_status = -1, second_status = -1;
  assert_true (quince_process_wait (first, HARNESS_WAIT_MS, &first_status));
  assert_true (quince_process_wait (second, HARNESS_WAIT_MS, &second_status));
  assert_int_equal (MIN (first_status, second_status), 0);
  assert_int_equal (MAX (first_status, second_status), EXIT_CONFLICT);
  QuinceProcess *winner = first_status == 0 ? first : second;
  QuinceProcess *loser = first_status == 0 ? second : first;
  g_autofree char *output = quince_process_read_output (winner);
  note_accepted (scene, harness_read_revision (output));
  /* The loser is told the winner's revision. */
  g_autofree char *file = g_strconcat (quince_process_get_name (loser), ".log", NULL);
  g_autofree char *path = g_build_filename (scene->cluster->folder, file, NULL);
  g_autofree char *errors = NULL;
  g_autofree char *revision = g_strdup_printf ("%d", (int)scene->revision);
  g_autofree char *told = quince_process_read_output (loser);
  assert_true (g_file_get_contents (path, &errors, NULL, NULL));
  if (strstr (errors, revision) == NULL && strstr (told, revision) == NULL)
    fail_msg ("not told of revision %s: %s%s", revision, told, errors);
  assert_spread (scene);
}

static void
test_late_and_dropped_watches (void **state)
{
  Scene *scene = *state;
  set_kv_faults (scene, LATE_WATCH);
  accept_policy (scene, open_policy);
  assert_spread (scene);
  set_kv_faults (scene, "{\"late_watches_ms\":0,\"drop_watches\":true}");
  accept_policy (scene, open_policy);
  assert_spread (scene);
  /* One node's connection stands and brings nothing. */
  QuinceClusterPart *node = harness_get_part (scene->cluster, QUINCE_PART_NODE, 0);
  assert_true (quince_cluster_set_kv_faults (scene->cluster, node, "{\"freeze\":true}"));
  accept_policy (scene, open_policy);
  assert_spread (scene);
  assert_true (quince_cluster_set_kv_faults (scene->cluster, node, "{\"freeze\":false}"));
}

static void
test_service_restarted (void **state)
{
  Scene *scene = *state;
  QuinceClusterPart *kv = harness_get_part (scene->cluster, QUINCE_PART_KV, 0);
  accept_policy (scene, open_policy);
  quince_process_kill (kv->process);
  assert_spread (scene);
  harness_restart (scene->cluster, kv);
  accept_policy (scene, open_policy);
  assert_spread (scene);
}

static QuinceClusterPart *
add_node (Scene *scene, gboolean seeds)
{
  g_autoptr (GError) error = NULL;
  QuinceClusterPart *node = quince_cluster_add_node (scene->cluster, "z1", seeds, &error);
  if (node == NULL)
    fail_msg ("no new node: %s", error->message);
  harness_watch_part (scene->watch, node);
  return node;
}

static gboolean
watches_are (Scene *scene, gboolean up)
{
  QuinceClusterPart *node;
  for (guint i = 0; (node = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    {
      g_autoptr (JsonNode) status = harness_read_status (node);
      JsonObject *policy
          = status != NULL ? json_object_get_object_member (json_node_get_object (status), "policy") : NULL;
      if (policy == NULL || json_object_get_boolean_member (policy, "kv_watch_up") != up)
        return FALSE;
    }
  return TRUE;
}

/* Writes that have nothing to do with policies, so that the store's revision passes all that nodes have seen.
 */
static void
write_other_keys (Scene *scene)
{
  g_autofree char *key = g_base64_encode ((const guchar *)"/quince/other", strlen ("/quince/other"));
  g_autofree char *body = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"\"}", key);
  for (guint i = 0; i < OTHER_WRITES; i++)
    assert_int_equal (quince_http_sync (harness_get_part (scene->cluster, QUINCE_PART_KV, 0)->http,
                                        "/v3/kv/put", body, HARNESS_WAIT_MS, NULL),
                      200);
}

/* The service comes back with what it held before the last acceptance. */
static void
test_service_restored_to_older_state (void **state)
{
  Scene *scene = *state;
  QuinceClusterPart *kv = harness_get_part (scene->cluster, QUINCE_PART_KV, 0);
  g_autofree char *path = g_build_filename (scene->cluster->folder, "kv.state", NULL);
  g_autofree char *older = NULL;
  accept_policy (scene, open_policy);
  assert_spread (scene);
  assert_true (g_file_get_contents (path, &older, NULL, NULL));
  accept_policy (scene, open_policy);
  assert_spread (scene);
  quince_process_kill (kv->process);
  HARNESS_AWAIT (watches_are (scene, FALSE));
  assert_true (g_file_set_contents (path, older, -1, NULL));
  harness_restart (scene->cluster, kv);
  write_other_keys (scene);
  /* All have read the older policy from it. */
  HARNESS_AWAIT (watches_are (scene, TRUE));
  assert_true (harness_watch_is_at (scene->watch, scene->revision, NULL));
  /* One that knows nothing of the newer one reads the older one, and hears of the newer from its peers. */
  add_node (scene, TRUE);
  HARNESS_AWAIT (harness_watch_is_at (scene->watch, scene->revision, NULL));
  harness_watch_assert_never_back (scene->watch);
}

/* ---- New nodes ------------------------------------------------------------------------ */

static void
test_new_nodes_during_outage (void **state)
{
  Scene *scene = *state;
  accept_policy (scene, open_policy);
  assert_spread (scene);
  set_kv_faults (scene, "{\"unavailable\":true,\"drop_watches\":true}");
  QuinceClusterPart *joining = add_node (scene, TRUE);
  /* Nobody was told of this one. */
  QuinceClusterPart *alone = add_node (scene, FALSE);
  assert_true (quince_cluster_await_status (joining->http, "/readyz", 200, HARNESS_WAIT_MS));
  assert_int_equal (harness_policy_revision (joining), scene->revision);
  assert_int_equal (quince_http_sync (alone->http, "/readyz", NULL, HARNESS_WAIT_MS, NULL), 503);
  assert_int_equal (harness_policy_revision (alone), 0);
  set_kv_faults (scene, "{\"unavailable\":false}");
  assert_true (quince_cluster_await_status (alone->http, "/readyz", 200, HARNESS_WAIT_MS));
  accept_policy (scene, open_policy);
  assert_spread (scene);
}

/* ---- Decisions ----------------------------------------------------------------------------- */

/* Starts on all engines later than the promised time after the acceptance. */
static guint
count_late_starts (Scene *scene)
{
  guint count = 0;
  gint64 bound_ms = scene->accepted_us / 1000 + PROMISE_MS;
  QuinceClusterPart *engine;
  for (guint i = 0; (engine = quince_cluster_get (scene->cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    {
      g_autoptr (JsonNode) records = NULL;
      quince_http_sync (engine->control, "/_records", NULL, HARNESS_WAIT_MS, &records);
      JsonArray *starts = quince_json_dig_array (records, "starts");
      assert_non_null (starts);
      for (guint j = 0; j < json_array_get_length (starts); j++)
        {
          JsonNode *start = json_array_get_element (starts, j);
          gint64 late_ms = quince_json_dig_int (start, "time_ms", 0) - bound_ms;
          count += late_ms > 0 ? 1 : 0;
          if (late_ms > 0)
            print_error ("  late by %d ms: %s\n", (int)late_ms,
                         quince_json_dig_text (start, "request_id", "(no id)"));
        }
    }
  return count;
}

/* Calls all the while; "closed" is accepted under the fault, which then ends.  */
static void
close_under_load (Scene *scene, guint hold_ms, void (*begin) (Scene *scene), void (*end) (Scene *scene))
{
  accept_policy (scene, open_policy);
  assert_spread (scene);
  g_autoptr (QuinceLoad) load = quince_load_new (scene->policies);
  harness_add_lookups (scene->cluster, load, CALLS, TOKENS, TRUE, FALSE, 0, CALLS_MS + PROMISE_MS);
  HarnessLoad *running = harness_run_load (load);
  HARNESS_AWAIT (quince_load_count_answers (load, QUINCE_ANSWER_WHOLE) > 3);
  begin (scene);
  accept_policy (scene, closed_policy);
  g_usleep (hold_ms * 1000);
  end (scene);
  gint64 healed_us = quince_now_us ();
  HARNESS_AWAIT (harness_watch_is_at (scene->watch, scene->revision, NULL));
  gint64 took_ms = (quince_now_us () - healed_us) / 1000;
  print_message ("  revision=%d in_force_after_heal_ms=%d\n", (int)scene->revision, (int)took_ms);
  assert_true (took_ms <= PROMISE_MS);
  harness_join_load (running);
  harness_assert_calls (scene->cluster, load);
  assert_int_equal (count_late_starts (scene), 0);
  assert_true (quince_load_count_answers (load, QUINCE_ANSWER_NOT_RUN) > 0);
  harness_watch_assert_never_back (scene->watch);
  accept_policy (scene, open_policy);
  assert_spread (scene);
}

static void
freeze_node (Scene *scene)
{
  quince_process_freeze (harness_get_part (scene->cluster, QUINCE_PART_NODE, 0)->process);
}

static void
thaw_node (Scene *scene)
{
  quince_process_thaw (harness_get_part (scene->cluster, QUINCE_PART_NODE, 0)->process);
}

static void
test_frozen_node (void **state)
{
  close_under_load (*state, FREEZE_MS, freeze_node, thaw_node);
}

static void
set_isolation (Scene *scene, const char *kv_faults, const char *gossip_faults)
{
  QuinceClusterPart *node;
  for (guint i = 0; (node = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    assert_true (quince_cluster_set_route_faults (scene->cluster, node, gossip_faults));
  assert_true (quince_cluster_set_kv_faults (
      scene->cluster, harness_get_part (scene->cluster, QUINCE_PART_NODE, 0), kv_faults));
}

/* Node 0 hears neither of the service nor of any peer; agents still reach it. */
static void
isolate_node (Scene *scene)
{
  set_isolation (scene, "{\"cut\":true}", "{\"loss_percent\":100}");
}

static void
rejoin_node (Scene *scene)
{
  set_isolation (scene, "{\"cut\":false}", "{\"loss_percent\":0}");
}

static void
test_isolated_node (void **state)
{
  close_under_load (*state, CUT_MS, isolate_node, rejoin_node);
}

/* Agents reach node 0 alone, and node 0 reaches nobody. */
static void
cut_node (Scene *scene)
{
  isolate_node (scene);
  for (guint i = 1; i < 3; i++)
    assert_true (quince_cluster_set_route_faults (scene->cluster,
                                                  harness_get_part (scene->cluster, QUINCE_PART_NODE, i),
                                                  "{\"cut\":true,\"loss_percent\":100}"));
}

static void
heal_node (Scene *scene)
{
  set_isolation (scene, "{\"cut\":false}", "{\"cut\":false,\"loss_percent\":0}");
}

static void
test_cut_node (void **state)
{
  close_under_load (*state, CUT_MS, cut_node, heal_node);
}

/* ---- Running -------------------------------------------------------------------------------- */

static int
start_scene (void **state)
{
  Scene *scene = g_new0 (Scene, 1);
  *state = scene;
  scene->cluster = harness_start ("policy-spread", NULL);
  scene->revision = harness_policy_revision (harness_get_part (scene->cluster, QUINCE_PART_NODE, 0));
  scene->watch = harness_watch_new (scene->cluster);
  return 0;
}

static int
stop_scene (void **state)
{
  Scene *scene = *state;
  harness_watch_free (scene->watch);
  harness_stop (scene->cluster);
  g_free (scene);
  return 0;
}

#define POLICY_TEST(name) cmocka_unit_test_setup_teardown (name, start_scene, stop_scene)

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    POLICY_TEST (test_plain),
    POLICY_TEST (test_service_down_after_accept),
    POLICY_TEST (test_answer_lost),
    POLICY_TEST (test_two_operators),
    POLICY_TEST (test_late_and_dropped_watches),
    POLICY_TEST (test_service_restarted),
    POLICY_TEST (test_service_restored_to_older_state),
    POLICY_TEST (test_new_nodes_during_outage),
    POLICY_TEST (test_frozen_node),
    POLICY_TEST (test_isolated_node),
    POLICY_TEST (test_cut_node),
  };
  return cmocka_run_group_tests_name ("policy-spread", tests, NULL, NULL);
}
