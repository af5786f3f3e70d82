/* Delivers the answer in a runner's messages to the caller. */

#include "dispatch/job.h"
#include "stream/resume.h"
#include "stream/sse.h"

#include <stdlib.h>

static void
deliver_head (struct bd_dispatch *dispatch, struct job *job)
{
  struct bd_delivery head = { .kind = BD_DELIVERY_HEAD,
                              .status = job->status,
                              .content_type = bd_chunk_of (job->content_type),
                              .replay = job->replay };

  if (job->head_sent)
    return;
  job->head_sent = true;
  dispatch->callbacks->deliver (dispatch->callbacks, job->request.request,
                                &head);
}

void
bd_job_head (struct job *job, const struct bd_message *message)
{
  job->status = message->status;
  free (job->content_type);
  job->content_type = bd_chunk_copy (message->content_type);
}

static void
deliver_data (struct bd_dispatch *dispatch, struct job *job,
              struct bd_chunk data)
{
  struct bd_delivery delivery = { .kind = BD_DELIVERY_DATA, .data = data };

  deliver_head (dispatch, job);
  job->data_sent = true;
  dispatch->callbacks->deliver (dispatch->callbacks, job->request.request,
                                &delivery);
}

struct deliver_context
{
  struct bd_dispatch *dispatch;
  struct job *job;
};

/* Delivers a chunk of a stream: one event, or a complete replayed answer.
   [DONE] waits for the end of the job. */
static void
deliver_event (struct deliver_context *context, struct bd_chunk event)
{
  struct job *job = context->job;
  struct bd_chunk json = bd_sse_data (event);

  if (bd_chunk_equal (json, BD_CHUNK ("[DONE]")))
    {
      bd_buffer_append (&job->done_event, event);
      return;
    }
  if (job->idempotent && job->retained.length < BD_JOB_RETAINED_MAX_BYTES)
    bd_resume_append_text (json, &job->retained);
  job->delivered_events++;
  deliver_data (context->dispatch, job, event);
}

static void
on_chunk (void *data, struct bd_chunk chunk)
{
  struct deliver_context *context = data;
  struct job *job = context->job;

  job->stream_bytes += chunk.length;
  if (job->streamed)
    deliver_event (context, chunk);
  else if (job->retained.length + chunk.length > BD_JOB_RETAINED_MAX_BYTES
           || bd_buffer_append (&job->retained, chunk) != BD_OK)
    job->truncated = true;
}

static void
finish_job (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job)
{
  struct bd_delivery end = { .kind = BD_DELIVERY_END,
                             .status = job->status,
                             .tokens = job->tokens,
                             .replay = job->replay };
  struct bd_chunk rest
      = bd_buffer_chunk (job->streamed ? &job->done_event : &job->retained);

  if (job->truncated)
    {
      bd_job_fail (dispatch, now_ms, job, BD_ERR_INCOMPLETE, BD_RAN_UNKNOWN);
      return;
    }
  deliver_head (dispatch, job);
  if (rest.length > 0)
    deliver_data (dispatch, job, rest);
  job->state = JOB_ANSWERED;
  dispatch->open_jobs--;
  bd_job_record_tokens (dispatch, job->class_hash, job->tokens);
  bd_suspects_completed (dispatch->suspects, now_ms, job->request.fingerprint);
  dispatch->callbacks->deliver (dispatch->callbacks, job->request.request,
                                &end);
}

void
bd_job_chunk (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
              const struct bd_message *message)
{
  struct deliver_context context = { dispatch, job };
  int rc = bd_stream_chunk (job->stream, message->attempt, message->sequence,
                            message->body, on_chunk, &context);

  job->last_progress_ms = now_ms;
  if (rc == BD_ERR_FULL || rc == BD_ERR_PROTOCOL)
    bd_job_retry (dispatch, now_ms, job, BD_ERR_INCOMPLETE, BD_RAN_UNKNOWN,
                  false);
  else if (job->end_received && bd_stream_is_complete (job->stream))
    finish_job (dispatch, now_ms, job);
}

void
bd_job_end (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
            const struct bd_message *message)
{
  job->last_progress_ms = now_ms;
  if (bd_stream_end (job->stream, message->attempt, message->sequence)
      != BD_OK)
    return;
  job->end_received = true;
  job->tokens += message->tokens;
  job->replay = (message->flags & BD_FLAG_REPLAY) != 0;
  if (bd_stream_is_complete (job->stream))
    finish_job (dispatch, now_ms, job);
}
