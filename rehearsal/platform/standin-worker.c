/*
 * standin-worker.c: calls, plain answers, reports and crashes of a worker stand-in.
 */
#include "standin-worker-private.h"

#include <string.h>

/* Bytes of a request's body that a plain answer repeats. */
#define ECHO_MAX_BYTES (1024 * 1024)

/* A request that is answered later, or that crashes the worker. */
typedef struct
{
  StandinWorker *worker;
  StandinCall *call;
  StandinRun *run;
  guint timer;
} DelayedCall;

static void
run_free (gpointer data)
{
  StandinRun *run = data;
  g_free (run->id);
  g_free (run->target);
  g_free (run->body);
  quince_http_headers_free (run->headers);
  g_free (run->deadline);
  g_free (run->last_event_id);
  g_free (run->host);
  g_free (run->tenant);
  g_free (run->api_key);
  g_array_unref (run->events);
  g_free (run);
}

static StandinRun *
record_run (StandinWorker *worker, const StandinCall *call)
{
  StandinRun *run = g_new0 (StandinRun, 1);
  run->received_us = g_get_monotonic_time ();
  run->events = g_array_new (FALSE, FALSE, sizeof (StandinEvent));
  run->id = g_strdup (standin_call_get_header (call, "Request-Id"));
  run->target = g_strdup (call->head->target);
  run->body_length = call->body->len;
  run->body = g_malloc0 (call->body->len + 1);
  if (call->body->len > 0)
    memcpy (run->body, call->body->data, call->body->len);
  run->headers = quince_http_headers_copy (call->head->headers);
  run->deadline = g_strdup (standin_call_get_header (call, "Request-Deadline-Ms"));
  run->last_event_id = g_strdup (standin_call_get_header (call, "Last-Event-Id"));
  run->host = g_strdup (standin_call_get_header (call, "Host"));
  run->tenant = g_strdup (standin_call_get_header (call, "Tenant"));
  run->api_key = g_strdup (standin_call_get_header (call, "Credential"));
  g_ptr_array_add (worker->runs, run);
  return run;
}

static char *
answer_headers (const StandinWorker *worker, const char *id, gboolean is_signed)
{
  return g_strdup_printf ("Request-Id: %s\r\n%s%s%s", id, is_signed ? "Server-Stamp: stamp-" : "",
                          is_signed ? worker->id : "", is_signed ? "\r\n" : "");
}

/* ---- Requests ---------------------------------------------------------- */

/* Sends an answer without a body, and keeps a copy if answers are repeated.  @headers: lines that end with
 * CRLF */
static void
answer_without_body (StandinWorker *worker, StandinCall *call, guint status, const char *headers)
{
  if (worker->repeats_answers)
    g_hash_table_replace (
        worker->repeated_answers, quince_http_connection_ref (call->connection),
        g_strdup_printf ("HTTP/1.1 %u Repeated\r\n%sContent-Length: 0\r\n\r\n", status, headers));
  standin_call_answer (call, status, headers, "", 0);
}

/* Sends the copy of the last answer on the connection, if there is one. */
static void
send_repeated_answer (StandinWorker *worker, StandinCall *call)
{
  const char *text = g_hash_table_lookup (worker->repeated_answers, call->connection);
  if (text == NULL)
    return;
  standin_call_write (call, text);
  g_hash_table_remove (worker->repeated_answers, call->connection);
}

/* Refuses to run a request.  @headers: further lines that end with CRLF */
static void
refuse (StandinWorker *worker, StandinCall *call, guint status, const char *headers)
{
  const char *id = standin_call_get_header (call, "Request-Id");
  g_autofree char *id_line = id != NULL ? g_strdup_printf ("Request-Id: %s\r\n", id) : g_strdup ("");
  g_autofree char *lines = g_strconcat (id_line, headers, NULL);
  answer_without_body (worker, call, status, lines);
}

