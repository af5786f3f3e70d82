#include "common/histogram.h"

#include <math.h>
#include <stdatomic.h>
#include <stdlib.h>

/* Each power of two is split into 32 equal buckets; below 32 us each value
   has a bucket of its own.  Values from 2^36 us (19 hours) on are counted in
   the last bucket. */
#define SUB_BITS 5
#define SUB_COUNT ((size_t)1 << SUB_BITS)
#define VALUE_BITS 36
#define BUCKET_COUNT ((VALUE_BITS - SUB_BITS + 1) * SUB_COUNT)
#define VALUE_LIMIT_US (INT64_C (1) << VALUE_BITS)

struct bd_histogram
{
  _Atomic int64_t sum_us;
  _Atomic uint64_t buckets[BUCKET_COUNT];
};

struct bd_histogram *
bd_histogram_create (void)
{
  return calloc (1, sizeof (struct bd_histogram));
}

void
bd_histogram_destroy (struct bd_histogram *histogram)
{
  free (histogram);
}

static int64_t
clamp (int64_t value_us)
{
  if (value_us < 0)
    return 0;
  return value_us < VALUE_LIMIT_US ? value_us : VALUE_LIMIT_US - 1;
}

static size_t
bucket_of (int64_t value_us)
{
  uint64_t v = (uint64_t)value_us;
  unsigned shift;

  if (v < SUB_COUNT)
    return (size_t)v;
  shift = 63 - (unsigned)__builtin_clzll (v) - SUB_BITS;
  return (size_t)(shift + 1) * SUB_COUNT + (size_t)((v >> shift) - SUB_COUNT);
}

/* Returns the middle of a bucket's range, in microseconds. */
static int64_t
bucket_midpoint (size_t bucket)
{
  unsigned shift;
  int64_t low;

  if (bucket < SUB_COUNT)
    return (int64_t)bucket;
  shift = (unsigned)(bucket / SUB_COUNT) - 1;
  low = (int64_t)(SUB_COUNT + bucket % SUB_COUNT) << shift;
  return low + ((INT64_C (1) << shift) - 1) / 2;
}

void
bd_histogram_add (struct bd_histogram *histogram, int64_t value_us)
{
  int64_t v = clamp (value_us);

  atomic_fetch_add_explicit (&histogram->buckets[bucket_of (v)], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, v, memory_order_relaxed);
}

static uint64_t
load_bucket (const struct bd_histogram *histogram, size_t bucket)
{
  return atomic_load_explicit (&histogram->buckets[bucket],
                               memory_order_relaxed);
}

uint64_t
bd_histogram_count (const struct bd_histogram *histogram)
{
  return bd_histogram_at_most (histogram, VALUE_LIMIT_US);
}

int64_t
bd_histogram_sum_us (const struct bd_histogram *histogram)
{
  return atomic_load_explicit (&histogram->sum_us, memory_order_relaxed);
}

int64_t
bd_histogram_quantile (const struct bd_histogram *histogram, double quantile)
{
  uint64_t total = bd_histogram_count (histogram);
  uint64_t rank;
  uint64_t seen = 0;

  if (total == 0)
    return 0;
  quantile = fmin (fmax (quantile, 0.0), 1.0);
  rank = (uint64_t)ceil (quantile * (double)total);
  if (rank == 0)
    rank = 1;
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    {
      seen += load_bucket (histogram, i);
      if (seen >= rank)
        return bucket_midpoint (i);
    }
  return bucket_midpoint (BUCKET_COUNT - 1);
}

uint64_t
bd_histogram_at_most (const struct bd_histogram *histogram, int64_t value_us)
{
  uint64_t count = 0;
  size_t last;

  if (value_us < 0)
    return 0;
  last = bucket_of (clamp (value_us));
  for (size_t i = 0; i <= last; i++)
    count += load_bucket (histogram, i);
  return count;
}

uint64_t
bd_histogram_cumulate (const struct bd_histogram *histogram,
                       const int64_t *limits_us, size_t count,
                       uint64_t *counts)
{
  uint64_t total = 0;
  size_t next = 0;

  for (size_t i = 0; i < BUCKET_COUNT; i++)
    {
      total += load_bucket (histogram, i);
      while (next < count && bucket_of (clamp (limits_us[next])) == i)
        counts[next++] = total;
    }
  return total;
}
