/*
 * agent-http.h: the HTTP server of the agent: routes, bounds and status.
 */
#pragma once

#include "agent.h"

QuinceAgentHttp *quince_agent_http_new (QuinceAgent *agent, const char *address, GError **error);
void quince_agent_http_free (QuinceAgentHttp *http);
/* Address really listened on, ip:port. */
const char *quince_agent_http_get_address (const QuinceAgentHttp *http);
