/*
 * backends-private.h: state of the backends, shared by the source files listed in backends.c.
 */
#pragma once

#include "forward/event-table.h"
#include "forward/policy-entry.h"
#include "forward/share-metrics.h"
#include "forward/tenant-limits.h"
#include "forward/worker-pools.h"
#include "core/routing/prompt-table.h"
#include "core/routing/topology.h"
#include "core/routing/zone-table.h"
#include "runtime/timer.h"

struct _QuinceBackends
{
  /* All fields belong to the context that created it. */
  QuinceTopology *topology;
  QuinceWorkerTable *workers;
  QuinceWorkerPools *pools;       /* owned */
  const QuinceRouteTable *routes; /* not owned: the active configuration; NULL: not received yet */
  gboolean has_region_rules;      /* a route or tenant of @routes restricts regions */
  QuincePolicy *policy;
  GBytes *policy_entry;            /* source of @policy; NULL: not from the metadata store */
  gboolean first_listing_read;     /* the first listing of workers was read */
  QuinceWarmupSends *warmup;       /* not owned; NULL: no warmup limit */
  gint64 cold_worker_available_us; /* set by the last choice that a warmup limit affected */
  QuinceSendGuard *guard;          /* not owned; NULL: none */
  QuinceEventTable *events;        /* owned */
  QuinceShareMetrics *shares;      /* owned */
  QuinceTenantLimits *limits;      /* owned */
  GHashTable *budgets;             /* QuinceAttemptBudget by service, owned */
  QuincePromptTable *prompts;
  guint rotation;          /* rotates workers with equal scores */
  guint next_worker_index; /* start of the next choice; see collect_in_turn() */
  guint32 subset_seed;     /* where this process begins in a list of workers; see collect_subset() */
  QuinceZoneTable *zones;
  QuinceTimer *withdrawal_timer; /* withdraws requests stuck on the way to evacuated zones; NULL: stopped */
  gboolean holds_sends;
  QuinceTimer *hold_timer; /* ends a hold; NULL: sends are not held, or without a limit */
  GQueue unlisted_ids;     /* ids, owned: workers whose entries disappeared, oldest first */
};

/* ---- backends.c --------------------------------------------------------- */

/* Removes the workers whose entries disappeared and that were not listed again before they expired. */
void quince_backends_remove_expired (QuinceBackends *backends, gint64 now_us);

/* Removes the attempt budgets of services that have no routes of different latency targets. */
void quince_backends_prune_attempt_budgets (QuinceBackends *backends);

/* ---- policy-calls.c ----------------------------------------------------- */

/* Sets @scores[i] to the score of @engines[i] by the active policy; by the built-in rule if there is no
 * policy or it fails. */
void quince_backends_score (QuinceBackends *backends,
                            const QuincePolicyRequest *request,
                            const QuincePolicyEngine *engines,
                            guint n_engines,
                            double *scores);

/* ---- evacuation.c ------------------------------------------------------- */

/* Removes workers of returning zones from @found (element-type QuinceWorker) according to the zone's share of
 * new requests.  Leaves @found unchanged if no worker would remain. */
void quince_backends_limit_returning_zones (const QuinceBackends *backends,
                                            gint64 now_us,
                                            guint running_max,
                                            GPtrArray *found);
/* Stops the timers and frees the zone table. */
void quince_backends_clear_evacuation (QuinceBackends *backends);

/* ---- warmth.c ----------------------------------------------------------- */

/* State of the warmup limits during one choice of a worker. */
typedef struct
{
  QuinceBackends *backends;
  const QuinceBackendQuery *query;
  gint64 now_us;
  guint max_sends;     /* requests per second at a cold worker; G_MAXUINT: no limit */
  GPtrArray *limited;  /* QuinceWorker: excluded only by the warmup limit; NULL: no limit */
  gint64 available_us; /* earliest time at which one of @limited may have capacity */
} QuinceColdChoice;

/* Sets the assumed cold time of @entry if the worker has just started, and logs whether it turns cold or
 * warm.  To be called before @entry updates the worker table. */
void quince_warmth_update_entry (QuinceBackends *backends, QuinceWorker *entry);
void quince_warmth_begin_choice (QuinceBackends *backends,
                                 gint64 now_us,
                                 const QuinceBackendQuery *query,
                                 QuinceColdChoice *choice);
/* Returns whether the warmup limit allows a send to @worker; otherwise adds it to @choice->limited. */
gboolean quince_warmth_can_send (QuinceColdChoice *choice, QuinceWorker *worker);
/* Returns whether the warmup limit excluded any worker so far. */
gboolean quince_warmth_is_limited (const QuinceColdChoice *choice);
/* Requests a lease for one of the excluded workers, if there are any.  @found: the choice has other
 * candidates.  Returns: whether the warmup limit excluded any worker */
gboolean quince_warmth_end_choice (QuinceColdChoice *choice, gboolean found);
/* Counts a send to the chosen @worker and sets its deadline if the worker is cold.  Returns: %FALSE if the
 * warmup limit does not allow the send any more */
gboolean quince_warmth_acquire_send (QuinceBackends *backends,
                                     gint64 now_us,
                                     const QuinceBackendQuery *query,
                                     QuinceWorker *worker);
