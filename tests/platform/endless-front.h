/*
 * endless-front.h: calls at a front whose workers answer with bytes without end, and what must hold of them.
 *
 * The bounds are those of docs/ARCHITECTURE.md, "Bounds of memory".
 */
#pragma once

#define PATH_FRONTS 1
#include "endless-answers.h"

/* The attempts of one request: an answer that is collected may have so many bytes, and two are in flight. */
#define LOOKUP_HELD_BYTES (2 * (16u << 20))
/* All answers that a process collects. */
#define PROCESS_HELD_BYTES (32u << 20)
/* An event that is not complete, and output that a caller has not read, of each stream. */
#define EVENT_MAX_BYTES (1u << 20)
#define UNREAD_MAX_BYTES (1u << 20)
/* Time of the route or the caller, and for the answer to arrive, ms. */
#define LOOKUP_TIME_MAX_MS 2600
#define STREAM_TIME_MAX_MS 3600
#define REFUSAL_TIME_MAX_MS 1500
/* Bytes that the kernel takes for a connection beyond what its reader has read. */
#define KERNEL_MAX_BYTES (16u << 20)
#define MANY_CALLS 50
#define BURST_CALLS 8
#define BURST_PAUSE_MS 100
/* Longer than a worker is left out after failures, lib/core/routing/worker-table.c. */
#define EJECTION_MS 2100
#define SMALL_BYTES 4096
#define WHOLE_STREAM                                                                                         \
  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\n"          \
  "id: 6\ndata: e6\n\n"

typedef struct
{
  PathWorld *path;
  EndlessWorkers plain;
  EndlessWorkers model;
  guint n_requests;
} Scene;

static Scene scene;

static inline int
set_up (void **state)
{
  scene = (Scene){ .path = path_world_new ("endless-front") };
  path_world_start (scene.path);
  scene.plain = (EndlessWorkers){ scene.path->plain, PATH_PLAIN };
  scene.model = (EndlessWorkers){ scene.path->model, PATH_MODEL };
  return 0;
}

static inline int
tear_down (void **state)
{
  path_world_free (scene.path);
  return 0;
}

/* ---- Calls ---------------------------------------------------------------- */

/* A call whose body is read and not kept, except its first bytes. */
typedef struct
{
  gboolean done;
  QuinceHttpOutcome outcome;
  guint status;
  guint64 n_bytes;
  GString *text; /* first bytes of the body, owned */
  gint64 started_us;
  guint took_ms;
} Call;

static inline void
call_body (QuinceHttpExchange *exchange, const char *data, gsize length, gpointer user_data)
{
  Call *call = user_data;
  call->n_bytes += length;
  if (call->text->len < SMALL_BYTES)
    g_string_append_len (call->text, data, (gssize)length);
}

static inline void
call_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  Call *call = data;
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  call->done = TRUE;
  call->outcome = outcome;
  call->status = head != NULL ? head->status : 0;
  call->took_ms = (guint)((g_get_monotonic_time () - call->started_us) / 1000);
}

static const QuinceHttpExchangeCallbacks call_callbacks = { .body = call_body, .done = call_done };

static inline Call *
start_call (const char *target)
{
  Call *call = g_new0 (Call, 1);
  call->text = g_string_new (NULL);
  call->started_us = g_get_monotonic_time ();
  g_autofree char *id = g_strdup_printf ("call-%u", scene.n_requests++);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", PATH_HOST);
  quince_http_headers_add (headers, "Request-Id", id);
  /* A stream that runs once is passed on until its deadline. */
  quince_http_headers_add (headers, "Request-Deadline-Ms",
                           g_str_has_prefix (target, "/u/") ? "1000" : "3000");
  g_autoptr (GBytes) body = g_bytes_new_static ("question", 8);
  const QuinceHttpRequest request = {
    .method = "POST", .target = target, .headers = headers, .body = body, .timeout_us = 8 * G_USEC_PER_SEC
  };
  QuinceHttpPool *pool = quince_http_pool_new (path_front (scene.path, 0));
  quince_http_pool_start (pool, &request, &call_callbacks, call);
  quince_http_pool_unref (pool);
  return call;
}

static inline void
call_free (Call *call)
{
  g_string_free (call->text, TRUE);
  g_free (call);
}

static inline void
await_call (Call *call, EndlessCost *cost)
{
  AWAIT (endless_cost_measure (cost) && call->done);
}

static inline gboolean
is_whole (const Call *call)
{
  return call->outcome == QUINCE_HTTP_ANSWERED && call->status == 200;
}

