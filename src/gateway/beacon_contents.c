#include "gateway/beacon_contents.h"

#include "common/log.h"

#include <arpa/inet.h>
#include <inttypes.h>

/* How long the shutdown of a runner is gossiped: repeated because datagrams
   get lost, and not for long because the store shows it as well. */
#define LEAVING_GOSSIP_MS 5000
/* How long the end of a rate limit is gossiped. */
#define LIMIT_END_GOSSIP_MS 5000

static bool
is_ejected (const struct bd_target *target, int64_t now_ms)
{
  return now_ms < target->health.ejected_until_ms;
}

void
bd_beacon_add_loads (struct bd_targets *targets, struct bd_beacon *beacon,
                     int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  beacon->has_loads = true;
  for (size_t i = 0; i < count && beacon->load_count < BD_BEACON_LOADS_MAX;
       i++)
    if (all[i]->in_flight > 0 || is_ejected (all[i], now_ms))
      beacon->loads[beacon->load_count++] = (struct bd_beacon_load){
        .target = (uint32_t)all[i]->hash,
        .in_flight = all[i]->in_flight,
        .token_units
        = (uint32_t)(all[i]->prefill_tokens / BD_BEACON_TOKENS_PER_UNIT),
        .ejected = is_ejected (all[i], now_ms),
      };
}

void
bd_beacon_reset_loads (struct bd_targets *targets)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  for (size_t i = 0; i < count; i++)
    {
      all[i]->peers_in_flight = 0;
      all[i]->peers_prefill_tokens = 0;
      all[i]->peers_ejecting = 0;
    }
}

void
bd_beacon_apply_loads (struct bd_targets *targets,
                       const struct bd_beacon_load *loads, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct bd_target *target = bd_targets_by_hash (targets, loads[i].target);

      if (!target)
        continue;
      target->peers_in_flight += loads[i].in_flight;
      target->peers_ejecting += loads[i].ejected;
      target->peers_prefill_tokens
          += (uint64_t)loads[i].token_units * BD_BEACON_TOKENS_PER_UNIT;
    }
}

void
bd_beacon_add_leaving (struct bd_targets *targets, struct bd_beacon *beacon,
                       int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  for (size_t i = 0;
       i < count && beacon->leaving_count < BD_BEACON_LEAVING_MAX; i++)
    if (all[i]->leaving_received_here && all[i]->leaving_ms != 0
        && now_ms - all[i]->leaving_ms < LEAVING_GOSSIP_MS)
      beacon->leaving_runners[beacon->leaving_count++]
          = (struct bd_beacon_leaving_runner){
              (uint32_t)all[i]->hash, all[i]->leaving_started_max_ms
            };
}

void
bd_beacon_apply_leaving (struct bd_targets *targets,
                         const struct bd_beacon *beacon, int64_t now_ms)
{
  for (size_t i = 0; i < beacon->leaving_count; i++)
    {
      const struct bd_beacon_leaving_runner *leaving
          = &beacon->leaving_runners[i];
      struct bd_target *target = bd_targets_by_hash (targets, leaving->target);

      if (target)
        bd_targets_set_leaving (targets, target, leaving->started_max_ms,
                                now_ms, false);
    }
}

/* The end of a limit is gossiped for a while only: an instance that never
   hears of it finds out by the runner's next response. */
static bool
is_limit_gossiped (const struct bd_target *target, int64_t now_ms)
{
  return target->limit.rate != 0
         || (target->limit.heard_ms != 0
             && now_ms - target->limit.heard_ms < LIMIT_END_GOSSIP_MS);
}

void
bd_beacon_add_limits (struct bd_targets *targets, struct bd_beacon *beacon,
                      uint32_t round, int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);
  size_t gossiped = 0;
  size_t skipped = 0;

  for (size_t i = 0; i < count; i++)
    gossiped += is_limit_gossiped (all[i], now_ms);
  if (gossiped > BD_BEACON_LIMITS_MAX)
    skipped = (size_t)round * BD_BEACON_LIMITS_MAX % gossiped;
  for (size_t i = 0; i < count && beacon->limit_count < BD_BEACON_LIMITS_MAX;
       i++)
    if (!is_limit_gossiped (all[i], now_ms))
      continue;
    else if (skipped > 0)
      skipped--;
    else
      beacon->limits[beacon->limit_count++]
          = bd_limit_notice_of (all[i], now_ms);
}

void
bd_beacon_apply_limits (const struct bd_targets *targets,
                        const struct bd_beacon *beacon, int64_t now_ms)
{
  for (size_t i = 0; i < beacon->limit_count; i++)
    bd_limit_notice_apply (targets, &beacon->limits[i], now_ms);
}

void
bd_beacon_apply_strikes (struct bd_suspects *suspects,
                         const struct bd_beacon *beacon, int64_t now_ms)
{
  for (size_t i = 0; i < beacon->strike_count; i++)
    {
      const struct bd_strike *strike = &beacon->strikes[i];

      if (bd_suspects_record_gossip (suspects, now_ms, strike))
        bd_log (BD_EVENT_STRIKE_HEARD,
                "fingerprint=%016" PRIx64 " crash=%016" PRIx64
                " alone=%d cleared=%d age_ms=%" PRId64 " from=%08x",
                strike->fingerprint, strike->crash.low, (int)strike->alone,
                (int)strike->cleared, strike->age_ms, ntohl (beacon->ip));
    }
}

size_t
bd_beacon_add_strikes (struct bd_beacon *beacon,
                       const struct bd_strike_queue *queue,
                       const struct bd_suspects *suspects, size_t *cursor,
                       int64_t now_ms)
{
  size_t max = BD_BEACON_STRIKES_WITH_LOADS;
  size_t new_end = bd_strike_queue_add_to (
      queue, 0, beacon, now_ms,
      beacon->has_loads ? max : BD_BEACON_STRIKES_MAX);

  if (beacon->strike_count < max)
    beacon->strike_count += bd_suspects_list (
        suspects, now_ms, cursor, &beacon->strikes[beacon->strike_count],
        max - beacon->strike_count);
  return new_end;
}

void
bd_beacon_add_parts (struct bd_beacon *beacon,
                     struct bd_part_breakers *breakers, size_t *cursor,
                     int64_t now_ms)
{
  beacon->part_count = bd_part_breakers_next_notices (
      breakers, now_ms, beacon->parts, BD_BEACON_PARTS_MAX);
  if (cursor)
    beacon->part_count += bd_part_breakers_list (
        breakers, now_ms, cursor, beacon->parts + beacon->part_count,
        BD_BEACON_PARTS_MAX - beacon->part_count);
}

void
bd_beacon_apply_parts (struct bd_part_breakers *breakers,
                       const struct bd_beacon *beacon, int64_t now_ms)
{
  for (size_t i = 0; i < beacon->part_count; i++)
    {
      const struct bd_part_notice *notice = &beacon->parts[i];

      if (bd_part_breakers_apply (breakers, now_ms, notice))
        bd_log (BD_EVENT_PART_HEARD,
                "part=%016" PRIx64 " harmless=%d crash=%016" PRIx64
                " crashes=%u age_ms=%" PRId64 " from=%08x",
                notice->part, (int)notice->harmless, notice->crash.low,
                bd_part_breakers_crashes (breakers, notice->part),
                notice->age_ms, ntohl (beacon->ip));
    }
}
