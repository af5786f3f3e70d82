#include "dispatch/job.h"
#include "stream/resume.h"
#include "stream/sse.h"

#include <stdlib.h>

/* Reservations at the start of an attempt, and time until the next one; the
   time doubles with each. */
#define FIRST_RESERVATIONS 2
#define RESERVE_INTERVAL_MS 20
/* A reservation carries the request body if the runner's last load report is
   younger than the first limit and the body within the second. */
#define DIRECT_REPORT_MAX_AGE_MS 3000
#define DIRECT_MAX_BYTES ((size_t)16 * 1024)

int
bd_job_send (struct bd_dispatch *dispatch, const struct job *job,
             struct bd_fleet_runner *runner, struct bd_message *message)
{
  message->request = job->request.request;
  message->attempt = job->attempt;
  message->target_incarnation = runner->incarnation;
  return dispatch->callbacks->send (dispatch->callbacks,
                                    bd_chunk_of (runner->instance), message);
}

static void
unlink_job (struct bd_dispatch *dispatch, struct job *job)
{
  if (job->previous)
    job->previous->next = job->next;
  else
    dispatch->first_job = job->next;
  if (job->next)
    job->next->previous = job->previous;
  else
    dispatch->last_job = job->previous;
}

static void
set_runner (struct job *job, struct bd_fleet_runner *runner)
{
  if (job->runner)
    job->runner->job_count--;
  job->runner = runner;
  if (runner)
    runner->job_count++;
}

static void
count_reservations (const struct bd_fleet_runner *runner, int delta)
{
  struct bd_placement *placement = runner->pool->placement;
  int index = bd_placement_find (placement, bd_chunk_of (runner->instance));

  if (index >= 0)
    bd_placement_count_reservation (placement, (uint32_t)index, delta);
}

static void
close_reservation (struct reservation *reservation)
{
  if (!reservation->open)
    return;
  reservation->open = false;
  reservation->runner->open_reservations--;
  count_reservations (reservation->runner, -1);
}

static void
release_reservations (struct job *job)
{
  for (size_t i = 0; i < job->reservation_count; i++)
    {
      close_reservation (&job->reservations[i]);
      job->reservations[i].runner->job_count--;
    }
  job->reservation_count = 0;
}

/* Declines the open reservations except that at EXCEPT (may be NULL). */
static void
cancel_reservations (struct bd_dispatch *dispatch, struct job *job,
                     const struct bd_fleet_runner *except)
{
  for (size_t i = 0; i < job->reservation_count; i++)
    {
      struct bd_message m = { .type = BD_MESSAGE_DECLINE };

      if (!job->reservations[i].open
          || (except && job->reservations[i].runner == except))
        continue;
      /* The runner may have started it already: stop it. */
      if (job->reservations[i].direct)
        {
          job->may_have_run = true;
          m.type = BD_MESSAGE_CANCEL;
        }
      bd_job_send (dispatch, job, job->reservations[i].runner, &m);
      dispatch->callbacks->count (dispatch->callbacks, BD_DISPATCH_DECLINE);
    }
  release_reservations (job);
}

void
bd_job_free (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  bd_limiter_release (dispatch->limiter, now_ms, job->workspace_hash,
                      job->expected_tokens, job->tokens);
  release_reservations (job);
  set_runner (job, NULL);
  bd_map_remove (dispatch->jobs, job->request.request, 0);
  unlink_job (dispatch, job);
  bd_stream_destroy (job->stream);
  bd_buffer_clear (&job->retained);
  bd_buffer_clear (&job->done_event);
  free (job->content_type);
  free (job->texts);
  free (job);
}

/* Tells whether a runner has the body but has not answered yet, and thus may
   run it. */
static bool
body_sent_ahead (const struct job *job)
{
  for (size_t i = 0; i < job->reservation_count; i++)
    if (job->reservations[i].open && job->reservations[i].direct)
      return true;
  return false;
}

