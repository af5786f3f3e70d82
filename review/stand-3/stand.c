#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define READINESS_PORT 8220
#define CONTROL_PORT 8229
#define INTERNAL_PORT 7340
#define STORE_PORT 8223
#define MS_PER_S 1000
#define READY_LIMIT_MS 20000
#define LAPSE_MS ((int64_t)3 * STAND_HEARTBEAT_MS)
#define ENTRY_CHECK_MS 100
#define STACK_BYTES ((size_t)256 * 1024)
#define PROGRAM "target/basildock-gateway"

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t begun_ms;
static int net;
static char folder_path[256];
static pid_t started[64];
static size_t started_count;

/* Clock, record and addresses. */

static int64_t
clock_ms (clockid_t id)
{
  struct timespec t;

  clock_gettime (id, &t);
  return (int64_t)t.tv_sec * MS_PER_S + t.tv_nsec / 1000000;
}

int64_t
stand_now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC) - begun_ms;
}

void
stand_sleep_ms (int64_t ms)
{
  struct timespec t = { ms / MS_PER_S, ms % MS_PER_S * 1000000 };

  if (ms > 0)
    nanosleep (&t, NULL);
}

void
stand_record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%7lld ", (long long)stand_now_ms ());
  vfprintf (record, format, args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
  va_end (args);
}

bool
stand_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return !value || strcmp (value, "0") != 0;
}

void
stand_format_ip (int host, char ip[STAND_IP_BYTES])
{
  snprintf (ip, STAND_IP_BYTES, "127.%d.7.%d", net, host);
}

/* Ends the case, which could not run. */
static void
give_up (const char *reason)
{
  stand_record ("not run: %s", reason);
  stand_end ();
  exit (STAND_NOT_RUN);
}

void
stand_begin (const char *folder)
{
  char path[320];

  signal (SIGPIPE, SIG_IGN);
  begun_ms = clock_ms (CLOCK_MONOTONIC);
  net = 20 + (int)getpid () % 200;
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record = fopen (path, "w");
  snprintf (folder_path, sizeof folder_path, "/tmp/review-3-XXXXXX");
  if (!record || !mkdtemp (folder_path))
    exit (STAND_NOT_RUN);
  stand_record ("trouble=%d", stand_trouble ());
}

void
stand_end (void)
{
  char path[320];

  for (size_t i = 0; i < started_count; i++)
    if (started[i] > 0)
      {
        kill (started[i], SIGKILL);
        waitpid (started[i], NULL, 0);
      }
  started_count = 0;
  for (int i = 1; i <= STAND_GATEWAYS; i++)
    {
      snprintf (path, sizeof path, "%s/%d.json", folder_path, i);
      unlink (path);
      snprintf (path, sizeof path, "%s/%d.log", folder_path, i);
      unlink (path);
    }
  rmdir (folder_path);
}

void
stand_thread (void *(*run) (void *), void *context)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    give_up ("no thread");
  pthread_attr_destroy (&attributes);
}

/* Connections. */

