#include "balance/choice.h"

#include "balance/outlier.h"
#include "core/random.h"

#include <float.h>
#include <stdlib.h>

/* Shared parts shorter than this are not worth a detour. */
#define SHARED_TOKENS_LEAST 1000
/* Places of the memory of shared parts: a power of two. */
#define WARM_PLACES 4096
#define WARM_WAYS 4
/* How long a runner is believed to keep a part that was sent there. */
#define WARM_KEEP_MS 30000
/* Prompt tokens that a runner reads in a millisecond. */
#define PREFILL_TOKENS_PER_MS 50.0
/* Cost of a request that already runs, in ms of delay to the next one. */
#define RUNNING_COST_MS 3.0
/* Cost of a request in flight at a plain service. */
#define PLAIN_COST_MS 60.0
/* What another availability zone costs, in ms of delay. */
#define ZONE_COST_MS 12.0
/* Weight of failures: the delay that a sure failure is held to cost. */
#define FAILING_COST_MS 1500.0
/* Reading a part again also takes the runner's time from others. */
#define REREAD_WEIGHT 1.6
/* Runners that still warm up after their start. */
#define COLD_COST_MS 400.0

/* Prompts of up to this many tokens are read in one step of an engine and
   hardly delay the tokens of others. */
#define SHORT_PROMPT_TOKENS 4096
/* One runner in so many of a zone is kept for short prompts. */
#define SHORT_RUNNERS_PART 3
/* What it costs to place a request among those of the other length. */
#define LONG_AMONG_SHORT_MS 1500.0
#define SHORT_AMONG_LONG_MS 500.0

struct warm
{
  uint64_t prefix_hash;
  uint64_t target_hash;
  int64_t sent_ms;
};

struct bd_choice
{
  uint64_t random;
  struct warm warm[WARM_PLACES];
};

struct bd_choice *
bd_choice_create (uint64_t seed)
{
  struct bd_choice *choice = calloc (1, sizeof *choice);

  if (choice)
    choice->random = seed;
  return choice;
}

void
bd_choice_destroy (struct bd_choice *choice)
{
  free (choice);
}

static bool
drawn_to_prefix (const struct bd_demand *demand)
{
  return demand->prefix_hash != 0
         && demand->shared_tokens >= SHARED_TOKENS_LEAST;
}

static const struct warm *
warm_set (const struct bd_choice *choice, uint64_t prefix_hash)
{
  size_t sets = WARM_PLACES / WARM_WAYS;

  return &choice->warm[(bd_random_mix (prefix_hash) & (sets - 1)) * WARM_WAYS];
}

static bool
is_warm (const struct bd_choice *choice, const struct bd_demand *demand,
         const struct bd_target *target)
{
  const struct warm *set = warm_set (choice, demand->prefix_hash);

  for (size_t i = 0; i < WARM_WAYS; i++)
    if (set[i].prefix_hash == demand->prefix_hash
        && set[i].target_hash == target->hash
        && demand->now_ms - set[i].sent_ms < WARM_KEEP_MS
        && set[i].sent_ms >= target->since_ms)
      return true;
  return false;
}

static bool
was_tried (const struct bd_demand *demand, const struct bd_target *target)
{
  for (size_t i = 0; i < demand->tried_count; i++)
    if (demand->tried[i] == target)
      return true;
  return false;
}

static bool
serves (const struct bd_demand *demand, const struct bd_target *target)
{
  return bd_target_usable (target)
         && bd_chunk_equal (target->service, demand->service);
}

static bool
is_short (const struct bd_demand *demand)
{
  return demand->shared_tokens + demand->own_tokens <= SHORT_PROMPT_TOKENS;
}

/*
 * Long prompts delay every token of the requests that run beside them, so
 * some runners are kept for short ones: the first of each zone in the order
 * of their identifiers' hashes, which every instance sees alike.
 */
static bool
kept_for_short (const struct bd_demand *demand, const struct bd_target *target,
                struct bd_target *const *targets, size_t count)
{
  size_t peers = 1;
  size_t before = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct bd_target *other = targets[i];

      if (other == target || !serves (demand, other)
          || !bd_chunk_equal (other->zone, target->zone))
        continue;
      peers++;
      before += other->hash < target->hash;
    }
  return before < peers / SHORT_RUNNERS_PART;
}

/* Same weight at every entry: the highest is the home of the prefix. */
static uint64_t
rendezvous (const struct bd_demand *demand, const struct bd_target *target)
{
  return bd_random_mix (demand->prefix_hash ^ target->hash);
}

