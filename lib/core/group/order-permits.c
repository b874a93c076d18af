/*
 * order-permits.c: which workers a leader may order now, by the order records that it appended.
 */
#include "order-permits.h"

#include "core/group/order-history.h"

/* An order record of this leader.  Each worker is mapped to the last one that names it. */
typedef struct
{
  guint64 index;
  gint64 appended_us;
} AppendedRecord;

struct _QuinceOrderPermits
{
  GHashTable *workers;     /* id to AppendedRecord, both owned */
  GArray *uncommitted;     /* AppendedRecord, sorted by index */
  guint64 committed_index; /* last committed record; 0: none */
};

QuinceOrderPermits *
quince_order_permits_new (void)
{
  QuinceOrderPermits *permits = g_new0 (QuinceOrderPermits, 1);
  permits->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  permits->uncommitted = g_array_new (FALSE, FALSE, sizeof (AppendedRecord));
  return permits;
}

void
quince_order_permits_free (QuinceOrderPermits *permits)
{
  if (permits == NULL)
    return;
  g_hash_table_unref (permits->workers);
  g_array_unref (permits->uncommitted);
  g_free (permits);
}

void
quince_order_permits_clear (QuinceOrderPermits *permits)
{
  g_hash_table_remove_all (permits->workers);
  g_array_set_size (permits->uncommitted, 0);
  permits->committed_index = 0;
}

static gboolean
is_in_time (const AppendedRecord *record, gint64 now_us)
{
  return now_us <= record->appended_us + QUINCE_ORDER_SEND_MAX_US;
}

static gboolean
has_expired (gpointer worker, gpointer value, gpointer data)
{
  return !is_in_time (value, *(const gint64 *)data);
}

void
quince_order_permits_add (QuinceOrderPermits *permits,
                          gint64 now_us,
                          guint64 index,
                          const char *const *workers,
                          guint n_workers)
{
  const AppendedRecord record = { index, now_us };
  g_hash_table_foreach_remove (permits->workers, has_expired, &now_us);
  for (guint i = 0; i < n_workers; i++)
    g_hash_table_replace (permits->workers, g_strdup (workers[i]), g_memdup2 (&record, sizeof record));
  g_array_append_val (permits->uncommitted, record);
}

void
quince_order_permits_commit (QuinceOrderPermits *permits, guint64 index)
{
  guint n_committed = 0;
  permits->committed_index = MAX (permits->committed_index, index);
  while (n_committed < permits->uncommitted->len
         && g_array_index (permits->uncommitted, AppendedRecord, n_committed).index <= index)
    n_committed++;
  if (n_committed > 0)
    g_array_remove_range (permits->uncommitted, 0, n_committed);
}

gboolean
quince_order_permits_has_record (const QuinceOrderPermits *permits, gint64 now_us, const char *worker)
{
  const AppendedRecord *record = g_hash_table_lookup (permits->workers, worker);
  return record != NULL && is_in_time (record, now_us);
}

gint64
quince_order_permits_get_send_by_us (const QuinceOrderPermits *permits, gint64 now_us, const char *worker)
{
  const AppendedRecord *record = g_hash_table_lookup (permits->workers, worker);
  gboolean may_send
      = record != NULL && record->index <= permits->committed_index && is_in_time (record, now_us);
  return may_send ? record->appended_us + QUINCE_ORDER_SEND_MAX_US : 0;
}

gboolean
quince_order_permits_is_stalled (const QuinceOrderPermits *permits, gint64 now_us)
{
  return permits->uncommitted->len > 0
         && !is_in_time (&g_array_index (permits->uncommitted, AppendedRecord, 0), now_us);
}
