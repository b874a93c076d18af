/*
 * standin-worker.h: a stand-in of a worker of the platform: answers requests, streams samples, takes orders
 * to load weights; and its faults.
 *
 * Owns its server, its calls in progress and the record of its runs.  Belongs to the main context of the
 * test.
 */
#pragma once

#include "standin-server.h"

typedef enum
{
  STANDIN_WORKER_HEALTHY,
  STANDIN_WORKER_REFUSES,          /* 503, not run                                */
  STANDIN_WORKER_FAILS,            /* 500, run                                    */
  STANDIN_WORKER_UNPROCESSABLE,    /* 422                                         */
  STANDIN_WORKER_UNRESPONSIVE,     /* runs it and never answers                   */
  STANDIN_WORKER_TRUNCATES,        /* breaks off in the middle                    */
  STANDIN_WORKER_RESETS,           /* runs it, then resets without an answer      */
  STANDIN_WORKER_WRONG_REQUEST_ID, /* an answer to another request                */
  STANDIN_WORKER_MISSING_STAMP,    /* a success without its signature             */
  STANDIN_WORKER_EXTRA_ANSWER,     /* a second answer after the first             */
  STANDIN_WORKER_SKIPS_EVENT,      /* leaves an event of a stream out             */
} StandinWorkerFault;

/* One event of a stream, as the worker made it. */
typedef struct
{
  guint number;
  guint64 version; /* of the weights that made it */
} StandinEvent;

typedef struct
{
  char *id;
  char *target;
  char *body; /* ends with a zero that is not part of it */
  gsize body_length;
  QuinceHttpHeaders *headers; /* all that came */
  char *deadline;
  char *last_event_id;
  char *host;
  char *tenant;          /* NULL: none was named */
  char *api_key;         /* NULL: none was shown, as it must be */
  gint64 received_us;    /* when it came */
  gboolean disconnected; /* its caller closed before the answer */
  GArray *events;        /* StandinEvent: those of its stream that were made, in order */
} StandinRun;

typedef struct _StandinWorker StandinWorker;

StandinWorker *standin_worker_new (const char *id);
void standin_worker_free (StandinWorker *worker);
const char *standin_worker_get_address (const StandinWorker *worker);
StandinServer *standin_worker_get_server (StandinWorker *worker);
/* @times: how many requests meet the fault; G_MAXUINT: all */
void standin_worker_set_fault (StandinWorker *worker, StandinWorkerFault fault, guint n_requests);
/* Requests whose body or target holds @text end the worker @after_ms after it began them; NULL: none does.
 * @times: how many requests do; G_MAXUINT: all */
void
standin_worker_set_crash_trigger (StandinWorker *worker, const char *text, guint delay_ms, guint n_requests);
/* Time that plain answers take. */
void standin_worker_set_answer_delay (StandinWorker *worker, guint delay_ms);
/* It refuses requests, as not run, while it works on @requests; G_MAXUINT, the default: never. */
void standin_worker_set_max_running (StandinWorker *worker, guint max_running);
/* As when its process dies. */
void standin_worker_crash (StandinWorker *worker);
gboolean standin_worker_is_down (const StandinWorker *worker);
/* Another incarnation at the same address; its runs are counted on. */
void standin_worker_restart (StandinWorker *worker, const char *id);
const char *standin_worker_get_id (const StandinWorker *worker);
/* As it is listed; zone "z1" with 8 slots by default. */
void standin_worker_set_zone_and_slots (StandinWorker *worker, const char *zone, guint slots);
/* Version of its software, as it is listed; "v1" by default. */
void standin_worker_set_software_version (StandinWorker *worker, const char *software_version);
/* Its zone, as it is listed; "z1" by default. */
void standin_worker_set_zone (StandinWorker *worker, const char *zone);
void standin_worker_set_events (StandinWorker *worker, guint n_events, guint interval_ms);
/* Each event has @bytes more after its name; 0 by default. */
void standin_worker_set_event_padding (StandinWorker *worker, guint padding_bytes);
/* Runs so far, StandinRun. */
const GPtrArray *standin_worker_get_runs (const StandinWorker *worker);
guint64 standin_worker_get_version (const StandinWorker *worker);
/* Its reports, and its answers to orders, are this text; NULL: what they should be. */
void standin_worker_set_malformed_answer (StandinWorker *worker, const char *body);
/* Orders are taken, and end on @version instead of the one ordered; 0: on the version before.
 * @times: how many orders do; G_MAXUINT: all */
void standin_worker_fail_loads (StandinWorker *worker, guint64 version, guint n_loads);
/* Orders that ended on a wrong version. */
guint standin_worker_get_n_failed_loads (const StandinWorker *worker);
/* While it is set orders wait unanswered, until standin_worker_deliver_orders() takes them in turn. */
void standin_worker_set_orders_delayed (StandinWorker *worker, gboolean delayed);
guint standin_worker_count_delayed_orders (const StandinWorker *worker);
void standin_worker_deliver_orders (StandinWorker *worker);
/* Orders refused since they expected another number of orders before them. */
guint standin_worker_get_n_refused_orders (const StandinWorker *worker);
guint standin_worker_get_n_orders (const StandinWorker *worker);
/* Fences (guint64) and holders (texts) of the orders, as they came. */
const GArray *standin_worker_get_fencing_tokens (const StandinWorker *worker);
const GPtrArray *standin_worker_get_order_leaders (const StandinWorker *worker);
/* How runs are treated by the latest order; NULL: there was none. */
const char *standin_worker_get_order_mode (const StandinWorker *worker);
/* How long it is still cold, ms, as its entry says; -1: its entry does not say.  0 by default. */
void standin_worker_set_cold_remaining (StandinWorker *worker, gint cold_remaining_ms);
/* Its entry in the store. (transfer full) */
char *standin_worker_make_entry (const StandinWorker *worker, const char *service, const char *state);
