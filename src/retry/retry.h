/**
 * @file retry.h
 * When a request may be tried again elsewhere, and when its caller may come
 * back: a budget for retries and hedges, the kinds of errors that another
 * runner can mend, and Retry-After from the rate at which a queue drains.
 */
#ifndef BD_RETRY_H
#define BD_RETRY_H

#include "basildock.h"

/** What a first attempt adds to the budget, in thousandths of an attempt. */
#define BD_RETRY_PER_FIRST_PERMILLE 80
/** Part of it that hedges may use; they serve speed, retries completion. */
#define BD_RETRY_HEDGE_PERMILLE 30
/** Most that is saved up, in attempts. */
#define BD_RETRY_SAVED_MAX 5
/** Most attempts of one request, hedges included. */
#define BD_RETRY_ATTEMPTS_MAX 3

/** Bounds of Retry-After, in milliseconds. */
#define BD_RETRY_AFTER_MIN_MS 1000
#define BD_RETRY_AFTER_MAX_MS 60000

enum bd_retry_kind
{
  BD_RETRY_AFTER_ERROR = 0,
  BD_RETRY_HEDGE /**< A second attempt beside a slow first one. */
};

/**
 * The budget of one entry.  It starts empty and gains only by first attempts:
 * whatever fails, any N requests in a row make at most 1.08 N + 5 attempts,
 * which is within 1.1 N from N = 250 on, and at most 0.03 N + 5 hedges.  Zero
 * is a valid start.
 */
struct bd_retry_budget
{
  uint32_t saved_permille;       /**< Thousandths of an attempt. */
  uint32_t saved_hedge_permille; /**< Of these, for hedges. */
};

/** A first attempt is made. */
void bd_retry_first (struct bd_retry_budget *budget);

/**
 * Asks for one more attempt of a request of which ATTEMPTS were made.
 * Returns true, and charges the budget, when the request is IDEMPOTENT, ERROR
 * (BD_OK for a hedge) may be mended elsewhere and the budget allows.
 */
bool bd_retry_take (struct bd_retry_budget *budget, enum bd_retry_kind kind,
                    bool idempotent, uint32_t attempts, enum bd_error error);

/**
 * Whether another runner may do better after ERROR.  False for refusals that
 * would recur (limits, keys, malformed or quarantined requests, a queue that
 * is full of work that goes first), for errors of unknown kind and for
 * requests that are over (deadline, cancelled).
 */
bool bd_retry_elsewhere (enum bd_error error);

/** How fast work leaves a queue, smoothed.  Zero is a valid start. */
struct bd_drain_rate
{
  double sum;    /**< Weighted sum of rates, in tokens a second. */
  double weight; /**< Sum of the weights, up to 1. */
  double work;   /**< Left since the last update, in tokens. */
  int64_t updated_ms;
  bool known;
};

/** WORK tokens left the queue. */
void bd_drain_rate_add (struct bd_drain_rate *rate, int64_t now_ms,
                        uint64_t work);

/** Tokens a second, as of NOW_MS; falls while nothing leaves. */
double bd_drain_rate_per_s (const struct bd_drain_rate *rate, int64_t now_ms);

/**
 * Time after which WORK_AHEAD tokens will have left the queue, with up to a
 * half more at random so that callers do not return together, within the
 * bounds above.  BD_RETRY_AFTER_MAX_MS at most when nothing drains.
 */
int32_t bd_retry_after_ms (const struct bd_drain_rate *rate, int64_t now_ms,
                           uint64_t work_ahead, uint64_t *random);

#endif
