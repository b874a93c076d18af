/*
 * caller-listeners.h: the listening addresses of a front and the connections accepted on them.
 *
 * The listeners own the listening sockets and keep the set of open connections (caller-connection.h).
 */
#pragma once

#include "runtime/settings.h"

#include "caller-connection.h"
#include "front-context.h"

typedef struct _QuinceCallerListeners QuinceCallerListeners;

/**
 * quince_caller_listeners_new:
 * @context: (transfer none): must outlive the listeners
 * @settings: the keys callers, ready and directory of the section [listen]
 *
 * Returns: (transfer full) (nullable): the listeners, or %NULL with @error if an address cannot be listened
 * on
 */
QuinceCallerListeners *
quince_caller_listeners_new (QuinceFrontContext *context, const QuinceSettings *settings, GError **error);
/* Closes all connections and cancels their requests.  @listeners is (nullable). */
void quince_caller_listeners_free (QuinceCallerListeners *listeners);
/* Returns: (transfer none): ip:port; if the settings name port 0, the port that the kernel chose.  Not
 * to be called for the address of callers once it is closed. */
const char *quince_caller_listeners_get_address (const QuinceCallerListeners *listeners,
                                                 QuinceListenKind kind);
/* Returns the number of open connections to all addresses. */
guint quince_caller_listeners_count_connections (const QuinceCallerListeners *listeners);
/* Ignores new connection attempts on the address of callers.  Connections that the kernel has already
 * established are still accepted. */
void quince_caller_listeners_ignore_new_connections (QuinceCallerListeners *listeners);
/* Closes the address of callers and all idle connections, also those to the other addresses.  Does nothing
 * if the address is closed already. */
void quince_caller_listeners_close_caller_address (QuinceCallerListeners *listeners);
