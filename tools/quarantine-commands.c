/*
 * quarantine-commands.c: requests that are held because workers ended under them.
 */
#include <stdio.h>
#include <string.h>

#include "observer/observer.h"
#include "forward/suspect-entry.h"

#include "commands.h"
#include "store-commands.h"
#include "table.h"

typedef struct
{
  QuinceTool *tool;
  QuinceTable *table;
} Listing;

static void
add_entry (Listing *listing, const char *name, GBytes *value)
{
  QuinceSuspect suspect = { 0 };
  gint64 ended_wall_ms = 0;
  g_autoptr (GError) error = NULL;
  if (!quince_suspect_entry_parse (value, &suspect, &ended_wall_ms, &error))
    {
      fprintf (stderr, "quinceroute: %s is no entry of the quarantine\n", name);
      return;
    }
  g_autoptr (GDateTime) ended = g_date_time_new_from_unix_utc (ended_wall_ms / 1000);
  g_autofree char *text = g_date_time_format_iso8601 (ended);
  quince_table_add (listing->table, name);
  quince_table_add (listing->table, quince_suspect_scope_name (suspect.scope));
  quince_table_add (listing->table, suspect.service);
  quince_table_add (listing->table, suspect.software);
  quince_table_add_format (listing->table, "%u", suspect.n_workers);
  quince_table_add (listing->table, text);
  quince_suspect_entry_clear (&suspect);
}

static void
entry_read (const QuinceMetaItem *item, gpointer data)
{
  if (item->value != NULL)
    add_entry (data, item->key + strlen (QUINCE_QUARANTINE_PREFIX), item->value);
}

static void
all_read (gpointer data)
{
  quince_tool_finish (((Listing *)data)->tool, QUINCE_TOOL_OK);
}

QuinceToolStatus
quince_command_quarantine_list (QuinceTool *tool)
{
  static const char *const headings[] = { "DIGEST", "OF A", "SERVICE", "SOFTWARE", "ENDS", "LAST END", NULL };
  static const QuinceMetaMirrorCallbacks callbacks = { .item = entry_read, .synced = all_read };
  static const QuinceMetaMirrorTimes times = { .read_every_ms = 1000, .patience_ms = 1000 };
  if (tool->meta == NULL)
    return quince_tool_usage ("quarantine needs --store");
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  Listing listing = { .tool = tool, .table = table };
  QuinceMetaMirror *mirror
      = quince_meta_mirror_new (tool->meta, QUINCE_QUARANTINE_PREFIX, &callbacks, &listing);
  quince_meta_mirror_set_times (mirror, &times);
  quince_tool_wait (tool);
  quince_meta_mirror_free (mirror);
  if (tool->status == QUINCE_TOOL_OK)
    quince_table_print (table);
  return tool->status;
}

QuinceToolStatus
quince_command_quarantine_release (QuinceTool *tool)
{
  QuinceRequestDigest digest;
  const char *name = tool->arguments.words[0];
  if (tool->meta == NULL)
    return quince_tool_usage ("quarantine needs --store");
  if (!quince_request_digest_parse (name, &digest))
    return quince_tool_usage ("a held request is named by 32 hexadecimal digits, not '%s'", name);
  tool->status = quince_store_quarantine_release (tool, name);
  if (tool->status == QUINCE_TOOL_OK)
    printf ("request %s is released: it is sent once more, alone\n", name);
  return tool->status;
}
