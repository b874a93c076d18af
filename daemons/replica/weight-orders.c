/*
 * weight-orders.c: orders workers to load weights, a few workers at a time.
 *
 * model-placement.h assigns models to workers, load-plan.h defers loads, and load-turns.h decides which
 * worker loads next.
 */
#include "weight-orders.h"

#include "core/decisions/load-next.h"
#include "core/weights/load-turns.h"
#include "core/weights/load-window.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "weight-load.h"

/* Interval between checks of all workers, ms: a fraction of the duration of a load. */
#define CHECK_INTERVAL_MS 200
/* Delay from the end of a load to the next check, ms, so that loads that end at about the same time share one
 * check. */
#define CHECK_AFTER_LOAD_DELAY_MS 20

/* Load window of a service, and its workers at the last check that was not started by the end of a load. */
typedef struct
{
  QuinceLoadWindow window;
  GPtrArray *assigned_workers; /* ids, owned: workers with an assigned model */
  guint n_usable;              /* number of workers to which this process may send */
} ServiceState;

struct _QuinceWeightOrders
{
  /* All fields belong to the main context. */
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceWeightOrdersOptions options;
  gpointer user_data;
  QuinceWeightLoadContext load_context; /* shared by all loads */
  GHashTable *loads;                    /* worker id to QuinceWeightLoad, which owns the id; owned */
  GHashTable *retry_times; /* worker id to gint64, both owned: monotonic time of the next attempt, us */
  GHashTable *first_seen;  /* model to SeenVersion, both owned */
  GHashTable *services;    /* service name to ServiceState, both owned */
  QuinceTimer *timer;
  QuinceTimer *after_load_timer;
  gboolean check_follows_load; /* skips the assignment of models in this check */
};

/* ---- Loads ------------------------------------------------------------ */

static gboolean
may_order (guint64 *fence, gpointer data)
{
  QuinceWeightOrders *orders = data;
  return orders->options.may_order (fence, orders->user_data);
}

static void
service_state_free (gpointer data)
{
  ServiceState *state = data;
  g_ptr_array_unref (state->assigned_workers);
  g_free (state);
}

static ServiceState *
get_service_state (QuinceWeightOrders *orders, const char *service)
{
  ServiceState *state = g_hash_table_lookup (orders->services, service);
  if (state == NULL)
    {
      state = g_new0 (ServiceState, 1);
      state->assigned_workers = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (orders->services, g_strdup (service), state);
    }
  return state;
}

static void
record_completed_load (QuinceWeightOrders *orders, const QuinceWeightLoad *load)
{
  gint64 ordered_us = quince_weight_load_get_ordered_us (load);
  ServiceState *state = get_service_state (orders, quince_weight_load_get_service (load));
  if (ordered_us != 0)
    quince_load_window_record_load (&state->window, quince_now_us (), ordered_us,
                                    quince_load_concurrent_max (state->n_usable));
}

static gboolean
check_after_load (gpointer data)
{
  QuinceWeightOrders *orders = data;
  quince_timer_clear (&orders->after_load_timer);
  orders->check_follows_load = TRUE;
  quince_weight_orders_check_loads (orders);
  orders->check_follows_load = FALSE;
  return G_SOURCE_REMOVE;
}

static void
handle_load_ended (QuinceWeightLoad *load, gboolean success, gpointer data)
{
  QuinceWeightOrders *orders = data;
  const char *worker = quince_weight_load_get_worker (load);
  if (success)
    record_completed_load (orders, load);
  else
    {
      gint64 retry_us = quince_now_us () + QUINCE_LOAD_FAILED_PAUSE_US;
      g_hash_table_replace (orders->retry_times, g_strdup (worker), g_memdup2 (&retry_us, sizeof retry_us));
    }
  g_hash_table_remove (orders->loads, worker);
  if (success)
    orders->options.loaded (orders->user_data);
  if (orders->after_load_timer == NULL)
    orders->after_load_timer = quince_timer_add (CHECK_AFTER_LOAD_DELAY_MS, check_after_load, orders);
}

/* ---- Choice of workers ------------------------------------------------ */

static guint
count_service_loads (QuinceWeightOrders *orders, const char *service)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, orders->loads);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += g_str_equal (quince_weight_load_get_service (value), service);
  return count;
}

static gboolean
is_paused (QuinceWeightOrders *orders, const char *worker_id, gint64 now_us)
{
  const gint64 *retry_us = g_hash_table_lookup (orders->retry_times, worker_id);
  return retry_us != NULL && now_us < *retry_us;
}

static gboolean
has_single_version (QuinceRouteTable *routes, const char *service)
{
  for (guint i = 0; i < quince_route_table_get_n_routes (routes); i++)
    {
      const QuinceRoute *route = quince_route_table_get_route (routes, i);
      if (route->single_version && g_str_equal (quince_route_pick_service (route, 0), service))
        return TRUE;
    }
  return FALSE;
}

