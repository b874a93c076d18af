/*
 * test-owed-items.c: guards against items and reward calls that are held like lookups after several of their
 * workers crashed, and against an item that crashes each worker and is sent often.
 */
#define PATH_PLAIN 8
#define PATH_MODEL 8
#include "core/request/quarantine.h"

#include "crash-world.h"
#include "groups.h"

#define ITEMS 6
/* After the burst, an owed item is sent at the latest 3 s after the last end; its permit, its run and its
 * listing take less than the rest. */
#define RECOVERY_MS 8000
/* A change of leader and a start of all replicas take 1 to 3 s more. */
#define RECOVERY_AFTER_RESTART_MS 14000
#define FATAL_WATCH_MS 20000
/* Four sends until the item would be held as a lookup; then one at least after 0.5, 1.5, 3.5, 6.5, ... s. */
#define FATAL_SENDS_MIN 7
/* The longest pause, less the time from the arrival of a run to the end of its worker. */
#define FATAL_GAP_MS 2900
#define FEW_WORKERS 3
/* So many that one of them may run at any time, each 3 s after its last end: a worker is back after 0.3 s. */
#define FATAL_ITEMS 16
/* Until most of them are held. */
#define FATAL_ITEMS_MS 12000
/* Each of them may run alone once more before the sound one, and their service recovers each time. */
#define BESIDE_FATAL_MS 15000
/* Time in which all processes read an entry of the store. */
#define READ_ENTRIES_MS 1000
/* Ends for which a request is held, as an older process wrote it. */
#define HELD_ENTRY                                                                                           \
  "[request]\nscope=%s\nservice=%s\nsoftware=v1\nrelease=0\nends=8\nalone=4\nended_ms=%" G_GINT64_FORMAT "\n"

static const char plain_batch[] = "{\"model\":\"model-a\",\"items\":[{\"id\":\"b1-i0\",\"path\":\"/r/"
                                  "0\",\"headers\":{\"Model\":\"model-a\"},"
                                  "\"body\":\"cXVlc3Rpb24=\",\"tokens\":100}"
                                  "]}";

static void
submit (CrashWorld *world, const char *batch, const char *text)
{
  AWAIT (path_status (path_front (world->path, 0), "POST", "/r/x", batch, text) == 202);
}

static void
submit_step (CrashWorld *world, const char *batch)
{
  g_autofree char *text = path_make_batch (batch, ITEMS);
  submit (world, batch, text);
}

/* Returns whether a replica has recorded ends for which it holds a lookup. */
static gboolean
is_held (CrashWorld *world)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/replica-%u.out", world->path->folder, i);
      g_autofree char *text = NULL;
      if (g_file_get_contents (file, &text, NULL, NULL) && strstr (text, "event=worker_ended") != NULL
          && strstr (text, "held=true") != NULL)
        return TRUE;
    }
  return FALSE;
}

static void
stop_crashes (CrashWorld *world)
{
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    standin_worker_set_crash_trigger (crash_world_get_worker (world, i), NULL, 0, 0);
}

/* Awaits the burst in which workers end under the item until a lookup would be held, and ends it. */
static void
await_burst (CrashWorld *world)
{
  AWAIT (is_held (world));
  stop_crashes (world);
  AWAIT (crash_world_all_running (world));
}

/* Fails unless the batch has @count results within @within_ms. */
static void
assert_all_listed (CrashWorld *world, const char *batch, guint count, guint within_ms)
{
  gint64 start = g_get_monotonic_time ();
  gint64 end = start + (gint64)within_ms * 1000;
  guint listed = 0;
  while ((listed = path_count_results (world->path, 1, batch)) < count && g_get_monotonic_time () < end)
    run_for (CRASH_POLL_INTERVAL_MS);
  print_message ("  %u of %u results %" G_GINT64_FORMAT " ms after the burst, %u workers ended\n", listed,
                 count, (g_get_monotonic_time () - start) / 1000, world->crashes);
  assert_int_equal (listed, count);
  g_autofree char *results = path_read_results (world->path, 1, batch);
  assert_int_equal (path_count_occurrences (results, "\"state\":\"completed\""), count);
}