static struct sockaddr_in
address_of (int host, int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  char ip[STAND_IP_BYTES];

  stand_format_ip (host, ip);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static void
set_no_delay (int fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool
stand_connect (struct stand_conn *conn, int host, int port)
{
  struct sockaddr_in address = address_of (host, port);

  *conn = (struct stand_conn){ .fd = socket (AF_INET,
                                             SOCK_STREAM | SOCK_CLOEXEC, 0) };
  if (conn->fd < 0)
    return false;
  set_no_delay (conn->fd);
  if (connect (conn->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  stand_close (conn);
  return false;
}

void
stand_close (struct stand_conn *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  free (conn->data);
  *conn = (struct stand_conn){ .fd = -1 };
}

void
stand_set_read_limit (const struct stand_conn *conn, int64_t ms)
{
  struct timeval t = { ms / MS_PER_S, ms % MS_PER_S * 1000 };

  setsockopt (conn->fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
}

bool
stand_write (const struct stand_conn *conn, const void *data, size_t length)
{
  const char *at = data;

  while (length > 0)
    {
      ssize_t n = send (conn->fd, at, length, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      length -= (size_t)n;
    }
  return true;
}

bool
stand_write_text (const struct stand_conn *conn, const char *text)
{
  return stand_write (conn, text, strlen (text));
}

/* Reads more bytes ahead.  Returns false at the end. */
static bool
fill (struct stand_conn *conn)
{
  ssize_t n;

  if (conn->length == conn->capacity)
    {
      size_t capacity = conn->capacity ? conn->capacity * 2 : 65536;
      char *data = realloc (conn->data, capacity);

      if (!data)
        return false;
      conn->data = data;
      conn->capacity = capacity;
    }
  do
    n = recv (conn->fd, conn->data + conn->length,
              conn->capacity - conn->length, 0);
  while (n < 0 && errno == EINTR);
  if (n <= 0)
    return false;
  conn->length += (size_t)n;
  return true;
}

static void
consume (struct stand_conn *conn, size_t length)
{
  memmove (conn->data, conn->data + length, conn->length - length);
  conn->length -= length;
}

bool
stand_read_head (struct stand_conn *conn, char head[STAND_HEAD_BYTES])
{
  const char *end = NULL;
  size_t length;

  while (conn->length == 0
         || !(end = memmem (conn->data, conn->length, "\r\n\r\n", 4)))
    if (!fill (conn))
      return false;
  length = (size_t)(end - conn->data) + 4;
  if (length >= STAND_HEAD_BYTES)
    return false;
  memcpy (head, conn->data, length);
  head[length] = '\0';
  consume (conn, length);
  return true;
}

bool
stand_field (const char *head, const char *name, char *value, size_t size)
{
  size_t name_length = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line && line[2];
       line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;

      if (strncasecmp (at, name, name_length) != 0 || at[name_length] != ':')
        continue;
      at += name_length + 1;
      while (*at == ' ')
        at++;
      snprintf (value, size, "%.*s", (int)strcspn (at, "\r"), at);
      return true;
    }
  return false;
}

size_t
stand_read_some (struct stand_conn *conn, char *data, size_t max)
{
  size_t length;

  if (conn->length == 0 && !fill (conn))
    return 0;
  length = conn->length < max ? conn->length : max;
  memcpy (data, conn->data, length);
  consume (conn, length);
  return length;
}

/* Reads LENGTH bytes into DATA, or drops them if that is NULL. */
static bool
read_exactly (struct stand_conn *conn, char *data, size_t length)
{
  char dropped[16384];

  while (length > 0)
    {
      size_t max = length < sizeof dropped ? length : sizeof dropped;
      size_t n = stand_read_some (conn, dropped, max);

      if (n == 0)
        return false;
      if (data)
        {
          memcpy (data, dropped, n);
          data += n;
        }
      length -= n;
    }
  return true;
}

bool
stand_skip_body (struct stand_conn *conn, const char *head)
{
  char value[32];

  if (!stand_field (head, "Content-Length", value, sizeof value))
    return true;
  return read_exactly (conn, NULL, strtoull (value, NULL, 10));
}

/* Reads LENGTH bytes to the end of the body. */
static bool
append_body (struct stand_conn *conn, struct stand_reply *reply, size_t length)
{
  char *body = realloc (reply->body, reply->length + length + 1);

  if (!body)
    return false;
  reply->body = body;
  for (size_t i = 0; i < length; i++)
    {
      if (!read_exactly (conn, body + reply->length, 1))
        return false;
      body[++reply->length] = '\0';
    }
  return true;
}

static bool
read_line (struct stand_conn *conn, char *line, size_t size)
{
  size_t length = 0;

  while (length + 1 < size && read_exactly (conn, line + length, 1))
    if (line[length++] == '\n')
      {
        line[length] = '\0';
        return true;
      }
  return false;
}

static bool
read_chunks (struct stand_conn *conn, struct stand_reply *reply)
{
  char line[64];

  while (read_line (conn, line, sizeof line))
    {
      size_t length = strtoul (line, NULL, 16);

      if (length == 0)
        return read_line (conn, line, sizeof line);
      if (!append_body (conn, reply, length)
          || !read_line (conn, line, sizeof line))
        return false;
    }
  return false;
}

void
stand_read_reply (struct stand_conn *conn, struct stand_reply *reply)
{
  char value[64];

  memset (reply, 0, sizeof *reply);
  if (!stand_read_head (conn, reply->head))
    return;
  reply->status = (int)strtol (reply->head + strlen ("HTTP/1.1 "), NULL, 10);
  if (stand_field (reply->head, "Transfer-Encoding", value, sizeof value))
    reply->complete = read_chunks (conn, reply);
  else if (stand_field (reply->head, "Content-Length", value, sizeof value))
    reply->complete = append_body (conn, reply, strtoul (value, NULL, 10));
}

void
stand_clear_reply (struct stand_reply *reply)
{
  free (reply->body);
  reply->body = NULL;
}

/* Listeners. */

static int
listen_at (int host, int port)
{
  struct sockaddr_in address = address_of (host, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 512) != 0)
    give_up ("cannot listen");
  return fd;
}

/* The store. */

struct version
{
  char *key;
  char *value; /* In base64; NULL: deleted. */
  uint64_t created;
};

/* The version at index I has revision I + 1. */
static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct version *versions;
  size_t count;
  size_t capacity;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER };

static char *
encode_base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (text);
  char *out = malloc ((length + 2) / 3 * 4 + 1);
  char *at = out;

  if (!out)
    give_up ("no memory");
  for (size_t i = 0; i < length; i += 3)
    {
      uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

      if (i + 1 < length)
        bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < length)
        bits |= (unsigned char)text[i + 2];
      *at++ = digits[bits >> 18];
      *at++ = digits[bits >> 12 & 63];
      *at++ = '=';
      *at++ = '=';
      if (i + 1 < length)
        at[-2] = digits[bits >> 6 & 63];
      if (i + 2 < length)
        at[-1] = digits[bits & 63];
    }
  *at = '\0';
  return out;
}

/* Returns the newest version of KEY, or NULL. */
static const struct version *
newest (const char *key)
{
  for (size_t i = store.count; i > 0; i--)
    if (strcmp (store.versions[i - 1].key, key) == 0)
      return &store.versions[i - 1];
  return NULL;
}

void
stand_store_write (const char *key, const char *value)
{
  const struct version *before;
  struct version version = { .key = strdup (key) };

  pthread_mutex_lock (&store.lock);
  before = newest (key);
  version.value = value ? encode_base64 (value) : NULL;
  version.created
      = before && before->value ? before->created : store.count + 1;
  if (store.count == store.capacity)
    {
      store.capacity = store.capacity ? store.capacity * 2 : 256;
      store.versions
          = realloc (store.versions, store.capacity * sizeof *store.versions);
      if (!store.versions)
        give_up ("no memory");
    }
  store.versions[store.count++] = version;
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
}

static void
write_version (FILE *out, size_t index, bool first)
{
  const struct version *version = &store.versions[index];

  fprintf (out, "%s{\"key\":\"%s\",\"revision\":%zu", first ? "" : ",",
           version->key, index + 1);
  if (version->value)
    fprintf (out, ",\"value\":\"%s\",\"created\":%llu,\"lease\":0}",
             version->value, (unsigned long long)version->created);
  else
    fputs (",\"deleted\":true}", out);
}

static void
write_range (FILE *out)
{
  bool first = true;

  fputs ("{\"items\":[", out);
  for (size_t i = 0; i < store.count; i++)
    if (store.versions[i].value
        && newest (store.versions[i].key) == &store.versions[i])
      {
        write_version (out, i, first);
        first = false;
      }
  fprintf (out, "],\"hasMore\":false,\"storeRevision\":%zu}", store.count);
}

static void
write_events (FILE *out, size_t after)
{
  fputs ("{\"events\":[", out);
  for (size_t i = after; i < store.count; i++)
    write_version (out, i, i == after);
  fprintf (out, "],\"storeRevision\":%zu}", store.count);
}

static void
wait_for_change (size_t after, int64_t wait_ms)
{
  int64_t until_ms = clock_ms (CLOCK_REALTIME) + wait_ms;
  struct timespec until
      = { until_ms / MS_PER_S, until_ms % MS_PER_S * 1000000 };

  while (store.count <= after
         && pthread_cond_timedwait (&store.changed, &store.lock, &until) == 0)
    ;
}

static size_t
query_number (const char *head, const char *name)
{
  const char *at = strstr (head, name);

  return at ? strtoul (at + strlen (name), NULL, 10) : 0;
}

static bool
answer_store_call (const struct stand_conn *conn, const char *head)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  char line[128];
  bool written;

  if (!out)
    return false;
  pthread_mutex_lock (&store.lock);
  if (strstr (head, "/v1/kv-watch"))
    {
      size_t after = query_number (head, "after=");

      wait_for_change (after, (int64_t)query_number (head, "waitMs="));
      write_events (out, after);
    }
  else
    write_range (out);
  pthread_mutex_unlock (&store.lock);
  fclose (out);
  snprintf (line, sizeof line,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n",
            length);
  written = stand_write_text (conn, line) && stand_write (conn, text, length);
  free (text);
  return written;
}

