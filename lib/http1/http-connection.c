/*
 * http-connection.c: one HTTP/1.1 connection, either side.
 *
 * Output is handed to the kernel at once and kept only where the kernel takes no more.  Input is parsed as it
 * comes; after a whole message parsing stops until the owner asks for the next one.
 */
#include "http1/http1.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>

#include <linux/sockios.h>

#include <http_parser.h>

#include "runtime/address.h"
#include "runtime/clock.h"

#define READ_BYTES (32 * 1024)
#define FINISH_MS 2000
/* Bytes that may come before the owner asks for the next message. */
#define EARLY_MAX_BYTES (256 * 1024)

struct _QuinceHttpConnection
{
  /* All fields belong to the context that created the connection. */
  grefcount references;
  const QuinceHttpConnectionCallbacks *callbacks;
  gpointer user_data;
  GSocket *socket;
  GSource *input_source;
  GSource *output_source;
  GSource *finish_timer;
  GByteArray *output; /* what the kernel has not taken */
  GByteArray *early;  /* bytes beyond the message that is whole */
  http_parser parser;
  QuinceHttpHead *head; /* being read */
  GString *field;
  GString *value;
  gboolean value_began;
  gsize max_head_bytes; /* 0: no limit of ours */
  gsize head_bytes;
  gboolean is_client;
  gboolean connecting;
  gboolean open;
  gboolean waiting;   /* a whole message waits for next() */
  gboolean reading;   /* a message has begun */
  gboolean too_large; /* the head that was read last */
  gboolean finishing;
};

void
quince_tcp_prepare (GSocket *socket)
{
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, QUINCE_TCP_SILENCE_MS, NULL);
}

QuinceHttpConnection *
quince_http_connection_ref (QuinceHttpConnection *connection)
{
  g_ref_count_inc (&connection->references);
  return connection;
}

void
quince_http_connection_unref (QuinceHttpConnection *connection)
{
  if (!g_ref_count_dec (&connection->references))
    return;
  quince_http_connection_close (connection);
  g_clear_object (&connection->socket);
  g_byte_array_unref (connection->output);
  g_byte_array_unref (connection->early);
  quince_http_head_free (connection->head);
  g_string_free (connection->field, TRUE);
  g_string_free (connection->value, TRUE);
  g_free (connection);
}

void
quince_http_connection_close (QuinceHttpConnection *connection)
{
  if (!connection->open)
    return;
  connection->open = FALSE;
  quince_source_clear (&connection->input_source);
  quince_source_clear (&connection->output_source);
  quince_source_clear (&connection->finish_timer);
  if (connection->socket != NULL)
    g_socket_close (connection->socket, NULL);
}

static void
connection_over (QuinceHttpConnection *connection, const GError *error)
{
  if (!connection->open)
    return;
  gboolean silent = connection->finishing;
  quince_http_connection_ref (connection);
  quince_http_connection_close (connection);
  if (!silent && connection->callbacks->closed != NULL)
    connection->callbacks->closed (connection, error, connection->user_data);
  if (silent)
    quince_http_connection_unref (connection); /* the reference that finish() took */
  quince_http_connection_unref (connection);
}

static void
connection_fail (QuinceHttpConnection *connection, QuinceHttp1Error code, const char *text)
{
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, code, text);
  connection_over (connection, error);
}

/* ---- Parsing ---------------------------------------------------------- */

/* The owner still listens. */
static gboolean
is_alive (const QuinceHttpConnection *connection)
{
  return connection->open && !connection->finishing;
}

static void
take_header (QuinceHttpConnection *connection)
{
  if (connection->value_began)
    quince_http_headers_add (connection->head->headers, connection->field->str, connection->value->str);
  g_string_truncate (connection->field, 0);
  g_string_truncate (connection->value, 0);
  connection->value_began = FALSE;
}

static int
on_message_begin (http_parser *parser)
{
  QuinceHttpConnection *connection = parser->data;
  quince_http_head_free (connection->head);
  connection->head = g_new0 (QuinceHttpHead, 1);
  connection->head->headers = quince_http_headers_new ();
  connection->reading = TRUE;
  return 0;
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  QuinceHttpConnection *connection = parser->data;
  char *old = connection->head->target;
  g_autofree char *part = g_strndup (at, length);
  connection->head->target = g_strconcat (old != NULL ? old : "", part, NULL);
  g_free (old);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t length)
{
  QuinceHttpConnection *connection = parser->data;
  if (connection->value_began)
    take_header (connection);
  g_string_append_len (connection->field, at, (gssize)length);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  QuinceHttpConnection *connection = parser->data;
  connection->value_began = TRUE;
  g_string_append_len (connection->value, at, (gssize)length);
  return 0;
}

