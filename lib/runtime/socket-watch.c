/*
 * socket-watch.c: one epoll-based main loop source for the sockets of a thread; see socket-watch.h.
 */
#include "runtime/socket-watch.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Maximum number of ready sockets dispatched in one main loop iteration. */
#define READY_EVENTS_MAX 128

/* Source of one thread; freed with its last watch. */
typedef struct
{
  GSource source; /* base type; must be first */
  int epoll_fd;
  guint n_watches;
  GPtrArray *deferred; /* QuinceSocketWatch *, not owned; NULL if the watch was cleared */
  struct epoll_event ready_events[READY_EVENTS_MAX];
  guint next_ready_event; /* index of the next event to dispatch */
  guint n_ready_events;
} SocketPoller;

struct _QuinceSocketWatch
{
  SocketPoller *poller;
  GSocket *socket;
  QuinceSocketReadyFunc ready;
  gpointer user_data;
  gboolean deferred;
};

static GPrivate thread_poller;

/* ---- Main loop source -------------------------------------------------- */

static gboolean
poller_prepare (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  return ((SocketPoller *)source)->deferred->len > 0;
}

static void
dispatch_ready (SocketPoller *poller)
{
  int count = epoll_wait (poller->epoll_fd, poller->ready_events, READY_EVENTS_MAX, 0);
  poller->n_ready_events = count > 0 ? (guint)count : 0;
  poller->next_ready_event = 0;
  while (poller->next_ready_event < poller->n_ready_events)
    {
      const struct epoll_event *event = &poller->ready_events[poller->next_ready_event++];
      QuinceSocketWatch *watch = event->data.ptr;
      /* The event bits of epoll and of GIOCondition have the values of poll(). */
      if (watch != NULL)
        watch->ready ((GIOCondition)event->events, watch->user_data);
    }
}

/* Watches that a callback defers are dispatched in the next iteration. */
static void
dispatch_deferred (SocketPoller *poller)
{
  guint count = poller->deferred->len;
  for (guint i = 0; i < count; i++)
    {
      QuinceSocketWatch *watch = poller->deferred->pdata[i];
      if (watch == NULL)
        continue;
      poller->deferred->pdata[i] = NULL;
      watch->deferred = FALSE;
      watch->ready (G_IO_OUT, watch->user_data);
    }
  g_ptr_array_remove_range (poller->deferred, 0, count);
}

static gboolean
poller_dispatch (GSource *source, GSourceFunc function, gpointer data)
{
  SocketPoller *poller = (SocketPoller *)source;
  dispatch_ready (poller);
  if (poller->deferred->len > 0)
    dispatch_deferred (poller);
  return G_SOURCE_CONTINUE;
}

static void
poller_finalize (GSource *source)
{
  SocketPoller *poller = (SocketPoller *)source;
  g_ptr_array_unref (poller->deferred);
  close (poller->epoll_fd);
}

static GSourceFuncs poller_functions
    = { .prepare = poller_prepare, .dispatch = poller_dispatch, .finalize = poller_finalize };

static SocketPoller *
poller_new (void)
{
  int epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (epoll_fd < 0)
    g_error ("epoll_create1() failed: %s", g_strerror (errno));
  GSource *source = g_source_new (&poller_functions, sizeof (SocketPoller));
  SocketPoller *poller = (SocketPoller *)source;
  poller->epoll_fd = epoll_fd;
  poller->deferred = g_ptr_array_new ();
  g_source_add_unix_fd (source, epoll_fd, G_IO_IN);
  g_source_attach (source, g_main_context_get_thread_default ());
  return poller;
}

static SocketPoller *
poller_ref (void)
{
  SocketPoller *poller = g_private_get (&thread_poller);
  if (poller == NULL)
    {
      poller = poller_new ();
      g_private_set (&thread_poller, poller);
    }
  poller->n_watches++;
  return poller;
}

static void
poller_unref (SocketPoller *poller)
{
  if (--poller->n_watches > 0)
    return;
  g_private_set (&thread_poller, NULL);
  g_source_destroy (&poller->source);
  g_source_unref (&poller->source);
}

/* ---- Watches ----------------------------------------------------------- */

static void
update_epoll (QuinceSocketWatch *watch, int operation, GIOCondition condition)
{
  struct epoll_event event = { .events = condition, .data.ptr = watch };
  if (epoll_ctl (watch->poller->epoll_fd, operation, g_socket_get_fd (watch->socket), &event) != 0)
    g_critical ("epoll_ctl() failed: %s", g_strerror (errno));
}

QuinceSocketWatch *
quince_socket_watch_new (GSocket *socket,
                         GIOCondition condition,
                         QuinceSocketReadyFunc ready,
                         gpointer user_data)
{
  QuinceSocketWatch *watch = g_new0 (QuinceSocketWatch, 1);
  watch->poller = poller_ref ();
  watch->socket = g_object_ref (socket);
  watch->ready = ready;
  watch->user_data = user_data;
  update_epoll (watch, EPOLL_CTL_ADD, condition);
  return watch;
}

void
quince_socket_watch_set_condition (QuinceSocketWatch *watch, GIOCondition condition)
{
  update_epoll (watch, EPOLL_CTL_MOD, condition);
}

void
quince_socket_watch_defer_output (QuinceSocketWatch *watch)
{
  if (watch->deferred)
    return;
  watch->deferred = TRUE;
  g_ptr_array_add (watch->poller->deferred, watch);
}

/* Discards events of @watch that were not dispatched yet. */
static void
discard_events (QuinceSocketWatch *watch)
{
  SocketPoller *poller = watch->poller;
  for (guint i = poller->next_ready_event; i < poller->n_ready_events; i++)
    if (poller->ready_events[i].data.ptr == watch)
      poller->ready_events[i].data.ptr = NULL;
  guint index;
  if (watch->deferred && g_ptr_array_find (poller->deferred, watch, &index))
    poller->deferred->pdata[index] = NULL;
}

void
quince_socket_watch_clear (QuinceSocketWatch **watch)
{
  QuinceSocketWatch *cleared = *watch;
  if (cleared == NULL)
    return;
  *watch = NULL;
  update_epoll (cleared, EPOLL_CTL_DEL, 0);
  discard_events (cleared);
  g_object_unref (cleared->socket);
  poller_unref (cleared->poller);
  g_free (cleared);
}
