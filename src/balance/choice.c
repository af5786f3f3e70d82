#include "balance/choice.h"

#include "balance/outlier.h"
#include "core/random.h"

#include <float.h>
#include <math.h>
#include <stdlib.h>

/* Shared parts shorter than this are not worth a detour. */
#define SHARED_TOKENS_LEAST 1000
/* Places of the memory of shared parts: a power of two. */
#define WARM_PLACES 4096
#define WARM_WAYS 4
/* How long a runner is believed to keep a part that was sent there. */
#define WARM_KEEP_MS 30000
/* Prompt tokens that an engine reads in a millisecond: what is assumed, its
   weight in tokens against what is seen, and bounds of what is believed. */
#define TOKENS_PER_MS_ASSUMED 50.0
#define TOKENS_PER_MS_WEIGHT 400000.0
#define TOKENS_PER_MS_LEAST 1.0
#define TOKENS_PER_MS_MOST 1000.0
/* Tokens after which what was seen counts half, and the least of a sample. */
#define LEARN_TOKENS 2000000.0
#define LEARN_TOKENS_LEAST 2000
/* Part of the time to a first event that is not reading. */
#define FIRST_EVENT_MS 40.0
/* Services of which something is learned. */
#define SERVICES_MAX 32
/* Runners are kept apart by length of prompts while both lengths came within
   this time; long ones wait that long for the first short one. */
#define LENGTHS_KEEP_MS 20000
/* Cost of a request that already runs, in ms of delay to the next one. */
#define RUNNING_COST_MS 3.0
/* Work of a request at a plain service: what is assumed, and the weight of
   each that is seen. */
#define WORK_MS_ASSUMED 60.0
#define WORK_WEIGHT 0.05
/* What another availability zone costs, in ms of delay. */
#define ZONE_COST_MS 12.0
/* Weight of failures: the delay that a sure failure is held to cost. */
#define FAILING_COST_MS 1500.0
/* Reading a part again also takes the runner's time from others. */
#define REREAD_WEIGHT 15.0
/* Runners at which a shared part is at home; the first is preferred. */
#define HOMES 2
/* What the second home costs, in ms of delay. */
#define SECOND_HOME_MS 2000.0
/* A peer avoids the runner.  That may be the peer's own link, so it is a
   cost and no more, for at most so many peers. */
#define PEER_AVOIDS_MS 400.0
#define PEERS_HEEDED 3
/* Runners that still warm up after their start. */
#define COLD_COST_MS 400.0

/* Prompts of up to this many tokens are read in one step of an engine and
   hardly delay the tokens of others. */
#define SHORT_PROMPT_TOKENS 4096
/* What it costs to place a request among those of the other length. */
#define LONG_AMONG_SHORT_MS 1500.0
#define SHORT_AMONG_LONG_MS 500.0

struct warm
{
  uint64_t prefix_hash;
  uint64_t target_hash;
  int64_t sent_ms;
};

/* What was seen of a service: how much its engines read in which time,
   weighed down with later work, and when which prompts came. */
struct service_stats
{
  uint64_t service_hash;
  double tokens;
  double ms;
  double work_ms; /* 0: nothing was seen. */
  int64_t first_ms;
  int64_t last_short_ms; /* 0: none has come. */
  int64_t last_long_ms;
};

