/*
 * agent-listener.c: accepts the agent's connections and hands them to the workers.
 */
#include "agent-listener.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <quince/http-listener.h>
#include <quince/log.h>

#include "hub.h"

/* In the TCP header: where the flags are, and which of them tell a first packet. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAGS_SYN 0x02
#define TCP_FLAGS_SYN_ACK 0x12
/* Key of the count below in a local connection's socket. */
#define OPEN_COUNT "quince-open-count"

struct _QuinceAgentListener
{
  /* All fields belong to the main context. */
  QuinceHub *hub;
  QuinceHttpListener *listener;
  QuinceWorker *local; /* worker 0 */
  guint *local_open;   /* reference-counted box: local connections that are open */
  guint last;          /* worker that got the last connection but local ones     */
};

static void
local_closed (gpointer data)
{
  (*(guint *)data)--;
  g_rc_box_release (data);
}

static void
serve_local (QuinceAgentListener *listener, GSocket *socket)
{
  (*listener->local_open)++;
  g_object_set_data_full (G_OBJECT (socket), OPEN_COUNT, g_rc_box_acquire (listener->local_open),
                          local_closed);
  quince_worker_serve (listener->local, socket);
}

static void
hand_over (GSocket *socket, gpointer user_data)
{
  QuinceAgentListener *listener = user_data;
  guint others = quince_hub_get_worker_count (listener->hub) - 1;
  if (others == 0 || (*listener->local_open == 0 && quince_hub_is_idle (listener->hub)))
    {
      serve_local (listener, socket);
      return;
    }
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_CONNECTION, 0);
  message->socket = g_object_ref (socket);
  listener->last = listener->last % others + 1;
  quince_hub_post (listener->hub, listener->last, message);
}

QuinceAgentListener *
quince_agent_listener_new (QuinceHub *hub, QuinceWorker *local, const char *address, GError **error)
{
  QuinceAgentListener *listener = g_new0 (QuinceAgentListener, 1);
  listener->hub = hub;
  listener->local = local;
  listener->local_open = g_rc_box_new0 (guint);
  listener->listener = quince_http_listener_new_handing (address, hand_over, listener, error);
  if (listener->listener != NULL)
    return listener;
  g_rc_box_release (listener->local_open);
  g_free (listener);
  return NULL;
}

void
quince_agent_listener_free (QuinceAgentListener *listener)
{
  quince_http_listener_free (listener->listener);
  g_rc_box_release (listener->local_open);
  g_free (listener);
}

const char *
quince_agent_listener_get_address (const QuinceAgentListener *listener)
{
  return quince_http_listener_get_address (listener->listener);
}

/* Closing a socket resets connections that it has not accepted yet, and their callers would never
 * hear whether their request ran.  So first packets are dropped for a while before: callers send
 * them again by themselves, and what was connected before is accepted and answered meanwhile. */
static gboolean
ignore_first_packets (GSocket *socket)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_STMT (BPF_ALU | BPF_AND | BPF_K, TCP_FLAGS_SYN_ACK),
    BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAGS_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, G_MAXUINT32),
  };
  const struct sock_fprog filter = { G_N_ELEMENTS (code), code };
  return setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) == 0;
}

void
quince_agent_listener_ignore_connections (QuinceAgentListener *listener)
{
  if (!ignore_first_packets (quince_http_listener_get_socket (listener->listener)))
    quince_log_warning ("connections_not_ignored", "address=%s",
                        quince_agent_listener_get_address (listener));
}