static void
test_step (void **state)
{
  CrashWorld *world = crash_world_start ("owed-step", "/r/0");
  submit_step (world, "b1");
  await_burst (world);
  assert_all_listed (world, "b1", ITEMS, RECOVERY_MS);
  crash_world_free (world);
}

static void
test_batch (void **state)
{
  CrashWorld *world = crash_world_start ("owed-batch", "/r/0");
  submit (world, "b1", plain_batch);
  await_burst (world);
  assert_all_listed (world, "b1", 1, RECOVERY_MS);
  crash_world_free (world);
}

static void
test_reward_call (void **state)
{
  CrashWorld *world = crash_world_start ("owed-reward", "/w/0");
  submit_step (world, "b1");
  await_burst (world);
  assert_all_listed (world, "b1", ITEMS, RECOVERY_MS);
  crash_world_free (world);
}

/* The burst meets all items of a group: their prompt is held. */
static void
test_group (void **state)
{
  static const Group groups[] = { { "unlucky", 4 }, { "other", 4 } };
  CrashWorld *world = crash_world_start ("owed-group", "/unlucky/");
  groups_submit (world->path, 0, "b1", groups, G_N_ELEMENTS (groups));
  await_burst (world);
  assert_all_listed (world, "b1", 8, RECOVERY_MS);
  crash_world_free (world);
}

static void
test_change_of_leader (void **state)
{
  CrashWorld *world = crash_world_start ("owed-leader", "/r/0");
  submit_step (world, "b1");
  AWAIT (is_held (world));
  stop_crashes (world);
  gint leader = path_find_leader (world->path);
  quince_process_kill (world->path->replicas[leader]);
  AWAIT (path_find_leader (world->path) != leader);
  path_start_replica (world->path, (guint)leader);
  AWAIT (crash_world_all_running (world));
  assert_all_listed (world, "b1", ITEMS, RECOVERY_MS);
  crash_world_free (world);
}

/* Returns whether the store has an entry of a held request. */
static gboolean
has_entry (CrashWorld *world)
{
  g_autofree char *all = standin_store_dump_except (world->path->store, "none");
  return strstr (all, "quinceroute/quarantine/") != NULL;
}

static void
test_restart_of_all_replicas (void **state)
{
  CrashWorld *world = crash_world_start ("owed-restart", "/r/0");
  submit_step (world, "b1");
  AWAIT (is_held (world));
  AWAIT (has_entry (world));
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->path->replicas[i]);
  stop_crashes (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world->path, i);
  AWAIT (crash_world_all_running (world));
  assert_all_listed (world, "b1", ITEMS, RECOVERY_AFTER_RESTART_MS);
  crash_world_free (world);
}

static void
put_entry (CrashWorld *world, const QuinceRequestDigest *digest, const char *scope, const char *service)
{
  g_autofree char *name = quince_request_digest_format (digest);
  g_autofree char *key = g_strconcat ("quinceroute/quarantine/", name, NULL);
  g_autofree char *value
      = g_strdup_printf (HELD_ENTRY, scope, service, g_get_real_time () / G_TIME_SPAN_MILLISECOND);
  standin_store_put (world->path->store, key, value);
}

/* Entries that a process of an earlier release wrote for an item and for a reward call. */
static void
test_stored_entries (void **state)
{
  CrashWorld *world = crash_world_start ("owed-entries", NULL);
  QuinceRequestDigest item;
  QuinceRequestDigest reward;
  quince_request_digest_make (&item, NULL, PATH_HOST, "POST", "/r/0", "question", strlen ("question"));
  quince_request_digest_make (&reward, NULL, PATH_HOST, "POST", "/w/1", "score", strlen ("score"));
  put_entry (world, &item, "request", "llm");
  put_entry (world, &reward, "request", "svc");
  run_for (READ_ENTRIES_MS);
  submit_step (world, "b1");
  assert_all_listed (world, "b1", ITEMS, RECOVERY_MS);
  AWAIT (!has_entry (world)); /* cleared by the answers */
  crash_world_free (world);
}

