#include "configuration/home_runner.h"
#include "common/string.h"

#include <xxhash.h>

uint64_t
bd_home_runner_score (struct bd_id key, struct bd_chunk instance)
{
  uint64_t words[3] = { key.high, key.low, bd_chunk_hash (instance) };

  return XXH64 (words, sizeof words, 0);
}

bool
bd_home_runner_is (const struct bd_pool *pool, struct bd_id key,
                   struct bd_chunk instance)
{
  uint64_t own_rank = bd_home_runner_score (key, instance);
  bool listed = false;

  for (size_t i = 0; i < pool->runner_count; i++)
    {
      struct bd_chunk other = pool->runners[i].instance;

      if (bd_chunk_equal (other, instance))
        listed = true;
      else if (bd_home_runner_score (key, other) > own_rank)
        return false;
    }
  return listed;
}

uint64_t
bd_home_runner_list_hash (const struct bd_pool *pool)
{
  uint64_t list_hash = 1;

  for (size_t i = 0; i < pool->runner_count; i++)
    {
      uint64_t words[2]
          = { list_hash, bd_chunk_hash (pool->runners[i].instance) };

      list_hash = XXH64 (words, sizeof words, 0);
    }
  return list_hash;
}
