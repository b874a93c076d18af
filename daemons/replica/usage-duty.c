/*
 * usage-duty.c: usage of tenants, from what fronts tell to the platform's acknowledgement.
 */
#include "usage-duty.h"

#include "core/duties/agreed-clock.h"
#include "http1/http-client.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"
#include "core/duties/usage-book.h"

#include "platform.h"

/* A window is closed when this part of the time is over in which its report is due: what is left is for the
 * election of another leader, which orders nothing for 3.2 s, and for a platform that is away. */
#define CLOSE_SHARE 0.5
/* A new leader closes no window until the fronts have had time to link again (1.2 s to give up on the former
 * leader, 0.15 s to link) and to report; what is reported for a closed window is lost. */
#define FRONTS_TELL_US (1500 * 1000)
/* An answer usually takes some ms; a call that is slower may have been taken, and is made again. */
#define CALL_TIMEOUT_US (1500 * 1000)
/* After a failed call, doubled with each failure in a row: a platform that is away is asked a few times in
 * the time in which a report is due. */
#define RETRY_MIN_US (300 * 1000)
#define RETRY_MAX_US (2400 * 1000)

/* What one front told and is not part of a record yet. */
typedef struct
{
  guint64 source;
  guint64 told;     /* greatest sequence that was told */
  QuinceLink *link; /* owned (nullable): where to acknowledge */
  GArray *events;   /* QuinceUsageEvent, owned texts */
} Source;

struct _QuinceUsageDuty
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;
  char *holder;
  guint64 window_ms;
  guint64 close_delay_ms;
  QuinceHttpPool *platform;
  QuinceAgreedClock *clock;
  QuinceUsageBook *book; /* NULL: not leading */
  GHashTable *sources;   /* source (guint64) to Source, owned */
  gboolean leads;
  gint64 close_after_us; /* by then all fronts have told what they kept; 0: no record was taken yet */
  guint64 closing;       /* window whose closing is on its way into the ledger; 0: none */

  QuinceHttpExchange *exchange; /* the report on its way */
  guint64 sending;              /* its window */
  gboolean acknowledged;        /* the platform took it; the record that says so is on its way */
  gint64 not_before_us;
  gint64 retry_us; /* pause after the next failure */
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
  Source *source = data;
  g_clear_pointer (&source->link, quince_link_unref);
  g_array_unref (source->events);
  g_free (source);
}

/* ---- What fronts tell --------------------------------------------------- */

static Source *
find_source (QuinceUsageDuty *duty, guint64 id)
{
  Source *source = g_hash_table_lookup (duty->sources, &id);
  if (source != NULL)
    return source;
  source = g_new0 (Source, 1);
  source->source = id;
  source->told = quince_usage_book_get_sequence (duty->book, id);
  source->events = g_array_new (FALSE, TRUE, sizeof (QuinceUsageEvent));
  g_array_set_clear_func (source->events, clear_event);
  g_hash_table_insert (duty->sources, &source->source, source);
  return source;
}

static void
acknowledge (QuinceUsageDuty *duty, const Source *source)
{
  guint64 sequence = quince_usage_book_get_sequence (duty->book, source->source);
  if (source->link == NULL || sequence == 0)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_USAGE_ACK };
  message.QuinceMessage_u.usage_ack.source = source->source;
  message.QuinceMessage_u.usage_ack.sequence = sequence;
  quince_link_send (source->link, &message);
}

void
quince_usage_duty_take_report (QuinceUsageDuty *duty, QuinceLink *link, const QuinceUsageReport *report)
{
  if (!duty->leads)
    return;
  gint64 now_ms = quince_now_us () / 1000;
  quince_agreed_clock_note (duty->clock, report->source, now_ms, (gint64)report->wall_ms);
  gint64 wall_ms = quince_agreed_clock_get (duty->clock, now_ms, quince_wall_ms ());
  Source *source = find_source (duty, report->source);
  if (source->link != link)
    {
      g_clear_pointer (&source->link, quince_link_unref);
      source->link = quince_link_ref (link);
      acknowledge (duty, source); /* the answer of a former link may be lost */
    }
  for (guint i = 0; i < report->events.events_len; i++)
    {
      const QuinceUsageTold *told = &report->events.events_val[i];
      if (told->sequence <= source->told)
        continue;
      source->told = told->sequence;
      QuinceUsageEvent event = { .sequence = told->sequence,
                                 .tenant = quince_string (told->tenant),
                                 .begun_ms = (u_quad_t)MAX (wall_ms - (gint64)told->age_ms, 0) };
      g_array_append_val (source->events, event);
    }
}

