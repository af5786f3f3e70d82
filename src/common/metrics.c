#include "common/metrics.h"

#include "common/metrics_table.h"

#include <stdlib.h>
#include <string.h>

#define OTHER_NAME BD_CHUNK ("other")

static void
add (_Atomic uint64_t *counter, uint64_t n)
{
  atomic_fetch_add_explicit (counter, n, memory_order_relaxed);
}

static void
class_metrics_destroy (struct bd_class_metrics *pair)
{
  if (!pair)
    return;
  for (size_t i = 0; i < BD_DURATION_COUNT; i++)
    bd_histogram_destroy (pair->durations[i]);
  free (pair->workspace);
  free (pair->class_name);
  free (pair);
}

static struct bd_class_metrics *
class_metrics_create (struct bd_chunk workspace, struct bd_chunk class_name)
{
  struct bd_class_metrics *pair = calloc (1, sizeof *pair);
  bool complete;

  if (!pair)
    return NULL;
  pair->workspace = bd_chunk_copy (workspace);
  pair->class_name = bd_chunk_copy (class_name);
  complete = pair->workspace && pair->class_name;
  for (size_t i = 0; i < BD_DURATION_COUNT; i++)
    {
      pair->durations[i] = bd_histogram_create ();
      complete = complete && pair->durations[i];
    }
  if (complete)
    return pair;
  class_metrics_destroy (pair);
  return NULL;
}

struct bd_metrics *
bd_metrics_create (void)
{
  struct bd_metrics *metrics = calloc (1, sizeof *metrics);

  if (!metrics)
    return NULL;
  metrics->other = class_metrics_create (OTHER_NAME, OTHER_NAME);
  if (metrics->other)
    return metrics;
  free (metrics);
  return NULL;
}

void
bd_metrics_destroy (struct bd_metrics *metrics)
{
  if (!metrics)
    return;
  for (size_t i = 0; i < BD_METRICS_SLOTS; i++)
    class_metrics_destroy (atomic_load (&metrics->slots[i]));
  class_metrics_destroy (metrics->other);
  free (metrics);
}

void
bd_metrics_count (struct bd_metrics *metrics, enum bd_counter counter,
                  uint64_t n)
{
  add (&metrics->counters[counter], n);
}

void
bd_metrics_refused (struct bd_metrics *metrics, int error)
{
  if (error >= 0 || error <= BD_ERR_LIMIT)
    error = BD_ERR_INTERNAL;
  add (&metrics->refused[-error], 1);
}

void
bd_metrics_message (struct bd_metrics *metrics, bool sent,
                    enum bd_traffic traffic, size_t bytes)
{
  add (&metrics->messages[sent][traffic], 1);
  add (&metrics->bytes[sent][traffic], bytes);
}

uint64_t
bd_metrics_value (const struct bd_metrics *metrics, enum bd_counter counter)
{
  return atomic_load_explicit (&metrics->counters[counter],
                               memory_order_relaxed);
}

static bool
matches_pair (const struct bd_class_metrics *pair, struct bd_chunk workspace,
              struct bd_chunk class_name)
{
  return bd_chunk_equal (bd_chunk_of (pair->workspace), workspace)
         && bd_chunk_equal (bd_chunk_of (pair->class_name), class_name);
}

/* Creates a pair, unless there are BD_METRICS_PAIRS_MAX pairs. */
static struct bd_class_metrics *
create_within_limit (struct bd_metrics *metrics, struct bd_chunk workspace,
                     struct bd_chunk class_name)
{
  struct bd_class_metrics *pair = NULL;

  if (atomic_fetch_add (&metrics->pair_count, 1) < BD_METRICS_PAIRS_MAX)
    pair = class_metrics_create (workspace, class_name);
  if (!pair)
    atomic_fetch_sub (&metrics->pair_count, 1);
  return pair;
}

/* Pairs are never removed: a slot in use never changes, and a look-up needs
   no lock. */
struct bd_class_metrics *
bd_metrics_class (struct bd_metrics *metrics, struct bd_chunk workspace,
                  struct bd_chunk class_name)
{
  uint64_t hash = bd_chunk_hash (workspace) * 31 + bd_chunk_hash (class_name);
  struct bd_class_metrics *created = NULL;

  for (size_t i = 0; i < BD_METRICS_SLOTS; i++)
    {
      size_t slot = (size_t)(hash + i) % BD_METRICS_SLOTS;
      struct bd_class_metrics *found
          = atomic_load_explicit (&metrics->slots[slot], memory_order_acquire);

      if (!found && !created)
        created = create_within_limit (metrics, workspace, class_name);
      if (!found && !created)
        return metrics->other;
      if (!found
          && atomic_compare_exchange_strong (&metrics->slots[slot], &found,
                                             created))
        return created;
      if (!matches_pair (found, workspace, class_name))
        continue;
      if (created)
        {
          class_metrics_destroy (created);
          atomic_fetch_sub (&metrics->pair_count, 1);
        }
      return found;
    }
  return metrics->other;
}

void
bd_class_metrics_count (struct bd_class_metrics *metrics,
                        enum bd_class_counter counter, uint64_t n)
{
  add (&metrics->counters[counter], n);
}

void
bd_class_metrics_add (struct bd_class_metrics *metrics,
                      enum bd_duration duration, int64_t value_us)
{
  bd_histogram_add (metrics->durations[duration], value_us);
}

static int
compare_pairs (const void *a, const void *b)
{
  const struct bd_class_metrics *x
      = *(const struct bd_class_metrics *const *)a;
  const struct bd_class_metrics *y
      = *(const struct bd_class_metrics *const *)b;
  int order = strcmp (x->workspace, y->workspace);

  return order != 0 ? order : strcmp (x->class_name, y->class_name);
}

static bool
is_used (const struct bd_class_metrics *pair)
{
  for (size_t i = 0; i < BD_CLASS_COUNTER_COUNT; i++)
    if (atomic_load_explicit (&pair->counters[i], memory_order_relaxed) > 0)
      return true;
  for (size_t i = 0; i < BD_DURATION_COUNT; i++)
    if (bd_histogram_count (pair->durations[i]) > 0)
      return true;
  return false;
}

struct bd_metrics_list *
bd_metrics_list (const struct bd_metrics *metrics)
{
  struct bd_metrics_list *list = calloc (1, sizeof *list);

  if (!list)
    return NULL;
  for (size_t i = 0; i < BD_METRICS_SLOTS; i++)
    {
      const struct bd_class_metrics *pair
          = atomic_load_explicit (&metrics->slots[i], memory_order_acquire);

      if (pair && list->count < BD_METRICS_PAIRS_MAX)
        list->pairs[list->count++] = pair;
    }
  qsort (list->pairs, list->count, sizeof (void *), compare_pairs);
  if (is_used (metrics->other))
    list->pairs[list->count++] = metrics->other;
  return list;
}
