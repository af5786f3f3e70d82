/**
 * @file runner_limit.h
 * Limits on the requests that a runner gets in a second from all instances
 * together.  A runner in need names its limit in its responses, and it holds
 * until a response does not name it any more.  A runner that warms up has the
 * limit of its service meanwhile.  The lower one counts.
 *
 * The coordinator of a runner keeps the limit for all instances, with a token
 * bucket.  An instance that has to place a request without the coordinator
 * sends at most an equal share of the rate, and saves none of it up while the
 * coordinator answers: all shares may be spent at the same time.
 */
#ifndef BD_RUNNER_LIMIT_H
#define BD_RUNNER_LIMIT_H

#include "balance/target.h"

/**
 * Lowest rate that is kept, in thousandths of a request per second.  A runner
 * that named less would hardly ever be asked again, and so could not end its
 * limit.
 */
#define BD_RUNNER_LIMIT_RATE_MIN 100
#define BD_RUNNER_LIMIT_RATE_MAX 1000000000

/** Longest time after which a caller is told to retry at limited runners. */
#define BD_RUNNER_LIMIT_TURN_MAX_MS 10000

/** What this instance may send to limited runners without a coordinator. */
struct bd_runner_limit_share
{
  uint32_t instances; /**< Live instances, this one included; 0 counts as 1. */
  int64_t since_ms;   /**< When a coordinator answered last. */
};

/**
 * Records that the process of TARGET that started at STARTED_MS named RATE, in
 * thousandths of a request per second, in a response to this instance.
 */
void bd_runner_limit_named (struct bd_target *target, int64_t started_ms,
                            int64_t now_ms, int64_t rate);

/**
 * Records that a response named no limit.  This ends the limit unless the
 * request was sent (SENT_MS) before the limit was named last.
 */
void bd_runner_limit_absent (struct bd_target *target, int64_t started_ms,
                             int64_t now_ms, int64_t sent_ms);

/**
 * Records what a peer knows: the limit as of HEARD_MS, RATE 0 for its end.
 * Ignored unless it is newer than what is known here.
 */
void bd_runner_limit_heard (struct bd_target *target, int64_t started_ms,
                            int64_t now_ms, int64_t heard_ms, int64_t rate);

/**
 * Returns the limit of TARGET at NOW_MS, in thousandths of a request per
 * second; 0: it has none.
 */
uint32_t bd_runner_limit_rate (const struct bd_target *target, int64_t now_ms);

/**
 * This instance begins to coordinate TARGET, or TARGET begins to warm up:
 * nothing is saved up.
 */
void bd_runner_limit_begin (struct bd_target *target, int64_t now_ms);

/**
 * Whether TARGET may get a request now: from any instance as far as its
 * coordinator, which SHARE is NULL for, knows, or from this instance alone.
 */
bool bd_runner_limit_allows (const struct bd_target *target, int64_t now_ms,
                             const struct bd_runner_limit_share *share);

/** A request goes to TARGET, as allowed before. */
void bd_runner_limit_take (struct bd_target *target, int64_t now_ms,
                           const struct bd_runner_limit_share *share);

/** Another instance has placed a request at TARGET by itself. */
void bd_runner_limit_debit (struct bd_target *target, int64_t now_ms);

/**
 * Returns the time in milliseconds after which a caller should retry whose
 * request no runner of TARGETS may get; 0: no usable runner is limited.  Each
 * call reserves the time of one request, so that callers do not return all at
 * once.
 */
int64_t bd_runner_limit_next_turn_ms (struct bd_target *const *targets,
                                      size_t count, int64_t now_ms);

#endif
