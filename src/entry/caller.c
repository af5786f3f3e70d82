/* A request at the thread that serves it, and the orders that it gives to the
   loop's thread. */
#include "entry/caller.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Bytes of an answer that may wait for its caller before its thread does. */
#define PENDING_MAX_BYTES ((size_t)256 * 1024)
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

/* Requests. */

void
bd_caller_destroy (struct bd_caller *caller)
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

struct bd_caller *
bd_caller_create (struct bd_callers *callers, struct bd_exchange *exchange)
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
  bd_caller_destroy (caller);
  return NULL;
}

/* Orders. */

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

void
bd_caller_finish (struct bd_caller *caller)
{
  struct bd_chunk none = { NULL, 0 };

  if (!caller->finished)
    give_last_order (caller, ORDER_BREAK, 0, none, none);
}

/* What serves a request. */

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
