/**
 * @file mesh.h
 * Gossip between the instances of the gateway over UDP: liveness,
 * configuration revisions, load at each runner, and requests that crashed
 * runners.  Carries the messages about placements as well.
 */
#ifndef BD_MESH_H
#define BD_MESH_H

#include "balance/target.h"
#include "gateway/beacon.h"
#include "gateway/coordination.h"
#include "gateway/stats.h"

#include <uv.h>

/** Most peers known at a time. */
#define BD_MESH_PEERS_MAX 512

struct bd_mesh_options
{
  uv_loop_t *loop;
  uint32_t ip; /**< Address of this instance, network byte order. */
  uint16_t port;
  /** Addresses of the first peers, network byte order. */
  const uint32_t *seeds;
  size_t seed_count;
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_stats *stats;
};

struct bd_mesh_handler
{
  /**
   * Called when the number of live instances changes; COUNT includes this one.
   */
  void (*on_instance_count) (void *context, uint32_t count);
  /**
   * Called when the peer at IP has a newer configuration than this instance.
   */
  void (*on_newer_configuration) (void *context, uint32_t ip,
                                  uint64_t version);
  /**
   * Called when the peer at IP is lost: its process has ended, or it is only
   * SILENT.  May be NULL.
   */
  void (*on_peer_lost) (void *context, uint32_t ip, bool silent);
  /** Called for each message about placements.  May be NULL. */
  void (*on_message) (void *context, uint32_t ip,
                      const struct bd_coordination_message *message);
};

struct bd_mesh;

/** Returns BD_OK, BD_ERR_NOMEM or BD_ERR_IO. */
int bd_mesh_create (const struct bd_mesh_options *options,
                    const struct bd_mesh_handler *handler, void *context,
                    struct bd_mesh **out);

/** Sets the state of this instance that is sent to peers. */
void bd_mesh_set_status (struct bd_mesh *mesh,
                         const struct bd_peer_status *status);

/** Sends MESSAGE to the peer at IP.  Delivery is not guaranteed. */
void bd_mesh_send (struct bd_mesh *mesh, uint32_t ip,
                   const struct bd_coordination_message *message);

/**
 * Fills IPS with at most MAX addresses of live instances, including this one,
 * in the order of rank for KEY (see rank.h).  With INCLUDE_JOINING, joining
 * instances rank as if they had joined.  Returns the number of addresses.
 */
size_t bd_mesh_rank (const struct bd_mesh *mesh, uint64_t key, int64_t now_ms,
                     bool include_joining, uint32_t *ips, size_t max);

/** Sends gossip that is due.  To be called several times a second. */
void bd_mesh_tick (struct bd_mesh *mesh, int64_t now_ms);

/** Sends what is new about crashes of runners, without waiting for a tick: the
    next try of a request may reach a peer within milliseconds. */
void bd_mesh_tell_crashes (struct bd_mesh *mesh, int64_t now_ms);

/** Tells all peers that this instance shuts down. */
void bd_mesh_leave (struct bd_mesh *mesh);

#endif
