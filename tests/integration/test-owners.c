/*
 * test-owners.c: an engine that begins to leave gets no new work 3 s later, also when
 * the node that owns it in its zone fails at that very moment.
 *
 * There is one zone, so that no node of another one tells of the sign.  Of each
 * engine one node is the owner, one the spare, and the others hear of it from
 * the owner alone; only the first node, which leads the ledger, polls all engines
 * in any case, so the engine that leaves is one that it owns.
 */
#include "harness.h"

#include <quince/ownership.h>
#include <quince/task.h>

#define ZONE "z1"
#define NODES 4
#define ONE_ZONE "[zone " ZONE "]\nnodes = 4\nagents = 2\n"
#define FOREIGN_MOST 32
#define TOKENS 20
#define CALLS 480
#define SPREAD_MS 5600
#define PROMISE_MS 3000 /* from the first sign to the last new work */
#define RETRIES 6       /* of a caller that is told "not run"       */
#define GRANT_MS 1500   /* what was granted before may start so long after */

typedef struct _Scene Scene;

/**
 * OwnerCase:
 * @duties: what the nodes that fail do about the engine, from this duty up
 * @known_ms: from the sign until the other nodes give the engine no work, without any caller
 * @strike: fails one of them right when the engine says that it leaves
 * @mend: ends the fault later than the promised time, while calls still come
 */
typedef struct
{
  const char *name;
  QuinceDuty duties;
  gint64 known_ms;
  void (*strike) (Scene *scene, QuinceClusterPart *node);
  void (*mend) (Scene *scene, QuinceClusterPart *node);
} OwnerCase;

/* A deployment of its own for each case. */
struct _Scene
{
  QuinceCluster *cluster;
  QuinceClusterPart *engine;
  GPtrArray *struck; /* QuinceClusterPart, not owned */
  guint64 seed;
};

/* ---- Faults -------------------------------------------------------------------- */

static void
kill_node (Scene *scene, QuinceClusterPart *node)
{
  quince_process_kill (node->process);
}

static void
restart_node (Scene *scene, QuinceClusterPart *node)
{
  harness_restart (scene->cluster, node);
}

static void
freeze_node (Scene *scene, QuinceClusterPart *node)
{
  quince_process_freeze (node->process);
}

static void
thaw_node (Scene *scene, QuinceClusterPart *node)
{
  quince_process_thaw (node->process);
}

static void
cut_node (Scene *scene, QuinceClusterPart *node)
{
  assert_true (quince_cluster_set_route_faults (scene->cluster, node, "{\"cut\":true}"));
}

static void
join_node (Scene *scene, QuinceClusterPart *node)
{
  assert_true (quince_cluster_set_route_faults (scene->cluster, node, "{\"cut\":false}"));
}

/* ---- Owners -------------------------------------------------------------------- */

static gboolean
sees_all_alive (QuinceClusterPart *node)
{
  g_autoptr (JsonNode) status = harness_read_status (node);
  JsonArray *members = quince_json_dig_array (status, "members");
  guint alive = 0;
  for (guint i = 0; members != NULL && i < json_array_get_length (members); i++)
    alive += g_str_equal (quince_json_dig_text (json_array_get_element (members, i), "state", ""), "alive");
  return alive == NODES;
}

static gboolean
uses_engine (Scene *scene, QuinceClusterPart *node)
{
  g_autoptr (JsonNode) status = harness_read_status (node);
  JsonArray *engines = quince_json_dig_array (status, "engines");
  for (guint i = 0; engines != NULL && i < json_array_get_length (engines); i++)
    {
      JsonNode *engine = json_array_get_element (engines, i);
      JsonArray *leaving = quince_json_dig_array (engine, "leaving");
      if (g_str_equal (quince_json_dig_text (engine, "name", ""), scene->engine->name))
        return leaving != NULL && json_array_get_length (leaving) == 0;
    }
  return FALSE;
}