/* Bytes of the head on the wire, but for optional spaces. */
static gsize
head_size (const QuinceHttpHead *head)
{
  gsize size = strlen (head->method) + strlen (head->target) + strlen ("  HTTP/1.1\r\n\r\n");
  for (guint i = 0; i < quince_http_headers_get_length (head->headers); i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (head->headers, i);
      size += strlen (line->name) + strlen (line->value) + strlen (": \r\n");
    }
  return size;
}

static int
on_headers_complete (http_parser *parser)
{
  QuinceHttpConnection *connection = parser->data;
  take_header (connection);
  QuinceHttpHead *head = g_steal_pointer (&connection->head);
  if (connection->is_client)
    head->status = parser->status_code;
  else
    head->method = g_strdup (http_method_str ((enum http_method)parser->method));
  if (!connection->is_client && connection->max_head_bytes > 0
      && head_size (head) > connection->max_head_bytes)
    {
      connection->too_large = TRUE;
      quince_http_head_free (head);
      return -1;
    }
  head->keep_alive = http_should_keep_alive (parser) != 0;
  if (connection->is_client && head->status < 200)
    quince_http_head_free (head); /* an interim answer: the real one follows */
  else
    connection->callbacks->head (connection, head, connection->user_data);
  return is_alive (connection) ? 0 : -1;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  QuinceHttpConnection *connection = parser->data;
  if (connection->callbacks->body != NULL)
    connection->callbacks->body (connection, at, length, connection->user_data);
  return is_alive (connection) ? 0 : -1;
}

static int
on_message_complete (http_parser *parser)
{
  QuinceHttpConnection *connection = parser->data;
  if (connection->is_client && parser->status_code < 200)
    return 0;
  connection->reading = FALSE;
  connection->waiting = TRUE;
  connection->head_bytes = 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* A head that does not end. */
static gboolean
head_too_large (QuinceHttpConnection *connection, gsize length)
{
  if (connection->max_head_bytes == 0 || (connection->head == NULL && connection->reading))
    return FALSE;
  connection->head_bytes += length;
  return connection->head != NULL && connection->head_bytes > connection->max_head_bytes;
}

/* Nothing more is read from the peer.  A server's owner may answer it first. */
static void
refuse_input (QuinceHttpConnection *connection, QuinceHttp1Error code, const char *text)
{
  if (connection->is_client || connection->callbacks->refused == NULL)
    {
      connection_fail (connection, code, text);
      return;
    }
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, code, text);
  connection->callbacks->refused (connection, error, connection->user_data);
}

static void
refuse_message (QuinceHttpConnection *connection, enum http_errno parse_error)
{
  gboolean too_large = connection->too_large || parse_error == HPE_HEADER_OVERFLOW;
  refuse_input (connection, too_large ? QUINCE_HTTP1_ERROR_TOO_LARGE : QUINCE_HTTP1_ERROR_MALFORMED,
                too_large ? "head is too large" : http_errno_description (parse_error));
}

/* Parses @data up to the end of one message; keeps the rest. */
static void
parse (QuinceHttpConnection *connection, const char *data, gsize length)
{
  quince_http_connection_ref (connection);
  gsize used = http_parser_execute (&connection->parser, &parser_settings, data, length);
  enum http_errno parse_error = HTTP_PARSER_ERRNO (&connection->parser);
  if (is_alive (connection) && parse_error != HPE_OK && parse_error != HPE_PAUSED)
    refuse_message (connection, parse_error);
  else if (is_alive (connection) && head_too_large (connection, length))
    refuse_input (connection, QUINCE_HTTP1_ERROR_TOO_LARGE, "head is too large");
  if (is_alive (connection) && connection->waiting)
    {
      http_parser_pause (&connection->parser, 0);
      if (length > used)
        g_byte_array_append (connection->early, (const guint8 *)data + used, (guint)(length - used));
      connection->callbacks->complete (connection, connection->user_data);
    }
  quince_http_connection_unref (connection);
}

void
quince_http_connection_next (QuinceHttpConnection *connection)
{
  if (!is_alive (connection) || !connection->waiting)
    return;
  connection->waiting = FALSE;
  if (connection->early->len == 0)
    return;
  g_autoptr (GByteArray) bytes = g_steal_pointer (&connection->early);
  connection->early = g_byte_array_new ();
  parse (connection, (const char *)bytes->data, bytes->len);
}

static void
input_ended (QuinceHttpConnection *connection)
{
  if (connection->waiting || !connection->reading)
    {
      connection_over (connection, NULL);
      return;
    }
  /* An answer without a length is whole when its connection ends in order. */
  quince_http_connection_ref (connection);
  http_parser_execute (&connection->parser, &parser_settings, NULL, 0);
  if (connection->open && connection->waiting)
    connection->callbacks->complete (connection, connection->user_data);
  connection_fail (connection, QUINCE_HTTP1_ERROR_CLOSED, "peer closed in a message");
  quince_http_connection_unref (connection);
}

