/*
 * usage-collector.c: collects the usage of tenants from the fronts and reports it to the platform.
 */
#include "usage-collector.h"

#include "core/usage/agreed-clock.h"
#include "http1/http-client.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"
#include "core/usage/usage-aggregator.h"

#include "platform.h"

/* Fraction of the time for a report after which its window is closed.  The rest is for the election of a new
 * leader, which sends no orders at first, and for an outage of the platform.  By default these start 3.2 s
 * after the election. */
#define CLOSE_DELAY_FRACTION 0.5
/* Time for which a new leader closes no window, us.  Fronts must first detect the loss of the former leader,
 * reconnect and report: events of a closed window are lost. */
#define FRONT_REPORTS_WAIT_US (1500 * 1000)
/* Timeout of a call to the platform, us.  A call that times out is repeated, although the platform may have
 * accepted it. */
#define CALL_TIMEOUT_US (1500 * 1000)
/* Initial retry delay of a failed call, us.  It doubles with each further failure.  Allows several attempts
 * before the report is late. */
#define RETRY_DELAY_MIN_US (300 * 1000)
/* Maximum retry delay, us.  It is the initial delay doubled three times. */
#define RETRY_DELAY_MAX_US (2400 * 1000)
/* HTTP status of an accepted report. */
#define REPORT_ACCEPTED_STATUS 200

/* Events that one front reported and that are not in a record yet. */
typedef struct
{
  guint64 id;
  guint64 last_reported_sequence; /* highest sequence number that was reported */
  QuinceLink *link;               /* owned (nullable): link for acknowledgements */
  GArray *events;                 /* owned: QuinceUsageEvent with owned strings */
} UsageSource;

struct _QuinceUsageCollector
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;
  char *holder;
  guint64 window_ms;
  guint64 close_delay_ms;
  QuinceHttpPool *platform;
  QuinceAgreedClock *clock;
  QuinceUsageAggregator *aggregator; /* NULL: not leading, and no record was applied */
  GHashTable *sources;               /* id (guint64) to UsageSource, owned */
  gboolean leads;
  gint64 earliest_close_us; /* monotonic: earliest time to close a window; 0: not set yet */
  guint64 closing_window;   /* window whose closing record is not committed yet; 0: none */

  QuinceHttpExchange *exchange; /* the report in flight; NULL: none */
  guint64 reporting_window;     /* window of the last report that was sent */
  gboolean acknowledged;        /* the platform accepted it; the record of this is not committed yet */
  gint64 next_report_us;        /* monotonic: earliest time of the next report */
  gint64 retry_delay_us;        /* delay after the next failure */
};

static void
clear_event (gpointer data)
{
  QuinceUsageEvent *event = data;
  g_clear_pointer (&event->tenant, g_free);
}

static void
source_free (gpointer data)
{
  UsageSource *source = data;
  g_clear_pointer (&source->link, quince_link_unref);
  g_array_unref (source->events);
  g_free (source);
}

/* ---- Reports of fronts ---------------------------------------------------- */

static UsageSource *
find_source (QuinceUsageCollector *collector, guint64 id)
{
  UsageSource *source = g_hash_table_lookup (collector->sources, &id);
  if (source != NULL)
    return source;
  source = g_new0 (UsageSource, 1);
  source->id = id;
  source->last_reported_sequence = quince_usage_aggregator_get_sequence (collector->aggregator, id);
  source->events = g_array_new (FALSE, TRUE, sizeof (QuinceUsageEvent));
  g_array_set_clear_func (source->events, clear_event);
  g_hash_table_insert (collector->sources, &source->id, source);
  return source;
}

static void
acknowledge (QuinceUsageCollector *collector, const UsageSource *source)
{
  guint64 sequence = quince_usage_aggregator_get_sequence (collector->aggregator, source->id);
  if (source->link == NULL || sequence == 0)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_USAGE_ACK };
  message.QuinceMessage_u.usage_ack.source = source->id;
  message.QuinceMessage_u.usage_ack.sequence = sequence;
  quince_link_send (source->link, &message);
}

void
quince_usage_collector_handle_report (QuinceUsageCollector *collector,
                                      QuinceLink *link,
                                      const QuinceUsageReport *report)
{
  if (!collector->leads)
    return;
  gint64 now_ms = quince_now_us () / 1000;
  quince_agreed_clock_add_report (collector->clock, report->source, now_ms, (gint64)report->wall_ms);
  gint64 wall_ms = quince_agreed_clock_get (collector->clock, now_ms, quince_wall_ms ());
  UsageSource *source = find_source (collector, report->source);
  if (source->link != link)
    {
      g_clear_pointer (&source->link, quince_link_unref);
      source->link = quince_link_ref (link);
      acknowledge (collector, source); /* the acknowledgement on the former link may be lost */
    }
  for (guint i = 0; i < report->events.events_len; i++)
    {
      const QuinceUsageStart *start = &report->events.events_val[i];
      if (start->sequence <= source->last_reported_sequence)
        continue;
      source->last_reported_sequence = start->sequence;
      QuinceUsageEvent event = { .sequence = start->sequence,
                                 .tenant = quince_string (start->tenant),
                                 .begun_ms = (u_quad_t)MAX (wall_ms - (gint64)start->age_ms, 0) };
      g_array_append_val (source->events, event);
    }
}

