/*
 * load-window.c: the number of loads at once follows the time that they take.
 */
#include "core/weights/load-window.h"

/* Loads at once before any has ended, bounded by what the service can do without: a source of weights that
 * bears fewer is found out within one load. */
#define START_LOADS 8
/* A load alone takes about a second; a worker that had the version already is no measure of that. */
#define ALONE_MIN_US (900 * 1000)
/* A load that takes so many times as long as one alone was slowed down by others.  Reports lag by 0.1 s, and
 * a late look adds as much. */
#define SLOW_TIMES 1.5
/* For each load that was not slow the number grows by this: it doubles with each round of loads until one was
 * slow, and grows by a tenth after that. */
#define GROWTH_FIRST 1.0
#define GROWTH 0.1
/* What is left of the number after a slow load. */
#define SHRINK 0.7

static double
size_of (const QuinceLoadWindow *window)
{
  return window->size > 0 ? window->size : START_LOADS;
}

guint
quince_load_window_get (const QuinceLoadWindow *window, guint most)
{
  return MAX (MIN ((guint)size_of (window), most), 1);
}

void
quince_load_window_note (QuinceLoadWindow *window, gint64 now_us, gint64 began_us, guint most)
{
  gint64 took_us = now_us - began_us;
  if (took_us < ALONE_MIN_US)
    return;
  /* One that is alone is no slower than others make it: a greater model, or slower storage. */
  gboolean alone = window->alone_us == 0 || size_of (window) <= 1;
  window->alone_us = alone ? took_us : MIN (window->alone_us, took_us);
  double growth = window->shrunk_us == 0 ? GROWTH_FIRST : GROWTH;
  if ((double)took_us <= SLOW_TIMES * (double)window->alone_us)
    window->size = MAX (size_of (window), MIN (size_of (window) + growth, most));
  else if (began_us >= window->shrunk_us)
    {
      window->size = MAX (MIN (size_of (window), MAX (most, 1)) * SHRINK, 1);
      window->shrunk_us = now_us;
    }
}
