/*
 * json-check.h: a check of text from outside before a JSON library parses it.  Keeps no state.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * quince_json_check:
 *
 * To be called before any text from outside is given to json-glib.
 *
 * Returns: %FALSE when @text is not UTF-8, nests deeper than 64 levels, or has strings, escapes or bytes that
 * are not JSON; also for "\u0000", which no C string holds.  %TRUE does not cover the rest of the grammar.
 */
gboolean quince_json_check (const char *text, gsize length);

G_END_DECLS
