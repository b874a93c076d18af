/*
 * demo-trainer.c: submits batches of samples, reads their results and publishes new weight versions.
 */
#include "demo-trainer.h"

#include <string.h>

#include <json-glib/json-glib.h>
#include "http1/http-client.h"

/* Shorter than the default training time of a step (500 ms). */
#define POLL_INTERVAL_MS 50
/* Longer than a leader change (about 3 s).  A call that fails is sent again. */
#define CALL_TIMEOUT_US (10 * G_USEC_PER_SEC)

typedef struct
{
  guint index;
  gboolean is_submitted;
  guint64 next_token;        /* read position: nextToken of the last page of results */
  GHashTable *delivered_ids; /* set of sample ids, owned */
} Step;

struct _DemoTrainer
{
  DemoCluster *cluster;
  const QuinceTrainerPlan *plan;
  GPtrArray *steps;        /* Step, owned; in order of submission */
  guint current_step;      /* index of the step whose results are read or trained */
  guint64 version;         /* current weight version, from 1 */
  gint64 waiting_since_us; /* monotonic: start of the last wait for samples */
  gint64 training_end_us;  /* monotonic; 0 if no training is in progress */
  QuinceHttpPool *pool;    /* of the last call, owned */
  gboolean is_call_in_flight;
  guint next_front; /* index of the front for the next call */
  guint timer_id;
  DemoTrainerStats stats;
};

static void
step_free (gpointer data)
{
  Step *step = data;
  g_hash_table_unref (step->delivered_ids);
  g_free (step);
}

DemoTrainer *
demo_trainer_new (DemoCluster *cluster, const QuinceTrainerPlan *plan)
{
  DemoTrainer *trainer = g_new0 (DemoTrainer, 1);
  trainer->cluster = cluster;
  trainer->plan = plan;
  trainer->version = 1;
  trainer->steps = g_ptr_array_new_with_free_func (step_free);
  trainer->stats.samples = plan->steps * plan->samples_per_step;
  return trainer;
}

void
demo_trainer_free (DemoTrainer *trainer)
{
  if (trainer->timer_id != 0)
    g_source_remove (trainer->timer_id);
  g_clear_pointer (&trainer->pool, quince_http_pool_unref);
  g_ptr_array_unref (trainer->steps);
  g_free (trainer);
}

static char *
make_batch_id (const DemoTrainer *trainer, const Step *step)
{
  return g_strdup_printf ("%s-%u", trainer->plan->name, step->index);
}

/* ---- Calls -------------------------------------------------------------- */

static void
start_call (DemoTrainer *trainer,
            const char *method,
            const char *target,
            const char *id,
            const char *text,
            const QuinceHttpExchangeCallbacks *callbacks)
{
  g_clear_pointer (&trainer->pool, quince_http_pool_unref);
  trainer->pool
      = quince_http_pool_new (demo_cluster_get_front_address (trainer->cluster, trainer->next_front++));
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", DEMO_HOST);
  quince_http_headers_add (headers, "Request-Id", id);
  g_autoptr (GBytes) body = text != NULL ? g_bytes_new (text, strlen (text)) : NULL;
  const QuinceHttpRequest request = {
    .method = method, .target = target, .headers = headers, .body = body, .timeout_us = CALL_TIMEOUT_US
  };
  trainer->is_call_in_flight = TRUE;
  quince_http_pool_start (trainer->pool, &request, callbacks, trainer);
}

/* Returns: (nullable): the body of a complete response with @status, or %NULL for any other outcome */
static const GByteArray *
get_body_for_status (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, guint status)
{
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  gboolean is_answer = outcome == QUINCE_HTTP_ANSWERED && head != NULL && head->status == status;
  return is_answer ? quince_http_exchange_get_body (exchange) : NULL;
}

/* ---- Submission --------------------------------------------------------- */

static void
handle_submission (QuinceHttpExchange *exchange,
                   QuinceHttpOutcome outcome,
                   const GError *error,
                   gpointer data)
{
  DemoTrainer *trainer = data;
  trainer->is_call_in_flight = FALSE;
  Step *last = trainer->steps->pdata[trainer->steps->len - 1];
  last->is_submitted = get_body_for_status (exchange, outcome, 202) != NULL;
}

