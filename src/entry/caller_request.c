/* A request at its worker thread, and the commands that this thread posts
   to the event loop thread. */
#include "entry/caller_request.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* A worker thread waits while more bytes of its answer are unflushed. */
#define UNFLUSHED_MAX_BYTES ((size_t)256 * 1024)
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

/* Requests */

void
bd_caller_request_destroy (struct bd_caller_request *request)
{
  bd_buffer_clear (&request->text_storage);
  bd_buffer_clear (&request->body);
  pthread_mutex_destroy (&request->lock);
  pthread_cond_destroy (&request->state_changed);
  free (request);
}

/* Copies COUNT chunks into one buffer and points them there.  They are all
   appended first, since appending may move the buffer. */
static int
copy_chunks (struct bd_buffer *text_storage, struct bd_chunk **chunks,
             size_t count)
{
  size_t at = 0;
  int rc = BD_OK;

  for (size_t i = 0; i < count && rc == BD_OK; i++)
    rc = bd_buffer_append (text_storage, *chunks[i]);
  for (size_t i = 0; i < count && rc == BD_OK; i++)
    {
      chunks[i]->data = text_storage->data + at;
      at += chunks[i]->length;
    }
  return rc;
}

static int
copy_request (struct bd_caller_request *request,
              const struct bd_exchange *exchange)
{
  const struct bd_head *head = bd_exchange_head (exchange);
  struct bd_chunk *chunks[2 + 2 * BD_HTTP_FIELDS_MAX];
  size_t count = 0;

  request->method = head->method;
  request->target = head->target;
  request->field_count = head->field_count;
  memcpy (request->fields, head->fields,
          head->field_count * sizeof *head->fields);
  chunks[count++] = &request->method;
  chunks[count++] = &request->target;
  for (size_t i = 0; i < request->field_count; i++)
    {
      chunks[count++] = &request->fields[i].name;
      chunks[count++] = &request->fields[i].value;
    }
  if (copy_chunks (&request->text_storage, chunks, count) != BD_OK)
    return BD_ERR_NOMEM;
  return bd_buffer_append (&request->body, bd_exchange_body (exchange));
}

struct bd_caller_request *
bd_caller_request_create (struct bd_worker_pool *workers,
                          struct bd_exchange *exchange)
{
  struct bd_caller_request *request = calloc (1, sizeof *request);
  pthread_condattr_t attributes;

  if (!request)
    return NULL;
  request->workers = workers;
  request->exchange = exchange;
  pthread_mutex_init (&request->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&request->state_changed, &attributes);
  pthread_condattr_destroy (&attributes);
  if (copy_request (request, exchange) == BD_OK)
    return request;
  bd_caller_request_destroy (request);
  return NULL;
}

/* Commands to the event loop thread */

/* Posts a command.  Returns false when out of memory. */
static bool
post_command (struct bd_caller_request *request, enum loop_command_kind kind,
              int status, struct bd_chunk fields, struct bd_chunk data)
{
  struct loop_command *command
      = malloc (sizeof *command + fields.length + data.length);

  if (!command)
    return false;
  memset (command, 0, sizeof *command);
  command->kind = kind;
  command->request = request;
  command->status = status;
  command->fields_length = fields.length;
  command->length = data.length;
  if (fields.length > 0)
    memcpy (command->bytes, fields.data, fields.length);
  if (data.length > 0)
    memcpy (command->bytes + fields.length, data.data, data.length);
  bd_mailbox_post (request->workers->commands, &command->mail);
  return true;
}

/* Posts the answer's last command and waits until it has run.  Returns
   whether the caller was still connected then. */
static bool
post_last_command (struct bd_caller_request *request,
                   enum loop_command_kind kind, int status,
                   struct bd_chunk fields, struct bd_chunk data)
{
  struct bd_chunk none = { NULL, 0 };
  bool delivered;

  request->last_command_posted = true;
  if (!post_command (request, kind, status, fields, data)
      && !post_command (request, COMMAND_ABORT, 0, none, none))
    abort ();
  pthread_mutex_lock (&request->lock);
  while (!request->last_command_done)
    pthread_cond_wait (&request->state_changed, &request->lock);
  delivered = request->connected_at_end && !request->aborted;
  pthread_mutex_unlock (&request->lock);
  return delivered;
}

