/*
 * worker-table.h: the workers that the platform lists, with the measurements of this process.
 *
 * Pure: time is an argument, in microseconds of one monotonic clock.
 */
#pragma once

#include "core/routing/pace-history.h"
#include "core/routing/route-times.h"
#include "core/routing/worker-incarnation.h"

G_BEGIN_DECLS

typedef struct
{
  char *name;
  guint64 version;
} QuinceWorkerModel;

/* Value of QuinceWorker.cold_remaining_us if the entry does not state whether the worker is cold. */
#define QUINCE_COLD_UNKNOWN (-1)

/* One incarnation of a worker: its entry in the metadata store, and the state that this process keeps. */
typedef struct
{
  char *id;
  QuinceIncarnation incarnation;
  char *service;
  char *software; /* software version; NULL: not given */
  char *address;
  char *zone;
  guint slots; /* requests that it runs concurrently */
  gboolean draining;
  gboolean is_spot;         /* the platform may preempt the worker at any time */
  gint64 drain_time_us;     /* how long the worker keeps serving once it drains; 0: not given */
  GArray *models;           /* QuinceWorkerModel: newest known version of each loaded model */
  gint64 cold_remaining_us; /* remaining cold time in the last entry; 0: warm; or QUINCE_COLD_UNKNOWN */
  /* Set if the entry disappeared, perhaps in an outage of the store: the worker gets no requests from this
   * time on; 0: listed. */
  gint64 expires_us;

  /* State and measurements of this process. */
  gint64 assumed_cold_until_us; /* counts as cold until then, since it may have turned cold */
  gint64 send_by_us;            /* deadline for sending the request that last chose it; 0: none */
  gboolean loading;             /* it loads weights and starts no requests meanwhile */
  guint running;                /* requests of this process that are in flight at the worker */
  guint consecutive_failures;
  gint64 ejected_until_us; /* until then it is used only if no other worker is available */
  guint service_time_us;   /* smoothed response time; 0: no response yet */
  gint64 pace_us;          /* smoothed time between two events of a stream; 0: unknown */
  gint64 pace_measured_us; /* time of the last measurement of the pace */
  QuincePaceHistory pace_history;
  /* Only of services whose routes have different latency targets; see worker-response.h. */
  QuinceRouteTimes *route_times; /* owned; NULL: no response yet */
  double slowdown;               /* smoothed response time relative to the usual one; 0: unknown */
  gint64 slowdown_measured_us;   /* time of the last measurement of the slowdown */
  gint64 full_until_us;          /* it refused a request and counts as full until then */
} QuinceWorker;

/* Returns (transfer full): a worker whose start time is not known; see quince_worker_set_start_time() */
QuinceWorker *quince_worker_new (const char *id);
/* Sets the incarnation of a worker that is not in a table yet.  @started_at_ms: start of its process, Unix
 * time in ms; 0: not given */
void quince_worker_set_start_time (QuinceWorker *worker, gint64 started_at_ms);
void quince_worker_free (QuinceWorker *worker);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorker, quince_worker_free)
/* Sets the version of @model for a worker that is not in a table yet.  For a worker in a table, use
 * quince_worker_table_set_model(). */
void quince_worker_set_model (QuinceWorker *worker, const char *model, guint64 version);
/* Returns the version of @model that the worker has loaded, or 0 if it has not loaded @model. */
guint64 quince_worker_get_version (const QuinceWorker *worker, const char *model);

/* The worker that a request was sent to.  When the request ends, the worker may no longer be in the table, or
 * have started again under the same id. */
typedef struct
{
  char *id; /* owned; NULL: none */
  QuinceIncarnation incarnation;
  gint64 sent_us; /* time of the send */
} QuinceWorkerRef;

/* Replaces the contents of @ref, which must be initialized. */
void quince_worker_ref_set (QuinceWorkerRef *ref, const QuinceWorker *worker, gint64 sent_us);
void quince_worker_ref_clear (QuinceWorkerRef *ref);

typedef struct _QuinceWorkerTable QuinceWorkerTable;

/**
 * QuinceWorkerTableCallbacks:
 * @removed: called after the worker was removed or replaced in the table and before it is freed
 */
