/*
 * trainer-batch.h: hands a step's batch to its trainer, page by page.
 *
 * A page is asked for when the one before has been written, so that the agent
 * holds one page of a batch at a time.  The pages are those of one batch id:
 * when the samples were made anew meanwhile, or the step has gone, the answer
 * is cut before its end and the trainer pulls again.
 */
#pragma once

#include "worker.h"

typedef struct _QuinceTrainerBatch QuinceTrainerBatch;

/**
 * quince_trainer_batch_new:
 * @message: paused; to be unpaused by the caller, and to outlive the batch
 * @page: the first page, of the answer to the pull
 *
 * Writes the answer's head and the first page; goes on by itself.
 */
QuinceTrainerBatch *
quince_trainer_batch_new (QuinceWorker *worker, SoupServerMessage *message, const QuinceBatch *page);
void quince_trainer_batch_free (QuinceTrainerBatch *batch);
