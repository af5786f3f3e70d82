#include "entry/caller.h"

#include "common/log.h"

#include <stdlib.h>
#include <urcu.h>

/* Stack of a serving thread; parsing JSON is what goes deepest. */
#define STACK_BYTES ((size_t)1024 * 1024)

/* The loop's thread. */

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct bd_callers *callers = context;
  const struct bd_callers_options *options = &callers->options;
  struct bd_caller *caller;

  if (atomic_load (options->leaving))
    bd_server_drain (callers->server);
  if (options->answer (options->context, exchange))
    return;
  caller = bd_caller_create (callers, exchange);
  if (!caller)
    {
      bd_log (BD_EVENT_CALLER_REFUSED, "status=0 code=%s bytes=%zu",
              bd_error_answer (BD_ERR_NOMEM)->code,
              bd_exchange_body (exchange).length);
      bd_exchange_break (exchange);
      return;
    }
  bd_exchange_set_owner (exchange, caller);
  pthread_mutex_lock (&callers->lock);
  if (callers->last)
    callers->last->next = caller;
  else
    callers->first = caller;
  callers->last = caller;
  pthread_cond_signal (&callers->filled);
  pthread_mutex_unlock (&callers->lock);
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  struct bd_caller *caller = bd_exchange_owner (exchange);

  (void)context;
  if (!caller)
    return;
  caller->exchange = NULL;
  pthread_mutex_lock (&caller->lock);
  caller->gone = true;
  pthread_cond_signal (&caller->changed);
  pthread_mutex_unlock (&caller->lock);
}

static void
on_drain (void *context, struct bd_exchange *exchange)
{
  struct bd_caller *caller = bd_exchange_owner (exchange);

  (void)context;
  if (!caller)
    return;
  pthread_mutex_lock (&caller->lock);
  caller->drained = caller->taken;
  pthread_cond_signal (&caller->changed);
  pthread_mutex_unlock (&caller->lock);
}

static void
on_refuse (void *context, const struct bd_exchange *exchange, int error,
           struct bd_buffer *fields, struct bd_buffer *body)
{
  struct bd_callers *callers = context;

  callers->options.refuse (callers->options.context, exchange, error, fields,
                           body);
}

static const struct bd_server_handler server_handler
    = { .on_request = on_request,
        .on_abort = on_abort,
        .on_drain = on_drain,
        .on_refuse = on_refuse };

/* The last order of CALLER, which its thread frees from here on. */
static void
set_done (struct bd_caller *caller)
{
  pthread_mutex_lock (&caller->lock);
  caller->delivered = caller->exchange != NULL;
  caller->exchange = NULL;
  caller->done = true;
  pthread_cond_signal (&caller->changed);
  pthread_mutex_unlock (&caller->lock);
}

static void
set_taken (struct bd_caller *caller, size_t length)
{
  pthread_mutex_lock (&caller->lock);
  caller->taken += length;
  if (!caller->exchange || bd_exchange_pending (caller->exchange) == 0)
    caller->drained = caller->taken;
  pthread_cond_signal (&caller->changed);
  pthread_mutex_unlock (&caller->lock);
}

static void
carry_out (struct order *order)
{
  struct bd_caller *caller = order->caller;
  struct bd_exchange *exchange = caller->exchange;
  struct bd_chunk fields = { order->bytes, order->fields_length };
  struct bd_chunk data
      = { order->bytes + order->fields_length, order->length };

  switch (order->kind)
    {
    case ORDER_REPLY:
      if (exchange)
        {
          bd_exchange_set_owner (exchange, NULL);
          bd_exchange_reply (exchange, order->status, fields, data);
        }
      set_done (caller);
      break;
    case ORDER_BEGIN:
      if (exchange)
        bd_exchange_begin (exchange, order->status, fields);
      break;
    case ORDER_SEND:
      if (exchange)
        bd_exchange_send (exchange, data);
      set_taken (caller, order->length);
      break;
    case ORDER_END:
    case ORDER_BREAK:
      if (exchange)
        {
          bd_exchange_set_owner (exchange, NULL);
          if (order->kind == ORDER_END)
            bd_exchange_end (exchange);
          else
            bd_exchange_break (exchange);
        }
      set_done (caller);
      break;
    case ORDER_STOP:
      break;
    }
}

static void
on_orders (uv_poll_t *poll, int status, int events)
{
  struct bd_callers *callers = poll->data;
  struct bd_mail *mail;

  (void)status;
  (void)events;
  while ((mail = bd_mailbox_take (callers->orders)))
    {
      struct order *order = (struct order *)mail;

      if (order->kind == ORDER_STOP)
        {
          bd_server_destroy (callers->server);
          callers->server = NULL;
          uv_close ((uv_handle_t *)poll, NULL);
        }
      else
        carry_out (order);
      free (order);
    }
}

