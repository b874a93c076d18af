/*
 * test-quarantine-core.c: when suspects are held and cleared, the limits of the quarantine, permits, and a
 * simulation of harmful and harmless requests.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/request/quarantine.h"

#define SECOND G_TIME_SPAN_SECOND

static const QuinceQuarantineLimits limits = { .suspects_max = 64,
                                               .suspect_bytes_max = 64 * 1024,
                                               .suspect_ttl_us = 600 * SECOND,
                                               .held_ttl_us = 86400 * SECOND };

static QuinceRequestDigest
make_digest (guint number)
{
  QuinceRequestDigest digest;
  quince_request_digest_make (&digest, NULL, "h", "POST", "/x", &number, sizeof number);
  return digest;
}

static const QuinceSuspect *
record_end (QuinceQuarantine *quarantine, gint64 now_us, guint number, guint worker, gboolean alone)
{
  const QuinceSuspect observed = { .digest = make_digest (number),
                                   .workers = { worker },
                                   .n_workers = 1,
                                   .alone = alone,
                                   .service = "svc",
                                   .software = "v1" };
  return quince_quarantine_record_end (quarantine, now_us, &observed);
}

static QuinceSendRule
get_rule (QuinceQuarantine *quarantine, guint number)
{
  QuinceRequestDigest digest = make_digest (number);
  return quince_quarantine_get_rule (quarantine, &digest);
}

/* ---- Holding and clearing ------------------------------------------------- */

static void
test_rule_by_ends (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_UNRESTRICTED);
  record_end (quarantine, 1, 1, 101, FALSE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_BY_PERMIT);
  record_end (quarantine, 2, 1, 101, FALSE); /* reported for another connection */
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_BY_PERMIT);
  record_end (quarantine, 3, 1, 102, FALSE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_ALONE);
  record_end (quarantine, 4, 1, 103, TRUE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_ALONE); /* three ends may be coincidence */
  record_end (quarantine, 5, 1, 104, TRUE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_HELD);
}

/* Ends of a request that was not sent alone never hold it. */
static void
test_ends_beside_others_do_not_hold (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  for (guint i = 0; i < 20; i++)
    record_end (quarantine, i, 1, 100 + i, FALSE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_ALONE);
  record_end (quarantine, 20, 1, 200, TRUE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_ALONE);
  QuinceRequestDigest digest = make_digest (1);
  assert_true (quince_quarantine_clear (quarantine, &digest));
  assert_false (quince_quarantine_clear (quarantine, &digest));
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_UNRESTRICTED);
}

static void
hold_request (QuinceQuarantine *quarantine, gint64 now_us, guint number)
{
  for (guint i = 0; i < QUINCE_QUARANTINE_HOLD_ENDS_MIN; i++)
    record_end (quarantine, now_us, number, 100 + i, i >= 2);
  assert_int_equal (get_rule (quarantine, number), QUINCE_SEND_HELD);
}

static void
test_release (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  g_autoptr (QuinceQuarantine) other = quince_quarantine_new (&limits);
  QuinceRequestDigest digest = make_digest (1);
  hold_request (quarantine, 1, 1);
  assert_true (quince_quarantine_merge (other, 2, quince_quarantine_find (quarantine, &digest)));
  assert_int_equal (get_rule (other, 1), QUINCE_SEND_HELD);
  assert_true (quince_quarantine_release (quarantine, 3, &digest));
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_ALONE);
  /* A report from before the release does not undo it; a report of the release is adopted. */
  assert_false (quince_quarantine_merge (quarantine, 4, quince_quarantine_find (other, &digest)));
  assert_true (quince_quarantine_merge (other, 4, quince_quarantine_find (quarantine, &digest)));
  assert_int_equal (get_rule (other, 1), QUINCE_SEND_ALONE);
  /* One more end holds it again, since it was sent alone. */
  record_end (quarantine, 5, 1, 200, TRUE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_HELD);
}

