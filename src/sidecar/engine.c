/*
 * Why a call is never sent twice: libcurl repeats a request by itself when a
 * reused connection turns out to be dead, when a 417 answers
 * "Expect: 100-continue", on a redirect, on an authentication round, and on
 * a refused HTTP/2 stream.  Each call therefore has a fresh connection that
 * is not kept (a connect on loopback costs some tens of microseconds),
 * Expect is off, redirects and credentials are not set, and HTTP is 1.1.
 * CURLOPT_PREREQFUNCTION runs after the connect and before the first byte:
 * a call that failed without passing it was provably not sent.
 */
#include "sidecar/engine.h"

#include "common/clock.h"
#include "common/mailbox.h"
#include "common/string.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define POLL_LONGEST_MS 1000
#define HEADERS_MAX_BYTES 65536
#define METHOD_MAX_BYTES 16
#define HEADER_VALUE_MAX_BYTES 1024

enum command_kind
{
  COMMAND_START,
  COMMAND_CANCEL,
  COMMAND_STOP
};

struct call
{
  struct bd_engine *engine;
  struct call *previous;
  struct call *next;
  CURL *easy;
  struct curl_slist *headers;
  struct bd_id request;
  uint32_t attempt;
  char *method;
  char *url;
  char *content_type;
  char *key;
  struct bd_buffer body;
  uint8_t tier;
  uint64_t fencing;
  int64_t deadline_ms;
  int64_t due_ms; /* First byte or idle limit; 0 before the first byte. */
  uint64_t header_bytes;
  uint64_t answer_bytes;
  int error; /* The reason when the engine thread aborts the call itself. */
  bool sent;
  bool head_given;
  bool framed; /* Length or chunks tell where the answer ends. */
};

struct command
{
  struct bd_mail mail;
  enum command_kind kind;
  struct call *call;
  struct bd_id request;
  uint32_t attempt;
};

struct bd_engine
{
  struct bd_engine_settings settings;
  char *url;
  struct bd_engine_sink *sink;
  struct bd_mailbox *box;
  CURLM *multi;
  struct call *calls;
  int64_t next_due_ms; /* No limit is reached before; may be too early. */
  bool stopping;
  struct command stop;
  pthread_t thread;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_ALL);
}

static void
free_call (struct call *call)
{
  if (call->easy)
    curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  bd_buffer_clear (&call->body);
  free (call->method);
  free (call->url);
  free (call->content_type);
  free (call->key);
  free (call);
}

static void
link_call (struct bd_engine *engine, struct call *call)
{
  call->next = engine->calls;
  if (engine->calls)
    engine->calls->previous = call;
  engine->calls = call;
}

static void
unlink_call (struct bd_engine *engine, struct call *call)
{
  if (call->previous)
    call->previous->next = call->next;
  else
    engine->calls = call->next;
  if (call->next)
    call->next->previous = call->previous;
}

static void
give_event (struct call *call, struct bd_engine_event *event)
{
  struct bd_engine_sink *sink = call->engine->sink;

  event->request = call->request;
  event->attempt = call->attempt;
  event->sent = call->sent;
  sink->event (sink, event);
}

/* Gives the call's last event and frees it.  ERROR 0 is a whole answer. */
static void
finish_call (struct call *call, int error)
{
  struct bd_engine *engine = call->engine;
  struct bd_engine_event event = {
    .kind = error == BD_OK ? BD_ENGINE_END : BD_ENGINE_FAILED,
    .error = error,
  };

  if (call->easy)
    curl_multi_remove_handle (engine->multi, call->easy);
  unlink_call (engine, call);
  give_event (call, &event);
  free_call (call);
}

static void
set_due (struct call *call, int32_t limit_ms)
{
  struct bd_engine *engine = call->engine;

  call->due_ms = bd_clock_ms () + limit_ms;
  if (call->due_ms < engine->next_due_ms)
    engine->next_due_ms = call->due_ms;
}

/* Right before the first byte: the last look at the deadline. */
static int
on_before_request (void *data, char *remote_ip, char *local_ip,
                   int remote_port, int local_port)
{
  struct call *call = data;
  struct bd_engine_event event = { .kind = BD_ENGINE_STARTED };

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  if (call->sent)
    {
      call->error = BD_ERR_INTERNAL;
      return CURL_PREREQFUNC_ABORT;
    }
  if (bd_clock_ms () >= call->deadline_ms)
    {
      call->error = BD_ERR_DEADLINE;
      return CURL_PREREQFUNC_ABORT;
    }
  call->sent = true;
  set_due (call, call->engine->settings.first_byte_timeout_ms);
  give_event (call, &event);
  return CURL_PREREQFUNC_OK;
}

