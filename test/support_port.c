#include "support_port.h"

#include "support_server.h"

#include <unistd.h>

void
support_free_address (char address[SUPPORT_ADDRESS_BYTES])
{
  int port;

  close (listen_loopback (&port));
  g_snprintf (address, SUPPORT_ADDRESS_BYTES, "127.0.0.1:%d", port);
}
