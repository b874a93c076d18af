/*
 * listen-filter.h: ends a listening socket without resetting connections that it has not accepted yet.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/**
 * quince_listen_filter_ignore_new:
 * @socket: listens for TCP connections
 *
 * Closing a socket resets connections that it has not accepted yet, and their callers would never hear
 * whether their request ran.  So first packets are dropped for a while before: callers send them again by
 * themselves, and what was connected before is accepted and answered meanwhile.
 *
 * Returns: %FALSE when the system refuses it
 */
gboolean quince_listen_filter_ignore_new (GSocket *socket);

G_END_DECLS
