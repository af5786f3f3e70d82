/**
 * @file rank.h
 * The order in which instances are asked to decide for others.  All that know
 * of the same instances agree on it.
 */
#ifndef BD_RANK_H
#define BD_RANK_H

#include "gateway/news.h"

/** Most instances that are ranked. */
#define BD_RANK_MAX 8

struct bd_ranked
{
  uint32_t ip;
  struct bd_peer_facts facts;
};

/**
 * Fills IPS with the best of ALL for KEY, at most MAX: those able, by their
 * state, of these the stronger ones.  Returns how many.
 */
size_t bd_rank (const struct bd_ranked *all, size_t count, uint64_t key,
                uint32_t *ips, size_t max);

#endif
