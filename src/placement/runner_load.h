/**
 * @file runner_load.h
 * What an entry believes of a runner's load: the last report, weighed with
 * its age, and the change in the entry's own asks since.
 */
#ifndef BD_RUNNER_LOAD_H
#define BD_RUNNER_LOAD_H

#include "placement/placement.h"

/** Zero is a valid start: nothing reported, nothing asked. */
struct bd_runner_load
{
  bool reported;
  struct bd_load load;
  int32_t outstanding;
  int32_t outstanding_at_report;
};

/** Averages over the peers, which take the place of what is not known. */
struct bd_peer_load
{
  double token_time_us;
  double backlog; /**< Requests per slot. */
};

/** Takes in a report; one older than the last is ignored. */
void bd_runner_load_report (struct bd_runner_load *runner,
                            const struct bd_load *load);

/** Counts an ask of this entry (+1) or its end (-1). */
void bd_runner_load_count_reservation (struct bd_runner_load *runner,
                                       int delta);

/** Requests per slot as reported, those that tier TIER waits for. */
double bd_runner_load_reported (const struct bd_runner_load *runner,
                                uint8_t tier);

/** Requests per slot as believed at NOW_MS. */
double bd_runner_load_backlog (const struct bd_runner_load *runner,
                               const struct bd_peer_load *peers,
                               int64_t now_ms, uint8_t tier);

/** Time per token as believed at NOW_MS, in microseconds. */
double bd_runner_load_token_time_us (const struct bd_runner_load *runner,
                                     const struct bd_peer_load *peers,
                                     int64_t now_ms);

/** Slots of the runner, at least 1. */
double bd_runner_load_slots (const struct bd_runner_load *runner);

#endif