/* Asserts that the caller got no answer that it could take for a whole one, within its time. */
static inline void
assert_failed (const Call *call, const char *name, guint time_max_ms)
{
  if (is_whole (call))
    fail_msg ("%s: the caller got a whole answer of %u bytes", name, (guint)call->n_bytes);
  if (call->status != 0 && call->status != 200 && call->status != 502 && call->status != 504
      && call->status != 500)
    fail_msg ("%s: status %u", name, call->status);
  if (call->took_ms > time_max_ms)
    fail_msg ("%s: answered after %u ms", name, call->took_ms);
}

static inline void
await_closed (const EndlessWorkers *service, EndlessCost *cost)
{
  AWAIT (endless_cost_measure (cost) && endless_get_n_open (service) == 0);
}

static inline gboolean
is_answered (const char *target)
{
  EndlessCost cost = endless_cost_begin (scene.path->fronts[0]);
  Call *call = start_call (target);
  await_call (call, &cost);
  gboolean whole = is_whole (call);
  call_free (call);
  return whole;
}

/* All workers of @service answer with @answer, and again to the next calls until one of them is asked. */
static inline void
check_all_endless (const EndlessWorkers *service,
                   const StandinEndlessAnswer *answer,
                   const char *target,
                   const char *sound_target,
                   guint64 held_bytes,
                   guint time_max_ms)
{
  guint64 n_bytes = endless_get_n_bytes (service);
  EndlessCost cost = endless_cost_begin (scene.path->fronts[0]);
  endless_set (service, answer);
  Call *sound = start_call (sound_target);
  Call *call = start_call (target);
  await_call (call, &cost);
  await_call (sound, &cost);
  await_closed (service, &cost);
  endless_cost_end (&cost, answer->name, held_bytes, endless_get_n_bytes (service) - n_bytes);
  assert_failed (call, answer->name, time_max_ms);
  if (!is_whole (sound))
    fail_msg ("%s: status %u beside it", answer->name, sound->status);
  call_free (call);
  call_free (sound);
  endless_set (service, NULL);
  AWAIT (is_answered (target));
}

/* Starts some calls at once, so that each worker gets some of them, and asserts that all are answered. */
static inline void
check_burst (const EndlessWorkers *service, const StandinEndlessAnswer *answer, const char *target)
{
  EndlessCost cost = endless_cost_begin (scene.path->fronts[0]);
  Call *calls[BURST_CALLS];
  for (guint i = 0; i < BURST_CALLS; i++)
    calls[i] = start_call (target);
  for (guint i = 0; i < BURST_CALLS; i++)
    {
      await_call (calls[i], &cost);
      if (!is_whole (calls[i]))
        fail_msg ("%s: status %u, although a sound worker could answer", answer->name, calls[i]->status);
      if (service == &scene.model)
        assert_string_equal (calls[i]->text->str, WHOLE_STREAM);
      call_free (calls[i]);
    }
}

/* Returns the index of the worker of @service that runs most of the calls now. */
static inline guint
find_busiest (const EndlessWorkers *service, const char *target)
{
  guint n_runs[PATH_PLAIN + PATH_MODEL];
  guint busiest = 0;
  for (guint i = 0; i < service->n_workers; i++)
    n_runs[i] = standin_worker_get_runs (service->workers[i])->len;
  check_burst (service, &endless_stream, target);
  for (guint i = 0; i < service->n_workers; i++)
    {
      n_runs[i] = standin_worker_get_runs (service->workers[i])->len - n_runs[i];
      if (n_runs[i] > n_runs[busiest])
        busiest = i;
    }
  return busiest;
}

/* One worker of @service answers with @answer, the others are sound and not left out for earlier failures:
 * all calls are answered. */
static inline void
check_one_endless (const EndlessWorkers *service, const StandinEndlessAnswer *answer, const char *target)
{
  run_for (EJECTION_MS);
  EndlessCost cost = endless_cost_begin (scene.path->fronts[0]);
  const EndlessWorkers one = { &service->workers[find_busiest (service, target)], 1 };
  guint n_calls = endless_get_n_calls (&one);
  gint64 end = g_get_monotonic_time () + AWAIT_TIMEOUT_MS * 1000;
  endless_set (&one, answer);
  while (endless_get_n_calls (&one) == n_calls && g_get_monotonic_time () < end)
    {
      check_burst (service, answer, target);
      run_for (BURST_PAUSE_MS);
    }
  if (endless_get_n_calls (&one) == n_calls)
    fail_msg ("%s: the worker was not called", answer->name);
  await_closed (service, &cost);
  endless_set (&one, NULL);
}

#define CASE(function) cmocka_unit_test_setup_teardown (function, set_up, tear_down)
