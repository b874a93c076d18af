/*
 * agreed-clock.c: the median of the wall clocks that machines report.
 */
#include "core/usage/agreed-clock.h"

/* Older reports are ignored: wall clocks drift slowly, but machines are replaced. */
#define REPORT_AGE_MAX_MS 30000

typedef struct
{
  gint64 reported_ms; /* monotonic clock of this process */
  gint64 offset_ms;   /* wall clock minus monotonic clock */
} ClockReport;

struct _QuinceAgreedClock
{
  GHashTable *reports; /* source (guint64) to ClockReport, both owned */
};

QuinceAgreedClock *
quince_agreed_clock_new (void)
{
  QuinceAgreedClock *clock = g_new0 (QuinceAgreedClock, 1);
  clock->reports = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return clock;
}

void
quince_agreed_clock_free (QuinceAgreedClock *clock)
{
  if (clock == NULL)
    return;
  g_hash_table_unref (clock->reports);
  g_free (clock);
}

void
quince_agreed_clock_add_report (QuinceAgreedClock *clock, guint64 source, gint64 monotonic_ms, gint64 wall_ms)
{
  const ClockReport report = { .reported_ms = monotonic_ms, .offset_ms = wall_ms - monotonic_ms };
  g_hash_table_replace (clock->reports, g_memdup2 (&source, sizeof source),
                        g_memdup2 (&report, sizeof report));
}

static gint
compare_offsets (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a;
  gint64 second = *(const gint64 *)b;
  return (first > second) - (first < second);
}

gint64
quince_agreed_clock_get (QuinceAgreedClock *clock, gint64 monotonic_ms, gint64 own_wall_ms)
{
  gint64 own_offset_ms = own_wall_ms - monotonic_ms;
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_array_append_val (offsets, own_offset_ms);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clock->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ClockReport *report = value;
      if (monotonic_ms - report->reported_ms > REPORT_AGE_MAX_MS)
        g_hash_table_iter_remove (&iter);
      else
        g_array_append_val (offsets, report->offset_ms);
    }
  g_array_sort (offsets, compare_offsets);
  return monotonic_ms + g_array_index (offsets, gint64, (offsets->len - 1) / 2);
}
