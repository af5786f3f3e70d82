/* Callers' connections of an entry, a process of its own: what is let in, and
   what thousands of idle ones cost the others.  DAEMON in the environment
   names another program to try. */
#include "entry/callers.h"
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
#define LIMIT_S 20
#define IDLE_COUNT 4000
/* Descriptors that the test and the daemon need besides. */
#define SPARE_DESCRIPTORS 200
#define HEAD "Host: h\r\n"
#define ASK "GET /v1/models HTTP/1.1\r\n" HEAD "\r\n"

struct daemon
{
  GPid pid;
  int log; /* Read end of its output. */
  struct sockaddr_in address;
};

static void
await_ready (const struct daemon *daemon)
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
  int ends[2];

  support_free_address (http);
  support_free_address (peer);
  g_assert_cmpint (bd_address_parse (bd_chunk_of (http), &daemon->address), ==,
                   BD_OK);
  g_assert_cmpint (pipe (ends), ==, 0);
  g_assert_true (g_spawn_async_with_fds (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &daemon->pid,
      -1, ends[1], ends[1], NULL));
  close (ends[1]);
  daemon->log = ends[0];
  await_ready (daemon);
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
  struct timeval limit = { .tv_sec = LIMIT_S };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  g_assert_cmpint (connect (fd, (const struct sockaddr *)&daemon->address,
                            sizeof daemon->address),
                   ==, 0);
  return fd;
}

/* Reads until the connection ends or ANSWER holds COUNT times WANTED. */
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

/* What is refused, and what the caller is told.  Nothing of it reaches
   another daemon: none is known, and the others get 401 here. */
static const struct hostile
{
  const char *name;
  const char *bytes;
  const char *status;
} hostile[] = {
  { "two lengths",
    "POST /v1/completions HTTP/1.1\r\n" HEAD
    "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x",
    "HTTP/1.1 400 " },
  { "length and chunks",
    "POST /v1/completions HTTP/1.1\r\n" HEAD
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
    "\r\n",
    "HTTP/1.1 400 " },
  { "chunk size that is no number",
    "POST /v1/completions HTTP/1.1\r\n" HEAD
    "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
    "HTTP/1.1 400 " },
  { "space before the colon",
    "POST /v1/completions HTTP/1.1\r\n" HEAD "Content-Length : 2\r\n\r\n{}",
    "HTTP/1.1 400 " },
  { "length with a sign",
    "POST /v1/completions HTTP/1.1\r\n" HEAD "Content-Length: +2\r\n\r\n{}",
    "HTTP/1.1 400 " },
  { "bare line feeds", "GET /v1/models HTTP/1.1\nHost: h\n\n",
    "HTTP/1.1 400 " },
  { "dot segments", "GET /v1/services/a/../b HTTP/1.1\r\n" HEAD "\r\n",
    "HTTP/1.1 400 " },
  { "encoded dot segments",
    "GET /v1/services/a/%2e%2E/b HTTP/1.1\r\n" HEAD "\r\n", "HTTP/1.1 400 " },
  { "body above the bound",
    "POST /v1/completions HTTP/1.1\r\n" HEAD "Content-Length: 1048577\r\n\r\n",
    "HTTP/1.1 413 " },
};

