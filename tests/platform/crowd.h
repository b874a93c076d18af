/*
 * crowd.h: callers that send large, incomplete or excessive bodies all at once, or only connect.
 *
 * The bodies are generated while they are sent, so that a crowd takes little memory in the test itself.
 */
#pragma once

#include "path-world.h"

/* Bytes that a caller generates before it writes them. */
#define CROWD_BUFFER_BYTES (64 * 1024)
/* Bytes of an answer that are kept. */
#define CROWD_ANSWER_MAX_BYTES 4096
#define CROWD_TARGET_MAX_BYTES 256

/**
 * CrowdCase:
 * @name: of the test case
 * @method, @target: of each request; "%u" in @target is replaced by the number of the caller
 * @n_callers: number of callers
 * @n_whole: how many of them complete their bodies; the others stay open after @sent_bytes
 * @is_silent: the callers only connect
 * @announced_bytes: Content-Length; 0: the body is sent in chunks
 * @chunk_bytes: size of a chunk
 * @sent_bytes: bytes of the body that a caller sends if it does not complete it
 * @whole_bytes: size of a complete body
 * @piece_bytes: largest write; 0: no limit
 * @is_batch: the body is a batch of one item, otherwise it has no form
 */
typedef struct
{
  const char *name;
  const char *method;
  const char *target;
  guint n_callers;
  guint n_whole;
  gboolean is_silent;
  guint64 announced_bytes;
  gsize chunk_bytes;
  guint64 sent_bytes;
  guint64 whole_bytes;
  gsize piece_bytes;
  gboolean is_batch;
} CrowdCase;

typedef struct
{
  const CrowdCase *crowd_case;
  GSocket *socket; /* owned; NULL: not connected */
  GString *buffer; /* generated, not written yet */
  gsize written;   /* bytes at the start of the buffer that were written */
  char *start;     /* of the body, owned */
  const char *end; /* of the body */
  guint64 body_offset;
  guint64 body_bytes; /* to send */
  gboolean is_whole;
  gboolean head_generated;
  gboolean end_generated;
  gboolean is_closed; /* by the other side */
  GString *answer;
} CrowdCaller;

typedef struct
{
  GPtrArray *callers; /* CrowdCaller, owned */
} Crowd;

static inline void
crowd_caller_free (gpointer data)
{
  CrowdCaller *caller = data;
  if (caller->socket != NULL)
    g_socket_close (caller->socket, NULL);
  g_clear_object (&caller->socket);
  g_string_free (caller->buffer, TRUE);
  g_string_free (caller->answer, TRUE);
  g_free (caller->start);
  g_free (caller);
}

/* Returns: (transfer full) (nullable): a connection, or NULL if it was refused */
static inline GSocket *
crowd_connect (const char *address)
{
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  g_autoptr (GSocketAddress) target
      = g_inet_socket_address_new_from_string (parts[0], (guint)g_ascii_strtoull (parts[1], NULL, 10));
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  assert_non_null (socket);
  g_socket_set_blocking (socket, FALSE);
  g_autoptr (GError) error = NULL;
  if (!g_socket_connect (socket, target, NULL, &error)
      && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING))
    return NULL;
  return g_steal_pointer (&socket);
}

static inline CrowdCaller *
crowd_caller_new (const CrowdCase *crowd_case, const char *address, guint number)
{
  CrowdCaller *caller = g_new0 (CrowdCaller, 1);
  caller->crowd_case = crowd_case;
  caller->buffer = g_string_new (NULL);
  caller->answer = g_string_new (NULL);
  caller->is_whole = number < crowd_case->n_whole;
  caller->body_bytes = caller->is_whole ? crowd_case->whole_bytes : crowd_case->sent_bytes;
  caller->start = crowd_case->is_batch
                      ? g_strdup_printf ("{\"step\":0,\"model\":\"model-a\",\"minVersion\":1,\"desired\":1,"
                                         "\"items\":[{\"id\":\"crowd-i%u\",\"path\":\"/r/1\","
                                         "\"headers\":{\"Model\":\"model-a\"},\"body\":\"",
                                         number)
                      : g_strdup ("");
  caller->end = crowd_case->is_batch ? "\",\"tokens\":100,\"group\":\"g0\"}]}" : "";
  caller->head_generated = crowd_case->is_silent;
  caller->end_generated = crowd_case->is_silent;
  caller->body_bytes = crowd_case->is_silent ? 0 : caller->body_bytes;
  caller->socket = crowd_connect (address);
  caller->is_closed = caller->socket == NULL;
  return caller;
}

