/*
 * http-syntax.h: which texts may be written into the head of a message (RFC 9110, section 5; RFC 9112).
 *
 * Line ends in a name, a value or a target would end the line, so that the receiver reads other header lines,
 * or another message, from what follows.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Returns whether @text may be the name of a header: it is a token, and not empty. */
gboolean quince_http_is_name (const char *text);
/* Returns whether @text may be the value of a header: it has no control characters but tabs. */
gboolean quince_http_is_value (const char *text);
/* Returns whether @text may be an id or a host in a header: a value without blanks, and not empty. */
gboolean quince_http_is_word (const char *text);
/* Returns whether @text may be the target of a request: a word that begins with a slash. */
gboolean quince_http_is_target (const char *text);

/* Appends a value to the head of a message; replaces control characters by spaces (RFC 9110, section 5.5).
 * Returns whether there were none. */
gboolean quince_http_append_value (GString *head, const char *value);
/* Appends the target of a request; replaces control characters and spaces by their percent-encoding.  Returns
 * whether there were none. */
gboolean quince_http_append_target (GString *head, const char *target);

G_END_DECLS