struct bd_choice
{
  uint64_t random;
  size_t service_count;
  struct service_stats services[SERVICES_MAX];
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

static const struct service_stats *
find_stats (const struct bd_choice *choice, struct bd_chunk service)
{
  uint64_t hash = bd_chunk_hash (service);

  for (size_t i = 0; i < choice->service_count; i++)
    if (choice->services[i].service_hash == hash)
      return &choice->services[i];
  return NULL;
}

/* NULL when there are too many services. */
static struct service_stats *
need_stats (struct bd_choice *choice, struct bd_chunk service)
{
  struct service_stats *stats
      = (struct service_stats *)find_stats (choice, service);

  if (stats || choice->service_count == SERVICES_MAX)
    return stats;
  stats = &choice->services[choice->service_count++];
  stats->service_hash = bd_chunk_hash (service);
  return stats;
}

/* Whether DEMAND keeps off runners that are meant for the other length. */
static bool
lengths_apart (const struct bd_choice *choice, const struct bd_demand *demand)
{
  const struct service_stats *stats = find_stats (choice, demand->service);
  int64_t since = demand->now_ms - LENGTHS_KEEP_MS;

  if (is_short (demand))
    return stats && stats->last_long_ms > since && stats->last_long_ms != 0;
  return !stats || stats->first_ms > since || stats->last_short_ms > since;
}

/* Same weight at every instance: the highest is the home of the prefix. */
static uint64_t
rendezvous (const struct bd_demand *demand, const struct bd_target *target)
{
  return bd_random_mix (demand->prefix_hash ^ target->hash);
}

/* The runners at which the shared part is at home, in order; NULL: none. */
static void
find_homes (const struct bd_choice *choice, const struct bd_demand *demand,
            struct bd_target *const *targets, size_t count,
            const struct bd_target *homes[HOMES])
{
  bool apart = lengths_apart (choice, demand);

  for (size_t h = 0; h < HOMES; h++)
    homes[h] = NULL;
  if (!drawn_to_prefix (demand))
    return;
  for (size_t i = 0; i < count; i++)
    {
      const struct bd_target *target = targets[i];

      if (!serves (demand, target)
          || (apart && target->kept_for_short != is_short (demand)))
        continue;
      for (size_t h = 0; h < HOMES && target; h++)
        if (!homes[h]
            || rendezvous (demand, target) > rendezvous (demand, homes[h]))
          {
            const struct bd_target *next = homes[h];

            homes[h] = target;
            target = next;
          }
    }
}

static enum bd_place
place_of (const struct bd_choice *choice, const struct bd_demand *demand,
          const struct bd_target *target,
          const struct bd_target *const homes[HOMES])
{
  if (target == homes[0])
    return BD_PLACE_HOME;
  if (target == homes[1])
    return BD_PLACE_SECOND;
  if (demand->prefix_hash != 0 && is_warm (choice, demand, target))
    return BD_PLACE_WARM;
  return drawn_to_prefix (demand) ? BD_PLACE_COLD : BD_PLACE_ANY;
}

double
bd_choice_tokens_per_ms (const struct bd_choice *choice,
                         struct bd_chunk service)
{
  const struct service_stats *stats = find_stats (choice, service);
  double tokens = TOKENS_PER_MS_WEIGHT;
  double ms = TOKENS_PER_MS_WEIGHT / TOKENS_PER_MS_ASSUMED;
  double rate;

  if (stats)
    {
      tokens += stats->tokens;
      ms += stats->ms;
    }
  rate = tokens / ms;
  if (rate < TOKENS_PER_MS_LEAST)
    return TOKENS_PER_MS_LEAST;
  return rate > TOKENS_PER_MS_MOST ? TOKENS_PER_MS_MOST : rate;
}

void
bd_choice_learn (struct bd_choice *choice, struct bd_chunk service,
                 uint64_t tokens, int64_t ms)
{
  struct service_stats *stats;
  double reading_ms = (double)ms - FIRST_EVENT_MS;
  double keep = exp2 (-(double)tokens / LEARN_TOKENS);

  if (tokens < LEARN_TOKENS_LEAST)
    return;
  stats = need_stats (choice, service);
  if (!stats)
    return;
  stats->tokens = stats->tokens * keep + (double)tokens;
  stats->ms = stats->ms * keep + (reading_ms > 1.0 ? reading_ms : 1.0);
}

/* What speaks against an engine besides the prompts queued there. */
static double
engine_cost (const struct bd_demand *demand, const struct bd_pick *pick,
             double tokens_per_ms, bool apart)
{
  const struct bd_target *target = pick->target;
  uint32_t running = target->in_flight + target->peers_in_flight;
  double ms = (double)demand->own_tokens / tokens_per_ms;
  double shared_ms = (double)demand->shared_tokens / tokens_per_ms;

  ms += running * RUNNING_COST_MS;
  if (pick->place == BD_PLACE_SECOND)
    ms += SECOND_HOME_MS;
  if (pick->place == BD_PLACE_COLD)
    ms += shared_ms * REREAD_WEIGHT;
  if (pick->place == BD_PLACE_ANY)
    ms += shared_ms;
  if (apart && target->kept_for_short != is_short (demand))
    ms += target->kept_for_short ? LONG_AMONG_SHORT_MS : SHORT_AMONG_LONG_MS;
  return ms;
}

static double
work_ms (const struct bd_choice *choice, struct bd_chunk service)
{
  const struct service_stats *stats = find_stats (choice, service);

  return stats && stats->work_ms > 0.0 ? stats->work_ms : WORK_MS_ASSUMED;
}

void
bd_choice_learn_work (struct bd_choice *choice, struct bd_chunk service,
                      int64_t ms)
{
  double known = work_ms (choice, service);
  struct service_stats *stats = need_stats (choice, service);

  if (stats)
    stats->work_ms = known + WORK_WEIGHT * ((double)ms - known);
}

/* Time until a slot of a plain service is free. */
static double
plain_wait (const struct bd_target *target, double each_ms)
{
  uint32_t running = target->in_flight + target->peers_in_flight;
  uint32_t slots = target->slots ? target->slots : 1;

  return running < slots ? 0.0 : (running - slots + 1) * each_ms / slots;
}

static double
plain_cost (const struct bd_target *target, double each_ms)
{
  uint32_t running = target->in_flight + target->peers_in_flight;
  uint32_t slots = target->slots ? target->slots : 1;

  return running * each_ms / slots;
}

/* Fills in what placing the request at TARGET would mean. */
static struct bd_pick
weigh (const struct bd_choice *choice, const struct bd_demand *demand,
       struct bd_target *target, const struct bd_target *const homes[HOMES])
{
  struct bd_pick pick = { .target = target };

