/**
 * @file mesh.h
 * What the instances of the gateway tell each other in datagrams: that they
 * live, which revisions they hold, what they have in flight at each runner,
 * and which requests crashed runners.
 */
#ifndef BD_MESH_H
#define BD_MESH_H

#include "balance/target.h"
#include "gateway/news.h"
#include "gateway/placing.h"
#include "gateway/stats.h"

#include <uv.h>

/** Most peers known at a time. */
#define BD_MESH_PEERS_MAX 512

struct bd_mesh_options
{
  uv_loop_t *loop;
  uint32_t ip; /**< Of this instance, network byte order. */
  uint16_t port;
  const uint32_t *seeds; /**< Addresses of peers to begin with. */
  size_t seed_count;
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  struct bd_stats *stats;
};

struct bd_mesh_handler
{
  /** How many instances are alive, this one included. */
  void (*on_members) (void *context, uint32_t count);
  /** The peer at IP holds a newer configuration than this instance. */
  void (*on_newer) (void *context, uint32_t ip, uint64_t revision);
  /** The process at IP has ended, or has only fallen SILENT.  May be NULL.
   */
  void (*on_gone) (void *context, uint32_t ip, bool silent);
  /** A message about placements came.  May be NULL. */
  void (*on_message) (void *context, uint32_t ip,
                      const struct bd_placing_message *message);
};

struct bd_mesh;

/** Returns BD_OK, BD_ERR_NOMEM or BD_ERR_IO. */
int bd_mesh_create (const struct bd_mesh_options *options,
                    const struct bd_mesh_handler *handler, void *context,
                    struct bd_mesh **out);

/** What peers are told of this instance from now on. */
void bd_mesh_tell (struct bd_mesh *mesh, const struct bd_peer_facts *facts);

/** Sends MESSAGE to the peer at IP; it may get lost. */
void bd_mesh_send (struct bd_mesh *mesh, uint32_t ip,
                   const struct bd_placing_message *message);

/**
 * The instances, this one included, that are best placed to decide on KEY,
 * in an order that all instances agree on: those able, by their state, of
 * these the stronger ones.  Returns how many of at most MAX were filled in.
 * With COMING, those that join rank as if they had.
 */
size_t bd_mesh_rank (const struct bd_mesh *mesh, uint64_t key, int64_t now_ms,
                     bool coming, uint32_t *ips, size_t max);

/** Sends the news that are due; call several times a second. */
void bd_mesh_tick (struct bd_mesh *mesh, int64_t now_ms);

/** This instance leaves: peers are told. */
void bd_mesh_leave (struct bd_mesh *mesh);

#endif