static void *
serve_store (void *context)
{
  struct stand_conn conn = { .fd = (int)(intptr_t)context };
  char head[STAND_HEAD_BYTES];

  set_no_delay (conn.fd);
  while (stand_read_head (&conn, head) && answer_store_call (&conn, head))
    ;
  stand_close (&conn);
  return NULL;
}

static void *
accept_store (void *context)
{
  int listener = (int)(intptr_t)context;
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    stand_thread (serve_store, (void *)(intptr_t)fd);
  return NULL;
}

void
stand_store_start (void)
{
  int listener = listen_at (STAND_STORE_HOST, STORE_PORT);

  stand_thread (accept_store, (void *)(intptr_t)listener);
}

void
stand_store_configure (void)
{
  static const char state[]
      = "{\"version\":7,\"routes\":["
        "{\"name\":\"r-carcass\",\"host\":\"" STAND_HOST "\","
        "\"prefix\":\"/carcass/\",\"type\":\"streaming\",\"timeoutMs\":12000,"
        "\"sloMs\":2000,\"priority\":2,\"service\":\"yield-model\","
        "\"maxAttempts\":1,\"public\":false,\"sticky\":true,"
        "\"resumable\":false,\"targetGapMs\":1000},"
        "{\"name\":\"r-cut\",\"host\":\"" STAND_HOST "\","
        "\"prefix\":\"/cut/\",\"type\":\"streaming\",\"timeoutMs\":6000,"
        "\"sloMs\":800,\"priority\":1,\"service\":\"yield-model\","
        "\"maxAttempts\":2,\"public\":false,\"sticky\":true,"
        "\"resumable\":true,\"targetGapMs\":400},"
        "{\"name\":\"r-order\",\"host\":\"" STAND_HOST "\","
        "\"prefix\":\"/order/\",\"type\":\"non_idempotent\","
        "\"timeoutMs\":800,\"sloMs\":300,\"priority\":2,"
        "\"service\":\"order-desk\",\"maxAttempts\":1,\"public\":false,"
        "\"sticky\":false,\"resumable\":false},"
        "{\"name\":\"r-stock\",\"host\":\"" STAND_HOST "\","
        "\"prefix\":\"/stock/\",\"type\":\"idempotent\",\"timeoutMs\":800,"
        "\"sloMs\":300,\"priority\":2,\"service\":\"order-desk\","
        "\"maxAttempts\":2,\"public\":false,\"sticky\":false,"
        "\"resumable\":false}],"
        "\"services\":[{\"name\":\"yield-model\",\"healthPath\":\"/healthz\","
        "\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,"
        "\"engine\":{\"slots\":64,\"kvCapacity\":670862,\"kvBytes\":18432,"
        "\"linkMbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":3,"
        "\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleTtlS\":5.0,"
        "\"models\":[{\"name\":\"m\"}]}},"
        "{\"name\":\"order-desk\",\"healthPath\":\"/healthz\","
        "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" STAND_KEY
        "\"],\"priority\":1}]}";

  stand_store_write ("op/config", state);
}

