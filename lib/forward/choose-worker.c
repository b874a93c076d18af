/*
 * choose-worker.c: chooses a worker for an attempt of a lookup, stream or sample: collects the workers that
 * can take it, lets the policy score some of them, and chooses the one with the highest score.
 *
 * The rules are in core/decisions/worker-choice.h.
 */
#include "backends-private.h"

#include "core/decisions/worker-choice.h"
#include "core/routing/worker-response.h"
#include "forward/residency-lookup.h"

/* Maximum number of consecutive failures that the policy sees. */
#define FAILURES_SHOWN_MAX 10

/* State of one choice. */
typedef struct
{
  QuinceBackends *backends;
  gint64 now_us;
  const QuinceBackendQuery *query;
  QuinceWorkerRequirements requirements;
  QuinceColdChoice cold;
  QuinceChoiceFacts facts;
} Choice;

/* Returns whether @worker can take the request now, and updates the facts of the choice.  @preferred_only:
 * accept only preferred workers, see quince_choice_is_preferred() */
static gboolean
can_take (Choice *choice, QuinceWorker *worker, gboolean preferred_only)
{
  QuinceChoiceFacts *facts = &choice->facts;
  gboolean may_send = quince_backends_may_send (choice->backends, worker);
  facts->tried = facts->tried || (quince_choice_was_tried (worker, &choice->requirements) && may_send);
  if (!quince_choice_is_suitable (worker, choice->now_us, &choice->requirements)
      || !quince_backends_is_allowed_worker (choice->backends, worker, choice->query->residency))
    return FALSE;
  if (!may_send)
    {
      facts->evacuated = TRUE;
      return FALSE;
    }
  gboolean has_capacity = quince_choice_has_capacity (worker, &choice->requirements);
  facts->suitable = TRUE;
  facts->full = facts->full || !has_capacity;
  return has_capacity && (!preferred_only || quince_choice_is_preferred (worker, choice->now_us))
         && quince_warmth_can_send (&choice->cold, worker);
}

/* Collects workers that can take the request, one after another from @start_index on, up to
 * QUINCE_POLICY_MAX_CANDIDATES.  @skipped: (nullable): a worker that is not collected
 * Returns: how far from @start_index the first one was found, or the length of the list */
static guint
collect_from (Choice *choice,
              const GPtrArray *all,
              guint start_index,
              const QuinceWorker *skipped,
              gboolean preferred_only,
              gboolean lightly_loaded_only,
              GPtrArray *found)
{
  guint first = all->len;
  for (guint i = 0; i < all->len && found->len < QUINCE_POLICY_MAX_CANDIDATES; i++)
    {
      QuinceWorker *worker = all->pdata[(start_index + i) % all->len];
      if (worker == skipped || (lightly_loaded_only && !quince_choice_is_lightly_loaded (worker))
          || !can_take (choice, worker, preferred_only))
        continue;
      g_ptr_array_add (found, worker);
      first = MIN (first, i);
    }
  return first;
}

/* Collects workers in round-robin order: the process that runs the samples of a model uses all of its workers
 * alike. */
static void
collect_in_turn (Choice *choice,
                 const GPtrArray *all,
                 const QuinceWorker *skipped,
                 gboolean preferred_only,
                 GPtrArray *found)
{
  QuinceBackends *backends = choice->backends;
  guint first = collect_from (choice, all, backends->next_worker_index % all->len, skipped, preferred_only,
                              FALSE, found);
  /* Not reduced modulo the length, so that choices from shorter lists do not reset it. */
  if (first < all->len)
    backends->next_worker_index += first + 1;
}

/* Collects workers of this process's subset.  It begins at the same place of the list in each choice and
 * grows with the load of this process, so that it keeps few connections; other processes begin elsewhere. */
static void
collect_subset (Choice *choice,
                const GPtrArray *all,
                const QuinceWorker *skipped,
                gboolean preferred_only,
                GPtrArray *found)
{
  guint start_index = quince_choice_subset_start (choice->backends->subset_seed, all->len);
  guint found_before = found->len;
  collect_from (choice, all, start_index, skipped, preferred_only, TRUE, found);
  if (found->len == found_before)
    collect_from (choice, all, start_index, skipped, preferred_only, FALSE, found);
}

/* Collects the worker that likely has the prompt cached, and some others. */
static void
collect_some (Choice *choice,
              const GPtrArray *all,
              const char *affinity_id,
              gboolean preferred_only,
              GPtrArray *found)
{
  QuinceWorker *affinity_worker
      = affinity_id != NULL ? quince_worker_table_find (choice->backends->workers, affinity_id) : NULL;
  if (affinity_worker != NULL && g_str_equal (affinity_worker->service, choice->query->request->service)
      && can_take (choice, affinity_worker, preferred_only))
    g_ptr_array_add (found, affinity_worker);
  if (choice->query->model != NULL)
    collect_in_turn (choice, all, affinity_worker, preferred_only, found);
  else
    collect_subset (choice, all, affinity_worker, preferred_only, found);
}

static void
collect_all (Choice *choice, const GPtrArray *all, gboolean preferred_only, GPtrArray *found)
{
  for (guint i = 0; i < all->len; i++)
    if (can_take (choice, all->pdata[i], preferred_only))
      g_ptr_array_add (found, all->pdata[i]);
}

/* Collects suitable workers with capacity: preferred ones, or the others if there is no preferred one and the
 * warmup limit excluded none. */
