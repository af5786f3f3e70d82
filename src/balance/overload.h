/**
 * @file overload.h
 * Overload protection: admits or rejects a request by its expected wait.
 *
 * Work admitted beyond the capacity of the runners delays all streams beside
 * it, and many of its callers give up after the prefill was already paid for.
 * Requests of the lowest priority are rejected first.
 */
#ifndef BD_OVERLOAD_H
#define BD_OVERLOAD_H

#include "basildock.h"

struct bd_overload_request
{
  double wait_ms;    /**< Expected time before its prefill or work starts. */
  double service_ms; /**< Expected time from the start of its prefill or work
                        to its first event. */
  /** Pressure from requests at least as urgent (admission.h), 0 to 1. */
  double pressure;
  double utilization;   /**< Ratio of the runner's recent time that went to
                           prefill. */
  int64_t objective_ms; /**< Latency objective of the route. */
  /** Time until the caller no longer needs the response. */
  int64_t time_left_ms;
  int priority;        /**< 0: most urgent. */
  int lowest_priority; /**< Lowest priority that the configuration gives. */
};

/**
 * Longest expected wait at which the request is admitted, in milliseconds.
 * Under full pressure, the longest wait with which it can be in time.
 */
double bd_overload_max_wait_ms (const struct bd_overload_request *request);

/**
 * Expected lateness as a ratio of the latency objective, at most 1.  It is 0
 * when the request's own service time would already make it late.
 */
double bd_overload_lateness (const struct bd_overload_request *request);

/**
 * Whether the request is to be rejected: its wait would be too long, or it has
 * the lowest priority and the runner spends nearly all its time on prefill,
 * which keeps the streams there from ending in time.
 */
bool bd_overload_rejects (const struct bd_overload_request *request);

/**
 * Returns the time after which a rejected caller should retry, in
 * milliseconds: when the wait will have shrunk to the limit, plus a random
 * time of up to the same length.
 */
int64_t bd_overload_retry_after_ms (const struct bd_overload_request *request,
                                    uint64_t *random);

#endif
