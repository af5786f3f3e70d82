#include "gateway/origin_lookup.h"

#include "balance/former_software.h"
#include "common/clock.h"
#include "common/log.h"

/* Time until an instance has told of a stream that just began; before, runners
   are not asked for it. */
#define ORIGIN_DELAY_MS 40
/* Within this time from the end of a runner its callers have come again.  It
   covers how long a runner serves whose entry was deleted, and how long a
   crashed one's stays. */
#define COME_AGAIN_MS 10000

static struct bd_found_origin
origin_verdict (enum bd_coordination_verdict verdict)
{
  return (struct bd_found_origin){ .verdict = verdict };
}

/* Returns since when the end of a runner leaves in doubt what it began.  When
   it ended before, its callers came again while instances knew their streams,
   and these went on at runners of the same version, which hold the prompts. */
static int64_t
doubtful_since_ms (const struct bd_origin_lookup *lookup, int64_t now_ms)
{
  int64_t lost_ms = bd_targets_first_list_ms (lookup->targets);
  int64_t oldest_ms = now_ms - BD_FORMER_SOFTWARE_MS;

  if (lost_ms < lookup->instance_lost_ms)
    lost_ms = lookup->instance_lost_ms;
  return lost_ms - COME_AGAIN_MS > oldest_ms ? lost_ms - COME_AGAIN_MS
                                             : oldest_ms;
}

/* Whether a process that ran before under the identifier of TARGET may have
   ended since SINCE_MS.  Restarts since the first list are known to the table
   of runners. */
static bool
may_have_restarted (const struct bd_target *target, int64_t since_ms,
                    int64_t now_ms)
{
  return target->may_have_predecessor && target->started_ms != 0
         && bd_clock_wall_ms () - target->started_ms <= now_ms - since_ms;
}

/* Returns why TARGET may have begun a stream that it does not list; NULL: it
   has not begun it. */
static const char *
doubt_of_target (const struct bd_target *target, int64_t since_ms,
                 int64_t now_ms)
{
  if (target->state == BD_TARGET_GONE)
    return NULL;
  if (!bd_inventory_has_told (target, now_ms))
    return "silent";
  return may_have_restarted (target, since_ms, now_ms) ? "restarted" : NULL;
}

/* Whether a runner of another version than SOFTWARE may have begun a stream
   and cannot tell so: it has ended, or has not told what it holds.  Then it
   shows nothing that a runner of SOFTWARE holds the prompt, which it may have
   from another request of the session, or from an attempt that had no event.
 */
static bool
other_may_have_begun (const struct bd_origin_lookup *lookup,
                      struct bd_chunk service, uint64_t software,
                      int64_t now_ms)
{
  int64_t since_ms = doubtful_since_ms (lookup, now_ms);
  const char *reason = NULL;
  const char *runner = "-";
  size_t count;
  struct bd_target *const *all
      = bd_targets_of_service (lookup->targets, service, &count);

  if (bd_targets_had_other_software (lookup->targets, service, software,
                                     since_ms))
    reason = "ended";
  for (size_t i = 0; i < count && !reason; i++)
    if (all[i]->software.hash != software)
      {
        reason = doubt_of_target (all[i], since_ms, now_ms);
        runner = all[i]->id.data;
      }
  if (reason)
    bd_log (BD_EVENT_ORIGIN_DOUBTED, "service=%.*s runner=%s reason=%s",
            (int)service.length, service.data, runner, reason);
  return reason != NULL;
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
                                         now_ms, &holder)
          && !other_may_have_begun (lookup, query->service, holder.software,
                                    now_ms))
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
