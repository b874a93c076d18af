/*
 * sample-runner.c: which sample runs when and where, and what follows a run.
 *
 * Samples begin in the order of their batches' deadlines and stay together by groups, since a trainer waits
 * for whole groups.  The policy program admits each sample (its priority) and scores the workers for it.
 */
#include "sample-runner.h"

#include <string.h>

#include <quince/log.h>
#include <quince/metrics.h>
#include <quince/task.h>

#include "sample.h"

/* Pauses before a failed sample is tried again. */
#define REFUSED_PAUSE_US (30 * 1000)
#define FAILED_PAUSE_US (50 * 1000)
#define REWARD_PAUSE_US (100 * 1000)
#define POLICY_PAUSE_MS 200
#define PUMP_EVERY_MS 100
#define REWARD_TIME_MS 4000
/* More answers of 500 than the route allows are still no use, but more than three times as many break its
 * bound. */
#define FAILURES_PER_ATTEMPT 2
#define HOPELESS_MOST 1
/* Priorities at a worker: 0 first. */
#define WORKER_PRIORITY_MOST 9

struct _QuinceSampleRunner
{
  /* All fields belong to the main context. */
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceProgressStore *progress;
  const QuinceSampleRunnerCallbacks *callbacks;
  gpointer user_data;
  GPtrArray *samples; /* QuinceSample, owned, in order of their start */
  GSource *timer;
  GSource *soon; /* a pump that is asked for */
  guint running;
  guint waiting;
};

/* ---- Routes ----------------------------------------------------------- */

static const QuinceRoute *
route_of_batch (QuinceSampleRunner *runner, const QuinceBatchJob *batch)
{
  QuinceRouteTable *routes = quince_observer_get_routes (runner->observer);
  return routes != NULL ? quince_route_table_find (routes, batch->host, batch->path) : NULL;
}

/* ---- Results ---------------------------------------------------------- */

static void
remove_sample (QuinceSampleRunner *runner, QuinceSample *sample)
{
  g_ptr_array_remove (runner->samples, sample); /* keeps the order */
}

static void
hand_over (QuinceSampleRunner *runner,
           QuinceSample *sample,
           gboolean abandoned,
           const char *score,
           const char *cause)
{
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  QuinceBatchResult result = { .batch = sample->entry->batch->id,
                               .item = sample->item,
                               .abandoned = abandoned,
                               .score = (char *)(score != NULL ? score : "") };
  if (!abandoned)
    {
      result.text.text_val = sample->text->str;
      result.text.text_len = (u_int)sample->text->len;
      result.versions.versions_val = (u_quad_t *)sample->versions->data;
      result.versions.versions_len = sample->versions->len;
    }
  quince_log_info (abandoned ? "sample_abandoned" : "sample_done",
                   "sample=%s batch=%s cause=%s runs=%u events=%" G_GUINT64_FORMAT
                   " age_ms=%" G_GINT64_FORMAT,
                   item->id, sample->entry->batch->id, cause, sample->runs, sample->last_event,
                   (quince_now_us () - sample->submitted_us) / 1000);
  g_autofree char *labels
      = g_strdup_printf ("outcome=\"%s\",cause=\"%s\"", abandoned ? "abandoned" : "completed", cause);
  quince_metric_add ("quince_replica_samples_total", labels, 1);
  quince_metric_observe_us ("quince_replica_sample_seconds", "", quince_now_us () - sample->submitted_us);
  sample->state = QUINCE_SAMPLE_DONE;
  runner->callbacks->result (&result, runner->user_data);
  remove_sample (runner, sample);
}

/* ---- Rewards ---------------------------------------------------------- */

static guint
reward_attempts (QuinceSampleRunner *runner, const QuinceRewardCall *call)
{
  QuinceRouteTable *routes = quince_observer_get_routes (runner->observer);
  const QuinceRoute *route = routes != NULL ? quince_route_table_find (routes, call->host, call->path) : NULL;
  return route != NULL ? route->max_attempts : 1;
}

static void
reward_done (const QuinceForwardResult *result, gpointer data)
{
  QuinceSample *sample = data;
  QuinceSampleRunner *runner = sample->user_data;
  sample->reward = NULL;
  sample->reward_failures += result->failed_runs;
  const QuinceRewardCall *call = quince_sample_get_item (sample)->reward.reward_val;
  gboolean good = result->outcome == QUINCE_FORWARD_ANSWERED && result->head->status >= 200
                  && result->head->status < 300 && result->signature != NULL;
  if (good)
    hand_over (runner, sample, FALSE, result->signature, "scored");
  else if (sample->reward_failures >= reward_attempts (runner, call))
    hand_over (runner, sample, TRUE, NULL, "reward_failed");
  else
    sample->not_before_us = quince_now_us () + REWARD_PAUSE_US; /* the pump begins it again */
}

