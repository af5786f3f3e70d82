/**
 * @file socket.h
 * A TCP connection on the event loop, with buffered writes.
 */
#ifndef BD_SOCKET_H
#define BD_SOCKET_H

#include "common/string.h"
#include "http/tls.h"

#include <uv.h>

/** How long data or probes may stay unacknowledged before a connection counts
    as dead: long enough for all probes, so that the connection of a silent
    caller or runner survives the loss of one of them. */
#define BD_SOCKET_USER_TIMEOUT_MS 2500
/** Idle time before a keep-alive probe, and between probes. */
#define BD_SOCKET_PROBE_INTERVAL_S 1
/** Number of unanswered probes after which a connection counts as dead. */
#define BD_SOCKET_PROBES 2

/** Most bytes that are read from a connection before others have their turn.
 */
#define BD_SOCKET_READ_BYTES ((size_t)64 * 1024)

struct bd_socket;

/** Callbacks of a socket.  None follows on_end or a close. */
struct bd_socket_handler
{
  /** The connection of bd_socket_connect () is established. */
  void (*on_connect) (void *context);
  void (*on_data) (void *context, struct bd_chunk data);
  /**
   * The peer closed the connection (BD_OK), or it failed (BD_ERR_IO).
   * The owner still has to close the socket.
   */
  void (*on_end) (void *context, int error);
  /** All data written has been handed to the kernel.  May be NULL. */
  void (*on_drain) (void *context);
};

/** Returns a new socket, or NULL. */
struct bd_socket *bd_socket_create (uv_loop_t *loop,
                                    const struct bd_socket_handler *handler,
                                    void *context);

/**
 * Accepts a connection from LISTENER, with TLS unless TLS is NULL.  Returns
 * BD_OK, BD_ERR_NOMEM or BD_ERR_IO.
 */
int bd_socket_accept (struct bd_socket *socket, uv_stream_t *listener,
                      struct bd_tls *tls);

/** Starts to connect; on_connect or on_end follows.  Returns BD_OK or
    BD_ERR_IO. */
int bd_socket_connect (struct bd_socket *socket,
                       const struct sockaddr_in *address);

/**
 * Writes DATA; bytes that the kernel doesn't accept at once are copied and
 * written later.  Returns BD_OK, BD_ERR_NOMEM or BD_ERR_IO; after an error the
 * connection can only be closed.
 */
int bd_socket_write (struct bd_socket *socket, struct bd_chunk data);

/** Returns the number of bytes that wait to be accepted by the kernel. */
size_t bd_socket_pending (const struct bd_socket *socket);

/**
 * Returns the number of bytes that were written and that the peer's kernel has
 * not acknowledged, those that wait here included.
 */
size_t bd_socket_undelivered (const struct bd_socket *socket);

/** Stops or resumes reading. */
void bd_socket_pause (struct bd_socket *socket);
void bd_socket_resume (struct bd_socket *socket);

/** Closes the connection at once; the event loop frees the socket later. */
void bd_socket_close (struct bd_socket *socket);

/**
 * Sends pending data, shuts down the sending side, and closes the connection
 * when the peer does, or has read nothing for a second.  The event loop frees
 * the socket later.
 */
void bd_socket_finish (struct bd_socket *socket);

/** Returns the number of finished sockets that have data to send yet. */
size_t bd_sockets_sending (void);

/** Parses "IP:PORT" (IPv4).  Returns BD_OK or BD_ERR_INVALID. */
int bd_address_parse (struct bd_chunk text, struct sockaddr_in *address);

#endif
