/*
 * usage-reporter.h: reports the requests that workers started, with their tenants, to the ledger's leader.
 *
 * Reports each request immediately, and again on each new link and after a timeout, until the leader
 * acknowledges it.  Owns the unacknowledged requests and a reference to the link.
 */
#pragma once

#include "runtime/link.h"

typedef struct _QuinceUsageReporter QuinceUsageReporter;

QuinceUsageReporter *quince_usage_reporter_new (void);
void quince_usage_reporter_free (QuinceUsageReporter *reporter);
/* Records that a worker started a request of @tenant at @begun_us (monotonic), and reports it. */
void quince_usage_reporter_record_start (QuinceUsageReporter *reporter, const char *tenant, gint64 begun_us);
/* Handles a new link to the leader: reports all unacknowledged requests on it. */
void quince_usage_reporter_linked (QuinceUsageReporter *reporter, QuinceLink *leader);
void quince_usage_reporter_unlinked (QuinceUsageReporter *reporter);
/* Reports the unacknowledged requests again if the oldest has waited for more than 1 s.  Call it on each
 * heartbeat of the leader. */
void quince_usage_reporter_resend_overdue (QuinceUsageReporter *reporter);
/* Removes the requests that @ack acknowledges; ignores one with another source id. */
void quince_usage_reporter_handle_ack (QuinceUsageReporter *reporter, const QuinceUsageAck *ack);
