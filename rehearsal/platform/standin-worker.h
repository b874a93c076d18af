/*
 * standin-worker.h: stand-in for a worker of the platform: answers requests, streams samples, loads weights
 * on order, and injects faults.
 *
 * A plain answer is one that is not streamed.  A worker owns its server, its calls in progress and its
 * recorded runs.  All functions are called from the main context of the test.
 */
#pragma once

#include "standin-endless.h"

typedef enum
{
  STANDIN_WORKER_HEALTHY,
  STANDIN_WORKER_REFUSES,          /* 503 with the header Not-Run; no run is recorded */
  STANDIN_WORKER_FAILS,            /* 500 after the run */
  STANDIN_WORKER_UNPROCESSABLE,    /* 422 after the run */
  STANDIN_WORKER_UNRESPONSIVE,     /* runs the request and never answers */
  STANDIN_WORKER_TRUNCATES,        /* closes the connection in the middle of the answer */
  STANDIN_WORKER_RESETS,           /* runs the request and resets the connection */
  STANDIN_WORKER_WRONG_REQUEST_ID, /* plain answer with another request id */
  STANDIN_WORKER_MISSING_STAMP,    /* plain answer without the header Server-Stamp */
  STANDIN_WORKER_EXTRA_ANSWER,     /* second plain answer after the first */
  STANDIN_WORKER_SKIPS_EVENT,      /* omits one event of a stream */
} StandinWorkerFault;

/* One event that the worker streamed. */
typedef struct
{
  guint number;
  guint64 version; /* weight version at the time of the event */
} StandinEvent;

typedef struct
{
  char *id;
  char *target;
  char *body; /* followed by a null byte that body_length does not count */
  gsize body_length;
  QuinceHttpHeaders *headers; /* all headers of the request */
  char *deadline;             /* header Request-Deadline-Ms; NULL: missing */
  char *last_event_id;        /* NULL: the request does not resume a stream */
  char *host;
  char *tenant;          /* NULL: the header is missing */
  char *api_key;         /* NULL: the header is missing, as required */
  gint64 received_us;    /* monotonic time of arrival */
  gboolean disconnected; /* connection closed early; delayed answers and streams only */
  GArray *events;        /* StandinEvent: events streamed so far, in order */
} StandinRun;

typedef struct _StandinWorker StandinWorker;

StandinWorker *standin_worker_new (const char *id);
void standin_worker_free (StandinWorker *worker);
const char *standin_worker_get_address (const StandinWorker *worker);
StandinServer *standin_worker_get_server (StandinWorker *worker);
/* Injects @fault into the next @n_requests requests; G_MAXUINT: all.  Delayed plain answers apply only
 * REFUSES, UNPROCESSABLE, UNRESPONSIVE and RESETS. */
void standin_worker_set_fault (StandinWorker *worker, StandinWorkerFault fault, guint n_requests);
/* Writes @answer, a whole HTTP response, before the own answer to each of the next @n_calls requests, reports
 * and orders. */
void standin_worker_set_surplus_answer (StandinWorker *worker, const char *answer, guint n_calls);
/* Answers the next @n_calls requests, reports and orders (G_MAXUINT: all) with @answer, which must outlive
 * the worker; NULL: no longer.  Requests are recorded as runs. */
void
standin_worker_set_endless_answer (StandinWorker *worker, const StandinEndlessAnswer *answer, guint n_calls);
const StandinEndlessWriter *standin_worker_get_endless_writer (const StandinWorker *worker);
/* Sends each answer 422, 500 and each refusal once more, before the next answer on its connection. */
void standin_worker_set_repeats_answers (StandinWorker *worker, gboolean repeats_answers);
/* Crashes the worker @delay_ms after it receives a request whose body or target contains @text; NULL: never.
 * @n_requests: how many such requests crash it; G_MAXUINT: all. */
void
standin_worker_set_crash_trigger (StandinWorker *worker, const char *text, guint delay_ms, guint n_requests);
/* Answers requests whose target contains @text, which must outlive the worker, with @status, and with Not-Run
 * if that is 503; NULL: none.  No run is recorded. */
