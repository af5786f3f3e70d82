#include "retry/part_breaker.h"

#include "common/map.h"
#include "common/random.h"
#include "retry/crash_list.h"

#include <stdlib.h>

#define BREAKERS_MAX 512
/* Longer than any hold time. */
#define KEEP_MS 3600000
/* Time in which the result of a request that a half-open breaker let pass is
   waited for. */
#define TRIAL_MS 5000
#define SENDS_PER_NOTICE 3
/* Parts that are remembered as harmless; a power of two. */
#define HARMLESS_MAX 4096
#define NEVER_MS (INT64_MIN / 2)

struct breaker
{
  uint64_t part;
  int64_t harmless_ms; /* When a runner last survived the part. */
  int64_t trial_ms;    /* When a half-open breaker last let a request pass. */
  int64_t sole_ms; /* When the other part that was blamed for the last crash
                      was last seen to be harmless. */
  uint32_t harmless_sends_left;
  struct bd_crash_list list; /* All after harmless_ms. */
};

/* A part that was seen to be harmless; part 0: none. */
struct harmless_part
{
  uint64_t part;
  int64_t at_ms;
  bool doubtful; /* May have turned bad; suspected until the next answer. */
};

struct bd_part_breakers
{
  uint64_t seed;
  size_t count;
  struct breaker *breakers;
  struct bd_map *by_part;
  struct harmless_part *harmless; /* By the lowest bits of the part. */
};

void
bd_part_list_add (struct bd_part_list *list, uint64_t part)
{
  if (list->count < BD_PARTS_MAX)
    list->parts[list->count++] = part;
}

struct bd_part_breakers *
bd_part_breakers_create (uint64_t seed)
{
  struct bd_part_breakers *b = calloc (1, sizeof *b);

  if (!b)
    return NULL;
  b->seed = seed;
  b->breakers = calloc (BREAKERS_MAX, sizeof *b->breakers);
  b->by_part = bd_map_create ();
  b->harmless = calloc (HARMLESS_MAX, sizeof *b->harmless);
  if (!b->breakers || !b->by_part || !b->harmless)
    {
      bd_part_breakers_destroy (b);
      return NULL;
    }
  return b;
}

void
bd_part_breakers_destroy (struct bd_part_breakers *breakers)
{
  if (!breakers)
    return;
  bd_map_destroy (breakers->by_part);
  free (breakers->harmless);
  free (breakers->breakers);
  free (breakers);
}

/* The table. */

static struct bd_id
map_id (uint64_t part)
{
  return (struct bd_id){ 0, part };
}

static struct breaker *
find_breaker (const struct bd_part_breakers *b, uint64_t part)
{
  return b->count > 0 ? bd_map_get (b->by_part, map_id (part), 0) : NULL;
}

/* Time of the last crash or harmless answer. */
static int64_t
last_ms (const struct breaker *breaker)
{
  return breaker->list.count > 0
             ? breaker->list.entries[breaker->list.count - 1].at_ms
             : breaker->harmless_ms;
}

/* Removes a breaker; the last one takes its place. */
static void
remove_breaker (struct bd_part_breakers *b, struct breaker *breaker)
{
  struct breaker *last = &b->breakers[--b->count];

  bd_map_remove (b->by_part, map_id (breaker->part), 0);
  if (last == breaker)
    return;
  bd_map_remove (b->by_part, map_id (last->part), 0);
  *breaker = *last;
  if (bd_map_put (b->by_part, map_id (breaker->part), 0, breaker) != BD_OK)
    /* Not found any more, it ages out. */
    breaker->list.count = 0;
}

/* Removes the breaker whose last event is the oldest, one without crashes if
   there is any. */
static void
evict_breaker (struct bd_part_breakers *b)
{
  struct breaker *oldest = &b->breakers[0];

  for (size_t i = 1; i < b->count; i++)
    {
      struct breaker *breaker = &b->breakers[i];
      bool idle = breaker->list.count == 0;
      bool oldest_idle = oldest->list.count == 0;

      if (idle > oldest_idle
          || (idle == oldest_idle && last_ms (breaker) < last_ms (oldest)))
        oldest = breaker;
    }
  remove_breaker (b, oldest);
}

