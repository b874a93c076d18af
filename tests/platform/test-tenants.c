/*
 * test-tenants.c: API keys and tenants on the whole path, and where a key must never be found.
 */
#include "tenants-world.h"

#include <stdlib.h>

#define ITEMS 6
/* The bound for changes of the configuration that the users' deployments set, ms. */
#define APPLY_MS 3000

static PathWorld *
start_world (const char *name)
{
  PathWorld *world = path_world_new (name);
  tenants_world_start (world);
  return world;
}

/* The run of request @id at a plain worker, or NULL. */
static const StandinRun *
find_run (PathWorld *world, const char *id)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->plain[i]);
      for (guint j = 0; j < runs->len; j++)
        if (g_strcmp0 (((const StandinRun *)runs->pdata[j])->id, id) == 0)
          return runs->pdata[j];
    }
  return NULL;
}

/* ---- Lookups ------------------------------------------------------------- */

/* Failed first: the key reached the worker, and no tenant was named. */
static void
test_keys_of_lookups (void **state)
{
  PathWorld *world = start_world ("keys");
  const char *front = path_front (world, 0);
  assert_int_equal (status_with_key (front, "POST", "/l/1", "none", "x", NULL), 401);
  assert_int_equal (status_with_key (front, "POST", "/l/1", "unknown", "x", KEY_UNKNOWN), 401);
  assert_int_equal (status_with_key (front, "POST", "/nowhere/1", "lost", "x", KEY_A1), 404);
  assert_null (find_run (world, "none"));
  assert_null (find_run (world, "unknown"));
  assert_int_equal (status_with_key (front, "POST", "/l/1", "of-a", "x", KEY_A2), 200);
  assert_string_equal (find_run (world, "of-a")->tenant, "tenant-a");
  assert_null (find_run (world, "of-a")->api_key);
  assert_int_equal (status_with_key (front, "POST", "/l/1", "of-b", "x", KEY_B1), 200);
  assert_string_equal (find_run (world, "of-b")->tenant, "tenant-b");
  /* A public route needs no key; what a caller says of its tenant is never passed on. */
  PathAnswer answer;
  path_start_call_with_header (front, "POST", "/p/1", "open", "x", "Tenant", "tenant-b", &answer);
  AWAIT (answer.done);
  assert_int_equal (answer.status, 200);
  path_answer_clear (&answer);
  assert_null (find_run (world, "open")->tenant);
  assert_int_equal (status_with_key (front, "POST", "/p/1", "open-a", "x", KEY_A1), 200);
  assert_string_equal (find_run (world, "open-a")->tenant, "tenant-a");
  assert_null (find_run (world, "open-a")->api_key);
  path_world_free (world);
}

/* A process that knows no configuration yet refuses nobody for a key. */
static void
test_no_configuration_yet (void **state)
{
  PathWorld *world = path_world_new ("unconfigured");
  path_start_front (world, 0);
  const char *front = path_front (world, 0);
  assert_int_equal (status_with_key (front, "POST", "/l/1", "r", "x", KEY_UNKNOWN), 503);
  assert_int_equal (status_with_key (front, "GET", "/quinceroute/lots/b", "r", NULL, KEY_UNKNOWN), 503);
  path_world_free (world);
}

static void
await_refused (PathWorld *world, const char *key)
{
  gint64 begun = g_get_monotonic_time ();
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (status_with_key (path_front (world, i), "POST", "/l/1", "w", "x", key) == 401);
  gint64 took_ms = (g_get_monotonic_time () - begun) / 1000;
  if (took_ms > APPLY_MS)
    fail_msg ("a withdrawn key was taken for %d ms", (int)took_ms);
}

static void
test_withdrawn_key (void **state)
{
  PathWorld *world = start_world ("withdrawn");
  tenants_configure (world, 8, TENANTS_KEY_REVOKED);
  await_refused (world, KEY_A1);
  for (guint i = 0; i < PATH_FRONTS; i++)
    assert_int_equal (status_with_key (path_front (world, i), "POST", "/l/1", "s", "x", KEY_A2), 200);
  /* An older configuration never brings it back, a front that starts anew neither. */
  tenants_configure (world, 7, TENANTS_ALL);
  quince_process_kill (world->fronts[0]);
  path_start_front (world, 0);
  tenants_configure (world, 9, TENANTS_KEY_REVOKED);
  AWAIT (status_with_key (path_front (world, 0), "POST", "/l/1", "t", "x", KEY_A2) == 200);
  await_refused (world, KEY_A1);
  path_world_free (world);
}

/* ---- Batches --------------------------------------------------------------- */

static char *
batch_text (const char *batch)
{
  g_autofree char *text = path_make_batch (batch, ITEMS);
  g_auto (GStrv) parts = g_strsplit (text, "{\"Model\":", -1);
  return g_strjoinv ("{\"Tenant\":\"tenant-b\",\"Credential\":\"" KEY_B1 "\",\"Model\":", parts);
}

static guint
listed (PathWorld *world, guint front, const char *batch, const char *key)
{
  g_autofree char *target = g_strdup_printf ("/quinceroute/lots/%s?afterRev=0", batch);
  PathAnswer answer;
  guint status = call_with_key (path_front (world, front), "GET", target, "q", NULL, key, &answer);
  guint count = status == 200 ? path_count_occurrences (answer.body, "\"state\":\"completed\"") : 0;
  path_answer_clear (&answer);
  return count;
}