static void
test_hostile (void)
{
  struct daemon daemon;
  char *answer = g_malloc (ANSWER_BYTES);

  start_daemon (&daemon);
  for (size_t i = 0; i < G_N_ELEMENTS (hostile); i++)
    {
      int fd = connect_to (&daemon);
      size_t length = strlen (hostile[i].bytes);

      g_assert_cmpint (write (fd, hostile[i].bytes, length), ==, length);
      read_answer (fd, answer, "\"request_id\"", 1);
      if (!g_str_has_prefix (answer, hostile[i].status)
          || !strstr (answer, "X-Basildock-Ran: "))
        g_error ("%s: %s", hostile[i].name, answer);
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
  char *text
      = g_strdup_printf ("GET / HTTP/1.1\r\n" HEAD "X: %s\r\n\r\n", filler);
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

/* Proper requests: in chunks, and two at once. */
static void
test_proper (void)
{
  static const char chunked[]
      = "POST /v1/completions HTTP/1.1\r\n" HEAD
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
  struct daemon daemon;
  char *answer = g_malloc (ANSWER_BYTES);
  int fd;

  start_daemon (&daemon);
  fd = connect_to (&daemon);
  g_assert_cmpint (write (fd, ASK ASK, strlen (ASK ASK)), ==,
                   strlen (ASK ASK));
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
memory_kb (const struct daemon *daemon)
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

/* Microseconds until a request on a new connection is answered. */
static int64_t
ask_anew (const struct daemon *daemon, char *answer)
{
  int64_t begun = g_get_monotonic_time ();
  int fd = connect_to (daemon);

  g_assert_cmpint (write (fd, ASK, strlen (ASK)), ==, strlen (ASK));
  read_answer (fd, answer, "\"request_id\"", 1);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 401 "));
  close (fd);
  return g_get_monotonic_time () - begun;
}

/* Pattern: callers keep thousands of connections without a request.  Each
   new one is served as if they were not there. */
static void
test_idle_connections (void)
{
  struct daemon daemon;
  struct rlimit limit;
  char *answer = g_malloc (ANSWER_BYTES);
  int *idle = g_new (int, IDLE_COUNT);
  int count = IDLE_COUNT;
  int64_t before_us;
  int64_t longest_us = 0;
  long before_kb;

  getrlimit (RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < IDLE_COUNT + SPARE_DESCRIPTORS)
    count = (int)limit.rlim_cur - SPARE_DESCRIPTORS;
  start_daemon (&daemon);
  before_us = ask_anew (&daemon, answer);
  before_kb = memory_kb (&daemon);
  for (int i = 0; i < count; i++)
    idle[i] = connect_to (&daemon);
  for (int i = 0; i < 20; i++)
    {
      int64_t us = ask_anew (&daemon, answer);

      longest_us = us > longest_us ? us : longest_us;
    }
  g_test_message ("%d idle connections: %ld bytes each; a new one is answered "
                  "in %ld us without them, in %ld at most with them",
                  count, (memory_kb (&daemon) - before_kb) * 1024 / count,
                  (long)before_us, (long)longest_us);
  for (int i = 0; i < count; i++)
    close (idle[i]);
  stop_daemon (&daemon);
  g_free (idle);
  g_free (answer);
}

/* A server in this process, whose requests are answered by a test. */
struct server
{
  struct bd_callers *callers;
  struct daemon daemon; /* Its address only. */
  atomic_bool leaving;
  GAsyncQueue *results; /* 1: the caller went away; 2: it did not. */
};

static bool
answer_none (void *context, struct bd_exchange *exchange)
{
  (void)context;
  (void)exchange;
  return false;
}

static void
refuse_plainly (void *context, const struct bd_exchange *exchange, int error,
                struct bd_buffer *fields, struct bd_buffer *body)
{
  (void)context;
  (void)exchange;
  (void)error;
  (void)fields;
  (void)body;
}

static void
start_server (struct server *server,
              void (*serve) (void *context, struct bd_caller *caller),
              int64_t idle_ms)
{
  struct bd_callers_options options
      = { .limits = { .head_max_bytes = 4096,
                      .body_max_bytes = 4096,
                      .head_timeout_ms = 5000,
                      .idle_timeout_ms = idle_ms },
          .threads = 1,
          .leaving = &server->leaving,
          .context = server,
          .serve = serve,
          .answer = answer_none,
          .refuse = refuse_plainly };
  char address[SUPPORT_ADDRESS_BYTES];
  int error;

  memset (server, 0, sizeof *server);
  support_free_address (address);
  bd_address_parse (bd_chunk_of (address), &options.address);
  server->daemon.address = options.address;
  server->results = g_async_queue_new ();
  server->callers = bd_callers_create (&options, &error);
  g_assert_nonnull (server->callers);
}

static void
stop_server (struct server *server)
{
  bd_callers_destroy (server->callers);
  g_async_queue_unref (server->results);
}

/* Sends without an end, until the caller is said to be gone. */
static void
serve_endlessly (void *context, struct bd_caller *caller)
{
  static char piece[65536];
  struct server *server = context;
  struct bd_chunk data = { piece, sizeof piece };

  bd_caller_begin (caller, 200, BD_CHUNK (""));
  while (bd_caller_send (caller, data))
    ;
  g_async_queue_push (server->results,
                      GINT_TO_POINTER (bd_caller_gone (caller) ? 1 : 2));
}

/* Pattern: callers that do not read their answer and stay.  They hold a
   thread for as long as they may be silent, not for ever. */
static void
test_not_reading (void)
{
  struct server server;
  int fd;

  start_server (&server, serve_endlessly, 200);
  fd = connect_to (&server.daemon);
  g_assert_cmpint (write (fd, ASK, strlen (ASK)), ==, strlen (ASK));
  g_async_queue_pop (server.results);
  stop_server (&server);
  close (fd);
}

/* A caller that goes away ends its answer, though it would take more. */
static void
test_going_away (void)
{
  struct server server;
  char byte;
  int fd;

  start_server (&server, serve_endlessly, 60000);
  fd = connect_to (&server.daemon);
  g_assert_cmpint (write (fd, ASK, strlen (ASK)), ==, strlen (ASK));
  g_assert_cmpint (read (fd, &byte, 1), ==, 1);
  close (fd);
  g_assert_cmpint (GPOINTER_TO_INT (g_async_queue_pop (server.results)), ==,
                   1);
  stop_server (&server);
}

/* An answer that is not completed looks incomplete. */
static void
serve_half (void *context, struct bd_caller *caller)
{
  (void)context;
  bd_caller_begin (caller, 200, BD_CHUNK (""));
  bd_caller_send (caller, BD_CHUNK ("half"));
}

static void
test_half (void)
{
  struct server server;
  char *answer = g_malloc (ANSWER_BYTES);
  int fd;

  start_server (&server, serve_half, 60000);
  fd = connect_to (&server.daemon);
  g_assert_cmpint (write (fd, ASK, strlen (ASK)), ==, strlen (ASK));
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
  g_test_add_func ("/callers/hostile", test_hostile);
  g_test_add_func ("/callers/long-head", test_long_head);
  g_test_add_func ("/callers/proper", test_proper);
  g_test_add_func ("/callers/idle-connections", test_idle_connections);
  g_test_add_func ("/callers/not-reading", test_not_reading);
  g_test_add_func ("/callers/going-away", test_going_away);
  g_test_add_func ("/callers/half", test_half);
  return g_test_run ();
}
