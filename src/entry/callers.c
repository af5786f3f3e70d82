#include "entry/callers.h"

#include "common/mailbox.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

/* Bytes of an answer that may wait for its caller before its thread does. */
#define PENDING_MAX_BYTES ((size_t)256 * 1024)
/* Stack of a serving thread; parsing JSON is what goes deepest. */
#define STACK_BYTES ((size_t)1024 * 1024)
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

enum order_kind
{
  ORDER_REPLY,
  ORDER_BEGIN,
  ORDER_SEND,
  ORDER_END,
  ORDER_BREAK,
  ORDER_STOP
};

/* What a serving thread asks of the loop's. */
struct order
{
  struct bd_mail mail;
  enum order_kind kind;
  struct bd_caller *caller;
  int status;
  size_t fields_length;
  size_t length; /* Of the data, which follows the fields. */
  char bytes[];
};

struct bd_caller
{
  struct bd_callers *callers;
  struct bd_caller *next;       /* In the queue. */
  struct bd_exchange *exchange; /* The loop's thread only; NULL: it ended. */
  struct bd_buffer text;        /* What the chunks below point to. */
  struct bd_chunk method;
  struct bd_chunk target;
  struct bd_field fields[BD_HTTP_FIELDS_MAX];
  size_t field_count;
  struct bd_buffer body;
  bool finished; /* The last order was given; the serving thread only. */
  pthread_mutex_t lock; /* Of all below. */
  pthread_cond_t changed;
  size_t posted;  /* Bytes in orders. */
  size_t taken;   /* Of these, handed to the connection. */
  size_t drained; /* Of these, handed to the system. */
  bool done;      /* The last order was carried out. */
  bool delivered; /* It found the connection. */
  bool gone;
};

struct bd_callers
{
  struct bd_callers_options options;
  uv_loop_t loop;
  uv_poll_t poll;
  pthread_t thread;
  struct bd_server *server;
  struct bd_tls *tls;
  struct bd_mailbox *orders;
  pthread_t *threads;
  size_t thread_count;
  pthread_mutex_t lock; /* Of all below. */
  pthread_cond_t filled;
  struct bd_caller *first; /* Wait for a thread. */
  struct bd_caller *last;
  bool stopping;
};

/* Requests. */

static void
destroy_caller (struct bd_caller *caller)
{
  bd_buffer_clear (&caller->text);
  bd_buffer_clear (&caller->body);
  pthread_mutex_destroy (&caller->lock);
  pthread_cond_destroy (&caller->changed);
  free (caller);
}

/* Copies COUNT chunks into one block that does not move afterwards. */
static int
keep_texts (struct bd_buffer *text, struct bd_chunk **chunks, size_t count)
{
  size_t at = 0;
  int rc = BD_OK;

  for (size_t i = 0; i < count && rc == BD_OK; i++)
    rc = bd_buffer_append (text, *chunks[i]);
  for (size_t i = 0; i < count && rc == BD_OK; i++)
    {
      chunks[i]->data = text->data + at;
      at += chunks[i]->length;
    }
  return rc;
}

static int
copy_request (struct bd_caller *caller, const struct bd_exchange *exchange)
{
  const struct bd_head *head = bd_exchange_head (exchange);
  struct bd_chunk *chunks[2 + 2 * BD_HTTP_FIELDS_MAX];
  size_t count = 0;

  caller->method = head->method;
  caller->target = head->target;
  caller->field_count = head->field_count;
  memcpy (caller->fields, head->fields,
          head->field_count * sizeof *head->fields);
  chunks[count++] = &caller->method;
  chunks[count++] = &caller->target;
  for (size_t i = 0; i < caller->field_count; i++)
    {
      chunks[count++] = &caller->fields[i].name;
      chunks[count++] = &caller->fields[i].value;
    }
  if (keep_texts (&caller->text, chunks, count) != BD_OK)
    return BD_ERR_NOMEM;
  return bd_buffer_append (&caller->body, bd_exchange_body (exchange));
}

