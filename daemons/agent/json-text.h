/*
 * json-text.h: JSON written as text, for bodies that are large or many.
 */
#pragma once

#include <glib.h>

/* Appends @text as a JSON string, with its quotes. */
void quince_json_append_text (GString *out, const char *text);
