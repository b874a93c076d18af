/*
 * test-node-weights.c: a node that leads the ledger brings the newest weight
 * version to its engine, also after swaps that went wrong.
 */
#include "node-fixture.h"

#include <glib/gstdio.h>

typedef struct
{
  const char *name;
  const char *faults; /* of the engine, set before the new version appears  */
} SwapCase;

static const SwapCase swap_cases[] = {
  { "no fault", "{}" },
  { "old version stays", "{\"swap_fail\":\"keep\",\"swap_fail_times\":1}" },
  { "ends on another version", "{\"swap_fail\":\"other\",\"swap_other_version\":3,\"swap_fail_times\":1}" },
};

static gint64
engine_version (Deployment *deployment)
{
  g_autoptr (JsonNode) load = NULL;
  assert_int_equal (http (deployment->session, deployment->engine_http, "/admin/load", NULL, &load), 200);
  return json_object_get_int_member (json_node_get_object (load), "weight_version");
}

/* The second node of the fixture, with a ledger of its own and the weight store. */
static void
start_leader (Deployment *deployment, const char *folder, const char *store)
{
  g_autofree char *folder_setting = g_strdup_printf ("ledger.folder=%s", folder);
  g_autofree char *store_setting = g_strdup_printf ("platform.weights=%s", store);
  const char *const more[]
      = { folder_setting,      store_setting, "ledger.voters=1", "weights.poll_interval=50ms",
          "weights.settle=1s", NULL };
  deployment->second = start_node_named (deployment, "n2", deployment->node_gossip, more);
  deployment->second_http = ready_value (deployment->second, "http");
}

static void
remove_folder (const char *folder)
{
  g_autoptr (GDir) dir = g_dir_open (folder, 0, NULL);
  const char *name;
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      g_unlink (path);
    }
  g_rmdir (folder);
}

static void
test_newest_version_reaches_the_engine (void **state)
{
  Deployment *deployment = *state;
  g_autofree char *folder = g_dir_make_tmp ("quince-node-XXXXXX", NULL);
  const char *const arguments[] = { "weights", NULL };
  Program *weights = program_start ("rehearsal/quinceroute-rehearsal", arguments);
  g_autofree char *store = ready_value (weights, "http");
  start_leader (deployment, folder, store);
  for (guint i = 0; i < G_N_ELEMENTS (swap_cases); i++)
    {
      gint64 version = 8 + i;
      g_autofree char *body = g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT "}", version);
      guint status
          = http (deployment->session, deployment->engine_http, "/_faults", swap_cases[i].faults, NULL);
      if (status != 200)
        fail_msg ("%s: faults not taken", swap_cases[i].name);
      assert_int_equal (http (deployment->session, store, "/versions", body, NULL), 200);
      WAIT_UNTIL (engine_version (deployment) == version);
      WAIT_UNTIL (status_number (deployment, deployment->second_http, "weights", "current") == 1);
    }
  assert_true (status_number (deployment, deployment->second_http, "weights", "failures") >= 2);
  program_stop (weights, SIGKILL);
  remove_folder (folder);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_newest_version_reaches_the_engine, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
