/*
 * usage-reporter.h: tells the ledger's leader which requests of which tenant began at a worker.
 *
 * Each request is told at once and again on a new link, until the leader has acknowledged it.
 */
#pragma once

#include "runtime/link.h"

typedef struct _QuinceUsageReporter QuinceUsageReporter;

QuinceUsageReporter *quince_usage_reporter_new (void);
void quince_usage_reporter_free (QuinceUsageReporter *reporter);
/* A request of @tenant began at a worker at @begun_us, monotonic. */
void quince_usage_reporter_note (QuinceUsageReporter *reporter, const char *tenant, gint64 begun_us);
void quince_usage_reporter_linked (QuinceUsageReporter *reporter, QuinceLink *leader);
void quince_usage_reporter_unlinked (QuinceUsageReporter *reporter);
/* The leader is alive: tells it again what it has not acknowledged for long. */
void quince_usage_reporter_remind (QuinceUsageReporter *reporter);
void quince_usage_reporter_take_ack (QuinceUsageReporter *reporter, const QuinceUsageAck *ack);