static void
begin_reward (QuinceSampleRunner *runner, QuinceSample *sample)
{
  const QuinceRewardCall *call = quince_sample_get_item (sample)->reward.reward_val;
  QuinceRouteTable *routes = quince_observer_get_routes (runner->observer);
  const QuinceRoute *route = routes != NULL ? quince_route_table_find (routes, call->host, call->path) : NULL;
  gint64 now = quince_now_us ();
  if (route == NULL)
    {
      sample->not_before_us = now + REWARD_PAUSE_US;
      return;
    }
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", call->host);
  quince_platform_write_request_id (headers, call->id);
  g_autoptr (GBytes) body = g_bytes_new_static (call->body.body_val, call->body.body_len);
  gint64 time_us
      = (gint64)MIN (route->timeout_ms > 0 ? route->timeout_ms : REWARD_TIME_MS, REWARD_TIME_MS) * 1000;
  const QuinceForwardRequest request = { .service = quince_route_pick_service (route, g_random_double ()),
                                         .kind = route->name,
                                         .method = "POST",
                                         .target = call->path,
                                         .request_id = call->id,
                                         .headers = headers,
                                         .body = body,
                                         .repeatable = TRUE,
                                         .max_attempts = route->max_attempts,
                                         .target_latency_ms = route->target_latency_ms,
                                         .deadline_us = now + time_us,
                                         .give_up_us = now + time_us };
  sample->reward = quince_forward_start (runner->backends, &quince_platform_forward_dialect, &request,
                                         reward_done, sample);
}

static void
text_whole (QuinceSampleRunner *runner, QuinceSample *sample)
{
  if (sample->single_version && sample->versions->len > 1)
    {
      quince_sample_restart (sample);
      sample->state = QUINCE_SAMPLE_WAITING;
      return;
    }
  sample->state = QUINCE_SAMPLE_SCORING;
  sample->not_before_us = 0;
  if (quince_sample_get_item (sample)->reward.reward_len > 0)
    begin_reward (runner, sample);
  else
    hand_over (runner, sample, FALSE, NULL, "whole");
}

/* ---- Runs ------------------------------------------------------------- */

static void
wait_again (QuinceSample *sample, gint64 pause_us)
{
  sample->state = QUINCE_SAMPLE_WAITING;
  sample->not_before_us = quince_now_us () + pause_us;
  g_free (sample->avoid_worker);
  sample->avoid_worker = g_strdup (sample->worker_id);
}

static void
run_failed (QuinceSampleRunner *runner, QuinceSample *sample, const char *cause)
{
  const QuinceRoute *route = route_of_batch (runner, sample->entry->batch);
  guint most = FAILURES_PER_ATTEMPT * (route != NULL ? route->max_attempts : 1);
  if (++sample->failures >= most)
    hand_over (runner, sample, TRUE, NULL, cause);
  else
    wait_again (sample, FAILED_PAUSE_US);
}

static void pump_soon (QuinceSampleRunner *runner);

static void
doubt_worker (QuinceSampleRunner *runner, const QuinceSample *sample)
{
  QuinceWorker *worker
      = quince_worker_table_find (quince_backends_get_workers (runner->backends), sample->worker_id);
  if (worker != NULL)
    quince_worker_note_failure (worker, quince_now_us ());
}

static void
run_ended (QuinceSample *sample, QuinceRunEnd end, const char *cause, gpointer data)
{
  QuinceSampleRunner *runner = data;
  runner->running--;
  g_autofree char *labels = g_strdup_printf ("cause=\"%s\"", cause);
  quince_metric_add ("quince_replica_sample_runs_total", labels, 1);
  if (end != QUINCE_RUN_WHOLE)
    quince_log_info ("sample_run_ended", "sample=%s worker=%s cause=%s events=%" G_GUINT64_FORMAT " runs=%u",
                     quince_sample_get_item (sample)->id, sample->worker_id, cause, sample->last_event,
                     sample->runs);
  switch (end)
    {
    case QUINCE_RUN_WHOLE:
      text_whole (runner, sample);
      break;
    case QUINCE_RUN_REFUSED:
      if (g_str_equal (cause, "no_connection"))
        doubt_worker (runner, sample);
      wait_again (sample, REFUSED_PAUSE_US);
      break;
    case QUINCE_RUN_BROKEN:
      if (!g_str_equal (cause, "event_out_of_turn"))
        doubt_worker (runner, sample);
      wait_again (sample, 0);
      break;
    case QUINCE_RUN_FAILED:
      run_failed (runner, sample, cause);
      break;
    case QUINCE_RUN_HOPELESS:
      if (++sample->hopeless >= HOPELESS_MOST)
        hand_over (runner, sample, TRUE, NULL, cause);
      else
        wait_again (sample, FAILED_PAUSE_US);
      break;
    }
  pump_soon (runner);
}

