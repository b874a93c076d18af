/*
 * link-private.h: makes links of accepted connections, for link-server.c.
 */
#pragma once

#include "runtime/link.h"

G_BEGIN_DECLS

/* Returns: (transfer full): a link over the connected @socket, whose reference it takes */
QuinceLink *
quince_link_new_accepted (GSocket *socket, const QuinceLinkCallbacks *callbacks, gpointer user_data);

G_END_DECLS
