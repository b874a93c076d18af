/*
 * log-vocabulary.c: checks the event of a log line against the list of events that the daemons log.
 *
 * docs/OPERATIONS.md explains each event.  scripts/check-names.sh fails if the list differs from that page or
 * from the events in the code.
 */
#include "log-line.h"

#include <string.h>

static const char *const vocabulary[] = {
  "answer_too_large",
  "answer_unmatched",
  "backup_joined",
  "backup_left",
  "batch_ended",
  "batch_forgotten",
  "batch_refused",
  "batch_taken",
  "call_refused",
  "caller_left",
  "caller_limits",
  "configuration",
  "configuration_unreadable",
  "connection_evicted",
  "connection_not_accepted",
  "connections_full",
  "connections_not_ignored",
  "dependency_lost",
  "dependency_regained",
  "disk_opened",
  "entry_refused",
  "event_deleted",
  "event_known",
  "feed_begun",
  "feed_ended",
  "feed_relay",
  "feed_relay_lost",
  "front_changed",
  "front_heard",
  "front_ready",
  "front_silent",
  "hedge_denied",
  "item_refused",
  "lease_lost",
  "ledger_available",
  "ledger_confined",
  "ledger_disk_failed",
  "ledger_lead_told",
  "ledger_led_without_store",
  "ledger_primary",
  "ledger_record_refused",
  "ledger_record_unreadable",
  "ledger_recovered",
  "ledger_role",
  "ledger_unavailable",
  "library_message",
  "list_begun",
  "log_lines_left_out",
  "machine_emptied",
  "machine_leaving",
  "orders_allowed",
  "outside_disk_cleared",
  "place_not_removed",
  "place_not_written",
  "policy_failed",
  "policy_in_force",
  "progress_copy",
  "progress_disk_failed",
  "progress_taken",
  "promise_given",
  "promise_got",
  "reload_refused",
  "reloaded",
  "request_answered",
  "request_head_changed",
  "request_refused",
  "request_retried",
  "request_unreadable",
  "residency_unmet",
  "result_refused",
  "result_unreadable",
  "run_lost",
  "sample_abandoned",
  "sample_dispatched",
  "sample_done",
  "sample_run_ended",
  "sends_withdrawn",
  "share_names_full",
  "start_failed",
  "step_ended",
  "stopped",
  "stopping",
  "suspect_cleared",
  "suspect_held",
  "suspect_postponed",
  "suspect_released",
  "suspect_send_checked",
  "suspect_sent",
  "suspect_spared",
  "suspect_told",
  "suspended",
  "tenant_limited",
  "usage_reported",
  "version_named",
  "view_not_encoded",
  "view_proposal_ended",
  "view_proposed",
  "weights_order",
  "weights_order_ended",
  "worker_changed",
  "worker_doubted",
  "worker_ended",
  "worker_gone",
  "worker_returned",
  "worker_warmth",
  "workers_ordered",
  "zone_evacuated",
  "zone_returned",
};

static gboolean
is_known_event (const char *event)
{
  for (guint i = 0; i < G_N_ELEMENTS (vocabulary); i++)
    if (g_str_equal (vocabulary[i], event))
      return TRUE;
  return FALSE;
}

gboolean
quince_log_line_check (const char *text, GError **error)
{
  g_autoptr (QuinceLogLine) line = quince_log_line_parse (text, error);
  if (line == NULL)
    return FALSE;
  const char *event = quince_log_line_get (line, "event");
  if (is_known_event (event))
    return TRUE;
  g_set_error (error, QUINCE_LOG_TRACE_ERROR, QUINCE_LOG_TRACE_ERROR_UNKNOWN_EVENT, "unknown event '%s'",
               event);
  return FALSE;
}