/* Reports of sixty fronts, with one end each, add up at the leader.  A repeated report changes nothing. */
static void
test_merge_of_many_fronts (void **state)
{
  g_autoptr (QuinceQuarantine) leader = quince_quarantine_new (&limits);
  QuinceRequestDigest digest = make_digest (1);
  for (guint i = 0; i < 60; i++)
    {
      g_autoptr (QuinceQuarantine) front = quince_quarantine_new (&limits);
      record_end (front, i, 1, 100 + i, FALSE);
      quince_quarantine_merge (leader, i, quince_quarantine_find (front, &digest));
      assert_false (quince_quarantine_merge (leader, i, quince_quarantine_find (front, &digest)));
    }
  assert_int_equal (get_rule (leader, 1), QUINCE_SEND_ALONE);
  assert_int_equal (quince_quarantine_find (leader, &digest)->n_workers, QUINCE_QUARANTINE_WORKERS_MAX);
}

/* Two ends at which a request was sent alone hold it, also if many other ends came before. */
static void
test_held_after_two_ends_when_sent_alone (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  for (guint i = 0; i < 20; i++)
    record_end (quarantine, i, 1, 100 + i, FALSE);
  record_end (quarantine, 20, 1, 200, TRUE);
  record_end (quarantine, 21, 1, 201, TRUE);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_HELD);
}

/* ---- Prompts ---------------------------------------------------------------- */

#define PROMPT 900

static const QuinceSuspect *
record_prompt_end (QuinceQuarantine *quarantine, gint64 now_us, guint member, guint worker, gboolean alone)
{
  QuinceRequestDigest request = make_digest (member);
  const QuinceSuspect observed = { .digest = make_digest (PROMPT),
                                   .scope = QUINCE_SUSPECT_PROMPT,
                                   .workers = { worker },
                                   .n_workers = 1,
                                   .alone = alone,
                                   .member = quince_quarantine_hash_request (&request),
                                   .service = "svc",
                                   .software = "v1" };
  return quince_quarantine_record_end (quarantine, now_us, &observed);
}

static gboolean
should_yield (QuinceQuarantine *quarantine, gint64 now_us, guint member)
{
  const QuinceRequestIdentity identity
      = { .request = make_digest (member), .prompt = make_digest (PROMPT), .has_prompt = TRUE };
  return quince_quarantine_should_yield (quarantine, now_us, &identity);
}

/* Ends of different requests of a prompt add up.  Successive ends of the same request count once if it
 * was sent alone, and it yields to the others. */
static void
test_prompt_held_by_ends_of_different_requests (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  record_prompt_end (quarantine, 1, 1, 101, FALSE);
  assert_int_equal (get_rule (quarantine, PROMPT), QUINCE_SEND_BY_PERMIT);
  assert_false (should_yield (quarantine, 1, 1));
  record_prompt_end (quarantine, 2, 2, 102, FALSE);
  assert_int_equal (get_rule (quarantine, PROMPT), QUINCE_SEND_ALONE);
  record_prompt_end (quarantine, 3, 3, 103, TRUE);
  assert_true (should_yield (quarantine, 3, 3));
  assert_false (should_yield (quarantine, 3, 4));
  assert_false (should_yield (quarantine, 3 + 10 * SECOND, 3)); /* yield time is over */
  for (guint i = 0; i < 10; i++)
    record_prompt_end (quarantine, 4 + i, 3, 200 + i, TRUE);
  assert_int_equal (get_rule (quarantine, PROMPT), QUINCE_SEND_ALONE);
  record_prompt_end (quarantine, 20, 4, 300, TRUE);
  assert_int_equal (get_rule (quarantine, PROMPT), QUINCE_SEND_HELD);
}

