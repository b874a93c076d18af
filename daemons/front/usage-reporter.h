/*
 * usage-reporter.h: reports to the ledger's leader which requests of which tenant began at a worker.
 *
 * Each request is reported at once, and again on a new link, until the leader acknowledges it.  Owns the
 * requests without an acknowledgement and a reference to the link.
 */
#pragma once

#include "runtime/link.h"

typedef struct _QuinceUsageReporter QuinceUsageReporter;

QuinceUsageReporter *quince_usage_reporter_new (void);
void quince_usage_reporter_free (QuinceUsageReporter *reporter);
/* A request of @tenant began at a worker at @begun_us, monotonic. */
void quince_usage_reporter_record_start (QuinceUsageReporter *reporter, const char *tenant, gint64 begun_us);
/* A link to the leader is open: reports what it has not acknowledged. */
void quince_usage_reporter_linked (QuinceUsageReporter *reporter, QuinceLink *leader);
void quince_usage_reporter_unlinked (QuinceUsageReporter *reporter);
/* The leader gave a sign of life: reports again what it has not acknowledged for a second. */
void quince_usage_reporter_resend_overdue (QuinceUsageReporter *reporter);
void quince_usage_reporter_handle_ack (QuinceUsageReporter *reporter, const QuinceUsageAck *ack);