static const QuinceHttpExchangeCallbacks submit_callbacks = { .done = handle_submission };

/* Returns: the oldest weight version that samples of @step may have: the version that the step trains, minus
 * the staleness bound, at least 1 */
static guint64
get_min_version (const DemoTrainer *trainer, const Step *step)
{
  guint64 training_version = 1 + step->index;
  return training_version > trainer->plan->staleness_bound ? training_version - trainer->plan->staleness_bound
                                                           : 1;
}

/* Sends the batch of @step.  Safe to repeat until it is accepted: the batch id identifies duplicates. */
static void
submit_step (DemoTrainer *trainer, const Step *step)
{
  g_autofree char *id = make_batch_id (trainer, step);
  g_autoptr (GString) text = g_string_new (NULL);
  g_string_append_printf (
      text, "{\"step\":%u,\"model\":\"" DEMO_MODEL "\",\"minVersion\":%" G_GUINT64_FORMAT ",\"items\":[",
      step->index, get_min_version (trainer, step));
  for (guint i = 0; i < trainer->plan->samples_per_step; i++)
    g_string_append_printf (
        text,
        "%s{\"id\":\"%s-i%u\",\"path\":\"" DEMO_ROLLOUT_PREFIX "%u\",\"headers\":{\"Model\":\"" DEMO_MODEL
        "\"},\"body\":\"cXVlc3Rpb24=\","
        "\"tokens\":%u,\"group\":\"g%u\",\"scorer\":{\"id\":\"%s-s%u\",\"host\":\"" DEMO_HOST
        "\",\"path\":\"" DEMO_SCORE_PREFIX "%u\",\"body\":\"c2NvcmU=\"}}",
        i > 0 ? "," : "", id, i, i, trainer->plan->mean_tokens, i / 4, id, i, i);
  g_string_append (text, "]}");
  g_autofree char *target = g_strdup_printf (DEMO_ROLLOUT_PREFIX "%s", id);
  start_call (trainer, "POST", target, id, text->str, &submit_callbacks);
}

/* ---- Results ------------------------------------------------------------ */

static gboolean
is_complete_text (const char *text)
{
  g_autoptr (GString) expected = g_string_new (NULL);
  for (guint i = 1; i <= DEMO_EVENTS_PER_STREAM; i++)
    g_string_append_printf (expected, "%se%u", i > 1 ? "\n" : "", i);
  return g_str_equal (text, expected->str);
}

static void
count_result (DemoTrainer *trainer, Step *step, JsonObject *result)
{
  DemoTrainerStats *stats = &trainer->stats;
  const char *id = json_object_get_string_member (result, "id");
  g_autofree char *batch = make_batch_id (trainer, step);
  g_autofree char *prefix = g_strdup_printf ("%s-i", batch);
  if (!g_hash_table_add (step->delivered_ids, g_strdup (id)))
    {
      stats->duplicated++;
      return;
    }
  stats->delivered++;
  JsonArray *versions = json_object_get_array_member (result, "versions");
  guint64 oldest_version = G_MAXUINT64;
  for (guint i = 0; i < json_array_get_length (versions); i++)
    oldest_version = MIN (oldest_version, (guint64)json_array_get_int_element (versions, i));
  stats->mixed_version += json_array_get_length (versions) > 1;
  stats->over_staleness += oldest_version < get_min_version (trainer, step);
  gboolean is_correct = g_str_has_prefix (id, prefix) && json_array_get_length (versions) > 0
                        && g_str_equal (json_object_get_string_member (result, "state"), "completed")
                        && is_complete_text (json_object_get_string_member (result, "message"))
                        && json_object_has_member (result, "score");
  stats->wrong += !is_correct;
}

