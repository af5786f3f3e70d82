/* Life cycle of a request: routing, attempts, retries and its end. */
#include "simulation_internal.h"

#include <stdlib.h>
#include <string.h>

static void
assign_to_runner (struct call *call, struct gateway *gateway, size_t runner,
                  uint64_t tokens)
{
  struct simulation *sim = call->sim;
  struct bd_target *target = gateway->by_runner[runner];
  struct bd_assignment assignment = { .request_number = call->ledger_number,
                                      .target = target,
                                      .prefill_tokens = tokens,
                                      .placed_ms = sim_clock_ms (sim),
                                      .is_short = call->is_short,
                                      .priority = call->request.priority,
                                      .expires_ms = INT64_MAX };

  call->assigned_gateway = gateway;
  call->assigned_runner = runner;
  call->assigned_tokens = tokens;
  call->counts_as_waiting = true;
  call->counts_in_flight = true;
  target->in_flight++;
  target->prefill_tokens += tokens;
  if (gateway == &sim->coordinator)
    bd_ledger_assign (sim->ledger, &assignment);
}

void
call_finish_prefill (struct call *call)
{
  struct simulation *sim = call->sim;
  struct bd_prefill_sample sample;

  if (!call->counts_as_waiting)
    return;
  call->counts_as_waiting = false;
  call->assigned_gateway->by_runner[call->assigned_runner]->prefill_tokens
      -= call->assigned_tokens;
  if (call->assigned_gateway != &sim->coordinator)
    return;
  bd_ledger_record_first_event (sim->ledger, 0, call->ledger_number,
                                sim_clock_ms (sim), &sample);
  if (sample.tokens > 0)
    bd_service_stats_record_prefill (
        bd_selector_stats (sim->coordinator.selector), BD_CHUNK ("llm"),
        sample.tokens, sample.ms);
}

void
call_release_assignment (struct call *call)
{
  struct bd_target *target;

  if (!call->counts_in_flight)
    return;
  target = call->assigned_gateway->by_runner[call->assigned_runner];
  if (call->assigned_gateway == &call->sim->coordinator)
    bd_ledger_release (call->sim->ledger, 0, call->ledger_number);
  if (call->counts_as_waiting)
    target->prefill_tokens -= call->assigned_tokens;
  call->counts_as_waiting = false;
  call->counts_in_flight = false;
  target->in_flight--;
}

static void
release_runner (struct call *call)
{
  if (call->runner)
    engine_cancel (call->runner->engine, &call->request);
  call->runner = NULL;
  call_release_assignment (call);
}

static void
finish (struct call *call, enum call_state state)
{
  release_runner (call);
  call->attempt_seq++;
  call->state = state;
}

static double
response_timeout_ms (const struct sim_class *class)
{
  double ms = TIMEOUT_MIN_MS;

  if (TIMEOUT_OBJECTIVES * (double)class->objective_ms > ms)
    ms = TIMEOUT_OBJECTIVES * (double)class->objective_ms;
  if (TIMEOUT_GAPS * (double)class->gap_ms > ms)
    ms = TIMEOUT_GAPS * (double)class->gap_ms;
  return ms;
}

static void
retry_later (struct simulation *sim, struct call *call, double after_ms,
             enum call_state final_state)
{
  double left = call->deadline_ms - sim->now_ms;

  release_runner (call);
  call->attempt_seq++;
  if (call->retries == CALLER_RETRIES || call->event_count > 0)
    {
      call->state = final_state;
      return;
    }
  call->retries++;
  if (after_ms > left * RETRY_WAIT_SHARE)
    after_ms = left * RETRY_WAIT_SHARE;
  sim_schedule (sim, sim->now_ms + after_ms, EVENT_RETRY, call,
                call->attempt_seq);
}

static struct bd_selection_request
placement_request_of (const struct simulation *sim, const struct call *call)
{
  return (struct bd_selection_request){
    .service = BD_CHUNK ("llm"),
    .zone = bd_chunk_of (call->gateway->zone),
    .prefix_hash = call->request.prefix,
    .prefix_tokens = call->request.shared_tokens,
    .unshared_tokens = call->request.own_tokens,
    .priority = call->request.priority,
    .fetch_us_per_k = (uint32_t)(sim->scenario->traits.fetch_ms * US_PER_MS),
    .objective_ms = call->class->objective_ms,
    .now_ms = sim_clock_ms (sim),
    .tried = call->tried,
    .tried_count = call->tried_count,
    .software = call->software
  };
}

static size_t
runner_index_of (const struct simulation *sim, const struct gateway *gateway,
                 const struct bd_target *target)
{
  for (size_t r = 0; r < sim->runner_count; r++)
    if (gateway->by_runner[r] == target)
      return r;
  abort ();
}

