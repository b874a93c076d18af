/*
 * usage-aggregator.c: counts requests per tenant and usage window, and tracks which windows were reported.
 */
#include "core/usage/usage-aggregator.h"

#include <string.h>

/* A window with events that is not closed yet. */
typedef struct
{
  guint64 number;
  GHashTable *counts; /* number of requests (GUINT) by tenant, owned */
} OpenWindow;

/* A log record that is still needed, and the latest window that it refers to. */
typedef struct
{
  guint64 index;
  guint64 window;
} RetainedRecord;

struct _QuinceUsageAggregator
{
  guint64 window_ms;
  GPtrArray *open;            /* OpenWindow, owned, sorted by number */
  GPtrArray *unsent;          /* QuinceUsageWindow, owned: closed but not acknowledged, sorted by number */
  GHashTable *sequences;      /* highest sequence number (guint64) by source (guint64), both owned */
  guint64 last_closed_window; /* all windows up to this one are closed */
  GArray *records;            /* RetainedRecord */
};

static void
open_window_free (gpointer data)
{
  OpenWindow *window = data;
  g_hash_table_unref (window->counts);
  g_free (window);
}

void
quince_usage_window_free (QuinceUsageWindow *window)
{
  quince_xdr_free ((xdrproc_t)xdr_QuinceUsageWindow, window);
}

QuinceUsageAggregator *
quince_usage_aggregator_new (guint64 window_ms)
{
  QuinceUsageAggregator *aggregator = g_new0 (QuinceUsageAggregator, 1);
  aggregator->window_ms = window_ms;
  aggregator->open = g_ptr_array_new_with_free_func (open_window_free);
  aggregator->unsent = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_usage_window_free);
  aggregator->sequences = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  aggregator->records = g_array_new (FALSE, FALSE, sizeof (RetainedRecord));
  return aggregator;
}

void
quince_usage_aggregator_free (QuinceUsageAggregator *aggregator)
{
  if (aggregator == NULL)
    return;
  g_ptr_array_unref (aggregator->open);
  g_ptr_array_unref (aggregator->unsent);
  g_hash_table_unref (aggregator->sequences);
  g_array_unref (aggregator->records);
  g_free (aggregator);
}

/* ---- USAGE records ---------------------------------------------------- */

static OpenWindow *
find_or_open_window (QuinceUsageAggregator *aggregator, guint64 number)
{
  guint position = 0;
  for (; position < aggregator->open->len; position++)
    {
      OpenWindow *known = aggregator->open->pdata[position];
      if (known->number == number)
        return known;
      if (known->number > number)
        break;
    }
  OpenWindow *window = g_new0 (OpenWindow, 1);
  window->number = number;
  window->counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_insert (aggregator->open, (gint)position, window);
  return window;
}

static void
apply_event (QuinceUsageAggregator *aggregator, const QuinceUsageEvent *event)
{
  guint64 number = event->begun_ms / aggregator->window_ms;
  if (number <= aggregator->last_closed_window)
    return;
  GHashTable *counts = find_or_open_window (aggregator, number)->counts;
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, event->tenant));
  g_hash_table_replace (counts, g_strdup (event->tenant), GUINT_TO_POINTER (count + 1));
}

/* Counts the events that are not counted yet.  Returns the latest window of @events. */
static guint64
apply_events (QuinceUsageAggregator *aggregator, const QuinceUsageEvents *events)
{
  guint64 source = events->source;
  guint64 sequence = quince_usage_aggregator_get_sequence (aggregator, source);
  guint64 last_window = 0;
  for (guint i = 0; i < events->events.events_len; i++)
    {
      const QuinceUsageEvent *event = &events->events.events_val[i];
      last_window = MAX (last_window, event->begun_ms / aggregator->window_ms);
      if (event->sequence <= sequence)
        continue;
      sequence = event->sequence;
      apply_event (aggregator, event);
    }
  g_hash_table_replace (aggregator->sequences, g_memdup2 (&source, sizeof source),
                        g_memdup2 (&sequence, sizeof sequence));
  return last_window;
}

static guint64
apply_usage (QuinceUsageAggregator *aggregator, const QuinceUsageRecord *usage)
{
  guint64 last_window = 0;
  for (guint i = 0; i < usage->sources.sources_len; i++)
    last_window = MAX (last_window, apply_events (aggregator, &usage->sources.sources_val[i]));
  return last_window;
}

/* ---- USAGE_CLOSED and USAGE_SENT records -------------------------------- */

