/*
 * scheduler.c: life of the scheduler, ends of grants, news of engines.
 */
#include "scheduler-private.h"

#define WAITING_WAKEUP_US (100 * 1000)
#define FORGET_WAKEUP_US (50 * 1000)
#define REPORT_WAIT_US (200 * 1000) /* until an expired grant is looked at again */

const QuinceSchedulerLimits quince_scheduler_default_limits = {
  .queue_most = 4096,
  .grant_ms = 2000,
  .abandon_ms = 300000,
  .report_stale_ms = 5000,
  .candidates = 6,
  .retry_ratio = 0.2,
  .overcommit = 0,
  .engine_wait_ms = 100,
};

/* ---- Life ---------------------------------------------------------------------- */

static void
free_service (gpointer data)
{
  QuinceServiceQueue *service = data;
  quince_fair_queue_free (service->queue);
  g_free (service->name);
  g_free (service);
}

static void
free_waiting (gpointer data)
{
  QuinceWaiting *waiting = data;
  quince_grant_request_free (waiting->request);
  g_free (waiting);
}

QuinceScheduler *
quince_scheduler_new (const QuinceSchedulerLimits *limits,
                      guint64 incarnation,
                      const char *zone,
                      guint64 seed)
{
  QuinceScheduler *scheduler = g_new0 (QuinceScheduler, 1);
  scheduler->limits = *limits;
  scheduler->seed = seed;
  scheduler->engines = quince_engine_table_new (zone, limits->report_stale_ms);
  scheduler->prefixes = quince_prefix_index_new ();
  scheduler->grants = quince_grant_table_new (incarnation);
  scheduler->counts = quince_service_counts_new ();
  scheduler->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  scheduler->waiting
      = g_hash_table_new_full (quince_attempt_key_hash, quince_attempt_key_equal, NULL, free_waiting);
  quince_retry_budget_init (&scheduler->retries);
  return scheduler;
}

void
quince_scheduler_free (QuinceScheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  g_hash_table_unref (scheduler->services);
  g_hash_table_unref (scheduler->waiting);
  quince_heap_clear (&scheduler->deadlines);
  quince_grant_table_free (scheduler->grants);
  quince_engine_table_free (scheduler->engines);
  quince_prefix_index_free (scheduler->prefixes);
  quince_service_counts_free (scheduler->counts);
  g_free (scheduler);
}

void
quince_scheduler_set_decider (QuinceScheduler *scheduler, const QuinceDecider *decider)
{
  scheduler->decider = decider != NULL ? *decider : (QuinceDecider){ 0 };
}

void
quince_scheduler_set_ready (QuinceScheduler *scheduler, gboolean ready)
{
  scheduler->ready = ready;
}

void
quince_scheduler_set_event (QuinceScheduler *scheduler, gint64 start_us, gint64 end_us)
{
  scheduler->event_start_us = start_us;
  scheduler->event_end_us = end_us;
}

