/* Tests of callers' connections: malformed and valid requests against an
   entry that runs as a process of its own, thousands of idle connections,
   and callers that stop reading or disconnect.  DAEMON in the environment
   names another program to run as the entry. */
#include "entry/worker_pool.h"
#include "http/socket.h"
#include "support_port.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define ANSWER_BYTES 65536
#define RECEIVE_TIMEOUT_S 20
#define IDLE_CONNECTIONS 4000
/* Descriptors kept for the other needs of the test and the daemon. */
#define RESERVED_DESCRIPTORS 200
#define HOST_HEADER "Host: h\r\n"
#define REQUEST "GET /v1/models HTTP/1.1\r\n" HOST_HEADER "\r\n"

struct daemon
{
  GPid pid;
  int log; /* Read end of the daemon's output. */
  struct sockaddr_in address;
};

static void
wait_ready (const struct daemon *daemon)
{
  GString *text = g_string_new (NULL);
  char bytes[4096];
  ssize_t n;

  while (!strstr (text->str, "DAEMON_READY")
         && (n = read (daemon->log, bytes, sizeof bytes)) > 0)
    g_string_append_len (text, bytes, n);
  if (!strstr (text->str, "DAEMON_READY"))
    g_error ("the daemon does not start: %s", text->str);
  g_string_free (text, TRUE);
}

static void
start_daemon (struct daemon *daemon)
{
  const char *program = g_getenv ("DAEMON");
  char http[SUPPORT_ADDRESS_BYTES];
  char peer[SUPPORT_ADDRESS_BYTES];
  char *argv[] = { (char *)(program ? program : BUILD_DIR "/basildockd"),
                   "--role",
                   "entry",
                   "--instance",
                   "entry-1",
                   "--zone",
                   "z",
                   "--max-streams",
                   "8",
                   "--http-address",
                   http,
                   "--peer-address",
                   peer,
                   "--platform-url",
                   "http://127.0.0.1:9",
                   NULL };
  int pipe_fds[2];

  support_free_address (http);
  support_free_address (peer);
  g_assert_cmpint (bd_address_parse (bd_chunk_of (http), &daemon->address), ==,
                   BD_OK);
  g_assert_cmpint (pipe (pipe_fds), ==, 0);
  g_assert_true (g_spawn_async_with_fds (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &daemon->pid,
      -1, pipe_fds[1], pipe_fds[1], NULL));
  close (pipe_fds[1]);
  daemon->log = pipe_fds[0];
  wait_ready (daemon);
}

static void
stop_daemon (struct daemon *daemon)
{
  int status;

  kill (daemon->pid, SIGTERM);
  g_assert_cmpint (waitpid (daemon->pid, &status, 0), ==, daemon->pid);
  g_assert_true (WIFEXITED (status));
  g_assert_cmpint (WEXITSTATUS (status), ==, 0);
  close (daemon->log);
}

