/*
 * test-refused-items.c: guards against items that no worker accepts and that are sent again thousands of
 * times a second, so that the items of others reach no worker while all workers are idle.
 */
#include "path-world.h"

/* Items of a batch that no worker accepts. */
#define REFUSED_ITEMS 400
#define REFUSED_TARGET "/r/refused/"
#define ITEMS 12
#define WATCH_MS 3000
/* A step of idle workers takes well below a second; it waits for no pause of another item. */
#define STEP_MS 3000
/* Sends of an item in WATCH_MS with pauses of 30 ms that double, twice that for late timers. */
#define SENDS_PER_ITEM_MAX 16

static PathWorld *path;

static int
set_up (void **state)
{
  path = path_world_new ("refused-items");
  path_world_start (path);
  return 0;
}

static int
tear_down (void **state)
{
  path_world_free (path);
  return 0;
}

static void
submit_refused_batch (const char *batch)
{
  g_autoptr (GString) text = g_string_new ("{\"model\":\"model-a\",\"items\":[");
  for (guint i = 0; i < REFUSED_ITEMS; i++)
    g_string_append_printf (text,
                            "%s{\"id\":\"%s-i%u\",\"path\":\"" REFUSED_TARGET "%u\",\"headers\":{\"Model\":"
                            "\"model-a\"},\"body\":\"cXVlc3Rpb24=\",\"tokens\":100}",
                            i > 0 ? "," : "", batch, i, i);
  g_string_append (text, "]}");
  AWAIT (path_status (path_front (path, 0), "POST", "/r/x", batch, text->str) == 202);
}

static guint
count_refused (void)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    count += standin_worker_get_n_refused_requests (path->model[i]);
  return count;
}

static void
check_step_beside (guint status, const char *name)
{
  g_autofree char *refused = g_strdup_printf ("refused-%s", name);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_refused_text (path->model[i], REFUSED_TARGET, status);
  guint before = count_refused ();
  submit_refused_batch (refused);
  run_for (WATCH_MS);
  guint sends = count_refused () - before;
  g_autofree char *text = path_make_batch (name, ITEMS);
  AWAIT (path_status (path_front (path, 0), "POST", "/r/x", name, text) == 202);
  gint64 start = g_get_monotonic_time ();
  while (path_count_results (path, 0, name) < ITEMS
         && g_get_monotonic_time () - start < STEP_MS * G_TIME_SPAN_MILLISECOND)
    run_for (20);
  guint listed = path_count_results (path, 0, name);
  print_message ("  %u: %u refused sends in %u ms, %u of %u results %" G_GINT64_FORMAT " ms after the step\n",
                 status, sends, WATCH_MS, listed, ITEMS, (g_get_monotonic_time () - start) / 1000);
  assert_int_equal (listed, ITEMS);
  assert_in_range (sends, REFUSED_ITEMS, REFUSED_ITEMS * SENDS_PER_ITEM_MAX);
  g_autofree char *end = g_strconcat ("/quinceroute/lots/", refused, NULL);
  AWAIT (path_status (path_front (path, 0), "DELETE", end, "end", NULL) == 200);
}

/* Refused as if the worker were full, and answered that there is no such path. */
static void
test_step_beside_refused_items (void **state)
{
  check_step_beside (503, "b503");
  check_step_beside (404, "b404");
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (test_step_beside_refused_items, set_up, tear_down) };
  return cmocka_run_group_tests_name ("refused-items", tests, NULL, NULL);
}