static void
handle_results_page (QuinceHttpExchange *exchange,
                     QuinceHttpOutcome outcome,
                     const GError *error,
                     gpointer data)
{
  DemoTrainer *trainer = data;
  trainer->is_call_in_flight = FALSE;
  const GByteArray *body = get_body_for_status (exchange, outcome, 200);
  g_autoptr (JsonParser) parser = json_parser_new ();
  if (body == NULL || !json_parser_load_from_data (parser, (const char *)body->data, body->len, NULL))
    return;
  Step *step = trainer->steps->pdata[trainer->current_step];
  JsonObject *page = json_node_get_object (json_parser_get_root (parser));
  JsonArray *results = json_object_get_array_member (page, "results");
  for (guint i = 0; i < json_array_get_length (results); i++)
    count_result (trainer, step, json_array_get_object_element (results, i));
  step->next_token = (guint64)json_object_get_int_member (page, "nextToken");
}

static const QuinceHttpExchangeCallbacks read_callbacks = { .done = handle_results_page };

static void
read_results (DemoTrainer *trainer, const Step *step)
{
  g_autofree char *id = make_batch_id (trainer, step);
  g_autofree char *target
      = g_strdup_printf ("/quinceroute/lots/%s?afterRev=%" G_GUINT64_FORMAT, id, step->next_token);
  start_call (trainer, "GET", target, id, NULL, &read_callbacks);
}

/* ---- Steps -------------------------------------------------------------- */

/* Publishes a new weight version, which the leader makes the workers load, and moves to the next step. */
static void
finish_training (DemoTrainer *trainer)
{
  trainer->training_end_us = 0;
  trainer->version++;
  g_autofree char *text = g_strdup_printf ("{\"model\":\"" DEMO_MODEL "\",\"version\":%" G_GUINT64_FORMAT "}",
                                           trainer->version);
  standin_store_put (trainer->cluster->store, "op/version/" DEMO_MODEL, text);
  trainer->current_step++;
  trainer->waiting_since_us = g_get_monotonic_time ();
}

static void
start_training (DemoTrainer *trainer)
{
  gint64 now_us = g_get_monotonic_time ();
  trainer->stats.idle_us += now_us - trainer->waiting_since_us;
  trainer->training_end_us = now_us + (gint64)trainer->plan->training_time_ms * 1000;
}

/* Returns: (nullable): the step to submit next, or %NULL if all steps are submitted or the limit of steps
 * ahead is reached */
static Step *
get_next_submission (DemoTrainer *trainer)
{
  Step *last = trainer->steps->len > 0 ? trainer->steps->pdata[trainer->steps->len - 1] : NULL;
  if (last != NULL && !last->is_submitted)
    return last;
  if (trainer->steps->len
      >= MIN (trainer->plan->steps, trainer->current_step + 1 + trainer->plan->steps_ahead))
    return NULL;
  Step *step = g_new0 (Step, 1);
  step->index = trainer->steps->len;
  step->delivered_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (trainer->steps, step);
  return step;
}

static gboolean
poll_trainer (gpointer data)
{
  DemoTrainer *trainer = data;
  if (trainer->training_end_us != 0 && g_get_monotonic_time () >= trainer->training_end_us)
    finish_training (trainer);
  if (demo_trainer_is_done (trainer))
    {
      trainer->timer_id = 0;
      return G_SOURCE_REMOVE;
    }
  if (trainer->is_call_in_flight)
    return G_SOURCE_CONTINUE;
  Step *step = get_next_submission (trainer);
  if (step != NULL)
    {
      submit_step (trainer, step);
      return G_SOURCE_CONTINUE;
    }
  step = trainer->steps->pdata[trainer->current_step];
  if (trainer->training_end_us == 0
      && g_hash_table_size (step->delivered_ids) >= trainer->plan->samples_per_step)
    start_training (trainer);
  else if (trainer->training_end_us == 0)
    read_results (trainer, step);
  return G_SOURCE_CONTINUE;
}

void
demo_trainer_start (DemoTrainer *trainer)
{
  trainer->waiting_since_us = g_get_monotonic_time ();
  trainer->timer_id = g_timeout_add (POLL_INTERVAL_MS, poll_trainer, trainer);
}

gboolean
demo_trainer_is_done (gpointer data)
{
  const DemoTrainer *trainer = data;
  return trainer->current_step >= trainer->plan->steps;
}

void
demo_trainer_get_stats (const DemoTrainer *trainer, DemoTrainerStats *stats)
{
  *stats = trainer->stats;
}
