/**
 * @file coordinator.h
 * Chooses runners for the requests of all instances that ask, with exact
 * knowledge of what these instances have in flight.  Sends the locations of
 * cached prefixes to the standby coordinators, so that they can take over.
 */
#ifndef BD_COORDINATOR_H
#define BD_COORDINATOR_H

#include "balance/decision.h"
#include "gateway/inventory.h"
#include "gateway/origin_lookup.h"
#include "gateway/mesh.h"
#include "gateway/coordination.h"

struct bd_coordinator;

struct bd_coordinator_options
{
  uint32_t ip; /**< Address of this instance, network byte order. */
  struct bd_selector *selector;
  struct bd_targets *targets;
  struct bd_stats *stats;
  /** Asks runners which prefixes they hold.  May be NULL. */
  struct bd_inventory *inventory;
  /** Which software versions began the streams of all instances. */
  struct bd_stream_origins *origins;
};

struct bd_coordinator *
bd_coordinator_create (const struct bd_coordinator_options *options);
void bd_coordinator_destroy (struct bd_coordinator *coordinator);

/** Sets the mesh that messages are sent through; until then none is sent. */
void bd_coordinator_set_mesh (struct bd_coordinator *coordinator,
                              struct bd_mesh *mesh);

/**
 * Chooses a runner for a request of the instance at IP, and enters the request
 * in the ledger unless it is refused or no runner can take it.
 */
struct bd_coordination_reply
bd_coordinator_decide (struct bd_coordinator *coordinator, uint32_t ip,
                       const struct bd_coordination_query *query,
                       int64_t now_ms);

/** Finds out what is known of the stream that the caller of QUERY continues.
 */
struct bd_found_origin
bd_coordinator_find_origin (struct bd_coordinator *coordinator,
                            const struct bd_coordination_query *query,
                            int64_t now_ms);

/**
 * Enters a request in the ledger that the instance at IP placed without a
 * reply of this coordinator.
 */
void bd_coordinator_add_placed (struct bd_coordinator *coordinator,
                                uint32_t ip,
                                const struct bd_coordination_notice *notice,
                                int64_t now_ms);

/**
 * Handles a report of the instance at IP: the prompt of a request has been
 * read, or the attempt has ended.
 */
void bd_coordinator_handle_report (struct bd_coordinator *coordinator,
                                   uint32_t ip,
                                   const struct bd_coordination_report *report,
                                   int64_t now_ms);

/**
 * Handles a message of the instance at IP other than a reply; replies to
 * queries.
 */
void bd_coordinator_handle (struct bd_coordinator *coordinator, uint32_t ip,
                            const struct bd_coordination_message *message,
                            int64_t now_ms);

/**
 * Handles the loss of the instance at IP at NOW_MS.  Its requests in flight
 * have ended with its process; if it is only SILENT, they may still be
 * running.
 */
void bd_coordinator_instance_lost (struct bd_coordinator *coordinator,
                                   uint32_t ip, bool silent, int64_t now_ms);

/** Returns the key by which instances are ranked for a shard of a service. */
uint64_t bd_coordinator_shard_key (struct bd_chunk service, uint32_t shard);

/**
 * Removes expired requests from the ledger, and sends prefix locations to the
 * standby coordinators.  To be called about every 100 ms.
 */
void bd_coordinator_tick (struct bd_coordinator *coordinator, int64_t now_ms);

#endif
