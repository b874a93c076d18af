/*
 * test-owed-pause.c: work that is owed is never held, but sent after pauses; seeded by SOAK_SEED and
 * SOAK_STEPS.
 *
 * The simulation crashes workers at random, moves the quarantine to another leader, restarts all processes
 * and releases suspects.  Afterwards each item must be sent soon, and a lookup that crashes its workers must
 * be held.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/admission.h"
#include "core/request/service-capacity.h"
#include "soak-seeds.h"

#define MS G_GINT64_CONSTANT (1000)
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

/* ---- Pauses ---------------------------------------------------------------- */

#define PROMPT 900

static void
record_end (QuinceQuarantine *quarantine, gint64 now_us, guint number, guint worker, gboolean alone)
{
  const QuinceSuspect observed
      = { .digest = make_digest (number), .workers = { worker }, .n_workers = 1, .alone = alone };
  quince_quarantine_record_end (quarantine, now_us, &observed);
}

static void
record_prompt_end (QuinceQuarantine *quarantine, gint64 now_us, guint member, guint worker, gboolean alone)
{
  QuinceRequestDigest request = make_digest (member);
  const QuinceSuspect observed = { .digest = make_digest (PROMPT),
                                   .scope = QUINCE_SUSPECT_PROMPT,
                                   .workers = { worker },
                                   .n_workers = 1,
                                   .alone = alone,
                                   .member = quince_quarantine_hash_request (&request) };
  quince_quarantine_record_end (quarantine, now_us, &observed);
}

static QuinceRequestIdentity
make_identity (guint number, gboolean has_prompt)
{
  return (QuinceRequestIdentity){ .request = make_digest (number),
                                  .prompt = make_digest (PROMPT),
                                  .has_prompt = has_prompt };
}

static gint64
get_wait_us (const QuinceQuarantine *quarantine, gint64 now_us, guint number, gboolean has_prompt)
{
  const QuinceRequestIdentity identity = make_identity (number, has_prompt);
  return quince_quarantine_get_owed_wait_us (quarantine, now_us, &identity);
}

/* The pause doubles with each end alone from 0.5 s to 3 s.  It begins with the last end, and is never longer,
 * also if that end lies in the future. */
static void
test_pause_grows (void **state)
{
  static const gint64 pauses_ms[] = { 500, 1000, 2000, 3000, 3000, 3000 };
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  assert_int_equal (get_wait_us (quarantine, 0, 1, FALSE), 0);
  for (guint i = 0; i < QUINCE_QUARANTINE_HOLD_ENDS_MIN; i++)
    {
      assert_int_equal (get_wait_us (quarantine, 0, 1, FALSE), 0);
      record_end (quarantine, 0, 1, 100 + i, i >= 2);
    }
  for (guint i = 0; i < G_N_ELEMENTS (pauses_ms); i++)
    {
      gint64 end_us = i * SECOND;
      if (i > 0)
        record_end (quarantine, end_us, 1, 200 + i, TRUE);
      gint64 pause_us = pauses_ms[i] * MS;
      assert_int_equal (get_wait_us (quarantine, end_us, 1, FALSE), pause_us);
      assert_int_equal (get_wait_us (quarantine, end_us - SECOND, 1, FALSE), pause_us);
      assert_int_equal (get_wait_us (quarantine, end_us + pause_us - 1, 1, FALSE), 1);
      assert_int_equal (get_wait_us (quarantine, end_us + pause_us, 1, FALSE), 0);
    }
}

/* The pause of a held prompt binds all its requests.  The one that ran last yields to the others after it, so
 * that the next end is one of another request, which lengthens the pause. */
static void
test_pause_of_prompt (void **state)
{
  g_autoptr (QuinceQuarantine) quarantine = quince_quarantine_new (&limits);
  for (guint i = 0; i < 6; i++)
    record_prompt_end (quarantine, 0, 1 + i % 2, 101 + i, i >= 2);
  gint64 pause_us = 2 * SECOND;
  assert_int_equal (get_wait_us (quarantine, 0, 1, TRUE), pause_us);
  assert_int_equal (get_wait_us (quarantine, 0, 7, TRUE), pause_us);
  assert_int_equal (get_wait_us (quarantine, 0, 7, FALSE), 0);
  const QuinceRequestIdentity last = make_identity (2, TRUE);
  const QuinceRequestIdentity other = make_identity (1, TRUE);
  assert_false (quince_quarantine_should_yield (quarantine, pause_us, &other));
  assert_true (quince_quarantine_should_yield (quarantine, pause_us + 299 * MS, &last));
  assert_false (quince_quarantine_should_yield (quarantine, pause_us + 300 * MS, &last));
}

/* ---- Simulation ------------------------------------------------------------- */

