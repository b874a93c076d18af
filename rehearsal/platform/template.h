/*
 * template.h: renders the templates in deploy/ to settings files, as the platform does.
 *
 * {{NAME}} is replaced by its value.  A section {{#NAME}}...{{/NAME}} is repeated for each entry of its value
 * and omitted if NAME has no value.  Inside a section, {{@}} is the key of the entry, {{.}} its value and
 * {{,}} a comma, except after the last entry.
 */
#pragma once

#include <glib.h>

#define TEMPLATE_ERROR (template_error_quark ())
GQuark template_error_quark (void);

typedef enum
{
  TEMPLATE_ERROR_UNTERMINATED,  /* a placeholder or a section is not closed */
  TEMPLATE_ERROR_MISSING_VALUE, /* a placeholder has no value */
} TemplateError;

/* @values: name -> value; the value of a section is a list of VALUE or KEY=VALUE entries, separated by commas
 *
 * Returns: (transfer full) (nullable): the rendered text, or %NULL with a TEMPLATE_ERROR */
char *template_render (const char *text, GHashTable *values, GError **error);
