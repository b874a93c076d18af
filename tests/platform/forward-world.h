/*
 * forward-world.h: two stand-in workers and forwards of requests to them.
 */
#pragma once

#include "forward/forward.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include <string.h>

#include "await.h"
#include "platform.h"
#include "standin-worker.h"

#define WORKERS 2

typedef struct
{
  QuinceBackends *backends;
  StandinWorker *workers[WORKERS];
  gboolean done;
  QuinceForwardOutcome outcome;
  guint status;
  char *body;
  char *signature;
  guint attempts;
  guint n_requests;       /* started so far; each has an id of its own, the first one "r1" */
  gboolean mixed_targets; /* of the requests; see QuinceForwardRequest */
  gboolean is_reward;
  guint earlier_runs;
} World;

static void
register_worker (World *world, guint index, const char *state)
{
  const char *const ids[] = { "w0", "w1" };
  g_autofree char *key = g_strconcat (QUINCE_PLATFORM_WORKERS_PREFIX, ids[index], NULL);
  g_autofree char *text = standin_worker_make_entry (world->workers[index], "svc", state);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  QuinceWorker *worker = quince_platform_read_worker (key, bytes, NULL);
  assert_non_null (worker);
  quince_backends_update (world->backends, worker);
}

static void
world_init (World *world)
{
  *world = (World){ 0 };
  world->backends = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  world->workers[0] = standin_worker_new ("w0");
  world->workers[1] = standin_worker_new ("w1");
  for (guint i = 0; i < WORKERS; i++)
    register_worker (world, i, "ready");
}

static void
world_clear (World *world)
{
  quince_backends_free (world->backends);
  for (guint i = 0; i < WORKERS; i++)
    standin_worker_free (world->workers[i]);
  g_free (world->body);
  g_free (world->signature);
}

static guint
count_runs (const World *world)
{
  return standin_worker_get_runs (world->workers[0])->len + standin_worker_get_runs (world->workers[1])->len;
}

static void
forward_done (const QuinceForwardResult *result, gpointer data)
{
  World *world = data;
  world->done = TRUE;
  world->outcome = result->outcome;
  world->attempts = result->attempts;
  if (result->outcome != QUINCE_FORWARD_ANSWERED)
    return;
  world->status = result->head->status;
  world->body = g_strndup ((const char *)result->body->data, result->body->len);
  world->signature = g_strdup (result->signature);
}

static QuinceForward *
start_forward (World *world, gboolean repeatable, guint max_attempts, guint time_ms)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", "h.example");
  g_autofree char *request_id = g_strdup_printf ("r%u", ++world->n_requests);
  quince_platform_write_request_id (headers, request_id);
  g_autoptr (GBytes) body = g_bytes_new_static ("question", 8);
  gint64 now = quince_now_us ();
  const QuinceForwardRequest request = { .service = "svc",
                                         .kind = "kind",
                                         .method = "POST",
                                         .target = "/p/1?x=y",
                                         .request_id = request_id,
                                         .headers = headers,
                                         .body = body,
                                         .is_reward = world->is_reward,
                                         .earlier_runs = world->earlier_runs,
                                         .mixed_targets = world->mixed_targets,
                                         .repeatable = repeatable,
                                         .max_attempts = max_attempts,
                                         .target_latency_ms = 100,
                                         .deadline_us = now + (gint64)time_ms * 1000,
                                         .give_up_us = now + (gint64)time_ms * 1000 };
  return quince_forward_start (world->backends, &quince_platform_forward_codec, &request, forward_done,
                               world);
}

static void
run_forward (World *world, gboolean repeatable, guint max_attempts, guint time_ms)
{
  start_forward (world, repeatable, max_attempts, time_ms);
  AWAIT (world->done);
}
