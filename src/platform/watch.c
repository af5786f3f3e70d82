#include "platform/watch.h"

#include "common/clock.h"
#include "common/mailbox.h"
#include "common/string.h"
#include "platform/backoff.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_S 3
#define ANSWER_TIMEOUT_MS 3000
#define CONNECT_TIMEOUT_MS 1000
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 5000
/* Minimum time between two starts of one blocking query. */
#define QUERY_INTERVAL_MS 50
#define VALUE_MAX_BYTES 1048576
#define NAME_MAX_BYTES 128
#define URL_MAX_BYTES 512
#define FETCHES_MAX 8192
#define FETCHES_AT_ONCE 8
#define IDLE_POLL_MS 60000
#define HTTP_OK 200
#define HTTP_SERVER_ERROR 500

enum call_kind
{
  CALL_MANIFEST = 0, /* Blocking query. */
  CALL_INSTANCES,    /* Blocking query. */
  CALL_FETCH
};
#define QUERY_COUNT 2

/* A request to the service, queued or in flight. */
struct call
{
  enum call_kind kind;
  char name[NAME_MAX_BYTES];
  CURL *easy; /* NULL: not in flight. */
  struct bd_buffer body;
  uint64_t index;        /* Blocking query: index of the last value. */
  uint64_t answer_index; /* From the header X-Index of the response. */
  bool too_large;        /* The response was cut off at VALUE_MAX_BYTES. */
  int64_t not_before_ms;
  int64_t sent_ms;
  struct call *next;
};

enum command_kind
{
  COMMAND_START_QUERIES = 0,
  COMMAND_STOP_QUERIES,
  COMMAND_FETCH,
  COMMAND_STOP
};

struct command
{
  struct bd_mail mail;
  enum command_kind kind;
  char name[NAME_MAX_BYTES];
};

struct bd_watch
{
  struct bd_watch_settings settings;
  char url[URL_MAX_BYTES];
  struct bd_watch_sink *sink;
  struct bd_mailbox *mailbox;
  pthread_t thread;
  atomic_uint_least64_t calls;
  /* Used by the watcher's thread only: */
  CURLM *multi;
  struct bd_backoff backoff;
  int64_t retry_at_ms;     /* No request starts before this time. */
  bool reachability_known; /* UP is valid. */
  bool up;
  bool querying;
  bool stop;
  struct call queries[QUERY_COUNT];
  struct call *fetches; /* Queued or in flight. */
  struct call **fetches_end;
  size_t fetch_count;
  size_t running; /* Requests in flight, of all kinds. */
};

static bool
name_valid (struct bd_chunk name)
{
  if (name.length == 0 || name.length >= NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < name.length; i++)
    if (!strchr ("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                 "0123456789._-/",
                 name.data[i])
        || name.data[i] == '\0')
      return false;
  return true;
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct call *call = context;
  struct bd_chunk c = { .data = data, .length = size * count };

  if (call->body.length + c.length > VALUE_MAX_BYTES)
    {
      call->too_large = true;
      return 0;
    }
  return bd_buffer_append (&call->body, c) == BD_OK ? c.length : 0;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  static const char name[] = "x-index:";
  struct call *call = context;
  size_t n = size * count;
  char text[64];

  if (n >= sizeof text || n < sizeof name)
    return n;
  memcpy (text, data, n);
  text[n] = '\0';
  if (strncasecmp (text, name, sizeof name - 1) == 0)
    call->answer_index = strtoull (text + sizeof name - 1, NULL, 10);
  return n;
}

static void
call_url (const struct bd_watch *w, const struct call *call, char *url,
          size_t size)
{
  bool instances = strcmp (call->name, "instances") == 0;
  int n = snprintf (url, size, "%s/v1/%s%s", w->url, instances ? "" : "kv/",
                    call->name);

  if (call->kind != CALL_FETCH && n > 0 && (size_t)n < size)
    snprintf (url + n, size - (size_t)n, "?index=%llu&wait=%ds",
              (unsigned long long)call->index, (int)w->settings.wait_s);
}

static void
call_start (struct bd_watch *w, struct call *call, int64_t now_ms)
{
  char url[URL_MAX_BYTES + NAME_MAX_BYTES + 64];
  long timeout_ms = w->settings.answer_timeout_ms;
  CURL *easy = curl_easy_init ();

  call->not_before_ms = now_ms + QUERY_INTERVAL_MS;
  call->sent_ms = now_ms;
  if (!easy)
    return;
  if (call->kind != CALL_FETCH)
    timeout_ms += 1000L * w->settings.wait_s;
  call_url (w, call, url, sizeof url);
  bd_buffer_reset (&call->body);
  call->answer_index = 0;
  call->too_large = false;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  if (curl_multi_add_handle (w->multi, easy) != CURLM_OK)
    {
      curl_easy_cleanup (easy);
      return;
    }
  call->easy = easy;
  w->running++;
  atomic_fetch_add_explicit (&w->calls, 1, memory_order_relaxed);
}

