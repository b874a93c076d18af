/*
 * weight-load.c: a worker is asked for its report, ordered to load, and looked at until it has loaded.
 *
 * Each worker is asked how many orders it has taken before it gets one, and the order names that number: an
 * order that is carried out late, after others, is then refused by the worker itself.
 */
#include "weight-load.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "platform.h"

#define CALL_TIMEOUT_US (900 * 1000)
/* A load takes 0.9 s where nothing else loads, and reports lag by a tenth of a second.  Looks cost a probe
 * each; a late one keeps the worker closed and the next load waiting. */
#define FIRST_POLL_MS 900
#define NEXT_POLL_MS 80
/* A load that takes longer is given up. */
#define LOAD_MAX_US (8 * G_USEC_PER_SEC)

struct _QuinceWeightLoad
{
  /* All fields belong to the main context. */
  const QuinceWeightLoadOwner *owner;
  char *worker_id;
  char *service;
  char *model;
  guint64 version;
  gboolean retain;
  gint64 started_us;
  gint64 ordered_us; /* 0: not yet */
  QuinceHttpExchange *exchange;
  GSource *timer;
};

static void ask_report (QuinceWeightLoad *load);

static QuinceWorker *
worker_of (const QuinceWeightLoad *load)
{
  return quince_worker_table_find (quince_backends_get_workers (load->owner->backends), load->worker_id);
}

void
quince_weight_load_free (QuinceWeightLoad *load)
{
  if (load->exchange != NULL)
    quince_http_exchange_cancel (load->exchange);
  quince_source_clear (&load->timer);
  QuinceWorker *worker = worker_of (load);
  if (worker != NULL)
    worker->loading = FALSE;
  g_free (load->worker_id);
  g_free (load->service);
  g_free (load->model);
  g_free (load);
}

static void
load_end (QuinceWeightLoad *load, const char *outcome)
{
  quince_log_info ("weights_order_ended",
                   "worker=%s model=%s version=%" G_GUINT64_FORMAT " outcome=%s took_ms=%" G_GINT64_FORMAT,
                   load->worker_id, load->model, load->version, outcome,
                   (quince_now_us () - load->started_us) / 1000);
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", outcome);
  quince_metric_add ("quince_replica_orders_total", labels, 1);
  load->owner->ended (load, g_str_equal (outcome, "loaded"), load->owner->user_data);
}

static gboolean
poll_again (gpointer data)
{
  QuinceWeightLoad *load = data;
  quince_source_clear (&load->timer);
  ask_report (load);
  return G_SOURCE_REMOVE;
}

static void
poll_later (QuinceWeightLoad *load, guint wait_ms)
{
  quince_source_clear (&load->timer);
  load->timer = quince_timer_add (wait_ms, poll_again, load);
}

static void
order_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceWeightLoad *load = data;
  load->exchange = NULL;
  guint status = outcome == QUINCE_HTTP_ANSWERED ? quince_http_exchange_get_head (exchange)->status : 0;
  quince_log_info ("weights_order", "worker=%s model=%s version=%" G_GUINT64_FORMAT " status=%u",
                   load->worker_id, load->model, load->version, status);
  if (status == 202 || status == 200)
    poll_later (load, status == 202 ? FIRST_POLL_MS : 1);
  else if (outcome == QUINCE_HTTP_BROKEN)
    poll_later (load, NEXT_POLL_MS); /* it may have been taken */
  else
    load_end (load, status == 421 ? "other_worker" : "refused");
}

static const QuinceHttpExchangeCallbacks order_callbacks = { .done = order_done };

/* Its zone is evacuated.  @worker: nullable */
static gboolean
is_evacuated (const QuinceWeightLoad *load, const QuinceWorker *worker)
{
  return worker != NULL && !quince_backends_may_send (load->owner->backends, worker);
}

