/*
 * samples-faults.c: what test-samples.c does to engines, nodes and agents.
 */
#include "samples-faults.h"

/* ---- Looking at the deployment ---------------------------------------------- */

static QuinceClusterPart *
get_leader (Scene *scene)
{
  QuinceClusterPart *leader = quince_cluster_await_leader (scene->cluster, HARNESS_WAIT_MS);
  assert_non_null (leader);
  return leader;
}

static char *
read_replica_id (QuinceClusterPart *node)
{
  g_autoptr (JsonNode) status = harness_read_status (node);
  return g_strdup (quince_json_dig_text (status, "ledger.replica_id", ""));
}

/* @node votes again, as another replica than the one that was lost, and in its place. */
static gboolean
votes_anew (QuinceClusterPart *node, const char *lost_id)
{
  g_autoptr (JsonNode) status = harness_read_status (node);
  const char *role = quince_json_dig_text (status, "ledger.role", "");
  const char *id = quince_json_dig_text (status, "ledger.replica_id", "");
  return (g_str_equal (role, "follower") || g_str_equal (role, "leader"))
         && quince_json_dig_int (status, "ledger.voters", 0) == 3 && *id != '\0'
         && !g_str_equal (id, lost_id);
}

/* ---- Faults of processes ------------------------------------------------------ */

static void
kill_part (QuinceClusterPart **struck, QuinceClusterPart *part)
{
  *struck = part;
  quince_process_kill (part->process);
}

static void
crash_engine (Scene *scene)
{
  scene->second = scene->busy;
  assert_true (quince_cluster_crash_engine (scene->second));
}

static void
kill_leader (Scene *scene)
{
  kill_part (&scene->first, get_leader (scene));
}

static void
freeze_leader (Scene *scene)
{
  scene->first = get_leader (scene);
  quince_process_freeze (scene->first->process);
}

/* The agent that runs most samples. */
static void
kill_agent (Scene *scene)
{
  guint agents = quince_cluster_count (scene->cluster, QUINCE_PART_AGENT);
  gint64 most = 0;
  for (guint i = 0; i < agents; i++)
    {
      QuinceClusterPart *agent = harness_get_part (scene->cluster, QUINCE_PART_AGENT, i);
      g_autoptr (JsonNode) status = NULL;
      quince_http_sync (agent->http, "/v1/status", NULL, CALL_MS, &status);
      gint64 running = quince_json_dig_int (status, "counters.samples_running", 0);
      if (running > most)
        scene->second = agent;
      most = MAX (most, running);
    }
  assert_true (most > 0);
  quince_process_kill (scene->second->process);
}

static void
freeze_leader_kill_agent (Scene *scene)
{
  freeze_leader (scene);
  kill_agent (scene);
}

static void
restart_struck (Scene *scene)
{
  if (scene->first != NULL)
    harness_restart (scene->cluster, scene->first);
  if (scene->second != NULL)
    harness_restart (scene->cluster, scene->second);
}

static void
thaw_leader (Scene *scene)
{
  quince_process_thaw (scene->first->process);
  if (scene->second != NULL)
    harness_restart (scene->cluster, scene->second);
}

static void
cut_leader (Scene *scene)
{
  scene->first = get_leader (scene);
  assert_true (
      quince_cluster_set_route_faults (scene->cluster, scene->first, "{\"cut\":true,\"loss_percent\":100}"));
}

static void
rejoin_leader (Scene *scene)
{
  assert_true (
      quince_cluster_set_route_faults (scene->cluster, scene->first, "{\"cut\":false,\"loss_percent\":0}"));
}

static void
stop_key_values (Scene *scene)
{
  QuinceClusterPart *kv = harness_get_part (scene->cluster, QUINCE_PART_KV, 0);
  assert_true (quince_set_faults (kv->control, "{\"unavailable\":true}"));
}

static void
stop_key_values_kill_leader (Scene *scene)
{
  stop_key_values (scene);
  kill_leader (scene);
}

static void
resume_key_values (Scene *scene)
{
  QuinceClusterPart *kv = harness_get_part (scene->cluster, QUINCE_PART_KV, 0);
  assert_true (quince_set_faults (kv->control, "{\"unavailable\":false}"));
}

/* ---- Lost data folders ---------------------------------------------------------- */

static void
lose_replica (Scene *scene, QuinceClusterPart **struck, QuinceClusterPart *node)
{
  g_free (scene->replica);
  scene->replica = read_replica_id (node);
  kill_part (struck, node);
  harness_remove_folder (node->data_folder);
}

static void
await_new_voter (Scene *scene, QuinceClusterPart *node)
{
  harness_restart (scene->cluster, node);
  HARNESS_AWAIT (votes_anew (node, scene->replica));
}

