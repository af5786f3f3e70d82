#include "balance/zone_cost.h"

#include <stdbool.h>

/* Delay of the way to another zone and back, with a margin against requests
   that leave for nothing. */
#define LINK_COST_MS 12.0
/* Part of its objective that a request may be later for staying: too little
   for its caller to notice.  A zone where it would be delayed this long has no
   room left. */
#define STAY_RATIO 0.05

double
bd_zone_cost_ms (const struct bd_zone_cost_request *request)
{
  double stay_ms = (double)request->objective_ms * STAY_RATIO;
  bool has_room = request->own_delay_ms < stay_ms * (1.0 - request->draw);

  return has_room ? LINK_COST_MS + stay_ms : LINK_COST_MS;
}
