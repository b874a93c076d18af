/*
 * backends.h: the workers that this process may send to, and the choice of one for an attempt.
 *
 * Used for lookups and streams (dispatch.c), and for samples and weight loads (daemons/replica).  Owns the
 * worker table, the connection pools, the active policy, the events and the table of evacuated zones.  The
 * observer updates them from the metadata store.
 */
#pragma once

#include "core/decisions/attempt-budget.h"
#include "core/decisions/no-worker.h"
#include "http1/http-client.h"
#include "policy/policy.h"
#include "core/routing/route-table.h"
#include "core/routing/worker-table.h"
#include "forward/send-guard.h"
#include "forward/share-metrics.h"
#include "forward/tenant-limits.h"
#include "forward/topology-settings.h"
#include "core/routing/topology.h"
#include "forward/warmup-sends.h"
#include "core/routing/zone-table.h"

G_BEGIN_DECLS

typedef struct _QuinceBackends QuinceBackends;

/* @topology: (transfer full): zones and regions of this process and of the workers
 * @request_id_header: header by which a worker's answer names its request */
QuinceBackends *quince_backends_new (QuinceTopology *topology, const char *request_id_header);
const QuinceTopology *quince_backends_get_topology (const QuinceBackends *backends);
void quince_backends_free (QuinceBackends *backends);
/* @policy: (transfer full) (nullable): replaces the active policy; %NULL: the built-in decisions apply */
void quince_backends_set_policy (QuinceBackends *backends, QuincePolicy *policy);
QuincePolicy *quince_backends_get_policy (QuinceBackends *backends);
QuinceWorkerTable *quince_backends_get_workers (QuinceBackends *backends);
/* Returns: (transfer none): the metrics by route, tenant, zone and model */
QuinceShareMetrics *quince_backends_get_share_metrics (QuinceBackends *backends);
/* Returns: (transfer none): the limits of tenants at full services */
QuinceTenantLimits *quince_backends_get_tenant_limits (QuinceBackends *backends);
/* Returns whether a request of @tenant (nullable) for @service may start; if not, logs and counts it.  See
 * tenant-limits.h. */
gboolean quince_backends_admit_tenant (QuinceBackends *backends, const char *service, const char *tenant);
/* Sets the gauges by route, tenant and zone; called before the metrics are read. */
void quince_backends_refresh_share_metrics (QuinceBackends *backends);
/* @guard: (transfer none) (nullable): decides before each send whether it is allowed, and must outlive all
 * sends; %NULL: every send is allowed */
void quince_backends_set_guard (QuinceBackends *backends, QuinceSendGuard *guard);
QuinceSendGuard *quince_backends_get_guard (QuinceBackends *backends);
/* @warmup: (transfer none) (nullable): limits sends to workers that may be cold, and must outlive all sends;
 * %NULL: no limit */
void quince_backends_set_warmup (QuinceBackends *backends, QuinceWarmupSends *warmup);
/* Makes all workers of @zone count as cold for QUINCE_WARMUP_ASSUMED_COLD_US: they may have turned cold, and
 * their entries may not show it yet. */
void quince_backends_assume_zone_cold (QuinceBackends *backends, gint64 now_us, const char *zone);
/* Returns the number of workers that count as cold now. */
guint quince_backends_count_cold (QuinceBackends *backends);
/* Marks the first listing of the workers as read.  A worker whose entry appears later has just started. */
void quince_backends_finish_first_listing (QuinceBackends *backends);
/* Adds a worker, or updates it.  @entry: (transfer full): the worker as the platform lists it */
void quince_backends_update (QuinceBackends *backends, QuinceWorker *entry);
void quince_backends_remove (QuinceBackends *backends, const char *id);
/* Returns: (transfer none): the attempt budget of @service, created on first use; valid until the routes
 * change */
QuinceAttemptBudget *quince_backends_get_attempt_budget (QuinceBackends *backends, const char *service);
/* Handles an entry that disappeared during an outage of the store, when the worker may still be running.
 * Until @until_us the worker gets requests that no listed worker can take; then it is removed, unless it was
 * listed again.  A draining worker is removed immediately. */
