/* Crowds of clients that keep to no limit, in front of a real gateway process
   on loopback.  What is checked does not depend on the machine's speed: the
   process lives, its memory and descriptors stay under their bounds, and one
   ordinary request is answered while the crowd's connections are open. */
#include "support_platform.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Connections of a crowd. */
#define CROWD 400
/* Memory of the gateway's machine, and so the bound of its resident set. */
#define MEMORY_MB 48
#define KB_PER_MB 1024
/* The operator's limits for a request. */
#define BODY_MAX_BYTES 131072
#define HEAD_MAX_BYTES 131072
/* What a client sends that goes far over a limit, if it can. */
#define FAR_OVER_BYTES ((size_t)16 * BODY_MAX_BYTES)
#define ANNOUNCED_BYTES "1073741824"
/* What may follow a request that is not answered yet. */
#define READ_AHEAD_BYTES ((size_t)64 * 1024)
#define LARGE_CHUNK_BYTES 8192
#define SMALL_CHUNK_BYTES 4
/* Descriptors of the machine: room for a crowd, or too few for it. */
#define FDS_MAX 1000
#define FEW_FDS_MAX 200
#define ORDINARY_BODY_BYTES 1000
/* Bytes that a client sends before the others have their turn. */
#define TURN_BYTES 4096
/* Interval for looking at what gives no event. */
#define LOOK_MS 10
/* Only guards against a hang. */
#define GUARD_S 120

#define POST_HEAD "POST / HTTP/1.1\r\nHost: h\r\nX-Basildock-Attempt-Id: a\r\n"
#define CHUNKED_HEAD POST_HEAD "Transfer-Encoding: chunked\r\n\r\n"

/* Sanitizers keep what the program frees, so that the resident set doesn't
   show what it holds. */
#if defined __SANITIZE_ADDRESS__ || defined __SANITIZE_THREAD__
#define MEMORY_SHOWS false
#else
#define MEMORY_SHOWS true
#endif

struct gateway
{
  GPid pid;
  char *folder;
  char *settings;
  char callers[SUPPORT_ADDRESS_BYTES];
  char readiness[SUPPORT_ADDRESS_BYTES];
  char internal[SUPPORT_ADDRESS_BYTES];
  int fds_max;
};

struct crowd
{
  const GString *bytes; /* What each client sends. */
  struct pollfd clients[CROWD];
  size_t sent[CROWD];
};

static int64_t guard_us;

static void
expect (bool holds, const char *what)
{
  if (holds)
    return;
  g_test_message ("does not hold: %s", what);
  g_test_fail ();
}

/* Returns whether the process lives and nothing hangs.  A failed check doesn't
   end the program, so that the other cases are played. */
static bool
lives (const struct gateway *gateway)
{
  siginfo_t info = { 0 };

  waitid (P_PID, (id_t)gateway->pid, &info, WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid == 0 && g_get_monotonic_time () < guard_us;
}

/* Ends the gateway with the test program, also if that is aborted. */
static void
die_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* Connections. */

static int
connect_to (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)atoi (strchr (text, ':') + 1));
  g_assert_cmpint (fd, >=, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Sends REQUEST and returns the status of the answer; 0: none. */
static int
ask (const char *address, const char *request)
{
  struct timeval guard = { .tv_sec = GUARD_S };
  char answer[4096] = "";
  size_t length = 0;
  ssize_t n = 1;
  int fd = connect_to (address);

  if (fd < 0)
    return 0;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof guard);
  if (send (fd, request, strlen (request), MSG_NOSIGNAL) < 0)
    n = 0;
  while (n > 0 && length < sizeof answer - 1)
    {
      n = recv (fd, answer + length, sizeof answer - 1 - length, 0);
      length += n > 0 ? (size_t)n : 0;
    }
  close (fd);
  return g_str_has_prefix (answer, "HTTP/1.1 ") ? atoi (answer + 9) : 0;
}