/* ---- Bytes to send --------------------------------------------------------- */

static inline void
crowd_generate_head (CrowdCaller *caller, guint number)
{
  const CrowdCase *crowd_case = caller->crowd_case;
  g_autoptr (GString) target = g_string_new (crowd_case->target);
  g_autofree char *number_text = g_strdup_printf ("%u", number);
  g_string_replace (target, "%u", number_text, 0);
  g_string_append_printf (caller->buffer,
                          "%s %s HTTP/1.1\r\nHost: " PATH_HOST
                          "\r\nRequest-Id: crowd-%u\r\nRequest-Deadline-Ms: 20000\r\n",
                          crowd_case->method, target->str, number);
  if (crowd_case->announced_bytes > 0)
    g_string_append_printf (caller->buffer, "Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
                            crowd_case->announced_bytes);
  else
    g_string_append (caller->buffer, "Transfer-Encoding: chunked\r\n\r\n");
  caller->head_generated = TRUE;
}

/* Appends at most @length bytes of @part of the body, which begins at @part_offset of it. */
static inline gsize
crowd_append_part (CrowdCaller *caller, const char *part, guint64 part_offset, gsize length)
{
  gsize skipped = (gsize)(caller->body_offset - part_offset);
  gsize appended = MIN (length, strlen (part) - skipped);
  g_string_append_len (caller->buffer, part + skipped, (gssize)appended);
  return appended;
}

/* Appends the next bytes of the body, at most @length and at least one.  Returns their number. */
static inline gsize
crowd_append_body (CrowdCaller *caller, gsize length)
{
  gsize start_length = strlen (caller->start);
  guint64 whole_bytes = caller->crowd_case->whole_bytes;
  guint64 end_offset = whole_bytes > 0 ? whole_bytes - strlen (caller->end) : G_MAXUINT64;
  if (caller->body_offset < start_length)
    return crowd_append_part (caller, caller->start, 0, length);
  if (caller->body_offset >= end_offset)
    return crowd_append_part (caller, caller->end, end_offset, length);
  gsize appended = (gsize)MIN (length, end_offset - caller->body_offset);
  gsize old_length = caller->buffer->len;
  g_string_set_size (caller->buffer, old_length + appended);
  memset (caller->buffer->str + old_length, 'A', appended);
  return appended;
}

/* Appends @length bytes of the body from its current offset on. */
static inline void
crowd_generate_body (CrowdCaller *caller, gsize length)
{
  while (length > 0)
    {
      gsize appended = crowd_append_body (caller, length);
      caller->body_offset += appended;
      length -= appended;
    }
}

static inline void
crowd_generate_chunk (CrowdCaller *caller)
{
  guint64 left = caller->body_bytes - caller->body_offset;
  gsize length = (gsize)MIN (left, caller->crowd_case->chunk_bytes);
  if (length == 1)
    g_string_append_len (caller->buffer, "1\r\n", 3);
  else
    g_string_append_printf (caller->buffer, "%zx\r\n", length);
  crowd_generate_body (caller, length);
  g_string_append_len (caller->buffer, "\r\n", 2);
}

