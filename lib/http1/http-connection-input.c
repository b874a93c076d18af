/*
 * http-connection-input.c: reads from an HTTP/1.1 connection and parses one message at a time.
 *
 * After a complete message, parsing stops until the owner asks for the next message.  Input that arrives in
 * the meantime is buffered up to a limit.
 */
#include "http-connection-private.h"

#include <string.h>

/* Holds a complete request or response of usual size. */
#define READ_BYTES (32 * 1024)
/* A connection with more buffered input fails at the next read.  Allows many small pipelined requests. */
#define BUFFERED_INPUT_MAX_BYTES (256 * 1024)

/* Messages that are parsed in one turn of the main loop if each is answered at once, so that other
 * connections are served between them. */
#define MESSAGES_PER_TURN_MAX 64

/* Interim responses to one request.  Servers send one or two; each is as large as a head may be. */
#define INTERIM_RESPONSES_MAX 16

/* Returned by on_headers_complete() to the parser. */
enum
{
  HEAD_REJECTED = -1,
  HEAD_ACCEPTED = 0,
  HEAD_WITHOUT_BODY = 1, /* the message ends with its head */
};

#define STATUS_SWITCHING_PROTOCOLS 101
/* A response with a smaller status is followed by another one to the same request. */
#define FINAL_STATUS_MIN 200

static gboolean
is_interim_response (const QuinceHttpConnection *connection)
{
  return connection->is_client && connection->parser.status_code < FINAL_STATUS_MIN;
}

static void
clear_header (QuinceHttpConnection *connection)
{
  g_string_truncate (connection->field, 0);
  g_string_truncate (connection->value, 0);
  connection->value_started = FALSE;
}

static void
store_header (QuinceHttpConnection *connection)
{
  if (connection->value_started)
    {
      /* Blanks around a value are no part of it (RFC 9110, section 5.5); the parser removes those before it.
       */
      g_strchomp (connection->value->str);
      quince_http_headers_add (connection->head->headers, connection->field->str, connection->value->str);
    }
  clear_header (connection);
}

/* The parser also reports the lines after the last chunk of a body as header lines.  These are trailer
 * fields, or bytes that are no part of the message. */
static gboolean
is_reading_head (const QuinceHttpConnection *connection)
{
  return connection->head != NULL;
}

static int
on_message_begin (http_parser *parser)
{
  QuinceHttpConnection *connection = parser->data;
  quince_http_head_free (connection->head);
  connection->head = g_new0 (QuinceHttpHead, 1);
  connection->head->headers = quince_http_headers_new ();
  clear_header (connection);
  connection->head_bytes = 0;
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
  if (!is_reading_head (connection))
    return 0;
  if (connection->value_started)
    store_header (connection);
  g_string_append_len (connection->field, at, (gssize)length);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  QuinceHttpConnection *connection = parser->data;
  if (!is_reading_head (connection))
    return 0;
  connection->value_started = TRUE;
  g_string_append_len (connection->value, at, (gssize)length);
  return 0;
}

/* Returns the size of a request's head on the wire, without optional whitespace. */
static gsize
compute_head_size (const QuinceHttpHead *head)
{
  gsize size = strlen (head->method) + strlen (head->target) + strlen ("  HTTP/1.1\r\n\r\n");
  for (guint i = 0; i < quince_http_headers_get_length (head->headers); i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (head->headers, i);
      size += strlen (line->name) + strlen (line->value) + strlen (": \r\n");
    }
  return size;
}

/* Returns the error of a complete head that this connection cannot accept, or NULL. */
static const char *
find_head_error (const QuinceHttpConnection *connection, const http_parser *parser)
{
  if (connection->is_client && !quince_status_line_is_valid (&connection->status_line, parser->status_code))
    return "status of the response is not three digits from 100 to 599";
  if (connection->is_client && parser->status_code == STATUS_SWITCHING_PROTOCOLS)
    return "response switches to a protocol that was not requested";
  if (!connection->is_client && parser->method == HTTP_CONNECT)
    return "CONNECT is not supported";
  return NULL;
}

