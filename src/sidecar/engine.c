#include "sidecar/engine_transfer.h"

#include "common/clock.h"
#include "common/mailbox.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define POLL_TIMEOUT_MAX_MS 1000
/* Interval between attempts to emit a last event. */
#define EMIT_INTERVAL_MS 10
#define RESPONSE_HEADERS_MAX_BYTES 65536

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
  struct bd_engine_transfer *transfer;
  struct bd_id request;
  uint32_t attempt;
};

struct bd_engine
{
  struct bd_engine_settings settings;
  char *url;
  struct bd_engine_sink *sink;
  struct bd_mailbox *command_mailbox;
  CURLM *multi_handle;
  struct cds_list_head transfers;
  /* Their last events could not be emitted yet. */
  struct cds_list_head ended_transfers;
  int64_t next_expiry_ms; /* Lower bound of all timeouts and deadlines. */
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

/* Returns BD_OK or BD_ERR_NOMEM, which also fails the transfer. */
static int
emit_event (struct bd_engine_transfer *transfer, struct bd_engine_event *event)
{
  struct bd_engine_sink *sink = transfer->engine->sink;
  int error;

  event->request = transfer->request;
  event->attempt = transfer->attempt;
  event->sent = transfer->sent;
  error = sink->event (sink, event);
  if (error != BD_OK && transfer->error == BD_OK)
    transfer->error = error;
  return error;
}

/* Emits the last event of TRANSFER, which is off its list, and frees it.  If
   there is no memory, the transfer is kept for another attempt. */
static void
emit_last_event (struct bd_engine_transfer *transfer)
{
  struct bd_engine_event event
      = { .kind = transfer->result == BD_OK ? BD_ENGINE_END : BD_ENGINE_FAILED,
          .error = transfer->result };

  if (emit_event (transfer, &event) == BD_OK)
    bd_engine_transfer_destroy (transfer);
  else
    cds_list_add_tail (&transfer->node, &transfer->engine->ended_transfers);
}

/* Emits the last event of TRANSFER, END for BD_OK and else FAILED, and
   frees it. */
static void
finish_transfer (struct bd_engine_transfer *transfer, int error)
{
  if (transfer->easy_handle)
    curl_multi_remove_handle (transfer->engine->multi_handle,
                              transfer->easy_handle);
  cds_list_del (&transfer->node);
  transfer->result = error;
  emit_last_event (transfer);
}

/* Tries again to emit last events for which there was no memory. */
static void
emit_last_events (struct bd_engine *engine)
{
  struct bd_engine_transfer *transfer;
  struct bd_engine_transfer *next;
  struct cds_list_head ended;

  CDS_INIT_LIST_HEAD (&ended);
  cds_list_splice (&engine->ended_transfers, &ended);
  CDS_INIT_LIST_HEAD (&engine->ended_transfers);
  cds_list_for_each_entry_safe (transfer, next, &ended, node)
  {
    cds_list_del (&transfer->node);
    emit_last_event (transfer);
  }
}

static void
set_timeout (struct bd_engine_transfer *transfer, int32_t timeout_ms)
{
  struct bd_engine *engine = transfer->engine;

  transfer->timeout_at_ms = bd_clock_ms () + timeout_ms;
  if (transfer->timeout_at_ms < engine->next_expiry_ms)
    engine->next_expiry_ms = transfer->timeout_at_ms;
}

/* Called after the connect and before the first byte: checks the deadline
   once more.  Aborts if libcurl is about to send the request again. */
static int
on_before_request (void *data, char *remote_ip, char *local_ip,
                   int remote_port, int local_port)
{
  struct bd_engine_transfer *transfer = data;
  struct bd_engine_event event = { .kind = BD_ENGINE_STARTED };

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  if (transfer->sent)
    {
      transfer->error = BD_ERR_INTERNAL;
      return CURL_PREREQFUNC_ABORT;
    }
  if (bd_clock_ms () >= transfer->deadline_ms)
    {
      transfer->error = BD_ERR_DEADLINE;
      return CURL_PREREQFUNC_ABORT;
    }
  transfer->sent = true;
  set_timeout (transfer, transfer->engine->settings.first_byte_timeout_ms);
  if (emit_event (transfer, &event) == BD_OK)
    return CURL_PREREQFUNC_OK;
  transfer->sent = false;
  return CURL_PREREQFUNC_ABORT;
}

static bool
has_prefix_nocase (struct bd_chunk line, const char *name)
{
  size_t n = strlen (name);

  return line.length >= n && strncasecmp (line.data, name, n) == 0;
}

static int
emit_head (struct bd_engine_transfer *transfer, long status)
{
  struct bd_engine_event event = { .kind = BD_ENGINE_HEAD };
  char *type = NULL;

  curl_easy_getinfo (transfer->easy_handle, CURLINFO_CONTENT_TYPE, &type);
  event.status = (int)status;
  event.content_type = bd_chunk_of (type);
  transfer->head_emitted = true;
  return emit_event (transfer, &event);
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct bd_engine_transfer *transfer = user;
  struct bd_chunk line = { .data = data, .length = size * count };
  long status = 0;

  set_timeout (transfer, transfer->engine->settings.idle_timeout_ms);
  transfer->response_header_bytes += line.length;
  if (transfer->response_header_bytes > RESPONSE_HEADERS_MAX_BYTES)
    {
      transfer->error = BD_ERR_TOO_LARGE;
      return 0;
    }
  if (transfer->head_emitted)
    return line.length;
  if (has_prefix_nocase (line, "Content-Length:")
      || has_prefix_nocase (line, "Transfer-Encoding:"))
    transfer->has_framing = true;
  curl_easy_getinfo (transfer->easy_handle, CURLINFO_RESPONSE_CODE, &status);
  if (line.length <= 2 && status >= 200
      && emit_head (transfer, status) != BD_OK)
    return 0;
  return line.length;
}

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct bd_engine_transfer *transfer = user;
  struct bd_engine_event event = { .kind = BD_ENGINE_DATA };
  size_t length = size * count;