/* Fills the buffer with the next bytes of the request.  Leaves it empty at the end. */
static inline void
crowd_generate (CrowdCaller *caller, guint number)
{
  gboolean in_chunks = caller->crowd_case->announced_bytes == 0;
  g_string_truncate (caller->buffer, 0);
  caller->written = 0;
  if (!caller->head_generated)
    crowd_generate_head (caller, number);
  while (caller->body_offset < caller->body_bytes && caller->buffer->len < CROWD_BUFFER_BYTES)
    {
      if (in_chunks)
        crowd_generate_chunk (caller);
      else
        crowd_generate_body (caller,
                             (gsize)MIN (caller->body_bytes - caller->body_offset, CROWD_BUFFER_BYTES));
    }
  if (caller->body_offset < caller->body_bytes || caller->end_generated)
    return;
  caller->end_generated = TRUE;
  if (in_chunks && caller->is_whole)
    g_string_append (caller->buffer, "0\r\n\r\n");
}

/* ---- Sending ----------------------------------------------------------------- */

static inline gboolean
crowd_is_sent (const CrowdCaller *caller)
{
  return caller->end_generated && caller->written == caller->buffer->len;
}

static inline void
crowd_read (CrowdCaller *caller)
{
  char buffer[CROWD_BUFFER_BYTES];
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_receive (caller->socket, buffer, sizeof buffer, NULL, &error);
  if (length > 0)
    g_string_append_len (caller->answer, buffer,
                         (gssize)MIN ((gsize)length, CROWD_ANSWER_MAX_BYTES - caller->answer->len));
  else if (length == 0
           || (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)
               && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_NOT_CONNECTED)))
    caller->is_closed = TRUE;
}

/* Writes and reads once.  Returns whether bytes were written. */
static inline gboolean
crowd_caller_turn (CrowdCaller *caller, guint number)
{
  if (caller->is_closed)
    return FALSE;
  if (g_socket_condition_check (caller->socket, G_IO_IN | G_IO_HUP | G_IO_ERR) != 0)
    crowd_read (caller);
  if (caller->written == caller->buffer->len && !caller->end_generated)
    crowd_generate (caller, number);
  if (caller->is_closed || caller->written == caller->buffer->len)
    return FALSE;
  gsize length = caller->buffer->len - caller->written;
  if (caller->crowd_case->piece_bytes > 0)
    length = MIN (length, caller->crowd_case->piece_bytes);
  gssize written = g_socket_send (caller->socket, caller->buffer->str + caller->written, length, NULL, NULL);
  caller->written += (gsize)MAX (written, 0);
  return written > 0;
}

static inline Crowd *
crowd_new (const CrowdCase *crowd_case, const char *address)
{
  Crowd *crowd = g_new0 (Crowd, 1);
  crowd->callers = g_ptr_array_new_with_free_func (crowd_caller_free);
  for (guint i = 0; i < crowd_case->n_callers; i++)
    g_ptr_array_add (crowd->callers, crowd_caller_new (crowd_case, address, i));
  return crowd;
}

static inline void
crowd_free (Crowd *crowd)
{
  g_ptr_array_unref (crowd->callers);
  g_free (crowd);
}

/* Gives each caller a turn.  Returns whether bytes were written. */
static inline gboolean
crowd_turn (Crowd *crowd)
{
  gboolean has_written = FALSE;
  for (guint i = 0; i < crowd->callers->len; i++)
    has_written = crowd_caller_turn (crowd->callers->pdata[i], i) || has_written;
  return has_written;
}

static inline guint
crowd_count_open (const Crowd *crowd)
{
  guint count = 0;
  for (guint i = 0; i < crowd->callers->len; i++)
    count += !((CrowdCaller *)crowd->callers->pdata[i])->is_closed;
  return count;
}

/* Returns the status of the caller's answer, or 0 if it has none. */
static inline guint
crowd_get_status (const CrowdCaller *caller)
{
  guint status = 0;
  return sscanf (caller->answer->str, "HTTP/1.1 %u", &status) == 1 ? status : 0;
}

static inline guint
crowd_count_status (const Crowd *crowd, guint status)
{
  guint count = 0;
  for (guint i = 0; i < crowd->callers->len; i++)
    count += crowd_get_status (crowd->callers->pdata[i]) == status;
  return count;
}
