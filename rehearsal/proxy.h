/*
 * proxy.h: parts of the fault-injecting proxy.
 *
 *   proxy.c      flags, routes and their faults over HTTP
 *   proxy-tcp.c  TCP routes
 *   proxy-udp.c  UDP routes
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
  guint64 bytes_up;    /* passed on                              */
  guint64 bytes_down;  /* passed on                              */
  guint64 dropped;     /* bytes swallowed; UDP: datagrams lost   */
} ProxyCounters;

typedef struct _ProxyTcp ProxyTcp;
ProxyTcp *proxy_tcp_new (const char *listen,
                         const char *upstream,
                         const ProxyFaults *faults,
                         ProxyCounters *counters,
                         GError **error);
const char *proxy_tcp_get_address (ProxyTcp *proxy);
/* For connections made from now on. */
gboolean proxy_tcp_set_upstream (ProxyTcp *proxy, const char *upstream, GError **error);
/* The faults that proxy_tcp_new() was given have changed. */
void proxy_tcp_faults_changed (ProxyTcp *proxy);
guint proxy_tcp_get_open (ProxyTcp *proxy);

typedef struct _ProxyUdp ProxyUdp;
ProxyUdp *proxy_udp_new (const char *listen,
                         const char *upstream,
                         const ProxyFaults *faults,
                         ProxyCounters *counters,
                         GError **error);
const char *proxy_udp_get_address (ProxyUdp *proxy);
/* For clients seen from now on. */
gboolean proxy_udp_set_upstream (ProxyUdp *proxy, const char *upstream, GError **error);

/* Whether @faults swallow what goes @up, or down. */
gboolean proxy_drops (const ProxyFaults *faults, gboolean up);

/* Binds a non-blocking socket; @actual: (out) (transfer full): its ip:port. */
GSocket *proxy_bind (const char *address, GSocketType type, char **actual, GError **error);

G_END_DECLS
