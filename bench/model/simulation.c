#include "simulation_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Random numbers. */

static double
draw_uniform (uint64_t *random)
{
  return ((double)(bd_random_next (random) >> 11) + 0.5) / 9007199254740992.0;
}

static double
draw_size (uint64_t *random, const struct sim_size *size)
{
  double normal = sqrt (-2.0 * log (draw_uniform (random)))
                  * cos (2.0 * M_PI * draw_uniform (random));
  double value = size->mean
                 * exp (size->sigma * normal - size->sigma * size->sigma / 2);

  if (size->max > 0.0 && value > size->max)
    value = size->max;
  return value < 1.0 ? 1.0 : value;
}

static uint32_t
draw_prefix (struct simulation *sim, size_t class_index)
{
  const double *sums = sim->popularity[class_index];
  uint32_t count = sim->scenario->classes[class_index].prefix_count;
  double at = draw_uniform (&sim->random) * sums[count - 1];
  uint32_t low = 0;
  uint32_t high = count - 1;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (sums[middle] < at)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Events. */

void
sim_schedule (struct simulation *sim, double at_ms, enum event_kind kind,
              void *subject, uint32_t number)
{
  struct event *event = calloc (1, sizeof *event);

  if (!event)
    abort ();
  event->node.key = (int64_t)(at_ms * US_PER_MS);
  event->node.order = ++sim->last_event_order;
  event->kind = kind;
  event->subject = subject;
  event->number = number;
  bd_heap_add (&sim->heap, &event->node);
}

int64_t
sim_clock_ms (const struct simulation *sim)
{
  return (int64_t)sim->now_ms + 1;
}

/* Runners. */

static void
announce_runner (struct simulation *sim, struct gateway *gateway, size_t index,
                 bool draining)
{
  struct runner *runner = &sim->runners[index];
  struct bd_target_entry entry = { .id = bd_chunk_of (runner->id),
                                   .service = BD_CHUNK ("llm"),
                                   .zone = bd_chunk_of (runner->zone),
                                   .ip = 1,
                                   .port = runner->port,
                                   .slots = sim->scenario->traits.slots,
                                   .draining = draining,
                                   .software = runner->software };

  bd_targets_put (gateway->targets, sim_clock_ms (sim), &entry,
                  ++sim->revision);
  gateway->by_runner[index]
      = bd_targets_find (gateway->targets, bd_chunk_of (runner->id));
}

static void
withdraw_runner (struct simulation *sim, struct gateway *gateway, size_t index)
{
  bd_targets_remove (gateway->targets, sim_clock_ms (sim),
                     bd_chunk_of (sim->runners[index].id), ++sim->revision);
}

static size_t
add_runner (struct simulation *sim, const char *software)
{
  size_t index = sim->runner_count++;
  struct runner *runner = &sim->runners[index];

  snprintf (runner->id, sizeof runner->id, "i-%zu", index);
  snprintf (runner->zone, sizeof runner->zone, "z%zu",
            index % sim->scenario->zones);
  runner->port = (uint16_t)(index + 1);
  runner->software = bd_software_of (bd_chunk_of (software));
  runner->engine
      = engine_create (&sim->scenario->traits, 1.0, call_on_token, sim);
  return index;
}

static void
for_each_gateway (struct simulation *sim, size_t index,
                  void (*act) (struct simulation *sim, struct gateway *gateway,
                               size_t index))
{
  for (size_t i = 0; i < sim->scenario->gateways; i++)
    act (sim, &sim->gateways[i], index);
  act (sim, &sim->coordinator, index);
}

static void
announce_ready (struct simulation *sim, struct gateway *gateway, size_t index)
{
  announce_runner (sim, gateway, index, false);
}

static void
announce_draining (struct simulation *sim, struct gateway *gateway,
                   size_t index)
{
  announce_runner (sim, gateway, index, true);
}

void
sim_start_step (struct simulation *sim, struct runner *runner)
{
  double ends;

  if (runner->down || engine_busy (runner->engine, &ends))
    return;
  engine_start_step (runner->engine, sim->now_ms);
  if (engine_busy (runner->engine, &ends))
    sim_schedule (sim, ends, EVENT_STEP_END, runner, 0);
}

/* Gossip. */

/* Sets a gateway's view of its peers' load at each runner. */
static void
update_peer_loads (struct simulation *sim, size_t from)
{
  const struct sim_scenario *scenario = sim->scenario;
  struct gateway *gateway = &sim->gateways[from];

  for (size_t r = 0; r < sim->runner_count; r++)
    {
      struct bd_target *target = gateway->by_runner[r];

      if (!target)
        continue;
      target->peers_in_flight = 0;
      target->peers_prefill_tokens = 0;
      for (size_t g = 0; g < scenario->gateways; g++)
        if (g != from && sim->gateways[g].by_runner[r])
          {
            const struct bd_target *peer = sim->gateways[g].by_runner[r];

            target->peers_in_flight += peer->in_flight;
            target->peers_prefill_tokens += peer->prefill_tokens;
          }
    }
}

/* Callers. */

static double
rate_factor_at (const struct simulation *sim, size_t class_index, double at_ms)
{
  double factor = 1.0;

  for (size_t i = 0; i < sim->scenario->burst_count; i++)
    {
      const struct sim_burst *burst = &sim->scenario->bursts[i];

      if (at_ms >= burst->at_ms && at_ms < burst->at_ms + burst->duration_ms
          && (burst->class_index < 0
              || burst->class_index == (int)class_index))
        factor *= burst->factor;
    }
  return factor;
}

static void
plan_arrival (struct simulation *sim, size_t class_index)
{
  double at_ms = sim->now_ms;
  double max_rate = sim->scenario->classes[class_index].rate;

  for (size_t i = 0; i < sim->scenario->burst_count; i++)
    if (sim->scenario->bursts[i].factor > 1.0)
      max_rate *= sim->scenario->bursts[i].factor;
  /* Poisson process with varying rate, by thinning: candidates come at the
     highest rate and are accepted with the rate at their time over it. */
  do
    at_ms -= log (draw_uniform (&sim->random)) / max_rate * MS_PER_S;
  while (draw_uniform (&sim->random) * max_rate
         > sim->scenario->classes[class_index].rate
               * rate_factor_at (sim, class_index, at_ms));
  if (at_ms < sim->scenario->length_ms)
    sim_schedule (sim, at_ms, EVENT_ARRIVAL, NULL, (uint32_t)class_index);
}

static void
handle_arrival (struct simulation *sim, size_t class_index)
{
  const struct sim_class *class = &sim->scenario->classes[class_index];
  struct call *call = calloc (1, sizeof *call);
  uint32_t prefix;
  uint64_t prefix_random;

  if (!call)
    abort ();
  if (sim->call_count == sim->call_capacity)
    {
      sim->call_capacity = sim->call_capacity * 2 + 1024;
      sim->calls
          = realloc (sim->calls, sim->call_capacity * sizeof (struct call *));
      if (!sim->calls)
        abort ();
    }
  sim->calls[sim->call_count++] = call;
  plan_arrival (sim, class_index);
  prefix = draw_prefix (sim, class_index);
  prefix_random = bd_random_mix ((uint64_t)prefix * 64 + class_index + 1);
  call->sim = sim;
  call->class = class;
  call->class_index = class_index;
  call->arrived_ms = sim->now_ms;
  call->deadline_ms = sim->now_ms + (double)class->deadline_ms;
  call->request.owner = call;
  call->request.prefix = bd_random_mix (prefix_random);
  call->request.shared_tokens
      = (uint32_t)draw_size (&prefix_random, &class->shared);
  call->request.own_tokens = (uint32_t)draw_size (&sim->random, &class->own);
  call->request.output_tokens
      = (uint32_t)draw_size (&sim->random, &class->events)
        * class->tokens_per_event;
  call->size = call->request.shared_tokens + call->request.own_tokens
               + OUTPUT_WEIGHT * call->request.output_tokens;
  call->workspace_priority
      = draw_uniform (&sim->random) < sim->scenario->urgent_share ? 0 : 1;
  call->request.priority = call->workspace_priority * 3 + class->priority;
  call_start_attempt (sim, call);
}

/* Faults. */

static bool
is_affected (const struct sim_fault *fault, size_t index)
{
  uint64_t mixed = bd_random_mix (index * 977 + (uint64_t)fault->at_ms + 1);

  return (double)(mixed >> 11) / 9007199254740992.0 < fault->share;
}

static void
crash_runner (struct simulation *sim, struct runner *runner)
{
  struct engine_request *request;

  while ((request = engine_any_request (runner->engine)))
    {
      struct call *call = request->owner;

      engine_cancel (runner->engine, request);
      call->runner = NULL;
      call_attempt_failed (sim, call, true);
    }
  engine_restart (runner->engine);
}

static void
inject_fault (struct simulation *sim, const struct sim_fault *fault)
{
  size_t count = sim->scenario->runners;
  double at_ms = sim->now_ms;
  uint32_t replaced = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct runner *runner = &sim->runners[i];

      if (!is_affected (fault, i))
        continue;
      switch (fault->kind)
        {
        case SIM_CRASH:
          runner->down = true;
          crash_runner (sim, runner);
          sim_schedule (sim, at_ms + fault->duration_ms, EVENT_RECOVER, runner,
                        0);
          break;
        case SIM_SLOW:
          engine_set_speed (runner->engine, 1.0 / fault->factor);
          sim_schedule (sim, at_ms + fault->duration_ms, EVENT_RECOVER, runner,
                        0);
          break;
        case SIM_REPLACE:
          sim_schedule (sim, at_ms + MEMBERSHIP_LAG_MS, EVENT_JOIN, NULL,
                        (uint32_t)add_runner (sim, "v2"));
          sim_schedule (sim, at_ms + MEMBERSHIP_LAG_MS, EVENT_LEAVE, NULL,
                        (uint32_t)i);
          if (++replaced % (uint32_t)fault->factor == 0)
            at_ms += fault->gap_ms;
          break;
        }
    }
}

