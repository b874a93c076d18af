/*
 * relayed-network.c: redirects the connections of a process to relays, so that a test can partition it from
 * others.
 *
 * Only tests load this library, with LD_PRELOAD.  The environment variable QUINCE_RELAYS names a file with
 * one line per relay: the requested port, a space and the port of the relay.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

int connect (int socket, const struct sockaddr *address, socklen_t length);

/* Returns the port of the relay, or @requested_port if it has none. */
static unsigned
get_relay_port (unsigned requested_port)
{
  const char *path = getenv ("QUINCE_RELAYS");
  FILE *file = path != NULL ? fopen (path, "re") : NULL;
  unsigned port = requested_port;
  unsigned target_port, relay_port;
  while (file != NULL && fscanf (file, "%u %u", &target_port, &relay_port) == 2)
    if (target_port == requested_port)
      port = relay_port;
  if (file != NULL)
    fclose (file);
  return port;
}

int
connect (int socket, const struct sockaddr *address, socklen_t length)
{
  static int (*real_connect) (int, const struct sockaddr *, socklen_t);
  if (real_connect == NULL)
    real_connect = (int (*) (int, const struct sockaddr *, socklen_t))dlsym (RTLD_NEXT, "connect");
  if (address->sa_family != AF_INET || length < sizeof (struct sockaddr_in))
    return real_connect (socket, address, length);
  struct sockaddr_in relay_address = *(const struct sockaddr_in *)address;
  relay_address.sin_port = htons ((in_port_t)get_relay_port (ntohs (relay_address.sin_port)));
  return real_connect (socket, (const struct sockaddr *)&relay_address, sizeof relay_address);
}
