#include "support_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct connection
{
  struct server *server;
  int fd;
  GThread *thread;
};

/* Reads one request without a body.  Returns false if the peer has closed. */
static bool
read_request (int fd)
{
  char block[4096];
  size_t length = 0;

  while (length < sizeof block - 1)
    {
      ssize_t n = recv (fd, block + length, sizeof block - 1 - length, 0);

      if (n <= 0)
        return false;
      length += (size_t)n;
      block[length] = '\0';
      if (strstr (block, "\r\n\r\n"))
        return true;
    }
  return false;
}

static gpointer
run_connection (gpointer data)
{
  struct connection *c = data;
  struct server *s = c->server;

  while (s->response && read_request (c->fd))
    {
      int number = g_atomic_int_add (&s->requests, 1) + 1;

      if (number > s->max_answers)
        break;
      send (c->fd, s->response, strlen (s->response), MSG_NOSIGNAL);
      if (!s->keep_open)
        break;
    }
  shutdown (c->fd, SHUT_RDWR);
  return NULL;
}

static gpointer
run_server (gpointer data)
{
  struct server *s = data;
  int fd;

  while ((fd = accept (s->fd, NULL, NULL)) >= 0)
    {
      struct connection *c = g_new0 (struct connection, 1);

      c->server = s;
      c->fd = fd;
      c->thread = g_thread_new ("connection", run_connection, c);
      g_ptr_array_add (s->connections, c);
    }
  return NULL;
}

int
listen_loopback (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, length), ==, 0);
  g_assert_cmpint (listen (fd, 64), ==, 0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  *port = ntohs (address.sin_port);
  return fd;
}

void
server_start (struct server *s)
{
  s->fd = listen_loopback (&s->port);
  s->connections = g_ptr_array_new_with_free_func (g_free);
  s->thread = g_thread_new ("server", run_server, s);
}

void
server_stop (struct server *s)
{
  shutdown (s->fd, SHUT_RDWR);
  g_thread_join (s->thread);
  close (s->fd);
  for (guint i = 0; i < s->connections->len; i++)
    {
      struct connection *c = g_ptr_array_index (s->connections, i);

      shutdown (c->fd, SHUT_RDWR);
      g_thread_join (c->thread);
      close (c->fd);
    }
  g_ptr_array_free (s->connections, TRUE);
}
