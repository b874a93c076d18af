/*
 * settings.c: parses settings files and reports all problems with their line numbers.
 *
 * GKeyFile is not used: it does not provide line numbers, and it accepts duplicate keys.
 */
#include "settings-private.h"

#include <string.h>

/* Far above the size of the templates in deploy/ (a few KiB). */
#define FILE_MAX_BYTES (1 << 20)

G_DEFINE_QUARK (quince - settings - error - quark, quince_settings_error)

typedef struct
{
  char *text;
  gint64 number;
} SettingValue;

struct _QuinceSettings
{
  const QuinceSettingSpec *specs; /* not owned */
  gsize n_specs;
  GHashTable *values;  /* "section\nkey" -> SettingValue */
  GPtrArray *sections; /* names of all sections of the file, in file order */
};

/* State of one load. */
typedef struct
{
  QuinceSettings *settings;
  const char *path;
  guint line;
  char *section;               /* current section, or NULL if there is none or its header is invalid */
  gboolean in_unknown_section; /* the last header is invalid or unknown; its keys are ignored */
  GString *problems;
} SettingsReader;

static void
value_free (gpointer data)
{
  SettingValue *value = data;
  g_free (value->text);
  g_free (value);
}

static char *
make_value_key (const char *section, const char *key)
{
  return g_strconcat (section, "\n", key, NULL);
}

static gboolean
is_wildcard (const char *spec_section)
{
  return g_str_has_suffix (spec_section, " *");
}

static gboolean
section_matches (const char *spec_section, const char *section)
{
  if (!is_wildcard (spec_section))
    return g_str_equal (spec_section, section);
  gsize prefix = strlen (spec_section) - 1;
  return strncmp (spec_section, section, prefix) == 0 && section[prefix] != '\0';
}

static const QuinceSettingSpec *
find_spec (const QuinceSettings *settings, const char *section, const char *key)
{
  for (gsize i = 0; i < settings->n_specs; i++)
    if (section_matches (settings->specs[i].section, section) && g_str_equal (settings->specs[i].key, key))
      return &settings->specs[i];
  return NULL;
}

static gboolean
is_known_section (const QuinceSettings *settings, const char *section)
{
  for (gsize i = 0; i < settings->n_specs; i++)
    if (section_matches (settings->specs[i].section, section))
      return TRUE;
  return FALSE;
}

static void G_GNUC_PRINTF (2, 3) report_problem (SettingsReader *reader, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  if (reader->problems->len > 0)
    g_string_append_c (reader->problems, '\n');
  if (reader->line > 0)
    g_string_append_printf (reader->problems, "%s:%u: ", reader->path, reader->line);
  else
    g_string_append_printf (reader->problems, "%s: ", reader->path);
  g_string_append_vprintf (reader->problems, format, arguments);
  va_end (arguments);
}

static char *
list_keys (const QuinceSettings *settings, const char *section)
{
  GString *names = g_string_new (NULL);
  for (gsize i = 0; i < settings->n_specs; i++)
    if (section_matches (settings->specs[i].section, section))
      g_string_append_printf (names, "%s%s", names->len > 0 ? ", " : "", settings->specs[i].key);
  return g_string_free (names, FALSE);
}

static char *
list_sections (const QuinceSettings *settings)
{
  GString *names = g_string_new (NULL);
  const char *last = "";
  for (gsize i = 0; i < settings->n_specs; i++)
    {
      if (!g_str_equal (last, settings->specs[i].section))
        g_string_append_printf (names, "%s[%s]", names->len > 0 ? ", " : "", settings->specs[i].section);
      last = settings->specs[i].section;
    }
  return g_string_free (names, FALSE);
}

static void
store_value (QuinceSettings *settings, const char *section, const char *key, const char *text, gint64 number)
{
  SettingValue *value = g_new0 (SettingValue, 1);
  value->text = g_strdup (text);
  value->number = number;
  g_hash_table_insert (settings->values, make_value_key (section, key), value);
}

static void
parse_setting (SettingsReader *reader,
               const char *section,
               const char *key,
               const char *text,
               gboolean replace)
{
  const QuinceSettingSpec *spec = find_spec (reader->settings, section, key);
  if (spec == NULL)
    {
      g_autofree char *keys = list_keys (reader->settings, section);
      report_problem (reader, "[%s] %s: unknown key; allowed: %s", section, key, keys);
      return;
    }
  g_autofree char *name = make_value_key (section, key);
  if (!replace && g_hash_table_contains (reader->settings->values, name))
    {
      report_problem (reader, "[%s] %s: given twice; allowed: once", section, key);
      return;
    }
  gint64 number;
  g_autofree char *problem = quince_setting_check (spec, text, &number);
  if (problem != NULL)
    report_problem (reader, "[%s] %s: %s", section, key, problem);
  /* Stored even if invalid, so that it is not reported as missing too. */
  store_value (reader->settings, section, key, text, number);
}

