/*
 * batch-answers.h: formats and sends the answers to fronts' calls about batches, and reads the headers of
 * such a call.
 *
 * The module is stateless.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "http1/http1.h"
#include "runtime/link.h"
#include "batchlog/result-cache.h"

#include "platform.h"

/* ---- Answers; @id is the id of the call --------------------------------- */

/* Sends an answer without a body.  503 and 429 carry a Retry-After. */
void quince_batch_answer_status (QuinceLink *link, guint64 id, guint status);
/* Sends the results from @position on, as many as fit into one answer and into the link's allowance.  Sends
 * 429 if the allowance is used up, and 503 if a result can't be decoded.
 * @cache: unpacks the results and keeps them for later calls */
void quince_batch_answer_results (QuinceResultCache *cache,
                                  QuinceLink *link,
                                  guint64 id,
                                  const QuinceBatchEntry *entry,
                                  guint64 position);
/* Sends the body of the item that @parsed names, or 404 if @entry has no such item. */
void quince_batch_answer_item (QuinceLink *link,
                               const QuinceServiceCall *call,
                               const QuinceCall *parsed,
                               const QuinceBatchEntry *entry);

/* ---- Calls --------------------------------------------------------------- */

/* Returns: (transfer full): a copy of the headers of the caller's HTTP request */
QuinceHttpHeaders *quince_batch_call_copy_headers (const QuinceServiceCall *call);
