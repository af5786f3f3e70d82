#include "balance/target_load.h"

struct bd_target_load
bd_target_load_for (const struct bd_selection_request *request,
                    const struct bd_target *target)
{
  struct bd_target_load reported
      = { target->in_flight + target->peers_in_flight,
          target->prefill_tokens + target->peers_prefill_tokens };
  struct bd_target_load assigned
      = { target->assigned.in_flight, target->assigned.prefill_tokens };

  if (!request->coordinated)
    return reported;
  if (request->learning && reported.in_flight > assigned.in_flight)
    assigned.in_flight = reported.in_flight;
  if (request->learning && reported.prefill_tokens > assigned.prefill_tokens)
    assigned.prefill_tokens = reported.prefill_tokens;
  return assigned;
}

/* Of WITHOUT_SLOT requests that wait for a slot, counts those that get one
   before a request of PRIORITY. */
static uint32_t
queued_before (const struct bd_target *target, int priority,
               uint32_t without_slot)
{
  uint32_t before = 0;

  for (int p = 0; p <= priority && p < BD_PRIORITIES; p++)
    before += target->assigned.awaiting_first_event[p];
  return before < without_slot ? before : without_slot;
}

double
bd_target_load_slot_wait_ms (const struct bd_selection_request *request,
                             const struct bd_target *target,
                             const struct bd_target_load *load,
                             double residence_ms)
{
  uint32_t slots = target->slots;
  uint32_t without_slot;

  if (slots == 0 || load->in_flight < slots)
    return 0.0;
  without_slot = load->in_flight - slots;
  if (request->coordinated)
    without_slot = queued_before (target, request->priority, without_slot);
  return (without_slot + 1) * residence_ms / slots;
}
