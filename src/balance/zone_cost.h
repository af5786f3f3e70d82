/**
 * @file zone_cost.h
 * The cost of leaving an availability zone: what a runner of another zone has
 * to save a request before it is sent there.
 *
 * A request stays while its own zone has room.  Once the zone's runners wait,
 * each request draws the time that has to be saved, so that the share that
 * leaves grows with the wait instead of all leaving on one report.
 */
#ifndef BD_ZONE_COST_H
#define BD_ZONE_COST_H

#include <stdint.h>

/** A request that could leave its zone. */
struct bd_zone_cost_request
{
  /** Least expected wait at a runner of its own zone. */
  double own_wait_ms;
  /** Latency objective of the first event; 0: unknown. */
  int64_t objective_ms;
  /** Random number from 0 to 1 that was drawn for the request. */
  double draw;
};

/**
 * Returns the delay that leaving the zone has to save the request, in
 * milliseconds.  It is bounded by a part of the objective.
 */
double bd_zone_cost_ms (const struct bd_zone_cost_request *request);

/**
 * Returns the time in which a prompt's prefix of TOKENS is fetched from a
 * runner in another zone, in milliseconds, where a fetch within a zone takes
 * US_PER_K microseconds for 1000 tokens.
 */
double bd_zone_cost_fetch_ms (uint64_t tokens, uint32_t us_per_k);

#endif
