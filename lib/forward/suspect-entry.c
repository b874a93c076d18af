/*
 * suspect-entry.c: entries of the metadata store for suspects that are held.
 */
#include "forward/suspect-entry.h"

#include "runtime/log.h"

#define KEY_FILE_GROUP "request"

static const char *
text_or_empty (const char *text)
{
  return text != NULL ? text : "";
}

GBytes *
quince_suspect_entry_format (const QuinceSuspect *suspect, gint64 ended_wall_ms)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  g_key_file_set_string (file, KEY_FILE_GROUP, "scope", quince_suspect_scope_name (suspect->scope));
  g_key_file_set_string (file, KEY_FILE_GROUP, "service", text_or_empty (suspect->service));
  g_key_file_set_string (file, KEY_FILE_GROUP, "software", text_or_empty (suspect->software));
  g_key_file_set_uint64 (file, KEY_FILE_GROUP, "release", suspect->release);
  g_key_file_set_integer (file, KEY_FILE_GROUP, "ends", (gint)suspect->n_workers);
  g_key_file_set_integer (file, KEY_FILE_GROUP, "alone", (gint)suspect->alone);
  g_key_file_set_int64 (file, KEY_FILE_GROUP, "ended_ms", ended_wall_ms);
  gsize length = 0;
  char *text = g_key_file_to_data (file, &length, NULL);
  return g_bytes_new_take (text, length);
}

/* Sets distinct placeholders as worker hashes, since the entry contains only the number of ends. */
static void
set_placeholder_workers (QuinceSuspect *suspect, guint ends)
{
  suspect->n_workers = MIN (ends, QUINCE_QUARANTINE_WORKERS_MAX);
  for (guint i = 0; i < suspect->n_workers; i++)
    suspect->workers[i] = i + 1;
}

gboolean
quince_suspect_entry_parse (GBytes *value, QuinceSuspect *suspect, gint64 *ended_wall_ms, GError **error)
{
  gsize length = 0;
  const char *data = g_bytes_get_data (value, &length);
  g_autoptr (GKeyFile) file = g_key_file_new ();
  if (!g_key_file_load_from_data (file, data, length, G_KEY_FILE_NONE, error))
    return FALSE;
  *ended_wall_ms = g_key_file_get_int64 (file, KEY_FILE_GROUP, "ended_ms", error);
  if (*ended_wall_ms == 0)
    return FALSE;
  g_autofree char *scope = g_key_file_get_string (file, KEY_FILE_GROUP, "scope", NULL);
  suspect->scope = g_strcmp0 (scope, quince_suspect_scope_name (QUINCE_SUSPECT_PROMPT)) == 0
                       ? QUINCE_SUSPECT_PROMPT
                       : QUINCE_SUSPECT_REQUEST;
  suspect->service = g_key_file_get_string (file, KEY_FILE_GROUP, "service", NULL);
  suspect->software = g_key_file_get_string (file, KEY_FILE_GROUP, "software", NULL);
  suspect->release = g_key_file_get_uint64 (file, KEY_FILE_GROUP, "release", NULL);
  suspect->alone = (guint)MAX (g_key_file_get_integer (file, KEY_FILE_GROUP, "alone", NULL), 0);
  suspect->held = TRUE;
  suspect->reported_by = g_strdup ("store");
  set_placeholder_workers (suspect,
                           (guint)MAX (g_key_file_get_integer (file, KEY_FILE_GROUP, "ends", NULL), 0));
  return TRUE;
}

void
quince_suspect_entry_clear (QuinceSuspect *suspect)
{
  g_clear_pointer (&suspect->service, g_free);
  g_clear_pointer (&suspect->software, g_free);
  g_clear_pointer (&suspect->reported_by, g_free);
}

static gboolean
merge_value (QuinceQuarantine *quarantine,
             gint64 now_us,
             gint64 wall_ms,
             const QuinceRequestDigest *digest,
             GBytes *value)
{
  QuinceSuspect suspect = { .digest = *digest };
  gint64 ended_wall_ms = 0;
  g_autoptr (GError) error = NULL;
  gboolean applied = quince_suspect_entry_parse (value, &suspect, &ended_wall_ms, &error);
  if (applied)
    {
      suspect.ended_us = now_us - MAX (wall_ms - ended_wall_ms, 0) * 1000;
      applied = quince_quarantine_merge (quarantine, now_us, &suspect);
    }
  else
    quince_log_warning ("entry_refused", "what=quarantine code=%d", error != NULL ? error->code : 0);
  quince_suspect_entry_clear (&suspect);
  return applied;
}

gboolean
quince_suspect_entry_apply (QuinceQuarantine *quarantine,
                            gint64 now_us,
                            gint64 wall_ms,
                            const char *name,
                            GBytes *value)
{
  QuinceRequestDigest digest;
  if (!quince_request_digest_parse (name, &digest))
    {
      quince_log_warning ("entry_refused", "what=quarantine code=0");
      return FALSE;
    }
  if (value != NULL)
    return merge_value (quarantine, now_us, wall_ms, &digest, value);
  gboolean released = quince_quarantine_release (quarantine, now_us, &digest);
  if (released)
    quince_log_info ("suspect_released", "digest=%s", name);
  return released;
}
