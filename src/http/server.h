/**
 * @file server.h
 * An HTTP/1.1 server: accepts connections, reads complete requests within
 * limits, and lets a handler answer each of them at once or in chunks.
 *
 * A connection carries one exchange, that is a request and its answer, at a
 * time; pipelined requests wait until it ends.
 */
#ifndef BD_SERVER_H
#define BD_SERVER_H

#include "http/message.h"
#include "http/tls.h"

#include <uv.h>

/** Size and time limits of callers' requests. */
struct bd_caller_limits
{
  size_t head_max_bytes;
  size_t body_max_bytes;
  /** Longest time from a request's first byte to the end of its head. */
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms; /**< Between requests, and between body bytes. */
};

struct bd_server;

/** A request and its answer. */
struct bd_exchange;

/** Callbacks of a server. */
struct bd_server_handler
{
  /** Handles a complete request, which may be answered now or later. */
  void (*on_request) (void *context, struct bd_exchange *exchange);
  /** The caller closed the connection before the end of the answer; EXCHANGE
      is freed when this returns. */
  void (*on_abort) (void *context, struct bd_exchange *exchange);
  /** All data sent so far has been handed to the kernel.  May be NULL. */
  void (*on_drain) (void *context, struct bd_exchange *exchange);
  /**
   * Appends header lines and the body of the answer to an incomplete request
   * that the server rejects with ERROR.  May be NULL.
   */
  void (*on_refuse) (void *context, const struct bd_exchange *exchange,
                     int error, struct bd_buffer *fields,
                     struct bd_buffer *body);
};

/** Creates a server that listens on ADDRESS.  Returns BD_OK, BD_ERR_NOMEM or
    BD_ERR_IO. */
int bd_server_create (uv_loop_t *loop, const struct sockaddr_in *address,
                      const struct bd_server_handler *handler, void *context,
                      struct bd_server **out);

/** Closes all connections; the event loop frees the server later. */
void bd_server_destroy (struct bd_server *server);

/**
 * Bounds the bytes that all unfinished requests hold together, and the number
 * of connections; 0: no bound.  Two requests of the largest size always fit.
 */
void bd_server_set_intake (struct bd_server *server, size_t bytes_max,
                           size_t connections_max);

void bd_server_set_limits (struct bd_server *server,
                           const struct bd_caller_limits *limits);

/** Makes connections that are accepted from now on use TLS. */
void bd_server_set_tls (struct bd_server *server, struct bd_tls *tls);

/** Makes each further answer close its connection. */
void bd_server_drain (struct bd_server *server);

/** Closes connections on which no byte of a request has been received. */
void bd_server_close_idle (struct bd_server *server);

/** Returns the number of complete requests whose answers are incomplete. */
size_t bd_server_active (const struct bd_server *server);

/** Returns the number of open connections. */
size_t bd_server_connections (const struct bd_server *server);

/** Returns the request's head; NULL in on_refuse when it is incomplete. */
const struct bd_head *bd_exchange_head (const struct bd_exchange *exchange);
struct bd_chunk bd_exchange_body (const struct bd_exchange *exchange);

/** Returns the time of the request's first byte (bd_clock_boot_ms ()). */
int64_t bd_exchange_arrived_ms (const struct bd_exchange *exchange);

/** Sets or returns a pointer for the handler's use. */
void bd_exchange_set_owner (struct bd_exchange *exchange, void *owner);
void *bd_exchange_owner (const struct bd_exchange *exchange);

/**
 * Sends a complete answer and ends the exchange.  FIELDS is empty or complete
 * header lines, each with CR LF.
 */
void bd_exchange_reply (struct bd_exchange *exchange, int status,
                        struct bd_chunk fields, struct bd_chunk body);

/**
 * Sends the same from buffers, and clears them; closes the connection instead
 * if one of them is incomplete.
 */
void bd_exchange_reply_buffers (struct bd_exchange *exchange, int status,
                                struct bd_buffer *fields,
                                struct bd_buffer *body);

/** Starts an answer that is sent with the chunked transfer coding. */
void bd_exchange_begin (struct bd_exchange *exchange, int status,
                        struct bd_chunk fields);
void bd_exchange_send (struct bd_exchange *exchange, struct bd_chunk data);

/** Sends CHUNKS (chunk.h) and clears them. */
void bd_exchange_send_chunks (struct bd_exchange *exchange,
                              struct bd_buffer *chunks);

/** Returns the number of the answer's bytes that the kernel hasn't accepted
    yet. */
size_t bd_exchange_pending (const struct bd_exchange *exchange);

/**
 * Sends the last chunk and ends the exchange; closes the connection instead if
 * a part of the answer could not be written.
 */
void bd_exchange_end (struct bd_exchange *exchange);

/** Closes the connection, so that the caller sees an incomplete answer. */
void bd_exchange_abort (struct bd_exchange *exchange);

#endif
