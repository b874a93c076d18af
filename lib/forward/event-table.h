/*
 * event-table.h: traffic events that operators announce, as the policy sees them.
 *
 * The backends own the table; policy-entry.c reads the events from the metadata store.
 */
#pragma once

#include "policy/policy.h"

G_BEGIN_DECLS

/* An expected burst of requests.  Times are in ms, start_ms of the wall clock.  The service "-" means all
 * services. */
typedef struct
{
  gint64 start_ms;
  gint64 duration_ms;
  char *service;
} QuinceEventEntry;

typedef struct _QuinceEventTable QuinceEventTable;

QuinceEventTable *quince_event_table_new (void);
void quince_event_table_free (QuinceEventTable *table);
/* Adds an event, or replaces the event of the same name.  Takes ownership of @entry->service. */
void quince_event_table_set (QuinceEventTable *table, const char *name, const QuinceEventEntry *entry);
void quince_event_table_remove (QuinceEventTable *table, const char *name);
/* Sets @request->event_active and @request->event_in_ms from the events of @request->service at the wall
 * clock time @wall_ms. */
void
quince_event_table_describe (const QuinceEventTable *table, gint64 wall_ms, QuincePolicyRequest *request);

G_END_DECLS