void
quince_usage_duty_link_closed (QuinceUsageDuty *duty, QuinceLink *link)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, duty->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Source *)value)->link == link)
      g_clear_pointer (&((Source *)value)->link, quince_link_unref);
}

/* All that was told since the last record becomes one more. */
static void
keep_events (QuinceUsageDuty *duty)
{
  g_autoptr (GArray) sources = g_array_new (FALSE, FALSE, sizeof (QuinceUsageEvents));
  g_autoptr (GPtrArray) kept = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, duty->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Source *source = value;
      if (source->events->len == 0)
        continue;
      QuinceUsageEvents wire = { .source = source->source };
      wire.events.events_val = (QuinceUsageEvent *)source->events->data;
      wire.events.events_len = source->events->len;
      g_array_append_val (sources, wire);
      g_ptr_array_add (kept, source);
    }
  if (sources->len == 0)
    return;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE };
  record.QuinceBatchRecord_u.usage.sources.sources_val = (QuinceUsageEvents *)sources->data;
  record.QuinceBatchRecord_u.usage.sources.sources_len = sources->len;
  if (quince_ledger_node_append (duty->ledger, &record) == 0)
    return; /* told again by the fronts, or kept at the next step */
  for (guint i = 0; i < kept->len; i++)
    g_array_set_size (((Source *)kept->pdata[i])->events, 0);
}

/* ---- Windows ------------------------------------------------------------ */

static void
close_window (QuinceUsageDuty *duty)
{
  gint64 now_ms = quince_now_us () / 1000;
  gint64 wall_ms = quince_agreed_clock_get (duty->clock, now_ms, quince_wall_ms ());
  if (duty->closing != 0 || quince_now_us () < duty->close_after_us)
    return;
  g_autoptr (QuinceUsageWindow) window
      = quince_usage_book_next_to_close (duty->book, (guint64)wall_ms, duty->close_delay_ms);
  if (window == NULL)
    return;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE_CLOSED };
  record.QuinceBatchRecord_u.usage_closed = *window;
  if (quince_ledger_node_append (duty->ledger, &record) != 0)
    duty->closing = window->window;
}

static void
forget_records (QuinceUsageDuty *duty)
{
  g_autoptr (GArray) indexes = quince_usage_book_take_forgettable (duty->book);
  if (indexes->len == 0)
    return;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  QuinceBatchForget *forget = &record.QuinceBatchRecord_u.forget;
  forget->batch = (char *)""; /* of no batch */
  forget->indexes.indexes_val = (u_quad_t *)indexes->data;
  forget->indexes.indexes_len = indexes->len;
  quince_ledger_node_append (duty->ledger, &record);
}

gboolean
quince_usage_duty_is_record (const QuinceBatchRecord *record)
{
  return record->kind == QUINCE_BATCH_RECORD_USAGE || record->kind == QUINCE_BATCH_RECORD_USAGE_CLOSED
         || record->kind == QUINCE_BATCH_RECORD_USAGE_SENT;
}

void
quince_usage_duty_committed (QuinceUsageDuty *duty, guint64 index, QuinceBatchRecord *record)
{
  if (duty->book == NULL)
    duty->book = quince_usage_book_new (duty->window_ms);
  quince_usage_book_apply (duty->book, index, record);
  if (record->kind == QUINCE_BATCH_RECORD_USAGE_CLOSED)
    duty->closing = 0;
  if (record->kind == QUINCE_BATCH_RECORD_USAGE_SENT)
    duty->acknowledged = FALSE;
  const QuinceUsageRecord *usage = &record->QuinceBatchRecord_u.usage;
  for (guint i = 0; record->kind == QUINCE_BATCH_RECORD_USAGE && i < usage->sources.sources_len; i++)
    {
      u_quad_t id = usage->sources.sources_val[i].source;
      const Source *source = g_hash_table_lookup (duty->sources, &id);
      if (source != NULL)
        acknowledge (duty, source);
    }
  quince_batch_record_free (record);
}

