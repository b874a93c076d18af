/*
 * backends.c: workers, their kept connections, and the choice of one by the policy.
 */
#include "backends-private.h"

#include <math.h>

#include "policy/builtin-decisions.h"
#include "forward/residency-lookup.h"
#include "runtime/log.h"

#define FAILURES_SHOWN_MAX 10
/* All of so many workers are looked at for each choice: some 10 us. */
#define COMPARE_ALL_MAX 256
/* Parts of prompts of which the last worker is remembered. */
#define PROMPT_PARTS_MAX 8192

static void
worker_gone (QuinceWorker *worker, gpointer data)
{
  QuinceBackends *backends = data;
  QuinceHttpPool *pool = g_hash_table_lookup (backends->pools, worker->id);
  if (pool == NULL)
    return;
  backends->opened_before += quince_http_pool_get_opened (pool);
  g_hash_table_remove (backends->pools, worker->id);
}

QuinceTopology *
quince_topology_read (const QuinceSettings *settings, GError **error)
{
  g_autoptr (QuinceTopology) topology
      = quince_topology_new (quince_settings_get_text (settings, "node", "zone"),
                             quince_settings_get_text (settings, "node", "region"));
  const char *zones = quince_settings_get_text (settings, "node", "zones");
  if (*zones != '\0' && !quince_topology_add_zones (topology, zones, error))
    return NULL;
  const char *listed = quince_topology_get_region (topology, quince_topology_get_own_zone (topology));
  const char *own = quince_topology_get_own_region (topology);
  if (*own != '\0' && g_strcmp0 (listed, own) != 0)
    {
      g_set_error (error, QUINCE_TOPOLOGY_ERROR, QUINCE_TOPOLOGY_ERROR_TEXT,
                   "the zone of this process is listed in region '%s', but its region is '%s'", listed, own);
      return NULL;
    }
  return g_steal_pointer (&topology);
}

static const QuinceWorkerTableCallbacks table_callbacks = { .gone = worker_gone };

static void
event_free (gpointer data)
{
  QuinceEventEntry *event = data;
  g_free (event->service);
  g_free (event);
}

QuinceBackends *
quince_backends_new (QuinceTopology *topology)
{
  QuinceBackends *backends = g_new0 (QuinceBackends, 1);
  backends->topology = topology;
  backends->zones = quince_zone_table_new ();
  backends->workers = quince_worker_table_new (&table_callbacks, backends);
  backends->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_http_pool_unref);
  backends->events = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, event_free);
  g_queue_init (&backends->vanished);
  backends->prompts = quince_prompt_table_new (PROMPT_PARTS_MAX);
  backends->tie = g_random_int ();
  return backends;
}

