/*
 * test-tenant-limits.c: guards against a front that lets one tenant fill a service while others are refused,
 * and against a refusal "not run" of a request that ran.
 */
#define PATH_FRONTS 1
#define PATH_REPLICAS 1
#include "tenants-world.h"

/* Slots of each plain worker, and duration of a lookup. */
#define SLOTS 2
#define LOOKUP_MS 60
/* Concurrent callers of the burst: more than the slots, so that the workers refuse. */
#define BURST_CALLERS 24
#define BURST_ROUNDS 25

typedef struct
{
  PathAnswer answers[BURST_CALLERS];
  char *ids[BURST_CALLERS];
  guint serial;
} Burst;

static void
burst_send (PathWorld *world, Burst *burst, const char *key)
{
  for (guint i = 0; i < BURST_CALLERS; i++)
    {
      g_free (burst->ids[i]);
      burst->ids[i] = g_strdup_printf ("%s-burst-%u", key, burst->serial++);
      path_start_call_with_header (path_front (world, 0), "POST", "/l/1", burst->ids[i], "x", "Credential",
                                   key, &burst->answers[i]);
    }
}

static gboolean
burst_is_done (const Burst *burst)
{
  for (guint i = 0; i < BURST_CALLERS; i++)
    if (!burst->answers[i].done)
      return FALSE;
  return TRUE;
}

static gboolean
was_run (PathWorld *world, const char *id)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->plain[i]);
      for (guint j = 0; j < runs->len; j++)
        if (g_str_equal (((const StandinRun *)runs->pdata[j])->id, id))
          return TRUE;
    }
  return FALSE;
}

/* Returns how many requests of the burst were refused by the limit.  None of them may have run.
 * @may_fail: runs may be lost with their worker */
static guint
burst_take (PathWorld *world, Burst *burst, gboolean may_fail)
{
  guint limited = 0;
  AWAIT (burst_is_done (burst));
  for (guint i = 0; i < BURST_CALLERS; i++)
    {
      PathAnswer *answer = &burst->answers[i];
      assert_true (may_fail || answer->status == 200 || answer->status == 503);
      if (answer->status == 503 && strstr (answer->body, "tenant_share") != NULL)
        {
          limited++;
          assert_non_null (answer->retry_after);
          assert_false (was_run (world, burst->ids[i]));
        }
      path_answer_clear (answer);
    }
  return limited;
}

static void
burst_clear (Burst *burst)
{
  for (guint i = 0; i < BURST_CALLERS; i++)
    g_free (burst->ids[i]);
}

static PathWorld *
start_world (const char *name)
{
  PathWorld *world = path_world_new (name);
  world->losses = "losses=0";
  tenants_world_start (world);
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      standin_worker_set_max_running (world->plain[i], SLOTS);
      standin_worker_set_answer_delay (world->plain[i], LOOKUP_MS);
    }
  return world;
}

/* Sends one round of the burst and a request of tenant b, which must not be limited.  Returns how many
 * requests of the burst were. */
static guint
run_round (PathWorld *world, Burst *burst, gboolean may_fail)
{
  PathAnswer other;
  burst_send (world, burst, KEY_A1);
  g_autofree char *id = g_strdup_printf ("other-%u", burst->serial);
  path_start_call_with_header (path_front (world, 0), "POST", "/l/1", id, "x", "Credential", KEY_B1, &other);
  guint limited = burst_take (world, burst, may_fail);
  AWAIT (other.done);
  assert_null (strstr (other.body, "tenant_share"));
  path_answer_clear (&other);
  return limited;
}

/* The burst of tenant a is limited while the service is full; tenant b, with one request at a time, never is.
 */
static void
test_burst_is_limited (void **state)
{
  PathWorld *world = start_world ("tenant-limited");
  Burst burst = { 0 };
  guint limited = 0;
  for (guint i = 0; i < BURST_ROUNDS; i++)
    limited += run_round (world, &burst, FALSE);
  assert_true (limited > 0);
  burst_clear (&burst);
  path_world_free (world);
}

/* A worker is lost in the burst, so that the limit falls.  It ends once the service is no longer full, and a
 * front that starts in the burst has none. */
static void
test_lost_worker_and_front (void **state)
{
  PathWorld *world = start_world ("tenant-lost");
  Burst burst = { 0 };
  guint limited = 0;
  for (guint i = 0; i < BURST_ROUNDS; i++)
    {
      if (i == BURST_ROUNDS / 2)
        standin_worker_crash (world->plain[1]);
      limited += run_round (world, &burst, TRUE);
    }
  assert_true (limited > 0);
  quince_process_kill (world->fronts[0]);
  path_start_front (world, 0);
  AWAIT (lookup_status (world, 0, KEY_B1) == 200);
  AWAIT (lookup_status (world, 0, KEY_A1) == 200);
  limited = 0;
  for (guint i = 0; i < BURST_ROUNDS; i++)
    limited += run_round (world, &burst, TRUE);
  assert_true (limited > 0);
  standin_worker_set_max_running (world->plain[0], G_MAXUINT);
  AWAIT (run_round (world, &burst, TRUE) == 0);
  burst_clear (&burst);
  path_world_free (world);
}

/* A single tenant may use the whole service. */
static void
test_single_tenant_is_not_limited (void **state)
{
  PathWorld *world = start_world ("tenant-alone");
  Burst burst = { 0 };
  for (guint i = 0; i < BURST_ROUNDS; i++)
    {
      burst_send (world, &burst, KEY_A1);
      assert_int_equal (burst_take (world, &burst, FALSE), 0);
    }
  burst_clear (&burst);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst_is_limited),
    cmocka_unit_test (test_single_tenant_is_not_limited),
    cmocka_unit_test (test_lost_worker_and_front),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
