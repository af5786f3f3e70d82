/**
 * @file prefix_map.h
 * Maps prompt prefixes to the runners believed to have them in their caches,
 * from the requests that were sent there.
 */
#ifndef BD_PREFIX_MAP_H
#define BD_PREFIX_MAP_H

#include "balance/target.h"

/** A runner to which a prefix was sent. */
struct bd_prefix_entry
{
  uint64_t prefix_hash; /**< Hash of the prefix; never 0. */
  uint64_t target_hash; /**< Hash of the runner's identifier. */
  int64_t sent_ms;
  bool cached; /**< The first event of a request with the prefix came from the
                  runner, so other runners can fetch the prefix there. */
};

struct bd_prefix_map;

/**
 * Fewest tokens of a recorded prefix: shorter ones are not worth a longer
 * wait.
 */
#define BD_PREFIX_MAP_TOKENS_MIN 1000

/** Runners remembered for one prefix. */
#define BD_PREFIX_MAP_WAYS 4

/**
 * Creates a map of fixed size.  Within a set of BD_PREFIX_MAP_WAYS slots the
 * oldest entry is replaced.
 */
struct bd_prefix_map *bd_prefix_map_create (void);
void bd_prefix_map_destroy (struct bd_prefix_map *map);

/**
 * Records that the prefix was sent to a runner.  Returns true when that was
 * not known.
 */
bool bd_prefix_map_record_sent (struct bd_prefix_map *map,
                                uint64_t prefix_hash, uint64_t target_hash,
                                int64_t now_ms);

/** Records that a request with the prefix had its first event at a runner. */
void bd_prefix_map_record_cached (struct bd_prefix_map *map,
                                  uint64_t prefix_hash, uint64_t target_hash);

/**
 * Returns the entry for the prefix at TARGET, or NULL when there is none, it
 * is too old, or TARGET has restarted since.
 */
const struct bd_prefix_entry *
bd_prefix_map_find (const struct bd_prefix_map *map, uint64_t prefix_hash,
                    const struct bd_target *target, int64_t now_ms);

/**
 * Iterates over the entries from *CURSOR (0 at first) and copies at most MAX.
 * Returns the number copied; 0 at the end, which resets *CURSOR to 0.
 */
size_t bd_prefix_map_iterate (const struct bd_prefix_map *map, size_t *cursor,
                              int64_t now_ms, struct bd_prefix_entry *found,
                              size_t max);

#endif
