/*
 * test-worker-entries.c: the start time in the entry of a worker.  Guards against a restarted worker that is
 * taken for its former process, and against malformed entries that are used.
 */
#include "await.h"
#include "platform.h"

#define ENTRY "{\"service\":\"llm\",\"address\":\"127.0.0.1:1\",\"state\":\"ready\",\"seq\":%u%s}"
#define STARTED "\"born\":1790000000000"

static QuinceWorker *
read_entry (const char *member, GError **error)
{
  g_autofree char *text = g_strdup_printf (ENTRY, 1U, member);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  return quince_platform_read_worker ("servers/w", bytes, error);
}

static QuinceIncarnation
get_incarnation (const char *member)
{
  g_autoptr (QuinceWorker) worker = read_entry (member, NULL);
  assert_non_null (worker);
  return worker->incarnation;
}

static void
test_start_time (void **state)
{
  assert_true (get_incarnation ("," STARTED) == get_incarnation ("," STARTED));
  assert_true (get_incarnation ("," STARTED) != get_incarnation (",\"born\":1790000000001"));
  assert_true (get_incarnation ("," STARTED) != get_incarnation (""));
}

/* A start time is a positive whole number; an entry with another one names no worker. */
static void
test_malformed_start_time (void **state)
{
  static const char *const members[] = { ",\"born\":\"1790000000000\"",
                                         ",\"born\":1790000000000.5",
                                         ",\"born\":-1",
                                         ",\"born\":0",
                                         ",\"born\":null",
                                         ",\"born\":true",
                                         ",\"born\":{}",
                                         ",\"born\":[1]" };
  for (guint i = 0; i < G_N_ELEMENTS (members); i++)
    {
      g_autoptr (GError) error = NULL;
      assert_null (read_entry (members[i], &error));
      assert_true (g_error_matches (error, QUINCE_PLATFORM_ERROR, QUINCE_PLATFORM_ERROR_FIELD));
    }
}

/* A restart is a change of the entry; a heartbeat is not. */
static void
test_equivalent_entries (void **state)
{
  g_autofree char *first = g_strdup_printf (ENTRY, 1U, "," STARTED);
  g_autofree char *heartbeat = g_strdup_printf (ENTRY, 2U, "," STARTED);
  g_autofree char *restarted = g_strdup_printf (ENTRY, 1U, ",\"born\":1790000000001");
  g_autoptr (GBytes) first_bytes = g_bytes_new (first, strlen (first));
  g_autoptr (GBytes) heartbeat_bytes = g_bytes_new (heartbeat, strlen (heartbeat));
  g_autoptr (GBytes) restarted_bytes = g_bytes_new (restarted, strlen (restarted));
  assert_true (quince_platform_are_worker_entries_equivalent (first_bytes, heartbeat_bytes));
  assert_false (quince_platform_are_worker_entries_equivalent (first_bytes, restarted_bytes));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_start_time),
    cmocka_unit_test (test_malformed_start_time),
    cmocka_unit_test (test_equivalent_entries),
  };
  return cmocka_run_group_tests_name ("worker-entries", tests, NULL, NULL);
}
