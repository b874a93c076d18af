/*
 * progress-copies.h: sends the progress of samples from the leader to the backups that keep copies of it, and
 * decides at a new leader whether other replicas may know more.
 *
 * The successor receives all progress.  With the setting [ledger] losses above 1, as many further backups as
 * losses exceed 1 receive the texts that are worth a further copy (core/batches/progress-selection.h).
 */
#pragma once

#include "core/batches/batch-table.h"

#include "ledger-node.h"
#include "progress.h"
#include "residency-coordinator.h"
#include "sample-runner.h"

typedef struct _QuinceProgressCopies QuinceProgressCopies;

/**
 * quince_progress_copies_new:
 * @ledger: (transfer none): must outlive the copies
 * @residency: (transfer none): must outlive the copies
 * @tolerated_losses: setting [ledger] losses
 */
QuinceProgressCopies *quince_progress_copies_new (QuinceLedgerNode *ledger,
                                                  QuinceResidencyCoordinator *residency,
                                                  guint tolerated_losses);
void quince_progress_copies_free (QuinceProgressCopies *copies);

/* ---- At the leader ------------------------------------------------------- */

/* Sends @items (element-type QuinceProgressItem) to the successor, as far as residency rules allow.  @table:
 * the batches of the items */
void quince_progress_copies_send_to_successor (QuinceProgressCopies *copies,
                                               QuinceBatchTable *table,
                                               const GArray *items);
/* Chooses the further backups and sends each of them its next report.  Call several times a second. */
void quince_progress_copies_send_further (QuinceProgressCopies *copies, QuinceSampleRunner *runner);

/* ---- At a new leader ----------------------------------------------------- */

/* Records that the backup of @link has offered the progress that it knows. */
void quince_progress_copies_record_offer (QuinceProgressCopies *copies, QuinceLink *link);
/* Returns %TRUE if no other replica may know more progress than this new leader: each other member has
 * offered what it knows, or the former leader sent all of it to this replica until recently.
 * @progress: what this replica knew when it was elected */
gboolean quince_progress_copies_is_complete (QuinceProgressCopies *copies, QuinceProgressStore *progress);
/* The same after offers of @n_taken texts were applied. */
gboolean quince_progress_copies_is_complete_with_offers (QuinceProgressCopies *copies, guint n_taken);

/* ---- At a backup --------------------------------------------------------- */

/* Records that the leader sent a report of progress to this backup. */
void quince_progress_copies_record_report (QuinceProgressCopies *copies);
