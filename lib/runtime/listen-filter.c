/*
 * listen-filter.c: packet filter that drops SYN packets; see listen-filter.h.
 */
#include "runtime/listen-filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

/* Offset of the flags in the TCP header, in bytes (RFC 9293). */
#define TCP_FLAGS_OFFSET 13
/* SYN flag; the first packet of a connection has SYN set and ACK clear. */
#define TCP_FLAGS_SYN 0x02
/* Mask of the flags SYN and ACK. */
#define TCP_FLAGS_SYN_ACK 0x12

gboolean
quince_listen_filter_ignore_new_connections (GSocket *socket)
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
