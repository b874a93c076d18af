/*
 * usage-collector.h: reports to the platform how many requests of each tenant started in each usage window.
 *
 * Only the ledger's leader reports, with its epoch as the fencing token.  The events of a front are committed
 * to the ledger before they are acknowledged, and the counts of a window before they are sent.  A repeated
 * report, by this leader or a later one, is therefore identical to the byte.
 *
 * The collector owns the usage aggregator, the agreed clock, the events that are not in a record yet, and the
 * connections to the platform.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"

#include "ledger-node.h"

typedef struct _QuinceUsageCollector QuinceUsageCollector;

/**
 * QuinceUsageCollectorOptions:
 * @holder: name of this machine, copied
 * @address: ip:port of the platform's API
 * @window_us: length of a window, us
 * @late_us: time after the end of a window within which its report is due, us
 */
typedef struct
{
  const char *holder;
  const char *address;
  gint64 window_us;
  gint64 late_us;
} QuinceUsageCollectorOptions;

/* @ledger: (transfer none): must outlive the collector */
QuinceUsageCollector *quince_usage_collector_new (const QuinceUsageCollectorOptions *options,
                                                  QuinceLedgerNode *ledger);
void quince_usage_collector_free (QuinceUsageCollector *collector);
/* Returns whether @record is a usage record, to be passed to quince_usage_collector_apply_record(). */
gboolean quince_usage_collector_is_record (const QuinceBatchRecord *record);
/* Applies a committed usage record.  The leader calls it in the order of the log.  @record: (transfer full)
 */
void quince_usage_collector_apply_record (QuinceUsageCollector *collector,
                                          guint64 index,
                                          QuinceBatchRecord *record);
void quince_usage_collector_start_leading (QuinceUsageCollector *collector);
void quince_usage_collector_stop_leading (QuinceUsageCollector *collector);
/* Handles a report of started requests from a front; at the leader, they are acknowledged on @link after they
 * are committed to the ledger. */
void quince_usage_collector_handle_report (QuinceUsageCollector *collector,
                                           QuinceLink *link,
                                           const QuinceUsageReport *report);
void quince_usage_collector_link_closed (QuinceUsageCollector *collector, QuinceLink *link);
/* Appends reported events to the ledger, closes windows and sends reports.  To be called several times a
 * second. */
void quince_usage_collector_step (QuinceUsageCollector *collector);
