/**
 * @file naive_histogram.h
 * Reference implementation for histogram.h: exact results from a sorted array
 * of all values.
 */
#ifndef NAIVE_HISTOGRAM_H
#define NAIVE_HISTOGRAM_H

#include <glib.h>

/** Sorts VALUES, an array of gint64. */
void naive_sort (GArray *values);

/** Returns the value at QUANTILE (0 to 1) of the sorted VALUES. */
gint64 naive_quantile (GArray *values, double quantile);

/** Returns the number of VALUES at or below LIMIT. */
guint64 naive_at_most (GArray *values, gint64 limit);

#endif