/* The trainer waits meanwhile: what is complete must outlive both losses. */
static void
lose_leader_folder (Scene *scene)
{
  assert_true (quince_set_faults (scene->trainer->control, "{\"pause\":true}"));
  lose_replica (scene, &scene->first, get_leader (scene));
}

static void
lose_follower_folder (Scene *scene)
{
  assert_true (quince_set_faults (scene->trainer->control, "{\"pause\":true}"));
  lose_replica (scene, &scene->first, harness_get_other_node (scene->cluster, get_leader (scene), NULL));
}

static void
join_then_lose_another (Scene *scene)
{
  await_new_voter (scene, scene->first);
  QuinceClusterPart *leader = get_leader (scene);
  if (leader == scene->first)
    leader = harness_get_other_node (scene->cluster, scene->first, NULL);
  lose_replica (scene, &scene->second, leader);
  assert_true (quince_set_faults (scene->trainer->control, "{\"pause\":false}"));
}

static void
rejoin_second (Scene *scene)
{
  await_new_voter (scene, scene->second);
}

static void
lose_follower_folder_crash_engine (Scene *scene)
{
  lose_replica (scene, &scene->first, harness_get_other_node (scene->cluster, get_leader (scene), NULL));
  crash_engine (scene);
}

static void
rejoin_first_restart_engine (Scene *scene)
{
  harness_restart (scene->cluster, scene->second);
  await_new_voter (scene, scene->first);
}

/* ---- Swaps ------------------------------------------------------------------------- */

/* Of those that run. */
void
scene_set_engine_faults (Scene *scene, const char *faults)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      QuinceClusterPart *engine = harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i);
      if (quince_process_is_running (engine->process))
        assert_true (quince_set_faults (engine->control, faults));
    }
}

static void
fail_swaps_keeping (Scene *scene)
{
  scene_set_engine_faults (scene, "{\"swap_fail\":\"keep\",\"swap_fail_times\":2}");
}

/* The long sample of the busy engine goes on for longer than a swap takes. */
static void
fail_swaps_elsewhere (Scene *scene)
{
  scene_set_engine_faults (
      scene, "{\"swap_fail\":\"other\",\"swap_other_version\":" G_STRINGIFY (WRONG_VERSION) "}");
  assert_true (quince_set_faults (scene->busy->control, "{\"slow_factor\":20}"));
}

/* As a trainer that publishes now: it publishes the same version itself later. */
static void
publish_next_version (Scene *scene)
{
  QuinceClusterPart *store = harness_get_part (scene->cluster, QUINCE_PART_WEIGHTS, 0);
  g_autoptr (JsonNode) versions = NULL;
  assert_int_equal (quince_http_sync (store->http, "/versions", NULL, CALL_MS, &versions), 200);
  gint64 next = quince_json_dig_int (versions, "latest", 0) + 1;
  g_autofree char *body = g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT "}", next);
  assert_int_equal (quince_http_sync (store->http, "/versions", body, CALL_MS, NULL), 200);
}

/* By the engine's own records. */
static gboolean
produced_wrong_version (QuinceClusterPart *engine)
{
  g_autoptr (JsonNode) records = NULL;
  quince_http_sync (engine->control, "/_records", NULL, CALL_MS, &records);
  JsonArray *productions = quince_json_dig_array (records, "productions");
  for (guint i = 0; productions != NULL && i < json_array_get_length (productions); i++)
    {
      JsonNode *row = json_array_get_element (productions, i);
      if (quince_json_dig_int (row, "weight_version", 0) == WRONG_VERSION
          && quince_json_dig_int (row, "token_count", 0) > 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
shows_wrong_version (QuinceClusterPart *engine)
{
  g_autoptr (JsonNode) load = NULL;
  quince_http_sync (engine->http, "/admin/load", NULL, CALL_MS, &load);
  return quince_json_dig_int (load, "weight_version", 0) == WRONG_VERSION;
}

/* Every engine ended on the version that no one ordered, one of them under its long sample. */
static void
await_swaps_elsewhere (Scene *scene)
{
  publish_next_version (scene);
  HARNESS_AWAIT (produced_wrong_version (scene->busy));
  for (guint i = 0; i < ENGINES; i++)
    HARNESS_AWAIT (shows_wrong_version (harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i)));
  scene_set_engine_faults (scene, "{\"swap_fail\":\"\",\"swap_other_version\":0,\"slow_factor\":0}");
}

static gboolean
swaps_failed (Scene *scene)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      g_autoptr (JsonNode) faults = NULL;
      quince_http_sync (harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i)->control, "/_faults", NULL,
                        CALL_MS, &faults);
      if (faults == NULL || quince_json_dig_int (faults, "swap_fail_times", 0) > 0)
        return FALSE;
    }
  return TRUE;
}

