/**
 * @file rank.h
 * Ranks the instances that can coordinate a shard.  Instances that know the
 * same peers get the same order.
 */
#ifndef BD_RANK_H
#define BD_RANK_H

#include "gateway/beacon.h"

/** Most instances in a ranking. */
#define BD_RANK_MAX 8

struct bd_rank_entry
{
  uint32_t ip;
  struct bd_peer_status status;
};

/**
 * Fills IPS with at most MAX addresses of ALL, in the order of rank for KEY:
 * by state, then strong instances (processor share), then by rendezvous hash.
 * Unable instances are left out.  Returns the number of addresses.
 */
size_t bd_rank (const struct bd_rank_entry *all, size_t count, uint64_t key,
                uint32_t *ips, size_t max);

#endif
