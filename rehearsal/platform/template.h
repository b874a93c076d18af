/*
 * template.h: settings files from the templates in deploy/, as the platform fills them in.
 *
 * {{NAME}} is replaced by a value; {{#NAME}}...{{/NAME}} is repeated for each entry of a value, where {{@}}
 * is the entry's key, {{.}} its value and {{,}} a comma after all but the last, and left out without a value.
 * Keeps no state.
 */
#pragma once

#include <glib.h>

#define TEMPLATE_ERROR (template_error_quark ())
GQuark template_error_quark (void);

typedef enum
{
  TEMPLATE_ERROR_UNTERMINATED,  /* a name or a section is not closed */
  TEMPLATE_ERROR_MISSING_VALUE, /* a name has no value               */
} TemplateError;

/* @values: text by name; entries as KEY=VALUE, separated by commas.
 *
 * Returns: (transfer full) (nullable): or %NULL with TEMPLATE_ERROR */
char *template_render (const char *text, GHashTable *values, GError **error);