void standin_worker_set_refused_text (StandinWorker *worker, const char *text, guint status);
/* Returns the number of requests that were refused because of their target. */
guint standin_worker_get_n_refused_requests (const StandinWorker *worker);
/* Delays plain answers. */
void standin_worker_set_answer_delay (StandinWorker *worker, guint delay_ms);
/* Refuses requests with 503 and Not-Run while @max_running are in flight.  G_MAXUINT by default: no limit. */
void standin_worker_set_max_running (StandinWorker *worker, guint max_running);
/* Simulates a process crash: resets all connections and refuses new ones. */
void standin_worker_crash (StandinWorker *worker);
gboolean standin_worker_is_down (const StandinWorker *worker);
/* Starts a new incarnation @id at the same address.  Keeps recorded runs and resets the order count.  @id:
 * may be the former id, even the string that standin_worker_get_id() returned */
void standin_worker_restart (StandinWorker *worker, const char *id);
/* If set, the start time in the worker's entry and reports stays the same when it restarts. */
void standin_worker_set_clock_stands_still (StandinWorker *worker, gboolean clock_stands_still);
const char *standin_worker_get_id (const StandinWorker *worker);
/* Sets the zone and slots of the worker's entry; "z1" and 8 by default. */
void standin_worker_set_zone_and_slots (StandinWorker *worker, const char *zone, guint slots);
/* Sets the software version of the worker's entry; "v1" by default. */
void standin_worker_set_software_version (StandinWorker *worker, const char *software_version);
/* Sets the zone of the worker's entry; "z1" by default. */
void standin_worker_set_zone (StandinWorker *worker, const char *zone);
/* Answers requests with streams of @n_events, one per @interval_ms; 0, the default: with plain answers. */
void standin_worker_set_events (StandinWorker *worker, guint n_events, guint interval_ms);
/* Appends @padding_bytes to the data of each event; 0 by default. */
void standin_worker_set_event_padding (StandinWorker *worker, guint padding_bytes);
/* Returns the StandinRun of all requests so far (transfer none). */
const GPtrArray *standin_worker_get_runs (const StandinWorker *worker);
guint64 standin_worker_get_version (const StandinWorker *worker);
/* Answers reports and orders with @body; NULL: well-formed answers. */
void standin_worker_set_malformed_answer (StandinWorker *worker, const char *body);
/* Accepts the next @n_loads orders (G_MAXUINT: all) but loads @version instead of the ordered one; 0: keeps
 * the current version. */
void standin_worker_fail_loads (StandinWorker *worker, guint64 version, guint n_loads);
/* Returns the number of orders that failed as set by standin_worker_fail_loads(). */
guint standin_worker_get_n_failed_loads (const StandinWorker *worker);
/* While @delayed is set, queues orders until standin_worker_deliver_orders() executes them in order of
 * arrival. */
void standin_worker_set_orders_delayed (StandinWorker *worker, gboolean delayed);
guint standin_worker_count_delayed_orders (const StandinWorker *worker);
void standin_worker_deliver_orders (StandinWorker *worker);
/* Returns the number of orders refused because they expected another number of earlier orders. */
guint standin_worker_get_n_refused_orders (const StandinWorker *worker);
guint standin_worker_get_n_orders (const StandinWorker *worker);
/* Return the fencing tokens (guint64) and leaders (strings) of accepted orders, in order of arrival (transfer
 * none). */
const GArray *standin_worker_get_fencing_tokens (const StandinWorker *worker);
const GPtrArray *standin_worker_get_order_leaders (const StandinWorker *worker);
/* Returns how the latest order treats running samples, or NULL if there was no order. */
const char *standin_worker_get_order_mode (const StandinWorker *worker);
/* Sets the remaining cold time in the worker's entry, in ms; 0 by default; -1: the entry has none. */
void standin_worker_set_cold_remaining (StandinWorker *worker, gint cold_remaining_ms);
/* Returns the worker's entry in the metadata store, as JSON (transfer full). */
char *standin_worker_make_entry (const StandinWorker *worker, const char *service, const char *state);
