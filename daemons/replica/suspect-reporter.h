/*
 * suspect-reporter.h: sends the leader's suspects to the other processes.
 *
 * Some changes go to all processes that are linked to the leader, others only to the successor, which needs
 * more detail.  Each of the two has a queue, which combines the changes of a short time into one message.
 * Changes are only queued while this replica leads.
 */
#pragma once

#include "core/request/quarantine.h"
#include "runtime/link.h"

#include "ledger-node.h"

typedef struct _QuinceSuspectReporter QuinceSuspectReporter;

/* @quarantine: (transfer none): must outlive the reporter; @name: name of this machine, copied */
QuinceSuspectReporter *quince_suspect_reporter_new (const QuinceQuarantine *quarantine, const char *name);
void quince_suspect_reporter_free (QuinceSuspectReporter *reporter);
/* @ledger: (transfer none): provides the successor; must outlive the reporter */
void quince_suspect_reporter_set_ledger (QuinceSuspectReporter *reporter, QuinceLedgerNode *ledger);
/* @links: (transfer none) (nullable): set of the QuinceLink of all processes, valid until the next call;
 * %NULL: this replica no longer leads, and queued changes are dropped */
void quince_suspect_reporter_set_links (QuinceSuspectReporter *reporter, GHashTable *links);
/* Returns whether this replica leads. */
gboolean quince_suspect_reporter_is_active (const QuinceSuspectReporter *reporter);

/* Queues the changed suspect @digest for all processes. */
void quince_suspect_reporter_queue_change (QuinceSuspectReporter *reporter,
                                           const QuinceRequestDigest *digest);
/* Queues the changed suspect @digest for the successor.  It is sent in the next main loop iteration: after
 * the leader fails, requests whose ends the successor does not know are sent to workers again. */
void quince_suspect_reporter_queue_change_for_successor (QuinceSuspectReporter *reporter,
                                                         const QuinceRequestDigest *digest);
/* Reports a cleared suspect to all processes, or only to the successor, without delay. */
void quince_suspect_reporter_send_cleared (QuinceSuspectReporter *reporter,
                                           const QuinceRequestDigest *digest,
                                           QuinceSuspectScope scope);
void quince_suspect_reporter_send_cleared_to_successor (QuinceSuspectReporter *reporter,
                                                        const QuinceRequestDigest *digest,
                                                        QuinceSuspectScope scope);
/* Reports to the successor, without delay, that the leader is sending a suspect to a worker.  @expected: the
 * state of the suspect if the worker ends */
void quince_suspect_reporter_send_expected_end (QuinceSuspectReporter *reporter,
                                                const QuinceSuspect *expected);
/* Sends all suspects to all processes, or to @link, which was added to the set. */
void quince_suspect_reporter_send_all (QuinceSuspectReporter *reporter);
void quince_suspect_reporter_send_all_to (QuinceSuspectReporter *reporter, QuinceLink *link);
/* Sends all suspects to the successor if it is new.  To be called several times a second.  @suspects:
 * (element-type QuinceSuspect): all suspects of the quarantine */
void quince_suspect_reporter_step (QuinceSuspectReporter *reporter, const GPtrArray *suspects);
