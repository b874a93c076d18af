/*
 * leased-sample.c: one leased sample, from its first grant to its completion.
 *
 * Run, score, complete: each step is tried again until it succeeds or the
 * sample is given up; tokens that are there are never generated twice unless
 * they are below the least version that the trainer takes.
 */
#include "leased-sample.h"

#include <math.h>
#include <string.h>

#include <quince/http.h>
#include <quince/log.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "execution.h"
#include "json-text.h"

#define RUN_DEADLINE_US (600 * (gint64)G_USEC_PER_SEC)
#define RETRY_LEAST_MS 50
#define RETRY_MOST_MS 5000
#define TRIES_MOST 200
#define SCORE_TRIES_MOST 10
#define SCORE_RETRY_MS 200
#define COMPLETE_TIMEOUT_US (30 * (gint64)G_USEC_PER_SEC)

struct _QuinceLeasedRun
{
  /* All fields belong to the worker's context. */
  QuinceWorker *worker;
  QuinceLeasedSample sample;  /* texts owned                                 */
  QuinceExecution *execution; /* %NULL between tries and once run           */
  QuinceAnswer *answer;       /* tokens so far, while no execution holds them */
  guint tries;                /* executions since the last new token         */
  guint tokens;               /* that the last execution left                */
  guint score_tries;
  gboolean scored;
  double reward;
  GSource *retry_timer;
  GCancellable *scoring; /* cancelled with the run                      */
  guint64 ledger_call;   /* in progress, 0 when none                    */
  guint64 *attempts;     /* the runner's counters                       */
  guint64 *score_failures;
  QuinceLeasedDone done;
  gpointer user_data;
};

static void run (QuinceLeasedRun *leased);
static void score (QuinceLeasedRun *leased);
static void complete (QuinceLeasedRun *leased);

static void
retry_later (QuinceLeasedRun *leased, guint wait_ms, GSourceFunc function)
{
  guint base = CLAMP (wait_ms, RETRY_LEAST_MS, RETRY_MOST_MS);
  guint spread = (guint)(quince_random_u64 () % (base / 2 + 1));
  quince_source_clear (&leased->retry_timer);
  leased->retry_timer = quince_timer_add (base + spread, function, leased);
}

/* ---- Completing ------------------------------------------------------------------ */

static void
complete_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  QuinceLeasedRun *leased = user_data;
  leased->ledger_call = 0;
  if (reply == NULL)
    {
      complete (leased);
      return;
    }
  QuinceLeasedEnd end = reply->status == QUINCE_LEDGER_OK ? QUINCE_LEASED_COMPLETED : QUINCE_LEASED_DROPPED;
  leased->done (leased, end, leased->user_data);
}

static GArray *
make_segments (const QuinceAnswer *answer)
{
  GArray *segments = g_array_sized_new (FALSE, FALSE, sizeof (QuinceSegment), answer->runs->len);
  for (guint i = 0; i < answer->runs->len; i++)
    {
      const QuinceTokenRun *part = &g_array_index (answer->runs, QuinceTokenRun, i);
      QuinceSegment segment = {
        .engine = part->engine,
        .weight_version = part->weight_version,
        .first_token = part->first_token,
        .token_count = part->token_count,
      };
      g_array_append_val (segments, segment);
    }
  return segments;
}

static void
complete (QuinceLeasedRun *leased)
{
  g_autoptr (GArray) segments = make_segments (leased->answer);
  QuinceCommand command = { .kind = QUINCE_COMMAND_COMPLETE };
  QuinceCompleteSample *body = &command.QuinceCommand_u.complete;
  body->trainer = leased->sample.trainer;
  body->step = leased->sample.step;
  body->generation = leased->sample.generation;
  body->result.sample_id = leased->sample.spec.sample_id;
  body->result.text = leased->answer->text->str;
  body->result.token_count = leased->answer->token_count;
  body->result.scored = leased->scored;
  body->result.reward = leased->reward;
  body->result.segments.segments_len = segments->len;
  body->result.segments.segments_val = (QuinceSegment *)(gpointer)segments->data;
  leased->ledger_call
      = quince_hub_client_call_ledger (leased->worker->hub, quince_command_copy (&command),
                                       quince_now_us () + COMPLETE_TIMEOUT_US, complete_answered, leased);
}

