#include "retry/part_breaker_internal.h"

#include "common/random.h"
#include "retry/harmless_parts.h"

#include <stdlib.h>

/* Time in which the result of a request that a half-open breaker let pass is
   waited for. */
#define TRIAL_MS 5000
struct bd_part_breakers *
bd_part_breakers_create (uint64_t seed)
{
  struct bd_part_breakers *b = calloc (1, sizeof *b);

  if (!b)
    return NULL;
  b->seed = seed;
  b->table = bd_breaker_table_create ();
  b->harmless = bd_harmless_parts_create ();
  b->summary = bd_crash_summary_create ();
  if (b->table && b->harmless && b->summary)
    return b;
  bd_part_breakers_destroy (b);
  return NULL;
}

void
bd_part_breakers_destroy (struct bd_part_breakers *breakers)
{
  if (!breakers)
    return;
  bd_breaker_table_destroy (breakers->table);
  bd_harmless_parts_destroy (breakers->harmless);
  bd_crash_summary_destroy (breakers->summary);
  free (breakers);
}

void
bd_part_breakers_weigh_requests (struct bd_part_breakers *breakers,
                                 const struct bd_rivals *requests)
{
  breakers->requests = requests;
}

uint64_t
bd_part_breakers_dropped (const struct bd_part_breakers *breakers)
{
  return breakers->table->dropped;
}

/* Crashes. */

bool
bd_breaker_add_crash (struct bd_breaker *breaker,
                      const struct bd_crash_entry *crash)
{
  return crash->at_ms > breaker->harmless_ms
         && bd_crash_list_add (&breaker->list, crash);
}

/* Records that PART is harmless with the breakers of other parts that were
   blamed with it. */
static void
set_sole (struct bd_part_breakers *b, uint64_t part, int64_t at_ms)
{
  for (size_t i = 0; i < b->table->count; i++)
    {
      struct bd_breaker *other = b->table->items[i];

      if (other->list.count > 0 && at_ms > other->sole_ms
          && other->list.entries[other->list.count - 1].other == part)
        other->sole_ms = at_ms;
    }
}

bool
bd_part_breakers_set_harmless (struct bd_part_breakers *b,
                               struct bd_breaker *breaker, int64_t at_ms)
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

static bool
was_harmless (const struct bd_part_breakers *b, uint64_t part)
{
  return bd_harmless_parts_find (b->harmless, part) != NULL;
}

/* Whether PART may be to blame for a crash: it was not seen to be harmless, or
   may have turned bad since. */
static bool
is_suspected (const struct bd_part_breakers *b, uint64_t part)
{
  const struct bd_harmless_part *harmless
      = bd_harmless_parts_find (b->harmless, part);

  return !harmless || bd_harmless_part_is_doubtful (harmless);
}

/* If all of PARTS were seen to be harmless, suspects those that were not since
   AT_MS; they must then be seen to be so again. */
static void
suspect_some (struct bd_part_breakers *b, const struct bd_part_list *parts,
              int64_t at_ms)
{
  for (size_t i = 0; i < parts->count; i++)
    if (is_suspected (b, parts->parts[i]))
      return;
  for (size_t i = 0; i < parts->count; i++)
    {
      struct bd_harmless_part *harmless
          = bd_harmless_parts_find (b->harmless, parts->parts[i]);

      if (harmless->at_ms < at_ms)
        harmless->doubted_ms = at_ms;
    }
}

/* The parts of a request that are suspected the most for a crash. */
struct blame
{
  uint32_t most;   /* Crashes in succession that each of them has. */
  uint64_t first;  /* One of them; 0: there is none. */
  uint64_t second; /* Another one; 0: there is none. */
};

static struct blame
find_blamed (const struct bd_part_breakers *b,
             const struct bd_part_list *parts)
{
  struct blame blame = { 0 };

  for (size_t i = 0; i < parts->count; i++)
    {
      uint32_t count = bd_part_breakers_crashes (b, parts->parts[i]);

      if (!is_suspected (b, parts->parts[i]) || count < blame.most)
        continue;
      if (count > blame.most || blame.first == 0)
        blame = (struct blame){ count, parts->parts[i], 0 };
      else if (blame.second == 0 && parts->parts[i] != blame.first)
        blame.second = parts->parts[i];
    }
  return blame;
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
                                  .sends_left = BD_PART_SENDS_PER_NOTICE };
  struct blame blame;
  bool is_new = false;

  bd_crash_summary_invalidate (breakers->summary);
  suspect_some (breakers, parts, crash->at_ms);
  blame = find_blamed (breakers, parts);
  for (size_t i = 0; i < parts->count; i++)
    {
      uint64_t part = parts->parts[i];
      struct bd_breaker *breaker
          = is_suspected (breakers, part)
                ? bd_breaker_table_get (breakers->table, part)
                : NULL;

      fresh.other = part == blame.first ? blame.second : blame.first;
      if (breaker && bd_breaker_add_crash (breaker, &fresh))
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
      struct bd_breaker *breaker
          = bd_breaker_table_find (breakers->table, parts->parts[i]);

      bd_harmless_parts_record (breakers->harmless, parts->parts[i], now_ms);
      if (breaker)
        bd_crash_summary_invalidate (breakers->summary);
      if (breaker && bd_part_breakers_set_harmless (breakers, breaker, now_ms))
        breaker->harmless_sends_left = BD_PART_SENDS_PER_NOTICE;
    }
}

