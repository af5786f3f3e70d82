/* What runners tell of reservations and answers. */
#include "dispatch/dispatch.h"
#include "dispatch/job.h"

static void
handle_grant (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              struct bd_fleet_runner *runner, const struct bd_message *m)
{
  struct bd_message decline
      = { .type
          = m->flags & BD_FLAG_DIRECT ? BD_MESSAGE_CANCEL : BD_MESSAGE_DECLINE,
          .request = m->request,
          .attempt = m->attempt,
          .target_incarnation = m->incarnation };
  bool reserved = false;

  for (size_t i = 0; job && i < job->reservation_count; i++)
    reserved
        |= job->reservations[i].runner == runner && job->reservations[i].open;
  if (job && job->state == JOB_RESERVING && job->attempt == m->attempt
      && reserved)
    {
      bd_job_grant (dispatch, now_ms, job, runner,
                    (m->flags & BD_FLAG_DIRECT) != 0);
      return;
    }
  /* A duplicate of the grant that was accepted. */
  if (job && job->runner == runner && job->attempt == m->attempt)
    return;
  dispatch->callbacks->send (dispatch->callbacks,
                             bd_chunk_of (runner->instance), &decline);
  dispatch->callbacks->count (dispatch->callbacks, BD_DISPATCH_DECLINE);
}

/* Records a strike, also for a request that is not in the table any more. */
static void
handle_strike (struct bd_dispatch *dispatch, int64_t now_ms,
               const struct bd_fleet_runner *runner,
               const struct bd_message *m)
{
  struct bd_strike strike = {
    .fingerprint = m->fingerprint,
    .crash = { bd_chunk_hash (bd_chunk_of (runner->instance)) ^ m->incarnation,
               m->sequence },
    .alone = (m->flags & BD_FLAG_ALONE) != 0,
  };

  if (m->sequence != 0
      && bd_suspects_record (dispatch->suspects, now_ms, &strike))
    dispatch->callbacks->log_event (dispatch->callbacks, BD_EVENT_STRIKE,
                                    m->request, m->attempt, runner->instance);
}

static void
handle_refusal (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
                struct bd_fleet_runner *runner, const struct bd_message *m)
{
  if (job->state == JOB_RESERVING)
    bd_job_refused (dispatch, now_ms, job, runner, m);
  else if (job->state == JOB_RUNNING && job->runner == runner)
    bd_job_retry (dispatch, now_ms, job,
                  m->error == BD_ERR_STALE ? BD_ERR_NO_RUNNER : m->error,
                  (enum bd_ran)m->ran, true);
}

/* Tells whether an answer from RUNNER belongs to the job.  A replayed answer
   comes without a grant, and the answer to a direct reservation may overtake
   its grant: then the answer counts as the grant. */
static bool
accepts_answer (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
                struct bd_fleet_runner *runner)
{
  for (size_t i = 0; job->state == JOB_RESERVING && i < job->reservation_count;
       i++)
    if (job->reservations[i].runner == runner && job->reservations[i].open
        && (job->reservations[i].direct || job->keyed))
      bd_job_grant (dispatch, now_ms, job, runner, true);
  return job->state == JOB_RUNNING && job->runner == runner;
}

/* HEAD, a chunk or END may come first, so all carry the fields of the head. */
static void
handle_answer (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
               const struct bd_message *m)
{
  job->last_progress_ms = now_ms;
  if (m->status != 0)
    bd_job_head (job, m);
  if (m->type == BD_MESSAGE_CHUNK)
    bd_job_chunk (dispatch, now_ms, job, m);
  else if (m->type == BD_MESSAGE_END)
    bd_job_end (dispatch, now_ms, job, m);
}

static void
handle_job_message (struct bd_dispatch *dispatch, int64_t now_ms,
                    struct job *job, struct bd_fleet_runner *runner,
                    const struct bd_message *m)
{
  if (m->type == BD_MESSAGE_REFUSE)
    handle_refusal (dispatch, now_ms, job, runner, m);
  else if (!accepts_answer (dispatch, now_ms, job, runner))
    return;
  else if (m->type == BD_MESSAGE_FAIL)
    bd_job_retry (dispatch, now_ms, job, m->error, (enum bd_ran)m->ran,
                  m->sequence != 0 || m->ran == BD_RAN_NO);
  else
    handle_answer (dispatch, now_ms, job, m);
}

void
bd_dispatch_fail_runner_jobs (struct bd_dispatch *dispatch, int64_t now_ms,
                              struct bd_fleet_runner *runner)
{
  struct bd_message lost
      = { .type = BD_MESSAGE_REFUSE, .error = BD_ERR_INCOMPLETE };
  struct job *job = dispatch->first_job;

  while (job)
    {
      struct job *next = job->next;
      bool reserved = false;

      for (size_t i = 0; i < job->reservation_count; i++)
        reserved |= job->reservations[i].runner == runner
                    && job->reservations[i].open;
      if (job->state == JOB_RESERVING && reserved && !job->keyed)
        bd_job_refused (dispatch, now_ms, job, runner, &lost);
      else if (job->state == JOB_RUNNING && job->runner == runner)
        bd_job_retry (dispatch, now_ms, job,
                      job->keyed ? BD_ERR_OUTCOME_UNKNOWN : BD_ERR_INCOMPLETE,
                      BD_RAN_UNKNOWN, true);
      job = next;
    }
}

void
bd_dispatch_handle_message (struct bd_dispatch *dispatch, int64_t now_ms,
                            struct bd_chunk runner,
                            const struct bd_message *message)
{
  struct bd_fleet_runner *sender = bd_fleet_runner (dispatch->fleet, runner);
  struct job *job;
  uint64_t before;

  if (!sender)
    return;
  before = sender->incarnation;
  if (!bd_fleet_update (dispatch->fleet, now_ms, sender, message))
    return;
  if (before != 0 && before != sender->incarnation)
    bd_dispatch_fail_runner_jobs (dispatch, now_ms, sender);
  if (message->type == BD_MESSAGE_HEARTBEAT)
    return;
  if (message->type == BD_MESSAGE_FAIL)
    handle_strike (dispatch, now_ms, sender, message);
  job = bd_job_find (dispatch, message->request);
  if (message->type == BD_MESSAGE_GRANT)
    handle_grant (dispatch, now_ms, job, sender, message);
  else if (job && job->attempt == message->attempt)
    handle_job_message (dispatch, now_ms, job, sender, message);
}
