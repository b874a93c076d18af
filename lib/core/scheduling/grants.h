/*
 * grants.h: grants that this node gave, by their id and by request attempt.
 *
 * A grant is given at most once per request id and attempt.  It is held until
 * its end is told or it is abandoned; after its end it is remembered until it
 * would have expired, so that a late repeat does not get a second one.  Some
 * time after it expired without an end it is due, to be looked at.
 */
#pragma once

#include "attempt-key.h"
#include "engine-table.h"
#include "heap.h"
#include "service-counts.h"

/* A dispatch just before the expiry shows in reports heard this long after it. */
#define QUINCE_GRANT_SETTLE_US G_USEC_PER_SEC

/* Owned by the table. */
typedef struct
{
  QuinceAttemptKey key;
  guint64 grant_id;
  QuinceEngine *engine; /* owned reference */
  guint64 granted_at_report;
  QuinceServiceEntry *count; /* owned by the service counts */
  gpointer service;          /* QuinceServiceQueue, owned by the scheduler */
  guint64 policy_revision;
  gint priority;
  guint64 min_version;
  QuinceWorkClass work_class;
  gint64 granted_us;
  gint64 expires_us;
  gboolean ended;
  gboolean overdue;   /* counted as such by its engine          */
  gint64 abandon_us;  /* forgotten then, though no end was told */
  QuinceHeapNode due; /* when something must be done about it   */
} QuinceGrantEntry;

typedef struct _QuinceGrantTable QuinceGrantTable;

QuinceGrantTable *quince_grant_table_new (guint64 incarnation);
void quince_grant_table_free (QuinceGrantTable *table);

/* Takes a reference to @engine; @abandon_us: when it is abandoned */
QuinceGrantEntry *quince_grant_table_add (QuinceGrantTable *table,
                                          const QuinceAttemptKey *key,
                                          QuinceEngine *engine,
                                          gint64 expires_us,
                                          gint64 abandon_us);
QuinceGrantEntry *quince_grant_table_find (QuinceGrantTable *table, const QuinceAttemptKey *key);
QuinceGrantEntry *quince_grant_table_find_id (QuinceGrantTable *table, guint64 grant_id);
/* Ends @grant, which is forgotten at @now_us or when it would have expired. */
void quince_grant_table_end (QuinceGrantTable *table, QuinceGrantEntry *grant, gint64 now_us);
/* (nullable): a grant that is due by @now_us: to be forgotten, or looked at with
 * quince_grant_table_look_again() since it expired without an end. */
QuinceGrantEntry *quince_grant_table_due (QuinceGrantTable *table, gint64 now_us);
/* It is due again at @at_us, or when it is abandoned. */
void quince_grant_table_look_again (QuinceGrantTable *table, QuinceGrantEntry *grant, gint64 at_us);
void quince_grant_table_forget (QuinceGrantTable *table, QuinceGrantEntry *grant);
/* G_MAXINT64: none */
gint64 quince_grant_table_next_due (const QuinceGrantTable *table);
guint quince_grant_table_outstanding (const QuinceGrantTable *table);
