#include "placement/affinity.h"

#include "common/random.h"

#include <stdlib.h>
#include <string.h>

struct belief
{
  uint64_t prefix_hash; /**< 0: unused. */
  uint32_t runner;
  uint32_t stamp;
};

struct bd_affinity
{
  uint32_t stamp;
  struct belief beliefs[BD_AFFINITY_SETS][BD_AFFINITY_WAYS];
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
set_of (uint64_t prefix_hash)
{
  return (size_t)(bd_random_mix (prefix_hash) % BD_AFFINITY_SETS);
}

void
bd_affinity_note (struct bd_affinity *affinity, uint64_t prefix_hash,
                  uint32_t runner, bool present)
{
  struct belief *set = affinity->beliefs[set_of (prefix_hash)];
  struct belief *slot = &set[0];

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
    *slot = (struct belief){ prefix_hash, runner, ++affinity->stamp };
  else if (slot->prefix_hash == prefix_hash && slot->runner == runner)
    memset (slot, 0, sizeof *slot);
}

size_t
bd_affinity_holders (const struct bd_affinity *affinity, uint64_t prefix_hash,
                     uint32_t runners[BD_AFFINITY_WAYS])
{
  const struct belief *set = affinity->beliefs[set_of (prefix_hash)];
  size_t count = 0;

  if (prefix_hash == 0)
    return 0;
  for (int i = 0; i < BD_AFFINITY_WAYS; i++)
    if (set[i].prefix_hash == prefix_hash)
      runners[count++] = set[i].runner;
  return count;
}

void
bd_affinity_renumber (struct bd_affinity *affinity, const int *to)
{
  struct belief *b = &affinity->beliefs[0][0];

  for (size_t i = 0; i < (size_t)BD_AFFINITY_SETS * BD_AFFINITY_WAYS; i++)
    {
      if (b[i].prefix_hash == 0)
        continue;
      if (to[b[i].runner] < 0)
        memset (&b[i], 0, sizeof b[i]);
      else
        b[i].runner = (uint32_t)to[b[i].runner];
    }
}
