/*
 * json-check.h: checks untrusted text before a JSON library parses it.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * quince_json_check:
 *
 * Checks @text before it is passed to json-glib or yajl.  The rest of the JSON grammar is left to them.
 *
 * Returns: %FALSE if @text is not UTF-8, nests deeper than 64 levels, has more opening than closing brackets
 * or the reverse, contains strings, escapes or bytes that are not valid JSON, or contains "\u0000", which a C
 * string cannot represent; %TRUE otherwise
 */
gboolean quince_json_check (const char *text, gsize length);

/**
 * quince_json_find_boundary:
 * @text: part of a checked text that begins outside strings
 * @min_length: length from which on the boundary is looked for, bytes
 *
 * Finds a place between two tokens, so that a parser that reads the text in parts never holds a part of one.
 *
 * Returns: its offset, or @length if there is none
 */
gsize quince_json_find_boundary (const char *text, gsize length, gsize min_length);

G_END_DECLS
