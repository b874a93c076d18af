/*
 * engine-client.c: one streamed attempt on a model engine, over HTTP.
 *
 * "Sent" is decided right before the first byte of the body: an engine that has
 * only the head of a request cannot run it.  Each piece of the body is asked for
 * permission again, since the process may be paused in the middle of sending.
 */
#include <quince/engine-client.h>

#include <string.h>

#include <quince/http.h>
#include <quince/link.h>
#include <quince/task.h>

#include "engine-body.h"
#include "engine-stream.h"

#define READ_BYTES (16 * 1024)
#define LONGEST_REFUSAL 4096
#define MOST_CONNECTIONS 16384
#define SILENCE_SECONDS 60
#define IDLE_SECONDS 20
#define CANCEL_TIMEOUT_MS 2000

G_DEFINE_QUARK (quince - engine - client - error - quark, quince_engine_client_error)

struct _QuinceEngineCall
{
  /* All fields belong to the context of the session. */
  grefcount references; /* the caller's, and one for each operation in progress */
  SoupSession *session;
  SoupMessage *message;
  GCancellable *cancellable;
  GInputStream *body;
  QuinceEngineStream *stream;
  GString *refusal; /* body of an explicit refusal                      */
  char *address;
  char *request_id;
  guint attempt;
  guint first_token; /* index of the engine's first token                */
  gint64 expires_us; /* monotonic; 0: never                              */
  gboolean started;  /* a connection is up for it                        */
  gboolean sent;     /* a byte of the body may have left                 */
  gboolean leaving;  /* the engine said so                               */
  gboolean ended;    /* the last callback was made                       */
  const QuinceEngineCallbacks *callbacks;
  gpointer user_data;
};

const char *
quince_finish_reason_to_text (QuinceFinishReason reason)
{
  static const char *const texts[] = { "stop", "length", "swap" };
  return texts[reason];
}

SoupSession *
quince_engine_session_new (void)
{
  SoupSession *session = soup_session_new_with_options (
      "max-conns", MOST_CONNECTIONS, "max-conns-per-host", MOST_CONNECTIONS, "timeout", SILENCE_SECONDS,
      "idle-timeout", IDLE_SECONDS, "proxy-resolver", NULL, NULL);
  /* Streams of small events: compression would only hold them back. */
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

static QuinceEngineCall *
call_ref (QuinceEngineCall *call)
{
  g_ref_count_inc (&call->references);
  return call;
}

void
quince_engine_call_unref (QuinceEngineCall *call)
{
  if (!g_ref_count_dec (&call->references))
    return;
  g_clear_object (&call->body);
  if (call->message != NULL)
    g_signal_handlers_disconnect_by_data (call->message, call);
  g_clear_object (&call->message);
  g_clear_object (&call->cancellable);
  g_clear_object (&call->session);
  g_clear_pointer (&call->stream, quince_engine_stream_free);
  g_string_free (call->refusal, TRUE);
  g_free (call->address);
  g_free (call->request_id);
  g_free (call);
}

gboolean
quince_engine_call_is_leaving (const QuinceEngineCall *call)
{
  return call->leaving;
}

/* ---- Ends of a call ---------------------------------------------------- */

static void
call_fail (QuinceEngineCall *call, const GError *error)
{
  if (call->ended)
    return;
  call->ended = TRUE;
  g_cancellable_cancel (call->cancellable);
  call->callbacks->failed (call->sent, error, call->user_data);
}

static void
call_fail_code (QuinceEngineCall *call, QuinceEngineClientError code, const char *text)
{
  g_autoptr (GError) error = g_error_new_literal (QUINCE_ENGINE_CLIENT_ERROR, code, text);
  call_fail (call, error);
}

static void
call_refused (QuinceEngineCall *call)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  const char *type = "refused";
  if (quince_json_check (call->refusal->str, call->refusal->len)
      && json_parser_load_from_data (parser, call->refusal->str, (gssize)call->refusal->len, NULL)
      && json_parser_get_root (parser) != NULL && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonNode *node = json_object_get_member (json_node_get_object (json_parser_get_root (parser)), "error");
      if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
        quince_json_opt_text (json_node_get_object (node), "type", QUINCE_MAX_NAME, &type, NULL);
    }
  call->ended = TRUE;
  call->callbacks->refused (type, call->user_data);
}

static void
cancel_answered (guint status, JsonNode *answer, const GError *error, gpointer user_data)
{
  /* Best effort: the broken connection tells the engine too. */
}