static void
await_failed_swaps (Scene *scene)
{
  HARNESS_AWAIT (swaps_failed (scene));
}

/* ---- Trainers' connections ------------------------------------------------------ */

static void
set_agent_routes (Scene *scene, const char *faults)
{
  guint agents = quince_cluster_count (scene->cluster, QUINCE_PART_AGENT);
  for (guint i = 0; i < agents; i++)
    assert_true (quince_cluster_set_route_faults (
        scene->cluster, harness_get_part (scene->cluster, QUINCE_PART_AGENT, i), faults));
}

static gint64
count_repeats (Scene *scene)
{
  return scene->trainer != NULL ? harness_trainer_count (scene->trainer, "repeats") : 0;
}

static void
cut_in_request (Scene *scene)
{
  scene->repeats = 0;
  set_agent_routes (scene, "{\"cut_after_bytes\":600}");
}

/* Above the length of a submit and its answer, below that of a batch. */
static void
cut_in_batch (Scene *scene)
{
  scene->repeats = count_repeats (scene);
  set_agent_routes (scene, "{\"cut_after_bytes\":4000}");
}

static void
end_cuts (Scene *scene)
{
  HARNESS_AWAIT (count_repeats (scene) >= scene->repeats + 2);
  set_agent_routes (scene, "{\"cut_after_bytes\":0}");
}

static void
lose_answers (Scene *scene)
{
  scene->repeats = count_repeats (scene);
  set_agent_routes (scene, "{\"drop\":\"down\"}");
}

static void
cut_unanswered (Scene *scene)
{
  set_agent_routes (scene, "{\"drop\":\"\",\"cut\":true}");
  HARNESS_AWAIT (count_repeats (scene) > scene->repeats);
  set_agent_routes (scene, "{\"cut\":false}");
}

/* ---- Cases -------------------------------------------------------------------------- */

const FaultCase fault_cases[] = {
  { .name = "nothing fails", .lasting = TRUE, .mixed = TRUE },
  { .name = "swaps fail, the old version stays",
    .at_start = TRUE,
    .begin = fail_swaps_keeping,
    .end = await_failed_swaps },
  { .name = "swaps end on another version",
    .begin = fail_swaps_elsewhere,
    .end = await_swaps_elsewhere,
    .lasting = TRUE,
    .mixed = TRUE,
    .wrong = TRUE },
  { .name = "engine process ends and comes back",
    .begin = crash_engine,
    .end = restart_struck,
    .hold_ms = 500,
    .lasting = TRUE,
    .moved = TRUE },
  { .name = "ledger leader killed", .begin = kill_leader, .end = restart_struck, .hold_ms = 1000 },
  { .name = "ledger leader frozen for three seconds",
    .begin = freeze_leader,
    .end = thaw_leader,
    .hold_ms = 3000 },
  { .name = "ledger leader's data folder lost, then another's",
    .begin = lose_leader_folder,
    .end = join_then_lose_another,
    .recover = rejoin_second,
    .hold_ms = 300 },
  { .name = "ledger follower's data folder lost, then another's",
    .begin = lose_follower_folder,
    .end = join_then_lose_another,
    .recover = rejoin_second,
    .hold_ms = 300 },
  { .name = "agent killed and started again", .begin = kill_agent, .end = restart_struck, .hold_ms = 300 },
  { .name = "submit cut in the request",
    .at_start = TRUE,
    .begin = cut_in_request,
    .end = end_cuts,
    .hold_ms = 100 },
  { .name = "submit's answer lost",
    .at_start = TRUE,
    .begin = lose_answers,
    .end = cut_unanswered,
    .hold_ms = 800 },
  { .name = "pull cut in the batch", .begin = cut_in_batch, .end = end_cuts, .hold_ms = 500 },
  { .name = "pull's answer lost", .begin = lose_answers, .end = cut_unanswered, .hold_ms = 2000 },
  { .name = "key-value service down throughout",
    .at_start = TRUE,
    .begin = stop_key_values,
    .recover = resume_key_values },
  { .name = "key-value service down, ledger leader killed",
    .begin = stop_key_values_kill_leader,
    .end = restart_struck,
    .recover = resume_key_values,
    .hold_ms = 500 },
  { .name = "ledger leader cut from the others", .begin = cut_leader, .end = rejoin_leader, .hold_ms = 1500 },
  { .name = "ledger leader frozen, agent killed",
    .begin = freeze_leader_kill_agent,
    .end = thaw_leader,
    .hold_ms = 2500 },
  { .name = "ledger follower's data folder lost, engine process ends",
    .begin = lose_follower_folder_crash_engine,
    .end = rejoin_first_restart_engine,
    .hold_ms = 500 },
};

const guint n_fault_cases = G_N_ELEMENTS (fault_cases);
