/*
 * suspect-list.c: a list of suspects as one entry of the metadata store: a key file with a group for each
 * digest.
 */
#include "forward/suspect-list.h"

#include "runtime/log.h"

/* Separates the worker hashes of a suspect. */
#define WORKER_SEPARATOR ";"

static const char *
text_or_empty (const char *text)
{
  return text != NULL ? text : "";
}

static char *
format_workers (const QuinceSuspect *suspect)
{
  g_autoptr (GString) text = g_string_new (NULL);
  for (guint i = 0; i < suspect->n_workers; i++)
    g_string_append_printf (text, "%s%016" G_GINT64_MODIFIER "x", i > 0 ? WORKER_SEPARATOR : "",
                            suspect->workers[i]);
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static void
format_suspect (GKeyFile *file, const QuinceSuspect *suspect, gint64 ended_wall_ms)
{
  g_autofree char *group = quince_request_digest_format (&suspect->digest);
  g_autofree char *workers = format_workers (suspect);
  g_key_file_set_string (file, group, "scope", quince_suspect_scope_name (suspect->scope));
  g_key_file_set_string (file, group, "service", text_or_empty (suspect->service));
  g_key_file_set_string (file, group, "software", text_or_empty (suspect->software));
  g_key_file_set_string (file, group, "workers", workers);
  g_key_file_set_uint64 (file, group, "release", suspect->release);
  g_key_file_set_uint64 (file, group, "alone", suspect->alone);
  g_key_file_set_uint64 (file, group, "member", suspect->member);
  g_key_file_set_boolean (file, group, "held", suspect->held);
  g_key_file_set_int64 (file, group, "ended_ms", ended_wall_ms);
}

GBytes *
quince_suspect_list_format (const GPtrArray *suspects, gint64 now_us, gint64 wall_ms)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  for (guint i = 0; i < MIN (suspects->len, QUINCE_SUSPECT_LIST_MAX); i++)
    {
      const QuinceSuspect *suspect = suspects->pdata[i];
      format_suspect (file, suspect, wall_ms - (now_us - suspect->ended_us) / 1000);
    }
  gsize length = 0;
  char *text = g_key_file_to_data (file, &length, NULL);
  return g_bytes_new_take (text, length);
}

/* ---- Parsing ------------------------------------------------------------ */

static void
parse_workers (const char *text, QuinceSuspect *suspect)
{
  g_auto (GStrv) hashes = g_strsplit (text, WORKER_SEPARATOR, QUINCE_QUARANTINE_WORKERS_MAX + 1);
  for (guint i = 0; hashes[i] != NULL && suspect->n_workers < QUINCE_QUARANTINE_WORKERS_MAX; i++)
    {
      guint64 worker = 0;
      if (g_ascii_string_to_unsigned (hashes[i], 16, 0, G_MAXUINT64, &worker, NULL))
        suspect->workers[suspect->n_workers++] = worker;
    }
}

/* Parses one group into @suspect and merges it.  Returns: whether @quarantine changed */
static gboolean
merge_group (QuinceQuarantine *quarantine,
             gint64 now_us,
             gint64 wall_ms,
             const char *reported_by,
             GKeyFile *file,
             const char *group,
             QuinceSuspect *suspect)
{
  g_autofree char *scope = g_key_file_get_string (file, group, "scope", NULL);
  g_autofree char *service = g_key_file_get_string (file, group, "service", NULL);
  g_autofree char *software = g_key_file_get_string (file, group, "software", NULL);
  g_autofree char *workers = g_key_file_get_string (file, group, "workers", NULL);
  gint64 ended_wall_ms = g_key_file_get_int64 (file, group, "ended_ms", NULL);
  if (workers == NULL || ended_wall_ms == 0)
    return FALSE;
  parse_workers (workers, suspect);
  suspect->scope = g_strcmp0 (scope, quince_suspect_scope_name (QUINCE_SUSPECT_PROMPT)) == 0
                       ? QUINCE_SUSPECT_PROMPT
                       : QUINCE_SUSPECT_REQUEST;
  suspect->service = service;
  suspect->software = software;
  suspect->reported_by = (char *)reported_by;
  suspect->release = g_key_file_get_uint64 (file, group, "release", NULL);
  suspect->alone = (guint)g_key_file_get_uint64 (file, group, "alone", NULL);
  suspect->member = g_key_file_get_uint64 (file, group, "member", NULL);
  suspect->held = g_key_file_get_boolean (file, group, "held", NULL);
  suspect->ended_us = now_us - MAX (wall_ms - ended_wall_ms, 0) * 1000;
  return quince_quarantine_merge (quarantine, now_us, suspect);
}

static void
log_report (const QuinceSuspect *suspect, const char *digest)
{
  quince_log_info ("suspect_told", "digest=%s scope=%s ends=%u alone=%u held=%s told_by=%s", digest,
                   quince_suspect_scope_name (suspect->scope), suspect->n_workers, suspect->alone,
                   suspect->held ? "true" : "false", text_or_empty (suspect->reported_by));
}

void
quince_suspect_list_merge (QuinceQuarantine *quarantine,
                           gint64 now_us,
                           gint64 wall_ms,
                           const char *reported_by,
                           GBytes *value,
                           GArray *changed)
{
  gsize length = 0;
  const char *data = g_bytes_get_data (value, &length);
  g_autoptr (GKeyFile) file = g_key_file_new ();
  g_autoptr (GError) error = NULL;
  if (!g_key_file_load_from_data (file, data, length, G_KEY_FILE_NONE, &error))
    {
      quince_log_warning ("entry_refused", "what=suspects code=%d", error->code);
      return;
    }
  g_auto (GStrv) groups = g_key_file_get_groups (file, NULL);
  for (guint i = 0; i < QUINCE_SUSPECT_LIST_MAX && groups[i] != NULL; i++)
    {
      QuinceSuspect suspect = { 0 };
      if (!quince_request_digest_parse (groups[i], &suspect.digest)
          || !merge_group (quarantine, now_us, wall_ms, reported_by, file, groups[i], &suspect))
        continue;
      g_array_append_val (changed, suspect.digest);
      log_report (quince_quarantine_find (quarantine, &suspect.digest), groups[i]);
    }
}
