/**
 * @file placement.h
 * An entry's choice of the runners that are asked for a request.
 */
#ifndef BD_PLACEMENT_H
#define BD_PLACEMENT_H

#include "basildock.h"

/** Most runners that one call chooses. */
#define BD_PLACEMENT_WANT_MAX 16

/** What a sidecar reports of its runner. */
struct bd_load
{
  uint32_t queued;       /**< Waiting requests. */
  uint32_t queued_above; /**< Waiting requests of tier 0. */
  uint32_t running;
  uint32_t slots;
  uint32_t token_time_us; /**< Smoothed time per token. */
  int64_t measured_ms;    /**< When, on the reader's clock. */
};

enum bd_runner_state
{
  BD_RUNNER_UNKNOWN = 0, /**< Not heard of yet; may be tried. */
  BD_RUNNER_LIVE,
  BD_RUNNER_LEAVING, /**< Gets no new work. */
  BD_RUNNER_DOWN     /**< Connection lost or silent. */
};

struct bd_placement_runner
{
  struct bd_chunk instance;
  struct bd_chunk zone;
};

struct bd_placement_settings
{
  struct bd_chunk zone;     /**< This entry's. */
  struct bd_chunk instance; /**< This entry's. */
  uint32_t subset_size;     /**< Runners kept in touch per pool; 0: all. */
  uint64_t seed;
};

struct bd_placement;

/** What the policy needs to know of a request. */
struct bd_placement_request
{
  uint64_t prefix_hash; /**< 0: none. */
  uint8_t tier;
  uint32_t expected_tokens; /**< Output; 0: not known. */
  int32_t time_left_ms;     /**< To the end of the answer; 0: no target. */
  const uint32_t *exclude;  /**< Runner indexes that are not asked again. */
  size_t exclude_count;
};

/** The policies that the bench compares. */
enum bd_placement_policy
{
  BD_POLICY_LATE_BINDING = 0, /**< Ours. */
  BD_POLICY_RANDOM,           /**< A random runner. */
  BD_POLICY_BETTER_OF_TWO /**< Lower reported load of two, bound at once. */
};

/** One per pool; copies what it needs of SETTINGS.  NULL: no memory. */
struct bd_placement *
bd_placement_create (const struct bd_placement_settings *settings,
                     enum bd_placement_policy policy);
void bd_placement_destroy (struct bd_placement *placement);

/**
 * Replaces the runners of the pool and draws the subset from them by
 * rendezvous hashing on this entry's and the runner's name: half in this
 * entry's zone, half in the others, as far as there are enough.  A runner
 * that goes changes one place of the subset.  Keeps what is known of those
 * that stay.  Indexes given by bd_placement_find () change.  Returns BD_OK,
 * or BD_ERR_NOMEM with everything as before.
 */
int bd_placement_set_runners (struct bd_placement *placement,
                              const struct bd_placement_runner *runners,
                              size_t count);

size_t bd_placement_count (const struct bd_placement *placement);

/** Index of a runner of the subset, or -1. */
int bd_placement_find (const struct bd_placement *placement,
                       struct bd_chunk instance);

/** Name of a runner of the subset. */
struct bd_chunk bd_placement_instance (const struct bd_placement *placement,
                                       uint32_t index);

void bd_placement_set_state (struct bd_placement *placement, uint32_t index,
                             enum bd_runner_state state);
enum bd_runner_state bd_placement_state (const struct bd_placement *placement,
                                         uint32_t index);

/** Takes in a load report; one older than the last is ignored. */
void bd_placement_report (struct bd_placement *placement, uint32_t index,
                          const struct bd_load *load);

/**
 * Records that a prefix was seen (or dropped) by a runner's cache.  The memory
 * for this is fixed: newer beliefs replace older ones.
 */
void bd_placement_cache_event (struct bd_placement *placement, uint32_t index,
                               uint64_t prefix_hash, bool present);

/**
 * Chooses up to WANT runners to ask, best first; runners that are DOWN,
 * LEAVING or excluded never.  Returns how many; 0 when no runner may be
 * asked.  NOW_MS never goes back: an earlier one counts as the latest.
 * Policies that bind at once choose one.  A runner that is expected
 * to miss the request's target is chosen only when no other is at hand.
 */
size_t bd_placement_choose (struct bd_placement *placement, int64_t now_ms,
                            const struct bd_placement_request *request,
                            uint32_t *indexes, size_t want);

/** Records that a runner was asked (+1) or is no longer asked (-1). */
void bd_placement_asked (struct bd_placement *placement, uint32_t index,
                         int delta);

#endif
