/*
 * batch-service-private.h: state shared by the files of the batch service.
 *
 * batch-service.c: the book of batches, their samples and what is forgotten.
 * batch-calls.c: fronts' calls, and those that wait for a commit or a result.
 */
#pragma once

#include "batchlog/result-cache.h"

#include "batch-service.h"

/* A call that waits for a commit, or for a result. */
typedef struct
{
  QuinceBatchService *service;
  QuinceLink *link; /* owned */
  guint64 id;
  char *batch;
  guint64 index;    /* of the record it waits for; 0: for a result */
  guint64 position; /* results from here on */
  GSource *timer;
} QuinceBatchWaiter;

struct _QuinceBatchService
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceModelPlacement *placement;
  QuinceProgressStore *progress;
  QuinceProgressFile *progress_file;
  QuinceResidencyCoordinator *residency;
  guint64 informed_successor; /* knows all progress that was told */
  QuinceBatchBook *book;      /* NULL: not leading */
  QuinceSampleRunner *runner; /* NULL: not leading */
  GHashTable *submitting;     /* batch id to guint64: index of its record, not committed yet */
  GPtrArray *waiters;         /* QuinceBatchWaiter, owned */
  gint64 keep_us;
  GSource *forget_timer;
  guint unlisted;
  QuinceResultCache *results;
};

/* ---- batch-calls.c ------------------------------------------------------- */

void quince_batch_waiter_free (gpointer data);
/* The record at @index is committed: calls that wait for it get @status. */
void quince_batch_calls_answer_committed (QuinceBatchService *service, guint64 index, guint status);
/* This replica leads no more: all calls that wait are answered. */
void quince_batch_calls_end_all (QuinceBatchService *service);
