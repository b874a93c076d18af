/*
 * worker-table.c: the workers that the platform lists, with the measurements of this process.
 */
#include "core/routing/worker-table.h"

#include <string.h>

/* Ejection after a worker's first failure, doubled with each consecutive one.  Long enough for a retry to
 * reach another worker, short enough for a worker that failed once. */
#define EJECTION_BASE_US (200 * 1000)
/* Longest ejection; the platform stops listing a failed worker within seconds anyway. */
#define EJECTION_MAX_US (2 * G_USEC_PER_SEC)
/* Doublings until the ejection exceeds EJECTION_MAX_US; bounds the shift. */
#define EJECTION_DOUBLINGS_MAX 4
/* Weight of the newest response in the smoothed response time, as a shift: 1/8. */
#define SERVICE_TIME_SHIFT 3
/* Weight of the newest interval in the smoothed pace, as a shift: 1/16.  A busy worker sends hundreds of
 * events per second. */
#define PACE_SHIFT 4
/* Longer intervals between events are pauses and are capped at this value. */
#define EVENT_INTERVAL_MAX_US (500 * 1000)
/* Older measurements of the pace are ignored, since a slow phase of a worker lasts a few seconds. */
#define PACE_MAX_AGE_US (4 * G_USEC_PER_SEC)

/* Cached lists by model and version.  Only a few versions of each model are in use at a time; at this limit
 * most lists are obsolete, and all are dropped. */
#define VERSION_LISTS_MAX 32

/* The workers of a service, all of them or those with a model in a given version or later. */
typedef struct
{
  char *service;
  char *model; /* NULL: all workers of the service */
  guint64 min_version;
  GPtrArray *workers; /* QuinceWorker, sorted by id */
  gboolean is_shared; /* a caller may hold @workers, so that a change needs a copy */
} WorkerList;

struct _QuinceWorkerTable
{
  GHashTable *by_id; /* QuinceWorker by id, owned */
  /* Caches, built on demand.  Each worker that is added, removed or changed is added to or removed from them.
   */
  GHashTable *service_lists; /* WorkerList by service, owned */
  GPtrArray *version_lists;  /* WorkerList, owned */
  guint n_scans;             /* see quince_worker_table_get_n_scans() */
  const QuinceWorkerTableCallbacks *callbacks;
  gpointer user_data;
};

QuinceWorker *
quince_worker_new (const char *id)
{
  QuinceWorker *worker = g_new0 (QuinceWorker, 1);
  worker->id = g_strdup (id);
  quince_worker_set_start_time (worker, 0);
  worker->models = g_array_new (FALSE, FALSE, sizeof (QuinceWorkerModel));
  return worker;
}

void
quince_worker_set_start_time (QuinceWorker *worker, gint64 started_at_ms)
{
  worker->incarnation = quince_incarnation_make (worker->id, started_at_ms);
}

void
quince_worker_ref_set (QuinceWorkerRef *ref, const QuinceWorker *worker, gint64 sent_us)
{
  quince_worker_ref_clear (ref);
  *ref = (QuinceWorkerRef){ g_strdup (worker->id), worker->incarnation, sent_us };
}

void
quince_worker_ref_clear (QuinceWorkerRef *ref)
{
  g_clear_pointer (&ref->id, g_free);
}

void
quince_worker_free (QuinceWorker *worker)
{
  if (worker == NULL)
    return;
  for (guint i = 0; i < worker->models->len; i++)
    g_free (g_array_index (worker->models, QuinceWorkerModel, i).name);
  g_array_unref (worker->models);
  quince_route_times_free (worker->route_times);
  g_free (worker->id);
  g_free (worker->service);
  g_free (worker->software);
  g_free (worker->address);
  g_free (worker->zone);
  g_free (worker);
}

