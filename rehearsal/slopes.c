/*
 * slopes.c: measures the core at several sizes and fits a straight line.
 *
 * Each measurement returns one figure for one size; the fit is least squares,
 * and the residual is the greatest distance from the line as a part of the
 * greatest figure.
 */
#include "slopes.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <quince/codec.h>
#include <quince/request-id.h>
#include <quince/rollout-book.h>
#include <quince/scheduler.h>

#define MOST_SIZES 6
#define DECISIONS 20000
/* A tenth of all requests at the size of docs/CAPACITY.md. */
#define CLAIMS_A_SECOND 2200

typedef struct
{
  const char *name;
  const char *unit;
  const char *size_name;
  guint sizes[MOST_SIZES];
  double (*measure) (guint size);
} Slope;

/* ---- Clocks and memory -------------------------------------------------------- */

static double
cpu_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return (double)info.uordblks + (double)info.hblkhd;
}

/* ---- Scheduler ------------------------------------------------------------------ */

static void
report_engines (QuinceScheduler *scheduler, gint64 now, guint count, guint capacity, GPtrArray *decisions)
{
  for (guint i = 0; i < count; i++)
    {
      g_autofree char *name = g_strdup_printf ("engine-%u", i);
      const QuinceEngineReport report = { .name = name,
                                          .address = "127.0.0.1:9",
                                          .service = "model",
                                          .zone = "zone",
                                          .capacity = capacity,
                                          .weight_version = 1,
                                          .available = TRUE };
      quince_scheduler_engine_report (scheduler, now, &report, decisions);
    }
}

static void
ask (QuinceScheduler *scheduler, gint64 now, guint64 number, GPtrArray *decisions)
{
  guint64 prefix[4];
  QuinceGrantRequest request = { .attempt = 1,
                                 .service = (char *)"model",
                                 .member = (char *)"member",
                                 .kind = (char *)"lookup",
                                 .deadline_ms = 30000,
                                 .prompt_tokens = 64,
                                 .expected_tokens = 200 };
  memcpy (request.request_id, &number, sizeof number);
  for (guint i = 0; i < G_N_ELEMENTS (prefix); i++)
    prefix[i] = quince_hash64 (&number, sizeof number, i);
  request.prefix.prefix_len = G_N_ELEMENTS (prefix);
  request.prefix.prefix_val = prefix;
  quince_scheduler_request (scheduler, now, 1, &request, decisions);
}

/* Gives every grant back, as agents do. */
static void
end_all (QuinceScheduler *scheduler, gint64 now, GPtrArray *decisions)
{
  g_autoptr (GPtrArray) more = quince_decisions_new ();
  for (guint i = 0; i < decisions->len; i++)
    {
      const QuinceDecision *decision = decisions->pdata[i];
      if (decision->reply.verdict.kind != QUINCE_VERDICT_GRANTED)
        continue;
      const QuinceGrantEnd end = { .grant_id = decision->reply.verdict.QuinceVerdict_u.grant.grant_id,
                                   .on_time = TRUE,
                                   .tokens = 200,
                                   .service_ms = 100 };
      quince_scheduler_end (scheduler, now, &end, more);
    }
  g_ptr_array_set_size (decisions, 0);
}

static QuinceScheduler *
scheduler_new (guint engines, guint capacity)
{
  QuinceSchedulerLimits limits = quince_scheduler_default_limits;
  limits.report_stale_ms = 3600 * 1000;
  limits.queue_most = 1000000;
  QuinceScheduler *scheduler = quince_scheduler_new (&limits, 1, "zone", 1);
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  quince_scheduler_set_ready (scheduler, TRUE);
  report_engines (scheduler, 1, engines, capacity, decisions);
  return scheduler;
}

static double
measure_decision_cpu (guint engines)
{
  g_autoptr (QuinceScheduler) scheduler = scheduler_new (engines, 64);
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  double start = cpu_us ();
  for (guint i = 0; i < DECISIONS; i++)
    {
      ask (scheduler, 1000 + i, i + 1, decisions);
      if (decisions->len >= 16)
        end_all (scheduler, 1000 + i, decisions);
    }
  return (cpu_us () - start) / DECISIONS;
}

static double
measure_engine_memory (guint engines)
{
  double before = heap_bytes ();
  g_autoptr (QuinceScheduler) scheduler = scheduler_new (engines, 64);
  return heap_bytes () - before;
}

