#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 16384
#define VALUE_MAX_BYTES 4096
#define ITEMS_MAX 64
#define EVENTS_MAX 20000
#define BACKLOG 512
#define RESTART_DELAY_MS 300
#define WATCH_STEP_NS 5000000
#define READY_WAIT_MS 10000
#define READY_LIMIT_MS 1000
#define GATEWAY_PROGRAM "target/basildock-gateway"
/* Exit code of a gateway whose ports are taken. */
#define EXIT_START_FAILED 3

/* Common. */

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
stand_now_ms (void)
{
  static int64_t start_ms;

  if (start_ms == 0)
    start_ms = clock_ms ();
  return clock_ms () - start_ms;
}

void
stand_sleep_ms (int64_t ms)
{
  struct timespec left
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  while (ms > 0 && nanosleep (&left, &left) != 0)
    ;
}

void
stand_record_open (const char *path)
{
  stand_now_ms ();
  signal (SIGPIPE, SIG_IGN);
  record = fopen (path, "w");
  if (!record)
    stand_give_up ("the record cannot be written");
}

void
stand_record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ", (double)stand_now_ms () / 1000.0);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
stand_give_up (const char *reason)
{
  fprintf (stderr, "the case cannot run: %s\n", reason);
  stand_gateways_end ();
  _exit (STAND_NOT_RUN);
}

void
stand_thread (void *(*run) (void *context), void *context)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    stand_give_up ("no thread");
  pthread_attr_destroy (&attributes);
}

static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

int
stand_listen (const char *ip, int *port)
{
  struct sockaddr_in address = address_of (ip, *port);
  socklen_t length = sizeof address;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    stand_give_up ("no socket");
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, BACKLOG) != 0)
    stand_give_up ("no port to listen on");
  getsockname (fd, (struct sockaddr *)&address, &length);
  *port = ntohs (address.sin_port);
  return fd;
}

bool
stand_write (int fd, const void *data, size_t length)
{
  const char *at = data;

  while (length > 0)
    {
      ssize_t n = send (fd, at, length, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      length -= (size_t)n;
    }
  return true;
}

/* Copies the value of the field NAME of HEAD to VALUE. */
static void
copy_field (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *line = strstr (head, "\r\n");

  value[0] = '\0';
  for (; line && line[2] != '\r'; line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      const char *end = strstr (at, "\r\n");
      size_t n;

      if (!end || strncasecmp (at, name, length) != 0 || at[length] != ':')
        continue;
      at += length + 1;
      while (*at == ' ')
        at++;
      n = (size_t)(end - at);
      if (n >= size)
        n = size - 1;
      memcpy (value, at, n);
      value[n] = '\0';
      return;
    }
}

/* Reads up to the end of a head; any bytes after it are in HEAD, too.  Returns
   the length of the head, 0 when the connection ended. */
static size_t
read_head (int fd, char *head, size_t *filled)
{
  for (;;)
    {
      char *end;
      ssize_t n;

      head[*filled] = '\0';
      end = strstr (head, "\r\n\r\n");
      if (end)
        return (size_t)(end - head) + 4;
      if (*filled >= HEAD_MAX_BYTES - 1)
        return 0;
      n = recv (fd, head + *filled, HEAD_MAX_BYTES - 1 - *filled, 0);
      if (n <= 0)
        return 0;
      *filled += (size_t)n;
    }
}

/* The store. */

struct item
{
  char key[STAND_TEXT_BYTES];
  char value[VALUE_MAX_BYTES]; /* In base64. */
  uint64_t revision;
  bool deleted;
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  int ports[STAND_GATEWAYS_MAX];
  struct item items[ITEMS_MAX];
  size_t item_count;
  uint64_t revision;
  int64_t cut_interval_ms;
  int64_t cut_wait_ms;
  int64_t last_cut_ms[STAND_GATEWAYS_MAX];
  unsigned cut_count;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .revision = 100 };

static void
encode_base64 (const char *text, char *out)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (text);

  for (size_t i = 0; i < length; i += 3)
    {
      unsigned b0 = (unsigned char)text[i];
      unsigned b1 = i + 1 < length ? (unsigned char)text[i + 1] : 0;
      unsigned b2 = i + 2 < length ? (unsigned char)text[i + 2] : 0;
      unsigned bits = b0 << 16 | b1 << 8 | b2;

      *out++ = digits[bits >> 18 & 63];
      *out++ = digits[bits >> 12 & 63];
      *out++ = (char)(i + 1 < length ? digits[bits >> 6 & 63] : '=');
      *out++ = (char)(i + 2 < length ? digits[bits & 63] : '=');
    }
  *out = '\0';
}

