/*
 * json-check.h: what must hold of a text from outside before a JSON library sees it.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * quince_json_check:
 *
 * To be asked before any text from outside goes to json-glib.
 *
 * Returns: %FALSE when @text is not UTF-8, nests deeper than 64 levels, or has strings, escapes or
 * bytes that JSON has not; also for "\u0000", which no C string holds.  %TRUE says nothing of the
 * rest of the grammar.
 */
gboolean quince_json_check (const char *text, gsize length);

G_END_DECLS
