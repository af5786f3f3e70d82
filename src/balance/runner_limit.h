/**
 * @file runner_limit.h
 * Rate limits that runners ask for: a runner in need names in its responses
 * how many requests it takes in a second from all instances together.  The
 * limit holds until a response does not name it any more.
 */
#ifndef BD_RUNNER_LIMIT_H
#define BD_RUNNER_LIMIT_H

#include "balance/target.h"

/**
 * Lowest rate that is kept, in requests in 1000 s.  A runner that named less
 * would hardly ever be asked again, and so could not end its limit.
 */
#define BD_RUNNER_LIMIT_RATE_MIN 100
#define BD_RUNNER_LIMIT_RATE_MAX (1000 * 1000 * 1000)

/**
 * Records that the process of TARGET that started at STARTED_MS named RATE, in
 * requests in 1000 s, in a response to this instance.
 */
void bd_runner_limit_named (struct bd_target *target, int64_t started_ms,
                            int64_t now_ms, int64_t rate);

/**
 * Records that a response named no limit.  This ends the limit unless the
 * request was sent (SENT_MS) before the limit was named last.
 */
void bd_runner_limit_absent (struct bd_target *target, int64_t started_ms,
                             int64_t now_ms, int64_t sent_ms);

#endif
