/*
 * usage-duty.h: tells the platform how many requests of each tenant began in each window of time.
 *
 * The ledger's leader alone does it, under its epoch as the fence.  What fronts tell becomes a record of the
 * ledger before it is acknowledged, and so do the counts of a window before they are sent: a report that is
 * sent again, by whichever leader, is the same to the byte.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"

#include "ledger-node.h"

typedef struct _QuinceUsageDuty QuinceUsageDuty;

/**
 * QuinceUsageDutyOptions:
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
} QuinceUsageDutyOptions;

QuinceUsageDuty *quince_usage_duty_new (const QuinceUsageDutyOptions *options, QuinceLedgerNode *ledger);
void quince_usage_duty_free (QuinceUsageDuty *duty);
/* %TRUE: the record is one of this duty's. */
gboolean quince_usage_duty_is_record (const QuinceBatchRecord *record);
/* (transfer full): @record; only at the leader, in the order of the log. */
void quince_usage_duty_committed (QuinceUsageDuty *duty, guint64 index, QuinceBatchRecord *record);
void quince_usage_duty_lead (QuinceUsageDuty *duty);
void quince_usage_duty_stop_leading (QuinceUsageDuty *duty);
/* A front told of requests; it is acknowledged on @link. */
void quince_usage_duty_take_report (QuinceUsageDuty *duty, QuinceLink *link, const QuinceUsageReport *report);
void quince_usage_duty_link_closed (QuinceUsageDuty *duty, QuinceLink *link);
/* To be called several times a second. */
void quince_usage_duty_step (QuinceUsageDuty *duty);