QuinceServiceQueue *
quince_claim_service (QuinceScheduler *scheduler, const char *name)
{
  QuinceServiceQueue *service = g_hash_table_lookup (scheduler->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (QuinceServiceQueue, 1);
  service->name = g_strdup (name);
  service->queue = quince_fair_queue_new ();
  g_hash_table_insert (scheduler->services, service->name, service);
  return service;
}

/* ---- Ends ---------------------------------------------------------------------------- */

static void
release_slot (QuinceGrantEntry *grant, gboolean dispatched)
{
  QuinceServiceQueue *service = grant->service;
  if (grant->overdue)
    quince_engine_overdue_ended (grant->engine);
  else
    quince_engine_ended (grant->engine, grant->granted_at_report, dispatched);
  service->meter.slots[grant->work_class]--;
}

/* It expired and no end was told.  Its engine's report says from now on whether it
 * runs, once one has come that must show it. */
static void
look_at_expired_grant (QuinceScheduler *scheduler, gint64 now_us, QuinceGrantEntry *grant)
{
  gint64 at_us = now_us + REPORT_WAIT_US;
  if (grant->engine->reported_us >= grant->expires_us + QUINCE_GRANT_SETTLE_US)
    {
      grant->overdue = TRUE;
      quince_engine_overdue (grant->engine);
      at_us = grant->abandon_us;
    }
  quince_grant_table_look_again (scheduler->grants, grant, at_us);
}

void
quince_forget_due_grants (QuinceScheduler *scheduler, gint64 now_us, guint most)
{
  QuinceGrantEntry *grant;
  while (most-- > 0 && (grant = quince_grant_table_due (scheduler->grants, now_us)) != NULL)
    {
      if (!grant->ended && now_us < grant->abandon_us)
        {
          look_at_expired_grant (scheduler, now_us, grant);
          continue;
        }
      if (!grant->ended)
        {
          release_slot (grant, TRUE);
          scheduler->counters.abandoned++;
        }
      quince_grant_table_forget (scheduler->grants, grant);
    }
}

/* From the grant to its end: the ways to the engine and back are in it, unlike what the agent measured. */
static guint
held_ms (const QuinceGrantEntry *grant, gint64 now_us)
{
  return (guint)CLAMP ((now_us - grant->granted_us) / 1000, 0, G_MAXINT);
}

static void
learn_from_end (QuinceScheduler *scheduler, gint64 now_us, QuinceGrantEntry *grant, const QuinceGrantEnd *end)
{
  QuinceServiceQueue *service = grant->service;
  QuinceServiceCount *count = &grant->count->count;
  switch (end->outcome)
    {
    case QUINCE_OUTCOME_FINISHED:
      scheduler->counters.finished++;
      quince_engine_served (grant->engine, end->service_ms);
      quince_drain_meter_served (&service->meter, grant->work_class,
                                 MAX (end->service_ms, held_ms (grant, now_us)));
      count->on_time += end->on_time ? 1 : 0;
      count->late += end->on_time ? 0 : 1;
      count->tokens_on_time += end->on_time ? end->tokens : 0;
      grant->engine->weight_version = MAX (grant->engine->weight_version, end->weight_version);
      break;
    case QUINCE_OUTCOME_REFUSED:
    case QUINCE_OUTCOME_BROKEN:
      quince_engine_failed (grant->engine, now_us);
      break;
    case QUINCE_OUTCOME_NOT_SENT:
      scheduler->counters.expired++; /* it passed undispatched */
      break;
    case QUINCE_OUTCOME_CANCELLED:
      break;
    }
  if (end->engine_leaving)
    quince_engine_table_leaving (scheduler->engines, now_us, grant->engine->name, QUINCE_LEAVING_ENGINE,
                                 TRUE);
}

void
quince_scheduler_end (QuinceScheduler *scheduler,
                      gint64 now_us,
                      const QuinceGrantEnd *end,
                      GPtrArray *decisions)
{
  quince_queue_refuse_overdue (scheduler, now_us, decisions);
  QuinceGrantEntry *grant = quince_grant_table_find_id (scheduler->grants, end->grant_id);
  if (grant == NULL)
    return;
  QuinceServiceQueue *service = grant->service;
  gboolean dispatched = end->outcome != QUINCE_OUTCOME_NOT_SENT && end->outcome != QUINCE_OUTCOME_REFUSED;
  learn_from_end (scheduler, now_us, grant, end);
  release_slot (grant, dispatched);
  quince_grant_table_end (scheduler->grants, grant, now_us);
  if (!scheduler->stopping)
    quince_queue_serve (scheduler, now_us, service, decisions);
}

/* The asker has stopped waiting: a grant that crosses this is never dispatched. */
void
quince_scheduler_cancel (QuinceScheduler *scheduler,
                         gint64 now_us,
                         const QuinceGrantCancel *cancel,
                         GPtrArray *decisions)
{
  QuinceAttemptKey key;
  quince_queue_refuse_overdue (scheduler, now_us, decisions);
  quince_attempt_key_set (&key, cancel->request_id, cancel->attempt);
  QuinceWaiting *waiting = g_hash_table_lookup (scheduler->waiting, &key);
  if (waiting != NULL)
    {
      quince_queue_drop (scheduler, now_us, waiting);
      return;
    }
  QuinceGrantEntry *grant = quince_grant_table_find (scheduler->grants, &key);
  if (grant == NULL || grant->ended)
    return;
  QuinceGrantEnd end = { .grant_id = grant->grant_id, .outcome = QUINCE_OUTCOME_NOT_SENT };
  quince_scheduler_end (scheduler, now_us, &end, decisions);
}

void
quince_scheduler_client_gone (QuinceScheduler *scheduler, gint64 now_us, guint64 client)
{
  g_autoptr (GPtrArray) gone = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, scheduler->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((QuinceWaiting *)value)->client == client)
      g_ptr_array_add (gone, value);
  for (guint i = 0; i < gone->len; i++)
    quince_queue_drop (scheduler, now_us, gone->pdata[i]);
}

