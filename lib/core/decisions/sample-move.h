/*
 * sample-move.h: decisions about running samples: when a silent run is given up, and when a run moves to
 * another worker.
 *
 * Pure: what is known is passed in, times are durations.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* How long a run may say nothing.  @pace_us: the worker's measured time an event, 0: not measured */
guint quince_silence_sample_ms (gint64 pace_us);

/* Whether a run with @remaining events to come ends enough sooner at another worker to be moved there.
 * @pace_us, @other_pace_us: measured time an event of its worker and of the other one */
gboolean quince_sample_move_pays (double remaining, gint64 pace_us, gint64 other_pace_us);

/* When runs are looked at for moves, and whether what was measured of late can be relied on. */
typedef struct
{
  gint64 checked_us; /* the last look; 0: none yet */
  gint64 trust_us;   /* paces that were measured before it may be wrong */
} QuinceMoveWatch;

/* Returns: whether it is time to look for moves at @now_us.  A process that looks late was busy: events
 * waited for it, so that the paces of their workers look slow, and moves would make it busier still. */
gboolean quince_sample_move_is_time (QuinceMoveWatch *watch, gint64 now_us);

G_END_DECLS
