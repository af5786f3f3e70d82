#include "core/placement.h"

#include "common/string.h"
#include "core/random.h"
#include "core/table.h"

#include <stdlib.h>
#include <string.h>

/** A report this old says nothing more of the runner's queue. */
#define LOAD_STALE_MS 3000
/** A report this old says nothing more of the runner's speed. */
#define SPEED_STALE_MS 30000
/** How long the median and mean over the peers are used. */
#define STATISTICS_MS 100
/** Time per token while no runner has reported one. */
#define DEFAULT_TOKEN_TIME_US 30000
#define DEFAULT_EXPECTED_TOKENS 256
/** A runner this many times slower than the median is a straggler. */
#define STRAGGLER_RATIO 1.5
/** Time that a cached prefix is taken to save. */
#define AFFINITY_GAIN_MS 200.0
/** Extra time of a fully busy runner with no queue: batches slow down. */
#define BUSY_COST_MS 50.0
#define REMOTE_ZONE_COST_MS 2.0
#define UNKNOWN_COST_MS 20.0
/** After a crash a runner looks this much slower, falling to 0 over time. */
#define CRASH_COST_MS 2000.0
#define CRASH_MEMORY_MS 10000

#define SAMPLE_PER_WANTED 4
#define SAMPLE_MIN 8
#define AFFINITY_SETS 1024
#define AFFINITY_WAYS 8
#define CANDIDATES_MAX                                                        \
  (BD_PLACEMENT_WANT_MAX * SAMPLE_PER_WANTED + AFFINITY_WAYS)

struct runner
{
  struct bd_table_node node;
  char *name;
  size_t name_length;
  bool local;
  bool reported;
  bool crashed;
  enum bd_runner_state state;
  struct bd_load load;
  int32_t outstanding;
  int32_t outstanding_at_report;
  int64_t crash_ms;
};

/** A belief that a runner's cache holds a prefix. */
struct belief
{
  uint64_t prefix_hash; /**< 0: unused. */
  uint32_t runner;
  uint32_t stamp;
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
  struct bd_table by_name;
  uint32_t *eligible;
  size_t eligible_count;
  struct belief *beliefs;
  uint32_t stamp;
  int64_t now_ms;
  int64_t statistics_ms;
  bool statistics_known;
  double median_token_time_us;
  double mean_backlog; /**< Requests per slot. */
};

static double
token_time_us (const struct bd_placement *p, const struct runner *r)
{
  double age_ms = (double)(p->now_ms - r->load.measured_ms);
  double trust = 1.0 - age_ms / SPEED_STALE_MS;

  if (!r->reported || r->load.token_time_us == 0 || trust <= 0.0)
    return p->median_token_time_us;
  if (trust > 1.0)
    trust = 1.0;
  return trust * r->load.token_time_us
         + (1.0 - trust) * p->median_token_time_us;
}

static double
reported_backlog (const struct runner *r, uint8_t tier)
{
  uint32_t slots = r->load.slots > 0 ? r->load.slots : 1;
  uint32_t queued = tier == 0 ? r->load.queued_above : r->load.queued;

  return ((double)r->load.running + queued) / slots;
}

/**
 * Requests per slot: the report, weighed with its age against the mean of
 * the peers, and the change in own asks since.
 */
static double
estimated_backlog (const struct bd_placement *p, const struct runner *r,
                   uint8_t tier)
{
  double age_ms = (double)(p->now_ms - r->load.measured_ms);
  double trust = r->reported ? 1.0 - age_ms / LOAD_STALE_MS : 0.0;
  double slots = r->load.slots > 0 ? r->load.slots : 1;
  double backlog;

  if (trust < 0.0)
    trust = 0.0;
  if (trust > 1.0)
    trust = 1.0;
  backlog = trust * reported_backlog (r, tier)
            + (1.0 - trust) * p->mean_backlog
            + (r->outstanding - r->outstanding_at_report) / slots;
  return backlog > 0.0 ? backlog : 0.0;
}

