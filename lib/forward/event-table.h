/*
 * event-table.h: the operators' events, and what the policy sees of them.
 *
 * For: backends.c, which owns it, and policy-entry.c, which reads events from the metadata store.  Owns: the
 * events.
 */
#pragma once

#include "policy/policy.h"

G_BEGIN_DECLS

/* A burst that operators expect.  Times are of the wall clock, ms; service "-": every one. */
typedef struct
{
  gint64 start_ms;
  gint64 duration_ms;
  char *service;
} QuinceEventEntry;

typedef struct _QuinceEventTable QuinceEventTable;

QuinceEventTable *quince_event_table_new (void);
void quince_event_table_free (QuinceEventTable *table);
/* Takes @entry's service over.  An event of the same name is replaced. */
void quince_event_table_set (QuinceEventTable *table, const char *name, const QuinceEventEntry *entry);
void quince_event_table_remove (QuinceEventTable *table, const char *name);
/* Fills in what @request's service has of events, at the wall clock @wall_ms: whether one is active, and how
 * soon the next one begins. */
void
quince_event_table_describe (const QuinceEventTable *table, gint64 wall_ms, QuincePolicyRequest *request);

G_END_DECLS
