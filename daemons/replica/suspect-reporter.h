/*
 * suspect-reporter.h: sends what the leader knows of suspects to the other processes.
 *
 * There are two receivers: all processes that are linked to the leader, and the successor alone, which also
 * needs what is of no use to the others.  Changes are collected for a moment and sent together.
 *
 * Owns the suspects whose changes were not sent yet, and a timer for each receiver.  Does nothing while this
 * replica does not lead.
 */
#pragma once

#include "core/request/quarantine.h"
#include "runtime/link.h"

#include "ledger-node.h"

typedef struct _QuinceSuspectReporter QuinceSuspectReporter;

/* @quarantine: (transfer none): must outlive the reporter; @name: of this machine, copied */
QuinceSuspectReporter *quince_suspect_reporter_new (const QuinceQuarantine *quarantine, const char *name);
void quince_suspect_reporter_free (QuinceSuspectReporter *reporter);
/* @ledger: (transfer none): names the successor; must outlive the reporter */
void quince_suspect_reporter_set_ledger (QuinceSuspectReporter *reporter, QuinceLedgerNode *ledger);
/* @links: (transfer none): set of QuinceLink, valid until the next call; %NULL: this replica stopped leading,
 * and what was not sent is dropped */
void quince_suspect_reporter_set_links (QuinceSuspectReporter *reporter, GHashTable *links);
/* Whether this replica leads. */
gboolean quince_suspect_reporter_is_active (const QuinceSuspectReporter *reporter);

/* @digest has changed: soon to all. */
void quince_suspect_reporter_queue_change (QuinceSuspectReporter *reporter,
                                           const QuinceRequestDigest *digest);
/* @digest has changed: to the successor at the end of this turn of the main loop.  Not later: what the
 * successor doesn't know when the leader dies is sent to workers once more. */
void quince_suspect_reporter_queue_change_for_successor (QuinceSuspectReporter *reporter,
                                                         const QuinceRequestDigest *digest);
/* A suspect was cleared: at once to all, or to the successor alone. */
void quince_suspect_reporter_send_cleared (QuinceSuspectReporter *reporter,
                                           const QuinceRequestDigest *digest,
                                           QuinceSuspectScope scope);
void quince_suspect_reporter_send_cleared_to_successor (QuinceSuspectReporter *reporter,
                                                        const QuinceRequestDigest *digest,
                                                        QuinceSuspectScope scope);
/* The leader sends a suspect to a worker: at once to the successor. */
void quince_suspect_reporter_send_expected_end (QuinceSuspectReporter *reporter,
                                                const QuinceSuspect *expected);
/* All known suspects: to all, or to @link, which was added to the set. */
void quince_suspect_reporter_send_all (QuinceSuspectReporter *reporter);
void quince_suspect_reporter_send_all_to (QuinceSuspectReporter *reporter, QuinceLink *link);
/* Sends all known suspects to a new successor; to be called several times a second.
 * @all: (element-type QuinceSuspect): them */
void quince_suspect_reporter_step (QuinceSuspectReporter *reporter, const GPtrArray *all);
