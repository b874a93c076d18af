/*
 * test-tenant-burst.c: guards against a burst of one tenant that costs other tenants their answers.
 *
 * Replays lookups of 83 tenants of uneven size and reward calls at a service of 8 workers with 6 slots that
 * refuse when full, in simulated time.  The attempts follow lib/forward/forward.c with its rules; hedges are
 * left out, since a worker that accepts a lookup answers it before it would be hedged.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/decisions/no-worker.h"
#include "core/decisions/retry-after.h"
#include "core/decisions/retry.h"
#include "core/decisions/tenant-share.h"

#define WORKERS 8
#define SLOTS 6
#define FRONTS 69
#define TENANTS 83
#define BURST_TENANT 0 /* also the largest one outside the burst */
#define BURST_CALLERS 400
/* Reward calls are sent by the leader, which is not limited. */
#define LEADER FRONTS
#define LOOKUPS_PER_S 12
#define REWARDS_PER_S 112 /* 7 groups of 16 samples every 4 s of four trainers */
#define LOOKUP_WORK_US 25000
#define REWARD_WORK_US 80000
/* Slots that reward calls use in the mean. */
#define REWARD_SLOTS 9
#define TARGET_US 150000
#define ONE_WAY_US 900
#define TICK_US 500
/* Lookups alone come first, so that the fronts know which tenants are active. */
#define BURST_START_US (30 * (gint64)G_USEC_PER_SEC)
#define END_US (36 * (gint64)G_USEC_PER_SEC)
#define SEEDS 20

typedef enum
{
  AT_CALLER, /* of the burst: sends its next request at next_us */
  CHOOSING,  /* chooses a worker at next_us */
  TO_WORKER,
  AT_WORKER,
  ANSWERED, /* the answer is on its way */
  REFUSED,  /* the refusal is on its way */
  GONE,
} Stage;

typedef struct
{
  Stage stage;
  guint tenant;
  guint process; /* front, or LEADER */
  guint worker;
  gboolean tried[WORKERS];
  gint64 started_us;
  gint64 next_us;
  QuinceRetryState retry;
  gboolean is_reward;
  gboolean is_burst;
} Request;

typedef struct
{
  guint sent;
  guint answered;
  guint late; /* answered after the latency target */
} Count;

typedef struct
{
  GRand *random;
  gboolean has_limit;
  gboolean has_burst;
  guint burst_fronts;
  gint64 now_us;
  GPtrArray *requests;                  /* Request, owned */
  guint running[WORKERS];               /* at the worker */
  guint in_flight[FRONTS + 1][WORKERS]; /* of each process */
  QuinceTenantShare *shares[FRONTS];
  gint64 last_refusal_us[FRONTS]; /* by a worker; 0: none */
  Count others;                   /* lookups of other tenants during the burst */
  Count burst;
  Count rewards; /* during the burst */
} Replay;

static const char *
tenant_name (guint tenant)
{
  static char names[TENANTS][8];
  g_snprintf (names[tenant], sizeof names[tenant], "t%u", tenant);
  return names[tenant];
}

static Count *
get_count (Replay *replay, const Request *request)
{
  static Count ignored;
  if (request->started_us < BURST_START_US)
    return &ignored;
  return request->is_reward ? &replay->rewards : request->is_burst ? &replay->burst : &replay->others;
}

/* ---- Requests ------------------------------------------------------------- */

/* A caller of the burst sends again after the Retry-After; the others do not. */
static void
refuse (Replay *replay, Request *request)
{
  const QuinceRetryAfterInput refusal = { .cause = QUINCE_REFUSED_NO_WORKER };
  request->stage = request->is_burst ? AT_CALLER : GONE;
  request->next_us = replay->now_us + quince_retry_after_ms (&refusal) * 1000;
}

static void
finish (Replay *replay, Request *request, gboolean answered)
{
  Count *count = get_count (replay, request);
  if (!request->is_reward)
    quince_tenant_share_end (replay->shares[request->process], tenant_name (request->tenant), replay->now_us);
  refuse (replay, request);
  if (!answered)
    return;
  request->next_us = replay->now_us;
  count->answered++;
  count->late += replay->now_us - request->started_us > TARGET_US;
}

/* Starts a request that has reached its process. */
static void
start (Replay *replay, Request *request)
{
  request->stage = CHOOSING;
  request->started_us = replay->now_us;
  request->next_us = replay->now_us;
  request->retry = (QuinceRetryState){ .repeatable = TRUE,
                                       .max_attempts = request->is_reward ? 4 : 3,
                                       .give_up_us = replay->now_us + 2 * G_USEC_PER_SEC };
  for (guint i = 0; i < WORKERS; i++)
    request->tried[i] = FALSE;
  get_count (replay, request)->sent++;
  if (request->is_reward)
    return;
  QuinceTenantShare *share = replay->shares[request->process];
  gboolean admitted = !replay->has_limit
                      || quince_tenant_share_admit (share, tenant_name (request->tenant), replay->now_us);
  if (admitted)
    quince_tenant_share_begin (share, tenant_name (request->tenant), replay->now_us);
  else
    refuse (replay, request);
}

