/**
 * @file affinity.h
 * Which prompt prefixes the runners are believed to have in their caches.
 *
 * Cache events are late and incomplete, so an entry may be wrong.  It is used
 * only to prefer a runner.  The memory is fixed: a prefix has a set of
 * BD_AFFINITY_WAYS slots, in which newer entries replace older ones.
 */
#ifndef BD_AFFINITY_H
#define BD_AFFINITY_H

#include "basildock.h"

#define BD_AFFINITY_SETS 1024
#define BD_AFFINITY_WAYS 8

struct bd_affinity;

struct bd_affinity *bd_affinity_create (void);
void bd_affinity_destroy (struct bd_affinity *affinity);

/** Records that RUNNER has PREFIX_HASH in its cache, or no longer has it. */
void bd_affinity_record (struct bd_affinity *affinity, uint64_t prefix_hash,
                         uint32_t runner, bool present);

/**
 * Writes the runners that have PREFIX_HASH in their caches.  Returns how many.
 */
size_t bd_affinity_holders (const struct bd_affinity *affinity,
                            uint64_t prefix_hash,
                            uint32_t runners[BD_AFFINITY_WAYS]);

/**
 * Renumbers the runners: I becomes TO[I], or is dropped when that is negative.
 */
void bd_affinity_remap (struct bd_affinity *affinity, const int *to);

#endif
