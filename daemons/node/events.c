/*
 * events.c: the operators' events, as windows of the monotonic clock.
 *
 * The key-value service holds Unix times.  They are turned into monotonic
 * ones anew each second, so that a set wall clock is followed.
 */
#include "events.h"

#include <quince/log.h>
#include <quince/operator-keys.h>
#include <quince/operator-store.h>
#include <quince/task.h>

#include "grants.h"

#define UPDATE_INTERVAL_MS 1000
#define MILLISECOND (G_USEC_PER_SEC / 1000)

/* Owned by the node, on its main context. */
struct _QuinceEvents
{
  QuinceNode *node; /* not owned                                        */
  GPtrArray *known; /* owned: QuinceOperatorEvent                               */
  GSource *timer;   /* owned                                            */
  gint64 start_us;  /* of the current or next event, monotonic; 0 none  */
  gint64 end_us;
};

/* The event that runs, else the one that starts next. */
static const QuinceOperatorEvent *
find_next (const QuinceEvents *events, gint64 wall_ms)
{
  const QuinceOperatorEvent *next = NULL;
  for (guint i = 0; i < events->known->len; i++)
    {
      const QuinceOperatorEvent *event = g_ptr_array_index (events->known, i);
      if (event->start_ms + event->duration_ms <= wall_ms)
        continue;
      if (next == NULL || event->start_ms < next->start_ms)
        next = event;
    }
  return next;
}

static void
update_window (QuinceEvents *events)
{
  gint64 wall_ms = quince_wall_ms ();
  const QuinceOperatorEvent *next = find_next (events, wall_ms);
  events->start_us = 0;
  events->end_us = 0;
  if (next != NULL)
    {
      events->start_us = MAX (quince_now_us () + (next->start_ms - wall_ms) * MILLISECOND, 1);
      events->end_us = events->start_us + next->duration_ms * MILLISECOND;
    }
  quince_scheduler_set_event (quince_grants_get_scheduler (events->node->grants), events->start_us,
                              events->end_us);
}

void
quince_events_take_items (QuinceEvents *events, GPtrArray *items)
{
  guint before = events->known->len;
  g_ptr_array_set_size (events->known, 0);
  for (guint i = 0; i < items->len; i++)
    {
      const QuinceKvItem *item = g_ptr_array_index (items, i);
      g_autoptr (GError) error = NULL;
      QuinceOperatorEvent *event = quince_operator_event_parse (item, &error);
      if (event != NULL)
        {
          g_ptr_array_add (events->known, event);
          continue;
        }
      g_autofree char *key = quince_log_quote (item->key);
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_warning ("event_malformed", "key=%s reason=%s", key, reason);
    }
  if (events->known->len != before)
    quince_log_info ("events_changed", "events=%u", events->known->len);
  update_window (events);
}

static gboolean
update_due (gpointer user_data)
{
  update_window (user_data);
  return G_SOURCE_CONTINUE;
}

QuinceEvents *
quince_events_new (QuinceNode *node)
{
  QuinceEvents *events = g_new0 (QuinceEvents, 1);
  events->node = node;
  events->known = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_operator_event_free);
  events->timer = quince_timer_add (UPDATE_INTERVAL_MS, update_due, events);
  return events;
}

void
quince_events_free (QuinceEvents *events)
{
  if (events == NULL)
    return;
  quince_source_clear (&events->timer);
  g_ptr_array_unref (events->known);
  g_free (events);
}

void
quince_events_get_window (const QuinceEvents *events, gint64 *start_us, gint64 *end_us)
{
  *start_us = events->start_us;
  *end_us = events->end_us;
}

guint
quince_events_get_count (const QuinceEvents *events)
{
  return events->known->len;
}
