#include "common/map.h"
#include "common/string.h"

#include <stdlib.h>
#include <xxhash.h>

#define INITIAL_SLOTS 16

struct slot
{
  struct bd_id id;
  uint32_t number;
  void *value;
};

struct bd_map
{
  struct slot *slots;
  size_t mask;
  size_t count;
};

struct bd_map *
bd_map_create (void)
{
  struct bd_map *map = calloc (1, sizeof *map);

  if (!map)
    return NULL;
  map->slots = calloc (INITIAL_SLOTS, sizeof *map->slots);
  map->mask = INITIAL_SLOTS - 1;
  if (!map->slots)
    {
      free (map);
      return NULL;
    }
  return map;
}

void
bd_map_destroy (struct bd_map *map)
{
  if (!map)
    return;
  free (map->slots);
  free (map);
}

static size_t
home_slot (const struct bd_map *map, struct bd_id id, uint32_t number)
{
  uint64_t words[3] = { id.high, id.low, number };

  return XXH64 (words, sizeof words, 0) & map->mask;
}

/* Returns the index of the entry, or of the free slot for it. */
static size_t
find_slot (const struct bd_map *map, struct bd_id id, uint32_t number)
{
  size_t i = home_slot (map, id, number);

  while (map->slots[i].value
         && !(map->slots[i].number == number
              && bd_id_equal (map->slots[i].id, id)))
    i = (i + 1) & map->mask;
  return i;
}

void *
bd_map_get (const struct bd_map *map, struct bd_id id, uint32_t number)
{
  return map->slots[find_slot (map, id, number)].value;
}

static int
grow (struct bd_map *map)
{
  struct slot *old = map->slots;
  size_t old_slots = map->mask + 1;
  struct slot *slots = calloc (old_slots * 2, sizeof *slots);

  if (!slots)
    return BD_ERR_NOMEM;
  map->slots = slots;
  map->mask = old_slots * 2 - 1;
  for (size_t i = 0; i < old_slots; i++)
    if (old[i].value)
      slots[find_slot (map, old[i].id, old[i].number)] = old[i];
  free (old);
  return BD_OK;
}

int
bd_map_put (struct bd_map *map, struct bd_id id, uint32_t number, void *value)
{
  size_t i;

  if ((map->count + 1) * 4 > (map->mask + 1) * 3 && grow (map) != BD_OK)
    return BD_ERR_NOMEM;
  i = find_slot (map, id, number);
  map->count += !map->slots[i].value;
  map->slots[i] = (struct slot){ id, number, value };
  return BD_OK;
}

/* Fills the slot of a removed entry by moving later entries of its probe
   sequence back, so that no tombstones are needed. */
static void
close_gap (struct bd_map *map, size_t gap)
{
  size_t i = gap;

  for (;;)
    {
      size_t home;

      i = (i + 1) & map->mask;
      if (!map->slots[i].value)
        break;
      home = home_slot (map, map->slots[i].id, map->slots[i].number);
      if (((i - home) & map->mask) < ((i - gap) & map->mask))
        continue;
      map->slots[gap] = map->slots[i];
      gap = i;
    }
  map->slots[gap].value = NULL;
}

void *
bd_map_remove (struct bd_map *map, struct bd_id id, uint32_t number)
{
  size_t i = find_slot (map, id, number);
  void *value = map->slots[i].value;

  if (!value)
    return NULL;
  close_gap (map, i);
  map->count--;
  return value;
}

size_t
bd_map_count (const struct bd_map *map)
{
  return map->count;
}

void *
bd_map_next (const struct bd_map *map, size_t *cursor)
{
  while (*cursor <= map->mask)
    {
      void *value = map->slots[(*cursor)++].value;

      if (value)
        return value;
    }
  return NULL;
}