void
bd_job_fail (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
             int error, enum bd_ran ran)
{
  struct bd_delivery delivery = { .kind = BD_DELIVERY_FAIL,
                                  .error = error,
                                  .ran = ran,
                                  .retry_after_ms = job->retry_after_ms };

  if ((job->may_have_run || body_sent_ahead (job)) && ran == BD_RAN_NO)
    delivery.ran = BD_RAN_UNKNOWN;
  if (job->state == JOB_RESERVING)
    cancel_reservations (dispatch, job, NULL);
  dispatch->open_jobs--;
  dispatch->callbacks->deliver (dispatch->callbacks, job->request.request,
                                &delivery);
  bd_job_free (dispatch, now_ms, job);
}

/* Sets the fields of M that make up the engine's request. */
static void
fill_body (const struct job *job, struct bd_message *m)
{
  const struct bd_dispatch_request *r = &job->request;

  m->method = r->method;
  m->path = r->path;
  m->content_type = r->content_type;
  m->key_text = r->key_text;
  m->body = r->body;
}

static void
send_reserve (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              struct bd_fleet_runner *runner, bool direct)
{
  const struct bd_dispatch_request *r = &job->request;
  struct bd_message m = {
    .type = BD_MESSAGE_RESERVE,
    .flags = r->flags | (job->isolated ? BD_FLAG_ALONE : 0),
    .tier = r->tier,
    .tokens = job->expected_tokens,
    .bytes = (uint32_t)r->body.length,
    .budget_ms = job->deadline_ms - now_ms,
    .queue_budget_ms = job->queue_until_ms - now_ms,
    .min_share_permille = (uint32_t)r->min_share_permille,
    .prefix_hash = r->prefix_hash,
    .fingerprint = r->fingerprint,
    .workspace = r->workspace,
    .class_name = r->class_name,
  };

  if (job->keyed)
    {
      m.key = r->key;
      m.key_text = r->key_text;
      m.key_origin = r->key_origin;
      m.key_incarnation = r->key_incarnation;
      m.key_wall_ms = r->key_wall_ms;
      m.key_expires_ms = r->key_expires_ms;
      m.retry_window_ms = r->retry_window_ms;
    }
  if (direct)
    {
      m.flags |= BD_FLAG_DIRECT;
      fill_body (job, &m);
    }
  bd_job_send (dispatch, job, runner, &m);
}

/* Tells whether the last load report of RUNNER shows a free slot.  Such a
   runner gets the body with the reservation, which saves the round trip of a
   grant. */
static bool
looks_idle (const struct bd_fleet_runner *runner, int64_t now_ms)
{
  return runner->state == BD_RUNNER_LIVE && runner->load.queued == 0
         && runner->load.running + runner->open_reservations
                < runner->load.slots
         && now_ms - runner->load.measured_ms < DIRECT_REPORT_MAX_AGE_MS;
}

static void
reserve_at (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
            struct bd_fleet_runner *runner)
{
  bool direct = job->reservation_count == 0 && !job->isolated
                && !job->data_sent
                && dispatch->settings.policy == BD_POLICY_LATE_BINDING
                && job->request.body.length <= DIRECT_MAX_BYTES
                && looks_idle (runner, now_ms);

  if (job->reservation_count == BD_RESERVATIONS_MAX)
    return;
  job->reservations[job->reservation_count++] = (struct reservation){
    .runner = runner, .open = true, .direct = direct
  };
  runner->job_count++;
  runner->open_reservations++;
  count_reservations (runner, 1);
  bd_fleet_connect (dispatch->fleet, now_ms, runner);
  send_reserve (dispatch, now_ms, job, runner, direct);
}

static size_t
reserved_indexes (const struct job *job, uint32_t indexes[BD_RESERVATIONS_MAX])
{
  size_t count = 0;

  for (size_t i = 0; i < job->reservation_count; i++)
    {
      const struct bd_fleet_runner *runner = job->reservations[i].runner;
      int index = bd_placement_find (runner->pool->placement,
                                     bd_chunk_of (runner->instance));

      if (index >= 0)
        indexes[count++] = (uint32_t)index;
    }
  return count;
}