void
quince_backends_free (QuinceBackends *backends)
{
  if (backends == NULL)
    return;
  quince_backends_clear_evacuation (backends);
  quince_worker_table_free (backends->workers);
  g_hash_table_unref (backends->pools);
  g_hash_table_unref (backends->events);
  quince_prompt_table_free (backends->prompts);
  g_queue_clear_full (&backends->vanished, g_free);
  quince_policy_free (backends->policy);
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

/* Lets go of those that have not come back in time. */
static void
forget_removed (QuinceBackends *backends, gint64 now_us)
{
  while (!g_queue_is_empty (&backends->vanished))
    {
      const char *id = g_queue_peek_head (&backends->vanished);
      const QuinceWorker *worker = quince_worker_table_find (backends->workers, id);
      gboolean back = worker == NULL || worker->gone_after_us == 0;
      if (!back && now_us < worker->gone_after_us)
        return;
      g_autofree char *owned = g_queue_pop_head (&backends->vanished);
      if (!back)
        quince_backends_remove (backends, owned);
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
  if (worker->gone_after_us != 0)
    return;
  worker->gone_after_us = until_us;
  g_queue_push_tail (&backends->vanished, g_strdup (id));
  quince_log_info ("worker_doubted", "worker=%s cause=listing_vanished keep_ms=%d", id,
                   (int)((until_us - now_us) / 1000));
}

void
quince_backends_update (QuinceBackends *backends, QuinceWorker *told)
{
  g_autofree char *id = g_strdup (told->id);
  quince_warmth_note_listed (backends, told);
  if (!quince_worker_table_update (backends->workers, told))
    return;
  const QuinceWorker *worker = quince_worker_table_find (backends->workers, id);
  guint64 version
      = worker->models->len > 0 ? g_array_index (worker->models, QuinceWorkerModel, 0).version : 0;
  quince_log_info ("worker_changed",
                   "worker=%s service=%s address=%s state=%s version=%" G_GUINT64_FORMAT
                   " leaves_ms=%" G_GINT64_FORMAT,
                   worker->id, worker->service, worker->address, worker->draining ? "draining" : "ready",
                   version, worker->removal_us / 1000);
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
  QuinceHttpPool *pool = g_hash_table_lookup (backends->pools, worker->id);
  if (pool == NULL)
    {
      pool = quince_http_pool_new (worker->address);
      g_hash_table_insert (backends->pools, g_strdup (worker->id), pool);
    }
  return pool;
}

void
quince_backends_resumed (QuinceBackends *backends)
{
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, backends->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    quince_http_pool_drop_idle (pool);
}

guint64
quince_backends_get_opened (const QuinceBackends *backends)
{
  guint64 opened = backends->opened_before;
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, backends->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    opened += quince_http_pool_get_opened (pool);
  return opened;
}

/* ---- Events and admission --------------------------------------------- */

void
quince_backends_describe_events (QuinceBackends *backends, gint64 wall_ms, QuincePolicyRequest *request)
{
  request->event_active = FALSE;
  request->event_in_ms = -1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, backends->events);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceEventEntry *event = value;
      if (!g_str_equal (event->service, "-") && !g_str_equal (event->service, request->service))
        continue;
      gint64 until_ms = event->start_ms - wall_ms;
      if (until_ms <= 0 && wall_ms < event->start_ms + event->duration_ms)
        request->event_active = TRUE;
      else if (until_ms > 0 && (request->event_in_ms < 0 || until_ms < request->event_in_ms))
        request->event_in_ms = until_ms;
    }
}

void
quince_backends_admit (QuinceBackends *backends,
                       const QuincePolicyRequest *request,
                       QuincePolicyAdmission *admission)
{
  g_autoptr (GError) error = NULL;
  if (backends->policy != NULL && quince_policy_admit (backends->policy, request, admission, &error))
    return;
  if (error != NULL)
    quince_log_warning ("policy_failed", "function=admit code=%d", error->code);
  quince_builtin_admit (request, admission);
}

/* ---- Choice ----------------------------------------------------------- */

static gboolean
was_tried (const QuinceWorker *worker, const QuinceBackendQuery *query)
{
  return query->avoid != NULL && g_hash_table_contains (query->avoid, worker->id);
}

static gboolean
is_suitable (const QuinceWorker *worker, gint64 now_us, const QuinceBackendQuery *query)
{
  if (worker->draining || (worker->gone_after_us != 0 && now_us >= worker->gone_after_us))
    return FALSE;
  if (was_tried (worker, query))
    return FALSE;
  return query->model == NULL
         || (!worker->loading && query->minimum_version <= quince_worker_get_version (worker, query->model)
             && quince_worker_get_version (worker, query->model) > 0);
}

static gboolean
has_place (const QuinceWorker *worker, const QuinceBackendQuery *query)
{
  return query->most_running == 0 || worker->running < query->most_running;
}

/* What a choice has found out about the workers so far. */
typedef struct
{
  QuinceBackends *backends;
  gint64 now_us;
  const QuinceBackendQuery *query;
  QuinceColdChoice cold;
  gboolean any;       /* there are some that would do */
  gboolean evacuated; /* there are, in evacuated zones */
  gboolean tried;     /* there are, but for those that are to be avoided */
  gboolean full;      /* some have no place */
} Choice;

/* Returns: whether @worker can take the request now.  @trusted: not one that is doubted */
static gboolean
can_take (Choice *choice, QuinceWorker *worker, gboolean trusted)
{
  const QuinceBackendQuery *query = choice->query;
  choice->tried
      = choice->tried || (was_tried (worker, query) && quince_backends_may_send (choice->backends, worker));
  if (!is_suitable (worker, choice->now_us, query)
      || !quince_backends_allow (choice->backends, worker, query->residency))
    return FALSE;
  if (!quince_backends_may_send (choice->backends, worker))
    {
      choice->evacuated = TRUE;
      return FALSE;
    }
  choice->any = TRUE;
  choice->full = choice->full || !has_place (worker, query);
  gboolean doubted = choice->now_us < worker->ejected_until_us || worker->gone_after_us != 0;
  return has_place (worker, query) && (!trusted || !doubted)
         && quince_warmth_has_room (&choice->cold, worker);
}

