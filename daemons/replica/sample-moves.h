/*
 * sample-moves.h: moves running samples to faster workers, by the rules of core/decisions/sample-move.h.
 */
#pragma once

#include "core/decisions/sample-move.h"

#include "sample-set.h"

/* If a check is due, stops runs whose move is worthwhile, at most QUINCE_SAMPLE_MOVES_PER_CHECK_MAX, and
 * dispatches their samples again.  @now_us: monotonic, us */
void quince_sample_moves_check (QuinceSampleSet *set, QuinceMoveCheckState *check_state, gint64 now_us);
