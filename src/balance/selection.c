#include "balance/selection.h"

#include "balance/ledger.h"
#include "balance/length_cost.h"
#include "balance/target_load.h"
#include "balance/outlier.h"
#include "balance/pause.h"
#include "balance/shard.h"
#include "common/random.h"

#include <float.h>
#include <stdlib.h>

/* Cost of each request in flight, in ms of delay to the next one. */
#define RUNNING_COST_MS 3.0
/* Cost of a runner in another availability zone, in ms of delay. */
#define ZONE_COST_MS 12.0
/* Cost of a certain failure: ms of delay for an engine, for a plain service a
   multiple of a request's work. */
#define FAILURE_COST_MS 1500.0
#define FAILURE_COST_REQUESTS 5.0
/* Weight of processing a cached prefix again, which also delays others. */
#define DUPLICATE_PREFILL_WEIGHT 15.0
/* Preferred runners of a prefix, and cost of the second, in ms of delay. */
#define PREFERRED_RUNNERS 2
#define SECOND_PREFERRED_COST_MS 2000.0
/* Cost for each peer that has ejected the runner, and the most peers that
   count.  The cause may be a peer's link, so the runner is not excluded. */
#define PEER_EJECTED_COST_MS 400.0
#define PEERS_EJECTING_MAX 3
/* Cost of a runner that is still warming up after its start. */
#define WARMUP_COST_MS 400.0
/* Cost of a runner that is meant for prompts of the other length. */
#define LONG_AMONG_SHORT_COST_MS 1500.0
#define SHORT_AMONG_LONG_COST_MS 500.0
/* Ratio of a request's prefill tokens that counts towards utilization. */
#define OWN_PREFILL_RATIO 0.5
/* Fixed cost of fetching a prefix from another runner, and the weight of the
   transfer time: the transfer occupies the links of both runners. */
#define FETCH_COST_MS 1000.0
#define FETCH_WEIGHT 3.0
#define US_PER_MS 1000.0
#define TOKENS_PER_K 1000.0
/* Ratio of the objective above which a first event is late; cost of that. */
#define LATE_RATIO 0.7
#define LATE_COST_MS 1500.0
/* Cost of a runner that is not the first preferred one, while no runner is
   known to have the prefix: other instances would pick the preferred one. */
#define ELSEWHERE_COST_MS 100.0

struct bd_selector
{
  uint64_t random;
  struct bd_service_stats *stats;
  struct bd_prefix_map *prefixes;
  struct bd_admission *admission;
};

struct bd_selector *
bd_selector_create (uint64_t seed)
{
  struct bd_selector *selector = calloc (1, sizeof *selector);

  if (!selector)
    return NULL;
  selector->random = seed;
  selector->stats = bd_service_stats_create ();
  selector->prefixes = bd_prefix_map_create ();
  selector->admission = bd_admission_create ();
  if (selector->stats && selector->prefixes && selector->admission)
    return selector;
  bd_selector_destroy (selector);
  return NULL;
}

void
bd_selector_destroy (struct bd_selector *selector)
{
  if (!selector)
    return;
  bd_service_stats_destroy (selector->stats);
  bd_prefix_map_destroy (selector->prefixes);
  bd_admission_destroy (selector->admission);
  free (selector);
}

struct bd_service_stats *
bd_selector_stats (struct bd_selector *selector)
{
  return selector->stats;
}

struct bd_prefix_map *
bd_selector_prefixes (struct bd_selector *selector)
{
  return selector->prefixes;
}

struct bd_admission *
bd_selector_admission (struct bd_selector *selector)
{
  return selector->admission;
}

bool
bd_selection_request_has_prefix (const struct bd_selection_request *request)
{
  return request->prefix_hash != 0
         && request->prefix_tokens >= BD_PREFIX_MAP_TOKENS_MIN;
}

static bool
is_excluded (const struct bd_selection_request *request,
             const struct bd_target *target)
{
  for (size_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == (uint32_t)target->hash)
      return true;
  return false;
}

static bool
serves (const struct bd_selection_request *request,
        const struct bd_target *target)
{
  return bd_target_usable (target)
         && bd_chunk_equal (target->service, request->service)
         && (request->software == BD_SOFTWARE_ANY
             || request->software == target->software.hash)
         && (request->only == 0 || request->only == (uint32_t)target->hash)
         && (request->shards <= 1
             || bd_shard_of (target->hash, request->shards) == request->shard);
}

