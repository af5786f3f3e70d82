#include "dispatch/job.h"
#include "stream/resume.h"
#include "stream/sse.h"

#include <stdlib.h>

/* Runners asked at first, and how soon more are. */
#define FIRST_ASKS 2
#define WIDEN_MS 20
/* How new a runner's report must be, and how long a body may be, to be sent
   with the reservation. */
#define DIRECT_REPORT_MS 3000
#define DIRECT_MAX_BYTES ((size_t)16 * 1024)

int
bd_job_send (struct bd_dispatch *dispatch, const struct job *job,
             struct bd_fleet_runner *runner, struct bd_message *message)
{
  message->request = job->request.request;
  message->attempt = job->attempt;
  message->target_incarnation = runner->incarnation;
  return dispatch->port->send (dispatch->port, bd_chunk_of (runner->instance),
                               message);
}

static void
unlink_job (struct bd_dispatch *dispatch, struct job *job)
{
  if (job->previous)
    job->previous->next = job->next;
  else
    dispatch->first = job->next;
  if (job->next)
    job->next->previous = job->previous;
  else
    dispatch->last = job->previous;
}

static void
set_runner (struct job *job, struct bd_fleet_runner *runner)
{
  if (job->runner)
    job->runner->jobs--;
  job->runner = runner;
  if (runner)
    runner->jobs++;
}

static void
count_asked (const struct bd_fleet_runner *runner, int delta)
{
  struct bd_placement *placement = runner->pool->placement;
  int index = bd_placement_find (placement, bd_chunk_of (runner->instance));

  if (index >= 0)
    bd_placement_asked (placement, (uint32_t)index, delta);
}

static void
close_ask (struct ask *ask)
{
  if (!ask->open)
    return;
  ask->open = false;
  ask->runner->asking--;
  count_asked (ask->runner, -1);
}

static void
drop_asks (struct job *job)
{
  for (size_t i = 0; i < job->ask_count; i++)
    {
      close_ask (&job->asks[i]);
      job->asks[i].runner->jobs--;
    }
  job->ask_count = 0;
}

/* Withdraws the reservations that are still open. */
static void
decline_asks (struct bd_dispatch *dispatch, struct job *job,
              const struct bd_fleet_runner *but)
{
  for (size_t i = 0; i < job->ask_count; i++)
    {
      struct bd_message m = { .type = BD_MESSAGE_DECLINE };

      if (!job->asks[i].open || (but && job->asks[i].runner == but))
        continue;
      /* It may run there already, and is stopped. */
      if (job->asks[i].direct)
        {
          job->may_have_run = true;
          m.type = BD_MESSAGE_CANCEL;
        }
      bd_job_send (dispatch, job, job->asks[i].runner, &m);
      dispatch->port->count (dispatch->port, BD_DISPATCH_DECLINE);
    }
  drop_asks (job);
}

void
bd_job_free (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  bd_limiter_release (dispatch->limiter, now_ms, job->workspace_hash,
                      job->expected_tokens, job->tokens);
  drop_asks (job);
  set_runner (job, NULL);
  bd_map_remove (dispatch->jobs, job->request.request, 0);
  unlink_job (dispatch, job);
  bd_stream_destroy (job->stream);
  bd_buffer_clear (&job->kept);
  bd_buffer_clear (&job->held);
  free (job->content_type);
  free (job->owned);
  free (job);
}

/* A runner that has not answered may run the body that it was sent. */
static bool
body_is_out (const struct job *job)
{
  for (size_t i = 0; i < job->ask_count; i++)
    if (job->asks[i].open && job->asks[i].direct)
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

  if ((job->may_have_run || body_is_out (job)) && ran == BD_RAN_NO)
    delivery.ran = BD_RAN_UNKNOWN;
  if (job->state == JOB_ASKING)
    decline_asks (dispatch, job, NULL);
  dispatch->open--;
  dispatch->port->deliver (dispatch->port, job->request.request, &delivery);
  bd_job_free (dispatch, now_ms, job);
}

/* What goes to the engine. */
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
    .flags = r->flags | (job->alone ? BD_FLAG_ALONE : 0),
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

