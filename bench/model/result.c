/* Statistics over all requests of a simulation. */
#include "simulation_internal.h"

#include <stdlib.h>
#include <string.h>

static double
worth_of (const struct simulation *sim, const struct call *call)
{
  const struct sim_class *class = call->class;
  double mean = class->shared.mean + class->own.mean
                + OUTPUT_WEIGHT * class->events.mean * class->tokens_per_event;
  double sized = WORTH_FIXED + WORTH_SIZED * call->size / mean;

  (void)sim;
  return class->worth * (sized < WORTH_SIZE_MAX ? sized : WORTH_SIZE_MAX);
}

static bool
on_time (const struct call *call)
{
  return call->first_ms <= (double)call->class->objective_ms
         && call->worst_gap_ms <= (double)call->class->gap_ms;
}

static int
compare_times (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
first_event_percentiles (const struct simulation *sim, size_t class_index,
                         struct sim_class_result *result)
{
  double *times = calloc (sim->call_count + 1, sizeof (double));
  size_t count = 0;

  for (size_t i = 0; i < sim->call_count; i++)
    if (sim->calls[i]->class_index == class_index
        && sim->calls[i]->state == CALL_SERVED)
      times[count++] = sim->calls[i]->first_ms;
  qsort (times, count, sizeof (double), compare_times);
  if (count > 0)
    {
      result->first_ms_median = times[count / 2];
      result->first_ms_p99 = times[count * 99 / 100];
    }
  free (times);
}

/* Whether a crash or slowdown overlaps the window from FROM_MS or the one
   after it. */
static bool
impaired (const struct simulation *sim, double from_ms)
{
  for (size_t i = 0; i < sim->scenario->fault_count; i++)
    {
      const struct sim_fault *fault = &sim->scenario->faults[i];

      if (fault->kind != SIM_REPLACE
          && fault->at_ms < from_ms + 2 * STARVED_WINDOW_MS
          && fault->at_ms + fault->duration_ms > from_ms)
        return true;
    }
  return false;
}

/* Returns the requests of the window from FROM_MS without a whole answer, if
   they are too many beside what less urgent classes got; otherwise 0. */
static uint32_t
starved_in_window (const struct simulation *sim, double from_ms,
                   size_t class_index)
{
  const struct sim_class *class = &sim->scenario->classes[class_index];
  double size = class->shared.mean + class->own.mean;
  uint32_t offered = 0;
  uint32_t unserved = 0;
  bool larger_started = false;

  for (size_t i = 0; i < sim->call_count; i++)
    {
      const struct call *call = sim->calls[i];
      const struct sim_class *other = call->class;

      if (call->class_index == class_index && call->arrived_ms >= from_ms
          && call->arrived_ms < from_ms + STARVED_WINDOW_MS)
        {
          offered++;
          unserved += call->state != CALL_SERVED;
        }
      if (other->priority > class->priority
          && other->shared.mean + other->own.mean > 1.5 * size
          && call->event_count > 0 && call->first_event_at_ms >= from_ms
          && call->first_event_at_ms < from_ms + STARVED_WINDOW_MS)
        larger_started = true;
    }
  return larger_started && unserved >= STARVED_MIN
                 && unserved * STARVED_DIVISOR > offered
             ? unserved
             : 0;
}

void
sim_summarize (const struct simulation *sim, struct sim_result *result)
{
  double offered[SIM_CLASSES_MAX] = { 0 };
  double earned[SIM_CLASSES_MAX] = { 0 };
  double window_offered[WINDOWS_MAX] = { 0 };
  double window_earned[WINDOWS_MAX] = { 0 };
  double worst[2] = { 1.0, 1.0 };
  double all_offered = 0.0;
  double all_earned = 0.0;
  uint32_t unserved = 0;
  uint64_t max_tokens = 0;
  uint64_t prefill_tokens = 0;

  memset (result, 0, sizeof *result);
  for (size_t i = 0; i < sim->call_count; i++)
    {
      const struct call *call = sim->calls[i];
      struct sim_class_result *row = &result->classes[call->class_index];
      double worth = worth_of (sim, call);
      size_t window = (size_t)(call->arrived_ms / WINDOW_MS) % WINDOWS_MAX;
      double got = 0.0;

      row->offered++;
      if (call->state == CALL_SERVED && on_time (call))
        {
          row->on_time++;
          got = worth;
        }
      else if (call->state == CALL_SERVED)
        {
          row->late++;
          got = worth * call->class->late_worth / call->class->worth;
        }
      else if (call->state == CALL_REFUSED)
        row->refused++;
      else
        row->failed++;
      unserved += call->state != CALL_SERVED;
      offered[call->class_index] += worth;
      earned[call->class_index] += got;
      window_offered[window] += worth;
      window_earned[window] += got;
    }
  for (size_t c = 0; c < sim->scenario->class_count; c++)
    {
      result->classes[c].worth
          = offered[c] > 0.0 ? earned[c] / offered[c] : 1.0;
      all_offered += offered[c];
      all_earned += earned[c];
      first_event_percentiles (sim, c, &result->classes[c]);
    }
  for (size_t w = 0; w < WINDOWS_MAX; w++)
    if (window_offered[w] > 0.0)
      {
        double share = window_earned[w] / window_offered[w];

        if (share < worst[0])
          {
            worst[1] = worst[0];
            worst[0] = share;
          }
        else if (share < worst[1])
          worst[1] = share;
      }
  for (size_t r = 0; r < sim->runner_count; r++)
    {
      uint64_t tokens = engine_prefill_tokens (sim->runners[r].engine);

      prefill_tokens += tokens;
      if (tokens > max_tokens)
        max_tokens = tokens;
    }
  result->worst_window_worth = (worst[0] + worst[1]) / 2;
  result->worth = all_offered > 0.0 ? all_earned / all_offered : 1.0;
  result->unserved
      = sim->call_count ? (double)unserved / (double)sim->call_count : 0.0;
  result->prefill_tokens = prefill_tokens;
  result->fetched_tokens = sim->fetched_tokens;
  result->resumed = sim->resumed_count;
  result->joined = sim->joined_count;
  result->peak_to_mean = prefill_tokens ? (double)max_tokens
                                              * (double)sim->scenario->runners
                                              / (double)prefill_tokens
                                        : 0.0;
  for (size_t c = 0; c < sim->scenario->class_count; c++)
    {
      uint32_t max_starved = 0;
      int windows = (int)(sim->scenario->length_ms / STARVED_STEP_MS);

      for (int w = 0; w < windows; w++)
        {
          double from = w * STARVED_STEP_MS;
          uint32_t starved = 0;

          if (!impaired (sim, from))
            starved = starved_in_window (sim, from, c);
          if (starved > max_starved)
            max_starved = starved;
        }
      result->starved += max_starved;
    }
}