static void
answer_plain (StandinWorker *worker, StandinCall *call, const StandinRun *run, StandinWorkerFault fault)
{
  const char *id = fault == STANDIN_WORKER_WRONG_REQUEST_ID ? "of-another" : run->id;
  g_autofree char *headers = answer_headers (worker, id, fault != STANDIN_WORKER_MISSING_STAMP);
  g_autofree char *body = g_strdup_printf ("%.*s by %s", ECHO_MAX_BYTES, run->body, worker->id);
  if (fault == STANDIN_WORKER_EXTRA_ANSWER)
    {
      g_autofree char *two_answers = g_strdup_printf ("HTTP/1.1 200 OK\r\n%sContent-Length: %u\r\n\r\n%s"
                                                      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
                                                      headers, (guint)strlen (body), body);
      standin_call_write (call, two_answers);
      standin_call_finish (call);
      return;
    }
  if (fault == STANDIN_WORKER_TRUNCATES)
    {
      g_autofree char *partial_answer
          = g_strdup_printf ("HTTP/1.1 200 OK\r\n%sContent-Length: 900\r\n\r\n%s", headers, body);
      standin_call_write (call, partial_answer);
      standin_call_close_connection (call);
      return;
    }
  standin_call_answer (call, fault == STANDIN_WORKER_FAILS ? 500 : 200, headers, body, -1);
}

static void
delayed_call_free (gpointer data)
{
  DelayedCall *delayed_call = data;
  if (delayed_call->timer != 0)
    g_source_remove (delayed_call->timer);
  if (delayed_call->call != NULL)
    standin_call_finish (delayed_call->call);
  g_free (delayed_call);
}

static void
schedule_call (StandinWorker *worker,
               StandinCall *call,
               StandinRun *run,
               guint delay_ms,
               GSourceFunc function)
{
  DelayedCall *delayed_call = g_new0 (DelayedCall, 1);
  delayed_call->worker = worker;
  delayed_call->call = call;
  delayed_call->run = run;
  delayed_call->timer = g_timeout_add (delay_ms, function, delayed_call);
  g_ptr_array_add (worker->delayed_calls, delayed_call);
}

static gboolean
crash_timer_fired (gpointer data)
{
  DelayedCall *delayed_call = data;
  delayed_call->timer = 0;
  standin_worker_crash (delayed_call->worker);
  return G_SOURCE_REMOVE;
}

static gboolean
answer_timer_fired (gpointer data)
{
  DelayedCall *delayed_call = data;
  StandinCall *call = g_steal_pointer (&delayed_call->call);
  delayed_call->timer = 0;
  delayed_call->run->disconnected = call->disconnected;
  answer_plain (delayed_call->worker, call, delayed_call->run, STANDIN_WORKER_HEALTHY);
  g_ptr_array_remove (delayed_call->worker->delayed_calls, delayed_call);
  return G_SOURCE_REMOVE;
}

/* Returns TRUE if @run crashes the worker; counts it if so. */
static gboolean
triggers_crash (StandinWorker *worker, const StandinRun *run)
{
  if (worker->crash_text == NULL || worker->crashes_left == 0)
    return FALSE;
  if (strstr (run->body, worker->crash_text) == NULL && strstr (run->target, worker->crash_text) == NULL)
    return FALSE;
  if (worker->crashes_left != G_MAXUINT)
    worker->crashes_left--;
  return TRUE;
}

static gboolean
has_refused_target (const StandinWorker *worker, const StandinCall *call)
{
  return worker->refused_text != NULL && strstr (call->head->target, worker->refused_text) != NULL;
}

static void
handle_request (StandinWorker *worker, StandinCall *call)
{
  if (has_refused_target (worker, call))
    {
      worker->n_refused_requests++;
      refuse (worker, call, worker->refused_status, worker->refused_status == 503 ? "Not-Run: 1\r\n" : "");
      return;
    }
  StandinWorkerFault fault = worker->faults_left > 0 ? worker->fault : STANDIN_WORKER_HEALTHY;
  if (worker->faults_left > 0 && worker->faults_left != G_MAXUINT)
    worker->faults_left--;
  guint running = worker->streams->len + worker->unanswered_calls->len + worker->delayed_calls->len;
  if (fault == STANDIN_WORKER_REFUSES || running >= worker->max_running)
    {
      refuse (worker, call, 503, "Not-Run: 1\r\n");
      return;
    }
  StandinRun *run = record_run (worker, call);
  g_autofree char *headers = answer_headers (worker, run->id, TRUE);
  if (triggers_crash (worker, run))
    schedule_call (worker, call, run, worker->crash_delay_ms, crash_timer_fired);
  else if (fault == STANDIN_WORKER_UNRESPONSIVE)
    g_ptr_array_add (worker->unanswered_calls, call);
  else if (fault == STANDIN_WORKER_RESETS)
    standin_call_reset_connection (call);
  else if (fault == STANDIN_WORKER_UNPROCESSABLE)
    answer_without_body (worker, call, 422, headers);
  else if (worker->n_events > 0 && fault == STANDIN_WORKER_FAILS)
    answer_without_body (worker, call, 500, headers);
  else if (worker->n_events > 0)
    standin_worker_start_stream (worker, call, run, fault, headers);
  else if (worker->answer_delay_ms > 0)
    schedule_call (worker, call, run, worker->answer_delay_ms, answer_timer_fired);
  else
    answer_plain (worker, call, run, fault);
}

