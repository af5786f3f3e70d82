/**
 * @file platform.c
 * Stand-in for the platform's configuration service and instance list.
 *
 * usage: standin_platform --port N --dir DIR
 * Serves DIR/manifest.json, DIR/contract/NAME.json and DIR/pool/NAME.json at
 * /v1/kv/NAME and DIR/instances.json at /v1/instances, with blocking queries
 * (index, wait).  POST /standin/reload reads the files again; POST
 * /standin/fault?mode=up|down|hang|stale|back|slow|eager
 * sets the response mode: up is normal, down closes each connection, hang
 * never answers, stale serves the files as they were when the mode was set,
 * back serves them as they were at the start, slow delays each response, eager
 * answers blocking queries at once.  GET /standin/calls returns the number of
 * calls by path.  Prints "port N" and "ready".
 */
#include "common/string.h"

#include <civetweb.h>
#include <dirent.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FILES_MAX 1024
#define NAME_BYTES 160
/* Twice the platform's limit, so that tests can serve values to be rejected.
 */
#define VALUE_MAX_BYTES 2097152
#define SLOW_MS 300
#define WAIT_MAX_S 60
#define THREAD_COUNT "512"

struct file
{
  char name[NAME_BYTES];
  char *text; /* Never freed: snapshots share it. */
  size_t length;
  uint64_t index;
};

/* The served files at one time. */
struct snapshot
{
  size_t count;
  struct file files[FILES_MAX];
};

enum mode
{
  MODE_UP = 0,
  MODE_DOWN,
  MODE_HANG,
  MODE_STALE,
  MODE_BACK,
  MODE_SLOW,
  MODE_EAGER,
  MODE_COUNT
};

struct counter
{
  char path[NAME_BYTES];
  unsigned long calls;
};

static const char *const mode_names[MODE_COUNT]
    = { "up", "down", "hang", "stale", "back", "slow", "eager" };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static const char *directory;
static struct snapshot current_snapshot;
static struct snapshot fault_snapshot;
static struct snapshot initial_snapshot;
static enum mode mode;
static bool stopping;
static uint64_t last_index;
static size_t counter_count;
static struct counter counters[FILES_MAX];

static struct file *
find_file (struct snapshot *snapshot, const char *name)
{
  for (size_t i = 0; i < snapshot->count; i++)
    if (strcmp (snapshot->files[i].name, name) == 0)
      return &snapshot->files[i];
  return NULL;
}

static char *
read_file (const char *path, size_t *length)
{
  FILE *f = fopen (path, "rb");
  char *text;

  if (!f)
    return NULL;
  text = malloc (VALUE_MAX_BYTES);
  *length = text ? fread (text, 1, VALUE_MAX_BYTES, f) : 0;
  fclose (f);
  return text;
}

/* Adds the file NAME to SNAPSHOT; its index increases only when its text
   differs from that of the current snapshot. */
static void
load_file (struct snapshot *snapshot, const char *name)
{
  char path[1024];
  size_t length = 0;
  char *text;
  struct file *file = find_file (&current_snapshot, name);

  snprintf (path, sizeof path, "%s/%s.json", directory, name);
  text = read_file (path, &length);
  if (!text || snapshot->count == FILES_MAX)
    {
      free (text);
      return;
    }
  if (file && file->length == length && memcmp (file->text, text, length) == 0)
    {
      free (text);
      snapshot->files[snapshot->count++] = *file;
      return;
    }
  file = &snapshot->files[snapshot->count++];
  snprintf (file->name, sizeof file->name, "%s", name);
  file->text = text;
  file->length = length;
  file->index = ++last_index;
}