/* Event loop. */

static void
process_event (struct simulation *sim, const struct event *event)
{
  struct call *call = event->subject;
  struct runner *runner = event->subject;

  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      handle_arrival (sim, event->number);
      break;
    case EVENT_ROUTE:
      if (event->number == call->attempt_seq)
        call_route (sim, call);
      break;
    case EVENT_SUBMIT:
      if (event->number == call->attempt_seq)
        call_submit (sim, call);
      break;
    case EVENT_FETCHED:
      if (event->number == call->attempt_seq)
        {
          engine_add_prefix (call->runner->engine, call->request.prefix,
                             call->request.shared_tokens);
          call_enqueue (sim, call);
        }
      break;
    case EVENT_WAKE:
      sim_start_step (sim, runner);
      break;
    case EVENT_STEP_END:
      {
        double ends;

        if (engine_busy (runner->engine, &ends)
            && ends <= sim->now_ms + 1.0 / US_PER_MS)
          {
            engine_end_step (runner->engine, sim->now_ms);
            sim_start_step (sim, runner);
          }
      }
      break;
    case EVENT_GOSSIP:
      update_peer_loads (sim, event->number);
      sim_schedule (sim, sim->now_ms + sim->scenario->gossip_ms, EVENT_GOSSIP,
                    NULL, event->number);
      break;
    case EVENT_FAULT:
      inject_fault (sim, event->subject);
      break;
    case EVENT_RECOVER:
      runner->down = false;
      engine_set_speed (runner->engine, 1.0);
      sim_start_step (sim, runner);
      break;
    case EVENT_JOIN:
      for_each_gateway (sim, event->number, announce_ready);
      break;
    case EVENT_LEAVE:
      for_each_gateway (sim, event->number, announce_draining);
      sim_schedule (sim, sim->now_ms + DRAIN_PERIOD_MS, EVENT_REMOVED, NULL,
                    event->number);
      break;
    case EVENT_REMOVED:
      for_each_gateway (sim, event->number, withdraw_runner);
      break;
    case EVENT_TIMEOUT:
      if (event->number == call->attempt_seq && call->state == CALL_OPEN)
        call_check_timeout (sim, call);
      break;
    case EVENT_RETRY:
      if (event->number == call->attempt_seq)
        call_start_attempt (sim, call);
      break;
    case EVENT_BEGIN_REPORTED:
      bd_prefix_map_record_cached (
          bd_selector_prefixes (sim->coordinator.selector),
          call->request.prefix,
          sim->coordinator.by_runner[call->assigned_runner]->hash);
      call_finish_prefill (call);
      break;
    case EVENT_END_REPORTED:
      call_release_assignment (call);
      break;
    }
}

