#include "balance/overload.h"

#include "common/random.h"

/* Longest expected wait as a ratio of the latency objective.  Priorities above
   the lowest get WAIT_RATIO plus a part of WAIT_RATIO_RANGE in proportion to
   the priority. */
#define LOWEST_PRIORITY_WAIT_RATIO 0.4
#define WAIT_RATIO 4.0
#define WAIT_RATIO_RANGE 2.0
/* Under full pressure, wait and service time together may take TIMELY_RATIO of
   the objective.  A wait of TIMELY_WAIT_RATIO_MIN is always allowed, however
   long the service time is. */
#define TIMELY_RATIO 0.7
#define TIMELY_WAIT_RATIO_MIN 0.25
/* Above this ratio of the objective, the request's own service time is taken
   to be the cause of its lateness. */
#define SERVICE_RATIO_MAX 0.45
/* Prefill utilization of a runner above which requests of the lowest priority
   are rejected when they would wait longer than this. */
#define UTILIZATION_MAX 0.9
#define UTILIZED_WAIT_MAX_MS 100.0
/* Shortest retry time, and the largest ratio of the caller's time left that it
   may take. */
#define RETRY_AFTER_MIN_MS 300.0
#define RETRY_AFTER_TIME_LEFT_RATIO 0.33

/* Returns the longest wait with which the request can meet its objective. */
static double
timely_wait_ms (const struct bd_overload_request *request)
{
  double objective = (double)request->objective_ms;
  double ms = objective * TIMELY_RATIO - request->service_ms;

  return ms > objective * TIMELY_WAIT_RATIO_MIN
             ? ms
             : objective * TIMELY_WAIT_RATIO_MIN;
}

double
bd_overload_lateness (const struct bd_overload_request *request)
{
  double objective = (double)request->objective_ms;
  double lateness_ms = request->wait_ms + request->service_ms - objective;

  if (lateness_ms <= 0.0
      || request->service_ms > objective * SERVICE_RATIO_MAX)
    return 0.0;
  return lateness_ms < objective ? lateness_ms / objective : 1.0;
}

double
bd_overload_max_wait_ms (const struct bd_overload_request *request)
{
  double objective = (double)request->objective_ms;
  double rank;

  if (request->priority >= request->lowest_priority)
    return objective * LOWEST_PRIORITY_WAIT_RATIO;
  rank = (double)(request->lowest_priority - request->priority)
         / request->lowest_priority;
  return timely_wait_ms (request) * request->pressure
         + objective * (WAIT_RATIO + WAIT_RATIO_RANGE * rank)
               * (1.0 - request->pressure);
}

bool
bd_overload_rejects (const struct bd_overload_request *request)
{
  if (request->wait_ms > bd_overload_max_wait_ms (request))
    return true;
  return request->priority >= request->lowest_priority
         && request->utilization > UTILIZATION_MAX
         && request->wait_ms > UTILIZED_WAIT_MAX_MS;
}

int64_t
bd_overload_retry_after_ms (const struct bd_overload_request *request,
                            uint64_t *random)
{
  double max_ms = (double)request->time_left_ms * RETRY_AFTER_TIME_LEFT_RATIO;
  double ms = request->wait_ms - bd_overload_max_wait_ms (request);

  if (ms < RETRY_AFTER_MIN_MS)
    ms = RETRY_AFTER_MIN_MS;
  ms += bd_random_below (random, (uint32_t)ms + 1);
  if (ms > max_ms)
    ms = max_ms / 2 + bd_random_below (random, (uint32_t)(max_ms / 2) + 1);
  return (int64_t)ms;
}
