#include "placement/placement.h"

#include "common/string.h"
#include "placement/affinity.h"
#include "common/random.h"
#include "placement/runner_load.h"
#include "placement/subset.h"
#include "common/hash_table.h"

#include <stdlib.h>
#include <string.h>

/** Period in which the median and mean over the runners are updated. */
#define STATISTICS_PERIOD_MS 100
/** Time per token while no runner has reported one. */
#define DEFAULT_TOKEN_TIME_US 30000
#define DEFAULT_EXPECTED_TOKENS 256
/** A runner this many times slower than the median is a straggler. */
#define STRAGGLER_RATIO 1.5
/** Time that a cached prefix is assumed to save. */
#define CACHED_PREFIX_GAIN_MS 200.0
/**
 * Extra time at a runner with all slots busy and no queue: larger batches are
 * slower.
 */
#define BUSY_COST_MS 50.0
#define REMOTE_ZONE_COST_MS 2.0
#define UNKNOWN_COST_MS 20.0
/**
 * Extra time at a runner that has just crashed.  It falls to 0 over
 * CRASH_COST_DECAY_MS.
 */
#define CRASH_COST_MS 2000.0
#define CRASH_COST_DECAY_MS 10000

#define SAMPLE_PER_WANTED 4
#define SAMPLE_MIN 8
#define CANDIDATES_MAX                                                        \
  (BD_PLACEMENT_WANT_MAX * SAMPLE_PER_WANTED + BD_AFFINITY_WAYS)

struct runner
{
  struct bd_hash_table_node node;
  char *name;
  size_t name_length;
  bool local;
  bool crashed;
  enum bd_runner_state state;
  struct bd_runner_load load;
  int64_t crash_ms;
};

struct candidate
{
  uint32_t index;
  bool meets_target;
  double cost_ms;
};

struct policy
{
  size_t (*choose) (struct bd_placement *p,
                    const struct bd_placement_request *request,
                    uint32_t *indexes, size_t want);
};

struct bd_placement
{
  const struct policy *policy;
  struct bd_placement_settings settings;
  char *zone;
  uint64_t self;
  uint64_t random;
  struct runner *runners;
  size_t count;
  struct bd_hash_table by_name;
  uint32_t *eligible;
  size_t eligible_count;
  struct bd_affinity *affinity;
  int64_t now_ms;
  int64_t statistics_ms;
  bool statistics_known;
  struct bd_peer_load peers;
};

