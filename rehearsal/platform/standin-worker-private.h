/*
 * standin-worker-private.h: state of a worker stand-in.
 *
 * standin-worker.c handles calls, standin-worker-streams.c streams answers, standin-worker-orders.c answers
 * reports and handles orders to load weights, and standin-worker-entry.c makes the entry in the store.
 */
#pragma once

#include "standin-worker.h"

#define STANDIN_MODEL_NAME "model-a" /* served by every worker */

typedef struct
{
  StandinWorker *worker;
  StandinCall *call;
  StandinRun *run;
  guint next_event;     /* number of the next event */
  guint64 last_version; /* weight version of the last event */
  guint timer;
  StandinWorkerFault fault;
} StandinStream;

struct _StandinWorker
{
  StandinServer *server;
  char *id;
  gint64 started_at_ms; /* Unix time of the last start */
  gboolean clock_stands_still;
  char *software_version;
  char *zone;
  gint cold_remaining_ms;
  guint slots;
  const char *refused_text; /* requests whose target contains it are refused; NULL: none */
  guint refused_status;
  guint n_refused_requests; /* because of refused_text */
  char *crash_text;         /* requests that contain it crash the worker; NULL: none */
  guint crash_delay_ms;
  guint crashes_left;
  guint answer_delay_ms;
  guint max_running; /* limit of requests in flight */
  gboolean is_down;
  GPtrArray *delayed_calls; /* DelayedCall, owned: answers and crashes that are due later */
  StandinWorkerFault fault;
  guint faults_left;
  char *surplus_answer;
  guint surplus_answers_left;
  const StandinEndlessAnswer *endless_answer; /* NULL: none */
  guint endless_answers_left;
  StandinEndlessWriter *endless_writer;
  gboolean repeats_answers;
  GHashTable *repeated_answers; /* by QuinceHttpConnection: text that precedes its next answer; both owned */
  guint n_events;
  guint event_interval_ms;
  guint event_padding_bytes; /* appended to the data of each event */
  GPtrArray *runs;
  GPtrArray *streams;          /* StandinStream, owned */
  GPtrArray *unanswered_calls; /* StandinCall: received while the worker was unresponsive */
  guint64 version;
  guint64 n_orders;
  GArray *fencing_tokens;   /* guint64: of each order, in order of arrival */
  GPtrArray *order_leaders; /* strings, owned: leader of each order, in order of arrival */
  char *order_mode;         /* of the latest order; NULL: none */
  char *malformed_answer;   /* NULL: answers are well-formed */
  gboolean delays_orders;
  GPtrArray *delayed_orders; /* StandinCall: not executed yet */
  guint n_refused_orders;
  guint64 failed_load_version; /* version after a failed load; 0: unchanged */
  guint failing_loads_left;    /* loads still to fail; G_MAXUINT: all */
  guint n_failed_loads;
};

/* Writes the response head with @headers, lines that end with CRLF, and then one event per interval. */
void standin_worker_start_stream (StandinWorker *worker,
                                  StandinCall *call,
                                  StandinRun *run,
                                  StandinWorkerFault fault,
                                  const char *headers);
/* Releases all streams.  Their connections must be closed already. */
void standin_worker_drop_streams (StandinWorker *worker);

void standin_worker_answer_report (StandinWorker *worker, StandinCall *call);
/* Answers an order to load weights, or queues it while orders are delayed. */
void standin_worker_handle_order (StandinWorker *worker, StandinCall *call);
/* Releases delayed orders.  Their connections must be closed already. */
void standin_worker_drop_orders (StandinWorker *worker);
