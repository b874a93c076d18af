/*
 * queueing.c: requests that wait, and the service of their queue.
 */
#include "scheduler-private.h"

#define TOKENS_A_PROMPT_UNIT 8 /* prompt tokens that cost as much as one generated */
#define COST_LEAST 16
#define COST_MOST 8192

static guint
cost_of (const QuinceGrantRequest *request)
{
  guint64 cost = (guint64)request->expected_tokens + request->prompt_tokens / TOKENS_A_PROMPT_UNIT;
  return (guint)CLAMP (cost, COST_LEAST, COST_MOST);
}

/* Half the usual service time before the deadline: later it would run in vain. */
static gint64
last_useful_start_us (const QuinceServiceQueue *service,
                      const QuinceGrantRequest *request,
                      gint64 deadline_us)
{
  return deadline_us - (gint64)(service->meter.service_ms[request->work_class] * 1000 / 2);
}

void
quince_queue_add (QuinceScheduler *scheduler, gint64 now_us, const QuincePlacement *placement)
{
  QuinceWaiting *waiting = g_new0 (QuinceWaiting, 1);
  waiting->key = placement->key;
  waiting->request = quince_grant_request_copy (placement->request);
  waiting->client = placement->client;
  waiting->deadline_us = placement->deadline_us;
  waiting->priority = placement->priority;
  waiting->min_version = placement->min_version;
  waiting->share = placement->share;
  waiting->cost = cost_of (placement->request);
  waiting->service = placement->service;
  quince_heap_node_init (&waiting->expiry, waiting);
  quince_heap_node_init (&waiting->turn, waiting);
  scheduler->sequence++;
  quince_drain_meter_update (&placement->service->meter, now_us, 0, TRUE);
  quince_fair_queue_push (placement->service->queue, waiting, scheduler->sequence);
  gint64 last_start_us
      = last_useful_start_us (placement->service, placement->request, placement->deadline_us);
  quince_heap_push (&scheduler->deadlines, &waiting->expiry, MAX (last_start_us, now_us + 1),
                    scheduler->sequence);
  g_hash_table_insert (scheduler->waiting, &waiting->key, waiting);
}

/* Takes it out of the queue unserved and frees it. */
void
quince_queue_drop (QuinceScheduler *scheduler, gint64 now_us, QuinceWaiting *waiting)
{
  QuinceServiceQueue *service = waiting->service;
  quince_fair_queue_remove (service->queue, waiting);
  quince_heap_remove (&scheduler->deadlines, &waiting->expiry);
  g_hash_table_remove (scheduler->waiting, &waiting->key);
  quince_drain_meter_update (&service->meter, now_us, 0, quince_fair_queue_length (service->queue) > 0);
}

void
quince_queue_refuse (QuinceScheduler *scheduler,
                     gint64 now_us,
                     QuinceWaiting *waiting,
                     QuinceRefusal reason,
                     const char *detail,
                     GPtrArray *decisions)
{
  quince_reply_refuse (scheduler, now_us, waiting->client, waiting->request, waiting->service, reason, 0,
                       detail, decisions);
  quince_queue_drop (scheduler, now_us, waiting);
}

void
quince_queue_refuse_overdue (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions)
{
  for (;;)
    {
      QuinceHeapNode *node = quince_heap_peek (&scheduler->deadlines);
      if (node == NULL || node->key > now_us)
        return;
      quince_queue_refuse (scheduler, now_us, node->owner, QUINCE_REFUSAL_DEADLINE,
                           "waited until it could not finish in time", decisions);
    }
}

static gboolean
place_waiting (QuinceScheduler *scheduler, gint64 now_us, QuinceWaiting *waiting, GPtrArray *decisions)
{
  QuincePlacement placement = {
    .request = waiting->request,
    .key = waiting->key,
    .client = waiting->client,
    .deadline_us = waiting->deadline_us,
    .priority = waiting->priority,
    .min_version = waiting->min_version,
    .share = waiting->share,
    .service = waiting->service,
  };
  return quince_place (scheduler, now_us, &placement, decisions);
}

/* Serves the queue of a service as long as engines can take work. */
void
quince_queue_serve (QuinceScheduler *scheduler,
                    gint64 now_us,
                    QuinceServiceQueue *service,
                    GPtrArray *decisions)
{
  guint departures = 0;
  QuinceWaiting *waiting;
  QuinceServiceView view;
  if (quince_fair_queue_length (service->queue) == 0)
    return;
  quince_service_view (scheduler, now_us, service->name, &view);
  quince_fair_queue_begin (service->queue);
  while (departures < view.free_slots && (waiting = quince_fair_queue_next (service->queue)) != NULL)
    {
      /* Work may take longer than when it came. */
      if (now_us > last_useful_start_us (service, waiting->request, waiting->deadline_us))
        {
          quince_queue_refuse (scheduler, now_us, waiting, QUINCE_REFUSAL_DEADLINE,
                               "waited until it could not finish in time", decisions);
          continue;
        }
      if (!place_waiting (scheduler, now_us, waiting, decisions))
        {
          quince_fair_queue_pass_over (service->queue, waiting);
          continue;
        }
      quince_fair_queue_take (service->queue, waiting);
      quince_heap_remove (&scheduler->deadlines, &waiting->expiry);
      g_hash_table_remove (scheduler->waiting, &waiting->key);
      departures++;
    }
  quince_drain_meter_update (&service->meter, now_us, departures,
                             quince_fair_queue_length (service->queue) > 0);
}

void
quince_queue_serve_all (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions)
{
  GHashTableIter iter;
  gpointer value;
  if (scheduler->stopping)
    return;
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    quince_queue_serve (scheduler, now_us, value, decisions);
}
