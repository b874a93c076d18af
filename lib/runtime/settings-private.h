/*
 * settings-private.h: shared by settings.c (files) and settings-values.c (values).
 */
#pragma once

#include "runtime/settings.h"

/* Checks @text against @spec. Returns: (transfer full) (nullable): what is wrong and
 * what is allowed; %NULL when @text is valid, with @number set for numeric types. */
char *quince_setting_check (const QuinceSettingSpec *spec, const char *text, gint64 *number);

/* Returns: (transfer full): what values @spec allows, for messages and --help-settings. */
char *quince_setting_describe_allowed (const QuinceSettingSpec *spec);