static int
on_headers_complete (http_parser *parser)
{
  QuinceHttpConnection *connection = parser->data;
  store_header (connection);
  g_autoptr (QuinceHttpHead) head = g_steal_pointer (&connection->head);
  connection->head_error = find_head_error (connection, parser);
  if (connection->head_error != NULL)
    return HEAD_REJECTED;
  if (is_interim_response (connection))
    {
      connection->head_too_large = ++connection->n_interim > INTERIM_RESPONSES_MAX;
      return connection->head_too_large ? HEAD_REJECTED : HEAD_WITHOUT_BODY;
    }
  connection->n_interim = 0;
  if (connection->is_client)
    head->status = parser->status_code;
  else
    head->method = g_strdup (http_method_str ((enum http_method)parser->method));
  if (!connection->is_client && connection->max_head_bytes > 0
      && compute_head_size (head) > connection->max_head_bytes)
    {
      connection->head_too_large = TRUE;
      return HEAD_REJECTED;
    }
  head->keep_alive = http_should_keep_alive (parser) != 0;
  connection->callbacks->head (connection, g_steal_pointer (&head), connection->user_data);
  if (!quince_http_connection_is_alive (connection))
    return HEAD_REJECTED;
  gboolean has_no_body = connection->is_client && quince_status_has_no_body (parser->status_code);
  return connection->head_only || has_no_body ? HEAD_WITHOUT_BODY : HEAD_ACCEPTED;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  QuinceHttpConnection *connection = parser->data;
  if (connection->callbacks->body != NULL)
    connection->callbacks->body (connection, at, length, connection->user_data);
  return quince_http_connection_is_alive (connection) ? 0 : -1;
}

static int
on_message_complete (http_parser *parser)
{
  QuinceHttpConnection *connection = parser->data;
  connection->status_line = (QuinceStatusLine){ 0 };
  http_parser_pause (parser, 1);
  if (is_interim_response (connection))
    {
      connection->interim_complete = TRUE;
      return 0;
    }
  connection->reading = FALSE;
  connection->awaiting_next = TRUE;
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

/* Counts @length bytes of input if they belong to an incomplete head.  Returns TRUE if it exceeds the limit.
 */
static gboolean
exceeds_head_limit (QuinceHttpConnection *connection, gsize length)
{
  if (!is_reading_head (connection))
    return FALSE;
  connection->head_bytes += length;
  return connection->max_head_bytes > 0 && connection->head_bytes > connection->max_head_bytes;
}

/* Tells the owner how much input the connection holds, if that has changed. */
static void
report_held_input (QuinceHttpConnection *connection)
{
  if (!quince_http_connection_is_alive (connection) || connection->callbacks->input_held == NULL)
    return;
  gsize bytes = connection->buffered_input->len;
  if (connection->reading && is_reading_head (connection))
    bytes += connection->head_bytes;
  if (bytes == connection->reported_bytes)
    return;
  connection->reported_bytes = bytes;
  connection->callbacks->input_held (connection, bytes, connection->user_data);
}

/* Reports invalid input.  A server's owner may still send a response if it has a refused() callback. */
static void
refuse_input (QuinceHttpConnection *connection, QuinceHttp1Error code, const char *text)
{
  if (connection->is_client || connection->callbacks->refused == NULL)
    {
      quince_http_connection_fail (connection, code, text);
      return;
    }
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, code, text);
  connection->callbacks->refused (connection, error, connection->user_data);
}

static void
refuse_unparsable_input (QuinceHttpConnection *connection, enum http_errno parse_error)
{
  const char *text
      = connection->head_error != NULL ? connection->head_error : http_errno_description (parse_error);
  gboolean head_too_large = connection->head_too_large || parse_error == HPE_HEADER_OVERFLOW;
  refuse_input (connection, head_too_large ? QUINCE_HTTP1_ERROR_TOO_LARGE : QUINCE_HTTP1_ERROR_MALFORMED,
                head_too_large ? "message head, or what precedes it, is too large" : text);
}

/* Parses @data up to the end of one message, and the interim responses before it.  Returns the number of
 * bytes parsed. */
static gsize
execute_parser (QuinceHttpConnection *connection, const char *data, gsize length)
{
  gsize parsed = 0;
  do
    {
      connection->interim_complete = FALSE;
      if (connection->is_client)
        quince_status_line_read (&connection->status_line, data + parsed, length - parsed);
      parsed += http_parser_execute (&connection->parser, &parser_settings, data + parsed, length - parsed);
      if (connection->interim_complete)
        http_parser_pause (&connection->parser, 0);
    }
  while (connection->interim_complete && parsed < length);
  return parsed;
}

/* Parses @data up to the end of one message, and reports what was read.  Returns the number of bytes parsed.
 */
static gsize
parse_message (QuinceHttpConnection *connection, const char *data, gsize length)
{
  gsize parsed = execute_parser (connection, data, length);
  enum http_errno parse_error = HTTP_PARSER_ERRNO (&connection->parser);
  if (quince_http_connection_is_alive (connection) && parse_error != HPE_OK && parse_error != HPE_PAUSED)
    {
      refuse_unparsable_input (connection, parse_error);
      return length; /* nothing after it can be read */
    }
  if (quince_http_connection_is_alive (connection) && exceeds_head_limit (connection, length))
    refuse_input (connection, QUINCE_HTTP1_ERROR_TOO_LARGE, "message head is too large");
  if (quince_http_connection_is_alive (connection) && connection->awaiting_next)
    {
      http_parser_pause (&connection->parser, 0);
      connection->n_unparsed = length - parsed;
      connection->callbacks->complete (connection, connection->user_data);
    }
  return parsed;
}