static struct breaker *
get_breaker (struct bd_part_breakers *b, uint64_t part)
{
  struct breaker *breaker = find_breaker (b, part);

  if (breaker)
    return breaker;
  if (b->count == BREAKERS_MAX)
    evict_breaker (b);
  breaker = &b->breakers[b->count];
  if (bd_map_put (b->by_part, map_id (part), 0, breaker) != BD_OK)
    return NULL;
  *breaker = (struct breaker){ .part = part,
                               .harmless_ms = NEVER_MS,
                               .trial_ms = NEVER_MS,
                               .sole_ms = NEVER_MS };
  b->count++;
  return breaker;
}

/* Crashes. */

/* Adds CRASH.  Returns false if it is known, or the part has been harmless
   since. */
static bool
add_crash (struct breaker *breaker, const struct bd_crash_entry *crash)
{
  return crash->at_ms > breaker->harmless_ms
         && bd_crash_list_add (&breaker->list, crash);
}

/* Records that PART is harmless with the breakers of other parts that were
   blamed with it. */
static void
set_sole (struct bd_part_breakers *b, uint64_t part, int64_t at_ms)
{
  for (size_t i = 0; i < b->count; i++)
    {
      struct breaker *other = &b->breakers[i];

      if (other->list.count > 0 && at_ms > other->sole_ms
          && other->list.entries[other->list.count - 1].other == part)
        other->sole_ms = at_ms;
    }
}

/* Returns whether that changed what is known. */
static bool
set_harmless (struct bd_part_breakers *b, struct breaker *breaker,
              int64_t at_ms)
{
  uint32_t before = breaker->list.count;

  if (at_ms <= breaker->harmless_ms)
    return false;
  breaker->harmless_ms = at_ms;
  if (before > 0)
    set_sole (b, breaker->part, at_ms);
  while (breaker->list.count > 0 && breaker->list.entries[0].at_ms <= at_ms)
    bd_crash_list_remove (&breaker->list, 0);
  return breaker->list.count < before;
}

/* Returns where PART is remembered as harmless. */
static struct harmless_part *
harmless_slot (const struct bd_part_breakers *b, uint64_t part)
{
  return &b->harmless[part % HARMLESS_MAX];
}

static bool
was_harmless (const struct bd_part_breakers *b, uint64_t part)
{
  return harmless_slot (b, part)->part == part;
}

/* Adds the parts that may be to blame for a crash at AT_MS to SUSPECTED: those
   that were not seen to be harmless, or else those that were not since; these
   must then be seen to be so again. */
static void
find_suspected (struct bd_part_breakers *b, const struct bd_part_list *parts,
                int64_t at_ms, struct bd_part_list *suspected)
{
  for (size_t i = 0; i < parts->count; i++)
    if (!was_harmless (b, parts->parts[i])
        || harmless_slot (b, parts->parts[i])->doubtful)
      bd_part_list_add (suspected, parts->parts[i]);
  if (suspected->count > 0)
    return;
  for (size_t i = 0; i < parts->count; i++)
    {
      struct harmless_part *harmless = harmless_slot (b, parts->parts[i]);

      if (harmless->at_ms >= at_ms)
        continue;
      harmless->doubtful = true;
      bd_part_list_add (suspected, parts->parts[i]);
    }
}

/* Adds those of SUSPECTED with the most crashes in succession to BLAMED. */
static void
find_blamed (const struct bd_part_breakers *b,
             const struct bd_part_list *suspected, struct bd_part_list *blamed)
{
  uint32_t most = 0;

  for (size_t i = 0; i < suspected->count; i++)
    {
      uint32_t count = bd_part_breakers_crashes (b, suspected->parts[i]);

      if (count > most)
        blamed->count = 0;
      if (count >= most)
        bd_part_list_add (blamed, suspected->parts[i]);
      most = count > most ? count : most;
    }
}

