#include "balance/choice.h"

#include "balance/ledger.h"
#include "balance/load.h"
#include "balance/outlier.h"
#include "balance/pause.h"
#include "common/random.h"

#include <float.h>
#include <stdlib.h>

/* Cost of a request that already runs, in ms of delay to the next one. */
#define RUNNING_COST_MS 3.0
/* What another availability zone costs, in ms of delay. */
#define ZONE_COST_MS 12.0
/* Weight of failures: the delay that a sure failure is held to cost, and for
   a plain request how many times its work. */
#define FAILURE_COST_MS 1500.0
#define FAILURE_COST_REQUESTS 5.0
/* Reading a part again also takes the runner's time from others. */
#define DUPLICATE_PREFILL_WEIGHT 15.0
/* Runners at which a shared part is at home; the first is preferred. */
#define PREFERRED_RUNNERS 2
/* What the second home costs, in ms of delay. */
#define SECOND_PREFERRED_COST_MS 2000.0
/* A peer avoids the runner.  That may be the peer's own link, so it is a
   cost and no more, for at most so many peers. */
#define PEER_EJECTED_COST_MS 400.0
#define PEERS_EJECTING_MAX 3
/* Runners that still warm up after their start. */
#define WARMUP_COST_MS 400.0
/* What it costs to place a request among those of the other length, where
   runners are set apart beforehand. */
#define LONG_AMONG_SHORT_COST_MS 1500.0
#define SHORT_AMONG_LONG_COST_MS 500.0
/* Where loads are known exactly, short requests gather at few runners: what
   one more of these costs, and one that is not set apart for them. */
#define FIRST_SHORT_COST_MS 150.0
#define FIRST_SHORT_ON_SHARED_COST_MS 50.0
/* Unread tokens at a runner above which streams there begin to pause for too
   long, the range in which that gets worse, and what it costs then. */
#define STALL_TOKENS 4096.0
#define STALL_RANGE_TOKENS 8192.0
#define STALL_COST_MS 1500.0
/* Requests at a runner, as a share of its slots, above which more cost extra,
   and how much each. */
#define CROWDED_SHARE 0.75
#define CROWDED_COST_MS 30.0
/* What a long prompt costs for each short request at the runner, for at most
   so many; and the part of it that counts when little is to be read. */
#define STALL_SHORT_COST_MS 800.0
#define STALL_SHORT_MAX 8
/* The same for each request there that is more urgent. */
#define STALL_URGENT_COST_MS 200.0
#define STALL_URGENT_MAX 8
#define SMALL_PREFILL_TOKENS 6000
#define SMALL_PREFILL_RATIO 0.2
/* Most runners of a shard.  One instance decides for a shard, so this bounds
   its work. */
#define SHARD_RUNNERS_MAX 64
/* The part of a prompt that counts towards how busy its reading makes a
   runner. */
#define OWN_PREFILL_RATIO 0.5
/* Fetching a part from another runner: what it costs beyond its time, and the
   weight of that time, as it takes both runners' links. */
#define FETCH_COST_MS 1000.0
#define FETCH_WEIGHT 3.0
#define US_PER_MS 1000.0
#define FETCH_UNIT_TOKENS 1000.0
/* Share of the objective after which a request that begins is held to be
   late, and what that costs. */
#define LATE_RATIO 0.7
#define LATE_COST_MS 1500.0
/* Without a place known for a shared part, what it costs not to take the
   runner that another instance would take. */
#define FIRST_ELSEWHERE_COST_MS 100.0

struct bd_choice
{
  uint64_t random;
  struct bd_speeds *speeds;
  struct bd_parts *parts;
  struct bd_admission *admission;
};

struct bd_choice *
bd_choice_create (uint64_t seed)
{
  struct bd_choice *choice = calloc (1, sizeof *choice);

  if (!choice)
    return NULL;
  choice->random = seed;
  choice->speeds = bd_service_stats_create ();
  choice->parts = bd_prefix_map_create ();
  choice->admission = bd_admission_create ();
  if (choice->speeds && choice->parts && choice->admission)
    return choice;
  bd_choice_destroy (choice);
  return NULL;
}