static void
write_item (const char *key, const char *value)
{
  struct item *item = NULL;

  pthread_mutex_lock (&store.lock);
  for (size_t i = 0; i < store.item_count; i++)
    if (strcmp (store.items[i].key, key) == 0)
      item = &store.items[i];
  if (!item && store.item_count < ITEMS_MAX)
    item = &store.items[store.item_count++];
  if (item)
    {
      snprintf (item->key, sizeof item->key, "%s", key);
      item->revision = ++store.revision;
      item->deleted = value == NULL;
      if (value)
        encode_base64 (value, item->value);
    }
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
}

void
stand_store_put (const char *key, const char *value)
{
  if (strlen (value) * 4 / 3 + 8 > VALUE_MAX_BYTES)
    stand_give_up ("a value is too long");
  write_item (key, value);
}

void
stand_store_delete (const char *key)
{
  write_item (key, NULL);
}

void
stand_store_cut_watches (int64_t interval_ms, int64_t wait_ms)
{
  pthread_mutex_lock (&store.lock);
  store.cut_interval_ms = interval_ms;
  store.cut_wait_ms = wait_ms;
  pthread_mutex_unlock (&store.lock);
}

unsigned
stand_store_cut_count (void)
{
  return store.cut_count;
}

/* Appends the items that changed after revision AFTER, the earliest first, or
   all that exist if it is 0. */
static size_t
list_items (uint64_t after, char *out, size_t size, size_t *length)
{
  size_t count = 0;
  uint64_t last = after;

  for (;;)
    {
      const struct item *next = NULL;

      for (size_t i = 0; i < store.item_count; i++)
        if (store.items[i].revision > last
            && (!next || store.items[i].revision < next->revision))
          next = &store.items[i];
      if (!next)
        return count;
      last = next->revision;
      if (next->deleted && after == 0)
        continue;
      *length += (size_t)snprintf (out + *length, size - *length,
                                   "%s{\"key\":\"%s\",\"revision\":%llu,",
                                   count > 0 ? "," : "", next->key,
                                   (unsigned long long)next->revision);
      if (next->deleted)
        *length += (size_t)snprintf (out + *length, size - *length,
                                     "\"deleted\":true}");
      else
        *length += (size_t)snprintf (
            out + *length, size - *length,
            "\"value\":\"%s\",\"created\":%llu,\"lease\":0}", next->value,
            (unsigned long long)next->revision);
      count++;
    }
}

/* Whether the watch of a gateway that waits since SINCE_MS is cut. */
static bool
is_cut (size_t gateway, int64_t since_ms)
{
  int64_t now_ms = stand_now_ms ();

  if (store.cut_interval_ms == 0 || now_ms - since_ms < store.cut_wait_ms
      || now_ms - store.last_cut_ms[gateway] < store.cut_interval_ms)
    return false;
  store.last_cut_ms[gateway] = now_ms;
  store.cut_count++;
  return true;
}

/* Waits for changes after AFTER; returns false when the watch is cut. */
static bool
wait_for_change (size_t gateway, uint64_t after, int64_t wait_ms)
{
  int64_t since_ms = stand_now_ms ();

  while (store.revision <= after && stand_now_ms () - since_ms < wait_ms)
    {
      struct timespec until;

      if (is_cut (gateway, since_ms))
        return false;
      clock_gettime (CLOCK_MONOTONIC, &until);
      until.tv_nsec += WATCH_STEP_NS;
      if (until.tv_nsec >= 1000000000)
        {
          until.tv_sec++;
          until.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&store.changed, &store.lock, &until);
    }
  return true;
}

static uint64_t
query_number (const char *path, const char *name)
{
  const char *at = strstr (path, name);

  return at ? strtoull (at + strlen (name), NULL, 10) : 0;
}

