/**
 * @file decision.h
 * Decides on a request: the runner that gets it, or its rejection.
 */
#ifndef BD_DECISION_H
#define BD_DECISION_H

#include "balance/selection.h"
#include "balance/overload.h"

/** The decision and the estimates behind it. */
struct bd_decision
{
  /** Selected runner; its target is NULL when none may get the request. */
  struct bd_selection selection;
  /** The expected wait is too long, or the request was shed. */
  bool rejected;
  double max_wait_ms; /**< Longest wait at which the request is admitted. */
  /** Time after which a rejected caller should retry. */
  int64_t retry_after_ms;
  int64_t pause_left_ms; /**< No target: time until the first paused runner
                            accepts requests again; 0: no runner is paused. */
};

/**
 * Decides on a request and fills in wait_ms, service_ms, utilization and
 * pressure of OVERLOAD.  Counts a request that is not rejected against the
 * rate limit of its runner.  A request that has reached a runner before
 * (IS_RETRY) is not rejected for its wait.
 */
struct bd_decision bd_decide (struct bd_selector *selector,
                              struct bd_targets *targets,
                              const struct bd_selection_request *request,
                              struct bd_overload_request *overload,
                              bool is_retry, uint64_t *random);

#endif