typedef struct
{
  void (*removed) (QuinceWorker *worker, gpointer user_data);
} QuinceWorkerTableCallbacks;

/* @callbacks: (nullable): must outlive the table */
QuinceWorkerTable *quince_worker_table_new (const QuinceWorkerTableCallbacks *callbacks, gpointer user_data);
void quince_worker_table_free (QuinceWorkerTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorkerTable, quince_worker_table_free)
/* Adds @entry (transfer full), or updates the worker with the same id, service and address from it, except
 * its zone and software version.  An entry with the same id but another service, address or incarnation
 * replaces the worker with all that was measured of it.  Model versions of an incarnation never decrease.
 *
 * Returns: %TRUE if @entry was added, or differs in the draining state, in whether the worker is cold, or in
 * the version of a model, even one that is ignored because it is older */
gboolean quince_worker_table_update (QuinceWorkerTable *table, QuinceWorker *entry);
/* Removes the worker and calls the removed callback; does nothing if @id is unknown. */
void quince_worker_table_remove (QuinceWorkerTable *table, const char *id);
/* Returns: (nullable) (transfer none): the worker with @id, or %NULL */
QuinceWorker *quince_worker_table_find (QuinceWorkerTable *table, const char *id);
/* Returns: (nullable) (transfer none): the worker that @ref refers to; %NULL if it is not in the table or has
 * started again since */
QuinceWorker *quince_worker_table_find_ref (QuinceWorkerTable *table, const QuinceWorkerRef *ref);
/* Returns: (transfer container) (element-type QuinceWorker): the workers of @service, including draining
 * ones, sorted by id; callers must not modify the shared list */
GPtrArray *quince_worker_table_list (QuinceWorkerTable *table, const char *service);
/* Returns: (transfer container) (element-type QuinceWorker): the workers of @service that have loaded
 * @model in @min_version or later, sorted by id; callers must not modify the shared list.  A @min_version of
 * 0 includes all versions.  Lists are cached, since a leader with thousands of workers calls this for each
 * sample. */
GPtrArray *quince_worker_table_list_with_version (QuinceWorkerTable *table,
                                                  const char *service,
                                                  const char *model,
                                                  guint64 min_version);
/* Records that @worker, which is in @table, has loaded @version of @model. */
void quince_worker_table_set_model (QuinceWorkerTable *table,
                                    QuinceWorker *worker,
                                    const char *model,
                                    guint64 version);
/* Returns: (transfer container) (element-type QuinceWorker): all workers, in no particular order */
GPtrArray *quince_worker_table_list_all (const QuinceWorkerTable *table);
guint quince_worker_table_get_size (const QuinceWorkerTable *table);
/* Returns how often a list was made from all workers of a service.  Only lists that were not cached are; a
 * change of a worker updates the cached ones. */
guint quince_worker_table_get_n_scans (const QuinceWorkerTable *table);

/* Records a response @elapsed_us after its request: updates the smoothed response time, resets the count of
 * failures and ends an ejection. */
void quince_worker_record_response (QuinceWorker *worker, gint64 elapsed_us);
/* Records a failed request: ejects the worker for 200 ms, doubled per consecutive failure, up to 2 s. */
void quince_worker_record_failure (QuinceWorker *worker, gint64 now_us);
/* Records events of a stream that arrived at an average interval of @interval_us: updates the pace. */
void quince_worker_record_event (QuinceWorker *worker, gint64 now_us, gint64 interval_us);
/* Returns %TRUE if the last entry of the worker states that it is cold, or it is assumed to be cold. */
gboolean quince_worker_is_cold (const QuinceWorker *worker, gint64 now_us);
/* Makes the worker count as cold at least until @until_us, whatever its entry states. */
void quince_worker_assume_cold (QuinceWorker *worker, gint64 until_us);
/* Returns the smoothed time between two events, or 0 if it was not measured in the last 4 s. */
gint64 quince_worker_get_pace_us (const QuinceWorker *worker, gint64 now_us);
/* Returns the shortest time between two events of all @workers (element-type QuinceWorker), or 0 if none was
 * measured in the last 4 s. */
gint64 quince_workers_get_fastest_pace_us (const GPtrArray *workers, gint64 now_us);

G_END_DECLS
