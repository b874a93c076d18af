/*
 * test-engine-client.c: one attempt on an engine whose agent is paused at any
 * step of sending it.  The engine runs on a task of its own and goes on.
 *
 * Promise: a back end that leaves gets no new work a few seconds later, also
 * from a process that was paused meanwhile.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <string.h>

#include <cmocka.h>

#include <quince/engine-client.h>
#include <quince/http.h>
#include <quince/task.h>

#define EXPIRY_US (100 * G_TIME_SPAN_MILLISECOND)
#define ARRIVAL_US (200 * G_TIME_SPAN_MILLISECOND) /* what left before the pause is counted by then */
#define STEPS_MOST 64 /* iterations of the client's loop that a request may take */
#define PROMPT_BYTES (16 * 1024)

/* The engine: refuses each whole request that it gets. */
typedef struct
{
  SoupServer *server; /* owned by the task      */
  char *address;      /* set once, by the setup */
  gint whole;         /* atomic: requests that came whole */
  gint ready;         /* atomic                 */
} Engine;

/* What the client was told. */
typedef struct
{
  gint64 expires_us;
  gboolean ended;
  gboolean refused;
  GError *error; /* owned */
} Outcome;

static void
serve (SoupServer *server,
       SoupServerMessage *message,
       const char *path,
       GHashTable *query,
       gpointer user_data)
{
  Engine *engine = user_data;
  g_atomic_int_inc (&engine->whole);
  soup_message_headers_append (soup_server_message_get_response_headers (message), "X-Engine-Not-Run",
                               "true");
  quince_http_reply_text (message, 503, "application/json", "{\"error\":{\"type\":\"overloaded\"}}");
}

static void
start_engine (gpointer data)
{
  Engine *engine = data;
  engine->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (engine->server, NULL, serve, engine, NULL);
  assert_true (quince_http_listen (engine->server, "127.0.0.1:0", &engine->address, NULL));
  g_atomic_int_set (&engine->ready, 1);
}

static void
stop_engine (gpointer data)
{
  Engine *engine = data;
  soup_server_disconnect (engine->server);
  g_clear_object (&engine->server);
  g_free (engine->address);
}

/* As an agent does. */
static gboolean
on_starting (gpointer user_data)
{
  return quince_now_us () < ((Outcome *)user_data)->expires_us;
}

static void
on_accepted (gpointer user_data)
{
}

static void
on_chunk (const QuinceEngineChunk *chunk, gpointer user_data)
{
}

static void
on_finished (QuinceFinishReason reason, gpointer user_data)
{
  ((Outcome *)user_data)->ended = TRUE;
}

static void
on_refused (const char *type, gpointer user_data)
{
  Outcome *outcome = user_data;
  outcome->ended = outcome->refused = TRUE;
}

static void
on_failed (gboolean sent, const GError *error, gpointer user_data)
{
  Outcome *outcome = user_data;
  outcome->ended = TRUE;
  outcome->error = g_error_copy (error);
}

static const QuinceEngineCallbacks callbacks = {
  .starting = on_starting,
  .accepted = on_accepted,
  .chunk = on_chunk,
  .finished = on_finished,
  .refused = on_refused,
  .failed = on_failed,
};

/* Lets the client do @steps iterations with something to do, then nothing until it has expired. */
static void
pause_after (guint steps, gint64 expires_us, const Outcome *outcome)
{
  for (guint step = 0; step < steps && !outcome->ended; step++)
    g_main_context_iteration (NULL, TRUE);
  while (quince_now_us () < expires_us + ARRIVAL_US)
    g_usleep (G_TIME_SPAN_MILLISECOND);
}

/* Returns: whether the whole request had left before the pause */
static gboolean
run_paused (SoupSession *session, Engine *engine, const char *prompt, guint steps)
{
  const gint64 expires_us = quince_now_us () + EXPIRY_US;
  Outcome outcome = { .expires_us = expires_us };
  const QuinceEngineDispatch dispatch = { .address = engine->address,
                                          .service = "s",
                                          .prompt = prompt,
                                          .request_id = "r",
                                          .attempt = 1,
                                          .max_tokens = 1,
                                          .resume_text = "",
                                          .fresh_connection = TRUE,
                                          .expires_us = expires_us };
  gint whole_before = g_atomic_int_get (&engine->whole);
  g_autoptr (QuinceEngineCall) call = quince_engine_call_start (session, &dispatch, &callbacks, &outcome);
  pause_after (steps, expires_us, &outcome);
  gboolean left = g_atomic_int_get (&engine->whole) > whole_before;
  while (!outcome.ended)
    g_main_context_iteration (NULL, TRUE);
  if (!left)
    {
      /* An engine that gets it now would count it before the next request, which it answers. */
      assert_false (outcome.refused);
      assert_true (
          g_error_matches (outcome.error, QUINCE_ENGINE_CLIENT_ERROR, QUINCE_ENGINE_CLIENT_ERROR_EXPIRED));
      assert_int_equal (g_atomic_int_get (&engine->whole), whole_before);
    }
  g_clear_error (&outcome.error);
  return left;
}

/* Whatever the step at which the client is paused: what had not left by then never does. */
static void
test_nothing_leaves_after_expiry (void **state)
{
  Engine engine = { 0 };
  guint left = 0;
  QuinceTask *task = quince_task_start ("engine", start_engine, stop_engine, &engine);
  while (!g_atomic_int_get (&engine.ready))
    g_usleep (1000);
  g_autoptr (SoupSession) session = quince_engine_session_new ();
  g_autofree char *prompt = g_strnfill (PROMPT_BYTES, 'x');
  guint steps = 0;
  while (left == 0 && steps < STEPS_MOST)
    left += run_paused (session, &engine, prompt, steps++) ? 1 : 0;
  assert_int_equal (left, 1);
  assert_true (steps > 2);
  g_clear_object (&session);
  quince_task_stop (task);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_nothing_leaves_after_expiry) };
  return cmocka_run_group_tests_name ("engine-client", tests, NULL, NULL);
}