bool
bd_part_breakers_crashed (struct bd_part_breakers *breakers,
                          const struct bd_part_list *parts,
                          const struct bd_part_crash *crash)
{
  struct bd_crash_entry fresh = { .id = crash->id,
                                  .sent_ms = crash->sent_ms,
                                  .heard_ms = crash->heard_ms,
                                  .at_ms = crash->at_ms,
                                  .sends_left = SENDS_PER_NOTICE };
  struct bd_part_list suspected = { 0 };
  struct bd_part_list blamed = { 0 };
  bool is_new = false;

  find_suspected (breakers, parts, crash->at_ms, &suspected);
  find_blamed (breakers, &suspected, &blamed);
  for (size_t i = 0; i < blamed.count; i++)
    {
      struct breaker *breaker = get_breaker (breakers, blamed.parts[i]);

      fresh.other = blamed.count > 1 ? blamed.parts[i == 0] : 0;
      if (breaker && add_crash (breaker, &fresh))
        is_new = true;
    }
  return is_new;
}

void
bd_part_breakers_survived (struct bd_part_breakers *breakers, int64_t now_ms,
                           const struct bd_part_list *parts)
{
  for (size_t i = 0; i < parts->count; i++)
    {
      struct breaker *breaker = find_breaker (breakers, parts->parts[i]);

      *harmless_slot (breakers, parts->parts[i])
          = (struct harmless_part){ parts->parts[i], now_ms, false };
      if (breaker && set_harmless (breakers, breaker, now_ms))
        breaker->harmless_sends_left = SENDS_PER_NOTICE;
    }
}

uint32_t
bd_part_breakers_crashes (const struct bd_part_breakers *breakers,
                          uint64_t part)
{
  const struct breaker *breaker = find_breaker (breakers, part);

  return breaker ? bd_crash_list_in_succession (&breaker->list) : 0;
}

/* States. */

/* Returns whether OTHER is more likely to be the cause of crashes than a part
   under which COUNT runners crashed in succession. */
static bool
is_likelier (const struct bd_part_breakers *b, const struct breaker *other,
             uint32_t count, bool harmless_before)
{
  uint32_t others = bd_crash_list_in_succession (&other->list);

  return others > count
         || (others == count && harmless_before
             && !was_harmless (b, other->part));
}

/* Returns whether crash ID is under another part as well that is more likely
   to be its cause; COUNT runners crashed in succession under BREAKER. */
static bool
is_explained (const struct bd_part_breakers *b, const struct breaker *breaker,
              struct bd_id id, uint32_t count)
{
  bool harmless_before = was_harmless (b, breaker->part);

  for (size_t i = 0; i < b->count; i++)
    {
      const struct breaker *other = &b->breakers[i];

      if (other != breaker && bd_crash_list_has (&other->list, id)
          && is_likelier (b, other, count, harmless_before))
        return true;
    }
  return false;
}

/* Copies BREAKER without the crashes that other parts explain.  Few breakers
   have as many crashes as make this necessary. */
static struct breaker
without_explained (const struct bd_part_breakers *b,
                   const struct breaker *breaker)
{
  struct breaker own = *breaker;
  uint32_t count = bd_crash_list_in_succession (&breaker->list);

  if (count < BD_PART_CRASHES_MAX && breaker->list.count < BD_PART_RUNNERS_MAX)
    return own;
  for (uint32_t i = own.list.count; i > 0; i--)
    if (is_explained (b, breaker, own.list.entries[i - 1].id, count))
      bd_crash_list_remove (&own.list, i - 1);
  return own;
}

static bool
is_open (const struct bd_part_breakers *b, const struct breaker *breaker)
{
  struct breaker own;

  if (!breaker)
    return false;
  own = without_explained (b, breaker);
  if (bd_crash_list_in_succession (&own.list) >= BD_PART_CRASHES_MAX)
    return true;
  return own.list.count >= BD_PART_RUNNERS_MAX && !was_harmless (b, own.part)
         && bd_crash_list_in_likely_succession (&own.list)
                >= BD_PART_CRASHES_MAX;
}

