/**
 * @file naive_histogram.h
 * Keeps every value, sorted: the reference for histogram.h.
 */
#ifndef NAIVE_HISTOGRAM_H
#define NAIVE_HISTOGRAM_H

#include <glib.h>

/** Sorts VALUES (of gint64). */
void naive_sort (GArray *values);

/** The value at QUANTILE of sorted VALUES. */
gint64 naive_quantile (GArray *values, double quantile);

/** How many of VALUES are at or below LIMIT. */
guint64 naive_at_most (GArray *values, gint64 limit);

#endif
