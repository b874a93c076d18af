/*
 * pace-history.h: the usual pace of a worker, and how long its slow phases last.
 *
 * A worker's pace is its time between two events of a text.  Workers differ in speed, and a worker that
 * shares its machine is slow for a while now and then.  A slow phase that is over sooner than a move of a run
 * pays off is no reason to move it, so the history keeps how long slow phases lasted.
 *
 * Owned by its worker (worker-table.h).  Pure: times are monotonic, us.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Zero-initialized: nothing is measured. */
typedef struct
{
  gint64 usual_us;      /* usual time between two events; 0: unknown */
  gint64 slow_since_us; /* start of the current slow phase; 0: it is not slow */
  /* Slow phases that ended; older ones count less. */
  double phases_sum_us;
  double n_phases;
  /* The events of the current interval of QUINCE_PACE_INTERVAL_US. */
  gint64 interval_start_us;
  gint64 interval_sum_us;
  guint interval_events;
} QuincePaceHistory;

/* Duration of the intervals whose mean pace is compared with the usual one, us: some ten events of a typical
 * worker, so that a single late event does not count as a slow phase. */
#define QUINCE_PACE_INTERVAL_US (400 * 1000)

/* Records an event that arrived @event_interval_us after the one before it. */
void quince_pace_history_record (QuincePaceHistory *history, gint64 now_us, gint64 event_interval_us);

/* Slow phases of all workers of a service. */
typedef struct
{
  double sum_us;
  double count;
} QuinceSlowPhases;

/* Adds the ended slow phases of a worker. */
void quince_slow_phases_add (QuinceSlowPhases *phases, const QuincePaceHistory *history);
/* Returns the mean duration of a slow phase, us; 0 if too few have ended to tell. */
gint64 quince_slow_phases_get_mean_us (const QuinceSlowPhases *phases);

/**
 * quince_pace_history_expect_text_us:
 * @remaining: expected number of remaining events of a text that the worker generates
 * @pace_us: current pace of the worker, us
 * @mean_phase_us: mean duration of a slow phase of the service, us; 0: not known
 *
 * Expects the current pace for the rest of the text.  If the worker is slower than usual and slow phases of
 * the service are known to be short, it expects the usual pace once the phase is over.  A phase that lasts
 * longer than twice the mean is not expected to end.
 *
 * Returns: the expected time until the text is complete, us
 */
gint64 quince_pace_history_expect_text_us (const QuincePaceHistory *history,
                                           gint64 now_us,
                                           double remaining,
                                           gint64 pace_us,
                                           gint64 mean_phase_us);

G_END_DECLS