/* Answers one call; returns false when the connection is to be closed. */
static bool
serve_store_call (size_t gateway, int fd, const char *path)
{
  static const size_t size = (size_t)ITEMS_MAX * (VALUE_MAX_BYTES + 512);
  bool is_watch = strstr (path, "/v1/kv-watch") != NULL;
  char *body = malloc (size);
  char head[STAND_TEXT_BYTES];
  size_t length = 0;
  bool open = body != NULL;
  uint64_t after = is_watch ? query_number (path, "after=") : 0;

  if (!body)
    return false;
  pthread_mutex_lock (&store.lock);
  if (is_watch)
    open = wait_for_change (gateway, after,
                            (int64_t)query_number (path, "waitMs="));
  if (!open)
    stand_record ("store cuts the watch of gateway=%zu", gateway + 1);
  length = (size_t)snprintf (body, size, "{\"%s\":[",
                             is_watch ? "events" : "items");
  list_items (after, body, size, &length);
  length += (size_t)snprintf (body + length, size - length,
                              "],\"hasMore\":false,\"storeRevision\":%llu}",
                              (unsigned long long)store.revision);
  pthread_mutex_unlock (&store.lock);
  if (open)
    {
      stand_sleep_ms (4);
      snprintf (head, sizeof head,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                length);
      open = stand_write (fd, head, strlen (head))
             && stand_write (fd, body, length);
    }
  free (body);
  return open;
}

struct store_connection
{
  size_t gateway;
  int fd;
};

static void *
serve_store_connection (void *context)
{
  struct store_connection connection
      = *(const struct store_connection *)context;
  char head[HEAD_MAX_BYTES];
  char path[STAND_TEXT_BYTES];
  size_t filled = 0;
  size_t length;

  free (context);
  while ((length = read_head (connection.fd, head, &filled)) > 0)
    {
      if (sscanf (head, "GET %255s", path) != 1
          || !serve_store_call (connection.gateway, connection.fd, path))
        break;
      filled -= length;
      memmove (head, head + length, filled);
    }
  close (connection.fd);
  return NULL;
}

static void *
run_store (void *context)
{
  struct store_connection listener = *(const struct store_connection *)context;

  free (context);
  for (;;)
    {
      struct store_connection *connection = malloc (sizeof *connection);

      if (!connection)
        stand_give_up ("no memory");
      connection->gateway = listener.gateway;
      connection->fd = accept4 (listener.fd, NULL, NULL, SOCK_CLOEXEC);
      stand_thread (serve_store_connection, connection);
    }
  return NULL;
}

void
stand_store_start (void)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&store.changed, &attributes);
  for (size_t i = 0; i < STAND_GATEWAYS_MAX; i++)
    {
      struct store_connection *listener = malloc (sizeof *listener);

      if (!listener)
        stand_give_up ("no memory");
      listener->gateway = i;
      listener->fd = stand_listen ("127.0.0.1", &store.ports[i]);
      stand_thread (run_store, listener);
    }
}

/* Runners. */

struct runner_connection
{
  struct stand_runner *runner;
  int fd;
};

static void
publish (struct stand_runner *runner)
{
  char key[STAND_TEXT_BYTES];
  char value[STAND_TEXT_BYTES * 4];

  snprintf (key, sizeof key, "servers/%s", runner->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
            "\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
            "\"state\":\"ready\",\"coldRemainingMs\":0,"
            "\"stage\":\"unified\",\"models\":[{\"name\":\"m\","
            "\"version\":1,\"adapters\":[]}],\"sequence\":%u,"
            "\"born\":%lld}",
            runner->service, runner->port, runner->zone,
            runner->version ? runner->version : "v1", runner->slots,
            runner->sequence++, (long long)runner->born_ms);
  stand_store_put (key, value);
}

static void *
run_heartbeat (void *context)
{
  struct stand_runner *runner = context;

  while (runner->published)
    {
      publish (runner);
      stand_sleep_ms (STAND_HEARTBEAT_MS);
    }
  return NULL;
}

bool
stand_answer (int fd, const struct stand_request *request, int status,
              const char *fields, const char *body, size_t length)
{
  char head[STAND_TEXT_BYTES * 4];

  snprintf (head, sizeof head,
            "HTTP/1.1 %d Answer\r\nX-Basildock-Attempt-Id: %s\r\n%s"
            "X-Basildock-Response-Signature: signed\r\n"
            "Content-Length: %zu\r\n\r\n",
            status, request->id, fields, length);
  return stand_write (fd, head, strlen (head))
         && stand_write (fd, body, length);
}