static QuinceWorkerModel *
find_model (const QuinceWorker *worker, const char *model)
{
  for (guint i = 0; i < worker->models->len; i++)
    {
      QuinceWorkerModel *found = &g_array_index (worker->models, QuinceWorkerModel, i);
      if (g_str_equal (found->name, model))
        return found;
    }
  return NULL;
}

void
quince_worker_set_model (QuinceWorker *worker, const char *model, guint64 version)
{
  QuinceWorkerModel *found = find_model (worker, model);
  if (found != NULL)
    {
      found->version = version;
      return;
    }
  QuinceWorkerModel added = { g_strdup (model), version };
  g_array_append_val (worker->models, added);
}

guint64
quince_worker_get_version (const QuinceWorker *worker, const char *model)
{
  const QuinceWorkerModel *found = find_model (worker, model);
  return found != NULL ? found->version : 0;
}

static void
worker_list_free (gpointer data)
{
  WorkerList *list = data;
  g_free (list->service);
  g_free (list->model);
  g_ptr_array_unref (list->workers);
  g_free (list);
}

QuinceWorkerTable *
quince_worker_table_new (const QuinceWorkerTableCallbacks *callbacks, gpointer user_data)
{
  QuinceWorkerTable *table = g_new0 (QuinceWorkerTable, 1);
  table->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)quince_worker_free);
  table->service_lists = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_list_free);
  table->version_lists = g_ptr_array_new_with_free_func (worker_list_free);
  table->callbacks = callbacks;
  table->user_data = user_data;
  return table;
}

void
quince_worker_table_free (QuinceWorkerTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->service_lists);
  g_ptr_array_unref (table->version_lists);
  g_hash_table_unref (table->by_id);
  g_free (table);
}

/* ---- Cached lists ------------------------------------------------------- */

