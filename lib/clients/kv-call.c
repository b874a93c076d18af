/*
 * kv-call.c: one HTTP POST with bounded time and size; see kv-call.h.
 */
#include "kv-call.h"

#include "kv-json.h"

#include <string.h>

#define READ_BYTES 65536
#define MAX_CONNECTIONS 256
#define IDLE_SECONDS 30

/* Owned by the pending libsoup operation, which holds the only pointer that
 * outlives the callback or the cancel. */
struct _QuinceKvCall
{
  SoupMessage *message;      /* owned */
  GCancellable *cancellable; /* owned */
  GSource *timer;            /* owned; NULL once the callback came */
  GInputStream *stream;      /* owned; NULL before the answer's head */
  GByteArray *body;          /* owned */
  gboolean maybe_sent;
  QuinceKvCallCallback callback; /* NULL once called or cancelled */
  gpointer user_data;
};

SoupSession *
quince_kv_session_new (void)
{
  SoupSession *session
      = soup_session_new_with_options ("max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS,
                                       "timeout", 0, "idle-timeout", IDLE_SECONDS, NULL);
  soup_session_set_proxy_resolver (session, NULL);
  return session;
}

SoupMessage *
quince_kv_message_new (const char *address, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  SoupMessage *message = soup_message_new (SOUP_METHOD_POST, url);
  if (message == NULL)
    return NULL;
  g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
  soup_message_set_request_body_from_bytes (message, "application/json", bytes);
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  return message;
}

static void
call_free (QuinceKvCall *call)
{
  g_signal_handlers_disconnect_by_data (call->message, call);
  g_clear_object (&call->message);
  g_clear_object (&call->cancellable);
  g_clear_object (&call->stream);
  g_byte_array_unref (call->body);
  g_free (call);
}

static void
stop_timer (QuinceKvCall *call)
{
  if (call->timer != NULL)
    g_source_destroy (call->timer);
  g_clear_pointer (&call->timer, g_source_unref);
}

static void
finish (QuinceKvCall *call, guint status)
{
  stop_timer (call);
  QuinceKvCallCallback callback = g_steal_pointer (&call->callback);
  if (callback == NULL)
    return;
  g_autoptr (GBytes) answer = status != 0 ? g_bytes_new (call->body->data, call->body->len) : NULL;
  callback (status, answer, call->maybe_sent, call->user_data);
}

static gboolean
on_timeout (gpointer user_data)
{
  QuinceKvCall *call = user_data;
  /* The pending operation ends with "cancelled" and frees the call later. */
  g_cancellable_cancel (call->cancellable);
  finish (call, 0);
  return G_SOURCE_REMOVE;
}

static void on_read (GObject *source, GAsyncResult *result, gpointer user_data);

static void
read_more (QuinceKvCall *call)
{
  g_input_stream_read_bytes_async (call->stream, READ_BYTES, G_PRIORITY_DEFAULT, call->cancellable, on_read,
                                   call);
}

static void
on_read (GObject *source, GAsyncResult *result, gpointer user_data)
{
  QuinceKvCall *call = user_data;
  g_autoptr (GBytes) chunk = g_input_stream_read_bytes_finish (call->stream, result, NULL);
  gsize length = 0;
  const guint8 *data = chunk != NULL ? g_bytes_get_data (chunk, &length) : NULL;
  if (length > 0 && call->body->len + length <= QUINCE_KV_MAX_ANSWER_BYTES && call->callback != NULL)
    {
      g_byte_array_append (call->body, data, length);
      read_more (call);
      return;
    }
  gboolean whole = chunk != NULL && length == 0;
  finish (call, whole ? soup_message_get_status (call->message) : 0);
  call_free (call);
}

static void
on_head (GObject *source, GAsyncResult *result, gpointer user_data)
{
  QuinceKvCall *call = user_data;
  call->stream = soup_session_send_finish (SOUP_SESSION (source), result, NULL);
  if (call->stream != NULL && call->callback != NULL)
    {
      read_more (call);
      return;
    }
  finish (call, 0);
  call_free (call);
}

static void
on_starting (SoupMessage *message, gpointer user_data)
{
  QuinceKvCall *call = user_data;
  call->maybe_sent = TRUE;
}

QuinceKvCall *
quince_kv_call_start (SoupSession *session,
                      SoupMessage *message,
                      guint timeout_ms,
                      QuinceKvCallCallback callback,
                      gpointer user_data)
{
  QuinceKvCall *call = g_new0 (QuinceKvCall, 1);
  call->message = message;
  call->cancellable = g_cancellable_new ();
  call->body = g_byte_array_new ();
  call->callback = callback;
  call->user_data = user_data;
  call->timer = g_timeout_source_new (timeout_ms);
  g_source_set_callback (call->timer, on_timeout, call, NULL);
  g_source_attach (call->timer, g_main_context_get_thread_default ());
  g_signal_connect (message, "starting", G_CALLBACK (on_starting), call);
  soup_session_send_async (session, message, G_PRIORITY_DEFAULT, call->cancellable, on_head, call);
  return call;
}

void
quince_kv_call_cancel (QuinceKvCall *call)
{
  call->callback = NULL;
  stop_timer (call);
  g_cancellable_cancel (call->cancellable);
}