/* ---- Scoring --------------------------------------------------------------------- */

static gboolean
score_due (gpointer data)
{
  QuinceLeasedRun *leased = data;
  quince_source_clear (&leased->retry_timer);
  score (leased);
  return G_SOURCE_REMOVE;
}

static gboolean
read_reward (JsonNode *answer, double *reward)
{
  JsonNode *node = answer != NULL ? json_object_get_member (json_node_get_object (answer), "reward") : NULL;
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return FALSE;
  GType type = json_node_get_value_type (node);
  if (type != G_TYPE_DOUBLE && type != G_TYPE_INT64)
    return FALSE;
  *reward = type == G_TYPE_DOUBLE ? json_node_get_double (node) : (double)json_node_get_int (node);
  return isfinite (*reward);
}

/* One call of the scorer: it outlives a run that is freed meanwhile. */
typedef struct
{
  QuinceLeasedRun *leased; /* valid while @scoring is not cancelled         */
  GCancellable *scoring;
} ScoreCall;

static void
score_answered (guint status, JsonNode *answer, const GError *error, gpointer user_data)
{
  g_autofree ScoreCall *call = user_data;
  g_autoptr (GCancellable) scoring = call->scoring;
  QuinceLeasedRun *leased = call->leased;
  if (g_cancellable_is_cancelled (scoring))
    return;
  leased->scored = status == SOUP_STATUS_OK && read_reward (answer, &leased->reward);
  if (leased->scored)
    {
      complete (leased);
      return;
    }
  (*leased->score_failures)++;
  leased->score_tries++;
  if (leased->score_tries < SCORE_TRIES_MOST)
    {
      retry_later (leased, SCORE_RETRY_MS * leased->score_tries, score_due);
      return;
    }
  quince_log_warning ("sample_not_scored", "status=%u tries=%u", status, leased->score_tries);
  complete (leased);
}

/* Without a scorer a sample is complete as it is. */
static void
score (QuinceLeasedRun *leased)
{
  const QuinceSettings *settings = leased->worker->settings;
  const char *scorer = quince_settings_get_text (settings, "agent", "scorer");
  gint64 timeout_us = quince_settings_get_duration_us (settings, "agent", "score_timeout");
  if (*scorer == '\0')
    {
      complete (leased);
      return;
    }
  g_autofree char *url = g_strdup_printf ("http://%s/score", scorer);
  g_autoptr (GString) body = g_string_new ("{\"sample_id\":");
  quince_json_append_text (body, leased->sample.spec.sample_id);
  g_string_append (body, ",\"text\":");
  quince_json_append_text (body, leased->answer->text->str);
  g_string_append_c (body, '}');
  ScoreCall *call = g_new0 (ScoreCall, 1);
  call->leased = leased;
  call->scoring = g_object_ref (leased->scoring);
  quince_http_call (leased->worker->engines, url, body->str, (guint)(timeout_us / G_TIME_SPAN_MILLISECOND),
                    leased->scoring, score_answered, call);
}

/* ---- Running ---------------------------------------------------------------------- */

static gboolean
run_due (gpointer data)
{
  QuinceLeasedRun *leased = data;
  quince_source_clear (&leased->retry_timer);
  run (leased);
  return G_SOURCE_REMOVE;
}

static void
run_again (QuinceLeasedRun *leased, guint wait_ms)
{
  if (quince_answer_is_below (leased->answer, leased->sample.min_version))
    quince_answer_clear (leased->answer);
  if (leased->tries < TRIES_MOST)
    {
      retry_later (leased, wait_ms, run_due);
      return;
    }
  quince_log_warning ("sample_given_up", "tries=%u", leased->tries);
  leased->done (leased, QUINCE_LEASED_GIVEN_UP, leased->user_data);
}

