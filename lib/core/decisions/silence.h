/*
 * silence.h: how long a stream or a sample's run may be silent before it is resumed at another worker.
 *
 * For: lib/forward/stream.c, daemons/replica/sample.c.  Owns nothing; pure.  A lookup's silence is judged by
 * its latency target: hedge.h.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Silence after which a caller's stream is resumed elsewhere, ms; only where it can be resumed.  Not
 * measured: above the second for which a load of weights stops a worker, and below the time after which
 * callers give a stream up. */
#define QUINCE_SILENCE_STREAM_TIMEOUT_MS 1300

/**
 * quince_silence_sample_timeout_ms:
 * @pace_us: the worker's smoothed time between two events, us; 0: not measured, or it loads weights
 *
 * Decides how long a sample's run may be silent, ms: thirty events of its worker, between 1.3 and 2.5 s.
 * Reason: a dark worker was noticed after 2.5 s only; with the order by length and with moves, the worth of
 * days with trouble rose from 0.559 (15 runs) to 0.690 (40 runs).  The share of this rule was not measured.
 *
 * Edges: 2.5 s where no pace is measured.
 */
guint quince_silence_sample_timeout_ms (gint64 pace_us);

G_END_DECLS
