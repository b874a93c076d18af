/*
 * weight-load.c: loads a version of a model at one worker.
 *
 * The worker's report contains the number of orders that it has accepted, and each order repeats that number.
 * The worker refuses an order with another number, so that a delayed order has no effect after later ones.
 * The record that names the worker (order-records.h) is committed while its report is requested.
 */
#include "weight-load.h"

#include "core/decisions/load-next.h"
#include "forward/retry-timer.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "platform.h"

/* Timeout of an order or of a request for a worker's report, us: about the duration of a load. */
#define CALL_TIMEOUT_US (900 * 1000)
/* Maximum size of the answer to an order, which is not used, and of a report, which lists a worker's models,
 * bytes. */
#define ORDER_ANSWER_MAX_BYTES QUINCE_HTTP_UNUSED_BODY_MAX_BYTES
#define REPORT_MAX_BYTES (1024 * 1024)

struct _QuinceWeightLoad
{
  /* All fields belong to the main context. */
  const QuinceWeightLoadContext *context;
  QuinceWorkerRef worker;
  char *service;
  char *model;
  guint64 version;
  gboolean retain;
  gint64 started_us;
  gint64 ordered_us;       /* monotonic: time of the last order; 0: none */
  gboolean awaits_record;  /* the order waits for the commit of its record; timer polls after that */
  guint64 orders_accepted; /* number of orders that the worker had accepted at its last report */
  QuinceHttpExchange *exchange;
  QuinceRetryTimer timer; /* delay until the next request for the report */
};

static QuinceWorker *
find_worker (const QuinceWeightLoad *load)
{
  return quince_worker_table_find_ref (quince_backends_get_workers (load->context->backends), &load->worker);
}

void
quince_weight_load_free (QuinceWeightLoad *load)
{
  if (load->exchange != NULL)
    quince_http_exchange_cancel (load->exchange);
  quince_retry_timer_clear (&load->timer);
  QuinceWorker *worker = find_worker (load);
  if (worker != NULL)
    worker->loading = FALSE;
  quince_worker_ref_clear (&load->worker);
  g_free (load->service);
  g_free (load->model);
  g_free (load);
}

static void
end_load (QuinceWeightLoad *load, const char *outcome)
{
  quince_log_info ("weights_order_ended",
                   "worker=%s model=%s version=%" G_GUINT64_FORMAT " outcome=%s took_ms=%" G_GINT64_FORMAT,
                   load->worker.id, load->model, load->version, outcome,
                   (quince_now_us () - load->started_us) / 1000);
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", outcome);
  quince_metric_add ("quince_replica_orders_total", labels, 1);
  load->context->ended (load, g_str_equal (outcome, QUINCE_LOAD_LOADED), load->context->user_data);
}

/* Schedules the next poll or ends the load, which frees it.  Returns %FALSE if @next is to send instead. */
static gboolean
apply_next_action (QuinceWeightLoad *load, const QuinceLoadNext *next)
{
  if (next->action == QUINCE_LOAD_NEXT_POLL)
    quince_retry_timer_set (&load->timer, next->pause_ms);
  else if (next->action == QUINCE_LOAD_NEXT_END)
    end_load (load, next->outcome);
  return next->action != QUINCE_LOAD_NEXT_ORDER;
}

static QuinceOrderAnswer
parse_order_answer (QuinceHttpOutcome outcome, guint status)
{
  switch (status)
    {
    case 202:
      return QUINCE_ORDER_ACCEPTED;
    case 200:
      return QUINCE_ORDER_ALREADY_LOADED;
    case 421:
      return QUINCE_ORDER_OTHER_WORKER;
    default:
      return outcome == QUINCE_HTTP_BROKEN ? QUINCE_ORDER_UNKNOWN : QUINCE_ORDER_REFUSED;
    }
}

static void
order_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceWeightLoad *load = data;
  load->exchange = NULL;
  guint status = outcome == QUINCE_HTTP_ANSWERED ? quince_http_exchange_get_head (exchange)->status : 0;
  quince_log_info ("weights_order", "worker=%s model=%s version=%" G_GUINT64_FORMAT " status=%u",
                   load->worker.id, load->model, load->version, status);
  const QuinceLoadNext next = quince_load_next_after_order (parse_order_answer (outcome, status));
  apply_next_action (load, &next);
}

static const QuinceHttpExchangeCallbacks order_callbacks = { .done = order_done };

/* Returns whether an order or a request for the report may be sent to @worker (nullable) now; otherwise polls
 * later or ends the load, which frees it. */
static gboolean
check_may_send (QuinceWeightLoad *load, const QuinceWorker *worker, gboolean is_order, gboolean may_order)
{
  QuinceBackends *backends = load->context->backends;
  const QuinceLoadSendInput input
      = { .holds_sends = quince_backends_holds_sends (backends),
          .evacuated = worker != NULL && !quince_backends_may_send (backends, worker),
          .is_order = is_order,
          .may_order = may_order,
          .awaits_record = load->awaits_record };
  const QuinceLoadNext next = quince_load_next_before_send (&input);
  return !apply_next_action (load, &next);
}