static void
run_done (const QuinceExecutionResult *result, gpointer user_data)
{
  QuinceLeasedRun *leased = user_data;
  gboolean whole = result->end == QUINCE_EXECUTION_WHOLE;
  guint wait_ms = result->retry_after_ms;
  guint tokens = result->answer->token_count;
  leased->answer = quince_execution_steal_answer (leased->execution);
  g_clear_pointer (&leased->execution, quince_execution_free);
  if (tokens > leased->tokens)
    leased->tries = 0;
  leased->tokens = tokens;
  if (whole && !quince_answer_is_below (leased->answer, leased->sample.min_version))
    score (leased);
  else
    run_again (leased, wait_ms);
}

static const QuinceExecutionCallbacks run_callbacks = { .done = run_done };

static void
run (QuinceLeasedRun *leased)
{
  const QuinceSampleSpec *spec = &leased->sample.spec;
  QuinceExecutionOptions options = {
    .service = leased->sample.service,
    .member = leased->sample.member,
    .kind = "rollout",
    .prompt = spec->prompt,
    .work_class = QUINCE_WORK_ROLLOUT,
    .max_tokens = spec->max_tokens,
    .expected_tokens = spec->expected_tokens > 0 ? spec->expected_tokens : spec->max_tokens,
    .min_version = leased->sample.min_version,
    .deadline_us = quince_now_us () + RUN_DEADLINE_US,
  };
  quince_request_id_generate (options.id, quince_wall_ms ());
  (*leased->attempts)++;
  leased->tries++;
  leased->execution = quince_execution_new (leased->worker, &options, g_steal_pointer (&leased->answer),
                                            &run_callbacks, leased);
  quince_execution_start (leased->execution);
}

/* ---- Life ------------------------------------------------------------------------- */

QuinceLeasedRun *
quince_leased_run_new (QuinceWorker *worker,
                       const QuinceLeasedSample *sample,
                       guint64 *attempts,
                       guint64 *score_failures,
                       QuinceLeasedDone done,
                       gpointer user_data)
{
  QuinceLeasedRun *leased = g_new0 (QuinceLeasedRun, 1);
  leased->worker = worker;
  leased->sample = *sample;
  leased->sample.trainer = g_strdup (sample->trainer);
  leased->sample.service = g_strdup (sample->service);
  leased->sample.member = g_strdup (sample->member);
  leased->sample.spec.sample_id = g_strdup (sample->spec.sample_id);
  leased->sample.spec.prompt = g_strdup (sample->spec.prompt);
  leased->answer = quince_answer_new ();
  leased->scoring = g_cancellable_new ();
  leased->attempts = attempts;
  leased->score_failures = score_failures;
  leased->done = done;
  leased->user_data = user_data;
  /* From the loop: the first try may end at once. */
  leased->retry_timer = quince_timer_add (0, run_due, leased);
  return leased;
}

void
quince_leased_run_free (QuinceLeasedRun *leased)
{
  quince_source_clear (&leased->retry_timer);
  g_cancellable_cancel (leased->scoring);
  g_clear_object (&leased->scoring);
  if (leased->ledger_call != 0)
    quince_hub_client_cancel (leased->worker->hub, leased->ledger_call);
  g_clear_pointer (&leased->execution, quince_execution_free);
  g_clear_pointer (&leased->answer, quince_answer_free);
  g_free (leased->sample.trainer);
  g_free (leased->sample.service);
  g_free (leased->sample.member);
  g_free (leased->sample.spec.sample_id);
  g_free (leased->sample.spec.prompt);
  g_free (leased);
}

QuinceLeaseRef
quince_leased_run_get_ref (const QuinceLeasedRun *leased)
{
  return (QuinceLeaseRef){
    .trainer = leased->sample.trainer,
    .step = leased->sample.step,
    .sample_id = leased->sample.spec.sample_id,
    .generation = leased->sample.generation,
  };
}