static void
add_section (SettingsReader *reader, const char *section)
{
  GPtrArray *sections = reader->settings->sections;
  for (guint i = 0; i < sections->len; i++)
    if (g_str_equal (sections->pdata[i], section))
      {
        report_problem (reader, "[%s]: duplicate section; allowed: once", section);
        return;
      }
  g_ptr_array_add (sections, g_strdup (section));
}

static void
parse_section_header (SettingsReader *reader, char *line)
{
  char *end = strchr (line, ']');
  g_clear_pointer (&reader->section, g_free);
  reader->in_unknown_section = TRUE;
  if (end == NULL || end[1] != '\0')
    {
      report_problem (reader, "'%s' is not a section header; allowed: [section]", line);
      return;
    }
  *end = '\0';
  const char *section = g_strstrip (line + 1);
  if (!is_known_section (reader->settings, section))
    {
      g_autofree char *sections = list_sections (reader->settings);
      report_problem (reader, "[%s]: unknown section; allowed: %s", section, sections);
      return;
    }
  reader->section = g_strdup (section);
  reader->in_unknown_section = FALSE;
  add_section (reader, section);
}

static void
parse_line (SettingsReader *reader, char *line)
{
  g_strstrip (line);
  if (*line == '\0' || *line == '#')
    return;
  if (*line == '[')
    {
      parse_section_header (reader, line);
      return;
    }
  char *equals = strchr (line, '=');
  if (equals == NULL)
    {
      report_problem (reader, "'%s' is not a setting; allowed: key = value, [section] or # comment", line);
      return;
    }
  if (reader->section == NULL)
    {
      if (!reader->in_unknown_section)
        report_problem (reader, "'%s' is outside any section; allowed: after a [section]", line);
      return;
    }
  *equals = '\0';
  parse_setting (reader, reader->section, g_strstrip (line), g_strstrip (equals + 1), FALSE);
}

static gboolean
read_file (SettingsReader *reader, GError **error)
{
  g_autofree char *text = NULL;
  gsize length;
  g_autoptr (GError) cause = NULL;
  if (!g_file_get_contents (reader->path, &text, &length, &cause))
    {
      g_set_error (error, QUINCE_SETTINGS_ERROR, QUINCE_SETTINGS_ERROR_READ, "%s", cause->message);
      return FALSE;
    }
  if (length > FILE_MAX_BYTES || strlen (text) != length || !g_utf8_validate (text, -1, NULL))
    {
      g_set_error (error, QUINCE_SETTINGS_ERROR, QUINCE_SETTINGS_ERROR_READ,
                   "%s: not a settings file; allowed: UTF-8 text of at most 1 MiB", reader->path);
      return FALSE;
    }
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      reader->line++;
      parse_line (reader, *line);
    }
  return TRUE;
}

static void
apply_override (SettingsReader *reader, const char *override)
{
  g_autofree char *text = g_strdup (override);
  char *equals = strchr (text, '=');
  char *dot = strchr (text, '.');
  if (equals == NULL || dot == NULL || dot > equals)
    {
      report_problem (reader, "--set %s: not an override; allowed: --set section.key=value", override);
      return;
    }
  /* A section name may contain dots: the key follows the last dot before '='. */
  *equals = '\0';
  dot = strrchr (text, '.');
  *dot = '\0';
  if (!is_known_section (reader->settings, text))
    {
      g_autofree char *sections = list_sections (reader->settings);
      report_problem (reader, "--set %s: unknown section; allowed: %s", override, sections);
      return;
    }
  parse_setting (reader, text, g_strstrip (dot + 1), g_strstrip (equals + 1), TRUE);
}

/* Stores the default value of a key that is not set, or reports the key as missing if it is required. */
static void
apply_default (SettingsReader *reader, const QuinceSettingSpec *spec, const char *section)
{
  g_autofree char *name = make_value_key (section, spec->key);
  if (g_hash_table_contains (reader->settings->values, name))
    return;
  if (spec->required)
    {
      g_autofree char *allowed = quince_setting_describe_allowed (spec);
      report_problem (reader, "[%s] %s: missing; allowed: %s", section, spec->key, allowed);
      return;
    }
  gint64 number = 0;
  if (spec->fallback != NULL)
    g_free (quince_setting_check (spec, spec->fallback, &number));
  store_value (reader->settings, section, spec->key, spec->fallback != NULL ? spec->fallback : "", number);
}