/* A runner whose last report shows a free slot is sent the body with the
   reservation, which saves the round trip of a grant. */
static bool
looks_idle (const struct bd_fleet_runner *runner, int64_t now_ms)
{
  return runner->state == BD_RUNNER_LIVE && runner->load.queued == 0
         && runner->load.running + runner->asking < runner->load.slots
         && now_ms - runner->load.measured_ms < DIRECT_REPORT_MS;
}

static void
add_ask (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
         struct bd_fleet_runner *runner)
{
  bool direct = job->ask_count == 0 && !job->alone && !job->data_sent
                && dispatch->settings.policy == BD_POLICY_LATE_BINDING
                && job->request.body.length <= DIRECT_MAX_BYTES
                && looks_idle (runner, now_ms);

  if (job->ask_count == BD_ASKS_MAX)
    return;
  job->asks[job->ask_count++]
      = (struct ask){ .runner = runner, .open = true, .direct = direct };
  runner->jobs++;
  runner->asking++;
  count_asked (runner, 1);
  bd_fleet_use (dispatch->fleet, now_ms, runner);
  send_reserve (dispatch, now_ms, job, runner, direct);
}

static size_t
excluded (const struct job *job, uint32_t indexes[BD_ASKS_MAX])
{
  size_t count = 0;

  for (size_t i = 0; i < job->ask_count; i++)
    {
      const struct bd_fleet_runner *runner = job->asks[i].runner;
      int index = bd_placement_find (runner->pool->placement,
                                     bd_chunk_of (runner->instance));

      if (index >= 0)
        indexes[count++] = (uint32_t)index;
    }
  return count;
}

/* Asks up to WANT further runners; returns how many were asked. */
static size_t
ask_more (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
          size_t want)
{
  struct bd_fleet_pool *pool
      = bd_fleet_pool (dispatch->fleet, job->request.pool);
  uint32_t exclude[BD_ASKS_MAX];
  uint32_t chosen[BD_ASKS_MAX];
  struct bd_placement_request wanted = {
    .prefix_hash = job->request.prefix_hash,
    .tier = job->request.tier,
    .expected_tokens = job->expected_tokens,
    .time_left_ms = (int32_t)(job->deadline_ms - now_ms),
    .exclude = exclude,
    .exclude_count = excluded (job, exclude),
  };
  size_t room = BD_ASKS_MAX - job->ask_count;
  size_t count;

  if (!pool || room == 0)
    return 0;
  count = bd_placement_choose (pool->placement, now_ms, &wanted, chosen,
                               want < room ? want : room);
  for (size_t i = 0; i < count; i++)
    add_ask (dispatch, now_ms, job, pool->subset[chosen[i]]);
  return count;
}

/* Copies of a request under suspicion run one after the other, so that each
   learns from the one before. */
static bool
copy_in_flight (const struct bd_dispatch *dispatch, const struct job *job)
{
  for (const struct job *other = dispatch->first; other; other = other->next)
    if (other != job && other->alone
        && other->request.fingerprint == job->request.fingerprint
        && (other->state == JOB_RUNNING || other->ask_count > 0))
      return true;
  return false;
}

static void
ask_isolated (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              struct bd_fleet_pool *pool)
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
    add_ask (
        dispatch, now_ms, job,
        live[bd_suspects_runner (job->request.fingerprint, names, count)]);
  free (names);
  free (live);
}

/* The only runner that may run the key.  Returns BD_OK or why none may. */
static int
ask_custodian (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
               struct bd_fleet_pool *pool)
{
  const struct bd_dispatch_request *r = &job->request;
  struct bd_fleet_runner *runner
      = r->key_origin == BD_KEY_ISSUED
            ? bd_fleet_runner (dispatch->fleet, r->key_custodian)
            : bd_fleet_home (pool, r->key);

  if (!runner)
    return BD_ERR_OUTCOME_UNKNOWN;
  /* The incarnation that the key names has ended. */
  if (r->key_origin == BD_KEY_ISSUED
      && runner->incarnation > r->key_incarnation)
    return BD_ERR_OUTCOME_UNKNOWN;
  add_ask (dispatch, now_ms, job, runner);
  return BD_OK;
}

