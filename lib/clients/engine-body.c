/*
 * engine-body.c: the body of a request, asked for permission at each piece.
 */
#include "engine-body.h"

#include <string.h>

struct _QuinceEngineBody
{
  GInputStream parent;
  GBytes *bytes; /* owned          */
  gsize position;
  QuinceEngineBodyGate gate;
  gpointer gate_data;
  /* A task of an earlier iteration than the read that it is for: GTask answers
   * such a one in the call itself, and puts off any other. */
  GTask *ready;                 /* owned          */
  GAsyncReadyCallback callback; /* of that read   */
  gpointer callback_data;
};

G_DEFINE_FINAL_TYPE (QuinceEngineBody, quince_engine_body, G_TYPE_INPUT_STREAM)

static void
pass_result (GObject *source, GAsyncResult *result, gpointer user_data)
{
  QuinceEngineBody *body = user_data;
  body->callback (G_OBJECT (body), result, body->callback_data);
}

/* Without a source object: it would hold the stream that holds it. */
static GTask *
make_ready (QuinceEngineBody *body)
{
  return g_task_new (NULL, NULL, pass_result, body);
}

static gssize
read_piece (GInputStream *stream, void *buffer, gsize count, GCancellable *cancellable, GError **error)
{
  QuinceEngineBody *body = QUINCE_ENGINE_BODY (stream);
  gsize length = 0;
  const char *data = g_bytes_get_data (body->bytes, &length);
  gsize piece = MIN (count, length - body->position);
  if (piece == 0)
    return 0;
  if (g_cancellable_set_error_if_cancelled (cancellable, error) || !body->gate (body->gate_data, error))
    return -1;
  memcpy (buffer, data + body->position, piece);
  body->position += piece;
  return (gssize)piece;
}

static void
read_async (GInputStream *stream,
            void *buffer,
            gsize count,
            int priority,
            GCancellable *cancellable,
            GAsyncReadyCallback callback,
            gpointer user_data)
{
  QuinceEngineBody *body = QUINCE_ENGINE_BODY (stream);
  g_autoptr (GTask) task = g_steal_pointer (&body->ready);
  GError *error = NULL;
  body->callback = callback;
  body->callback_data = user_data;
  body->ready = make_ready (body);
  g_task_set_priority (task, priority);
  gssize length = read_piece (stream, buffer, count, cancellable, &error);
  if (length < 0)
    g_task_return_error (task, error);
  else
    g_task_return_int (task, length);
}

static gssize
read_finish (GInputStream *stream, GAsyncResult *result, GError **error)
{
  return g_task_propagate_int (G_TASK (result), error);
}

static void
finalize (GObject *object)
{
  QuinceEngineBody *body = QUINCE_ENGINE_BODY (object);
  g_bytes_unref (body->bytes);
  g_object_unref (body->ready);
  G_OBJECT_CLASS (quince_engine_body_parent_class)->finalize (object);
}

static void
quince_engine_body_class_init (QuinceEngineBodyClass *class)
{
  G_OBJECT_CLASS (class)->finalize = finalize;
  G_INPUT_STREAM_CLASS (class)->read_fn = read_piece;
  G_INPUT_STREAM_CLASS (class)->read_async = read_async;
  G_INPUT_STREAM_CLASS (class)->read_finish = read_finish;
}

static void
quince_engine_body_init (QuinceEngineBody *body)
{
  body->ready = make_ready (body);
}

GInputStream *
quince_engine_body_new (GBytes *bytes, QuinceEngineBodyGate gate, gpointer user_data)
{
  QuinceEngineBody *body = g_object_new (QUINCE_TYPE_ENGINE_BODY, NULL);
  body->bytes = g_bytes_ref (bytes);
  body->gate = gate;
  body->gate_data = user_data;
  return G_INPUT_STREAM (body);
}
