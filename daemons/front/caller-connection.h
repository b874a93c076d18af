/*
 * caller-connection.h: one caller's connection: reads requests whole, one after the other, and answers them.
 */
#pragma once

#include "front.h"

typedef struct _QuinceCallerConnection QuinceCallerConnection;

/* What a listening address is for. */
typedef enum
{
  QUINCE_LISTEN_CALLERS,
  QUINCE_LISTEN_READY,
  QUINCE_LISTEN_DIRECTORY,
} QuinceListenKind;

/* (transfer full): @socket. The connection owns itself and is in front->connections. */
void quince_caller_connection_accept (QuinceFront *front, QuinceListenKind kind, GSocket *socket);
/* Ends it now; work for it is cancelled. */
void quince_caller_connection_drop (QuinceCallerConnection *connection);
/* No request is being read or answered. */
gboolean quince_caller_connection_is_idle (const QuinceCallerConnection *connection);