bool
bd_part_breakers_is_open (const struct bd_part_breakers *breakers,
                          uint64_t part)
{
  return is_open (breakers, find_breaker (breakers, part));
}

/* Returns whether the last crash may be due to another part as well. */
static bool
is_ambiguous (const struct bd_part_breakers *b, const struct breaker *breaker)
{
  uint64_t other = breaker->list.entries[breaker->list.count - 1].other;

  return other != 0 && is_open (b, find_breaker (b, other));
}

/* Returns the hold time after CRASHES in succession. */
static int64_t
base_hold_ms (const struct breaker *breaker, uint32_t crashes)
{
  if (crashes > BD_PART_CRASHES_MAX)
    return (int64_t)BD_PART_LONG_HOLD_MS
           << (crashes - BD_PART_CRASHES_MAX - 1);
  return breaker->list.count >= BD_PART_RUNNERS_MAX ? BD_PART_LONG_HOLD_MS
                                                    : BD_PART_HOLD_MS;
}

/* Returns since when BREAKER is held: the last crash, or when no other part
   was left as its cause.  Instances learn that at the same time, and would all
   let a request pass then. */
static int64_t
held_from_ms (const struct breaker *breaker)
{
  int64_t crashed_ms = last_ms (breaker);

  return breaker->sole_ms > crashed_ms ? breaker->sole_ms : crashed_ms;
}

/* Returns how long an open breaker with CRASHES in succession stays open, for
 * a request with OPEN_COUNT open parts. */
static int64_t
hold_ms (const struct bd_part_breakers *b, const struct breaker *breaker,
         uint32_t crashes, uint32_t open_count)
{
  int64_t base_ms = open_count == 1 && is_ambiguous (b, breaker)
                        ? BD_PART_HOLD_MS
                        : base_hold_ms (breaker, crashes);
  uint64_t random = bd_random_mix (b->seed ^ breaker->part
                                   ^ (uint64_t)held_from_ms (breaker));

  return base_ms * open_count
         + bd_random_below (&random, (uint32_t)base_ms / 2);
}

enum bd_breaker_state
bd_part_breakers_check (const struct bd_part_breakers *breakers,
                        int64_t now_ms, const struct bd_part_list *parts)
{
  const struct breaker *open[BD_PARTS_MAX];
  uint32_t crashes[BD_PARTS_MAX];
  uint32_t count = 0;

  for (size_t i = 0; i < parts->count; i++)
    {
      open[count] = find_breaker (breakers, parts->parts[i]);
      if (!is_open (breakers, open[count]))
        continue;
      crashes[count] = bd_crash_list_in_succession (&open[count]->list);
      count++;
    }
  for (uint32_t i = 0; i < count; i++)
    if (now_ms - open[i]->trial_ms < TRIAL_MS
        || now_ms - held_from_ms (open[i])
               < hold_ms (breakers, open[i], crashes[i], count))
      return BD_BREAKER_OPEN;
  return count > 0 ? BD_BREAKER_HALF_OPEN : BD_BREAKER_CLOSED;
}

void
bd_part_breakers_sent (struct bd_part_breakers *breakers, int64_t now_ms,
                       const struct bd_part_list *parts)
{
  for (size_t i = 0; i < parts->count; i++)
    {
      struct breaker *breaker = find_breaker (breakers, parts->parts[i]);

      if (is_open (breakers, breaker))
        breaker->trial_ms = now_ms;
    }
}

/* Notices. */

/* A peer that tells of a crash before a harmless answer has missed that
   answer, and is told. */
static bool
apply_crash (struct breaker *breaker, int64_t now_ms,
             const struct bd_part_notice *notice)
{
  struct bd_crash_entry crash = { .id = notice->crash,
                                  .other = notice->other,
                                  .sent_ms = now_ms - notice->sent_age_ms,
                                  .heard_ms = now_ms - notice->heard_age_ms,
                                  .at_ms = now_ms - notice->age_ms };

  if (crash.at_ms <= breaker->harmless_ms && breaker->harmless_sends_left == 0)
    breaker->harmless_sends_left = 1;
  return add_crash (breaker, &crash);
}