static guint
stream_with_prompt (CrashWorld *world, guint front, const char *id)
{
  g_autofree char *prompt = group_item_prompt ("shared", 9);
  PathAnswer answer;
  path_start_call_with_header (path_front (world->path, front), "POST", "/k/shared", id, "x", "Prompt-Prefix",
                               prompt, &answer);
  AWAIT (answer.done);
  guint status = answer.status;
  path_answer_clear (&answer);
  return status;
}

/* Puts an entry for @prompt.  Returns whether all fronts then refuse streams with it; a stream that a front
 * sends before it has read the entry clears the prompt. */
static gboolean
is_stream_held (CrashWorld *world, const QuinceRequestDigest *prompt)
{
  put_entry (world, prompt, "prompt", "llm");
  run_for (READ_ENTRIES_MS);
  return stream_with_prompt (world, 0, "held-0") == 502 && stream_with_prompt (world, 1, "held-1") == 502;
}

/* A caller's stream on a held prompt is refused; the items of the prompt are run, which clears it. */
static void
test_shared_prompt (void **state)
{
  static const Group groups[] = { { "shared", 4 } };
  CrashWorld *world = crash_world_start ("owed-prompt", NULL);
  assert_int_equal (stream_with_prompt (world, 0, "before"), 200);
  const char *const parts[] = { "shared", "own", NULL };
  QuinceRequestDigest prompt;
  assert_true (quince_request_digest_make_prompt (&prompt, NULL, PATH_HOST, parts));
  AWAIT (is_stream_held (world, &prompt));
  groups_submit (world->path, 0, "b1", groups, G_N_ELEMENTS (groups));
  assert_all_listed (world, "b1", 4, RECOVERY_MS);
  AWAIT (stream_with_prompt (world, 0, "after-0") == 200 && stream_with_prompt (world, 1, "after-1") == 200);
  crash_world_free (world);
}

/* An item that ends each of its workers is sent on, at most each 3 s in the end, until its batch ends.  Its
 * service keeps half of its workers. */
static void
test_fatal_item (void **state)
{
  CrashWorld *world = crash_world_start ("owed-fatal", "/r/0");
  submit_step (world, "b1");
  AWAIT (path_count_results (world->path, 0, "b1") == ITEMS - 1);
  run_for (FATAL_WATCH_MS);
  g_autoptr (GArray) times = crash_world_list_run_times (world, "/r/0");
  print_message ("  %u sends, at the worst %u of %u workers lived\n", times->len, world->min_model_running,
                 PATH_MODEL);
  assert_true (world->min_model_running >= PATH_MODEL / 2);
  assert_in_range (times->len, FATAL_SENDS_MIN,
                   crash_world_owed_sends_max (world, "/r/0", QUINCE_QUARANTINE_HOLD_ENDS_MIN));
  gint64 last_gap_us
      = g_array_index (times, gint64, times->len - 1) - g_array_index (times, gint64, times->len - 2);
  assert_true (last_gap_us >= FATAL_GAP_MS * G_TIME_SPAN_MILLISECOND);
  AWAIT (path_status (path_front (world->path, 0), "DELETE", "/quinceroute/lots/b1", "q", NULL) == 200);
  AWAIT (crash_world_all_running (world));
  guint sends = crash_world_count_runs (world, "/r/0");
  run_for (RECOVERY_MS);
  assert_int_equal (crash_world_count_runs (world, "/r/0"), sends);
  crash_world_free (world);
}

/* Returns (transfer full): a batch of @count items in no group.  @path and @reward_path are followed by the
 * number of the item; without @reward_path they have no reward call. */
