#include "balance/runner_limit.h"

#include "common/log.h"
#include "common/token_bucket.h"

#include <math.h>

#define RATE_UNIT_MS INT64_C (1000000)
/* Capacity of a bucket, as the time that it takes to fill, and the smallest:
   one request. */
#define BURST_MS 500
#define CAPACITY_MIN 1.0
#define WHOLE 1.0

/* Knowledge of limits. */

static uint32_t
clamp_rate (int64_t rate)
{
  if (rate < BD_RUNNER_LIMIT_RATE_MIN)
    return BD_RUNNER_LIMIT_RATE_MIN;
  if (rate > BD_RUNNER_LIMIT_RATE_MAX)
    return BD_RUNNER_LIMIT_RATE_MAX;
  return (uint32_t)rate;
}

uint32_t
bd_runner_limit_rate (const struct bd_target *target, int64_t now_ms)
{
  uint32_t rate = target->limit.rate;

  if (target->cold_rate == 0 || now_ms >= target->warmup_until_ms
      || (rate != 0 && rate < target->cold_rate))
    return rate;
  return target->cold_rate;
}

/* Returns the bucket of TARGET as of NOW_MS, at its present rate. */
static struct bd_token_bucket
bucket_at (const struct bd_target *target, int64_t now_ms)
{
  const struct bd_target_limit *limit = &target->limit;
  struct bd_token_bucket bucket
      = { .limit_per_s = bd_runner_limit_rate (target, now_ms) / 1000.0,
          .level = limit->level,
          .burst_ms = BURST_MS,
          .min_capacity = CAPACITY_MIN };
  int64_t elapsed_ms = now_ms - limit->level_ms;

  bd_token_bucket_refill (&bucket, WHOLE,
                          elapsed_ms > 0 ? (double)elapsed_ms : 0.0);
  return bucket;
}

/* Keeps the level of the bucket before the rate changes or is used. */
static void
keep_level (struct bd_target *target, int64_t now_ms, double level)
{
  target->limit.level = level;
  target->limit.level_ms = now_ms;
}

static void
set_rate (struct bd_target *target, int64_t now_ms, uint32_t rate)
{
  struct bd_target_limit *limit = &target->limit;

  if (rate == limit->rate)
    return;
  bd_log (BD_EVENT_TARGET_LIMIT, "runner=%s service=%s from=%u to=%u",
          target->id.data, target->service.data, limit->rate, rate);
  if (bd_runner_limit_rate (target, now_ms) == 0)
    {
      bd_runner_limit_begin (target, now_ms);
      limit->next_turn_ms = 0;
    }
  else
    keep_level (target, now_ms, bucket_at (target, now_ms).level);
  limit->rate = rate;
}

void
bd_runner_limit_named (struct bd_target *target, int64_t started_ms,
                       int64_t now_ms, int64_t rate)
{
  if (started_ms != target->started_ms)
    return;
  set_rate (target, now_ms, clamp_rate (rate));
  target->limit.heard_ms = now_ms;
}

void
bd_runner_limit_absent (struct bd_target *target, int64_t started_ms,
                        int64_t now_ms, int64_t sent_ms)
{
  if (started_ms != target->started_ms || target->limit.rate == 0
      || sent_ms <= target->limit.heard_ms)
    return;
  set_rate (target, now_ms, 0);
  target->limit.heard_ms = now_ms;
}

void
bd_runner_limit_heard (struct bd_target *target, int64_t started_ms,
                       int64_t now_ms, int64_t heard_ms, int64_t rate)
{
  if (started_ms != target->started_ms || heard_ms <= target->limit.heard_ms)
    return;
  set_rate (target, now_ms, rate == 0 ? 0 : clamp_rate (rate));
  target->limit.heard_ms = heard_ms;
}

/* Keeping limits. */

void
bd_runner_limit_begin (struct bd_target *target, int64_t now_ms)
{
  keep_level (target, now_ms, 0.0);
  target->limit.share_ms = now_ms;
}

/* Returns the time between two requests at 1/PARTS of RATE. */
static int64_t
interval_ms (uint32_t rate, uint32_t parts)
{
  return (int64_t)(parts > 0 ? parts : 1) * RATE_UNIT_MS / rate;
}

bool
bd_runner_limit_allows (const struct bd_target *target, int64_t now_ms,
                        const struct bd_runner_limit_share *share)
{
  uint32_t rate = bd_runner_limit_rate (target, now_ms);
  int64_t since_ms = target->limit.share_ms;
  struct bd_token_bucket bucket;

  if (rate == 0)
    return true;
  if (!share)
    {
      bucket = bucket_at (target, now_ms);
      return bd_token_bucket_wait_ms (&bucket, WHOLE, 1.0) == 0.0;
    }
  if (share->since_ms > since_ms)
    since_ms = share->since_ms;
  return now_ms - since_ms >= interval_ms (rate, share->instances);
}

static void
take_token (struct bd_target *target, int64_t now_ms)
{
  struct bd_token_bucket bucket = bucket_at (target, now_ms);

  keep_level (
      target, now_ms,
      fmax (bucket.level - 1.0, -bd_token_bucket_capacity (&bucket, WHOLE)));
}

void
bd_runner_limit_take (struct bd_target *target, int64_t now_ms,
                      const struct bd_runner_limit_share *share)
{
  if (bd_runner_limit_rate (target, now_ms) == 0)
    return;
  if (share)
    target->limit.share_ms = now_ms;
  else
    take_token (target, now_ms);
}

void
bd_runner_limit_debit (struct bd_target *target, int64_t now_ms)
{
  if (bd_runner_limit_rate (target, now_ms) != 0)
    take_token (target, now_ms);
}

/* Returns when the next caller may be told to return to TARGET. */
static int64_t
next_turn (const struct bd_target *target, int64_t now_ms)
{
  struct bd_token_bucket bucket = bucket_at (target, now_ms);
  int64_t free_ms
      = now_ms + (int64_t)bd_token_bucket_wait_ms (&bucket, WHOLE, 1.0);

  return free_ms > target->limit.next_turn_ms ? free_ms
                                              : target->limit.next_turn_ms;
}

int64_t
bd_runner_limit_next_turn_ms (struct bd_target *const *targets, size_t count,
                              int64_t now_ms)
{
  struct bd_target *first = NULL;
  int64_t turn_ms;

  for (size_t i = 0; i < count; i++)
    if (bd_runner_limit_rate (targets[i], now_ms) != 0
        && bd_target_usable (targets[i])
        && (!first
            || next_turn (targets[i], now_ms) < next_turn (first, now_ms)))
      first = targets[i];
  if (!first)
    return 0;
  turn_ms = next_turn (first, now_ms);
  if (turn_ms - now_ms >= BD_RUNNER_LIMIT_TURN_MAX_MS)
    return BD_RUNNER_LIMIT_TURN_MAX_MS;
  first->limit.next_turn_ms
      = turn_ms + interval_ms (bd_runner_limit_rate (first, now_ms), 1);
  return turn_ms > now_ms ? turn_ms - now_ms : 1;
}