static QuinceBackendOutcome
choose_worker (QuinceSampleRunner *runner,
               QuinceSample *sample,
               const QuincePolicyRequest *request,
               QuinceWorker **worker)
{
  g_autoptr (GHashTable) avoid = g_hash_table_new (g_str_hash, g_str_equal);
  if (sample->avoid_worker != NULL)
    g_hash_table_add (avoid, sample->avoid_worker);
  /* The samples of a group share their prompt. */
  g_autofree char *group
      = g_strconcat (sample->entry->batch->id, " ", quince_sample_get_item (sample)->group, NULL);
  const char *const prompt[] = { group, NULL };
  const QuinceRouteTable *routes = quince_observer_get_routes (runner->observer);
  const QuinceService *service = quince_route_table_find_service (routes, request->service);
  QuinceBackendQuery query = { .request = request,
                               .model = sample->entry->batch->model,
                               .minimum_version = sample->entry->batch->minimum_version,
                               .avoid = avoid,
                               .most_running = service != NULL && service->slots > 0 ? service->slots : 8,
                               .prompt = prompt };
  QuinceBackendOutcome outcome = quince_backends_choose (runner->backends, quince_now_us (), &query, worker);
  if (outcome == QUINCE_BACKEND_NONE && sample->avoid_worker != NULL)
    {
      query.avoid = NULL;
      outcome = quince_backends_choose (runner->backends, quince_now_us (), &query, worker);
    }
  return outcome;
}

static QuinceBackendOutcome
begin_run (QuinceSampleRunner *runner, QuinceSample *sample, gint64 now_us)
{
  const QuinceBatchJob *batch = sample->entry->batch;
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  const QuinceRoute *route = route_of_batch (runner, batch);
  if (route == NULL)
    return QUINCE_BACKEND_NONE;
  QuincePolicyRequest request = {
    .service = quince_route_pick_service (route, (g_str_hash (item->group) % 1000) / 1000.0),
    .member = batch->model,
    .kind = "rollout",
    .rollout = TRUE,
    .attempt = sample->runs + 1,
    .deadline_ms = sample->give_up_us > 0 ? (guint)MAX ((sample->give_up_us - now_us) / 1000, 0) : 0,
    .expected_tokens = item->tokens,
    .waiting = runner->waiting,
    .newest_version = quince_observer_get_version (runner->observer, batch->model),
  };
  quince_backends_describe_events (runner->backends, quince_wall_ms (), &request);
  QuincePolicyAdmission admission;
  quince_backends_admit (runner->backends, &request, &admission);
  if (admission.refuse)
    {
      sample->not_before_us = now_us + (gint64)MAX (admission.retry_after_ms, POLICY_PAUSE_MS) * 1000;
      return QUINCE_BACKEND_NONE;
    }
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = choose_worker (runner, sample, &request, &worker);
  if (worker == NULL)
    return outcome;
  sample->single_version = route->single_version;
  runner->running++;
  quince_log_info ("sample_dispatched",
                   "sample=%s batch=%s worker=%s worker_running=%u version=%" G_GUINT64_FORMAT
                   " from_event=%" G_GUINT64_FORMAT " runs=%u age_ms=%" G_GINT64_FORMAT,
                   item->id, batch->id, worker->id, worker->running,
                   quince_worker_get_version (worker, batch->model), sample->last_event, sample->runs,
                   (now_us - sample->submitted_us) / 1000);
  quince_sample_run (sample, runner->backends, worker, (gint)MIN (route->priority, WORKER_PRIORITY_MOST),
                     run_ended, runner);
  return outcome;
}

/* ---- The pump --------------------------------------------------------- */

static gboolean
is_over (const QuinceSample *sample, gint64 now_us)
{
  return sample->give_up_us > 0 && now_us >= sample->give_up_us && sample->state == QUINCE_SAMPLE_WAITING;
}

void
quince_sample_runner_pump (QuinceSampleRunner *runner)
{
  if (!runner->callbacks->may_run (runner->user_data))
    return;
  gint64 now = quince_now_us ();
  g_autoptr (GHashTable) full = g_hash_table_new (g_str_hash, g_str_equal); /* models without room */
  runner->waiting = 0;
  /* Handing a sample over takes it out of the array. */
  for (guint i = 0; i < runner->samples->len;)
    {
      QuinceSample *sample = runner->samples->pdata[i];
      const char *model = sample->entry->batch->model;
      if (is_over (sample, now))
        {
          hand_over (runner, sample, TRUE, NULL, "time_is_up");
          continue;
        }
      i++;
      if (sample->state == QUINCE_SAMPLE_SCORING && sample->reward == NULL && now >= sample->not_before_us)
        begin_reward (runner, sample);
      if (sample->state != QUINCE_SAMPLE_WAITING)
        continue;
      runner->waiting++;
      if (now < sample->not_before_us || g_hash_table_contains (full, model))
        continue;
      if (begin_run (runner, sample, now) == QUINCE_BACKEND_FULL && sample->avoid_worker == NULL)
        g_hash_table_add (full, (char *)model);
    }
}