#define STEP_MS 10
#define TROUBLE_MS 30000
#define WORKERS 10
#define RESTART_MS 1500
#define BURST_PERCENT 90
#define RUN_MS_MIN 50
#define RUN_MS_MAX 600
/* Number 0 is a lookup that ends its workers, 1 a harmless one with the prompt of the first items. */
#define LOOKUPS 2
#define ITEMS 8
#define ITEMS_OF_PROMPT 4
#define REQUESTS (LOOKUPS + ITEMS)
/* In calm: the restart of workers, the longest pause with the yield after it, and for each item a permit to
 * run alone (0.3 s) or, in turn with the others of its prompt, a run. */
#define PLACED_MS_MAX (RESTART_MS + 3300 + ITEMS * RUN_MS_MAX)

typedef struct
{
  gboolean done;
  gint worker; /* -1: not running */
  gint done_ms;
  gboolean has_permit;
  QuinceRequestDigest permit;
  gboolean alone;
  gboolean is_unlucky;    /* a burst meets most of its runs until calm */
  guint ends, ends_alone; /* since it was cleared or released */
} Run;

typedef struct
{
  QuinceQuarantine *quarantine;
  QuincePermits *permits;
  QuinceServiceCapacities *capacities;
  GRand *random;
  gint now_ms;
  Run runs[REQUESTS];
  gint down_until_ms[WORKERS];
  guint incarnation[WORKERS];
  guint moves, restarts, releases, held_items, postponed;
} Simulation;

static gint64
get_now_us (const Simulation *simulation)
{
  return simulation->now_ms * MS;
}

static QuinceRequestIdentity
get_identity (guint number)
{
  return make_identity (number, number >= 1 && number < LOOKUPS + ITEMS_OF_PROMPT);
}

static void
end_run (Simulation *simulation, Run *run)
{
  if (run->has_permit)
    quince_permits_return (simulation->permits, &run->permit, run);
  run->has_permit = FALSE;
  run->worker = -1;
}

static void
record_run_end (Simulation *simulation, guint number, QuinceSuspectScope scope)
{
  Run *run = &simulation->runs[number];
  const QuinceRequestIdentity identity = get_identity (number);
  guint worker = (guint)run->worker;
  const QuinceSuspect observed
      = { .digest = scope == QUINCE_SUSPECT_PROMPT ? identity.prompt : identity.request,
          .scope = scope,
          .workers = { 1000 + worker * 100000 + simulation->incarnation[worker] },
          .n_workers = 1,
          .alone = run->has_permit && run->alone,
          .member = quince_quarantine_hash_request (&identity.request),
          .service = (char *)"llm" };
  quince_quarantine_record_end (simulation->quarantine, get_now_us (simulation), &observed);
}

static void
end_worker (Simulation *simulation, guint worker)
{
  simulation->down_until_ms[worker] = simulation->now_ms + RESTART_MS;
  quince_service_capacities_record_end (simulation->capacities, get_now_us (simulation), "llm");
  for (guint i = 0; i < REQUESTS; i++)
    {
      Run *run = &simulation->runs[i];
      if (run->worker != (gint)worker)
        continue;
      run->ends++;
      run->ends_alone += run->has_permit && run->alone;
      record_run_end (simulation, i, QUINCE_SUSPECT_REQUEST);
      if (get_identity (i).has_prompt)
        record_run_end (simulation, i, QUINCE_SUSPECT_PROMPT);
      end_run (simulation, run);
    }
  simulation->incarnation[worker]++;
}

static gboolean
service_survives_end (Simulation *simulation)
{
  guint ready = 0;
  for (guint i = 0; i < WORKERS; i++)
    ready += simulation->now_ms >= simulation->down_until_ms[i];
  QuinceServiceCapacity capacity;
  quince_service_capacities_update (simulation->capacities, get_now_us (simulation), "llm", WORKERS, ready);
  quince_service_capacities_get (simulation->capacities, get_now_us (simulation), "llm", &capacity);
  return quince_service_capacity_survives_end (&capacity);
}

static gboolean
is_permit_in_use (const Simulation *simulation, const QuinceRequestDigest *digest)
{
  for (guint i = 0; i < REQUESTS; i++)
    if (simulation->runs[i].has_permit && quince_request_digest_equal (&simulation->runs[i].permit, digest))
      return TRUE;
  return FALSE;
}