void
quince_scheduler_stop (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions)
{
  QuinceHeapNode *node;
  quince_queue_refuse_overdue (scheduler, now_us, decisions);
  scheduler->stopping = TRUE;
  while ((node = quince_heap_peek (&scheduler->deadlines)) != NULL)
    quince_queue_refuse (scheduler, now_us, node->owner, QUINCE_REFUSAL_STOPPING, "node is stopping",
                         decisions);
}

void
quince_scheduler_tick (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions)
{
  quince_queue_refuse_overdue (scheduler, now_us, decisions);
  quince_forget_due_grants (scheduler, now_us, G_MAXUINT);
  quince_queue_serve_all (scheduler, now_us, decisions);
}

gint64
quince_scheduler_next_wakeup (QuinceScheduler *scheduler, gint64 now_us)
{
  QuinceHeapNode *deadline = quince_heap_peek (&scheduler->deadlines);
  gint64 forget_us = quince_grant_table_next_due (scheduler->grants);
  gint64 wakeup_us = forget_us != G_MAXINT64 ? MAX (forget_us, now_us + FORGET_WAKEUP_US) : G_MAXINT64;
  /* Slots also come free in ways that no call tells: an event's end, other nodes' digests. */
  if (deadline != NULL)
    wakeup_us = MIN (wakeup_us, MIN (deadline->key, now_us + WAITING_WAKEUP_US));
  return wakeup_us;
}

/* ---- Engines ----------------------------------------------------------------------------- */

void
quince_scheduler_engine_report (QuinceScheduler *scheduler,
                                gint64 now_us,
                                const QuinceEngineReport *report,
                                GPtrArray *decisions)
{
  gboolean created = FALSE;
  quince_queue_refuse_overdue (scheduler, now_us, decisions);
  QuinceEngine *engine = quince_engine_table_report (scheduler->engines, now_us, report, &created);
  if (engine == NULL)
    return;
  scheduler->heard_engines = TRUE;
  if (created)
    engine->prefix_slot = quince_prefix_index_add_engine (scheduler->prefixes);
  QuinceServiceQueue *service = g_hash_table_lookup (scheduler->services, engine->service);
  if (service != NULL && !scheduler->stopping)
    quince_queue_serve (scheduler, now_us, service, decisions);
}

void
quince_scheduler_engine_leaving (QuinceScheduler *scheduler,
                                 gint64 now_us,
                                 const char *engine,
                                 QuinceLeavingSource source,
                                 gboolean leaving)
{
  quince_engine_table_leaving (scheduler->engines, now_us, engine, source, leaving);
}

void
quince_scheduler_engine_remove (QuinceScheduler *scheduler, const char *name)
{
  QuinceEngine *engine = quince_engine_table_get (scheduler->engines, name);
  if (engine == NULL)
    return;
  quince_prefix_index_remove_engine (scheduler->prefixes, engine->prefix_slot);
  engine->prefix_slot = -1;
  quince_engine_table_remove (scheduler->engines, name);
}

void
quince_scheduler_peer_load (QuinceScheduler *scheduler,
                            gint64 now_us,
                            const char *node,
                            const char *engine,
                            guint granted)
{
  quince_engine_table_peer_load (scheduler->engines, now_us, node, engine, granted);
}

void
quince_scheduler_peer_gone (QuinceScheduler *scheduler, const char *node)
{
  quince_engine_table_peer_gone (scheduler->engines, node);
}

void
quince_scheduler_cache_event (QuinceScheduler *scheduler,
                              const char *name,
                              gboolean stored,
                              const guint64 *blocks,
                              guint n_blocks,
                              gboolean reset)
{
  QuinceEngine *engine = quince_engine_table_get (scheduler->engines, name);
  if (engine == NULL)
    return;
  if (reset)
    quince_prefix_index_reset_engine (scheduler->prefixes, engine->prefix_slot);
  if (stored)
    quince_prefix_index_store (scheduler->prefixes, engine->prefix_slot, blocks, n_blocks);
  else
    quince_prefix_index_evict (scheduler->prefixes, engine->prefix_slot, blocks, n_blocks);
}
