#include "balance/lapse.h"

void
bd_lapse_begin (struct bd_lapse *lapse, int64_t now_ms)
{
  lapse->until_ms = now_ms + BD_TARGET_LAPSE_MS;
}

/* Begins a time in which entries that are deleted together have lapsed. */
static void
begin_doubt (struct bd_lapse *lapse, struct bd_target *const *all,
             size_t count, int64_t now_ms)
{
  if (now_ms >= lapse->doubt_until_ms)
    {
      lapse->deleted_count = 0;
      lapse->ready_count = 0;
      for (size_t i = 0; i < count; i++)
        {
          all[i]->deleted_in_doubt = false;
          lapse->ready_count += all[i]->state == BD_TARGET_READY;
        }
    }
  lapse->doubt_until_ms = now_ms + BD_TARGET_LAPSE_MS;
}

void
bd_lapse_end_outage (struct bd_lapse *lapse, struct bd_target *const *all,
                     size_t count, int64_t now_ms,
                     enum bd_outage_verdict outage)
{
  lapse->store_lost = false;
  if (outage == BD_OUTAGE_NONE)
    return;
  begin_doubt (lapse, all, count, now_ms);
  if (outage >= BD_OUTAGE_SHORT)
    lapse->short_until_ms = now_ms + BD_TARGET_SHORT_LAPSE_MS;
  if (outage == BD_OUTAGE_LONG)
    lapse->until_ms = now_ms + BD_TARGET_LAPSE_MS;
  for (size_t i = 0; i < count; i++)
    if (all[i]->state == BD_TARGET_LAPSED
        && (outage == BD_OUTAGE_LONG || all[i]->lapse_until_ms == INT64_MAX))
      all[i]->lapse_until_ms = bd_lapse_end_ms (lapse, now_ms);
}

int64_t
bd_lapse_end_ms (const struct bd_lapse *lapse, int64_t now_ms)
{
  if (lapse->store_lost)
    return INT64_MAX;
  if (now_ms < lapse->until_ms)
    return lapse->until_ms;
  return now_ms < lapse->short_until_ms ? now_ms + BD_TARGET_SHORT_LAPSE_MS
                                        : now_ms;
}

bool
bd_lapse_count_deleted (struct bd_lapse *lapse, struct bd_target *target,
                        int64_t now_ms)
{
  if (now_ms >= lapse->doubt_until_ms)
    return false;
  target->deleted_in_doubt = true;
  if (++lapse->deleted_count != lapse->ready_count / 2 + 1)
    return false;
  if (lapse->until_ms < lapse->doubt_until_ms)
    lapse->until_ms = lapse->doubt_until_ms;
  return true;
}