void
bd_choice_destroy (struct bd_choice *choice)
{
  if (!choice)
    return;
  bd_service_stats_destroy (choice->speeds);
  bd_prefix_map_destroy (choice->parts);
  bd_admission_destroy (choice->admission);
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

struct bd_admission *
bd_choice_admission (struct bd_choice *choice)
{
  return choice->admission;
}

bool
bd_demand_has_part (const struct bd_demand *request)
{
  return request->prefix_hash != 0
         && request->shared_tokens >= BD_PARTS_TOKENS_LEAST;
}

static bool
is_excluded (const struct bd_demand *request, const struct bd_target *target)
{
  for (size_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == (uint32_t)target->hash)
      return true;
  return false;
}

uint32_t
bd_choice_shards (struct bd_target *const *targets, size_t count,
                  struct bd_chunk service)
{
  uint32_t runners = 0;

  for (size_t i = 0; i < count; i++)
    runners += bd_target_usable (targets[i])
               && bd_chunk_equal (targets[i]->service, service);
  return runners <= SHARD_RUNNERS_MAX
             ? 1
             : (runners + SHARD_RUNNERS_MAX - 1) / SHARD_RUNNERS_MAX;
}

uint32_t
bd_choice_shard (uint64_t prefix_hash, uint32_t shards)
{
  uint32_t best = 0;

  /* Rendezvous: with another number of shards, few move. */
  for (uint32_t s = 1; s < shards; s++)
    if (bd_random_mix (prefix_hash + s) > bd_random_mix (prefix_hash + best))
      best = s;
  return best;
}

static bool
serves (const struct bd_demand *request, const struct bd_target *target)
{
  return bd_target_usable (target)
         && bd_chunk_equal (target->service, request->service)
         && (request->shards <= 1
             || bd_choice_shard (target->hash, request->shards)
                    == request->shard);
}

static uint64_t
prompt_tokens (const struct bd_demand *request)
{
  return request->shared_tokens + request->own_tokens;
}

bool
bd_demand_is_short (const struct bd_demand *request)
{
  return request->own_tokens > 0
         && prompt_tokens (request) <= BD_SHORT_PROMPT_TOKENS;
}

static bool
separates_lengths (const struct bd_choice *choice,
                   const struct bd_demand *request)
{
  return bd_service_stats_separates_lengths (choice->speeds, request->service,
                                             prompt_tokens (request),
                                             request->now_ms);
}

/* Same weight at every instance: the highest is the home of the prefix. */
static uint64_t
rendezvous_weight (const struct bd_demand *request,
                   const struct bd_target *target)
{
  return bd_random_mix (request->prefix_hash ^ target->hash);
}

/* Where a shared part is. */
struct prefix_locations
{
  const struct bd_target
      *preferred[PREFERRED_RUNNERS]; /* In order; NULL: none. */
  bool has_holder; /* A runner that may be used is believed to hold it. */
  const struct bd_target *source; /* That others can fetch it from. */
};

static const struct bd_part *
find_location (const struct bd_choice *choice, const struct bd_demand *request,
               const struct bd_target *target)
{
  if (!bd_demand_has_part (request))
    return NULL;
  return bd_parts_at (choice->parts, request->prefix_hash, target,
                      request->now_ms);
}

/* Whether others can fetch a part from TARGET, which may be leaving. */
static bool
can_serve_fetch (const struct bd_demand *request,
                 const struct bd_target *target)
{
  return request->fetch_us > 0 && target->state != BD_TARGET_GONE
         && bd_chunk_equal (target->service, request->service)
         && bd_outlier_allows (target, request->now_ms);
}

/* Takes in that TARGET has PART. */
static void
add_holder (const struct bd_demand *request, const struct bd_target *target,
            const struct bd_part *part, struct prefix_locations *locations)
{
  bool nearer = locations->source
                && !bd_chunk_equal (locations->source->zone, request->zone)
                && bd_chunk_equal (target->zone, request->zone);

  if (serves (request, target))
    locations->has_holder = true;
  if (part->read && can_serve_fetch (request, target)
      && (!locations->source || nearer))
    locations->source = target;
}

static void
rank_preferred (const struct bd_demand *request,
                const struct bd_target *target,
                struct prefix_locations *locations)
{
  for (size_t h = 0; h < PREFERRED_RUNNERS && target; h++)
    if (!locations->preferred[h]
        || rendezvous_weight (request, target)
               > rendezvous_weight (request, locations->preferred[h]))
      {
        const struct bd_target *next = locations->preferred[h];

        locations->preferred[h] = target;
        target = next;
      }
}

static struct prefix_locations
locate_prefix (const struct bd_choice *choice, const struct bd_demand *request,
               struct bd_target *const *targets, size_t count)
{
  struct prefix_locations locations = { .has_holder = false };
  bool separated = separates_lengths (choice, request);

  if (!bd_demand_has_part (request))
    return locations;
  for (size_t i = 0; i < count; i++)
    {
      const struct bd_part *part = find_location (choice, request, targets[i]);

      if (part)
        add_holder (request, targets[i], part, &locations);
      if (!serves (request, targets[i]))
        continue;
      if (!separated || targets[i]->short_only == bd_demand_is_short (request))
        rank_preferred (request, targets[i], &locations);
    }
  return locations;
}

static enum bd_place
reason_for (const struct bd_choice *choice, const struct bd_demand *request,
            const struct bd_target *target,
            const struct prefix_locations *locations)
{
  if (!request->coordinated && target == locations->preferred[0])
    return BD_PICK_PREFERRED;
  if (!request->coordinated && target == locations->preferred[1])
    return BD_PICK_SECOND;
  if (find_location (choice, request, target))
    return BD_PLACE_WARM;
  if (!bd_demand_has_part (request))
    return BD_PLACE_ANY;
  if (request->coordinated && locations->source)
    return BD_PLACE_FETCH;
  return request->coordinated && !locations->has_holder ? BD_PICK_FIRST
                                                        : BD_PICK_COLD;
}

/* What speaks against a place for the sake of the shared part. */
static double
prefix_cost (const struct bd_demand *request, const struct bd_pick *pick,
             const struct prefix_locations *locations, double prefix_ms)
{
  switch (pick->place)
    {
    case BD_PICK_SECOND:
      return SECOND_PREFERRED_COST_MS;
    case BD_PICK_COLD:
      return prefix_ms * DUPLICATE_PREFILL_WEIGHT;
    case BD_PLACE_ANY:
      return prefix_ms;
    case BD_PLACE_FETCH:
      return FETCH_COST_MS
             + FETCH_WEIGHT * (double)request->shared_tokens
                   / FETCH_UNIT_TOKENS * request->fetch_us / US_PER_MS;
    case BD_PICK_FIRST:
      return pick->target == locations->preferred[0] ? 0.0
                                                     : FIRST_ELSEWHERE_COST_MS;
    default:
      return 0.0;
    }
}

/* What it costs a short request to join what is at a runner. */
static double
short_prompt_cost (const struct bd_target *target)
{
  const struct bd_reserved_load *booked = &target->booked;
  double excess
      = ((double)booked->prefill_tokens - STALL_TOKENS) / STALL_RANGE_TOKENS;
  double crowding = (double)booked->in_flight - target->slots * CROWDED_SHARE;
  double ms = 0.0;

  if (excess > 0.0)
    ms += STALL_COST_MS * (excess < 1.0 ? excess : 1.0);
  if (crowding > 0.0)
    ms += crowding * CROWDED_COST_MS;
  if (booked->short_in_flight == 0)
    ms += FIRST_SHORT_COST_MS
          + (target->short_only ? 0.0 : FIRST_SHORT_ON_SHARED_COST_MS);
  return ms;
}

/* Requests at TARGET that are not short and more urgent than PRIORITY. */
static uint32_t
count_more_urgent (const struct bd_target *target, int priority)
{
  uint32_t count = 0;

  for (int p = 0; p < priority && p < BD_PRIORITIES; p++)
    count += target->booked.long_in_flight[p];
  return count;
}

/* What a long prompt costs the streams at a runner: they pause while it is
   read. */
static double
long_prompt_cost (const struct bd_demand *request, const struct bd_pick *pick)
{
  uint32_t short_count = pick->target->booked.short_in_flight;
  uint32_t urgent_count = count_more_urgent (pick->target, request->priority);
  bool is_small
      = pick->prefill_tokens + pick->ahead_tokens <= SMALL_PREFILL_TOKENS;
  double ms;

  if (short_count > STALL_SHORT_MAX)
    short_count = STALL_SHORT_MAX;
  if (urgent_count > STALL_URGENT_MAX)
    urgent_count = STALL_URGENT_MAX;
  ms = short_count * STALL_SHORT_COST_MS + urgent_count * STALL_URGENT_COST_MS;
  return is_small ? ms * SMALL_PREFILL_RATIO : ms;
}

/* What speaks against a runner for the sake of requests of other lengths. */
static double
length_cost (const struct bd_choice *choice, const struct bd_demand *request,
             const struct bd_pick *pick)
{
  const struct bd_target *target = pick->target;

  if (request->coordinated)
    return bd_demand_is_short (request) ? short_prompt_cost (target)
                                        : long_prompt_cost (request, pick);
  if (!separates_lengths (choice, request)
      || target->short_only == bd_demand_is_short (request))
    return 0.0;
  return target->short_only ? LONG_AMONG_SHORT_COST_MS
                            : SHORT_AMONG_LONG_COST_MS;
}

/* What it costs that the request would begin late at this place. */
static double
lateness_cost (const struct bd_demand *request, const struct bd_pick *pick)
{
  double limit = (double)request->objective_ms * LATE_RATIO;

  return limit > 0.0 && pick->wait_ms + pick->service_ms > limit ? LATE_COST_MS
                                                                 : 0.0;
}

/* Weighs an engine as the place for a prompt. */
static void
weigh_engine (const struct bd_choice *choice, const struct bd_demand *request,
              const struct prefix_locations *locations, struct bd_pick *pick)
{
  struct bd_target_load load = bd_target_load_for (request, pick->target);
  double tokens_per_ms
      = bd_service_stats_tokens_per_ms (choice->speeds, request->service);

  double slot_ms = bd_target_load_slot_wait_ms (
      request, pick->target, &load,
      bd_service_stats_residence_ms (choice->speeds, request->service));

  pick->ahead_tokens = load.prefill_tokens;
  pick->wait_ms = (double)pick->ahead_tokens / tokens_per_ms;
  if (pick->wait_ms < slot_ms)
    pick->wait_ms = slot_ms;
  pick->service_ms = (double)pick->prefill_tokens / tokens_per_ms;
  if (request->coordinated)
    pick->utilization = bd_reserved_token_rate (
                            &pick->target->booked,
                            OWN_PREFILL_RATIO * (double)pick->prefill_tokens,
                            request->now_ms)
                        / tokens_per_ms;
  pick->cost_ms
      = pick->wait_ms + (double)request->own_tokens / tokens_per_ms
        + load.in_flight * RUNNING_COST_MS
        + prefix_cost (request, pick, locations,
                       (double)request->shared_tokens / tokens_per_ms)
        + length_cost (choice, request, pick) + lateness_cost (request, pick);
}

/* Weighs a runner of a plain service: the time until a slot is free, and how
   much is at work. */
static void
weigh_plain (const struct bd_choice *choice, const struct bd_demand *request,
             struct bd_pick *pick)
{
  double work_ms = bd_service_stats_work_ms (choice->speeds, request->service);
  uint32_t running = bd_target_load_for (request, pick->target).in_flight;
  uint32_t slots = pick->target->slots ? pick->target->slots : 1;

  pick->wait_ms
      = running < slots ? 0.0 : (running - slots + 1) * work_ms / slots;
  pick->service_ms = work_ms;
  pick->cost_ms = pick->wait_ms + running * work_ms / slots;
}

/* What a sure failure is held to cost. */
static double
failure_cost_ms (const struct bd_choice *choice,
                 const struct bd_demand *request)
{
  if (request->own_tokens > 0)
    return FAILURE_COST_MS;
  return FAILURE_COST_REQUESTS
         * bd_service_stats_work_ms (choice->speeds, request->service);
}

/* What is known of a runner's health, as a cost. */
static double
health_cost (const struct bd_choice *choice, const struct bd_demand *request,
             const struct bd_target *target)
{
  uint32_t ejecting = target->peers_avoiding < PEERS_EJECTING_MAX
                          ? target->peers_avoiding
                          : PEERS_EJECTING_MAX;
  double ms = bd_outlier_failing (target, request->now_ms)
              * failure_cost_ms (choice, request);

  ms += ejecting * PEER_EJECTED_COST_MS;
  if (target->warmup_until_ms > request->now_ms)
    ms += WARMUP_COST_MS;
  return ms;
}

/* Fills in what placing the request at TARGET would mean. */
static struct bd_pick
weigh (const struct bd_choice *choice, const struct bd_demand *request,
       struct bd_target *target, const struct prefix_locations *locations)
{
  struct bd_pick pick = { .target = target };

  pick.place = reason_for (choice, request, target, locations);
  if (pick.place == BD_PLACE_FETCH)
    pick.source = locations->source;
  pick.prefill_tokens = request->own_tokens;
  if (pick.place >= BD_PICK_FIRST)
    pick.prefill_tokens += request->shared_tokens;
  if (request->own_tokens > 0)
    weigh_engine (choice, request, locations, &pick);
  else
    weigh_plain (choice, request, &pick);
  if (!bd_chunk_equal (target->zone, request->zone))
    pick.cost_ms += ZONE_COST_MS;
  pick.cost_ms += health_cost (choice, request, target);
  return pick;
}

/* Whether TARGET may get the request; its health is heeded while there are
   others. */
static bool
is_eligible (const struct bd_demand *request, const struct bd_target *target,
             bool check_health)
{
  if (!serves (request, target) || is_excluded (request, target))
    return false;
  if (request->sent_here && !bd_pause_allows (target, request->now_ms))
    return false;
  return !check_health
         || (bd_outlier_allows (target, request->now_ms)
             && !bd_pause_requested (target, request->now_ms));
}

static struct bd_pick
cheapest (struct bd_choice *choice, const struct bd_demand *request,
          struct bd_target *const *targets, size_t count, bool check_health)
{
  struct prefix_locations locations
      = locate_prefix (choice, request, targets, count);
  struct bd_pick best = { .cost_ms = DBL_MAX };
  uint32_t ties = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct bd_pick pick;

      if (!is_eligible (request, targets[i], check_health))
        continue;
      pick = weigh (choice, request, targets[i], &locations);
      if (pick.cost_ms > best.cost_ms)
        continue;
      ties = pick.cost_ms < best.cost_ms ? 1 : ties + 1;
      if (ties == 1 || bd_random_below (&choice->random, ties) == 0)
        best = pick;
    }
  return best;
}

struct bd_pick
bd_choice_pick (struct bd_choice *choice, const struct bd_demand *request,
                struct bd_target *const *targets, size_t count)
{
  struct bd_pick pick = cheapest (choice, request, targets, count, true);

  /* With no healthy runner left, an avoided one is better than none. */
  return pick.target ? pick
                     : cheapest (choice, request, targets, count, false);
}

const char *
bd_place_name (enum bd_place place)
{
  static const char *const names[]
      = { "home", "second", "warm", "fetch", "first", "cold", "any" };

  return names[place];
}

void
bd_choice_sent (struct bd_choice *choice, const struct bd_demand *request,
                const struct bd_target *target)
{
  if (request->own_tokens > 0)
    bd_service_stats_record_prompt (choice->speeds, request->service,
                                    prompt_tokens (request), request->now_ms);
  if (bd_demand_has_part (request))
    bd_parts_sent (choice->parts, request->prefix_hash, target->hash,
                   request->now_ms);
}
