/*
 * quarantine.c: requests under which workers ended.
 */
#include <quince/quarantine.h>

#include <string.h>

#include <xxhash.h>

struct _QuinceQuarantine
{
  QuinceQuarantineLimits limits;
  GHashTable *suspects; /* QuinceSuspect by its own digest, owned */
  gsize bytes;
};

static gsize
text_size (const char *text)
{
  return text != NULL ? strlen (text) + 1 : 0;
}

static gsize
suspect_size (const QuinceSuspect *suspect)
{
  return sizeof *suspect + text_size (suspect->service) + text_size (suspect->software)
         + text_size (suspect->told_by);
}

static void
suspect_free (gpointer data)
{
  QuinceSuspect *suspect = data;
  g_free (suspect->service);
  g_free (suspect->software);
  g_free (suspect->told_by);
  g_free (suspect);
}

QuinceQuarantine *
quince_quarantine_new (const QuinceQuarantineLimits *limits)
{
  QuinceQuarantine *quarantine = g_new0 (QuinceQuarantine, 1);
  quarantine->limits = *limits;
  quarantine->suspects
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, NULL, suspect_free);
  return quarantine;
}

void
quince_quarantine_free (QuinceQuarantine *quarantine)
{
  if (quarantine == NULL)
    return;
  g_hash_table_unref (quarantine->suspects);
  g_free (quarantine);
}

guint64
quince_quarantine_hash_worker (const char *worker_id)
{
  return XXH3_64bits (worker_id, strlen (worker_id));
}

/* ---- Bounds ------------------------------------------------------------ */

static void
forget (QuinceQuarantine *quarantine, const QuinceSuspect *suspect)
{
  quarantine->bytes -= suspect_size (suspect);
  g_hash_table_remove (quarantine->suspects, &suspect->digest);
}

/* Which of two is forgotten first: what is not held, then what met fewer ends, then the older one.  So a
 * flood of requests that each met one end forgets none that is held, and none that met more. */
static gboolean
goes_before (const QuinceSuspect *first, const QuinceSuspect *second)
{
  if (first->held != second->held)
    return second->held;
  if (first->n_workers != second->n_workers)
    return first->n_workers < second->n_workers;
  return first->ended_us < second->ended_us;
}

static const QuinceSuspect *
find_least (const QuinceQuarantine *quarantine, const QuinceSuspect *but)
{
  const QuinceSuspect *least = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != but && (least == NULL || goes_before (value, least)))
      least = value;
  return least;
}

/* @newest stays: it was learned just now. */
static void
keep_bounds (QuinceQuarantine *quarantine, const QuinceSuspect *newest)
{
  const QuinceQuarantineLimits *limits = &quarantine->limits;
  while (g_hash_table_size (quarantine->suspects) > limits->entries_most
         || quarantine->bytes > limits->bytes_most)
    {
      const QuinceSuspect *least = find_least (quarantine, newest);
      if (least == NULL)
        return;
      forget (quarantine, least);
    }
}

void
quince_quarantine_expire (QuinceQuarantine *quarantine, gint64 now_us)
{
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine);
  for (guint i = 0; i < all->len; i++)
    {
      const QuinceSuspect *suspect = all->pdata[i];
      gint64 keep = suspect->held ? quarantine->limits.hold_keep_us : quarantine->limits.doubt_keep_us;
      if (now_us - suspect->ended_us >= keep)
        forget (quarantine, suspect);
    }
}

/* ---- Ends -------------------------------------------------------------- */

static QuinceSuspect *
find_or_add (QuinceQuarantine *quarantine, const QuinceRequestDigest *digest)
{
  QuinceSuspect *suspect = g_hash_table_lookup (quarantine->suspects, digest);
  if (suspect != NULL)
    return suspect;
  suspect = g_new0 (QuinceSuspect, 1);
  suspect->digest = *digest;
  g_hash_table_insert (quarantine->suspects, &suspect->digest, suspect);
  quarantine->bytes += suspect_size (suspect);
  return suspect;
}

/* Where all places are taken the worker that was learned first is forgotten: one more end still counts. */
static gboolean
add_worker (QuinceSuspect *suspect, guint64 worker)
{
  for (guint i = 0; i < suspect->n_workers; i++)
    if (suspect->workers[i] == worker)
      return FALSE;
  if (suspect->n_workers == QUINCE_QUARANTINE_WORKERS_MOST)
    {
      suspect->n_workers--;
      memmove (suspect->workers, suspect->workers + 1, suspect->n_workers * sizeof suspect->workers[0]);
    }
  suspect->workers[suspect->n_workers++] = worker;
  return TRUE;
}

static void
set_text (char **text, const char *value)
{
  if (g_strcmp0 (*text, value) == 0)
    return;
  g_free (*text);
  *text = g_strdup (value);
}

