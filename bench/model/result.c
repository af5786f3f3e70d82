/* What came of all requests. */
#include "course.h"

#include <stdlib.h>
#include <string.h>

static double
worth_of (const struct world *world, const struct call *call)
{
  const struct world_class *class = call->class;
  double mean = class->shared.mean + class->own.mean
                + OUTPUT_WEIGHT * class->events.mean * class->stride;
  double sized = WORTH_FIXED + WORTH_SIZED * call->size / mean;

  (void)world;
  return class->worth * (sized < WORTH_SIZE_MOST ? sized : WORTH_SIZE_MOST);
}

static bool
on_time (const struct call *call)
{
  return call->first_ms <= (double)call->class->objective_ms
         && call->worst_gap_ms <= (double)call->class->gap_ms;
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
first_times (const struct world *world, size_t class_index,
             struct world_class_result *result)
{
  double *times = calloc (world->call_count + 1, sizeof (double));
  size_t count = 0;

  for (size_t i = 0; i < world->call_count; i++)
    if (world->calls[i]->class_index == class_index
        && world->calls[i]->state == CALL_SERVED)
      times[count++] = world->calls[i]->first_ms;
  qsort (times, count, sizeof (double), by_value);
  if (count > 0)
    {
      result->first_ms_median = times[count / 2];
      result->first_ms_p99 = times[count * 99 / 100];
    }
  free (times);
}

/* Whether runners were impaired in the window from FROM_MS, or just before. */
static bool
impaired (const struct world *world, double from_ms)
{
  for (size_t i = 0; i < world->scenario->fault_count; i++)
    {
      const struct world_fault *fault = &world->scenario->faults[i];

      if (fault->kind != WORLD_REPLACE
          && fault->at_ms < from_ms + 2 * PASSED_WINDOW_MS
          && fault->at_ms + fault->for_ms > from_ms)
        return true;
    }
  return false;
}

static uint32_t
passed_in_window (const struct world *world, double from_ms,
                  size_t class_index)
{
  const struct world_class *class = &world->scenario->classes[class_index];
  double size = class->shared.mean + class->own.mean;
  uint32_t asked = 0;
  uint32_t nothing = 0;
  bool larger_began = false;

  for (size_t i = 0; i < world->call_count; i++)
    {
      const struct call *call = world->calls[i];
      const struct world_class *other = call->class;

      if (call->class_index == class_index && call->arrived_ms >= from_ms
          && call->arrived_ms < from_ms + PASSED_WINDOW_MS)
        {
          asked++;
          nothing += call->state != CALL_SERVED;
        }
      if (other->priority > class->priority
          && other->shared.mean + other->own.mean > 1.5 * size
          && call->events > 0 && call->began_window_ms >= from_ms
          && call->began_window_ms < from_ms + PASSED_WINDOW_MS)
        larger_began = true;
    }
  return larger_began && nothing >= PASSED_LEAST
                 && nothing * PASSED_SHARE > asked
             ? nothing
             : 0;
}

void
world_add_up (const struct world *world, struct world_result *result)
{
  double owed[WORLD_CLASSES_MAX] = { 0 };
  double earned[WORLD_CLASSES_MAX] = { 0 };
  double window_owed[WINDOWS_MAX] = { 0 };
  double window_earned[WINDOWS_MAX] = { 0 };
  double worst[2] = { 1.0, 1.0 };
  double all_owed = 0.0;
  double all_earned = 0.0;
  uint32_t unserved = 0;
  uint64_t most = 0;
  uint64_t read = 0;

  memset (result, 0, sizeof *result);
  for (size_t i = 0; i < world->call_count; i++)
    {
      const struct call *call = world->calls[i];
      struct world_class_result *row = &result->classes[call->class_index];
      double worth = worth_of (world, call);
      size_t window = (size_t)(call->arrived_ms / WINDOW_MS) % WINDOWS_MAX;
      double got = 0.0;

      row->asked++;
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
      owed[call->class_index] += worth;
      earned[call->class_index] += got;
      window_owed[window] += worth;
      window_earned[window] += got;
    }
  for (size_t c = 0; c < world->scenario->class_count; c++)
    {
      result->classes[c].worth = owed[c] > 0.0 ? earned[c] / owed[c] : 1.0;
      all_owed += owed[c];
      all_earned += earned[c];
      first_times (world, c, &result->classes[c]);
    }
  for (size_t w = 0; w < WINDOWS_MAX; w++)
    if (window_owed[w] > 0.0)
      {
        double share = window_earned[w] / window_owed[w];

        if (share < worst[0])
          {
            worst[1] = worst[0];
            worst[0] = share;
          }
        else if (share < worst[1])
          worst[1] = share;
      }
  for (size_t r = 0; r < world->runner_count; r++)
    {
      uint64_t tokens = engine_read_tokens (world->runners[r].engine);

      read += tokens;
      if (tokens > most)
        most = tokens;
    }
  result->worst_windows = (worst[0] + worst[1]) / 2;
  result->worth = all_owed > 0.0 ? all_earned / all_owed : 1.0;
  result->unserved
      = world->call_count ? (double)unserved / (double)world->call_count : 0.0;
  result->read_tokens = read;
  result->fetched_tokens = world->fetched_tokens;
  result->busiest
      = read ? (double)most * (double)world->scenario->runners / (double)read
             : 0.0;
  for (size_t c = 0; c < world->scenario->class_count; c++)
    {
      uint32_t worst_window = 0;
      int windows = (int)(world->scenario->length_ms / PASSED_STEP_MS);

      for (int w = 0; w < windows; w++)
        {
          double from = w * PASSED_STEP_MS;
          uint32_t passed = 0;

          if (!impaired (world, from))
            passed = passed_in_window (world, from, c);
          if (passed > worst_window)
            worst_window = passed;
        }
      result->passed_over += worst_window;
    }
}