static int
compare_u32 (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

/** Median time per token and mean backlog over the runners that report. */
static void
update_statistics (struct bd_placement *p)
{
  size_t timed = 0;
  size_t reported = 0;
  double sum = 0.0;

  if (p->statistics_known && p->now_ms - p->statistics_ms < STATISTICS_MS)
    return;
  for (size_t i = 0; i < p->count; i++)
    {
      const struct runner *r = &p->runners[i];

      if (!r->reported || r->state == BD_RUNNER_DOWN)
        continue;
      reported++;
      sum += reported_backlog (r, 1);
      if (r->load.token_time_us > 0)
        p->eligible[timed++] = r->load.token_time_us;
    }
  qsort (p->eligible, timed, sizeof *p->eligible, compare_u32);
  p->median_token_time_us
      = timed > 0 ? p->eligible[(timed - 1) / 2] : DEFAULT_TOKEN_TIME_US;
  p->mean_backlog = reported > 0 ? sum / (double)reported : 0.0;
  p->statistics_ms = p->now_ms;
  p->statistics_known = true;
}

static bool
may_ask (const struct bd_placement *p, uint32_t index,
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
    if (may_ask (p, i, request))
      p->eligible[p->eligible_count++] = i;
}

/** Moves SIZE random members to the front of the eligible ones. */
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

static struct belief *
belief_set (const struct bd_placement *p, uint64_t prefix_hash)
{
  size_t set = (size_t)bd_random_mix (prefix_hash) % AFFINITY_SETS;

  return &p->beliefs[set * AFFINITY_WAYS];
}

static bool
believed (const struct bd_placement *p, uint64_t prefix_hash, uint32_t index)
{
  const struct belief *set = belief_set (p, prefix_hash);

  for (int i = 0; i < AFFINITY_WAYS; i++)
    if (set[i].prefix_hash == prefix_hash && set[i].runner == index)
      return prefix_hash != 0;
  return false;
}

static double
crash_cost_ms (const struct bd_placement *p, const struct runner *r)
{
  double age_ms = (double)(p->now_ms - r->crash_ms);

  if (!r->crashed || age_ms >= CRASH_MEMORY_MS)
    return 0.0;
  return CRASH_COST_MS * (1.0 - age_ms / CRASH_MEMORY_MS);
}

/** Expected time until the request would be complete on a runner. */
static struct candidate
assess (const struct bd_placement *p, uint32_t index,
        const struct bd_placement_request *request)
{
  const struct runner *r = &p->runners[index];
  uint32_t tokens = request->expected_tokens > 0 ? request->expected_tokens
                                                 : DEFAULT_EXPECTED_TOKENS;
  double slots = r->load.slots > 0 ? r->load.slots : 1;
  double service_ms = tokens * token_time_us (p, r) / 1000.0;
  double backlog = estimated_backlog (p, r, request->tier);
  double excess = backlog + 1.0 / slots - 1.0;
  double time_ms = service_ms + (excess > 0.0 ? excess * service_ms : 0.0);
  struct candidate c = { .index = index };

  c.meets_target
      = request->time_left_ms <= 0 || time_ms <= request->time_left_ms;
  c.cost_ms = time_ms + backlog * BUSY_COST_MS + crash_cost_ms (p, r);
  if (!r->local)
    c.cost_ms += REMOTE_ZONE_COST_MS;
  if (!r->reported)
    c.cost_ms += UNKNOWN_COST_MS;
  if (believed (p, request->prefix_hash, index))
    c.cost_ms -= AFFINITY_GAIN_MS;
  return c;
}

/** Stragglers take part with the square of their relative speed. */
static bool
passes_straggler_test (struct bd_placement *p, uint32_t index)
{
  double ratio
      = token_time_us (p, &p->runners[index]) / p->median_token_time_us;

  if (ratio < STRAGGLER_RATIO)
    return true;
  return bd_random_below (&p->random, 1000) < 1000.0 / (ratio * ratio);
}

static bool
goes_before (const struct candidate *a, const struct candidate *b)
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
  while (at > 0 && goes_before (&c, &list[at - 1]))
    {
      list[at] = list[at - 1];
      at--;
    }
  list[at] = c;
  return count + 1;
}

static size_t
add_believed (const struct bd_placement *p,
              const struct bd_placement_request *request,
              struct candidate *list, size_t count)
{
  const struct belief *set = belief_set (p, request->prefix_hash);

  if (request->prefix_hash == 0)
    return count;
  for (int i = 0; i < AFFINITY_WAYS; i++)
    if (set[i].prefix_hash == request->prefix_hash
        && may_ask (p, set[i].runner, request))
      count
          = insert_candidate (list, count, assess (p, set[i].runner, request));
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
  size_t count = 0;
  size_t chosen = 0;

  sampled = sample_eligible (p, size < SAMPLE_MIN ? SAMPLE_MIN : size);
  for (size_t i = 0; i < sampled; i++)
    if (passes_straggler_test (p, p->eligible[i]))
      count = insert_candidate (list, count,
                                assess (p, p->eligible[i], request));
  count = add_believed (p, request, list, count);
  if (count == 0 && sampled > 0)
    count = insert_candidate (list, 0, assess (p, p->eligible[0], request));
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
      && reported_backlog (&p->runners[two[1]], request->tier)
             < reported_backlog (&p->runners[two[0]], request->tier))
    indexes[0] = two[1];
  return 1;
}

static const struct policy policies[] = {
  [BD_POLICY_LATE_BINDING] = { choose_late_binding },
  [BD_POLICY_RANDOM] = { choose_random },
  [BD_POLICY_BETTER_OF_TWO] = { choose_better_of_two },
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
  p->beliefs
      = calloc ((size_t)AFFINITY_SETS * AFFINITY_WAYS, sizeof *p->beliefs);
  if (!p->zone || !p->beliefs)
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
  bd_table_clear (&p->by_name);
  free (p->eligible);
  free (p->beliefs);
  free (p->zone);
  free (p);
}

/** A runner of the pool while the subset is drawn. */
struct rank
{
  uint64_t score;
  size_t index;
  bool local;
};

