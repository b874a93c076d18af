/*
 * batch-calls.h: answers fronts' calls about batches at the ledger's leader.
 *
 * A change is acknowledged once its record is committed.  A call that this replica can't answer for sure gets
 * 503; a submission whose record may have reached the log gets 504, since it may still run.
 *
 * Owns the calls that wait for a commit or for a result, with their timers and a reference to their link, the
 * submissions that are not committed yet, and the cache of unpacked results.  Relies on the ledger node to
 * append and on the residency coordinator to admit.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "runtime/link.h"

#include "ledger-node.h"
#include "residency-coordinator.h"

typedef struct _QuinceBatchCalls QuinceBatchCalls;

QuinceBatchCalls *quince_batch_calls_new (void);
void quince_batch_calls_free (QuinceBatchCalls *calls);
/* Set once, before any call; both are not owned and must outlive @calls. */
void quince_batch_calls_set_ledger (QuinceBatchCalls *calls,
                                    QuinceLedgerNode *ledger,
                                    QuinceResidencyCoordinator *residency);
/* The table that calls are answered from; not owned; valid until quince_batch_calls_stop_leading(). */
void quince_batch_calls_set_table (QuinceBatchCalls *calls, QuinceBatchTable *table);
/* Answers @call now or later; to be called while this replica leads and may answer.
 * @unlisted: samples without a result, over all batches */
void quince_batch_calls_handle_call (QuinceBatchCalls *calls,
                                     guint samples_without_result,
                                     QuinceLink *link,
                                     const QuinceServiceCall *call);
/* Its calls wait no longer. */
void quince_batch_calls_link_closed (QuinceBatchCalls *calls, QuinceLink *link);
/* The submission of the batch @id is in the table. */
void quince_batch_calls_submission_committed (QuinceBatchCalls *calls, const char *id);
/* The record at @index is committed: calls that wait for it get the HTTP status @status. */
void quince_batch_calls_record_committed (QuinceBatchCalls *calls, guint64 index, guint status);
/* @entry has another result: calls that wait for it get it. */
void quince_batch_calls_result_added (QuinceBatchCalls *calls, const QuinceBatchEntry *entry);
/* This replica stopped leading: answers all waiting calls and forgets the table and the unpacked results. */
void quince_batch_calls_stop_leading (QuinceBatchCalls *calls);
