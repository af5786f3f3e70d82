/**
 * @file caller.h
 * Private to callers.c (the loop and the threads) and caller.c (a request at
 * its thread): what they share.
 */
#ifndef BD_CALLER_H
#define BD_CALLER_H

#include "common/mailbox.h"
#include "entry/callers.h"

#include <pthread.h>

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

/** Copies the request of EXCHANGE.  Returns NULL: no memory. */
struct bd_caller *bd_caller_create (struct bd_callers *callers,
                                    struct bd_exchange *exchange);
void bd_caller_destroy (struct bd_caller *caller);

/** Breaks the answer off, unless it has its end. */
void bd_caller_finish (struct bd_caller *caller);

#endif