/* Of a great many workers only so many are looked for as the policy scores, by turns.  While a zone comes
 * back its share is counted among all. */
static gboolean
compares_few (const Choice *choice, const GPtrArray *all)
{
  return all->len > COMPARE_ALL_MAX
         && !quince_zone_table_is_returning (choice->backends->zones, choice->now_us);
}

/* The one that keeps the prompt, and those after the first of the last choice. */
static void
find_few (Choice *choice, const GPtrArray *all, const char *keeps_prompt, gboolean trusted, GPtrArray *found)
{
  QuinceBackends *backends = choice->backends;
  QuinceWorker *keeper
      = keeps_prompt != NULL ? quince_worker_table_find (backends->workers, keeps_prompt) : NULL;
  if (keeper != NULL && g_str_equal (keeper->service, choice->query->request->service)
      && can_take (choice, keeper, trusted))
    g_ptr_array_add (found, keeper);
  guint from = backends->turn % all->len;
  guint others = 0;
  for (guint i = 0; i < all->len && found->len < QUINCE_POLICY_MAX_CANDIDATES; i++)
    {
      QuinceWorker *worker = all->pdata[(from + i) % all->len];
      if (worker == keeper || !can_take (choice, worker, trusted))
        continue;
      g_ptr_array_add (found, worker);
      if (others++ == 0)
        backends->turn += i + 1; /* whatever the length of the list: shorter ones do not set others back */
    }
}

static void
find_all (Choice *choice, const GPtrArray *all, gboolean trusted, GPtrArray *found)
{
  for (guint i = 0; i < all->len; i++)
    if (can_take (choice, all->pdata[i], trusted))
      g_ptr_array_add (found, all->pdata[i]);
}

/* Suitable workers with room: the trusted ones, or where there are none the doubted ones. */
static QuinceBackendOutcome
collect (QuinceBackends *backends,
         const GPtrArray *all,
         gint64 now_us,
         const QuinceBackendQuery *query,
         const char *keeps_prompt,
         GPtrArray *found)
{
  Choice choice = { .backends = backends, .now_us = now_us, .query = query };
  quince_warmth_begin_choice (backends, now_us, query, &choice.cold);
  for (guint trusted = 1; found->len == 0 && !quince_warmth_is_limited (&choice.cold) && trusted < 2;
       trusted--)
    if (compares_few (&choice, all))
      find_few (&choice, all, keeps_prompt, trusted == 1, found);
    else
      find_all (&choice, all, trusted == 1, found);
  gboolean limited = quince_warmth_end_choice (&choice.cold, found->len > 0);
  if (found->len > 0)
    return QUINCE_BACKEND_CHOSEN;
  if (limited && !choice.full)
    return QUINCE_BACKEND_COLD;
  if (choice.any)
    return QUINCE_BACKEND_FULL;
  return choice.evacuated && !choice.tried ? QUINCE_BACKEND_EVACUATED : QUINCE_BACKEND_NONE;
}

static void
describe (const QuinceBackends *backends,
          gint64 now_us,
          const QuinceWorker *worker,
          const QuinceBackendQuery *query,
          const char *keeps_prompt,
          QuincePolicyEngine *engine)
{
  guint capacity = MAX (worker->slots, 1);
  gboolean preferred = keeps_prompt != NULL && g_str_equal (keeps_prompt, worker->id);
  guint64 version = query->model != NULL ? quince_worker_get_version (worker, query->model) : 0;
  *engine = (QuincePolicyEngine){
    .name = worker->id,
    .running = worker->running,
    .capacity = capacity,
    .load = (double)worker->running / capacity,
    .prefix_match = preferred ? 1.0 : 0.0,
    .weight_version = version,
    .target_version = version,
    .recent_ms = worker->service_us / 1000,
    .recent_failures = MIN (worker->failures, FAILURES_SHOWN_MAX),
    .same_zone = g_str_equal (worker->zone, quince_topology_get_own_zone (backends->topology)),
  };
  gint64 pace_us = quince_worker_get_pace_us (worker, now_us);
  if (query->fastest_pace_us > 0 && pace_us > 0)
    engine->slowness = (double)pace_us / (double)query->fastest_pace_us;
}

