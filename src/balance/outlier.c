#include "balance/outlier.h"

#include "common/log.h"

#include <math.h>

/* Half-life of past results. */
#define HALF_LIFE_MS 2500.0
/* A runner with a smaller decayed count of failures is not ejected. */
#define FAILURES_MIN 1.8
/* A runner is ejected only when its failure rate is at least FAILURE_RATE_MIN,
   and exceeds that of its peers by FAILURE_RATE_OVER_PEERS. */
#define FAILURE_RATE_MIN 0.25
#define FAILURE_RATE_OVER_PEERS 0.2
/* A rejection says less about a runner's health than a failure does. */
#define REJECTION_WEIGHT 0.4
/* High enough to eject an unreachable runner at once. */
#define UNREACHABLE_WEIGHT 2.0
#define EJECTION_BASE_MS 700
#define EJECTION_MAX_MS 5600
/* A probe without a result after this time no longer blocks the next one. */
#define PROBE_TIMEOUT_MS 3000

static void
decay (struct bd_target_health *health, int64_t now_ms)
{
  double factor;

  if (now_ms <= health->updated_ms)
    return;
  factor = exp2 (-(double)(now_ms - health->updated_ms) / HALF_LIFE_MS);
  health->successes *= factor;
  health->failures *= factor;
  health->updated_ms = now_ms;
}

double
bd_outlier_failure_rate (const struct bd_target *target, int64_t now_ms)
{
  struct bd_target_health health = target->health;

  decay (&health, now_ms);
  return health.failures / (health.successes + health.failures + 1.0);
}

/* Returns the joint failure rate of all other usable runners of the
   service. */
static double
peer_failure_rate (const struct bd_target *target, int64_t now_ms,
                   struct bd_target *const *peers, size_t count)
{
  double failures = 0.0;
  double total = 1.0;

  for (size_t i = 0; i < count; i++)
    {
      struct bd_target_health health = peers[i]->health;

      if (peers[i] == target || !bd_target_usable (peers[i])
          || !bd_chunk_equal (peers[i]->service, target->service))
        continue;
      decay (&health, now_ms);
      failures += health.failures;
      total += health.successes + health.failures;
    }
  return failures / total;
}

static void
eject (struct bd_target_health *health, int64_t now_ms)
{
  int64_t duration_ms = EJECTION_BASE_MS;

  for (uint32_t i = 0; i < health->ejections && duration_ms < EJECTION_MAX_MS;
       i++)
    duration_ms *= 2;
  health->ejections++;
  health->ejected_until_ms = now_ms + duration_ms;
  health->probe_in_flight = false;
}

void
bd_outlier_add (struct bd_target *target, int64_t now_ms,
                enum bd_outlier_result result, struct bd_target *const *peers,
                size_t count)
{
  struct bd_target_health *health = &target->health;
  double failure_rate;

  decay (health, now_ms);
  health->probe_in_flight = false;
  switch (result)
    {
    case BD_OUTLIER_SUCCESS:
      health->successes += 1.0;
      if (health->ejections > 0 && now_ms >= health->ejected_until_ms)
        health->ejections--;
      return;
    case BD_OUTLIER_REJECTED:
      health->failures += REJECTION_WEIGHT;
      break;
    case BD_OUTLIER_FAILURE:
      health->failures += 1.0;
      break;
    case BD_OUTLIER_UNREACHABLE:
      health->failures += UNREACHABLE_WEIGHT;
      break;
    }
  failure_rate = bd_outlier_failure_rate (target, now_ms);
  if (health->failures < FAILURES_MIN || failure_rate < FAILURE_RATE_MIN
      || failure_rate < peer_failure_rate (target, now_ms, peers, count)
                            + FAILURE_RATE_OVER_PEERS)
    return;
  if (now_ms >= health->ejected_until_ms)
    eject (health, now_ms);
}

bool
bd_outlier_allows (const struct bd_target *target, int64_t now_ms)
{
  const struct bd_target_health *health = &target->health;

  if (now_ms < health->ejected_until_ms)
    return false;
  if (health->ejections == 0 || !health->probe_in_flight)
    return true;
  return now_ms - health->ejected_until_ms > PROBE_TIMEOUT_MS;
}

void
bd_outlier_record_sent (struct bd_target *target, int64_t now_ms)
{
  struct bd_target_health *health = &target->health;

  if (health->ejections > 0 && now_ms >= health->ejected_until_ms)
    health->probe_in_flight = true;
}

void
bd_outlier_record (struct bd_targets *targets, struct bd_target *target,
                   int64_t now_ms, enum bd_outlier_result result)
{
  size_t count;
  struct bd_target *const *runners
      = bd_targets_of_service (targets, target->service, &count);
  int64_t ejected_until_before = target->health.ejected_until_ms;

  bd_outlier_add (target, now_ms, result, runners, count);
  if (target->health.ejected_until_ms != ejected_until_before)
    bd_log (BD_EVENT_TARGET_AVOIDED, "runner=%s failing=%.2f for_ms=%lld",
            target->id.data, bd_outlier_failure_rate (target, now_ms),
            (long long)(target->health.ejected_until_ms - now_ms));
}
