#include "dispatch/dispatch.h"
#include "dispatch/job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUSPECTS_MAX 4096
#define SUSPECTS_KEEP_MS 600000
/* A running attempt that sends nothing for this long is cancelled. */
#define PROGRESS_TIMEOUT_MS 30000
/* Extra time that a keyed request waits for the answer of its key's owner. */
#define KEY_OWNER_GRACE_MS 200

struct bd_dispatch *
bd_dispatch_create (const struct bd_dispatch_settings *settings,
                    struct bd_dispatch_callbacks *callbacks)
{
  struct bd_dispatch *d = calloc (1, sizeof *d);

  if (!d)
    return NULL;
  d->settings = *settings;
  d->callbacks = callbacks;
  d->instance = bd_chunk_copy (settings->instance);
  d->zone = bd_chunk_copy (settings->zone);
  d->settings.instance = bd_chunk_of (d->instance);
  d->settings.zone = bd_chunk_of (d->zone);
  d->fleet = bd_fleet_create (&d->settings, callbacks);
  d->limiter = bd_limiter_create (bd_chunk_hash (settings->instance));
  d->suspects = bd_suspects_create (SUSPECTS_MAX, SUSPECTS_KEEP_MS);
  d->jobs = bd_map_create ();
  d->classes = bd_map_create ();
  if (d->fleet && d->limiter && d->suspects && d->jobs && d->classes)
    return d;
  bd_dispatch_destroy (d);
  return NULL;
}

void
bd_dispatch_destroy (struct bd_dispatch *dispatch)
{
  size_t cursor = 0;
  void *learned;

  if (!dispatch)
    return;
  while (dispatch->first_job)
    bd_job_free (dispatch, 0, dispatch->first_job);
  while (dispatch->classes
         && (learned = bd_map_next (dispatch->classes, &cursor)))
    free (learned);
  bd_map_destroy (dispatch->classes);
  bd_map_destroy (dispatch->jobs);
  bd_fleet_destroy (dispatch->fleet);
  bd_limiter_destroy (dispatch->limiter);
  free (dispatch->limited_workspaces);
  bd_suspects_destroy (dispatch->suspects);
  free (dispatch->instance);
  free (dispatch->zone);
  free (dispatch);
}

/* Removes the limits of workspaces that have no contract any more.  Returns
   BD_OK or BD_ERR_NOMEM. */
static int
remove_limits (struct bd_dispatch *dispatch,
               const struct bd_config_snapshot *snapshot)
{
  size_t count = snapshot->contract_count;
  uint64_t *now = calloc (count + 1, sizeof *now);

  if (!now)
    return BD_ERR_NOMEM;
  for (size_t i = 0; i < count; i++)
    now[i] = bd_chunk_hash (snapshot->contracts[i]->workspace);
  for (size_t i = 0; i < dispatch->limited_workspace_count; i++)
    {
      size_t j = 0;

      while (j < count && now[j] != dispatch->limited_workspaces[i])
        j++;
      if (j == count)
        bd_limiter_remove (dispatch->limiter, dispatch->limited_workspaces[i]);
    }
  free (dispatch->limited_workspaces);
  dispatch->limited_workspaces = now;
  dispatch->limited_workspace_count = count;
  return BD_OK;
}

int
bd_dispatch_configure (struct bd_dispatch *dispatch, int64_t now_ms,
                       const struct bd_config_snapshot *snapshot)
{
  int error = bd_fleet_configure (dispatch->fleet, snapshot);

  if (error == BD_OK)
    error = remove_limits (dispatch, snapshot);
  for (size_t i = 0; i < snapshot->contract_count && error == BD_OK; i++)
    error = bd_limiter_set (dispatch->limiter, now_ms,
                            bd_chunk_hash (snapshot->contracts[i]->workspace),
                            &snapshot->contracts[i]->limits);
  return error;
}

/* Copies all texts of the request into one block, which is returned. */
static char *
copy_texts (struct bd_dispatch_request *r)
{
  struct bd_chunk *texts[] = { &r->workspace, &r->class_name, &r->pool,
                               &r->method,    &r->path,       &r->content_type,
                               &r->body,      &r->key_text,   &r->key_owner };
  size_t count = sizeof texts / sizeof texts[0];
  size_t total = 1;
  char *block;
  char *next;

  for (size_t i = 0; i < count; i++)
    total += texts[i]->length;
  block = malloc (total);
  if (!block)
    return NULL;
  next = block;
  for (size_t i = 0; i < count; i++)
    {
      if (texts[i]->length > 0)
        memcpy (next, texts[i]->data, texts[i]->length);
      texts[i]->data = next;
      next += texts[i]->length;
    }
  return block;
}

/* Expected tokens of the answer; 1 for a service, which generates none. */
static uint32_t
expected_tokens (const struct bd_dispatch *dispatch,
                 const struct bd_dispatch_request *r)
{
  uint64_t class_hash
      = bd_chunk_hash (r->workspace) * 31 + bd_chunk_hash (r->class_name);

  if (r->flags & BD_FLAG_SERVICE)
    return 1;
  return bd_job_expected_tokens (dispatch, class_hash, r->max_tokens);
}

