/*
 * standin-server.h: an HTTP server whose answers a test writes byte by byte.
 *
 * A server owns its listening socket and connections, a call its request.  Belongs to the main context of the
 * test.  Relies on lib/http1.
 */
#pragma once

#include "http1/http1.h"

typedef struct _StandinServer StandinServer;
typedef struct _StandinCall StandinCall;

/* One request as it came; answered with standin_call_answer() or standin_call_write(). */
struct _StandinCall
{
  StandinServer *server;
  QuinceHttpConnection *connection;
  QuinceHttpHead *head;
  GByteArray *body;
  gboolean disconnected; /* its caller closed */
};

/* @handler: called with each request; a call stays valid until a function below releases it, also when its
 * caller has gone meanwhile */
StandinServer *standin_server_new (void (*handler) (StandinCall *call, gpointer user_data),
                                   gpointer user_data);
void standin_server_free (StandinServer *server);
const char *standin_server_get_address (const StandinServer *server);
/* Connections that are open now. */
guint standin_server_get_n_connections (const StandinServer *server);
/* Closes all connections; new ones are taken. */
void standin_server_close_connections (StandinServer *server);
/* As when its process dies: all connections are reset, new ones are refused. */
void standin_server_crash (StandinServer *server);
/* Listens again, at the address that it had. */
void standin_server_restart (StandinServer *server);

/* (transfer full): a socket that is bound to @address, where port 0 lets the kernel choose, and does not
 * listen: connections are refused, and no other test on this machine gets the port.  A process may listen
 * there meanwhile. */
GSocket *standin_reserve_port (const char *address);

/* (nullable): the first value of the request's header @name */
const char *standin_call_get_header (const StandinCall *call, const char *name);
/* A whole answer; @headers: lines with their ends, or "". Releases the call. */
void
standin_call_answer (StandinCall *call, guint status, const char *headers, const char *body, gssize length);
/* Any bytes; the call stays. */
void standin_call_write (StandinCall *call, const char *bytes);
/* Ends the connection in order, or with a reset. Releases the call. */
void standin_call_close_connection (StandinCall *call);
void standin_call_reset_connection (StandinCall *call);
/* The answer is complete: the next request of this connection is read. Releases the call. */
void standin_call_finish (StandinCall *call);
