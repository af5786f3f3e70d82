/* Connections on the event loop. */
#include "http/socket.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define FLOOD_BYTES ((size_t)1024 * 1024)
/* More than the kernel holds, and the parts in which it is read. */
#define SLOW_BYTES ((size_t)24 * 1024 * 1024)
#define SLOW_PART_BYTES ((size_t)1024 * 1024)
#define SLOW_INTERVAL_MS 100

struct fixture
{
  uv_loop_t loop;
  uv_tcp_t listener;
  struct bd_socket *socket;
  int peer;
  size_t received;
};

static void
on_data (void *context, struct bd_chunk data)
{
  struct fixture *fixture = context;

  fixture->received += data.length;
}

static void
on_end (void *context, int error)
{
  (void)context;
  (void)error;
}

static const struct bd_socket_handler handler
    = { .on_data = on_data, .on_end = on_end };

static void
on_connection (uv_stream_t *listener, int status)
{
  struct fixture *fixture = listener->data;

  g_assert_cmpint (status, ==, 0);
  fixture->socket = bd_socket_create (&fixture->loop, &handler, fixture);
  g_assert_cmpint (bd_socket_accept (fixture->socket, listener, NULL), ==,
                   BD_OK);
}

static void
open_fixture (struct fixture *fixture)
{
  struct sockaddr_in address;
  int length = sizeof address;

  *fixture = (struct fixture){ 0 };
  uv_loop_init (&fixture->loop);
  uv_tcp_init (&fixture->loop, &fixture->listener);
  fixture->listener.data = fixture;
  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_bind (&fixture->listener, (struct sockaddr *)&address, 0);
  g_assert_cmpint (
      uv_listen ((uv_stream_t *)&fixture->listener, 1, on_connection), ==, 0);
  uv_tcp_getsockname (&fixture->listener, (struct sockaddr *)&address,
                      &length);
  fixture->peer = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (
      connect (fixture->peer, (struct sockaddr *)&address, sizeof address), ==,
      0);
  while (!fixture->socket)
    uv_run (&fixture->loop, UV_RUN_ONCE);
}

static void
close_fixture (struct fixture *fixture)
{
  bd_socket_close (fixture->socket);
  uv_close ((uv_handle_t *)&fixture->listener, NULL);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&fixture->loop), ==, 0);
  close (fixture->peer);
}

/* Sends as much as the connection takes without being read. */
static size_t
fill (const struct fixture *fixture)
{
  static char zeros[65536];
  size_t sent = 0;
  ssize_t n = 1;

  while (n > 0 && sent < FLOOD_BYTES)
    {
      n = send (fixture->peer, zeros, sizeof zeros, MSG_DONTWAIT);
      sent += n > 0 ? (size_t)n : 0;
    }
  g_assert_cmpuint (sent, >, 2 * BD_SOCKET_READ_BYTES);
  return sent;
}

/* Guards against a connection whose peer sends without end and that keeps the
   others from their turns: the event loop reads a limited amount of it each
   time, and goes on reading. */
static void
test_turns (void)
{
  struct fixture fixture;
  size_t sent;
  size_t before;

  open_fixture (&fixture);
  sent = fill (&fixture);
  while (fixture.received < sent)
    {
      before = fixture.received;
      uv_run (&fixture.loop, UV_RUN_ONCE);
      g_assert_cmpuint (fixture.received - before, <=, BD_SOCKET_READ_BYTES);
    }
  close_fixture (&fixture);
}

/* A connection that is paused in its turn stays so. */
static void
test_paused (void)
{
  struct fixture fixture;
  size_t sent;
  size_t before;

  open_fixture (&fixture);
  sent = fill (&fixture);
  while (fixture.received == 0)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  bd_socket_pause (fixture.socket);
  before = fixture.received;
  for (int i = 0; i < 5; i++)
    uv_run (&fixture.loop, UV_RUN_NOWAIT);
  g_assert_cmpuint (fixture.received, ==, before);
  bd_socket_resume (fixture.socket);
  while (fixture.received < sent)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  close_fixture (&fixture);
}

/* A peer that reads a part every now and then. */
struct slow_reader
{
  int peer;
  size_t received;
  bool ended;
};

static void
on_read_time (uv_timer_t *timer)
{
  static char part[SLOW_PART_BYTES];
  struct slow_reader *reader = timer->data;
  ssize_t n = recv (reader->peer, part, sizeof part, MSG_DONTWAIT);

  reader->received += n > 0 ? (size_t)n : 0;
  reader->ended = n == 0 || (n < 0 && errno != EAGAIN);
}

/* Guards against an answer that is cut off since its connection ends after it:
   a peer that reads slowly, for longer than the peer's own end is waited for,
   gets all of it. */
static void
test_slow_reader (void)
{
  static char answer[SLOW_BYTES];
  struct fixture fixture;
  struct slow_reader reader = { 0 };
  uv_timer_t timer;

  open_fixture (&fixture);
  reader.peer = fixture.peer;
  g_assert_cmpint (bd_socket_write (fixture.socket,
                                    (struct bd_chunk){ answer, SLOW_BYTES }),
                   ==, BD_OK);
  bd_socket_finish (fixture.socket);
  uv_timer_init (&fixture.loop, &timer);
  timer.data = &reader;
  uv_timer_start (&timer, on_read_time, SLOW_INTERVAL_MS, SLOW_INTERVAL_MS);
  while (!reader.ended)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  g_assert_cmpuint (reader.received, ==, SLOW_BYTES);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_close ((uv_handle_t *)&fixture.listener, NULL);
  uv_run (&fixture.loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&fixture.loop), ==, 0);
  close (fixture.peer);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/socket/turns", test_turns);
  g_test_add_func ("/socket/paused", test_paused);
  g_test_add_func ("/socket/slow-reader", test_slow_reader);
  return g_test_run ();
}
