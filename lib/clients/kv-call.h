/*
 * kv-call.h: one HTTP POST to one address with bounded time and size (internal
 * to the platform library).
 *
 * The caller learns whether the request may have left this process: before
 * that point the peer cannot have acted on it.
 * Belongs to the thread-default main context it was started in.
 */
#pragma once

#include <libsoup/soup.h>

G_BEGIN_DECLS

typedef struct _QuinceKvCall QuinceKvCall;

/**
 * QuinceKvCallCallback:
 * @status: HTTP status; 0 when no whole answer came
 * @answer: (nullable): the whole body, when @status is not 0
 * @maybe_sent: the request may have reached the peer
 */
typedef void (*QuinceKvCallCallback) (guint status, GBytes *answer, gboolean maybe_sent, gpointer user_data);

/* A session fit for the key-value service: no proxy, no redirect, no cookie, many streams. */
SoupSession *quince_kv_session_new (void);
/* A POST of JSON text @body to http://@address@path; (nullable) when @address is not valid. */
SoupMessage *quince_kv_message_new (const char *address, const char *path, const char *body);

/**
 * quince_kv_call_start:
 * @message: (transfer full): what to send
 * @timeout_ms: for everything, connecting included
 *
 * Returns: (transfer none): valid until the callback, which comes exactly
 * once and never before this returns, or until quince_kv_call_cancel().
 */
QuinceKvCall *quince_kv_call_start (SoupSession *session,
                                    SoupMessage *message,
                                    guint timeout_ms,
                                    QuinceKvCallCallback callback,
                                    gpointer user_data);
/* The callback will not come any more. */
void quince_kv_call_cancel (QuinceKvCall *call);

G_END_DECLS
