/**
 * @file link.h
 * The ZeroMQ transport between entries and sidecars.  Not thread-safe: used by
 * one thread only.
 *
 * Each daemon binds one ROUTER socket; entries use a second one to connect to
 * sidecars and other entries.  Peers are addressed by instance name.
 */
#ifndef BD_LINK_H
#define BD_LINK_H

#include "wire/message.h"

struct bd_link_settings
{
  const char *instance;
  const char *address;      /**< IP:PORT to bind. */
  const char *curve_public; /**< CURVE key in Z85; "" without encryption. */
  const char *curve_secret; /**< CURVE key in Z85; "" without encryption. */
};

/** Messages and bytes.  Index 0 counts work traffic (requests), index 1
 * control traffic (heartbeats, gossip, configuration). */
struct bd_link_counts
{
  uint64_t sent[2];
  uint64_t sent_bytes[2];
  uint64_t received[2];
  uint64_t received_bytes[2];
};

/** A change in the state of a connection that this process opened. */
enum bd_link_change
{
  BD_LINK_UP,
  BD_LINK_LOST
};

struct bd_link;

/** Creates the sockets and binds the address; port 0 selects a free port.  On
 * error, returns NULL and sets *ERROR to BD_ERR_IO or BD_ERR_NOMEM. */
struct bd_link *bd_link_create (const struct bd_link_settings *settings,
                                int *error);
void bd_link_destroy (struct bd_link *link);

/** Returns the bound address as "IP:PORT". */
const char *bd_link_address (const struct bd_link *link);

/**
 * Opens a connection to the daemon INSTANCE at ADDRESS ("IP:PORT").  A lost
 * connection is reopened automatically.  Does nothing when INSTANCE is
 * connected already.  Returns BD_OK, BD_ERR_INVALID, BD_ERR_NOMEM or
 * BD_ERR_IO.
 */
int bd_link_connect (struct bd_link *link, struct bd_chunk instance,
                     struct bd_chunk address);

/** Closes the connection that bd_link_connect () opened. */
void bd_link_disconnect (struct bd_link *link, struct bd_chunk instance);

/**
 * Sends a message without blocking.  Returns BD_OK, BD_ERR_NOT_FOUND when
 * there is no connection, BD_ERR_FULL when the send queue of the peer is full,
 * or BD_ERR_NOMEM.
 */
int bd_link_send (struct bd_link *link, struct bd_chunk instance,
                  const struct bd_message *message);

/**
 * Waits up to TIMEOUT_MS for a message or a change of a connection, or until
 * EXTRA_FD becomes readable (-1: none).
 */
void bd_link_wait (struct bd_link *link, int extra_fd, int timeout_ms);

/**
 * Receives one message without blocking.  FROM, the sender's instance, and the
 * chunks of MESSAGE are valid until the next call.  Returns BD_OK,
 * BD_ERR_TIMEOUT when there is no message, or an error of
 * bd_message_decode ().
 */
int bd_link_receive (struct bd_link *link, struct bd_chunk *from,
                     struct bd_message *message);

/**
 * Gets the next change of a connection that this process opened.  Returns
 * false when there is none.  INSTANCE is valid until bd_link_disconnect ().
 */
bool bd_link_change (struct bd_link *link, struct bd_chunk *instance,
                     enum bd_link_change *change);

const struct bd_link_counts *bd_link_counts (const struct bd_link *link);

#endif
