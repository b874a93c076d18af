/*
 * batch-answers.h: formats and sends the answers to fronts' calls about batches, and reads the headers of
 * such a call.
 *
 * The module is stateless.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "core/group/ledger-refusal.h"
#include "http1/http1.h"
#include "runtime/link.h"
#include "batchlog/result-cache.h"

#include "platform.h"
#include "batch-memory.h"

/* ---- Answers; @id is the id of the call --------------------------------- */

/* Sends an answer without a body. */
void quince_batch_answer_status (QuinceLink *link, guint64 id, guint status);
/* Sends the status of @refusal, with a Retry-After unless the outcome is unknown. */
void quince_batch_answer_refusal (QuinceLink *link, guint64 id, QuinceLedgerRefusal refusal);
/* Sends the results from @position on, as many as fit into one answer and into the link's allowance.
 * @cache: unpacks the results and keeps them for later calls
 *
 * Returns: why no answer was sent, or %QUINCE_LEDGER_REFUSAL_NONE if one was */
QuinceLedgerRefusal quince_batch_answer_results (QuinceResultCache *cache,
                                                 QuinceLink *link,
                                                 guint64 id,
                                                 const QuinceBatchEntry *entry,
                                                 guint64 position);
/* Sends the body of the item that @parsed names, or 404 if @entry has no such item.
 * @memory: accounts for the body until it is sent
 *
 * Returns: why nothing was sent, or %QUINCE_LEDGER_REFUSAL_NONE */
QuinceLedgerRefusal quince_batch_answer_item (QuinceBatchMemory *memory,
                                              QuinceLink *link,
                                              const QuinceServiceCall *call,
                                              const QuinceCall *parsed,
                                              const QuinceBatchEntry *entry);

/* ---- Calls --------------------------------------------------------------- */

/* Returns: (transfer full): a copy of the headers of the caller's HTTP request */
QuinceHttpHeaders *quince_batch_call_copy_headers (const QuinceServiceCall *call);
