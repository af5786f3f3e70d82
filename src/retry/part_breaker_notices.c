/* What instances tell each other of parts that crash runners. */
#include "retry/part_breaker_internal.h"

#include "retry/harmless_parts.h"

/* A peer that tells of a crash under a part that was seen to be harmless here
   may not know that, and is told. */
static void
answer_crash (const struct bd_part_breakers *b, struct bd_breaker *breaker,
              const struct bd_crash_entry *crash)
{
  const struct bd_harmless_part *harmless
      = bd_harmless_parts_find (b->harmless, breaker->part);

  if (harmless && harmless->at_ms > breaker->harmless_ms)
    breaker->harmless_ms = harmless->at_ms;
  if ((harmless || crash->at_ms <= breaker->harmless_ms)
      && breaker->harmless_sends_left == 0)
    breaker->harmless_sends_left = 1;
}

static bool
apply_crash (const struct bd_part_breakers *b, struct bd_breaker *breaker,
             int64_t now_ms, const struct bd_part_notice *notice)
{
  struct bd_crash_entry crash = { .id = notice->crash,
                                  .other = notice->other,
                                  .sent_ms = now_ms - notice->sent_age_ms,
                                  .heard_ms = now_ms - notice->heard_age_ms,
                                  .at_ms = now_ms - notice->age_ms };

  bool is_new = !bd_crash_list_has (&breaker->list, crash.id);

  if (is_new)
    answer_crash (b, breaker, &crash);
  return bd_breaker_add_crash (breaker, &crash);
}

static bool
apply_harmless (struct bd_part_breakers *b, struct bd_breaker *breaker,
                int64_t at_ms)
{
  bd_harmless_parts_record (b->harmless, breaker->part, at_ms);
  return bd_part_breakers_set_harmless (b, breaker, at_ms);
}

bool
bd_part_breakers_apply (struct bd_part_breakers *breakers, int64_t now_ms,
                        const struct bd_part_notice *notice)
{
  struct bd_breaker *breaker;

  if (notice->age_ms < 0 || notice->age_ms >= BD_PART_KEEP_MS
      || notice->sent_age_ms < 0 || notice->sent_age_ms >= BD_PART_KEEP_MS
      || notice->heard_age_ms < 0 || notice->heard_age_ms >= BD_PART_KEEP_MS)
    return false;
  breaker = bd_breaker_table_get (breakers->table, notice->part);
  if (!breaker)
    return false;
  bd_crash_summary_invalidate (breakers->summary);
  return notice->harmless
             ? apply_harmless (breakers, breaker, now_ms - notice->age_ms)
             : apply_crash (breakers, breaker, now_ms, notice);
}

static struct bd_part_notice
crash_notice (const struct bd_breaker *breaker,
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
append_notices_of (struct bd_breaker *breaker, int64_t now_ms,
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
    for (size_t i = 0; i < breakers->table->count && count < max; i++)
      if ((breakers->table->items[i]->list.count > 1) == (pass == 0))
        count += append_notices_of (breakers->table->items[i], now_ms,
                                    notices + count, max - count);
  return count;
}

size_t
bd_part_breakers_list (const struct bd_part_breakers *breakers, int64_t now_ms,
                       size_t *cursor, struct bd_part_notice *notices,
                       size_t max)
{
  size_t count = 0;

  for (; *cursor < breakers->table->count; ++*cursor)
    {
      const struct bd_breaker *breaker = breakers->table->items[*cursor];

      if (breaker->list.count > max - count)
        return count;
      for (uint32_t i = 0; i < breaker->list.count; i++)
        notices[count++]
            = crash_notice (breaker, &breaker->list.entries[i], now_ms);
    }
  *cursor = 0;
  return count;
}