static bool
line_starts (struct bd_chunk line, const char *name)
{
  size_t n = strlen (name);

  return line.length >= n && strncasecmp (line.data, name, n) == 0;
}

static void
give_head (struct call *call, long status)
{
  struct bd_engine_event event = { .kind = BD_ENGINE_HEAD };
  char *type = NULL;

  curl_easy_getinfo (call->easy, CURLINFO_CONTENT_TYPE, &type);
  event.status = (int)status;
  event.content_type = bd_chunk_of (type);
  call->head_given = true;
  give_event (call, &event);
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct call *call = user;
  struct bd_chunk line = { .data = data, .length = size * count };
  long status = 0;

  set_due (call, call->engine->settings.idle_timeout_ms);
  call->header_bytes += line.length;
  if (call->header_bytes > HEADERS_MAX_BYTES)
    {
      call->error = BD_ERR_TOO_LARGE;
      return 0;
    }
  if (call->head_given)
    return line.length;
  if (line_starts (line, "Content-Length:")
      || line_starts (line, "Transfer-Encoding:"))
    call->framed = true;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (line.length <= 2 && status >= 200)
    give_head (call, status);
  return line.length;
}

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct call *call = user;
  struct bd_engine_event event = { .kind = BD_ENGINE_DATA };
  size_t length = size * count;

  set_due (call, call->engine->settings.idle_timeout_ms);
  call->answer_bytes += length;
  if (call->answer_bytes > call->engine->settings.answer_max_bytes)
    {
      call->error = BD_ERR_TOO_LARGE;
      return 0;
    }
  event.data.data = data;
  event.data.length = length;
  give_event (call, &event);
  return length;
}

static int
error_of_curl (CURLcode code)
{
  switch (code)
    {
    case CURLE_OPERATION_TIMEDOUT:
      return BD_ERR_TIMEOUT;
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return BD_ERR_BROKEN;
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
      return BD_ERR_PROTOCOL;
    case CURLE_OUT_OF_MEMORY:
      return BD_ERR_NOMEM;
    default:
      return BD_ERR_ENGINE;
    }
}

/*
 * An answer that only a closed connection ends may have been cut.  A stream
 * of events has an end mark of its own, which the caller checks.
 */
static bool
end_is_known (struct call *call)
{
  char *type = NULL;
  long status = 0;

  if (call->framed || strcmp (call->method, "HEAD") == 0)
    return true;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status == 204 || status == 304)
    return true;
  curl_easy_getinfo (call->easy, CURLINFO_CONTENT_TYPE, &type);
  return line_starts (bd_chunk_of (type), "text/event-stream");
}

static void
finish_transfer (struct call *call, CURLcode code)
{
  int error = BD_OK;

  if (call->error != BD_OK)
    error = call->error;
  else if (code != CURLE_OK)
    error = error_of_curl (code);
  else if (!call->head_given)
    error = BD_ERR_PROTOCOL;
  else if (!end_is_known (call))
    error = BD_ERR_BROKEN;
  if (error == BD_ERR_TIMEOUT && bd_clock_ms () >= call->deadline_ms)
    error = BD_ERR_DEADLINE;
  finish_call (call, error);
}

static void
finish_transfers (struct bd_engine *engine)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (engine->multi, &left)))
    {
      struct call *call = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      finish_transfer (call, code);
    }
}

/* Fails every call whose first-byte, idle or whole limit has passed. */
static void
check_limits (struct bd_engine *engine)
{
  int64_t now = bd_clock_ms ();
  struct call *next;

  if (now < engine->next_due_ms)
    return;
  engine->next_due_ms = INT64_MAX;
  for (struct call *call = engine->calls; call; call = next)
    {
      int64_t due = call->deadline_ms;

      next = call->next;
      if (call->due_ms != 0 && call->due_ms < due)
        due = call->due_ms;
      if (now >= call->deadline_ms)
        finish_call (call, BD_ERR_DEADLINE);
      else if (now >= due)
        finish_call (call, BD_ERR_TIMEOUT);
      else if (due < engine->next_due_ms)
        engine->next_due_ms = due;
    }
}

static int
add_header (struct call *call, const char *format, const char *value)
{
  char line[HEADER_VALUE_MAX_BYTES + 64];
  struct curl_slist *list;

  snprintf (line, sizeof line, format, value);
  list = curl_slist_append (call->headers, line);
  if (!list)
    return BD_ERR_NOMEM;
  call->headers = list;
  return BD_OK;
}

