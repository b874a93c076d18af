/*
 * proxy.h: parts of the fault-injecting proxy.
 *
 *   proxy.c      flags, routes and their faults over HTTP
 *   proxy-tcp.c  TCP routes
 *   proxy-udp.c  UDP routes
 *   proxy-senders.c  processes that a route carries nothing for
 *
 * Everything runs on the main thread.
 */
#pragma once

#include <gio/gio.h>

#include "faults.h"

G_BEGIN_DECLS

/* Directions: "up" is from the client to the upstream. */
typedef struct
{
  guint64 delay_ms;        /* each way                                          */
  gboolean cut;            /* reset what is open, refuse what is new            */
  guint64 cut_after_bytes; /* reset each connection after so many bytes; 0: no  */
  const char *drop;        /* swallow bytes or datagrams: "up", "down", "both"  */
  gboolean freeze;         /* read and write nothing                            */
  const char *half_close;  /* end one direction of what is open: "up", "down"   */
  guint64 loss_percent;    /* datagrams lost                                    */
} ProxyFaults;

extern const QuinceFaultSpec proxy_faults[];

typedef struct
{
  guint64 connections; /* accepted; UDP: clients seen            */
  guint64 cut;         /* connections reset by a fault           */
  guint64 failed;      /* upstream could not be reached          */
  guint64 blocked;     /* connections and clients of a blocked sender */
  guint64 bytes_up;    /* passed on                              */
  guint64 bytes_down;  /* passed on                              */
  guint64 dropped;     /* bytes swallowed; UDP: datagrams lost   */
} ProxyCounters;

/* Processes that a route carries nothing for, as if the network between them and the upstream were gone. */
typedef struct _ProxySenders ProxySenders;
ProxySenders *proxy_senders_new (void);
void proxy_senders_free (ProxySenders *senders);
/* @processes: (element-type guint): process ids */
void proxy_senders_set_blocked (ProxySenders *senders, GArray *processes);
/* Reads which sockets the blocked processes hold: before a new connection or client is judged. */
void proxy_senders_refresh (ProxySenders *senders);
/* Whether a blocked process holds the other end of @accepted. */
gboolean proxy_senders_block_connection (const ProxySenders *senders, GSocket *accepted);
/* Whether a blocked process holds the socket bound to @from. */
gboolean proxy_senders_block_datagrams (const ProxySenders *senders, GSocketAddress *from);

typedef struct _ProxyTcp ProxyTcp;
ProxyTcp *proxy_tcp_new (const char *listen,
                         const char *upstream,
                         const ProxyFaults *faults,
                         ProxySenders *senders,
                         ProxyCounters *counters,
                         GError **error);
const char *proxy_tcp_get_address (ProxyTcp *proxy);
/* For connections made from now on. */
gboolean proxy_tcp_set_upstream (ProxyTcp *proxy, const char *upstream, GError **error);
/* The faults or senders that proxy_tcp_new() was given have changed. */
void proxy_tcp_faults_changed (ProxyTcp *proxy);
guint proxy_tcp_get_open (ProxyTcp *proxy);

typedef struct _ProxyUdp ProxyUdp;
ProxyUdp *proxy_udp_new (const char *listen,
                         const char *upstream,
                         const ProxyFaults *faults,
                         ProxySenders *senders,
                         ProxyCounters *counters,
                         GError **error);
const char *proxy_udp_get_address (ProxyUdp *proxy);
/* The senders that proxy_udp_new() was given have changed. */
void proxy_udp_senders_changed (ProxyUdp *proxy);
/* For clients seen from now on. */
gboolean proxy_udp_set_upstream (ProxyUdp *proxy, const char *upstream, GError **error);

/* Whether @faults swallow what goes @up, or down. */
gboolean proxy_drops (const ProxyFaults *faults, gboolean up);

/* Binds a non-blocking socket; @actual: (out) (transfer full): its ip:port. */
GSocket *proxy_bind (const char *address, GSocketType type, char **actual, GError **error);

G_END_DECLS