static void
load_directory (struct snapshot *snapshot, const char *sub)
{
  char path[512];
  DIR *dir;
  struct dirent *entry;

  snprintf (path, sizeof path, "%s/%s", directory, sub);
  dir = opendir (path);
  while (dir && (entry = readdir (dir)))
    {
      char name[NAME_BYTES];
      size_t n = strlen (entry->d_name);

      if (n < 6 || n > 100 || strcmp (entry->d_name + n - 5, ".json") != 0)
        continue;
      snprintf (name, sizeof name, "%s/%.*s", sub, (int)n - 5, entry->d_name);
      load_file (snapshot, name);
    }
  if (dir)
    closedir (dir);
}

/* Reads all files again; to be called with the lock held. */
static void
load_all (void)
{
  static struct snapshot next;

  next.count = 0;
  load_file (&next, "instances");
  load_directory (&next, "contract");
  load_directory (&next, "pool");
  load_file (&next, "manifest");
  current_snapshot = next;
  pthread_cond_broadcast (&changed);
}

static struct snapshot *
served_snapshot (void)
{
  if (mode == MODE_STALE)
    return &fault_snapshot;
  return mode == MODE_BACK ? &initial_snapshot : &current_snapshot;
}

static void
deadline_after (struct timespec *deadline, long milliseconds)
{
  clock_gettime (CLOCK_MONOTONIC, deadline);
  deadline->tv_sec += milliseconds / 1000;
  deadline->tv_nsec += milliseconds % 1000 * 1000000;
  if (deadline->tv_nsec >= 1000000000)
    {
      deadline->tv_sec++;
      deadline->tv_nsec -= 1000000000;
    }
}

static void
count_call (const char *path)
{
  size_t i = 0;

  while (i < counter_count && strcmp (counters[i].path, path) != 0)
    i++;
  if (i == FILES_MAX)
    return;
  if (i == counter_count)
    {
      snprintf (counters[i].path, sizeof counters[i].path, "%s", path);
      counter_count++;
    }
  counters[i].calls++;
}

static long
query_number (const struct mg_request_info *info, const char *name)
{
  char text[32] = "0";

  if (info->query_string)
    mg_get_var (info->query_string, strlen (info->query_string), name, text,
                sizeof text);
  return strtol (text, NULL, 10);
}

static int
send_response (struct mg_connection *connection, int status, uint64_t index,
               struct bd_chunk body)
{
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
             "X-Index: %llu\r\nContent-Length: %zu\r\n"
             "Connection: keep-alive\r\n\r\n",
             status, status == 200 ? "OK" : "Error", (unsigned long long)index,
             body.length);
  mg_write (connection, body.data, body.length);
  return status;
}

/* Waits as a blocking query and the response mode require; returns NULL when
   there is no such file.  To be called with the lock held. */
static struct file *
wait_for_file (const char *name, uint64_t index, long wait_s)
{
  struct timespec deadline;
  struct timespec slow_deadline;
  struct file *file = NULL;
  int timed_out = 0;

  deadline_after (&deadline, 1000 * wait_s);
  deadline_after (&slow_deadline, SLOW_MS);
  while (mode == MODE_SLOW && !stopping && timed_out == 0)
    timed_out = pthread_cond_timedwait (&changed, &lock, &slow_deadline);
  timed_out = 0;
  while (!stopping && mode != MODE_DOWN)
    {
      if (mode == MODE_HANG)
        {
          pthread_cond_wait (&changed, &lock);
          continue;
        }
      file = find_file (served_snapshot (), name);
      if (timed_out != 0 || wait_s == 0 || mode == MODE_EAGER
          || (file && file->index > index))
        return file;
      timed_out = pthread_cond_timedwait (&changed, &lock, &deadline);
    }
  return NULL;
}