uint32_t
bd_part_breakers_crashes (const struct bd_part_breakers *breakers,
                          uint64_t part)
{
  const struct bd_breaker *breaker
      = bd_breaker_table_find (breakers->table, part);

  return breaker ? bd_crash_list_in_succession (&breaker->list) : 0;
}

/* States. */

/* Whether another part, or another request than the one that is looked at, is
   likelier to be the cause of CRASH than a part with so many crashes. */
static bool
is_explained (const struct bd_part_breakers *b, struct bd_id crash,
              const struct bd_crash_list *list, bool harmless_before)
{
  uint32_t count = bd_crash_list_in_succession (list);

  return bd_crash_summary_explains (b->summary, crash, count, harmless_before)
         || (b->requests
             && b->requests->ops->explain (b->requests, crash, list->count,
                                           harmless_before));
}

/* Copies the crashes of BREAKER without those that are explained. */
static struct bd_crash_list
without_explained (const struct bd_part_breakers *b,
                   const struct bd_breaker *breaker)
{
  struct bd_crash_list own = breaker->list;
  bool harmless_before = was_harmless (b, breaker->part);

  if (bd_crash_list_in_succession (&own) < BD_PART_CRASHES_MAX
      && own.count < BD_PART_RUNNERS_MAX)
    return own;
  for (uint32_t i = own.count; i > 0; i--)
    if (is_explained (b, own.entries[i - 1].id, &breaker->list,
                      harmless_before))
      bd_crash_list_remove (&own, i - 1);
  return own;
}

/* Whether the crashes of BREAKER suffice to open it, if no other part explains
   them. */
static bool
is_likely_cause (const struct bd_breaker *breaker)
{
  return bd_crash_list_in_succession (&breaker->list) >= BD_PART_CRASHES_MAX
         || bd_crash_list_in_likely_succession (&breaker->list)
                >= BD_PART_CRASHES_MAX;
}

/* The summary must be up to date. */
static bool
is_open (const struct bd_part_breakers *b, const struct bd_breaker *breaker)
{
  struct bd_crash_list own;

  if (!breaker)
    return false;
  own = without_explained (b, breaker);
  if (bd_crash_list_in_succession (&own) >= BD_PART_CRASHES_MAX)
    return true;
  return own.count >= BD_PART_RUNNERS_MAX && !was_harmless (b, breaker->part)
         && bd_crash_list_in_likely_succession (&own) >= BD_PART_CRASHES_MAX;
}

/* Makes the summary anew if the breakers have changed. */
static void
update_summary (const struct bd_part_breakers *b)
{
  const struct bd_breaker_table *table = b->table;

  if (bd_crash_summary_is_valid (b->summary))
    return;
  bd_crash_summary_begin (b->summary);
  for (size_t i = 0; i < table->count; i++)
    bd_crash_summary_add (b->summary, table->items[i],
                          !was_harmless (b, table->items[i]->part));
  for (size_t i = 0; i < table->count; i++)
    if (is_likely_cause (table->items[i]))
      bd_crash_summary_add_likely (b->summary, table->items[i]);
}

bool
bd_part_breakers_is_open (const struct bd_part_breakers *breakers,
                          uint64_t part)
{
  update_summary (breakers);
  return is_open (breakers, bd_breaker_table_find (breakers->table, part));
}

static bool
contains (const struct bd_part_list *parts, uint64_t part)
{
  for (size_t i = 0; i < parts->count; i++)
    if (parts->parts[i] == part)
      return true;
  return false;
}

bool
bd_part_breakers_explain (const struct bd_part_breakers *breakers,
                          const struct bd_part_list *parts, struct bd_id crash,
                          uint32_t count, bool harmless_before)
{
  const struct bd_crash_cause *cause;

  update_summary (breakers);
  cause = bd_crash_summary_find (breakers->summary, crash, false);
  if (!cause || contains (parts, cause->leader))
    return false;
  return cause->in_all.most_unknown >= count
         || bd_rivals_outweigh (&cause->in_all, count, harmless_before);
}

/* Returns the hold time after CRASHES in succession. */
static int64_t
base_hold_ms (const struct bd_breaker *breaker, uint32_t crashes)
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
held_from_ms (const struct bd_breaker *breaker)
{
  int64_t crashed_ms = bd_breaker_last_ms (breaker);

  return breaker->sole_ms > crashed_ms ? breaker->sole_ms : crashed_ms;
}

/* The open breakers of a request. */
struct open_parts
{
  uint32_t count;
  bool ambiguous; /* A part that it lacks may have caused their crashes. */
};

