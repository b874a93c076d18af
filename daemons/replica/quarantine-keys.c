/*
 * quarantine-keys.c: stores held requests as keys of the metadata store.
 */
#include "quarantine-keys.h"

#include "observer/observer.h"
#include "forward/suspect-entry.h"
#include "runtime/clock.h"

/* Delay after a failed write, us, to limit the load on the store. */
#define WRITE_RETRY_DELAY_US (1 * G_USEC_PER_SEC)

struct _QuinceQuarantineKeys
{
  /* All fields belong to the main context. */
  QuinceMetaStore *store;
  QuinceQuarantine *quarantine;
  GHashTable *saved; /* set of digests as text, owned: the keys in the store */
  gboolean write_in_progress;
  gint64 next_write_us; /* monotonic: earliest time of the next write */
};

QuinceQuarantineKeys *
quince_quarantine_keys_new (QuinceMetaStore *store, QuinceQuarantine *quarantine)
{
  QuinceQuarantineKeys *keys = g_new0 (QuinceQuarantineKeys, 1);
  keys->store = store;
  keys->quarantine = quarantine;
  keys->saved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return keys;
}

void
quince_quarantine_keys_free (QuinceQuarantineKeys *keys)
{
  g_hash_table_unref (keys->saved);
  g_free (keys);
}

void
quince_quarantine_keys_apply_entry (QuinceQuarantineKeys *keys, const char *name, GBytes *value)
{
  if (value != NULL)
    g_hash_table_add (keys->saved, g_strdup (name));
  else
    g_hash_table_remove (keys->saved, name);
  quince_suspect_entry_apply (keys->quarantine, quince_now_us (), quince_wall_ms (), name, value);
}

typedef struct
{
  QuinceQuarantineKeys *keys;
  char *name;
  gboolean is_removal;
} KeyWrite;

static void
write_done (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  KeyWrite *write_state = data;
  QuinceQuarantineKeys *keys = write_state->keys;
  keys->write_in_progress = FALSE;
  if (error != NULL)
    keys->next_write_us = quince_now_us () + WRITE_RETRY_DELAY_US;
  else if (write_state->is_removal)
    g_hash_table_remove (keys->saved, write_state->name);
  else
    g_hash_table_add (keys->saved, g_strdup (write_state->name));
  g_free (write_state->name);
  g_free (write_state);
}

/* Writes @suspect to the key.  @suspect: (nullable): %NULL removes the key */
static void
write_key (QuinceQuarantineKeys *keys, const char *name, const QuinceSuspect *suspect)
{
  KeyWrite *write_state = g_new0 (KeyWrite, 1);
  write_state->keys = keys;
  write_state->name = g_strdup (name);
  write_state->is_removal = suspect == NULL;
  g_autofree char *key = g_strconcat (QUINCE_QUARANTINE_PREFIX, name, NULL);
  g_autoptr (GBytes) value = NULL;
  if (suspect != NULL)
    {
      gint64 ended_wall_ms = quince_wall_ms () - (quince_now_us () - suspect->ended_us) / 1000;
      value = quince_suspect_entry_format (suspect, ended_wall_ms);
    }
  const QuinceMetaChange change = { .key = key, .expected_revision = -1, .value = value };
  keys->write_in_progress = TRUE;
  quince_meta_store_change (keys->store, &change, 1, write_done, write_state);
}

/* Returns (transfer none) (nullable): the key of a request that is no longer held */
static const char *
find_obsolete_key (const QuinceQuarantineKeys *keys)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, keys->saved);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      QuinceRequestDigest digest;
      if (!quince_request_digest_parse (name, &digest)
          || quince_quarantine_get_rule (keys->quarantine, &digest) != QUINCE_SEND_HELD)
        return name;
    }
  return NULL;
}

/* One write at a time is enough: holds and releases are rare. */
void
quince_quarantine_keys_sync (QuinceQuarantineKeys *keys, const GPtrArray *suspects)
{
  if (keys->write_in_progress || quince_now_us () < keys->next_write_us)
    return;
  for (guint i = 0; i < suspects->len; i++)
    {
      const QuinceSuspect *suspect = suspects->pdata[i];
      g_autofree char *name = quince_request_digest_format (&suspect->digest);
      if (!suspect->held || g_hash_table_contains (keys->saved, name))
        continue;
      write_key (keys, name, suspect);
      return;
    }
  const char *outdated = find_obsolete_key (keys);
  if (outdated != NULL)
    write_key (keys, outdated, NULL);
}
