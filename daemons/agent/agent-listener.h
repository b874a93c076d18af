/*
 * agent-listener.h: accepts the agent's connections and hands them to the workers.
 *
 * While nothing is in progress, worker 0 gets the connection: it runs on the
 * listener's context, so that no message between threads delays the answer.
 * Otherwise the other workers get them in turn.
 */
#pragma once

#include "agent.h"
#include "worker.h"

QuinceAgentListener *
quince_agent_listener_new (QuinceHub *hub, QuinceWorker *local, const char *address, GError **error);
void quince_agent_listener_free (QuinceAgentListener *listener);
/* Address really listened on, ip:port. */
const char *quince_agent_listener_get_address (const QuinceAgentListener *listener);

/* New connections are ignored from now on, so that their callers come back to whoever listens here
 * next; those that were made before are still accepted and answered. */
void quince_agent_listener_ignore_connections (QuinceAgentListener *listener);
