/*
 * proxy-senders.c: which processes a route carries nothing for.
 *
 * All that come to a route use one address, so that a cut between two processes
 * needs the sender.  The kernel tells the inode of the socket at the other end of
 * a connection (IPv4, same machine), and a process's open files tell the sockets that
 * it holds.  Nothing is read while no process is blocked.
 */
#include "proxy.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_BYTES 4096

struct _ProxySenders
{
  GArray *blocked;    /* guint: process ids                           */
  GHashTable *inodes; /* set: of the sockets that they last held      */
};

ProxySenders *
proxy_senders_new (void)
{
  ProxySenders *senders = g_new0 (ProxySenders, 1);
  senders->blocked = g_array_new (FALSE, FALSE, sizeof (guint));
  senders->inodes = g_hash_table_new (NULL, NULL);
  return senders;
}

void
proxy_senders_free (ProxySenders *senders)
{
  g_array_unref (senders->blocked);
  g_hash_table_unref (senders->inodes);
  g_free (senders);
}

void
proxy_senders_set_blocked (ProxySenders *senders, GArray *processes)
{
  g_array_unref (senders->blocked);
  senders->blocked = g_array_ref (processes);
}

static void
add_sockets (ProxySenders *senders, guint process)
{
  g_autofree char *folder = g_strdup_printf ("/proc/%u/fd", process);
  g_autoptr (GDir) files = g_dir_open (folder, 0, NULL);
  const char *name;
  while (files != NULL && (name = g_dir_read_name (files)) != NULL)
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      g_autofree char *target = g_file_read_link (path, NULL);
      guint inode = 0;
      if (target != NULL && sscanf (target, "socket:[%u]", &inode) == 1)
        g_hash_table_add (senders->inodes, GUINT_TO_POINTER (inode));
    }
}

void
proxy_senders_refresh (ProxySenders *senders)
{
  g_hash_table_remove_all (senders->inodes);
  for (guint i = 0; i < senders->blocked->len; i++)
    add_sockets (senders, g_array_index (senders->blocked, guint, i));
}

/* ---- Connections ---- */

static gboolean
fill_id (struct inet_diag_sockid *id, GSocket *accepted)
{
  struct sockaddr_in client;
  struct sockaddr_in here;
  socklen_t client_length = sizeof client;
  socklen_t here_length = sizeof here;
  int file = g_socket_get_fd (accepted);
  if (getpeername (file, (struct sockaddr *)&client, &client_length) != 0
      || getsockname (file, (struct sockaddr *)&here, &here_length) != 0 || client.sin_family != AF_INET)
    return FALSE;
  id->idiag_sport = client.sin_port;
  id->idiag_dport = here.sin_port;
  id->idiag_src[0] = client.sin_addr.s_addr;
  id->idiag_dst[0] = here.sin_addr.s_addr;
  id->idiag_cookie[0] = id->idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return TRUE;
}

/* Of the socket at the other end; 0: none. */
static guint
ask_inode (int file, const struct inet_diag_req_v2 *question)
{
  struct
  {
    struct nlmsghdr header;
    struct inet_diag_req_v2 question;
  } request
      = { .header
          = { .nlmsg_len = sizeof request, .nlmsg_type = SOCK_DIAG_BY_FAMILY, .nlmsg_flags = NLM_F_REQUEST },
          .question = *question };
  union
  {
    struct nlmsghdr header;
    char bytes[ANSWER_BYTES];
  } answer;
  if (send (file, &request, sizeof request, 0) < 0)
    return 0;
  ssize_t length = recv (file, &answer, sizeof answer, 0);
  if (length < (ssize_t)NLMSG_LENGTH (sizeof (struct inet_diag_msg))
      || answer.header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
    return 0;
  return ((const struct inet_diag_msg *)NLMSG_DATA (&answer.header))->idiag_inode;
}

static guint
find_connection (GSocket *accepted)
{
  struct inet_diag_req_v2 question = { .sdiag_family = AF_INET, .sdiag_protocol = IPPROTO_TCP };
  if (!fill_id (&question.id, accepted))
    return 0;
  int file = socket (AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (file < 0)
    return 0;
  guint inode = ask_inode (file, &question);
  close (file);
  return inode;
}

gboolean
proxy_senders_block_connection (const ProxySenders *senders, GSocket *accepted)
{
  return senders->blocked->len > 0
         && g_hash_table_contains (senders->inodes, GUINT_TO_POINTER (find_connection (accepted)));
}

/* ---- Datagrams ---- */

/* Of the UDP socket bound to @port; 0: none. */
static guint
find_bound (guint port)
{
  g_autofree char *text = NULL;
  if (!g_file_get_contents ("/proc/net/udp", &text, NULL, NULL))
    return 0;
  for (char *line = strchr (text, '\n'); line != NULL; line = strchr (line + 1, '\n'))
    {
      guint local = 0;
      guint inode = 0;
      int fields = sscanf (line, " %*u: %*8x:%x %*8x:%*x %*x %*s %*s %*s %*u %*u %u", &local, &inode);
      if (fields == 2 && local == port)
        return inode;
    }
  return 0;
}

gboolean
proxy_senders_block_datagrams (const ProxySenders *senders, GSocketAddress *from)
{
  if (senders->blocked->len == 0)
    return FALSE;
  guint port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (from));
  return g_hash_table_contains (senders->inodes, GUINT_TO_POINTER (find_bound (port)));
}
