/**
 * @file backoff.h
 * Doubling, jittered delays between attempts that never end.
 */
#ifndef BD_BACKOFF_H
#define BD_BACKOFF_H

#include "basildock.h"

struct bd_backoff
{
  int32_t min_ms;
  int32_t max_ms;
  int32_t bound_ms;
  uint64_t random; /**< State of the generator; never 0. */
};

/** SEED makes the jitter differ between processes. */
void bd_backoff_init (struct bd_backoff *backoff, int32_t min_ms,
                      int32_t max_ms, uint64_t seed);

/** Begins again at the least delay. */
void bd_backoff_reset (struct bd_backoff *backoff);

/**
 * Returns the delay before the next attempt in milliseconds: between half
 * and the whole of a bound that doubles up to the maximum.
 */
int32_t bd_backoff_next (struct bd_backoff *backoff);

#endif