  set_timeout (transfer, transfer->engine->settings.idle_timeout_ms);
  transfer->response_body_bytes += length;
  if (transfer->response_body_bytes
      > transfer->engine->settings.answer_max_bytes)
    {
      transfer->error = BD_ERR_TOO_LARGE;
      return 0;
    }
  event.data.data = data;
  event.data.length = length;
  return emit_event (transfer, &event) == BD_OK ? length : 0;
}

static int
error_from_curl (CURLcode code)
{
  switch (code)
    {
    case CURLE_OPERATION_TIMEDOUT:
      return BD_ERR_TIMEOUT;
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return BD_ERR_INCOMPLETE;
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
 * An answer that ends only by closing the connection may have been cut.  A
 * stream of events has an end mark of its own, [DONE], which the runner
 * module checks.
 */
static bool
has_certain_end (struct bd_engine_transfer *transfer)
{
  char *type = NULL;
  long status = 0;

  if (transfer->has_framing || strcmp (transfer->method, "HEAD") == 0)
    return true;
  curl_easy_getinfo (transfer->easy_handle, CURLINFO_RESPONSE_CODE, &status);
  if (status == 204 || status == 304)
    return true;
  curl_easy_getinfo (transfer->easy_handle, CURLINFO_CONTENT_TYPE, &type);
  return has_prefix_nocase (bd_chunk_of (type), "text/event-stream");
}

static void
complete_transfer (struct bd_engine_transfer *transfer, CURLcode code)
{
  int error = BD_OK;

  if (transfer->error != BD_OK)
    error = transfer->error;
  else if (code != CURLE_OK)
    error = error_from_curl (code);
  else if (!transfer->head_emitted || !has_certain_end (transfer))
    error = BD_ERR_INCOMPLETE;
  if (error == BD_ERR_TIMEOUT && bd_clock_ms () >= transfer->deadline_ms)
    error = BD_ERR_DEADLINE;
  finish_transfer (transfer, error);
}

static void
read_completions (struct bd_engine *engine)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (engine->multi_handle, &remaining)))
    {
      struct bd_engine_transfer *transfer = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      complete_transfer (transfer, code);
    }
}

/* Fails every transfer whose first-byte timeout, idle timeout or deadline
   has passed. */
static void
check_time_limits (struct bd_engine *engine)
{
  int64_t now = bd_clock_ms ();
  struct bd_engine_transfer *transfer;
  struct bd_engine_transfer *next;

  if (now < engine->next_expiry_ms)
    return;
  engine->next_expiry_ms = INT64_MAX;
  cds_list_for_each_entry_safe (transfer, next, &engine->transfers, node)
  {
    int64_t expires_ms = transfer->deadline_ms;

    if (transfer->timeout_at_ms != 0 && transfer->timeout_at_ms < expires_ms)
      expires_ms = transfer->timeout_at_ms;
    if (now >= transfer->deadline_ms)
      finish_transfer (transfer, BD_ERR_DEADLINE);
    else if (now >= expires_ms)
      finish_transfer (transfer, BD_ERR_TIMEOUT);
    else if (expires_ms < engine->next_expiry_ms)
      engine->next_expiry_ms = expires_ms;
  }
}

