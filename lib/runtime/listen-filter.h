/*
 * listen-filter.h: ends a listening socket without resetting connections that it has not accepted yet.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/**
 * quince_listen_filter_ignore_new_connections:
 * @socket: listens for TCP connections
 *
 * Closing a socket resets connections that it has not accepted yet, whose callers then cannot know whether
 * their request ran.  So first packets are dropped for a while before: the callers' kernels send them again,
 * and connections made before are accepted and answered meanwhile.
 *
 * Returns: %FALSE when the system refuses it
 */
gboolean quince_listen_filter_ignore_new_connections (GSocket *socket);

G_END_DECLS