static void parse_buffered_input (QuinceHttpConnection *connection);

static gboolean
parse_in_next_turn (gpointer data)
{
  QuinceHttpConnection *connection = data;
  quince_timer_clear (&connection->parse_timer);
  quince_http_connection_ref (connection);
  parse_buffered_input (connection);
  report_held_input (connection);
  quince_http_connection_unref (connection);
  return G_SOURCE_REMOVE;
}

/* Parses @data message by message until the owner does not ask for the next one, and buffers the rest.  The
 * owner may ask in complete(), so that the messages of one read do not add to the depth of the stack. */
static void
parse (QuinceHttpConnection *connection, const char *data, gsize length)
{
  gsize parsed = 0;
  guint n_messages = 0;
  quince_http_connection_ref (connection);
  connection->parsing = TRUE;
  do
    parsed += parse_message (connection, data + parsed, length - parsed);
  while (quince_http_connection_is_alive (connection) && !connection->awaiting_next && parsed < length
         && ++n_messages < MESSAGES_PER_TURN_MAX);
  connection->parsing = FALSE;
  connection->n_unparsed = 0;
  if (quince_http_connection_is_alive (connection) && parsed < length)
    {
      g_byte_array_append (connection->buffered_input, (const guint8 *)data + parsed,
                           (guint)(length - parsed));
      if (!connection->awaiting_next)
        connection->parse_timer = quince_timer_add (0, parse_in_next_turn, connection);
    }
  quince_http_connection_unref (connection);
}

static void
parse_buffered_input (QuinceHttpConnection *connection)
{
  g_autoptr (GByteArray) input = g_steal_pointer (&connection->buffered_input);
  connection->buffered_input = g_byte_array_new ();
  parse (connection, (const char *)input->data, input->len);
}

void
quince_http_connection_next (QuinceHttpConnection *connection)
{
  if (!quince_http_connection_is_alive (connection) || !connection->awaiting_next)
    return;
  connection->awaiting_next = FALSE;
  if (!connection->parsing && connection->buffered_input->len > 0)
    parse_buffered_input (connection);
}

static void
handle_end_of_input (QuinceHttpConnection *connection)
{
  if (connection->awaiting_next || !connection->reading)
    {
      quince_http_connection_close_and_notify (connection, NULL);
      return;
    }
  /* A response without a length is complete when the peer closes without an error. */
  quince_http_connection_ref (connection);
  http_parser_execute (&connection->parser, &parser_settings, NULL, 0);
  if (connection->open && connection->awaiting_next)
    connection->callbacks->complete (connection, connection->user_data);
  quince_http_connection_fail (connection, QUINCE_HTTP1_ERROR_CLOSED,
                               "peer closed the connection before the message was complete");
  quince_http_connection_unref (connection);
}

void
quince_http_connection_read (QuinceHttpConnection *connection)
{
  char buffer[READ_BYTES];
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_receive (connection->socket, buffer, sizeof buffer, NULL, &error);
  if (length < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return;
  gboolean must_buffer = connection->awaiting_next || connection->parse_timer != NULL;
  quince_http_connection_ref (connection);
  if (length < 0)
    quince_http_connection_fail (connection, QUINCE_HTTP1_ERROR_RESET, error->message);
  else if (length == 0)
    handle_end_of_input (connection);
  else if (connection->finishing)
    ; /* input after finish() is discarded */
  else if (connection->awaiting_next && connection->is_client)
    quince_http_connection_fail (connection, QUINCE_HTTP1_ERROR_MALFORMED, "input that answers no request");
  else if (must_buffer && connection->buffered_input->len > BUFFERED_INPUT_MAX_BYTES)
    quince_http_connection_fail (connection, QUINCE_HTTP1_ERROR_TOO_LARGE,
                                 "too much input after a complete message");
  else if (must_buffer)
    g_byte_array_append (connection->buffered_input, (const guint8 *)buffer, (guint)length);
  else
    parse (connection, buffer, (gsize)length);
  report_held_input (connection);
  quince_http_connection_unref (connection);
}

void
quince_http_connection_init_parser (QuinceHttpConnection *connection)
{
  http_parser_init (&connection->parser, connection->is_client ? HTTP_RESPONSE : HTTP_REQUEST);
  connection->parser.data = connection;
}