/* An answer clears the prompt.  For a minute, only ends of requests that were sent alone count. */
static void
test_prompt_cleared (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  g_autoptr (QuinceQuarantine) other = quince_quarantine_new (&limits);
  QuinceRequestDigest prompt = make_digest (PROMPT);
  record_prompt_end (quarantine, 1, 1, 101, FALSE);
  record_prompt_end (other, 1, 1, 101, FALSE);
  assert_true (quince_quarantine_clear_prompt (quarantine, 2, &prompt));
  assert_false (quince_quarantine_clear_prompt (quarantine, 2, &prompt));
  assert_null (record_prompt_end (quarantine, 3, 2, 102, FALSE));
  assert_int_equal (get_rule (quarantine, PROMPT), QUINCE_SEND_UNRESTRICTED);
  assert_true (quince_quarantine_has_worker_ended (quarantine, 102));
  /* A report from before the clear does not restore the suspect. */
  assert_false (quince_quarantine_merge (quarantine, 4, quince_quarantine_find (other, &prompt)));
  record_prompt_end (quarantine, 5, 3, 103, TRUE);
  assert_int_equal (get_rule (quarantine, PROMPT), QUINCE_SEND_BY_PERMIT);
  /* The effect of a clear ends after a minute. */
  quince_quarantine_clear_prompt (quarantine, 6, &prompt);
  assert_non_null (record_prompt_end (quarantine, 6 + 120 * SECOND, 2, 104, FALSE));
}

/* A process that merged a report of a suspected prompt holds it after an end of another request. */
static void
test_prompt_merged (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  g_autoptr (QuinceQuarantine) successor = quince_quarantine_new (&limits);
  QuinceRequestDigest prompt = make_digest (PROMPT);
  for (guint i = 0; i < 3; i++)
    record_prompt_end (quarantine, 1, i, 101 + i, FALSE);
  record_prompt_end (quarantine, 2, 3, 104, TRUE);
  assert_true (quince_quarantine_merge (successor, 3, quince_quarantine_find (quarantine, &prompt)));
  assert_true (should_yield (successor, 3, 3));
  assert_true (quince_quarantine_has_worker_ended (successor, 104));
  record_prompt_end (successor, 4, 3, 105, TRUE);
  assert_int_equal (get_rule (successor, PROMPT), QUINCE_SEND_ALONE);
  record_prompt_end (successor, 5, 4, 106, TRUE);
  assert_int_equal (get_rule (successor, PROMPT), QUINCE_SEND_HELD);
}

/* A new leader first sends another request of the prompt, also if its election took longer than the yield
 * time. */
static void
test_yield_restarts_after_election (void **state)
{
  g_autoptr (QuinceQuarantine) successor = quince_quarantine_new (&limits);
  record_prompt_end (successor, 1, 1, 101, FALSE);
  record_prompt_end (successor, 2, 2, 102, FALSE);
  record_prompt_end (successor, 3, 3, 103, TRUE);
  gint64 elected_us = 3 + 5 * SECOND;
  assert_false (should_yield (successor, elected_us, 3));
  quince_quarantine_restart_yield_time (successor, elected_us);
  assert_true (should_yield (successor, elected_us, 3));
  assert_false (should_yield (successor, elected_us, 4));
  assert_false (should_yield (successor, elected_us + 10 * SECOND, 3)); /* yield time is over */
}

/* The expected state of a send makes a successor hold the request.  Computing it does not change the
 * quarantine. */
static void
test_expected_end (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  g_autoptr (QuinceQuarantine) successor = quince_quarantine_new (&limits);
  for (guint i = 0; i < 3; i++)
    record_end (quarantine, 1 + i, 1, 101 + i, i == 2);
  const QuinceSuspect observed
      = { .digest = make_digest (1), .workers = { 104 }, .n_workers = 1, .alone = 1, .service = "svc" };
  QuinceSuspect expected;
  quince_quarantine_expect_end (quarantine, 5, &observed, &expected);
  assert_int_equal (expected.n_workers, 4);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_ALONE);
  assert_int_equal (quince_quarantine_find (quarantine, &observed.digest)->n_workers, 3);
  assert_true (quince_quarantine_merge (successor, 6, &expected));
  assert_int_equal (get_rule (successor, 1), QUINCE_SEND_HELD);
}

/* ---- Limits ----------------------------------------------------------------- */