/* Returns the open breaker of part I, or NULL. */
static const struct bd_breaker *
open_breaker (const struct bd_part_breakers *b,
              const struct bd_part_list *parts, size_t i)
{
  const struct bd_breaker *breaker
      = bd_breaker_table_find (b->table, parts->parts[i]);

  return is_open (b, breaker) ? breaker : NULL;
}

/* Counts PARTS, those of a request that is looked at, as its own, or with
   CHANGE -1 no longer. */
static void
count_own (const struct bd_part_breakers *b, const struct bd_part_list *parts,
           int change)
{
  for (size_t i = 0; i < parts->count; i++)
    {
      const struct bd_breaker *breaker
          = bd_breaker_table_find (b->table, parts->parts[i]);

      if (breaker && is_likely_cause (breaker))
        bd_crash_summary_add_own (b->summary, breaker, change);
    }
}

/* Whether a part that the request lacks or another request may have caused
   CRASH, one of BREAKER. */
static bool
has_other_cause (const struct bd_part_breakers *b,
                 const struct bd_breaker *breaker, struct bd_id crash)
{
  const struct bd_crash_cause *cause
      = bd_crash_summary_find (b->summary, crash, false);

  if (cause && cause->likely > cause->own)
    return true;
  return b->requests
         && b->requests->ops->explain (b->requests, crash, breaker->list.count,
                                       true);
}

/* Whether the crashes of BREAKER for which there is no other cause may be
   chance. */
static bool
may_be_chance (const struct bd_part_breakers *b,
               const struct bd_breaker *breaker)
{
  struct bd_crash_list own = breaker->list;

  for (uint32_t i = own.count; i > 0; i--)
    if (has_other_cause (b, breaker, own.entries[i - 1].id))
      bd_crash_list_remove (&own, i - 1);
  return bd_crash_list_in_succession (&own) <= BD_PART_CHANCE_CRASHES
         && bd_crash_list_in_likely_succession (&own)
                <= BD_PART_CHANCE_CRASHES;
}

static struct open_parts
find_open (const struct bd_part_breakers *b, const struct bd_part_list *parts)
{
  struct open_parts open = { 0 };

  for (size_t i = 0; i < parts->count; i++)
    open.count += open_breaker (b, parts, i) != NULL;
  if (open.count == 0)
    return open;
  count_own (b, parts, 1);
  for (size_t i = 0; i < parts->count; i++)
    {
      const struct bd_breaker *breaker = open_breaker (b, parts, i);

      if (breaker && may_be_chance (b, breaker))
        open.ambiguous = true;
    }
  count_own (b, parts, -1);
  return open;
}

/* Returns how long an open breaker stays open for a request with OPEN parts.
   One that has all the parts that may be to blame waits for twice as long as
   one that lacks some of them. */
static int64_t
hold_ms (const struct bd_part_breakers *b, const struct bd_breaker *breaker,
         const struct open_parts *open)
{
  int64_t base_ms
      = open->ambiguous
            ? BD_PART_HOLD_MS
            : base_hold_ms (breaker,
                            bd_crash_list_in_succession (&breaker->list));
  uint64_t random = bd_random_mix (b->seed ^ (uint64_t)held_from_ms (breaker));

  return base_ms * (open->count > 1 && !open->ambiguous ? 2 : 1)
         + bd_random_below (&random, (uint32_t)base_ms / 2);
}

enum bd_breaker_state
bd_part_breakers_check (const struct bd_part_breakers *breakers,
                        int64_t now_ms, const struct bd_part_list *parts)
{
  struct open_parts open;

  update_summary (breakers);
  open = find_open (breakers, parts);
  for (size_t i = 0; i < parts->count && open.count > 0; i++)
    {
      const struct bd_breaker *breaker = open_breaker (breakers, parts, i);

      if (breaker
          && (now_ms - breaker->trial_ms < TRIAL_MS
              || now_ms - held_from_ms (breaker)
                     < hold_ms (breakers, breaker, &open)))
        return BD_BREAKER_OPEN;
    }
  return open.count > 0 ? BD_BREAKER_HALF_OPEN : BD_BREAKER_CLOSED;
}

void
bd_part_breakers_sent (struct bd_part_breakers *breakers, int64_t now_ms,
                       const struct bd_part_list *parts)
{
  update_summary (breakers);
  for (size_t i = 0; i < parts->count; i++)
    {
      struct bd_breaker *breaker
          = bd_breaker_table_find (breakers->table, parts->parts[i]);

      if (is_open (breakers, breaker))
        breaker->trial_ms = now_ms;
    }
}

void
bd_part_breakers_tick (struct bd_part_breakers *breakers, int64_t now_ms)
{
  for (size_t i = 0; i < breakers->table->count; i++)
    {
      struct bd_breaker *breaker = breakers->table->items[i];

      while (breaker->list.count > 0
             && now_ms - breaker->list.entries[0].at_ms >= BD_PART_KEEP_MS)
        {
          bd_crash_list_remove (&breaker->list, 0);
          bd_crash_summary_invalidate (breakers->summary);
        }
    }
  if (bd_breaker_table_expire (breakers->table, now_ms - BD_PART_KEEP_MS))
    bd_crash_summary_invalidate (breakers->summary);
}
