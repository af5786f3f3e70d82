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

enum loop_command_kind
{
  COMMAND_REPLY,
  COMMAND_BEGIN,
  COMMAND_SEND,
  COMMAND_END,
  COMMAND_ABORT,
  COMMAND_STOP
};

/* What a serving thread asks of the loop's. */
struct loop_command
{
  struct bd_mail mail;
  enum loop_command_kind kind;
  struct bd_caller_request *request;
  int status;
  size_t fields_length;
  size_t length; /* Of the data, which follows the fields. */
  char bytes[];
};

struct bd_caller_request
{
  struct bd_worker_pool *workers;
  struct bd_caller_request *next; /* In the queue. */
  struct bd_exchange *exchange;   /* The loop's thread only; NULL: it ended. */
  struct bd_buffer text_storage;  /* What the chunks below point to. */
  struct bd_chunk method;
  struct bd_chunk target;
  struct bd_field fields[BD_HTTP_FIELDS_MAX];
  size_t field_count;
  struct bd_buffer body;
  bool last_command_posted; /* The last order was given; the serving thread
                               only. */
  pthread_mutex_t lock;     /* Of all below. */
  pthread_cond_t state_changed;
  size_t bytes_posted;    /* Bytes in orders. */
  size_t bytes_accepted;  /* Of these, handed to the connection. */
  size_t bytes_flushed;   /* Of these, handed to the system. */
  bool last_command_done; /* The last order was carried out. */
  bool connected_at_end;  /* It found the connection. */
  bool aborted;
};

struct bd_worker_pool
{
  struct bd_worker_pool_options options;
  uv_loop_t loop;
  uv_poll_t poll;
  pthread_t loop_thread;
  struct bd_server *server;
  struct bd_tls *tls;
  struct bd_mailbox *commands;
  pthread_t *threads;
  size_t thread_count;
  pthread_mutex_t lock; /* Of all below. */
  pthread_cond_t queue_filled;
  struct bd_caller_request *queue_head; /* Wait for a thread. */
  struct bd_caller_request *queue_tail;
  bool stopping;
};

/** Copies the request of EXCHANGE.  Returns NULL: no memory. */
struct bd_caller_request *
bd_caller_request_create (struct bd_worker_pool *workers,
                          struct bd_exchange *exchange);
void bd_caller_request_destroy (struct bd_caller_request *request);

/** Breaks the answer off, unless it has its end. */
void bd_caller_request_finish (struct bd_caller_request *request);

#endif
