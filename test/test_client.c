/* Calls over pooled connections. */
#include "http/client.h"
#include "support_gateway.h"

#include <sys/socket.h>
#include <unistd.h>

#define UNFRAMED "HTTP/1.1 200 OK\r\n\r\nfirst part"
#define UPLOAD_BYTES ((size_t)8 * 1024 * 1024)
#define SMALL "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

struct result
{
  struct bd_call *call;
  bool pauses; /* Stops reading when something was read. */
  bool ended;
  bool failed;
};

static void
on_head (void *context, const struct bd_head *head)
{
  (void)context;
  (void)head;
}

static void
on_body (void *context, struct bd_chunk data)
{
  (void)context;
  (void)data;
}

static void
on_read (void *context)
{
  struct result *result = context;

  if (result->pauses)
    bd_call_pause (result->call);
}

static void
on_end (void *context)
{
  ((struct result *)context)->ended = true;
}

static void
on_fail (void *context, const struct bd_call_failure *failure)
{
  (void)failure;
  ((struct result *)context)->failed = true;
}

static const struct bd_call_handler handler = { .on_head = on_head,
                                                .on_body = on_body,
                                                .on_read = on_read,
                                                .on_end = on_end,
                                                .on_fail = on_fail };

/* Sends a request to RUNNER and runs until its call has ended. */
static void
run_call (struct support_gateway *g, const struct support_runner *runner,
          struct result *result)
{
  struct bd_call_request request
      = { .head = BD_CHUNK ("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"),
          .connect_timeout_ms = 1000,
          .idle_max_ms = 1000 };

  uv_ip4_addr ("127.0.0.1", runner->port, &request.address);
  result->call = bd_client_call (g->client, &request, &handler, result);
  g_assert_nonnull (result->call);
  while (!result->ended && !result->failed)
    support_run_once (g);
}

/* Guards against a call that never ends, since the one before on its
   connection had stopped reading when its response was complete. */
static void
test_paused_at_end (void)
{
  static const struct support_step steps[]
      = { { SMALL, SUPPORT_KEEP }, { SMALL, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *runner;
  struct result first = { .pauses = true };
  struct result second = { 0 };

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, steps, 2);
  run_call (&g, runner, &first);
  g_assert_true (first.ended);
  run_call (&g, runner, &second);
  g_assert_true (second.ended);
  g_assert_cmpint (runner->connection_count, ==, 1);
  support_gateway_close (&g);
}

/* A server in a thread of its own, which takes one connection. */
struct early_server
{
  int listener;
  size_t
      read_bytes; /* Bytes of the request that it reads before it answers. */
  GAsyncQueue *done; /* Tells it to close the connection. */
};

/* Answers without a length, and ends its side of the connection only: it does
   not close what it has not read, so that nothing is reset. */
static gpointer
answer_early (gpointer data)
{
  struct early_server *server = data;
  int fd = accept (server->listener, NULL, NULL);
  static char buffer[UPLOAD_BYTES];
  size_t got = 0;

  while (got < server->read_bytes)
    {
      ssize_t n = recv (fd, buffer, sizeof buffer, 0);

      g_assert_cmpint (n, >, 0);
      got += (size_t)n;
    }
  g_assert_cmpint (send (fd, UNFRAMED, sizeof UNFRAMED - 1, MSG_NOSIGNAL), ==,
                   sizeof UNFRAMED - 1);
  shutdown (fd, SHUT_WR);
  g_async_queue_pop (server->done);
  close (fd);
  return NULL;
}

/* Opens the server's listener; what it does not read stays with the client. */
static struct sockaddr_in
open_listener (struct early_server *server)
{
  struct sockaddr_in address;
  socklen_t length = sizeof address;
  int buffer_bytes = 4096;

  uv_ip4_addr ("127.0.0.1", 0, &address);
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (server->listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  g_assert_cmpint (
      bind (server->listener, (struct sockaddr *)&address, sizeof address), ==,
      0);
  g_assert_cmpint (listen (server->listener, 1), ==, 0);
  getsockname (server->listener, (struct sockaddr *)&address, &length);
  return address;
}

/* How many bytes the caller uploads, and how many of these the server reads
   before it answers. */
struct upload_case
{
  const char *name;
  size_t upload_bytes;
  size_t read_bytes;
  bool complete; /* The answer is. */
};

static const struct upload_case upload_cases[] = {
  { "unread", UPLOAD_BYTES, 0, false },
  { "read-in-part", UPLOAD_BYTES, UPLOAD_BYTES / 2, false },
  { "unread-in-kernel", 150000, 0, false },
  { "read", UPLOAD_BYTES, UPLOAD_BYTES, true },
  { "small", 10, 10, true },
  { "small-unread", 10, 0, true },
};

/* Guards against the first part of an answer that is taken for a complete one:
   it has no length and ends with its connection, while the request is still
   being sent (MIXED). */
static void
test_early_answer (gconstpointer data)
{
  const struct upload_case *c = data;
  struct early_server server
      = { .read_bytes = c->read_bytes, .done = g_async_queue_new () };
  struct bd_call_request request
      = { .address = open_listener (&server), .connect_timeout_ms = 1000 };
  char *head = g_strdup_printf ("POST /x HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: %zu\r\n\r\n",
                                c->upload_bytes);
  char *body = g_strnfill (c->upload_bytes, 'x');
  struct support_gateway g;
  struct result result = { 0 };
  GThread *thread;

  if (server.read_bytes > 0)
    server.read_bytes += strlen (head);
  support_gateway_open (&g);
  request.head = bd_chunk_of (head);
  request.body = bd_chunk_of (body);
  thread = g_thread_new ("server", answer_early, &server);
  result.call = bd_client_call (g.client, &request, &handler, &result);
  while (!result.ended && !result.failed)
    support_run_once (&g);
  g_assert_cmpint (result.ended, ==, c->complete);
  g_async_queue_push (server.done, &server);
  g_thread_join (thread);
  close (server.listener);
  g_async_queue_unref (server.done);
  support_gateway_close (&g);
  g_free (head);
  g_free (body);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/client/paused-at-end", test_paused_at_end);
  for (size_t i = 0; i < G_N_ELEMENTS (upload_cases); i++)
    {
      char *path
          = g_strdup_printf ("/client/early-answer/%s", upload_cases[i].name);

      g_test_add_data_func (path, &upload_cases[i], test_early_answer);
      g_free (path);
    }
  return g_test_run ();
}
