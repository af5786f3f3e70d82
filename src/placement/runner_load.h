/**
 * @file runner_load.h
 * Estimated load of a runner: the last report, weighted by its age, and the
 * change in the entry's own reservations since.
 */
#ifndef BD_RUNNER_LOAD_H
#define BD_RUNNER_LOAD_H

#include "placement/placement.h"

/** Zero-initialized: nothing reported, nothing reserved. */
struct bd_runner_load
{
  bool reported;
  struct bd_load_report load;
  int32_t outstanding;
  int32_t outstanding_at_report;
};

/** Averages over all runners, used in place of missing or old reports. */
struct bd_peer_load
{
  double token_time_us;
  double backlog; /**< Requests per slot. */
};

/** Records a report.  One older than the last is ignored. */
void bd_runner_load_report (struct bd_runner_load *runner,
                            const struct bd_load_report *load);

/** Counts a reservation of this entry (+1) or its end (-1). */
void bd_runner_load_count_reservation (struct bd_runner_load *runner,
                                       int delta);

/** Returns the reported requests per slot that a request of TIER waits for. */
double bd_runner_load_reported (const struct bd_runner_load *runner,
                                uint8_t tier);

/** Returns the estimated requests per slot at NOW_MS. */
double bd_runner_load_backlog (const struct bd_runner_load *runner,
                               const struct bd_peer_load *peers,
                               int64_t now_ms, uint8_t tier);

/** Returns the estimated time per token at NOW_MS, in microseconds. */
double bd_runner_load_token_time_us (const struct bd_runner_load *runner,
                                     const struct bd_peer_load *peers,
                                     int64_t now_ms);

/** Returns the slots of the runner, at least 1. */
double bd_runner_load_slots (const struct bd_runner_load *runner);

#endif
