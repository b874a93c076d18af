/*
 * quarantine-commands.c: quinceroute quarantine list and release.  The quarantine holds requests and prompts
 * that are suspected of ending workers; each entry is a key of the metadata store.
 */
#include <stdio.h>
#include <string.h>

#include "observer/observer.h"
#include "forward/suspect-entry.h"

#include "commands.h"
#include "store-calls.h"
#include "table.h"

static void
add_entry_row (QuinceTable *table, const char *name, GBytes *value)
{
  QuinceSuspect suspect = { 0 };
  gint64 ended_wall_ms = 0;
  g_autoptr (GError) error = NULL;
  if (!quince_suspect_entry_parse (value, &suspect, &ended_wall_ms, &error))
    {
      fprintf (stderr, "quinceroute: %s: malformed quarantine entry\n", name);
      return;
    }
  g_autoptr (GDateTime) ended = g_date_time_new_from_unix_utc (ended_wall_ms / 1000);
  g_autofree char *text = g_date_time_format_iso8601 (ended);
  quince_table_add (table, name);
  quince_table_add (table, quince_suspect_scope_name (suspect.scope));
  quince_table_add (table, suspect.service);
  quince_table_add (table, suspect.software);
  quince_table_add_format (table, "%u", suspect.n_workers);
  quince_table_add (table, text);
  quince_suspect_entry_clear (&suspect);
}

static void
handle_quarantine_item (const QuinceMetaItem *item, gpointer data)
{
  if (item->value != NULL)
    add_entry_row (data, item->key + strlen (QUINCE_QUARANTINE_PREFIX), item->value);
}

QuinceToolStatus
quince_command_quarantine_list (QuinceTool *tool)
{
  static const char *const headings[] = { "DIGEST", "OF A", "SERVICE", "SOFTWARE", "ENDS", "LAST END", NULL };
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  QuinceToolStatus status
      = quince_store_read_prefix (tool, QUINCE_QUARANTINE_PREFIX, handle_quarantine_item, table);
  if (status == QUINCE_TOOL_OK)
    quince_table_print (table);
  return status;
}

QuinceToolStatus
quince_command_quarantine_release (QuinceTool *tool)
{
  QuinceRequestDigest digest;
  const char *name = tool->arguments.operands[0];
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  if (!quince_request_digest_parse (name, &digest))
    return quince_tool_fail_usage ("'%s' is not a digest of 32 hexadecimal digits", name);
  QuinceToolStatus status = quince_store_put_entry (tool, QUINCE_QUARANTINE_PREFIX, name, NULL);
  if (status == QUINCE_TOOL_OK)
    printf ("request %s is released: it is sent once more, alone\n", name);
  return status;
}