static void *
run_loop (void *data)
{
  struct bd_callers *callers = data;

  rcu_register_thread ();
  uv_run (&callers->loop, UV_RUN_DEFAULT);
  rcu_unregister_thread ();
  return NULL;
}

/* Serving threads. */

static struct bd_caller *
next_caller (struct bd_callers *callers)
{
  struct bd_caller *caller;

  pthread_mutex_lock (&callers->lock);
  while (!callers->first && !callers->stopping)
    pthread_cond_wait (&callers->filled, &callers->lock);
  caller = callers->first;
  if (caller)
    {
      callers->first = caller->next;
      if (!callers->first)
        callers->last = NULL;
    }
  pthread_mutex_unlock (&callers->lock);
  return caller;
}

static void *
serve (void *data)
{
  struct bd_callers *callers = data;
  struct bd_caller *caller;

  rcu_register_thread ();
  while ((caller = next_caller (callers)))
    {
      if (!bd_caller_gone (caller))
        callers->options.serve (callers->options.context, caller);
      bd_caller_finish (caller);
      bd_caller_destroy (caller);
    }
  rcu_unregister_thread ();
  return NULL;
}

/* Beginning and end. */

static bool
start_threads (struct bd_callers *callers)
{
  pthread_attr_t attributes;

  callers->threads
      = calloc (callers->options.threads, sizeof *callers->threads);
  if (!callers->threads)
    return false;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  while (callers->thread_count < callers->options.threads
         && pthread_create (&callers->threads[callers->thread_count],
                            &attributes, serve, callers)
                == 0)
    callers->thread_count++;
  pthread_attr_destroy (&attributes);
  return callers->thread_count == callers->options.threads;
}

static int
listen_at (struct bd_callers *callers)
{
  const struct bd_callers_options *options = &callers->options;
  int error;

  if (options->certificate)
    {
      callers->tls = bd_tls_create (options->certificate);
      if (!callers->tls)
        return BD_ERR_SETTING;
    }
  error = bd_server_create (&callers->loop, &options->address, &server_handler,
                            callers, &callers->server);
  if (error != BD_OK)
    return error;
  bd_server_limit (callers->server, &options->limits);
  bd_server_secure (callers->server, callers->tls);
  return BD_OK;
}

struct bd_callers *
bd_callers_create (const struct bd_callers_options *options, int *error)
{
  struct bd_callers *callers = calloc (1, sizeof *callers);

  *error = BD_ERR_NOMEM;
  if (!callers)
    return NULL;
  callers->options = *options;
  pthread_mutex_init (&callers->lock, NULL);
  pthread_cond_init (&callers->filled, NULL);
  uv_loop_init (&callers->loop);
  callers->orders = bd_mailbox_create ();
  if (!callers->orders)
    {
      free (callers);
      return NULL;
    }
  uv_poll_init (&callers->loop, &callers->poll,
                bd_mailbox_fd (callers->orders));
  callers->poll.data = callers;
  uv_poll_start (&callers->poll, UV_READABLE, on_orders);
  *error = listen_at (callers);
  if (*error == BD_OK
      && pthread_create (&callers->thread, NULL, run_loop, callers) != 0)
    *error = BD_ERR_NOMEM;
  if (*error != BD_OK)
    {
      /* The process ends: nothing was accepted yet. */
      return NULL;
    }
  if (start_threads (callers))
    return callers;
  bd_callers_destroy (callers);
  *error = BD_ERR_NOMEM;
  return NULL;
}

void
bd_callers_destroy (struct bd_callers *callers)
{
  struct order *stop;

  if (!callers)
    return;
  pthread_mutex_lock (&callers->lock);
  callers->stopping = true;
  pthread_cond_broadcast (&callers->filled);
  pthread_mutex_unlock (&callers->lock);
  for (size_t i = 0; i < callers->thread_count; i++)
    pthread_join (callers->threads[i], NULL);
  stop = calloc (1, sizeof *stop);
  if (!stop)
    return;
  stop->kind = ORDER_STOP;
  bd_mailbox_post (callers->orders, &stop->mail);
  pthread_join (callers->thread, NULL);
  uv_loop_close (&callers->loop);
  bd_mailbox_destroy (callers->orders);
  bd_tls_destroy (callers->tls);
  pthread_mutex_destroy (&callers->lock);
  pthread_cond_destroy (&callers->filled);
  free (callers->threads);
  free (callers);
}
