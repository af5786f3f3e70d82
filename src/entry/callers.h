/**
 * @file callers.h
 * Callers' connections on one event loop, and the threads that serve their
 * requests.  A connection takes a thread only while a whole request of it is
 * being served.
 */
#ifndef BD_CALLERS_H
#define BD_CALLERS_H

#include "http/server.h"

#include <stdatomic.h>

struct bd_worker_pool;

/** One request and its answer, at a thread that serves it. */
struct bd_caller_request;

struct bd_worker_pool_options
{
  struct sockaddr_in address;
  const char *certificate; /**< PEM file; NULL: without TLS. */
  struct bd_caller_limits limits;
  size_t threads;
  const atomic_bool *leaving; /**< From then on answers close connections. */
  void *context;
  /** A serving thread: answers the request of CALLER. */
  void (*serve) (void *context, struct bd_caller_request *request);
  /** The loop's thread: answers EXCHANGE at once and returns true, or false.
   */
  bool (*answer) (void *context, struct bd_exchange *exchange);
  /** As on_refuse of struct bd_server_handler. */
  void (*refuse) (void *context, const struct bd_exchange *exchange, int error,
                  struct bd_buffer *fields, struct bd_buffer *body);
};

/** Starts to listen.  Returns NULL, with *ERROR, when it cannot. */
struct bd_worker_pool *
bd_worker_pool_create (const struct bd_worker_pool_options *options,
                       int *error);

/** Serves what has come, ends the connections and the threads. */
void bd_worker_pool_destroy (struct bd_worker_pool *workers);

struct bd_chunk
bd_caller_request_method (const struct bd_caller_request *request);
struct bd_chunk
bd_caller_request_target (const struct bd_caller_request *request);
struct bd_chunk
bd_caller_request_body (const struct bd_caller_request *request);

/** The field's first value, or an empty chunk with NULL data. */
struct bd_chunk
bd_caller_request_header (const struct bd_caller_request *request,
                          const char *name);

/** True once the caller has gone away. */
bool bd_caller_request_aborted (struct bd_caller_request *request);

/**
 * Sends a whole answer; FIELDS is empty or whole header lines with CR LF.
 * Returns false when the caller has gone away before.
 */
bool bd_caller_request_reply (struct bd_caller_request *request, int status,
                              struct bd_chunk fields, struct bd_chunk body);

/** Begins an answer in pieces. */
void bd_caller_request_begin (struct bd_caller_request *request, int status,
                              struct bd_chunk fields);

/**
 * Sends a piece; waits while the caller reads too slowly.  Returns false when
 * the caller has gone away.
 */
bool bd_caller_request_send (struct bd_caller_request *request,
                             struct bd_chunk data);

/**
 * Ends an answer in pieces, once all of them have been handed to the system.
 * Returns false when the caller has gone away before.
 */
bool bd_caller_request_end (struct bd_caller_request *request);

#endif
