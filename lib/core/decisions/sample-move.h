/*
 * sample-move.h: when a running sample is stopped and resumed at a faster worker.
 *
 * Pure functions, used by the ledger's leader (daemons/replica/sample-moves.c).  A worker's pace is its
 * smoothed time between two events (core/routing/worker-table.h).
 */
#pragma once

#include "core/routing/worker-table.h"

G_BEGIN_DECLS

/* Maximum moves per check: limits the cost of a wrong pace. */
#define QUINCE_SAMPLE_MOVES_PER_CHECK_MAX 6

/**
 * QuinceSampleMoveInput:
 * @single_version: the whole text must come from one weight version, so a move would restart the sample
 * @moves: number of earlier moves of the sample
 * @run_us: duration of the current run so far, us
 * @measured: the run has received events since its worker last loaded weights
 */
typedef struct
{
  gboolean single_version;
  guint moves;
  gint64 run_us;
  gboolean measured;
} QuinceSampleMoveInput;

/* Returns whether a running sample may be moved: it is measured, its run has lasted at least 0.7 s, it was
 * moved fewer than four times, and it does not need a single version. */
gboolean quince_sample_move_is_allowed (const QuinceSampleMoveInput *sample);

/**
 * quince_sample_move_is_worthwhile:
 * @remaining: expected number of remaining events, from the length model
 * @pace_us: pace of the current worker, us; 0: unknown
 * @target_pace_us: pace of the other worker, us; the caller does not move a run to an unmeasured worker
 *
 * Decides whether a move saves enough time: at least 0.5 s and at least a quarter of the remaining time,
 * after the cost of the move (0.15 s).  A training step ends with its longest sample, so slow workers delay
 * it.  If @pace_us is not measured, the run is not moved.
 */
gboolean quince_sample_move_is_worthwhile (double remaining, gint64 pace_us, gint64 target_pace_us);

/**
 * quince_sample_move_saves_enough:
 * @here_us: expected time until the text is complete at its worker, us; see pace-history.h
 * @there_us: the same at the other worker, us, without the cost of the move
 *
 * The same decision as quince_sample_move_is_worthwhile(), for a worker whose pace is expected to change
 * before the text is complete.
 */
gboolean quince_sample_move_saves_enough (double here_us, double there_us);

/* Returns whether a sample may be moved to @worker, which has the weights that the sample needs: the worker
 * is listed, is not draining, loading, ejected or cold, and runs fewer than @slots requests of this process.
 * @now_us: monotonic, us */
gboolean quince_sample_move_can_target (const QuinceWorker *worker, gint64 now_us, guint slots);

/* When runs were last checked for moves, and from when measured paces are reliable. */
typedef struct
{
  gint64 last_check_us;       /* last check, monotonic, us; 0: none yet */
  gint64 paces_valid_from_us; /* no moves before this time, monotonic, us; 0: no limit */
} QuinceMoveCheckState;

/**
 * quince_sample_move_check_is_due:
 * @check: (inout): updated if a check is due, even if no moves are allowed
 * @now_us: monotonic, us
 *
 * Decides whether runs are checked for moves now.  A late check shows that this process was overloaded or
 * suspended: it read events late, so its measured paces are too slow, and moves would add load.  A late check
 * therefore prevents moves for one second.
 */
gboolean quince_sample_move_check_is_due (QuinceMoveCheckState *check, gint64 now_us);

G_END_DECLS
