/*
 * socket-watch.h: calls their owners when sockets are ready, at a cost that follows the ready sockets.
 *
 * GLib goes through every source at each turn of its main loop.  The leader of hundreds of machines has more
 * than a thousand connections, of which a few are ready at a time; so the kernel keeps their readiness
 * (epoll), and all watches of a thread are one source.  What many sockets have at one moment is
 * dispatched in the kernel's order, which takes turns; timers run between two such turns.
 *
 * A watch belongs to the thread that created it; all calls and callbacks happen there, in its default main
 * context.  It keeps a reference to its socket.  Relies on GIO's sockets and on epoll alone.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

typedef struct _QuinceSocketWatch QuinceSocketWatch;

/* @condition: what was asked for and holds, besides G_IO_ERR and G_IO_HUP, which are always watched.  The
 * callback may clear this watch and any other one. */
typedef void (*QuinceSocketReadyFunc) (GIOCondition condition, gpointer user_data);

/**
 * quince_socket_watch_new:
 * @socket: open, without another watch, and not closed before its watch is cleared
 * @condition: G_IO_IN, G_IO_OUT or both
 * @ready: called at each turn of the main loop in which the condition holds
 *
 * Returns: (transfer full): the watch; quince_socket_watch_clear() ends it
 */
QuinceSocketWatch *quince_socket_watch_new (GSocket *socket,
                                            GIOCondition condition,
                                            QuinceSocketReadyFunc ready,
                                            gpointer user_data);

/* Watches for @condition from now on. */
void quince_socket_watch_set_condition (QuinceSocketWatch *watch, GIOCondition condition);

/* Calls the watch once with G_IO_OUT, after what is ready in this turn of the main loop, without asking the
 * kernel: what is sent meanwhile leaves in one write. */
void quince_socket_watch_defer_output (QuinceSocketWatch *watch);

/* Ends the watch, if there is one, and sets the pointer to %NULL. */
void quince_socket_watch_clear (QuinceSocketWatch **watch);

G_END_DECLS
