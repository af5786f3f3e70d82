#include "common/token_bucket.h"

#include <math.h>

#define WAIT_MAX_MS 600000.0

double
bd_token_bucket_capacity (const struct bd_token_bucket *bucket, double share)
{
  return fmax (bucket->min_capacity,
               bucket->limit_per_s * share * bucket->burst_ms / 1000.0);
}

void
bd_token_bucket_refill (struct bd_token_bucket *bucket, double share,
                        double elapsed_ms)
{
  bucket->level
      = fmin (bd_token_bucket_capacity (bucket, share),
              bucket->level + bucket->limit_per_s * share * elapsed_ms / 1000);
}

double
bd_token_bucket_wait_ms (const struct bd_token_bucket *bucket, double share,
                         double need)
{
  double missing
      = fmin (need, bd_token_bucket_capacity (bucket, share)) - bucket->level;

  if (bucket->limit_per_s <= 0.0 || missing <= 0.0)
    return 0.0;
  return fmin (ceil (missing * 1000.0 / (bucket->limit_per_s * share)),
               WAIT_MAX_MS);
}