/* Fails if owed work is held, or a lookup with four ends, two of them alone, is not. */
static void
check_admission (Simulation *simulation, guint number, QuinceSendRule rule, QuinceAdmission admission)
{
  const Run *run = &simulation->runs[number];
  gboolean owed = number >= LOOKUPS;
  if (owed)
    assert_int_not_equal (admission, QUINCE_ADMISSION_HELD);
  else if (rule == QUINCE_SEND_HELD)
    assert_int_equal (admission, QUINCE_ADMISSION_HELD);
  if (!owed && run->ends >= QUINCE_QUARANTINE_HOLD_ENDS_MIN
      && run->ends_alone >= QUINCE_QUARANTINE_HOLD_ALONE_ENDS_MIN)
    assert_int_equal (admission, QUINCE_ADMISSION_HELD);
  simulation->held_items += owed && rule == QUINCE_SEND_HELD;
  simulation->postponed += admission == QUINCE_ADMISSION_POSTPONED;
}

/* Decides as the send guard does.  Returns whether the request may be sent. */
static gboolean
is_admitted (Simulation *simulation, guint number)
{
  gint64 now_us = get_now_us (simulation);
  Run *run = &simulation->runs[number];
  const QuinceRequestIdentity identity = get_identity (number);
  QuinceSendRule prompt_rule = identity.has_prompt
                                   ? quince_quarantine_get_rule (simulation->quarantine, &identity.prompt)
                                   : QUINCE_SEND_UNRESTRICTED;
  QuinceSendRule rule
      = MAX (prompt_rule, quince_quarantine_get_rule (simulation->quarantine, &identity.request));
  run->permit = prompt_rule != QUINCE_SEND_UNRESTRICTED ? identity.prompt : identity.request;
  const QuinceAdmissionInput request
      = { .rule = rule,
          .permit_in_use = is_permit_in_use (simulation, &run->permit),
          .should_yield = quince_quarantine_should_yield (simulation->quarantine, now_us, &identity),
          .owed = number >= LOOKUPS,
          .owed_wait_us = quince_quarantine_get_owed_wait_us (simulation->quarantine, now_us, &identity) };
  QuinceAdmission admission = quince_admission_for_request (&request);
  check_admission (simulation, number, rule, admission);
  if (admission != QUINCE_ADMISSION_PERMIT)
    return admission == QUINCE_ADMISSION_GRANTED;
  run->alone = rule >= QUINCE_SEND_ALONE;
  if (!service_survives_end (simulation)
      || !quince_permits_take (simulation->permits, now_us, &run->permit, "llm", run->alone, run,
                               now_us + 3 * SECOND))
    return FALSE;
  run->has_permit = TRUE;
  return TRUE;
}

static void
try_send (Simulation *simulation, guint number)
{
  Run *run = &simulation->runs[number];
  guint worker = (guint)g_rand_int_range (simulation->random, 0, WORKERS);
  if (simulation->now_ms < simulation->down_until_ms[worker] || !is_admitted (simulation, number))
    return;
  run->worker = (gint)worker;
  run->done_ms = simulation->now_ms + g_rand_int_range (simulation->random, RUN_MS_MIN, RUN_MS_MAX);
}

static void
answer (Simulation *simulation, guint number)
{
  Run *run = &simulation->runs[number];
  const QuinceRequestIdentity identity = get_identity (number);
  quince_quarantine_clear (simulation->quarantine, &identity.request);
  if (identity.has_prompt)
    quince_quarantine_clear_prompt (simulation->quarantine, get_now_us (simulation), &identity.prompt);
  run->ends = run->ends_alone = 0;
  end_run (simulation, run);
  run->done = TRUE;
}

static gboolean
is_met_by_burst (Simulation *simulation, const Run *run)
{
  return simulation->now_ms < TROUBLE_MS && run->is_unlucky
         && g_rand_int_range (simulation->random, 0, 100) < BURST_PERCENT;
}

static void
step_requests (Simulation *simulation)
{
  for (guint i = 0; i < REQUESTS; i++)
    {
      Run *run = &simulation->runs[i];
      if (run->done)
        continue;
      if (run->worker < 0)
        try_send (simulation, i);
      else if (simulation->now_ms >= run->done_ms && (i == 0 || is_met_by_burst (simulation, run)))
        end_worker (simulation, (guint)run->worker);
      else if (simulation->now_ms >= run->done_ms)
        answer (simulation, i);
    }
}

/* Hands the suspects to another process: all of them to the next leader; at a start of all processes those
 * that are held, as the store has them. */
static void
move_quarantine (Simulation *simulation, gboolean held_only)
{
  QuinceQuarantine *next = quince_quarantine_new (&limits);
  g_autoptr (GPtrArray) suspects = quince_quarantine_list (simulation->quarantine);
  for (guint i = 0; i < suspects->len; i++)
    {
      QuinceSuspect suspect = *(const QuinceSuspect *)suspects->pdata[i];
      if (held_only && !suspect.held)
        continue;
      for (guint j = 0; held_only && j < suspect.n_workers; j++)
        suspect.workers[j] = j + 1; /* the entry has their number only */
      quince_quarantine_merge (next, get_now_us (simulation), &suspect);
    }
  for (guint i = 0; i < REQUESTS; i++)
    {
      end_run (simulation, &simulation->runs[i]); /* the connections of the former process are closed */
      if (held_only)
        simulation->runs[i].ends = simulation->runs[i].ends_alone = 0;
    }
  quince_quarantine_free (simulation->quarantine);
  quince_permits_free (simulation->permits);
  simulation->quarantine = next;
  simulation->permits = quince_permits_new ();
  quince_quarantine_restart_yield_time (next, get_now_us (simulation));
}

