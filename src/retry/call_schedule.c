#include "retry/call_schedule.h"

#include "common/random.h"

/* Response timeout. */
#define RESPONSE_TIMEOUT_MS 1500
/* Response timeout of a watch, after the time for which it is held. */
#define WATCH_TIMEOUT_MS 1000
/* Time for the call that replaces a lost one, and its response. */
#define REPLACEMENT_MS 500
#define HOLD_MIN_MS 100
#define BACKOFF_FIRST_MS 100
#define BACKOFF_MAX_MS 1000

void
bd_call_schedule_init (struct bd_call_schedule *schedule,
                       int64_t silence_max_ms, uint64_t seed)
{
  *schedule = (struct bd_call_schedule){ .silence_max_ms = silence_max_ms,
                                         .random_state = seed };
}

int64_t
bd_call_schedule_hold_ms (const struct bd_call_schedule *schedule)
{
  int64_t hold_ms
      = schedule->silence_max_ms - WATCH_TIMEOUT_MS - REPLACEMENT_MS;

  if (schedule->backoff_ms != 0)
    return 0;
  return hold_ms > HOLD_MIN_MS ? hold_ms : HOLD_MIN_MS;
}

void
bd_call_schedule_started (struct bd_call_schedule *schedule, int64_t now_ms,
                          int64_t hold_ms)
{
  schedule->call_started_ms = now_ms;
  schedule->call_hold_ms = hold_ms;
  schedule->call_timeout_ms
      = hold_ms > 0 ? hold_ms + WATCH_TIMEOUT_MS : RESPONSE_TIMEOUT_MS;
}

int64_t
bd_call_schedule_due_ms (const struct bd_call_schedule *schedule)
{
  return schedule->call_started_ms + schedule->call_hold_ms;
}

bool
bd_call_schedule_timed_out (const struct bd_call_schedule *schedule,
                            int64_t now_ms)
{
  return now_ms - schedule->call_started_ms > schedule->call_timeout_ms;
}

bool
bd_call_schedule_is_due (const struct bd_call_schedule *schedule,
                         int64_t now_ms)
{
  return now_ms >= schedule->next_call_ms;
}

void
bd_call_schedule_answered (struct bd_call_schedule *schedule, int64_t now_ms,
                           int64_t delay_ms)
{
  schedule->backoff_ms = 0;
  schedule->next_call_ms = now_ms + delay_ms;
}

/* The backoff counts from the start of the call, so that one that was waited
   for as long is replaced at once.  All instances may see the same failure: a
   short random delay spreads their calls. */
void
bd_call_schedule_failed (struct bd_call_schedule *schedule, int64_t now_ms)
{
  int64_t backoff_ms = schedule->backoff_ms != 0 ? 2 * schedule->backoff_ms
                                                 : BACKOFF_FIRST_MS;
  int64_t next_ms;

  if (backoff_ms > BACKOFF_MAX_MS)
    backoff_ms = BACKOFF_MAX_MS;
  next_ms = schedule->call_started_ms + backoff_ms / 2
            + bd_random_below (&schedule->random_state, (uint32_t)backoff_ms);
  if (next_ms < now_ms)
    next_ms
        = now_ms + bd_random_below (&schedule->random_state, BACKOFF_FIRST_MS);
  schedule->backoff_ms = backoff_ms;
  schedule->next_call_ms = next_ms;
}