static uint64_t
prompt_tokens (const struct bd_selection_request *request)
{
  return request->prefix_tokens + request->unshared_tokens;
}

bool
bd_selection_request_is_short (const struct bd_selection_request *request)
{
  return request->unshared_tokens > 0
         && prompt_tokens (request) <= BD_SHORT_PROMPT_TOKENS;
}

static bool
is_separated (const struct bd_selector *selector,
              const struct bd_selection_request *request)
{
  return bd_service_stats_separated (selector->stats, request->service,
                                     prompt_tokens (request), request->now_ms);
}

/* Returns the rendezvous hash of TARGET, the same at every instance. */
static uint64_t
rendezvous (const struct bd_selection_request *request,
            const struct bd_target *target)
{
  return bd_random_mix (request->prefix_hash ^ target->hash);
}

/* Runners for a request's prefix, which can be fetched from SOURCE. */
struct holders
{
  const struct bd_target *preferred[PREFERRED_RUNNERS]; /* May be NULL. */
  bool has_holder; /* A usable runner is believed to have the prefix. */
  const struct bd_target *source; /* May be NULL. */
};

static const struct bd_prefix_entry *
find_location (const struct bd_selector *selector,
               const struct bd_selection_request *request,
               const struct bd_target *target)
{
  if (!bd_selection_request_has_prefix (request))
    return NULL;
  return bd_prefix_map_find (selector->prefixes, request->prefix_hash, target,
                             request->now_ms);
}

/* Whether others can fetch a prefix from TARGET, which may be leaving. */
static bool
is_source (const struct bd_selection_request *request,
           const struct bd_target *target)
{
  return request->fetch_us_per_k > 0 && target->state != BD_TARGET_GONE
         && !target->evacuated
         && bd_chunk_equal (target->service, request->service)
         && bd_outlier_allows (target, request->now_ms);
}

/* Adds TARGET, which is believed to have the prefix. */
static void
add_holder (const struct bd_selection_request *request,
            const struct bd_target *target,
            const struct bd_prefix_entry *location, struct holders *holders)
{
  bool nearer = holders->source
                && !bd_chunk_equal (holders->source->zone, request->zone)
                && bd_chunk_equal (target->zone, request->zone);

  if (serves (request, target))
    holders->has_holder = true;
  if (location->cached && is_source (request, target)
      && (!holders->source || nearer))
    holders->source = target;
}

static void
rank_preferred (const struct bd_selection_request *request,
                const struct bd_target *target, struct holders *holders)
{
  for (size_t h = 0; h < PREFERRED_RUNNERS && target; h++)
    if (!holders->preferred[h]
        || rendezvous (request, target)
               > rendezvous (request, holders->preferred[h]))
      {
        const struct bd_target *next = holders->preferred[h];

        holders->preferred[h] = target;
        target = next;
      }
}

static struct holders
find_holders (const struct bd_selector *selector,
              const struct bd_selection_request *request,
              struct bd_target *const *targets, size_t count)
{
  struct holders holders = { .has_holder = false };
  bool separated = is_separated (selector, request);

  if (!bd_selection_request_has_prefix (request))
    return holders;
  for (size_t i = 0; i < count; i++)
    {
      const struct bd_prefix_entry *location
          = find_location (selector, request, targets[i]);

      if (location)
        add_holder (request, targets[i], location, &holders);
      if (!serves (request, targets[i]))
        continue;
      if (!separated
          || targets[i]->short_only == bd_selection_request_is_short (request))
        rank_preferred (request, targets[i], &holders);
    }
  return holders;
}

static enum bd_selection_reason
reason_for (const struct bd_selector *selector,
            const struct bd_selection_request *request,
            const struct bd_target *target, const struct holders *holders)
{
  if (!request->coordinated && target == holders->preferred[0])
    return BD_SELECTION_PREFERRED;
  if (!request->coordinated && target == holders->preferred[1])
    return BD_SELECTION_SECOND;
  if (find_location (selector, request, target))
    return BD_SELECTION_WARM;
  if (!bd_selection_request_has_prefix (request))
    return BD_SELECTION_ANY;
  if (request->coordinated && holders->source)
    return BD_SELECTION_FETCH;
  return request->coordinated && !holders->has_holder ? BD_SELECTION_FIRST
                                                      : BD_SELECTION_COLD;
}

