/**
 * @file overload.h
 * Whether a request is taken or refused at once, by the wait it would meet.
 *
 * Work that is taken beyond what runners can do delays every stream beside
 * it, and much of it is given up by its callers after it has cost its
 * prompt.  The least urgent requests are refused first.
 */
#ifndef BD_OVERLOAD_H
#define BD_OVERLOAD_H

#include "basildock.h"

struct bd_overload_case
{
  double wait_ms;       /**< Expected before the request begins. */
  double service_ms;    /**< Expected from there to its first event. */
  double pressure;      /**< Of its urgency or a higher one (admission.h). */
  double utilization;   /**< Share of the runner's time for prompts lately. */
  int64_t objective_ms; /**< Of its route. */
  int64_t left_ms;      /**< Until its answer is of no use. */
  int priority;         /**< 0: most urgent. */
  int least_priority;   /**< Of all requests of the configuration. */
};

/**
 * Longest expected wait at which the request is taken, in milliseconds.  Under
 * full pressure that is the wait at which it can still be in time.
 */
double bd_overload_max_wait_ms (const struct bd_overload_case *request);

/**
 * How late its wait would make it, as a part of its objective, 1 at most; 0
 * when its own work would already make it late.
 */
double bd_overload_lateness (const struct bd_overload_case *request);

/**
 * Whether it is to be refused: it would wait too long, or it is the least
 * urgent and the runner does nothing but read prompts, which keeps the
 * streams there from ending in time.
 */
bool bd_overload_rejects (const struct bd_overload_case *request);

/**
 * When a refused request should come back, in milliseconds: when the wait
 * will have shrunk to the limit, spread over as much time again.
 */
int64_t bd_overload_retry_after_ms (const struct bd_overload_case *request,
                                    uint64_t *random);

#endif
