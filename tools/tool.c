/*
 * tool.c: settings, the client of the metadata store, errors and JSON output; see tool.h.
 */
#include "tool.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "platform.h"

/* A login name that is longer, or has other characters than is_valid_name() allows, is not used as author. */
#define NAME_MAX_CHARACTERS 64

static const QuinceSettingSpec specs[] = {
  { "operator", "store", QUINCE_SETTING_ADDRESS, FALSE, "", 0, 0, NULL,
    "address of the metadata store of the users' platform" },
  { "operator", "zones", QUINCE_SETTING_TEXT, FALSE, "", 0, 0, NULL,
    "zones of the deployment and their regions, zone=region,zone=region; same as [node] zones of the "
    "daemons" },
};

/* ---- Errors ------------------------------------------------------------------- */

static void
print_failure (const char *type, const char *format, va_list arguments)
{
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  if (type != NULL)
    fprintf (stderr, "quinceroute: %s: %s\n", type, text);
  else
    fprintf (stderr, "quinceroute: %s\n", text);
}

QuinceToolStatus
quince_tool_fail_usage (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  print_failure ("usage", format, arguments);
  va_end (arguments);
  return QUINCE_TOOL_USAGE;
}

QuinceToolStatus
quince_tool_fail (const char *type, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  print_failure (type, format, arguments);
  va_end (arguments);
  return QUINCE_TOOL_FAILED;
}

/* ---- Lifetime ------------------------------------------------------------------- */

gboolean
quince_tool_open (QuinceTool *tool)
{
  g_autofree char *override
      = tool->arguments.store != NULL ? g_strconcat ("operator.store=", tool->arguments.store, NULL) : NULL;
  const char *const overrides[] = { override, NULL };
  g_autoptr (GError) error = NULL;
  tool->settings
      = quince_settings_load (tool->arguments.config, specs, G_N_ELEMENTS (specs), overrides, &error);
  if (tool->settings == NULL)
    {
      quince_tool_fail_usage ("%s", error->message);
      return FALSE;
    }
  const char *address = quince_settings_get_text (tool->settings, "operator", "store");
  if (*address != '\0')
    tool->meta = quince_meta_store_new (address, &quince_platform_meta_codec);
  return TRUE;
}

void
quince_tool_close (QuinceTool *tool)
{
  g_clear_pointer (&tool->meta, quince_meta_store_free);
  g_clear_pointer (&tool->settings, quince_settings_free);
}

void
quince_tool_wait (QuinceTool *tool)
{
  tool->done = FALSE;
  while (!tool->done)
    g_main_context_iteration (NULL, TRUE);
}

void
quince_tool_finish (QuinceTool *tool, QuinceToolStatus status)
{
  tool->status = status;
  tool->done = TRUE;
}

gboolean
quince_tool_require_store (const QuinceTool *tool)
{
  if (tool->meta == NULL)
    quince_tool_fail_usage ("no address of the metadata store: give --store or [operator] store in --config");
  return tool->meta != NULL;
}

static gboolean
is_valid_name (const char *name)
{
  gsize length = strlen (name);
  if (length == 0 || length > NAME_MAX_CHARACTERS)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    if (!g_ascii_isalnum (name[i]) && strchr ("-_.", name[i]) == NULL)
      return FALSE;
  return TRUE;
}

char *
quince_tool_get_author (const QuinceTool *tool)
{
  if (tool->arguments.author != NULL)
    return g_strdup (tool->arguments.author);
  const char *login = g_get_user_name ();
  return g_strdup (is_valid_name (login) ? login : "operator");
}

/* ---- JSON output --------------------------------------------------------------- */

void
quince_tool_print_json (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  g_autofree char *text = json_to_string (root, TRUE);
  printf ("%s\n", text);
}

void
quince_tool_add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

void
quince_tool_add_int (JsonBuilder *builder, const char *name, gint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

void
quince_tool_add_boolean (JsonBuilder *builder, const char *name, gboolean value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}
