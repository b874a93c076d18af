/*
 * test-kv-watch.c: the watch against the stand-in of the key-value service,
 * under its faults: the view must come to what was written.
 */
#include "kv-standin.h"

#include "clients/kv-client.h"

#define TRY_MS 400
#define KEY "/quince/policy/head"
#define PREFIX "/quince/policy/"

static KvStandin *service;

typedef struct
{
  guint64 revision; /* of the key in view; 0: not there */
  guint downs;
  gboolean up;
} View;

static void
on_changed (GPtrArray *items, guint64 revision, gpointer user_data)
{
  View *view = user_data;
  assert_true (items->len <= 1);
  view->revision = items->len > 0 ? ((QuinceKvItem *)items->pdata[0])->mod_revision : 0;
}

static void
on_state (gboolean up, gpointer user_data)
{
  View *view = user_data;
  view->up = up;
  view->downs += up ? 0 : 1;
}

static const QuinceKvWatchCallbacks callbacks = { on_changed, on_state };

typedef struct
{
  gboolean ended;
  guint64 revision; /* 0: not written */
} Write;

static void
on_write (gboolean done,
          guint64 revision,
          const QuinceKvItem *current,
          const GError *error,
          gpointer user_data)
{
  Write *write = user_data;
  write->ended = TRUE;
  write->revision = done ? revision : 0;
}

/* Puts, or deletes when @value is NULL, at the expected revision; returns the new one. */
static guint64
write_key (QuinceKvClient *client, guint64 expected, const char *value)
{
  Write write = { 0 };
  if (value != NULL)
    quince_kv_client_swap (client, KEY, expected, value, -1, on_write, &write);
  else
    quince_kv_client_swap_delete (client, KEY, expected, on_write, &write);
  WAIT_FOR (write.ended);
  assert_true (write.revision > expected);
  return write.revision;
}

typedef struct
{
  const char *name;
  const char *before; /* faults set before the write                  */
  const char *after;  /* faults set after it; the view must then come */
  const char *healed; /* faults set once the watch is down; NULL: it is not waited for */
  gboolean breaks;    /* the watch must have been seen as down        */
} WatchCase;

static const WatchCase watch_cases[] = {
  { "no fault", "{}", "{}", NULL, FALSE },
  { "slow", "{\"slow_ms\":50}", "{}", NULL, FALSE },
  { "dropped", "{\"drop_watches\":true}", "{}", NULL, TRUE },
  { "late events", "{\"late_watches_ms\":200}", "{}", NULL, FALSE },
  { "silent stream", "{\"stall_watches\":true}", "{}", NULL, FALSE },
  { "outage", "{\"stall_watches\":true}", "{\"outage\":true}", "{\"outage\":false}", TRUE },
  { "hang", "{\"stall_watches\":true}", "{\"hang\":true}", "{\"hang\":false}", TRUE },
  { "unavailable", "{\"drop_watches\":true}", "{\"unavailable\":true}", "{\"unavailable\":false}", TRUE },
};

/* A put and then a delete must both come into view. */
static void
check_watch (const WatchCase *watch_case)
{
  const char *endpoints[] = { service->address, NULL };
  kv_standin_reset (service);
  g_autoptr (QuinceKvClient) client = quince_kv_client_new (endpoints, TRY_MS);
  View view = { 0 };
  QuinceKvWatch *watch = quince_kv_watch_new (client, PREFIX, &callbacks, &view);
  WAIT_FOR (view.up);
  guint64 first = write_key (client, 0, "one");
  WAIT_FOR (view.revision == first);
  kv_standin_set_faults (service, watch_case->before);
  guint64 second = write_key (client, first, "two");
  kv_standin_set_faults (service, watch_case->after);
  if (watch_case->healed != NULL)
    {
      WAIT_FOR (!view.up);
      kv_standin_set_faults (service, watch_case->healed);
    }
  WAIT_FOR (view.revision == second && view.up);
  if ((view.downs > 0) != watch_case->breaks)
    fail_msg ("%s: %u downs", watch_case->name, view.downs);
  kv_standin_set_faults (service, "{\"stall_watches\":false,\"late_watches_ms\":0,\"slow_ms\":0}");
  write_key (client, second, NULL);
  WAIT_FOR (view.revision == 0);
  quince_kv_watch_free (watch);
}

static void
test_faults (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (watch_cases); i++)
    check_watch (&watch_cases[i]);
}

/* The history that a watch would go on from is gone: the prefix is read anew. */
static void
test_compaction (void **state)
{
  const char *endpoints[] = { service->address, NULL };
  kv_standin_reset (service);
  g_autoptr (QuinceKvClient) client = quince_kv_client_new (endpoints, TRY_MS);
  View view = { 0 };
  QuinceKvWatch *watch = quince_kv_watch_new (client, PREFIX, &callbacks, &view);
  WAIT_FOR (view.up);
  kv_standin_set_faults (service, "{\"stall_watches\":true}");
  guint64 revision = 0;
  for (guint i = 0; i < 5; i++)
    revision = write_key (client, revision, "x");
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autofree char *url = g_strdup_printf ("http://%s/v3/kv/compaction", service->address);
  g_autofree char *body = g_strdup_printf ("{\"revision\":\"%" G_GUINT64_FORMAT "\"}", revision);
  g_autoptr (SoupMessage) message = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
  soup_message_set_request_body_from_bytes (message, "application/json", bytes);
  g_autoptr (GBytes) answer = soup_session_send_and_read (session, message, NULL, NULL);
  assert_int_equal (soup_message_get_status (message), 200);
  kv_standin_set_faults (service, "{\"drop_watches\":true}");
  WAIT_FOR (view.revision == revision);
  kv_standin_set_faults (service, "{\"stall_watches\":false}");
  quince_kv_watch_free (watch);
}

static void
test_second_endpoint (void **state)
{
  kv_standin_reset (service);
  KvStandin *doomed = kv_standin_start (0);
  const char *endpoints[] = { doomed->address, service->address, NULL };
  const char *second_only[] = { service->address, NULL };
  g_autoptr (QuinceKvClient) client = quince_kv_client_new (endpoints, TRY_MS);
  g_autoptr (QuinceKvClient) writer = quince_kv_client_new (second_only, TRY_MS);
  View view = { 0 };
  QuinceKvWatch *watch = quince_kv_watch_new (client, PREFIX, &callbacks, &view);
  WAIT_FOR (view.up);
  guint64 revision = write_key (writer, 0, "one");
  kv_standin_stop (doomed);
  WAIT_FOR (view.up && view.revision == revision);
  quince_kv_watch_free (watch);
}

static int
start_service (void **state)
{
  service = kv_standin_start (0);
  return 0;
}

static int
stop_service (void **state)
{
  kv_standin_stop (service);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_faults),
    cmocka_unit_test (test_compaction),
    cmocka_unit_test (test_second_endpoint),
  };
  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  return cmocka_run_group_tests (tests, start_service, stop_service);
}