static QuinceDuty
duty_of (Scene *scene, const QuinceClusterPart *node, const QuinceClusterPart *engine)
{
  QuinceClusterPart *part;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  g_autoptr (QuinceOwnership) ownership = quince_ownership_new (node->name, ZONE, FOREIGN_MOST);
  for (guint i = 0; (part = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    g_ptr_array_add (names, part->name);
  assert_int_equal (names->len, NODES);
  quince_ownership_set_nodes (ownership, names);
  quince_ownership_add_engine (ownership, engine->name, engine->service, engine->zone);
  return quince_ownership_get_duty (ownership, engine->name);
}

static QuinceClusterPart *
find_engine (Scene *scene)
{
  QuinceClusterPart *engine;
  const QuinceClusterPart *first = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, 0);
  for (guint i = 0; (engine = quince_cluster_get (scene->cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    if (duty_of (scene, first, engine) == QUINCE_DUTY_OWN)
      return engine;
  fail_msg ("%s owns no engine", first->name);
  return NULL;
}

static void
find_struck (Scene *scene, QuinceDuty duties)
{
  QuinceClusterPart *node;
  for (guint i = 0; (node = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    if (duty_of (scene, node, scene->engine) >= duties)
      g_ptr_array_add (scene->struck, node);
  assert_int_equal (scene->struck->len, duties == QUINCE_DUTY_OWN ? 1 : 2);
}

/* Whether the nodes that were not struck give the engine work, or give it none, by their own status. */
static gboolean
others_use_engine (Scene *scene, gboolean use)
{
  QuinceClusterPart *node;
  for (guint i = 0; (node = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    if (!g_ptr_array_find (scene->struck, node, NULL) && uses_engine (scene, node) != use)
      return FALSE;
  return TRUE;
}

/* ---- The promise ---------------------------------------------------------------- */

static QuinceLoad *
new_load (Scene *scene)
{
  QuinceLoad *load = quince_load_new (++scene->seed);
  g_autofree char *joined = quince_cluster_join_http (scene->cluster, QUINCE_PART_AGENT);
  g_auto (GStrv) agents = g_strsplit (joined, ";", -1);
  harness_add_lookups (scene->cluster, load, CALLS, TOKENS, TRUE, FALSE, 0, SPREAD_MS);
  quince_load_set_retries (load, (const char *const *)agents, RETRIES);
  return load;
}

/* All nodes are well and use the engine. */
static void
await_well (Scene *scene)
{
  QuinceClusterPart *node;
  for (guint i = 0; (node = quince_cluster_get (scene->cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    HARNESS_AWAIT (sees_all_alive (node) && uses_engine (scene, node));
}

/* Has the engine say that it leaves, and fails its owner in the same moment. */
static void
leave_and_strike (Scene *scene, const OwnerCase *owner_case)
{
  assert_true (quince_set_faults (scene->engine->control, "{\"leaving\":true}"));
  for (guint i = 0; i < scene->struck->len; i++)
    owner_case->strike (scene, scene->struck->pdata[i]);
}

static void
mend_all (Scene *scene, const OwnerCase *owner_case)
{
  for (guint i = 0; i < scene->struck->len; i++)
    owner_case->mend (scene, scene->struck->pdata[i]);
}

/* No caller: an agent would tell the nodes that the engine refused it. */
static void
assert_known_without_callers (Scene *scene, const OwnerCase *owner_case)
{
  await_well (scene);
  gint64 sign_us = quince_now_us ();
  leave_and_strike (scene, owner_case);
  HARNESS_AWAIT (others_use_engine (scene, FALSE));
  gint64 took_ms = (quince_now_us () - sign_us) / 1000;
  print_message ("  known_after_ms=%d\n", (int)took_ms);
  assert_true (took_ms <= owner_case->known_ms);
  mend_all (scene, owner_case);
  assert_true (quince_set_faults (scene->engine->control, "{\"leaving\":false}"));
  await_well (scene);
}

static void
assert_no_new_work (Scene *scene, const OwnerCase *owner_case)
{
  g_autoptr (QuinceLoad) load = new_load (scene);
  HarnessLoad *running = harness_run_load (load);
  HARNESS_AWAIT (harness_engine_running (scene->engine) > 0);
  gint64 bound_ms = quince_now_us () / 1000 + PROMISE_MS;
  leave_and_strike (scene, owner_case);
  HARNESS_AWAIT (quince_now_us () / 1000 > bound_ms);
  gint64 refused = harness_engine_count (scene->engine, "refused");
  mend_all (scene, owner_case);
  harness_join_load (running);
  guint others = 0;
  QuinceClusterPart *engine;
  for (guint i = 0; (engine = quince_cluster_get (scene->cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    others += harness_count_starts_after (engine, bound_ms);
  assert_int_equal (harness_count_starts_after (scene->engine, bound_ms), 0);
  assert_int_equal (harness_engine_count (scene->engine, "refused"), refused);
  assert_true (others > 0);
  QuinceVerdictOfCalls verdict = harness_assert_calls (scene->cluster, load);
  assert_int_equal (verdict.unknown + verdict.cut, 0);
}

static void
test_owner (void **state)
{
  const OwnerCase *owner_case = *state;
  Scene scene = { .cluster = harness_start_zones ("owners", ONE_ZONE, NULL) };
  scene.struck = g_ptr_array_new ();
  scene.engine = find_engine (&scene);
  find_struck (&scene, owner_case->duties);
  assert_known_without_callers (&scene, owner_case);
  assert_no_new_work (&scene, owner_case);
  g_ptr_array_unref (scene.struck);
  harness_stop (scene.cluster);
}

static const OwnerCase owner_cases[] = {
  { "owner killed", QUINCE_DUTY_OWN, PROMISE_MS - GRANT_MS, kill_node, restart_node },
  { "owner frozen", QUINCE_DUTY_OWN, PROMISE_MS - GRANT_MS, freeze_node, thaw_node },
  { "owner hears nothing of its peers", QUINCE_DUTY_OWN, PROMISE_MS - GRANT_MS, cut_node, join_node },
  { "owner and spare frozen", QUINCE_DUTY_SPARE, PROMISE_MS, freeze_node, thaw_node },
};

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  struct CMUnitTest tests[G_N_ELEMENTS (owner_cases)] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (owner_cases); i++)
    tests[i] = (struct CMUnitTest){ .name = owner_cases[i].name,
                                    .test_func = test_owner,
                                    .initial_state = (gpointer)&owner_cases[i] };
  return cmocka_run_group_tests_name ("owners", tests, NULL, NULL);
}
