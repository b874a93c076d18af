/*
 * malformed.h: connections that carry whatever bytes a test likes, what a
 * process has logged, and how large it is; for the tests of malformed input.
 *
 * To be included after a fixture, whose WAIT_UNTIL and http() it uses.
 */
#pragma once

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <glib/gstdio.h>

/* A sanitizer keeps what was freed for a while, and guards around all. */
#ifdef __SANITIZE_ADDRESS__
#define GROWTH_MOST_BYTES (640u << 20)
#else
#define GROWTH_MOST_BYTES (48u << 20)
#endif

/* ---- Raw connections ------------------------------------------------------- */

typedef struct
{
  GSocketConnection *connection;
  GSocket *socket; /* of the connection */
  GSource *source;
  GString *got;
  gboolean closed; /* by the peer */
} Raw;

static inline gboolean
raw_readable (GSocket *socket, GIOCondition condition, gpointer user_data)
{
  Raw *raw = user_data;
  char buffer[4096];
  gssize length;
  while ((length = g_socket_receive_with_blocking (socket, buffer, sizeof buffer, FALSE, NULL, NULL)) > 0)
    g_string_append_len (raw->got, buffer, length);
  /* No bytes though it is readable: an end or a reset. */
  raw->closed = length == 0 || (condition & (G_IO_ERR | G_IO_HUP)) != 0;
  return raw->closed ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

static inline Raw *
raw_open (const char *address)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_autoptr (GSocketAddress) target = quince_address_parse (address, NULL);
  Raw *raw = g_new0 (Raw, 1);
  raw->connection = g_socket_client_connect (client, G_SOCKET_CONNECTABLE (target), NULL, NULL);
  if (raw->connection == NULL)
    fail_msg ("nobody listens on %s", address);
  raw->socket = g_socket_connection_get_socket (raw->connection);
  g_socket_set_timeout (raw->socket, WAIT_SECONDS);
  raw->got = g_string_new (NULL);
  raw->source = g_socket_create_source (raw->socket, G_IO_IN, NULL);
  g_source_set_callback (raw->source, G_SOURCE_FUNC (raw_readable), raw, NULL);
  g_source_attach (raw->source, NULL);
  return raw;
}

/* The peer may close before it has read all: that is no failure. */
static inline void
raw_send (Raw *raw, gconstpointer bytes, gsize length)
{
  GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (raw->connection));
  g_output_stream_write_all (output, bytes, length, NULL, NULL, NULL);
}

/* Sends no more; the answer may still come. */
static inline void
raw_end (Raw *raw)
{
  g_socket_shutdown (raw->socket, FALSE, TRUE, NULL);
}

static inline void
raw_free (Raw *raw)
{
  quince_source_clear (&raw->source);
  g_object_unref (raw->connection);
  g_string_free (raw->got, TRUE);
  g_free (raw);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (Raw, raw_free)

/* ---- HTTP -------------------------------------------------------------------- */

/* 0: no status line came. */
static inline guint
raw_status (const Raw *raw)
{
  guint status = 0;
  return sscanf (raw->got->str, "HTTP/1.%*u %u", &status) == 1 ? status : 0;
}

/* Returns: error.type of the answer; "" when it has none. (transfer full) */
static inline char *
raw_error_type (const Raw *raw)
{
  const char *body = strstr (raw->got->str, "\r\n\r\n");
  g_autoptr (JsonNode) root = body != NULL ? json_from_string (body + strlen ("\r\n\r\n"), NULL) : NULL;
  JsonNode *error = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                        ? json_object_get_member (json_node_get_object (root), "error")
                        : NULL;
  if (error == NULL || !JSON_NODE_HOLDS_OBJECT (error))
    return g_strdup ("");
  return g_strdup (json_object_get_string_member_with_default (json_node_get_object (error), "type", ""));
}

/* The answer must be @status with an error of @type. */
static inline void
raw_expect (Raw *raw, const char *name, guint status, const char *type)
{
  WAIT_UNTIL (raw->closed);
  g_autofree char *got = raw_error_type (raw);
  if (raw_status (raw) != status || !g_str_equal (got, type))
    fail_msg ("%s: not %u %s but: %.300s", name, status, type, raw->got->str);
}

/* A whole request; @body need not be text. */
static inline Raw *
raw_request (const char *address,
             const char *method,
             const char *path,
             const char *headers,
             const char *body,
             gsize length)
{
  g_autofree char *head
      = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n", method,
                         path, headers, length);
  Raw *raw = raw_open (address);
  raw_send (raw, head, strlen (head));
  raw_send (raw, body, length);
  return raw;
}

/* ---- Logs and memory ----------------------------------------------------------- */

/* While it lasts, what is started logs to a file. */
typedef struct
{
  char *path;
  int kept; /* the test's own standard error */
} LogCapture;

static inline void
log_capture_begin (LogCapture *capture)
{
  int file = g_file_open_tmp ("quince-malformed-XXXXXX", &capture->path, NULL);
  assert_true (file >= 0);
  /* Appended to, so that no writer overwrites another's lines. */
  assert_true (fcntl (file, F_SETFL, O_APPEND) == 0);
  capture->kept = dup (STDERR_FILENO);
  assert_true (dup2 (file, STDERR_FILENO) >= 0);
  close (file);
}

static inline void
log_capture_end (LogCapture *capture)
{
  dup2 (capture->kept, STDERR_FILENO);
  close (capture->kept);
}

/* Lines logged so far that hold @text. */
static inline guint
log_capture_count (const LogCapture *capture, const char *text)
{
  g_autofree char *all = NULL;
  guint count = 0;
  assert_true (g_file_get_contents (capture->path, &all, NULL, NULL));
  for (const char *at = strstr (all, text); at != NULL; at = strstr (at + 1, text))
    count++;
  return count;
}

/* Shows the log when @failed, and removes it. */
static inline void
log_capture_clear (LogCapture *capture, gboolean failed)
{
  g_autofree char *all = NULL;
  if (failed && g_file_get_contents (capture->path, &all, NULL, NULL))
    fputs (all, stderr); /* cmocka prints 1 KiB at most */
  g_unlink (capture->path);
  g_clear_pointer (&capture->path, g_free);
}

/* Resident bytes of a process. */
static inline guint64
resident_bytes (const char *process)
{
  g_autofree char *path = g_strdup_printf ("/proc/%s/statm", process);
  g_autofree char *text = NULL;
  guint64 total = 0, resident = 0;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  assert_int_equal (sscanf (text, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, &total, &resident), 2);
  return resident * (guint64)sysconf (_SC_PAGESIZE);
}

/* ---- Bodies ---------------------------------------------------------------------- */

/* @piece so many times. (transfer full) */
static inline char *
repeat_text (const char *piece, guint times)
{
  GString *text = g_string_sized_new (strlen (piece) * times);
  for (guint i = 0; i < times; i++)
    g_string_append (text, piece);
  return g_string_free (text, FALSE);
}
