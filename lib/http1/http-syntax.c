/*
 * http-syntax.c: which texts may be written into the head of a message; see http-syntax.h.
 */
#include "http1/http-syntax.h"

#include <string.h>

#define DELETE 0x7f

static gboolean
is_name_character (char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

static gboolean
is_value_character (char c)
{
  return c == '\t' || ((guchar)c >= ' ' && c != DELETE);
}

static gboolean
is_word_character (char c)
{
  return (guchar)c > ' ' && c != DELETE;
}

static gboolean
consists_of (const char *text, gboolean (*is_allowed) (char c))
{
  for (const char *c = text; *c != '\0'; c++)
    if (!is_allowed (*c))
      return FALSE;
  return TRUE;
}

gboolean
quince_http_is_name (const char *text)
{
  return *text != '\0' && consists_of (text, is_name_character);
}

gboolean
quince_http_is_value (const char *text)
{
  return consists_of (text, is_value_character);
}

gboolean
quince_http_is_word (const char *text)
{
  return *text != '\0' && consists_of (text, is_word_character);
}

gboolean
quince_http_is_target (const char *text)
{
  return *text == '/' && quince_http_is_word (text);
}

gboolean
quince_http_append_value (GString *head, const char *value)
{
  if (quince_http_is_value (value))
    {
      g_string_append (head, value);
      return TRUE;
    }
  for (const char *c = value; *c != '\0'; c++)
    g_string_append_c (head, is_value_character (*c) ? *c : ' ');
  return FALSE;
}

gboolean
quince_http_append_target (GString *head, const char *target)
{
  if (consists_of (target, is_word_character))
    {
      g_string_append (head, target);
      return TRUE;
    }
  for (const char *c = target; *c != '\0'; c++)
    if (is_word_character (*c))
      g_string_append_c (head, *c);
    else
      g_string_append_printf (head, "%%%02X", (guchar)*c);
  return FALSE;
}