static int
ask_ordinary (const struct gateway *gateway)
{
  char *body = g_strnfill (ORDINARY_BODY_BYTES, 'x');
  char *request = g_strdup_printf (POST_HEAD "Connection: close\r\n"
                                             "Content-Length: %d\r\n\r\n%s",
                                   ORDINARY_BODY_BYTES, body);
  int status = ask (gateway->callers, request);

  g_free (body);
  g_free (request);
  return status;
}

/* The gateway. */

static void
write_settings (struct gateway *gateway)
{
  char *text;

  support_free_address (gateway->callers);
  support_free_address (gateway->readiness);
  support_free_address (gateway->internal);
  text = g_strdup_printf (
      "{\"instance\":\"g\",\"zone\":\"z\",\"ip\":\"127.0.0.1\","
      "\"callers\":\"%s\",\"readiness\":\"%s\",\"internal_port\":%s,"
      "\"seeds\":[],\"store\":\"%s\",\"store_silence_ms\":3000,"
      "\"cpu_share\":1,\"cores\":1,\"memory_mb\":%d,\"max_fds\":%d,"
      "\"grace_s\":2,\"retry_ratio\":0.2,\"retry_slack\":10,"
      "\"retry_window_s\":10}\n",
      gateway->callers, gateway->readiness,
      strchr (gateway->internal, ':') + 1, support_platform_store (),
      MEMORY_MB, gateway->fds_max);
  g_assert_true (g_file_set_contents (gateway->settings, text, -1, NULL));
  g_free (text);
}

static void
start_gateway (struct gateway *gateway)
{
  char *argv[] = { (char *)BUILD_DIR "/basildock-gateway",
                   (char *)"--settings", NULL, NULL };

  guard_us = g_get_monotonic_time () + (gint64)GUARD_S * G_USEC_PER_SEC;
  gateway->folder = g_dir_make_tmp ("basildock-XXXXXX", NULL);
  gateway->settings
      = g_build_filename (gateway->folder, "settings.json", NULL);
  write_settings (gateway);
  argv[2] = gateway->settings;
  g_assert_true (g_spawn_async (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
      die_with_parent, NULL, &gateway->pid, NULL));
  while (ask (gateway->readiness, "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
                                  "Connection: close\r\n\r\n")
         != 200)
    {
      g_assert_true (lives (gateway));
      poll (NULL, 0, LOOK_MS);
    }
  g_assert_cmpint (ask_ordinary (gateway), ==, 200);
}

static void
stop_gateway (struct gateway *gateway)
{
  kill (gateway->pid, SIGKILL);
  waitpid (gateway->pid, NULL, 0);
  g_spawn_close_pid (gateway->pid);
  g_unlink (gateway->settings);
  g_rmdir (gateway->folder);
  g_free (gateway->settings);
  g_free (gateway->folder);
}

/* Returns the largest resident set so far, in KB. */
static int
memory_peak_kb (const struct gateway *gateway)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)gateway->pid);
  char *text = NULL;
  const char *at;
  int kb;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  at = strstr (text, "VmHWM:");
  g_assert_nonnull (at);
  kb = atoi (at + strlen ("VmHWM:"));
  g_free (path);
  g_free (text);
  return kb;
}

static int
count_fds (const struct gateway *gateway)
{
  char *path = g_strdup_printf ("/proc/%d/fd", (int)gateway->pid);
  GDir *folder = g_dir_open (path, 0, NULL);
  int count = 0;

  g_assert_nonnull (folder);
  while (g_dir_read_name (folder))
    count++;
  g_dir_close (folder);
  g_free (path);
  return count;
}