static gboolean
pump_now (gpointer data)
{
  QuinceSampleRunner *runner = data;
  quince_source_clear (&runner->soon);
  quince_sample_runner_pump (runner);
  return G_SOURCE_REMOVE;
}

static void
pump_soon (QuinceSampleRunner *runner)
{
  if (runner->soon == NULL)
    runner->soon = quince_timer_add (0, pump_now, runner);
}

static gboolean
timer_over (gpointer data)
{
  QuinceSampleRunner *runner = data;
  if (runner->samples->len > 0)
    quince_sample_runner_pump (runner);
  return G_SOURCE_CONTINUE;
}

/* ---- Public ----------------------------------------------------------- */

QuinceSampleRunner *
quince_sample_runner_new (QuinceBackends *backends,
                          QuinceObserver *observer,
                          QuinceProgressStore *progress,
                          const QuinceSampleRunnerCallbacks *callbacks,
                          gpointer user_data)
{
  QuinceSampleRunner *runner = g_new0 (QuinceSampleRunner, 1);
  runner->backends = backends;
  runner->observer = observer;
  runner->progress = progress;
  runner->callbacks = callbacks;
  runner->user_data = user_data;
  runner->samples = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_sample_free);
  runner->timer = quince_timer_add (PUMP_EVERY_MS, timer_over, runner);
  return runner;
}

void
quince_sample_runner_free (QuinceSampleRunner *runner)
{
  if (runner == NULL)
    return;
  quince_source_clear (&runner->timer);
  quince_source_clear (&runner->soon);
  g_ptr_array_unref (runner->samples);
  g_free (runner);
}

void
quince_sample_runner_add (QuinceSampleRunner *runner, QuinceBatchEntry *entry)
{
  const QuinceRoute *route = route_of_batch (runner, entry->batch);
  gint64 age_us = MAX (quince_wall_ms () - (gint64)entry->batch->submitted_ms, 0) * 1000;
  gint64 submitted_us = quince_now_us () - age_us;
  for (guint i = 0; i < entry->batch->items.items_len; i++)
    {
      if (entry->is_listed[i])
        continue;
      QuinceSample *sample = quince_sample_new (entry, i);
      sample->submitted_us = submitted_us;
      quince_progress_store_get (runner->progress, entry->batch->id, i, sample->text, sample->versions,
                                 &sample->last_event);
      if (route != NULL && route->queue_ttl_ms > 0)
        sample->give_up_us = submitted_us + (gint64)route->queue_ttl_ms * 1000;
      g_ptr_array_add (runner->samples, sample);
    }
  pump_soon (runner);
}

void
quince_sample_runner_collect (QuinceSampleRunner *runner, gboolean all, GArray *items)
{
  for (guint i = 0; i < runner->samples->len; i++)
    {
      QuinceSample *sample = runner->samples->pdata[i];
      if (all)
        sample->told_event = sample->told_bytes = 0;
      if (sample->last_event == sample->told_event)
        continue;
      QuinceProgressItem item = { .batch = sample->entry->batch->id,
                                  .item = sample->item,
                                  .from_event = sample->told_event,
                                  .last_event = sample->last_event };
      item.text.text_val = sample->text->str + sample->told_bytes;
      item.text.text_len = (u_int)(sample->text->len - sample->told_bytes);
      item.versions.versions_val = (u_quad_t *)sample->versions->data;
      item.versions.versions_len = sample->versions->len;
      g_array_append_val (items, item);
      sample->told_event = sample->last_event;
      sample->told_bytes = sample->text->len;
    }
}

void
quince_sample_runner_remove (QuinceSampleRunner *runner, QuinceBatchEntry *entry)
{
  for (guint i = runner->samples->len; i > 0; i--)
    {
      QuinceSample *sample = runner->samples->pdata[i - 1];
      if (sample->entry != entry)
        continue;
      runner->running -= sample->state == QUINCE_SAMPLE_RUNNING;
      g_ptr_array_remove_index (runner->samples, i - 1);
    }
  pump_soon (runner);
}

guint
quince_sample_runner_get_waiting (const QuinceSampleRunner *runner)
{
  return runner->waiting;
}

guint
quince_sample_runner_get_running (const QuinceSampleRunner *runner)
{
  return runner->running;
}
