/*
 * standin-server.h: HTTP server whose responses a test writes byte by byte.
 *
 * A server owns its listening socket and its connections; a call owns its request.  All functions are called
 * from the main context of the test.
 */
#pragma once

#include "http1/http1.h"

typedef struct _StandinServer StandinServer;
typedef struct _StandinCall StandinCall;

/* One received request.  standin_call_answer() or standin_call_write() responds to it. */
struct _StandinCall
{
  StandinServer *server;
  QuinceHttpConnection *connection;
  QuinceHttpHead *head;
  GByteArray *body;
  gboolean disconnected; /* the connection is closed */
};

/* Listens on a free loopback port and calls @handler with each request.  The call stays valid until a
 * function below releases it, even if its connection closes first. */
StandinServer *standin_server_new (void (*handler) (StandinCall *call, gpointer user_data),
                                   gpointer user_data);
void standin_server_free (StandinServer *server);
const char *standin_server_get_address (const StandinServer *server);
/* Returns the number of open connections. */
guint standin_server_get_n_connections (const StandinServer *server);
/* Closes all connections.  New connections are accepted. */
void standin_server_close_connections (StandinServer *server);
/* Simulates a process crash: all connections are reset and new ones are refused. */
void standin_server_crash (StandinServer *server);
/* Listens at the same address again.  Does nothing unless the server is crashed. */
void standin_server_restart (StandinServer *server);

/* Returns a socket that is bound to @address but does not listen (transfer full).  With port 0 the kernel
 * chooses the port.  Connections are refused, and no other test on this machine gets the port; a process with
 * SO_REUSEADDR may listen on it. */
GSocket *standin_reserve_port (const char *address);

/* Returns the first value of the request header @name, or NULL if there is none. */
const char *standin_call_get_header (const StandinCall *call, const char *name);
/* Sends a complete response and releases the call.  @headers: lines that end with CRLF, or "".  @length:
 * bytes of @body; -1 if it ends with a null byte. */
void
standin_call_answer (StandinCall *call, guint status, const char *headers, const char *body, gssize length);
/* Writes raw bytes to the connection.  Does not release the call. */
void standin_call_write (StandinCall *call, const char *bytes);
/* Closes the connection and releases the call. */
void standin_call_close_connection (StandinCall *call);
/* Closes the connection with a TCP reset and releases the call. */
void standin_call_reset_connection (StandinCall *call);
/* Marks the response as complete and releases the call.  The connection reads its next request. */
void standin_call_finish (StandinCall *call);
