/*
 * quarantine.c: requests that were running on a worker when it ended.
 */
#include "core/request/quarantine.h"

#include <string.h>

/* Time after an answer for which ends of its prompt are ignored, unless the request was sent alone, us.
 * Longer than the deadlines of batches (12 s), which contain all requests of a prompt, and shorter than the
 * interval of software updates. */
#define CLEARED_PROMPT_TTL_US (60 * G_USEC_PER_SEC)
/* Time for which ended workers are recorded, us.  A worker that ended stays listed until its entry expires
 * (three heartbeats of 1.2 s), or until the entry of its next start replaces it. */
#define ENDED_WORKER_TTL_US (60 * G_USEC_PER_SEC)
/* Time for which a request yields to others of its prompt, us.  The leader checks waiting samples several
 * times per second. */
#define YIELD_US (1 * G_USEC_PER_SEC)

/* Time after the pause of a held prompt for which an owed request yields to others of it, us: longer than the
 * interval at which the leader checks waiting samples (100 ms). */
#define YIELD_AFTER_PAUSE_US (300 * 1000)

struct _QuinceQuarantine
{
  QuinceQuarantineLimits limits;
  GHashTable *suspects; /* the suspect's digest to QuinceSuspect, owned */
  gsize bytes;
  GHashTable *cleared_prompts; /* QuinceRequestDigest to gint64, time of the clear, us; both owned */
  gint64 yield_restart_us;     /* last call of quince_quarantine_restart_yield_time() */
  GHashTable *ended_workers;   /* QuinceIncarnation to gint64, time of its end, us; both owned */
};

const char *
quince_suspect_scope_name (QuinceSuspectScope scope)
{
  return scope == QUINCE_SUSPECT_PROMPT ? "prompt" : "request";
}

static gsize
text_size (const char *text)
{
  return text != NULL ? strlen (text) + 1 : 0;
}

static gsize
suspect_size (const QuinceSuspect *suspect)
{
  return sizeof *suspect + text_size (suspect->service) + text_size (suspect->software)
         + text_size (suspect->reported_by);
}

QuinceSuspect *
quince_suspect_copy (const QuinceSuspect *suspect)
{
  QuinceSuspect *copy = g_memdup2 (suspect, sizeof *suspect);
  copy->service = g_strdup (suspect->service);
  copy->software = g_strdup (suspect->software);
  copy->reported_by = g_strdup (suspect->reported_by);
  return copy;
}

void
quince_suspect_free (QuinceSuspect *suspect)
{
  g_free (suspect->service);
  g_free (suspect->software);
  g_free (suspect->reported_by);
  g_free (suspect);
}

QuinceQuarantine *
quince_quarantine_new (const QuinceQuarantineLimits *limits)
{
  QuinceQuarantine *quarantine = g_new0 (QuinceQuarantine, 1);
  quarantine->limits = *limits;
  quarantine->suspects = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, NULL,
                                                (GDestroyNotify)quince_suspect_free);
  quarantine->cleared_prompts
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, g_free);
  quarantine->ended_workers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return quarantine;
}

void
quince_quarantine_free (QuinceQuarantine *quarantine)
{
  if (quarantine == NULL)
    return;
  g_hash_table_unref (quarantine->suspects);
  g_hash_table_unref (quarantine->cleared_prompts);
  g_hash_table_unref (quarantine->ended_workers);
  g_free (quarantine);
}

guint64
quince_quarantine_hash_request (const QuinceRequestDigest *request)
{
  guint64 hash;
  memcpy (&hash, request->bytes, sizeof hash);
  return MAX (hash, 1);
}

/* ---- Limits and expiry ------------------------------------------------- */

static void
remove_suspect (QuinceQuarantine *quarantine, const QuinceSuspect *suspect)
{
  quarantine->bytes -= suspect_size (suspect);
  g_hash_table_remove (quarantine->suspects, &suspect->digest);
}

/* Evicts suspects that are not held first, then those with fewer ends, then older ones.  A flood of suspects
 * with one end each therefore does not evict held suspects or suspects with more ends. */
static gboolean
is_evicted_before (const QuinceSuspect *first, const QuinceSuspect *second)
{
  if (first->held != second->held)
    return second->held;
  if (first->n_workers != second->n_workers)
    return first->n_workers < second->n_workers;
  return first->ended_us < second->ended_us;
}