static int
connect_to (const struct daemon *daemon)
{
  struct timeval limit = { .tv_sec = RECEIVE_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  g_assert_cmpint (connect (fd, (const struct sockaddr *)&daemon->address,
                            sizeof daemon->address),
                   ==, 0);
  return fd;
}

/* Reads into ANSWER until the connection ends or WANTED occurs COUNT times. */
static void
read_answer (int fd, char *answer, const char *wanted, int count)
{
  size_t length = 0;
  ssize_t n = 1;

  answer[0] = '\0';
  while (n > 0)
    {
      const char *at = answer;
      int seen = 0;

      while (wanted && (at = strstr (at, wanted)))
        {
          seen++;
          at++;
        }
      if (wanted && seen >= count)
        return;
      n = read (fd, answer + length, ANSWER_BYTES - 1 - length);
      if (n > 0)
        length += (size_t)n;
      answer[length] = '\0';
    }
}

/* Requests that are rejected, and the status of the answer.  The entry knows
   no other daemon, and a valid request would get 401. */
static const struct rejected_case
{
  const char *name;
  const char *bytes;
  const char *status;
} rejected_cases[] = {
  { "two lengths",
    "POST /v1/completions HTTP/1.1\r\n" HOST_HEADER
    "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x",
    "HTTP/1.1 400 " },
  { "length and chunks",
    "POST /v1/completions HTTP/1.1\r\n" HOST_HEADER
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
    "\r\n",
    "HTTP/1.1 400 " },
  { "chunk size that is no number",
    "POST /v1/completions HTTP/1.1\r\n" HOST_HEADER
    "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
    "HTTP/1.1 400 " },
  { "space before the colon",
    "POST /v1/completions HTTP/1.1\r\n" HOST_HEADER
    "Content-Length : 2\r\n\r\n{}",
    "HTTP/1.1 400 " },
  { "length with a sign",
    "POST /v1/completions HTTP/1.1\r\n" HOST_HEADER
    "Content-Length: +2\r\n\r\n{}",
    "HTTP/1.1 400 " },
  { "bare line feeds", "GET /v1/models HTTP/1.1\nHost: h\n\n",
    "HTTP/1.1 400 " },
  { "dot segments", "GET /v1/services/a/../b HTTP/1.1\r\n" HOST_HEADER "\r\n",
    "HTTP/1.1 400 " },
  { "encoded dot segments",
    "GET /v1/services/a/%2e%2E/b HTTP/1.1\r\n" HOST_HEADER "\r\n",
    "HTTP/1.1 400 " },
  { "body above the bound",
    "POST /v1/completions HTTP/1.1\r\n" HOST_HEADER
    "Content-Length: 1048577\r\n\r\n",
    "HTTP/1.1 413 " },
};

static void
test_rejected_requests (void)
{
  struct daemon daemon;
  char *answer = g_malloc (ANSWER_BYTES);

  start_daemon (&daemon);
  for (size_t i = 0; i < G_N_ELEMENTS (rejected_cases); i++)
    {
      int fd = connect_to (&daemon);
      size_t length = strlen (rejected_cases[i].bytes);

      g_assert_cmpint (write (fd, rejected_cases[i].bytes, length), ==,
                       length);
      read_answer (fd, answer, "\"request_id\"", 1);
      if (!g_str_has_prefix (answer, rejected_cases[i].status)
          || !strstr (answer, "X-Basildock-Ran: "))
        g_error ("%s: %s", rejected_cases[i].name, answer);
      close (fd);
    }
  stop_daemon (&daemon);
  g_free (answer);
}

static void
test_long_head (void)
{
  struct daemon daemon;
  char *answer = g_malloc (ANSWER_BYTES);
  char *filler = g_strnfill (20000, 'x');
  char *text = g_strdup_printf (
      "GET / HTTP/1.1\r\n" HOST_HEADER "X: %s\r\n\r\n", filler);
  int fd;

  start_daemon (&daemon);
  fd = connect_to (&daemon);
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), >, 0);
  read_answer (fd, answer, "\r\n\r\n", 1);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 431 "));
  close (fd);
  stop_daemon (&daemon);
  g_free (text);
  g_free (filler);
  g_free (answer);
}

/* Valid requests: a chunked body, and two requests sent at once. */
static void
test_valid_requests (void)
{
  static const char chunked[]
      = "POST /v1/completions HTTP/1.1\r\n" HOST_HEADER
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
  struct daemon daemon;
  char *answer = g_malloc (ANSWER_BYTES);
  int fd;

  start_daemon (&daemon);
  fd = connect_to (&daemon);
  g_assert_cmpint (write (fd, REQUEST REQUEST, strlen (REQUEST REQUEST)), ==,
                   strlen (REQUEST REQUEST));
  read_answer (fd, answer, "HTTP/1.1 401 ", 2);
  g_assert_nonnull (strstr (answer, "HTTP/1.1 401 "));
  g_assert_nonnull (strstr (answer + 1, "HTTP/1.1 401 "));
  close (fd);
  fd = connect_to (&daemon);
  g_assert_cmpint (write (fd, chunked, strlen (chunked)), ==,
                   strlen (chunked));
  read_answer (fd, answer, "\"request_id\"", 1);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 "));
  g_assert_null (strstr (answer, "HTTP/1.1 400 "));
  close (fd);
  stop_daemon (&daemon);
  g_free (answer);
}