static void
take_details (QuinceQuarantine *quarantine, QuinceSuspect *suspect, const QuinceSuspect *seen)
{
  quarantine->bytes -= suspect_size (suspect);
  suspect->ended_us = MAX (suspect->ended_us, seen->ended_us);
  set_text (&suspect->service, seen->service);
  set_text (&suspect->software, seen->software);
  set_text (&suspect->told_by, seen->told_by);
  quarantine->bytes += suspect_size (suspect);
}

static void
judge_ends (QuinceSuspect *suspect)
{
  suspect->held = suspect->held
                  || (suspect->n_workers >= QUINCE_QUARANTINE_ENDS_LEAST
                      && suspect->alone >= QUINCE_QUARANTINE_ALONE_LEAST);
}

const QuinceSuspect *
quince_quarantine_note_end (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *seen)
{
  QuinceSuspect *suspect = find_or_add (quarantine, &seen->digest);
  QuinceSuspect end = *seen;
  end.ended_us = now_us;
  if (add_worker (suspect, seen->workers[0]))
    suspect->alone += seen->alone;
  take_details (quarantine, suspect, &end);
  judge_ends (suspect);
  keep_bounds (quarantine, suspect);
  return suspect;
}

/* What was told of a newer release replaces what is known of older ones. */
static gboolean
take_release (QuinceSuspect *suspect, const QuinceSuspect *told)
{
  if (told->release <= suspect->release)
    return FALSE;
  suspect->release = told->release;
  suspect->alone = 0;
  suspect->held = FALSE;
  return TRUE;
}

gboolean
quince_quarantine_merge (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *told)
{
  const QuinceSuspect *known = quince_quarantine_find (quarantine, &told->digest);
  if (known != NULL && told->release < known->release)
    return FALSE;
  gint64 keep = told->held ? quarantine->limits.hold_keep_us : quarantine->limits.doubt_keep_us;
  if (now_us - told->ended_us >= keep)
    return FALSE;
  gboolean changed = known == NULL;
  QuinceSuspect *suspect = find_or_add (quarantine, &told->digest);
  changed = take_release (suspect, told) || changed;
  for (guint i = 0; i < MIN (told->n_workers, QUINCE_QUARANTINE_WORKERS_MOST); i++)
    changed = add_worker (suspect, told->workers[i]) || changed;
  changed = changed || told->alone > suspect->alone || (told->held && !suspect->held);
  suspect->alone = MAX (suspect->alone, told->alone);
  suspect->held = suspect->held || told->held;
  judge_ends (suspect);
  if (changed)
    take_details (quarantine, suspect, told);
  keep_bounds (quarantine, suspect);
  return changed;
}

gboolean
quince_quarantine_clear (QuinceQuarantine *quarantine, const QuinceRequestDigest *digest)
{
  const QuinceSuspect *suspect = quince_quarantine_find (quarantine, digest);
  if (suspect == NULL)
    return FALSE;
  forget (quarantine, suspect);
  return TRUE;
}

gboolean
quince_quarantine_release (QuinceQuarantine *quarantine, gint64 now_us, const QuinceRequestDigest *digest)
{
  QuinceSuspect *suspect = g_hash_table_lookup (quarantine->suspects, digest);
  if (suspect == NULL || !suspect->held)
    return FALSE;
  suspect->held = FALSE;
  suspect->release++;
  suspect->ended_us = now_us; /* it is watched for as long as after an end */
  suspect->alone = QUINCE_QUARANTINE_ALONE_LEAST - 1;
  return TRUE;
}

/* ---- Looking ----------------------------------------------------------- */

const QuinceSuspect *
quince_quarantine_find (const QuinceQuarantine *quarantine, const QuinceRequestDigest *digest)
{
  return g_hash_table_lookup (quarantine->suspects, digest);
}

QuinceSendRule
quince_quarantine_judge (const QuinceQuarantine *quarantine, const QuinceRequestDigest *digest)
{
  const QuinceSuspect *suspect = quince_quarantine_find (quarantine, digest);
  if (suspect == NULL)
    return QUINCE_SEND_FREE;
  if (suspect->held)
    return QUINCE_SEND_HELD;
  return suspect->n_workers >= QUINCE_QUARANTINE_ENDS_ALONE ? QUINCE_SEND_ALONE : QUINCE_SEND_BY_PERMIT;
}

guint
quince_quarantine_get_size (const QuinceQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->suspects);
}

gsize
quince_quarantine_get_bytes (const QuinceQuarantine *quarantine)
{
  return quarantine->bytes;
}

GPtrArray *
quince_quarantine_list (const QuinceQuarantine *quarantine)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, value);
  return all;
}
