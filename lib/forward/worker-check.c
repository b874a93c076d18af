/*
 * worker-check.c: checks whether a worker has ended after a connection to it broke.
 */
#include "worker-check.h"

#include "http1/http1.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* Far above a round trip between zones (at most 6 ms), within which a closed port refuses; requests wait for
 * the result. */
#define CONNECT_TIMEOUT_MS 150

struct _QuinceWorkerCheck
{
  /* All fields belong to the context that started it. */
  QuinceHttpConnection *connection;
  QuinceTimer *timer;
  guint timeout_deferrals; /* how often the timeout was deferred to handle the connection first */
  void (*done) (QuinceWorkerCheckResult, gpointer);
  gpointer user_data;
};

void
quince_worker_check_cancel (QuinceWorkerCheck *check)
{
  quince_timer_clear (&check->timer);
  quince_http_connection_close (check->connection);
  quince_http_connection_unref (check->connection);
  g_free (check);
}

static void
finish_check (QuinceWorkerCheck *check, QuinceWorkerCheckResult result)
{
  check->done (result, check->user_data);
  quince_worker_check_cancel (check);
}

static void
check_connected (QuinceHttpConnection *connection, gpointer data)
{
  finish_check (data, QUINCE_WORKER_CHECK_ALIVE);
}

static void
check_closed (QuinceHttpConnection *connection, const GError *error, gpointer data)
{
  finish_check (data, QUINCE_WORKER_CHECK_ENDED);
}

/* If the process was stopped, the worker may have responded in time.  Its response is then handled first. */
static gboolean
check_timed_out (gpointer data)
{
  QuinceWorkerCheck *check = data;
  if (check->timeout_deferrals < QUINCE_TIMEOUT_DEFERRALS_MAX
      && quince_http_connection_has_connect_result (check->connection))
    {
      check->timeout_deferrals++;
      quince_timer_clear (&check->timer);
      check->timer = quince_timer_add (QUINCE_TIMEOUT_DEFERRAL_MS, check_timed_out, check);
      return G_SOURCE_REMOVE;
    }
  finish_check (check, QUINCE_WORKER_CHECK_TIMED_OUT);
  return G_SOURCE_REMOVE;
}

static const QuinceHttpConnectionCallbacks connection_callbacks
    = { .connected = check_connected, .closed = check_closed };

QuinceWorkerCheck *
quince_worker_check_start (const char *address,
                           void (*done) (QuinceWorkerCheckResult, gpointer),
                           gpointer user_data)
{
  QuinceWorkerCheck *check = g_new0 (QuinceWorkerCheck, 1);
  check->done = done;
  check->user_data = user_data;
  check->connection = quince_http_connection_connect (address, &connection_callbacks, check);
  check->timer = quince_timer_add (CONNECT_TIMEOUT_MS, check_timed_out, check);
  return check;
}
