/*
 * backends.c: the workers that this process may send to, as the platform lists them.
 *
 * Other files implement parts of it: worker-pools.c (connections), choose-worker.c (choice of a worker),
 * policy-calls.c and policy-entry.c (policy), event-table.c (events), warmth.c (cold workers), evacuation.c
 * (evacuated zones), residency-lookup.c (regions).
 */
#include "backends-private.h"

#include "runtime/log.h"

/* Prompt parts whose last worker is recorded; limits memory. */
#define PROMPT_PARTS_MAX 8192

static void
worker_removed (QuinceWorker *worker, gpointer data)
{
  const QuinceBackends *backends = data;
  quince_worker_pools_remove (backends->pools, worker->id);
}

static const QuinceWorkerTableCallbacks table_callbacks = { .removed = worker_removed };

QuinceBackends *
quince_backends_new (QuinceTopology *topology, const char *request_id_header)
{
  QuinceBackends *backends = g_new0 (QuinceBackends, 1);
  backends->topology = topology;
  backends->zones = quince_zone_table_new ();
  backends->workers = quince_worker_table_new (&table_callbacks, backends);
  backends->pools = quince_worker_pools_new (request_id_header);
  backends->events = quince_event_table_new ();
  backends->shares = quince_share_metrics_new ();
  backends->limits = quince_tenant_limits_new ();
  backends->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_attempt_budget_free);
  g_queue_init (&backends->unlisted_ids);
  backends->prompts = quince_prompt_table_new (PROMPT_PARTS_MAX);
  backends->rotation = g_random_int ();
  backends->subset_seed = g_random_int ();
  return backends;
}

void
quince_backends_free (QuinceBackends *backends)
{
  if (backends == NULL)
    return;
  quince_backends_clear_evacuation (backends);
  quince_worker_table_free (backends->workers);
  quince_worker_pools_free (backends->pools);
  quince_event_table_free (backends->events);
  quince_share_metrics_free (backends->shares);
  quince_tenant_limits_free (backends->limits);
  g_hash_table_unref (backends->budgets);
  quince_prompt_table_free (backends->prompts);
  g_queue_clear_full (&backends->unlisted_ids, g_free);
  quince_policy_free (backends->policy);
  g_clear_pointer (&backends->policy_entry, g_bytes_unref);
  quince_topology_free (backends->topology);
  g_free (backends);
}

void
quince_backends_set_policy (QuinceBackends *backends, QuincePolicy *policy)
{
  quince_policy_free (backends->policy);
  backends->policy = policy;
}

QuincePolicy *
quince_backends_get_policy (QuinceBackends *backends)
{
  return backends->policy;
}

QuinceShareMetrics *
quince_backends_get_share_metrics (QuinceBackends *backends)
{
  return backends->shares;
}

QuinceTenantLimits *
quince_backends_get_tenant_limits (QuinceBackends *backends)
{
  return backends->limits;
}

gboolean
quince_backends_admit_tenant (QuinceBackends *backends, const char *service, const char *tenant)
{
  gboolean admitted = quince_tenant_limits_admit (backends->limits, service, tenant);
  if (!admitted)
    quince_share_metrics_count (backends->shares, QUINCE_SHARE_TENANT, tenant, "quince_share_limited_total");
  return admitted;
}

/* Sets quince_share_waiting of zones to the requests and runs of this process at their workers. */
static void
set_zone_metrics (QuinceBackends *backends)
{
  QuinceShareGauge *waiting = quince_share_gauge_new (backends->shares, QUINCE_SHARE_ZONE);
  g_autoptr (GPtrArray) workers = quince_worker_table_list_all (backends->workers);
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      if (worker->running > 0 && worker->zone != NULL)
        quince_share_gauge_add (waiting, worker->zone, worker->running);
    }
  quince_share_gauge_publish (waiting, "quince_share_waiting");
}

void
quince_backends_refresh_share_metrics (QuinceBackends *backends)
{
  quince_share_metrics_refresh (backends->shares);
  set_zone_metrics (backends);
}

const QuinceTopology *
quince_backends_get_topology (const QuinceBackends *backends)
{
  return backends->topology;
}

QuinceWorkerTable *
quince_backends_get_workers (QuinceBackends *backends)
{
  return backends->workers;
}

