/*
 * drain-commands.c: quinceroute drain and undrain.
 */
#include <stdio.h>

#include "commands.h"

typedef struct
{
  QuinceTool *tool;
  const char *outcome; /* constant; what is now true of the engine */
} DrainRequest;

static void
on_done (guint64 revision, const GError *error, gpointer user_data)
{
  DrainRequest *request = user_data;
  QuinceTool *tool = request->tool;
  const char *engine = tool->arguments.words[0];
  if (error != NULL)
    {
      quince_tool_finish (tool, quince_tool_fail_error (error));
      return;
    }
  if (tool->arguments.json)
    {
      g_autoptr (JsonBuilder) builder = json_builder_new ();
      json_builder_begin_object (builder);
      quince_tool_add_text (builder, "engine", engine);
      quince_tool_add_text (builder, "state", request->outcome);
      quince_tool_add_number (builder, "revision", (gint64)revision);
      json_builder_end_object (builder);
      quince_tool_print_json (builder);
    }
  else
    printf ("engine %s is %s at revision %" G_GUINT64_FORMAT "\n", engine, request->outcome, revision);
  quince_tool_finish (tool, QUINCE_TOOL_OK);
}

QuinceToolStatus
quince_command_drain (QuinceTool *tool)
{
  if (!quince_tool_need_store (tool))
    return QUINCE_TOOL_USAGE;
  DrainRequest request = { tool, "drained" };
  g_autofree char *author = quince_tool_get_author (tool);
  quince_operator_store_set_drain (tool->store, tool->arguments.words[0], author, on_done, &request);
  quince_tool_wait (tool);
  return tool->status;
}

QuinceToolStatus
quince_command_undrain (QuinceTool *tool)
{
  if (!quince_tool_need_store (tool))
    return QUINCE_TOOL_USAGE;
  DrainRequest request = { tool, "undrained" };
  quince_operator_store_clear_drain (tool->store, tool->arguments.words[0], on_done, &request);
  quince_tool_wait (tool);
  return tool->status;
}