static void
test_suspect_limit (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  hold_request (quarantine, 1, 1);
  record_end (quarantine, 2, 2, 101, FALSE);
  record_end (quarantine, 2, 2, 102, FALSE);
  for (guint i = 0; i < 20000; i++)
    {
      record_end (quarantine, 3 + i, 1000 + i, i, FALSE);
      assert_true (quince_quarantine_get_size (quarantine) <= limits.suspects_max);
      assert_true (quince_quarantine_get_bytes (quarantine) <= limits.suspect_bytes_max);
    }
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_HELD);
  assert_int_equal (get_rule (quarantine, 2), QUINCE_SEND_ALONE);
}

static void
test_byte_limit (void **state)
{
  QuinceQuarantineLimits small_limits = limits;
  small_limits.suspect_bytes_max = 1000;
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&small_limits);
  hold_request (quarantine, 1, 1);
  for (guint i = 0; i < 100; i++)
    record_end (quarantine, 2 + i, 1000 + i, i, FALSE);
  assert_true (quince_quarantine_get_bytes (quarantine) <= small_limits.suspect_bytes_max);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_HELD);
}

static void
test_expiry (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  hold_request (quarantine, 0, 1);
  record_end (quarantine, 0, 2, 101, FALSE);
  quince_quarantine_expire (quarantine, limits.suspect_ttl_us - 1);
  assert_int_equal (quince_quarantine_get_size (quarantine), 2);
  quince_quarantine_expire (quarantine, limits.suspect_ttl_us);
  assert_int_equal (get_rule (quarantine, 2), QUINCE_SEND_UNRESTRICTED);
  assert_int_equal (get_rule (quarantine, 1), QUINCE_SEND_HELD);
  quince_quarantine_expire (quarantine, limits.held_ttl_us);
  assert_int_equal (quince_quarantine_get_size (quarantine), 0);
}

/* ---- Permits ----------------------------------------------------------------- */

static gboolean
take_permit (QuincePermits *permits, gint64 now_us, guint number, gboolean alone, const char *holder)
{
  QuinceRequestDigest digest = make_digest (number);
  return quince_permits_take (permits, now_us, &digest, "svc", alone, holder, now_us + SECOND);
}

static void
test_permits (void **state)
{
  g_autoptr (QuincePermits) permits = quince_permits_new ();
  QuinceRequestDigest digest = make_digest (1);
  assert_true (take_permit (permits, 0, 1, TRUE, "a"));
  assert_false (take_permit (permits, 1, 1, TRUE, "b")); /* one permit for a request at a time */
  assert_false (take_permit (permits, 1, 2, TRUE, "b")); /* one permit to run alone for a service */
  assert_true (take_permit (permits, 1, 3, FALSE, "b")); /* does not run alone: not blocked */
  quince_permits_return (permits, &digest, "b");         /* ignored: held by "a" */
  assert_false (take_permit (permits, 2, 1, TRUE, "b"));
  quince_permits_return (permits, &digest, "a");
  assert_true (take_permit (permits, 2, 1, TRUE, "b"));
  quince_permits_return_all (permits, "b");
  assert_true (take_permit (permits, 3, 2, TRUE, "c"));
  assert_false (take_permit (permits, 4, 1, TRUE, "a"));
  assert_true (take_permit (permits, 3 + SECOND / 2, 1, TRUE, "a")); /* blocks others for 0.3 s only */
  assert_false (take_permit (permits, 3 + SECOND / 2, 2, TRUE, "d"));
  assert_true (take_permit (permits, 3 + SECOND * 2, 2, TRUE, "d")); /* the earlier permit expired */
}

static guint
count_recent_permits (QuincePermits *permits, gint64 now_us, const char *service, guint excluded)
{
  QuinceRequestDigest digest = make_digest (excluded);
  return quince_permits_count_recent (permits, now_us, service, &digest);
}

/* Only permits of the last 0.3 s count, except for the excluded request. */
static void
test_recent_permits (void **state)
{
  g_autoptr (QuincePermits) permits = quince_permits_new ();
  assert_true (take_permit (permits, 0, 1, FALSE, "a"));
  assert_true (take_permit (permits, 0, 2, FALSE, "a"));
  assert_int_equal (count_recent_permits (permits, 1, "svc", 3), 2);
  assert_int_equal (count_recent_permits (permits, 1, "svc", 2), 1);
  assert_int_equal (count_recent_permits (permits, 1, "other", 3), 0);
  assert_int_equal (count_recent_permits (permits, SECOND / 2, "svc", 3), 0);
}

