#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define GATEWAY_PROGRAM "target/basildock-gateway"
#define MESSAGE_STEP_BYTES ((size_t)65536)
#define ITEMS_MAX 128
#define RUNNERS_MAX 64
/* As in the settings of the small deployments. */
#define HEARTBEAT_MS 1200
#define LOST_AFTER_MS (INT64_C (3) * HEARTBEAT_MS)
#define WATCH_POLL_MS 10
/* Where base64's padding stands among its digits. */
#define PADDING 64

#define PROCESSES_MAX 64
/* Tells a stand-in's process when the record began. */
#define BEGAN_VARIABLE "STAND_BEGAN_MS"

/* Processes that were started and have not been waited for. */
static pid_t processes[PROCESSES_MAX];
static pthread_mutex_t processes_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static int64_t record_began_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms (int ms)
{
  struct timespec t = { ms / 1000, (long)(ms % 1000) * 1000000 };

  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

/* Replaces FROM by TO in the list of processes. */
static void
replace_process (pid_t from, pid_t to)
{
  pthread_mutex_lock (&processes_lock);
  for (size_t i = 0; i < PROCESSES_MAX; i++)
    if (processes[i] == from)
      {
        processes[i] = to;
        break;
      }
  pthread_mutex_unlock (&processes_lock);
}

static void
end_all_processes (void)
{
  for (size_t i = 0; i < PROCESSES_MAX; i++)
    if (processes[i] > 0)
      kill (processes[i], SIGKILL);
}

static void
on_interrupt (int number)
{
  (void)number;
  end_all_processes ();
  _exit (2);
}

void
record_open (const char *path)
{
  const char *began = getenv (BEGAN_VARIABLE);

  record_file = fopen (path, "a");
  record_began_ms = began ? strtoll (began, NULL, 10) : now_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_interrupt);
  signal (SIGINT, on_interrupt);
  atexit (end_all_processes);
}

void
record (const char *format, ...)
{
  va_list arguments;

  if (!record_file)
    return;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f ",
           (double)(now_ms () - record_began_ms) / 1000.0);
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static char *
format_list (const char *format, va_list arguments)
{
  char *text = NULL;

  if (vasprintf (&text, format, arguments) < 0 || !text)
    abort ();
  return text;
}

char *
format_text (const char *format, ...)
{
  va_list arguments;
  char *text;

  va_start (arguments, format);
  text = format_list (format, arguments);
  va_end (arguments);
  return text;
}

/* Sockets. */

static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static bool
bind_to (int fd, const char *ip, int *port)
{
  struct sockaddr_in address = address_of (ip, *port);
  socklen_t length = sizeof address;

  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &length) != 0)
    return false;
  *port = ntohs (address.sin_port);
  return true;
}

int
listen_at (const char *ip, int *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind_to (fd, ip, port) && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

int
free_port (const char *const *ips, size_t count)
{
  for (int tries = 0; tries < 50; tries++)
    {
      int port = 0;
      bool taken = false;

      for (size_t i = 0; i < count && !taken; i++)
        {
          int tcp = listen_at (ips[i], &port);
          int udp = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

          taken = tcp < 0 || udp < 0 || !bind_to (udp, ips[i], &port);
          if (tcp >= 0)
            close (tcp);
          if (udp >= 0)
            close (udp);
        }
      if (!taken)
        return port;
    }
  return 0;
}

struct acceptor
{
  int listener;
  void (*handle) (int fd);
};

struct accepted
{
  int fd;
  void (*handle) (int fd);
};

static void *
run_connection (void *context)
{
  struct accepted *accepted = context;

  accepted->handle (accepted->fd);
  close (accepted->fd);
  free (accepted);
  return NULL;
}

static void
start_thread (void *(*run) (void *context), void *context)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, context) != 0)
    abort ();
  pthread_detach (thread);
}