static void
gateway_init (struct simulation *sim, struct gateway *gateway, size_t number)
{
  gateway->targets = bd_targets_create ();
  gateway->selector = bd_selector_create (bd_random_next (&sim->random));
  gateway->random = bd_random_next (&sim->random);
  snprintf (gateway->zone, sizeof gateway->zone, "z%zu",
            number % sim->scenario->zones);
  for (size_t r = 0; r < sim->runner_count; r++)
    announce_runner (sim, gateway, r, false);
}

static void
gateway_clear (struct gateway *gateway)
{
  bd_targets_destroy (gateway->targets);
  bd_selector_destroy (gateway->selector);
}

static void
sim_init (struct simulation *sim)
{
  const struct sim_scenario *scenario = sim->scenario;

  for (size_t r = 0; r < scenario->runners; r++)
    add_runner (sim, "v1");
  for (size_t g = 0; g < scenario->gateways; g++)
    {
      gateway_init (sim, &sim->gateways[g], g);
      sim_schedule (
          sim, scenario->gossip_ms * (double)g / (double)scenario->gateways,
          EVENT_GOSSIP, NULL, (uint32_t)g);
    }
  gateway_init (sim, &sim->coordinator, 0);
  sim->ledger = bd_ledger_create ();
  for (size_t c = 0; c < scenario->class_count; c++)
    {
      const struct sim_class *class = &scenario->classes[c];
      double sum = 0.0;

      sim->popularity[c] = calloc (class->prefix_count, sizeof (double));
      for (uint32_t p = 0; p < class->prefix_count; p++)
        {
          sum += pow (p + 1.0, -class->skew);
          sim->popularity[c][p] = sum;
        }
      if (class->priority + 3 > sim->lowest_priority)
        sim->lowest_priority = class->priority + 3;
      plan_arrival (sim, c);
    }
  for (size_t f = 0; f < scenario->fault_count; f++)
    sim_schedule (sim, scenario->faults[f].at_ms, EVENT_FAULT,
                  (void *)&scenario->faults[f], 0);
}