/* Reserves at up to MAX_COUNT further runners; returns their number. */
static size_t
reserve_more (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              size_t max_count)
{
  struct bd_fleet_pool *pool
      = bd_fleet_pool (dispatch->fleet, job->request.pool);
  uint32_t exclude[BD_RESERVATIONS_MAX];
  uint32_t chosen[BD_RESERVATIONS_MAX];
  struct bd_placement_request placement_request = {
    .prefix_hash = job->request.prefix_hash,
    .tier = job->request.tier,
    .expected_tokens = job->expected_tokens,
    .time_left_ms = (int32_t)(job->deadline_ms - now_ms),
    .exclude = exclude,
    .exclude_count = reserved_indexes (job, exclude),
  };
  size_t room = BD_RESERVATIONS_MAX - job->reservation_count;
  size_t count;

  if (!pool || room == 0)
    return 0;
  count = bd_placement_choose (pool->placement, now_ms, &placement_request,
                               chosen, max_count < room ? max_count : room);
  for (size_t i = 0; i < count; i++)
    reserve_at (dispatch, now_ms, job, pool->subset[chosen[i]]);
  return count;
}

/* Tells whether another copy of a crash suspect is in flight.  Copies run one
   at a time, so that each one's outcome is known before the next starts. */
static bool
copy_in_flight (const struct bd_dispatch *dispatch, const struct job *job)
{
  for (const struct job *other = dispatch->first_job; other;
       other = other->next)
    if (other != job && other->isolated
        && other->request.fingerprint == job->request.fingerprint
        && (other->state == JOB_RUNNING || other->reservation_count > 0))
      return true;
  return false;
}

static void
reserve_isolated (struct bd_dispatch *dispatch, int64_t now_ms,
                  struct job *job, struct bd_fleet_pool *pool)
{
  struct bd_chunk *names = calloc (pool->runner_count + 1, sizeof *names);
  struct bd_fleet_runner **live
      = calloc (pool->runner_count + 1, sizeof (struct bd_fleet_runner *));
  bool wait = copy_in_flight (dispatch, job);
  size_t count = 0;

  for (size_t i = 0; names && live && !wait && i < pool->runner_count; i++)
    if (pool->runners[i]->state <= BD_RUNNER_LIVE)
      {
        names[count] = bd_chunk_of (pool->runners[i]->instance);
        live[count++] = pool->runners[i];
      }
  if (count > 0)
    reserve_at (
        dispatch, now_ms, job,
        live[bd_suspects_runner (job->request.fingerprint, names, count)]);
  free (names);
  free (live);
}

/* Reserves at the key's owner, the only runner that may run the key.  Returns
   BD_OK, or an error when there is none. */
static int
reserve_at_key_owner (struct bd_dispatch *dispatch, int64_t now_ms,
                      struct job *job, struct bd_fleet_pool *pool)
{
  const struct bd_dispatch_request *r = &job->request;
  struct bd_fleet_runner *runner
      = r->key_origin == BD_KEY_ISSUED
            ? bd_fleet_runner (dispatch->fleet, r->key_owner)
            : bd_fleet_home_runner (pool, r->key);

  if (!runner)
    return BD_ERR_OUTCOME_UNKNOWN;
  /* The incarnation named by the key has ended. */
  if (r->key_origin == BD_KEY_ISSUED
      && runner->incarnation > r->key_incarnation)
    return BD_ERR_OUTCOME_UNKNOWN;
  reserve_at (dispatch, now_ms, job, runner);
  return BD_OK;
}

static void
set_queue_limit (int64_t now_ms, struct job *job)
{
  int64_t left_ms = job->deadline_ms - now_ms;
  uint32_t token_time_us
      = job->reservation_count > 0
            ? job->reservations[0].runner->load.token_time_us
            : 0;
  int64_t work_ms = (int64_t)job->expected_tokens * token_time_us / 1000;

  /* A request granted after this time would miss its deadline. */
  if (work_ms > left_ms / 2)
    work_ms = left_ms / 2;
  job->queue_until_ms = job->deadline_ms - work_ms;
}

/* Reserves at up to MAX_COUNT runners, but only at the first one if that is
   sent the body. */
static void
reserve_first (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
               size_t max_count)
{
  if (reserve_more (dispatch, now_ms, job, 1) == 0
      || job->reservations[0].direct)
    return;
  if (max_count > 1)
    reserve_more (dispatch, now_ms, job, max_count - 1);
}

