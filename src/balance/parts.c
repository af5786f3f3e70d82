#include "balance/parts.h"

#include "common/random.h"

#include <stdlib.h>

/* A power of two. */
#define SLOT_COUNT 65536
/* Time for which a runner is believed to keep a prefix in its cache. */
#define TTL_MS 30000

struct bd_parts
{
  struct bd_part slots[SLOT_COUNT];
};

struct bd_parts *
bd_prefix_map_create (void)
{
  return calloc (1, sizeof (struct bd_parts));
}

void
bd_prefix_map_destroy (struct bd_parts *map)
{
  free (map);
}

static size_t
first_slot (uint64_t prefix_hash)
{
  size_t sets = SLOT_COUNT / BD_PREFIX_MAP_WAYS;

  return (bd_random_mix (prefix_hash) & (sets - 1)) * BD_PREFIX_MAP_WAYS;
}

static bool
is_fresh (const struct bd_part *slot, int64_t now_ms)
{
  return slot->part != 0 && now_ms - slot->sent_ms < TTL_MS;
}

bool
bd_parts_sent (struct bd_parts *map, uint64_t prefix_hash,
               uint64_t target_hash, int64_t now_ms)
{
  struct bd_part *set = &map->slots[first_slot (prefix_hash)];
  struct bd_part *slot = set;
  bool is_known = false;

  for (size_t i = 0; i < BD_PREFIX_MAP_WAYS && !is_known; i++)
    {
      is_known = set[i].part == prefix_hash && set[i].target == target_hash;
      if (is_known || set[i].sent_ms < slot->sent_ms)
        slot = &set[i];
    }
  is_known = is_known && is_fresh (slot, now_ms);
  *slot = (struct bd_part){ prefix_hash, target_hash, now_ms,
                            is_known && slot->read };
  return !is_known;
}

static const struct bd_part *
find_location (const struct bd_parts *map, uint64_t prefix_hash,
               uint64_t target_hash)
{
  const struct bd_part *set = &map->slots[first_slot (prefix_hash)];

  for (size_t i = 0; i < BD_PREFIX_MAP_WAYS; i++)
    if (set[i].part == prefix_hash && set[i].target == target_hash)
      return &set[i];
  return NULL;
}

void
bd_parts_read (struct bd_parts *map, uint64_t prefix_hash,
               uint64_t target_hash)
{
  struct bd_part *slot
      = (struct bd_part *)find_location (map, prefix_hash, target_hash);

  if (slot)
    slot->read = true;
}

const struct bd_part *
bd_parts_at (const struct bd_parts *map, uint64_t prefix_hash,
             const struct bd_target *target, int64_t now_ms)
{
  const struct bd_part *slot = find_location (map, prefix_hash, target->hash);

  return slot && is_fresh (slot, now_ms) && slot->sent_ms >= target->since_ms
             ? slot
             : NULL;
}

size_t
bd_parts_walk (const struct bd_parts *map, size_t *cursor, int64_t now_ms,
               struct bd_part *found, size_t max)
{
  size_t count = 0;

  for (; *cursor < SLOT_COUNT && count < max; ++*cursor)
    if (is_fresh (&map->slots[*cursor], now_ms))
      found[count++] = map->slots[*cursor];
  if (count == 0)
    *cursor = 0;
  return count;
}