static void
call_stop (struct bd_watch *w, struct call *call)
{
  if (!call->easy)
    return;
  curl_multi_remove_handle (w->multi, call->easy);
  curl_easy_cleanup (call->easy);
  call->easy = NULL;
  w->running--;
}

static void
report_reachable (struct bd_watch *w, bool up)
{
  if (w->reachability_known && w->up == up)
    return;
  w->reachability_known = true;
  w->up = up;
  w->sink->reachable (w->sink, up);
}

static void
fetch_unlink (struct bd_watch *w, struct call *call)
{
  struct call **link = &w->fetches;

  while (*link && *link != call)
    link = &(*link)->next;
  if (!*link)
    return;
  *link = call->next;
  if (!*link)
    w->fetches_end = link;
  call->next = NULL;
}

static void
fetch_append (struct bd_watch *w, struct call *call)
{
  *w->fetches_end = call;
  w->fetches_end = &call->next;
}

/* Moves CALL to the end of the queue, so that a document that always fails
   does not block the others. */
static void
fetch_requeue (struct bd_watch *w, struct call *call)
{
  fetch_unlink (w, call);
  fetch_append (w, call);
}

static void
fetch_remove (struct bd_watch *w, struct call *call)
{
  fetch_unlink (w, call);
  w->fetch_count--;
  bd_buffer_clear (&call->body);
  free (call);
}

static void
call_deliver (struct bd_watch *w, struct call *call, long status)
{
  bool changed = call->kind == CALL_FETCH || call->answer_index != call->index;

  /* Accept a lower index too: with the old one, the query would not return
     until the service reaches it again. */
  call->index = call->answer_index;
  if (status == HTTP_OK && changed)
    w->sink->document (w->sink, bd_chunk_of (call->name),
                       bd_buffer_chunk (&call->body));
  if (status == HTTP_OK && w->sink->confirmed)
    w->sink->confirmed (w->sink, bd_chunk_of (call->name), call->sent_ms);
}

/*
 * Lets the next queries return the values at once.  A service that was
 * unreachable may have restarted its indexes, and an equal index would hide a
 * change.
 */
static void
reset_indexes (struct bd_watch *w)
{
  for (int i = 0; i < QUERY_COUNT; i++)
    w->queries[i].index = 0;
}

static void
call_done (struct bd_watch *w, struct call *call, CURLcode result)
{
  int64_t now = bd_clock_ms ();
  long status = 0;
  bool answered;

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  call_stop (w, call);
  answered
      = call->too_large || (result == CURLE_OK && status < HTTP_SERVER_ERROR);
  if (!answered)
    {
      /* Requests that fail at the same time count as one failure. */
      if (now >= w->retry_at_ms)
        w->retry_at_ms = now + bd_backoff_next (&w->backoff);
      report_reachable (w, false);
      reset_indexes (w);
      if (call->kind == CALL_FETCH)
        fetch_requeue (w, call);
      return;
    }
  bd_backoff_reset (&w->backoff);
  w->retry_at_ms = 0;
  report_reachable (w, true);
  if (!call->too_large)
    call_deliver (w, call, status);
  if (call->kind == CALL_FETCH)
    fetch_remove (w, call);
  else if (status != HTTP_OK || call->too_large)
    call->not_before_ms = now + w->settings.retry_max_ms;
}

/* Handles completed requests.  Returns true when there was one, so that
   another may be started. */
static bool
handle_results (struct bd_watch *w)
{
  CURLMsg *message;
  bool ended = false;
  int left;

  while ((message = curl_multi_info_read (w->multi, &left)))
    {
      char *data = NULL;
      CURLcode result = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &data);
      call_done (w, (struct call *)data, result);
      ended = true;
    }
  return ended;
}

static void
fetch_add (struct bd_watch *w, const char *name)
{
  struct call *call;

  for (call = w->fetches; call; call = call->next)
    if (strcmp (call->name, name) == 0)
      return;
  if (w->fetch_count >= FETCHES_MAX)
    return;
  call = calloc (1, sizeof *call);
  if (!call)
    return;
  call->kind = CALL_FETCH;
  snprintf (call->name, sizeof call->name, "%s", name);
  fetch_append (w, call);
  w->fetch_count++;
}

static void
set_querying (struct bd_watch *w, bool querying)
{
  if (w->querying == querying)
    return;
  w->querying = querying;
  for (int i = 0; i < QUERY_COUNT; i++)
    {
      call_stop (w, &w->queries[i]);
      w->queries[i].index = 0;
      w->queries[i].not_before_ms = 0;
    }
}

static void
run_commands (struct bd_watch *w)
{
  struct command *command;

  while ((command = (struct command *)bd_mailbox_take (w->mailbox)))
    {
      if (command->kind == COMMAND_STOP)
        w->stop = true;
      else if (command->kind == COMMAND_FETCH)
        fetch_add (w, command->name);
      else
        set_querying (w, command->kind == COMMAND_START_QUERIES);
      free (command);
    }
}

/* Starts the requests that are due.  Returns the time in milliseconds until
   another one may be due. */
