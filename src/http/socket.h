/**
 * @file socket.h
 * A TCP connection on the event loop, with buffered writes.
 */
#ifndef BD_SOCKET_H
#define BD_SOCKET_H

#include "common/string.h"
#include "http/tls.h"

#include <uv.h>

/** Unacknowledged data after which a connection made here counts as dead;
    an idle one does when one probe gets no answer. */
#define BD_SOCKET_USER_TIMEOUT_MS 1500
/** The same for a connection that was accepted.  All probes fit in before
    that: a caller that waits idle outlives one that gets lost. */
#define BD_SOCKET_ACCEPTED_USER_TIMEOUT_MS 2500
/** Idle time before a keep-alive probe, and between probes. */
#define BD_SOCKET_PROBE_INTERVAL_S 1
/** Probes without an answer after which a connection counts as dead. */
#define BD_SOCKET_PROBES 2

struct bd_socket;

/** What a socket tells its owner.  Nothing follows on_end or a close. */
struct bd_socket_handler
{
  /** A connection made by bd_socket_connect () stands. */
  void (*on_connect) (void *context);
  void (*on_data) (void *context, struct bd_chunk data);
  /**
   * The other side closed (BD_OK), or the connection failed (BD_ERR_IO).
   * The owner still has to close the socket.
   */
  void (*on_end) (void *context, int error);
  /** All that was written has been handed to the system.  May be NULL. */
  void (*on_drain) (void *context);
};

/** Returns a new socket, or NULL. */
struct bd_socket *bd_socket_create (uv_loop_t *loop,
                                    const struct bd_socket_handler *handler,
                                    void *context);

/**
 * Takes a connection from LISTENER, with TLS unless that is NULL.  Returns
 * BD_OK, BD_ERR_NOMEM or BD_ERR_IO.
 */
int bd_socket_accept (struct bd_socket *socket, uv_stream_t *listener,
                      struct bd_tls *tls);

/** Begins to connect.  Returns BD_OK or BD_ERR_IO. */
int bd_socket_connect (struct bd_socket *socket,
                       const struct sockaddr_in *address);

/**
 * Writes; what the system does not take at once is copied.  Returns BD_OK,
 * BD_ERR_NOMEM or BD_ERR_IO; the connection is of no use after an error.
 */
int bd_socket_write (struct bd_socket *socket, struct bd_chunk data);

/** Bytes written that the system has not taken yet. */
size_t bd_socket_pending (const struct bd_socket *socket);

/** Stops and resumes reading. */
void bd_socket_pause (struct bd_socket *socket);
void bd_socket_resume (struct bd_socket *socket);

/** Closes at once; the socket is the loop's from here on. */
void bd_socket_close (struct bd_socket *socket);

/**
 * Sends what is pending, ends the sending side and closes when the other
 * side has, or after a second; the socket is the loop's from here on.
 */
void bd_socket_finish (struct bd_socket *socket);

/** Reads "IP:PORT".  Returns BD_OK or BD_ERR_INVALID. */
int bd_address_parse (struct bd_chunk text, struct sockaddr_in *address);

#endif
