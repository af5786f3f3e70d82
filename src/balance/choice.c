#include "balance/choice.h"

#include "balance/outlier.h"
#include "core/random.h"

#include <float.h>
#include <stdlib.h>

/* Shared parts shorter than this are not worth a detour. */
#define SHARED_TOKENS_LEAST 1000
/* Cost of a request that already runs, in ms of delay to the next one. */
#define RUNNING_COST_MS 3.0
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
/* What it costs to place a request among those of the other length. */
#define LONG_AMONG_SHORT_MS 1500.0
#define SHORT_AMONG_LONG_MS 500.0

struct bd_choice
{
  uint64_t random;
  struct bd_speeds *speeds;
  struct bd_parts *parts;
};

struct bd_choice *
bd_choice_create (uint64_t seed)
{
  struct bd_choice *choice = calloc (1, sizeof *choice);

  if (!choice)
    return NULL;
  choice->random = seed;
  choice->speeds = bd_speeds_create ();
  choice->parts = bd_parts_create ();
  if (choice->speeds && choice->parts)
    return choice;
  bd_choice_destroy (choice);
  return NULL;
}

void
bd_choice_destroy (struct bd_choice *choice)
{
  if (!choice)
    return;
  bd_speeds_destroy (choice->speeds);
  bd_parts_destroy (choice->parts);
  free (choice);
}

struct bd_speeds *
bd_choice_speeds (struct bd_choice *choice)
{
  return choice->speeds;
}

struct bd_parts *
bd_choice_parts (struct bd_choice *choice)
{
  return choice->parts;
}

static bool
drawn_to_prefix (const struct bd_demand *demand)
{
  return demand->prefix_hash != 0
         && demand->shared_tokens >= SHARED_TOKENS_LEAST;
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

static uint64_t
prompt_tokens (const struct bd_demand *demand)
{
  return demand->shared_tokens + demand->own_tokens;
}

static bool
is_short (const struct bd_demand *demand)
{
  return prompt_tokens (demand) <= BD_SPEED_SHORT_TOKENS;
}

static bool
lengths_apart (const struct bd_choice *choice, const struct bd_demand *demand)
{
  return bd_speeds_lengths_apart (choice->speeds, demand->service,
                                  prompt_tokens (demand), demand->now_ms);
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
  if (demand->prefix_hash != 0
      && bd_parts_held (choice->parts, demand->prefix_hash, target,
                        demand->now_ms))
    return BD_PLACE_WARM;
  return drawn_to_prefix (demand) ? BD_PLACE_COLD : BD_PLACE_ANY;
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
      double tokens_per_ms
          = bd_speeds_tokens_per_ms (choice->speeds, demand->service);

      pick.ahead_tokens
          = target->prefill_tokens + target->peers_prefill_tokens;
      pick.wait_ms = (double)pick.ahead_tokens / tokens_per_ms;
      pick.cost_ms = pick.wait_ms
                     + engine_cost (demand, &pick, tokens_per_ms,
                                    lengths_apart (choice, demand));
    }
  else
    {
      double each_ms = bd_speeds_work_ms (choice->speeds, demand->service);

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

void
bd_choice_sent (struct bd_choice *choice, const struct bd_demand *demand,
                const struct bd_target *target)
{
  if (demand->own_tokens > 0)
    bd_speeds_prompt (choice->speeds, demand->service, prompt_tokens (demand),
                      demand->now_ms);
  if (demand->prefix_hash != 0)
    bd_parts_sent (choice->parts, demand->prefix_hash, target->hash,
                   demand->now_ms);
}