static void
add (Replay *replay, guint tenant, guint process, gboolean is_reward, gboolean is_burst, gint64 start_us)
{
  Request *request = g_new0 (Request, 1);
  *request = (Request){ .stage = AT_CALLER,
                        .tenant = tenant,
                        .process = process,
                        .is_reward = is_reward,
                        .is_burst = is_burst,
                        .next_us = start_us };
  g_ptr_array_add (replay->requests, request);
}

/* Returns the untried worker with the fewest requests of this process, a random one of these; -1: none */
static gint
choose_worker (Replay *replay, const Request *request)
{
  const guint *in_flight = replay->in_flight[request->process];
  guint first = (guint)g_rand_int_range (replay->random, 0, WORKERS);
  gint best = -1;
  for (guint i = 0; i < WORKERS; i++)
    {
      guint worker = (first + i) % WORKERS;
      if (!request->tried[worker] && (best < 0 || in_flight[worker] < in_flight[best]))
        best = (gint)worker;
    }
  return best;
}

static void
try_worker (Replay *replay, Request *request)
{
  gint worker = choose_worker (replay, request);
  if (worker >= 0)
    {
      request->worker = (guint)worker;
      request->tried[worker] = TRUE;
      request->retry.runs++;
      replay->in_flight[request->process][worker]++;
      request->stage = TO_WORKER;
      request->next_us = replay->now_us + ONE_WAY_US;
      return;
    }
  const QuinceNoWorkerInput input = { .outcome = QUINCE_BACKEND_NONE,
                                      .tried_any = TRUE,
                                      .now_us = replay->now_us,
                                      .started_us = request->started_us,
                                      .target_latency_us = TARGET_US };
  for (guint i = 0; i < WORKERS; i++)
    request->tried[i] = FALSE;
  request->next_us = replay->now_us + QUINCE_NO_WORKER_PAUSE_US;
  if (!quince_no_worker_decide (&input).wait)
    finish (replay, request, FALSE);
}

static void
count_refusal (Replay *replay, guint process)
{
  QuinceTenantShare *share = replay->shares[process];
  if (quince_tenant_share_counts_refusal (share, replay->last_refusal_us[process], replay->now_us))
    quince_tenant_share_handle_refusal (share, replay->now_us);
  replay->last_refusal_us[process] = replay->now_us;
}

static void
handle_refusal (Replay *replay, Request *request)
{
  replay->in_flight[request->process][request->worker]--;
  request->retry.runs--;
  request->retry.refused_sends++;
  if (!request->is_reward)
    count_refusal (replay, request->process);
  request->stage = CHOOSING;
  if (!quince_retry_may_retry (&request->retry, replay->now_us))
    finish (replay, request, FALSE);
}

static void
reach_worker (Replay *replay, Request *request)
{
  gboolean is_full = replay->running[request->worker] >= SLOTS;
  request->stage = is_full ? REFUSED : AT_WORKER;
  request->next_us = replay->now_us
                     + (is_full              ? ONE_WAY_US
                        : request->is_reward ? REWARD_WORK_US
                                             : LOOKUP_WORK_US);
  replay->running[request->worker] += !is_full;
}

static void
step (Replay *replay, Request *request)
{
  switch (request->stage)
    {
    case AT_CALLER:
      start (replay, request);
      break;
    case CHOOSING:
      try_worker (replay, request);
      break;
    case TO_WORKER:
      reach_worker (replay, request);
      break;
    case AT_WORKER:
      replay->running[request->worker]--;
      request->stage = ANSWERED;
      request->next_us = replay->now_us + ONE_WAY_US;
      break;
    case ANSWERED:
      replay->in_flight[request->process][request->worker]--;
      finish (replay, request, TRUE);
      break;
    case REFUSED:
      handle_refusal (replay, request);
      break;
    case GONE:
    default:
      break;
    }
}

/* ---- Load ------------------------------------------------------------------ */

/* Returns a tenant with a probability that falls with its number: the first one has a fifth of the lookups.
 */
static guint
pick_tenant (Replay *replay)
{
  double sum = 0;
  for (guint i = 0; i < TENANTS; i++)
    sum += 1.0 / (i + 1);
  double at = g_rand_double_range (replay->random, 0, sum);
  guint tenant = 0;
  for (at -= 1; at > 0 && tenant + 1 < TENANTS; tenant++)
    at -= 1.0 / (tenant + 2);
  return tenant;
}