static struct bd_caller *
create_caller (struct bd_callers *callers, struct bd_exchange *exchange)
{
  struct bd_caller *caller = calloc (1, sizeof *caller);
  pthread_condattr_t attributes;

  if (!caller)
    return NULL;
  caller->callers = callers;
  caller->exchange = exchange;
  pthread_mutex_init (&caller->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&caller->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  if (copy_request (caller, exchange) == BD_OK)
    return caller;
  destroy_caller (caller);
  return NULL;
}

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
  caller = create_caller (callers, exchange);
  if (!caller)
    {
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

/* Posts an order.  Returns false without memory for it. */
static bool
give_order (struct bd_caller *caller, enum order_kind kind, int status,
            struct bd_chunk fields, struct bd_chunk data)
{
  struct order *order = malloc (sizeof *order + fields.length + data.length);

  if (!order)
    return false;
  memset (order, 0, sizeof *order);
  order->kind = kind;
  order->caller = caller;
  order->status = status;
  order->fields_length = fields.length;
  order->length = data.length;
  if (fields.length > 0)
    memcpy (order->bytes, fields.data, fields.length);
  if (data.length > 0)
    memcpy (order->bytes + fields.length, data.data, data.length);
  bd_mailbox_post (caller->callers->orders, &order->mail);
  return true;
}

/* The answer's last order; returns whether it found the connection. */
static bool
give_last_order (struct bd_caller *caller, enum order_kind kind, int status,
                 struct bd_chunk fields, struct bd_chunk data)
{
  struct bd_chunk none = { NULL, 0 };
  bool delivered;

  caller->finished = true;
  if (!give_order (caller, kind, status, fields, data)
      && !give_order (caller, ORDER_BREAK, 0, none, none))
    abort ();
  pthread_mutex_lock (&caller->lock);
  while (!caller->done)
    pthread_cond_wait (&caller->changed, &caller->lock);
  delivered = caller->delivered && !caller->gone;
  pthread_mutex_unlock (&caller->lock);
  return delivered;
}

static void *
serve (void *data)
{
  struct bd_callers *callers = data;
  struct bd_chunk none = { NULL, 0 };
  struct bd_caller *caller;

  rcu_register_thread ();
  while ((caller = next_caller (callers)))
    {
      if (!bd_caller_gone (caller))
        callers->options.serve (callers->options.context, caller);
      if (!caller->finished)
        give_last_order (caller, ORDER_BREAK, 0, none, none);
      destroy_caller (caller);
    }
  rcu_unregister_thread ();
  return NULL;
}

struct bd_chunk
bd_caller_method (const struct bd_caller *caller)
{
  return caller->method;
}

struct bd_chunk
bd_caller_target (const struct bd_caller *caller)
{
  return caller->target;
}

struct bd_chunk
bd_caller_body (const struct bd_caller *caller)
{
  return bd_buffer_chunk (&caller->body);
}

struct bd_chunk
bd_caller_header (const struct bd_caller *caller, const char *name)
{
  for (size_t i = 0; i < caller->field_count; i++)
    if (bd_field_named (caller->fields[i].name, bd_chunk_of (name)))
      return caller->fields[i].value;
  return (struct bd_chunk){ NULL, 0 };
}

bool
bd_caller_gone (struct bd_caller *caller)
{
  bool gone;

  pthread_mutex_lock (&caller->lock);
  gone = caller->gone;
  pthread_mutex_unlock (&caller->lock);
  return gone;
}

static struct timespec
after_ms (int64_t ms)
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

/* Waits until at most PENDING bytes have not been handed to the system.
   Returns false when the caller has gone, or has taken nothing for as long as
   it may be silent. */
static bool
wait_drained (struct bd_caller *caller, size_t pending)
{
  int64_t silent_ms = caller->callers->options.limits.idle_timeout_ms;
  struct timespec until = after_ms (silent_ms);
  size_t seen;
  bool here;
  int rc = 0;

  pthread_mutex_lock (&caller->lock);
  seen = caller->drained;
  while (!caller->gone && rc == 0
         && caller->posted - caller->drained > pending)
    {
      rc = pthread_cond_timedwait (&caller->changed, &caller->lock, &until);
      if (caller->drained == seen)
        continue;
      seen = caller->drained;
      until = after_ms (silent_ms);
      rc = 0;
    }
  here = !caller->gone && caller->posted - caller->drained <= pending;
  pthread_mutex_unlock (&caller->lock);
  return here;
}

bool
bd_caller_reply (struct bd_caller *caller, int status, struct bd_chunk fields,
                 struct bd_chunk body)
{
  return give_last_order (caller, ORDER_REPLY, status, fields, body);
}

void
bd_caller_begin (struct bd_caller *caller, int status, struct bd_chunk fields)
{
  struct bd_chunk none = { NULL, 0 };

  if (!give_order (caller, ORDER_BEGIN, status, fields, none))
    give_last_order (caller, ORDER_BREAK, 0, none, none);
}

bool
bd_caller_send (struct bd_caller *caller, struct bd_chunk data)
{
  struct bd_chunk none = { NULL, 0 };

  if (data.length == 0 || caller->finished)
    return !caller->finished && !bd_caller_gone (caller);
  if (!wait_drained (caller, PENDING_MAX_BYTES))
    return false;
  pthread_mutex_lock (&caller->lock);
  caller->posted += data.length;
  pthread_mutex_unlock (&caller->lock);
  return give_order (caller, ORDER_SEND, 0, none, data);
}

bool
bd_caller_end (struct bd_caller *caller)
{
  struct bd_chunk none = { NULL, 0 };

  if (caller->finished)
    return false;
  return give_last_order (caller,
                          wait_drained (caller, 0) ? ORDER_END : ORDER_BREAK,
                          0, none, none)
         && caller->posted == caller->drained;
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
