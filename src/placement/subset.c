#include "placement/subset.h"

#include "common/string.h"
#include "common/random.h"

#include <stdlib.h>
#include <string.h>

/** Sorts local runners first, then by descending score. */
static int
compare_members (const void *a, const void *b)
{
  const struct bd_subset_member *x = a;
  const struct bd_subset_member *y = b;

  if (x->local != y->local)
    return x->local ? -1 : 1;
  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return (x->index > y->index) - (x->index < y->index);
}

size_t
bd_subset_select (uint64_t entry, struct bd_chunk zone,
                  const struct bd_placement_runner *runners, size_t count,
                  size_t size, struct bd_subset_member *members)
{
  size_t local = 0;
  size_t local_taken;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t name = bd_chunk_hash (runners[i].instance);

      members[i].index = i;
      members[i].score = bd_random_mix (entry ^ bd_random_mix (name));
      members[i].local = bd_chunk_equal (runners[i].zone, zone);
      local += members[i].local ? 1 : 0;
    }
  if (size == 0 || count <= size)
    return count;
  qsort (members, count, sizeof *members, compare_members);
  local_taken = local < (size + 1) / 2 ? local : (size + 1) / 2;
  if (count - local < size - local_taken)
    local_taken = size - (count - local);
  memmove (&members[local_taken], &members[local],
           (size - local_taken) * sizeof *members);
  return size;
}
