#include "balance/length_cost.h"

/* Cost of the first short request at a runner, and the addition at one that is
   not short-only: with exact loads, short requests gather at few runners. */
#define FIRST_SHORT_COST_MS 150.0
#define FIRST_SHORT_ON_SHARED_COST_MS 50.0
/* Above STALL_TOKENS waiting for prefill, streams stall too long: the cost
   rises to STALL_COST_MS over the next STALL_RANGE_TOKENS. */
#define STALL_TOKENS 4096.0
#define STALL_RANGE_TOKENS 8192.0
#define STALL_COST_MS 1500.0
/* Ratio of a runner's slots above which each request in flight adds a cost. */
#define CROWDED_RATIO 0.75
#define CROWDED_COST_MS 30.0
/* Cost of a long prompt per short request at the runner, up to a limit. */
#define STALL_SHORT_COST_MS 800.0
#define STALL_SHORT_MAX 8
/* Cost of a long prompt per more urgent long one at the runner, up to a limit.
   Both costs are scaled by SMALL_RATIO for up to SMALL_TOKENS to process. */
#define STALL_URGENT_COST_MS 200.0
#define STALL_URGENT_MAX 8
#define SMALL_TOKENS 6000
#define SMALL_RATIO 0.2

double
bd_length_cost_short_ms (const struct bd_target *target)
{
  const struct bd_assigned_load *load = &target->assigned;
  double excess
      = ((double)load->prefill_tokens - STALL_TOKENS) / STALL_RANGE_TOKENS;
  double crowding = (double)load->in_flight - target->slots * CROWDED_RATIO;
  double ms = 0.0;

  if (excess > 0.0)
    ms += STALL_COST_MS * (excess < 1.0 ? excess : 1.0);
  if (crowding > 0.0)
    ms += crowding * CROWDED_COST_MS;
  if (load->short_in_flight == 0)
    ms += FIRST_SHORT_COST_MS
          + (target->short_only ? 0.0 : FIRST_SHORT_ON_SHARED_COST_MS);
  return ms;
}

/* Counts the long prompts at TARGET that are more urgent than PRIORITY. */
static uint32_t
count_more_urgent (const struct bd_target *target, int priority)
{
  uint32_t count = 0;

  for (int p = 0; p < priority && p < BD_PRIORITIES; p++)
    count += target->assigned.long_in_flight[p];
  return count;
}

double
bd_length_cost_long_ms (const struct bd_selection_request *request,
                        const struct bd_selection *pick)
{
  uint32_t short_count = pick->target->assigned.short_in_flight;
  uint32_t urgent_count = count_more_urgent (pick->target, request->priority);
  bool is_small = pick->prefill_tokens + pick->ahead_tokens <= SMALL_TOKENS;
  double ms;

  if (short_count > STALL_SHORT_MAX)
    short_count = STALL_SHORT_MAX;
  if (urgent_count > STALL_URGENT_MAX)
    urgent_count = STALL_URGENT_MAX;
  ms = short_count * STALL_SHORT_COST_MS + urgent_count * STALL_URGENT_COST_MS;
  return is_small ? ms * SMALL_RATIO : ms;
}