static void
fill_job (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  const struct bd_dispatch_request *r = &job->request;

  job->workspace_hash = bd_chunk_hash (r->workspace);
  job->class_hash = job->workspace_hash * 31 + bd_chunk_hash (r->class_name);
  job->expected_tokens = expected_tokens (dispatch, r);
  job->keyed = r->key_text.length > 0;
  job->idempotent = (r->flags & BD_FLAG_IDEMPOTENT) != 0;
  job->streamed = (r->flags & BD_FLAG_STREAM) != 0;
  job->deadline_ms = now_ms + r->deadline_ms;
}

static struct job *
add_job (struct bd_dispatch *dispatch, int64_t now_ms,
         const struct bd_dispatch_request *request)
{
  struct job *job = calloc (1, sizeof *job);

  if (!job)
    return NULL;
  job->request = *request;
  job->texts = copy_texts (&job->request);
  job->stream = bd_stream_create ();
  if (!job->texts || !job->stream
      || bd_map_put (dispatch->jobs, request->request, 0, job) != BD_OK)
    {
      bd_stream_destroy (job->stream);
      free (job->texts);
      free (job);
      return NULL;
    }
  fill_job (dispatch, now_ms, job);
  job->previous = dispatch->last_job;
  if (dispatch->last_job)
    dispatch->last_job->next = job;
  else
    dispatch->first_job = job;
  dispatch->last_job = job;
  dispatch->open_jobs++;
  return job;
}

/* Rejects a new request; a keyed one may have run: no owner was contacted. */
static void
reject_request (struct bd_dispatch *dispatch,
                const struct bd_dispatch_request *request, int error,
                int64_t retry_after_ms)
{
  bool keyed = request->key_text.length > 0;
  struct bd_delivery delivery = { .kind = BD_DELIVERY_FAIL,
                                  .error = error,
                                  .ran = keyed ? BD_RAN_UNKNOWN : BD_RAN_NO,
                                  .retry_after_ms = retry_after_ms };

  dispatch->callbacks->deliver (dispatch->callbacks, request->request,
                                &delivery);
}

void
bd_dispatch_submit (struct bd_dispatch *dispatch, int64_t now_ms,
                    const struct bd_dispatch_request *request)
{
  enum bd_suspicion suspicion
      = bd_suspects_check (dispatch->suspects, now_ms, request->fingerprint);
  uint64_t workspace = bd_chunk_hash (request->workspace);
  uint32_t tokens = expected_tokens (dispatch, request);
  int32_t retry_after_ms = 0;
  struct job *job;
  int rc;

  if (suspicion == BD_SUSPICION_QUARANTINE)
    {
      dispatch->callbacks->log_event (dispatch->callbacks, BD_EVENT_QUARANTINE,
                                      request->request, 0, "");
      reject_request (dispatch, request, BD_ERR_QUARANTINED, 0);
      return;
    }
  rc = bd_limiter_admit (dispatch->limiter, now_ms, workspace, tokens,
                         &retry_after_ms);
  if (rc != BD_OK)
    {
      reject_request (dispatch, request, rc, retry_after_ms);
      return;
    }
  job = add_job (dispatch, now_ms, request);
  if (!job)
    {
      bd_limiter_release (dispatch->limiter, now_ms, workspace, tokens, 0);
      reject_request (dispatch, request, BD_ERR_NOMEM, 0);
      return;
    }
  job->isolated = suspicion == BD_SUSPICION_ISOLATE;
  bd_job_start_attempt (dispatch, now_ms, job);
}

struct job *
bd_job_find (const struct bd_dispatch *dispatch, struct bd_id request)
{
  return bd_map_get (dispatch->jobs, request, 0);
}

void
bd_dispatch_confirm_delivery (struct bd_dispatch *dispatch, int64_t now_ms,
                              struct bd_id request)
{
  struct job *job = bd_job_find (dispatch, request);
  struct bd_message m = { .type = BD_MESSAGE_RECEIPT };

  if (!job || job->state != JOB_ANSWERED)
    return;
  bd_job_send (dispatch, job, job->runner, &m);
  bd_job_free (dispatch, now_ms, job);
}

void
bd_dispatch_abort (struct bd_dispatch *dispatch, int64_t now_ms,
                   struct bd_id request, int error)
{
  struct job *job = bd_job_find (dispatch, request);
  struct bd_message m = { .type = BD_MESSAGE_CANCEL };

  if (!job)
    return;
  if (job->state != JOB_RESERVING)
    bd_job_send (dispatch, job, job->runner, &m);
  if (job->state == JOB_ANSWERED)
    bd_job_free (dispatch, now_ms, job);
  else
    bd_job_fail (dispatch, now_ms, job, error,
                 job->state == JOB_RUNNING || job->keyed ? BD_RAN_UNKNOWN
                                                         : BD_RAN_NO);
}

void
bd_dispatch_cancel (struct bd_dispatch *dispatch, int64_t now_ms,
                    struct bd_id request)
{
  bd_dispatch_abort (dispatch, now_ms, request, BD_ERR_CANCELLED);
}

