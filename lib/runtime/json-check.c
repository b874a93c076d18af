/*
 * json-check.c: checks untrusted text before a JSON library parses it.
 *
 * json-glib recurses for each level of nesting, so that deeply nested text overflows the stack.  It also
 * accepts text that RFC 8259 does not allow: comments, and incomplete escapes, after which it finds the ends
 * of strings at other places.  This check rejects both.
 */
#include "runtime/json-check.h"

#include <string.h>

/* Far above the nesting of valid messages, far below the depth at which json-glib overflows the stack. */
#define NESTING_DEPTH_MAX 64
/* Length of the escape "\uXXXX" (RFC 8259, section 7). */
#define UNIT_ESCAPE_BYTES 6
#define IS_HIGH_SURROGATE(unit) ((unit) >= 0xd800 && (unit) <= 0xdbff)
#define IS_LOW_SURROGATE(unit) ((unit) >= 0xdc00 && (unit) <= 0xdfff)

/* Returns: the UTF-16 code unit of the escape "\uXXXX" at @at, or -1 if there is no such escape */
static int
parse_unicode_escape (const char *at, const char *end)
{
  int unit = 0;
  if (end - at < UNIT_ESCAPE_BYTES || at[0] != '\\' || at[1] != 'u')
    return -1;
  for (int i = 2; i < UNIT_ESCAPE_BYTES; i++)
    {
      int digit = g_ascii_xdigit_value (at[i]);
      if (digit < 0)
        return -1;
      unit = unit * 16 + digit;
    }
  return unit;
}

/* Returns: the end of the escape at @at, or %NULL if it is invalid or "\u0000" */
static const char *
skip_escape (const char *at, const char *end)
{
  int unit = parse_unicode_escape (at, end);
  if (unit < 0)
    return end - at >= 2 && memchr ("\"\\/bfnrt", at[1], strlen ("\"\\/bfnrt")) != NULL ? at + 2 : NULL;
  if (unit == 0 || IS_LOW_SURROGATE (unit))
    return NULL;
  at += UNIT_ESCAPE_BYTES;
  if (!IS_HIGH_SURROGATE (unit))
    return at;
  int low = parse_unicode_escape (at, end);
  return IS_LOW_SURROGATE (low) ? at + UNIT_ESCAPE_BYTES : NULL;
}

/* @at: first byte after the opening quote
 *
 * Returns: the first byte after the closing quote, or %NULL if the string is invalid */
static const char *
skip_string (const char *at, const char *end)
{
  while (at != NULL && at < end)
    {
      if (*at == '"')
        return at + 1;
      at = *at == '\\' ? skip_escape (at, end) : at + 1;
    }
  return NULL;
}

/* Returns: whether @byte may occur outside strings; brackets and braces are checked separately */
static gboolean
is_allowed_outside_string (char byte)
{
  return g_ascii_isalnum (byte) || memchr (" \t\r\n:,+-.", byte, strlen (" \t\r\n:,+-.")) != NULL;
}

gboolean
quince_json_check (const char *text, gsize length)
{
  const char *at = text;
  const char *end = text + length;
  guint depth = 0;
  if (!g_utf8_validate_len (text, length, NULL))
    return FALSE;
  while (at != NULL && at < end)
    {
      char byte = *at++;
      if (byte == '"')
        at = skip_string (at, end);
      else if (byte == '[' || byte == '{')
        depth++;
      else if ((byte == ']' || byte == '}') && depth > 0)
        depth--;
      else if (!is_allowed_outside_string (byte))
        return FALSE;
      if (depth > NESTING_DEPTH_MAX)
        return FALSE;
    }
  return at != NULL && depth == 0;
}

gsize
quince_json_find_boundary (const char *text, gsize length, gsize min_length)
{
  const char *at = text;
  const char *end = text + length;
  while (at < end)
    {
      char byte = *at++;
      gboolean ends_token = strchr (",:[]{}\"", byte) != NULL;
      if (byte == '"')
        at = skip_string (at, end);
      if (at == NULL)
        return length;
      if (ends_token && (gsize)(at - text) >= min_length)
        return (gsize)(at - text);
    }
  return length;
}
