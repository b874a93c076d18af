/*
 * worker-scaler.c: orders workers from the platform to replace lost ones, and releases surplus workers.
 */
#include "worker-scaler.h"

#include <math.h>

#include "http1/http-client.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "platform.h"

/* Timeout of a call to the platform, us.  A call that times out is repeated, although the platform may have
 * accepted it. */
#define CALL_TIMEOUT_US (1500 * 1000)
/* Interval between counts of workers, us.  The list of workers changes about as seldom, and counting them and
 * the open samples takes about 0.1 ms. */
#define CHECK_INTERVAL_US (400 * 1000)

struct _QuinceWorkerScaler
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;
  QuinceBackends *backends;
  QuinceObserver *observer;
  double (*get_slots_needed) (const char *service, gpointer user_data);
  gpointer user_data;
  char *holder;
  QuinceHttpPool *platform;
  QuinceScalePlan *plan;
  gboolean leads;
  gint64 next_check_us; /* monotonic: time of the next count */

  QuinceHttpExchange *exchange; /* the order in flight; NULL: none */
  QuinceScaleOrder order;
  char *service; /* owned: service of the order */
};

/* ---- Calls -------------------------------------------------------------- */

static void
clear_order (QuinceWorkerScaler *scaler)
{
  quince_scale_order_clear (&scaler->order);
  g_clear_pointer (&scaler->service, g_free);
}

static void
order_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceWorkerScaler *scaler = data;
  scaler->exchange = NULL;
  guint status = outcome == QUINCE_HTTP_ANSWERED ? quince_http_exchange_get_head (exchange)->status : 0;
  g_autofree char *reason = quince_log_quote (error != NULL ? error->message : "");
  quince_log_notice ("workers_ordered", "service=%s zone=%s desired=%u status=%u reason=%s", scaler->service,
                     scaler->order.zone, scaler->order.desired, status, reason);
  g_autofree char *labels = g_strdup_printf ("service=\"%s\",zone=\"%s\",status=\"%u\"", scaler->service,
                                             scaler->order.zone, status);
  quince_metric_add ("quince_replica_scale_orders_total", labels, 1);
  quince_scale_plan_order_ended (scaler->plan, quince_now_us (), scaler->service, &scaler->order,
                                 quince_platform_read_scale_answer (status));
  clear_order (scaler);
}

static const QuinceHttpExchangeCallbacks order_callbacks = { .done = order_done };

static void
send_order (QuinceWorkerScaler *scaler, const char *service)
{
  g_autoptr (GBytes) body = quince_platform_format_scale (service, &scaler->order);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", "platform");
  quince_platform_write_leader_headers (headers, scaler->holder,
                                        quince_ledger_node_get_epoch (scaler->ledger));
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = QUINCE_PLATFORM_SCALE_TARGET,
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = CALL_TIMEOUT_US,
                                      .max_body_bytes = QUINCE_HTTP_UNUSED_BODY_MAX_BYTES,
                                      .send_by_us = quince_now_us () + CALL_TIMEOUT_US };
  scaler->service = g_strdup (service);
  scaler->exchange = quince_http_pool_start (scaler->platform, &request, &order_callbacks, scaler);
}

/* ---- Counts of workers ---------------------------------------------------- */

static QuinceZoneWorkers *
find_zone_workers (GArray *zones, const char *zone)
{
  for (guint i = 0; i < zones->len; i++)
    if (g_str_equal (g_array_index (zones, QuinceZoneWorkers, i).zone, zone))
      return &g_array_index (zones, QuinceZoneWorkers, i);
  QuinceZoneWorkers added = { .zone = zone };
  g_array_append_val (zones, added);
  return &g_array_index (zones, QuinceZoneWorkers, zones->len - 1);
}

/* Counts the serving workers of each zone.  A worker whose entry disappeared during an outage of the store
 * also counts while it is in the table, since it is probably running.
 * Returns (transfer full) (element-type QuinceZoneWorkers) */
