/*
 * settings.h: loads and validates settings files.
 *
 * Settings files consist of [section] headers, key = value lines and # comments.  A program defines its keys
 * in a table of QuinceSettingSpec.  All problems of a file are reported together, one on each line:
 *
 *   FILE:LINE: [section] key: problem; allowed: valid values
 *
 * A QuinceSettings is immutable.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_SETTINGS_ERROR (quince_settings_error_quark ())
GQuark quince_settings_error_quark (void);

typedef enum
{
  QUINCE_SETTINGS_ERROR_READ,    /* the file cannot be read or is not UTF-8 text of at most 1 MiB */
  QUINCE_SETTINGS_ERROR_INVALID, /* the settings are invalid; the message has one line per problem */
} QuinceSettingsError;

typedef enum
{
  QUINCE_SETTING_TEXT,
  QUINCE_SETTING_NAME,    /* 1 to 64 letters, digits, '-', '_', '.' */
  QUINCE_SETTING_ADDRESS, /* numeric ip:port */
  QUINCE_SETTING_INTEGER,
  QUINCE_SETTING_NUMBER,
  QUINCE_SETTING_DURATION, /* integer with a unit: us, ms, s, min */
  QUINCE_SETTING_BOOLEAN,  /* true or false */
  QUINCE_SETTING_CHOICE,   /* one of @choices */
} QuinceSettingType;

/**
 * QuinceSettingSpec:
 * @section: section name; a name that ends in " *", such as "engine *", matches any number of sections
 *   "[engine NAME]"
 * @key: key name
 * @type: type of the value
 * @required: whether the key must be set
 * @fallback: (nullable): default value in file syntax; if %NULL, the getters return "" or 0 for a key that is
 *   not set
 * @minimum: minimum of integers and durations, in microseconds for durations
 * @maximum: maximum of integers and durations; 0 for no maximum
 * @choices: (nullable): values of %QUINCE_SETTING_CHOICE, separated by '|'
 * @help: one-line description for --help-settings and the operator documentation
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
 * @path: (nullable): file to read, or %NULL to use only @overrides and default values
 * @specs: (array length=n_specs): known keys; must outlive the result
 * @overrides: (nullable) (array zero-terminated=1): "section.key=value" strings from the command line; they
 *   replace values of the file, and later ones replace earlier ones
 *
 * Returns: (transfer full) (nullable): the validated settings, or %NULL with a QUINCE_SETTINGS_ERROR
 */
QuinceSettings *quince_settings_load (const char *path,
                                      const QuinceSettingSpec *specs,
                                      gsize n_specs,
                                      const char *const *overrides,
                                      GError **error);
void quince_settings_free (QuinceSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceSettings, quince_settings_free)

/* The getters abort the process if the key is not in the table. */
const char *quince_settings_get_text (const QuinceSettings *settings, const char *section, const char *key);
gint64 quince_settings_get_integer (const QuinceSettings *settings, const char *section, const char *key);
double quince_settings_get_number (const QuinceSettings *settings, const char *section, const char *key);
gint64 quince_settings_get_duration_us (const QuinceSettings *settings, const char *section, const char *key);
gboolean quince_settings_get_boolean (const QuinceSettings *settings, const char *section, const char *key);
/* Returns: (transfer full) (array zero-terminated=1): the NAME of each "[prefix NAME]" section of the file,
 * in file order; sections that only overrides mention are not included */
char **quince_settings_get_instances (const QuinceSettings *settings, const char *prefix);

/**
 * quince_settings_describe:
 *
 * Returns: (transfer full): a commented settings file with all keys, for --help-settings
 */
char *quince_settings_describe (const QuinceSettingSpec *specs, gsize n_specs);

G_END_DECLS