static void
release_suspect (Simulation *simulation)
{
  guint number = (guint)g_rand_int_range (simulation->random, 0, REQUESTS);
  const QuinceRequestDigest digest = make_digest (number);
  if (!quince_quarantine_release (simulation->quarantine, get_now_us (simulation), &digest))
    return;
  simulation->releases++;
  simulation->runs[number].ends = simulation->runs[number].ends_alone = 0;
}

static guint
find_busy_worker (Simulation *simulation)
{
  guint number = (guint)g_rand_int_range (simulation->random, 0, REQUESTS);
  gint worker = simulation->runs[number].worker;
  return worker >= 0 ? (guint)worker : (guint)g_rand_int_range (simulation->random, 0, WORKERS);
}

static void
make_trouble (Simulation *simulation)
{
  gint lot = g_rand_int_range (simulation->random, 0, 10000);
  if (lot < 400)
    end_worker (simulation, find_busy_worker (simulation));
  else if (lot < 405)
    move_quarantine (simulation, FALSE);
  else if (lot < 407)
    move_quarantine (simulation, TRUE);
  else if (lot < 412)
    release_suspect (simulation);
  simulation->moves += lot >= 400 && lot < 405;
  simulation->restarts += lot >= 405 && lot < 407;
  /* Items come again, so that some are owed when the trouble ends. */
  guint number = (guint)g_rand_int_range (simulation->random, 1, REQUESTS);
  if (lot % 10 == 0)
    simulation->runs[number].done = FALSE;
}

static gboolean
are_items_done (const Simulation *simulation)
{
  for (guint i = LOOKUPS; i < REQUESTS; i++)
    if (!simulation->runs[i].done)
      return FALSE;
  return TRUE;
}

/* Returns the time in calm until all items were answered, ms. */
static gint
simulate (Simulation *simulation)
{
  for (guint i = 0; i < REQUESTS; i++)
    {
      simulation->runs[i].worker = -1;
      simulation->runs[i].is_unlucky = i >= LOOKUPS && g_rand_int_range (simulation->random, 0, 3) == 0;
    }
  for (; simulation->now_ms < TROUBLE_MS; simulation->now_ms += STEP_MS)
    {
      make_trouble (simulation);
      step_requests (simulation);
    }
  /* The lookup that ends workers is one more trouble until it is held. */
  simulation->runs[0].done = TRUE;
  if (simulation->runs[0].worker >= 0)
    end_run (simulation, &simulation->runs[0]);
  for (; !are_items_done (simulation) && simulation->now_ms <= TROUBLE_MS + PLACED_MS_MAX;
       simulation->now_ms += STEP_MS)
    step_requests (simulation);
  return simulation->now_ms - TROUBLE_MS;
}

static void
test_owed_work_is_placed_in_calm (void **state)
{
  guint32 first = get_first_seed ();
  gint longest_ms = 0;
  guint held_items = 0;
  for (guint32 seed = first; seed < first + get_n_seeds (10); seed++)
    {
      Simulation simulation = { .quarantine = quince_quarantine_new (&limits),
                                .permits = quince_permits_new (),
                                .capacities = quince_service_capacities_new (),
                                .random = g_rand_new_with_seed (seed) };
      gint took_ms = simulate (&simulation);
      print_message ("seed %u: placed after %d ms; %u leaders, %u restarts, %u releases, %u checks of held "
                     "items, %u of them postponed\n",
                     seed, took_ms, simulation.moves, simulation.restarts, simulation.releases,
                     simulation.held_items, simulation.postponed);
      assert_in_range (took_ms, 0, PLACED_MS_MAX);
      longest_ms = MAX (longest_ms, took_ms);
      held_items += simulation.held_items;
      g_rand_free (simulation.random);
      quince_service_capacities_free (simulation.capacities);
      quince_permits_free (simulation.permits);
      quince_quarantine_free (simulation.quarantine);
    }
  print_message ("longest time in calm: %d ms\n", longest_ms);
  assert_true (held_items > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pause_grows),
    cmocka_unit_test (test_pause_of_prompt),
    cmocka_unit_test (test_owed_work_is_placed_in_calm),
  };
  return cmocka_run_group_tests_name ("owed-pause", tests, NULL, NULL);
}
