/*
 * suspect-message.h: messages between fronts and replicas that report suspects (quarantine.h).
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"
#include "core/request/quarantine.h"

G_BEGIN_DECLS

/* Encodes reports of the first QUINCE_SUSPECTS_MAX of @suspects (element-type QuinceSuspect).  @own_name:
 * the name of this process.  Returns: (transfer full) (nullable): the message, or %NULL if it cannot be
 * encoded */
GBytes *quince_suspect_reports_encode (const GPtrArray *suspects, gint64 now_us, const char *own_name);
/* Encodes the report of a suspect that is being sent.  @expected: its state if the worker ends, see
 * quince_quarantine_expect_end().  Returns: (transfer full) (nullable): the message, or %NULL if it cannot be
 * encoded */
GBytes *quince_suspect_sending_encode (const QuinceSuspect *expected, gint64 now_us, const char *own_name);
/* Converts a report to a suspect.  @suspect: (out): borrows its strings from @report */
void quince_suspect_read_report (const QuinceSuspectReport *report, gint64 now_us, QuinceSuspect *suspect);
/* Encodes the report that a suspect was cleared.  Returns: (transfer full) (nullable): the message, or %NULL
 * if it cannot be encoded */
GBytes *quince_suspect_cleared_encode (const QuinceRequestDigest *digest, QuinceSuspectScope scope);

/* A suspect that was cleared because a worker answered it. */
typedef struct
{
  QuinceRequestDigest digest;
  QuinceSuspectScope scope;
} QuinceSuspectCleared;

/**
 * quince_suspect_reports_apply:
 * @changed: (element-type QuinceRequestDigest): the digests of the suspects that the reports changed are
 *   appended to it
 * @cleared: (element-type QuinceSuspectCleared): the suspects that the reports removed from
 *   @quarantine are appended to it
 *
 * Merges received reports into @quarantine.
 */
void quince_suspect_reports_apply (QuinceQuarantine *quarantine,
                                   gint64 now_us,
                                   const QuinceSuspectReports *reports,
                                   GArray *changed,
                                   GArray *cleared);

G_END_DECLS
