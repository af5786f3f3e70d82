#include "balance/zone_cost.h"

/* Delay of the way to another zone and back, with a margin against requests
   that leave for nothing. */
#define LINK_COST_MS 12.0
/* Part of its objective that a request may be later for staying: too little
   for its caller to notice. */
#define STAY_RATIO 0.1
/* Part of that time which the zone's runners may wait and still have room. */
#define ROOM_RATIO 0.25
/* How much longer a fetch takes between zones. */
#define FETCH_FACTOR 2.0
#define TOKENS_PER_K 1000.0
#define US_PER_MS 1000.0

double
bd_zone_cost_ms (const struct bd_zone_cost_request *request)
{
  double stay_ms = (double)request->objective_ms * STAY_RATIO;
  double room_ms = stay_ms * ROOM_RATIO;
  double ratio = request->draw;

  if (request->own_wait_ms < room_ms)
    {
      double room = 1.0 - request->own_wait_ms / room_ms;

      ratio = room > ratio ? room : ratio;
    }
  return LINK_COST_MS + stay_ms * ratio;
}

double
bd_zone_cost_fetch_ms (uint64_t tokens, uint32_t us_per_k)
{
  return FETCH_FACTOR * (double)tokens / TOKENS_PER_K * us_per_k / US_PER_MS;
}
