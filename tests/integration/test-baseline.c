/*
 * test-baseline.c: the plain router that experiments compare with gives every
 * caller a whole answer and every trainer its samples, also when an engine
 * crashes: a comparison with a broken router would be worth nothing.
 */
#include "harness.h"

#include "cluster-router.h"

#define CALLS 60
#define TOKENS 20
#define STEPS 3
#define SAMPLES 24
#define STREAMS 2

static const char deployment_text[] = "[deployment]\nname = baseline\npolicy = none.lua\n"
                                      "[zone z1]\n"
                                      "[service model]\nworkers = 3\nswap = 50ms\n"
                                      "[trainer t]\nservice = model\nsteps = 3\nsamples = 24\ntokens = 32\n"
                                      "step_time = 50ms\nstaleness_bound = 1\nahead = 1\n";

typedef struct
{
  const char *name;
  const char *mode;
  gboolean crash; /* of an engine, while samples run */
} RouterCase;

static const RouterCase cases[] = {
  { "round_robin", "round_robin", FALSE },
  { "least_outstanding", "least_outstanding", FALSE },
  { "prefix_hash", "prefix_hash", FALSE },
  { "an engine crashes", "least_outstanding", TRUE },
};

static QuinceCluster *
start (const RouterCase *router_case, char **folder)
{
  g_autoptr (GError) error = NULL;
  *folder = g_dir_make_tmp ("quince-baseline-XXXXXX", NULL);
  assert_non_null (*folder);
  g_autofree char *path = g_build_filename (*folder, "deployment.ini", NULL);
  assert_true (g_file_set_contents (path, deployment_text, -1, NULL));
  QuinceDeployment *deployment = quince_deployment_load (path, &error);
  assert_non_null (deployment);
  quince_deployment_remove_service (deployment);
  QuinceCluster *cluster = quince_cluster_start (g_getenv ("QUINCE_BUILD_DIR"), *folder, deployment, &error);
  if (cluster == NULL || !quince_cluster_add_routers (cluster, router_case->mode, &error))
    fail_msg ("%s", error->message);
  return cluster;
}

static void
test_router (void **state)
{
  const RouterCase *router_case = *state;
  g_autofree char *folder = NULL;
  QuinceCluster *cluster = start (router_case, &folder);
  QuinceClusterPart *trainer = harness_start_trainer (cluster);
  g_autoptr (QuinceLoad) load = quince_load_new (1);
  for (guint i = 0; i < STREAMS; i++)
    harness_add_lookups (cluster, load, CALLS, TOKENS, TRUE, i != 0, 0, 0);
  if (router_case->crash)
    {
      QuinceClusterPart *engine = quince_cluster_get (cluster, QUINCE_PART_ENGINE, 0);
      HARNESS_AWAIT (harness_engine_count (engine, "started") > 0);
      assert_true (quince_set_faults (engine->control, "{\"crash_ms\":500}"));
    }
  harness_join_load (harness_run_load (load));
  harness_assert_trained (cluster, trainer, STEPS, SAMPLES);
  QuinceVerdictOfCalls verdict = harness_assert_calls (cluster, load);
  if (!router_case->crash)
    assert_int_equal (verdict.answered, STREAMS * CALLS);
  quince_cluster_free (cluster);
  harness_remove_folder (folder);
}

int
main (int argc, char **argv)
{
  struct CMUnitTest tests[G_N_ELEMENTS (cases)] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].name,
                                    .test_func = test_router,
                                    .initial_state = (gpointer)&cases[i] };
  return cmocka_run_group_tests_name ("baseline", tests, NULL, NULL);
}
