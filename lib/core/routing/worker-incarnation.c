/*
 * worker-incarnation.c: identifies one start of a worker's process.
 */
#include "core/routing/worker-incarnation.h"

#include <string.h>

#include <xxhash.h>

QuinceIncarnation
quince_incarnation_make (const char *worker_id, gint64 started_at_ms)
{
  return MAX (XXH3_64bits_withSeed (worker_id, strlen (worker_id), (XXH64_hash_t)started_at_ms), 1);
}

QuinceIncarnation
quince_incarnation_get_successor (QuinceIncarnation incarnation)
{
  return MAX (XXH3_64bits (&incarnation, sizeof incarnation), 1);
}

gboolean
quince_incarnation_is_same_or_successor (QuinceIncarnation incarnation,
                                         QuinceIncarnation later,
                                         guint successors_max)
{
  for (guint i = 0; i < successors_max && incarnation != later; i++)
    incarnation = quince_incarnation_get_successor (incarnation);
  return incarnation == later;
}
