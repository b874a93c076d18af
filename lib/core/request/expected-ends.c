/*
 * expected-ends.c: the leader's in-flight sends under a permit, as recorded by its likely successor.
 */
#include "core/request/expected-ends.h"

/* Maximum duration of a send under a permit, us: the TTL of a permit, see quarantine-coordinator.c. */
#define SEND_MAX_US (3 * G_USEC_PER_SEC)
/* Bounds memory use.  A digest has at most one permit at a time, and few requests are suspects. */
#define ENTRIES_MAX 256

typedef struct
{
  QuinceSuspect *suspect; /* owned */
  gint64 added_us;
} Entry;

struct _QuinceExpectedEnds
{
  GHashTable *entries; /* digest of the entry's suspect to Entry, owned */
};

static void
entry_free (gpointer data)
{
  Entry *entry = data;
  g_clear_pointer (&entry->suspect, quince_suspect_free);
  g_free (entry);
}

QuinceExpectedEnds *
quince_expected_ends_new (void)
{
  QuinceExpectedEnds *ends = g_new0 (QuinceExpectedEnds, 1);
  ends->entries
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, NULL, entry_free);
  return ends;
}

void
quince_expected_ends_free (QuinceExpectedEnds *ends)
{
  if (ends == NULL)
    return;
  g_hash_table_unref (ends->entries);
  g_free (ends);
}

static gboolean
is_expired (gpointer digest, gpointer value, gpointer now_us)
{
  return *(const gint64 *)now_us - ((const Entry *)value)->added_us >= SEND_MAX_US;
}

void
quince_expected_ends_add (QuinceExpectedEnds *ends, gint64 now_us, const QuinceSuspect *expected)
{
  g_hash_table_foreach_remove (ends->entries, is_expired, &now_us);
  if (g_hash_table_size (ends->entries) >= ENTRIES_MAX)
    return;
  Entry *entry = g_new0 (Entry, 1);
  entry->suspect = quince_suspect_copy (expected);
  entry->added_us = now_us;
  g_hash_table_replace (ends->entries, &entry->suspect->digest, entry);
}

void
quince_expected_ends_remove (QuinceExpectedEnds *ends, const QuinceRequestDigest *digest)
{
  g_hash_table_remove (ends->entries, digest);
}

GPtrArray *
quince_expected_ends_take (QuinceExpectedEnds *ends, gint64 now_us)
{
  g_hash_table_foreach_remove (ends->entries, is_expired, &now_us);
  GPtrArray *taken = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_suspect_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ends->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      /* The key is part of the suspect, whose ownership passes to the caller. */
      g_hash_table_iter_steal (&iter);
      g_ptr_array_add (taken, g_steal_pointer (&entry->suspect));
      entry_free (entry);
    }
  return taken;
}