static void
add_load (Replay *replay)
{
  const double lookups = LOOKUPS_PER_S * TICK_US / (double)G_USEC_PER_SEC;
  const double rewards = REWARDS_PER_S * TICK_US / (double)G_USEC_PER_SEC;
  if (g_rand_double (replay->random) < lookups)
    {
      guint tenant = pick_tenant (replay);
      guint front = (guint)g_rand_int_range (replay->random, 0, FRONTS);
      if (tenant != BURST_TENANT || replay->now_us < BURST_START_US)
        add (replay, tenant, front, FALSE, FALSE, replay->now_us);
    }
  if (replay->now_us >= BURST_START_US - G_USEC_PER_SEC && g_rand_double (replay->random) < rewards)
    add (replay, 0, LEADER, TRUE, FALSE, replay->now_us);
  if (replay->has_burst && replay->now_us == BURST_START_US)
    for (guint i = 0; i < BURST_CALLERS; i++)
      add (replay, BURST_TENANT, i % replay->burst_fronts, FALSE, TRUE,
           replay->now_us + g_rand_int_range (replay->random, 0, LOOKUP_WORK_US));
}

static void
replay_once (Replay *replay, guint32 seed)
{
  replay->random = g_rand_new_with_seed (seed);
  replay->requests = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < FRONTS; i++)
    replay->shares[i] = quince_tenant_share_new ();
  for (replay->now_us = 0; replay->now_us < END_US; replay->now_us += TICK_US)
    {
      add_load (replay);
      for (guint i = replay->requests->len; i > 0; i--)
        {
          Request *request = replay->requests->pdata[i - 1];
          if (request->next_us <= replay->now_us)
            step (replay, request);
          if (request->stage == GONE)
            g_ptr_array_remove_index_fast (replay->requests, i - 1);
        }
    }
  for (guint i = 0; i < FRONTS; i++)
    quince_tenant_share_free (replay->shares[i]);
  g_ptr_array_unref (replay->requests);
  g_rand_free (replay->random);
  memset (replay->running, 0, sizeof replay->running);
  memset (replay->in_flight, 0, sizeof replay->in_flight);
}

/* Replays all seeds, prints the counts and returns them. */
static Replay
replay_all (gboolean has_burst, guint burst_fronts, gboolean has_limit)
{
  Replay replay = { .has_burst = has_burst, .burst_fronts = burst_fronts, .has_limit = has_limit };
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    replay_once (&replay, seed);
  print_message (
      "burst at %u fronts, limit %d: others %u of %u answered, %u late; burst %u of %u; rewards %u of %u\n",
      has_burst ? burst_fronts : 0, has_limit, replay.others.answered, replay.others.sent, replay.others.late,
      replay.burst.answered, replay.burst.sent, replay.rewards.answered, replay.rewards.sent);
  return replay;
}

static void
check_part (const Count *count, guint percent_min, guint percent_max)
{
  assert_true (count->answered * 100 >= count->sent * percent_min);
  assert_true (count->answered * 100 <= count->sent * percent_max);
}

static const guint burst_fronts[] = { 1, 4, 16, FRONTS };

/* Without the limit, a burst at any number of fronts costs the other tenants most of their answers, and the
 * samples their reward calls. */
static void
test_burst_without_limit (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (burst_fronts); i++)
    {
      const Replay replay = replay_all (TRUE, burst_fronts[i], FALSE);
      check_part (&replay.others, 0, 60);
      check_part (&replay.rewards, 0, 60);
    }
}

static void
test_burst_with_limit (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (burst_fronts); i++)
    {
      const Replay replay = replay_all (TRUE, burst_fronts[i], TRUE);
      check_part (&replay.others, 95, 100);
      check_part (&replay.rewards, 93, 100);
      assert_int_equal (replay.others.late, 0);
      /* The burst still gets half of the slots that the reward calls leave. */
      guint slots_used
          = (guint)(replay.burst.answered * (gint64)LOOKUP_WORK_US / (END_US - BURST_START_US) / SEEDS);
      assert_true (slots_used >= (WORKERS * SLOTS - REWARD_SLOTS) / 2);
    }
}

/* The load of a deployment without a burst is served as without the limit. */
static void
test_no_burst (void **state)
{
  const Replay without = replay_all (FALSE, 1, FALSE);
  const Replay with = replay_all (FALSE, 1, TRUE);
  assert_memory_equal (&with.others, &without.others, sizeof with.others);
  assert_memory_equal (&with.rewards, &without.rewards, sizeof with.rewards);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst_without_limit),
    cmocka_unit_test (test_burst_with_limit),
    cmocka_unit_test (test_no_burst),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
