/*
 * agent-http.h: the HTTP server of the agent: routes, bounds and status.
 */
#pragma once

#include "agent.h"

QuinceAgentHttp *quince_agent_http_new (QuinceAgent *agent, const char *address, GError **error);
void quince_agent_http_free (QuinceAgentHttp *http);
/* Address really listened on, ip:port. */
const char *quince_agent_http_get_address (const QuinceAgentHttp *http);

/* New connections are ignored from now on, so that their callers come back to whoever listens here
 * next; those that were made before are still accepted and answered. */
void quince_agent_http_ignore_connections (QuinceAgentHttp *http);
/* When a request came last, in monotonic time; 0 never. */
gint64 quince_agent_http_get_asked_us (const QuinceAgentHttp *http);
