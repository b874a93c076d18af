/*
 * caller-connection.h: a caller's HTTP connection.  It reads one request at a time and sends the answer.
 *
 * A connection owns its HTTP connection, a timer and the request in progress.  caller-request.h processes
 * requests; the connection itself answers readiness checks and directory lookups.
 */
#pragma once

#include "http1/http1.h"

#include "front-context.h"

typedef struct _QuinceCallerConnection QuinceCallerConnection;

/* The purpose of a listening address; also an array index. */
typedef enum
{
  QUINCE_LISTEN_CALLERS,   /* lookups, streams, rollouts and calls about batches */
  QUINCE_LISTEN_READY,     /* the readiness check */
  QUINCE_LISTEN_DIRECTORY, /* lists the fronts that callers may use */
  QUINCE_LISTEN_N_KINDS,   /* number of kinds */
} QuinceListenKind;

/* Called before @connection is freed, whichever side closes it. */
typedef void (*QuinceCallerConnectionClosed) (QuinceCallerConnection *connection, gpointer user_data);

/**
 * quince_caller_connection_new:
 * @context: (transfer none): must outlive the connection
 * @socket: (transfer full)
 * @closed: called once, after this function has returned
 *
 * Returns: (transfer none): the connection, which frees itself after it calls closed()
 */
QuinceCallerConnection *quince_caller_connection_new (QuinceFrontContext *context,
                                                      QuinceListenKind kind,
                                                      GSocket *socket,
                                                      QuinceCallerConnectionClosed closed,
                                                      gpointer user_data);
/* Closes the connection immediately, cancels its request, calls closed() and frees the connection. */
void quince_caller_connection_close (QuinceCallerConnection *connection);
/* Returns %TRUE if no request is being read or answered. */
gboolean quince_caller_connection_is_idle (const QuinceCallerConnection *connection);

/* How a connection is used, by how soon it is closed if there are too many. */
typedef enum
{
  QUINCE_CONNECTION_UNUSED,  /* it has carried no request */
  QUINCE_CONNECTION_RESTING, /* it has carried requests, and none is being read or answered */
  QUINCE_CONNECTION_STALLED, /* nothing of the request being read has arrived for 2 s */
  QUINCE_CONNECTION_IN_USE,  /* it is not closed for another one */
} QuinceConnectionUse;

QuinceConnectionUse quince_caller_connection_get_use (const QuinceCallerConnection *connection,
                                                      gint64 now_us);
/* Returns when something was last read, answered or accepted on the connection, monotonic, us. */
gint64 quince_caller_connection_get_active_us (const QuinceCallerConnection *connection);
