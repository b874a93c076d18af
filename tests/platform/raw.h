/*
 * raw.h: a caller that sends arbitrary bytes, such as malformed requests.
 */
#pragma once

#include "path-world.h"

typedef struct
{
  GSocket *socket; /* owned */
  GString *text;   /* received so far */
  gboolean closed;
} RawCaller;

static inline RawCaller *
raw_connect (const char *address)
{
  RawCaller *caller = g_new0 (RawCaller, 1);
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  g_autoptr (GSocketAddress) target
      = g_inet_socket_address_new_from_string (parts[0], (guint)g_ascii_strtoull (parts[1], NULL, 10));
  caller->socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  assert_true (g_socket_connect (caller->socket, target, NULL, NULL));
  g_socket_set_blocking (caller->socket, FALSE);
  caller->text = g_string_new (NULL);
  return caller;
}

static inline void
raw_free (RawCaller *caller)
{
  g_socket_close (caller->socket, NULL);
  g_object_unref (caller->socket);
  g_string_free (caller->text, TRUE);
  g_free (caller);
}

static inline void
raw_send (RawCaller *caller, const char *text)
{
  gsize sent = 0;
  gsize length = strlen (text);
  while (sent < length)
    {
      gssize written = g_socket_send (caller->socket, text + sent, length - sent, NULL, NULL);
      if (written > 0)
        sent += (gsize)written;
      else if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (1000);
      if (g_socket_condition_check (caller->socket, G_IO_HUP | G_IO_ERR) != 0)
        return; /* the front closed the connection */
    }
}

static inline void
raw_read (RawCaller *caller)
{
  char buffer[4096];
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_receive (caller->socket, buffer, sizeof buffer, NULL, &error);
  if (length > 0)
    g_string_append_len (caller->text, buffer, length);
  else if (length == 0 || !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    caller->closed = TRUE;
}

static inline gboolean
raw_has_received (RawCaller *caller, const char *part)
{
  raw_read (caller);
  return strstr (caller->text->str, part) != NULL;
}

/* Returns the number of HTTP answers received so far. */
static inline guint
raw_count_answers (RawCaller *caller)
{
  raw_read (caller);
  return path_count_occurrences (caller->text->str, "HTTP/1.1 ");
}
