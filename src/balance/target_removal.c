/* Runners whose entries are deleted, and outages of the store, by which
   entries are missing for a while. */
#include "balance/target_internal.h"

void
bd_target_set_gone (struct bd_targets *targets, struct bd_target *target,
                    int64_t now_ms)
{
  if (target->state != BD_TARGET_GONE)
    {
      bd_departures_record (&targets->departures, now_ms, target->hash,
                            target->started_ms);
      bd_targets_record_ended (targets, target->service, target->software.hash,
                               now_ms);
    }
  bd_target_set_state (targets, target, BD_TARGET_GONE, target->revision);
}

static void
set_lapsed (struct bd_targets *targets, struct bd_target *target,
            int64_t end_ms)
{
  target->lapse_until_ms = end_ms;
  bd_target_set_state (targets, target, BD_TARGET_LAPSED, target->revision);
}

/* Handles that the entry of TARGET, a ready runner, was deleted. */
static void
handle_ready_removed (struct bd_targets *targets, int64_t now_ms,
                      struct bd_target *target)
{
  bool together = bd_lapse_count_deleted (&targets->lapse, target, now_ms);
  int64_t end_ms = bd_lapse_end_ms (&targets->lapse, now_ms);

  if (end_ms <= now_ms)
    bd_target_set_gone (targets, target, now_ms);
  else
    set_lapsed (targets, target, end_ms);
  for (size_t i = 0; together && i < targets->count; i++)
    if (targets->all[i]->deleted_in_doubt)
      set_lapsed (targets, targets->all[i], end_ms);
}

static void
handle_entry_removed (struct bd_targets *targets, int64_t now_ms,
                      struct bd_target *target, uint64_t revision)
{
  target->revision = revision;
  target->distrusted = false;
  if (target->state == BD_TARGET_READY)
    handle_ready_removed (targets, now_ms, target);
  else if (target->state != BD_TARGET_LAPSED
           || bd_lapse_end_ms (&targets->lapse, now_ms) <= now_ms)
    bd_target_set_gone (targets, target, now_ms);
}

void
bd_targets_remove (struct bd_targets *targets, int64_t now_ms,
                   struct bd_chunk id, uint64_t revision)
{
  struct bd_target *target = bd_targets_find (targets, id);

  if (target && revision >= target->revision)
    handle_entry_removed (targets, now_ms, target, revision);
}

void
bd_targets_list_begin (struct bd_targets *targets)
{
  for (size_t i = 0; i < targets->count; i++)
    ((struct listed_target *)targets->all[i])->listed = false;
  bd_evacuations_list_begin (&targets->evacuations);
}

void
bd_targets_list_end (struct bd_targets *targets, int64_t now_ms,
                     uint64_t revision)
{
  for (size_t i = 0; i < targets->count; i++)
    {
      struct bd_target *target = targets->all[i];

      if (!((struct listed_target *)target)->listed
          && target->revision <= revision)
        handle_entry_removed (targets, now_ms, target, revision);
    }
  bd_evacuations_list_end (&targets->evacuations, revision,
                           now_ms < targets->distrust_until_ms
                               ? targets->distrust_until_ms
                               : now_ms);
  if (targets->first_list_ms == 0)
    targets->first_list_ms = now_ms;
}

void
bd_targets_set_store_lost (struct bd_targets *targets)
{
  targets->lapse.store_lost = true;
}

void
bd_targets_set_store_available (struct bd_targets *targets, int64_t now_ms,
                                enum bd_outage_verdict outage)
{
  bd_lapse_end_outage (&targets->lapse, targets->all, targets->count, now_ms,
                       outage);
}

bool
bd_targets_store_is_lost (const struct bd_targets *targets)
{
  return targets->lapse.store_lost;
}