/* Reads the rest of a body of LENGTH bytes, of which FILLED are in HEAD. */
static bool
skip_body (int fd, size_t length, size_t *filled, char *data)
{
  char bytes[HEAD_MAX_BYTES];

  if (*filled >= length)
    {
      *filled -= length;
      memmove (data, data + length, *filled);
      return true;
    }
  length -= *filled;
  *filled = 0;
  while (length > 0)
    {
      size_t want = length < sizeof bytes ? length : sizeof bytes;
      ssize_t n = recv (fd, bytes, want, 0);

      if (n <= 0)
        return false;
      length -= (size_t)n;
    }
  return true;
}

static pthread_mutex_t held_lock = PTHREAD_MUTEX_INITIALIZER;

void
stand_runner_hold (struct stand_runner *runner,
                   const struct stand_request *request)
{
  const char *comma = strrchr (request->prefix, ',');
  const char *part = comma ? comma + 1 : request->prefix;
  int length = (int)strcspn (part, ":");
  char entry[STAND_TEXT_BYTES * 2];

  snprintf (entry, sizeof entry, "%s[\"\",\"%.*s\",%d,\"m\"]",
            runner->held_length > 0 ? "," : "", length, part,
            atoi (part + length + 1));
  pthread_mutex_lock (&held_lock);
  if (runner->held_length + strlen (entry) < sizeof runner->held)
    {
      memcpy (runner->held + runner->held_length, entry, strlen (entry) + 1);
      runner->held_length += strlen (entry);
    }
  pthread_mutex_unlock (&held_lock);
}

/* Answers which parts of prompts the runner holds. */
static bool
answer_list (struct stand_runner *runner, int fd,
             const struct stand_request *request)
{
  char body[STAND_HELD_BYTES + STAND_TEXT_BYTES];

  pthread_mutex_lock (&held_lock);
  snprintf (body, sizeof body, "{\"epoch\":1,\"next\":1,\"held\":[%s]}",
            runner->held);
  pthread_mutex_unlock (&held_lock);
  return stand_answer (fd, request, 200, "", body, strlen (body));
}

static bool
serve_request (struct stand_runner *runner, int fd,
               const struct stand_request *request)
{
  static const char misdirected[]
      = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";

  if (strncmp (request->path, "/v1/kv-list", 11) == 0)
    return answer_list (runner, fd, request);
  if (strcmp (request->instance, runner->id) != 0)
    return stand_write (fd, misdirected, sizeof misdirected - 1);
  return runner->serve (runner, fd, request);
}

static pthread_mutex_t connections_lock = PTHREAD_MUTEX_INITIALIZER;

/* Replaces the socket FROM in the runner's connections by TO. */
static void
replace_connection (struct stand_runner *runner, int from, int to)
{
  pthread_mutex_lock (&connections_lock);
  for (size_t i = 0; i < STAND_CONNECTIONS_MAX; i++)
    if (runner->connections[i] == from)
      {
        runner->connections[i] = to;
        break;
      }
  pthread_mutex_unlock (&connections_lock);
}

/* Lets the next close () reset the connection, as when a process ends. */
static void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void *
serve_runner_connection (void *context)
{
  struct runner_connection connection
      = *(const struct runner_connection *)context;
  struct stand_request request;
  char head[HEAD_MAX_BYTES];
  char length_text[STAND_ID_BYTES];
  size_t filled = 0;
  size_t length;
  bool open = true;

  free (context);
  while (open && (length = read_head (connection.fd, head, &filled)) > 0)
    {
      memset (&request, 0, sizeof request);
      if (connection.runner->ended
          || sscanf (head, "%63s %255s", request.method, request.path) != 2)
        break;
      copy_field (head, "X-Basildock-Attempt-Id", request.id,
                  sizeof request.id);
      copy_field (head, "X-Basildock-Target-Instance", request.instance,
                  sizeof request.instance);
      copy_field (head, "Last-Event-Id", request.last_event_id,
                  sizeof request.last_event_id);
      copy_field (head, "X-Basildock-Prefix-Hash", request.prefix,
                  sizeof request.prefix);
      copy_field (head, "Content-Length", length_text, sizeof length_text);
      filled -= length;
      memmove (head, head + length, filled);
      open = skip_body (connection.fd, strtoul (length_text, NULL, 10),
                        &filled, head)
             && serve_request (connection.runner, connection.fd, &request)
             && !connection.runner->ended;
    }
  if (connection.runner->ended)
    reset_connection (connection.fd);
  replace_connection (connection.runner, connection.fd, 0);
  close (connection.fd);
  return NULL;
}

