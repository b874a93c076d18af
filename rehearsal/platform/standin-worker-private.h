/*
 * standin-worker-private.h: the state of a worker's stand-in, shared by its files: standin-worker.c takes
 * calls, standin-worker-streams.c streams answers, standin-worker-orders.c takes orders to load weights.
 */
#pragma once

#include "standin-worker.h"

#define STANDIN_MODEL_NAME "model-a" /* that every worker serves */

typedef struct
{
  StandinWorker *worker;
  StandinCall *call;
  StandinRun *run;
  guint next_event;     /* event */
  guint64 last_version; /* of its latest event */
  guint timer;
  StandinWorkerFault fault;
} StandinStream;

struct _StandinWorker
{
  StandinServer *server;
  char *id;
  char *software_version;
  char *zone;
  gint cold_remaining_ms;
  guint slots;
  /* requests that end it */
  char *crash_text; /* NULL: none does */
  guint crash_delay_ms;
  guint crashes_left;
  guint answer_delay_ms;
  guint max_running; /* requests that it works on at once */
  gboolean is_down;
  GPtrArray *delayed_calls; /* answers or ends that are due later, owned */
  StandinWorkerFault fault;
  guint faults_left;
  guint n_events;
  guint event_interval_ms;
  guint event_padding_bytes; /* more, after the name of each event */
  GPtrArray *runs;
  GPtrArray *streams;          /* StandinStream, owned */
  GPtrArray *unanswered_calls; /* StandinCall: never answered */
  guint64 version;
  guint64 n_orders;
  GArray *fencing_tokens;   /* guint64: of each order, in the order they came */
  GPtrArray *order_leaders; /* owned texts: of the same */
  char *order_mode;         /* of the latest; NULL: none */
  char *malformed_answer;   /* NULL: it makes sense */
  gboolean delays_orders;
  GPtrArray *delayed_orders; /* StandinCall: did not arrive */
  guint n_refused_orders;
  guint64 failed_load_version; /* that orders end on; 0: the version before */
  guint failing_loads_left;    /* orders that end so; G_MAXUINT: all */
  guint n_failed_loads;
};

/* Writes the head with @headers, lines with their ends, and then an event at a time. */
void standin_worker_start_stream (StandinWorker *worker,
                                  StandinCall *call,
                                  StandinRun *run,
                                  StandinWorkerFault fault,
                                  const char *headers);
/* Ends all streams without an answer: their connections are gone. */
void standin_worker_drop_streams (StandinWorker *worker);

/* Answers an order to load weights, or holds it. */
void standin_worker_handle_order (StandinWorker *worker, StandinCall *call);
/* Drops orders that are held: their connections are gone. */
void standin_worker_drop_orders (StandinWorker *worker);
