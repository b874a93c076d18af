/*
 * order-history.c: when each part of the log was received, and which workers its order records block.
 */
#include "order-history.h"

/* Maximum number of parts of the log with a time of their own. */
#define PARTS_MAX 64
/* Maximum number of epochs of this process that are remembered.  After one is forgotten, this process waits
 * at most one whole pause longer than needed. */
#define OWN_EPOCHS_MAX 16

/* The records from @first_index up to the next part. */
typedef struct
{
  guint64 first_index;
  gint64 began_us;    /* receipt of its first records */
  gint64 received_us; /* receipt of its last records */
} Part;

/* An order record whose content is in the log. */
typedef struct
{
  guint64 index;
  gint64 finished_us; /* when it no longer blocks any worker */
} StoredRecord;

struct _QuinceOrderHistory
{
  gint64 block_us;    /* time from the receipt of a record to the end of the block */
  gint64 part_min_us; /* records received within this time share a part */
  GArray *parts;      /* Part, sorted by first_index; the first one starts at 0 */

  guint64 epoch;             /* led by this process; 0: none yet */
  GArray *own_epochs;        /* guint64: epochs that this process led */
  guint64 read_epoch;        /* greatest earlier epoch that was read, except own ones without orders */
  gboolean has_record;       /* that epoch has an order record */
  GHashTable *blocked_until; /* worker id to gint64, both owned; us */
  GArray *records;           /* StoredRecord, sorted by index */
};

QuinceOrderHistory *
quince_order_history_new (gint64 now_us, gint64 order_pause_us)
{
  QuinceOrderHistory *history = g_new0 (QuinceOrderHistory, 1);
  history->block_us = order_pause_us + QUINCE_ORDER_SEND_MAX_US;
  /* Together, the parts cover more than the time for which a record blocks its workers. */
  history->part_min_us = history->block_us / (PARTS_MAX / 2);
  history->parts = g_array_new (FALSE, FALSE, sizeof (Part));
  const Part on_disk = { 0, now_us, now_us };
  g_array_append_val (history->parts, on_disk);
  history->own_epochs = g_array_new (FALSE, FALSE, sizeof (guint64));
  history->blocked_until = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  history->records = g_array_new (FALSE, FALSE, sizeof (StoredRecord));
  return history;
}

void
quince_order_history_free (QuinceOrderHistory *history)
{
  if (history == NULL)
    return;
  g_array_unref (history->parts);
  g_array_unref (history->own_epochs);
  g_hash_table_unref (history->blocked_until);
  g_array_unref (history->records);
  g_free (history);
}

/* ---- Times of receipt ----------------------------------------------------- */

void
quince_order_history_record_receipt (QuinceOrderHistory *history, gint64 now_us, guint64 first_index)
{
  GArray *parts = history->parts;
  while (parts->len > 1 && g_array_index (parts, Part, parts->len - 1).first_index >= first_index)
    g_array_set_size (parts, parts->len - 1);
  Part *last = &g_array_index (parts, Part, parts->len - 1);
  if (last->first_index >= first_index || (parts->len > 1 && now_us - last->began_us < history->part_min_us))
    {
      last->received_us = MAX (last->received_us, now_us);
      return;
    }
  const Part part = { first_index, now_us, now_us };
  g_array_append_val (parts, part);
  if (parts->len <= PARTS_MAX)
    return;
  /* The two oldest parts become one, with the later of their times. */
  Part *first = &g_array_index (parts, Part, 0);
  first->received_us = MAX (first->received_us, g_array_index (parts, Part, 1).received_us);
  g_array_remove_index (parts, 1);
}

gint64
quince_order_history_get_received_us (const QuinceOrderHistory *history, guint64 index)
{
  guint i = history->parts->len - 1;
  while (i > 0 && g_array_index (history->parts, Part, i).first_index > index)
    i--;
  return g_array_index (history->parts, Part, i).received_us;
}

/* ---- Orders of earlier leaders --------------------------------------------- */