static void
sim_clear (struct simulation *sim)
{
  struct bd_heap_node *node;

  while ((node = bd_heap_first (&sim->heap)))
    {
      bd_heap_remove (&sim->heap, node);
      free (node);
    }
  bd_heap_clear (&sim->heap);
  for (size_t i = 0; i < sim->call_count; i++)
    free (sim->calls[i]);
  free (sim->calls);
  for (size_t g = 0; g < sim->scenario->gateways; g++)
    gateway_clear (&sim->gateways[g]);
  bd_ledger_destroy (sim->ledger);
  gateway_clear (&sim->coordinator);
  for (size_t r = 0; r < sim->runner_count; r++)
    engine_destroy (sim->runners[r].engine);
  for (size_t c = 0; c < sim->scenario->class_count; c++)
    free (sim->popularity[c]);
}

void
sim_run (const struct sim_scenario *scenario, enum sim_policy policy,
         uint64_t seed, struct sim_result *result)
{
  struct simulation *sim = calloc (1, sizeof *sim);
  struct bd_heap_node *node;

  if (!sim)
    abort ();
  sim->scenario = scenario;
  sim->policy = policy;
  sim->random = seed;
  sim_init (sim);
  while ((node = bd_heap_first (&sim->heap)))
    {
      struct event *event = (struct event *)node;

      bd_heap_remove (&sim->heap, node);
      sim->now_ms = (double)node->key / US_PER_MS;
      if (sim->now_ms > scenario->length_ms + 20000.0)
        {
          free (event);
          break;
        }
      process_event (sim, event);
      free (event);
    }
  sim_summarize (sim, result);
  sim_clear (sim);
  free (sim);
}