static void
set_callbacks (struct bd_engine_transfer *transfer)
{
  CURL *easy_handle = transfer->easy_handle;

  curl_easy_setopt (easy_handle, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy_handle, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (easy_handle, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy_handle, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy_handle, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy_handle, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy_handle, CURLOPT_WRITEDATA, transfer);
}

static void
start_transfer (struct bd_engine *engine, struct bd_engine_transfer *transfer)
{
  int rc;

  cds_list_add_tail (&transfer->node, &engine->transfers);
  if (engine->stopping)
    {
      finish_transfer (transfer, BD_ERR_CANCELLED);
      return;
    }
  rc = bd_engine_transfer_prepare (transfer, &engine->settings);
  if (rc == BD_OK)
    set_callbacks (transfer);
  if (rc == BD_OK
      && curl_multi_add_handle (engine->multi_handle, transfer->easy_handle)
             != CURLM_OK)
    rc = BD_ERR_INTERNAL;
  if (rc != BD_OK)
    {
      finish_transfer (transfer, rc);
      return;
    }
  if (transfer->deadline_ms < engine->next_expiry_ms)
    engine->next_expiry_ms = transfer->deadline_ms;
}

static void
cancel_transfer (struct bd_engine *engine, const struct command *command)
{
  struct bd_engine_transfer *transfer;

  cds_list_for_each_entry (
      transfer, &engine->transfers,
      node) if (bd_id_equal (transfer->request, command->request)
                && transfer->attempt == command->attempt)
  {
    finish_transfer (transfer, BD_ERR_CANCELLED);
    return;
  }
}

static void
process_commands (struct bd_engine *engine)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (engine->command_mailbox)))
    {
      struct command *command = (struct command *)mail;

      if (command->kind == COMMAND_STOP)
        {
          engine->stopping = true;
          continue;
        }
      if (command->kind == COMMAND_START)
        start_transfer (engine, command->transfer);
      else
        cancel_transfer (engine, command);
      free (command);
    }
}

static int
poll_timeout_ms (struct bd_engine *engine)
{
  int64_t remaining = engine->next_expiry_ms - bd_clock_ms ();

  if (!cds_list_empty (&engine->ended_transfers)
      && remaining > EMIT_INTERVAL_MS)
    return EMIT_INTERVAL_MS;
  if (remaining < 0)
    return 0;
  return remaining < POLL_TIMEOUT_MAX_MS ? (int)remaining
                                         : POLL_TIMEOUT_MAX_MS;
}

static void *
run_engine (void *data)
{
  struct bd_engine *engine = data;
  struct curl_waitfd command_wait = { .events = CURL_WAIT_POLLIN };
  struct bd_engine_transfer *transfer;
  struct bd_engine_transfer *next;
  int running;

  command_wait.fd = bd_mailbox_fd (engine->command_mailbox);
  for (;;)
    {
      process_commands (engine);
      if (engine->stopping)
        break;
      curl_multi_perform (engine->multi_handle, &running);
      read_completions (engine);
      check_time_limits (engine);
      emit_last_events (engine);
      curl_multi_poll (engine->multi_handle, &command_wait, 1,
                       poll_timeout_ms (engine), NULL);
    }
  cds_list_for_each_entry_safe (transfer, next, &engine->transfers, node)
      finish_transfer (transfer, BD_ERR_CANCELLED);
  while (!cds_list_empty (&engine->ended_transfers))
    {
      curl_multi_poll (engine->multi_handle, NULL, 0, EMIT_INTERVAL_MS, NULL);
      emit_last_events (engine);
    }
  return NULL;
}

static void
free_engine (struct bd_engine *engine)
{
  if (engine->multi_handle)
    curl_multi_cleanup (engine->multi_handle);
  bd_mailbox_destroy (engine->command_mailbox);
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
  engine->next_expiry_ms = INT64_MAX;
  CDS_INIT_LIST_HEAD (&engine->transfers);
  CDS_INIT_LIST_HEAD (&engine->ended_transfers);
  engine->url = strdup (settings->url);
  engine->settings.url = engine->url;
  engine->command_mailbox = bd_mailbox_create ();
  engine->multi_handle = curl_multi_init ();
  if (!engine->url || !engine->command_mailbox || !engine->multi_handle
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
  bd_mailbox_post (engine->command_mailbox, &engine->stop.mail);
  pthread_join (engine->thread, NULL);
  free_engine (engine);
}

int
bd_engine_start (struct bd_engine *engine, const struct bd_engine_call *call)
{
  struct command *command;

  if (!bd_engine_call_is_valid (call))
    return BD_ERR_INVALID;
  command = calloc (1, sizeof *command);
  if (!command)
    return BD_ERR_NOMEM;
  command->kind = COMMAND_START;
  command->transfer
      = bd_engine_transfer_create (call, engine->url, bd_clock_ms ());
  if (!command->transfer)
    {
      free (command);
      return BD_ERR_NOMEM;
    }
  command->transfer->engine = engine;
  bd_mailbox_post (engine->command_mailbox, &command->mail);
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
  bd_mailbox_post (engine->command_mailbox, &command->mail);
}
