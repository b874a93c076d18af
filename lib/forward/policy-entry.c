/*
 * policy-entry.c: entries of the metadata store that hold policy programs and events.
 */
#include "forward/policy-entry.h"

#include <string.h>

#include "runtime/log.h"

#include "backends-private.h"

/* Proposal, author, comment and program; only the program contains line feeds. */
#define ENTRY_LINES 4

G_DEFINE_QUARK (quince - policy - entry - error - quark, quince_policy_entry_error)

GBytes *
quince_policy_entry_format (const QuincePolicyEntry *entry)
{
  g_autofree char *author = g_strescape (entry->author, NULL);
  g_autofree char *comment = g_strescape (entry->comment, NULL);
  char *text = g_strjoin ("\n", entry->proposal, author, comment, entry->program, NULL);
  return g_bytes_new_take (text, strlen (text));
}

QuincePolicyEntry *
quince_policy_entry_parse (GBytes *value, GError **error)
{
  g_autofree char *text = g_strndup (g_bytes_get_data (value, NULL), g_bytes_get_size (value));
  g_auto (GStrv) lines = g_strsplit (text, "\n", ENTRY_LINES);
  if (g_strv_length (lines) != ENTRY_LINES)
    {
      g_set_error_literal (error, QUINCE_POLICY_ENTRY_ERROR, QUINCE_POLICY_ENTRY_ERROR_INVALID,
                           "policy entry has fewer than 4 lines");
      return NULL;
    }
  QuincePolicyEntry *entry = g_new0 (QuincePolicyEntry, 1);
  entry->proposal = g_strdup (lines[0]);
  entry->author = g_strcompress (lines[1]);
  entry->comment = g_strcompress (lines[2]);
  entry->program = g_strdup (lines[3]);
  return entry;
}

void
quince_policy_entry_free (QuincePolicyEntry *entry)
{
  if (entry == NULL)
    return;
  g_free (entry->proposal);
  g_free (entry->author);
  g_free (entry->comment);
  g_free (entry->program);
  g_free (entry);
}

GBytes *
quince_event_entry_format (const QuinceEventEntry *entry)
{
  const char *service = entry->service != NULL && *entry->service != '\0' ? entry->service : "-";
  char *text = g_strdup_printf ("%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %s", entry->start_ms,
                                entry->duration_ms, service);
  return g_bytes_new_take (text, strlen (text));
}

gboolean
quince_event_entry_parse (GBytes *value, QuinceEventEntry *entry, GError **error)
{
  g_autofree char *text = g_strndup (g_bytes_get_data (value, NULL), g_bytes_get_size (value));
  g_auto (GStrv) words = g_strsplit (text, " ", 3);
  if (g_strv_length (words) != 3
      || !g_ascii_string_to_signed (words[0], 10, 0, G_MAXINT64, &entry->start_ms, NULL)
      || !g_ascii_string_to_signed (words[1], 10, 0, G_MAXINT64, &entry->duration_ms, NULL))
    {
      g_set_error_literal (error, QUINCE_POLICY_ENTRY_ERROR, QUINCE_POLICY_ENTRY_ERROR_INVALID,
                           "event entry is not of the form START_MS DURATION_MS SERVICE");
      return FALSE;
    }
  entry->service = g_strdup (words[2]);
  return TRUE;
}

/* ---- Active policy and events ------------------------------------------- */

gboolean
quince_backends_load_policy (QuinceBackends *backends, const char *path, GError **error)
{
  g_autofree char *text = NULL;
  gsize length;
  if (!g_file_get_contents (path, &text, &length, error))
    return FALSE;
  QuincePolicy *policy = quince_policy_compile (text, length, 0, error);
  if (policy == NULL)
    return FALSE;
  quince_backends_set_policy (backends, policy);
  return TRUE;
}

static void
log_invalid_entry (const char *entry_kind, guint64 revision, const GError *error)
{
  g_autofree char *reason = quince_log_quote (error->message);
  quince_log_warning ("entry_refused", "what=%s revision=%" G_GUINT64_FORMAT " error=%s code=%d reason=%s",
                      entry_kind, revision, g_quark_to_string (error->domain), error->code, reason);
}

void
quince_backends_apply_policy_entry (QuinceBackends *backends, GBytes *value, guint64 revision)
{
  const QuincePolicy *current = quince_backends_get_policy (backends);
  if (value == NULL || (current != NULL && revision <= quince_policy_get_revision (current)))
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (QuincePolicyEntry) entry = quince_policy_entry_parse (value, &error);
  QuincePolicy *policy = NULL;
  if (entry != NULL)
    policy = quince_policy_compile (entry->program, strlen (entry->program), revision, &error);
  if (policy == NULL)
    {
      log_invalid_entry ("policy", revision, error);
      return;
    }
  g_autofree char *author = quince_log_quote (entry->author);
  quince_log_info ("policy_in_force", "revision=%" G_GUINT64_FORMAT " author=%s", revision, author);
  quince_backends_set_policy (backends, policy);
  g_clear_pointer (&backends->policy_entry, g_bytes_unref);
  backends->policy_entry = g_bytes_ref (value);
}

GBytes *
quince_backends_get_policy_entry (const QuinceBackends *backends, guint64 *revision)
{
  *revision = backends->policy != NULL ? quince_policy_get_revision (backends->policy) : 0;
  return backends->policy_entry;
}

void
quince_backends_apply_event_entry (QuinceBackends *backends, const char *name, GBytes *value)
{
  g_autoptr (GError) error = NULL;
  QuinceEventEntry entry = { 0 };
  g_autofree char *quoted = quince_log_quote (name);
  if (value == NULL)
    {
      quince_log_info ("event_deleted", "name=%s", quoted);
      quince_event_table_remove (backends->events, name);
      return;
    }
  if (!quince_event_entry_parse (value, &entry, &error))
    {
      log_invalid_entry ("event", 0, error);
      return;
    }
  quince_log_info ("event_known",
                   "name=%s start_ms=%" G_GINT64_FORMAT " duration_ms=%" G_GINT64_FORMAT " service=%s",
                   quoted, entry.start_ms, entry.duration_ms, entry.service);
  quince_event_table_set (backends->events, name, &entry);
}
