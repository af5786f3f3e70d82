#include "balance/shard.h"

#include "common/random.h"

/* Most runners of a shard, which bounds the work of its coordinator. */
#define SHARD_RUNNERS_MAX 64

uint32_t
bd_shard_count (struct bd_target *const *targets, size_t count,
                struct bd_chunk service)
{
  uint32_t runners = 0;

  for (size_t i = 0; i < count; i++)
    runners += bd_target_usable (targets[i])
               && bd_chunk_equal (targets[i]->service, service);
  return runners <= SHARD_RUNNERS_MAX
             ? 1
             : (runners + SHARD_RUNNERS_MAX - 1) / SHARD_RUNNERS_MAX;
}

uint32_t
bd_shard_of (uint64_t prefix_hash, uint32_t shards)
{
  uint32_t best = 0;

  /* Rendezvous hashing: a new number of shards moves few prefixes. */
  for (uint32_t s = 1; s < shards; s++)
    if (bd_random_mix (prefix_hash + s) > bd_random_mix (prefix_hash + best))
      best = s;
  return best;
}
