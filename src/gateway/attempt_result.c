#include "gateway/forward_internal.h"

#include "common/clock.h"
#include "common/log.h"

#include <inttypes.h>

/* Interval at which a request that waits for the retry budget asks again, and
   most requests of an instance that wait. */
#define BUDGET_CHECK_MS 50
#define BUDGET_WAITERS_MAX 64

void
bd_forward_record_target_result (struct bd_forwarder *forwarder,
                                 struct bd_target *target,
                                 enum bd_outlier_result result)
{
  bd_outlier_record (forwarder->options.targets, target, bd_clock_boot_ms (),
                     result);
}

void
bd_forward_record_result (struct bd_forward *f, enum bd_outlier_result result)
{
  f->outcome.has_result = true;
  f->outcome.result = result;
  bd_forward_record_target_result (f->forwarder, f->target, result);
}

void
bd_forward_log_failed_attempt (const struct bd_forward *f, const char *reason)
{
  char id[BD_FORWARD_ID_BYTES];

  bd_log (BD_EVENT_ATTEMPT_FAILED,
          "request=%s runner=%s reason=%s status=%d reached=%u events=%llu "
          "ms=%lld fingerprint=%016" PRIx64 " prefix=%08x software=%s",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          f->target->id.data, reason, f->status, f->attempts,
          (unsigned long long)f->event_count,
          (long long)bd_forward_elapsed_ms (f), f->fingerprint.exact,
          (uint32_t)f->request_fields.prefix_hash,
          bd_software_name (&f->target->software));
}

bool
bd_forward_may_retry (struct bd_forward *f)
{
  f->stop_reason = BD_STOP_ATTEMPTS;
  if (f->attempts >= f->route->attempts_max
      || f->tried_count == BD_FORWARD_TRIED_MAX)
    return false;
  f->stop_reason = BD_STOP_TIME;
  if (f->deadline_ms <= bd_clock_boot_ms ())
    return false;
  f->stop_reason = BD_STOP_NO_RUNNER;
  if (bd_retry_quota_take (f->forwarder->options.retries, bd_clock_boot_ms (),
                           f->service))
    return true;
  f->stop_reason = BD_STOP_BUDGET;
  if (!f->retry_denied)
    bd_stats_count (f->forwarder->options.stats, BD_STAT_RETRIES_DENIED, 1);
  f->retry_denied = true;
  return false;
}

static void
count_waiter (struct bd_forwarder *forwarder, int change)
{
  forwarder->budget_waiters += change;
  bd_stats_set (forwarder->options.stats, BD_GAUGE_BUDGET_WAITERS,
                forwarder->budget_waiters);
}

static void on_budget_check (uv_timer_t *timer);

/* Lets the request wait until the retry budget has grown, but not for longer
   than its latency objective.  Returns whether it waits. */
static bool
wait_for_budget (struct bd_forward *f)
{
  int64_t now = bd_clock_boot_ms ();

  if (f->stop_reason != BD_STOP_BUDGET
      || f->forwarder->budget_waiters >= BUDGET_WAITERS_MAX)
    return false;
  if (f->budget_wait_until_ms == 0)
    f->budget_wait_until_ms = now + f->route->objective_ms;
  if (now >= f->budget_wait_until_ms)
    return false;
  f->waits_for_budget = true;
  count_waiter (f->forwarder, 1);
  uv_timer_start (&f->attempt_timer, on_budget_check, BUDGET_CHECK_MS, 0);
  return true;
}

void
bd_forward_end_budget_wait (struct bd_forward *f)
{
  if (f->waits_for_budget)
    count_waiter (f->forwarder, -1);
  f->waits_for_budget = false;
}

/* Sends the request to another runner, now or when the retry budget has grown,
   or else fails it with ERROR. */
static void
retry_or_fail (struct bd_forward *f, int error)
{
  if (bd_forward_may_retry (f))
    {
      f->budget_wait_until_ms = 0;
      bd_forward_next_attempt (f);
      return;
    }
  f->failed_with = error;
  if (!wait_for_budget (f))
    bd_forward_fail (f, error);
}

static void
on_budget_check (uv_timer_t *timer)
{
  struct bd_forward *f = timer->data;

  bd_forward_end_budget_wait (f);
  retry_or_fail (f, f->failed_with);
}

void
bd_forward_after_refusal (struct bd_forward *f)
{
  bd_forward_log_failed_attempt (f, "refused");
  bd_forward_record_result (f, BD_OUTLIER_REJECTED);
  bd_forward_end_attempt (f);
  retry_or_fail (f, BD_ERR_NO_RUNNER);
}

void
bd_forward_after_failure (struct bd_forward *f, int error, const char *reason)
{
  bd_forward_log_failed_attempt (f, reason);
  bd_forward_record_result (f, BD_OUTLIER_FAILURE);
  bd_forward_end_attempt (f);
  f->may_have_run = true;
  f->stop_reason = BD_STOP_NOT_REPEATABLE;
  if (bd_forward_repeatable (f))
    retry_or_fail (f, error);
  else
    bd_forward_fail (f, error);
}

void
bd_forward_after_no_connection (struct bd_forward *f)
{
  bd_forward_log_failed_attempt (f, "unreachable");
  bd_forward_record_result (f, BD_OUTLIER_UNREACHABLE);
  f->attempts--;
  bd_forward_end_attempt (f);
  if (f->tried_count < BD_FORWARD_TRIED_MAX)
    bd_forward_next_attempt (f);
  else
    bd_forward_fail (f, BD_ERR_NO_RUNNER);
}
