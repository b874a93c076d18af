/*
 * json-text.c: JSON written as text, for bodies that are large or many.
 */
#include "json-text.h"

#define FIRST_PRINTABLE 0x20

void
quince_json_append_text (GString *out, const char *text)
{
  const char *plain = text;
  g_string_append_c (out, '"');
  for (const char *at = text; *at != '\0'; at++)
    {
      unsigned char byte = (unsigned char)*at;
      if (byte >= FIRST_PRINTABLE && byte != '"' && byte != '\\')
        continue;
      g_string_append_len (out, plain, at - plain);
      plain = at + 1;
      if (byte < FIRST_PRINTABLE)
        g_string_append_printf (out, "\\u%04x", byte);
      else
        {
          g_string_append_c (out, '\\');
          g_string_append_c (out, *at);
        }
    }
  g_string_append (out, plain);
  g_string_append_c (out, '"');
}
