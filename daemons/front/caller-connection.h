/*
 * caller-connection.h: one connection of a caller: reads whole requests, one after the other, and answers
 * them.
 *
 * Owns the HTTP connection, a timer and the request being read or answered.  Relies on http1/http1.h for the
 * protocol and on caller-request.h for the answers; the readiness check and the directory are answered here.
 */
#pragma once

#include "http1/http1.h"

#include "front-context.h"

typedef struct _QuinceCallerConnection QuinceCallerConnection;

/* What a listening address is for; the values index arrays. */
typedef enum
{
  QUINCE_LISTEN_CALLERS,   /* requests and calls about batches */
  QUINCE_LISTEN_READY,     /* the readiness check */
  QUINCE_LISTEN_DIRECTORY, /* which fronts to use */
  QUINCE_LISTEN_N_KINDS,   /* how many there are */
} QuinceListenKind;

/* @connection is about to be released, by either side. */
typedef void (*QuinceCallerConnectionClosed) (QuinceCallerConnection *connection, gpointer user_data);

/**
 * quince_caller_connection_new:
 * @context: (transfer none): must outlive the connection
 * @socket: (transfer full)
 * @closed: called once, never before this returns
 *
 * Returns: (transfer none): the connection, which owns itself until closed() is called
 */
QuinceCallerConnection *quince_caller_connection_new (QuinceFrontContext *context,
                                                      QuinceListenKind kind,
                                                      GSocket *socket,
                                                      QuinceCallerConnectionClosed closed,
                                                      gpointer user_data);
/* Closes it at once; a request on it is cancelled. */
void quince_caller_connection_close (QuinceCallerConnection *connection);
/* No request is being read or answered. */
gboolean quince_caller_connection_is_idle (const QuinceCallerConnection *connection);
