/*
 * policy-program.c: reads and checks policy program files; see policy-program.h.
 */
#include "policy-program.h"

#include <gio/gio.h>
#include <string.h>

#include "policy/policy.h"

static const char *
get_policy_error_type (const GError *error)
{
  static const char *const types[]
      = { "policy_too_large", "policy_syntax", "policy_runtime", "policy_instructions",
          "policy_memory",    "policy_result", "policy_case" };
  if (error->domain != QUINCE_POLICY_ERROR || (guint)error->code >= G_N_ELEMENTS (types))
    return "failed";
  return types[error->code];
}

/* Reads at most QUINCE_POLICY_MAX_BYTES + 1 bytes, so that a larger file is detected.  @length: (out): number
 * of bytes read.  Returns: (transfer full) (nullable): zero-terminated; %NULL with @error */
static char *
read_file_limited (const char *path, gsize *length, GError **error)
{
  g_autoptr (GFile) file = g_file_new_for_path (path);
  g_autoptr (GFileInputStream) stream = g_file_read (file, NULL, error);
  if (stream == NULL)
    return NULL;
  g_autofree char *text = g_malloc0 (QUINCE_POLICY_MAX_BYTES + 2);
  if (!g_input_stream_read_all (G_INPUT_STREAM (stream), text, QUINCE_POLICY_MAX_BYTES + 1, length, NULL,
                                error))
    return NULL;
  return g_steal_pointer (&text);
}

char *
quince_policy_program_read (const char *path)
{
  g_autoptr (GError) error = NULL;
  gsize length = 0;
  g_autofree char *text = read_file_limited (path, &length, &error);
  if (text == NULL)
    {
      quince_tool_fail ("file", "%s", error->message);
      return NULL;
    }
  if (length > QUINCE_POLICY_MAX_BYTES)
    {
      quince_tool_fail ("policy_too_large", "%s: more than %d bytes", path, QUINCE_POLICY_MAX_BYTES);
      return NULL;
    }
  if (strlen (text) != length || !g_utf8_validate (text, -1, NULL))
    {
      quince_tool_fail ("policy_syntax", "%s: not UTF-8 text, or contains a NUL byte", path);
      return NULL;
    }
  return g_steal_pointer (&text);
}

gboolean
quince_policy_program_check (const char *path, const char *text)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QuincePolicy) policy = quince_policy_compile (text, strlen (text), 0, &error);
  if (policy != NULL && quince_policy_check (policy, &error))
    return TRUE;
  quince_tool_fail (get_policy_error_type (error), "%s: %s", path, error->message);
  return FALSE;
}
