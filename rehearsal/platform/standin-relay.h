/*
 * standin-relay.h: TCP relay to one address that simulates network faults: partitions, delay, limited
 * bandwidth, closed and half-closed connections.
 *
 * A relay owns its listening socket and two sockets for each connection.  All functions are called from the
 * main context of the test.
 */
#pragma once

#include <gio/gio.h>

typedef struct _StandinRelay StandinRelay;

typedef enum
{
  STANDIN_RELAY_NEITHER,
  STANDIN_RELAY_REQUESTS, /* from the client */
  STANDIN_RELAY_ANSWERS,  /* to the client */
} StandinRelayDirection;

/* Listens on a free loopback port and relays connections to @upstream_address, which need not listen yet. */
StandinRelay *standin_relay_new (const char *upstream_address);
void standin_relay_free (StandinRelay *relay);
const char *standin_relay_get_address (const StandinRelay *relay);
/* Simulates a network partition: while the relay is paused, nothing passes in either direction and no
 * connection is closed.  Buffered bytes pass afterwards. */
void standin_relay_set_paused (StandinRelay *relay, gboolean paused);
/* Pauses each direction separately; @upstream: from the client, @downstream: to the client. */
void standin_relay_set_paused_directions (StandinRelay *relay, gboolean upstream, gboolean downstream);
/* Delays bytes received from now on by @delay_ms and limits each direction of each connection to
 * @bytes_per_s; 0: no limit. */
void standin_relay_set_delay_and_rate (StandinRelay *relay, guint delay_ms, guint bytes_per_s);
/* Returns TRUE if either direction is paused. */
gboolean standin_relay_is_paused (const StandinRelay *relay);
/* Simulates a rejected route: while @cut is set, all connections are closed, including new ones. */
void standin_relay_set_cut (StandinRelay *relay, gboolean cut);
/* Closes a connection instead of relaying more than @bytes in @direction; 0: no limit. */
void standin_relay_set_byte_limit (StandinRelay *relay, StandinRelayDirection direction, guint bytes);
/* Drops the bytes in @direction and shuts down the receiver's side of each connection, until another
 * direction is set.  A side that is shut down stays so. */
void standin_relay_set_half_closed (StandinRelay *relay, StandinRelayDirection direction);
/* Returns the number of connections, including those that wait for the relay to resume. */
guint standin_relay_get_n_connections (const StandinRelay *relay);
/* Returns the number of connections accepted since the relay was created, including closed ones. */
guint standin_relay_get_n_accepted (const StandinRelay *relay);
