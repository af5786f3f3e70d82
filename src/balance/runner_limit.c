#include "balance/runner_limit.h"

#include "common/log.h"

static uint32_t
clamp_rate (int64_t rate)
{
  if (rate < BD_RUNNER_LIMIT_RATE_MIN)
    return BD_RUNNER_LIMIT_RATE_MIN;
  if (rate > BD_RUNNER_LIMIT_RATE_MAX)
    return BD_RUNNER_LIMIT_RATE_MAX;
  return (uint32_t)rate;
}

static void
set_rate (struct bd_target *target, uint32_t rate)
{
  if (rate == target->limit.rate)
    return;
  bd_log (BD_EVENT_TARGET_LIMIT,
          "runner=%s service=%s from_per_1000_s=%u to_per_1000_s=%u",
          target->id.data, target->service.data, target->limit.rate, rate);
  target->limit.rate = rate;
}

void
bd_runner_limit_named (struct bd_target *target, int64_t started_ms,
                       int64_t now_ms, int64_t rate)
{
  if (started_ms != target->started_ms)
    return;
  set_rate (target, clamp_rate (rate));
  target->limit.heard_ms = now_ms;
  target->limit.heard_here = true;
}

void
bd_runner_limit_absent (struct bd_target *target, int64_t started_ms,
                        int64_t now_ms, int64_t sent_ms)
{
  if (started_ms != target->started_ms || target->limit.rate == 0
      || sent_ms <= target->limit.heard_ms)
    return;
  set_rate (target, 0);
  target->limit.heard_ms = now_ms;
  target->limit.heard_here = true;
}
