/*
 * scheduler-views.c: what status, metrics and digests read of the scheduler.
 */
#include "scheduler-private.h"

void
quince_scheduler_get_counters (const QuinceScheduler *scheduler, QuinceSchedulerCounters *out)
{
  *out = scheduler->counters;
  out->waiting = g_hash_table_size (scheduler->waiting);
  out->outstanding = quince_grant_table_outstanding (scheduler->grants);
}

void
quince_scheduler_foreach_engine (const QuinceScheduler *scheduler,
                                 gint64 now_us,
                                 void (*visit) (const QuinceEngineView *view, gpointer user_data),
                                 gpointer user_data)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quince_engine_table_all (scheduler->engines));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceEngine *engine = value;
      QuinceEngineView view = {
        .name = engine->name,
        .address = engine->address,
        .service = engine->service,
        .outstanding = quince_engine_held (engine),
        .peers = engine->peers,
        .running = engine->running,
        .waiting = engine->waiting,
        .capacity = engine->capacity,
        .weight_version = engine->weight_version,
        .target_version = engine->target_version,
        .leaving = engine->leaving,
        .usable = quince_engine_table_usable (scheduler->engines, engine, now_us),
        .report_age_us = now_us - engine->reported_us,
        .hit_rate = engine->hit_rate,
      };
      visit (&view, user_data);
    }
}

void
quince_scheduler_foreach_service (const QuinceScheduler *scheduler,
                                  void (*visit) (const QuinceServiceCount *count, gpointer user_data),
                                  gpointer user_data)
{
  quince_service_counts_foreach (scheduler->counts, visit, user_data);
}