static int
start_calls (struct bd_watch *w)
{
  int64_t now = bd_clock_ms ();
  int64_t wake_ms = now + IDLE_POLL_MS;
  /* Send one probe at a time while the service is unreachable. */
  size_t max_running
      = w->reachability_known && !w->up ? 1 : QUERY_COUNT + FETCHES_AT_ONCE;

  if (now < w->retry_at_ms)
    return (int)(w->retry_at_ms - now);
  for (int i = 0; w->querying && i < QUERY_COUNT; i++)
    {
      struct call *call = &w->queries[i];

      if (call->easy || w->running >= max_running)
        continue;
      if (now >= call->not_before_ms)
        call_start (w, call, now);
      else if (call->not_before_ms < wake_ms)
        wake_ms = call->not_before_ms;
    }
  for (struct call *c = w->fetches; c && w->running < max_running; c = c->next)
    if (!c->easy)
      call_start (w, c, now);
  return (int)(wake_ms - now);
}

static void *
watch_main (void *context)
{
  struct bd_watch *w = context;
  struct curl_waitfd mailbox
      = { .fd = bd_mailbox_fd (w->mailbox), .events = CURL_WAIT_POLLIN };

  while (!w->stop)
    {
      int timeout_ms = start_calls (w);
      int running;

      curl_multi_perform (w->multi, &running);
      mailbox.revents = 0;
      if (!handle_results (w))
        curl_multi_poll (w->multi, &mailbox, 1, timeout_ms, NULL);
      run_commands (w);
    }
  return NULL;
}

static void
watch_free (struct bd_watch *w)
{
  struct bd_mail *mail;

  while (w->mailbox && (mail = bd_mailbox_take (w->mailbox)))
    free (mail);
  for (int i = 0; i < QUERY_COUNT; i++)
    {
      call_stop (w, &w->queries[i]);
      bd_buffer_clear (&w->queries[i].body);
    }
  while (w->fetches)
    {
      call_stop (w, w->fetches);
      fetch_remove (w, w->fetches);
    }
  if (w->multi)
    curl_multi_cleanup (w->multi);
  bd_mailbox_destroy (w->mailbox);
  free (w);
}

struct bd_watch *
bd_watch_create_with_settings (const struct bd_watch_settings *settings,
                               struct bd_watch_sink *sink)
{
  struct bd_watch *w = calloc (1, sizeof *w);

  if (!w)
    return NULL;
  w->settings = *settings;
  snprintf (w->url, sizeof w->url, "%s", settings->url);
  w->settings.url = w->url;
  w->sink = sink;
  w->fetches_end = &w->fetches;
  bd_backoff_init (&w->backoff, settings->retry_min_ms, settings->retry_max_ms,
                   settings->seed);
  w->queries[0].kind = CALL_MANIFEST;
  w->queries[1].kind = CALL_INSTANCES;
  memcpy (w->queries[0].name, "manifest", sizeof "manifest");
  memcpy (w->queries[1].name, "instances", sizeof "instances");
  w->mailbox = bd_mailbox_create ();
  if (curl_global_init (CURL_GLOBAL_DEFAULT) == CURLE_OK)
    w->multi = curl_multi_init ();
  if (!w->mailbox || !w->multi
      || pthread_create (&w->thread, NULL, watch_main, w) != 0)
    {
      watch_free (w);
      return NULL;
    }
  return w;
}

struct bd_watch *
bd_watch_create (const char *url, uint64_t seed, struct bd_watch_sink *sink)
{
  struct bd_watch_settings settings = { .url = url,
                                        .seed = seed,
                                        .wait_s = WAIT_S,
                                        .answer_timeout_ms = ANSWER_TIMEOUT_MS,
                                        .retry_min_ms = RETRY_MIN_MS,
                                        .retry_max_ms = RETRY_MAX_MS };

  return bd_watch_create_with_settings (&settings, sink);
}

static int
post_command (struct bd_watch *w, enum command_kind kind, struct bd_chunk name)
{
  struct command *command = calloc (1, sizeof *command);

  if (!command)
    return BD_ERR_NOMEM;
  command->kind = kind;
  if (name.length > 0)
    memcpy (command->name, name.data, name.length);
  bd_mailbox_post (w->mailbox, &command->mail);
  return BD_OK;
}

void
bd_watch_destroy (struct bd_watch *watch)
{
  if (!watch)
    return;
  /* The thread ends only on this command; retry when out of memory. */
  while (post_command (watch, COMMAND_STOP, (struct bd_chunk){ 0 }) != BD_OK)
    ;
  pthread_join (watch->thread, NULL);
  watch_free (watch);
}

void
bd_watch_enable_queries (struct bd_watch *watch, bool hold)
{
  post_command (watch, hold ? COMMAND_START_QUERIES : COMMAND_STOP_QUERIES,
                (struct bd_chunk){ 0 });
}

void
bd_watch_fetch (struct bd_watch *watch, struct bd_chunk name)
{
  if (name_valid (name))
    post_command (watch, COMMAND_FETCH, name);
}

uint64_t
bd_watch_calls (const struct bd_watch *watch)
{
  return atomic_load_explicit (&watch->calls, memory_order_relaxed);
}
