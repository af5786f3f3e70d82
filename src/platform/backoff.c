#include "platform/backoff.h"

#define SEED_FALLBACK 0x9e3779b97f4a7c15ULL

void
bd_backoff_init (struct bd_backoff *backoff, int32_t min_ms, int32_t max_ms,
                 uint64_t seed)
{
  backoff->min_ms = min_ms > 0 ? min_ms : 1;
  backoff->max_ms = max_ms > backoff->min_ms ? max_ms : backoff->min_ms;
  backoff->random = seed != 0 ? seed : SEED_FALLBACK;
  bd_backoff_reset (backoff);
}

void
bd_backoff_reset (struct bd_backoff *backoff)
{
  backoff->bound_ms = backoff->min_ms;
}

/* xorshift64 */
static uint64_t
next_random (struct bd_backoff *backoff)
{
  uint64_t x = backoff->random;

  x ^= x << 13;
  x ^= x >> 7;
  x ^= x << 17;
  backoff->random = x;
  return x;
}

int32_t
bd_backoff_next (struct bd_backoff *backoff)
{
  int32_t bound = backoff->bound_ms;
  int32_t half = bound / 2;
  uint64_t span = (uint64_t)(bound - half) + 1;

  if (backoff->bound_ms > backoff->max_ms / 2)
    backoff->bound_ms = backoff->max_ms;
  else
    backoff->bound_ms *= 2;
  return half + (int32_t)(next_random (backoff) % span);
}