static struct bd_selection
pick_baseline (struct simulation *sim, struct gateway *gateway,
               const struct call *call)
{
  struct bd_selection selection = { 0 };
  size_t count;
  struct bd_target *const *all = bd_targets_all (gateway->targets, &count);
  uint32_t ties = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint32_t fewest;

      if (!bd_target_usable (all[i])
          || !bd_outlier_allows (all[i], sim_clock_ms (sim))
          || (call->tried_count > 0
              && call->tried[0] == (uint32_t)all[i]->hash))
        continue;
      fewest = sim->policy == SIM_LEAST_LOADED && selection.target
                   ? selection.target->in_flight
                   : all[i]->in_flight;
      if (sim->policy == SIM_LEAST_LOADED && all[i]->in_flight > fewest)
        continue;
      if (sim->policy == SIM_LEAST_LOADED && all[i]->in_flight < fewest)
        ties = 0;
      if (bd_random_below (&gateway->random, ++ties) == 0)
        selection.target = all[i];
    }
  selection.prefill_tokens = call->request.own_tokens;
  return selection;
}

void
call_route (struct simulation *sim, struct call *call)
{
  struct gateway *gateway
      = sim->policy == SIM_COORDINATED ? &sim->coordinator : call->gateway;
  struct bd_selection selection;
  struct bd_selection_request request = placement_request_of (sim, call);
  struct bd_overload_request overload
      = { .objective_ms = call->class->objective_ms,
          .time_left_ms = (int64_t)(call->deadline_ms - sim->now_ms),
          .priority = call->request.priority,
          .lowest_priority = sim->lowest_priority };
  struct bd_decision decision = { 0 };

  request.coordinated = sim->policy == SIM_COORDINATED;
  if (sim->policy < SIM_LOCAL)
    decision.selection = pick_baseline (sim, gateway, call);
  else
    decision
        = bd_decide (gateway->selector, gateway->targets, &request, &overload,
                     call->runners_reached > 0, &gateway->random);
  selection = decision.selection;
  if (!selection.target || decision.rejected)
    {
      retry_later (sim, call,
                   decision.rejected ? (double)decision.retry_after_ms : 250.0,
                   CALL_REFUSED);
      return;
    }
  call->runners_reached++;
  if (call->tried_count < TRIED_MAX)
    call->tried[call->tried_count++] = (uint32_t)selection.target->hash;
  bd_selector_record_sent (gateway->selector, &request, selection.target);
  call->is_short = bd_selection_request_is_short (&request);
  call->ledger_number = ++sim->attempt_count;
  call->placed_ms = sim->now_ms;
  assign_to_runner (call, gateway,
                    runner_index_of (sim, gateway, selection.target),
                    selection.prefill_tokens);
  call->runner = &sim->runners[call->assigned_runner];
  call->source
      = selection.source
            ? &sim->runners[runner_index_of (sim, gateway, selection.source)]
            : NULL;
  sim_schedule (sim, sim->now_ms + sim->scenario->hop_ms, EVENT_SUBMIT, call,
                call->attempt_seq);
}

static void
schedule_routing (struct simulation *sim, struct call *call)
{
  double hops = sim->policy == SIM_COORDINATED ? 2.0 : 0.0;

  sim_schedule (sim, sim->now_ms + hops * sim->scenario->hop_ms, EVENT_ROUTE,
                call, call->attempt_seq);
}

static void
record_outcome (struct simulation *sim, struct call *call,
                enum bd_outlier_result result)
{
  struct gateway *gateway = call->assigned_gateway;
  size_t count;
  struct bd_target *const *all = bd_targets_all (gateway->targets, &count);

  bd_outlier_add (gateway->by_runner[call->assigned_runner],
                  sim_clock_ms (sim), result, all, count);
}

void
call_attempt_failed (struct simulation *sim, struct call *call, bool ran)
{
  record_outcome (sim, call,
                  ran ? BD_OUTLIER_FAILURE : BD_OUTLIER_UNREACHABLE);
  release_runner (call);
  call->attempt_seq++;
  if (!ran)
    call->runners_reached--;
  call->broken = call->event_count > 0;
  if ((!ran || call->class->resumable)
      && call->runners_reached < call->class->attempts
      && call->tried_count < TRIED_MAX)
    {
      call->request.output_tokens -= call->request.output_made;
      schedule_routing (sim, call);
    }
  else
    retry_later (sim, call, 100.0, CALL_FAILED);
}

