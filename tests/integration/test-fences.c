/*
 * test-fences.c: a ledger leader is paused while its weight orders are on their
 * way; another one leads and brings a newer version; then the old orders arrive
 * and the old leader goes on.
 *
 * The judges are the engines' own records: orders refused for a stale fence, and
 * the version that each engine runs.
 */
#include "harness.h"

#define ATTEMPTS 10
#define ORDER_MS 3000 /* above the interval at which nodes ask the weight store */
#define LOOKS 20      /* reads of a status, each a round of the node's main loop */
#define CALLS 60
#define TOKENS 20

typedef struct
{
  QuinceCluster *cluster;
  GPtrArray *leader;  /* the old leader alone */
  GPtrArray *engines; /* all of them          */
  guint version;      /* published last       */
} Scene;

static gint64
read_field (QuinceClusterPart *node, const char *path)
{
  g_autoptr (JsonNode) status = harness_read_status (node);
  return quince_json_dig_int (status, path, 0);
}

static void
publish (Scene *scene)
{
  QuinceClusterPart *store = quince_cluster_get (scene->cluster, QUINCE_PART_WEIGHTS, 0);
  g_autofree char *body = g_strdup_printf ("{\"version\":%u}", ++scene->version);
  assert_int_equal (quince_http_sync (store->http, "/versions", body, HARNESS_WAIT_MS, NULL), 200);
}

static gboolean
engines_run (Scene *scene, guint version)
{
  for (guint i = 0; i < scene->engines->len; i++)
    {
      const QuinceClusterPart *engine = scene->engines->pdata[i];
      g_autoptr (JsonNode) load = NULL;
      quince_http_sync (engine->http, "/admin/load", NULL, HARNESS_WAIT_MS, &load);
      if (quince_json_dig_int (load, "weight_version", 0) != version)
        return FALSE;
    }
  return TRUE;
}

static gint64
count_stale_fences (Scene *scene)
{
  gint64 count = 0;
  for (guint i = 0; i < scene->engines->len; i++)
    count += harness_engine_count (scene->engines->pdata[i], "stale_fences");
  return count;
}

/* Whether the leader ordered something before it missed the engines' reports. */
static gboolean
await_order (QuinceClusterPart *leader)
{
  gint64 end_us = g_get_monotonic_time () + ORDER_MS * 1000;
  while (read_field (leader, "weights.staging") == 0)
    if (g_get_monotonic_time () > end_us)
      return FALSE;
  /* The orders leave the process. */
  for (guint i = 0; i < LOOKS; i++)
    read_field (leader, "weights.staging");
  return TRUE;
}

/* Orders of the leader are held on their way to the engines. */
static void
hold_orders (Scene *scene)
{
  for (guint i = 0; i < ATTEMPTS; i++)
    {
      assert_true (quince_cluster_separate (scene->cluster, scene->leader, scene->engines));
      publish (scene);
      if (await_order (scene->leader->pdata[0]))
        return;
      assert_true (quince_cluster_reunite (scene->cluster));
      HARNESS_AWAIT (engines_run (scene, scene->version));
    }
  fail_msg ("%s", "the leader never ordered in time");
}

static gboolean
is_led_by_another (Scene *scene)
{
  QuinceClusterPart *node;
  for (guint i = 0; (node = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    {
      if (node == scene->leader->pdata[0])
        continue;
      g_autoptr (JsonNode) status = harness_read_status (node);
      if (g_str_equal (quince_json_dig_text (status, "ledger.role", ""), "leader"))
        return TRUE;
    }
  return FALSE;
}

static void
test_paused_leader_goes_on (void **state)
{
  Scene scene = { .cluster = harness_start ("fences", NULL),
                  .leader = g_ptr_array_new (),
                  .engines = g_ptr_array_new (),
                  .version = 1 };
  QuinceClusterPart *engine;
  for (guint i = 0; (engine = quince_cluster_get (scene.cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    g_ptr_array_add (scene.engines, engine);
  HARNESS_AWAIT (engines_run (&scene, scene.version));
  QuinceClusterPart *leader = quince_cluster_await_leader (scene.cluster, HARNESS_WAIT_MS);
  g_ptr_array_add (scene.leader, leader);
  g_autoptr (QuinceLoad) load = quince_load_new (1);
  harness_add_lookups (scene.cluster, load, CALLS, TOKENS, FALSE, TRUE, 0, 4000);
  HarnessLoad *running = harness_run_load (load);
  hold_orders (&scene);
  quince_process_freeze (leader->process);
  HARNESS_AWAIT (is_led_by_another (&scene));
  publish (&scene);
  HARNESS_AWAIT (engines_run (&scene, scene.version));
  assert_int_equal (count_stale_fences (&scene), 0);
  assert_true (quince_cluster_reunite (scene.cluster));
  quince_process_thaw (leader->process);
  HARNESS_AWAIT (count_stale_fences (&scene) > 0);
  harness_await_ready (scene.cluster);
  assert_true (engines_run (&scene, scene.version));
  harness_join_load (running);
  harness_assert_calls (scene.cluster, load);
  print_message ("  stale_fences=%d\n", (int)count_stale_fences (&scene));
  /* The present leader's orders are taken. */
  publish (&scene);
  HARNESS_AWAIT (engines_run (&scene, scene.version));
  g_ptr_array_unref (scene.leader);
  g_ptr_array_unref (scene.engines);
  harness_stop (scene.cluster);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_paused_leader_goes_on) };
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests_name ("fences", tests, NULL, NULL);
}
