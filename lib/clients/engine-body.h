/*
 * engine-body.h: the body of a request, asked for permission at each piece.
 *
 * libsoup sends head and body in several iterations of the loop, and the
 * process may be paused between any two.  A stream that completes a read at
 * once, in the call itself, has each piece written right after it was read: so
 * little lies between the question whether it may leave and its leaving.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_TYPE_ENGINE_BODY (quince_engine_body_get_type ())
G_DECLARE_FINAL_TYPE (QuinceEngineBody, quince_engine_body, QUINCE, ENGINE_BODY, GInputStream)

/**
 * QuinceEngineBodyGate:
 *
 * Asked before each piece, the first and the last included.
 *
 * Returns: whether it may leave; %FALSE with @error ends the message
 */
typedef gboolean (*QuinceEngineBodyGate) (gpointer user_data, GError **error);

/**
 * quince_engine_body_new:
 * @bytes: the whole body
 *
 * Belongs to the thread-default context of the caller.
 *
 * Returns: (transfer full): the stream
 */
GInputStream *quince_engine_body_new (GBytes *bytes, QuinceEngineBodyGate gate, gpointer user_data);

G_END_DECLS
