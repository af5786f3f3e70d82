/* Rate limits that runners name in their responses, and the check that all
   gateways that were told of one keep it together. */
#include "soak.h"

#include <string.h>

#define SCHEDULE_INTERVAL_MS 500
#define DURATION_MIN_MS 5000
#define DURATION_SPREAD_MS 7000
/* Greatest rate, in requests per second. */
#define RATE_MAX 4
/* Requests that may arrive in a window: FACTOR x the rate + SLACK. */
#define WINDOW_MS 4000
#define FACTOR 1.5
#define SLACK 5
/* Time from a response with the limit until its gateway must obey it. */
#define TOLD_GRACE_MS 500

static struct
{
  struct soak *soak;
  uv_timer_t timer;
  uint64_t random; /* Separate from the faults', which keep their order. */
  bool active;
} schedule;

static bool
is_limited (const struct soak_limit *limit, int64_t now_ms)
{
  return now_ms < limit->until_ms;
}

static void
on_timer (uv_timer_t *timer)
{
  struct soak *soak = timer->data;
  size_t index
      = soak_random_below (&schedule.random, (uint32_t)soak->runner_count);
  struct soak_limit *limit = soak_runner_limit (soak->runners[index]);
  int64_t now = soak_now_ms (soak);

  if (is_limited (limit, now))
    return;
  memset (limit, 0, sizeof *limit);
  limit->per_s = 1 + soak_random_below (&schedule.random, RATE_MAX);
  limit->until_ms = now + DURATION_MIN_MS
                    + soak_random_below (&schedule.random, DURATION_SPREAD_MS);
  soak_log (soak, "runner %zu: limit of %u a second", index, limit->per_s);
}

void
soak_limits_start (struct soak *soak)
{
  schedule.soak = soak;
  schedule.random = soak->seed * 0x9e3779b97f4a7c15u + 3;
  schedule.active = true;
  uv_timer_init (&soak->loop, &schedule.timer);
  schedule.timer.data = soak;
  uv_timer_start (&schedule.timer, on_timer, SCHEDULE_INTERVAL_MS,
                  SCHEDULE_INTERVAL_MS);
}

void
soak_limits_end (struct soak *soak)
{
  if (!schedule.active)
    return;
  schedule.active = false;
  uv_timer_stop (&schedule.timer);
  for (size_t i = 0; i < soak->runner_count; i++)
    soak_runner_limit (soak->runners[i])->until_ms = 0;
}

static const struct soak_gateway *
find_gateway (const struct soak *soak, int number, size_t *index)
{
  for (size_t i = 0; i < soak->gateway_count; i++)
    if (soak_gateway_number (soak->gateways[i]) == number)
      {
        *index = i;
        return soak->gateways[i];
      }
  return NULL;
}

void
soak_limit_write (struct soak *soak, struct soak_limit *limit, int gateway,
                  struct bd_buffer *out)
{
  int64_t now = soak_now_ms (soak);
  size_t index;
  const struct soak_gateway *told = find_gateway (soak, gateway, &index);

  if (!told || !is_limited (limit, now))
    return;
  bd_buffer_printf (out, "Server-Limit: %u\r\n", limit->per_s);
  if (limit->named_ms == 0)
    limit->named_ms = now;
  /* A gateway that was disturbed since may have to be told again. */
  if (limit->told_ms[index] == 0
      || soak_gateway_stable_ms (told) <= now - limit->told_ms[index])
    limit->told_ms[index] = now;
}

/* Whether gateway NUMBER knows of the limit and has worked undisturbed since
   it was told, and PROXY too. */
static bool
is_bound (const struct soak *soak, const struct soak_limit *limit,
          const struct soak_proxy *proxy, int number)
{
  size_t index;
  const struct soak_gateway *gateway = find_gateway (soak, number, &index);
  int64_t since;

  if (!gateway || limit->told_ms[index] == 0)
    return false;
  since = soak_now_ms (soak) - limit->told_ms[index];
  return since >= TOLD_GRACE_MS && soak_gateway_stable_ms (gateway) > since
         && soak_proxy_stable_ms (proxy) > since;
}

/* Returns the number of requests that arrived after FROM_MS. */
static uint32_t
arrivals_after (const struct soak_limit *limit, int64_t from_ms)
{
  uint32_t count = 0;

  for (size_t i = 0; i < SOAK_LIMIT_ARRIVALS; i++)
    count += limit->arrivals_ms[i] > from_ms;
  return count;
}

void
soak_limit_check (struct soak *soak, struct soak_limit *limit,
                  const struct soak_proxy *proxy, const char *runner,
                  const struct soak_attempt *attempt)
{
  int64_t now = soak_now_ms (soak);
  uint32_t allowed
      = (uint32_t)(FACTOR * limit->per_s * WINDOW_MS / 1000.0) + SLACK;
  uint32_t count;

  if (!is_limited (limit, now) || limit->named_ms == 0
      || now - limit->named_ms < SOAK_STABLE_MS
      || !is_bound (soak, limit, proxy, attempt->gateway))
    return;
  limit->arrivals_ms[limit->arrival_count++ % SOAK_LIMIT_ARRIVALS] = now;
  count = arrivals_after (limit, now - WINDOW_MS);
  if (count > allowed)
    soak_violation (soak, "LIMIT",
                    "%s, limit %u a second, got %u requests in %d ms, the "
                    "last by gateway %d; allowed %u",
                    runner, limit->per_s, count, WINDOW_MS, attempt->gateway,
                    allowed);
}
