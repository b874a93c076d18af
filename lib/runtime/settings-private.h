/*
 * settings-private.h: internal interface between settings.c (files) and settings-values.c (values).
 */
#pragma once

#include "runtime/settings.h"

/* Checks @text against @spec.
 * @number: (out): the integer, the duration in us, or 1 for true; 0 for other types
 *
 * Returns: (transfer full) (nullable): a description of the problem and of the valid values, or %NULL if
 * @text is valid */
char *quince_setting_check (const QuinceSettingSpec *spec, const char *text, gint64 *number);

/* Returns: (transfer full): a description of the valid values, for error messages and --help-settings */
char *quince_setting_describe_allowed (const QuinceSettingSpec *spec);
