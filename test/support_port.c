#include "support_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <unistd.h>

/* Below the ports that the system gives to outgoing connections, of which one
   could take the port before its user listens. */
#define FIRST_PORT 22000
#define PORT_COUNT 10000
/* Distance of the first ports of two programs with consecutive identifiers. */
#define PORTS_PER_PROGRAM 101

static bool
is_free (int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool free;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0
         && listen (fd, 1) == 0;
  close (fd);
  return free;
}

void
support_free_address (char address[SUPPORT_ADDRESS_BYTES])
{
  static int used;
  int first = (int)getpid () * PORTS_PER_PROGRAM;
  int port;

  do
    port = FIRST_PORT + (first + used++) % PORT_COUNT;
  while (!is_free (port));
  g_snprintf (address, SUPPORT_ADDRESS_BYTES, "127.0.0.1:%d", port);
}
