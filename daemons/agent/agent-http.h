/*
 * agent-http.h: the HTTP server of a worker: routes, bounds and status.
 */
#pragma once

#include "worker.h"

QuinceAgentHttp *quince_agent_http_new (QuinceWorker *worker);
void quince_agent_http_free (QuinceAgentHttp *http);
/* Serves a connection that was accepted. */
void quince_agent_http_serve (QuinceAgentHttp *http, GSocket *socket);
/* When a request came last, in monotonic time; 0 never. */
gint64 quince_agent_http_get_asked_us (const QuinceAgentHttp *http);
