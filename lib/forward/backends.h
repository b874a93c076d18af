/*
 * backends.h: the workers that this process may send to, and the choice of one for an attempt.
 *
 * For: lookups and streams (dispatch.c), samples and orders of weights (daemons/replica).  Owns: the worker
 * table, kept connections, the policy in force, events, evacuated zones.  Relies on: the observer, which
 * feeds it what the metadata store lists; the send guard and the warmup sends, which the process sets.
 */
#pragma once

#include "core/decisions/no-worker.h"
#include "http1/http-client.h"
#include "policy/policy.h"
#include "core/routing/route-table.h"
#include "core/routing/worker-table.h"
#include "forward/send-guard.h"
#include "forward/topology-settings.h"
#include "core/routing/topology.h"
#include "forward/warmup-sends.h"
#include "core/routing/zone-table.h"

G_BEGIN_DECLS

typedef struct _QuinceBackends QuinceBackends;

/* (transfer full): @topology: where this process and the workers stand */
QuinceBackends *quince_backends_new (QuinceTopology *topology);
const QuinceTopology *quince_backends_get_topology (const QuinceBackends *backends);
void quince_backends_free (QuinceBackends *backends);
/* (transfer full) (nullable): @policy */
void quince_backends_set_policy (QuinceBackends *backends, QuincePolicy *policy);
QuincePolicy *quince_backends_get_policy (QuinceBackends *backends);
QuinceWorkerTable *quince_backends_get_workers (QuinceBackends *backends);
/* (transfer none) (nullable): @guard is asked before each send and must outlive all of them; without one
 * every request is sent. */
void quince_backends_set_guard (QuinceBackends *backends, QuinceSendGuard *guard);
QuinceSendGuard *quince_backends_get_guard (QuinceBackends *backends);
/* (transfer none) (nullable): @warmup is asked before each send to a worker that may be cold and must outlive
 * all of them. */
void quince_backends_set_warmup (QuinceBackends *backends, QuinceWarmupSends *warmup);
/* All workers of @zone may have turned cold of late, and their entries do not tell it yet. */
void quince_backends_assume_zone_cold (QuinceBackends *backends, gint64 now_us, const char *zone);
/* Workers that count as cold now. */
guint quince_backends_count_cold (QuinceBackends *backends);
/* All that is listed now was read: entries that come from now on are of workers that start. */
void quince_backends_finish_first_listing (QuinceBackends *backends);
/* (transfer full): what the platform lists of a worker */
void quince_backends_update (QuinceBackends *backends, QuinceWorker *entry);
void quince_backends_remove (QuinceBackends *backends, const char *id);
/* @id vanished from the list while the store was in trouble: the worker may serve on.  Where no other is left
 * it gets requests until @until_us; then it is as removed, unless it is listed again. */
void
quince_backends_mark_listing_stale (QuinceBackends *backends, gint64 now_us, gint64 until_us, const char *id);
/* Kept connections to @worker. */
QuinceHttpPool *quince_backends_get_pool (QuinceBackends *backends, const QuinceWorker *worker);
/* The machine was suspended: workers may have forgotten the kept connections. */
void quince_backends_handle_resume (QuinceBackends *backends);
/* Connections made to workers since the start. */
guint64 quince_backends_get_n_connections_opened (const QuinceBackends *backends);

/**
 * QuinceBackendQuery:
 * @request: what the policy sees of the request
 * @model: (nullable): with @minimum_version, what the worker must have
 * @avoid: (nullable): ids of workers that failed this request
 * @running_max: requests of this process at one worker; 0: no bound
 * @prompt: (nullable): parts of the prompt, %NULL-terminated, see prompt-table.h: a worker that likely keeps
 * them is marked for the policy
 * @residency: (nullable): regions where the worker may stand; %NULL: anywhere
 * @fastest_pace_us: of the service's workers, see worker-table.h; 0: the policy sees no worker's pace
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

/* Fills in what @request's service has of events, at the wall clock @wall_ms. */
void quince_backends_describe_events (QuinceBackends *backends, gint64 wall_ms, QuincePolicyRequest *request);
/* Whether @request is taken, by the policy in force. */
void quince_backends_admit (QuinceBackends *backends,
                            const QuincePolicyRequest *request,
                            QuincePolicyAdmission *admission);

QuinceBackendOutcome quince_backends_choose (QuinceBackends *backends,
                                             gint64 now_us,
                                             const QuinceBackendQuery *query,
                                             QuinceWorker **worker);
/* After QUINCE_BACKEND_COLD: when a worker may have room. */
gint64 quince_backends_get_cold_worker_available_us (const QuinceBackends *backends);

/* ---- Evacuated zones: evacuation.c -------------------------------------- */

/**
 * quince_backends_set_zone_evacuated:
 * @revision: of the store, at this change by the operator
 *
 * From now on nothing is sent to the workers of @zone, or they are used again; see zone-table.h.  Requests on
 * their way there that have not arrived are given up, within a second; runs go on.
 *
 * Returns: whether the zone's state changed
 */
gboolean quince_backends_set_zone_evacuated (QuinceBackends *backends,
                                             gint64 now_us,
                                             const char *zone,
                                             guint64 revision,
                                             gboolean evacuated);
const QuinceZoneTable *quince_backends_get_zones (const QuinceBackends *backends);
/* @worker (nullable) is in an evacuated zone: sends to it are withdrawn by this process itself, so that a
 * lost one is no end of the worker. */
gboolean quince_backends_is_evacuated (const QuinceBackends *backends, const QuinceWorker *worker);
/* Whether @worker may be sent anything now. */
gboolean quince_backends_may_send (const QuinceBackends *backends, const QuinceWorker *worker);
/* Nothing is sent until quince_backends_release_sends(), since what the operator asks of the zones is not
 * known.  @max_ms: longest time; 0: no bound */
void quince_backends_hold_sends (QuinceBackends *backends, guint max_ms);
void quince_backends_release_sends (QuinceBackends *backends);
gboolean quince_backends_holds_sends (const QuinceBackends *backends);

G_END_DECLS