/* Runners. */

static void
write_entry (struct stand_runner *runner)
{
  char key[80];
  char value[512];
  char ip[STAND_IP_BYTES];
  static const char *const zones[] = { "bole", "akaki", "kality" };

  stand_format_ip (runner->host, ip);
  snprintf (key, sizeof key, "servers/%s", runner->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"%s\",\"slots\":%d,\"state\":\"ready\","
            "\"coldRemainingMs\":0,\"stage\":\"unified\",\"models\":[{"
            "\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            "\"sequence\":0,\"born\":%lld}",
            runner->service, ip, STAND_RUNNER_PORT, zones[runner->host % 3],
            runner->version, runner->slots, (long long)runner->born_ms);
  stand_store_write (key, value);
  runner->written_ms = stand_now_ms ();
  runner->listed = true;
  runner->entry_stale = false;
}

/* The entry changes when more than "sequence" changes, so it is written again
   only after a start.  The store removes it after three heartbeats without a
   word. */
static void *
keep_entry (void *context)
{
  struct stand_runner *runner = context;
  char key[80];

  for (;;)
    {
      stand_sleep_ms (ENTRY_CHECK_MS);
      pthread_mutex_lock (&runner->lock);
      if (runner->up && runner->entry_stale
          && stand_now_ms () - runner->started_ms >= STAND_HEARTBEAT_MS)
        write_entry (runner);
      else if (runner->up && runner->listed)
        runner->written_ms = stand_now_ms ();
      else if (!runner->up && runner->listed
               && stand_now_ms () - runner->written_ms > LAPSE_MS)
        {
          snprintf (key, sizeof key, "servers/%s", runner->id);
          stand_store_write (key, NULL);
          runner->listed = false;
        }
      pthread_mutex_unlock (&runner->lock);
    }
  return NULL;
}

