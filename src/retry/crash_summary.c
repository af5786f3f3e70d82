#include "retry/crash_summary.h"

#include "common/map.h"

#include <stdlib.h>

#define CAPACITY_MIN 64

struct bd_crash_summary
{
  struct bd_map *by_crash; /* The index of the cause and one. */
  struct bd_crash_cause *causes;
  size_t count;
  size_t capacity;
  bool valid;
};

struct bd_crash_summary *
bd_crash_summary_create (void)
{
  struct bd_crash_summary *summary = calloc (1, sizeof *summary);

  if (!summary)
    return NULL;
  summary->by_crash = bd_map_create ();
  if (summary->by_crash)
    return summary;
  free (summary);
  return NULL;
}

void
bd_crash_summary_destroy (struct bd_crash_summary *summary)
{
  if (!summary)
    return;
  bd_map_destroy (summary->by_crash);
  free (summary->causes);
  free (summary);
}

void
bd_crash_summary_invalidate (struct bd_crash_summary *summary)
{
  summary->valid = false;
}

bool
bd_crash_summary_is_valid (const struct bd_crash_summary *summary)
{
  return summary->valid;
}

void
bd_crash_summary_begin (struct bd_crash_summary *summary)
{
  struct bd_map *empty = summary->count > 0 ? bd_map_create () : NULL;

  summary->valid = true;
  if (empty)
    {
      bd_map_destroy (summary->by_crash);
      summary->by_crash = empty;
      summary->count = 0;
    }
  for (size_t i = 0; i < summary->count; i++)
    summary->causes[i] = (struct bd_crash_cause){ 0 };
}

static struct bd_crash_cause *
add_cause (struct bd_crash_summary *summary, struct bd_id crash)
{
  if (summary->count == summary->capacity)
    {
      size_t capacity
          = summary->capacity ? summary->capacity * 2 : CAPACITY_MIN;
      struct bd_crash_cause *causes
          = realloc (summary->causes, capacity * sizeof *causes);

      if (!causes)
        return NULL;
      summary->causes = causes;
      summary->capacity = capacity;
    }
  if (bd_map_put (summary->by_crash, crash, 0,
                  (void *)(uintptr_t)(summary->count + 1))
      != BD_OK)
    return NULL;
  summary->causes[summary->count] = (struct bd_crash_cause){ 0 };
  return &summary->causes[summary->count++];
}

struct bd_crash_cause *
bd_crash_summary_find (struct bd_crash_summary *summary, struct bd_id crash,
                       bool add)
{
  size_t index = (uintptr_t)bd_map_get (summary->by_crash, crash, 0);

  if (index > 0)
    return &summary->causes[index - 1];
  return add ? add_cause (summary, crash) : NULL;
}

static void
raise_counts (struct bd_rival_counts *counts, uint32_t count, bool unknown)
{
  uint32_t *most = unknown ? &counts->most_unknown : &counts->most_known;

  if (*most < count)
    *most = count;
}

void
bd_crash_summary_count (struct bd_crash_summary *summary, struct bd_id crash,
                        const struct bd_crash_suspect *suspect)
{
  struct bd_crash_cause *cause = bd_crash_summary_find (summary, crash, true);

  if (!cause)
    return;
  if (bd_rivals_most (&cause->in_all) < suspect->in_all)
    cause->leader = suspect->id;
  raise_counts (&cause->in_succession, suspect->in_succession,
                suspect->unknown);
  raise_counts (&cause->in_all, suspect->in_all, suspect->unknown);
}

void
bd_crash_summary_add (struct bd_crash_summary *summary,
                      const struct bd_breaker *breaker, bool unknown)
{
  struct bd_crash_suspect suspect
      = { .id = breaker->part,
          .in_succession = bd_crash_list_in_succession (&breaker->list),
          .in_all = breaker->list.count,
          .unknown = unknown };

  for (uint32_t i = 0; i < breaker->list.count; i++)
    bd_crash_summary_count (summary, breaker->list.entries[i].id, &suspect);
}

void
bd_crash_summary_add_likely (struct bd_crash_summary *summary,
                             const struct bd_breaker *breaker)
{
  for (uint32_t i = 0; i < breaker->list.count; i++)
    {
      struct bd_crash_cause *cause = bd_crash_summary_find (
          summary, breaker->list.entries[i].id, false);

      if (cause)
        cause->likely++;
    }
}

void
bd_crash_summary_add_own (struct bd_crash_summary *summary,
                          const struct bd_breaker *breaker, int change)
{
  for (uint32_t i = 0; i < breaker->list.count; i++)
    {
      struct bd_crash_cause *cause = bd_crash_summary_find (
          summary, breaker->list.entries[i].id, false);

      if (cause)
        cause->own += change;
    }
}

bool
bd_crash_summary_explains (struct bd_crash_summary *summary,
                           struct bd_id crash, uint32_t count,
                           bool harmless_before)
{
  const struct bd_crash_cause *cause
      = bd_crash_summary_find (summary, crash, false);

  return cause
         && bd_rivals_outweigh (&cause->in_succession, count, harmless_before);
}
