/*
 * stop-at-connect.c: stops a process after it has started to connect to a given port.
 *
 * Only tests load this library, with LD_PRELOAD.  The environment variable QUINCE_STOP_AT_CONNECT names a
 * file that contains the port.  While the file exists, the process removes it when it connects to the port,
 * and sends itself SIGSTOP before it waits for events again.  The connection is then established by the
 * kernel, but the process has not seen it yet.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static int stops_before_poll;

int connect (int socket, const struct sockaddr *address, socklen_t length);
int poll (struct pollfd *descriptors, nfds_t count, int timeout_ms);

/* Returns the port in the file, or 0 if there is no file. */
static unsigned
read_port (const char *path)
{
  FILE *file = path != NULL ? fopen (path, "re") : NULL;
  unsigned port = 0;
  if (file == NULL)
    return 0;
  if (fscanf (file, "%u", &port) != 1)
    port = 0;
  fclose (file);
  return port;
}

int
connect (int socket, const struct sockaddr *address, socklen_t length)
{
  static int (*real_connect) (int, const struct sockaddr *, socklen_t);
  if (real_connect == NULL)
    real_connect = (int (*) (int, const struct sockaddr *, socklen_t))dlsym (RTLD_NEXT, "connect");
  const char *path = getenv ("QUINCE_STOP_AT_CONNECT");
  if (address->sa_family == AF_INET && length >= sizeof (struct sockaddr_in)
      && ntohs (((const struct sockaddr_in *)address)->sin_port) == read_port (path))
    stops_before_poll = unlink (path) == 0;
  return real_connect (socket, address, length);
}

int
poll (struct pollfd *descriptors, nfds_t count, int timeout_ms)
{
  static int (*real_poll) (struct pollfd *, nfds_t, int);
  if (real_poll == NULL)
    real_poll = (int (*) (struct pollfd *, nfds_t, int))dlsym (RTLD_NEXT, "poll");
  if (stops_before_poll)
    {
      stops_before_poll = 0;
      raise (SIGSTOP);
    }
  return real_poll (descriptors, count, timeout_ms);
}
