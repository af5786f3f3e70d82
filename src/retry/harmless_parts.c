#include "retry/harmless_parts.h"

#include "common/map.h"

#include <stdlib.h>

#define CAPACITY_MIN 256
/* Of a full table, one in so many is forgotten at a time. */
#define FORGOTTEN_FRACTION 4

struct bd_harmless_parts
{
  struct bd_harmless_part **items;
  size_t count;
  size_t capacity;
  struct bd_map *by_part;
};

struct bd_harmless_parts *
bd_harmless_parts_create (void)
{
  struct bd_harmless_parts *parts = calloc (1, sizeof *parts);

  if (!parts)
    return NULL;
  parts->by_part = bd_map_create ();
  if (parts->by_part)
    return parts;
  free (parts);
  return NULL;
}

void
bd_harmless_parts_destroy (struct bd_harmless_parts *parts)
{
  if (!parts)
    return;
  for (size_t i = 0; i < parts->count; i++)
    free (parts->items[i]);
  bd_map_destroy (parts->by_part);
  free (parts->items);
  free (parts);
}

static struct bd_id
map_id (uint64_t part)
{
  return (struct bd_id){ 0, part };
}

static int
compare_age (const void *a, const void *b)
{
  const struct bd_harmless_part *left = *(struct bd_harmless_part *const *)a;
  const struct bd_harmless_part *right = *(struct bd_harmless_part *const *)b;

  return (left->at_ms > right->at_ms) - (left->at_ms < right->at_ms);
}

/* Forgets those that were not seen for the longest time. */
static void
forget_oldest (struct bd_harmless_parts *parts)
{
  size_t kept = parts->count - parts->count / FORGOTTEN_FRACTION;
  size_t forgotten = parts->count - kept;

  qsort (parts->items, parts->count, sizeof (struct bd_harmless_part *),
         compare_age);
  for (size_t i = 0; i < forgotten; i++)
    {
      bd_map_remove (parts->by_part, map_id (parts->items[i]->part), 0);
      free (parts->items[i]);
    }
  for (size_t i = 0; i < kept; i++)
    parts->items[i] = parts->items[forgotten + i];
  parts->count = kept;
}

/* Makes room for one more.  Returns false when out of memory. */
static bool
reserve (struct bd_harmless_parts *parts)
{
  size_t capacity = parts->capacity ? parts->capacity * 2 : CAPACITY_MIN;
  struct bd_harmless_part **items;

  if (parts->count < parts->capacity)
    return true;
  if (parts->count >= BD_HARMLESS_PARTS_MAX)
    {
      forget_oldest (parts);
      return true;
    }
  items
      = realloc (parts->items, capacity * sizeof (struct bd_harmless_part *));
  if (!items)
    return false;
  parts->items = items;
  parts->capacity = capacity;
  return true;
}

static struct bd_harmless_part *
add (struct bd_harmless_parts *parts, uint64_t part)
{
  struct bd_harmless_part *item;

  if (!reserve (parts))
    return NULL;
  item = calloc (1, sizeof *item);
  if (!item || bd_map_put (parts->by_part, map_id (part), 0, item) != BD_OK)
    {
      free (item);
      return NULL;
    }
  parts->items[parts->count++] = item;
  return item;
}

void
bd_harmless_parts_record (struct bd_harmless_parts *parts, uint64_t part,
                          int64_t at_ms)
{
  struct bd_harmless_part *item = bd_harmless_parts_find (parts, part);

  if (!item)
    {
      item = add (parts, part);
      if (item)
        *item = (struct bd_harmless_part){ part, at_ms, INT64_MIN };
    }
  else if (at_ms > item->at_ms)
    item->at_ms = at_ms;
}

bool
bd_harmless_part_is_doubtful (const struct bd_harmless_part *part)
{
  return part->at_ms < part->doubted_ms;
}

struct bd_harmless_part *
bd_harmless_parts_find (const struct bd_harmless_parts *parts, uint64_t part)
{
  return bd_map_get (parts->by_part, map_id (part), 0);
}
