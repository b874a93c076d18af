/*
 * usage-reporter.c: reports the requests that workers started, with their tenants, to the ledger's leader.
 */
#include "usage-reporter.h"

#include "runtime/metrics.h"
#include "runtime/clock.h"

/* Maximum number of unacknowledged requests: some minutes of a busy front (60 requests per second), about 100
 * bytes each.  Beyond it the oldest are dropped; their usage windows are over by then. */
#define UNACKNOWLEDGED_MAX 20000
/* Maximum number of requests in a message of about 100 KB.  quince_usage_reporter_resend_overdue() sends the
 * rest after these are acknowledged. */
#define REPORT_EVENTS_MAX 2000
/* Time without an acknowledgement after which requests are reported again, us.  The leader appends them to
 * its log every 0.2 s, and then acknowledges them. */
#define ACK_TIMEOUT_US (1000 * 1000)

typedef struct
{
  guint64 sequence;
  char *tenant;
  gint64 begun_us; /* monotonic */
} StartEvent;

struct _QuinceUsageReporter
{
  /* All fields belong to the main context. */
  guint64 source; /* random id of this process */
  guint64 last_sequence;
  GQueue events;            /* StartEvent, owned: unacknowledged, oldest first */
  QuinceLink *link;         /* owned (nullable): to the leader */
  gint64 ack_wait_since_us; /* monotonic: the last report of all events or the last acknowledgement */
};

static void
start_event_free (gpointer data)
{
  StartEvent *event = data;
  g_free (event->tenant);
  g_free (event);
}

QuinceUsageReporter *
quince_usage_reporter_new (void)
{
  QuinceUsageReporter *reporter = g_new0 (QuinceUsageReporter, 1);
  reporter->source = (guint64)g_random_int () << 32 | g_random_int ();
  g_queue_init (&reporter->events);
  return reporter;
}

void
quince_usage_reporter_free (QuinceUsageReporter *reporter)
{
  if (reporter == NULL)
    return;
  quince_usage_reporter_unlinked (reporter);
  g_queue_clear_full (&reporter->events, start_event_free);
  g_free (reporter);
}

/* Sends the events from @first on, at most REPORT_EVENTS_MAX. */
static void
send_events_from (QuinceUsageReporter *reporter, GList *first)
{
  gint64 now = quince_now_us ();
  g_autoptr (GArray) starts = g_array_new (FALSE, FALSE, sizeof (QuinceUsageStart));
  for (GList *at = first; at != NULL && starts->len < REPORT_EVENTS_MAX; at = at->next)
    {
      const StartEvent *event = at->data;
      QuinceUsageStart wire = { .sequence = event->sequence,
                                .tenant = event->tenant,
                                .age_ms = (u_quad_t)MAX (now - event->begun_us, 0) / 1000 };
      g_array_append_val (starts, wire);
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_USAGE_REPORT };
  QuinceUsageReport *report = &message.QuinceMessage_u.usage_report;
  report->source = reporter->source;
  report->wall_ms = (u_quad_t)quince_wall_ms ();
  report->events.events_val = (QuinceUsageStart *)starts->data;
  report->events.events_len = starts->len;
  quince_link_send (reporter->link, &message);
}

void
quince_usage_reporter_record_start (QuinceUsageReporter *reporter, const char *tenant, gint64 begun_us)
{
  StartEvent *event = g_new0 (StartEvent, 1);
  event->sequence = ++reporter->last_sequence;
  event->tenant = g_strdup (tenant);
  event->begun_us = begun_us;
  g_queue_push_tail (&reporter->events, event);
  if (g_queue_get_length (&reporter->events) > UNACKNOWLEDGED_MAX)
    {
      start_event_free (g_queue_pop_head (&reporter->events));
      quince_metric_add ("quince_front_usage_dropped_total", "", 1);
    }
  /* The leader requires events in order of their sequence numbers.  While more are unacknowledged than one
   * message holds, this one waits for a later report. */
  if (reporter->link != NULL && g_queue_get_length (&reporter->events) <= REPORT_EVENTS_MAX)
    send_events_from (reporter, g_queue_peek_tail_link (&reporter->events));
}

static void
report_all (QuinceUsageReporter *reporter)
{
  reporter->ack_wait_since_us = quince_now_us ();
  if (reporter->link != NULL && !g_queue_is_empty (&reporter->events))
    send_events_from (reporter, g_queue_peek_head_link (&reporter->events));
}

void
quince_usage_reporter_linked (QuinceUsageReporter *reporter, QuinceLink *leader)
{
  quince_usage_reporter_unlinked (reporter);
  reporter->link = quince_link_ref (leader);
  report_all (reporter);
}

void
quince_usage_reporter_resend_overdue (QuinceUsageReporter *reporter)
{
  const StartEvent *oldest = g_queue_peek_head (&reporter->events);
  gint64 unacknowledged_since_us
      = oldest != NULL ? MAX (oldest->begun_us, reporter->ack_wait_since_us) : G_MAXINT64;
  if (quince_now_us () - ACK_TIMEOUT_US > unacknowledged_since_us)
    report_all (reporter);
}

void
quince_usage_reporter_unlinked (QuinceUsageReporter *reporter)
{
  g_clear_pointer (&reporter->link, quince_link_unref);
}

void
quince_usage_reporter_handle_ack (QuinceUsageReporter *reporter, const QuinceUsageAck *ack)
{
  if (ack->source != reporter->source)
    return;
  reporter->ack_wait_since_us = quince_now_us ();
  for (StartEvent *event = g_queue_peek_head (&reporter->events);
       event != NULL && event->sequence <= ack->sequence; event = g_queue_peek_head (&reporter->events))
    start_event_free (g_queue_pop_head (&reporter->events));
}
