/*
 * scale-duty.c: from what is listed of workers to the platform's answer to an order.
 */
#include "scale-duty.h"

#include <math.h>

#include "http1/http-client.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "platform.h"

/* An answer usually takes some ms; a call that is slower may have been taken, and is made again. */
#define CALL_TIMEOUT_US (1500 * 1000)
/* Chosen: workers are listed about as seldom, and counting them and the open samples costs some 0.1 ms. */
#define LOOK_US (400 * 1000)

struct _QuinceScaleDuty
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;
  QuinceBackends *backends;
  QuinceObserver *observer;
  double (*count_needed) (const char *service, gpointer user_data);
  gpointer user_data;
  char *holder;
  QuinceHttpPool *platform;
  QuinceScalePlan *plan;
  gboolean leads;
  gint64 look_us; /* no look before */

  QuinceHttpExchange *exchange; /* the order on its way */
  QuinceScaleOrder order;
  char *service; /* owned: of that order */
};

/* ---- Calls -------------------------------------------------------------- */

static void
clear_order (QuinceScaleDuty *duty)
{
  quince_scale_order_clear (&duty->order);
  g_clear_pointer (&duty->service, g_free);
}

static void
order_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceScaleDuty *duty = data;
  duty->exchange = NULL;
  guint status = outcome == QUINCE_HTTP_ANSWERED ? quince_http_exchange_get_head (exchange)->status : 0;
  g_autofree char *reason = quince_log_quote (error != NULL ? error->message : "");
  quince_log_notice ("workers_ordered", "service=%s zone=%s desired=%u status=%u reason=%s", duty->service,
                     duty->order.zone, duty->order.desired, status, reason);
  g_autofree char *labels
      = g_strdup_printf ("service=\"%s\",zone=\"%s\",status=\"%u\"", duty->service, duty->order.zone, status);
  quince_metric_add ("quince_replica_scale_orders_total", labels, 1);
  quince_scale_plan_order_ended (duty->plan, quince_now_us (), duty->service, &duty->order,
                                 quince_platform_read_scale_answer (status));
  clear_order (duty);
}

static const QuinceHttpExchangeCallbacks order_callbacks = { .done = order_done };

static void
send_order (QuinceScaleDuty *duty, const char *service)
{
  g_autoptr (GBytes) body = quince_platform_format_scale (service, &duty->order);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", "platform");
  quince_platform_write_duty (headers, duty->holder, quince_ledger_node_get_epoch (duty->ledger));
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = QUINCE_PLATFORM_SCALE_TARGET,
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = CALL_TIMEOUT_US,
                                      .send_by_us = quince_now_us () + CALL_TIMEOUT_US };
  duty->service = g_strdup (service);
  duty->exchange = quince_http_pool_start (duty->platform, &request, &order_callbacks, duty);
}

/* ---- What is seen ------------------------------------------------------- */

static QuinceZoneStrength *
find_strength (GArray *zones, const char *zone)
{
  for (guint i = 0; i < zones->len; i++)
    if (g_str_equal (g_array_index (zones, QuinceZoneStrength, i).zone, zone))
      return &g_array_index (zones, QuinceZoneStrength, i);
  QuinceZoneStrength added = { .zone = zone };
  g_array_append_val (zones, added);
  return &g_array_index (zones, QuinceZoneStrength, zones->len - 1);
}

/* A worker whose entry vanished while the store was away counts as serving: it is likely there. */
static GArray *
look_at_zones (QuinceScaleDuty *duty, const QuinceService *service)
{
  const QuinceZoneTable *evacuated = quince_backends_get_zones (duty->backends);
  QuinceWorkerTable *table = quince_backends_get_workers (duty->backends);
  g_autoptr (GPtrArray) workers = quince_worker_table_list (table, service->name);
  GArray *zones = g_array_new (FALSE, FALSE, sizeof (QuinceZoneStrength));
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      QuinceZoneStrength *zone = find_strength (zones, worker->zone);
      zone->evacuated = quince_zone_table_is_evacuated (evacuated, worker->zone);
      if (worker->draining || zone->evacuated)
        continue;
      zone->serving++;
      zone->may_go += worker->may_go;
    }
  return zones;
}

/* Workers that the open samples take to end in time; it is not asked where nothing is lost. */
static guint
count_needed (QuinceScaleDuty *duty, const QuinceService *service)
{
  if (!duty->leads || service->slots == 0 || quince_scale_plan_get_lost (duty->plan, service->name) == 0)
    return 0;
  return (guint)ceil (duty->count_needed (service->name, duty->user_data) / service->slots);
}

static void
step_service (QuinceScaleDuty *duty, const QuinceService *service)
{
  g_autoptr (GArray) zones = look_at_zones (duty, service);
  gboolean may_order = duty->leads && duty->exchange == NULL && quince_ledger_node_may_order (duty->ledger);
  guint needed = count_needed (duty, service);
  if (quince_scale_plan_step (duty->plan, quince_now_us (), service, zones, needed,
                              may_order ? &duty->order : NULL))
    send_order (duty, service->name);
  g_autofree char *labels = g_strdup_printf ("service=\"%s\"", service->name);
  quince_metric_set ("quince_replica_workers_needed", labels, needed);
  quince_metric_set ("quince_replica_workers_lost", labels,
                     quince_scale_plan_get_lost (duty->plan, service->name));
}

void
quince_scale_duty_step (QuinceScaleDuty *duty)
{
  QuinceRouteTable *routes = quince_observer_get_routes (duty->observer);
  gint64 now = quince_now_us ();
  if (now < duty->look_us || routes == NULL || !quince_observer_is_synced (duty->observer))
    return;
  duty->look_us = now + LOOK_US;
  for (guint i = 0; i < quince_route_table_get_n_services (routes); i++)
    {
      const QuinceService *service = quince_route_table_get_service (routes, i);
      if (service->scaling != NULL)
        step_service (duty, service);
    }
}

/* ---- Leadership --------------------------------------------------------- */

void
quince_scale_duty_lead (QuinceScaleDuty *duty)
{
  duty->leads = TRUE;
  quince_scale_plan_lead (duty->plan, quince_now_us ());
}

void
quince_scale_duty_stop_leading (QuinceScaleDuty *duty)
{
  duty->leads = FALSE;
  if (duty->exchange != NULL)
    quince_http_exchange_cancel (duty->exchange);
  duty->exchange = NULL;
  clear_order (duty);
}

QuinceScaleDuty *
quince_scale_duty_new (const QuinceScaleDutyOptions *options, gpointer user_data)
{
  QuinceScaleDuty *duty = g_new0 (QuinceScaleDuty, 1);
  duty->ledger = options->ledger;
  duty->backends = options->backends;
  duty->observer = options->observer;
  duty->count_needed = options->count_needed;
  duty->user_data = user_data;
  duty->holder = g_strdup (options->holder);
  duty->platform = quince_http_pool_new (options->address);
  duty->plan = quince_scale_plan_new ();
  return duty;
}

void
quince_scale_duty_free (QuinceScaleDuty *duty)
{
  if (duty == NULL)
    return;
  quince_scale_duty_stop_leading (duty);
  quince_scale_plan_free (duty->plan);
  quince_http_pool_unref (duty->platform);
  g_free (duty->holder);
  g_free (duty);
}
