/**
 * @file histogram.h
 * A log-linear histogram of durations, with a relative error of at most 3 %.
 */
#ifndef BD_HISTOGRAM_H
#define BD_HISTOGRAM_H

#include "basildock.h"

struct bd_histogram;

struct bd_histogram *bd_histogram_create (void);
void bd_histogram_destroy (struct bd_histogram *histogram);

/** Adds a duration in microseconds.  Thread-safe and lock-free. */
void bd_histogram_add (struct bd_histogram *histogram, int64_t value_us);

uint64_t bd_histogram_count (const struct bd_histogram *histogram);
int64_t bd_histogram_sum_us (const struct bd_histogram *histogram);

/** Returns the value at QUANTILE (0 to 1) in microseconds; 0 when empty. */
int64_t bd_histogram_quantile (const struct bd_histogram *histogram,
                               double quantile);

/** Returns the number of values up to the upper end of VALUE_US's bucket. */
uint64_t bd_histogram_at_most (const struct bd_histogram *histogram,
                               int64_t value_us);

/**
 * Sets COUNTS to the results of bd_histogram_at_most () for the COUNT
 * ascending LIMITS_US, in one pass over the histogram.  Returns the total
 * number of values in that pass, so that it is consistent with COUNTS while
 * other threads add values.
 */
uint64_t bd_histogram_cumulate (const struct bd_histogram *histogram,
                                const int64_t *limits_us, size_t count,
                                uint64_t *counts);

#endif