static gboolean
input_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  QuinceHttpConnection *connection = data;
  char buffer[READ_BYTES];
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);
  if (length < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  quince_http_connection_ref (connection);
  if (length < 0)
    connection_fail (connection, QUINCE_HTTP1_ERROR_RESET, error->message);
  else if (length == 0)
    input_ended (connection);
  else if (connection->finishing)
    ; /* what comes after our last answer is not read */
  else if (connection->waiting && connection->early->len > EARLY_MAX_BYTES)
    connection_fail (connection, QUINCE_HTTP1_ERROR_TOO_LARGE, "too much before its turn");
  else if (connection->waiting)
    g_byte_array_append (connection->early, (const guint8 *)buffer, (guint)length);
  else
    parse (connection, buffer, (gsize)length);
  gboolean open = connection->open;
  quince_http_connection_unref (connection);
  return open ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static void
watch_input (QuinceHttpConnection *connection)
{
  connection->input_source = g_socket_create_source (connection->socket, G_IO_IN, NULL);
  g_source_set_callback (connection->input_source, G_SOURCE_FUNC (input_ready), connection, NULL);
  g_source_attach (connection->input_source, g_main_context_get_thread_default ());
}

/* ---- Output ----------------------------------------------------------- */

static void
output_done (QuinceHttpConnection *connection)
{
  if (connection->finishing)
    g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
  else if (connection->callbacks->drained != NULL)
    connection->callbacks->drained (connection, connection->user_data);
}

/* Returns: bytes the kernel took, -1 when the connection failed and was closed */
static gssize
send_some (QuinceHttpConnection *connection, const char *data, gsize length)
{
  g_autoptr (GError) error = NULL;
  gssize taken = g_socket_send (connection->socket, data, length, NULL, &error);
  if (taken < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return 0;
  if (taken < 0)
    connection_fail (connection, QUINCE_HTTP1_ERROR_RESET, error->message);
  return taken;
}

static gboolean
output_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  QuinceHttpConnection *connection = data;
  quince_http_connection_ref (connection);
  gssize taken = send_some (connection, (const char *)connection->output->data, connection->output->len);
  if (taken > 0)
    g_byte_array_remove_range (connection->output, 0, (guint)taken);
  gboolean more = connection->open && connection->output->len > 0;
  if (connection->open && !more)
    {
      quince_source_clear (&connection->output_source);
      output_done (connection);
    }
  quince_http_connection_unref (connection);
  return more ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static void
watch_output (QuinceHttpConnection *connection)
{
  if (connection->output_source != NULL || connection->connecting)
    return;
  connection->output_source = g_socket_create_source (connection->socket, G_IO_OUT, NULL);
  g_source_set_callback (connection->output_source, G_SOURCE_FUNC (output_ready), connection, NULL);
  g_source_attach (connection->output_source, g_main_context_get_thread_default ());
}

/* A failed write is told from the loop, like every other failure. */
void
quince_http_connection_write (QuinceHttpConnection *connection, const char *data, gsize length)
{
  if (!connection->open || connection->finishing)
    return;
  gsize taken = 0;
  if (!connection->connecting && connection->output->len == 0)
    {
      gssize now = g_socket_send (connection->socket, data, length, NULL, NULL);
      taken = now > 0 ? (gsize)now : 0;
    }
  if (taken == length)
    return;
  g_byte_array_append (connection->output, (const guint8 *)data + taken, (guint)(length - taken));
  watch_output (connection);
}

static gboolean
finish_late (gpointer data)
{
  connection_over (data, NULL);
  return G_SOURCE_REMOVE;
}

void
quince_http_connection_finish (QuinceHttpConnection *connection)
{
  if (!connection->open || connection->finishing)
    return;
  connection->finishing = TRUE;
  quince_http_connection_ref (connection);
  connection->finish_timer = quince_timer_add (FINISH_MS, finish_late, connection);
  if (connection->output->len == 0)
    output_done (connection);
}

/* ---- Set-up ----------------------------------------------------------- */

static QuinceHttpConnection *
connection_new (gboolean is_client, const QuinceHttpConnectionCallbacks *callbacks, gpointer user_data)
{
  QuinceHttpConnection *connection = g_new0 (QuinceHttpConnection, 1);
  g_ref_count_init (&connection->references);
  connection->callbacks = callbacks;
  connection->user_data = user_data;
  connection->output = g_byte_array_new ();
  connection->early = g_byte_array_new ();
  connection->field = g_string_new (NULL);
  connection->value = g_string_new (NULL);
  connection->is_client = is_client;
  connection->open = TRUE;
  http_parser_init (&connection->parser, is_client ? HTTP_RESPONSE : HTTP_REQUEST);
  connection->parser.data = connection;
  return connection;
}

QuinceHttpConnection *
quince_http_connection_new_server (GSocket *socket,
                                   gsize max_head_bytes,
                                   const QuinceHttpConnectionCallbacks *callbacks,
                                   gpointer user_data)
{
  QuinceHttpConnection *connection = connection_new (FALSE, callbacks, user_data);
  connection->socket = socket;
  connection->max_head_bytes = max_head_bytes;
  quince_tcp_prepare (socket);
  watch_input (connection);
  return connection;
}

static gboolean
connect_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  QuinceHttpConnection *connection = data;
  g_autoptr (GError) error = NULL;
  gboolean up = g_socket_check_connect_result (socket, &error);
  quince_source_clear (&connection->output_source);
  if (!up)
    {
      connection_fail (connection, QUINCE_HTTP1_ERROR_CONNECT, error->message);
      return G_SOURCE_REMOVE;
    }
  quince_http_connection_ref (connection);
  connection->connecting = FALSE;
  watch_input (connection);
  if (connection->output->len > 0)
    {
      gssize taken = send_some (connection, (const char *)connection->output->data, connection->output->len);
      if (taken > 0)
        g_byte_array_remove_range (connection->output, 0, (guint)taken);
      if (connection->open && connection->output->len > 0)
        watch_output (connection);
    }
  if (connection->open && connection->callbacks->connected != NULL)
    connection->callbacks->connected (connection, connection->user_data);
  quince_http_connection_unref (connection);
  return G_SOURCE_REMOVE;
}

static gboolean
connect_impossible (gpointer data)
{
  connection_fail (data, QUINCE_HTTP1_ERROR_CONNECT, "no connection can be made to this address");
  return G_SOURCE_REMOVE;
}

static gboolean
begin_connect (QuinceHttpConnection *connection, const char *address)
{
  g_autoptr (GSocketAddress) target = quince_address_parse (address, NULL);
  if (target == NULL)
    return FALSE;
  connection->socket = g_socket_new (g_socket_address_get_family (target), G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_TCP, NULL);
  if (connection->socket == NULL)
    return FALSE;
  quince_tcp_prepare (connection->socket);
  g_autoptr (GError) error = NULL;
  return g_socket_connect (connection->socket, target, NULL, &error)
         || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING);
}

