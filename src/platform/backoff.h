/**
 * @file backoff.h
 * Exponential backoff with jitter, for an unlimited number of retries.
 */
#ifndef BD_BACKOFF_H
#define BD_BACKOFF_H

#include "basildock.h"

struct bd_backoff
{
  int32_t min_ms;
  int32_t max_ms;
  int32_t bound_ms; /**< Upper bound of the next delay. */
  uint64_t random;  /**< State of the random generator; never 0. */
};

/** Initializes BACKOFF.  SEED makes the jitter differ between processes. */
void bd_backoff_init (struct bd_backoff *backoff, int32_t min_ms,
                      int32_t max_ms, uint64_t seed);

/** Restarts at the minimum delay. */
void bd_backoff_reset (struct bd_backoff *backoff);

/**
 * Returns the delay before the next attempt in milliseconds: a random value
 * between half and all of a bound, which doubles with each call up to the
 * maximum.
 */
int32_t bd_backoff_next (struct bd_backoff *backoff);

#endif