static int
on_value (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *name = info->local_uri + strlen (context);
  long wait_s = query_number (info, "wait");
  uint64_t index = (uint64_t)query_number (info, "index");
  struct bd_chunk body = { .data = "" };
  uint64_t found_index = 0;
  struct file *file;
  bool drop;

  if (strcmp (info->local_uri, "/v1/instances") == 0)
    name = "instances";
  pthread_mutex_lock (&lock);
  count_call (info->local_uri);
  file = wait_for_file (name, index, wait_s < WAIT_MAX_S ? wait_s : 60);
  drop = stopping || mode == MODE_DOWN;
  if (file)
    {
      body.data = file->text;
      body.length = file->length;
      found_index = file->index;
    }
  pthread_mutex_unlock (&lock);
  if (drop)
    {
      mg_close_connection (connection);
      return 1;
    }
  return send_response (connection, file ? 200 : 404, found_index, body);
}

static int
on_reload (struct mg_connection *connection, void *context)
{
  (void)context;
  pthread_mutex_lock (&lock);
  load_all ();
  pthread_mutex_unlock (&lock);
  return send_response (connection, 200, 0, BD_CHUNK ("{}\n"));
}

static int
on_fault (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *query = info->query_string ? info->query_string : "";
  char text[16] = "";
  int found = 0;

  (void)context;
  mg_get_var (query, strlen (query), "mode", text, sizeof text);
  while (found < MODE_COUNT && strcmp (mode_names[found], text) != 0)
    found++;
  if (found == MODE_COUNT)
    return send_response (connection, 400, 0, BD_CHUNK ("{}\n"));
  pthread_mutex_lock (&lock);
  fault_snapshot = current_snapshot;
  mode = (enum mode)found;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  return send_response (connection, 200, 0, BD_CHUNK ("{}\n"));
}

static int
on_calls (struct mg_connection *connection, void *context)
{
  struct bd_buffer body = { 0 };
  int status;

  (void)context;
  pthread_mutex_lock (&lock);
  bd_buffer_printf (&body, "{");
  for (size_t i = 0; i < counter_count; i++)
    bd_buffer_printf (&body, "%s\"%s\":%lu", i > 0 ? "," : "",
                      counters[i].path, counters[i].calls);
  bd_buffer_printf (&body, "}\n");
  pthread_mutex_unlock (&lock);
  status = send_response (connection, 200, 0, bd_buffer_chunk (&body));
  bd_buffer_clear (&body);
  return status;
}

static void
serve (const char *address)
{
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            THREAD_COUNT,
                            "enable_keep_alive",
                            "yes",
                            "tcp_nodelay",
                            "1",
                            NULL };
  struct mg_callbacks callbacks = { 0 };
  struct mg_server_port port = { 0 };
  struct mg_context *server = mg_start (&callbacks, NULL, options);
  sigset_t signals;
  int number;

  if (!server)
    {
      fprintf (stderr, "standin_platform: cannot listen on %s\n", address);
      exit (1);
    }
  mg_set_request_handler (server, "/v1/kv/", on_value, "/v1/kv/");
  mg_set_request_handler (server, "/v1/instances", on_value, "/v1/");
  mg_set_request_handler (server, "/standin/reload", on_reload, NULL);
  mg_set_request_handler (server, "/standin/fault", on_fault, NULL);
  mg_set_request_handler (server, "/standin/calls", on_calls, NULL);
  mg_get_server_ports (server, 1, &port);
  printf ("port %d\nready\n", port.port);
  fflush (stdout);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigwait (&signals, &number);
  pthread_mutex_lock (&lock);
  stopping = true;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  mg_stop (server);
}

int
main (int argc, char **argv)
{
  pthread_condattr_t attributes;
  char address[64] = "127.0.0.1:0";
  sigset_t signals;

  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--port") == 0)
        snprintf (address, sizeof address, "127.0.0.1:%s", argv[i + 1]);
      else if (strcmp (argv[i], "--dir") == 0)
        directory = argv[i + 1];
    }
  if (!directory)
    {
      fprintf (stderr, "usage: standin_platform --port N --dir DIR\n");
      return 2;
    }
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &attributes);
  mg_init_library (0);
  load_all ();
  initial_snapshot = current_snapshot;
  serve (address);
  mg_exit_library ();
  return 0;
}
