/**
 * @file metrics_table.h
 * The structures of metrics.h.  Private to metrics.c and metrics_write.c.
 */
#ifndef BD_METRICS_TABLE_H
#define BD_METRICS_TABLE_H

#include "common/metrics.h"
#include "common/histogram.h"

#include <stdatomic.h>

/** Slots of the hash table: a power of two, at most half of them in use. */
#define BD_METRICS_SLOTS ((size_t)2 * BD_METRICS_PAIRS_MAX)

struct bd_class_metrics
{
  char *workspace;
  char *class_name;
  _Atomic uint64_t counters[BD_CLASS_COUNTER_COUNT];
  struct bd_histogram *durations[BD_DURATION_COUNT];
};

struct bd_metrics
{
  _Atomic uint64_t counters[BD_COUNTER_COUNT];
  /** Rejected requests; the index is the negated error code. */
  _Atomic uint64_t refused[-BD_ERR_LIMIT];
  /** Messages and their bytes: [0] received, [1] sent. */
  _Atomic uint64_t messages[2][BD_TRAFFIC_COUNT];
  _Atomic uint64_t bytes[2][BD_TRAFFIC_COUNT];
  _Atomic uint32_t pair_count;
  struct bd_class_metrics *other; /**< Shared by pairs without a slot. */
  struct bd_class_metrics *_Atomic slots[BD_METRICS_SLOTS];
};

/** The pairs in use, sorted by workspace and class; "other" is the last. */
struct bd_metrics_list
{
  size_t count;
  const struct bd_class_metrics *pairs[BD_METRICS_PAIRS_MAX + 1];
};

/** Returns a new list, which the caller frees with free (), or NULL. */
struct bd_metrics_list *bd_metrics_list (const struct bd_metrics *metrics);

#endif
