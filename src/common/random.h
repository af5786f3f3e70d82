/**
 * @file random.h
 * Reproducible pseudo-random numbers for the state machines (splitmix64).
 */
#ifndef BD_RANDOM_H
#define BD_RANDOM_H

#include <stdint.h>

/** Mixes VALUE so that each input bit affects each output bit. */
static inline uint64_t
bd_random_mix (uint64_t value)
{
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/** Advances *STATE and returns 64 bits.  The first state is any seed. */
static inline uint64_t
bd_random_next (uint64_t *state)
{
  *state += 0x9e3779b97f4a7c15ULL;
  return bd_random_mix (*state);
}

/** Returns a number below LIMIT, which must not be 0. */
static inline uint32_t
bd_random_below (uint64_t *state, uint32_t limit)
{
  return (uint32_t)(((bd_random_next (state) >> 32) * limit) >> 32);
}

#endif
