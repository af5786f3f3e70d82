/**
 * @file parts.h
 * Which runner is believed to hold which shared part of prompts, from where
 * requests with that part were sent.
 */
#ifndef BD_PARTS_H
#define BD_PARTS_H

#include "balance/target.h"

/** A shared part was sent to a runner. */
struct bd_part
{
  uint64_t part;   /**< Identifies the shared part; never 0. */
  uint64_t target; /**< Hash of the runner's identifier. */
  int64_t sent_ms;
  bool read; /**< A request with it began there: others can fetch it. */
};

struct bd_parts;

/** Parts shorter than this are not worth a detour, and are not kept. */
#define BD_PARTS_TOKENS_LEAST 1000

/** Runners remembered for one part. */
#define BD_PREFIX_MAP_WAYS 4

/** Keeps a fixed number of places; the oldest of a few make room. */
struct bd_parts *bd_prefix_map_create (void);
void bd_prefix_map_destroy (struct bd_parts *map);

/** PART was sent to TARGET.  True when that was not known. */
bool bd_parts_sent (struct bd_parts *map, uint64_t prefix_hash,
                    uint64_t target_hash, int64_t now_ms);

/** A request with PART began at TARGET. */
void bd_parts_read (struct bd_parts *map, uint64_t prefix_hash,
                    uint64_t target_hash);

/** What is known of PART at TARGET; NULL: nothing. */
const struct bd_part *bd_parts_at (const struct bd_parts *map,
                                   uint64_t prefix_hash,
                                   const struct bd_target *target,
                                   int64_t now_ms);

/**
 * Walks over what is known, from *CURSOR (0 at first) on, and fills in at
 * most MAX.  Returns how many; 0 when the end was reached, which sets
 * *CURSOR to 0.
 */
size_t bd_parts_walk (const struct bd_parts *map, size_t *cursor,
                      int64_t now_ms, struct bd_part *found, size_t max);

#endif
