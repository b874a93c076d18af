/*
 * settings.h: settings files, checked as a whole before anything starts.
 *
 * Files are key files: [section] headers, key = value lines, # comments.  A program states its keys in a
 * table of QuinceSettingSpec; every problem in a file is found in one pass and reported as
 *
 *   FILE:LINE: [section] key: what is wrong; allowed: what is allowed
 *
 * A QuinceSettings owns the values of one load and never changes.  Relies on GLib alone.  Not thread safe.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_SETTINGS_ERROR (quince_settings_error_quark ())
GQuark quince_settings_error_quark (void);

typedef enum
{
  QUINCE_SETTINGS_ERROR_READ,    /* the file cannot be read               */
  QUINCE_SETTINGS_ERROR_INVALID, /* one or more problems, a line each     */
} QuinceSettingsError;

typedef enum
{
  QUINCE_SETTING_TEXT,
  QUINCE_SETTING_NAME,    /* letters, digits, '-', '_', '.'; 1 to 64  */
  QUINCE_SETTING_ADDRESS, /* numeric ip:port                          */
  QUINCE_SETTING_INTEGER,
  QUINCE_SETTING_NUMBER,
  QUINCE_SETTING_DURATION, /* integer and unit: us, ms, s, min; in us      */
  QUINCE_SETTING_BOOLEAN,  /* true or false                                */
  QUINCE_SETTING_CHOICE,   /* one of @choices                              */
} QuinceSettingType;

/**
 * QuinceSettingSpec:
 * @section: section name; one that ends in " *", such as "engine *", matches
 *   any number of sections "[engine NAME]"
 * @key: key name
 * @type: type of the value
 * @required: the key must be given
 * @fallback: (nullable): value when absent, in file syntax; %NULL with
 *   @required false means the getters return "" or 0
 * @minimum: least value of integers and durations (us)
 * @maximum: greatest value; 0 for no bound
 * @choices: (nullable): for %QUINCE_SETTING_CHOICE, separated by '|'
 * @help: one line for --help and the operators' page
 */
typedef struct
{
  const char *section;
  const char *key;
  QuinceSettingType type;
  gboolean required;
  const char *fallback;
  gint64 minimum;
  gint64 maximum;
  const char *choices;
  const char *help;
} QuinceSettingSpec;

typedef struct _QuinceSettings QuinceSettings;

/**
 * quince_settings_load:
 * @path: (nullable): file to read; %NULL starts from the fallbacks alone
 * @specs: (array length=n_specs): known keys; must outlive the result
 * @overrides: (nullable) (array zero-terminated=1): "section.key=value" texts
 *   from flags, taken in order over the file's values
 *
 * Returns: (transfer full) (nullable): settings in which every value is valid
 */
QuinceSettings *quince_settings_load (const char *path,
                                      const QuinceSettingSpec *specs,
                                      gsize n_specs,
                                      const char *const *overrides,
                                      GError **error);
void quince_settings_free (QuinceSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceSettings, quince_settings_free)

/* Getters.  Asking for a key that is not in the table is a programming error. */
const char *quince_settings_get_text (const QuinceSettings *settings, const char *section, const char *key);
gint64 quince_settings_get_integer (const QuinceSettings *settings, const char *section, const char *key);
double quince_settings_get_number (const QuinceSettings *settings, const char *section, const char *key);
gint64 quince_settings_get_duration_us (const QuinceSettings *settings, const char *section, const char *key);
gboolean quince_settings_get_boolean (const QuinceSettings *settings, const char *section, const char *key);
/* (transfer full) (array zero-terminated=1): NAMEs of the "[prefix NAME]" sections, in file order */
char **quince_settings_get_instances (const QuinceSettings *settings, const char *prefix);

/**
 * quince_settings_describe:
 *
 * Returns: (transfer full): a commented settings file with every key, for --help-settings.
 */
char *quince_settings_describe (const QuinceSettingSpec *specs, gsize n_specs);

G_END_DECLS
