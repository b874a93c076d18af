/*
 * test-hand-over.c: what is handed over to a trainer is fresh by the trainer's own
 * version, also when that advances while a batch waits, and what is acknowledged
 * stays.  The test is the trainer itself.
 */
#include "harness.h"

#include <string.h>

#include <quince/request-id.h>

#define CALL_MS 15000
#define BATCH 6 /* samples */
#define BATCH_TOKENS 30u

/* One deployment, shared by the cases until one of them fails. */
typedef struct
{
  QuinceCluster *cluster;
  QuinceClusterPart *leader; /* struck by the running case          */
  guint64 version;           /* newest in the weight store          */
  guint trainers;            /* so far; their names differ          */
  gboolean sound;            /* the last case came to its end       */
} Scene;

static Scene scene_of_tests;

static QuinceClusterPart *
get_leader (Scene *scene)
{
  QuinceClusterPart *leader = quince_cluster_await_leader (scene->cluster, HARNESS_WAIT_MS);
  assert_non_null (leader);
  return leader;
}

static void
kill_leader (Scene *scene)
{
  scene->leader = get_leader (scene);
  quince_process_kill (scene->leader->process);
}

static void
restart_leader (Scene *scene)
{
  harness_restart (scene->cluster, scene->leader);
}

static void
freeze_leader (Scene *scene)
{
  scene->leader = get_leader (scene);
  quince_process_freeze (scene->leader->process);
}

static void
thaw_leader (Scene *scene)
{
  quince_process_thaw (scene->leader->process);
}

/* ---- Staleness at hand-over --------------------------------------------------------- */

typedef struct
{
  const char *name;
  void (*begin) (Scene *scene);
  void (*end) (Scene *scene);
} HandOverCase;

static const HandOverCase hand_over_cases[] = {
  { .name = "versions advance" },
  { .name = "versions advance, ledger leader killed", .begin = kill_leader, .end = restart_leader },
  { .name = "versions advance, ledger leader frozen", .begin = freeze_leader, .end = thaw_leader },
};

static char *
make_prompt (guint trainer, guint sample)
{
  return g_strdup_printf ("hand over trainer=%u len=%u sample=%u", trainer, BATCH_TOKENS, sample);
}

/* Returns: HTTP status of @call of the test's own trainer. */
static guint
call_agent (Scene *scene, guint agent, const char *call, const char *body, JsonNode **answer)
{
  g_autofree char *path = g_str_equal (call, "submit")
                              ? g_strdup ("/v1/rollouts")
                              : g_strdup_printf ("/v1/trainers/hand%u/%s", scene->trainers, call);
  return quince_http_sync (harness_get_part (scene->cluster, QUINCE_PART_AGENT, agent)->http, path, body,
                           CALL_MS, answer);
}