QuinceHttpConnection *
quince_http_connection_connect (const char *address,
                                const QuinceHttpConnectionCallbacks *callbacks,
                                gpointer user_data)
{
  QuinceHttpConnection *connection = connection_new (TRUE, callbacks, user_data);
  connection->connecting = TRUE;
  if (begin_connect (connection, address))
    {
      connection->output_source = g_socket_create_source (connection->socket, G_IO_OUT, NULL);
      g_source_set_callback (connection->output_source, G_SOURCE_FUNC (connect_ready), connection, NULL);
    }
  else
    {
      connection->output_source = g_idle_source_new ();
      g_source_set_callback (connection->output_source, connect_impossible, connection, NULL);
    }
  g_source_attach (connection->output_source, g_main_context_get_thread_default ());
  return connection;
}

gboolean
quince_http_connection_is_open (QuinceHttpConnection *connection)
{
  return is_alive (connection);
}

gboolean
quince_http_connection_has_surplus (QuinceHttpConnection *connection)
{
  return connection->early->len > 0;
}

gboolean
quince_http_connection_has_output (QuinceHttpConnection *connection)
{
  return connection->output->len > 0;
}

gboolean
quince_http_connection_has_input (const QuinceHttpConnection *connection)
{
  return connection->socket != NULL && g_socket_condition_check (connection->socket, G_IO_IN) != 0;
}

gboolean
quince_http_connection_has_unacknowledged (const QuinceHttpConnection *connection)
{
  int bytes = 0;
  if (connection->output->len > 0)
    return TRUE;
  if (!connection->open || connection->socket == NULL)
    return FALSE;
  return ioctl (g_socket_get_fd (connection->socket), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void
quince_http_connection_discard_at_close (QuinceHttpConnection *connection)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
  if (connection->open && connection->socket != NULL)
    setsockopt (g_socket_get_fd (connection->socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

gsize
quince_http_connection_get_output (QuinceHttpConnection *connection)
{
  return connection->output->len;
}

gboolean
quince_http_connection_is_reading (QuinceHttpConnection *connection)
{
  return connection->reading;
}
