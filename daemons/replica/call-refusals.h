/*
 * call-refusals.h: refuses fronts' calls about batches, and records why.
 *
 * Each refusal is counted by reason.  At most one line per second and reason is logged.  The reason is also
 * sent to the front, as the body of the answer, unless a front would pass that body on to the caller.
 */
#pragma once

#include "core/group/ledger-refusal.h"
#include "runtime/link.h"

#include "ledger-node.h"

typedef struct _QuinceCallRefusals QuinceCallRefusals;

QuinceCallRefusals *quince_call_refusals_new (void);
void quince_call_refusals_free (QuinceCallRefusals *refusals);
/* Call once, before any call is refused.  @ledger: (transfer none): must outlive @refusals */
void quince_call_refusals_set_ledger (QuinceCallRefusals *refusals, const QuinceLedgerNode *ledger);
/* Answers the call @id of a front on @link.
 * @refusal: any value but %QUINCE_LEDGER_REFUSAL_NONE
 * @batch: (nullable): id of the batch, or %NULL if the call has none */
void quince_call_refusals_answer (QuinceCallRefusals *refusals,
                                  QuinceLink *link,
                                  guint64 id,
                                  QuinceLedgerRefusal refusal,
                                  const char *batch);
