#include "entry/caller_request.h"

#include "common/log.h"

#include <stdlib.h>
#include <urcu.h>

/* Stack of a worker thread; parsing JSON has the deepest calls. */
#define WORKER_STACK_BYTES ((size_t)1024 * 1024)

/* Event loop thread */

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct bd_worker_pool *workers = context;
  const struct bd_worker_pool_options *options = &workers->options;
  struct bd_caller_request *request;

  if (atomic_load (options->leaving))
    bd_server_drain (workers->server);
  if (options->try_answer (options->context, exchange))
    return;
  request = bd_caller_request_create (workers, exchange);
  if (!request)
    {
      bd_log (BD_EVENT_CALLER_REFUSED, "status=0 code=%s bytes=%zu",
              bd_error_answer (BD_ERR_NOMEM)->code,
              bd_exchange_body (exchange).length);
      bd_exchange_abort (exchange);
      return;
    }
  bd_exchange_set_owner (exchange, request);
  pthread_mutex_lock (&workers->lock);
  if (workers->queue_tail)
    workers->queue_tail->next = request;
  else
    workers->queue_head = request;
  workers->queue_tail = request;
  pthread_cond_signal (&workers->queue_filled);
  pthread_mutex_unlock (&workers->lock);
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  struct bd_caller_request *request = bd_exchange_owner (exchange);

  (void)context;
  if (!request)
    return;
  request->exchange = NULL;
  pthread_mutex_lock (&request->lock);
  request->aborted = true;
  pthread_cond_signal (&request->state_changed);
  pthread_mutex_unlock (&request->lock);
}

static void
on_drain (void *context, struct bd_exchange *exchange)
{
  struct bd_caller_request *request = bd_exchange_owner (exchange);

  (void)context;
  if (!request)
    return;
  pthread_mutex_lock (&request->lock);
  request->bytes_flushed = request->bytes_accepted;
  pthread_cond_signal (&request->state_changed);
  pthread_mutex_unlock (&request->lock);
}

static void
on_refuse (void *context, const struct bd_exchange *exchange, int error,
           struct bd_buffer *fields, struct bd_buffer *body)
{
  struct bd_worker_pool *workers = context;

  workers->options.write_rejection (workers->options.context, exchange, error,
                                    fields, body);
}

static const struct bd_server_handler server_handler
    = { .on_request = on_request,
        .on_abort = on_abort,
        .on_drain = on_drain,
        .on_refuse = on_refuse };

/* Marks the last command as run; the worker thread may free REQUEST from
   here on. */
static void
complete_request (struct bd_caller_request *request)
{
  pthread_mutex_lock (&request->lock);
  request->connected_at_end = request->exchange != NULL;
  request->exchange = NULL;
  request->last_command_done = true;
  pthread_cond_signal (&request->state_changed);
  pthread_mutex_unlock (&request->lock);
}

static void
add_accepted_bytes (struct bd_caller_request *request, size_t length)
{
  pthread_mutex_lock (&request->lock);
  request->bytes_accepted += length;
  if (!request->exchange || bd_exchange_pending (request->exchange) == 0)
    request->bytes_flushed = request->bytes_accepted;
  pthread_cond_signal (&request->state_changed);
  pthread_mutex_unlock (&request->lock);
}

static void
execute_command (struct loop_command *command)
{
  struct bd_caller_request *request = command->request;
  struct bd_exchange *exchange = request->exchange;
  struct bd_chunk fields = { command->bytes, command->fields_length };
  struct bd_chunk data
      = { command->bytes + command->fields_length, command->length };

  switch (command->kind)
    {
    case COMMAND_REPLY:
      if (exchange)
        {
          bd_exchange_set_owner (exchange, NULL);
          bd_exchange_reply (exchange, command->status, fields, data);
        }
      complete_request (request);
      break;
    case COMMAND_BEGIN:
      if (exchange)
        bd_exchange_begin (exchange, command->status, fields);
      break;
    case COMMAND_SEND:
      if (exchange)
        bd_exchange_send (exchange, data);
      add_accepted_bytes (request, command->length);
      break;
    case COMMAND_END:
    case COMMAND_ABORT:
      if (exchange)
        {
          bd_exchange_set_owner (exchange, NULL);
          if (command->kind == COMMAND_END)
            bd_exchange_end (exchange);
          else
            bd_exchange_abort (exchange);
        }
      complete_request (request);
      break;
    case COMMAND_STOP:
      break;
    }
}

static void
on_commands (uv_poll_t *poll, int status, int events)
{
  struct bd_worker_pool *workers = poll->data;
  struct bd_mail *mail;

  (void)status;
  (void)events;
  while ((mail = bd_mailbox_take (workers->commands)))
    {
      struct loop_command *command = (struct loop_command *)mail;

      if (command->kind == COMMAND_STOP)
        {
          bd_server_destroy (workers->server);
          workers->server = NULL;
          uv_close ((uv_handle_t *)poll, NULL);
        }
      else
        execute_command (command);
      free (command);
    }
}