static void *
run_acceptor (void *context)
{
  struct acceptor *acceptor = context;

  for (;;)
    {
      int fd = accept4 (acceptor->listener, NULL, NULL, SOCK_CLOEXEC);
      struct accepted *accepted;
      int on = 1;

      if (fd < 0)
        {
          sleep_ms (1);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      accepted = calloc (1, sizeof *accepted);
      if (!accepted)
        abort ();
      *accepted = (struct accepted){ fd, acceptor->handle };
      start_thread (run_connection, accepted);
    }
  return NULL;
}

void
serve (int listener, void (*handle) (int fd))
{
  struct acceptor *acceptor = calloc (1, sizeof *acceptor);

  if (!acceptor)
    abort ();
  *acceptor = (struct acceptor){ listener, handle };
  start_thread (run_acceptor, acceptor);
}

int
connect_to (const char *ip, int port)
{
  struct sockaddr_in address = address_of (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
send_all (int fd, const void *data, size_t length)
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

bool
send_text (int fd, const char *format, ...)
{
  va_list arguments;
  char *text;
  bool sent;

  va_start (arguments, format);
  text = format_list (format, arguments);
  va_end (arguments);
  sent = send_all (fd, text, strlen (text));
  free (text);
  return sent;
}

/* Messages. */

struct reader
{
  int fd;
  int64_t until_ms;
  char *data;
  size_t length;
  size_t capacity;
  bool ended;
};

/* Reads what comes next.  Returns false at the end, or after the time. */
static bool
read_more (struct reader *reader)
{
  int64_t left = reader->until_ms - now_ms ();
  struct pollfd poll_fd = { .fd = reader->fd, .events = POLLIN };
  ssize_t n;

  if (left <= 0 || poll (&poll_fd, 1, (int)left) <= 0)
    return false;
  if (reader->capacity - reader->length < MESSAGE_STEP_BYTES)
    {
      size_t capacity = reader->capacity * 2 + MESSAGE_STEP_BYTES * 2;
      char *data = realloc (reader->data, capacity);

      if (!data)
        abort ();
      reader->data = data;
      reader->capacity = capacity;
    }
  n = recv (reader->fd, reader->data + reader->length,
            reader->capacity - reader->length - 1, 0);
  if (n <= 0)
    {
      reader->ended = n == 0;
      return false;
    }
  reader->length += (size_t)n;
  reader->data[reader->length] = '\0';
  return true;
}

bool
field_of (const struct message *message, const char *name, char *value,
          size_t size)
{
  const char *line = message->text ? strstr (message->text, "\r\n") : NULL;
  size_t name_length = strlen (name);

  while (line && line + 4 <= message->text + message->head_length)
    {
      const char *end;
      size_t length;

      line += 2;
      end = strstr (line, "\r\n");
      if (!end)
        return false;
      if (strncasecmp (line, name, name_length) == 0
          && line[name_length] == ':')
        {
          line += name_length + 1;
          line += strspn (line, " ");
          length = (size_t)(end - line);
          if (length >= size)
            length = size - 1;
          memcpy (value, line, length);
          value[length] = '\0';
          return true;
        }
      line = end;
    }
  return false;
}

/* Appends LENGTH bytes to the body. */
static void
append_body (struct message *message, const char *data, size_t length)
{
  char *body = realloc (message->body, message->body_length + length + 1);

  if (!body)
    abort ();
  memcpy (body + message->body_length, data, length);
  message->body = body;
  message->body_length += length;
  body[message->body_length] = '\0';
}

/* Reads a body in chunks, which begins at FROM. */
static void
read_chunks (struct reader *reader, size_t from, struct message *message)
{
  for (;;)
    {
      char *line = reader->data + from;
      char *end = from < reader->length ? strstr (line, "\r\n") : NULL;
      size_t size;
      size_t start;

      if (!end)
        {
          if (!read_more (reader))
            return;
          continue;
        }
      size = strtoul (line, NULL, 16);
      start = (size_t)(end - reader->data) + 2;
      while (reader->length < start + size + 2)
        if (!read_more (reader))
          return;
      if (size == 0)
        {
          message->complete = true;
          return;
        }
      append_body (message, reader->data + start, size);
      from = start + size + 2;
    }
}

static void
read_body (struct reader *reader, struct message *message)
{
  char value[64];
  size_t from = message->head_length;
  size_t size = 0;

  if (field_of (message, "Transfer-Encoding", value, sizeof value))
    {
      read_chunks (reader, from, message);
      return;
    }
  if (field_of (message, "Content-Length", value, sizeof value))
    size = strtoul (value, NULL, 10);
  while (reader->length < from + size && read_more (reader))
    ;
  message->complete = reader->length >= from + size;
  append_body (message, reader->data + from,
               message->complete ? size : reader->length - from);
}

bool
read_message (int fd, struct message *message, int timeout_ms)
{
  struct reader reader = { .fd = fd, .until_ms = now_ms () + timeout_ms };
  char *end = NULL;

  memset (message, 0, sizeof *message);
  while (!end && read_more (&reader))
    end = strstr (reader.data, "\r\n\r\n");
  if (!end)
    {
      free (reader.data);
      return false;
    }
  message->head_length = (size_t)(end - reader.data) + 4;
  message->text = calloc (1, message->head_length + 1);
  if (!message->text)
    abort ();
  memcpy (message->text, reader.data, message->head_length);
  if (strncmp (message->text, "HTTP/1.", 7) == 0)
    message->status = (int)strtol (message->text + 9, NULL, 10);
  read_body (&reader, message);
  free (reader.data);
  return true;
}

void
free_message (struct message *message)
{
  free (message->text);
  free (message->body);
  memset (message, 0, sizeof *message);
}

/* The store. */

struct item
{
  char key[200];
  char *value; /* In base64; NULL: deleted. */
  uint64_t revision;
};

struct runner
{
  char id[64];
  char *format; /* Of its entry; the number of the beat is left open. */
  unsigned beats;
  int64_t lost_ms; /* 0: it beats. */
  bool removed;
};

static struct
{
  pthread_mutex_t lock;
  struct item items[ITEMS_MAX];
  size_t item_count;
  uint64_t revision;
  struct runner runners[RUNNERS_MAX];
  size_t runner_count;
  _Atomic int cut_port; /* Where nothing is answered; 0: everywhere it is. */
  bool beating;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .revision = 100 };

static char *
encode_base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=";
  size_t length = strlen (text);
  char *out = calloc (1, (length + 2) / 3 * 4 + 1);
  size_t at = 0;

  if (!out)
    abort ();
  for (size_t i = 0; i < length; i += 3)
    {
      uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

      if (i + 1 < length)
        bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < length)
        bits |= (unsigned char)text[i + 2];
      out[at++] = digits[bits >> 18];
      out[at++] = digits[bits >> 12 & 63];
      out[at++] = digits[i + 1 < length ? bits >> 6 & 63 : PADDING];
      out[at++] = digits[i + 2 < length ? bits & 63 : PADDING];
    }
  return out;
}

/* Sets the item; the caller holds the lock. */
static void
set_item (const char *key, const char *value)
{
  struct item *item = NULL;

  for (size_t i = 0; i < store.item_count; i++)
    if (strcmp (store.items[i].key, key) == 0)
      item = &store.items[i];
  if (!item)
    {
      if (store.item_count == ITEMS_MAX)
        abort ();
      item = &store.items[store.item_count++];
      snprintf (item->key, sizeof item->key, "%s", key);
    }
  free (item->value);
  item->value = value ? encode_base64 (value) : NULL;
  item->revision = ++store.revision;
}

void
store_put (const char *key, const char *value)
{
  pthread_mutex_lock (&store.lock);
  set_item (key, value);
  pthread_mutex_unlock (&store.lock);
}

/* Writes the entry of RUNNER; the caller holds the lock. */
static void
beat (struct runner *runner)
{
  char *key = format_text ("servers/%s", runner->id);
  char *value
      = format_text ("%s,\"sequence\":%u}", runner->format, ++runner->beats);

  set_item (key, value);
  free (value);
  free (key);
}

static void *
run_beats (void *context)
{
  (void)context;
  for (;;)
    {
      sleep_ms (HEARTBEAT_MS);
      pthread_mutex_lock (&store.lock);
      for (size_t i = 0; i < store.runner_count; i++)
        {
          struct runner *runner = &store.runners[i];

          if (runner->lost_ms == 0)
            beat (runner);
          else if (!runner->removed
                   && now_ms () - runner->lost_ms >= LOST_AFTER_MS)
            {
              char *key = format_text ("servers/%s", runner->id);

              set_item (key, NULL);
              runner->removed = true;
              free (key);
            }
        }
      pthread_mutex_unlock (&store.lock);
    }
  return NULL;
}

void
store_add_runner (const char *id, const char *service, const char *ip,
                  int port, const char *version)
{
  struct runner *runner = NULL;

  pthread_mutex_lock (&store.lock);
  for (size_t i = 0; i < store.runner_count; i++)
    if (strcmp (store.runners[i].id, id) == 0)
      runner = &store.runners[i];
  if (!runner && store.runner_count == RUNNERS_MAX)
    abort ();
  if (!runner)
    runner = &store.runners[store.runner_count++];
  free (runner->format);
  *runner = (struct runner){ .beats = 0 };
  snprintf (runner->id, sizeof runner->id, "%s", id);
  runner->format = format_text (
      "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"bole\","
      "\"version\":\"%s\",\"slots\":64,\"state\":\"ready\","
      "\"coldRemainingMs\":0,\"stage\":\"unified\","
      "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]",
      service, ip, port, version);
  beat (runner);
  pthread_mutex_unlock (&store.lock);
}

void
store_runner_lost (const char *id)
{
  pthread_mutex_lock (&store.lock);
  for (size_t i = 0; i < store.runner_count; i++)
    if (strcmp (store.runners[i].id, id) == 0)
      store.runners[i].lost_ms = now_ms ();
  pthread_mutex_unlock (&store.lock);
}

void
store_remove_runner (const char *id)
{
  char *key = format_text ("servers/%s", id);

  pthread_mutex_lock (&store.lock);
  for (size_t i = 0; i < store.runner_count; i++)
    if (strcmp (store.runners[i].id, id) == 0)
      {
        store.runners[i].lost_ms = now_ms ();
        store.runners[i].removed = true;
      }
  set_item (key, NULL);
  pthread_mutex_unlock (&store.lock);
  free (key);
}

/* Appends the items after revision AFTER; deleted ones only for a watch. */
static char *
list_items (uint64_t after, bool watch, size_t *count)
{
  char *text = format_text ("%s", "");

  *count = 0;
  for (size_t i = 0; i < store.item_count; i++)
    {
      const struct item *item = &store.items[i];
      char *more;

      if (item->revision <= after || (!item->value && !watch))
        continue;
      if (item->value)
        more = format_text ("%s%s{\"key\":\"%s\",\"value\":\"%s\","
                            "\"revision\":%llu,\"created\":1,\"lease\":0}",
                            text, *count > 0 ? "," : "", item->key,
                            item->value, (unsigned long long)item->revision);
      else
        more = format_text (
            "%s%s{\"key\":\"%s\",\"revision\":%llu,\"deleted\":true}", text,
            *count > 0 ? "," : "", item->key,
            (unsigned long long)item->revision);
      free (text);
      text = more;
      ++*count;
    }
  return text;
}

static bool
answer_json (int fd, const char *name, const char *items)
{
  char *body = format_text ("{\"%s\":[%s],\"hasMore\":false,"
                            "\"storeRevision\":%llu}",
                            name, items, (unsigned long long)store.revision);
  bool sent
      = send_text (fd,
                   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   strlen (body), body);

  free (body);
  return sent;
}

/* Whether the listener that FD was accepted from is cut off. */
static bool
is_cut (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  return getsockname (fd, (struct sockaddr *)&address, &length) == 0
         && ntohs (address.sin_port) == store.cut_port;
}

/* Answers a watch as soon as there are events, or when its time is over. */
static bool
answer_watch (int fd, const char *target)
{
  const char *after_text = strstr (target, "after=");
  const char *wait_text = strstr (target, "waitMs=");
  uint64_t after = after_text ? strtoull (after_text + 6, NULL, 10) : 0;
  int64_t until
      = now_ms () + (wait_text ? strtol (wait_text + 7, NULL, 10) : 0);
  bool sent = false;

  for (bool done = false; !done;)
    {
      size_t count;
      char *items;

      pthread_mutex_lock (&store.lock);
      items = list_items (after, true, &count);
      done = !is_cut (fd) && (count > 0 || now_ms () >= until);
      if (done)
        sent = answer_json (fd, "events", items);
      pthread_mutex_unlock (&store.lock);
      free (items);
      if (!done)
        sleep_ms (WATCH_POLL_MS);
    }
  return sent;
}

static bool
answer_list (int fd)
{
  size_t count;
  char *items;
  bool sent;

  pthread_mutex_lock (&store.lock);
  items = list_items (0, false, &count);
  sent = answer_json (fd, "items", items);
  pthread_mutex_unlock (&store.lock);
  free (items);
  return sent;
}

static void
handle_store_connection (int fd)
{
  struct message request;
  bool open = true;

  while (open && read_message (fd, &request, 60000))
    {
      while (is_cut (fd))
        sleep_ms (WATCH_POLL_MS);
      open = strstr (request.text, "/v1/kv-watch")
                 ? answer_watch (fd, request.text)
                 : answer_list (fd);
      free_message (&request);
    }
}

int
store_start (const char *ip)
{
  int port = 0;
  int listener = listen_at (ip, &port);

  if (listener < 0)
    return 0;
  serve (listener, handle_store_connection);
  if (!store.beating)
    start_thread (run_beats, NULL);
  store.beating = true;
  return port;
}

void
store_cut (int port)
{
  store.cut_port = port;
}

/* Processes. */

pid_t
start_process (const char *program, char *const *arguments,
               const char *settings, const char *log)
{
  char *variable = format_text ("BASILDOCK_SETTINGS=%s", settings);
  char *path = format_text ("PATH=%s", getenv ("PATH") ? getenv ("PATH") : "");
  char *home = format_text ("HOME=%s", getenv ("HOME") ? getenv ("HOME") : "");
  char *began
      = format_text (BEGAN_VARIABLE "=%lld", (long long)record_began_ms);
  char *environment[]
      = { path, home, settings[0] != '\0' ? variable : began, NULL };
  posix_spawn_file_actions_t actions;
  pid_t pid = -1;

  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&pid, program, &actions, NULL, arguments, environment) == 0)
    replace_process (0, pid);
  else
    pid = -1;
  posix_spawn_file_actions_destroy (&actions);
  free (began);
  free (home);
  free (path);
  free (variable);
  return pid;
}

