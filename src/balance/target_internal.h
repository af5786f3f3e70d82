/**
 * @file target_internal.h
 * The table of runners, for the files that implement target.h.
 */
#ifndef BD_TARGET_INTERNAL_H
#define BD_TARGET_INTERNAL_H

#include "balance/departure.h"
#include "balance/evacuation.h"
#include "balance/former_software.h"
#include "balance/lapse.h"
#include "balance/target.h"
#include "common/map.h"

/** A target and its place in the list. */
struct listed_target
{
  struct bd_target public;
  bool listed; /**< Present in the list that is being read. */
};

/** All targets. */
struct bd_targets
{
  /** Elements are the first member of a struct listed_target.  Ordered by
     service, then by the hash of the identifier. */
  struct bd_target **all;
  size_t count;
  size_t capacity;
  struct bd_map *by_hash;    /**< Keyed by the low half of the hash. */
  struct bd_map *by_address; /**< The last one that had the address. */
  struct bd_lapse lapse;
  bool short_only_stale; /**< A state has changed since short_only was set. */
  /** The store's older copy: its last revision, and until when its entries are
     distrusted. */
  uint64_t copy_revision;
  int64_t distrust_until_ms;
  struct bd_departures departures;
  struct bd_former_software former_software;
  int64_t first_list_ms; /**< When it was read; 0: not yet. */
  struct bd_evacuations evacuations;
  struct bd_map *cold_rates; /**< By service; a rate stands in the pointer. */
};

/** Sets the state of TARGET as of REVISION, and logs a change. */
void bd_target_set_state (struct bd_targets *targets, struct bd_target *target,
                          enum bd_target_state state, uint64_t revision);

/** Records that a runner of SERVICE has ended that ran SOFTWARE. */
void bd_targets_record_ended (struct bd_targets *targets,
                              struct bd_chunk service, uint64_t software,
                              int64_t now_ms);

/** TARGET has left. */
void bd_target_set_gone (struct bd_targets *targets, struct bd_target *target,
                         int64_t now_ms);

#endif