/* ---- Simulation --------------------------------------------------------------- */

#define SIMULATION_MS 120000
#define WORKERS 8
#define SLOTS_PER_WORKER 6
#define RESTART_MS 3000
#define RUN_MS 40
#define ATTEMPTS_MAX 12
#define HARMFUL_REQUESTS 10

typedef struct
{
  guint number;
  guint attempts;
  gint worker; /* -1: not running */
  gint done_ms;
  gboolean alone;
} Request;

typedef struct
{
  QuinceQuarantine *quarantine;
  QuincePermits *permits;
  GRand *random;
  GPtrArray *requests; /* Request, owned */
  gint down_until_ms[WORKERS];
  guint incarnation[WORKERS];
  guint slots_used[WORKERS];
  guint harmful_sends[HARMFUL_REQUESTS];
  guint harmless, harmless_held, harmless_given_up, harmless_three_ends;
} Simulation;

static gboolean
is_harmful (const Request *request)
{
  return request->number < HARMFUL_REQUESTS;
}

static void
stop_run (Simulation *simulation, Request *request)
{
  QuinceRequestDigest digest = make_digest (request->number);
  quince_permits_return (simulation->permits, &digest, request);
  simulation->slots_used[request->worker]--;
  request->worker = -1;
}

/* Records an end for each request that runs on the worker. */
static void
simulate_worker_end (Simulation *simulation, gint now_ms, guint worker)
{
  simulation->down_until_ms[worker] = now_ms + RESTART_MS;
  for (guint i = 0; i < simulation->requests->len; i++)
    {
      Request *request = simulation->requests->pdata[i];
      if (request->worker != (gint)worker)
        continue;
      const QuinceSuspect *known
          = record_end (simulation->quarantine, now_ms * 1000, request->number,
                        worker * 100000 + simulation->incarnation[worker], request->alone);
      simulation->harmless_three_ends += !is_harmful (request) && known->n_workers == 3;
      stop_run (simulation, request);
    }
  simulation->incarnation[worker]++;
}

/* Sends the request to a random worker, if possible.  Returns whether it is held or given up. */
static gboolean
try_send (Simulation *simulation, gint now_ms, Request *request)
{
  QuinceRequestDigest digest = make_digest (request->number);
  QuinceSendRule rule = quince_quarantine_get_rule (simulation->quarantine, &digest);
  if (rule == QUINCE_SEND_HELD)
    {
      simulation->harmless_held += !is_harmful (request);
      return TRUE;
    }
  guint worker = (guint)g_rand_int_range (simulation->random, 0, WORKERS);
  if (now_ms < simulation->down_until_ms[worker] || simulation->slots_used[worker] >= SLOTS_PER_WORKER)
    return FALSE;
  request->alone = rule == QUINCE_SEND_ALONE;
  if (rule != QUINCE_SEND_UNRESTRICTED
      && !quince_permits_take (simulation->permits, now_ms * 1000, &digest, "svc", request->alone, request,
                               (now_ms + 3000) * 1000))
    return FALSE;
  if (++request->attempts > ATTEMPTS_MAX)
    {
      quince_permits_return (simulation->permits, &digest, request);
      simulation->harmless_given_up += !is_harmful (request);
      return TRUE;
    }
  request->worker = (gint)worker;
  request->done_ms = now_ms + RUN_MS;
  simulation->slots_used[worker]++;
  if (is_harmful (request))
    simulation->harmful_sends[request->number]++;
  return FALSE;
}

/* Advances the request by one millisecond.  Returns whether it is answered, held or given up. */
static gboolean
step_request (Simulation *simulation, gint now_ms, Request *request)
{
  if (request->worker < 0)
    return try_send (simulation, now_ms, request);
  if (now_ms < request->done_ms)
    return FALSE;
  if (is_harmful (request))
    {
      simulate_worker_end (simulation, now_ms, (guint)request->worker);
      return FALSE;
    }
  QuinceRequestDigest digest = make_digest (request->number);
  quince_quarantine_clear (simulation->quarantine, &digest);
  stop_run (simulation, request);
  return TRUE;
}

