/*
 * expected-ends.h: the leader's in-flight sends under a permit, as recorded by its likely successor.
 *
 * A leader that fails during such a send cannot report whether the worker ended.  The successor checks the
 * workers of these sends when it becomes leader.  Until then the sends do not count as ends.
 *
 * The functions do no I/O and read no clock.  Times are in microseconds of a monotonic clock that includes
 * system suspend.
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

typedef struct _QuinceExpectedEnds QuinceExpectedEnds;

QuinceExpectedEnds *quince_expected_ends_new (void);
void quince_expected_ends_free (QuinceExpectedEnds *ends);
/* Records a send that the leader reported.  @expected is the suspect's state if the worker ends, see
 * quince_quarantine_expect_end(); it is copied.  Replaces a recorded send of the same digest.  Drops the
 * send if too many sends are recorded. */
void quince_expected_ends_add (QuinceExpectedEnds *ends, gint64 now_us, const QuinceSuspect *expected);
/* Removes a send whose outcome is known: a worker answered it, or the end of its worker was reported. */
void quince_expected_ends_remove (QuinceExpectedEnds *ends, const QuinceRequestDigest *digest);
/* Returns (transfer full) (element-type QuinceSuspect): the sends that were added less than 3 s ago, and
 * removes all sends. */
GPtrArray *quince_expected_ends_take (QuinceExpectedEnds *ends, gint64 now_us);

G_END_DECLS
