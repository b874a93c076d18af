/*
 * batch-answers.h: answers to fronts' calls about batches, and what such a call says of itself.
 */
#pragma once

#include "core/batches/batch-book.h"
#include "http1/http1.h"
#include "runtime/link.h"
#include "batchlog/result-cache.h"

#include "platform.h"

/* ---- Answers; @id: of the call ------------------------------------------ */

/* 503 and 429 carry the time after which to ask again. */
void quince_batch_answer_status (QuinceLink *link, guint64 id, guint status);
/* The results from @position on, as many as one answer holds.  @cache: where they are unpacked */
void quince_batch_answer_results (QuinceResultCache *cache,
                                  QuinceLink *link,
                                  guint64 id,
                                  const QuinceBatchEntry *entry,
                                  guint64 position);
/* The body of the item that @parsed names. */
void quince_batch_answer_item (QuinceLink *link,
                               const QuinceServiceCall *call,
                               const QuinceCall *parsed,
                               const QuinceBatchEntry *entry);

/* ---- Calls --------------------------------------------------------------- */

/* (transfer full) */
QuinceHttpHeaders *quince_batch_call_copy_headers (const QuinceServiceCall *call);
