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

/* Its entry says nothing of warmth. */
#define QUINCE_COLD_UNKNOWN (-1)

/* One incarnation of a worker. */
typedef struct
{
  char *id;
  char *service;
  char *software; /* version of what it runs; NULL: not told */
  char *address;
  char *zone;
  guint slots;
  gboolean draining;
  gboolean may_go;   /* it may be taken away at any moment */
  gint64 removal_us; /* a draining one is taken away so long after it said so; 0: not told */
  GArray *models;    /* QuinceWorkerModel: as last told */
  gint64 cold_us; /* how much longer it was cold when that was last told; 0: warm; or QUINCE_COLD_UNKNOWN */
  gint64
      gone_after_us; /* it is not listed, perhaps by the store's own doing: no requests after it; 0: listed */

  /* What this process sees by itself. */
  gint64 assumed_cold_until_us; /* it may have turned cold, and counts as cold until then */
  gint64 send_by_us;            /* of the request that it was last chosen for: not sent later; 0: no bound */
  gboolean loading;             /* takes new weights: begins nothing meanwhile     */
  guint running;                /* requests of this process at it now             */
  guint failures;               /* in a row                                       */
  gint64 ejected_until_us;      /* no first choice until then                    */
  guint service_us;             /* smoothed time of its answers; 0: none yet      */
  gint64 pace_us;               /* smoothed time between two events of a text; 0: none yet */
  gint64 paced_us;              /* when the pace was last measured                */
} QuinceWorker;

QuinceWorker *quince_worker_new (const char *id);
void quince_worker_free (QuinceWorker *worker);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorker, quince_worker_free)
/* For a worker that is in no table yet, as tests make them; else quince_worker_table_set_model(). */
void quince_worker_set_model (QuinceWorker *worker, const char *model, guint64 version);
/* 0: it does not have @model. */
guint64 quince_worker_get_version (const QuinceWorker *worker, const char *model);

typedef struct _QuinceWorkerTable QuinceWorkerTable;

/**
 * QuinceWorkerTableCallbacks:
 * @gone: the worker ended or was replaced: it gets no more requests. Called before it is freed
 */
typedef struct
{
  void (*gone) (QuinceWorker *worker, gpointer user_data);
} QuinceWorkerTableCallbacks;

QuinceWorkerTable *quince_worker_table_new (const QuinceWorkerTableCallbacks *callbacks, gpointer user_data);
void quince_worker_table_free (QuinceWorkerTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorkerTable, quince_worker_table_free)
/* (transfer full): adds @told, or takes what it tells over into the worker of the same id.
 * Returns: whether something other than its load changed */
gboolean quince_worker_table_update (QuinceWorkerTable *table, QuinceWorker *told);
void quince_worker_table_remove (QuinceWorkerTable *table, const char *id);
QuinceWorker *quince_worker_table_find (QuinceWorkerTable *table, const char *id);
/* (transfer container): workers of @service, the leaving ones too, in order of their ids; not to be changed.
 */
GPtrArray *quince_worker_table_list (QuinceWorkerTable *table, const char *service);
/* (transfer container): those of them that have @model in version @minimum or a later one, leaving and
 * loading ones too; not to be changed.  Kept between calls: a leader of thousands of workers asks for each
 * sample. */
GPtrArray *quince_worker_table_list_version (QuinceWorkerTable *table,
                                             const char *service,
                                             const char *model,
                                             guint64 minimum);
/* @worker, which is in @table, has @version of @model. */
void quince_worker_table_set_model (QuinceWorkerTable *table,
                                    QuinceWorker *worker,
                                    const char *model,
                                    guint64 version);
/* (transfer container): all workers, in no order */
GPtrArray *quince_worker_table_list_all (const QuinceWorkerTable *table);
guint quince_worker_table_get_size (const QuinceWorkerTable *table);

/* An answer came after @took_us, or a failure that casts doubt on the worker. */
void quince_worker_note_answer (QuinceWorker *worker, gint64 took_us);
void quince_worker_note_failure (QuinceWorker *worker, gint64 now_us);
/* Events of a text came, on average @since_last_us after the one before. */
void quince_worker_note_event (QuinceWorker *worker, gint64 now_us, gint64 since_last_us);
/* It was told to be cold and not told to be warm since, or may have turned cold. */
gboolean quince_worker_is_cold (const QuinceWorker *worker, gint64 now_us);
/* It may turn cold, or have done so, before that is told: it counts as cold until @until_us. */
void quince_worker_assume_cold (QuinceWorker *worker, gint64 until_us);
/* Its time between two events; 0: not measured of late. */
gint64 quince_worker_get_pace_us (const QuinceWorker *worker, gint64 now_us);
/* The least of the paces of @workers (QuinceWorker); 0: none is measured. */
gint64 quince_workers_fastest_pace_us (const GPtrArray *workers, gint64 now_us);

G_END_DECLS
