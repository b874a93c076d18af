/*
 * text-server.h: an HTTP server that serves a generated text, for example metrics, at one path.
 *
 * Each connection serves one request.  A server owns its listening socket and its connections.
 */
#pragma once

#include "http1/http1.h"

G_BEGIN_DECLS

typedef struct _QuinceTextServer QuinceTextServer;

/**
 * quince_text_server_new:
 * @address: numeric ip:port to listen on
 * @path: the path that is served; others get status 404
 * @produce_text: returns (transfer full) the text; called for each request
 * @error: G_IO_ERROR if @address is invalid or cannot be listened on
 *
 * Returns: (transfer full): the server, or %NULL on error
 */
QuinceTextServer *
quince_text_server_new (const char *address, const char *path, char *(*produce_text) (void), GError **error);
void quince_text_server_free (QuinceTextServer *server);

G_END_DECLS