void
quince_engine_call_cancel (QuinceEngineCall *call)
{
  if (call->ended)
    return;
  call->ended = TRUE;
  g_cancellable_cancel (call->cancellable);
  if (!call->sent)
    return;
  g_autofree char *url = g_strdup_printf ("http://%s/v1/cancel", call->address);
  g_autofree char *body
      = g_strdup_printf ("{\"request_id\":\"%s\",\"attempt\":%u}", call->request_id, call->attempt);
  quince_http_call (call->session, url, body, CANCEL_TIMEOUT_MS, NULL, cancel_answered, NULL);
}

/* ---- Reading the answer ------------------------------------------------ */

static void start_read (QuinceEngineCall *call);

static void
stream_chunk (const QuinceEngineChunk *chunk, gpointer user_data)
{
  QuinceEngineCall *call = user_data;
  if (!call->ended)
    call->callbacks->chunk (chunk, call->user_data);
}

/* The body ended: whatever has not ended the call yet decides now. */
static void
body_ended (QuinceEngineCall *call)
{
  if (call->ended)
    return;
  if (call->stream == NULL)
    call_refused (call);
  else
    call_fail_code (call, QUINCE_ENGINE_CLIENT_ERROR_CUT, "stream ended without its finish marker");
}

static void
take_bytes (QuinceEngineCall *call, const char *data, gsize length)
{
  g_autoptr (GError) error = NULL;
  QuinceFinishReason reason;
  if (call->ended)
    return; /* What follows the end is read only so that the connection can be kept. */
  if (call->stream == NULL)
    {
      if (call->refusal->len + length <= LONGEST_REFUSAL)
        g_string_append_len (call->refusal, data, (gssize)length);
      return;
    }
  if (!quince_engine_stream_feed (call->stream, data, length, &error))
    {
      call_fail (call, error);
      return;
    }
  if (call->ended || !quince_engine_stream_is_whole (call->stream, &reason))
    return;
  call->ended = TRUE;
  call->callbacks->finished (reason, call->user_data);
}

static void
read_done (GObject *body, GAsyncResult *result, gpointer data)
{
  g_autoptr (QuinceEngineCall) call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = g_input_stream_read_bytes_finish (G_INPUT_STREAM (body), result, &error);
  gsize length = 0;
  const char *text = bytes != NULL ? g_bytes_get_data (bytes, &length) : NULL;
  if (bytes == NULL)
    call_fail (call, error);
  else if (length == 0)
    body_ended (call);
  else
    {
      take_bytes (call, text, length);
      start_read (call);
    }
}

static void
start_read (QuinceEngineCall *call)
{
  if (!g_cancellable_is_cancelled (call->cancellable))
    g_input_stream_read_bytes_async (call->body, READ_BYTES, G_PRIORITY_DEFAULT, call->cancellable, read_done,
                                     call_ref (call));
}

/* ---- Sending ----------------------------------------------------------- */

static gboolean
has_header (QuinceEngineCall *call, const char *name)
{
  const char *value = soup_message_headers_get_one (soup_message_get_response_headers (call->message), name);
  return value != NULL && g_ascii_strcasecmp (value, "true") == 0;
}

static void
headers_done (GObject *session, GAsyncResult *result, gpointer data)
{
  g_autoptr (QuinceEngineCall) call = data;
  g_autoptr (GError) error = NULL;
  call->body = soup_session_send_finish (SOUP_SESSION (session), result, &error);
  if (call->body == NULL)
    {
      call_fail (call, error);
      return;
    }
  if (call->ended)
    return;
  guint status = soup_message_get_status (call->message);
  call->leaving = has_header (call, "X-Engine-Leaving");
  if (status == SOUP_STATUS_OK)
    {
      call->stream = quince_engine_stream_new (call->first_token, stream_chunk, call);
      call->callbacks->accepted (call->user_data);
    }
  else if (!has_header (call, "X-Engine-Not-Run"))
    {
      g_autofree char *text = g_strdup_printf ("status %u", status);
      call_fail_code (call, QUINCE_ENGINE_CLIENT_ERROR_STATUS, text);
    }
  start_read (call);
}

/* libsoup restarts a message whose kept connection broke; an attempt is sent once. */
static void
message_starting (SoupMessage *message, gpointer data)
{
  QuinceEngineCall *call = data;
  if (call->started)
    g_cancellable_cancel (call->cancellable);
  call->started = TRUE;
}

