/**
 * @file placement.h
 * Selection of the runners at which an entry (front end) reserves a slot for a
 * request.
 */
#ifndef BD_PLACEMENT_H
#define BD_PLACEMENT_H

#include "basildock.h"

/** Most runners that one call selects. */
#define BD_PLACEMENT_WANT_MAX 16

/** Load of a runner as reported by its sidecar. */
struct bd_load_report
{
  uint32_t queued;       /**< Waiting requests. */
  uint32_t queued_above; /**< Waiting requests of tier 0. */
  uint32_t running;
  uint32_t slots;
  uint32_t token_time_us; /**< Smoothed time per token. */
  int64_t measured_ms; /**< Time of the measurement on the receiver's clock. */
};

enum bd_runner_state
{
  BD_RUNNER_UNKNOWN = 0, /**< No message received yet; may be selected. */
  BD_RUNNER_LIVE,
  BD_RUNNER_LEAVING, /**< Gets no new work. */
  BD_RUNNER_DOWN     /**< Connection lost, or silent. */
};

struct bd_placement_runner
{
  struct bd_chunk instance;
  struct bd_chunk zone;
};

struct bd_placement_settings
{
  struct bd_chunk zone;     /**< Zone of this entry. */
  struct bd_chunk instance; /**< Instance name of this entry. */
  uint32_t subset_size; /**< Runners of a pool to which a connection is kept;
                           0: all. */
  uint64_t seed;
};

struct bd_placement;

/** Properties of a request that the policies use. */
struct bd_placement_request
{
  uint64_t prefix_hash; /**< 0: none. */
  uint8_t tier;
  uint32_t expected_tokens; /**< Expected output tokens; 0: unknown. */
  int32_t time_left_ms;     /**< Time until the end of the answer is due; 0: no
                               target. */
  /** Indexes of runners that must not be selected. */
  const uint32_t *exclude;
  size_t exclude_count;
};

/** Placement policies.  The benchmark compares them. */
enum bd_placement_policy
{
  /** Several reservations; the first granted one is used. */
  BD_POLICY_LATE_BINDING = 0,
  BD_POLICY_RANDOM,     /**< A random runner. */
  BD_POLICY_TWO_CHOICES /**< The runner with the lower reported load of two
                             random ones, used at once. */
};

/**
 * Creates the placement of one pool.  Copies what it needs of SETTINGS.
 * Returns NULL when out of memory.
 */
struct bd_placement *
bd_placement_create (const struct bd_placement_settings *settings,
                     enum bd_placement_policy policy);
void bd_placement_destroy (struct bd_placement *placement);

/**
 * Replaces the runners of the pool and selects the subset of them by
 * rendezvous hashing of the names of this entry and the runner: half in this
 * entry's zone and half in the others, as far as there are enough.  The
 * removal of a runner changes one member of the subset.  What is known of the
 * remaining ones is kept.  Indexes returned by bd_placement_find () change.
 * Returns BD_OK, or BD_ERR_NOMEM with nothing changed.
 */
int bd_placement_set_runners (struct bd_placement *placement,
                              const struct bd_placement_runner *runners,
                              size_t count);

size_t bd_placement_count (const struct bd_placement *placement);

/** Returns the index of a runner of the subset, or -1. */
int bd_placement_find (const struct bd_placement *placement,
                       struct bd_chunk instance);

/** Returns the name of a runner of the subset. */
struct bd_chunk bd_placement_instance (const struct bd_placement *placement,
                                       uint32_t index);

void bd_placement_set_state (struct bd_placement *placement, uint32_t index,
                             enum bd_runner_state state);
enum bd_runner_state bd_placement_state (const struct bd_placement *placement,
                                         uint32_t index);

/** Records a load report.  One older than the last is ignored. */
void bd_placement_report (struct bd_placement *placement, uint32_t index,
                          const struct bd_load_report *load);

/**
 * Records that a prefix was added to or dropped from a runner's cache.  The
 * memory for this is fixed: newer entries replace older ones.
 */
void bd_placement_cache_event (struct bd_placement *placement, uint32_t index,
                               uint64_t prefix_hash, bool present);

/**
 * Selects up to WANT runners for a reservation, best first, and never one that
 * is DOWN, LEAVING or excluded.  Returns how many; 0 when there is none.
 * NOW_MS never goes back: an earlier time counts as the latest one.  Policies
 * without late binding select one runner.  A runner expected to miss the
 * request's target is selected only when there is no other.
 */
size_t bd_placement_choose (struct bd_placement *placement, int64_t now_ms,
                            const struct bd_placement_request *request,
                            uint32_t *indexes, size_t want);

/** Counts a reservation at a runner (+1) or its end (-1). */
void bd_placement_count_reservation (struct bd_placement *placement,
                                     uint32_t index, int delta);

#endif