void
quince_usage_collector_link_closed (QuinceUsageCollector *collector, QuinceLink *link)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, collector->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((UsageSource *)value)->link == link)
      g_clear_pointer (&((UsageSource *)value)->link, quince_link_unref);
}

/* Appends all events that were reported since the last record as one record. */
static void
append_usage_record (QuinceUsageCollector *collector)
{
  g_autoptr (GArray) sources = g_array_new (FALSE, FALSE, sizeof (QuinceUsageEvents));
  g_autoptr (GPtrArray) appended = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, collector->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      UsageSource *source = value;
      if (source->events->len == 0)
        continue;
      QuinceUsageEvents source_events = { .source = source->id };
      source_events.events.events_val = (QuinceUsageEvent *)source->events->data;
      source_events.events.events_len = source->events->len;
      g_array_append_val (sources, source_events);
      g_ptr_array_add (appended, source);
    }
  if (sources->len == 0)
    return;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE };
  record.QuinceBatchRecord_u.usage.sources.sources_val = (QuinceUsageEvents *)sources->data;
  record.QuinceBatchRecord_u.usage.sources.sources_len = sources->len;
  if (quince_ledger_node_append (collector->ledger, &record) == 0)
    return; /* appended at the next step, or reported again by the fronts to a new leader */
  for (guint i = 0; i < appended->len; i++)
    g_array_set_size (((UsageSource *)appended->pdata[i])->events, 0);
}

/* ---- Windows ------------------------------------------------------------ */

static void
close_window (QuinceUsageCollector *collector)
{
  gint64 now_ms = quince_now_us () / 1000;
  gint64 wall_ms = quince_agreed_clock_get (collector->clock, now_ms, quince_wall_ms ());
  if (collector->closing_window != 0 || quince_now_us () < collector->earliest_close_us)
    return;
  g_autoptr (QuinceUsageWindow) window = quince_usage_aggregator_next_to_close (
      collector->aggregator, (guint64)wall_ms, collector->close_delay_ms);
  if (window == NULL)
    return;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE_CLOSED };
  record.QuinceBatchRecord_u.usage_closed = *window;
  if (quince_ledger_node_append (collector->ledger, &record) != 0)
    collector->closing_window = window->window;
}

static void
append_forget_record (QuinceUsageCollector *collector)
{
  g_autoptr (GArray) indexes = quince_usage_aggregator_take_obsolete (collector->aggregator);
  if (indexes->len == 0)
    return;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  QuinceBatchForget *forget = &record.QuinceBatchRecord_u.forget;
  forget->batch = (char *)""; /* the record belongs to no batch */
  forget->indexes.indexes_val = (u_quad_t *)indexes->data;
  forget->indexes.indexes_len = indexes->len;
  quince_ledger_node_append (collector->ledger, &record);
}

gboolean
quince_usage_collector_is_record (const QuinceBatchRecord *record)
{
  return record->kind == QUINCE_BATCH_RECORD_USAGE || record->kind == QUINCE_BATCH_RECORD_USAGE_CLOSED
         || record->kind == QUINCE_BATCH_RECORD_USAGE_SENT;
}

void
quince_usage_collector_apply_record (QuinceUsageCollector *collector,
                                     guint64 index,
                                     QuinceBatchRecord *record)
{
  if (collector->aggregator == NULL)
    collector->aggregator = quince_usage_aggregator_new (collector->window_ms);
  quince_usage_aggregator_apply (collector->aggregator, index, record);
  if (record->kind == QUINCE_BATCH_RECORD_USAGE_CLOSED)
    collector->closing_window = 0;
  if (record->kind == QUINCE_BATCH_RECORD_USAGE_SENT)
    collector->acknowledged = FALSE;
  const QuinceUsageRecord *usage = &record->QuinceBatchRecord_u.usage;
  for (guint i = 0; record->kind == QUINCE_BATCH_RECORD_USAGE && i < usage->sources.sources_len; i++)
    {
      u_quad_t id = usage->sources.sources_val[i].source;
      const UsageSource *source = g_hash_table_lookup (collector->sources, &id);
      if (source != NULL)
        acknowledge (collector, source);
    }
  quince_batch_record_free (record);
}