static void
apply_closed (QuinceUsageAggregator *aggregator, const QuinceUsageWindow *closed)
{
  if (closed->window <= aggregator->last_closed_window)
    return; /* two leaders may close a window: the first record counts */
  aggregator->last_closed_window = closed->window;
  while (aggregator->open->len > 0 && ((OpenWindow *)aggregator->open->pdata[0])->number <= closed->window)
    g_ptr_array_remove_index (aggregator->open, 0);
  g_ptr_array_add (aggregator->unsent,
                   quince_xdr_copy ((xdrproc_t)xdr_QuinceUsageWindow, sizeof *closed, closed));
}

static void
apply_sent (QuinceUsageAggregator *aggregator, guint64 number)
{
  for (guint i = 0; i < aggregator->unsent->len; i++)
    if (((const QuinceUsageWindow *)aggregator->unsent->pdata[i])->window == number)
      {
        g_ptr_array_remove_index (aggregator->unsent, i);
        return;
      }
}

void
quince_usage_aggregator_apply (QuinceUsageAggregator *aggregator,
                               guint64 index,
                               const QuinceBatchRecord *record)
{
  RetainedRecord retained = { .index = index };
  if (record->kind == QUINCE_BATCH_RECORD_USAGE)
    retained.window = apply_usage (aggregator, &record->QuinceBatchRecord_u.usage);
  else if (record->kind == QUINCE_BATCH_RECORD_USAGE_CLOSED)
    {
      retained.window = record->QuinceBatchRecord_u.usage_closed.window;
      apply_closed (aggregator, &record->QuinceBatchRecord_u.usage_closed);
    }
  else
    {
      retained.window = record->QuinceBatchRecord_u.usage_sent;
      apply_sent (aggregator, retained.window);
    }
  g_array_append_val (aggregator->records, retained);
}

guint64
quince_usage_aggregator_get_sequence (const QuinceUsageAggregator *aggregator, guint64 source)
{
  const guint64 *sequence = g_hash_table_lookup (aggregator->sequences, &source);
  return sequence != NULL ? *sequence : 0;
}

/* ---- Windows to close and to report ------------------------------------- */

static gint
compare_tenants (gconstpointer a, gconstpointer b)
{
  const QuinceUsageCount *first = a;
  const QuinceUsageCount *second = b;
  return strcmp (first->tenant, second->tenant);
}

static QuinceUsageWindow *
make_closed_window (const OpenWindow *window)
{
  g_autoptr (GArray) counts = g_array_new (FALSE, FALSE, sizeof (QuinceUsageCount));
  GHashTableIter iter;
  gpointer tenant;
  gpointer requests;
  g_hash_table_iter_init (&iter, window->counts);
  while (g_hash_table_iter_next (&iter, &tenant, &requests))
    {
      QuinceUsageCount count = { .tenant = tenant, .requests = GPOINTER_TO_UINT (requests) };
      g_array_append_val (counts, count);
    }
  g_array_sort (counts, compare_tenants);
  QuinceUsageWindow closed = { .window = window->number };
  closed.counts.counts_val = (QuinceUsageCount *)counts->data;
  closed.counts.counts_len = counts->len;
  return quince_xdr_copy ((xdrproc_t)xdr_QuinceUsageWindow, sizeof closed, &closed);
}

QuinceUsageWindow *
quince_usage_aggregator_next_to_close (QuinceUsageAggregator *aggregator, guint64 now_ms, guint64 delay_ms)
{
  if (aggregator->open->len == 0)
    return NULL;
  const OpenWindow *oldest = aggregator->open->pdata[0];
  guint64 end_ms = (oldest->number + 1) * aggregator->window_ms;
  return now_ms >= end_ms + delay_ms ? make_closed_window (oldest) : NULL;
}

const QuinceUsageWindow *
quince_usage_aggregator_next_to_send (const QuinceUsageAggregator *aggregator)
{
  return aggregator->unsent->len > 0 ? aggregator->unsent->pdata[0] : NULL;
}

GArray *
quince_usage_aggregator_take_obsolete (QuinceUsageAggregator *aggregator)
{
  GArray *indexes = g_array_new (FALSE, FALSE, sizeof (guint64));
  const QuinceUsageWindow *unsent = quince_usage_aggregator_next_to_send (aggregator);
  /* Keeps the records of unacknowledged windows and of the last closed window.  Without its USAGE_CLOSED
   * record, late events would reopen older windows; without its USAGE_SENT record, a new leader would report
   * it again. */
  guint64 oldest_needed_window = unsent != NULL ? MIN (unsent->window, aggregator->last_closed_window)
                                                : aggregator->last_closed_window;
  for (guint i = aggregator->records->len; i > 0; i--)
    {
      const RetainedRecord *record = &g_array_index (aggregator->records, RetainedRecord, i - 1);
      if (record->window >= oldest_needed_window)
        continue;
      g_array_append_val (indexes, record->index);
      g_array_remove_index (aggregator->records, i - 1);
    }
  return indexes;
}
