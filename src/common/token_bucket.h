/**
 * @file token_bucket.h
 * A token bucket.  Its rate is the product of a configured limit and a share
 * that the caller passes to each call and may change between calls.
 */
#ifndef BD_TOKEN_BUCKET_H
#define BD_TOKEN_BUCKET_H

/** Usual capacity of a bucket, as the time that it takes to fill. */
#define BD_TOKEN_BUCKET_BURST_MS 1000

struct bd_token_bucket
{
  double limit_per_s; /**< Tokens a second at share 1; 0 or less: unlimited. */
  double level;       /**< Tokens now; negative after an overdraft. */
  double burst_ms;    /**< Capacity, as the time that it takes to fill. */
  double min_capacity; /**< Smallest capacity, however small the share is. */
};

/** Returns the capacity at SHARE, in tokens. */
double bd_token_bucket_capacity (const struct bd_token_bucket *bucket,
                                 double share);

/** Adds the tokens for ELAPSED_MS at SHARE, up to the capacity. */
void bd_token_bucket_refill (struct bd_token_bucket *bucket, double share,
                             double elapsed_ms);

/**
 * Returns the time in milliseconds until the bucket holds NEED tokens, or is
 * full when its capacity is less; 0 when it holds them now.  At most 10
 * minutes.
 */
double bd_token_bucket_wait_ms (const struct bd_token_bucket *bucket,
                                double share, double need);

#endif