struct runner_conn
{
  struct stand_runner *runner;
  int fd;
};

/* Replaces the descriptor FROM in the runner's list by TO. */
static void
change_fd (struct stand_runner *runner, int from, int to)
{
  pthread_mutex_lock (&runner->lock);
  for (size_t i = 0; i < sizeof runner->fds / sizeof runner->fds[0]; i++)
    if (runner->fds[i] == from)
      {
        runner->fds[i] = to;
        break;
      }
  pthread_mutex_unlock (&runner->lock);
}

static bool
answer_list (const struct stand_conn *conn)
{
  static const char body[] = "{\"epoch\":1,\"next\":1,\"held\":[]}";
  char text[256];

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  return stand_write_text (conn, text);
}

static void *
serve_runner (void *context)
{
  struct runner_conn *given = context;
  struct stand_runner *runner = given->runner;
  struct stand_conn conn = { .fd = given->fd };
  char head[STAND_HEAD_BYTES];
  bool usable = true;

  free (given);
  set_no_delay (conn.fd);
  while (usable && stand_read_head (&conn, head))
    {
      usable = stand_skip_body (&conn, head);
      if (!usable)
        break;
      if (strncmp (head, "GET /v1/kv-list", strlen ("GET /v1/kv-list")) == 0)
        usable = answer_list (&conn);
      else
        usable = runner->serve (runner, &conn, head);
    }
  change_fd (runner, conn.fd, -1);
  stand_close (&conn);
  return NULL;
}

static void *
accept_runner (void *context)
{
  struct runner_conn *given = context;
  struct stand_runner *runner = given->runner;
  int listener = given->fd;
  int fd;

  free (given);
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      struct runner_conn *conn = malloc (sizeof *conn);

      if (!conn)
        give_up ("no memory");
      *conn = (struct runner_conn){ runner, fd };
      change_fd (runner, -1, fd);
      stand_thread (serve_runner, conn);
    }
  close (listener);
  return NULL;
}

/* Starts the runner's process; LOCK is held or not needed yet. */
static void
begin_process (struct stand_runner *runner, bool same_id)
{
  struct runner_conn *given = malloc (sizeof *given);

  if (!given)
    give_up ("no memory");
  runner->starts++;
  runner->born_ms = clock_ms (CLOCK_REALTIME);
  runner->started_ms = stand_now_ms ();
  if (!same_id)
    snprintf (runner->id, sizeof runner->id, "i-%d-%d", runner->host,
              runner->starts);
  runner->listener = listen_at (runner->host, STAND_RUNNER_PORT);
  runner->up = true;
  *given = (struct runner_conn){ runner, runner->listener };
  stand_thread (accept_runner, given);
}

void
stand_runner_create (struct stand_runner *runner, int host,
                     const char *service, int slots, stand_serve serve)
{
  memset (runner, 0, sizeof *runner);
  pthread_mutex_init (&runner->lock, NULL);
  runner->host = host;
  runner->service = service;
  runner->version = "v1";
  runner->slots = slots;
  runner->serve = serve;
  memset (runner->fds, 0xff, sizeof runner->fds);
  begin_process (runner, false);
  write_entry (runner);
  stand_thread (keep_entry, runner);
}