static gboolean
may_leave (gpointer data, GError **error)
{
  QuinceEngineCall *call = data;
  gboolean expired = call->expires_us > 0 && quince_now_us () >= call->expires_us;
  if (!expired && !call->ended && (call->sent || call->callbacks->starting (call->user_data)))
    {
      call->sent = TRUE;
      return TRUE;
    }
  g_set_error_literal (error, QUINCE_ENGINE_CLIENT_ERROR, QUINCE_ENGINE_CLIENT_ERROR_EXPIRED,
                       "expired before it was whole on its way");
  return FALSE;
}

static char *
format_body (const QuinceEngineDispatch *dispatch, gsize *length)
{
  g_autoptr (JsonObject) root = json_object_new ();
  json_object_set_string_member (root, "model", dispatch->service);
  json_object_set_string_member (root, "prompt", dispatch->prompt);
  json_object_set_int_member (root, "max_tokens", dispatch->max_tokens);
  json_object_set_boolean_member (root, "stream", TRUE);
  json_object_set_string_member (root, "request_id", dispatch->request_id);
  json_object_set_int_member (root, "attempt", dispatch->attempt);
  json_object_set_int_member (root, "priority", dispatch->priority);
  json_object_set_int_member (root, "min_weight_version", (gint64)dispatch->min_version);
  if (dispatch->resume_tokens > 0)
    {
      json_object_set_string_member (root, "resume_text", dispatch->resume_text);
      json_object_set_int_member (root, "resume_tokens", dispatch->resume_tokens);
    }
  g_autoptr (JsonNode) node = json_node_init_object (json_node_alloc (), root);
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  json_generator_set_root (generator, node);
  return json_generator_to_data (generator, length);
}

static gboolean
fail_bad_address (gpointer data)
{
  call_fail_code (data, QUINCE_ENGINE_CLIENT_ERROR_ADDRESS, "engine's address is not a numeric ip:port");
  return G_SOURCE_REMOVE;
}

static SoupMessage *
make_message (QuinceEngineCall *call, const QuinceEngineDispatch *dispatch)
{
  g_autoptr (GSocketAddress) numeric = quince_address_parse (dispatch->address, NULL);
  if (numeric == NULL)
    return NULL;
  gsize length = 0;
  g_autofree char *url = g_strdup_printf ("http://%s/v1/completions", dispatch->address);
  SoupMessage *message = soup_message_new (SOUP_METHOD_POST, url);
  char *text = format_body (dispatch, &length);
  g_autoptr (GBytes) body = g_bytes_new_take (text, length);
  g_autoptr (GInputStream) stream = quince_engine_body_new (body, may_leave, call);
  soup_message_set_request_body (message, "application/json", stream, (gssize)length);
  /* Redirects and authentication would send it twice.  libsoup uses a kept
   * connection only for an idempotent message, and may restart that one:
   * message_starting() forbids it. */
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  soup_message_disable_feature (message, SOUP_TYPE_AUTH_MANAGER);
  soup_message_add_flags (message,
                          dispatch->fresh_connection ? SOUP_MESSAGE_NEW_CONNECTION : SOUP_MESSAGE_IDEMPOTENT);
  g_signal_connect (message, "starting", G_CALLBACK (message_starting), call);
  return message;
}

QuinceEngineCall *
quince_engine_call_start (SoupSession *session,
                          const QuinceEngineDispatch *dispatch,
                          const QuinceEngineCallbacks *callbacks,
                          gpointer user_data)
{
  QuinceEngineCall *call = g_new0 (QuinceEngineCall, 1);
  g_ref_count_init (&call->references);
  call->session = g_object_ref (session);
  call->cancellable = g_cancellable_new ();
  call->refusal = g_string_new (NULL);
  call->address = g_strdup (dispatch->address);
  call->request_id = g_strdup (dispatch->request_id);
  call->attempt = dispatch->attempt;
  call->first_token = dispatch->resume_tokens;
  call->expires_us = dispatch->expires_us;
  call->callbacks = callbacks;
  call->user_data = user_data;
  call->message = make_message (call, dispatch);
  if (call->message == NULL)
    {
      g_autoptr (GSource) source = g_idle_source_new ();
      g_source_set_callback (source, fail_bad_address, call_ref (call),
                             (GDestroyNotify)quince_engine_call_unref);
      g_source_attach (source, g_main_context_get_thread_default ());
      return call;
    }
  soup_session_send_async (session, call->message, G_PRIORITY_DEFAULT, call->cancellable, headers_done,
                           call_ref (call));
  return call;
}