/* ---- Calls ------------------------------------------------------------- */

static void
answer_endlessly (StandinWorker *worker, StandinCall *call)
{
  if (worker->endless_answers_left != G_MAXUINT)
    worker->endless_answers_left--;
  if (!g_str_has_prefix (call->head->target, "/quinceroute/"))
    record_run (worker, call);
  standin_endless_writer_answer (worker->endless_writer, call, worker->endless_answer);
}

static void
handle_call (StandinCall *call, gpointer data)
{
  StandinWorker *worker = data;
  const char *expected = standin_call_get_header (call, "Expect-Instance");
  send_repeated_answer (worker, call);
  if (worker->surplus_answers_left > 0)
    {
      worker->surplus_answers_left--;
      standin_call_write (call, worker->surplus_answer);
    }
  if (expected != NULL && !g_str_equal (expected, worker->id))
    refuse (worker, call, 421, "Instance-Id: another\r\n");
  else if (worker->endless_answer != NULL && worker->endless_answers_left > 0)
    answer_endlessly (worker, call);
  else if (worker->malformed_answer != NULL && g_str_has_prefix (call->head->target, "/quinceroute/"))
    standin_call_answer (call, 200, "Content-Type: application/json\r\n", worker->malformed_answer, -1);
  else if (g_str_equal (call->head->target, "/quinceroute/order"))
    standin_worker_handle_order (worker, call);
  else if (g_str_equal (call->head->target, "/quinceroute/report"))
    standin_worker_answer_report (worker, call);
  else
    handle_request (worker, call);
}

/* ---- Public ----------------------------------------------------------- */

StandinWorker *
standin_worker_new (const char *id)
{
  StandinWorker *worker = g_new0 (StandinWorker, 1);
  worker->id = g_strdup (id);
  worker->started_at_ms = g_get_real_time () / 1000;
  worker->software_version = g_strdup ("v1");
  standin_worker_set_zone_and_slots (worker, "z1", 8);
  worker->delayed_calls = g_ptr_array_new_with_free_func (delayed_call_free);
  worker->version = 1;
  worker->max_running = G_MAXUINT;
  worker->runs = g_ptr_array_new_with_free_func (run_free);
  worker->repeated_answers
      = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_http_connection_unref, g_free);
  worker->streams = g_ptr_array_new ();
  worker->unanswered_calls = g_ptr_array_new ();
  worker->delayed_orders = g_ptr_array_new ();
  worker->fencing_tokens = g_array_new (FALSE, FALSE, sizeof (guint64));
  worker->order_leaders = g_ptr_array_new_with_free_func (g_free);
  worker->endless_writer = standin_endless_writer_new ();
  worker->server = standin_server_new (handle_call, worker);
  return worker;
}

/* Releases the calls in progress.  Their connections must be closed already. */
static void
release_calls (StandinWorker *worker)
{
  for (guint i = 0; i < worker->unanswered_calls->len; i++)
    standin_call_finish (worker->unanswered_calls->pdata[i]);
  standin_worker_drop_streams (worker);
  standin_worker_drop_orders (worker);
  g_ptr_array_set_size (worker->unanswered_calls, 0);
  g_ptr_array_set_size (worker->delayed_calls, 0);
}

void
standin_worker_crash (StandinWorker *worker)
{
  worker->is_down = TRUE;
  standin_server_crash (worker->server);
  release_calls (worker);
}

gboolean
standin_worker_is_down (const StandinWorker *worker)
{
  return worker->is_down;
}

