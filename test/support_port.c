#include "support_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

void
support_free_address (char address[SUPPORT_ADDRESS_BYTES])
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t length = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&name, sizeof name), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&name, &length), ==, 0);
  close (fd);
  g_snprintf (address, SUPPORT_ADDRESS_BYTES, "127.0.0.1:%d",
              ntohs (name.sin_port));
}
