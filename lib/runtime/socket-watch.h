/*
 * socket-watch.h: calls a function when a socket is ready, at a cost proportional to the ready sockets.
 *
 * GLib checks every source in each iteration of its main loop.  The leader of hundreds of machines has more
 * than a thousand connections, few of which are ready at a time.  Therefore the watches of a thread share one
 * GSource that polls an epoll descriptor.  The number of sockets dispatched in one iteration is limited;
 * the others follow in later iterations, after timers and other sources.
 *
 * A watch belongs to the thread that created it; all calls and callbacks happen there, in its thread-default
 * main context.  A watch holds a reference to its socket.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

typedef struct _QuinceSocketWatch QuinceSocketWatch;

/* @condition: the watched conditions that hold, and G_IO_ERR and G_IO_HUP, which are always watched.  The
 * callback may clear this watch and any other one. */
typedef void (*QuinceSocketReadyFunc) (GIOCondition condition, gpointer user_data);

/**
 * quince_socket_watch_new:
 * @socket: an open socket without another watch; must not be closed before the watch is cleared
 * @condition: G_IO_IN, G_IO_OUT or both
 * @ready: called in main loop iterations in which the condition holds, and for deferred output
 *
 * Returns: (transfer full): the watch; free with quince_socket_watch_clear()
 */
QuinceSocketWatch *quince_socket_watch_new (GSocket *socket,
                                            GIOCondition condition,
                                            QuinceSocketReadyFunc ready,
                                            gpointer user_data);

/* Replaces the watched condition. */
void quince_socket_watch_set_condition (QuinceSocketWatch *watch, GIOCondition condition);

/* Schedules one call with G_IO_OUT after the ready sockets of the main loop iteration have been dispatched,
 * whether the socket is writable or not.  Lets the owner send several messages in one write. */
void quince_socket_watch_defer_output (QuinceSocketWatch *watch);

/* Frees the watch, unless it is %NULL, and sets the pointer to %NULL. */
void quince_socket_watch_clear (QuinceSocketWatch **watch);

G_END_DECLS