void
bd_caller_request_finish (struct bd_caller_request *request)
{
  struct bd_chunk none = { NULL, 0 };

  if (!request->last_command_posted)
    post_last_command (request, COMMAND_ABORT, 0, none, none);
}

/* Functions for the serve callback */

struct bd_chunk
bd_caller_request_method (const struct bd_caller_request *request)
{
  return request->method;
}

struct bd_chunk
bd_caller_request_target (const struct bd_caller_request *request)
{
  return request->target;
}

struct bd_chunk
bd_caller_request_body (const struct bd_caller_request *request)
{
  return bd_buffer_chunk (&request->body);
}

struct bd_chunk
bd_caller_request_header (const struct bd_caller_request *request,
                          const char *name)
{
  for (size_t i = 0; i < request->field_count; i++)
    if (bd_field_named (request->fields[i].name, bd_chunk_of (name)))
      return request->fields[i].value;
  return (struct bd_chunk){ NULL, 0 };
}

bool
bd_caller_request_aborted (struct bd_caller_request *request)
{
  bool aborted;

  pthread_mutex_lock (&request->lock);
  aborted = request->aborted;
  pthread_mutex_unlock (&request->lock);
  return aborted;
}

static struct timespec
deadline_after_ms (int64_t ms)
{
  struct timespec at;

  clock_gettime (CLOCK_MONOTONIC, &at);
  at.tv_sec += ms / MS_PER_S;
  at.tv_nsec += ms % MS_PER_S * NS_PER_MS;
  if (at.tv_nsec >= NS_PER_S)
    {
      at.tv_sec++;
      at.tv_nsec -= NS_PER_S;
    }
  return at;
}

/* Waits until at most MAX_UNFLUSHED bytes are unflushed.  Returns false when
   the caller has disconnected, or has read nothing for the idle timeout. */
static bool
wait_flushed (struct bd_caller_request *request, size_t max_unflushed)
{
  int64_t idle_timeout_ms = request->workers->options.limits.idle_timeout_ms;
  struct timespec deadline = deadline_after_ms (idle_timeout_ms);
  size_t last_flushed;
  bool flushed;
  int rc = 0;

  pthread_mutex_lock (&request->lock);
  last_flushed = request->bytes_flushed;
  while (!request->aborted && rc == 0
         && request->bytes_posted - request->bytes_flushed > max_unflushed)
    {
      rc = pthread_cond_timedwait (&request->state_changed, &request->lock,
                                   &deadline);
      if (request->bytes_flushed == last_flushed)
        continue;
      last_flushed = request->bytes_flushed;
      deadline = deadline_after_ms (idle_timeout_ms);
      rc = 0;
    }
  flushed = !request->aborted
            && request->bytes_posted - request->bytes_flushed <= max_unflushed;
  pthread_mutex_unlock (&request->lock);
  return flushed;
}

bool
bd_caller_request_reply (struct bd_caller_request *request, int status,
                         struct bd_chunk fields, struct bd_chunk body)
{
  return post_last_command (request, COMMAND_REPLY, status, fields, body);
}

void
bd_caller_request_begin (struct bd_caller_request *request, int status,
                         struct bd_chunk fields)
{
  struct bd_chunk none = { NULL, 0 };

  if (!post_command (request, COMMAND_BEGIN, status, fields, none))
    post_last_command (request, COMMAND_ABORT, 0, none, none);
}

bool
bd_caller_request_send (struct bd_caller_request *request,
                        struct bd_chunk data)
{
  struct bd_chunk none = { NULL, 0 };

  if (data.length == 0 || request->last_command_posted)
    return !request->last_command_posted
           && !bd_caller_request_aborted (request);
  if (!wait_flushed (request, UNFLUSHED_MAX_BYTES))
    return false;
  pthread_mutex_lock (&request->lock);
  request->bytes_posted += data.length;
  pthread_mutex_unlock (&request->lock);
  return post_command (request, COMMAND_SEND, 0, none, data);
}

bool
bd_caller_request_end (struct bd_caller_request *request)
{
  struct bd_chunk none = { NULL, 0 };

  if (request->last_command_posted)
    return false;
  return post_last_command (
             request, wait_flushed (request, 0) ? COMMAND_END : COMMAND_ABORT,
             0, none, none)
         && request->bytes_posted == request->bytes_flushed;
}