void
bd_job_start_attempt (struct bd_dispatch *dispatch, int64_t now_ms,
                      struct job *job)
{
  struct bd_fleet_pool *pool
      = bd_fleet_pool (dispatch->fleet, job->request.pool);
  bool late = dispatch->settings.policy == BD_POLICY_LATE_BINDING;
  int error = BD_OK;

  job->state = JOB_RESERVING;
  job->attempt++;
  job->reserve_interval_ms = RESERVE_INTERVAL_MS;
  job->next_reserve_ms = now_ms + RESERVE_INTERVAL_MS;
  set_queue_limit (now_ms, job);
  if (!pool)
    error = BD_ERR_NOT_FOUND;
  else if (job->keyed)
    error = reserve_at_key_owner (dispatch, now_ms, job, pool);
  else if (job->isolated)
    reserve_isolated (dispatch, now_ms, job, pool);
  else
    reserve_first (dispatch, now_ms, job, late ? FIRST_RESERVATIONS : 1);
  if (error != BD_OK)
    bd_job_fail (dispatch, now_ms, job, error,
                 job->keyed ? BD_RAN_UNKNOWN : bd_error_answer (error)->ran);
  else if (job->reservation_count == 0
           && !(job->isolated && copy_in_flight (dispatch, job)))
    bd_job_fail (dispatch, now_ms, job, BD_ERR_NO_RUNNER, BD_RAN_NO);
}

/* Starts a copy of a crash suspect that waited for another copy.  Meanwhile
   the request may have been quarantined, or cleared. */
static void
start_waiting_isolated (struct bd_dispatch *dispatch, int64_t now_ms,
                        struct job *job)
{
  enum bd_suspicion suspicion = bd_suspects_check (dispatch->suspects, now_ms,
                                                   job->request.fingerprint);

  if (suspicion == BD_SUSPICION_QUARANTINE)
    {
      bd_job_fail (dispatch, now_ms, job, BD_ERR_QUARANTINED, BD_RAN_NO);
      return;
    }
  if (copy_in_flight (dispatch, job))
    return;
  job->isolated = suspicion == BD_SUSPICION_ISOLATE;
  bd_job_start_attempt (dispatch, now_ms, job);
}

void
bd_job_reserve_more (struct bd_dispatch *dispatch, int64_t now_ms,
                     struct job *job)
{
  if (job->isolated && job->reservation_count == 0)
    {
      job->next_reserve_ms = now_ms + RESERVE_INTERVAL_MS;
      start_waiting_isolated (dispatch, now_ms, job);
      return;
    }
  job->reserve_interval_ms *= 2;
  job->next_reserve_ms = now_ms + job->reserve_interval_ms;
  if (job->keyed || job->isolated)
    {
      /* RESERVE or its GRANT may have been lost. */
      if (job->reservation_count > 0 && job->reservations[0].open)
        send_reserve (dispatch, now_ms, job, job->reservations[0].runner,
                      false);
      return;
    }
  if (dispatch->settings.policy == BD_POLICY_LATE_BINDING
      && reserve_more (dispatch, now_ms, job, 1) > 0)
    dispatch->callbacks->count (dispatch->callbacks,
                                BD_DISPATCH_EXTRA_RESERVATION);
}

static void
send_run (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
          struct bd_fleet_runner *runner)
{
  const struct bd_dispatch_request *r = &job->request;
  struct bd_buffer resumed = { 0 };
  struct bd_message m = { .type = BD_MESSAGE_RUN,
                          .flags = r->flags,
                          .budget_ms = job->deadline_ms - now_ms };

  fill_body (job, &m);
  if (job->streamed && job->data_sent
      && bd_resume_body (r->body, bd_buffer_chunk (&job->retained), &resumed)
             == BD_OK)
    {
      m.body = bd_buffer_chunk (&resumed);
      m.tokens = job->delivered_events;
      dispatch->callbacks->count (dispatch->callbacks, BD_DISPATCH_RESUME);
    }
  bd_job_send (dispatch, job, runner, &m);
  bd_buffer_clear (&resumed);
}

