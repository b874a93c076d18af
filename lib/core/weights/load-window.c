/*
 * load-window.c: the number of loads at once follows the time that they take.
 */
#include "core/weights/load-window.h"

/* Loads at once before any has ended, within the bound of the service.  Not measured: a source of weights
 * that is too slow for so many shows it within one load. */
#define INITIAL_LOADS 8
/* Shortest time of a load that counts, us: a load alone takes 0.9 s (measured); a shorter one found the
 * version there already. */
#define COUNTED_LOAD_MIN_US (900 * 1000)
/* Times the duration of a load alone from which on it was slowed down by others.  Reports lag by 0.1 s, and a
 * late poll adds as much. */
#define SLOW_LOAD_FACTOR 1.5
/* Growth of the number of loads for each load that was not slow, before the first slow one: it doubles with
 * each round. */
#define INITIAL_GROWTH 1.0
/* The same after the first slow one: a tenth.  Not measured. */
#define STEADY_GROWTH 0.1
/* Part of the number that is left after a slow load.  Not measured. */
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
  /* One that is alone is no slower than others make it: a greater model, or slower storage. */
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
