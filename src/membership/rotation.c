#include "membership/rotation.h"

#include <stdlib.h>

uint64_t
bd_rotation_mix (uint64_t x)
{
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

static size_t
random_below (struct bd_rotation *rotation, size_t limit)
{
  rotation->random++;
  return (size_t)(bd_rotation_mix (rotation->random) % limit);
}

int
bd_rotation_init (struct bd_rotation *rotation, size_t capacity, uint64_t seed)
{
  rotation->items = calloc (capacity, sizeof (void *));
  rotation->count = 0;
  rotation->capacity = capacity;
  rotation->position = 0;
  rotation->random = seed;
  return rotation->items ? BD_OK : BD_ERR_NOMEM;
}

void
bd_rotation_clear (struct bd_rotation *rotation)
{
  free (rotation->items);
  rotation->items = NULL;
  rotation->count = 0;
}

void
bd_rotation_add (struct bd_rotation *rotation, void *item)
{
  size_t left = rotation->count - rotation->position;
  size_t at = rotation->position + random_below (rotation, left + 1);

  rotation->items[rotation->count] = rotation->items[at];
  rotation->items[at] = item;
  rotation->count++;
}

void
bd_rotation_remove (struct bd_rotation *rotation, const void *item)
{
  size_t at = 0;

  while (rotation->items[at] != item)
    at++;
  rotation->count--;
  /* Items taken in this pass must stay before the position. */
  if (at < rotation->position)
    {
      rotation->position--;
      rotation->items[at] = rotation->items[rotation->position];
      at = rotation->position;
    }
  rotation->items[at] = rotation->items[rotation->count];
}

static void
shuffle (struct bd_rotation *rotation)
{
  for (size_t i = rotation->count; i > 1; i--)
    {
      size_t j = random_below (rotation, i);
      void *swap = rotation->items[i - 1];

      rotation->items[i - 1] = rotation->items[j];
      rotation->items[j] = swap;
    }
  rotation->position = 0;
}

void *
bd_rotation_next (struct bd_rotation *rotation)
{
  if (rotation->count == 0)
    return NULL;
  if (rotation->position == rotation->count)
    shuffle (rotation);
  return rotation->items[rotation->position++];
}
