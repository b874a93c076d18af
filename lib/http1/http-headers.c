/*
 * http-headers.c: ordered list of HTTP headers with case-insensitive names.
 */
#include "http1/http1.h"

#include <string.h>

G_DEFINE_QUARK (quince - http1 - error - quark, quince_http1_error)

struct _QuinceHttpHeaders
{
  GArray *lines; /* QuinceHttpHeader with owned strings */
};

static void
clear_header (gpointer data)
{
  QuinceHttpHeader *line = data;
  g_free (line->name);
  g_free (line->value);
}

QuinceHttpHeaders *
quince_http_headers_new (void)
{
  QuinceHttpHeaders *headers = g_new0 (QuinceHttpHeaders, 1);
  headers->lines = g_array_new (FALSE, FALSE, sizeof (QuinceHttpHeader));
  g_array_set_clear_func (headers->lines, clear_header);
  return headers;
}

void
quince_http_headers_free (QuinceHttpHeaders *headers)
{
  if (headers == NULL)
    return;
  g_array_unref (headers->lines);
  g_free (headers);
}

QuinceHttpHeaders *
quince_http_headers_copy (const QuinceHttpHeaders *headers)
{
  QuinceHttpHeaders *copy = quince_http_headers_new ();
  for (guint i = 0; i < headers->lines->len; i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (headers, i);
      quince_http_headers_add (copy, line->name, line->value);
    }
  return copy;
}

guint
quince_http_headers_get_length (const QuinceHttpHeaders *headers)
{
  return headers->lines->len;
}

const QuinceHttpHeader *
quince_http_headers_index (const QuinceHttpHeaders *headers, guint index)
{
  return &g_array_index (headers->lines, QuinceHttpHeader, index);
}

const char *
quince_http_headers_get (const QuinceHttpHeaders *headers, const char *name)
{
  for (guint i = 0; i < headers->lines->len; i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (headers, i);
      if (g_ascii_strcasecmp (line->name, name) == 0)
        return line->value;
    }
  return NULL;
}

void
quince_http_headers_add (QuinceHttpHeaders *headers, const char *name, const char *value)
{
  QuinceHttpHeader line = { g_strdup (name), g_strdup (value) };
  g_array_append_val (headers->lines, line);
}

void
quince_http_headers_remove (QuinceHttpHeaders *headers, const char *name)
{
  for (guint i = headers->lines->len; i > 0; i--)
    if (g_ascii_strcasecmp (quince_http_headers_index (headers, i - 1)->name, name) == 0)
      g_array_remove_index (headers->lines, i - 1);
}

void
quince_http_headers_set (QuinceHttpHeaders *headers, const char *name, const char *value)
{
  quince_http_headers_remove (headers, name);
  quince_http_headers_add (headers, name, value);
}

void
quince_http_headers_remove_hop_by_hop (QuinceHttpHeaders *headers)
{
  static const char *const hop_by_hop_names[] = { "Keep-Alive",
                                                  "Proxy-Connection",
                                                  "Proxy-Authenticate",
                                                  "Proxy-Authorization",
                                                  "TE",
                                                  "Trailer",
                                                  "Transfer-Encoding",
                                                  "Upgrade",
                                                  "Content-Length",
                                                  "Expect" };
  g_autofree char *connection = g_strdup (quince_http_headers_get (headers, "Connection"));
  if (connection != NULL)
    {
      g_auto (GStrv) listed_names = g_strsplit (connection, ",", -1);
      for (char **name = listed_names; *name != NULL; name++)
        quince_http_headers_remove (headers, g_strstrip (*name));
      quince_http_headers_remove (headers, "Connection");
    }
  for (guint i = 0; i < G_N_ELEMENTS (hop_by_hop_names); i++)
    quince_http_headers_remove (headers, hop_by_hop_names[i]);
}

void
quince_http_head_free (QuinceHttpHead *head)
{
  if (head == NULL)
    return;
  g_free (head->method);
  g_free (head->target);
  quince_http_headers_free (head->headers);
  g_free (head);
}
