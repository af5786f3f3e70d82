/**
 * @file target_load.h
 * The load of a runner as known to the instance that places a request.
 */
#ifndef BD_TARGET_LOAD_H
#define BD_TARGET_LOAD_H

#include "balance/selection.h"

struct bd_target_load
{
  uint32_t in_flight;
  uint64_t prefill_tokens; /**< Prompt tokens that wait for prefill. */
};

/**
 * Returns the load of TARGET that is relevant for REQUEST: its assigned load
 * when coordinated, else what was sent here and reported by peers.
 */
struct bd_target_load
bd_target_load_for (const struct bd_selection_request *request,
                    const struct bd_target *target);

/**
 * Returns the time until an engine with LOAD has a free slot for REQUEST, in
 * milliseconds, given the mean time RESIDENCE_MS that a request stays there.
 */
double bd_target_load_slot_wait_ms (const struct bd_selection_request *request,
                                    const struct bd_target *target,
                                    const struct bd_target_load *load,
                                    double residence_ms);

#endif
