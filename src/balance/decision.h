/**
 * @file decision.h
 * The decision on a request: which runner gets it, or that it is refused.
 */
#ifndef BD_DECISION_H
#define BD_DECISION_H

#include "balance/choice.h"
#include "balance/overload.h"

/** The decision, with what it rests on. */
struct bd_decision
{
  struct bd_pick pick; /**< Its target is NULL when none may get it. */
  bool refused;        /**< The wait would be too long. */
  double limit_ms;     /**< The longest wait that is allowed. */
  int64_t retry_ms;    /**< When a refused request should come back. */
  int64_t pause_ms;    /**< No target: when the first runner that asked for a
                            pause wants requests again; 0: none did. */
};

/**
 * Decides on a request.  OVERLOAD's wait_ms, own_ms, busy and pressure are
 * filled in.  A request that has reached a runner before (AGAIN) is not
 * refused for its wait.
 */
struct bd_decision bd_decide (struct bd_choice *choice,
                              struct bd_targets *targets,
                              const struct bd_demand *request,
                              struct bd_overload_case *overload, bool is_retry,
                              uint64_t *random);

#endif
