/*
 * heartbeats.c: sends the leader's heartbeats to fronts, and logs fronts that stop answering.
 */
#include "heartbeats.h"

#include "core/routing/failure-detector.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* Short enough that a failed front leaves the directory within a second. */
#define HEARTBEAT_INTERVAL_MS 250
/* A front without an answer for this long is silent: two heartbeat intervals and a round trip. */
#define FRONT_TIMEOUT_US (650 * 1000)

struct _QuinceHeartbeats
{
  /* All fields belong to the main context. */
  QuinceFailureDetector *detector;
  GHashTable *links;  /* borrowed set of QuinceLink; NULL: not leading */
  GHashTable *silent; /* owned names of the fronts that were silent at the last reliable check */
  QuinceTimer *timer;
};

/* Logs each front that becomes silent and each that answers again. */
static void
log_silent_changes (QuinceHeartbeats *heartbeats, gint64 now_us, const GPtrArray *silent)
{
  g_autoptr (GHashTable) silent_now = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < silent->len; i++)
    {
      g_hash_table_add (silent_now, g_strdup (silent->pdata[i]));
      if (!g_hash_table_contains (heartbeats->silent, silent->pdata[i]))
        quince_log_warning ("front_silent", "front=%s", (const char *)silent->pdata[i]);
    }
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, heartbeats->silent);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (quince_failure_detector_is_alive (heartbeats->detector, now_us, name))
      quince_log_info ("front_heard", "front=%s", (const char *)name);
  g_hash_table_unref (heartbeats->silent);
  heartbeats->silent = g_steal_pointer (&silent_now);
}

static void
send_to_all_links (const QuinceHeartbeats *heartbeats, gboolean certain, const GPtrArray *silent)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HEARTBEAT };
  QuinceHeartbeat *wire = &message.QuinceMessage_u.heartbeat;
  wire->certain = certain;
  wire->silent.silent_val = (QuinceText *)silent->pdata;
  wire->silent.silent_len = silent->len;
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, heartbeats->links);
  while (encoded != NULL && g_hash_table_iter_next (&iter, &link, NULL))
    quince_link_send_probe (link, encoded);
}

static gboolean
send_heartbeat (gpointer data)
{
  QuinceHeartbeats *heartbeats = data;
  g_autoptr (GPtrArray) silent = g_ptr_array_new ();
  gint64 now_us = quince_now_us ();
  quince_failure_detector_remove_stale (heartbeats->detector, now_us);
  gboolean certain = quince_failure_detector_get_silent (heartbeats->detector, now_us, silent);
  if (certain)
    log_silent_changes (heartbeats, now_us, silent);
  send_to_all_links (heartbeats, certain, silent);
  return G_SOURCE_CONTINUE;
}

QuinceHeartbeats *
quince_heartbeats_new (void)
{
  QuinceHeartbeats *heartbeats = g_new0 (QuinceHeartbeats, 1);
  heartbeats->detector = quince_failure_detector_new (FRONT_TIMEOUT_US);
  heartbeats->silent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return heartbeats;
}

void
quince_heartbeats_free (QuinceHeartbeats *heartbeats)
{
  if (heartbeats == NULL)
    return;
  quince_timer_clear (&heartbeats->timer);
  quince_failure_detector_free (heartbeats->detector);
  g_hash_table_unref (heartbeats->silent);
  g_free (heartbeats);
}

void
quince_heartbeats_set_listed (QuinceHeartbeats *heartbeats, const char *name, gboolean listed)
{
  quince_failure_detector_set_listed (heartbeats->detector, quince_now_us (), name, listed);
}

void
quince_heartbeats_start_leading (QuinceHeartbeats *heartbeats, GHashTable *links)
{
  heartbeats->links = links;
  quince_failure_detector_restart (heartbeats->detector, quince_now_us ());
  g_hash_table_remove_all (heartbeats->silent);
  heartbeats->timer = quince_timer_add (HEARTBEAT_INTERVAL_MS, send_heartbeat, heartbeats);
}

void
quince_heartbeats_stop_leading (QuinceHeartbeats *heartbeats)
{
  quince_timer_clear (&heartbeats->timer);
  heartbeats->links = NULL;
}

void
quince_heartbeats_record_ack (QuinceHeartbeats *heartbeats, const QuinceHeartbeatAck *ack)
{
  quince_failure_detector_record_heartbeat (heartbeats->detector, quince_now_us (), ack->node);
}