static void
send_order (QuinceWeightLoad *load)
{
  const QuinceWeightLoadContext *context = load->context;
  QuinceWorker *worker = find_worker (load);
  guint64 fence = 0;
  gint64 send_by_us = 0;
  gboolean may_order = worker != NULL && context->may_order (&fence, context->user_data);
  QuincePlatformLoadMode mode = load->retain ? QUINCE_PLATFORM_LOAD_RETAIN : QUINCE_PLATFORM_LOAD_WAIT;
  g_autoptr (GBytes) body = quince_platform_format_load (load->model, load->version, mode, context->holder,
                                                         fence, load->orders_accepted);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Content-Type", "application/json");
  quince_platform_write_expected_worker (headers, load->worker.id);
  /* Checked right before the send, since the process may be suspended before that. */
  may_order = may_order && quince_order_records_may_order_worker (context->records, load->worker.id);
  load->awaits_record = !quince_order_records_get_permit (context->records, load->worker.id, &send_by_us);
  if (load->awaits_record)
    quince_order_records_request (context->records, load->worker.id);
  if (!check_may_send (load, worker, TRUE, may_order))
    return;
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = QUINCE_PLATFORM_ORDER_TARGET,
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = CALL_TIMEOUT_US,
                                      .max_body_bytes = ORDER_ANSWER_MAX_BYTES,
                                      .send_by_us = send_by_us };
  worker->loading = TRUE;
  load->ordered_us = quince_now_us ();
  load->exchange = quince_http_pool_start (quince_backends_get_pool (load->context->backends, worker),
                                           &request, &order_callbacks, load);
}

static guint64
get_reported_version (const QuincePlatformReport *report, const char *model)
{
  for (guint i = 0; i < report->models->len; i++)
    {
      const QuinceWorkerModel *model_report = &g_array_index (report->models, QuinceWorkerModel, i);
      if (g_str_equal (model_report->name, model))
        return model_report->version;
    }
  return 0;
}

static void
handle_worker_report (QuinceWeightLoad *load, const QuincePlatformReport *report)
{
  guint64 version = get_reported_version (report, load->model);
  QuinceWorker *worker = find_worker (load);
  if (worker == NULL)
    {
      end_load (load, "worker_gone");
      return;
    }
  if (version > 0)
    quince_worker_table_set_model (quince_backends_get_workers (load->context->backends), worker, load->model,
                                   MAX (version, quince_worker_get_version (worker, load->model)));
  const QuinceLoadReport input = { .loaded_version = version,
                                   .target_version = load->version,
                                   .busy = report->busy,
                                   .elapsed_us = quince_now_us () - load->started_us };
  const QuinceLoadNext next = quince_load_next_after_report (&input);
  load->orders_accepted = report->orders_accepted;
  if (!apply_next_action (load, &next))
    send_order (load);
}

static void
report_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceWeightLoad *load = data;
  load->exchange = NULL;
  QuincePlatformReport report = { 0 };
  gboolean success = outcome == QUINCE_HTTP_ANSWERED
                     && quince_http_exchange_get_head (exchange)->status == 200
                     && quince_platform_read_report (quince_http_exchange_get_body (exchange), &report, NULL);
  if (success)
    handle_worker_report (load, &report);
  else
    end_load (load, "no_report");
  quince_platform_report_clear (&report);
}

static const QuinceHttpExchangeCallbacks report_callbacks = { .done = report_done };

static void
request_report (gpointer data)
{
  QuinceWeightLoad *load = data;
  QuinceWorker *worker = find_worker (load);
  load->awaits_record = FALSE;
  if (worker == NULL)
    {
      end_load (load, "worker_gone");
      return;
    }
  if (!check_may_send (load, worker, FALSE, FALSE))
    return;
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_platform_write_expected_worker (headers, worker->id);
  const QuinceHttpRequest request = { .method = "GET",
                                      .target = QUINCE_PLATFORM_REPORT_TARGET,
                                      .headers = headers,
                                      .timeout_us = CALL_TIMEOUT_US,
                                      .max_body_bytes = REPORT_MAX_BYTES };
  load->exchange = quince_http_pool_start (quince_backends_get_pool (load->context->backends, worker),
                                           &request, &report_callbacks, load);
}

/* ---- Public ------------------------------------------------------------ */

QuinceWeightLoad *
quince_weight_load_new (const QuinceWeightLoadContext *context,
                        const QuinceWorker *worker,
                        const char *model,
                        guint64 version,
                        gboolean retain)
{
  QuinceWeightLoad *load = g_new0 (QuinceWeightLoad, 1);
  load->context = context;
  load->service = g_strdup (worker->service);
  load->model = g_strdup (model);
  load->version = version;
  load->retain = retain;
  load->started_us = quince_now_us ();
  quince_worker_ref_set (&load->worker, worker, load->started_us);
  quince_retry_timer_init (&load->timer, request_report, load);
  return load;
}

void
quince_weight_load_start (QuinceWeightLoad *load)
{
  quince_order_records_request (load->context->records, load->worker.id);
  request_report (load);
}

void
quince_weight_load_handle_commit (QuinceWeightLoad *load)
{
  gint64 send_by_us;
  if (!load->awaits_record
      || !quince_order_records_get_permit (load->context->records, load->worker.id, &send_by_us))
    return;
  quince_retry_timer_clear (&load->timer);
  send_order (load);
}

const char *
quince_weight_load_get_worker (const QuinceWeightLoad *load)
{
  return load->worker.id;
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