/* ---- Reports to the platform ------------------------------------------------ */

static void
schedule_report_retry (QuinceUsageCollector *collector)
{
  collector->next_report_us = quince_now_us () + collector->retry_delay_us;
  collector->retry_delay_us = MIN (2 * collector->retry_delay_us, RETRY_DELAY_MAX_US);
}

static void
handle_report_accepted (QuinceUsageCollector *collector)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE_SENT };
  record.QuinceBatchRecord_u.usage_sent = collector->reporting_window;
  collector->retry_delay_us = RETRY_DELAY_MIN_US;
  collector->acknowledged = quince_ledger_node_append (collector->ledger, &record) != 0;
}

static void
report_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceUsageCollector *collector = data;
  collector->exchange = NULL;
  guint status = outcome == QUINCE_HTTP_ANSWERED ? quince_http_exchange_get_head (exchange)->status : 0;
  quince_log_notice ("usage_reported", "window=%" G_GUINT64_FORMAT " status=%u", collector->reporting_window,
                     status);
  g_autofree char *labels = g_strdup_printf ("status=\"%u\"", status);
  quince_metric_add ("quince_replica_usage_reports_total", labels, 1);
  if (status == REPORT_ACCEPTED_STATUS)
    handle_report_accepted (collector);
  else
    schedule_report_retry (collector);
}

static const QuinceHttpExchangeCallbacks report_callbacks = { .done = report_done };

static void
send_report (QuinceUsageCollector *collector)
{
  const QuinceUsageWindow *window = quince_usage_aggregator_next_to_send (collector->aggregator);
  gboolean report_pending = collector->exchange != NULL || collector->acknowledged;
  if (window == NULL || report_pending || quince_now_us () < collector->next_report_us
      || !quince_ledger_node_may_order (collector->ledger))
    return;
  g_autoptr (GBytes) body = quince_platform_format_usage (window);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", "platform");
  quince_platform_write_leader_headers (headers, collector->holder,
                                        quince_ledger_node_get_epoch (collector->ledger));
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = QUINCE_PLATFORM_USAGE_TARGET,
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = CALL_TIMEOUT_US,
                                      .max_body_bytes = QUINCE_HTTP_UNUSED_BODY_MAX_BYTES };
  collector->reporting_window = window->window;
  collector->exchange = quince_http_pool_start (collector->platform, &request, &report_callbacks, collector);
}

void
quince_usage_collector_step (QuinceUsageCollector *collector)
{
  if (!collector->leads || !quince_ledger_node_may_accept (collector->ledger))
    return;
  if (collector->earliest_close_us == 0)
    collector->earliest_close_us = quince_now_us () + FRONT_REPORTS_WAIT_US;
  append_usage_record (collector);
  close_window (collector);
  send_report (collector);
  append_forget_record (collector);
}

/* ---- Leadership ----------------------------------------------------------- */

void
quince_usage_collector_start_leading (QuinceUsageCollector *collector)
{
  if (collector->aggregator == NULL)
    collector->aggregator = quince_usage_aggregator_new (collector->window_ms);
  collector->leads = TRUE;
  collector->closing_window = 0;
  collector->earliest_close_us = 0;
  collector->acknowledged = FALSE;
  collector->next_report_us = 0;
  collector->retry_delay_us = RETRY_DELAY_MIN_US;
}

void
quince_usage_collector_stop_leading (QuinceUsageCollector *collector)
{
  collector->leads = FALSE;
  if (collector->exchange != NULL)
    quince_http_exchange_cancel (collector->exchange);
  collector->exchange = NULL;
  g_hash_table_remove_all (collector->sources);
  g_clear_pointer (&collector->aggregator, quince_usage_aggregator_free);
}

QuinceUsageCollector *
quince_usage_collector_new (const QuinceUsageCollectorOptions *options, QuinceLedgerNode *ledger)
{
  QuinceUsageCollector *collector = g_new0 (QuinceUsageCollector, 1);
  collector->ledger = ledger;
  collector->holder = g_strdup (options->holder);
  collector->window_ms = (guint64)options->window_us / 1000;
  collector->close_delay_ms = (guint64)(CLOSE_DELAY_FRACTION * (double)options->late_us / 1000);
  collector->platform = quince_http_pool_new (options->address);
  collector->clock = quince_agreed_clock_new ();
  collector->sources = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, source_free);
  return collector;
}

void
quince_usage_collector_free (QuinceUsageCollector *collector)
{
  if (collector == NULL)
    return;
  quince_usage_collector_stop_leading (collector);
  g_hash_table_unref (collector->sources);
  quince_agreed_clock_free (collector->clock);
  quince_http_pool_unref (collector->platform);
  g_free (collector->holder);
  g_free (collector);
}