/* A rollout of BATCH samples. (transfer full) */
static char *
format_batch (guint trainer)
{
  GString *body = g_string_new (NULL);
  g_string_append_printf (
      body,
      "{\"trainer\":\"hand%u\",\"rollout_id\":\"r\",\"service\":\"model\",\"member\":\"m1\","
      "\"step\":1,\"staleness_bound\":1,\"samples\":[",
      trainer);
  for (guint i = 0; i < BATCH; i++)
    {
      g_autofree char *prompt = make_prompt (trainer, i);
      g_string_append_printf (body, "%s{\"sample_id\":\"%u\",\"prompt\":\"%s\",\"max_tokens\":%u}",
                              i > 0 ? "," : "", i, prompt, BATCH_TOKENS);
    }
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

static void
submit_batch (Scene *scene)
{
  g_autofree char *body = format_batch (++scene->trainers);
  HARNESS_AWAIT (call_agent (scene, 0, "submit", body, NULL) == 200);
}

static guint
pull (Scene *scene, guint agent, guint64 version, JsonNode **batch)
{
  g_autofree char *body
      = g_strdup_printf ("{\"step\":1,\"version\":%" G_GUINT64_FORMAT ",\"wait_ms\":500}", version);
  return call_agent (scene, agent, "pull", body, batch);
}

static gboolean
is_whole (Scene *scene, guint agent, guint64 version, JsonNode **batch)
{
  g_clear_pointer (batch, json_node_unref);
  return pull (scene, agent, version, batch) == 200;
}

/* Pulls until the batch is whole. (transfer full) */
static JsonNode *
await_batch (Scene *scene, guint agent, guint64 version)
{
  JsonNode *batch = NULL;
  HARNESS_AWAIT (is_whole (scene, agent, version, &batch));
  return batch;
}

/* All samples are there, each made as it says, with no token below @least. */
static void
assert_fresh (Scene *scene, JsonNode *batch, gint64 least)
{
  g_autoptr (QuinceProductions) productions = quince_productions_collect (scene->cluster);
  JsonArray *samples = quince_json_dig_array (batch, "samples");
  assert_non_null (samples);
  assert_int_equal (json_array_get_length (samples), BATCH);
  for (guint i = 0; i < BATCH; i++)
    {
      JsonNode *sample = json_array_get_element (samples, i);
      guint number = (guint)g_ascii_strtoull (quince_json_dig_text (sample, "sample_id", ""), NULL, 10);
      g_autofree char *prompt = make_prompt (scene->trainers, number);
      g_autofree char *hash
          = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", quince_hash64 (prompt, strlen (prompt), 0));
      JsonArray *segments = quince_json_dig_array (sample, "segments");
      harness_assert_produced (productions, hash, sample);
      for (guint j = 0; j < json_array_get_length (segments); j++)
        {
          gint64 version = quince_json_dig_int (json_array_get_element (segments, j), "weight_version", -1);
          if (version < least)
            fail_msg ("sample %u has version %d, below %d", number, (int)version, (int)least);
        }
    }
}

static void
assert_same_batch (Scene *scene, JsonNode *batch, guint agent, guint64 version)
{
  g_autoptr (JsonNode) again = await_batch (scene, agent, version);
  g_autofree char *expected = json_to_string (batch, FALSE);
  g_autofree char *text = json_to_string (again, FALSE);
  assert_string_equal (text, expected);
}

static void
publish (Scene *scene, guint64 version)
{
  g_autofree char *body = g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", version);
  assert_int_equal (quince_http_sync (harness_get_part (scene->cluster, QUINCE_PART_WEIGHTS, 0)->http,
                                      "/versions", body, CALL_MS, NULL),
                    200);
  scene->version = version;
}

static gint64
count_regenerated (Scene *scene)
{
  g_autoptr (JsonNode) status = harness_read_status (get_leader (scene));
  return quince_json_dig_int (status, "ledger.regenerated", -1);
}

/* A batch that was whole, and handed over, is too old two versions later; the greater version
 * holds from then on, also for a pull that names the older one. */
static void
test_hand_over (void **state)
{
  const HandOverCase *fault = *state;
  Scene *scene = &scene_of_tests;
  guint64 version = scene->version;
  submit_batch (scene);
  g_autoptr (JsonNode) batch = await_batch (scene, 0, version);
  assert_fresh (scene, batch, (gint64)version - 1);
  assert_same_batch (scene, batch, 1, version);
  gint64 regenerated = count_regenerated (scene);
  assert_int_equal (pull (scene, 2, version + 2, NULL), 202);
  if (fault->begin != NULL)
    fault->begin (scene);
  publish (scene, version + 2);
  g_autoptr (JsonNode) fresh = await_batch (scene, 1, version);
  assert_fresh (scene, fresh, (gint64)version + 1);
  if (fault->end != NULL)
    fault->end (scene);
  harness_await_ready (scene->cluster);
  assert_same_batch (scene, fresh, 2, version + 2);
  assert_same_batch (scene, fresh, 0, version);
  assert_int_equal (count_regenerated (scene), regenerated + BATCH);
  HARNESS_AWAIT (call_agent (scene, 0, "release", "{\"step\":1}", NULL) == 200);
  HARNESS_AWAIT (pull (scene, 1, version + 2, NULL) == 410);
  scene->sound = TRUE;
}

/* ---- Acknowledgement ------------------------------------------------------------------- */

/* The agent of @node's zone. */
static guint
find_agent (Scene *scene, const QuinceClusterPart *node)
{
  guint agents = quince_cluster_count (scene->cluster, QUINCE_PART_AGENT);
  for (guint i = 0; i < agents; i++)
    if (g_str_equal (harness_get_part (scene->cluster, QUINCE_PART_AGENT, i)->zone, node->zone))
      return i;
  fail_msg ("no agent in %s", node->zone);
  return 0;
}

/* The leader alone must not acknowledge: it dies, and the others never had the rollout. */
static void
test_acknowledged_by_majority (void **state)
{
  Scene *scene = &scene_of_tests;
  QuinceClusterPart *leader = get_leader (scene);
  QuinceClusterPart *others[2] = { harness_get_other_node (scene->cluster, leader, NULL), NULL };
  others[1] = harness_get_other_node (scene->cluster, leader, others[0]);
  g_autofree char *body = format_batch (++scene->trainers);
  guint agent = find_agent (scene, leader);
  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    quince_process_freeze (others[i]->process);
  if (call_agent (scene, agent, "submit", body, NULL) == 200)
    fail_msg ("%s", "acknowledged by one replica of three");
  quince_process_kill (leader->process);
  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    quince_process_thaw (others[i]->process);
  harness_restart (scene->cluster, leader);
  harness_await_ready (scene->cluster);
  HARNESS_AWAIT (call_agent (scene, 0, "submit", body, NULL) == 200);
  g_autoptr (JsonNode) batch = await_batch (scene, 1, scene->version);
  assert_fresh (scene, batch, (gint64)scene->version - 1);
  scene->sound = TRUE;
}

/* ---- Running ---------------------------------------------------------------------------- */

static void
stop_scene (Scene *scene)
{
  if (scene->cluster != NULL)
    harness_stop (scene->cluster);
  scene->cluster = NULL;
}

/* A failed case may leave anything behind: the next one gets a deployment of its own. */
static int
prepare (void **state)
{
  Scene *scene = &scene_of_tests;
  if (!scene->sound)
    {
      stop_scene (scene);
      scene->cluster = harness_start ("hand-over", NULL);
      scene->version = 1;
      scene->trainers = 0;
    }
  scene->sound = FALSE;
  return 0;
}

static int
stop_all (void **state)
{
  stop_scene (&scene_of_tests);
  return 0;
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  struct CMUnitTest tests[G_N_ELEMENTS (hand_over_cases) + 1] = {
    cmocka_unit_test_setup (test_acknowledged_by_majority, prepare),
  };
  for (guint i = 0; i < G_N_ELEMENTS (hand_over_cases); i++)
    tests[i + 1] = (struct CMUnitTest){ .name = hand_over_cases[i].name,
                                        .test_func = test_hand_over,
                                        .setup_func = prepare,
                                        .initial_state = (gpointer)&hand_over_cases[i] };
  return cmocka_run_group_tests_name ("hand-over", tests, NULL, stop_all);
}