static GArray *
count_workers (QuinceWorkerScaler *scaler, const QuinceService *service)
{
  const QuinceZoneTable *evacuated = quince_backends_get_zones (scaler->backends);
  QuinceWorkerTable *table = quince_backends_get_workers (scaler->backends);
  g_autoptr (GPtrArray) workers = quince_worker_table_list (table, service->name);
  GArray *zones = g_array_new (FALSE, FALSE, sizeof (QuinceZoneWorkers));
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      QuinceZoneWorkers *zone = find_zone_workers (zones, worker->zone);
      zone->evacuated = quince_zone_table_is_evacuated (evacuated, worker->zone);
      if (worker->draining || zone->evacuated)
        continue;
      zone->serving++;
      zone->spot += worker->is_spot;
    }
  return zones;
}

/* Returns the number of workers that the open samples need to meet their deadlines.  Returns 0 without
 * counting if this replica does not lead, no worker is lost, or the slots of a worker are unknown. */
static guint
get_workers_needed (QuinceWorkerScaler *scaler, const QuinceService *service)
{
  if (!scaler->leads || service->slots == 0 || quince_scale_plan_get_lost (scaler->plan, service->name) == 0)
    return 0;
  return (guint)ceil (scaler->get_slots_needed (service->name, scaler->user_data) / service->slots);
}

static void
step_service (QuinceWorkerScaler *scaler, const QuinceService *service)
{
  g_autoptr (GArray) zones = count_workers (scaler, service);
  gboolean may_order
      = scaler->leads && scaler->exchange == NULL && quince_ledger_node_may_order (scaler->ledger);
  guint needed = get_workers_needed (scaler, service);
  if (quince_scale_plan_step (scaler->plan, quince_now_us (), service, zones, needed,
                              may_order ? &scaler->order : NULL))
    send_order (scaler, service->name);
  g_autofree char *labels = g_strdup_printf ("service=\"%s\"", service->name);
  quince_metric_set ("quince_replica_workers_needed", labels, needed);
  quince_metric_set ("quince_replica_workers_lost", labels,
                     quince_scale_plan_get_lost (scaler->plan, service->name));
}

void
quince_worker_scaler_step (QuinceWorkerScaler *scaler)
{
  QuinceRouteTable *routes = quince_observer_get_routes (scaler->observer);
  gint64 now = quince_now_us ();
  if (now < scaler->next_check_us || routes == NULL || !quince_observer_is_synced (scaler->observer))
    return;
  scaler->next_check_us = now + CHECK_INTERVAL_US;
  for (guint i = 0; i < quince_route_table_get_n_services (routes); i++)
    {
      const QuinceService *service = quince_route_table_get_service (routes, i);
      if (service->scaling != NULL)
        step_service (scaler, service);
    }
}

/* ---- Leadership and construction ---------------------------------------- */

void
quince_worker_scaler_start_leading (QuinceWorkerScaler *scaler)
{
  scaler->leads = TRUE;
  quince_scale_plan_start_leading (scaler->plan, quince_now_us ());
}

void
quince_worker_scaler_stop_leading (QuinceWorkerScaler *scaler)
{
  scaler->leads = FALSE;
  if (scaler->exchange != NULL)
    quince_http_exchange_cancel (scaler->exchange);
  scaler->exchange = NULL;
  clear_order (scaler);
}

QuinceWorkerScaler *
quince_worker_scaler_new (const QuinceWorkerScalerOptions *options, gpointer user_data)
{
  QuinceWorkerScaler *scaler = g_new0 (QuinceWorkerScaler, 1);
  scaler->ledger = options->ledger;
  scaler->backends = options->backends;
  scaler->observer = options->observer;
  scaler->get_slots_needed = options->get_slots_needed;
  scaler->user_data = user_data;
  scaler->holder = g_strdup (options->holder);
  scaler->platform = quince_http_pool_new (options->address);
  scaler->plan = quince_scale_plan_new ();
  return scaler;
}

void
quince_worker_scaler_free (QuinceWorkerScaler *scaler)
{
  if (scaler == NULL)
    return;
  quince_worker_scaler_stop_leading (scaler);
  quince_scale_plan_free (scaler->plan);
  quince_http_pool_unref (scaler->platform);
  g_free (scaler->holder);
  g_free (scaler);
}