static void
set_queue_limit (int64_t now_ms, struct job *job)
{
  int64_t left_ms = job->deadline_ms - now_ms;
  uint32_t token_time_us
      = job->ask_count > 0 ? job->asks[0].runner->load.token_time_us : 0;
  int64_t work_ms = (int64_t)job->expected_tokens * token_time_us / 1000;

  /* What is granted later could not end before the deadline. */
  if (work_ms > left_ms / 2)
    work_ms = left_ms / 2;
  job->queue_until_ms = job->deadline_ms - work_ms;
}

/* One runner that takes the body at once is enough. */
static void
ask_first (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
           size_t want)
{
  if (ask_more (dispatch, now_ms, job, 1) == 0 || job->asks[0].direct)
    return;
  if (want > 1)
    ask_more (dispatch, now_ms, job, want - 1);
}

void
bd_job_ask (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  struct bd_fleet_pool *pool
      = bd_fleet_pool (dispatch->fleet, job->request.pool);
  bool late = dispatch->settings.policy == BD_POLICY_LATE_BINDING;
  int error = BD_OK;

  job->state = JOB_ASKING;
  job->attempt++;
  job->widen_step_ms = WIDEN_MS;
  job->widen_ms = now_ms + WIDEN_MS;
  set_queue_limit (now_ms, job);
  if (!pool)
    error = BD_ERR_NOT_FOUND;
  else if (job->keyed)
    error = ask_custodian (dispatch, now_ms, job, pool);
  else if (job->alone)
    ask_isolated (dispatch, now_ms, job, pool);
  else
    ask_first (dispatch, now_ms, job, late ? FIRST_ASKS : 1);
  if (error != BD_OK)
    bd_job_fail (dispatch, now_ms, job, error,
                 job->keyed ? BD_RAN_UNKNOWN : bd_error_answer (error)->ran);
  else if (job->ask_count == 0
           && !(job->alone && copy_in_flight (dispatch, job)))
    bd_job_fail (dispatch, now_ms, job, BD_ERR_NO_RUNNER, BD_RAN_NO);
}

/* A copy that waited its turn: by now the request may be refused, or clear. */
static void
ask_waiting (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  enum bd_suspicion suspicion = bd_suspects_look (dispatch->suspects, now_ms,
                                                  job->request.fingerprint);

  if (suspicion == BD_SUSPICION_QUARANTINE)
    {
      bd_job_fail (dispatch, now_ms, job, BD_ERR_QUARANTINED, BD_RAN_NO);
      return;
    }
  if (copy_in_flight (dispatch, job))
    return;
  job->alone = suspicion == BD_SUSPICION_ISOLATE;
  bd_job_ask (dispatch, now_ms, job);
}

void
bd_job_widen (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  if (job->alone && job->ask_count == 0)
    {
      job->widen_ms = now_ms + WIDEN_MS;
      ask_waiting (dispatch, now_ms, job);
      return;
    }
  job->widen_step_ms *= 2;
  job->widen_ms = now_ms + job->widen_step_ms;
  if (job->keyed || job->alone)
    {
      /* The reservation or its grant may have been lost. */
      if (job->ask_count > 0 && job->asks[0].open)
        send_reserve (dispatch, now_ms, job, job->asks[0].runner, false);
      return;
    }
  if (dispatch->settings.policy == BD_POLICY_LATE_BINDING
      && ask_more (dispatch, now_ms, job, 1) > 0)
    dispatch->port->count (dispatch->port, BD_DISPATCH_WIDEN);
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
      && bd_resume_body (r->body, bd_buffer_chunk (&job->kept), &resumed)
             == BD_OK)
    {
      m.body = bd_buffer_chunk (&resumed);
      m.tokens = job->delivered;
      dispatch->port->count (dispatch->port, BD_DISPATCH_RESUME);
    }
  bd_job_send (dispatch, job, runner, &m);
  bd_buffer_clear (&resumed);
}