static void
start_load (QuinceWeightOrders *orders,
            QuinceWorker *worker,
            const char *model,
            guint64 version,
            gboolean retain)
{
  QuinceWeightLoad *load = quince_weight_load_new (&orders->load_context, worker, model, version, retain);
  g_hash_table_insert (orders->loads, (char *)quince_weight_load_get_worker (load), load);
  quince_weight_load_start (load);
}

/* The version of a model that was seen last, and the monotonic time at which it was first seen. */
typedef struct
{
  guint64 version;
  gint64 seen_us;
} SeenVersion;

/* Returns the time since this process first looked up @version as the newest one of @model, us.  The first
 * call for a version records the time and returns 0. */
static gint64
get_version_age_us (QuinceWeightOrders *orders, gint64 now_us, const char *model, guint64 version)
{
  const SeenVersion *seen = g_hash_table_lookup (orders->first_seen, model);
  if (seen != NULL && seen->version == version)
    return now_us - seen->seen_us;
  const SeenVersion now_seen = { version, now_us };
  g_hash_table_replace (orders->first_seen, g_strdup (model), g_memdup2 (&now_seen, sizeof now_seen));
  return 0;
}

/* Returns the model of which @worker has the highest version above 1, or NULL if there is none. */
static const char *
get_held_model (const QuinceWorker *worker)
{
  const QuinceWorkerModel *newest = NULL;
  for (guint i = 0; i < worker->models->len; i++)
    {
      const QuinceWorkerModel *model = &g_array_index (worker->models, QuinceWorkerModel, i);
      if (model->version > 1 && (newest == NULL || model->version > newest->version))
        newest = model;
    }
  return newest != NULL ? newest->name : NULL;
}

static void
set_placement_metrics (const QuinceService *service, const GArray *workers)
{
  for (guint i = 0; i < service->models->len; i++)
    {
      const char *model = g_intern_string (service->models->pdata[i]);
      guint count = 0;
      for (guint j = 0; j < workers->len; j++)
        count += g_array_index (workers, QuincePlacementWorker, j).model == model;
      g_autofree char *labels = g_strdup_printf ("model=\"%s\"", model);
      quince_metric_set ("quince_replica_model_workers", labels, count);
    }
}

/* Returns whether @worker, which does not have the wanted version, may load it now. */
static gboolean
may_load (QuinceWeightOrders *orders,
          gint64 now_us,
          const QuinceLoadPlan *plan,
          const QuinceWorker *worker,
          const char *model)
{
  if (worker->draining || is_paused (orders, worker->id, now_us)
      || !quince_order_records_may_order_worker (orders->options.records, worker->id))
    return FALSE;
  guint64 wanted = quince_observer_get_version (orders->observer, model);
  const QuincePendingLoad load = { .worker = worker->id,
                                   .model = model,
                                   .loaded_version = quince_worker_get_version (worker, model),
                                   .wanted_version = wanted,
                                   .version_age_us = get_version_age_us (orders, now_us, model, wanted) };
  return !quince_load_plan_should_defer (plan, &load);
}

static void
add_worker_to_turns (QuinceWeightOrders *orders,
                     gint64 now_us,
                     const QuinceLoadPlan *plan,
                     QuinceWorker *worker,
                     QuinceLoadTurns *turns)
{
  const char *model = quince_model_placement_get (orders->options.placement, worker->id);
  if (model == NULL)
    return;
  guint64 wanted = quince_observer_get_version (orders->observer, model);
  guint64 loaded = quince_worker_get_version (worker, model);
  gboolean up_to_date = loaded >= wanted || g_hash_table_contains (orders->loads, worker->id);
  quince_load_turns_count_worker (turns, model, up_to_date);
  if (!up_to_date && may_load (orders, now_us, plan, worker, model))
    quince_load_turns_add_candidate (turns, model, wanted - loaded, worker->running, worker);
}

static void
start_loads (QuinceWeightOrders *orders, QuinceLoadTurns *turns, guint count, gboolean retain)
{
  for (guint i = 0; i < count; i++)
    {
      QuinceWorker *worker = quince_load_turns_next (turns);
      if (worker == NULL)
        return;
      const char *model = quince_model_placement_get (orders->options.placement, worker->id);
      start_load (orders, worker, model, quince_observer_get_version (orders->observer, model), retain);
    }
}

static void
add_assigned_worker (ServiceState *state, const char *worker, const char *model)
{
  if (model != NULL)
    g_ptr_array_add (state->assigned_workers, g_strdup (worker));
}