static QuinceBackendOutcome
collect (QuinceBackends *backends,
         const GPtrArray *all,
         gint64 now_us,
         const QuinceBackendQuery *query,
         const char *affinity_id,
         GPtrArray *found)
{
  Choice choice = { .backends = backends,
                    .now_us = now_us,
                    .query = query,
                    .requirements = { .model = query->model,
                                      .minimum_version = query->minimum_version,
                                      .avoid = query->avoid,
                                      .running_max = query->running_max } };
  gboolean compares_all
      = quince_choice_compares_all (all->len, quince_zone_table_has_returning_zone (backends->zones, now_us));
  quince_warmth_begin_choice (backends, now_us, query, &choice.cold);
  for (guint preferred_only = 1;
       found->len == 0 && !quince_warmth_is_limited (&choice.cold) && preferred_only < 2; preferred_only--)
    if (compares_all)
      collect_all (&choice, all, preferred_only == 1, found);
    else
      collect_some (&choice, all, affinity_id, preferred_only == 1, found);
  choice.facts.limited = quince_warmth_end_choice (&choice.cold, found->len > 0);
  choice.facts.found = found->len > 0;
  return quince_choice_outcome (&choice.facts);
}

static void
describe_worker (const QuinceBackends *backends,
                 gint64 now_us,
                 const QuinceWorker *worker,
                 const QuinceBackendQuery *query,
                 const char *affinity_id,
                 QuincePolicyEngine *engine)
{
  guint capacity = MAX (worker->slots, 1);
  gboolean preferred = affinity_id != NULL && g_str_equal (affinity_id, worker->id);
  guint64 version = query->model != NULL ? quince_worker_get_version (worker, query->model) : 0;
  *engine = (QuincePolicyEngine){
    .name = worker->id,
    .running = worker->running,
    .capacity = capacity,
    .load = quince_worker_get_expected_load (worker, now_us),
    .prefix_match = preferred ? 1.0 : 0.0,
    .weight_version = version,
    .target_version = version,
    .recent_ms = worker->service_time_us / 1000,
    .recent_failures = MIN (worker->consecutive_failures, FAILURES_SHOWN_MAX),
    .same_zone = g_str_equal (worker->zone, quince_topology_get_own_zone (backends->topology)),
  };
  gint64 pace_us = quince_worker_get_pace_us (worker, now_us);
  if (query->fastest_pace_us > 0 && pace_us > 0)
    engine->slowness = (double)pace_us / (double)query->fastest_pace_us;
}

/* Lets the policy score candidates from @found, see quince_choice_pick_candidates().  Returns: (nullable):
 * the candidate with the highest score, or %NULL if no score is finite */
static QuinceWorker *
choose_best (QuinceBackends *backends,
             gint64 now_us,
             const QuinceBackendQuery *query,
             const GPtrArray *found,
             guint start_index,
             const char *affinity_id)
{
  QuinceWorker *candidates[QUINCE_POLICY_MAX_CANDIDATES];
  QuincePolicyEngine engines[QUINCE_POLICY_MAX_CANDIDATES];
  double scores[QUINCE_POLICY_MAX_CANDIDATES];
  guint n_engines = quince_choice_pick_candidates (found, start_index, affinity_id,
                                                   QUINCE_POLICY_MAX_CANDIDATES, candidates);
  for (guint i = 0; i < n_engines; i++)
    describe_worker (backends, now_us, candidates[i], query, affinity_id, &engines[i]);
  quince_backends_score (backends, query->request, engines, n_engines, scores);
  gint best = quince_choice_best_score (scores, n_engines);
  return best >= 0 ? candidates[best] : NULL;
}

/* Returns: (transfer container): workers of the service that have the weights that the request needs */
static GPtrArray *
list_workers (QuinceBackends *backends, const QuinceBackendQuery *query)
{
  const char *service = query->request->service;
  if (query->model == NULL)
    return quince_worker_table_list (backends->workers, service);
  return quince_worker_table_list_with_version (backends->workers, service, query->model,
                                                query->minimum_version);
}

QuinceBackendOutcome
quince_backends_choose (QuinceBackends *backends,
                        gint64 now_us,
                        const QuinceBackendQuery *query,
                        QuinceWorker **worker)
{
  *worker = NULL;
  if (backends->holds_sends)
    return QUINCE_BACKEND_ZONES_UNKNOWN;
  quince_backends_remove_expired (backends, now_us);
  g_autoptr (GPtrArray) all = list_workers (backends, query);
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  const char *affinity_id
      = query->prompt != NULL ? quince_prompt_table_find_worker (backends->prompts, query->prompt) : NULL;
  QuinceBackendOutcome outcome = collect (backends, all, now_us, query, affinity_id, found);
  if (outcome != QUINCE_BACKEND_CHOSEN)
    return outcome;
  quince_backends_limit_returning_zones (backends, now_us, query->running_max, found);
  /* collect_some() has rotated @found, or a subset must not be: of workers with equal scores the first one is
   * chosen, to which a connection is open. */
  gboolean is_ordered
      = all->len > QUINCE_CHOICE_COMPARE_ALL_MAX && found->len <= QUINCE_POLICY_MAX_CANDIDATES;
  guint start_index = is_ordered ? 0 : backends->rotation++ % found->len;
  QuinceWorker *best = choose_best (backends, now_us, query, found, start_index, affinity_id);
  if (best == NULL)
    return QUINCE_BACKEND_FULL;
  if (!quince_warmth_acquire_send (backends, now_us, query, best))
    return QUINCE_BACKEND_COLD;
  *worker = best;
  if (query->prompt != NULL)
    quince_prompt_table_record (backends->prompts, query->prompt, (*worker)->id);
  return QUINCE_BACKEND_CHOSEN;
}
