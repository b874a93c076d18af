/*
 * usage-collector.h: tells the platform how many requests of each tenant began in each window of time.
 *
 * The ledger's leader alone does it, under its epoch as the fence.  What fronts tell becomes a record of the
 * ledger before it is acknowledged, and so do the counts of a window before they are sent: a report that is
 * sent again, by whichever leader, is the same to the byte.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"

#include "ledger-node.h"

typedef struct _QuinceUsageCollector QuinceUsageCollector;

/**
 * QuinceUsageCollectorOptions:
 * @holder: name of this machine
 * @address: of the platform's calls
 * @window_us: length of a window
 * @late_us: after its end a report is late
 */
typedef struct
{
  const char *holder;
  const char *address;
  gint64 window_us;
  gint64 late_us;
} QuinceUsageCollectorOptions;

QuinceUsageCollector *quince_usage_collector_new (const QuinceUsageCollectorOptions *options,
                                                  QuinceLedgerNode *ledger);
void quince_usage_collector_free (QuinceUsageCollector *collector);
/* %TRUE: the record is one of this collector's. */
gboolean quince_usage_collector_is_record (const QuinceBatchRecord *record);
/* (transfer full): @record; only at the leader, in the order of the log. */
void
quince_usage_collector_committed (QuinceUsageCollector *collector, guint64 index, QuinceBatchRecord *record);
void quince_usage_collector_lead (QuinceUsageCollector *collector);
void quince_usage_collector_stop_leading (QuinceUsageCollector *collector);
/* A front told of requests; it is acknowledged on @link. */
void quince_usage_collector_take_report (QuinceUsageCollector *collector,
                                         QuinceLink *link,
                                         const QuinceUsageReport *report);
void quince_usage_collector_link_closed (QuinceUsageCollector *collector, QuinceLink *link);
/* To be called several times a second. */
void quince_usage_collector_step (QuinceUsageCollector *collector);