static long
resident_kb (const struct daemon *daemon)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)daemon->pid);
  char *text = NULL;
  const char *at;
  long kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL)
      && (at = strstr (text, "VmRSS:")))
    kb = strtol (at + strlen ("VmRSS:"), NULL, 10);
  g_free (text);
  g_free (path);
  return kb;
}

/* Returns the microseconds until a request on a new connection is answered. */
static int64_t
request_on_new_connection (const struct daemon *daemon, char *answer)
{
  int64_t started_us = g_get_monotonic_time ();
  int fd = connect_to (daemon);

  g_assert_cmpint (write (fd, REQUEST, strlen (REQUEST)), ==,
                   strlen (REQUEST));
  read_answer (fd, answer, "\"request_id\"", 1);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 401 "));
  close (fd);
  return g_get_monotonic_time () - started_us;
}

/* Guards against idle connections that take resources from active ones:
   with thousands of connections open and idle, requests on new connections
   are still answered. */
static void
test_idle_connections (void)
{
  struct daemon daemon;
  struct rlimit limit;
  char *answer = g_malloc (ANSWER_BYTES);
  int *idle = g_new (int, IDLE_CONNECTIONS);
  int count = IDLE_CONNECTIONS;
  int64_t before_us;
  int64_t longest_us = 0;
  long before_kb;

  getrlimit (RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < IDLE_CONNECTIONS + RESERVED_DESCRIPTORS)
    count = (int)limit.rlim_cur - RESERVED_DESCRIPTORS;
  start_daemon (&daemon);
  before_us = request_on_new_connection (&daemon, answer);
  before_kb = resident_kb (&daemon);
  for (int i = 0; i < count; i++)
    idle[i] = connect_to (&daemon);
  for (int i = 0; i < 20; i++)
    {
      int64_t us = request_on_new_connection (&daemon, answer);

      longest_us = us > longest_us ? us : longest_us;
    }
  g_test_message ("%d idle connections: %ld bytes each; a new one is answered "
                  "in %ld us without them, in %ld at most with them",
                  count, (resident_kb (&daemon) - before_kb) * 1024 / count,
                  (long)before_us, (long)longest_us);
  for (int i = 0; i < count; i++)
    close (idle[i]);
  stop_daemon (&daemon);
  g_free (idle);
  g_free (answer);
}

/* A worker pool in this process, whose requests are answered by a test. */
struct server
{
  struct bd_worker_pool *workers;
  struct daemon daemon; /* Only the address is used. */
  atomic_bool leaving;
  GAsyncQueue *results; /* 1: the caller has disconnected; 2: it has not. */
};

static bool
decline_on_loop (void *context, struct bd_exchange *exchange)
{
  (void)context;
  (void)exchange;
  return false;
}

static void
write_empty_rejection (void *context, const struct bd_exchange *exchange,
                       int error, struct bd_buffer *fields,
                       struct bd_buffer *body)
{
  (void)context;
  (void)exchange;
  (void)error;
  (void)fields;
  (void)body;
}