  pick.place = place_of (choice, demand, target, homes);
  pick.prefill_tokens = demand->own_tokens;
  if (pick.place == BD_PLACE_COLD || pick.place == BD_PLACE_ANY)
    pick.prefill_tokens += demand->shared_tokens;
  if (demand->own_tokens > 0)
    {
      double tokens_per_ms = bd_choice_tokens_per_ms (choice, demand->service);

      pick.ahead_tokens
          = target->prefill_tokens + target->peers_prefill_tokens;
      pick.wait_ms = (double)pick.ahead_tokens / tokens_per_ms;
      pick.cost_ms = pick.wait_ms
                     + engine_cost (demand, &pick, tokens_per_ms,
                                    lengths_apart (choice, demand));
    }
  else
    {
      double each_ms = work_ms (choice, demand->service);

      pick.wait_ms = plain_wait (target, each_ms);
      pick.cost_ms = pick.wait_ms + plain_cost (target, each_ms);
    }
  if (!bd_chunk_equal (target->zone, demand->zone))
    pick.cost_ms += ZONE_COST_MS;
  if (target->cold_until_ms > demand->now_ms)
    pick.cost_ms += COLD_COST_MS;
  pick.cost_ms
      += bd_outlier_failing (target, demand->now_ms) * FAILING_COST_MS;
  pick.cost_ms
      += (target->peers_avoiding < PEERS_HEEDED ? target->peers_avoiding
                                                : PEERS_HEEDED)
         * PEER_AVOIDS_MS;
  return pick;
}

static struct bd_pick
cheapest (struct bd_choice *choice, const struct bd_demand *demand,
          struct bd_target *const *targets, size_t count, bool heed_health)
{
  const struct bd_target *homes[HOMES];
  struct bd_pick best = { .cost_ms = DBL_MAX };
  uint32_t ties = 0;

  find_homes (choice, demand, targets, count, homes);
  for (size_t i = 0; i < count; i++)
    {
      struct bd_pick pick;

      if (!serves (demand, targets[i]) || was_tried (demand, targets[i]))
        continue;
      if (heed_health && !bd_outlier_allows (targets[i], demand->now_ms))
        continue;
      pick = weigh (choice, demand, targets[i], homes);
      if (pick.cost_ms > best.cost_ms)
        continue;
      ties = pick.cost_ms < best.cost_ms ? 1 : ties + 1;
      if (ties == 1 || bd_random_below (&choice->random, ties) == 0)
        best = pick;
    }
  return best;
}

struct bd_pick
bd_choice_pick (struct bd_choice *choice, const struct bd_demand *demand,
                struct bd_target *const *targets, size_t count)
{
  struct bd_pick pick = cheapest (choice, demand, targets, count, true);

  /* With no healthy runner left, an avoided one is better than none. */
  return pick.target ? pick : cheapest (choice, demand, targets, count, false);
}

const char *
bd_place_name (enum bd_place place)
{
  static const char *const names[]
      = { "home", "second", "warm", "cold", "any" };

  return names[place];
}

static void
note_length (struct bd_choice *choice, const struct bd_demand *demand)
{
  struct service_stats *stats = need_stats (choice, demand->service);

  if (!stats)
    return;
  if (stats->first_ms == 0)
    stats->first_ms = demand->now_ms;
  if (is_short (demand))
    stats->last_short_ms = demand->now_ms;
  else
    stats->last_long_ms = demand->now_ms;
}

void
bd_choice_sent (struct bd_choice *choice, const struct bd_demand *demand,
                const struct bd_target *target)
{
  struct warm *set;
  struct warm *place;

  if (demand->own_tokens > 0)
    note_length (choice, demand);
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
