/**
 * @file affinity.h
 * Beliefs about which runners' caches hold which prompt prefixes.
 *
 * Cache events are late and have gaps, so a belief may be wrong; it is used
 * to prefer a runner and for nothing else.  The memory is fixed: a prefix has
 * a set of BD_AFFINITY_WAYS places, in which newer beliefs replace older ones.
 */
#ifndef BD_AFFINITY_H
#define BD_AFFINITY_H

#include "basildock.h"

#define BD_AFFINITY_SETS 1024
#define BD_AFFINITY_WAYS 8

struct bd_affinity;

struct bd_affinity *bd_affinity_create (void);
void bd_affinity_destroy (struct bd_affinity *affinity);

/** Records that RUNNER holds PREFIX_HASH, or no longer does. */
void bd_affinity_record (struct bd_affinity *affinity, uint64_t prefix_hash,
                         uint32_t runner, bool present);

/** Writes the runners that hold PREFIX_HASH and returns how many. */
size_t bd_affinity_holders (const struct bd_affinity *affinity,
                            uint64_t prefix_hash,
                            uint32_t runners[BD_AFFINITY_WAYS]);

/** Renumbers the runners: I becomes TO[I], or is forgotten when negative. */
void bd_affinity_remap (struct bd_affinity *affinity, const int *to);

#endif
