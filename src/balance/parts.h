/**
 * @file parts.h
 * Maps prompt prefixes to the runners believed to have them in their caches,
 * from the requests that were sent there.
 */
#ifndef BD_PARTS_H
#define BD_PARTS_H

#include "balance/target.h"

/** A runner to which a prefix was sent. */
struct bd_part
{
  uint64_t part;   /**< Hash of the prefix; never 0. */
  uint64_t target; /**< Hash of the runner's identifier. */
  int64_t sent_ms;
  bool read; /**< A request with it had its first event there, so other runners
                can fetch it. */
};

struct bd_parts;

/** Shorter prefixes are not recorded: they are not worth a longer wait. */
#define BD_PARTS_TOKENS_LEAST 1000

/** Runners remembered for one prefix. */
#define BD_PREFIX_MAP_WAYS 4

/**
 * Creates a map of fixed size.  Within a set of BD_PREFIX_MAP_WAYS slots the
 * oldest entry is replaced.
 */
struct bd_parts *bd_prefix_map_create (void);
void bd_prefix_map_destroy (struct bd_parts *map);

/**
 * Records that the prefix was sent to a runner.  Returns true when that was
 * not known.
 */
bool bd_parts_sent (struct bd_parts *map, uint64_t prefix_hash,
                    uint64_t target_hash, int64_t now_ms);

/** Records that a request with the prefix had its first event at a runner. */
void bd_parts_read (struct bd_parts *map, uint64_t prefix_hash,
                    uint64_t target_hash);

/**
 * Returns the entry for the prefix at TARGET, or NULL when there is none, it
 * is too old, or TARGET has restarted since.
 */
const struct bd_part *bd_parts_at (const struct bd_parts *map,
                                   uint64_t prefix_hash,
                                   const struct bd_target *target,
                                   int64_t now_ms);

/**
 * Iterates over the entries from *CURSOR (0 at first) and copies at most MAX.
 * Returns the number copied; 0 at the end, which resets *CURSOR to 0.
 */
size_t bd_parts_walk (const struct bd_parts *map, size_t *cursor,
                      int64_t now_ms, struct bd_part *found, size_t max);

#endif
