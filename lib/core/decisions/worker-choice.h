/*
 * worker-choice.h: which workers may take a request, which of them the policy scores, and which one is
 * chosen.
 *
 * Pure functions, used by lib/forward/choose-worker.c for lookups, retries, hedges, streams, samples and
 * reward calls.  The caller keeps the round-robin counters.
 */
#pragma once

#include "core/decisions/no-worker.h"
#include "core/routing/worker-table.h"

G_BEGIN_DECLS

/* ---- Eligible workers ------------------------------------------------------ */

/**
 * QuinceWorkerRequirements: what a request requires of its worker
 * @model: (nullable): model whose weights the worker must have, at @minimum_version or later; %NULL: any
 * @minimum_version: minimum version of @model; not used without a model
 * @avoid: (nullable): ids of workers that already had an attempt of the request
 * @running_max: maximum requests of this process in flight at one worker; 0: no limit
 */
typedef struct
{
  const char *model;
  guint64 minimum_version;
  GHashTable *avoid;
  guint running_max;
} QuinceWorkerRequirements;

/* Returns whether @worker already had an attempt of the request. */
gboolean quince_choice_was_tried (const QuinceWorker *worker, const QuinceWorkerRequirements *requirements);

/**
 * quince_choice_is_suitable:
 * @now_us: monotonic, us
 *
 * Decides whether @worker can serve the request, regardless of its load: it is listed, not draining and not
 * tried, and if the request needs a model, it has the weights and is not loading.  A worker whose entry
 * lapsed, perhaps in an outage of the store, remains suitable until its expires_us.
 */
gboolean quince_choice_is_suitable (const QuinceWorker *worker,
                                    gint64 now_us,
                                    const QuinceWorkerRequirements *requirements);

/* Returns whether @worker is below the limit of requests of this process. */
gboolean quince_choice_has_capacity (const QuinceWorker *worker,
                                     const QuinceWorkerRequirements *requirements);

/* Returns whether @worker is preferred: it is listed and not ejected.  Other workers are chosen only if no
 * preferred worker can take the request. */
gboolean quince_choice_is_preferred (const QuinceWorker *worker, gint64 now_us);

/**
 * quince_choice_cold_limit:
 * @limit: maximum requests per second at a cold worker of the service; G_MAXUINT: no limit is known
 * @is_cold: the worker counts as cold
 * @is_sample: the request is a run of a sample
 * @slots: maximum concurrent requests at the worker; only read for samples
 *
 * Decides how many requests per second this process may send to a worker.  A warm worker may turn cold before
 * its entry shows it.  So samples, which all come from one process, are limited at warm workers too, to the
 * rate that a warm worker needs.  Lookups are not limited there.
 *
 * Returns: the limit, requests per second; G_MAXUINT: no limit
 */
guint quince_choice_cold_limit (guint limit, gboolean is_cold, gboolean is_sample, guint slots);

/**
 * quince_choice_is_returning_candidate:
 * @share: fraction of new requests for the worker's zone, 0 to 1; see zone-table.h
 * @running: requests of this process in flight at the worker
 * @running_max: maximum of @running; 0: no limit
 * @turn: number of the choice, a running counter
 *
 * Decides whether a worker of a zone that is no longer evacuated is a candidate for this choice.  Prevents
 * the workers of that zone, which are idle and may be cold, from getting all new requests at the same time.
 * If @running_max is set, the worker is filled up to its share; otherwise it is a candidate in its share of
 * the choices.
 */
gboolean quince_choice_is_returning_candidate (double share, guint running, guint running_max, guint turn);

/* ---- Candidates --------------------------------------------------------- */

/* Maximum number of workers in a service for which each choice considers all of them.  Considering so many
 * takes about 10 us. */
#define QUINCE_CHOICE_COMPARE_ALL_MAX 256

/**
 * quince_choice_compares_all:
 * @n_workers: number of workers of the service
 * @has_returning_zone: the evacuation of a zone ended recently, and its share of requests is still growing
 *
 * Decides whether a choice considers all workers of the service, or only the subset of this process: a choice
 * among thousands of workers would take most of a front's CPU time, and each process would connect to all of
 * them.
 */
gboolean quince_choice_compares_all (guint n_workers, gboolean has_returning_zone);

/**
 * quince_choice_subset_start:
 * @seed: random number of this process
 * @n_workers: number of workers in the list
 *
 * Returns: the index at which the subset of this process begins.  It moves by at most one if a worker is
 * added or removed.
 */
guint quince_choice_subset_start (guint32 seed, guint n_workers);

/* Returns whether this process has few requests in flight at @worker.  A subset first uses such workers, and
 * so grows with the load of its process before its workers are full. */
gboolean quince_choice_is_lightly_loaded (const QuinceWorker *worker);

/**
 * quince_choice_pick_candidates:
 * @eligible: (element-type QuinceWorker): workers that can take the request, at least one
 * @start_index: index of the first candidate in @eligible; the caller rotates it so that workers with equal
 *   scores share the requests
 * @affinity_id: (nullable): id of the worker that likely has the prompt cached; always picked if eligible
 * @candidates_max: maximum number of candidates
 * @candidates: (out): array for @candidates_max workers, which @eligible continues to own
 *
 * Picks the workers that the policy scores.
 *
 * Returns: the number of candidates
 */
guint quince_choice_pick_candidates (const GPtrArray *eligible,
                                     guint start_index,
                                     const char *affinity_id,
                                     guint candidates_max,
                                     QuinceWorker **candidates);

/* Returns the index of the highest finite score, the first one of equal scores, or -1 if there is none. */
gint quince_choice_best_score (const double *scores, guint n_scores);

/* ---- Outcome ------------------------------------------------------------ */

/**
 * QuinceChoiceFacts: what is true of at least one worker of the service
 * @found: a worker can take the request now
 * @suitable: a worker outside evacuated zones can serve the request
 * @full: a suitable worker is at the limit of requests
 * @evacuated: a worker in an evacuated zone could serve the request
 * @tried: a worker outside evacuated zones already had an attempt of the request
 * @limited: only its warmup limit prevents a worker from taking the request
 */
typedef struct
{
  gboolean found;
  gboolean suitable;
  gboolean full;
  gboolean evacuated;
  gboolean tried;
  gboolean limited;
} QuinceChoiceFacts;

/**
 * quince_choice_outcome:
 *
 * Decides the outcome of a choice.  If some workers are full and others are limited by warmup, the outcome is
 * QUINCE_BACKEND_FULL, since a full worker may be free sooner.  It is QUINCE_BACKEND_EVACUATED only if no
 * worker outside evacuated zones is suitable or was tried.
 */
QuinceBackendOutcome quince_choice_outcome (const QuinceChoiceFacts *facts);

G_END_DECLS
