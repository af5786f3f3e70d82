#include "placement/affinity.h"

#include "common/random.h"

#include <stdlib.h>
#include <string.h>

struct cache_entry
{
  uint64_t prefix_hash; /**< 0: unused. */
  uint32_t runner;
  uint32_t stamp;
};

struct bd_affinity
{
  uint32_t stamp;
  struct cache_entry entries[BD_AFFINITY_SETS][BD_AFFINITY_WAYS];
};

struct bd_affinity *
bd_affinity_create (void)
{
  return calloc (1, sizeof (struct bd_affinity));
}

void
bd_affinity_destroy (struct bd_affinity *affinity)
{
  free (affinity);
}

static size_t
set_index (uint64_t prefix_hash)
{
  return (size_t)(bd_random_mix (prefix_hash) % BD_AFFINITY_SETS);
}

void
bd_affinity_record (struct bd_affinity *affinity, uint64_t prefix_hash,
                    uint32_t runner, bool present)
{
  struct cache_entry *set = affinity->entries[set_index (prefix_hash)];
  struct cache_entry *slot = &set[0];

  if (prefix_hash == 0)
    return;
  for (int i = 0; i < BD_AFFINITY_WAYS; i++)
    {
      if (set[i].prefix_hash == prefix_hash && set[i].runner == runner)
        {
          slot = &set[i];
          break;
        }
      if (set[i].stamp < slot->stamp)
        slot = &set[i];
    }
  if (present)
    *slot = (struct cache_entry){ prefix_hash, runner, ++affinity->stamp };
  else if (slot->prefix_hash == prefix_hash && slot->runner == runner)
    memset (slot, 0, sizeof *slot);
}

size_t
bd_affinity_holders (const struct bd_affinity *affinity, uint64_t prefix_hash,
                     uint32_t runners[BD_AFFINITY_WAYS])
{
  const struct cache_entry *set = affinity->entries[set_index (prefix_hash)];
  size_t count = 0;

  if (prefix_hash == 0)
    return 0;
  for (int i = 0; i < BD_AFFINITY_WAYS; i++)
    if (set[i].prefix_hash == prefix_hash)
      runners[count++] = set[i].runner;
  return count;
}

void
bd_affinity_remap (struct bd_affinity *affinity, const int *to)
{
  struct cache_entry *entry = &affinity->entries[0][0];

  for (size_t i = 0; i < (size_t)BD_AFFINITY_SETS * BD_AFFINITY_WAYS; i++)
    {
      if (entry[i].prefix_hash == 0)
        continue;
      if (to[entry[i].runner] < 0)
        memset (&entry[i], 0, sizeof entry[i]);
      else
        entry[i].runner = (uint32_t)to[entry[i].runner];
    }
}
