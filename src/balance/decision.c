#include "balance/decision.h"

#include "balance/outlier.h"
#include "balance/pause.h"
#include "common/random.h"

/* Resolution of the random number that is compared with a ratio. */
#define RANDOM_STEPS 1000
/* Longest wait for a runner of the preferred software version, as a ratio of
   the latency objective. */
#define PREFERRED_WAIT_RATIO 0.5

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
should_reject (struct bd_selector *selector,
               const struct bd_selection_request *request,
               const struct bd_selection *selection,
               struct bd_overload_request *overload, bool is_retry,
               uint64_t *random)
{
  struct bd_admission *admission = bd_selector_admission (selector);
  struct bd_admission_request admission_request
      = { .service = request->service,
          .priority = request->priority,
          .prefill_tokens = selection->prefill_tokens,
          .prompt_tokens = request->prefix_tokens + request->unshared_tokens,
          .lateness = bd_overload_lateness (overload),
          .now_ms = request->now_ms };
  bool rejected;

  if (request->unshared_tokens == 0)
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

/* Whether the request should go to PICK, a runner of the preferred version. */
static bool
is_worth_keeping (const struct bd_selection_request *request,
                  const struct bd_selection *pick)
{
  return pick->target && bd_outlier_allows (pick->target, request->now_ms)
         && !bd_pause_requested (pick->target, request->now_ms)
         && pick->wait_ms
                <= (double)request->objective_ms * PREFERRED_WAIT_RATIO;
}

static struct bd_selection
select_runner (struct bd_selector *selector,
               const struct bd_selection_request *request,
               struct bd_target *const *all, size_t count)
{
  struct bd_selection_request preferring = *request;
  struct bd_selection pick;

  if (request->software == BD_SOFTWARE_ANY
      && request->preferred_software != BD_SOFTWARE_ANY)
    {
      preferring.software = request->preferred_software;
      pick = bd_selector_select (selector, &preferring, all, count);
      if (is_worth_keeping (request, &pick))
        return pick;
    }
  return bd_selector_select (selector, request, all, count);
}

struct bd_decision
bd_decide (struct bd_selector *selector, struct bd_targets *targets,
           const struct bd_selection_request *request,
           struct bd_overload_request *overload, bool is_retry,
           uint64_t *random)
{
  struct bd_decision decision = { 0 };
  size_t count;
  struct bd_target *const *all
      = bd_targets_of_service (targets, request->service, &count);

  decision.selection = select_runner (selector, request, all, count);
  if (!decision.selection.target)
    {
      decision.pause_left_ms = bd_pause_shortest_ms (
          all, count, request->service, request->now_ms);
      return decision;
    }
  overload->wait_ms = decision.selection.wait_ms;
  overload->service_ms = decision.selection.service_ms;
  overload->utilization = decision.selection.utilization;
  decision.rejected = should_reject (selector, request, &decision.selection,
                                     overload, is_retry, random);
  decision.max_wait_ms = bd_overload_max_wait_ms (overload);
  if (decision.rejected)
    decision.retry_after_ms = bd_overload_retry_after_ms (overload, random);
  else
    bd_runner_limit_take (decision.selection.target, request->now_ms,
                          request->coordinated ? NULL : &request->share);
  return decision;
}
