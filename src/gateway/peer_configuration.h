/**
 * @file peer_configuration.h
 * Fetches the configuration from a peer when a peer has a newer one, for an
 * instance that gets no answer from the platform's store.
 */
#ifndef BD_PEER_CONFIGURATION_H
#define BD_PEER_CONFIGURATION_H

#include "http/client.h"

/**
 * Called when a newer configuration was received, which the store had at
 * REVISION.  DATA is valid until the function returns.
 */
typedef void (*bd_peer_configuration_on_received) (void *context,
                                                   struct bd_chunk data,
                                                   uint64_t revision);

struct bd_peer_configuration;

/**
 * ADDRESS gives the port at which peers serve the configuration.  CLIENT must
 * outlive the result.  Returns NULL if memory is exhausted.
 */
struct bd_peer_configuration *bd_peer_configuration_create (
    struct bd_client *client, const struct sockaddr_in *address,
    bd_peer_configuration_on_received on_received, void *context);

/** Must not be called while a fetch is in progress. */
void
bd_peer_configuration_destroy (struct bd_peer_configuration *configuration);

/** Tells that the configuration of VERSION is active here. */
void
bd_peer_configuration_set_active (struct bd_peer_configuration *configuration,
                                  uint64_t version);

/**
 * Tells that the peer at IP has a newer configuration.  Fetches it, unless it
 * may still arrive from the store, or a fetch is in progress or was started
 * lately.
 */
void
bd_peer_configuration_announced (struct bd_peer_configuration *configuration,
                                 uint32_t ip, int64_t now_ms);

/** Cancels a fetch that takes too long. */
void bd_peer_configuration_tick (struct bd_peer_configuration *configuration,
                                 int64_t now_ms);

#endif
