/*
 * worker-table.h: the workers that the platform lists, and what this process has measured of them.
 *
 * Pure: time is an argument, in microseconds of one monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct
{
  char *name;
  guint64 version;
} QuinceWorkerModel;

/* QuinceWorker.cold_remaining_us of a worker whose entry does not say whether it is cold. */
#define QUINCE_COLD_UNKNOWN (-1)

/* One incarnation of a worker: its entry in the metadata store, and what this process measured. */
typedef struct
{
  char *id;
  char *service;
  char *software; /* version of its software; NULL: not given */
  char *address;
  char *zone;
  guint slots; /* requests that it runs at once */
  gboolean draining;
  gboolean is_spot;         /* a spot worker: it may be taken away at any moment */
  gint64 drain_time_us;     /* a draining worker serves on for this long after it said so; 0: not given */
  GArray *models;           /* QuinceWorkerModel: newest known versions */
  gint64 cold_remaining_us; /* remaining cold time at its last entry; 0: warm; or QUINCE_COLD_UNKNOWN */
  gint64 expires_us; /* its entry lapsed, perhaps in an outage: no requests after this time; 0: listed */

  /* Measured by this process. */
  gint64 assumed_cold_until_us; /* it may have turned cold, and counts as cold until then */
  gint64 send_by_us;            /* the request that it was last chosen for is not sent later; 0: no limit */
  gboolean loading;             /* it loads weights and begins nothing meanwhile */
  guint running;                /* requests that this process has at it now */
  guint consecutive_failures;   /* in a row */
  gint64 ejected_until_us;      /* no first choice until then */
  guint service_time_us;        /* smoothed time of its answers; 0: none yet */
  gint64 pace_us;               /* smoothed time between two events of a stream; 0: none yet */
  gint64 pace_measured_us;      /* when the pace was last measured */
} QuinceWorker;

QuinceWorker *quince_worker_new (const char *id);
void quince_worker_free (QuinceWorker *worker);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorker, quince_worker_free)
/* For a worker that is in no table yet, as tests make them; else quince_worker_table_set_model(). */
void quince_worker_set_model (QuinceWorker *worker, const char *model, guint64 version);
/* Version of @model that it has; 0: none. */
guint64 quince_worker_get_version (const QuinceWorker *worker, const char *model);

typedef struct _QuinceWorkerTable QuinceWorkerTable;

/**
 * QuinceWorkerTableCallbacks:
 * @removed: the worker ended or was replaced and gets no more requests; called before it is freed
 */
typedef struct
{
  void (*removed) (QuinceWorker *worker, gpointer user_data);
} QuinceWorkerTableCallbacks;

QuinceWorkerTable *quince_worker_table_new (const QuinceWorkerTableCallbacks *callbacks, gpointer user_data);
void quince_worker_table_free (QuinceWorkerTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorkerTable, quince_worker_table_free)
/* (transfer full): adds @entry, or updates the worker of the same id, service and address from it.
 * Returns: whether something other than its load changed */
gboolean quince_worker_table_update (QuinceWorkerTable *table, QuinceWorker *entry);
void quince_worker_table_remove (QuinceWorkerTable *table, const char *id);
QuinceWorker *quince_worker_table_find (QuinceWorkerTable *table, const char *id);
/* (transfer container): workers of @service, draining ones too, in order of their ids; not to be changed. */
GPtrArray *quince_worker_table_list (QuinceWorkerTable *table, const char *service);
/* (transfer container): the same of workers that have version @min_version of @model or a later one.  Kept
 * between calls: a leader of thousands of workers calls this for each sample. */
GPtrArray *quince_worker_table_list_with_version (QuinceWorkerTable *table,
                                                  const char *service,
                                                  const char *model,
                                                  guint64 min_version);
/* @worker, which is in @table, has @version of @model. */
void quince_worker_table_set_model (QuinceWorkerTable *table,
                                    QuinceWorker *worker,
                                    const char *model,
                                    guint64 version);
/* (transfer container): all workers, in no order */
GPtrArray *quince_worker_table_list_all (const QuinceWorkerTable *table);
guint quince_worker_table_get_size (const QuinceWorkerTable *table);

/* An answer arrived after @elapsed_us: ends an ejection. */
void quince_worker_record_response (QuinceWorker *worker, gint64 elapsed_us);
/* A request failed at the worker: ejects it for 200 ms, doubled with each failure in a row, up to 2 s. */
void quince_worker_record_failure (QuinceWorker *worker, gint64 now_us);
/* Events of a stream arrived, on average @interval_us after the one before. */
void quince_worker_record_event (QuinceWorker *worker, gint64 now_us, gint64 interval_us);
/* Its entry says that it is cold, or it is assumed to be. */
gboolean quince_worker_is_cold (const QuinceWorker *worker, gint64 now_us);
/* It may have turned cold before its entry says so: it counts as cold until @until_us. */
void quince_worker_assume_cold (QuinceWorker *worker, gint64 until_us);
/* Its time between two events; 0: not measured in the last 4 s. */
gint64 quince_worker_get_pace_us (const QuinceWorker *worker, gint64 now_us);
/* The least pace of @workers (element-type QuinceWorker); 0: none is measured. */
gint64 quince_workers_get_fastest_pace_us (const GPtrArray *workers, gint64 now_us);

G_END_DECLS
