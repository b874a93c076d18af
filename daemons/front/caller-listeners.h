/*
 * caller-listeners.h: the addresses that callers connect to, and the connections accepted there.
 *
 * Owns the listening sockets and the set of open connections.  Relies on caller-connection.h for what happens
 * on a connection.
 */
#pragma once

#include "runtime/settings.h"

#include "caller-connection.h"
#include "front-context.h"

typedef struct _QuinceCallerListeners QuinceCallerListeners;

/**
 * quince_caller_listeners_new:
 * @context: (transfer none): must outlive the listeners
 * @settings: [listen] callers, ready and directory
 *
 * Returns: (transfer full) (nullable): %NULL with @error where an address can't be listened on
 */
QuinceCallerListeners *
quince_caller_listeners_new (QuinceFrontContext *context, const QuinceSettings *settings, GError **error);
/* (nullable).  Ends all connections; requests on them are cancelled. */
void quince_caller_listeners_free (QuinceCallerListeners *listeners);
/* (transfer none): ip:port, with the port that the kernel chose where the settings ask for port 0 */
const char *quince_caller_listeners_get_address (const QuinceCallerListeners *listeners,
                                                 QuinceListenKind kind);
guint quince_caller_listeners_count_connections (const QuinceCallerListeners *listeners);
/* The kernel begins no new connection at the callers' address; those already begun are accepted. */
void quince_caller_listeners_ignore_new_connections (QuinceCallerListeners *listeners);
/* Closes the callers' address and drops connections without a request; does nothing the second time. */
void quince_caller_listeners_close_caller_address (QuinceCallerListeners *listeners);