static const struct bd_target *
find_home (const struct bd_demand *demand, struct bd_target *const *targets,
           size_t count)
{
  const struct bd_target *home = NULL;

  for (size_t i = 0; i < count; i++)
    if (serves (demand, targets[i])
        && kept_for_short (demand, targets[i], targets, count)
               == is_short (demand)
        && (!home
            || rendezvous (demand, targets[i]) > rendezvous (demand, home)))
      home = targets[i];
  return home;
}

/* Expected delay until the request begins at TARGET, in ms, with what else
   speaks against it. */
static double
cost (const struct bd_choice *choice, const struct bd_demand *demand,
      const struct bd_target *target, const struct bd_target *home)
{
  uint32_t running = target->in_flight + target->peers_in_flight;
  uint64_t queued = target->prefill_tokens + target->peers_prefill_tokens;
  bool engine = demand->own_tokens > 0;
  double ms = 0.0;

  if (engine)
    {
      ms += (double)(queued + demand->own_tokens) / PREFILL_TOKENS_PER_MS;
      ms += running * RUNNING_COST_MS;
      if (target != home && !is_warm (choice, demand, target))
        ms += (double)demand->shared_tokens / PREFILL_TOKENS_PER_MS
              * (drawn_to_prefix (demand) ? REREAD_WEIGHT : 1.0);
    }
  else
    {
      uint32_t slots = target->slots ? target->slots : 1;

      ms += running * PLAIN_COST_MS / slots;
      if (running >= slots)
        ms += (running - slots + 1) * PLAIN_COST_MS;
    }
  if (!bd_chunk_equal (target->zone, demand->zone))
    ms += ZONE_COST_MS;
  if (target->cold_until_ms > demand->now_ms)
    ms += COLD_COST_MS;
  return ms + bd_outlier_failing (target, demand->now_ms) * FAILING_COST_MS;
}

static struct bd_target *
cheapest (struct bd_choice *choice, const struct bd_demand *demand,
          struct bd_target *const *targets, size_t count, bool heed_health)
{
  const struct bd_target *home = NULL;
  struct bd_target *best = NULL;
  double best_cost = DBL_MAX;
  uint32_t ties = 0;

  if (drawn_to_prefix (demand))
    home = find_home (demand, targets, count);
  for (size_t i = 0; i < count; i++)
    {
      struct bd_target *target = targets[i];
      double its_cost;

      if (!serves (demand, target) || was_tried (demand, target))
        continue;
      if (heed_health && !bd_outlier_allows (target, demand->now_ms))
        continue;
      its_cost = cost (choice, demand, target, home);
      if (demand->own_tokens > 0
          && kept_for_short (demand, target, targets, count)
                 != is_short (demand))
        its_cost
            += is_short (demand) ? SHORT_AMONG_LONG_MS : LONG_AMONG_SHORT_MS;
      if (its_cost < best_cost)
        ties = 0;
      else if (its_cost > best_cost)
        continue;
      ties++;
      if (ties > 1 && bd_random_below (&choice->random, ties) != 0)
        continue;
      best = target;
      best_cost = its_cost;
    }
  return best;
}

struct bd_target *
bd_choice_pick (struct bd_choice *choice, const struct bd_demand *demand,
                struct bd_target *const *targets, size_t count)
{
  struct bd_target *target = cheapest (choice, demand, targets, count, true);

  /* With no healthy runner left, an avoided one is better than none. */
  return target ? target : cheapest (choice, demand, targets, count, false);
}

void
bd_choice_sent (struct bd_choice *choice, const struct bd_demand *demand,
                const struct bd_target *target)
{
  struct warm *set;
  struct warm *place;

  if (demand->prefix_hash == 0)
    return;
  set = (struct warm *)warm_set (choice, demand->prefix_hash);
  place = set;
  for (size_t i = 0; i < WARM_WAYS; i++)
    {
      if (set[i].prefix_hash == demand->prefix_hash
          && set[i].target_hash == target->hash)
        {
          place = &set[i];
          break;
        }
      if (set[i].sent_ms < place->sent_ms)
        place = &set[i];
    }
  *place = (struct warm){ demand->prefix_hash, target->hash, demand->now_ms };
}

uint64_t
bd_choice_prefill (const struct bd_choice *choice,
                   const struct bd_demand *demand,
                   const struct bd_target *target)
{
  if (demand->prefix_hash != 0 && is_warm (choice, demand, target))
    return demand->own_tokens;
  return demand->own_tokens + demand->shared_tokens;
}
