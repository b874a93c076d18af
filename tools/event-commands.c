/*
 * event-commands.c: quinceroute event create, list, delete.
 *
 * An event is one key of the metadata store, named after the event.  Its value has the start (wall-clock
 * time), duration and service.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "forward/policy-entry.h"
#include "observer/observer.h"

#include "commands.h"
#include "store-calls.h"
#include "table.h"

/* Maximum duration and maximum delay of a start given as +SECONDS: one year.  Rejects a Unix time given
 * instead. */
#define EVENT_TIME_MAX_S (366.0 * 24 * 3600)

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
  if (*end != '\0' || !isfinite (seconds) || seconds > EVENT_TIME_MAX_S)
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

/* Returns: (transfer full): the time in UTC with milliseconds */
static char *
format_time (gint64 unix_ms)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (unix_ms / 1000);
  g_autofree char *text = time != NULL ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%S") : g_strdup ("?");
  return g_strdup_printf ("%s.%03dZ", text, (int)(unix_ms % 1000));
}

/* ---- create and delete ------------------------------------------------------------ */

static void
add_event_json (JsonBuilder *builder, const char *name, const QuinceEventEntry *event)
{
  quince_tool_add_string (builder, "name", name);
  quince_tool_add_string (builder, "service", event->service);
  quince_tool_add_int (builder, "start_ms", event->start_ms);
  quince_tool_add_int (builder, "duration_ms", event->duration_ms);
}

/* @expected_requests: value of --expected, which is only part of the JSON output */
static void
print_created (const QuinceTool *tool, const QuinceEventEntry *event, guint64 expected_requests)
{
  const char *name = tool->arguments.operands[0];
  if (tool->arguments.json)
    {
      g_autoptr (JsonBuilder) builder = json_builder_new ();
      json_builder_begin_object (builder);
      add_event_json (builder, name, event);
      quince_tool_add_int (builder, "expected", (gint64)expected_requests);
      json_builder_end_object (builder);
      quince_tool_print_json (builder);
      return;
    }
  g_autofree char *start = format_time (event->start_ms);
  printf ("event %s starts at %s and lasts %.3f s\n", name, start, (double)event->duration_ms / 1000);
}

/* Parses the flags of event create.  Prints an error and returns QUINCE_TOOL_USAGE if one is missing or
 * invalid.  The service of @event belongs to @arguments. */
static QuinceToolStatus
parse_event_flags (const QuinceToolArguments *arguments, QuinceEventEntry *event, guint64 *expected_requests)
{
  if (arguments->start == NULL || arguments->duration == NULL)
    return quince_tool_fail_usage ("event create needs --start and --duration");
  if (!parse_start (arguments->start, &event->start_ms))
    return quince_tool_fail_usage ("--start takes an RFC 3339 time with a UTC offset, or +SECONDS, not '%s'",
                                   arguments->start);
  if (!parse_seconds (arguments->duration, &event->duration_ms))
    return quince_tool_fail_usage ("--duration takes seconds, at most 366 days, not '%s'",
                                   arguments->duration);
  if (arguments->expected_requests != NULL
      && !g_ascii_string_to_unsigned (arguments->expected_requests, 10, 0, G_MAXINT64, expected_requests,
                                      NULL))
    return quince_tool_fail_usage ("--expected takes a number, not '%s'", arguments->expected_requests);
  event->service = (char *)(arguments->service != NULL ? arguments->service : "");
  return QUINCE_TOOL_OK;
}

QuinceToolStatus
quince_command_event_create (QuinceTool *tool)
{
  QuinceEventEntry event = { 0 };
  guint64 expected_requests = 0;
  if (!quince_tool_require_store (tool)
      || parse_event_flags (&tool->arguments, &event, &expected_requests) != QUINCE_TOOL_OK)
    return QUINCE_TOOL_USAGE;
  g_autoptr (GBytes) value = quince_event_entry_format (&event);
  QuinceToolStatus status
      = quince_store_put_entry (tool, QUINCE_EVENTS_PREFIX, tool->arguments.operands[0], value);
  if (status == QUINCE_TOOL_OK)
    print_created (tool, &event, expected_requests);
  return status;
}

QuinceToolStatus
quince_command_event_delete (QuinceTool *tool)
{
  const char *name = tool->arguments.operands[0];
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  QuinceToolStatus status = quince_store_put_entry (tool, QUINCE_EVENTS_PREFIX, name, NULL);
  if (status == QUINCE_TOOL_OK && !tool->arguments.json)
    printf ("event %s is deleted\n", name);
  return status;
}

/* ---- list ------------------------------------------------------------------------- */

/* Either the table or the JSON builder is set. */
typedef struct
{
  QuinceTable *table;
  JsonBuilder *builder;
} EventOutput;

static char *
describe_phase (const QuinceEventEntry *event)
{
  gint64 until_start_ms = event->start_ms - now_ms ();
  if (until_start_ms > 0)
    return g_strdup_printf ("in %.1f s", (double)until_start_ms / 1000);
  return g_strdup (until_start_ms + event->duration_ms > 0 ? "active" : "over");
}

static void
add_event_row (QuinceTable *table, const char *name, const QuinceEventEntry *event)
{
  g_autofree char *start = format_time (event->start_ms);
  g_autofree char *phase = describe_phase (event);
  quince_table_add (table, name);
  quince_table_add (table, event->service[0] != '\0' ? event->service : "(every)");
  quince_table_add (table, start);
  quince_table_add_format (table, "%.3f s", (double)event->duration_ms / 1000);
  quince_table_add (table, phase);
}

static void
handle_event_item (const QuinceMetaItem *item, gpointer data)
{
  EventOutput *output = data;
  const char *name = item->key + strlen (QUINCE_EVENTS_PREFIX);
  QuinceEventEntry event = { 0 };
  g_autoptr (GError) error = NULL;
  if (item->value == NULL)
    return;
  if (!quince_event_entry_parse (item->value, &event, &error))
    {
      fprintf (stderr, "quinceroute: %s: %s\n", name, error->message);
      return;
    }
  g_autofree char *service = g_steal_pointer (&event.service);
  event.service = g_str_equal (service, "-") ? (char *)"" : service;
  if (output->table != NULL)
    {
      add_event_row (output->table, name, &event);
      return;
    }
  json_builder_begin_object (output->builder);
  add_event_json (output->builder, name, &event);
  json_builder_end_object (output->builder);
}

static QuinceToolStatus
list_as_json (QuinceTool *tool)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  EventOutput output = { .builder = builder };
  json_builder_begin_array (builder);
  QuinceToolStatus status = quince_store_read_prefix (tool, QUINCE_EVENTS_PREFIX, handle_event_item, &output);
  json_builder_end_array (builder);
  if (status == QUINCE_TOOL_OK)
    quince_tool_print_json (builder);
  return status;
}

static QuinceToolStatus
list_as_table (QuinceTool *tool)
{
  static const char *const headings[] = { "EVENT", "SERVICE", "START", "DURATION", "STATE", NULL };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  EventOutput output = { .table = table };
  QuinceToolStatus status = quince_store_read_prefix (tool, QUINCE_EVENTS_PREFIX, handle_event_item, &output);
  if (status == QUINCE_TOOL_OK)
    quince_table_print (table);
  return status;
}

QuinceToolStatus
quince_command_event_list (QuinceTool *tool)
{
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  return tool->arguments.json ? list_as_json (tool) : list_as_table (tool);
}