void
bd_job_grant (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              struct bd_fleet_runner *runner, bool runs)
{
  set_runner (job, runner);
  decline_asks (dispatch, job, runner);
  job->state = JOB_RUNNING;
  if (job->runs++ == 0)
    bd_retry_first (&dispatch->budget);
  job->heard_ms = now_ms;
  bd_stream_resume (job->stream, job->attempt, job->stream_bytes);
  if (!runs)
    send_run (dispatch, now_ms, job, runner);
}

/* Asks a runner that was not asked yet; true when there is one. */
static bool
ask_another (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  struct bd_fleet_pool *pool
      = bd_fleet_pool (dispatch->fleet, job->request.pool);
  size_t before = job->ask_count;

  if (!job->alone)
    return ask_more (dispatch, now_ms, job, 1) > 0;
  if (pool)
    ask_isolated (dispatch, now_ms, job, pool);
  return job->ask_count > before;
}

void
bd_job_refused (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
                struct bd_fleet_runner *runner,
                const struct bd_message *message)
{
  size_t open = 0;
  bool lost = message->error == BD_ERR_BROKEN;
  bool elsewhere = bd_retry_elsewhere ((enum bd_error)message->error);

  for (size_t i = 0; i < job->ask_count; i++)
    {
      if (job->asks[i].runner == runner)
        {
          /* The body of a direct reservation went where the connection was
             lost. */
          if (job->asks[i].direct && (lost || message->ran != BD_RAN_NO))
            job->may_have_run = true;
          close_ask (&job->asks[i]);
        }
      open += job->asks[i].open;
    }
  job->last_error = message->error;
  job->last_ran = (enum bd_ran)message->ran;
  if (message->retry_after_ms > job->retry_after_ms)
    job->retry_after_ms = message->retry_after_ms;
  if (!job->keyed && open > 0)
    return;
  if (!job->keyed && elsewhere && ask_another (dispatch, now_ms, job))
    return;
  if (job->last_error == BD_ERR_STALE || lost)
    job->last_error = job->keyed ? BD_ERR_OUTCOME_UNKNOWN : BD_ERR_NO_RUNNER;
  bd_job_fail (dispatch, now_ms, job, job->last_error, job->last_ran);
}

/* A stream goes on after what was delivered; another answer starts anew. */
static bool
begin_again (struct job *job)
{
  job->ended = false;
  bd_buffer_reset (&job->held);
  if (job->streamed)
    return true;
  bd_buffer_reset (&job->kept);
  job->stream_bytes = 0;
  bd_stream_destroy (job->stream);
  job->stream = bd_stream_create ();
  return job->stream != NULL;
}

void
bd_job_retry (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              int error, enum bd_ran ran, bool cut)
{
  bool again = job->idempotent || (ran == BD_RAN_NO && !job->keyed);

  set_runner (job, NULL);
  if (ran != BD_RAN_NO)
    job->may_have_run = true;
  if (job->data_sent && job->kept.length >= BD_JOB_KEPT_MAX_BYTES)
    again = false;
  if (!again || job->runs >= BD_RETRY_ATTEMPTS_MAX
      || now_ms >= job->deadline_ms
      || (!cut && !job->data_sent
          && !bd_retry_take (&dispatch->budget, BD_RETRY_AFTER_ERROR, true,
                             job->runs, (enum bd_error)error))
      || bd_suspects_look (dispatch->suspects, now_ms,
                           job->request.fingerprint)
             == BD_SUSPICION_QUARANTINE)
    {
      bd_job_fail (dispatch, now_ms, job, error, ran);
      return;
    }
  job->alone
      = bd_suspects_look (dispatch->suspects, now_ms, job->request.fingerprint)
        == BD_SUSPICION_ISOLATE;
  if (!begin_again (job))
    {
      bd_job_fail (dispatch, now_ms, job, BD_ERR_NOMEM, ran);
      return;
    }
  dispatch->port->count (dispatch->port, BD_DISPATCH_RETRY);
  dispatch->port->note (dispatch->port, BD_EVENT_REQUEST_RETRY,
                        job->request.request, job->attempt,
                        bd_error_answer (error)->code);
  bd_job_ask (dispatch, now_ms, job);
}