/* ---- Reports ------------------------------------------------------------ */

static void
report_failed (QuinceUsageDuty *duty)
{
  duty->not_before_us = quince_now_us () + duty->retry_us;
  duty->retry_us = MIN (2 * duty->retry_us, RETRY_MAX_US);
}

static void
report_taken (QuinceUsageDuty *duty)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_USAGE_SENT };
  record.QuinceBatchRecord_u.usage_sent = duty->sending;
  duty->retry_us = RETRY_MIN_US;
  duty->acknowledged = quince_ledger_node_append (duty->ledger, &record) != 0;
}

static void
report_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  QuinceUsageDuty *duty = data;
  duty->exchange = NULL;
  guint status = outcome == QUINCE_HTTP_ANSWERED ? quince_http_exchange_get_head (exchange)->status : 0;
  quince_log_notice ("usage_reported", "window=%" G_GUINT64_FORMAT " status=%u", duty->sending, status);
  g_autofree char *labels = g_strdup_printf ("status=\"%u\"", status);
  quince_metric_add ("quince_replica_usage_reports_total", labels, 1);
  if (status == 200)
    report_taken (duty);
  else
    report_failed (duty);
}

static const QuinceHttpExchangeCallbacks report_callbacks = { .done = report_done };

static void
send_report (QuinceUsageDuty *duty)
{
  const QuinceUsageWindow *window = quince_usage_book_next_to_send (duty->book);
  gboolean busy = duty->exchange != NULL || duty->acknowledged;
  if (window == NULL || busy || quince_now_us () < duty->not_before_us
      || !quince_ledger_node_may_order (duty->ledger))
    return;
  g_autoptr (GBytes) body = quince_platform_format_usage (window);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", "platform");
  quince_platform_write_duty (headers, duty->holder, quince_ledger_node_get_epoch (duty->ledger));
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = QUINCE_PLATFORM_USAGE_TARGET,
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = CALL_TIMEOUT_US };
  duty->sending = window->window;
  duty->exchange = quince_http_pool_start (duty->platform, &request, &report_callbacks, duty);
}

void
quince_usage_duty_step (QuinceUsageDuty *duty)
{
  if (!duty->leads || !quince_ledger_node_may_accept (duty->ledger))
    return;
  if (duty->close_after_us == 0)
    duty->close_after_us = quince_now_us () + FRONTS_TELL_US;
  keep_events (duty);
  close_window (duty);
  send_report (duty);
  forget_records (duty);
}

/* ---- Leadership ----------------------------------------------------------- */

void
quince_usage_duty_lead (QuinceUsageDuty *duty)
{
  if (duty->book == NULL)
    duty->book = quince_usage_book_new (duty->window_ms);
  duty->leads = TRUE;
  duty->closing = 0;
  duty->close_after_us = 0;
  duty->acknowledged = FALSE;
  duty->not_before_us = 0;
  duty->retry_us = RETRY_MIN_US;
}

void
quince_usage_duty_stop_leading (QuinceUsageDuty *duty)
{
  duty->leads = FALSE;
  if (duty->exchange != NULL)
    quince_http_exchange_cancel (duty->exchange);
  duty->exchange = NULL;
  g_hash_table_remove_all (duty->sources);
  g_clear_pointer (&duty->book, quince_usage_book_free);
}

QuinceUsageDuty *
quince_usage_duty_new (const QuinceUsageDutyOptions *options, QuinceLedgerNode *ledger)
{
  QuinceUsageDuty *duty = g_new0 (QuinceUsageDuty, 1);
  duty->ledger = ledger;
  duty->holder = g_strdup (options->holder);
  duty->window_ms = (guint64)options->window_us / 1000;
  duty->close_delay_ms = (guint64)(CLOSE_SHARE * (double)options->late_us / 1000);
  duty->platform = quince_http_pool_new (options->address);
  duty->clock = quince_agreed_clock_new ();
  duty->sources = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, source_free);
  return duty;
}

void
quince_usage_duty_free (QuinceUsageDuty *duty)
{
  if (duty == NULL)
    return;
  quince_usage_duty_stop_leading (duty);
  g_hash_table_unref (duty->sources);
  quince_agreed_clock_free (duty->clock);
  quince_http_pool_unref (duty->platform);
  g_free (duty->holder);
  g_free (duty);
}