bool
stand_runner_crash (struct stand_runner *runner)
{
  bool was_up;

  pthread_mutex_lock (&runner->lock);
  was_up = runner->up;
  runner->up = false;
  if (was_up)
    shutdown (runner->listener, SHUT_RDWR);
  for (size_t i = 0; i < sizeof runner->fds / sizeof runner->fds[0]; i++)
    if (was_up && runner->fds[i] >= 0)
      shutdown (runner->fds[i], SHUT_RDWR);
  pthread_mutex_unlock (&runner->lock);
  return was_up;
}

void
stand_runner_start (struct stand_runner *runner, bool same_id)
{
  char key[80];

  pthread_mutex_lock (&runner->lock);
  snprintf (key, sizeof key, "servers/%s", runner->id);
  if (!same_id && runner->listed)
    stand_store_write (key, NULL);
  begin_process (runner, same_id);
  if (same_id)
    runner->entry_stale = true;
  else
    write_entry (runner);
  pthread_mutex_unlock (&runner->lock);
}

bool
stand_runner_misdirected (struct stand_runner *runner,
                          const struct stand_conn *conn, const char *head)
{
  char wanted[STAND_ID_BYTES];
  char id[STAND_ID_BYTES] = "";
  char text[256];

  if (!stand_field (head, "X-Basildock-Target-Instance", wanted, sizeof wanted)
      || strcmp (wanted, runner->id) == 0)
    return false;
  stand_field (head, "X-Basildock-Attempt-Id", id, sizeof id);
  snprintf (text, sizeof text,
            "HTTP/1.1 421 Misdirected Request\r\n"
            "X-Basildock-Attempt-Id: %s\r\n"
            "X-Basildock-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
            id, runner->id);
  stand_write_text (conn, text);
  return true;
}

/* Writes the head of a signed answer with the fields FRAMING and TYPE. */
static bool
write_signed_head (const struct stand_conn *conn, const char *head,
                   const char *framing, const char *type)
{
  char id[STAND_ID_BYTES] = "";
  char text[512];

  stand_field (head, "X-Basildock-Attempt-Id", id, sizeof id);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: %s\r\n"
            "X-Basildock-Response-Signature: sig-%s\r\n"
            "Content-Type: %s\r\n%s\r\n\r\n",
            id, id, type, framing);
  return stand_write_text (conn, text);
}

bool
stand_begin_stream (const struct stand_conn *conn, const char *head,
                    const char *fields)
{
  char framing[256];

  snprintf (framing, sizeof framing, "%sTransfer-Encoding: chunked", fields);
  return write_signed_head (conn, head, framing, "text/event-stream");
}

bool
stand_send_event (const struct stand_runner *runner,
                  const struct stand_conn *conn, int number)
{
  char event[128];
  char text[192];

  snprintf (event, sizeof event, "id: %d\ndata: %s\n\n", number,
            runner->version);
  snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
  return stand_write_text (conn, text);
}

bool
stand_end_stream (const struct stand_conn *conn)
{
  return stand_write_text (conn, "0\r\n\r\n");
}

bool
stand_answer (const struct stand_conn *conn, const char *head)
{
  return write_signed_head (conn, head, "Content-Length: 3", "text/plain")
         && stand_write_text (conn, "ok\n");
}

/* Gateways. */

