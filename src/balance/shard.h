/**
 * @file shard.h
 * Divides the runners of a large service into shards.  Each shard has a
 * coordinator of its own, whose work is bounded so.
 */
#ifndef BD_SHARD_H
#define BD_SHARD_H

#include "balance/target.h"

/**
 * Returns the shard, of SHARDS (at least 1), to which the prefix or the runner
 * with this hash belongs.
 */
uint32_t bd_shard_of (uint64_t prefix_hash, uint32_t shards);

/** Returns into how many shards the runners of SERVICE are divided. */
uint32_t bd_shard_count (struct bd_target *const *targets, size_t count,
                         struct bd_chunk service);

#endif
