/**
 * @file call_schedule.h
 * When a client of a service that it watches makes its next call, and how long
 * it waits for a response.
 *
 * A call that was sent to a service that falls silent is lost, also after the
 * service answers other calls again.  The schedule bounds how long such a call
 * is waited for, so that the client reads what has changed within a given time
 * after the service's return.  Makes no calls itself; the caller does.
 */
#ifndef BD_CALL_SCHEDULE_H
#define BD_CALL_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

/** All times are in milliseconds, by one clock. */
struct bd_call_schedule
{
  int64_t silence_max_ms; /**< A lost call is replaced within this time. */
  int64_t call_started_ms;
  int64_t call_hold_ms;
  int64_t call_timeout_ms;
  int64_t next_call_ms; /**< Earliest start of the next call. */
  int64_t backoff_ms;   /**< 0: the last call was answered. */
  uint64_t random_state;
};

/** SEED is the seed of the jitter. */
void bd_call_schedule_init (struct bd_call_schedule *schedule,
                            int64_t silence_max_ms, uint64_t seed);

/**
 * How long the service may hold a watch that is sent now and has no event.  It
 * is 0 after a failure, since a held call shows late that the service is back.
 */
int64_t bd_call_schedule_hold_ms (const struct bd_call_schedule *schedule);

/** Records the start of a call that the service may hold for HOLD_MS. */
void bd_call_schedule_started (struct bd_call_schedule *schedule,
                               int64_t now_ms, int64_t hold_ms);

/** Returns when the call in flight is to be answered at the latest, if it gets
    to the service at once. */
int64_t bd_call_schedule_due_ms (const struct bd_call_schedule *schedule);

/** Returns whether the call in flight has taken too long. */
bool bd_call_schedule_timed_out (const struct bd_call_schedule *schedule,
                                 int64_t now_ms);

/** Returns whether the next call may be made. */
bool bd_call_schedule_is_due (const struct bd_call_schedule *schedule,
                              int64_t now_ms);

/** The call was answered; the next one may be made after DELAY_MS. */
void bd_call_schedule_answered (struct bd_call_schedule *schedule,
                                int64_t now_ms, int64_t delay_ms);

/** The call failed; the next one is made after a backoff with jitter. */
void bd_call_schedule_failed (struct bd_call_schedule *schedule,
                              int64_t now_ms);

#endif
