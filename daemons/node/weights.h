/*
 * weights.h: brings the newest weight version to the engines.
 *
 * Runs only while this node's replica leads the ledger; its epoch fences the
 * orders, so that those of an earlier leader are refused by the engines.
 */
#pragma once

#include <quince/weight-plan.h>

#include "node.h"

QuinceWeights *quince_weights_new (QuinceNode *node);
void quince_weights_free (QuinceWeights *weights);
/* Newest version of the weight store that this node knows, 0 unknown or not the leader. */
guint64 quince_weights_get_newest (const QuinceWeights *weights);
/* All zero while this node is not the leader. */
void quince_weights_get_counters (const QuinceWeights *weights, QuinceWeightPlanCounters *out);
/* Orders refused for a stale fencing token, since start. */
guint64 quince_weights_get_fenced_off (const QuinceWeights *weights);