/* Returns the index of the first worker of @workers whose id is not before @id. */
static guint
find_position (const GPtrArray *workers, const char *id)
{
  guint low = 0;
  guint high = workers->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (strcmp (((const QuinceWorker *)workers->pdata[middle])->id, id) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
make_writable (WorkerList *list)
{
  if (!list->is_shared)
    return;
  GPtrArray *copy = g_ptr_array_copy (list->workers, NULL, NULL);
  g_ptr_array_unref (list->workers);
  list->workers = copy;
  list->is_shared = FALSE;
}

/* Adds @worker to @list, or removes it, whichever @belongs says. */
static void
update_list (WorkerList *list, QuinceWorker *worker, gboolean belongs)
{
  guint position = find_position (list->workers, worker->id);
  gboolean is_listed = position < list->workers->len && list->workers->pdata[position] == worker;
  if (is_listed == belongs)
    return;
  make_writable (list);
  if (belongs)
    g_ptr_array_insert (list->workers, (gint)position, worker);
  else
    g_ptr_array_remove_index (list->workers, position);
}

static gboolean
belongs_to (const WorkerList *list, const QuinceWorker *worker)
{
  return list->model == NULL || quince_worker_get_version (worker, list->model) >= list->min_version;
}

/* @is_present: FALSE: the worker is being removed from the table */
static void
update_lists (QuinceWorkerTable *table, QuinceWorker *worker, gboolean is_present)
{
  WorkerList *all = g_hash_table_lookup (table->service_lists, worker->service);
  if (all != NULL)
    update_list (all, worker, is_present);
  for (guint i = 0; i < table->version_lists->len; i++)
    {
      WorkerList *list = table->version_lists->pdata[i];
      if (g_str_equal (list->service, worker->service))
        update_list (list, worker, is_present && belongs_to (list, worker));
    }
}

/* ---- Workers ------------------------------------------------------------ */

static gboolean
update_from_entry (QuinceWorkerTable *table, QuinceWorker *worker, QuinceWorker *entry)
{
  gboolean changed = worker->draining != entry->draining;
  worker->draining = entry->draining;
  worker->is_spot = entry->is_spot;
  worker->drain_time_us = entry->drain_time_us;
  worker->expires_us = 0;
  worker->slots = entry->slots;
  changed = changed || (worker->cold_remaining_us > 0) != (entry->cold_remaining_us > 0);
  worker->cold_remaining_us = entry->cold_remaining_us;
  for (guint i = 0; i < entry->models->len; i++)
    {
      const QuinceWorkerModel *model = &g_array_index (entry->models, QuinceWorkerModel, i);
      guint64 old_version = quince_worker_get_version (worker, model->name);
      changed = changed || old_version != model->version;
      /* A version never decreases: a higher one comes from the worker's own report, which is newer than the
       * entry. */
      quince_worker_table_set_model (table, worker, model->name, MAX (old_version, model->version));
    }
  return changed;
}

gboolean
quince_worker_table_update (QuinceWorkerTable *table, QuinceWorker *entry)
{
  QuinceWorker *worker = g_hash_table_lookup (table->by_id, entry->id);
  gboolean same_worker = worker != NULL && worker->incarnation == entry->incarnation
                         && g_str_equal (worker->address, entry->address)
                         && g_str_equal (worker->service, entry->service);
  if (same_worker)
    {
      gboolean changed = update_from_entry (table, worker, entry);
      quince_worker_free (entry);
      return changed;
    }
  if (worker != NULL)
    quince_worker_table_remove (table, entry->id);
  g_hash_table_insert (table->by_id, entry->id, entry);
  update_lists (table, entry, TRUE);
  return TRUE;
}

void
quince_worker_table_remove (QuinceWorkerTable *table, const char *id)
{
  QuinceWorker *worker = g_hash_table_lookup (table->by_id, id);
  if (worker == NULL)
    return;
  g_hash_table_steal (table->by_id, id);
  update_lists (table, worker, FALSE);
  if (table->callbacks != NULL && table->callbacks->removed != NULL)
    table->callbacks->removed (worker, table->user_data);
  quince_worker_free (worker);
}

QuinceWorker *
quince_worker_table_find (QuinceWorkerTable *table, const char *id)
{
  return g_hash_table_lookup (table->by_id, id);
}

QuinceWorker *
quince_worker_table_find_ref (QuinceWorkerTable *table, const QuinceWorkerRef *ref)
{
  QuinceWorker *worker = quince_worker_table_find (table, ref->id);
  return worker != NULL && worker->incarnation == ref->incarnation ? worker : NULL;
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const QuinceWorker *const *first = a;
  const QuinceWorker *const *second = b;
  return g_strcmp0 ((*first)->id, (*second)->id);
}

static GPtrArray *
share_list (WorkerList *list)
{
  list->is_shared = TRUE;
  return g_ptr_array_ref (list->workers);
}

GPtrArray *
quince_worker_table_list (QuinceWorkerTable *table, const char *service)
{
  WorkerList *list = g_hash_table_lookup (table->service_lists, service);
  if (list != NULL)
    return share_list (list);
  list = g_new0 (WorkerList, 1);
  list->service = g_strdup (service);
  list->workers = g_ptr_array_new ();
  table->n_scans++;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_str_equal (((QuinceWorker *)value)->service, service))
      g_ptr_array_add (list->workers, value);
  g_ptr_array_sort (list->workers, compare_ids);
  g_hash_table_insert (table->service_lists, list->service, list);
  return share_list (list);
}

void
quince_worker_table_set_model (QuinceWorkerTable *table,
                               QuinceWorker *worker,
                               const char *model,
                               guint64 version)
{
  if (quince_worker_get_version (worker, model) == version)
    return;
  quince_worker_set_model (worker, model, version);
  update_lists (table, worker, TRUE);
}

static WorkerList *
find_version_list (const QuinceWorkerTable *table,
                   const char *service,
                   const char *model,
                   guint64 min_version)
{
  for (guint i = 0; i < table->version_lists->len; i++)
    {
      WorkerList *list = table->version_lists->pdata[i];
      if (list->min_version == min_version && g_str_equal (list->model, model)
          && g_str_equal (list->service, service))
        return list;
    }
  return NULL;
}

GPtrArray *
quince_worker_table_list_with_version (QuinceWorkerTable *table,
                                       const char *service,
                                       const char *model,
                                       guint64 min_version)
{
  min_version = MAX (min_version, 1);
  WorkerList *list = find_version_list (table, service, model, min_version);
  if (list != NULL)
    return share_list (list);
  if (table->version_lists->len >= VERSION_LISTS_MAX)
    g_ptr_array_set_size (table->version_lists, 0);
  list = g_new0 (WorkerList, 1);
  list->service = g_strdup (service);
  list->model = g_strdup (model);
  list->min_version = min_version;
  list->workers = g_ptr_array_new ();
  g_autoptr (GPtrArray) all = quince_worker_table_list (table, service);
  table->n_scans++;
  for (guint i = 0; i < all->len; i++)
    if (belongs_to (list, all->pdata[i]))
      g_ptr_array_add (list->workers, all->pdata[i]);
  g_ptr_array_add (table->version_lists, list);
  return share_list (list);
}

guint
quince_worker_table_get_n_scans (const QuinceWorkerTable *table)
{
  return table->n_scans;
}

GPtrArray *
quince_worker_table_list_all (const QuinceWorkerTable *table)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, value);
  return all;
}

