/*
 * test-duties.c: guards against lost, repeated or differing usage reports when the platform refuses them or
 * the leader changes.
 */
#include "tenants-world.h"

#include <stdlib.h>

#include <json-glib/json-glib.h>

/* Windows are short to keep the test short.  A report is sent USAGE_LATE_S after the end of its window. */
#define USAGE_WINDOW_S 1
#define USAGE_LATE_S 4
#define N_LOOKUPS 12

/* ---- Stand-in platform ---------------------------------------------------- */

typedef struct
{
  guint64 window;
  char *body;
  char *holder;
  guint64 fence;
} Report;

typedef struct
{
  StandinServer *server;
  GPtrArray *reports;      /* Report, owned; in order of arrival */
  guint n_calls_to_refuse; /* number of calls to answer with 503 */
  guint n_calls_to_reset;  /* number of calls to accept and then reset the connection */
} Platform;

static void
report_free (gpointer data)
{
  Report *report = data;
  g_free (report->body);
  g_free (report->holder);
  g_free (report);
}

static void
platform_handle_call (StandinCall *call, gpointer data)
{
  Platform *platform = data;
  assert_string_equal (call->head->target, "/usage");
  if (platform->n_calls_to_refuse > 0)
    {
      platform->n_calls_to_refuse--;
      standin_call_answer (call, 503, "", "", 0);
      return;
    }
  Report *report = g_new0 (Report, 1);
  report->body = g_strndup ((const char *)call->body->data, call->body->len);
  report->holder = g_strdup (standin_call_get_header (call, "Duty-Holder"));
  report->fence = g_ascii_strtoull (standin_call_get_header (call, "Fence-Token"), NULL, 10);
  report->window = g_ascii_strtoull (strstr (report->body, "\"windowId\":") + 11, NULL, 10);
  g_ptr_array_add (platform->reports, report);
  if (platform->n_calls_to_reset > 0)
    {
      platform->n_calls_to_reset--;
      standin_call_reset_connection (call);
      return;
    }
  standin_call_answer (call, 200, "", "", 0);
}

static Platform *
platform_new (void)
{
  Platform *platform = g_new0 (Platform, 1);
  platform->reports = g_ptr_array_new_with_free_func (report_free);
  platform->server = standin_server_new (platform_handle_call, platform);
  return platform;
}

static void
platform_free (Platform *platform)
{
  standin_server_free (platform->server);
  g_ptr_array_unref (platform->reports);
  g_free (platform);
}

static guint
get_reported_count (const Report *report, const char *tenant)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  assert_true (json_parser_load_from_data (parser, report->body, -1, NULL));
  JsonObject *counts
      = json_object_get_object_member (json_node_get_object (json_parser_get_root (parser)), "counts");
  return json_object_has_member (counts, tenant) ? (guint)json_object_get_int_member (counts, tenant) : 0;
}

/* Returns the sum over all windows; a repeated report of a window counts once. */
static guint
count_reported (const Platform *platform, const char *tenant)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_int64_hash, g_int64_equal);
  guint count = 0;
  for (guint i = 0; i < platform->reports->len; i++)
    {
      Report *report = platform->reports->pdata[i];
      if (g_hash_table_add (seen, &report->window))
        count += get_reported_count (report, tenant);
    }
  return count;
}

/* Repeated reports of a window are identical, fence tokens never decrease, and each has one holder. */
static void
assert_consistent_reports (const Platform *platform)
{
  guint64 fence = 0;
  for (guint i = 0; i < platform->reports->len; i++)
    {
      const Report *report = platform->reports->pdata[i];
      assert_true (report->fence >= fence);
      fence = report->fence;
      for (guint j = 0; j < i; j++)
        {
          const Report *earlier = platform->reports->pdata[j];
          if (earlier->window == report->window)
            assert_string_equal (earlier->body, report->body);
          if (earlier->fence == report->fence)
            assert_string_equal (earlier->holder, report->holder);
        }
    }
}

static PathWorld *
start_world (const char *name, const Platform *platform)
{
  PathWorld *world = path_world_new (name);
  world->extra_replica_settings
      = g_strdup_printf ("[duties]\naddress=%s\nnames=metering,scaling\nusage_window=%ds\nusage_late=%ds\n",
                         standin_server_get_address (platform->server), USAGE_WINDOW_S, USAGE_LATE_S);
  tenants_world_start (world);
  return world;
}

