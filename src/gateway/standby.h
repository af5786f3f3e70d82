/**
 * @file standby.h
 * Sends what a coordinator knows to the instances that may coordinate next, so
 * that they can take over.
 */
#ifndef BD_STANDBY_H
#define BD_STANDBY_H

#include "balance/prefix_map.h"
#include "gateway/mesh.h"

/** The standby coordinators of this instance. */
struct bd_standbys;

/** Returns NULL when out of memory.  PREFIXES must outlive the result. */
struct bd_standbys *bd_standbys_create (const struct bd_prefix_map *prefixes);
void bd_standbys_destroy (struct bd_standbys *standbys);

/**
 * Sets the addresses of the standby coordinators, 0 for none: the next one in
 * rank, and the one that ranks first once it has joined.  A new one is sent
 * all that is known.
 */
void bd_standbys_set (struct bd_standbys *standbys, uint32_t next,
                      uint32_t joining);

/** Queues the location of a prefix. */
void bd_standbys_queue_prefix (struct bd_standbys *standbys,
                               const struct bd_prefix_entry *prefix);

/**
 * Sends what is queued, in a bounded number of datagrams.  COMPLETE: the
 * prefix locations of all runners are known here.
 */
void bd_standbys_send (struct bd_standbys *standbys, struct bd_mesh *mesh,
                       int64_t now_ms, bool complete);

#endif