/* Fetches the prefix.  A runner's link carries one transfer at a time. */
static void
fetch_prefix (struct simulation *sim, struct call *call)
{
  const struct engine_traits *traits = &sim->scenario->traits;
  struct runner *from = call->source;
  struct runner *to = call->runner;
  double begins = sim->now_ms;
  double ends;

  if (from->link_free_ms > begins)
    begins = from->link_free_ms;
  if (to->link_free_ms > begins)
    begins = to->link_free_ms;
  ends
      = begins + call->request.shared_tokens / TOKENS_PER_K * traits->fetch_ms;
  from->link_free_ms = ends;
  to->link_free_ms = ends;
  sim->fetched_tokens += call->request.shared_tokens;
  sim_schedule (sim, ends + traits->fetch_setup_ms, EVENT_FETCHED, call,
                call->attempt_seq);
}

void
call_submit (struct simulation *sim, struct call *call)
{
  struct runner *runner = call->runner;

  if (!runner->down && call->source && !call->source->down
      && engine_has_prefix (call->source->engine, call->request.prefix)
      && !engine_has_prefix (runner->engine, call->request.prefix))
    {
      fetch_prefix (sim, call);
      return;
    }
  call_enqueue (sim, call);
}

void
call_enqueue (struct simulation *sim, struct call *call)
{
  struct runner *runner = call->runner;

  if (runner->down)
    {
      call_attempt_failed (sim, call, false);
      return;
    }
  if (!engine_submit (runner->engine, sim->now_ms, &call->request))
    {
      record_outcome (sim, call, BD_OUTLIER_REJECTED);
      release_runner (call);
      call->attempt_seq++;
      if (call->runners_reached < call->class->attempts)
        schedule_routing (sim, call);
      else
        retry_later (sim, call, 300.0, CALL_REFUSED);
      return;
    }
  sim_schedule (sim,
                sim->now_ms + sim->scenario->traits.setup_ms + 1.0 / US_PER_MS,
                EVENT_WAKE, runner, 0);
}

static void
on_event (struct simulation *sim, struct call *call)
{
  double gap = sim->now_ms - call->last_ms;
  uint64_t software = call->runner->software.hash;

  if (call->software == BD_SOFTWARE_ANY)
    call->software = software;
  if (call->broken)
    {
      sim->resumed_count++;
      sim->joined_count += call->software != software;
    }
  call->broken = false;
  if (call->event_count++ == 0)
    {
      call->first_ms = sim->now_ms - call->arrived_ms;
      call->first_event_at_ms = sim->now_ms;
      if (sim->policy == SIM_COORDINATED)
        sim_schedule (sim, sim->now_ms + sim->scenario->report_ms,
                      EVENT_BEGIN_REPORTED, call, call->attempt_seq);
      else
        call_finish_prefill (call);
    }
  else if (gap > call->worst_gap_ms)
    call->worst_gap_ms = gap;
  call->last_ms = sim->now_ms;
}

void
call_on_token (void *context, struct engine_request *request, uint32_t made,
               bool done)
{
  struct simulation *sim = context;
  struct call *call = request->owner;

  if (made == 1 || made % call->class->tokens_per_event == 0 || done)
    on_event (sim, call);
  if (!done)
    return;
  call->runner = NULL;
  record_outcome (sim, call, BD_OUTLIER_SUCCESS);
  bd_service_stats_record_residence (
      bd_selector_stats (call->assigned_gateway->selector), BD_CHUNK ("llm"),
      (int64_t)(sim->now_ms - call->placed_ms));
  call->state = CALL_SERVED;
  call->attempt_seq++;
  if (sim->policy == SIM_COORDINATED)
    sim_schedule (sim, sim->now_ms + sim->scenario->report_ms,
                  EVENT_END_REPORTED, call, call->attempt_seq);
  else
    call_release_assignment (call);
}

void
call_start_attempt (struct simulation *sim, struct call *call)
{
  call->gateway = &sim->gateways[bd_random_below (&sim->random,
                                                  sim->scenario->gateways)];
  call->runners_reached = 0;
  call->tried_count = 0;
  schedule_routing (sim, call);
  sim_schedule (sim, sim->now_ms + response_timeout_ms (call->class),
                EVENT_TIMEOUT, call, call->attempt_seq);
}

void
call_check_timeout (struct simulation *sim, struct call *call)
{
  double waited = call->event_count > 0 ? sim->now_ms - call->last_ms
                                        : response_timeout_ms (call->class);

  if (sim->now_ms >= call->deadline_ms - 0.001)
    finish (call, call->event_count == 0 && !call->runner ? CALL_REFUSED
                                                          : CALL_FAILED);
  else if (waited >= response_timeout_ms (call->class) - 0.001)
    {
      if (call->class->resumable)
        retry_later (sim, call, 0.0, CALL_FAILED);
      else
        finish (call, CALL_FAILED);
    }
  else
    {
      double next = call->last_ms + response_timeout_ms (call->class);

      sim_schedule (sim, next < call->deadline_ms ? next : call->deadline_ms,
                    EVENT_TIMEOUT, call, call->attempt_seq);
    }
}