void
standin_worker_restart (StandinWorker *worker, const char *id)
{
  char *former_id = worker->id;
  worker->id = g_strdup (id);
  g_free (former_id);
  if (!worker->clock_stands_still)
    worker->started_at_ms = MAX (g_get_real_time () / 1000, worker->started_at_ms + 1);
  worker->is_down = FALSE;
  worker->n_orders = 0;
  standin_server_restart (worker->server);
}

void
standin_worker_set_refused_text (StandinWorker *worker, const char *text, guint status)
{
  worker->refused_text = text;
  worker->refused_status = status;
}

guint
standin_worker_get_n_refused_requests (const StandinWorker *worker)
{
  return worker->n_refused_requests;
}

void
standin_worker_set_clock_stands_still (StandinWorker *worker, gboolean clock_stands_still)
{
  worker->clock_stands_still = clock_stands_still;
}

const char *
standin_worker_get_id (const StandinWorker *worker)
{
  return worker->id;
}

void
standin_worker_set_crash_trigger (StandinWorker *worker, const char *text, guint delay_ms, guint n_requests)
{
  g_free (worker->crash_text);
  worker->crash_text = g_strdup (text);
  worker->crash_delay_ms = delay_ms;
  worker->crashes_left = n_requests;
}

void
standin_worker_set_max_running (StandinWorker *worker, guint max_running)
{
  worker->max_running = max_running;
}

void
standin_worker_set_answer_delay (StandinWorker *worker, guint delay_ms)
{
  worker->answer_delay_ms = delay_ms;
}

void
standin_worker_free (StandinWorker *worker)
{
  standin_server_free (worker->server);
  standin_endless_writer_free (worker->endless_writer);
  release_calls (worker);
  g_ptr_array_unref (worker->delayed_calls);
  g_ptr_array_unref (worker->unanswered_calls);
  g_ptr_array_unref (worker->delayed_orders);
  g_free (worker->malformed_answer);
  g_free (worker->surplus_answer);
  g_hash_table_unref (worker->repeated_answers);
  g_ptr_array_unref (worker->streams);
  g_free (worker->zone);
  g_free (worker->software_version);
  g_free (worker->crash_text);
  g_ptr_array_unref (worker->runs);
  g_array_unref (worker->fencing_tokens);
  g_ptr_array_unref (worker->order_leaders);
  g_free (worker->order_mode);
  g_free (worker->id);
  g_free (worker);
}

const char *
standin_worker_get_address (const StandinWorker *worker)
{
  return standin_server_get_address (worker->server);
}

StandinServer *
standin_worker_get_server (StandinWorker *worker)
{
  return worker->server;
}

void
standin_worker_set_fault (StandinWorker *worker, StandinWorkerFault fault, guint n_requests)
{
  worker->fault = fault;
  worker->faults_left = n_requests;
}

void
standin_worker_set_surplus_answer (StandinWorker *worker, const char *answer, guint n_calls)
{
  g_free (worker->surplus_answer);
  worker->surplus_answer = g_strdup (answer);
  worker->surplus_answers_left = n_calls;
}

void
standin_worker_set_repeats_answers (StandinWorker *worker, gboolean repeats_answers)
{
  worker->repeats_answers = repeats_answers;
}

void
standin_worker_set_endless_answer (StandinWorker *worker, const StandinEndlessAnswer *answer, guint n_calls)
{
  worker->endless_answer = answer;
  worker->endless_answers_left = n_calls;
}

const StandinEndlessWriter *
standin_worker_get_endless_writer (const StandinWorker *worker)
{
  return worker->endless_writer;
}

void
standin_worker_set_event_padding (StandinWorker *worker, guint padding_bytes)
{
  worker->event_padding_bytes = padding_bytes;
}

void
standin_worker_set_events (StandinWorker *worker, guint n_events, guint interval_ms)
{
  worker->n_events = n_events;
  worker->event_interval_ms = interval_ms;
}

const GPtrArray *
standin_worker_get_runs (const StandinWorker *worker)
{
  return worker->runs;
}

guint64
standin_worker_get_version (const StandinWorker *worker)
{
  return worker->version;
}

void
standin_worker_set_malformed_answer (StandinWorker *worker, const char *body)
{
  g_free (worker->malformed_answer);
  worker->malformed_answer = g_strdup (body);
}