/* Returns the number of requests of @tenant that ran.  A hedged request may run at two workers; it counts
 * once. */
static guint
count_requests (PathWorld *world, const char *tenant)
{
  g_autoptr (GHashTable) requests = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->plain[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          if (g_strcmp0 (run->tenant, tenant) == 0)
            g_hash_table_add (requests, run->id);
        }
    }
  return g_hash_table_size (requests);
}

static void
send_lookups (PathWorld *world)
{
  for (guint i = 0; i < N_LOOKUPS; i++)
    assert_int_equal (lookup_status (world, i % PATH_FRONTS, i % 3 == 0 ? KEY_B1 : KEY_A1), 200);
}

static void
await_usage_reported (PathWorld *world, const Platform *platform)
{
  AWAIT (count_reported (platform, "tenant-a") == count_requests (world, "tenant-a")
         && count_reported (platform, "tenant-b") == count_requests (world, "tenant-b"));
  assert_consistent_reports (platform);
}

/* ---- Tests ------------------------------------------------------------------ */

static void
test_usage_is_reported_once (void **state)
{
  Platform *platform = platform_new ();
  PathWorld *world = start_world ("usage", platform);
  send_lookups (world);
  run_for (USAGE_WINDOW_S * 1000);
  send_lookups (world);
  /* Refused requests and samples do not count as usage. */
  status_with_key (path_front (world, 0), "POST", "/l/1", "nobody", "x", KEY_UNKNOWN);
  g_autofree char *batch = path_make_batch ("b1", 4);
  assert_int_equal (status_with_key (path_front (world, 0), "POST", "/r/batch", "b1", batch, KEY_A1), 202);
  await_usage_reported (world, platform);
  guint reports = platform->reports->len;
  run_for (2000 * USAGE_WINDOW_S);
  assert_int_equal (platform->reports->len, reports);
  path_world_free (world);
  platform_free (platform);
}

/* The platform refuses two reports and accepts one without an answer. */
static void
test_report_is_retried (void **state)
{
  Platform *platform = platform_new ();
  PathWorld *world = start_world ("report-retry", platform);
  platform->n_calls_to_refuse = 2;
  platform->n_calls_to_reset = 1;
  send_lookups (world);
  await_usage_reported (world, platform);
  assert_int_equal (platform->n_calls_to_refuse, 0);
  path_world_free (world);
  platform_free (platform);
}

/* The leader loses its disk; later all replicas are killed and restarted. */
static void
test_usage_survives_leader_loss (void **state)
{
  Platform *platform = platform_new ();
  PathWorld *world = start_world ("leader-loss", platform);
  send_lookups (world);
  run_for (700); /* the leader appends reported usage to its log every 0.2 s */
  gint leader = path_find_leader (world);
  quince_process_kill (world->replicas[leader]);
  path_delete_replica_data (world, (guint)leader);
  path_start_replica (world, (guint)leader);
  send_lookups (world);
  run_for (700);
  await_usage_reported (world, platform);
  send_lookups (world);
  AWAIT (path_find_leader (world) != leader);
  run_for (2500);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->replicas[i]);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  await_usage_reported (world, platform);
  path_world_free (world);
  platform_free (platform);
}

/* There is no leader until all windows so far are overdue.  Usage that fronts could not report meanwhile must
 * still count. */
static void
test_usage_survives_long_leader_outage (void **state)
{
  Platform *platform = platform_new ();
  PathWorld *world = start_world ("leader-outage", platform);
  for (guint round = 0; round < 3; round++)
    {
      send_lookups (world);
      run_for (700);
      for (guint i = 0; i < PATH_REPLICAS; i++)
        quince_process_kill (world->replicas[i]);
      send_lookups (world);
      run_for (USAGE_LATE_S * 1000);
      for (guint i = 0; i < PATH_REPLICAS; i++)
        path_start_replica (world, i);
      await_usage_reported (world, platform);
    }
  path_world_free (world);
  platform_free (platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_usage_is_reported_once),
    cmocka_unit_test (test_report_is_retried),
    cmocka_unit_test (test_usage_survives_leader_loss),
    cmocka_unit_test (test_usage_survives_long_leader_outage),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
