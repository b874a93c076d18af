/*
 * log-commands.c: quinceroute explain and log check, which read log files and do not use the metadata store.
 */
#include "commands.h"

#include <stdio.h>

#include "core/trace/log-trace.h"

/* Called for each line, without its newline.  Line numbers start at 1. */
typedef void (*LineFunc) (const char *file, guint line_number, const char *line, gpointer user_data);

/* Reads standard input if @file is "-".  Returns: %FALSE if the file cannot be opened */
static gboolean
foreach_line (const char *file, LineFunc callback, gpointer user_data)
{
  FILE *stream = g_str_equal (file, "-") ? stdin : fopen (file, "r");
  if (stream == NULL)
    return FALSE;
  char *line = NULL;
  size_t capacity = 0;
  ssize_t length;
  for (guint line_number = 1; (length = getline (&line, &capacity, stream)) >= 0; line_number++)
    {
      if (length > 0 && line[length - 1] == '\n')
        line[length - 1] = '\0';
      callback (file, line_number, line, user_data);
    }
  free (line);
  if (stream != stdin)
    fclose (stream);
  return TRUE;
}

static void
add_line (const char *file, guint line_number, const char *line, gpointer data)
{
  quince_log_trace_add (data, line);
}

QuinceToolStatus
quince_command_explain (QuinceTool *tool)
{
  const QuinceToolArguments *arguments = &tool->arguments;
  g_autoptr (QuinceLogTrace) trace = quince_log_trace_new ();
  for (guint i = 1; i < arguments->n_operands; i++)
    if (!foreach_line (arguments->operands[i], add_line, trace))
      return quince_tool_fail ("file", "%s cannot be read", arguments->operands[i]);
  g_autofree char *text = quince_log_trace_format (trace, arguments->operands[0]);
  if (text == NULL)
    return quince_tool_fail ("not_found", "no log line contains %s", arguments->operands[0]);
  fputs (text, stdout);
  return QUINCE_TOOL_OK;
}

static void
check_line (const char *file, guint line_number, const char *line, gpointer data)
{
  guint *n_invalid = data;
  g_autoptr (GError) error = NULL;
  /* Processes print their addresses in a line "ready ...", which is not a log line. */
  if (*line == '\0' || g_str_has_prefix (line, "ready ") || quince_log_line_check (line, &error))
    return;
  (*n_invalid)++;
  printf ("%s:%u: %s\n", file, line_number, error->message);
}

QuinceToolStatus
quince_command_log_check (QuinceTool *tool)
{
  const QuinceToolArguments *arguments = &tool->arguments;
  guint n_invalid = 0;
  for (guint i = 0; i < arguments->n_operands; i++)
    if (!foreach_line (arguments->operands[i], check_line, &n_invalid))
      return quince_tool_fail ("file", "%s cannot be read", arguments->operands[i]);
  if (n_invalid > 0)
    return quince_tool_fail ("log", "%u lines are malformed or have an unknown event", n_invalid);
  return QUINCE_TOOL_OK;
}