/* Cost of processing or fetching the prefix, by the selection's reason. */
static double
prefix_cost (const struct bd_selection_request *request,
             const struct bd_selection *pick, const struct holders *holders,
             double prefix_ms)
{
  switch (pick->reason)
    {
    case BD_SELECTION_SECOND:
      return SECOND_PREFERRED_COST_MS;
    case BD_SELECTION_COLD:
      return prefix_ms * DUPLICATE_PREFILL_WEIGHT;
    case BD_SELECTION_ANY:
      return prefix_ms;
    case BD_SELECTION_FETCH:
      return FETCH_COST_MS
             + FETCH_WEIGHT * (double)request->prefix_tokens / TOKENS_PER_K
                   * request->fetch_us_per_k / US_PER_MS;
    case BD_SELECTION_FIRST:
      return pick->target == holders->preferred[0] ? 0.0 : ELSEWHERE_COST_MS;
    default:
      return 0.0;
    }
}

/* Cost of mixing short and long prompts at the runner. */
static double
length_cost (const struct bd_selector *selector,
             const struct bd_selection_request *request,
             const struct bd_selection *pick)
{
  const struct bd_target *target = pick->target;

  if (request->coordinated)
    return bd_selection_request_is_short (request)
               ? bd_length_cost_short_ms (target)
               : bd_length_cost_long_ms (request, pick);
  if (!is_separated (selector, request)
      || target->short_only == bd_selection_request_is_short (request))
    return 0.0;
  return target->short_only ? LONG_AMONG_SHORT_COST_MS
                            : SHORT_AMONG_LONG_COST_MS;
}

/* Cost of a first event that is expected to be late. */
static double
lateness_cost (const struct bd_selection_request *request,
               const struct bd_selection *pick)
{
  double limit = (double)request->objective_ms * LATE_RATIO;

  return limit > 0.0 && pick->wait_ms + pick->service_ms > limit ? LATE_COST_MS
                                                                 : 0.0;
}

/* Fills in the expected times and the cost at an engine. */
static void
estimate_engine (const struct bd_selector *selector,
                 const struct bd_selection_request *request,
                 const struct holders *holders, struct bd_selection *pick)
{
  struct bd_target_load load = bd_target_load_for (request, pick->target);
  double tokens_per_ms
      = bd_service_stats_tokens_per_ms (selector->stats, request->service);

  double slot_ms = bd_target_load_slot_wait_ms (
      request, pick->target, &load,
      bd_service_stats_residence_ms (selector->stats, request->service));

  pick->ahead_tokens = load.prefill_tokens;
  pick->wait_ms = (double)pick->ahead_tokens / tokens_per_ms;
  if (pick->wait_ms < slot_ms)
    pick->wait_ms = slot_ms;
  pick->service_ms = (double)pick->prefill_tokens / tokens_per_ms;
  if (request->coordinated)
    pick->utilization = bd_assigned_token_rate (
                            &pick->target->assigned,
                            OWN_PREFILL_RATIO * (double)pick->prefill_tokens,
                            request->now_ms)
                        / tokens_per_ms;
  pick->cost_ms
      = pick->wait_ms + (double)request->unshared_tokens / tokens_per_ms
        + load.in_flight * RUNNING_COST_MS
        + prefix_cost (request, pick, holders,
                       (double)request->prefix_tokens / tokens_per_ms)
        + length_cost (selector, request, pick)
        + lateness_cost (request, pick);
}

/* Plain service: wait until a slot is free, and cost by the work in flight. */
static void
estimate_plain (const struct bd_selector *selector,
                const struct bd_selection_request *request,
                struct bd_selection *pick)
{
  double work_ms
      = bd_service_stats_work_ms (selector->stats, request->service);
  uint32_t running = bd_target_load_for (request, pick->target).in_flight;
  uint32_t slots = pick->target->slots ? pick->target->slots : 1;

  pick->wait_ms
      = running < slots ? 0.0 : (running - slots + 1) * work_ms / slots;
  pick->service_ms = work_ms;
  pick->cost_ms = pick->wait_ms + running * work_ms / slots;
}