void
quince_backends_set_guard (QuinceBackends *backends, QuinceSendGuard *guard)
{
  backends->guard = guard;
  if (guard != NULL)
    quince_send_guard_set_workers (guard, backends->workers);
}

QuinceSendGuard *
quince_backends_get_guard (QuinceBackends *backends)
{
  return backends->guard;
}

void
quince_backends_set_warmup (QuinceBackends *backends, QuinceWarmupSends *warmup)
{
  backends->warmup = warmup;
}

void
quince_backends_remove_expired (QuinceBackends *backends, gint64 now_us)
{
  while (!g_queue_is_empty (&backends->unlisted_ids))
    {
      const char *id = g_queue_peek_head (&backends->unlisted_ids);
      const QuinceWorker *worker = quince_worker_table_find (backends->workers, id);
      gboolean relisted_or_removed = worker == NULL || worker->expires_us == 0;
      if (!relisted_or_removed && now_us < worker->expires_us)
        return;
      g_autofree char *unlisted_id = g_queue_pop_head (&backends->unlisted_ids);
      if (!relisted_or_removed)
        quince_backends_remove (backends, unlisted_id);
    }
}

void
quince_backends_mark_listing_stale (QuinceBackends *backends, gint64 now_us, gint64 until_us, const char *id)
{
  QuinceWorker *worker = quince_worker_table_find (backends->workers, id);
  if (worker == NULL || worker->draining)
    {
      quince_backends_remove (backends, id);
      return;
    }
  if (worker->expires_us != 0)
    return;
  worker->expires_us = until_us;
  g_queue_push_tail (&backends->unlisted_ids, g_strdup (id));
  quince_log_info ("worker_doubted", "worker=%s cause=listing_vanished keep_ms=%d", id,
                   (int)((until_us - now_us) / 1000));
}

void
quince_backends_update (QuinceBackends *backends, QuinceWorker *entry)
{
  g_autofree char *id = g_strdup (entry->id);
  quince_warmth_update_entry (backends, entry);
  if (!quince_worker_table_update (backends->workers, entry))
    return;
  const QuinceWorker *worker = quince_worker_table_find (backends->workers, id);
  guint64 version
      = worker->models->len > 0 ? g_array_index (worker->models, QuinceWorkerModel, 0).version : 0;
  quince_log_info ("worker_changed",
                   "worker=%s service=%s address=%s state=%s version=%" G_GUINT64_FORMAT
                   " leaves_ms=%" G_GINT64_FORMAT,
                   worker->id, worker->service, worker->address, worker->draining ? "draining" : "ready",
                   version, worker->drain_time_us / 1000);
}

void
quince_backends_remove (QuinceBackends *backends, const char *id)
{
  if (quince_worker_table_find (backends->workers, id) != NULL)
    quince_log_info ("worker_gone", "worker=%s", id);
  quince_worker_table_remove (backends->workers, id);
}

QuinceHttpPool *
quince_backends_get_pool (QuinceBackends *backends, const QuinceWorker *worker)
{
  return quince_worker_pools_get (backends->pools, worker);
}

QuinceAttemptBudget *
quince_backends_get_attempt_budget (QuinceBackends *backends, const char *service)
{
  QuinceAttemptBudget *budget = g_hash_table_lookup (backends->budgets, service);
  if (budget != NULL)
    return budget;
  budget = quince_attempt_budget_new ();
  g_hash_table_insert (backends->budgets, g_strdup (service), budget);
  return budget;
}

static gboolean
is_obsolete_budget (gpointer service, gpointer budget, gpointer data)
{
  const QuinceBackends *backends = data;
  return backends->routes == NULL || !quince_route_table_has_mixed_targets (backends->routes, service);
}

void
quince_backends_prune_attempt_budgets (QuinceBackends *backends)
{
  g_hash_table_foreach_remove (backends->budgets, is_obsolete_budget, backends);
}

void
quince_backends_handle_resume (QuinceBackends *backends)
{
  quince_worker_pools_close_idle (backends->pools);
}

guint64
quince_backends_get_n_connections_opened (const QuinceBackends *backends)
{
  return quince_worker_pools_get_n_connections_opened (backends->pools);
}

void
quince_backends_describe_events (QuinceBackends *backends, gint64 wall_ms, QuincePolicyRequest *request)
{
  quince_event_table_describe (backends->events, wall_ms, request);
}