static void
write_settings (int host, const char *path)
{
  static const char *const zones[] = { "bole", "akaki", "kality" };
  char ip[STAND_IP_BYTES];
  char seeds[3][STAND_IP_BYTES];
  char store_ip[STAND_IP_BYTES];
  FILE *file = fopen (path, "w");

  if (!file)
    give_up ("cannot write settings");
  stand_format_ip (host, ip);
  for (int i = 0; i < 3; i++)
    stand_format_ip (i + 1, seeds[i]);
  stand_format_ip (STAND_STORE_HOST, store_ip);
  fprintf (file,
           "{\"instance\":\"edge-%d\",\"zone\":\"%s\",\"ip\":\"%s\","
           "\"callers\":\"%s:%d\",\"readiness\":\"%s:%d\","
           "\"internal_port\":%d,\"seeds\":[\"%s:%d\",\"%s:%d\",\"%s:%d\"],"
           "\"store\":\"%s:%d\",\"store_silence_ms\":%d,"
           "\"cpu_share\":0.19,\"cores\":1,\"memory_mb\":%d,"
           "\"max_fds\":4100,\"grace_s\":8,\"retry_ratio\":0.2,"
           "\"retry_slack\":56,\"retry_window_s\":10}\n",
           host, zones[host % 3], ip, ip, STAND_CALLERS_PORT, ip,
           READINESS_PORT, INTERNAL_PORT, seeds[0], CONTROL_PORT, seeds[1],
           CONTROL_PORT, seeds[2], CONTROL_PORT, store_ip, STORE_PORT,
           STAND_STABLE_MS, STAND_MEMORY_MB);
  fclose (file);
}

/* Replaces this process, a child, by the gateway. */
static void
run_program (const char *settings, const char *log)
{
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (fd >= 0)
    {
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
    }
  setenv ("BASILDOCK_SETTINGS", settings, 1);
  execl (PROGRAM, PROGRAM, (char *)NULL);
  _exit (STAND_NOT_RUN);
}

void
stand_gateway_start (struct stand_gateway *gateway, int host)
{
  char settings[320];
  char log[320];

  snprintf (settings, sizeof settings, "%s/%d.json", folder_path, host);
  snprintf (log, sizeof log, "%s/%d.log", folder_path, host);
  write_settings (host, settings);
  gateway->host = host;
  gateway->pid = fork ();
  if (gateway->pid == 0)
    run_program (settings, log);
  if (gateway->pid < 0 || started_count == sizeof started / sizeof started[0])
    give_up ("cannot start a gateway");
  started[started_count++] = gateway->pid;
  stand_record ("gateway %d started", host);
}

/* Forgets a process that was waited for. */
static void
forget_process (struct stand_gateway *gateway)
{
  for (size_t i = 0; i < started_count; i++)
    if (started[i] == gateway->pid)
      started[i] = 0;
  gateway->pid = 0;
}

void
stand_gateway_kill (struct stand_gateway *gateway)
{
  if (gateway->pid <= 0)
    return;
  kill (gateway->pid, SIGKILL);
  waitpid (gateway->pid, NULL, 0);
  forget_process (gateway);
}

bool
stand_gateway_ended (struct stand_gateway *gateway, int *signal_number)
{
  int status = 0;

  if (gateway->pid <= 0 || waitpid (gateway->pid, &status, WNOHANG) <= 0)
    return false;
  *signal_number = WIFSIGNALED (status) ? WTERMSIG (status) : 0;
  forget_process (gateway);
  return true;
}

bool
stand_gateway_ready (const struct stand_gateway *gateway)
{
  struct stand_conn conn;
  struct stand_reply reply = { 0 };

  if (!stand_connect (&conn, gateway->host, READINESS_PORT))
    return false;
  stand_set_read_limit (&conn, MS_PER_S);
  if (stand_write_text (&conn, "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
                               "Connection: close\r\n\r\n"))
    stand_read_reply (&conn, &reply);
  stand_clear_reply (&reply);
  stand_close (&conn);
  return reply.status == 200;
}

void
stand_gateways_wait (struct stand_gateway *gateways, int count)
{
  int64_t until_ms = stand_now_ms () + READY_LIMIT_MS;

  for (int i = 0; i < count; i++)
    while (!stand_gateway_ready (&gateways[i]))
      {
        if (stand_now_ms () > until_ms)
          give_up ("a gateway is not ready");
        stand_sleep_ms (50);
      }
  stand_record ("all gateways are ready");
}

long
stand_gateway_memory_kb (const struct stand_gateway *gateway)
{
  char path[64];
  char line[128];
  long kb = 0;
  FILE *file;

  if (gateway->pid <= 0)
    return 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)gateway->pid);
  file = fopen (path, "r");
  if (!file)
    return 0;
  while (fgets (line, sizeof line, file))
    if (strncmp (line, "VmRSS:", strlen ("VmRSS:")) == 0)
      kb = strtol (line + strlen ("VmRSS:"), NULL, 10);
  fclose (file);
  return kb;
}