static int
add_headers (struct call *call)
{
  char text[BD_ID_HEX_LENGTH + 1];
  int rc = add_header (call, "%s:", "Expect");

  bd_id_format (call->request, text);
  if (rc == BD_OK)
    rc = add_header (call, "X-Request-Id: %s", text);
  if (rc == BD_OK)
    rc = add_header (call, "Connection: %s", "close");
  snprintf (text, sizeof text, "%u", call->tier);
  if (rc == BD_OK)
    rc = add_header (call, "X-Priority: %s", text);
  if (rc == BD_OK && call->key[0] != '\0')
    rc = add_header (call, "Idempotency-Key: %s", call->key);
  if (rc == BD_OK)
    rc = add_header (call,
                     call->content_type[0] != '\0' ? "Content-Type: %s"
                                                   : "Content-Type:%s",
                     call->content_type);
  snprintf (text, sizeof text, "%" PRIu64, call->fencing);
  if (rc == BD_OK && call->fencing != 0)
    rc = add_header (call, "X-Fencing: %s", text);
  return rc;
}

static void
set_body (struct call *call)
{
  CURL *easy = call->easy;
  bool expects_body = strcmp (call->method, "POST") == 0
                      || strcmp (call->method, "PUT") == 0
                      || strcmp (call->method, "PATCH") == 0;

  if (strcmp (call->method, "HEAD") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      return;
    }
  if (call->body.length > 0 || expects_body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body.length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        call->body.data ? call->body.data : "");
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static void
set_connection (struct call *call)
{
  const struct bd_engine_settings *settings = &call->engine->settings;
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)settings->connect_timeout_ms);
}

static int
prepare_call (struct call *call)
{
  CURL *easy = curl_easy_init ();
  int rc;

  if (!easy)
    return BD_ERR_NOMEM;
  call->easy = easy;
  rc = add_headers (call);
  if (rc != BD_OK)
    return rc;
  if (curl_easy_setopt (easy, CURLOPT_URL, call->url) != CURLE_OK)
    return BD_ERR_NOMEM;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  set_connection (call);
  set_body (call);
  return BD_OK;
}

static void
begin_call (struct bd_engine *engine, struct call *call)
{
  int rc;

  link_call (engine, call);
  if (engine->stopping)
    {
      finish_call (call, BD_ERR_CANCELLED);
      return;
    }
  rc = prepare_call (call);
  if (rc == BD_OK
      && curl_multi_add_handle (engine->multi, call->easy) != CURLM_OK)
    rc = BD_ERR_INTERNAL;
  if (rc != BD_OK)
    {
      finish_call (call, rc);
      return;
    }
  if (call->deadline_ms < engine->next_due_ms)
    engine->next_due_ms = call->deadline_ms;
}

static void
cancel_call (struct bd_engine *engine, const struct command *command)
{
  for (struct call *call = engine->calls; call; call = call->next)
    if (bd_id_equal (call->request, command->request)
        && call->attempt == command->attempt)
      {
        finish_call (call, BD_ERR_CANCELLED);
        return;
      }
}

static void
take_commands (struct bd_engine *engine)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (engine->box)))
    {
      struct command *command = (struct command *)mail;

      if (command->kind == COMMAND_STOP)
        {
          engine->stopping = true;
          continue;
        }
      if (command->kind == COMMAND_START)
        begin_call (engine, command->call);
      else
        cancel_call (engine, command);
      free (command);
    }
}

static int
poll_timeout_ms (const struct bd_engine *engine)
{
  int64_t left = engine->next_due_ms - bd_clock_ms ();

  if (left < 0)
    return 0;
  return left < POLL_LONGEST_MS ? (int)left : POLL_LONGEST_MS;
}

static void *
run_engine (void *data)
{
  struct bd_engine *engine = data;
  struct curl_waitfd wait = { .events = CURL_WAIT_POLLIN };
  int running;

  wait.fd = bd_mailbox_fd (engine->box);
  for (;;)
    {
      take_commands (engine);
      if (engine->stopping)
        break;
      curl_multi_perform (engine->multi, &running);
      finish_transfers (engine);
      check_limits (engine);
      curl_multi_poll (engine->multi, &wait, 1, poll_timeout_ms (engine),
                       NULL);
    }
  while (engine->calls)
    finish_call (engine->calls, BD_ERR_CANCELLED);
  return NULL;
}