/* Assigns models to the workers of a service, and updates the list of workers with an assigned model. */
static void
update_assignments (QuinceWeightOrders *orders,
                    gint64 now_us,
                    const QuinceService *service,
                    ServiceState *state)
{
  g_autoptr (GPtrArray) workers
      = quince_worker_table_list (quince_backends_get_workers (orders->backends), service->name);
  g_autoptr (GArray) usable = g_array_new (FALSE, FALSE, sizeof (QuincePlacementWorker));
  g_ptr_array_set_size (state->assigned_workers, 0);
  state->n_usable = 0;
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      if (!quince_backends_may_send (orders->backends, worker))
        continue;
      state->n_usable++;
      const QuincePlacementWorker placement_worker = { worker->id, get_held_model (worker), NULL };
      if (worker->draining)
        add_assigned_worker (state, worker->id,
                             quince_model_placement_get (orders->options.placement, worker->id));
      else
        g_array_append_val (usable, placement_worker);
    }
  quince_model_placement_assign (orders->options.placement, now_us, service->models, usable, service->slots);
  set_placement_metrics (service, usable);
  for (guint i = 0; i < usable->len; i++)
    {
      const QuincePlacementWorker *worker = &g_array_index (usable, QuincePlacementWorker, i);
      add_assigned_worker (state, worker->id, worker->model);
    }
}

static void
check_service (QuinceWeightOrders *orders,
               QuinceRouteTable *routes,
               const QuinceService *service,
               const QuinceLoadPlan *plan)
{
  g_autoptr (QuinceLoadTurns) turns = quince_load_turns_new ();
  ServiceState *state = get_service_state (orders, service->name);
  gint64 now = quince_now_us ();
  if (!orders->check_follows_load)
    update_assignments (orders, now, service, state);
  for (guint i = 0; i < state->assigned_workers->len; i++)
    {
      QuinceWorker *worker = quince_worker_table_find (quince_backends_get_workers (orders->backends),
                                                       state->assigned_workers->pdata[i]);
      if (worker != NULL && quince_backends_may_send (orders->backends, worker))
        add_worker_to_turns (orders, now, plan, worker, turns);
    }
  guint concurrent_max
      = quince_load_window_get_size (&state->window, quince_load_concurrent_max (state->n_usable));
  guint loading = count_service_loads (orders, service->name);
  start_loads (orders, turns, concurrent_max > loading ? concurrent_max - loading : 0,
               !has_single_version (routes, service->name));
}

void
quince_weight_orders_check_loads (QuinceWeightOrders *orders)
{
  QuinceRouteTable *routes = quince_observer_get_routes (orders->observer);
  guint64 fence = 0;
  if (routes == NULL || quince_backends_holds_sends (orders->backends) || !may_order (&fence, orders))
    return;
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  orders->options.fill_plan (plan, orders->user_data);
  for (guint i = 0; i < quince_route_table_get_n_services (routes); i++)
    {
      const QuinceService *service = quince_route_table_get_service (routes, i);
      if (service->models->len > 0)
        check_service (orders, routes, service, plan);
    }
}

void
quince_weight_orders_handle_commit (QuinceWeightOrders *orders)
{
  g_autoptr (GPtrArray) ids = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init (&iter, orders->loads);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    g_ptr_array_add (ids, g_strdup (id));
  /* A load may end while its order is sent. */
  for (guint i = 0; i < ids->len; i++)
    {
      QuinceWeightLoad *load = g_hash_table_lookup (orders->loads, ids->pdata[i]);
      if (load != NULL)
        quince_weight_load_handle_commit (load);
    }
}

static gboolean
handle_check_timer (gpointer data)
{
  quince_weight_orders_check_loads (data);
  return G_SOURCE_CONTINUE;
}

/* ---- Public ----------------------------------------------------------- */

QuinceWeightOrders *
quince_weight_orders_start (QuinceBackends *backends,
                            QuinceObserver *observer,
                            const QuinceWeightOrdersOptions *options,
                            gpointer user_data)
{
  QuinceWeightOrders *orders = g_new0 (QuinceWeightOrders, 1);
  orders->backends = backends;
  orders->observer = observer;
  orders->options = *options;
  orders->user_data = user_data;
  orders->load_context = (QuinceWeightLoadContext){ .backends = backends,
                                                    .holder = options->holder,
                                                    .records = options->records,
                                                    .may_order = may_order,
                                                    .ended = handle_load_ended,
                                                    .user_data = orders };
  orders->loads
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)quince_weight_load_free);
  orders->retry_times = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  orders->first_seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  orders->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_state_free);
  orders->timer = quince_timer_add (CHECK_INTERVAL_MS, handle_check_timer, orders);
  return orders;
}

void
quince_weight_orders_stop (QuinceWeightOrders *orders)
{
  if (orders == NULL)
    return;
  quince_timer_clear (&orders->timer);
  quince_timer_clear (&orders->after_load_timer);
  g_hash_table_unref (orders->loads);
  g_hash_table_unref (orders->services);
  g_hash_table_unref (orders->retry_times);
  g_hash_table_unref (orders->first_seen);
  g_free (orders);
}