void
bd_job_grant (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              struct bd_fleet_runner *runner, bool runs)
{
  set_runner (job, runner);
  cancel_reservations (dispatch, job, runner);
  job->state = JOB_RUNNING;
  if (job->run_count++ == 0)
    bd_retry_count_first (&dispatch->budget);
  job->last_progress_ms = now_ms;
  bd_stream_resume (job->stream, job->attempt, job->stream_bytes);
  if (!runs)
    send_run (dispatch, now_ms, job, runner);
}

/* Reserves at a runner without a reservation; false when there is none. */
static bool
reserve_another (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  struct bd_fleet_pool *pool
      = bd_fleet_pool (dispatch->fleet, job->request.pool);
  size_t before = job->reservation_count;

  if (!job->isolated)
    return reserve_more (dispatch, now_ms, job, 1) > 0;
  if (pool)
    reserve_isolated (dispatch, now_ms, job, pool);
  return job->reservation_count > before;
}

void
bd_job_refused (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
                struct bd_fleet_runner *runner,
                const struct bd_message *message)
{
  size_t open = 0;
  bool lost = message->error == BD_ERR_INCOMPLETE;
  bool elsewhere
      = bd_retry_may_succeed_elsewhere ((enum bd_error)message->error);

  for (size_t i = 0; i < job->reservation_count; i++)
    {
      if (job->reservations[i].runner == runner)
        {
          /* The runner may have run the body of a direct reservation before
             the connection was lost. */
          if (job->reservations[i].direct
              && (lost || message->ran != BD_RAN_NO))
            job->may_have_run = true;
          close_reservation (&job->reservations[i]);
        }
      open += job->reservations[i].open;
    }
  job->last_error = message->error;
  job->last_ran = (enum bd_ran)message->ran;
  if (message->retry_after_ms > job->retry_after_ms)
    job->retry_after_ms = message->retry_after_ms;
  if (!job->keyed && open > 0)
    return;
  if (!job->keyed && elsewhere && reserve_another (dispatch, now_ms, job))
    return;
  if (job->last_error == BD_ERR_STALE || lost)
    job->last_error = job->keyed ? BD_ERR_OUTCOME_UNKNOWN : BD_ERR_NO_RUNNER;
  bd_job_fail (dispatch, now_ms, job, job->last_error, job->last_ran);
}

/* Prepares the job's answer for a new attempt: a stream resumes after the
   delivered text, any other answer starts over. */
static bool
reset_answer (struct job *job)
{
  job->end_received = false;
  bd_buffer_reset (&job->done_event);
  if (job->streamed)
    return true;
  bd_buffer_reset (&job->retained);
  job->stream_bytes = 0;
  bd_stream_destroy (job->stream);
  job->stream = bd_stream_create ();
  return job->stream != NULL;
}

void
bd_job_retry (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              int error, enum bd_ran ran, bool disconnected)
{
  bool again = job->idempotent || (ran == BD_RAN_NO && !job->keyed);

  set_runner (job, NULL);
  if (ran != BD_RAN_NO)
    job->may_have_run = true;
  if (job->data_sent && job->retained.length >= BD_JOB_RETAINED_MAX_BYTES)
    again = false;
  if (!again || job->run_count >= BD_RETRY_ATTEMPTS_MAX
      || now_ms >= job->deadline_ms
      || (!disconnected && !job->data_sent
          && !bd_retry_try_charge (&dispatch->budget, BD_RETRY_AFTER_ERROR,
                                   true, job->run_count, (enum bd_error)error))
      || bd_suspects_check (dispatch->suspects, now_ms,
                            job->request.fingerprint)
             == BD_SUSPICION_QUARANTINE)
    {
      bd_job_fail (dispatch, now_ms, job, error, ran);
      return;
    }
  job->isolated = bd_suspects_check (dispatch->suspects, now_ms,
                                     job->request.fingerprint)
                  == BD_SUSPICION_ISOLATE;
  if (!reset_answer (job))
    {
      bd_job_fail (dispatch, now_ms, job, BD_ERR_NOMEM, ran);
      return;
    }
  dispatch->callbacks->count (dispatch->callbacks, BD_DISPATCH_RETRY);
  dispatch->callbacks->log_event (dispatch->callbacks, BD_EVENT_REQUEST_RETRY,
                                  job->request.request, job->attempt,
                                  bd_error_answer (error)->code);
  bd_job_start_attempt (dispatch, now_ms, job);
}
