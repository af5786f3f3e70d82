#include "common/incarnation.h"
#include "common/clock.h"

#include <sodium.h>

#define RANDOM_BITS 16

uint64_t
bd_incarnation_now (void)
{
  uint64_t low = randombytes_random () & ((1u << RANDOM_BITS) - 1);

  return (uint64_t)bd_clock_wall_ms () << RANDOM_BITS | low;
}
