/**
 * @file worker_pool.h
 * An HTTP server for callers: one event loop thread reads and writes the
 * connections, a pool of worker threads serves the requests.  A connection
 * occupies a worker thread only while a completely received request of it is
 * served.
 */
#ifndef BD_WORKER_POOL_H
#define BD_WORKER_POOL_H

#include "http/server.h"

#include <stdatomic.h>

struct bd_worker_pool;

/**
 * One request and its answer, as the worker thread that serves it sees them.
 */
struct bd_caller_request;

struct bd_worker_pool_options
{
  struct sockaddr_in address;
  const char *certificate; /**< PEM file; NULL disables TLS. */
  struct bd_caller_limits limits;
  size_t threads;
  /** Once true, each answer closes its connection. */
  const atomic_bool *leaving;
  void *context;
  /** Called on a worker thread: answers REQUEST. */
  void (*serve) (void *context, struct bd_caller_request *request);
  /**
   * Called on the event loop thread before a request is queued: answers
   * EXCHANGE and returns true, or returns false to queue it.
   */
  bool (*try_answer) (void *context, struct bd_exchange *exchange);
  /**
   * Writes the answer to a rejected request; see on_refuse of struct
   * bd_server_handler.
   */
  void (*write_rejection) (void *context, const struct bd_exchange *exchange,
                           int error, struct bd_buffer *fields,
                           struct bd_buffer *body);
};

/** Starts the threads and listens.  On failure, returns NULL and sets *ERROR
    to BD_ERR_IO, BD_ERR_NOMEM or BD_ERR_SETTING (certificate). */
struct bd_worker_pool *
bd_worker_pool_create (const struct bd_worker_pool_options *options,
                       int *error);

/**
 * Serves the queued requests, closes the connections and joins the threads.
 */
void bd_worker_pool_destroy (struct bd_worker_pool *workers);

struct bd_chunk
bd_caller_request_method (const struct bd_caller_request *request);
struct bd_chunk
bd_caller_request_target (const struct bd_caller_request *request);
struct bd_chunk
bd_caller_request_body (const struct bd_caller_request *request);

/**
 * Returns the first value of header NAME, or an empty chunk with NULL data.
 */
struct bd_chunk
bd_caller_request_header (const struct bd_caller_request *request,
                          const char *name);

/** True once the caller has disconnected. */
bool bd_caller_request_aborted (struct bd_caller_request *request);

/**
 * Sends a whole answer; FIELDS is empty or holds complete header lines with CR
 * LF.  Returns false if the caller had disconnected before.
 */
bool bd_caller_request_reply (struct bd_caller_request *request, int status,
                              struct bd_chunk fields, struct bd_chunk body);

/** Sends the head of an answer whose body follows in pieces. */
void bd_caller_request_begin (struct bd_caller_request *request, int status,
                              struct bd_chunk fields);

/**
 * Sends a piece of the body.  Blocks while too many bytes wait for the caller
 * to read them, up to the idle timeout.  Returns false once that timeout has
 * passed, the caller has disconnected or the answer has ended.
 */
bool bd_caller_request_send (struct bd_caller_request *request,
                             struct bd_chunk data);

/**
 * Ends an answer in pieces, after all of them have been written to the socket.
 * Returns false if the caller disconnected before.
 */
bool bd_caller_request_end (struct bd_caller_request *request);

#endif