static void *
expire_entry (void *context)
{
  stand_sleep_ms ((int64_t)3 * STAND_HEARTBEAT_MS);
  stand_runner_remove (context);
  return NULL;
}

void
stand_runner_crash (struct stand_runner *runner)
{
  runner->published = false;
  runner->ended = true;
  shutdown (runner->listener, SHUT_RDWR);
  pthread_mutex_lock (&connections_lock);
  for (size_t i = 0; i < STAND_CONNECTIONS_MAX; i++)
    if (runner->connections[i] != 0)
      {
        reset_connection (runner->connections[i]);
        shutdown (runner->connections[i], SHUT_RDWR);
      }
  pthread_mutex_unlock (&connections_lock);
  stand_thread (expire_entry, runner);
}

static void *
run_runner (void *context)
{
  struct stand_runner *runner = context;
  int listener = stand_listen ("127.0.0.1", &runner->port);

  runner->listener = listener;
  runner->published = true;
  stand_thread (run_heartbeat, runner);
  while (!runner->ended)
    {
      struct pollfd waiting = { .fd = listener, .events = POLLIN };
      struct runner_connection *connection;
      int one = 1;

      if (poll (&waiting, 1, 50) <= 0)
        continue;
      connection = malloc (sizeof *connection);
      if (!connection)
        stand_give_up ("no memory");
      connection->runner = runner;
      connection->fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (connection->fd < 0)
        {
          free (connection);
          break;
        }
      setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      replace_connection (runner, 0, connection->fd);
      stand_thread (serve_runner_connection, connection);
    }
  close (listener);
  return NULL;
}

void
stand_runner_start (struct stand_runner *runner)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  runner->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  stand_thread (run_runner, runner);
  while (!runner->published)
    stand_sleep_ms (5);
}

void
stand_runner_remove (struct stand_runner *runner)
{
  char key[STAND_TEXT_BYTES];

  runner->published = false;
  snprintf (key, sizeof key, "servers/%s", runner->id);
  stand_store_delete (key);
}

/* Gateways. */

static struct
{
  struct stand_gateway *all;
  size_t count;
  char folder[STAND_TEXT_BYTES];
  int internal_port;
} fleet;

/* Returns a free TCP port at IP. */
static int
free_port (const char *ip)
{
  int port = 0;

  close (stand_listen (ip, &port));
  return port;
}

static void
write_settings (size_t index, const char *path)
{
  const struct stand_gateway *gateway = &fleet.all[index];
  FILE *file = fopen (path, "w");

  if (!file)
    stand_give_up ("the settings cannot be written");
  fprintf (file,
           "{\"instance\": \"edge-%zu\", \"zone\": \"bole\", \"ip\": \"%s\","
           " \"callers\": \"%s:%d\", \"readiness\": \"%s:%d\","
           " \"internal_port\": %d, \"seeds\": [\"%s:1\"],"
           " \"store\": \"127.0.0.1:%d\", \"store_silence_ms\": %d,"
           " \"cpu_share\": 0.19, \"cores\": 1, \"grace_s\": %d,"
           " \"retry_ratio\": 0.2, \"retry_slack\": 56,"
           " \"retry_window_s\": 10}\n",
           index + 1, gateway->ip, gateway->ip, gateway->callers_port,
           gateway->ip, gateway->readiness_port, fleet.internal_port,
           fleet.all[0].ip, store.ports[index], STAND_STABLE_MS,
           STAND_GRACE_S);
  fclose (file);
}

/* Runs the program of the deploy file in the child process. */
static void
exec_gateway (char *environment, int log)
{
  char *arguments[] = { (char *)GATEWAY_PROGRAM, NULL };
  char *variables[] = { environment, NULL };

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  execve (GATEWAY_PROGRAM, arguments, variables);
  _exit (EXIT_START_FAILED);
}