static const QuinceSuspect *
find_eviction_candidate (const QuinceQuarantine *quarantine, const QuinceSuspect *excluded)
{
  const QuinceSuspect *candidate = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != excluded && (candidate == NULL || is_evicted_before (value, candidate)))
      candidate = value;
  return candidate;
}

/* Never evicts @retained, which was just added or updated. */
static void
enforce_limits (QuinceQuarantine *quarantine, const QuinceSuspect *retained)
{
  const QuinceQuarantineLimits *limits = &quarantine->limits;
  while (g_hash_table_size (quarantine->suspects) > limits->suspects_max
         || quarantine->bytes > limits->suspect_bytes_max)
    {
      const QuinceSuspect *candidate = find_eviction_candidate (quarantine, retained);
      if (candidate == NULL)
        return;
      remove_suspect (quarantine, candidate);
    }
}

static void
remove_older_than (GHashTable *times, gint64 before_us)
{
  GHashTableIter iter;
  gpointer time_us;
  g_hash_table_iter_init (&iter, times);
  while (g_hash_table_iter_next (&iter, NULL, &time_us))
    if (*(gint64 *)time_us <= before_us)
      g_hash_table_iter_remove (&iter);
}

void
quince_quarantine_expire (QuinceQuarantine *quarantine, gint64 now_us)
{
  remove_older_than (quarantine->cleared_prompts, now_us - CLEARED_PROMPT_TTL_US);
  remove_older_than (quarantine->ended_workers, now_us - ENDED_WORKER_TTL_US);
  g_autoptr (GPtrArray) all = quince_quarantine_list (quarantine);
  for (guint i = 0; i < all->len; i++)
    {
      const QuinceSuspect *suspect = all->pdata[i];
      gint64 ttl_us = suspect->held ? quarantine->limits.held_ttl_us : quarantine->limits.suspect_ttl_us;
      if (now_us - suspect->ended_us >= ttl_us)
        remove_suspect (quarantine, suspect);
    }
}

/* ---- Ends -------------------------------------------------------------- */

/* Clears the table when it is full, to bound memory.  Ended workers that are still listed then count as ready
 * in the service capacity. */
void
quince_quarantine_record_ended_worker (QuinceQuarantine *quarantine,
                                       gint64 ended_us,
                                       QuinceIncarnation worker)
{
  if (g_hash_table_size (quarantine->ended_workers) >= quarantine->limits.suspects_max)
    g_hash_table_remove_all (quarantine->ended_workers);
  g_hash_table_insert (quarantine->ended_workers, g_memdup2 (&worker, sizeof worker),
                       g_memdup2 (&ended_us, sizeof ended_us));
}

gboolean
quince_quarantine_has_worker_ended (const QuinceQuarantine *quarantine, QuinceIncarnation worker)
{
  return g_hash_table_contains (quarantine->ended_workers, &worker);
}

void
quince_quarantine_forget_ended_worker (QuinceQuarantine *quarantine, QuinceIncarnation worker)
{
  g_hash_table_remove (quarantine->ended_workers, &worker);
}

static gboolean
has_worker (const QuinceSuspect *suspect, QuinceIncarnation worker)
{
  for (guint i = 0; i < suspect->n_workers; i++)
    if (suspect->workers[i] == worker)
      return TRUE;
  return FALSE;
}

QuinceIncarnation
quince_quarantine_identify_end (const QuinceQuarantine *quarantine,
                                const QuinceRequestDigest *digest,
                                QuinceIncarnation worker,
                                gint64 sent_us)
{
  const QuinceSuspect *suspect = quince_quarantine_find (quarantine, digest);
  if (suspect == NULL || sent_us <= suspect->ended_us)
    return worker;
  while (has_worker (suspect, worker))
    worker = quince_incarnation_get_successor (worker);
  return worker;
}

static gboolean
is_recently_cleared (const QuinceQuarantine *quarantine, gint64 now_us, const QuinceRequestDigest *digest)
{
  const gint64 *cleared_us = g_hash_table_lookup (quarantine->cleared_prompts, digest);
  return cleared_us != NULL && now_us - *cleared_us < CLEARED_PROMPT_TTL_US;
}

/* Returns whether @reported is to be ignored because its prompt was cleared within the last minute.  A report
 * of an end after the clear counts if the suspect was sent alone or is held. */
