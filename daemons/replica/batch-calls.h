/*
 * batch-calls.h: answers fronts' calls about batches at the ledger's leader.
 *
 * A change is acknowledged after its record is committed.  A call gets 503 if this replica can't rule out
 * another leader.  If the replica stops leading while a record is uncommitted, the call that waits for it
 * gets 504, since the next leader may still commit it.
 *
 * The module owns the waiting calls with their timers and references to their links, the submissions
 * (batch-submissions.h) and the cache of unpacked results.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "runtime/link.h"

#include "batch-memory.h"
#include "call-refusals.h"
#include "ledger-node.h"
#include "result-queue.h"
#include "residency-coordinator.h"

typedef struct _QuinceBatchCalls QuinceBatchCalls;

/* @refusals: (transfer none): answers refused calls; must outlive the returned object */
QuinceBatchCalls *quince_batch_calls_new (QuinceCallRefusals *refusals);
void quince_batch_calls_free (QuinceBatchCalls *calls);
/* Call once, before any call is handled.  All arguments: (transfer none): must outlive @calls */
void quince_batch_calls_set_ledger (QuinceBatchCalls *calls,
                                    QuinceLedgerNode *ledger,
                                    QuinceResidencyCoordinator *residency,
                                    QuinceBatchMemory *memory);
/* Sets the results that wait to be appended; %NULL: this replica does not lead.  @results: (transfer none) */
void quince_batch_calls_set_results (QuinceBatchCalls *calls, QuinceResultQueue *results);
/* Sets the table that calls are answered from.  @table: (transfer none): valid until
 * quince_batch_calls_stop_leading() */
void quince_batch_calls_set_table (QuinceBatchCalls *calls, QuinceBatchTable *table);
/* Answers @call, immediately or after a commit, a result or a timeout.  Call only while this replica leads
 * and quince_ledger_node_may_answer() returns %TRUE.
 * @samples_without_result: count over all batches */
void quince_batch_calls_handle_call (QuinceBatchCalls *calls,
                                     guint samples_without_result,
                                     QuinceLink *link,
                                     QuinceServiceCall *call);
/* See quince_batch_submissions_admit(). */
gboolean quince_batch_calls_admit (QuinceBatchCalls *calls,
                                   QuinceLink *link,
                                   guint64 call_id,
                                   gsize frame_bytes,
                                   QuinceMemoryHold **hold);
/* Drops the waiting calls of @link. */
void quince_batch_calls_link_closed (QuinceBatchCalls *calls, QuinceLink *link);
/* The submission of the batch @id is committed and in the table. */
void quince_batch_calls_submission_committed (QuinceBatchCalls *calls, const char *id);
/* The record at @index is committed.  Answers the calls that wait for it with the HTTP status @status. */
void quince_batch_calls_record_committed (QuinceBatchCalls *calls, guint64 index, guint status);
/* A result was added to a batch.  Answers the calls that wait for it, after all results that are committed
 * with it were added. */
void quince_batch_calls_handle_result (QuinceBatchCalls *calls);
/* Answers all waiting calls with 503 or 504, and drops the table and the unpacked results. */
void quince_batch_calls_stop_leading (QuinceBatchCalls *calls);
