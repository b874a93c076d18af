/*
 * template.c: renders the templates in deploy/ to settings files.
 */
#include "template.h"

#include <string.h>

G_DEFINE_QUARK (template - error - quark, template_error)

/* The entry for which a section is rendered. */
typedef struct
{
  const char *key; /* "" if the entry has none */
  const char *value;
  gboolean is_last;
} SectionEntry;

static gboolean
render (GString *output, const char *text, GHashTable *values, const SectionEntry *entry, GError **error);

static gboolean
render_entries (GString *output, const char *body, const char *value, GHashTable *values, GError **error)
{
  g_auto (GStrv) entries = g_strsplit (value, ",", -1);
  for (char **entry_text = entries; *entry_text != NULL; entry_text++)
    {
      g_auto (GStrv) parts = g_strsplit (*entry_text, "=", 2);
      gboolean has_key = parts[0] != NULL && parts[1] != NULL;
      const SectionEntry entry
          = { has_key ? parts[0] : "", has_key ? parts[1] : *entry_text, entry_text[1] == NULL };
      if (!render (output, body, values, &entry, error))
        return FALSE;
    }
  return TRUE;
}

/* @rest: (inout): the text after the opening tag, then the text after the closing tag */
static gboolean
render_section (GString *output, const char *name, const char **rest, GHashTable *values, GError **error)
{
  g_autofree char *closing_tag = g_strdup_printf ("{{/%s}}", name);
  const char *end = strstr (*rest, closing_tag);
  if (end == NULL)
    {
      g_set_error (error, TEMPLATE_ERROR, TEMPLATE_ERROR_UNTERMINATED, "section '%s' is not closed", name);
      return FALSE;
    }
  g_autofree char *body = g_strndup (*rest, (gsize)(end - *rest));
  *rest = end + strlen (closing_tag);
  const char *value = g_hash_table_lookup (values, name);
  return value == NULL || render_entries (output, body, value, values, error);
}

static gboolean
render_placeholder (GString *output,
                    const char *name,
                    GHashTable *values,
                    const SectionEntry *entry,
                    GError **error)
{
  const char *value = g_hash_table_lookup (values, name);
  if (entry != NULL && g_str_equal (name, "@"))
    value = entry->key;
  else if (entry != NULL && g_str_equal (name, "."))
    value = entry->value;
  else if (entry != NULL && g_str_equal (name, ","))
    value = entry->is_last ? "" : ",";
  if (value == NULL)
    {
      g_set_error (error, TEMPLATE_ERROR, TEMPLATE_ERROR_MISSING_VALUE, "placeholder '%s' has no value",
                   name);
      return FALSE;
    }
  g_string_append (output, value);
  return TRUE;
}

static gboolean
render (GString *output, const char *text, GHashTable *values, const SectionEntry *entry, GError **error)
{
  for (const char *open = strstr (text, "{{"); open != NULL; open = strstr (text, "{{"))
    {
      g_string_append_len (output, text, open - text);
      const char *close = strstr (open, "}}");
      if (close == NULL)
        {
          g_set_error_literal (error, TEMPLATE_ERROR, TEMPLATE_ERROR_UNTERMINATED,
                               "a placeholder is not closed");
          return FALSE;
        }
      g_autofree char *name = g_strndup (open + 2, (gsize)(close - open) - 2);
      text = close + 2;
      gboolean is_rendered = *name == '#' ? render_section (output, name + 1, &text, values, error)
                                          : render_placeholder (output, name, values, entry, error);
      if (!is_rendered)
        return FALSE;
    }
  g_string_append (output, text);
  return TRUE;
}

char *
template_render (const char *text, GHashTable *values, GError **error)
{
  g_autoptr (GString) output = g_string_new (NULL);
  return render (output, text, values, NULL, error) ? g_string_free (g_steal_pointer (&output), FALSE) : NULL;
}