bool
bd_part_breakers_apply (struct bd_part_breakers *breakers, int64_t now_ms,
                        const struct bd_part_notice *notice)
{
  struct breaker *breaker;

  if (notice->age_ms < 0 || notice->age_ms >= KEEP_MS
      || notice->sent_age_ms < 0 || notice->sent_age_ms >= KEEP_MS
      || notice->heard_age_ms < 0 || notice->heard_age_ms >= KEEP_MS)
    return false;
  breaker = get_breaker (breakers, notice->part);
  if (!breaker)
    return false;
  return notice->harmless
             ? set_harmless (breakers, breaker, now_ms - notice->age_ms)
             : apply_crash (breaker, now_ms, notice);
}

static struct bd_part_notice
crash_notice (const struct breaker *breaker,
              const struct bd_crash_entry *crash, int64_t now_ms)
{
  return (struct bd_part_notice){ .part = breaker->part,
                                  .crash = crash->id,
                                  .other = crash->other,
                                  .sent_age_ms = now_ms - crash->sent_ms,
                                  .heard_age_ms = now_ms - crash->heard_ms,
                                  .age_ms = now_ms - crash->at_ms };
}

static size_t
append_notices_of (struct breaker *breaker, int64_t now_ms,
                   struct bd_part_notice *notices, size_t max)
{
  size_t count = 0;

  if (breaker->harmless_sends_left > 0 && max > 0)
    {
      breaker->harmless_sends_left--;
      notices[count++]
          = (struct bd_part_notice){ .part = breaker->part,
                                     .harmless = true,
                                     .age_ms = now_ms - breaker->harmless_ms };
    }
  for (uint32_t i = 0; i < breaker->list.count && count < max; i++)
    if (breaker->list.entries[i].sends_left > 0)
      {
        breaker->list.entries[i].sends_left--;
        notices[count++]
            = crash_notice (breaker, &breaker->list.entries[i], now_ms);
      }
  return count;
}

size_t
bd_part_breakers_next_notices (struct bd_part_breakers *breakers,
                               int64_t now_ms, struct bd_part_notice *notices,
                               size_t max)
{
  size_t count = 0;

  /* Parts with several crashes first: they are more likely to be the cause
     than the many that were at a single one. */
  for (int pass = 0; pass < 2; pass++)
    for (size_t i = 0; i < breakers->count && count < max; i++)
      if ((breakers->breakers[i].list.count > 1) == (pass == 0))
        count += append_notices_of (&breakers->breakers[i], now_ms,
                                    notices + count, max - count);
  return count;
}

size_t
bd_part_breakers_list (const struct bd_part_breakers *breakers, int64_t now_ms,
                       size_t *cursor, struct bd_part_notice *notices,
                       size_t max)
{
  size_t count = 0;

  for (; *cursor < breakers->count; ++*cursor)
    {
      const struct breaker *breaker = &breakers->breakers[*cursor];

      if (breaker->list.count > max - count)
        return count;
      for (uint32_t i = 0; i < breaker->list.count; i++)
        notices[count++]
            = crash_notice (breaker, &breaker->list.entries[i], now_ms);
    }
  *cursor = 0;
  return count;
}

void
bd_part_breakers_tick (struct bd_part_breakers *breakers, int64_t now_ms)
{
  for (size_t i = breakers->count; i > 0; i--)
    {
      struct breaker *breaker = &breakers->breakers[i - 1];

      while (breaker->list.count > 0
             && now_ms - breaker->list.entries[0].at_ms >= KEEP_MS)
        bd_crash_list_remove (&breaker->list, 0);
      if (breaker->list.count == 0 && now_ms - breaker->harmless_ms >= KEEP_MS)
        remove_breaker (breakers, breaker);
    }
}
