#include "retry/retry.h"

#include "common/random.h"

#include <math.h>

#define PERMILLE_PER_ATTEMPT 1000
#define DRAIN_RATE_TIME_CONSTANT_MS 5000.0
/** Shortest interval over which a rate is measured. */
#define DRAIN_RATE_MIN_INTERVAL_MS 100
/** Largest random addition to Retry-After, in thousandths of it. */
#define JITTER_PERMILLE 500

static uint32_t
add_saturated (uint32_t saved, uint32_t gain, uint32_t max_attempts)
{
  uint32_t max = max_attempts * PERMILLE_PER_ATTEMPT;

  return saved + gain < max ? saved + gain : max;
}

void
bd_retry_count_first (struct bd_retry_budget *budget)
{
  budget->balance_permille
      = add_saturated (budget->balance_permille, BD_RETRY_PER_FIRST_PERMILLE,
                       BD_RETRY_BALANCE_MAX);
  budget->hedge_balance_permille
      = add_saturated (budget->hedge_balance_permille, BD_RETRY_HEDGE_PERMILLE,
                       BD_RETRY_BALANCE_MAX);
}

bool
bd_retry_try_charge (struct bd_retry_budget *budget, enum bd_retry_kind kind,
                     bool idempotent, uint32_t attempts, enum bd_error error)
{
  bool hedge = kind == BD_RETRY_HEDGE;

  if (!idempotent || attempts >= BD_RETRY_ATTEMPTS_MAX)
    return false;
  if (!hedge && !bd_retry_may_succeed_elsewhere (error))
    return false;
  if (budget->balance_permille < PERMILLE_PER_ATTEMPT
      || (hedge && budget->hedge_balance_permille < PERMILLE_PER_ATTEMPT))
    return false;
  budget->balance_permille -= PERMILLE_PER_ATTEMPT;
  if (hedge)
    budget->hedge_balance_permille -= PERMILLE_PER_ATTEMPT;
  return true;
}

bool
bd_retry_may_succeed_elsewhere (enum bd_error error)
{
  switch (error)
    {
    case BD_ERR_NO_RUNNER:
    case BD_ERR_LEAVING:
    case BD_ERR_ENGINE:
    case BD_ERR_INCOMPLETE:
    case BD_ERR_FULL:
    case BD_ERR_TIMEOUT:
    case BD_ERR_IO:
    case BD_ERR_NOT_READY:
    case BD_ERR_NOMEM:
      return true;
    case BD_OK:
    case BD_ERR_INVALID:
    case BD_ERR_UNAUTHORIZED:
    case BD_ERR_FORBIDDEN:
    case BD_ERR_NOT_FOUND:
    case BD_ERR_TOO_LARGE:
    case BD_ERR_KEY_REQUIRED:
    case BD_ERR_KEY_INVALID:
    case BD_ERR_KEY_EXPIRED:
    case BD_ERR_KEY_ENDED:
    case BD_ERR_KEY_MISMATCH:
    case BD_ERR_ALREADY_RAN:
    case BD_ERR_OUTCOME_UNKNOWN:
    case BD_ERR_RATE_LIMITED:
    case BD_ERR_CONCURRENCY:
    case BD_ERR_OVERLOADED:
    case BD_ERR_DEADLINE:
    case BD_ERR_QUARANTINED:
    case BD_ERR_CANCELLED:
    case BD_ERR_STALE:
    case BD_ERR_PROTOCOL:
    case BD_ERR_SETTING:
    case BD_ERR_CONTRACT:
    case BD_ERR_HEAD_TOO_LARGE:
    case BD_ERR_SLOW_CALLER:
    case BD_ERR_SUSPENDED:
    case BD_ERR_ORIGIN_UNKNOWN:
    case BD_ERR_INTERNAL:
    case BD_ERR_LIMIT:
      break;
    }
  return false;
}

/** Returns RATE with the work since its last update smoothed in. */
static struct bd_drain_rate
update_drain_rate (const struct bd_drain_rate *rate, int64_t now_ms)
{
  struct bd_drain_rate next = *rate;
  double elapsed_ms = (double)(now_ms - rate->updated_ms);
  double weight;

  if (!rate->known || elapsed_ms < DRAIN_RATE_MIN_INTERVAL_MS)
    return next;
  weight = 1.0 - exp (-elapsed_ms / DRAIN_RATE_TIME_CONSTANT_MS);
  next.sum += weight * (rate->work * 1000.0 / elapsed_ms - rate->sum);
  next.weight += weight * (1.0 - rate->weight);
  next.work = 0.0;
  next.updated_ms = now_ms;
  return next;
}

void
bd_drain_rate_add (struct bd_drain_rate *rate, int64_t now_ms, uint64_t work)
{
  if (!rate->known)
    {
      rate->known = true;
      rate->updated_ms = now_ms;
    }
  *rate = update_drain_rate (rate, now_ms);
  rate->work += (double)work;
}

double
bd_drain_rate_per_s (const struct bd_drain_rate *rate, int64_t now_ms)
{
  struct bd_drain_rate now = update_drain_rate (rate, now_ms);

  return now.weight > 0.0 ? now.sum / now.weight : 0.0;
}

int32_t
bd_retry_after_ms (const struct bd_drain_rate *rate, int64_t now_ms,
                   uint64_t work_ahead, uint64_t *random)
{
  double per_s = bd_drain_rate_per_s (rate, now_ms);
  double max_ms = BD_RETRY_AFTER_MAX_MS * 1000.0 / (1000.0 + JITTER_PERMILLE);
  double jitter = 1.0 + bd_random_below (random, JITTER_PERMILLE + 1) / 1000.0;
  double wait_ms = max_ms;

  if (per_s > 0.0 || work_ahead == 0)
    wait_ms = work_ahead > 0 ? (double)work_ahead * 1000.0 / per_s : 0.0;
  wait_ms = fmax (fmin (wait_ms, max_ms), BD_RETRY_AFTER_MIN_MS);
  return (int32_t)(wait_ms * jitter);
}
