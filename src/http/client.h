/**
 * @file client.h
 * An HTTP/1.1 client: calls, that is a request and its response, over pooled
 * connections.
 *
 * A connection carries one call at a time.  It is returned to the pool only
 * when request and response were complete and nothing followed them.
 */
#ifndef BD_CLIENT_H
#define BD_CLIENT_H

#include "http/message.h"

#include <uv.h>

struct bd_client;
struct bd_call;

/** A request and its options.  bd_client_call () copies everything. */
struct bd_call_request
{
  struct sockaddr_in address;
  struct bd_chunk head; /**< Request line and fields, with the blank line. */
  struct bd_chunk body;
  /**
   * A field that the server repeats in its response, or empty.  Responses
   * without this field and value belong to an earlier request on the
   * connection and are skipped.
   */
  struct bd_field echo;
  int64_t connect_timeout_ms;
  /** Only connections that were idle for less than this are reused. */
  int64_t idle_max_ms;
  bool no_body; /**< The response has no body, as for HEAD. */
  /**
   * Only opens a connection, and adds it to the pool: nothing is sent, and the
   * call ends when the connection is established.
   */
  bool connect_only;
};

/** How a call failed, and how far it got. */
struct bd_call_failure
{
  int error;     /**< BD_ERR_TIMEOUT, BD_ERR_IO, BD_ERR_INCOMPLETE, … */
  bool sent;     /**< A byte of the request may have reached the server. */
  bool reused;   /**< The connection had carried calls before. */
  bool answered; /**< The response's head had been received. */
};

/** Callbacks of a call.  It ends with either on_end or on_fail, and is freed
    when that returns. */
struct bd_call_handler
{
  /** HEAD is valid until the call ends. */
  void (*on_head) (void *context, const struct bd_head *head);
  void (*on_body) (void *context, struct bd_chunk data);
  /** All that was read at once has been passed to on_body.  May be NULL. */
  void (*on_read) (void *context);
  void (*on_end) (void *context);
  void (*on_fail) (void *context, const struct bd_call_failure *failure);
};

struct bd_client *bd_client_create (uv_loop_t *loop);

/** Starts a call; its callbacks run later, from the event loop.  Returns NULL
    without memory or a socket. */
struct bd_call *bd_client_call (struct bd_client *client,
                                const struct bd_call_request *request,
                                const struct bd_call_handler *handler,
                                void *context);

/** Ends the call and closes its connection; no callback follows. */
void bd_call_cancel (struct bd_call *call);

/** Returns true when a byte of the request may have reached the server. */
bool bd_call_sent (const struct bd_call *call);

/** Stops or resumes reading the response. */
void bd_call_pause (struct bd_call *call);
void bd_call_resume (struct bd_call *call);

/** Returns the number of open connections to ADDRESS. */
size_t bd_client_connection_count (const struct bd_client *client,
                                   const struct sockaddr_in *address);

/** Returns the number of connections opened since the client was created. */
uint64_t bd_client_connects (const struct bd_client *client);

/** Closes all idle connections. */
void bd_client_drop_idle (struct bd_client *client);

#endif
