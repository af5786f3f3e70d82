/**
 * @file beacon_contents.h
 * Adds the state of runners to a beacon, and applies what the beacons of peers
 * tell about runners and about requests that crash them.
 */
#ifndef BD_BEACON_CONTENTS_H
#define BD_BEACON_CONTENTS_H

#include "balance/target.h"
#include "gateway/beacon.h"
#include "gateway/strike_queue.h"

/**
 * Adds the load of this instance at each of TARGETS, and which it has ejected.
 */
void bd_beacon_add_loads (struct bd_targets *targets, struct bd_beacon *beacon,
                          int64_t now_ms);

/** Resets the loads of peers at all of TARGETS. */
void bd_beacon_reset_loads (struct bd_targets *targets);

/** Adds the loads of a peer to those of peers at TARGETS. */
void bd_beacon_apply_loads (struct bd_targets *targets,
                            const struct bd_beacon_load *loads, size_t count);

/** Adds the TARGETS that lately announced their shutdown to this instance. */
void bd_beacon_add_leaving (struct bd_targets *targets,
                            struct bd_beacon *beacon, int64_t now_ms);

/** Marks the runners of TARGETS that announced their shutdown to a peer. */
void bd_beacon_apply_leaving (struct bd_targets *targets,
                              const struct bd_beacon *beacon, int64_t now_ms);

/**
 * Adds the rate limits of TARGETS and those that ended lately; others each
 * ROUND if there are too many.
 */
void bd_beacon_add_limits (struct bd_targets *targets,
                           struct bd_beacon *beacon, uint32_t round,
                           int64_t now_ms);

/** Applies the rate limits that a peer knows of. */
void bd_beacon_apply_limits (const struct bd_targets *targets,
                             const struct bd_beacon *beacon, int64_t now_ms);

/** Records the strikes in BEACON, and logs the new ones. */
void bd_beacon_apply_strikes (struct bd_suspects *suspects,
                              const struct bd_beacon *beacon, int64_t now_ms);

/**
 * Adds new strikes of QUEUE, and in turn, from *CURSOR on, those of requests
 * that are refused, because a peer may have been unreachable when they were
 * new.  Returns the number of new strikes.
 */
size_t bd_beacon_add_strikes (struct bd_beacon *beacon,
                              const struct bd_strike_queue *queue,
                              const struct bd_suspects *suspects,
                              size_t *cursor, int64_t now_ms);

/** Adds new notices about parts of prompts and, unless CURSOR is NULL, known
    crashes from *CURSOR on. */
void bd_beacon_add_parts (struct bd_beacon *beacon,
                          struct bd_part_breakers *breakers, size_t *cursor,
                          int64_t now_ms);

/** Applies the notices about parts of prompts in BEACON. */
void bd_beacon_apply_parts (struct bd_part_breakers *breakers,
                            const struct bd_beacon *beacon, int64_t now_ms);

#endif
