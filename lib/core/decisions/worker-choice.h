/*
 * worker-choice.h: which workers may take a request now, which of them the policy scores, and which is
 * chosen.
 *
 * For: lib/forward/choose-worker.c, for lookups, retries, hedges, streams, samples and reward calls alike.
 * Owns nothing; pure: the state of taking turns is passed in.  Relies on: the worker table
 * (core/routing/worker-table.h).
 */
#pragma once

#include "core/decisions/no-worker.h"
#include "core/routing/worker-table.h"

G_BEGIN_DECLS

/* ---- Which workers ------------------------------------------------------ */

/**
 * QuinceWorkerRequirements: what a request needs of its worker
 * @model: (nullable): weights that it must have, in @minimum_version or a later one
 * @avoid: (nullable): ids of workers that had an attempt of it already
 * @running_max: requests of this process at one worker; 0: no bound
 */
typedef struct
{
  const char *model;
  guint64 minimum_version;
  GHashTable *avoid;
  guint running_max;
} QuinceWorkerRequirements;

/* Whether the request had an attempt at @worker already. */
gboolean quince_choice_was_tried (const QuinceWorker *worker, const QuinceWorkerRequirements *requirements);

/**
 * quince_choice_is_suitable:
 * @now_us: monotonic, us
 *
 * Decides whether @worker serves the request at all: not draining, listed, not tried, with the weights and
 * not loading others.
 *
 * Edges: a worker whose entry is missing while the store is in trouble stays suitable until its
 * gone_after_us.
 */
gboolean quince_choice_is_suitable (const QuinceWorker *worker,
                                    gint64 now_us,
                                    const QuinceWorkerRequirements *requirements);

/* Whether @worker has room for one more request of this process. */
gboolean quince_choice_has_room (const QuinceWorker *worker, const QuinceWorkerRequirements *requirements);

/* Whether @worker is a first choice: not ejected, and listed.  Others are taken only where no first choice
 * can take the request. */
gboolean quince_choice_is_preferred (const QuinceWorker *worker, gint64 now_us);

/**
 * quince_choice_cold_limit:
 * @limit: requests that a cold worker of the service takes in any second; G_MAXUINT: no limit is known
 * @is_cold: the worker counts as cold
 * @is_sample: the request is a run of a sample
 * @slots: requests that its worker runs at once; read for samples
 *
 * Decides how many requests in a second @worker takes from this process.  A warm one may turn cold before its
 * entry shows it, so samples, which one process sends all of, are limited there too: to what a warm worker
 * needs.  Lookups are not.
 */
guint quince_choice_cold_limit (guint limit, gboolean is_cold, gboolean is_sample, guint slots);

/**
 * quince_choice_is_returning_candidate:
 * @share: of new work that the worker's zone gets, 0 to 1; see zone-table.h
 * @running: requests of this process at the worker
 * @running_max: bound of them; 0: none
 * @turn: counts choices
 *
 * Decides whether a worker of a zone that was taken back is a candidate this time.  Reason: otherwise the
 * emptiest workers, which may be cold, would get all new work at once.  Measured on days with one and with
 * two evacuated zones: 101 and 89 runs of samples were made again with the growing share, 117 and 151
 * without; the worth was the same within noise (0.798 and 0.853 against 0.800 and 0.851, one run each).
 */
gboolean quince_choice_is_returning_candidate (double share, guint running, guint running_max, guint turn);

/* ---- Candidates --------------------------------------------------------- */

/* Workers of a service up to which all are considered for each choice: that takes about 10 us. */
#define QUINCE_CHOICE_COMPARE_ALL_MAX 256

/**
 * quince_choice_compares_all:
 * @n_workers: of the service
 * @has_returning_zone: a zone was taken back a moment ago, and its share is counted among all workers
 *
 * Decides whether all workers of a service are considered for a request, or only some by turns: a choice
 * among thousands would take most of a front's time.
 */
gboolean quince_choice_compares_all (guint n_workers, gboolean has_returning_zone);

/**
 * quince_choice_pick_candidates:
 * @eligible: (element-type QuinceWorker): workers that can take the request, at least one
 * @start_index: where in @eligible the candidates begin: by turns, so that equals share
 * @affinity_id: (nullable): id of the worker that likely keeps the prompt; a candidate in any case
 * @candidates: (out): room for @candidates_max workers
 *
 * Returns: how many candidates the policy scores
 */
guint quince_choice_pick_candidates (const GPtrArray *eligible,
                                     guint start_index,
                                     const char *affinity_id,
                                     guint candidates_max,
                                     QuinceWorker **candidates);

/* The highest of @scores, the first of equals; scores that are no finite number don't count.  Returns: its
 * index, or -1: there is none */
gint quince_choice_best_score (const double *scores, guint n_scores);

/* ---- Outcome ------------------------------------------------------------ */

/**
 * QuinceChoiceFacts: what was found among the workers of a service
 * @found: one can take the request now
 * @suitable: one serves it, in a zone that is not evacuated
 * @full: such a one has no room
 * @evacuated: one serves it, in an evacuated zone
 * @tried: one had an attempt of it and may be sent to
 * @limited: one is kept back by its warmup limit alone
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
 * Decides the outcome of a choice.  A full worker beside cold ones counts as full: it may be free sooner.
 * Evacuated zones are the cause only where nothing else could ever serve the request.
 */
QuinceBackendOutcome quince_choice_outcome (const QuinceChoiceFacts *facts);

G_END_DECLS
