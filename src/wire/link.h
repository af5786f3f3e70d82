/**
 * @file link.h
 * The ZeroMQ sockets between our processes.  Used by one thread only.
 *
 * Each daemon binds one ROUTER socket, and an entry opens a second one that
 * connects to sidecars and other entries.  Peers are addressed by instance
 * name.
 */
#ifndef BD_LINK_H
#define BD_LINK_H

#include "wire/message.h"

struct bd_link_settings
{
  const char *instance;
  const char *address;      /**< IP:PORT that is bound. */
  const char *curve_public; /**< Z85; "" for plain. */
  const char *curve_secret; /**< Z85. */
};

/** Bytes and messages, by control (1) and work (0). */
struct bd_link_counts
{
  uint64_t sent[2];
  uint64_t sent_bytes[2];
  uint64_t received[2];
  uint64_t received_bytes[2];
};

/** What a connection that this process opened did. */
enum bd_link_change
{
  BD_LINK_UP,
  BD_LINK_LOST
};

struct bd_link;

/** Binds; port 0 takes a free one.  Returns NULL and sets *ERROR (BD_ERR_IO,
 * BD_ERR_NOMEM). */
struct bd_link *bd_link_create (const struct bd_link_settings *settings,
                                int *error);
void bd_link_destroy (struct bd_link *link);

/** The address that is bound, as "IP:PORT". */
const char *bd_link_address (const struct bd_link *link);

/**
 * Opens a connection to a daemon that binds ADDRESS ("IP:PORT").  It is
 * reopened by itself when lost.  Returns BD_OK or BD_ERR_IO.
 */
int bd_link_connect (struct bd_link *link, struct bd_chunk instance,
                     struct bd_chunk address);

void bd_link_disconnect (struct bd_link *link, struct bd_chunk instance);

/**
 * Sends without waiting.  Returns BD_OK, BD_ERR_NOT_FOUND when there is no
 * connection, BD_ERR_FULL when the peer does not read, or BD_ERR_NOMEM.
 */
int bd_link_send (struct bd_link *link, struct bd_chunk instance,
                  const struct bd_message *message);

/**
 * Waits up to TIMEOUT_MS for something to read, or for EXTRA_FD to become
 * readable.
 */
void bd_link_wait (struct bd_link *link, int extra_fd, int timeout_ms);

/**
 * Takes one message.  FROM and the message's chunks are valid until the next
 * call.  Returns BD_OK, BD_ERR_TIMEOUT when there is none, or what
 * bd_message_decode () says.
 */
int bd_link_receive (struct bd_link *link, struct bd_chunk *from,
                     struct bd_message *message);

/**
 * Takes one change of an opened connection.  Returns false when there is
 * none.  INSTANCE is valid until the connection is closed by this process.
 */
bool bd_link_change (struct bd_link *link, struct bd_chunk *instance,
                     enum bd_link_change *change);

const struct bd_link_counts *bd_link_counts (const struct bd_link *link);

#endif