static gboolean
is_superseded_by_clear (const QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *reported)
{
  const gint64 *cleared_us = g_hash_table_lookup (quarantine->cleared_prompts, &reported->digest);
  gboolean newer_end_alone
      = cleared_us != NULL && reported->ended_us > *cleared_us && (reported->held || reported->alone > 0);
  return is_recently_cleared (quarantine, now_us, &reported->digest) && !newer_end_alone;
}

/* Successive ends of the same request count once against its prompt. */
static void
count_alone_end (QuinceSuspect *suspect, const QuinceSuspect *observed)
{
  if (!observed->alone || (suspect->scope == QUINCE_SUSPECT_PROMPT && suspect->member == observed->member))
    return;
  suspect->alone++;
  suspect->member = observed->member;
}

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

/* Drops the worker that was added first if all places are taken, so that a further end still counts.  Returns
 * FALSE if @worker is already recorded. */
static gboolean
add_worker (QuinceSuspect *suspect, QuinceIncarnation worker)
{
  if (has_worker (suspect, worker))
    return FALSE;
  if (suspect->n_workers == QUINCE_QUARANTINE_WORKERS_MAX)
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
update_details (QuinceQuarantine *quarantine, QuinceSuspect *suspect, const QuinceSuspect *observed)
{
  quarantine->bytes -= suspect_size (suspect);
  suspect->ended_us = MAX (suspect->ended_us, observed->ended_us);
  set_text (&suspect->service, observed->service);
  set_text (&suspect->software, observed->software);
  set_text (&suspect->reported_by, observed->reported_by);
  quarantine->bytes += suspect_size (suspect);
}

static void
update_held (QuinceSuspect *suspect)
{
  suspect->held = suspect->held
                  || (suspect->n_workers >= QUINCE_QUARANTINE_HOLD_ENDS_MIN
                      && suspect->alone >= QUINCE_QUARANTINE_HOLD_ALONE_ENDS_MIN);
}

const QuinceSuspect *
quince_quarantine_record_end (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *observed)
{
  quince_quarantine_record_ended_worker (quarantine, now_us, observed->workers[0]);
  if (!observed->alone && is_recently_cleared (quarantine, now_us, &observed->digest))
    return NULL;
  g_hash_table_remove (quarantine->cleared_prompts, &observed->digest);
  QuinceSuspect *suspect = find_or_add (quarantine, &observed->digest);
  QuinceSuspect details = *observed;
  details.ended_us = now_us;
  suspect->scope = observed->scope;
  if (add_worker (suspect, observed->workers[0]))
    count_alone_end (suspect, observed);
  update_details (quarantine, suspect, &details);
  update_held (suspect);
  enforce_limits (quarantine, suspect);
  return suspect;
}

void
quince_quarantine_expect_end (const QuinceQuarantine *quarantine,
                              gint64 now_us,
                              const QuinceSuspect *observed,
                              QuinceSuspect *expected)
{
  const QuinceSuspect *known = quince_quarantine_find (quarantine, &observed->digest);
  *expected
      = known != NULL ? *known : (QuinceSuspect){ .digest = observed->digest, .scope = observed->scope };
  expected->ended_us = now_us;
  if (add_worker (expected, observed->workers[0]))
    count_alone_end (expected, observed);
}

/* Resets the evidence against @suspect if @reported has a newer release.  Returns whether it has. */
static gboolean
adopt_newer_release (QuinceSuspect *suspect, const QuinceSuspect *reported)
{
  if (reported->release <= suspect->release)
    return FALSE;
  suspect->release = reported->release;
  suspect->alone = 0;
  suspect->member = 0;
  suspect->held = FALSE;
  return TRUE;
}

static gboolean
merge_worker (QuinceQuarantine *quarantine, QuinceSuspect *suspect, QuinceIncarnation worker, gint64 ended_us)
{
  if (!add_worker (suspect, worker))
    return FALSE;
  quince_quarantine_record_ended_worker (quarantine, ended_us, worker);
  return TRUE;
}

gboolean
quince_quarantine_merge (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *reported)
{
  const QuinceSuspect *known = quince_quarantine_find (quarantine, &reported->digest);
  if (known != NULL && reported->release < known->release)
    return FALSE;
  gint64 ttl_us = reported->held ? quarantine->limits.held_ttl_us : quarantine->limits.suspect_ttl_us;
  if (now_us - reported->ended_us >= ttl_us || is_superseded_by_clear (quarantine, now_us, reported))
    return FALSE;
  gboolean changed = known == NULL;
  QuinceSuspect *suspect = find_or_add (quarantine, &reported->digest);
  suspect->scope = reported->scope;
  changed = adopt_newer_release (suspect, reported) || changed;
  for (guint i = 0; i < MIN (reported->n_workers, QUINCE_QUARANTINE_WORKERS_MAX); i++)
    changed = merge_worker (quarantine, suspect, reported->workers[i], reported->ended_us) || changed;
  changed = changed || reported->alone > suspect->alone || (reported->held && !suspect->held);
  if (reported->alone > suspect->alone)
    suspect->member = reported->member;
  suspect->alone = MAX (suspect->alone, reported->alone);
  suspect->held = suspect->held || reported->held;
  update_held (suspect);
  if (changed)
    update_details (quarantine, suspect, reported);
  enforce_limits (quarantine, suspect);
  return changed;
}

gboolean
quince_quarantine_clear (QuinceQuarantine *quarantine, const QuinceRequestDigest *digest)
{
  const QuinceSuspect *suspect = quince_quarantine_find (quarantine, digest);
  if (suspect == NULL)
    return FALSE;
  remove_suspect (quarantine, suspect);
  return TRUE;
}

gboolean
quince_quarantine_clear_prompt (QuinceQuarantine *quarantine,
                                gint64 now_us,
                                const QuinceRequestDigest *digest)
{
  if (g_hash_table_size (quarantine->cleared_prompts) >= quarantine->limits.suspects_max)
    g_hash_table_remove_all (quarantine->cleared_prompts);
  g_hash_table_insert (quarantine->cleared_prompts, g_memdup2 (digest, sizeof *digest),
                       g_memdup2 (&now_us, sizeof now_us));
  return quince_quarantine_clear (quarantine, digest);
}

gboolean
quince_quarantine_release (QuinceQuarantine *quarantine, gint64 now_us, const QuinceRequestDigest *digest)
{
  QuinceSuspect *suspect = g_hash_table_lookup (quarantine->suspects, digest);
  if (suspect == NULL || !suspect->held)
    return FALSE;
  suspect->held = FALSE;
  suspect->release++;
  suspect->ended_us = now_us; /* restarts suspect_ttl_us */
  suspect->alone = QUINCE_QUARANTINE_HOLD_ALONE_ENDS_MIN - 1;
  suspect->member = 0;
  return TRUE;
}

/* ---- Queries ----------------------------------------------------------- */

const QuinceSuspect *
quince_quarantine_find (const QuinceQuarantine *quarantine, const QuinceRequestDigest *digest)
{
  return g_hash_table_lookup (quarantine->suspects, digest);
}

QuinceSendRule
quince_quarantine_get_rule (const QuinceQuarantine *quarantine, const QuinceRequestDigest *digest)
{
  const QuinceSuspect *suspect = quince_quarantine_find (quarantine, digest);
  if (suspect == NULL)
    return QUINCE_SEND_UNRESTRICTED;
  if (suspect->held)
    return QUINCE_SEND_HELD;
  return suspect->n_workers >= QUINCE_QUARANTINE_ALONE_ENDS_MIN ? QUINCE_SEND_ALONE : QUINCE_SEND_BY_PERMIT;
}

gboolean
quince_quarantine_should_yield (const QuinceQuarantine *quarantine,
                                gint64 now_us,
                                const QuinceRequestIdentity *identity)
{
  const QuinceSuspect *prompt
      = identity->has_prompt ? quince_quarantine_find (quarantine, &identity->prompt) : NULL;
  return prompt != NULL && prompt->member == quince_quarantine_hash_request (&identity->request)
         && now_us - MAX (prompt->ended_us, quarantine->yield_restart_us)
                < MAX (YIELD_US, quince_suspect_get_owed_pause_us (prompt) + YIELD_AFTER_PAUSE_US);
}

void
quince_quarantine_restart_yield_time (QuinceQuarantine *quarantine, gint64 now_us)
{
  quarantine->yield_restart_us = now_us;
}

guint
quince_quarantine_get_size (const QuinceQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->suspects);
}

guint
quince_quarantine_get_n_ended_workers (const QuinceQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->ended_workers);
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