/* Cost of a certain failure, in ms of delay. */
static double
failure_cost_ms (const struct bd_selector *selector,
                 const struct bd_selection_request *request)
{
  if (request->unshared_tokens > 0)
    return FAILURE_COST_MS;
  return FAILURE_COST_REQUESTS
         * bd_service_stats_work_ms (selector->stats, request->service);
}

/* Cost of the runner's recent failures, of ejections by peers and of its
   warm-up. */
static double
health_cost (const struct bd_selector *selector,
             const struct bd_selection_request *request,
             const struct bd_target *target)
{
  uint32_t ejecting = target->peers_ejecting < PEERS_EJECTING_MAX
                          ? target->peers_ejecting
                          : PEERS_EJECTING_MAX;
  double ms = bd_outlier_failure_rate (target, request->now_ms)
              * failure_cost_ms (selector, request);

  ms += ejecting * PEER_EJECTED_COST_MS;
  if (target->warmup_until_ms > request->now_ms)
    ms += WARMUP_COST_MS;
  return ms;
}

/* Returns the expected times and the cost of the request at TARGET. */
static struct bd_selection
estimate (const struct bd_selector *selector,
          const struct bd_selection_request *request, struct bd_target *target,
          const struct holders *holders)
{
  struct bd_selection pick = { .target = target };

  pick.reason = reason_for (selector, request, target, holders);
  if (pick.reason == BD_SELECTION_FETCH)
    pick.source = holders->source;
  pick.prefill_tokens = request->unshared_tokens;
  if (pick.reason >= BD_SELECTION_FIRST)
    pick.prefill_tokens += request->prefix_tokens;
  if (request->unshared_tokens > 0)
    estimate_engine (selector, request, holders, &pick);
  else
    estimate_plain (selector, request, &pick);
  if (!bd_chunk_equal (target->zone, request->zone))
    pick.cost_ms += ZONE_COST_MS;
  pick.cost_ms += health_cost (selector, request, target);
  return pick;
}

/* Whether TARGET is allowed; CHECK_HEALTH excludes ejected and paused ones. */
static bool
is_eligible (const struct bd_selection_request *request,
             const struct bd_target *target, bool check_health)
{
  if (!serves (request, target) || is_excluded (request, target))
    return false;
  if (request->sent_here && !bd_pause_allows (target, request->now_ms))
    return false;
  if (!bd_runner_limit_allows (target, request->now_ms,
                               request->coordinated ? NULL : &request->share))
    return false;
  return !check_health
         || (bd_outlier_allows (target, request->now_ms)
             && !bd_pause_requested (target, request->now_ms));
}

static struct bd_selection
cheapest (struct bd_selector *selector,
          const struct bd_selection_request *request,
          struct bd_target *const *targets, size_t count, bool check_health)
{
  struct holders holders = find_holders (selector, request, targets, count);
  struct bd_selection best = { .cost_ms = DBL_MAX };
  uint32_t ties = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct bd_selection pick;

      if (!is_eligible (request, targets[i], check_health))
        continue;
      pick = estimate (selector, request, targets[i], &holders);
      if (pick.cost_ms > best.cost_ms)
        continue;
      ties = pick.cost_ms < best.cost_ms ? 1 : ties + 1;
      if (ties == 1 || bd_random_below (&selector->random, ties) == 0)
        best = pick;
    }
  return best;
}

struct bd_selection
bd_selector_select (struct bd_selector *selector,
                    const struct bd_selection_request *request,
                    struct bd_target *const *targets, size_t count)
{
  struct bd_selection pick
      = cheapest (selector, request, targets, count, true);

  /* An ejected runner is used when no healthy one is left. */
  return pick.target ? pick
                     : cheapest (selector, request, targets, count, false);
}

const char *
bd_selection_reason_name (enum bd_selection_reason reason)
{
  static const char *const names[]
      = { "home", "second", "warm", "fetch", "first", "cold", "any" };

  return names[reason];
}

void
bd_selector_record_sent (struct bd_selector *selector,
                         const struct bd_selection_request *request,
                         const struct bd_target *target)
{
  if (request->unshared_tokens > 0)
    bd_service_stats_record_prompt (selector->stats, request->service,
                                    prompt_tokens (request), request->now_ms);
  if (bd_selection_request_has_prefix (request))
    bd_prefix_map_record_sent (selector->prefixes, request->prefix_hash,
                               target->hash, request->now_ms);
}
