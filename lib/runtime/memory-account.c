/*
 * memory-account.c: the bytes that requests of clients hold in a process.
 */
#include "runtime/memory-account.h"

/* Time after which a hold that waits for its peer has made no progress, us.  Longer than two retransmissions
 * of a lost packet. */
#define STALL_US (2 * G_USEC_PER_SEC)
/* A hold makes progress with each such fraction of its bytes. */
#define PROGRESS_FRACTION 256
/* Requests may hold at least this fraction of the memory, whatever the machine has. */
#define LIMIT_MIN_FRACTION 8
/* Fraction of the account that is kept for small requests. */
#define SMALL_SHARE_FRACTION 8

struct _QuinceMemoryAccount
{
  guint64 limit_bytes;
  guint64 held_bytes;
  GHashTable *holds; /* set of QuinceMemoryHold, not owned */
  guint64 n_evicted;
};

struct _QuinceMemoryHold
{
  QuinceMemoryAccount *account;
  QuinceMemoryEvict evict;
  gpointer user_data;
  guint64 bytes;
  gboolean waits;           /* for the peer */
  gint64 progress_us;       /* last progress, monotonic */
  guint64 progressed_bytes; /* since then */
};

guint64
quince_memory_account_compute_limit (guint64 memory_bytes, guint64 other_bytes, double share)
{
  guint64 left_bytes = memory_bytes - MIN (memory_bytes, other_bytes);
  return MAX (memory_bytes / LIMIT_MIN_FRACTION, (guint64)(share * (double)left_bytes));
}

QuinceMemoryAccount *
quince_memory_account_new (guint64 limit_bytes)
{
  QuinceMemoryAccount *account = g_new0 (QuinceMemoryAccount, 1);
  account->limit_bytes = limit_bytes;
  account->holds = g_hash_table_new (NULL, NULL);
  return account;
}

void
quince_memory_account_free (QuinceMemoryAccount *account)
{
  if (account == NULL)
    return;
  g_hash_table_unref (account->holds);
  g_free (account);
}

guint64
quince_memory_account_get_limit (const QuinceMemoryAccount *account)
{
  return account->limit_bytes;
}

guint64
quince_memory_account_get_held (const QuinceMemoryAccount *account)
{
  return account->held_bytes;
}

guint
quince_memory_account_get_n_holds (const QuinceMemoryAccount *account)
{
  return g_hash_table_size (account->holds);
}

guint64
quince_memory_account_get_n_evicted (const QuinceMemoryAccount *account)
{
  return account->n_evicted;
}

QuinceMemoryHold *
quince_memory_hold_new (QuinceMemoryAccount *account, QuinceMemoryEvict evict, gpointer user_data)
{
  QuinceMemoryHold *hold = g_new0 (QuinceMemoryHold, 1);
  hold->account = account;
  hold->evict = evict;
  hold->user_data = user_data;
  g_hash_table_add (account->holds, hold);
  return hold;
}

void
quince_memory_hold_free (QuinceMemoryHold *hold)
{
  if (hold == NULL)
    return;
  hold->account->held_bytes -= hold->bytes;
  g_hash_table_remove (hold->account->holds, hold);
  g_free (hold);
}

guint64
quince_memory_hold_get_bytes (const QuinceMemoryHold *hold)
{
  return hold->bytes;
}

void
quince_memory_hold_set (QuinceMemoryHold *hold, guint64 bytes)
{
  hold->account->held_bytes = hold->account->held_bytes - hold->bytes + bytes;
  hold->bytes = bytes;
}

void
quince_memory_hold_set_waiting (QuinceMemoryHold *hold, gboolean waits, gint64 now_us)
{
  if (hold->waits == waits)
    return;
  hold->waits = waits;
  hold->progress_us = now_us;
  hold->progressed_bytes = 0;
}

void
quince_memory_hold_record_progress (QuinceMemoryHold *hold, gsize bytes, gint64 now_us)
{
  hold->progressed_bytes += bytes;
  if (hold->progressed_bytes < hold->bytes / PROGRESS_FRACTION)
    return;
  hold->progress_us = now_us;
  hold->progressed_bytes = 0;
}

/* ---- Making room --------------------------------------------------------- */

/* Returns whether @hold makes no progress and may be ended for @self, which belongs to another request. */
static gboolean
is_stalled (const QuinceMemoryHold *hold, const QuinceMemoryHold *self, gint64 now_us)
{
  gboolean is_endable = hold->evict != NULL && hold->user_data != self->user_data;
  return is_endable && hold->waits && hold->bytes > 0 && now_us - hold->progress_us >= STALL_US;
}

/* Returns the bytes of holds that make no progress. */
static guint64
sum_stalled (const QuinceMemoryAccount *account, const QuinceMemoryHold *self, gint64 now_us)
{
  guint64 bytes = 0;
  GHashTableIter iter;
  gpointer hold;
  g_hash_table_iter_init (&iter, account->holds);
  while (g_hash_table_iter_next (&iter, &hold, NULL))
    if (is_stalled (hold, self, now_us))
      bytes += ((const QuinceMemoryHold *)hold)->bytes;
  return bytes;
}

/* Returns: (nullable): the hold without progress for the longest time */
static QuinceMemoryHold *
find_longest_stalled (const QuinceMemoryAccount *account, const QuinceMemoryHold *self, gint64 now_us)
{
  QuinceMemoryHold *longest = NULL;
  GHashTableIter iter;
  gpointer hold;
  g_hash_table_iter_init (&iter, account->holds);
  while (g_hash_table_iter_next (&iter, &hold, NULL))
    if (is_stalled (hold, self, now_us)
        && (longest == NULL || ((QuinceMemoryHold *)hold)->progress_us < longest->progress_us))
      longest = hold;
  return longest;
}

/* Ends holds without progress until @needed_bytes more are within @limit_bytes, unless all of them are too
 * few.
 */
static void
make_room (QuinceMemoryHold *self, guint64 limit_bytes, guint64 needed_bytes, gint64 now_us)
{
  QuinceMemoryAccount *account = self->account;
  if (account->held_bytes - MIN (account->held_bytes, sum_stalled (account, self, now_us)) + needed_bytes
      > limit_bytes)
    return;
  while (account->held_bytes + needed_bytes > limit_bytes)
    {
      QuinceMemoryHold *stalled = find_longest_stalled (account, self, now_us);
      if (stalled == NULL)
        return;
      account->n_evicted++;
      stalled->evict (stalled->user_data);
    }
}

gboolean
quince_memory_hold_reserve (QuinceMemoryHold *hold, guint64 bytes, gint64 now_us)
{
  QuinceMemoryAccount *account = hold->account;
  guint64 needed_bytes = bytes - MIN (bytes, hold->bytes);
  guint64 kept_bytes
      = bytes > QUINCE_SMALL_REQUEST_MAX_BYTES ? account->limit_bytes / SMALL_SHARE_FRACTION : 0;
  guint64 limit_bytes = account->limit_bytes - kept_bytes;
  if (needed_bytes > 0 && account->held_bytes + needed_bytes > limit_bytes)
    make_room (hold, limit_bytes, needed_bytes, now_us);
  if (needed_bytes > 0 && account->held_bytes + needed_bytes > limit_bytes)
    return FALSE;
  quince_memory_hold_set (hold, bytes);
  return TRUE;
}
