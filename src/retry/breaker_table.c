#include "retry/breaker_table.h"

#include "common/map.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_MIN 64
/* Of a full table, one in so many is dropped at a time. */
#define DROPPED_FRACTION 4
#define NEVER_MS (INT64_MIN / 2)

struct bd_breaker_table *
bd_breaker_table_create (void)
{
  struct bd_breaker_table *table = calloc (1, sizeof *table);

  if (!table)
    return NULL;
  table->by_part = bd_map_create ();
  if (table->by_part)
    return table;
  free (table);
  return NULL;
}

void
bd_breaker_table_destroy (struct bd_breaker_table *table)
{
  if (!table)
    return;
  for (size_t i = 0; i < table->count; i++)
    free (table->items[i]);
  bd_map_destroy (table->by_part);
  free (table->items);
  free (table);
}

static struct bd_id
map_id (uint64_t part)
{
  return (struct bd_id){ 0, part };
}

struct bd_breaker *
bd_breaker_table_find (const struct bd_breaker_table *table, uint64_t part)
{
  return bd_map_get (table->by_part, map_id (part), 0);
}

int64_t
bd_breaker_last_ms (const struct bd_breaker *breaker)
{
  return breaker->list.count > 0
             ? breaker->list.entries[breaker->list.count - 1].at_ms
             : breaker->harmless_ms;
}

/* Frees the breaker at INDEX; the caller fills its place. */
static void
free_breaker (struct bd_breaker_table *table, size_t index)
{
  bd_map_remove (table->by_part, map_id (table->items[index]->part), 0);
  free (table->items[index]);
}

/* Those to drop first: without crashes, with one crash, with more; of these
   the oldest ones. */
static int
compare_worth (const void *a, const void *b)
{
  const struct bd_breaker *left = *(struct bd_breaker *const *)a;
  const struct bd_breaker *right = *(struct bd_breaker *const *)b;
  uint32_t left_count = left->list.count < 2 ? left->list.count : 2;
  uint32_t right_count = right->list.count < 2 ? right->list.count : 2;

  if (left_count != right_count)
    return left_count < right_count ? -1 : 1;
  return (bd_breaker_last_ms (left) > bd_breaker_last_ms (right))
         - (bd_breaker_last_ms (left) < bd_breaker_last_ms (right));
}

static void
drop_some (struct bd_breaker_table *table)
{
  size_t dropped = table->count / DROPPED_FRACTION;

  qsort (table->items, table->count, sizeof (struct bd_breaker *),
         compare_worth);
  for (size_t i = 0; i < dropped; i++)
    {
      table->dropped += table->items[i]->list.count > 0;
      free_breaker (table, i);
    }
  table->count -= dropped;
  memmove (table->items, table->items + dropped,
           table->count * sizeof (struct bd_breaker *));
}

/* Makes room for one more.  Returns false when out of memory. */
static bool
reserve (struct bd_breaker_table *table)
{
  size_t capacity = table->capacity ? table->capacity * 2 : CAPACITY_MIN;
  struct bd_breaker **items;

  if (table->count < table->capacity)
    return true;
  if (table->count >= BD_BREAKERS_MAX)
    {
      drop_some (table);
      return true;
    }
  items = realloc (table->items, capacity * sizeof (struct bd_breaker *));
  if (!items)
    return false;
  table->items = items;
  table->capacity = capacity;
  return true;
}

struct bd_breaker *
bd_breaker_table_get (struct bd_breaker_table *table, uint64_t part)
{
  struct bd_breaker *breaker = bd_breaker_table_find (table, part);

  if (breaker)
    return breaker;
  breaker = reserve (table) ? malloc (sizeof *breaker) : NULL;
  if (!breaker
      || bd_map_put (table->by_part, map_id (part), 0, breaker) != BD_OK)
    {
      free (breaker);
      return NULL;
    }
  *breaker = (struct bd_breaker){ .part = part,
                                  .harmless_ms = NEVER_MS,
                                  .trial_ms = NEVER_MS,
                                  .sole_ms = NEVER_MS };
  table->items[table->count++] = breaker;
  return breaker;
}

bool
bd_breaker_table_expire (struct bd_breaker_table *table, int64_t before_ms)
{
  size_t before = table->count;
  size_t kept = 0;

  for (size_t i = 0; i < table->count; i++)
    if (table->items[i]->list.count == 0
        && table->items[i]->harmless_ms <= before_ms)
      free_breaker (table, i);
    else
      table->items[kept++] = table->items[i];
  table->count = kept;
  return kept < before;
}
