#include "balance/parts.h"

#include "common/random.h"

#include <stdlib.h>

/* Places of the memory: a power of two. */
#define PLACES 65536
/* How long a runner is believed to keep a part that was sent there. */
#define KEEP_MS 30000

struct bd_parts
{
  struct bd_part places[PLACES];
};

struct bd_parts *
bd_parts_create (void)
{
  return calloc (1, sizeof (struct bd_parts));
}

void
bd_parts_destroy (struct bd_parts *parts)
{
  free (parts);
}

static size_t
first_place (uint64_t part)
{
  size_t sets = PLACES / BD_PARTS_WAYS;

  return (bd_random_mix (part) & (sets - 1)) * BD_PARTS_WAYS;
}

static bool
is_fresh (const struct bd_part *place, int64_t now_ms)
{
  return place->part != 0 && now_ms - place->sent_ms < KEEP_MS;
}

bool
bd_parts_sent (struct bd_parts *parts, uint64_t part, uint64_t target,
               int64_t now_ms)
{
  struct bd_part *set = &parts->places[first_place (part)];
  struct bd_part *place = set;
  bool known = false;

  for (size_t i = 0; i < BD_PARTS_WAYS && !known; i++)
    {
      known = set[i].part == part && set[i].target == target;
      if (known || set[i].sent_ms < place->sent_ms)
        place = &set[i];
    }
  known = known && is_fresh (place, now_ms);
  *place = (struct bd_part){ part, target, now_ms, known && place->read };
  return !known;
}

static const struct bd_part *
find (const struct bd_parts *parts, uint64_t part, uint64_t target)
{
  const struct bd_part *set = &parts->places[first_place (part)];

  for (size_t i = 0; i < BD_PARTS_WAYS; i++)
    if (set[i].part == part && set[i].target == target)
      return &set[i];
  return NULL;
}

void
bd_parts_read (struct bd_parts *parts, uint64_t part, uint64_t target)
{
  struct bd_part *place = (struct bd_part *)find (parts, part, target);

  if (place)
    place->read = true;
}

const struct bd_part *
bd_parts_at (const struct bd_parts *parts, uint64_t part,
             const struct bd_target *target, int64_t now_ms)
{
  const struct bd_part *place = find (parts, part, target->hash);

  return place && is_fresh (place, now_ms)
                 && place->sent_ms >= target->since_ms
             ? place
             : NULL;
}

size_t
bd_parts_walk (const struct bd_parts *parts, size_t *cursor, int64_t now_ms,
               struct bd_part *found, size_t max)
{
  size_t count = 0;

  for (; *cursor < PLACES && count < max; ++*cursor)
    if (is_fresh (&parts->places[*cursor], now_ms))
      found[count++] = parts->places[*cursor];
  if (count == 0)
    *cursor = 0;
  return count;
}