void
quince_backends_mark_listing_stale (QuinceBackends *backends, gint64 now_us, gint64 until_us, const char *id);
/* Returns: (transfer none): the connection pool of @worker, created on first use */
QuinceHttpPool *quince_backends_get_pool (QuinceBackends *backends, const QuinceWorker *worker);
/* Closes idle connections after the machine was suspended, since workers may have dropped them meanwhile. */
void quince_backends_handle_resume (QuinceBackends *backends);
/* Returns the number of connections opened to workers since the start of the process. */
guint64 quince_backends_get_n_connections_opened (const QuinceBackends *backends);

/**
 * QuinceBackendQuery:
 * @request: attributes of the request that the policy sees
 * @model: (nullable): model that the worker must have loaded, at @minimum_version or later; %NULL: any
 * @avoid: (nullable): ids of workers that already had an attempt of the request
 * @running_max: maximum requests of this process in flight at one worker; 0: no limit
 * @prompt: (nullable): parts of the prompt, %NULL-terminated, see prompt-table.h; the policy sees which
 * worker likely has them cached
 * @residency: (nullable): regions in which the worker may be; %NULL: all
 * @fastest_pace_us: shortest time between two events among the workers of the service, us, see
 *   worker-table.h; 0: the policy does not see how slow a worker is
 */
typedef struct
{
  const QuincePolicyRequest *request;
  const char *model;
  guint64 minimum_version;
  GHashTable *avoid;
  guint running_max;
  const char *const *prompt;
  const QuinceResidency *residency;
  gint64 fastest_pace_us;
} QuinceBackendQuery;

/* Sets the event fields of @request for its service.  @wall_ms: wall-clock time, ms */
void quince_backends_describe_events (QuinceBackends *backends, gint64 wall_ms, QuincePolicyRequest *request);
/* Decides by the active policy whether to admit @request; by the built-in rule if there is no policy or it
 * fails. */
void quince_backends_admit (QuinceBackends *backends,
                            const QuincePolicyRequest *request,
                            QuincePolicyAdmission *admission);

/* Chooses a worker for an attempt.  @worker: (out) (transfer none) (nullable): the chosen worker, or %NULL
 * unless this returns QUINCE_BACKEND_CHOSEN */
QuinceBackendOutcome quince_backends_choose (QuinceBackends *backends,
                                             gint64 now_us,
                                             const QuinceBackendQuery *query,
                                             QuinceWorker **worker);
/* Returns the time at which a cold worker may have capacity, monotonic, us.  Valid after a choice that
 * returned QUINCE_BACKEND_COLD. */
gint64 quince_backends_get_cold_worker_available_us (const QuinceBackends *backends);

/* ---- Evacuated zones: evacuation.c -------------------------------------- */

/**
 * quince_backends_set_zone_evacuated:
 * @revision: revision of the metadata store at this change; a change that is older than the last one of @zone
 *   is ignored
 * @evacuated: %TRUE: the zone is evacuated; %FALSE: it is taken back
 *
 * Starts or ends the evacuation of @zone; see zone-table.h.  Its workers get no requests while it is
 * evacuated.  Requests that have not reached them are withdrawn within a second; running ones complete.
 *
 * Returns: %TRUE if the state of the zone changed
 */
gboolean quince_backends_set_zone_evacuated (QuinceBackends *backends,
                                             gint64 now_us,
                                             const char *zone,
                                             guint64 revision,
                                             gboolean evacuated);
const QuinceZoneTable *quince_backends_get_zones (const QuinceBackends *backends);
/* Returns (nullable): the worker that is listed under the id of @ref, whose connection broke; it may have
 * started again since.  %NULL if it is not listed, or its zone is evacuated: this process withdraws requests
 * to such a worker, so that a lost one does not mean that it ended */
const QuinceWorker *quince_backends_find_lost_worker (const QuinceBackends *backends,
                                                      const QuinceWorkerRef *ref);
/* Returns whether requests may be sent to @worker: sends are not held, and its zone is not evacuated. */
gboolean quince_backends_may_send (const QuinceBackends *backends, const QuinceWorker *worker);
/* Holds all sends until quince_backends_release_sends() or for @max_ms, since it is not known which zones are
 * evacuated.  0: no time limit; a hold without a limit is not shortened by a later call */
void quince_backends_hold_sends (QuinceBackends *backends, guint max_ms);
void quince_backends_release_sends (QuinceBackends *backends);
gboolean quince_backends_holds_sends (const QuinceBackends *backends);

G_END_DECLS