guint
quince_worker_table_get_size (const QuinceWorkerTable *table)
{
  return g_hash_table_size (table->by_id);
}

void
quince_worker_record_response (QuinceWorker *worker, gint64 elapsed_us)
{
  worker->consecutive_failures = 0;
  worker->ejected_until_us = 0;
  guint measured_us = (guint)CLAMP (elapsed_us, 1, G_MAXINT);
  if (worker->service_time_us == 0)
    worker->service_time_us = measured_us;
  else
    worker->service_time_us
        += (guint)(((gint64)measured_us - (gint64)worker->service_time_us) >> SERVICE_TIME_SHIFT);
}

void
quince_worker_record_failure (QuinceWorker *worker, gint64 now_us)
{
  gint64 ejection_us = EJECTION_BASE_US << MIN (worker->consecutive_failures, EJECTION_DOUBLINGS_MAX);
  worker->consecutive_failures++;
  worker->ejected_until_us = now_us + MIN (ejection_us, EJECTION_MAX_US);
}

void
quince_worker_record_event (QuinceWorker *worker, gint64 now_us, gint64 interval_us)
{
  gint64 measured_us = CLAMP (interval_us, 1, EVENT_INTERVAL_MAX_US);
  if (worker->pace_us == 0 || now_us - worker->pace_measured_us > PACE_MAX_AGE_US)
    worker->pace_us = measured_us;
  else
    worker->pace_us += (measured_us - worker->pace_us) >> PACE_SHIFT;
  worker->pace_measured_us = now_us;
  quince_pace_history_record (&worker->pace_history, now_us, measured_us);
}

gboolean
quince_worker_is_cold (const QuinceWorker *worker, gint64 now_us)
{
  return worker->cold_remaining_us > 0 || now_us < worker->assumed_cold_until_us;
}

void
quince_worker_assume_cold (QuinceWorker *worker, gint64 until_us)
{
  worker->assumed_cold_until_us = MAX (worker->assumed_cold_until_us, until_us);
}

gint64
quince_worker_get_pace_us (const QuinceWorker *worker, gint64 now_us)
{
  return now_us - worker->pace_measured_us <= PACE_MAX_AGE_US ? worker->pace_us : 0;
}

gint64
quince_workers_get_fastest_pace_us (const GPtrArray *workers, gint64 now_us)
{
  gint64 fastest = 0;
  for (guint i = 0; i < workers->len; i++)
    {
      gint64 pace = quince_worker_get_pace_us (workers->pdata[i], now_us);
      if (pace > 0 && (fastest == 0 || pace < fastest))
        fastest = pace;
    }
  return fastest;
}
