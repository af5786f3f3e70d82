/**
 * @file load.h
 * What is at work at a runner, as the one that decides knows it.
 */
#ifndef BD_LOAD_H
#define BD_LOAD_H

#include "balance/choice.h"

struct bd_target_load
{
  uint32_t in_flight;
  uint64_t prefill_tokens; /**< Of prompts, not read yet. */
};

/** The load of TARGET that counts for DEMAND. */
struct bd_target_load bd_target_load_for (const struct bd_demand *request,
                                          const struct bd_target *target);

/**
 * The time until an engine with LOAD has a free slot for DEMAND, in
 * milliseconds, when a request stays there for HELD_MS in the mean.
 */
double bd_target_load_slot_wait_ms (const struct bd_demand *request,
                                    const struct bd_target *target,
                                    const struct bd_target_load *load,
                                    double residence_ms);

#endif