/** Local runners first, then by falling score. */
static int
compare_rank (const void *a, const void *b)
{
  const struct rank *x = a;
  const struct rank *y = b;

  if (x->local != y->local)
    return x->local ? -1 : 1;
  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return (x->index > y->index) - (x->index < y->index);
}

/**
 * Draws the subset by rendezvous hashing: half from the entry's own zone and
 * half from the others, as far as there are enough.  Puts it at the front of
 * RANKS and returns its size.
 */
static size_t
draw_subset (const struct bd_placement *p,
             const struct bd_placement_runner *runners, size_t count,
             struct rank *ranks)
{
  size_t size = p->settings.subset_size;
  size_t local = 0;
  size_t take;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t name = bd_chunk_hash (runners[i].instance);

      ranks[i].index = i;
      ranks[i].score = bd_random_mix (p->self ^ bd_random_mix (name));
      ranks[i].local = bd_chunk_equal (runners[i].zone, p->settings.zone);
      local += ranks[i].local ? 1 : 0;
    }
  if (size == 0 || count <= size)
    return count;
  qsort (ranks, count, sizeof *ranks, compare_rank);
  take = local < (size + 1) / 2 ? local : (size + 1) / 2;
  if (count - local < size - take)
    take = size - (count - local);
  memmove (&ranks[take], &ranks[local], (size - take) * sizeof *ranks);
  return size;
}

/** Copies what is known of an old runner, or starts a new one. */
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

/** Lets beliefs follow their runners to new indexes, or forgets them. */
static void
move_beliefs (struct bd_placement *p, const struct bd_placement *next)
{
  size_t total = (size_t)AFFINITY_SETS * AFFINITY_WAYS;

  for (size_t i = 0; i < total; i++)
    {
      struct belief *b = &p->beliefs[i];
      int to;

      if (b->prefix_hash == 0)
        continue;
      to = bd_placement_find (next, bd_placement_instance (p, b->runner));
      if (to < 0)
        memset (b, 0, sizeof *b);
      else
        b->runner = (uint32_t)to;
    }
}

static int
build_runners (const struct bd_placement *p,
               const struct bd_placement_runner *runners,
               const struct rank *ranks, struct bd_placement *next)
{
  for (size_t i = 0; i < next->count; i++)
    {
      struct runner *r = &next->runners[i];
      const struct bd_placement_runner *from = &runners[ranks[i].index];

      if (runner_init (p, r, from, ranks[i].local) != BD_OK
          || bd_table_insert (&next->by_name, &r->node,
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
  struct rank *ranks = calloc (count + 1, sizeof *ranks);
  int rc = BD_ERR_NOMEM;

  if (!ranks)
    return BD_ERR_NOMEM;
  next.count = draw_subset (p, runners, count, ranks);
  next.runners = calloc (next.count + 1, sizeof *next.runners);
  next.eligible = calloc (next.count + 1, sizeof *next.eligible);
  if (next.runners && next.eligible)
    rc = build_runners (p, runners, ranks, &next);
  free (ranks);
  if (rc != BD_OK)
    {
      if (next.runners)
        runners_free (next.runners, next.count);
      free (next.eligible);
      bd_table_clear (&next.by_name);
      return rc;
    }
  move_beliefs (p, &next);
  runners_free (p->runners, p->count);
  bd_table_clear (&p->by_name);
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
  struct bd_table_node *n
      = bd_table_first (&p->by_name, bd_chunk_hash (instance));

  for (; n; n = bd_table_next (n))
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
                     const struct bd_load *load)
{
  struct runner *r;

  if (index >= p->count)
    return;
  r = &p->runners[index];
  if (r->reported && load->measured_ms < r->load.measured_ms)
    return;
  r->load = *load;
  r->reported = true;
  r->outstanding_at_report = r->outstanding;
}

void
bd_placement_cache_event (struct bd_placement *p, uint32_t index,
                          uint64_t prefix_hash, bool present)
{
  struct belief *set = belief_set (p, prefix_hash);
  struct belief *slot = &set[0];

  if (prefix_hash == 0 || index >= p->count)
    return;
  for (int i = 0; i < AFFINITY_WAYS; i++)
    {
      if (set[i].prefix_hash == prefix_hash && set[i].runner == index)
        {
          slot = &set[i];
          break;
        }
      if (set[i].stamp < slot->stamp)
        slot = &set[i];
    }
  if (present)
    *slot = (struct belief){ prefix_hash, index, ++p->stamp };
  else if (slot->prefix_hash == prefix_hash && slot->runner == index)
    memset (slot, 0, sizeof *slot);
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
  p->now_ms = now_ms;
  update_statistics (p);
  collect_eligible (p, request);
  return p->policy->choose (p, request, indexes, want);
}

void
bd_placement_asked (struct bd_placement *p, uint32_t index, int delta)
{
  struct runner *r;

  if (index >= p->count)
    return;
  r = &p->runners[index];
  r->outstanding += delta;
  if (r->outstanding < 0)
    r->outstanding = 0;
}