static gboolean
is_own_epoch (const QuinceOrderHistory *history, guint64 epoch)
{
  for (guint i = 0; i < history->own_epochs->len; i++)
    if (g_array_index (history->own_epochs, guint64, i) == epoch)
      return TRUE;
  return FALSE;
}

void
quince_order_history_start_leading (QuinceOrderHistory *history, guint64 epoch)
{
  history->epoch = epoch;
  history->read_epoch = 0;
  history->has_record = FALSE;
  g_hash_table_remove_all (history->blocked_until);
  g_array_set_size (history->records, 0);
  if (history->own_epochs->len == OWN_EPOCHS_MAX)
    g_array_remove_index (history->own_epochs, 0);
  g_array_append_val (history->own_epochs, epoch);
}

static void
block_worker (QuinceOrderHistory *history, const char *worker, gint64 until_us)
{
  const gint64 *known_us = g_hash_table_lookup (history->blocked_until, worker);
  if (known_us == NULL || *known_us < until_us)
    g_hash_table_replace (history->blocked_until, g_strdup (worker), g_memdup2 (&until_us, sizeof until_us));
}

static void
add_record (QuinceOrderHistory *history, guint64 index, gint64 finished_us)
{
  const StoredRecord record = { index, finished_us };
  g_array_append_val (history->records, record);
}

void
quince_order_history_read_entry (QuinceOrderHistory *history,
                                 guint64 index,
                                 guint64 epoch,
                                 const QuinceOrderRecord *orders)
{
  if (epoch >= history->epoch)
    return;
  /* In an epoch that this process led and that has no order record, it gave no orders. */
  if (epoch > history->read_epoch && (orders != NULL || !is_own_epoch (history, epoch)))
    {
      history->read_epoch = epoch;
      history->has_record = FALSE;
    }
  if (orders == NULL)
    return;
  history->has_record = TRUE;
  gint64 until_us = quince_order_history_get_received_us (history, index) + history->block_us;
  /* A leader that leads again need not wait for its own orders. */
  guint n_blocked = is_own_epoch (history, epoch) ? 0 : orders->workers.workers_len;
  for (guint i = 0; i < n_blocked; i++)
    block_worker (history, orders->workers.workers_val[i], until_us);
  add_record (history, index, until_us);
}

gboolean
quince_order_history_is_complete (const QuinceOrderHistory *history)
{
  return history->has_record;
}

gboolean
quince_order_history_may_order (const QuinceOrderHistory *history, gint64 now_us, const char *worker)
{
  const gint64 *until_us = g_hash_table_lookup (history->blocked_until, worker);
  return history->has_record && (until_us == NULL || now_us >= *until_us);
}

guint
quince_order_history_count_blocked (const QuinceOrderHistory *history, gint64 now_us, gint64 *longest_us)
{
  guint count = 0;
  gint64 longest = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, history->blocked_until);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gint64 remaining_us = *(const gint64 *)value - now_us;
      count += remaining_us > 0;
      longest = MAX (longest, remaining_us);
    }
  if (longest_us != NULL)
    *longest_us = longest;
  return count;
}

/* ---- Obsolete records ---------------------------------------------------- */

void
quince_order_history_add_own (QuinceOrderHistory *history, gint64 now_us, guint64 index)
{
  add_record (history, index, now_us + history->block_us);
}

GArray *
quince_order_history_take_finished (QuinceOrderHistory *history,
                                    gint64 now_us,
                                    guint min_records,
                                    guint max_records)
{
  GArray *indexes = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint n_finished = 0;
  while (n_finished < max_records && n_finished + 1 < history->records->len
         && g_array_index (history->records, StoredRecord, n_finished).finished_us <= now_us)
    n_finished++;
  if (n_finished == 0 || n_finished < min_records)
    return indexes;
  for (guint i = 0; i < n_finished; i++)
    g_array_append_val (indexes, g_array_index (history->records, StoredRecord, i).index);
  g_array_remove_range (history->records, 0, n_finished);
  return indexes;
}