static double
measure_waiting_memory (guint waiting)
{
  g_autoptr (QuinceScheduler) scheduler = scheduler_new (1, 1);
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  double before = heap_bytes ();
  for (guint i = 0; i < waiting; i++)
    ask (scheduler, 1000, i + 1, decisions);
  return heap_bytes () - before;
}

static double
measure_report_cpu (guint engines)
{
  g_autoptr (QuinceScheduler) scheduler = scheduler_new (engines, 64);
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  double start = cpu_us ();
  for (guint round = 0; round < 20; round++)
    report_engines (scheduler, 1000 + round, engines, 64, decisions);
  return (cpu_us () - start) / 20;
}

/* ---- Rollout book ----------------------------------------------------------------- */

static void
submit (QuinceRolloutBook *book, guint64 step, guint samples)
{
  g_autofree QuinceSampleSpec *specs = g_new0 (QuinceSampleSpec, samples);
  g_autofree char *prompt = g_strnfill (256, 'p');
  QuinceLedgerRecord record = { .leader_time_ms = 1, .command = { .kind = QUINCE_COMMAND_SUBMIT } };
  QuinceSubmitRollout *body = &record.command.QuinceCommand_u.submit;
  QuinceLedgerReply reply;
  for (guint i = 0; i < samples; i++)
    specs[i] = (QuinceSampleSpec){ .sample_id = g_strdup_printf ("sample-%u", i),
                                   .prompt = prompt,
                                   .max_tokens = 200 };
  *body = (QuinceSubmitRollout){ .trainer = (char *)"trainer",
                                 .rollout_id = (char *)"rollout",
                                 .service = (char *)"model",
                                 .member = (char *)"member",
                                 .step = step,
                                 .staleness_bound = 1 };
  body->samples.samples_len = samples;
  body->samples.samples_val = specs;
  quince_rollout_book_apply (book, &record, &reply);
  xdr_free ((xdrproc_t)xdr_QuinceLedgerReply, &reply);
  for (guint i = 0; i < samples; i++)
    g_free (specs[i].sample_id);
}

static void
complete (QuinceRolloutBook *book, guint64 step, guint samples)
{
  g_autofree char *text = g_strnfill (2200, 't');
  QuinceSegment segment = { .engine = (char *)"engine-1", .weight_version = 1, .token_count = 200 };
  for (guint i = 0; i < samples; i++)
    {
      g_autofree char *id = g_strdup_printf ("sample-%u", i);
      QuinceLedgerRecord record = { .leader_time_ms = 1, .command = { .kind = QUINCE_COMMAND_COMPLETE } };
      QuinceCompleteSample *body = &record.command.QuinceCommand_u.complete;
      QuinceLedgerReply reply;
      *body = (QuinceCompleteSample){ .trainer = (char *)"trainer", .step = step, .generation = 1 };
      body->result = (QuinceSampleResult){ .sample_id = id, .text = text, .token_count = 200 };
      body->result.segments.segments_len = 1;
      body->result.segments.segments_val = &segment;
      quince_rollout_book_apply (book, &record, &reply);
      xdr_free ((xdrproc_t)xdr_QuinceLedgerReply, &reply);
    }
  QuinceRolloutCounters counters;
  quince_rollout_book_get_counters (book, &counters);
  g_assert (counters.samples_complete == samples);
}

static double
measure_book_memory (guint samples)
{
  double before = heap_bytes ();
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  submit (book, 1, samples);
  complete (book, 1, samples);
  return heap_bytes () - before;
}

static double
measure_complete_cpu (guint samples)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  submit (book, 1, samples);
  double start = cpu_us ();
  complete (book, 1, samples);
  return cpu_us () - start;
}

static double
measure_snapshot_bytes (guint samples)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  submit (book, 1, samples);
  complete (book, 1, samples);
  g_autoptr (GBytes) saved = quince_rollout_book_save (book);
  return (double)g_bytes_get_size (saved);
}

static void
claim_ids (QuinceRolloutBook *book, guint claims)
{
  for (guint64 i = 0; i < claims; i++)
    {
      QuinceLedgerRecord record = { .leader_time_ms = 1, .command = { .kind = QUINCE_COMMAND_CLAIM } };
      QuinceClaimRequest *body = &record.command.QuinceCommand_u.claim;
      QuinceLedgerReply reply;
      quince_request_id_generate (body->request_id, (gint64)(i * 1000 / CLAIMS_A_SECOND));
      body->holder = 1;
      body->keep_ms = 600000;
      quince_rollout_book_apply (book, &record, &reply);
      xdr_free ((xdrproc_t)xdr_QuinceLedgerReply, &reply);
    }
}

