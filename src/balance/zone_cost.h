/**
 * @file zone_cost.h
 * The cost of leaving an availability zone: what a runner of another zone has
 * to save a request before it is sent there.
 *
 * A request stays while its own zone has room.  As the delay there grows, room
 * is left for fewer of its requests, by a random draw, so that a growing share
 * may leave instead of all on one report.
 */
#ifndef BD_ZONE_COST_H
#define BD_ZONE_COST_H

#include <stdint.h>

/** A request that could leave its zone. */
struct bd_zone_cost_request
{
  /** Least expected delay at a runner of its own zone. */
  double own_delay_ms;
  /** Latency objective of the first event; 0: unknown. */
  int64_t objective_ms;
  /** Random number from 0 to under 1, drawn for the request. */
  double draw;
};

/**
 * Returns the delay that leaving the zone has to save the request, in
 * milliseconds.  It is bounded by a part of the objective.
 */
double bd_zone_cost_ms (const struct bd_zone_cost_request *request);

#endif
