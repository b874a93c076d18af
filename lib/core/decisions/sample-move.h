/*
 * sample-move.h: when a running sample is cut and resumed at a faster worker.
 *
 * For: the ledger's leader (daemons/replica/sample-moves.c).  Owns nothing; pure.  Relies on: the paces that
 * the worker table measures, and the length model.
 */
#pragma once

#include "core/routing/worker-table.h"

G_BEGIN_DECLS

/* Moves at one check: bounds what a wrong pace can cost.  Not measured. */
#define QUINCE_SAMPLE_MOVES_PER_CHECK_MAX 6

/**
 * QuinceSampleMoveInput:
 * @single_version: its text may have one weight version only, so that it would begin anew elsewhere
 * @moves: runs of it that ended by a move
 * @run_us: duration of its run so far, us
 * @measured: events of the run have come since weights were loaded
 */
typedef struct
{
  gboolean single_version;
  guint moves;
  gint64 run_us;
  gboolean measured;
} QuinceSampleMoveInput;

/* Whether a running sample may move at all: measured for 0.7 s, moved fewer than four times before, and not
 * bound to a single version. */
gboolean quince_sample_move_is_allowed (const QuinceSampleMoveInput *sample);

/**
 * quince_sample_move_is_worthwhile:
 * @remaining: events still to come, by the length model
 * @pace_us: measured time between two events at its worker, us; 0: not measured
 * @target_pace_us: the same of the other worker
 *
 * Decides whether a run ends enough sooner at another worker: by 0.5 s and a quarter of the time left, after
 * 0.15 s for the move.  Reason: steps of trainers end with their longest samples; without moves the mean
 * worth of days with trouble was 0.741 in place of 0.790 (15 runs each).
 *
 * Edges: an unmeasured pace never moves a run.
 */
gboolean quince_sample_move_is_worthwhile (double remaining, gint64 pace_us, gint64 target_pace_us);

/* Whether a sample may be moved to @worker now, which has its weights: a worker that serves, is not ejected
 * or cold, and runs fewer samples than its @slots.  The time is monotonic, us. */
gboolean quince_sample_move_can_target (const QuinceWorker *worker, gint64 now_us, guint slots);

/* When runs are checked for moves, and whether recent measurements can be relied on. */
typedef struct
{
  gint64 last_check_us;       /* the last check, monotonic, us; 0: none yet */
  gint64 paces_valid_from_us; /* paces measured before it may be wrong, monotonic, us */
} QuinceMoveCheckState;

/**
 * quince_sample_move_check_is_due:
 * @now_us: monotonic, us
 *
 * Decides whether runs are checked for moves now.  A process that checks late was busy: events waited for it,
 * so that the paces of their workers look slow, and moves would make it busier still.  Measured: 122 moves in
 * the first 12 s of a calm day by paces that a busy leader had measured.
 *
 * Edges: a late check, or a process that was suspended, allows none for a second.
 */
gboolean quince_sample_move_check_is_due (QuinceMoveCheckState *check, gint64 now_us);

G_END_DECLS