static void
start_server (struct server *server,
              void (*serve) (void *context, struct bd_caller_request *request),
              int64_t idle_ms)
{
  struct bd_worker_pool_options options
      = { .limits = { .head_max_bytes = 4096,
                      .body_max_bytes = 4096,
                      .head_timeout_ms = 5000,
                      .idle_timeout_ms = idle_ms },
          .threads = 1,
          .leaving = &server->leaving,
          .context = server,
          .serve = serve,
          .try_answer = decline_on_loop,
          .write_rejection = write_empty_rejection };
  char address[SUPPORT_ADDRESS_BYTES];
  int error;

  memset (server, 0, sizeof *server);
  support_free_address (address);
  bd_address_parse (bd_chunk_of (address), &options.address);
  server->daemon.address = options.address;
  server->results = g_async_queue_new ();
  server->workers = bd_worker_pool_create (&options, &error);
  g_assert_nonnull (server->workers);
}

static void
stop_server (struct server *server)
{
  bd_worker_pool_destroy (server->workers);
  g_async_queue_unref (server->results);
}

/* Sends data until that fails, then pushes whether the caller disconnected. */
static void
serve_endless_answer (void *context, struct bd_caller_request *request)
{
  static char piece[65536];
  struct server *server = context;
  struct bd_chunk data = { piece, sizeof piece };

  bd_caller_request_begin (request, 200, BD_CHUNK (""));
  while (bd_caller_request_send (request, data))
    ;
  g_async_queue_push (
      server->results,
      GINT_TO_POINTER (bd_caller_request_aborted (request) ? 1 : 2));
}

/* Guards against callers that never read their answer and stay connected:
   they occupy a worker thread until the idle timeout, not forever. */
static void
test_caller_not_reading (void)
{
  struct server server;
  int fd;

  start_server (&server, serve_endless_answer, 200);
  fd = connect_to (&server.daemon);
  g_assert_cmpint (write (fd, REQUEST, strlen (REQUEST)), ==,
                   strlen (REQUEST));
  g_async_queue_pop (server.results);
  stop_server (&server);
  close (fd);
}

/* An answer ends when its caller disconnects, even before the idle timeout. */
static void
test_caller_disconnects (void)
{
  struct server server;
  char byte;
  int fd;

  start_server (&server, serve_endless_answer, 60000);
  fd = connect_to (&server.daemon);
  g_assert_cmpint (write (fd, REQUEST, strlen (REQUEST)), ==,
                   strlen (REQUEST));
  g_assert_cmpint (read (fd, &byte, 1), ==, 1);
  close (fd);
  g_assert_cmpint (GPOINTER_TO_INT (g_async_queue_pop (server.results)), ==,
                   1);
  stop_server (&server);
}

/* Leaves the answer without an end, which the caller must be able to see. */
static void
serve_incomplete_answer (void *context, struct bd_caller_request *request)
{
  (void)context;
  bd_caller_request_begin (request, 200, BD_CHUNK (""));
  bd_caller_request_send (request, BD_CHUNK ("half"));
}

static void
test_incomplete_answer (void)
{
  struct server server;
  char *answer = g_malloc (ANSWER_BYTES);
  int fd;

  start_server (&server, serve_incomplete_answer, 60000);
  fd = connect_to (&server.daemon);
  g_assert_cmpint (write (fd, REQUEST, strlen (REQUEST)), ==,
                   strlen (REQUEST));
  read_answer (fd, answer, NULL, 0);
  g_assert_nonnull (strstr (answer, "4\r\nhalf\r\n"));
  g_assert_null (strstr (answer, "0\r\n\r\n"));
  close (fd);
  stop_server (&server);
  g_free (answer);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  signal (SIGPIPE, SIG_IGN);
  g_test_add_func ("/worker-pool/hostile", test_rejected_requests);
  g_test_add_func ("/worker-pool/long-head", test_long_head);
  g_test_add_func ("/worker-pool/valid", test_valid_requests);
  g_test_add_func ("/worker-pool/idle-connections", test_idle_connections);
  g_test_add_func ("/worker-pool/not-reading", test_caller_not_reading);
  g_test_add_func ("/worker-pool/going-away", test_caller_disconnects);
  g_test_add_func ("/worker-pool/incomplete-answer", test_incomplete_answer);
  return g_test_run ();
}
