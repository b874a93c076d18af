/*
 * standin-relay.h: the network from one process to one address, of which a test can cut, hold or slow either
 * way.
 *
 * A relay owns its listening socket and a pair of sockets for each connection; belongs to the main context of
 * the test.
 */
#pragma once

#include <gio/gio.h>

typedef struct _StandinRelay StandinRelay;

typedef enum
{
  STANDIN_RELAY_NEITHER,
  STANDIN_RELAY_REQUESTS, /* from the connecting side */
  STANDIN_RELAY_ANSWERS,  /* to the connecting side */
} StandinRelayDirection;

/* @upstream_address: where connections go; it need not listen yet. */
StandinRelay *standin_relay_new (const char *upstream_address);
void standin_relay_free (StandinRelay *relay);
const char *standin_relay_get_address (const StandinRelay *relay);
/* While it is held nothing passes either way and no connection is closed, as in a network partition.  Bytes
 * on their way pass afterwards. */
void standin_relay_set_paused (StandinRelay *relay, gboolean paused);
/* The same for each way: @upstream from the connecting side. */
void standin_relay_set_paused_directions (StandinRelay *relay, gboolean upstream, gboolean downstream);
/* What comes from now on arrives @delay_ms later, and no more than @bytes_per_s each way of each connection;
 * 0: any number. */
void standin_relay_set_delay_and_rate (StandinRelay *relay, guint delay_ms, guint bytes_per_s);
/* Either way. */
gboolean standin_relay_is_paused (const StandinRelay *relay);
/* While it is cut all connections are closed, also new ones: as when a route is rejected. */
void standin_relay_set_cut (StandinRelay *relay, gboolean cut);
/* Each connection is closed instead of passing more than @bytes that way; 0: no limit. */
void standin_relay_set_byte_limit (StandinRelay *relay, StandinRelayDirection direction, guint bytes);
/* While it is set, bytes that come that way are dropped and the receiver's end of each connection is shut
 * down. */
void standin_relay_set_half_closed (StandinRelay *relay, StandinRelayDirection direction);
/* Connections that are open, or wait to be opened until the relay is held no more. */
guint standin_relay_get_n_connections (const StandinRelay *relay);
