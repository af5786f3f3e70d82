/**
 * @file retry.h
 * Retry policy: a budget for retries and hedges, the errors that are worth a
 * retry at another runner, and Retry-After values from the rate at which a
 * queue drains.
 */
#ifndef BD_RETRY_H
#define BD_RETRY_H

#include "basildock.h"

/** Budget gained by a first attempt, in thousandths of an attempt. */
#define BD_RETRY_PER_FIRST_PERMILLE 80
/**
 * Part of the gain that hedges may use.  It is the smaller part, because
 * hedges only save latency while retries save the request.
 */
#define BD_RETRY_HEDGE_PERMILLE 30
/** Largest balance of the budget, in attempts. */
#define BD_RETRY_BALANCE_MAX 5
/** Most attempts of one request, hedges included. */
#define BD_RETRY_ATTEMPTS_MAX 3

/** Least and greatest Retry-After, in milliseconds. */
#define BD_RETRY_AFTER_MIN_MS 1000
#define BD_RETRY_AFTER_MAX_MS 60000

enum bd_retry_kind
{
  BD_RETRY_AFTER_ERROR = 0,
  BD_RETRY_HEDGE /**< A second attempt beside a slow first one. */
};

/**
 * Retry budget of one entry.  It starts empty and is filled only by first
 * attempts: whatever fails, any N consecutive requests make at most 1.08 N + 5
 * attempts, which is within 1.1 N for N >= 250, and at most 0.03 N + 5 hedges.
 * Zero-initialized.
 */
struct bd_retry_budget
{
  uint32_t balance_permille; /**< Balance, in thousandths of an attempt. */
  uint32_t hedge_balance_permille; /**< Part of the balance that hedges may
                                       use. */
};

/** Adds the gain of a first attempt. */
void bd_retry_count_first (struct bd_retry_budget *budget);

/**
 * Requests a further attempt of a request after ATTEMPTS attempts.  Returns
 * true, and charges the budget, if the request is IDEMPOTENT, ERROR (BD_OK for
 * a hedge) may not recur at another runner and the balance suffices.
 */
bool bd_retry_try_charge (struct bd_retry_budget *budget,
                          enum bd_retry_kind kind, bool idempotent,
                          uint32_t attempts, enum bd_error error);

/**
 * Tells whether a request may succeed at another runner after ERROR.  False
 * for refusals that would recur (limits, keys, malformed or quarantined
 * requests, a queue full of work of higher priority), for errors of unknown
 * kind and for requests that have ended (deadline, cancelled).
 */
bool bd_retry_may_succeed_elsewhere (enum bd_error error);

/** Smoothed rate at which work leaves a queue.  Zero-initialized. */
struct bd_drain_rate
{
  double sum;    /**< Weighted sum of rates, in tokens a second. */
  double weight; /**< Sum of the weights, up to 1. */
  double work;   /**< Tokens that left since the last update. */
  int64_t updated_ms;
  bool known;
};

/** Records that WORK tokens left the queue. */
void bd_drain_rate_add (struct bd_drain_rate *rate, int64_t now_ms,
                        uint64_t work);

/** Returns the rate at NOW_MS, in tokens per second; falls while idle. */
double bd_drain_rate_per_s (const struct bd_drain_rate *rate, int64_t now_ms);

/**
 * Returns the expected time until WORK_AHEAD tokens have left the queue,
 * from BD_RETRY_AFTER_MIN_MS to BD_RETRY_AFTER_MAX_MS.  Up to a half is added
 * at random, so that callers do not retry at the same time.  Without a drain
 * rate the value is near BD_RETRY_AFTER_MAX_MS.
 */
int32_t bd_retry_after_ms (const struct bd_drain_rate *rate, int64_t now_ms,
                           uint64_t work_ahead, uint64_t *random);

#endif
