#include "balance/prefix_map.h"

#include "common/random.h"

#include <stdlib.h>

/* Number of slots in the map; a power of two. */
#define SLOT_COUNT 65536
/* Time for which a runner is believed to keep a prefix in its cache. */
#define TTL_MS 30000

struct bd_prefix_map
{
  struct bd_prefix_entry slots[SLOT_COUNT];
};

struct bd_prefix_map *
bd_prefix_map_create (void)
{
  return calloc (1, sizeof (struct bd_prefix_map));
}

void
bd_prefix_map_destroy (struct bd_prefix_map *map)
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
is_fresh (const struct bd_prefix_entry *slot, int64_t now_ms)
{
  return slot->prefix_hash != 0 && now_ms - slot->sent_ms < TTL_MS;
}

bool
bd_prefix_map_record_sent (struct bd_prefix_map *map, uint64_t prefix_hash,
                           uint64_t target_hash, int64_t now_ms)
{
  struct bd_prefix_entry *set = &map->slots[first_slot (prefix_hash)];
  struct bd_prefix_entry *slot = set;
  bool is_known = false;

  for (size_t i = 0; i < BD_PREFIX_MAP_WAYS && !is_known; i++)
    {
      is_known = set[i].prefix_hash == prefix_hash
                 && set[i].target_hash == target_hash;
      if (is_known || set[i].sent_ms < slot->sent_ms)
        slot = &set[i];
    }
  is_known = is_known && is_fresh (slot, now_ms);
  *slot = (struct bd_prefix_entry){ prefix_hash, target_hash, now_ms,
                                    is_known && slot->cached };
  return !is_known;
}

static const struct bd_prefix_entry *
find_location (const struct bd_prefix_map *map, uint64_t prefix_hash,
               uint64_t target_hash)
{
  const struct bd_prefix_entry *set = &map->slots[first_slot (prefix_hash)];

  for (size_t i = 0; i < BD_PREFIX_MAP_WAYS; i++)
    if (set[i].prefix_hash == prefix_hash && set[i].target_hash == target_hash)
      return &set[i];
  return NULL;
}

void
bd_prefix_map_record_cached (struct bd_prefix_map *map, uint64_t prefix_hash,
                             uint64_t target_hash)
{
  struct bd_prefix_entry *slot = (struct bd_prefix_entry *)find_location (
      map, prefix_hash, target_hash);

  if (slot)
    slot->cached = true;
}

const struct bd_prefix_entry *
bd_prefix_map_find (const struct bd_prefix_map *map, uint64_t prefix_hash,
                    const struct bd_target *target, int64_t now_ms)
{
  const struct bd_prefix_entry *slot
      = find_location (map, prefix_hash, target->hash);

  return slot && is_fresh (slot, now_ms)
                 && slot->sent_ms >= target->first_seen_ms
             ? slot
             : NULL;
}

size_t
bd_prefix_map_iterate (const struct bd_prefix_map *map, size_t *cursor,
                       int64_t now_ms, struct bd_prefix_entry *found,
                       size_t max)
{
  size_t count = 0;

  for (; *cursor < SLOT_COUNT && count < max; ++*cursor)
    if (is_fresh (&map->slots[*cursor], now_ms))
      found[count++] = map->slots[*cursor];
  if (count == 0)
    *cursor = 0;
  return count;
}
