/*
 * bench-core.c: see bench-core.h.
 */
#include "bench-core.h"

#include <stdio.h>
#include <string.h>

#include <quince/policy.h>
#include <quince/scheduler.h>

#define ENGINES 12
#define SLOTS 32
#define BLOCKS 16
#define PROMPTS 64        /* different prompt prefixes                      */
#define IN_FLIGHT 256     /* grants held before the oldest one ends         */
#define ARRIVAL_US 20     /* simulated time between requests                */
#define REPORT_EVERY 5000 /* requests between load reports: 100 ms          */
#define SERVICE_MS 80

typedef struct
{
  QuinceScheduler *scheduler;
  QuincePolicy *policy;
  GPtrArray *decisions;
  gint64 now_us;
  guint64 in_flight[IN_FLIGHT]; /* grant ids, 0: none */
  guint64 granted;
  guint64 refused;
} Bench;

static gboolean
admit (gpointer user_data, const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  return quince_policy_admit (user_data, request, out, NULL);
}

static gboolean
score (gpointer user_data,
       const QuincePolicyRequest *request,
       const QuincePolicyEngine *engines,
       guint n_engines,
       double *scores)
{
  return quince_policy_score (user_data, request, engines, n_engines, scores, NULL);
}

static void
report_engines (Bench *bench)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      g_autofree char *name = g_strdup_printf ("engine-%u", i);
      QuinceEngineReport report = {
        .name = name,
        .address = "127.0.0.1:9000",
        .service = "service",
        .zone = i % 3 == 0 ? "zone-a" : "zone-b",
        .capacity = SLOTS,
        .weight_version = 7,
        .target_version = 7,
        .available = TRUE,
      };
      quince_scheduler_engine_report (bench->scheduler, bench->now_us, &report, bench->decisions);
    }
}

/* Counts the decisions and remembers the grants, ending the oldest. */
static void
take_decisions (Bench *bench)
{
  for (guint i = 0; i < bench->decisions->len; i++)
    {
      const QuinceDecision *decision = bench->decisions->pdata[i];
      if (decision->reply.verdict.kind != QUINCE_VERDICT_GRANTED)
        {
          bench->refused++;
          continue;
        }
      bench->in_flight[bench->granted++ % IN_FLIGHT] = decision->reply.verdict.QuinceVerdict_u.grant.grant_id;
    }
  g_ptr_array_set_size (bench->decisions, 0);
}

static void
end_oldest (Bench *bench)
{
  QuinceGrantEnd end = {
    .grant_id = bench->in_flight[bench->granted % IN_FLIGHT],
    .outcome = QUINCE_OUTCOME_FINISHED,
    .on_time = TRUE,
    .tokens = 50,
    .service_ms = SERVICE_MS,
    .weight_version = 7,
  };
  quince_scheduler_end (bench->scheduler, bench->now_us, &end, bench->decisions);
}

static void
ask (Bench *bench, guint64 number)
{
  static const char *const members[] = { "member-a", "member-b", "member-c", "member-d" };
  guint64 prefix[BLOCKS];
  guint64 prompt = (number * 2654435761u) % PROMPTS;
  for (guint i = 0; i < BLOCKS; i++)
    prefix[i] = prompt * 1000003 + i;
  QuinceGrantRequest request = {
    .attempt = 1,
    .service = (char *)"service",
    .member = (char *)members[number % G_N_ELEMENTS (members)],
    .kind = (char *)(number % 8 == 0 ? "rollout" : "lookup"),
    .work_class = number % 8 == 0 ? QUINCE_WORK_ROLLOUT : QUINCE_WORK_LOOKUP,
    .deadline_ms = 2000,
    .prompt_tokens = 200,
    .expected_tokens = 50,
    .prefix = { BLOCKS, prefix },
  };
  memcpy (request.request_id, &number, sizeof number);
  quince_scheduler_request (bench->scheduler, bench->now_us, 1, &request, bench->decisions);
}

static void
run (Bench *bench, guint64 decisions)
{
  for (guint64 number = 1; number <= decisions; number++)
    {
      bench->now_us += ARRIVAL_US;
      if (number % REPORT_EVERY == 1)
        report_engines (bench);
      end_oldest (bench);
      ask (bench, number);
      take_decisions (bench);
    }
}

static void
print_result (const Bench *bench, guint64 decisions, double elapsed_s)
{
  QuinceSchedulerCounters counters;
  quince_scheduler_get_counters (bench->scheduler, &counters);
  printf ("bench=core engines=%d policy=%s decisions=%" G_GUINT64_FORMAT
          " seconds=%.3f decisions_per_second=%.0f "
          "granted=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
          " waiting=%u policy_failures=%" G_GUINT64_FORMAT "\n",
          ENGINES, bench->policy != NULL ? "program" : "built-in", decisions, elapsed_s,
          elapsed_s > 0 ? (double)decisions / elapsed_s : 0.0, bench->granted, bench->refused,
          counters.waiting, counters.policy_failures);
}

int
quince_bench_core_run (guint64 decisions, const char *policy_text)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QuincePolicy) policy = NULL;
  Bench bench = { .now_us = G_USEC_PER_SEC };
  if (policy_text != NULL && policy_text[0] != '\0')
    {
      policy = quince_policy_compile (policy_text, strlen (policy_text), 1, &error);
      if (policy == NULL)
        {
          fprintf (stderr, "bench=core error=policy message=\"%s\"\n", error->message);
          return 1;
        }
    }
  g_autoptr (QuinceScheduler) scheduler
      = quince_scheduler_new (&quince_scheduler_default_limits, 1, "zone-a", 42);
  g_autoptr (GPtrArray) results = quince_decisions_new ();
  bench.scheduler = scheduler;
  bench.policy = policy;
  bench.decisions = results;
  QuinceDecider decider = { .admit = admit, .score = score, .user_data = policy, .revision = 1 };
  if (policy != NULL)
    quince_scheduler_set_decider (scheduler, &decider);
  quince_scheduler_set_ready (scheduler, TRUE);
  gint64 start_us = g_get_monotonic_time ();
  run (&bench, decisions);
  double elapsed_s = (double)(g_get_monotonic_time () - start_us) / G_USEC_PER_SEC;
  print_result (&bench, decisions, elapsed_s);
  QuinceSchedulerCounters counters;
  quince_scheduler_get_counters (scheduler, &counters);
  return bench.granted + bench.refused + counters.waiting == decisions ? 0 : 1;
}