static double
measure_claim_memory (guint claims)
{
  double before = heap_bytes ();
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  claim_ids (book, claims);
  return heap_bytes () - before;
}

/* With the making of the ids. */
static double
measure_claim_cpu (guint claims)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  double before = cpu_us ();
  claim_ids (book, claims);
  return cpu_us () - before;
}

static double
measure_claim_snapshot (guint claims)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  claim_ids (book, claims);
  g_autoptr (GBytes) saved = quince_rollout_book_save (book);
  return (double)g_bytes_get_size (saved);
}

/* ---- Messages ---------------------------------------------------------------------- */

static double
measure_status_bytes (guint members)
{
  g_autofree QuinceMember *all = g_new0 (QuinceMember, members);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_NODE_STATUS };
  QuinceNodeStatus *status = &message.QuinceMessage_u.node_status;
  status->name = (char *)"zone-01-node-001";
  status->ledger_leader = (char *)"10.100.100.100:41000";
  for (guint i = 0; i < members; i++)
    all[i] = (QuinceMember){ .name = (char *)"zone-01-node-001",
                             .zone = (char *)"zone-01",
                             .address = (char *)"10.100.100.100:41000",
                             .gossip_address = (char *)"10.100.100.100:41001" };
  status->members.members_len = members;
  status->members.members_val = all;
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  return (double)g_bytes_get_size (encoded);
}

/* ---- Fit ------------------------------------------------------------------------------ */

static const Slope slopes[] = {
  { "decision_cpu", "us", "engines", { 12, 50, 100, 200, 400, 800 }, measure_decision_cpu },
  { "engine_reports_cpu", "us", "engines", { 12, 50, 100, 200, 400, 800 }, measure_report_cpu },
  { "engine_table_memory", "bytes", "engines", { 12, 50, 100, 200, 400, 800 }, measure_engine_memory },
  { "queue_memory", "bytes", "waiting", { 500, 1000, 2000, 4000, 8000, 16000 }, measure_waiting_memory },
  { "book_memory", "bytes", "samples", { 512, 1024, 2048, 4096, 8192, 16384 }, measure_book_memory },
  { "complete_cpu", "us", "samples", { 512, 1024, 2048, 4096, 8192, 16384 }, measure_complete_cpu },
  { "snapshot", "bytes", "samples", { 512, 1024, 2048, 4096, 8192, 16384 }, measure_snapshot_bytes },
  { "claim_memory", "bytes", "claims", { 8000, 16000, 32000, 64000, 128000, 256000 }, measure_claim_memory },
  { "claim_cpu", "us", "claims", { 8000, 16000, 32000, 64000, 128000, 256000 }, measure_claim_cpu },
  { "claim_snapshot",
    "bytes",
    "claims",
    { 8000, 16000, 32000, 64000, 128000, 256000 },
    measure_claim_snapshot },
  { "node_status", "bytes", "members", { 1, 4, 8, 16, 32, 64 }, measure_status_bytes },
};

static void
print_fit (const Slope *slope)
{
  double figures[MOST_SIZES];
  double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0, greatest = 0, residual = 0;
  g_autoptr (GString) pairs = g_string_new (NULL);
  for (guint i = 0; i < MOST_SIZES; i++)
    {
      double x = slope->sizes[i];
      figures[i] = slope->measure (slope->sizes[i]);
      sum_x += x;
      sum_y += figures[i];
      sum_xx += x * x;
      sum_xy += x * figures[i];
      greatest = MAX (greatest, figures[i]);
      g_string_append_printf (pairs, "%s%u:%.1f", i > 0 ? "," : "", slope->sizes[i], figures[i]);
    }
  double rise = (MOST_SIZES * sum_xy - sum_x * sum_y) / (MOST_SIZES * sum_xx - sum_x * sum_x);
  double base = (sum_y - rise * sum_x) / MOST_SIZES;
  for (guint i = 0; i < MOST_SIZES; i++)
    residual = MAX (residual, fabs (figures[i] - base - rise * slope->sizes[i]));
  printf ("event=slope name=%s unit=%s per=%s figures=%s slope=%.4f intercept=%.1f residual=%.3f\n",
          slope->name, slope->unit, slope->size_name, pairs->str, rise, base,
          greatest > 0 ? residual / greatest : 0);
  fflush (stdout);
}

int
quince_slopes_run (int argc, char **argv)
{
  for (gsize i = 0; i < G_N_ELEMENTS (slopes); i++)
    print_fit (&slopes[i]);
  return 0;
}
