/*
 * silence.h: how long a stream or a run of a sample may be silent before it resumes at another worker.
 *
 * Pure functions, used by lib/forward/stream.c and daemons/replica/sample.c.  The timeout of a silent lookup
 * depends on its latency target; see hedge.h.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Silence after which a resumable stream resumes at another worker, ms.  Longer than a load of weights, which
 * stops a worker for about 1 s, but shorter than the time after which callers give up. */
#define QUINCE_SILENCE_STREAM_TIMEOUT_MS 1300

/**
 * quince_silence_sample_timeout_ms:
 * @pace_us: the worker's smoothed time between two events, us; 0: unknown, or the worker is loading
 *   weights
 *
 * Decides how long a run of a sample may be silent: the time of thirty events of its worker, but at least
 * 1.3 s and at most 2.5 s, so that the failure of a fast worker is detected early.  It is 2.5 s if no pace is
 * measured.
 *
 * Returns: the timeout, ms
 */
guint quince_silence_sample_timeout_ms (gint64 pace_us);

G_END_DECLS
