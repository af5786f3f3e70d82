/**
 * @file server.h
 * The HTTP/1.1 server side: accepts connections, reads whole requests within
 * limits, and lets a handler answer each of them, whole or in pieces.
 *
 * A connection carries one exchange at a time; further requests wait in it.
 */
#ifndef BD_SERVER_H
#define BD_SERVER_H

#include "http/message.h"
#include "http/tls.h"

#include <uv.h>

/** What a caller may send, and how long it may take. */
struct bd_caller_limits
{
  size_t head_max_bytes;
  size_t body_max_bytes;
  int64_t head_timeout_ms; /**< From a request's first byte to its body. */
  int64_t idle_timeout_ms; /**< Between requests, and between body bytes. */
};

struct bd_server;

/** One request and its answer. */
struct bd_exchange;

struct bd_server_handler
{
  /** A whole request has come.  It is answered now or later. */
  void (*on_request) (void *context, struct bd_exchange *exchange);
  /** The caller went away before the answer's end; EXCHANGE ends here. */
  void (*on_abort) (void *context, struct bd_exchange *exchange);
  /** All that was sent so far has been handed to the system.  May be NULL. */
  void (*on_drain) (void *context, struct bd_exchange *exchange);
  /**
   * The request of EXCHANGE is refused with ERROR before it is whole: appends
   * header lines and the body of the answer.  May be NULL.
   */
  void (*on_refuse) (void *context, const struct bd_exchange *exchange,
                     int error, struct bd_buffer *fields,
                     struct bd_buffer *body);
};

/** Listens at ADDRESS.  Returns BD_OK, BD_ERR_NOMEM or BD_ERR_IO. */
int bd_server_create (uv_loop_t *loop, const struct sockaddr_in *address,
                      const struct bd_server_handler *handler, void *context,
                      struct bd_server **out);

/** Ends all connections; the server is the loop's from here on. */
void bd_server_destroy (struct bd_server *server);

void bd_server_limit (struct bd_server *server,
                      const struct bd_caller_limits *limits);

/** Connections that are accepted from now on use TLS. */
void bd_server_secure (struct bd_server *server, struct bd_tls *tls);

/** From now on each answer closes its connection. */
void bd_server_drain (struct bd_server *server);

/** Closes connections on which no byte of a request has come. */
void bd_server_close_idle (struct bd_server *server);

/** Exchanges whose answers are not complete. */
size_t bd_server_active (const struct bd_server *server);

/** Open connections. */
size_t bd_server_connections (const struct bd_server *server);

/** NULL before the head is whole, when a request is refused. */
const struct bd_head *bd_exchange_head (const struct bd_exchange *exchange);
struct bd_chunk bd_exchange_body (const struct bd_exchange *exchange);

/** When the request's first byte came (bd_clock_boot_ms ()). */
int64_t bd_exchange_arrived_ms (const struct bd_exchange *exchange);

/** The handler's own pointer. */
void bd_exchange_set_owner (struct bd_exchange *exchange, void *owner);
void *bd_exchange_owner (const struct bd_exchange *exchange);

/**
 * Sends a whole answer.  FIELDS is empty or whole header lines with CR LF.
 * The exchange ends.
 */
void bd_exchange_reply (struct bd_exchange *exchange, int status,
                        struct bd_chunk fields, struct bd_chunk body);

/** Begins an answer in pieces, sent in chunks. */
void bd_exchange_begin (struct bd_exchange *exchange, int status,
                        struct bd_chunk fields);
void bd_exchange_send (struct bd_exchange *exchange, struct bd_chunk data);

/** Bytes of the answer that the system has not taken yet. */
size_t bd_exchange_pending (const struct bd_exchange *exchange);

/** Completes an answer in pieces.  The exchange ends. */
void bd_exchange_end (struct bd_exchange *exchange);

/** Closes the connection, so that the answer is seen as incomplete. */
void bd_exchange_break (struct bd_exchange *exchange);

#endif
