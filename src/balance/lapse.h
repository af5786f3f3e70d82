/**
 * @file lapse.h
 * Runners whose entries are deleted around an outage of the store: an entry
 * that expired by it comes back soon after, so its runner is used on; one that
 * was removed as its runner leaves does not.
 */
#ifndef BD_LAPSE_H
#define BD_LAPSE_H

#include "balance/outage.h"
#include "balance/target.h"

/** Zero-initialized, the store has always been available. */
struct bd_lapse
{
  bool store_lost;
  /** Until then, entries that are deleted have lapsed: after a long outage,
      and after a short one. */
  int64_t until_ms;
  int64_t short_until_ms;
  /** Until then, they have lapsed if most of the ready runners' entries are
      deleted. */
  int64_t doubt_until_ms;
  size_t ready_count; /**< Ready runners when that time began. */
  size_t deleted_count;
};

/**
 * The store is available again after OUTAGE.  Sets when the lapsed ones of the
 * COUNT targets of ALL are gone.
 */
void bd_lapse_end_outage (struct bd_lapse *lapse, struct bd_target *const *all,
                          size_t count, int64_t now_ms,
                          enum bd_outage_verdict outage);

/** All entries are read anew, and some that are missing may come back. */
void bd_lapse_begin (struct bd_lapse *lapse, int64_t now_ms);

/**
 * Returns until when a runner whose entry is deleted now is used on; NOW_MS:
 * not at all; INT64_MAX: until some time after the store is available.
 */
int64_t bd_lapse_end_ms (const struct bd_lapse *lapse, int64_t now_ms);

/**
 * Counts that the entry of TARGET, a ready runner, is deleted.  Returns
 * whether these are most by now, so that the ones deleted before have lapsed
 * after all: those with deleted_in_doubt set.
 */
bool bd_lapse_count_deleted (struct bd_lapse *lapse, struct bd_target *target,
                             int64_t now_ms);

#endif