void
end_process (pid_t pid, int signal_number)
{
  int status;

  if (pid <= 0)
    return;
  kill (pid, signal_number);
  while (waitpid (pid, &status, 0) < 0 && errno == EINTR)
    ;
  replace_process (pid, 0);
}

long
process_kb (pid_t pid)
{
  char *path = format_text ("/proc/%d/status", (int)pid);
  FILE *file = fopen (path, "r");
  char line[256];
  long kb = 0;

  free (path);
  while (file && fgets (line, sizeof line, file))
    if (strncmp (line, "VmRSS:", 6) == 0)
      kb = strtol (line + 6, NULL, 10);
  if (file)
    fclose (file);
  return kb;
}

/* Gateways. */

void
gateway_prepare (struct gateway *gateway, const char *folder,
                 int internal_port, int store_port, const char *seeds)
{
  const char *ips[] = { gateway->ip };
  FILE *file;

  gateway->internal_port = internal_port;
  gateway->callers_port = free_port (ips, 1);
  gateway->readiness_port = free_port (ips, 1);
  snprintf (gateway->settings, sizeof gateway->settings, "%s/%s.json", folder,
            gateway->name);
  snprintf (gateway->log, sizeof gateway->log, "%s/%s.log", folder,
            gateway->name);
  file = fopen (gateway->settings, "w");
  if (!file)
    abort ();
  fprintf (file,
           "{\"instance\":\"%s\",\"zone\":\"bole\",\"ip\":\"%s\","
           "\"callers\":\"%s:%d\",\"readiness\":\"%s:%d\","
           "\"internal_port\":%d,\"seeds\":%s,\"store\":\"127.0.0.1:%d\","
           "\"store_silence_ms\":3000,\"cpu_share\":0.19,\"cores\":1,"
           "\"memory_mb\":260,\"max_fds\":4100,\"grace_s\":8,"
           "\"retry_ratio\":0.2,\"retry_slack\":56,\"retry_window_s\":10}\n",
           gateway->name, gateway->ip, gateway->ip, gateway->callers_port,
           gateway->ip, gateway->readiness_port, internal_port, seeds,
           store_port);
  fclose (file);
}

bool
gateway_start (struct gateway *gateway)
{
  char *arguments[] = { GATEWAY_PROGRAM, NULL };

  gateway->pid = start_process (GATEWAY_PROGRAM, arguments, gateway->settings,
                                gateway->log);
  return gateway->pid > 0;
}

bool
gateway_wait_ready (const struct gateway *gateway, int timeout_ms)
{
  int64_t until = now_ms () + timeout_ms;

  while (now_ms () < until)
    {
      struct message answer;
      int fd = connect_to (gateway->ip, gateway->readiness_port);
      bool ready = false;

      if (fd >= 0
          && send_text (fd, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
          && read_message (fd, &answer, 1000))
        {
          ready = answer.status == 200;
          free_message (&answer);
        }
      if (fd >= 0)
        close (fd);
      if (ready)
        return true;
      sleep_ms (50);
    }
  return false;
}

void
gateway_end (struct gateway *gateway, int signal_number)
{
  end_process (gateway->pid, signal_number);
  gateway->pid = 0;
}
