/*
 * backends-private.h: state of the backends, shared by the files that they consist of; see backends.c.
 */
#pragma once

#include "forward/event-table.h"
#include "forward/policy-entry.h"
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
  const QuinceRouteTable *routes; /* not owned: the configuration in force; NULL: none is known */
  gboolean has_region_rules;      /* a route or tenant of it names regions */
  QuincePolicy *policy;
  GBytes *policy_entry;            /* that it was compiled from; NULL: it is that of the settings */
  gboolean first_listing_read;     /* the first listing of workers was read */
  QuinceWarmupSends *warmup;       /* not owned; NULL: no worker counts as cold */
  gint64 cold_worker_available_us; /* of the last choice: when a cold worker may have room */
  QuinceSendGuard *guard;          /* not owned; NULL: none */
  QuinceEventTable *events;        /* owned */
  QuincePromptTable *prompts;
  guint rotation;          /* turns among equals */
  guint next_worker_index; /* where the next choice among many workers begins; see collect_in_turn() */
  QuinceZoneTable *zones;
  QuinceTimer *withdrawal_timer; /* checks for requests that do not arrive at evacuated zones; NULL: none was
                                  * evacuated lately */
  gboolean holds_sends;
  QuinceTimer *hold_timer; /* NULL: sends are not held, or without a bound */
  GQueue unlisted_ids;     /* ids, owned: of workers that are not listed, perhaps by the store's own
                              doing */
};

/* ---- backends.c --------------------------------------------------------- */

/* Removes workers that vanished from the list and have not come back in time. */
void quince_backends_remove_expired (QuinceBackends *backends, gint64 now_us);

/* ---- policy-calls.c ----------------------------------------------------- */

/* Fills in a score for each of @engines, by the policy in force. */
void quince_backends_score (QuinceBackends *backends,
                            const QuincePolicyRequest *request,
                            const QuincePolicyEngine *engines,
                            guint n_engines,
                            double *scores);

/* ---- evacuation.c ------------------------------------------------------- */

/* Takes workers of zones that are coming back out of @found (QuinceWorker), by their share of new work; the
 * list is left as it is where no worker would stay. */
void quince_backends_limit_returning_zones (const QuinceBackends *backends,
                                            gint64 now_us,
                                            guint running_max,
                                            GPtrArray *found);
void quince_backends_clear_evacuation (QuinceBackends *backends);
/* ---- Cold workers: warmth.c ---------------------------------------------- */

/* One choice among workers of which some may be cold. */
typedef struct
{
  QuinceBackends *backends;
  const QuinceBackendQuery *query;
  gint64 now_us;
  guint max_sends;     /* requests in a second at a cold one; G_MAXUINT: no bound */
  GPtrArray *limited;  /* QuinceWorker: all that is lacking is room for cold ones; NULL: no bound */
  gint64 available_us; /* when the first of them may have room */
} QuinceColdChoice;

/* @entry is about to be taken into the worker table. */
void quince_warmth_update_entry (QuinceBackends *backends, QuinceWorker *entry);
void quince_warmth_begin_choice (QuinceBackends *backends,
                                 gint64 now_us,
                                 const QuinceBackendQuery *query,
                                 QuinceColdChoice *choice);
gboolean quince_warmth_can_send (QuinceColdChoice *choice, QuinceWorker *worker);
/* Some had all but room for one more request to a cold worker. */
gboolean quince_warmth_is_limited (const QuinceColdChoice *choice);
/* @found: there are others.  Returns: whether there are some that only lack room */
gboolean quince_warmth_end_choice (QuinceColdChoice *choice, gboolean found);
/* @worker is chosen.  Returns: %FALSE: it is cold and has no room, after all */
gboolean quince_warmth_acquire_send (QuinceBackends *backends,
                                     gint64 now_us,
                                     const QuinceBackendQuery *query,
                                     QuinceWorker *worker);
