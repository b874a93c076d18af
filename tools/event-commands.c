/*
 * event-commands.c: quinceroute event create, list, delete.
 */
#include <math.h>
#include <stdio.h>

#include "commands.h"
#include "store-commands.h"
#include "table.h"

#define MAX_SECONDS (366.0 * 24 * 3600)

static gint64
now_ms (void)
{
  return g_get_real_time () / 1000;
}

/* ---- Times --------------------------------------------------------------------- */

static gboolean
parse_seconds (const char *text, gint64 *ms)
{
  char *end = NULL;
  if (!g_ascii_isdigit (text[0]))
    return FALSE;
  double seconds = g_ascii_strtod (text, &end);
  if (*end != '\0' || !isfinite (seconds) || seconds > MAX_SECONDS)
    return FALSE;
  *ms = (gint64)llround (seconds * 1000);
  return TRUE;
}

static gboolean
parse_start (const char *text, gint64 *start_ms)
{
  if (text[0] == '+')
    {
      gint64 from_now_ms = 0;
      if (!parse_seconds (text + 1, &from_now_ms))
        return FALSE;
      *start_ms = now_ms () + from_now_ms;
      return TRUE;
    }
  g_autoptr (GDateTime) time = g_date_time_new_from_iso8601 (text, NULL);
  if (time == NULL)
    return FALSE;
  *start_ms = g_date_time_to_unix (time) * 1000 + g_date_time_get_microsecond (time) / 1000;
  return TRUE;
}

/* (transfer full) */
static char *
format_time (gint64 unix_ms)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (unix_ms / 1000);
  g_autofree char *text = time != NULL ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%S") : g_strdup ("?");
  return g_strdup_printf ("%s.%03dZ", text, (int)(unix_ms % 1000));
}

/* ---- create and delete ------------------------------------------------------------ */

static void
on_done (guint64 revision, const GError *error, gpointer user_data)
{
  QuinceTool *tool = user_data;
  if (error != NULL)
    {
      quince_tool_finish (tool, quince_tool_fail_error (error));
      return;
    }
  quince_tool_finish (tool, QUINCE_TOOL_OK);
}

static void
add_event_json (JsonBuilder *builder, const QuinceOperatorEvent *event)
{
  json_builder_begin_object (builder);
  quince_tool_add_text (builder, "name", event->name);
  quince_tool_add_text (builder, "service", event->service);
  quince_tool_add_number (builder, "start_ms", event->start_ms);
  quince_tool_add_number (builder, "duration_ms", event->duration_ms);
  quince_tool_add_number (builder, "expected", (gint64)event->expected);
  json_builder_end_object (builder);
}

static void
print_created (const QuinceTool *tool, const QuinceOperatorEvent *event)
{
  if (tool->arguments.json)
    {
      g_autoptr (JsonBuilder) builder = json_builder_new ();
      add_event_json (builder, event);
      quince_tool_print_json (builder);
      return;
    }
  g_autofree char *start = format_time (event->start_ms);
  printf ("event %s starts at %s and lasts %.3f s\n", event->name, start, (double)event->duration_ms / 1000);
}

QuinceToolStatus
quince_command_event_create (QuinceTool *tool)
{
  const QuinceToolArguments *arguments = &tool->arguments;
  if (tool->meta == NULL && !quince_tool_need_store (tool))
    return QUINCE_TOOL_USAGE;
  if (arguments->start == NULL || arguments->duration == NULL)
    return quince_tool_usage ("event create needs --start and --duration");
  g_autoptr (QuinceOperatorEvent) event = g_new0 (QuinceOperatorEvent, 1);
  event->name = g_strdup (arguments->words[0]);
  event->service = g_strdup (arguments->service != NULL ? arguments->service : "");
  if (!parse_start (arguments->start, &event->start_ms))
    return quince_tool_usage ("--start takes RFC 3339 with a zone, or +SECONDS, not '%s'", arguments->start);
  if (!parse_seconds (arguments->duration, &event->duration_ms))
    return quince_tool_usage ("--duration takes seconds, at most 366 days, not '%s'", arguments->duration);
  if (arguments->expected != NULL
      && !g_ascii_string_to_unsigned (arguments->expected, 10, 0, G_MAXINT64, &event->expected, NULL))
    return quince_tool_usage ("--expected takes a number, not '%s'", arguments->expected);
  if (tool->meta != NULL)
    tool->status
        = quince_store_event_create (tool, event->name, event->start_ms, event->duration_ms, event->service);
  else
    {
      quince_operator_store_create_event (tool->store, event, on_done, tool);
      quince_tool_wait (tool);
    }
  if (tool->status == QUINCE_TOOL_OK)
    print_created (tool, event);
  return tool->status;
}

QuinceToolStatus
quince_command_event_delete (QuinceTool *tool)
{
  if (tool->meta == NULL && !quince_tool_need_store (tool))
    return QUINCE_TOOL_USAGE;
  if (tool->meta != NULL)
    tool->status = quince_store_event_delete (tool, tool->arguments.words[0]);
  else
    {
      quince_operator_store_delete_event (tool->store, tool->arguments.words[0], on_done, tool);
      quince_tool_wait (tool);
    }
  if (tool->status == QUINCE_TOOL_OK && !tool->arguments.json)
    printf ("event %s is deleted\n", tool->arguments.words[0]);
  return tool->status;
}

/* ---- list ------------------------------------------------------------------------- */

static char *
describe_phase (const QuinceOperatorEvent *event)
{
  gint64 until_ms = event->start_ms - now_ms ();
  if (until_ms > 0)
    return g_strdup_printf ("in %.1f s", (double)until_ms / 1000);
  return g_strdup (until_ms + event->duration_ms > 0 ? "active" : "over");
}

static void
print_event_table (GPtrArray *events)
{
  static const char *const headings[]
      = { "EVENT", "SERVICE", "START", "DURATION", "EXPECTED", "STATE", NULL };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  for (guint i = 0; i < events->len; i++)
    {
      const QuinceOperatorEvent *event = events->pdata[i];
      g_autofree char *start = format_time (event->start_ms);
      g_autofree char *phase = describe_phase (event);
      quince_table_add (table, event->name);
      quince_table_add (table, event->service[0] != '\0' ? event->service : "(every)");
      quince_table_add (table, start);
      quince_table_add_format (table, "%.3f s", (double)event->duration_ms / 1000);
      quince_table_add_format (table, "%" G_GUINT64_FORMAT, event->expected);
      quince_table_add (table, phase);
    }
  quince_table_print (table);
}

static void
on_events (GPtrArray *events, const GError *error, gpointer user_data)
{
  QuinceTool *tool = user_data;
  if (error != NULL)
    {
      quince_tool_finish (tool, quince_tool_fail_error (error));
      return;
    }
  if (tool->arguments.json)
    {
      g_autoptr (JsonBuilder) builder = json_builder_new ();
      json_builder_begin_array (builder);
      for (guint i = 0; i < events->len; i++)
        add_event_json (builder, events->pdata[i]);
      json_builder_end_array (builder);
      quince_tool_print_json (builder);
    }
  else
    print_event_table (events);
  quince_tool_finish (tool, QUINCE_TOOL_OK);
}

QuinceToolStatus
quince_command_event_list (QuinceTool *tool)
{
  if (!quince_tool_need_store (tool))
    return QUINCE_TOOL_USAGE;
  quince_operator_store_list_events (tool->store, on_events, tool);
  quince_tool_wait (tool);
  return tool->status;
}