/* All runs of the batch's items were the first tenant's; returns their number. */
static guint
check_item_runs (PathWorld *world, const char *batch)
{
  guint count = 0;
  g_autofree char *start = g_strdup_printf ("%s-i", batch);
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->model[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          if (!g_str_has_prefix (run->id, start))
            continue;
          count++;
          assert_non_null (run->tenant);
          assert_string_equal (run->tenant, "tenant-a");
          assert_null (run->api_key);
        }
    }
  return count;
}

static void
assert_hidden_from_others (PathWorld *world, const char *batch)
{
  g_autofree char *results = g_strdup_printf ("/quinceroute/lots/%s?afterRev=0", batch);
  g_autofree char *item = g_strdup_printf ("/quinceroute/items/%s?id=%s-i0", batch, batch);
  static const struct
  {
    const char *key;
    guint status;
  } cases[] = { { KEY_B1, 404 }, { KEY_UNKNOWN, 401 }, { NULL, 401 } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint front = 0; front < PATH_FRONTS; front++)
      {
        const char *address = path_front (world, front);
        assert_int_equal (status_with_key (address, "GET", results, "q", NULL, cases[i].key),
                          cases[i].status);
        assert_int_equal (status_with_key (address, "GET", item, "q", NULL, cases[i].key), cases[i].status);
        assert_int_equal (status_with_key (address, "DELETE", results, "q", NULL, cases[i].key),
                          cases[i].status);
      }
}

static void
submit (PathWorld *world, const char *batch)
{
  g_autofree char *text = batch_text (batch);
  AWAIT (status_with_key (path_front (world, 0), "POST", "/r/batch", batch, text, KEY_A1) == 202);
}

static void
test_batches_belong_to_tenants (void **state)
{
  PathWorld *world = start_world ("batches");
  g_autofree char *text = batch_text ("b0");
  assert_int_equal (status_with_key (path_front (world, 0), "POST", "/r/batch", "b0", text, NULL), 401);
  submit (world, "b1");
  AWAIT (listed (world, 1, "b1", KEY_A2) == ITEMS);
  assert_int_equal (check_item_runs (world, "b1"), ITEMS);
  assert_hidden_from_others (world, "b1");
  assert_int_equal (listed (world, 0, "b1", KEY_A1), ITEMS);
  assert_int_equal (
      status_with_key (path_front (world, 1), "DELETE", "/quinceroute/lots/b1", "q", NULL, KEY_A2), 200);
  path_world_free (world);
}

/* The tenant goes with the batch: its key is withdrawn, the leader and its disk are lost. */
static void
test_tenant_outlives_key_and_leader (void **state)
{
  PathWorld *world = start_world ("outlives");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_fault (world->model[i], STANDIN_WORKER_REFUSES, G_MAXUINT);
  submit (world, "b2");
  tenants_configure (world, 8, TENANTS_KEY_REVOKED);
  await_refused (world, KEY_A1);
  gint leader = path_find_leader (world);
  assert_true (leader >= 0);
  quince_process_kill (world->replicas[leader]);
  path_delete_replica_data (world, (guint)leader);
  path_start_replica (world, (guint)leader);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_fault (world->model[i], STANDIN_WORKER_HEALTHY, 0);
  AWAIT (listed (world, 0, "b2", KEY_A2) == ITEMS);
  assert_true (check_item_runs (world, "b2") >= ITEMS);
  assert_hidden_from_others (world, "b2");
  path_world_free (world);
}

/* ---- Where no key may be --------------------------------------------------- */

static void
assert_no_key_in_file (const char *path)
{
  static const char *const keys[] = { KEY_A1, KEY_A2, KEY_B1, KEY_UNKNOWN };
  g_autofree char *data = NULL;
  gsize length = 0;
  if (!g_file_get_contents (path, &data, &length, NULL))
    return;
  for (guint i = 0; i < G_N_ELEMENTS (keys); i++)
    if (memmem (data, length, keys[i], strlen (keys[i])) != NULL)
      fail_msg ("%s holds a key", path);
}

static void
assert_no_key_below (const char *folder)
{
  g_autoptr (GDir) directory = g_dir_open (folder, 0, NULL);
  for (const char *name = g_dir_read_name (directory); name != NULL; name = g_dir_read_name (directory))
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      if (g_file_test (path, G_FILE_TEST_IS_DIR))
        assert_no_key_below (path);
      else
        assert_no_key_in_file (path);
    }
}

/* Logs, settings and disks of all processes, and all that they wrote into the store. */
static void
test_keys_are_nowhere (void **state)
{
  PathWorld *world = start_world ("nowhere");
  submit (world, "b3");
  AWAIT (listed (world, 1, "b3", KEY_A2) == ITEMS);
  status_with_key (path_front (world, 0), "POST", "/l/1", "none", "x", KEY_UNKNOWN);
  status_with_key (path_front (world, 0), "GET", "/quinceroute/lots/b3", "none", NULL, KEY_B1);
  assert_no_key_below (world->folder);
  g_autofree char *written = standin_store_dump_except (world->store, "op/config");
  assert_non_null (strstr (written, "quinceroute/"));
  assert_null (strstr (written, "key-a1"));
  assert_null (strstr (written, "key-b1"));
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys_of_lookups),
    cmocka_unit_test (test_no_configuration_yet),
    cmocka_unit_test (test_withdrawn_key),
    cmocka_unit_test (test_batches_belong_to_tenants),
    cmocka_unit_test (test_tenant_outlives_key_and_leader),
    cmocka_unit_test (test_keys_are_nowhere),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
