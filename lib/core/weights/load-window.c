/*
 * load-window.c: adapts the number of concurrent loads to their duration.
 */
#include "core/weights/load-window.h"

/* Concurrent loads before the first one has ended.  A weight storage that is too slow for so many shows it
 * within one load. */
#define INITIAL_LOADS 8
/* Shortest duration of a load that is taken into account, us.  A shorter load means that the worker already
 * had the version. */
#define COUNTED_LOAD_MIN_US (900 * 1000)
/* A load is slow if it takes more than this factor times the baseline.  Reports and polls may each add a
 * delay of 0.1 s. */
#define SLOW_LOAD_FACTOR 1.5
/* Growth of the window for each load that was not slow, before the first slow one.  The window doubles with
 * each round of loads. */
#define INITIAL_GROWTH 1.0
/* Growth of the window for each load that was not slow, after the first slow one. */
#define STEADY_GROWTH 0.1
/* Factor by which a slow load shrinks the window. */
#define SHRINK_FACTOR 0.7

static double
get_size (const QuinceLoadWindow *window)
{
  return window->size > 0 ? window->size : INITIAL_LOADS;
}

guint
quince_load_window_get_size (const QuinceLoadWindow *window, guint max_loads)
{
  return MAX (MIN ((guint)get_size (window), max_loads), 1);
}

void
quince_load_window_record_load (QuinceLoadWindow *window, gint64 now_us, gint64 started_us, guint max_loads)
{
  gint64 duration_us = now_us - started_us;
  if (duration_us < COUNTED_LOAD_MIN_US)
    return;
  /* At size 1 the latest load becomes the baseline even if it took longer: no concurrent load delayed it, so
   * the model has grown or the storage has become slower. */
  gboolean is_baseline = window->baseline_us == 0 || get_size (window) <= 1;
  window->baseline_us = is_baseline ? duration_us : MIN (window->baseline_us, duration_us);
  double growth = window->last_decrease_us == 0 ? INITIAL_GROWTH : STEADY_GROWTH;
  if ((double)duration_us <= SLOW_LOAD_FACTOR * (double)window->baseline_us)
    window->size = MAX (get_size (window), MIN (get_size (window) + growth, max_loads));
  else if (started_us >= window->last_decrease_us)
    {
      window->size = MAX (MIN (get_size (window), MAX (max_loads, 1)) * SHRINK_FACTOR, 1);
      window->last_decrease_us = now_us;
    }
}
