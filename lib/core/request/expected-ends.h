/*
 * expected-ends.h: the leader's sends under a permit, as its likely successor keeps them.
 *
 * A leader that dies during such a send cannot report whether the worker ended.  Its successor finds that out
 * when it takes the lead; while the leader lives the send counts for nothing.
 *
 * For: the replica that follows the leader.  Owns: the sends.  Relies on: nothing; pure: time is an argument,
 * in microseconds of one clock that counts suspensions too.
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

typedef struct _QuinceExpectedEnds QuinceExpectedEnds;

QuinceExpectedEnds *quince_expected_ends_new (void);
void quince_expected_ends_free (QuinceExpectedEnds *ends);
/* @expected: what will be known if the worker ends; copied. */
void quince_expected_ends_add (QuinceExpectedEnds *ends, gint64 now_us, const QuinceSuspect *expected);
/* A worker answered it, or its end was reported. */
void quince_expected_ends_remove (QuinceExpectedEnds *ends, const QuinceRequestDigest *digest);
/* (transfer full) (element-type QuinceSuspect): the sends that may still be under way; all are forgotten
 * here.
 */
GPtrArray *quince_expected_ends_take (QuinceExpectedEnds *ends, gint64 now_us);

G_END_DECLS
