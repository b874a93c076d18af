/*
 * settings-values.c: parses and validates the values of settings.
 */
#include "settings-private.h"

#include <math.h>
#include <string.h>

#include "runtime/address.h"

/* Maximum length of a QUINCE_SETTING_NAME; such names are part of keys in the store. */
#define NAME_MAX_BYTES 64

typedef struct
{
  const char *suffix;
  gint64 factor;
} Unit;

static const Unit duration_units[]
    = { { "us", 1 }, { "ms", 1000 }, { "min", 60 * G_USEC_PER_SEC }, { "s", G_USEC_PER_SEC }, { NULL, 0 } };
static gboolean
parse_duration (const char *text, gint64 *value_us)
{
  char *end = NULL;
  guint64 number = g_ascii_strtoull (text, &end, 10);
  if (end == text || !g_ascii_isdigit (text[0]))
    return FALSE;
  for (const Unit *unit = duration_units; unit->suffix != NULL; unit++)
    if (g_str_equal (end, unit->suffix))
      {
        if (number > (guint64)(G_MAXINT64 / unit->factor))
          return FALSE;
        *value_us = (gint64)number * unit->factor;
        return TRUE;
      }
  return FALSE;
}

static gboolean
is_name (const char *text)
{
  gsize length = strlen (text);
  if (length == 0 || length > NAME_MAX_BYTES)
    return FALSE;
  for (const char *at = text; *at != '\0'; at++)
    if (!g_ascii_isalnum (*at) && strchr ("-_.", *at) == NULL)
      return FALSE;
  return TRUE;
}

static gboolean
is_address (const char *text)
{
  g_autoptr (GSocketAddress) address = quince_address_parse (text, NULL);
  return address != NULL;
}

static gboolean
is_choice (const QuinceSettingSpec *spec, const char *text)
{
  g_auto (GStrv) choices = g_strsplit (spec->choices, "|", -1);
  return g_strv_contains ((const char *const *)choices, text);
}

static gboolean
is_number (const char *text)
{
  char *end = NULL;
  double value = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && isfinite (value);
}

static gboolean
parse_typed_value (const QuinceSettingSpec *spec, const char *text, gint64 *number)
{
  switch (spec->type)
    {
    case QUINCE_SETTING_TEXT:
      return TRUE;
    case QUINCE_SETTING_NAME:
      return is_name (text);
    case QUINCE_SETTING_ADDRESS:
      return is_address (text);
    case QUINCE_SETTING_INTEGER:
      return g_ascii_string_to_signed (text, 10, G_MININT64, G_MAXINT64, number, NULL);
    case QUINCE_SETTING_NUMBER:
      return is_number (text);
    case QUINCE_SETTING_DURATION:
      return parse_duration (text, number);
    case QUINCE_SETTING_BOOLEAN:
      *number = g_str_equal (text, "true");
      return *number || g_str_equal (text, "false");
    case QUINCE_SETTING_CHOICE:
      return is_choice (spec, text);
    }
  g_assert_not_reached ();
}

static gboolean
has_range (const QuinceSettingSpec *spec)
{
  return spec->type == QUINCE_SETTING_INTEGER || spec->type == QUINCE_SETTING_DURATION;
}

static const char *
describe_type (const QuinceSettingSpec *spec)
{
  switch (spec->type)
    {
    case QUINCE_SETTING_TEXT:
      return "any text";
    case QUINCE_SETTING_NAME:
      return "1 to 64 letters, digits, '-', '_', '.'";
    case QUINCE_SETTING_ADDRESS:
      return "a numeric ip:port";
    case QUINCE_SETTING_INTEGER:
      return "a whole number";
    case QUINCE_SETTING_NUMBER:
      return "a number";
    case QUINCE_SETTING_DURATION:
      return "a whole number and a unit: us, ms, s, min";
    case QUINCE_SETTING_BOOLEAN:
      return "true or false";
    case QUINCE_SETTING_CHOICE:
      return spec->choices;
    }
  g_assert_not_reached ();
}

char *
quince_setting_describe_allowed (const QuinceSettingSpec *spec)
{
  GString *text = g_string_new (describe_type (spec));
  const char *unit = spec->type == QUINCE_SETTING_DURATION ? "us" : "";
  if (has_range (spec) && spec->maximum != 0)
    g_string_append_printf (text, ", from %" G_GINT64_FORMAT "%s to %" G_GINT64_FORMAT "%s", spec->minimum,
                            unit, spec->maximum, unit);
  else if (has_range (spec) && spec->minimum != 0)
    g_string_append_printf (text, ", at least %" G_GINT64_FORMAT "%s", spec->minimum, unit);
  return g_string_free (text, FALSE);
}

char *
quince_setting_check (const QuinceSettingSpec *spec, const char *text, gint64 *number)
{
  *number = 0;
  g_autofree char *allowed = quince_setting_describe_allowed (spec);
  if (!parse_typed_value (spec, text, number))
    return g_strdup_printf ("'%s' is not valid; allowed: %s", text, allowed);
  if (has_range (spec) && (*number < spec->minimum || (spec->maximum != 0 && *number > spec->maximum)))
    return g_strdup_printf ("'%s' is out of range; allowed: %s", text, allowed);
  return NULL;
}
