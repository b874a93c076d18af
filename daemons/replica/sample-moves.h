/*
 * sample-moves.h: moves running samples to workers that end them sooner.
 *
 * For: sample-runner.c, before it dispatches waiting samples: a sample that leaves a slow worker frees a slot
 * there.  Owns nothing.  Relies on: core/decisions/sample-move.h for the rules.
 */
#pragma once

#include "core/decisions/sample-move.h"

#include "sample-set.h"

/* Cuts the runs that a move pays for, a few at a time, and dispatches them anew. */
void quince_sample_moves_check (QuinceSampleSet *set, QuinceMoveCheckState *check_state, gint64 now_us);