void
bd_dispatch_set_connected (struct bd_dispatch *dispatch, int64_t now_ms,
                           struct bd_chunk runner, bool up)
{
  struct bd_fleet_runner *r = bd_fleet_runner (dispatch->fleet, runner);

  if (!r)
    return;
  if (up)
    {
      if (r->state == BD_RUNNER_DOWN)
        bd_fleet_set_state (r, BD_RUNNER_UNKNOWN);
      return;
    }
  bd_fleet_set_state (r, BD_RUNNER_DOWN);
  bd_dispatch_fail_runner_jobs (dispatch, now_ms, r);
}

void
bd_dispatch_set_leaving (struct bd_dispatch *dispatch, struct bd_chunk runner,
                         bool leaving)
{
  struct bd_fleet_runner *r = bd_fleet_runner (dispatch->fleet, runner);

  if (!r)
    return;
  /* If LEAVING is false, the runner's next message sets its state. */
  r->reported_leaving = leaving;
  if (leaving && r->state != BD_RUNNER_DOWN)
    bd_fleet_set_state (r, BD_RUNNER_LEAVING);
}

static void
tick_job (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  struct bd_message cancel = { .type = BD_MESSAGE_CANCEL };
  int64_t grace_ms = job->keyed ? KEY_OWNER_GRACE_MS : 0;

  if (job->state == JOB_RESERVING)
    {
      if (now_ms >= job->queue_until_ms + grace_ms)
        bd_job_fail (dispatch, now_ms, job, BD_ERR_DEADLINE,
                     job->keyed || job->run_count > 0 ? BD_RAN_UNKNOWN
                                                      : BD_RAN_NO);
      else if (now_ms >= job->next_reserve_ms)
        bd_job_reserve_more (dispatch, now_ms, job);
      return;
    }
  if (job->state == JOB_ANSWERED)
    return;
  if (now_ms >= job->deadline_ms)
    {
      bd_job_send (dispatch, job, job->runner, &cancel);
      bd_job_fail (dispatch, now_ms, job, BD_ERR_DEADLINE, BD_RAN_UNKNOWN);
    }
  else if (now_ms - job->last_progress_ms >= PROGRESS_TIMEOUT_MS)
    {
      bd_job_send (dispatch, job, job->runner, &cancel);
      bd_job_retry (dispatch, now_ms, job, BD_ERR_INCOMPLETE, BD_RAN_UNKNOWN,
                    false);
    }
}

struct tick_context
{
  struct bd_dispatch *dispatch;
  int64_t now_ms;
};

static void
on_runner_down (void *data, struct bd_fleet_runner *runner)
{
  struct tick_context *context = data;

  bd_dispatch_fail_runner_jobs (context->dispatch, context->now_ms, runner);
}

void
bd_dispatch_tick (struct bd_dispatch *dispatch, int64_t now_ms)
{
  struct tick_context context = { dispatch, now_ms };
  struct job *job = dispatch->first_job;

  while (job)
    {
      struct job *next = job->next;

      tick_job (dispatch, now_ms, job);
      job = next;
    }
  bd_fleet_tick (dispatch->fleet, now_ms, on_runner_down, &context);
  bd_limiter_tick (dispatch->limiter, now_ms);
  bd_suspects_tick (dispatch->suspects, now_ms);
}

size_t
bd_dispatch_open_count (const struct bd_dispatch *dispatch)
{
  return dispatch->open_jobs;
}

bool
bd_dispatch_key_owner (struct bd_dispatch *dispatch, struct bd_chunk pool,
                       struct bd_chunk *instance, uint64_t *incarnation)
{
  struct bd_fleet_pool *p = bd_fleet_pool (dispatch->fleet, pool);
  struct bd_placement_request any = { .expected_tokens = 1 };
  uint32_t index;

  if (!p || bd_placement_choose (p->placement, 0, &any, &index, 1) == 0
      || p->subset[index]->incarnation == 0)
    return false;
  *instance = bd_chunk_of (p->subset[index]->instance);
  *incarnation = p->subset[index]->incarnation;
  return true;
}

struct bd_limiter *
bd_dispatch_limiter (struct bd_dispatch *dispatch)
{
  return dispatch->limiter;
}

struct bd_suspects *
bd_dispatch_suspects (struct bd_dispatch *dispatch)
{
  return dispatch->suspects;
}

size_t
bd_dispatch_runner_count (const struct bd_dispatch *dispatch)
{
  return bd_fleet_connected_count (dispatch->fleet);
}

void
bd_dispatch_runner (const struct bd_dispatch *dispatch, size_t index,
                    struct bd_runner_view *view)
{
  const struct bd_fleet_runner *r
      = bd_fleet_connected (dispatch->fleet, index);

  *view = (struct bd_runner_view){
    .instance = bd_chunk_of (r->instance),
    .address = bd_chunk_of (r->address),
    .zone = bd_chunk_of (r->zone),
    .pool = bd_chunk_of (r->pool->name),
    .state = r->state,
    .incarnation = r->incarnation,
    .load = r->load,
    .last_message_ms = r->last_message_ms,
    .peer_clock_ms = r->peer_clock_ms,
  };
}
