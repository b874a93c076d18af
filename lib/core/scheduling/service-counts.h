/*
 * service-counts.h: service received per member and kind of work.
 *
 * Only what was answered on time counts as received.  Names come from callers,
 * so the number of pairs is bounded; the rest is counted as one.
 */
#pragma once

#include <quince/scheduler.h>

#define QUINCE_SERVICE_COUNTS_MOST 4096
#define QUINCE_SERVICE_COUNTS_REST "(rest)"

/* Owned by the table and never freed before it. */
typedef struct
{
  QuinceServiceCount count; /* the strings are owned by the entry */
} QuinceServiceEntry;

typedef struct _QuinceServiceCounts QuinceServiceCounts;

QuinceServiceCounts *quince_service_counts_new (void);
void quince_service_counts_free (QuinceServiceCounts *counts);
/* Finds or makes the entry. */
QuinceServiceEntry *
quince_service_counts_get (QuinceServiceCounts *counts, const char *member, const char *kind);
void quince_service_counts_foreach (const QuinceServiceCounts *counts,
                                    void (*visit) (const QuinceServiceCount *count, gpointer user_data),
                                    gpointer user_data);
