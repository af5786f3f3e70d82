/**
 * @file departure.h
 * Remembers which processes of runners have left, for a while and up to a
 * number of them.
 */
#ifndef BD_DEPARTURE_H
#define BD_DEPARTURE_H

#include "balance/target.h"

/** How long a departure is remembered. */
#define BD_DEPARTURE_MS 60000

/** Most departures that are remembered; later ones replace the oldest. */
#define BD_DEPARTURES_MAX 256

struct bd_departure
{
  uint64_t runner;    /**< Hash of the runner's identifier. */
  int64_t started_ms; /**< Start of the process. */
  int64_t departed_ms;
};

/** Empty when zero-initialized. */
struct bd_departures
{
  struct bd_departure items[BD_DEPARTURES_MAX];
  size_t count; /**< All departures ever. */
};

/** The process of RUNNER that started at STARTED_MS has left. */
void bd_departures_record (struct bd_departures *departures, int64_t now_ms,
                           uint64_t runner, int64_t started_ms);

/**
 * Whether the process of RUNNER that started at STARTED_MS, or a later one,
 * has left.
 */
bool bd_departures_contain (const struct bd_departures *departures,
                            int64_t now_ms, uint64_t runner,
                            int64_t started_ms);

/** Whether TARGET is known to leave or to have left, and ENTRY tells of no
    later process. */
bool bd_departure_is_known (const struct bd_target *target,
                            const struct bd_target_entry *entry);

/**
 * Whether an announced leave, a pause, a rate limit or a deletion still has to
 * be kept for a runner that is gone: its entry may come back while the process
 * lives.
 */
bool bd_departure_is_open (const struct bd_target *target, int64_t now_ms);

#endif
