/*
 * events.h: the operators' events, as windows of the monotonic clock.
 */
#pragma once

#include "node.h"

QuinceEvents *quince_events_new (QuinceNode *node);
void quince_events_free (QuinceEvents *events);
/* @items: QuinceKvItem, everything that stands under the events' prefix */
void quince_events_take_items (QuinceEvents *events, GPtrArray *items);
/* The current or next event, monotonic; 0, 0: none. */
void quince_events_get_window (const QuinceEvents *events, gint64 *start_us, gint64 *end_us);
guint quince_events_get_count (const QuinceEvents *events);