/* Returns whether the gateway has bytes of callers to read. */
static bool
has_unread_bytes (const struct gateway *gateway)
{
  char *text = NULL;
  char **lines;
  unsigned port = (unsigned)atoi (strchr (gateway->callers, ':') + 1);
  bool unread = false;

  g_assert_true (g_file_get_contents ("/proc/net/tcp", &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (size_t i = 0; lines[i]; i++)
    {
      unsigned local;
      unsigned state;
      unsigned waiting;

      if (sscanf (lines[i], " %*u: %*8x:%x %*8x:%*x %x %*x:%x", &local, &state,
                  &waiting)
          == 3)
        unread |= local == port && state == 1 && waiting > 0;
    }
  g_strfreev (lines);
  g_free (text);
  return unread;
}

/* The crowd. */

static void
connect_crowd (struct crowd *crowd, const struct gateway *gateway)
{
  for (size_t i = 0; i < CROWD; i++)
    {
      int fd = connect_to (gateway->callers);

      g_assert_cmpint (fd, >=, 0);
      fcntl (fd, F_SETFL, O_NONBLOCK);
      crowd->clients[i] = (struct pollfd){ fd, POLLOUT, 0 };
      crowd->sent[i] = 0;
    }
}

/* Sends the next bytes of a client; stops at the end, or when the gateway has
   closed the connection.  Its descriptor stays open. */
static bool
take_turn (struct crowd *crowd, size_t i)
{
  size_t left = crowd->bytes->len - crowd->sent[i];
  ssize_t n = send (crowd->clients[i].fd, crowd->bytes->str + crowd->sent[i],
                    MIN (left, TURN_BYTES), MSG_NOSIGNAL);

  if (n < 0)
    return errno == EAGAIN;
  crowd->sent[i] += (size_t)n;
  return crowd->sent[i] < crowd->bytes->len;
}

static void
send_all (struct crowd *crowd, const struct gateway *gateway)
{
  size_t active = CROWD;

  while (active > 0 && lives (gateway))
    {
      poll (crowd->clients, CROWD, LOOK_MS);
      for (size_t i = 0; i < CROWD; i++)
        if (crowd->clients[i].events && crowd->clients[i].revents
            && !take_turn (crowd, i))
          {
            crowd->clients[i].events = 0;
            active--;
          }
    }
  while (has_unread_bytes (gateway) && lives (gateway))
    poll (NULL, 0, LOOK_MS);
}

static void
check (const struct gateway *gateway)
{
  int memory_kb;
  int fds;
  int status;

  expect (lives (gateway), "the process lives");
  if (!lives (gateway))
    return;
  memory_kb = memory_peak_kb (gateway);
  fds = count_fds (gateway);
  status = ask_ordinary (gateway);
  g_test_message ("memory %d of %d KB, descriptors %d of %d, answer %d",
                  memory_kb, MEMORY_MB * KB_PER_MB, fds, gateway->fds_max,
                  status);
  expect (lives (gateway), "the process lives after the request");
  expect (!MEMORY_SHOWS || memory_kb <= MEMORY_MB * KB_PER_MB,
          "the memory is under its bound");
  expect (fds <= gateway->fds_max, "the descriptors are under their bound");
  expect (status == 200, "an ordinary request is answered");
}

/* Plays a crowd of which each client sends BYTES and stays. */
static void
play (GString *bytes, int fds_max)
{
  struct gateway gateway = { .fds_max = fds_max };
  struct crowd *crowd = g_new0 (struct crowd, 1);

  start_gateway (&gateway);
  crowd->bytes = bytes;
  connect_crowd (crowd, &gateway);
  send_all (crowd, &gateway);
  check (&gateway);
  for (size_t i = 0; i < CROWD; i++)
    close (crowd->clients[i].fd);
  stop_gateway (&gateway);
  g_free (crowd);
  g_string_free (bytes, TRUE);
}

/* Appends chunks of SIZE bytes that have COUNT bytes together. */
static void
append_chunks (GString *bytes, size_t size, size_t count)
{
  char *data = g_strnfill (size, 'x');

  while (count > 0)
    {
      size_t n = MIN (size, count);

      g_string_append_printf (bytes, "%zx\r\n%.*s\r\n", n, (int)n, data);
      count -= n;
    }
  g_free (data);
}

static void
append_fill (GString *bytes, const char *unit, size_t count)
{
  for (size_t end = bytes->len + count; bytes->len < end;)
    g_string_append (bytes, unit);
}

static void
test_large_chunks (void)
{
  GString *bytes = g_string_new (CHUNKED_HEAD);

  append_chunks (bytes, LARGE_CHUNK_BYTES, BODY_MAX_BYTES - 1);
  play (bytes, FDS_MAX);
}

static void
test_small_chunks (void)
{
  GString *bytes = g_string_new (CHUNKED_HEAD);

  append_chunks (bytes, SMALL_CHUNK_BYTES, BODY_MAX_BYTES - 1);
  play (bytes, FDS_MAX);
}

static void
test_announced (void)
{
  GString *bytes
      = g_string_new (POST_HEAD "Content-Length: " ANNOUNCED_BYTES "\r\n\r\n");

  append_fill (bytes, "xxxxxxxxxxxxxxxx", FAR_OVER_BYTES);
  play (bytes, FDS_MAX);
}

static void
test_just_sent (void)
{
  GString *bytes = g_string_new (CHUNKED_HEAD);

  append_chunks (bytes, LARGE_CHUNK_BYTES, FAR_OVER_BYTES);
  play (bytes, FDS_MAX);
}

static void
test_heads (void)
{
  GString *bytes = g_string_new (POST_HEAD);

  append_fill (bytes, "Field: value\r\n", HEAD_MAX_BYTES - 1024);
  play (bytes, FDS_MAX);
}

static void
test_trailers (void)
{
  GString *bytes = g_string_new (CHUNKED_HEAD "1\r\nx\r\n0\r\n");

  append_fill (bytes, "Field: value\r\n", FAR_OVER_BYTES);
  play (bytes, FDS_MAX);
}

static void
test_extensions (void)
{
  GString *bytes = g_string_new (CHUNKED_HEAD "1;");

  append_fill (bytes, "extensionextension", FAR_OVER_BYTES);
  play (bytes, FDS_MAX);
}

/* Requests that follow one to which the runner gives no answer. */
static void
test_read_ahead (void)
{
  GString *bytes = g_string_new (
      "GET " SUPPORT_PLATFORM_SILENT_PATH
      " HTTP/1.1\r\nHost: h\r\nX-Basildock-Attempt-Id: a\r\n\r\n");

  append_fill (bytes, "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
               READ_AHEAD_BYTES - 1024);
  play (bytes, FDS_MAX);
}

/* More connections than the machine has descriptors, none of which sends. */
static void
test_connections (void)
{
  play (g_string_new (""), FEW_FDS_MAX);
}

/* The same, with a head that does not end. */
static void
test_connections_begun (void)
{
  play (g_string_new (POST_HEAD), FEW_FDS_MAX);
}

int
main (int argc, char **argv)
{
  char *limits = g_strdup_printf (
      "{\"maxHeaderBytes\":%d,\"maxBodyBytes\":%d,"
      "\"headerTimeoutMs\":%d,\"idleTimeoutMs\":%d}",
      HEAD_MAX_BYTES, BODY_MAX_BYTES, 2 * GUARD_S * 1000, 2 * GUARD_S * 1000);

  g_test_init (&argc, &argv, NULL);
  support_platform_start (limits);
  g_free (limits);
  g_test_add_func ("/crowd/large-chunks", test_large_chunks);
  g_test_add_func ("/crowd/small-chunks", test_small_chunks);
  g_test_add_func ("/crowd/announced", test_announced);
  g_test_add_func ("/crowd/just-sent", test_just_sent);
  g_test_add_func ("/crowd/heads", test_heads);
  g_test_add_func ("/crowd/trailers", test_trailers);
  g_test_add_func ("/crowd/extensions", test_extensions);
  g_test_add_func ("/crowd/read-ahead", test_read_ahead);
  g_test_add_func ("/crowd/connections", test_connections);
  g_test_add_func ("/crowd/connections-begun", test_connections_begun);
  return g_test_run ();
}
