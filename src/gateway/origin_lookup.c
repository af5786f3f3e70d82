#include "gateway/origin_lookup.h"

/* Time until an instance has told of a stream that just began; before, runners
   are not asked for it. */
#define ORIGIN_DELAY_MS 40

static struct bd_found_origin
origin_verdict (enum bd_coordination_verdict verdict)
{
  return (struct bd_found_origin){ .verdict = verdict };
}

/* Returns what HOLDER shows.  A list does not say who made it: another process
   may have the address by now.  It was the listed one if that has written its
   entry anew since. */
static struct bd_found_origin
origin_from_holder (const struct bd_origin_lookup *lookup,
                    const struct bd_stream_holder *holder)
{
  struct bd_found_origin found
      = { BD_COORDINATION_PLACED, holder->software, holder->target, false };
  const struct bd_target *target
      = bd_targets_by_hash (lookup->targets, holder->target);

  if (holder->software == BD_SOFTWARE_UNCERTAIN || !target
      || target->software.hash != holder->software)
    return origin_verdict (BD_COORDINATION_ORIGIN_UNKNOWN);
  found.confirmed = target->renewed_ms > holder->listed_ms;
  return found;
}

/* Looks for the origin in what runners hold.  Asks them if that is not known.
 */
static struct bd_found_origin
find_holder (const struct bd_origin_lookup *lookup,
             const struct bd_coordination_query *query, int64_t now_ms)
{
  struct bd_inventory *inventory = lookup->inventory;
  struct bd_stream_holder holder;

  if (!inventory || query->own_part == 0)
    return origin_verdict (BD_COORDINATION_ORIGIN_UNKNOWN);
  switch (bd_inventory_state (inventory, query->service, now_ms))
    {
    case BD_INVENTORY_KNOWN:
      if (bd_stream_origins_find_holder (lookup->origins, query->own_part,
                                         now_ms, &holder))
        return origin_from_holder (lookup, &holder);
      return origin_verdict (BD_COORDINATION_ORIGIN_UNKNOWN);
    case BD_INVENTORY_OLD:
      bd_inventory_query (inventory, query->service, now_ms);
      break;
    case BD_INVENTORY_ASKED:
      break;
    }
  return origin_verdict (BD_COORDINATION_ORIGIN_PENDING);
}

struct bd_found_origin
bd_origin_lookup (const struct bd_origin_lookup *lookup,
                  const struct bd_coordination_query *query, int64_t now_ms)
{
  uint64_t software
      = bd_stream_origins_find (lookup->origins, query->stream, now_ms);

  if (software == BD_SOFTWARE_UNCERTAIN)
    return origin_verdict (BD_COORDINATION_ORIGIN_UNKNOWN);
  if (software != BD_SOFTWARE_ANY)
    return (struct bd_found_origin){ BD_COORDINATION_PLACED, software, 0,
                                     true };
  if (query->waited_ms < ORIGIN_DELAY_MS)
    return origin_verdict (BD_COORDINATION_ORIGIN_PENDING);
  return find_holder (lookup, query, now_ms);
}

uint64_t
bd_origin_preferred (const struct bd_stream_origins *origins,
                     const struct bd_coordination_query *query, int64_t now_ms)
{
  return query->is_retry ? BD_SOFTWARE_ANY
                         : bd_stream_origins_find_prompt (
                             origins, query->own_part, now_ms);
}

bool
bd_origin_has_several (struct bd_targets *targets, struct bd_chunk service)
{
  size_t count;
  struct bd_target *const *all
      = bd_targets_of_service (targets, service, &count);

  for (size_t i = 1; i < count; i++)
    if (all[i]->software.hash != all[0]->software.hash)
      return true;
  return false;
}