/* Runs one gateway, again and again as the platform does. */
static void *
run_gateway (void *context)
{
  struct stand_gateway *gateway = context;
  size_t index = (size_t)(gateway - fleet.all);
  char settings[STAND_TEXT_BYTES * 2];
  char environment[STAND_TEXT_BYTES * 3];
  char log_path[STAND_TEXT_BYTES * 2];
  int log;
  int status;

  snprintf (settings, sizeof settings, "%s/edge-%zu.json", fleet.folder,
            index + 1);
  snprintf (environment, sizeof environment, "BASILDOCK_SETTINGS=%s",
            settings);
  snprintf (log_path, sizeof log_path, "%s/edge-%zu.log", fleet.folder,
            index + 1);
  write_settings (index, settings);
  log = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  while (!gateway->stopping)
    {
      pid_t pid = fork ();

      if (pid == 0)
        exec_gateway (environment, log);
      if (pid < 0)
        stand_give_up ("no process");
      gateway->started_ms = stand_now_ms ();
      gateway->pid = pid;
      waitpid (pid, &status, 0);
      gateway->pid = 0;
      if (gateway->stopping)
        break;
      if (gateway->killed)
        {
          gateway->killed = false;
          stand_record ("gateway=%zu has ended", index + 1);
          stand_sleep_ms (RESTART_DELAY_MS);
          continue;
        }
      if (WIFEXITED (status) && WEXITSTATUS (status) == EXIT_START_FAILED)
        stand_give_up ("a gateway could not start");
      gateway->ends++;
      stand_record ("gateway=%zu ended by itself signal=%d exit=%d ends=%u",
                    index + 1, WIFSIGNALED (status) ? WTERMSIG (status) : 0,
                    WIFEXITED (status) ? WEXITSTATUS (status) : 0,
                    gateway->ends);
      stand_sleep_ms (RESTART_DELAY_MS);
    }
  close (log);
  return NULL;
}

void
stand_gateways_start (struct stand_gateway *gateways, size_t count,
                      const char *folder)
{
  int64_t until_ms = stand_now_ms () + READY_WAIT_MS;

  fleet.all = gateways;
  fleet.count = count;
  snprintf (fleet.folder, sizeof fleet.folder, "%s", folder);
  for (size_t i = 0; i < count; i++)
    {
      /* Addresses of its own for each run. */
      snprintf (gateways[i].ip, sizeof gateways[i].ip, "127.%d.%d.%zu",
                1 + getpid () % 250, getpid () / 250 % 250, 11 + i);
      if (i == 0)
        fleet.internal_port = free_port (gateways[0].ip);
      gateways[i].callers_port = free_port (gateways[i].ip);
      gateways[i].readiness_port = free_port (gateways[i].ip);
      stand_thread (run_gateway, &gateways[i]);
    }
  for (size_t i = 0; i < count; i++)
    while (!stand_gateway_ready (&gateways[i]))
      {
        stand_sleep_ms (50);
        if (stand_now_ms () > until_ms)
          stand_give_up ("a gateway did not become ready");
      }
}

void
stand_gateways_kill (void)
{
  for (size_t i = 0; i < fleet.count; i++)
    if (fleet.all[i].pid > 0)
      {
        fleet.all[i].killed = true;
        kill (fleet.all[i].pid, SIGKILL);
      }
}

void
stand_gateways_end (void)
{
  for (size_t i = 0; i < fleet.count; i++)
    fleet.all[i].stopping = true;
  for (size_t i = 0; i < fleet.count; i++)
    if (fleet.all[i].pid > 0)
      kill (fleet.all[i].pid, SIGKILL);
  for (size_t i = 0; i < fleet.count; i++)
    for (int n = 0; fleet.all[i].pid > 0 && n < 100; n++)
      stand_sleep_ms (10);
}

/* Callers. */