static void
apply_defaults (SettingsReader *reader)
{
  QuinceSettings *settings = reader->settings;
  reader->line = 0;
  for (gsize i = 0; i < settings->n_specs; i++)
    {
      const QuinceSettingSpec *spec = &settings->specs[i];
      if (!is_wildcard (spec->section))
        apply_default (reader, spec, spec->section);
      for (guint j = 0; is_wildcard (spec->section) && j < settings->sections->len; j++)
        if (section_matches (spec->section, settings->sections->pdata[j]))
          apply_default (reader, spec, settings->sections->pdata[j]);
    }
}

static QuinceSettings *
settings_new (const QuinceSettingSpec *specs, gsize n_specs)
{
  QuinceSettings *settings = g_new0 (QuinceSettings, 1);
  settings->specs = specs;
  settings->n_specs = n_specs;
  settings->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, value_free);
  settings->sections = g_ptr_array_new_with_free_func (g_free);
  return settings;
}

QuinceSettings *
quince_settings_load (const char *path,
                      const QuinceSettingSpec *specs,
                      gsize n_specs,
                      const char *const *overrides,
                      GError **error)
{
  g_autoptr (QuinceSettings) settings = settings_new (specs, n_specs);
  g_autoptr (GString) problems = g_string_new (NULL);
  SettingsReader reader
      = { .settings = settings, .path = path != NULL ? path : "(flags)", .problems = problems };
  gboolean readable = path == NULL || read_file (&reader, error);
  g_free (reader.section);
  if (!readable)
    return NULL;
  reader.line = 0;
  reader.path = "(flags)";
  for (const char *const *override = overrides; override != NULL && *override != NULL; override++)
    apply_override (&reader, *override);
  reader.path = path != NULL ? path : "(flags)";
  apply_defaults (&reader);
  if (problems->len > 0)
    {
      g_set_error_literal (error, QUINCE_SETTINGS_ERROR, QUINCE_SETTINGS_ERROR_INVALID, problems->str);
      return NULL;
    }
  return g_steal_pointer (&settings);
}

void
quince_settings_free (QuinceSettings *settings)
{
  g_hash_table_unref (settings->values);
  g_ptr_array_unref (settings->sections);
  g_free (settings);
}

/* ---- Getters ---------------------------------------------------------- */

static const SettingValue *
find_value (const QuinceSettings *settings, const char *section, const char *key)
{
  g_autofree char *name = make_value_key (section, key);
  const SettingValue *value = g_hash_table_lookup (settings->values, name);
  if (value == NULL)
    g_error ("setting [%s] %s is not in the table of settings", section, key);
  return value;
}

const char *
quince_settings_get_text (const QuinceSettings *settings, const char *section, const char *key)
{
  return find_value (settings, section, key)->text;
}

gint64
quince_settings_get_integer (const QuinceSettings *settings, const char *section, const char *key)
{
  return find_value (settings, section, key)->number;
}

double
quince_settings_get_number (const QuinceSettings *settings, const char *section, const char *key)
{
  return g_ascii_strtod (find_value (settings, section, key)->text, NULL);
}

gint64
quince_settings_get_duration_us (const QuinceSettings *settings, const char *section, const char *key)
{
  return find_value (settings, section, key)->number;
}

gboolean
quince_settings_get_boolean (const QuinceSettings *settings, const char *section, const char *key)
{
  return find_value (settings, section, key)->number != 0;
}

char **
quince_settings_get_instances (const QuinceSettings *settings, const char *prefix)
{
  GPtrArray *names = g_ptr_array_new ();
  gsize length = strlen (prefix);
  for (guint i = 0; i < settings->sections->len; i++)
    {
      const char *section = settings->sections->pdata[i];
      if (strncmp (section, prefix, length) == 0 && section[length] == ' ')
        g_ptr_array_add (names, g_strdup (section + length + 1));
    }
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}

char *
quince_settings_describe (const QuinceSettingSpec *specs, gsize n_specs)
{
  GString *text = g_string_new (NULL);
  const char *last = "";
  for (gsize i = 0; i < n_specs; i++)
    {
      const QuinceSettingSpec *spec = &specs[i];
      g_autofree char *allowed = quince_setting_describe_allowed (spec);
      if (!g_str_equal (last, spec->section))
        g_string_append_printf (text, "%s[%s]\n", i > 0 ? "\n" : "", spec->section);
      last = spec->section;
      g_string_append_printf (text, "# %s (%s)%s\n", spec->help, allowed, spec->required ? ", required" : "");
      g_string_append_printf (text, "%s%s = %s\n", spec->required ? "" : "# ", spec->key,
                              spec->fallback != NULL ? spec->fallback : "");
    }
  return g_string_free (text, FALSE);
}
