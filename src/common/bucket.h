/**
 * @file bucket.h
 * A token bucket whose rate is a share of a limit that moves.
 */
#ifndef BD_BUCKET_H
#define BD_BUCKET_H

/** Capacity, in time at the share's rate. */
#define BD_BUCKET_BURST_MS 1000

struct bd_bucket
{
  double limit_per_s; /**< At share 1; 0 or less: unlimited. */
  double level;       /**< Negative: in debt. */
  double least;       /**< Capacity, however small the share is. */
};

/** What the bucket holds at most at SHARE. */
double bd_bucket_capacity (const struct bd_bucket *bucket, double share);

/** Lets in what ELAPSED_MS bring at SHARE. */
void bd_bucket_refill (struct bd_bucket *bucket, double share,
                       double elapsed_ms);

/**
 * Time until the bucket holds NEED, or is full when that is less, in
 * milliseconds; 0 when it does now.
 */
double bd_bucket_wait_ms (const struct bd_bucket *bucket, double share,
                          double need);

#endif