static char *
make_batch (const char *batch, guint count, const char *path, const char *reward_path)
{
  g_autoptr (GString) text = g_string_new ("{\"model\":\"model-a\",\"items\":[");
  for (guint i = 0; i < count; i++)
    {
      g_string_append_printf (text,
                              "%s{\"id\":\"%s-i%u\",\"path\":\"%s%u\",\"headers\":{\"Model\":\"model-a\"},"
                              "\"body\":\"cXVlc3Rpb24=\",\"tokens\":100",
                              i > 0 ? "," : "", batch, i, path, i);
      if (reward_path != NULL)
        g_string_append_printf (text,
                                ",\"scorer\":{\"id\":\"%s-s%u\",\"host\":\"" PATH_HOST
                                "\",\"path\":\"%s%u\",\"body\":\"c2NvcmU=\"}",
                                batch, i, reward_path, i);
      g_string_append (text, "}");
    }
  g_string_append (text, "]}");
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static void
remove_worker (CrashWorld *world, StandinWorker *worker)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  standin_store_remove (world->path->store, key);
}

/* Lets the items, or reward calls, of a batch end their workers until most of them would be held as lookups,
 * and holds the sound @target with @body.  @service then has FEW_WORKERS workers. */
static void
start_beside_fatal (CrashWorld *world,
                    StandinWorker *const *workers,
                    guint n_workers,
                    const char *fatal_batch,
                    const char *service,
                    const char *target,
                    const char *body)
{
  for (guint i = FEW_WORKERS; i < n_workers; i++)
    remove_worker (world, workers[i]);
  run_for (READ_ENTRIES_MS);
  submit (world, "fatal", fatal_batch);
  run_for (FATAL_ITEMS_MS);
  AWAIT (crash_world_all_running (world)); /* the first sends may end all workers at once */
  world->min_model_running = PATH_MODEL;
  world->min_plain_running = PATH_PLAIN;
  QuinceRequestDigest sound;
  quince_request_digest_make (&sound, NULL, PATH_HOST, "POST", target, body, strlen (body));
  put_entry (world, &sound, "request", service);
  run_for (READ_ENTRIES_MS);
}

/* A sound item that is held is placed although many items before it end each of their workers.  The service
 * has so few workers that it survives one end at a time, and one of those items may run whenever it has
 * recovered: in a fixed order it would always be one of them. */
static void
test_beside_fatal_items (void **state)
{
  CrashWorld *world = crash_world_start ("owed-beside", "/r/fatal/");
  g_autofree char *fatal = make_batch ("fatal", FATAL_ITEMS, "/r/fatal/", NULL);
  g_autofree char *sound = make_batch ("b1", 1, "/r/", NULL);
  start_beside_fatal (world, world->path->model, PATH_MODEL, fatal, "llm", "/r/0", "question");
  submit (world, "b1", sound);
  assert_all_listed (world, "b1", 1, BESIDE_FATAL_MS);
  assert_true (world->min_model_running >= PATH_MODEL - 1);
  crash_world_free (world);
}

/* The same for reward calls. */
static void
test_beside_fatal_reward_calls (void **state)
{
  CrashWorld *world = crash_world_start ("owed-beside-rewards", "/w/fatal/");
  g_autofree char *fatal = make_batch ("fatal", FATAL_ITEMS, "/r/x/", "/w/fatal/");
  g_autofree char *sound = make_batch ("b1", 1, "/r/y/", "/w/sound/");
  start_beside_fatal (world, world->path->plain, PATH_PLAIN, fatal, "svc", "/w/sound/0", "score");
  submit (world, "b1", sound);
  assert_all_listed (world, "b1", 1, BESIDE_FATAL_MS);
  assert_true (world->min_plain_running >= PATH_PLAIN - 1);
  crash_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_step),
    cmocka_unit_test (test_batch),
    cmocka_unit_test (test_reward_call),
    cmocka_unit_test (test_group),
    cmocka_unit_test (test_change_of_leader),
    cmocka_unit_test (test_restart_of_all_replicas),
    cmocka_unit_test (test_stored_entries),
    cmocka_unit_test (test_shared_prompt),
    cmocka_unit_test (test_fatal_item),
    cmocka_unit_test (test_beside_fatal_items),
    cmocka_unit_test (test_beside_fatal_reward_calls),
  };
  return cmocka_run_group_tests_name ("owed-items", tests, NULL, NULL);
}