static void
free_engine (struct bd_engine *engine)
{
  if (engine->multi)
    curl_multi_cleanup (engine->multi);
  bd_mailbox_destroy (engine->box);
  free (engine->url);
  free (engine);
}

struct bd_engine *
bd_engine_create (const struct bd_engine_settings *settings,
                  struct bd_engine_sink *sink)
{
  struct bd_engine *engine = calloc (1, sizeof *engine);

  if (!engine)
    return NULL;
  pthread_once (&curl_once, init_curl);
  engine->settings = *settings;
  engine->sink = sink;
  engine->next_due_ms = INT64_MAX;
  engine->url = strdup (settings->url);
  engine->settings.url = engine->url;
  engine->box = bd_mailbox_create ();
  engine->multi = curl_multi_init ();
  if (!engine->url || !engine->box || !engine->multi
      || pthread_create (&engine->thread, NULL, run_engine, engine) != 0)
    {
      free_engine (engine);
      return NULL;
    }
  return engine;
}

void
bd_engine_destroy (struct bd_engine *engine)
{
  if (!engine)
    return;
  engine->stop.kind = COMMAND_STOP;
  bd_mailbox_post (engine->box, &engine->stop.mail);
  pthread_join (engine->thread, NULL);
  free_engine (engine);
}

/* True when every byte may stand in a header value (and a path, without
   spaces).  */
static bool
is_printable (struct bd_chunk text, bool allow_space)
{
  for (size_t i = 0; i < text.length; i++)
    {
      unsigned char c = (unsigned char)text.data[i];

      if (c < ' ' || c == 127 || (c == ' ' && !allow_space))
        return false;
    }
  return true;
}

static bool
is_method (struct bd_chunk method)
{
  if (method.length == 0 || method.length > METHOD_MAX_BYTES)
    return false;
  for (size_t i = 0; i < method.length; i++)
    if (method.data[i] < 'A' || method.data[i] > 'Z')
      return false;
  return true;
}

static bool
is_valid (const struct bd_engine_call *call)
{
  if (!is_method (call->method))
    return false;
  if (call->path.length == 0 || call->path.data[0] != '/'
      || !is_printable (call->path, false)
      || memchr (call->path.data, '#', call->path.length))
    return false;
  return call->content_type.length <= HEADER_VALUE_MAX_BYTES
         && call->key.length <= HEADER_VALUE_MAX_BYTES
         && is_printable (call->content_type, true)
         && is_printable (call->key, true);
}

static char *
join_url (const char *base, struct bd_chunk path)
{
  struct bd_buffer url = { 0 };
  struct bd_chunk start = bd_chunk_of (base);

  while (start.length > 0 && start.data[start.length - 1] == '/')
    start.length--;
  if (bd_buffer_append (&url, start) != BD_OK
      || bd_buffer_append (&url, path) != BD_OK)
    bd_buffer_clear (&url);
  return url.data;
}

static struct call *
copy_call (struct bd_engine *engine, const struct bd_engine_call *from)
{
  struct call *call = calloc (1, sizeof *call);

  if (!call)
    return NULL;
  call->engine = engine;
  call->request = from->request;
  call->attempt = from->attempt;
  call->tier = from->tier;
  call->fencing = from->fencing;
  call->deadline_ms = bd_clock_ms () + from->deadline_left_ms;
  call->method = bd_chunk_copy (from->method);
  call->url = join_url (engine->url, from->path);
  call->content_type = bd_chunk_copy (from->content_type);
  call->key = bd_chunk_copy (from->key);
  if (!call->method || !call->url || !call->content_type || !call->key
      || bd_buffer_append (&call->body, from->body) != BD_OK)
    {
      free_call (call);
      return NULL;
    }
  return call;
}

int
bd_engine_start (struct bd_engine *engine, const struct bd_engine_call *call)
{
  struct command *command;

  if (!is_valid (call))
    return BD_ERR_INVALID;
  command = calloc (1, sizeof *command);
  if (!command)
    return BD_ERR_NOMEM;
  command->kind = COMMAND_START;
  command->call = copy_call (engine, call);
  if (!command->call)
    {
      free (command);
      return BD_ERR_NOMEM;
    }
  bd_mailbox_post (engine->box, &command->mail);
  return BD_OK;
}

void
bd_engine_cancel (struct bd_engine *engine, struct bd_id request,
                  uint32_t attempt)
{
  struct command *command = calloc (1, sizeof *command);

  if (!command)
    return;
  command->kind = COMMAND_CANCEL;
  command->request = request;
  command->attempt = attempt;
  bd_mailbox_post (engine->box, &command->mail);
}
