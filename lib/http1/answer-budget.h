/*
 * answer-budget.h: bytes of incomplete responses that the exchanges of a thread hold in memory.
 *
 * A response that is collected whole, or an event of which a part is missing, is held until its end arrives.
 * If the exchanges hold more than the budget, the one that holds most is to be ended: a sound response is
 * much smaller than one that does not end.  To stop reading instead would make sound responses wait for those
 * that do not end.
 */
#pragma once

#include "http1/http-client.h"

G_BEGIN_DECLS

/* Bytes that all exchanges may hold: two responses of the greatest size, and a fraction of the 120 MB that
 * small machines have. */
#define QUINCE_ANSWER_BUDGET_BYTES (2 * QUINCE_HTTP_COLLECTED_BODY_MAX_BYTES)

/* Records that @exchange holds @new_bytes in place of @old_bytes. */
void quince_answer_budget_set (QuinceHttpExchange *exchange, gsize old_bytes, gsize new_bytes);
/* Returns: (transfer none) (nullable): the exchange that holds most, or %NULL while the budget is kept */
QuinceHttpExchange *quince_answer_budget_find_excess (void);
/* Returns the number of bytes that all exchanges of this thread hold. */
gsize quince_answer_budget_get_held_bytes (void);

G_END_DECLS