static int
compare_u32 (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

/**
 * Updates the median time per token and the mean backlog of the runners that
 * report.
 */
static void
update_statistics (struct bd_placement *p)
{
  size_t timed_count = 0;
  size_t reported_count = 0;
  double sum = 0.0;

  if (p->statistics_known
      && p->now_ms - p->statistics_ms < STATISTICS_PERIOD_MS)
    return;
  for (size_t i = 0; i < p->count; i++)
    {
      const struct runner *r = &p->runners[i];

      if (!r->load.reported || r->state == BD_RUNNER_DOWN)
        continue;
      reported_count++;
      sum += bd_runner_load_reported (&r->load, 1);
      if (r->load.load.token_time_us > 0)
        p->eligible[timed_count++] = r->load.load.token_time_us;
    }
  qsort (p->eligible, timed_count, sizeof *p->eligible, compare_u32);
  p->peers.token_time_us = timed_count > 0 ? p->eligible[(timed_count - 1) / 2]
                                           : DEFAULT_TOKEN_TIME_US;
  p->peers.backlog = reported_count > 0 ? sum / (double)reported_count : 0.0;
  p->statistics_ms = p->now_ms;
  p->statistics_known = true;
}

static bool
is_allowed (const struct bd_placement *p, uint32_t index,
            const struct bd_placement_request *request)
{
  enum bd_runner_state state = p->runners[index].state;

  if (state == BD_RUNNER_DOWN || state == BD_RUNNER_LEAVING)
    return false;
  for (size_t i = 0; i < request->exclude_count; i++)
    if (request->exclude[i] == index)
      return false;
  return true;
}

static void
collect_eligible (struct bd_placement *p,
                  const struct bd_placement_request *request)
{
  p->eligible_count = 0;
  for (uint32_t i = 0; i < p->count; i++)
    if (is_allowed (p, i, request))
      p->eligible[p->eligible_count++] = i;
}

/**
 * Moves a random sample of SIZE to the front of the eligible runners.  Returns
 * its size.
 */
static size_t
sample_eligible (struct bd_placement *p, size_t size)
{
  if (size > p->eligible_count)
    size = p->eligible_count;
  for (size_t i = 0; i < size; i++)
    {
      size_t left = p->eligible_count - i;
      size_t j = i + bd_random_below (&p->random, (uint32_t)left);
      uint32_t swap = p->eligible[i];

      p->eligible[i] = p->eligible[j];
      p->eligible[j] = swap;
    }
  return size;
}

static double
crash_cost_ms (const struct bd_placement *p, const struct runner *r)
{
  double age_ms = (double)(p->now_ms - r->crash_ms);

  if (!r->crashed || age_ms >= CRASH_COST_DECAY_MS)
    return 0.0;
  return CRASH_COST_MS * (1.0 - age_ms / CRASH_COST_DECAY_MS);
}

/** Estimates the time until the request would be complete at a runner. */
static struct candidate
estimate_cost (const struct bd_placement *p, uint32_t index,
               const struct bd_placement_request *request)
{
  const struct runner *r = &p->runners[index];
  uint32_t tokens = request->expected_tokens > 0 ? request->expected_tokens
                                                 : DEFAULT_EXPECTED_TOKENS;
  double token_ms
      = bd_runner_load_token_time_us (&r->load, &p->peers, p->now_ms) / 1000.0;
  double service_ms = tokens * token_ms;
  double backlog
      = bd_runner_load_backlog (&r->load, &p->peers, p->now_ms, request->tier);
  double excess = backlog + 1.0 / bd_runner_load_slots (&r->load) - 1.0;
  double time_ms = service_ms + (excess > 0.0 ? excess * service_ms : 0.0);
  struct candidate c = { .index = index };

  c.meets_target
      = request->time_left_ms <= 0 || time_ms <= request->time_left_ms;
  c.cost_ms = time_ms + backlog * BUSY_COST_MS + crash_cost_ms (p, r);
  if (!r->local)
    c.cost_ms += REMOTE_ZONE_COST_MS;
  if (!r->load.reported)
    c.cost_ms += UNKNOWN_COST_MS;
  return c;
}

/**
 * Decides whether a sampled runner becomes a candidate.  A straggler does with
 * probability 1 / r^2, where r is its time per token relative to its peers';
 * every other runner does.
 */
static bool
admit_straggler (struct bd_placement *p, uint32_t index)
{
  double token_us = bd_runner_load_token_time_us (&p->runners[index].load,
                                                  &p->peers, p->now_ms);
  double ratio = token_us / p->peers.token_time_us;

  if (ratio < STRAGGLER_RATIO)
    return true;
  return bd_random_below (&p->random, 1000) < 1000.0 / (ratio * ratio);
}

static bool
is_better (const struct candidate *a, const struct candidate *b)
{
  if (a->meets_target != b->meets_target)
    return a->meets_target;
  return a->cost_ms < b->cost_ms;
}

static size_t
insert_candidate (struct candidate *list, size_t count, struct candidate c)
{
  size_t at = count;

  for (size_t i = 0; i < count; i++)
    if (list[i].index == c.index)
      return count;
  while (at > 0 && is_better (&c, &list[at - 1]))
    {
      list[at] = list[at - 1];
      at--;
    }
  list[at] = c;
  return count + 1;
}

/** Adds the runners that are believed to have the prefix in their caches. */
static size_t
add_holders (const struct bd_placement *p,
             const struct bd_placement_request *request,
             struct candidate *list, size_t count)
{
  uint32_t holders[BD_AFFINITY_WAYS];
  size_t n = bd_affinity_holders (p->affinity, request->prefix_hash, holders);

  for (size_t i = 0; i < n; i++)
    if (is_allowed (p, holders[i], request))
      {
        struct candidate c = estimate_cost (p, holders[i], request);

        c.cost_ms -= CACHED_PREFIX_GAIN_MS;
        count = insert_candidate (list, count, c);
      }
  return count;
}

static size_t
choose_late_binding (struct bd_placement *p,
                     const struct bd_placement_request *request,
                     uint32_t *indexes, size_t want)
{
  struct candidate list[CANDIDATES_MAX];
  size_t size = want * SAMPLE_PER_WANTED;
  size_t sampled;
  size_t count = add_holders (p, request, list, 0);
  size_t chosen = 0;

  sampled = sample_eligible (p, size < SAMPLE_MIN ? SAMPLE_MIN : size);
  for (size_t i = 0; i < sampled; i++)
    if (admit_straggler (p, p->eligible[i]))
      count = insert_candidate (list, count,
                                estimate_cost (p, p->eligible[i], request));
  if (count == 0 && sampled > 0)
    count = insert_candidate (list, 0,
                              estimate_cost (p, p->eligible[0], request));
  while (chosen < count && chosen < want
         && list[chosen].meets_target == list[0].meets_target)
    {
      indexes[chosen] = list[chosen].index;
      chosen++;
    }
  return chosen;
}

static size_t
choose_random (struct bd_placement *p,
               const struct bd_placement_request *request, uint32_t *indexes,
               size_t want)
{
  (void)request;
  (void)want;
  if (sample_eligible (p, 1) == 0)
    return 0;
  indexes[0] = p->eligible[0];
  return 1;
}

static size_t
choose_better_of_two (struct bd_placement *p,
                      const struct bd_placement_request *request,
                      uint32_t *indexes, size_t want)
{
  size_t sampled = sample_eligible (p, 2);
  const uint32_t *two = p->eligible;

  (void)want;
  if (sampled == 0)
    return 0;
  indexes[0] = two[0];
  if (sampled == 2
      && bd_runner_load_reported (&p->runners[two[1]].load, request->tier)
             < bd_runner_load_reported (&p->runners[two[0]].load,
                                        request->tier))
    indexes[0] = two[1];
  return 1;
}

static const struct policy policies[] = {
  [BD_POLICY_LATE_BINDING] = { choose_late_binding },
  [BD_POLICY_RANDOM] = { choose_random },
  [BD_POLICY_TWO_CHOICES] = { choose_better_of_two },
};

struct bd_placement *
bd_placement_create (const struct bd_placement_settings *settings,
                     enum bd_placement_policy policy)
{
  struct bd_placement *p = calloc (1, sizeof *p);

  if (!p)
    return NULL;
  p->policy = &policies[policy];
  p->settings = *settings;
  p->self = bd_chunk_hash (settings->instance);
  p->random = settings->seed ^ p->self;
  p->zone = bd_chunk_copy (settings->zone);
  p->affinity = bd_affinity_create ();
  if (!p->zone || !p->affinity)
    {
      bd_placement_destroy (p);
      return NULL;
    }
  p->settings.zone.data = p->zone;
  p->settings.instance = (struct bd_chunk){ 0 };
  return p;
}

static void
runners_free (struct runner *runners, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (runners[i].name);
  free (runners);
}

void
bd_placement_destroy (struct bd_placement *p)
{
  if (!p)
    return;
  runners_free (p->runners, p->count);
  bd_hash_table_clear (&p->by_name);
  free (p->eligible);
  bd_affinity_destroy (p->affinity);
  free (p->zone);
  free (p);
}

/** Copies what is known of a runner, or starts with nothing for a new one. */
static int
runner_init (const struct bd_placement *p, struct runner *r,
             const struct bd_placement_runner *from, bool local)
{
  int old = bd_placement_find (p, from->instance);

  if (old >= 0)
    *r = p->runners[old];
  r->local = local;
  r->name_length = from->instance.length;
  r->name = bd_chunk_copy (from->instance);
  return r->name ? BD_OK : BD_ERR_NOMEM;
}

/**
 * Renumbers the cache entries for the new indexes of their runners, or drops
 * them.
 */
static int
remap_affinity (struct bd_placement *p, const struct bd_placement *next)
{
  int *to = calloc (p->count + 1, sizeof *to);

  if (!to)
    return BD_ERR_NOMEM;
  for (uint32_t i = 0; i < p->count; i++)
    to[i] = bd_placement_find (next, bd_placement_instance (p, i));
  bd_affinity_remap (p->affinity, to);
  free (to);
  return BD_OK;
}

static int
build_runners (const struct bd_placement *p,
               const struct bd_placement_runner *runners,
               const struct bd_subset_member *members,
               struct bd_placement *next)
{
  for (size_t i = 0; i < next->count; i++)
    {
      struct runner *r = &next->runners[i];
      const struct bd_placement_runner *from = &runners[members[i].index];

      if (runner_init (p, r, from, members[i].local) != BD_OK
          || bd_hash_table_insert (&next->by_name, &r->node,
                                   bd_chunk_hash (from->instance))
                 != BD_OK)
        return BD_ERR_NOMEM;
    }
  return BD_OK;
}

int
bd_placement_set_runners (struct bd_placement *p,
                          const struct bd_placement_runner *runners,
                          size_t count)
{
  struct bd_placement next = { 0 };
  struct bd_subset_member *members = calloc (count + 1, sizeof *members);
  int rc = BD_ERR_NOMEM;

  if (!members)
    return BD_ERR_NOMEM;
  next.count = bd_subset_select (p->self, p->settings.zone, runners, count,
                                 p->settings.subset_size, members);
  next.runners = calloc (next.count + 1, sizeof *next.runners);
  next.eligible = calloc (next.count + 1, sizeof *next.eligible);
  if (next.runners && next.eligible)
    rc = build_runners (p, runners, members, &next);
  if (rc == BD_OK)
    rc = remap_affinity (p, &next);
  free (members);
  if (rc != BD_OK)
    {
      if (next.runners)
        runners_free (next.runners, next.count);
      free (next.eligible);
      bd_hash_table_clear (&next.by_name);
      return rc;
    }
  runners_free (p->runners, p->count);
  bd_hash_table_clear (&p->by_name);
  free (p->eligible);
  p->runners = next.runners;
  p->count = next.count;
  p->by_name = next.by_name;
  p->eligible = next.eligible;
  p->statistics_known = false;
  return BD_OK;
}

size_t
bd_placement_count (const struct bd_placement *p)
{
  return p->count;
}

int
bd_placement_find (const struct bd_placement *p, struct bd_chunk instance)
{
  struct bd_hash_table_node *n
      = bd_hash_table_first (&p->by_name, bd_chunk_hash (instance));

  for (; n; n = bd_hash_table_next (n))
    {
      const struct runner *r = (const struct runner *)n;
      struct bd_chunk name = { r->name, r->name_length };

      if (bd_chunk_equal (name, instance))
        return (int)(r - p->runners);
    }
  return -1;
}

struct bd_chunk
bd_placement_instance (const struct bd_placement *p, uint32_t index)
{
  struct bd_chunk none = { 0 };

  if (index >= p->count)
    return none;
  return (struct bd_chunk){ p->runners[index].name,
                            p->runners[index].name_length };
}

void
bd_placement_set_state (struct bd_placement *p, uint32_t index,
                        enum bd_runner_state state)
{
  struct runner *r;

  if (index >= p->count)
    return;
  r = &p->runners[index];
  if (state == BD_RUNNER_DOWN && r->state != BD_RUNNER_DOWN)
    {
      r->crashed = true;
      r->crash_ms = p->now_ms;
    }
  r->state = state;
}

enum bd_runner_state
bd_placement_state (const struct bd_placement *p, uint32_t index)
{
  return index < p->count ? p->runners[index].state : BD_RUNNER_DOWN;
}

void
bd_placement_report (struct bd_placement *p, uint32_t index,
                     const struct bd_load_report *load)
{
  if (index < p->count)
    bd_runner_load_report (&p->runners[index].load, load);
}

void
bd_placement_cache_event (struct bd_placement *p, uint32_t index,
                          uint64_t prefix_hash, bool present)
{
  if (index < p->count)
    bd_affinity_record (p->affinity, prefix_hash, index, present);
}

size_t
bd_placement_choose (struct bd_placement *p, int64_t now_ms,
                     const struct bd_placement_request *request,
                     uint32_t *indexes, size_t want)
{
  if (want == 0 || p->count == 0)
    return 0;
  if (want > BD_PLACEMENT_WANT_MAX)
    want = BD_PLACEMENT_WANT_MAX;
  if (now_ms > p->now_ms)
    p->now_ms = now_ms;
  update_statistics (p);
  collect_eligible (p, request);
  return p->policy->choose (p, request, indexes, want);
}

void
bd_placement_count_reservation (struct bd_placement *p, uint32_t index,
                                int delta)
{
  if (index < p->count)
    bd_runner_load_count_reservation (&p->runners[index].load, delta);
}