static void
add_request (Simulation *simulation, gint now_ms, guint number)
{
  Request *request = g_new0 (Request, 1);
  request->number = number;
  request->worker = -1;
  simulation->harmless += !is_harmful (request);
  g_ptr_array_add (simulation->requests, request);
}

static void
simulate (Simulation *simulation, guint kill_interval_ms)
{
  for (gint now_ms = 0; now_ms < SIMULATION_MS; now_ms++)
    {
      if (now_ms % 10 == 0)
        add_request (simulation, now_ms, HARMFUL_REQUESTS + (guint)now_ms);
      if (now_ms % 997 == 0)
        add_request (simulation, now_ms, (guint)(now_ms / 997) % HARMFUL_REQUESTS);
      if (kill_interval_ms > 0 && g_rand_int_range (simulation->random, 0, (gint)kill_interval_ms) == 0)
        simulate_worker_end (simulation, now_ms, (guint)g_rand_int_range (simulation->random, 0, WORKERS));
      for (guint i = simulation->requests->len; i > 0; i--)
        if (step_request (simulation, now_ms, simulation->requests->pdata[i - 1]))
          g_ptr_array_remove_index_fast (simulation->requests, i - 1);
    }
}

/* Ten harmful requests are repeated every ten seconds, besides a hundred harmless requests per second.
 * Workers also end for other reasons.  No harmless request may be held or given up, and each harmful one is
 * sent six times at most. */
static void
test_false_and_missed_holds (void **state)
{
  static const guint kill_intervals_ms[] = { 0, 1000, 300 };
  for (guint i = 0; i < G_N_ELEMENTS (kill_intervals_ms); i++)
    {
      Simulation simulation = { 0 };
      simulation.quarantine = quince_quarantine_new (&limits);
      simulation.permits = quince_permits_new ();
      simulation.random = g_rand_new_with_seed (7 + i);
      simulation.requests = g_ptr_array_new_with_free_func (g_free);
      simulate (&simulation, kill_intervals_ms[i]);
      guint sends_max = 0;
      for (guint j = 0; j < HARMFUL_REQUESTS; j++)
        sends_max = MAX (sends_max, simulation.harmful_sends[j]);
      print_message ("mean time between worker failures %u ms: of %u harmless requests %u had three ends, %u "
                     "were held, %u given "
                     "up; at most %u sends of one harmful request\n",
                     kill_intervals_ms[i], simulation.harmless, simulation.harmless_three_ends,
                     simulation.harmless_held, simulation.harmless_given_up, sends_max);
      assert_int_equal (simulation.harmless_held, 0);
      assert_int_equal (simulation.harmless_given_up, 0);
      assert_in_range (sends_max, 1, 6);
      g_ptr_array_unref (simulation.requests);
      g_rand_free (simulation.random);
      quince_permits_free (simulation.permits);
      quince_quarantine_free (simulation.quarantine);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rule_by_ends),
    cmocka_unit_test (test_ends_beside_others_do_not_hold),
    cmocka_unit_test (test_release),
    cmocka_unit_test (test_suspect_limit),
    cmocka_unit_test (test_merge_of_many_fronts),
    cmocka_unit_test (test_byte_limit),
    cmocka_unit_test (test_held_after_two_ends_when_sent_alone),
    cmocka_unit_test (test_expiry),
    cmocka_unit_test (test_permits),
    cmocka_unit_test (test_false_and_missed_holds),
    cmocka_unit_test (test_prompt_held_by_ends_of_different_requests),
    cmocka_unit_test (test_prompt_cleared),
    cmocka_unit_test (test_prompt_merged),
    cmocka_unit_test (test_recent_permits),
    cmocka_unit_test (test_yield_restarts_after_election),
    cmocka_unit_test (test_expected_end),
  };
  return cmocka_run_group_tests_name ("quarantine-core", tests, NULL, NULL);
}
