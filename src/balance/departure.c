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