static int
connect_to (const char *ip, int port)
{
  struct sockaddr_in address = address_of (ip, port);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
stand_gateway_ready (const struct stand_gateway *gateway)
{
  return stand_gateway_answers (gateway, READY_LIMIT_MS);
}

bool
stand_gateway_answers (const struct stand_gateway *gateway, int64_t limit_ms)
{
  static const char request[] = "GET /v1/readyz HTTP/1.1\r\nHost: balancer\r\n"
                                "Connection: close\r\n\r\n";
  int fd = connect_to (gateway->ip, gateway->readiness_port);
  struct timeval limit = { .tv_sec = limit_ms / 1000 };
  char head[HEAD_MAX_BYTES];
  size_t filled = 0;
  bool ready = false;

  if (fd < 0)
    return false;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (stand_write (fd, request, sizeof request - 1)
      && read_head (fd, head, &filled) > 0)
    ready = strncmp (head, "HTTP/1.1 200", 12) == 0;
  close (fd);
  return ready;
}

/* The bytes of an answer, as they are read. */
struct answer
{
  struct stand_caller *caller;
  int64_t until_ms;
  char data[HEAD_MAX_BYTES];
  size_t filled;
  bool timed_out;
};

/* Reads more bytes; returns false at the end of the connection. */
static bool
read_more (struct answer *answer)
{
  struct stand_caller *caller = answer->caller;
  struct pollfd waiting = { .fd = caller->fd, .events = POLLIN };
  int64_t left_ms = answer->until_ms - stand_now_ms ();
  size_t room = sizeof answer->data - 1 - answer->filled;
  ssize_t n;

  if (left_ms <= 0 || poll (&waiting, 1, (int)left_ms) <= 0)
    {
      answer->timed_out = true;
      return false;
    }
  n = recv (caller->fd, answer->data + answer->filled, room, 0);
  if (n <= 0)
    return false;
  answer->filled += (size_t)n;
  answer->data[answer->filled] = '\0';
  return true;
}

static void
discard (struct answer *answer, size_t length)
{
  answer->filled -= length;
  memmove (answer->data, answer->data + length, answer->filled + 1);
}

/* Reads LENGTH bytes of the body, whose number is added to *TOTAL; without
   TOTAL they are none of it. */
static bool
read_body (struct answer *answer, size_t length, size_t *total)
{
  while (length > 0)
    {
      size_t n = answer->filled < length ? answer->filled : length;

      if (total && answer->caller->on_body)
        answer->caller->on_body (answer->caller->context, answer->data, n);
      discard (answer, n);
      if (total)
        *total += n;
      length -= n;
      if (length > 0 && !read_more (answer))
        return false;
    }
  return true;
}

static bool
read_chunks (struct answer *answer, size_t *total)
{
  for (;;)
    {
      char *end;
      size_t length;

      while (!(end = strstr (answer->data, "\r\n")))
        if (!read_more (answer))
          return false;
      length = strtoul (answer->data, NULL, 16);
      discard (answer, (size_t)(end - answer->data) + 2);
      if (!read_body (answer, length, total) || !read_body (answer, 2, NULL))
        return false;
      if (length == 0)
        return true;
    }
}

static void
close_caller (struct stand_caller *caller)
{
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}

static void
read_answer (struct answer *answer, struct stand_result *result)
{
  char text[STAND_ID_BYTES];
  char *end;
  bool close_after;

  answer->data[0] = '\0';
  while (!(end = strstr (answer->data, "\r\n\r\n")))
    if (!read_more (answer))
      {
        close_caller (answer->caller);
        return;
      }
  if (sscanf (answer->data, "HTTP/1.1 %d", &result->status) != 1)
    result->status = -1;
  copy_field (answer->data, "Connection", text, sizeof text);
  close_after = strcasecmp (text, "close") == 0;
  copy_field (answer->data, "Transfer-Encoding", text, sizeof text);
  if (text[0] == '\0')
    {
      copy_field (answer->data, "Content-Length", text, sizeof text);
      discard (answer, (size_t)(end - answer->data) + 4);
      result->complete
          = read_body (answer, strtoul (text, NULL, 10), &result->length);
    }
  else
    {
      discard (answer, (size_t)(end - answer->data) + 4);
      result->complete = read_chunks (answer, &result->length);
    }
  if (close_after || !result->complete)
    close_caller (answer->caller);
}

struct stand_result
stand_call (struct stand_caller *caller, const char *method, const char *path,
            const char *id, const char *fields, int64_t limit_ms)
{
  struct stand_result result = { 0 };
  int64_t start_ms = stand_now_ms ();
  struct answer *answer = calloc (1, sizeof *answer);
  char head[STAND_TEXT_BYTES * 4];

  if (!answer)
    stand_give_up ("no memory");
  answer->caller = caller;
  answer->until_ms = start_ms + limit_ms;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: review.example\r\n"
            "X-Basildock-Attempt-Id: %s\r\nX-Basildock-Deadline-Ms: %lld\r\n"
            "Authorization: Token key-of-review\r\n%s%s\r\n",
            method, path, id, (long long)limit_ms, fields,
            strcmp (method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
  if (caller->fd < 0)
    caller->fd
        = connect_to (caller->gateway->ip, caller->gateway->callers_port);
  result.refused = caller->fd < 0;
  if (!result.refused && stand_write (caller->fd, head, strlen (head)))
    read_answer (answer, &result);
  else
    close_caller (caller);
  result.timed_out = answer->timed_out;
  if (result.timed_out)
    close_caller (caller);
  result.ms = stand_now_ms () - start_ms;
  free (answer);
  return result;
}
