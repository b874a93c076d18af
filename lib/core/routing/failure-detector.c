/*
 * failure-detector.c: detects failed fronts by missing heartbeats.
 */
#include "core/routing/failure-detector.h"

/* How long a front is monitored after the metadata store stops listing it, since its entry may have expired
 * during an outage of the store.  Longer than a front's lease, which is 6 s. */
#define UNLISTED_RETENTION_US (10 * G_USEC_PER_SEC)
/* At least one in this many fronts must be alive for a reliable result.  A leader that is isolated with one
 * of three zones reaches about a third of the fronts. */
#define ALIVE_MIN_DIVISOR 2

typedef struct
{
  gboolean listed;
  gint64 last_heartbeat_us; /* or when the front was listed, if that was later */
  gint64 unlisted_us;       /* when the store stopped listing the front; unused while it is listed */
} Entry;

struct _QuinceFailureDetector
{
  GHashTable *entries; /* Entry by name, owned */
  gint64 heartbeat_timeout_us;
  gint64 restarted_us; /* when monitoring started */
};

QuinceFailureDetector *
quince_failure_detector_new (gint64 heartbeat_timeout_us)
{
  QuinceFailureDetector *detector = g_new0 (QuinceFailureDetector, 1);
  detector->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  detector->heartbeat_timeout_us = heartbeat_timeout_us;
  return detector;
}

void
quince_failure_detector_free (QuinceFailureDetector *detector)
{
  if (detector == NULL)
    return;
  g_hash_table_unref (detector->entries);
  g_free (detector);
}

static Entry *
find_or_add_entry (QuinceFailureDetector *detector, gint64 now_us, const char *name)
{
  Entry *entry = g_hash_table_lookup (detector->entries, name);
  if (entry != NULL)
    return entry;
  entry = g_new0 (Entry, 1);
  entry->last_heartbeat_us = now_us;
  entry->unlisted_us = now_us - UNLISTED_RETENTION_US; /* never listed: not monitored */
  g_hash_table_insert (detector->entries, g_strdup (name), entry);
  return entry;
}

void
quince_failure_detector_set_listed (QuinceFailureDetector *detector,
                                    gint64 now_us,
                                    const char *name,
                                    gboolean listed)
{
  Entry *entry = find_or_add_entry (detector, now_us, name);
  if (entry->listed == listed)
    return;
  entry->listed = listed;
  if (listed)
    entry->last_heartbeat_us = now_us;
  else
    entry->unlisted_us = now_us;
}

void
quince_failure_detector_record_heartbeat (QuinceFailureDetector *detector, gint64 now_us, const char *name)
{
  find_or_add_entry (detector, now_us, name)->last_heartbeat_us = now_us;
}

void
quince_failure_detector_restart (QuinceFailureDetector *detector, gint64 now_us)
{
  detector->restarted_us = now_us;
}

static gboolean
is_alive (const QuinceFailureDetector *detector, gint64 now_us, const Entry *entry)
{
  return now_us - entry->last_heartbeat_us < detector->heartbeat_timeout_us;
}

gboolean
quince_failure_detector_is_alive (const QuinceFailureDetector *detector, gint64 now_us, const char *name)
{
  const Entry *entry = g_hash_table_lookup (detector->entries, name);
  return entry != NULL && is_alive (detector, now_us, entry);
}

void
quince_failure_detector_remove_stale (QuinceFailureDetector *detector, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, detector->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      if (!entry->listed && now_us - entry->unlisted_us >= UNLISTED_RETENTION_US
          && !is_alive (detector, now_us, entry))
        g_hash_table_iter_remove (&iter);
    }
}

gboolean
quince_failure_detector_get_silent (const QuinceFailureDetector *detector, gint64 now_us, GPtrArray *silent)
{
  guint n_judged = 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  if (now_us - detector->restarted_us < detector->heartbeat_timeout_us)
    return FALSE;
  g_hash_table_iter_init (&iter, detector->entries);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Entry *entry = value;
      if (!entry->listed && now_us - entry->unlisted_us >= UNLISTED_RETENTION_US)
        continue;
      n_judged++;
      if (!is_alive (detector, now_us, entry))
        g_ptr_array_add (silent, name);
    }
  guint n_alive = n_judged - silent->len;
  if (silent->len == 0 || n_alive * ALIVE_MIN_DIVISOR >= n_judged)
    return TRUE;
  g_ptr_array_set_size (silent, 0);
  return FALSE;
}
