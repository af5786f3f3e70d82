#include "balance/departure.h"

void
bd_departures_record (struct bd_departures *departures, int64_t now_ms,
                      uint64_t runner, int64_t started_ms)
{
  departures->items[departures->count++ % BD_DEPARTURES_MAX]
      = (struct bd_departure){ runner, started_ms, now_ms };
}

bool
bd_departures_contain (const struct bd_departures *departures, int64_t now_ms,
                       uint64_t runner, int64_t started_ms)
{
  size_t kept = departures->count < BD_DEPARTURES_MAX ? departures->count
                                                      : BD_DEPARTURES_MAX;

  for (size_t i = 0; i < kept; i++)
    {
      const struct bd_departure *departure = &departures->items[i];

      if (departure->runner == runner && started_ms <= departure->started_ms
          && now_ms - departure->departed_ms < BD_DEPARTURE_MS)
        return true;
    }
  return false;
}

bool
bd_departure_is_known (const struct bd_target *target,
                       const struct bd_target_entry *entry)
{
  return (target->state == BD_TARGET_DRAINING
          || target->state == BD_TARGET_GONE)
         && entry->started_ms <= target->started_ms;
}

bool
bd_departure_is_open (const struct bd_target *target, int64_t now_ms)
{
  return target->distrusted || target->deleted_in_doubt
         || (target->leaving_ms != 0
             && now_ms - target->leaving_ms < BD_TARGET_LEAVING_MAX_MS)
         || (target->limit.rate != 0
             && now_ms - target->limit.heard_ms < BD_TARGET_LEAVING_MAX_MS)
         || now_ms < target->pause.until_ms;
}