static void *
run_loop (void *data)
{
  struct bd_worker_pool *workers = data;

  rcu_register_thread ();
  uv_run (&workers->loop, UV_RUN_DEFAULT);
  rcu_unregister_thread ();
  return NULL;
}

/* Worker threads */

static struct bd_caller_request *
next_request (struct bd_worker_pool *workers)
{
  struct bd_caller_request *request;

  pthread_mutex_lock (&workers->lock);
  while (!workers->queue_head && !workers->stopping)
    pthread_cond_wait (&workers->queue_filled, &workers->lock);
  request = workers->queue_head;
  if (request)
    {
      workers->queue_head = request->next;
      if (!workers->queue_head)
        workers->queue_tail = NULL;
    }
  pthread_mutex_unlock (&workers->lock);
  return request;
}

static void *
run_worker (void *data)
{
  struct bd_worker_pool *workers = data;
  struct bd_caller_request *request;

  rcu_register_thread ();
  while ((request = next_request (workers)))
    {
      if (!bd_caller_request_aborted (request))
        workers->options.serve (workers->options.context, request);
      bd_caller_request_finish (request);
      bd_caller_request_destroy (request);
    }
  rcu_unregister_thread ();
  return NULL;
}

/* Start and stop */

static bool
start_threads (struct bd_worker_pool *workers)
{
  pthread_attr_t attributes;

  workers->threads
      = calloc (workers->options.threads, sizeof *workers->threads);
  if (!workers->threads)
    return false;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, WORKER_STACK_BYTES);
  while (workers->thread_count < workers->options.threads
         && pthread_create (&workers->threads[workers->thread_count],
                            &attributes, run_worker, workers)
                == 0)
    workers->thread_count++;
  pthread_attr_destroy (&attributes);
  return workers->thread_count == workers->options.threads;
}

static int
start_listening (struct bd_worker_pool *workers)
{
  const struct bd_worker_pool_options *options = &workers->options;
  int error;

  if (options->certificate)
    {
      workers->tls = bd_tls_create (options->certificate);
      if (!workers->tls)
        return BD_ERR_SETTING;
    }
  error = bd_server_create (&workers->loop, &options->address, &server_handler,
                            workers, &workers->server);
  if (error != BD_OK)
    return error;
  bd_server_set_limits (workers->server, &options->limits);
  bd_server_set_tls (workers->server, workers->tls);
  return BD_OK;
}

/* Frees WORKERS, whose threads and event loop have ended. */
static void
free_workers (struct bd_worker_pool *workers)
{
  uv_loop_close (&workers->loop);
  bd_mailbox_destroy (workers->commands);
  bd_tls_destroy (workers->tls);
  pthread_mutex_destroy (&workers->lock);
  pthread_cond_destroy (&workers->queue_filled);
  free (workers->threads);
  free (workers->stop);
  free (workers);
}

struct bd_worker_pool *
bd_worker_pool_create (const struct bd_worker_pool_options *options,
                       int *error)
{
  struct bd_worker_pool *workers = calloc (1, sizeof *workers);

  *error = BD_ERR_NOMEM;
  if (!workers)
    return NULL;
  workers->options = *options;
  pthread_mutex_init (&workers->lock, NULL);
  pthread_cond_init (&workers->queue_filled, NULL);
  uv_loop_init (&workers->loop);
  workers->commands = bd_mailbox_create ();
  workers->stop = calloc (1, sizeof *workers->stop);
  if (!workers->commands || !workers->stop)
    {
      free_workers (workers);
      return NULL;
    }
  workers->stop->kind = COMMAND_STOP;
  uv_poll_init (&workers->loop, &workers->poll,
                bd_mailbox_fd (workers->commands));
  workers->poll.data = workers;
  uv_poll_start (&workers->poll, UV_READABLE, on_commands);
  *error = start_listening (workers);
  if (*error == BD_OK
      && pthread_create (&workers->loop_thread, NULL, run_loop, workers) != 0)
    *error = BD_ERR_NOMEM;
  if (*error != BD_OK)
    {
      bd_server_destroy (workers->server);
      uv_close ((uv_handle_t *)&workers->poll, NULL);
      uv_run (&workers->loop, UV_RUN_DEFAULT);
      free_workers (workers);
      return NULL;
    }
  if (start_threads (workers))
    return workers;
  bd_worker_pool_destroy (workers);
  *error = BD_ERR_NOMEM;
  return NULL;
}

void
bd_worker_pool_destroy (struct bd_worker_pool *workers)
{
  if (!workers)
    return;
  pthread_mutex_lock (&workers->lock);
  workers->stopping = true;
  pthread_cond_broadcast (&workers->queue_filled);
  pthread_mutex_unlock (&workers->lock);
  for (size_t i = 0; i < workers->thread_count; i++)
    pthread_join (workers->threads[i], NULL);
  bd_mailbox_post (workers->commands, &workers->stop->mail);
  workers->stop = NULL;
  pthread_join (workers->loop_thread, NULL);
  free_workers (workers);
}