static void
score (QuinceBackends *backends,
       const QuincePolicyRequest *request,
       const QuincePolicyEngine *engines,
       guint n_engines,
       double *scores)
{
  g_autoptr (GError) error = NULL;
  if (backends->policy != NULL
      && quince_policy_score (backends->policy, request, engines, n_engines, scores, &error))
    return;
  if (error != NULL)
    quince_log_warning ("policy_failed", "function=score code=%d", error->code);
  for (guint i = 0; i < n_engines; i++)
    scores[i] = quince_builtin_score (&engines[i]);
}

/* Those that the policy scores: by turns, so that equals share, and in any case the one that keeps the
 * prompt.  @in_turn: @found is in turns already, and its first is due.  Returns: how many */
static guint
pick_candidates (QuinceBackends *backends,
                 const GPtrArray *found,
                 gboolean in_turn,
                 const char *keeps_prompt,
                 QuinceWorker *candidates[QUINCE_POLICY_MAX_CANDIDATES])
{
  guint count = MIN (found->len, QUINCE_POLICY_MAX_CANDIDATES);
  guint first = in_turn ? 0 : backends->tie++ % found->len;
  gboolean has_keeper = keeps_prompt == NULL;
  for (guint i = 0; i < count; i++)
    {
      candidates[i] = found->pdata[(first + i) % found->len];
      has_keeper = has_keeper || g_str_equal (candidates[i]->id, keeps_prompt);
    }
  for (guint i = count; i < found->len && !has_keeper; i++)
    {
      QuinceWorker *worker = found->pdata[(first + i) % found->len];
      has_keeper = g_str_equal (worker->id, keeps_prompt);
      if (has_keeper)
        candidates[0] = worker;
    }
  return count;
}

/* (transfer container): those of the service that have what the request wants. */
static GPtrArray *
list_workers (QuinceBackends *backends, const QuinceBackendQuery *query)
{
  const char *service = query->request->service;
  if (query->model == NULL)
    return quince_worker_table_list (backends->workers, service);
  return quince_worker_table_list_version (backends->workers, service, query->model, query->minimum_version);
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
  forget_removed (backends, now_us);
  g_autoptr (GPtrArray) all = list_workers (backends, query);
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  const char *keeps_prompt
      = query->prompt != NULL ? quince_prompt_table_find (backends->prompts, query->prompt) : NULL;
  QuinceBackendOutcome outcome = collect (backends, all, now_us, query, keeps_prompt, found);
  if (outcome != QUINCE_BACKEND_CHOSEN)
    return outcome;
  quince_backends_limit_returning (backends, now_us, query->most_running, found);
  QuinceWorker *candidates[QUINCE_POLICY_MAX_CANDIDATES];
  QuincePolicyEngine engines[QUINCE_POLICY_MAX_CANDIDATES];
  double scores[QUINCE_POLICY_MAX_CANDIDATES];
  gboolean in_turn = all->len > COMPARE_ALL_MAX && found->len <= QUINCE_POLICY_MAX_CANDIDATES;
  guint n_engines = pick_candidates (backends, found, in_turn, keeps_prompt, candidates);
  for (guint i = 0; i < n_engines; i++)
    describe (backends, now_us, candidates[i], query, keeps_prompt, &engines[i]);
  score (backends, query->request, engines, n_engines, scores);
  gint best = -1;
  for (guint i = 0; i < n_engines; i++)
    if (isfinite (scores[i]) && (best < 0 || scores[i] > scores[best]))
      best = (gint)i;
  if (best < 0)
    return QUINCE_BACKEND_FULL;
  if (!quince_warmth_take (backends, now_us, query, candidates[best]))
    return QUINCE_BACKEND_COLD;
  *worker = candidates[best];
  if (query->prompt != NULL)
    quince_prompt_table_note (backends->prompts, query->prompt, (*worker)->id);
  return QUINCE_BACKEND_CHOSEN;
}
