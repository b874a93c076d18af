/*
 * batch-answers.h: formats and sends the answers to fronts' calls about batches, and reads such a call's
 * headers.
 *
 * Owns no state.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "http1/http1.h"
#include "runtime/link.h"
#include "batchlog/result-cache.h"

#include "platform.h"

/* ---- Answers; @id: of the call ------------------------------------------ */

/* An answer without a body; 503 and 429 carry a Retry-After. */
void quince_batch_answer_status (QuinceLink *link, guint64 id, guint status);
/* The results from @position on, as many as fit into one answer and as the link's allowance permits; 429
 * where it permits none.  @cache: unpacks them, and keeps them for the next call */
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

/* Returns: (transfer full): the headers of the caller's HTTP request */
QuinceHttpHeaders *quince_batch_call_copy_headers (const QuinceServiceCall *call);
