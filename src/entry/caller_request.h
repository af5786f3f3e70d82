/**
 * @file caller_request.h
 * Shared by worker_pool.c (event loop and worker threads) and caller_request.c
 * (one request at its worker thread); private to these two.
 */
#ifndef BD_CALLER_REQUEST_H
#define BD_CALLER_REQUEST_H

#include "common/mailbox.h"
#include "entry/worker_pool.h"

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

/* A command from a worker thread to the event loop thread. */
struct loop_command
{
  struct bd_mail mail;
  enum loop_command_kind kind;
  struct bd_caller_request *request;
  int status;
  size_t fields_length;
  size_t length; /* Length of the data, which follows the header fields. */
  char bytes[];
};

struct bd_caller_request
{
  struct bd_worker_pool *workers;
  struct bd_caller_request *next; /* Next request in the pool's queue. */
  /* Used by the event loop thread only; NULL once the exchange has ended. */
  struct bd_exchange *exchange;
  struct bd_buffer text_storage; /* Bytes that the chunks below point to. */
  struct bd_chunk method;
  struct bd_chunk target;
  struct bd_field fields[BD_HTTP_FIELDS_MAX];
  size_t field_count;
  struct bd_buffer body;
  bool last_command_posted; /* Worker thread only. */
  pthread_mutex_t lock;     /* Protects the members below. */
  pthread_cond_t state_changed;
  size_t bytes_posted;    /* Bytes of answer data in commands. */
  size_t bytes_accepted;  /* Posted bytes passed to the connection. */
  size_t bytes_flushed;   /* Posted bytes written to the socket. */
  bool last_command_done; /* Last command has run. */
  bool connected_at_end;  /* Connected when the last command ran. */
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
  struct loop_command *stop; /* Ends the event loop; NULL once posted. */
  pthread_t *threads;
  size_t thread_count;
  pthread_mutex_t lock; /* Protects the members below. */
  pthread_cond_t queue_filled;
  /* Requests that wait for a worker thread. */
  struct bd_caller_request *queue_head;
  struct bd_caller_request *queue_tail;
  bool stopping;
};

/** Copies the request of EXCHANGE.  Returns NULL without memory. */
struct bd_caller_request *
bd_caller_request_create (struct bd_worker_pool *workers,
                          struct bd_exchange *exchange);
void bd_caller_request_destroy (struct bd_caller_request *request);

/** Aborts the answer, unless its last command has been posted. */
void bd_caller_request_finish (struct bd_caller_request *request);

#endif
