#include "balance/short_only.h"

/*
 * A long prompt delays every token of the requests beside it, so some runners
 * of a service are reserved for short prompts: the first ones in the order of
 * their hashes, which is the same at every instance.
 */
static void
set_short_only (struct bd_target *const *runners, size_t count)
{
  size_t remaining = 0;

  for (size_t i = 0; i < count; i++)
    remaining += bd_target_usable (runners[i]);
  remaining = remaining < BD_TARGET_SHORT_RUNNERS_MIN
                  ? 0
                  : (remaining + BD_TARGET_SHORT_ONE_IN - 1)
                        / BD_TARGET_SHORT_ONE_IN;
  for (size_t i = 0; i < count; i++)
    {
      runners[i]->short_only = remaining > 0 && bd_target_usable (runners[i]);
      remaining -= runners[i]->short_only;
    }
}

void
bd_short_only_update (struct bd_target *const *targets, size_t count)
{
  size_t first = 0;

  for (size_t i = 1; i <= count; i++)
    if (i == count
        || !bd_chunk_equal (targets[i]->service, targets[first]->service))
      {
        set_short_only (&targets[first], i - first);
        first = i;
      }
}
