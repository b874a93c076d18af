/*
 * text-server.h: serves one text at one path, for example metrics; each connection serves one request.
 *
 * A server owns its listening socket and its connections; relies on http1.h.
 */
#pragma once

#include "http1/http1.h"

G_BEGIN_DECLS

typedef struct _QuinceTextServer QuinceTextServer;

/* @produce_text: (transfer full): the text, for each request */
QuinceTextServer *
quince_text_server_new (const char *address, const char *path, char *(*produce_text) (void), GError **error);
void quince_text_server_free (QuinceTextServer *server);

G_END_DECLS
