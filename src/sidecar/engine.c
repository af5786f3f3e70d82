#include "sidecar/engine_call.h"

#include "common/clock.h"
#include "common/mailbox.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define POLL_LONGEST_MS 1000
#define HEADERS_MAX_BYTES 65536

enum command_kind
{
  COMMAND_START,
  COMMAND_CANCEL,
  COMMAND_STOP
};

struct command
{
  struct bd_mail mail;
  enum command_kind kind;
  struct bd_call *call;
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
  struct cds_list_head calls;
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
give_event (struct bd_call *call, struct bd_engine_event *event)
{
  struct bd_engine_sink *sink = call->engine->sink;

  event->request = call->request;
  event->attempt = call->attempt;
  event->sent = call->sent;
  sink->event (sink, event);
}

/* Gives the call's last event and frees it.  ERROR 0 is a whole answer. */
static void
finish_call (struct bd_call *call, int error)
{
  struct bd_engine *engine = call->engine;
  struct bd_engine_event event = {
    .kind = error == BD_OK ? BD_ENGINE_END : BD_ENGINE_FAILED,
    .error = error,
  };

  if (call->easy)
    curl_multi_remove_handle (engine->multi, call->easy);
  cds_list_del (&call->node);
  give_event (call, &event);
  bd_call_destroy (call);
}

static void
set_due (struct bd_call *call, int32_t limit_ms)
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
  struct bd_call *call = data;
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
give_head (struct bd_call *call, long status)
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
  struct bd_call *call = user;
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
  struct bd_call *call = user;
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
end_is_known (struct bd_call *call)
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
finish_transfer (struct bd_call *call, CURLcode code)
{
  int error = BD_OK;

  if (call->error != BD_OK)
    error = call->error;
  else if (code != CURLE_OK)
    error = error_of_curl (code);
  else if (!call->head_given || !end_is_known (call))
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
      struct bd_call *call = NULL;
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
  struct bd_call *call;
  struct bd_call *next;

  if (now < engine->next_due_ms)
    return;
  engine->next_due_ms = INT64_MAX;
  cds_list_for_each_entry_safe (call, next, &engine->calls, node)
  {
    int64_t due = call->deadline_ms;

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

static void
set_callbacks (struct bd_call *call)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
}

static void
begin_call (struct bd_engine *engine, struct bd_call *call)
{
  int rc;

  cds_list_add_tail (&call->node, &engine->calls);
  if (engine->stopping)
    {
      finish_call (call, BD_ERR_CANCELLED);
      return;
    }
  rc = bd_call_prepare (call, &engine->settings);
  if (rc == BD_OK)
    set_callbacks (call);
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
  struct bd_call *call;

  cds_list_for_each_entry (
      call, &engine->calls,
      node) if (bd_id_equal (call->request, command->request)
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
  struct bd_call *call;
  struct bd_call *next;
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
  cds_list_for_each_entry_safe (call, next, &engine->calls, node)
      finish_call (call, BD_ERR_CANCELLED);
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
  CDS_INIT_LIST_HEAD (&engine->calls);
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

int
bd_engine_start (struct bd_engine *engine, const struct bd_engine_call *call)
{
  struct command *command;

  if (!bd_call_is_valid (call))
    return BD_ERR_INVALID;
  command = calloc (1, sizeof *command);
  if (!command)
    return BD_ERR_NOMEM;
  command->kind = COMMAND_START;
  command->call = bd_call_create (call, engine->url, bd_clock_ms ());
  if (!command->call)
    {
      free (command);
      return BD_ERR_NOMEM;
    }
  command->call->engine = engine;
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
