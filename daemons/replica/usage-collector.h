/*
 * usage-collector.h: reports to the platform how many requests of each tenant began in each usage window.
 *
 * Only the ledger's leader reports, with its epoch as the fencing token.  What fronts report is a record of
 * the ledger before it is acknowledged, and so are the counts of a window before they are sent: a report that
 * is repeated, by this leader or a later one, is the same to the byte.
 *
 * Owns the usage aggregator, the agreed clock, what fronts reported since the last record, the connections to
 * the platform and the report in progress.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"

#include "ledger-node.h"

typedef struct _QuinceUsageCollector QuinceUsageCollector;

/**
 * QuinceUsageCollectorOptions:
 * @holder: name of this machine, copied
 * @address: ip:port of the platform's calls
 * @window_us: length of a window
 * @late_us: time from the end of a window to the moment at which its report is late
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
/* Returns: whether @record is one of usage, which quince_usage_collector_apply_record() takes */
gboolean quince_usage_collector_is_record (const QuinceBatchRecord *record);
/* A record of usage is committed, at the leader, in the order of the log.  @record: (transfer full) */
void quince_usage_collector_apply_record (QuinceUsageCollector *collector,
                                          guint64 index,
                                          QuinceBatchRecord *record);
void quince_usage_collector_start_leading (QuinceUsageCollector *collector);
void quince_usage_collector_stop_leading (QuinceUsageCollector *collector);
/* A front reported requests; they are acknowledged on @link once a record has them. */
void quince_usage_collector_handle_report (QuinceUsageCollector *collector,
                                           QuinceLink *link,
                                           const QuinceUsageReport *report);
void quince_usage_collector_link_closed (QuinceUsageCollector *collector, QuinceLink *link);
/* Appends what fronts reported, closes windows, sends reports; to be called several times a second. */
void quince_usage_collector_step (QuinceUsageCollector *collector);
