/*
 * batch-submissions.h: accepts batches that fronts submit at the ledger's leader.
 *
 * A submission is refused at once if it cannot be kept, also while its frame still arrives.  The module owns
 * the submissions that are being decoded and the index of each that is not committed.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "http1/http1.h"
#include "runtime/link.h"

#include "batch-memory.h"
#include "call-refusals.h"
#include "ledger-node.h"
#include "residency-coordinator.h"

typedef struct _QuinceBatchSubmissions QuinceBatchSubmissions;

/* The call is to be answered once the record at @record_index is committed. */
typedef void (*QuinceSubmissionAwaitCommit) (QuinceLink *link,
                                             guint64 call_id,
                                             const char *batch,
                                             guint64 record_index,
                                             gpointer user_data);

/* @refusals: (transfer none): answers refused calls; must outlive the returned object */
QuinceBatchSubmissions *quince_batch_submissions_new (QuinceCallRefusals *refusals,
                                                      QuinceSubmissionAwaitCommit await_commit,
                                                      gpointer user_data);
void quince_batch_submissions_free (QuinceBatchSubmissions *submissions);
/* Call once, before any call is handled.  All arguments: (transfer none): must outlive @submissions */
void quince_batch_submissions_set_ledger (QuinceBatchSubmissions *submissions,
                                          QuinceLedgerNode *ledger,
                                          QuinceResidencyCoordinator *residency,
                                          QuinceBatchMemory *memory);
/* @table: (transfer none): valid until quince_batch_submissions_stop_leading() */
void quince_batch_submissions_set_table (QuinceBatchSubmissions *submissions, QuinceBatchTable *table);
/* Answers a submission, or lets it wait for its commit.  The body of @call may be taken.
 * @samples_without_result: count over all batches */
void quince_batch_submissions_handle (QuinceBatchSubmissions *submissions,
                                      guint samples_without_result,
                                      QuinceLink *link,
                                      QuinceServiceCall *call,
                                      const QuinceHttpHeaders *headers);
/**
 * quince_batch_submissions_admit:
 * @call_id: of the call whose frame arrives on @link
 * @hold: (out) (transfer full): of the memory of the frame
 *
 * Decides whether a large frame is read.  Otherwise the call has been refused.
 */
gboolean quince_batch_submissions_admit (QuinceBatchSubmissions *submissions,
                                         QuinceLink *link,
                                         guint64 call_id,
                                         gsize frame_bytes,
                                         QuinceMemoryHold **hold);
/* Returns whether the batch @id was submitted and its submission is not committed. */
gboolean quince_batch_submissions_is_pending (const QuinceBatchSubmissions *submissions, const char *id);
/* The submission of the batch @id is committed and in the table. */
void quince_batch_submissions_committed (QuinceBatchSubmissions *submissions, const char *id);
/* Drops the calls of @link. */
void quince_batch_submissions_link_closed (QuinceBatchSubmissions *submissions, QuinceLink *link);
/* Refuses the submissions that are being decoded, and drops the table. */
void quince_batch_submissions_stop_leading (QuinceBatchSubmissions *submissions);