static void
send_order (QuinceWeightLoad *load, guint64 orders_taken)
{
  QuinceWorker *worker = worker_of (load);
  guint64 fence = 0;
  if (quince_backends_holds_sends (load->owner->backends))
    {
      poll_later (load, NEXT_POLL_MS);
      return;
    }
  if (is_evacuated (load, worker))
    {
      load_end (load, "zone_evacuated");
      return;
    }
  if (worker == NULL || !load->owner->may_order (&fence, load->owner->user_data))
    {
      load_end (load, "not_leading");
      return;
    }
  QuincePlatformLoadMode mode = load->retain ? QUINCE_PLATFORM_LOAD_RETAIN : QUINCE_PLATFORM_LOAD_WAIT;
  g_autoptr (GBytes) body = quince_platform_format_load (load->model, load->version, mode,
                                                         load->owner->holder, fence, orders_taken);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Content-Type", "application/json");
  quince_platform_write_worker (headers, worker->id);
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = QUINCE_PLATFORM_ORDER_TARGET,
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = CALL_TIMEOUT_US };
  worker->loading = TRUE;
  load->ordered_us = quince_now_us ();
  load->exchange = quince_http_pool_start (quince_backends_get_pool (load->owner->backends, worker), &request,
                                           &order_callbacks, load);
}

static guint64
reported_version (const QuincePlatformReport *report, const char *model)
{
  for (guint i = 0; i < report->models->len; i++)
    {
      const QuinceWorkerModel *told = &g_array_index (report->models, QuinceWorkerModel, i);
      if (g_str_equal (told->name, model))
        return told->version;
    }
  return 0;
}

static void
take_report (QuinceWeightLoad *load, const QuincePlatformReport *report)
{
  guint64 version = reported_version (report, load->model);
  QuinceWorker *worker = worker_of (load);
  if (worker == NULL)
    {
      load_end (load, "worker_gone");
      return;
    }
  if (version > 0)
    quince_worker_table_set_model (quince_backends_get_workers (load->owner->backends), worker, load->model,
                                   MAX (version, quince_worker_get_version (worker, load->model)));
  if (version >= load->version && !report->busy)
    load_end (load, "loaded");
  else if (quince_now_us () - load->started_us > LOAD_MAX_US)
    load_end (load, "timeout");
  else if (report->busy)
    poll_later (load, NEXT_POLL_MS);
  else
    send_order (load, report->orders_taken);
}

static void
report_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceWeightLoad *load = data;
  load->exchange = NULL;
  QuincePlatformReport report = { 0 };
  gboolean good = outcome == QUINCE_HTTP_ANSWERED && quince_http_exchange_get_head (exchange)->status == 200
                  && quince_platform_read_report (quince_http_exchange_get_body (exchange), &report, NULL);
  if (good)
    take_report (load, &report);
  else
    load_end (load, "no_report");
  quince_platform_report_clear (&report);
}

static const QuinceHttpExchangeCallbacks report_callbacks = { .done = report_done };

static void
ask_report (QuinceWeightLoad *load)
{
  QuinceWorker *worker = worker_of (load);
  if (worker == NULL)
    {
      load_end (load, "worker_gone");
      return;
    }
  if (quince_backends_holds_sends (load->owner->backends))
    {
      poll_later (load, NEXT_POLL_MS);
      return;
    }
  if (is_evacuated (load, worker))
    {
      load_end (load, "zone_evacuated");
      return;
    }
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_platform_write_worker (headers, worker->id);
  const QuinceHttpRequest request = { .method = "GET",
                                      .target = QUINCE_PLATFORM_REPORT_TARGET,
                                      .headers = headers,
                                      .timeout_us = CALL_TIMEOUT_US };
  load->exchange = quince_http_pool_start (quince_backends_get_pool (load->owner->backends, worker), &request,
                                           &report_callbacks, load);
}

/* ---- Public ------------------------------------------------------------ */

QuinceWeightLoad *
quince_weight_load_new (const QuinceWeightLoadOwner *owner,
                        const QuinceWorker *worker,
                        const char *model,
                        guint64 version,
                        gboolean retain)
{
  QuinceWeightLoad *load = g_new0 (QuinceWeightLoad, 1);
  load->owner = owner;
  load->worker_id = g_strdup (worker->id);
  load->service = g_strdup (worker->service);
  load->model = g_strdup (model);
  load->version = version;
  load->retain = retain;
  load->started_us = quince_now_us ();
  return load;
}

void
quince_weight_load_start (QuinceWeightLoad *load)
{
  ask_report (load);
}

const char *
quince_weight_load_get_worker (const QuinceWeightLoad *load)
{
  return load->worker_id;
}

const char *
quince_weight_load_get_service (const QuinceWeightLoad *load)
{
  return load->service;
}

gint64
quince_weight_load_get_ordered_us (const QuinceWeightLoad *load)
{
  return load->ordered_us;
}
