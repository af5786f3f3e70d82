#include "balance/decision.h"

#include "balance/pause.h"
#include "common/random.h"

/* Resolution of the random number that is compared with a ratio. */
#define RANDOM_STEPS 1000

/* Whether the request is shed in favour of more urgent ones. */
static bool
is_shed (const struct bd_admission *admission,
         const struct bd_admission_request *admission_request,
         uint64_t *random)
{
  double ratio = bd_admission_shed_ratio (admission, admission_request);

  return bd_random_below (random, RANDOM_STEPS) < ratio * RANDOM_STEPS;
}

/* Whether the request is rejected.  Requests of plain services are rejected by
   their own wait alone, as they end before the pool's pressure shows. */
static bool
should_reject (struct bd_choice *selector, const struct bd_demand *request,
               const struct bd_pick *pick, struct bd_overload_case *overload,
               bool is_retry, uint64_t *random)
{
  struct bd_admission *admission = bd_choice_admission (selector);
  struct bd_admission_request admission_request
      = { .service = request->service,
          .priority = request->priority,
          .prefill_tokens = pick->prefill_tokens,
          .prompt_tokens = request->shared_tokens + request->own_tokens,
          .lateness = bd_overload_lateness (overload),
          .now_ms = request->now_ms };
  bool rejected;

  if (request->own_tokens == 0)
    return !is_retry && bd_overload_rejects (overload);
  bd_admission_record_arrival (admission, &admission_request);
  overload->pressure = bd_admission_pressure (admission, &admission_request);
  if (is_retry)
    return false;
  rejected = (bd_overload_rejects (overload)
              || is_shed (admission, &admission_request, random))
             && bd_admission_may_reject (admission, &admission_request);
  bd_admission_record_decision (admission, &admission_request, rejected);
  return rejected;
}

struct bd_decision
bd_decide (struct bd_choice *selector, struct bd_targets *targets,
           const struct bd_demand *request, struct bd_overload_case *overload,
           bool is_retry, uint64_t *random)
{
  struct bd_decision decision = { 0 };
  size_t count;
  struct bd_target *const *all
      = bd_targets_of (targets, request->service, &count);

  decision.pick = bd_choice_pick (selector, request, all, count);
  if (!decision.pick.target)
    {
      decision.pause_ms = bd_pause_shortest_ms (all, count, request->service,
                                                request->now_ms);
      return decision;
    }
  overload->wait_ms = decision.pick.wait_ms;
  overload->service_ms = decision.pick.service_ms;
  overload->utilization = decision.pick.utilization;
  decision.refused = should_reject (selector, request, &decision.pick,
                                    overload, is_retry, random);
  decision.limit_ms = bd_overload_max_wait_ms (overload);
  if (decision.refused)
    decision.retry_ms = bd_overload_retry_after_ms (overload, random);
  return decision;
}
