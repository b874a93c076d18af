/*
 * sample-set.c: the samples of open batches, and lookups of routes, regions, lengths and paces.
 */
#include "sample-set.h"

#include "forward/residency-lookup.h"
#include "runtime/clock.h"

/* Slots of a worker if its service has none configured. */
#define SLOTS_DEFAULT 8
/* Time for which the paces of a service are cached, us, since each dispatch reads them.  It is the time of
 * two or three events of a worker. */
#define PACES_TTL_US (100 * 1000)

/* Weight of the newest reward call in the smoothed duration: about the last ten calls count. */
#define REWARD_TIME_NEWEST_WEIGHT 0.2

/* Cached paces of the workers of a service. */
typedef struct
{
  gint64 measured_us;
  gint64 fastest_us;    /* time between two events at the fastest worker; 0: no pace is measured */
  gint64 slow_phase_us; /* mean duration of a slow phase of a worker; 0: not known */
} ServicePaces;

void
quince_sample_set_init (QuinceSampleSet *set,
                        QuinceBackends *backends,
                        QuinceObserver *observer,
                        const QuinceSampleSetCallbacks *callbacks,
                        gpointer owner)
{
  *set = (QuinceSampleSet){
    .backends = backends,
    .observer = observer,
    .reports = quince_step_reports_new (),
    .samples = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_sample_free),
    .length_models
    = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_length_model_free),
    .paces = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .reward_times = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .callbacks = callbacks,
    .owner = owner,
  };
}

void
quince_sample_set_clear (QuinceSampleSet *set)
{
  g_ptr_array_unref (set->samples);
  quince_step_reports_free (set->reports);
  g_hash_table_unref (set->length_models);
  g_hash_table_unref (set->paces);
  g_hash_table_unref (set->reward_times);
}

/* ---- Routes and lengths ------------------------------------------------- */

const QuinceRoute *
quince_sample_set_find_route (const QuinceSampleSet *set, const char *host, const char *path)
{
  QuinceRouteTable *routes = quince_observer_get_routes (set->observer);
  return routes != NULL ? quince_route_table_find (routes, host, path) : NULL;
}

const QuinceRoute *
quince_sample_set_get_batch_route (const QuinceSampleSet *set, const QuinceBatchJob *batch)
{
  return quince_sample_set_find_route (set, batch->host, batch->path);
}

void
quince_sample_set_get_residency (const QuinceSampleSet *set,
                                 const QuinceBatchEntry *entry,
                                 QuinceResidency *residency)
{
  *residency = (QuinceResidency){ NULL, NULL };
  if (!quince_backends_has_region_rules (set->backends))
    return;
  const QuinceRoute *route = quince_sample_set_get_batch_route (set, entry->batch);
  if (route == NULL)
    return; /* without a route, no sample of the batch is sent */
  const QuinceTenantTable *tenants
      = quince_route_table_get_tenants (quince_observer_get_routes (set->observer));
  const QuinceTenant *tenant = tenants != NULL ? quince_tenant_table_find (tenants, entry->tenant) : NULL;
  quince_route_get_residency (route, tenant, residency);
}

QuinceLengthModel *
quince_sample_set_get_length_model (QuinceSampleSet *set, const char *model)
{
  QuinceLengthModel *length_model = g_hash_table_lookup (set->length_models, model);
  if (length_model == NULL)
    {
      length_model = quince_length_model_new ();
      g_hash_table_insert (set->length_models, g_strdup (model), length_model);
    }
  return length_model;
}

double
quince_sample_set_estimate_remaining_events (QuinceSampleSet *set, const QuinceSample *sample)
{
  return quince_length_model_estimate_remaining (
      quince_sample_set_get_length_model (set, sample->entry->batch->model), sample->estimated_tokens,
      sample->last_event);
}

/* ---- Reward calls -------------------------------------------------------- */

void
quince_sample_set_record_reward_time (QuinceSampleSet *set, const QuinceSample *sample, gint64 duration_us)
{
  const char *model = sample->entry->batch->model;
  gint64 *smoothed_us = g_hash_table_lookup (set->reward_times, model);
  if (smoothed_us == NULL)
    g_hash_table_insert (set->reward_times, g_strdup (model), g_memdup2 (&duration_us, sizeof duration_us));
  else
    *smoothed_us += (gint64)(REWARD_TIME_NEWEST_WEIGHT * (double)(duration_us - *smoothed_us));
}

gint64
quince_sample_set_get_reward_time_us (const QuinceSampleSet *set, const QuinceSample *sample)
{
  if (quince_sample_get_item (sample)->reward.reward_len == 0)
    return 0;
  const gint64 *smoothed_us = g_hash_table_lookup (set->reward_times, sample->entry->batch->model);
  return smoothed_us != NULL ? *smoothed_us : 0;
}

/* ---- Services ----------------------------------------------------------- */

static gint64
get_mean_slow_phase_us (const GPtrArray *workers)
{
  QuinceSlowPhases phases = { 0 };
  for (guint i = 0; i < workers->len; i++)
    quince_slow_phases_add (&phases, &((const QuinceWorker *)workers->pdata[i])->pace_history);
  return quince_slow_phases_get_mean_us (&phases);
}

/* Returns the paces of @workers, which serve @service, measured at most PACES_TTL_US ago. */
static const ServicePaces *
get_paces (QuinceSampleSet *set, const char *service, const GPtrArray *workers, gint64 now_us)
{
  ServicePaces *paces = g_hash_table_lookup (set->paces, service);
  if (paces != NULL && now_us - paces->measured_us < PACES_TTL_US)
    return paces;
  if (paces == NULL)
    {
      paces = g_new0 (ServicePaces, 1);
      g_hash_table_insert (set->paces, g_strdup (service), paces);
    }
  paces->measured_us = now_us;
  paces->fastest_us = quince_workers_get_fastest_pace_us (workers, now_us);
  paces->slow_phase_us = get_mean_slow_phase_us (workers);
  return paces;
}

const char *
quince_sample_set_pick_service (const QuinceRoute *route, const QuinceSample *sample)
{
  /* All samples of a group use the same service of a route with several weighted services. */
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  return quince_route_pick_service (route, (g_str_hash (item->group) % 1000) / 1000.0);
}

void
quince_sample_set_get_service_view (QuinceSampleSet *set,
                                    const QuinceRoute *route,
                                    const QuinceSample *sample,
                                    gint64 now_us,
                                    QuinceSampleServiceView *view)
{
  QuinceRouteTable *routes = quince_observer_get_routes (set->observer);
  view->service = quince_sample_set_pick_service (route, sample);
  const QuinceService *service = quince_route_table_find_service (routes, view->service);
  view->slots = service != NULL && service->slots > 0 ? service->slots : SLOTS_DEFAULT;
  view->workers = quince_worker_table_list (quince_backends_get_workers (set->backends), view->service);
  const ServicePaces *paces = get_paces (set, view->service, view->workers, now_us);
  view->fastest_pace_us = paces->fastest_us;
  view->slow_phase_us = paces->slow_phase_us;
}

void
quince_sample_service_view_clear (QuinceSampleServiceView *view)
{
  g_clear_pointer (&view->workers, g_ptr_array_unref);
}
