/* Runs of tasks at the engine, from RUN to RECEIPT. */

#include "runner/task.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_ERROR_STATUS 400

static bool
is_event_stream (const struct task *task)
{
  static const char type[] = "text/event-stream";

  return task->content_type
         && strncmp (task->content_type, type, sizeof type - 1) == 0;
}

/* Returns true for a model's answer that is not a stream: it is checked as
   JSON, and its token count is read from the JSON. */
static bool
is_model_json (const struct task *task)
{
  return !(task->flags & BD_FLAG_SERVICE) && !is_event_stream (task);
}

void
bd_task_run (struct bd_runner *runner, int64_t now_ms, struct task *task,
             const struct bd_message *message)
{
  struct bd_runner_call call = {
    .request = task->request,
    .attempt = task->attempt,
    .method = message->method,
    .path = message->path,
    .content_type = message->content_type,
    .body = message->body,
    .key_text = message->key_text,
    .tier = task->tier,
    .budget_ms = message->budget_ms,
  };

  if (task->keyed
      && !bd_idempotency_start (runner->idempotency_records, now_ms,
                                task->claim.key, task->request))
    {
      bd_task_refuse (runner, task, BD_ERR_OUTCOME_UNKNOWN, BD_RAN_UNKNOWN);
      return;
    }
  task->state = TASK_RUNNING;
  task->prior_tokens = message->type == BD_MESSAGE_RUN ? message->tokens : 0;
  task->last_data_ms = now_ms;
  runner->granted_count--;
  runner->running_count++;
  runner->callbacks->log_event (runner->callbacks, BD_EVENT_REQUEST_STARTED,
                                task->request, task->attempt, "");
  if (task->ran_directly)
    bd_task_send_grant (runner, task);
  runner->callbacks->start (runner->callbacks, &call);
}

void
bd_runner_engine_head (struct bd_runner *runner, int64_t now_ms,
                       struct bd_id request, uint32_t attempt, int status,
                       struct bd_chunk content_type)
{
  struct task *task = bd_task_find (runner, request, attempt);
  struct bd_message m = { .type = BD_MESSAGE_HEAD,
                          .status = status,
                          .content_type = content_type };

  if (!task || task->state != TASK_RUNNING)
    return;
  task->status = status;
  task->last_data_ms = now_ms;
  free (task->content_type);
  task->content_type = bd_chunk_copy (content_type);
  bd_task_send (runner, task, &m);
}

static void
send_chunk (struct bd_runner *runner, struct task *task, struct bd_chunk data)
{
  struct bd_message m = { .type = BD_MESSAGE_CHUNK,
                          .sequence = task->next_sequence++,
                          .body = data };

  /* The first chunk may overtake the head. */
  if (m.sequence == 0)
    {
      m.status = task->status;
      m.content_type = bd_chunk_of (task->content_type);
    }
  bd_task_send (runner, task, &m);
}

/* Records an answer that may be replayed, or is parsed at its end. */
static void
record_answer (struct bd_runner *runner, struct task *task,
               struct bd_chunk data)
{
  if (!task->keyed && !is_model_json (task))
    return;
  if (task->body.length + data.length > runner->settings.answer_max_bytes
      || bd_buffer_append (&task->body, data) != BD_OK)
    task->body_truncated = true;
}

#define TOKEN_TIME_WEIGHT 16

static void
count_token (struct bd_runner *runner, int64_t now_ms, struct task *task)
{
  int64_t gap_us = (now_ms - task->last_data_ms) * 1000;
  int64_t smooth_us = runner->token_time_us;

  task->tokens++;
  /* The time to the first token includes the prefill. */
  if (task->tokens > 1 && smooth_us == 0)
    smooth_us = gap_us;
  else if (task->tokens > 1)
    smooth_us += (gap_us - smooth_us) / TOKEN_TIME_WEIGHT;
  runner->token_time_us = (uint32_t)(smooth_us > 0 ? smooth_us : 0);
  task->last_data_ms = now_ms;
}

/* Reads the engine's own token count, which one of the last events has. */
static void
read_event_usage (struct task *task, struct bd_chunk data)
{
  json_t *root;
  json_int_t tokens;

  if (!memmem (data.data, data.length, "\"usage\"", 7))
    return;
  root = json_loadb (data.data, data.length, 0, NULL);
  tokens = json_integer_value (
      json_object_get (json_object_get (root, "usage"), "completion_tokens"));
  if (tokens > 0 && tokens < UINT32_MAX)
    task->tokens = (uint32_t)tokens;
  json_decref (root);
}

static void
handle_event (struct bd_runner *runner, int64_t now_ms, struct task *task,
              struct bd_chunk event)
{
  struct bd_chunk data = bd_sse_data (event);

  if (bd_chunk_equal (data, BD_CHUNK ("[DONE]")))
    task->done_seen = true;
  else if (data.length > 0)
    {
      count_token (runner, now_ms, task);
      read_event_usage (task, data);
    }
  record_answer (runner, task, event);
  send_chunk (runner, task, event);
}

void
bd_runner_engine_data (struct bd_runner *runner, int64_t now_ms,
                       struct bd_id request, uint32_t attempt,
                       struct bd_chunk data)
{
  struct task *task = bd_task_find (runner, request, attempt);
  struct bd_chunk event;

  if (!task || task->state != TASK_RUNNING)
    return;
  if (!is_event_stream (task))
    {
      record_answer (runner, task, data);
      send_chunk (runner, task, data);
      return;
    }
  if (bd_sse_feed (&task->sse, data) != BD_OK)
    {
      runner->callbacks->cancel (runner->callbacks, request, attempt);
      return;
    }
  while ((event = bd_sse_next (&task->sse)).length > 0)
    handle_event (runner, now_ms, task, event);
}

/* Reads the token count; false if the body is not a complete JSON object. */
static bool
read_body_usage (struct task *task)
{
  json_error_t error;
  json_t *root = json_loadb (task->body.data ? task->body.data : "",
                             task->body.length, 0, &error);
  json_t *usage = json_object_get (root, "usage");
  json_int_t tokens
      = json_integer_value (json_object_get (usage, "completion_tokens"));
  bool is_object = json_is_object (root);

  task->tokens = tokens > 0 && tokens < UINT32_MAX ? (uint32_t)tokens : 0;
  json_decref (root);
  return is_object;
}

static bool
answer_is_complete (struct task *task)
{
  if (task->flags & BD_FLAG_SERVICE)
    return true;
  if (is_event_stream (task))
    return task->done_seen && bd_sse_is_between_events (&task->sse);
  return read_body_usage (task);
}

static void
fail_task (struct bd_runner *runner, struct task *task, int error,
           enum bd_ran ran, bool engine_crashed, bool was_alone)
{
  struct bd_message m = { .type = BD_MESSAGE_FAIL,
                          .error = error,
                          .ran = ran,
                          .tokens = task->tokens,
                          .fingerprint = task->claim.fingerprint };

  if (engine_crashed)
    m.sequence = runner->crash_number;
  if (was_alone)
    m.flags |= BD_FLAG_ALONE;
  bd_runner_fill_load (runner, &m);
  bd_task_send (runner, task, &m);
  bd_task_remove (runner, task);
}

static bool
same_key (const struct task *a, const struct task *b)
{
  return bd_id_equal (a->claim.key.id, b->claim.key.id);
}

/* Answers the tasks that wait for the key of FINISHED, whose run has ended. */
static void
answer_waiting_tasks (struct bd_runner *runner, int64_t now_ms,
                      const struct task *finished)
{
  struct task *task = runner->first_task;

  while (task)
    {
      struct task *next = task->next;
      struct bd_idempotency_answer answer;

      if (task->state == TASK_WAITING && task->keyed
          && same_key (task, finished))
        {
          bd_idempotency_claim (runner->idempotency_records, now_ms,
                                now_ms + runner->wall_offset_ms, &task->claim,
                                &answer);
          if (answer.verdict == BD_IDEMPOTENCY_REPLAY)
            bd_task_replay (runner, now_ms, task, &answer);
          else if (answer.verdict == BD_IDEMPOTENCY_REFUSE)
            bd_task_refuse (runner, task, answer.error, answer.ran);
        }
      task = next;
    }
}

static void
await_delivery (struct bd_runner *runner, int64_t now_ms, struct task *task,
                uint32_t flags)
{
  struct bd_message m = { .type = BD_MESSAGE_END,
                          .flags = flags,
                          .sequence = task->next_sequence,
                          .status = task->status,
                          .content_type = bd_chunk_of (task->content_type),
                          .tokens = task->tokens };

  task->state = TASK_ENDED;
  task->expires_ms = now_ms + BD_RECEIPT_WAIT_MS;
  runner->ended_count++;
  bd_runner_fill_load (runner, &m);
  bd_task_send (runner, task, &m);
}

#define REPLAY_BLOCK_BYTES ((size_t)64 * 1024)

/* Sends a recorded answer; a stream event by event, as in the first run. */
static void
send_recorded (struct bd_runner *runner, struct task *task,
               struct bd_chunk recorded)
{
  if (!is_event_stream (task))
    {
      send_chunk (runner, task, recorded);
      return;
    }
  while (recorded.length > 0)
    {
      struct bd_chunk piece = recorded;
      struct bd_chunk event;

      if (piece.length > REPLAY_BLOCK_BYTES)
        piece.length = REPLAY_BLOCK_BYTES;
      bd_sse_feed (&task->sse, piece);
      while ((event = bd_sse_next (&task->sse)).length > 0)
        send_chunk (runner, task, event);
      recorded.data += piece.length;
      recorded.length -= piece.length;
    }
}

void
bd_task_replay (struct bd_runner *runner, int64_t now_ms, struct task *task,
                const struct bd_idempotency_answer *answer)
{
  struct bd_message head = { .type = BD_MESSAGE_HEAD,
                             .status = answer->status,
                             .content_type = answer->content_type };

  task->is_replay = true;
  task->status = answer->status;
  free (task->content_type);
  task->content_type = bd_chunk_copy (answer->content_type);
  bd_task_send (runner, task, &head);
  if (answer->recorded.length > 0)
    send_recorded (runner, task, answer->recorded);
  await_delivery (runner, now_ms, task, BD_FLAG_REPLAY);
}

static void
finish_key_run (struct bd_runner *runner, int64_t now_ms, struct task *task,
                int error)
{
  struct bd_chunk type = bd_chunk_of (task->content_type);

  if (!task->keyed)
    return;
  if (error == BD_OK && task->body_truncated)
    error = BD_ERR_ALREADY_RAN;
  bd_idempotency_set_tokens (runner->idempotency_records, task->claim.key,
                             task->tokens);
  bd_idempotency_finish (runner->idempotency_records, now_ms, task->claim.key,
                         error, task->status, type,
                         bd_buffer_chunk (&task->body));
  answer_waiting_tasks (runner, now_ms, task);
}

void
bd_task_end (struct bd_runner *runner, int64_t now_ms, struct bd_id request,
             uint32_t attempt)
{
  struct task *task = bd_task_find (runner, request, attempt);

  if (!task || task->state != TASK_RUNNING)
    return;
  if (!answer_is_complete (task))
    {
      finish_key_run (runner, now_ms, task, BD_ERR_OUTCOME_UNKNOWN);
      fail_task (runner, task, BD_ERR_INCOMPLETE, BD_RAN_UNKNOWN, false,
                 false);
      return;
    }
  runner->callbacks->log_event (runner->callbacks, BD_EVENT_REQUEST_ENDED,
                                request, attempt, "");
  finish_key_run (runner, now_ms, task, BD_OK);
  runner->running_count--;
  if (runner->isolated_task == task)
    runner->isolated_task = NULL;
  await_delivery (runner, now_ms, task, 0);
}

/* Tells whether the error means that the engine is down: it refuses
   connections or one was lost.  It stays down until its health probe succeeds.
 */
static bool
engine_is_down (int error, bool sent)
{
  if (error == BD_ERR_ENGINE || error == BD_ERR_IO)
    return true;
  return sent ? error == BD_ERR_INCOMPLETE : error == BD_ERR_TIMEOUT;
}

void
bd_task_fail (struct bd_runner *runner, int64_t now_ms, struct bd_id request,
              uint32_t attempt, int error, bool sent)
{
  struct task *task = bd_task_find (runner, request, attempt);
  bool engine_down = engine_is_down (error, sent);
  bool engine_crashed = sent && engine_down;
  bool was_alone
      = engine_crashed && runner->running_count == 1 && runner->engine_up;
  enum bd_ran ran = sent ? BD_RAN_UNKNOWN : BD_RAN_NO;

  if (!task || task->state != TASK_RUNNING)
    return;
  /* The first failed request of a crash sets a new crash number. */
  if (engine_down && runner->engine_up)
    {
      runner->crash_number++;
      runner->engine_up = false;
      bd_task_refuse_unkeyed (runner, BD_ERR_NO_RUNNER);
    }
  if (task->keyed && !sent)
    {
      bd_idempotency_undo_start (runner->idempotency_records, now_ms,
                                 task->claim.key, task->request);
      ran = bd_task_withdraw (runner, now_ms, task);
    }
  else
    finish_key_run (runner, now_ms, task, BD_ERR_OUTCOME_UNKNOWN);
  if (engine_down && !sent)
    error = BD_ERR_NO_RUNNER;
  fail_task (runner, task, error, ran, engine_crashed, was_alone);
}

void
bd_task_confirm_delivery (struct bd_runner *runner, struct task *task)
{
  struct bd_billing_record bill = {
    .request = task->request,
    .attempt = task->attempt,
    .key = task->claim.key.id,
    .workspace = bd_chunk_of (task->workspace),
    .class_name = bd_chunk_of (task->class_name),
    .tokens = task->prior_tokens + task->tokens,
    .status = task->status,
  };
  bool billable
      = task->state == TASK_ENDED && task->status < FIRST_ERROR_STATUS;

  if (task->state != TASK_ENDED)
    return;
  if (task->keyed)
    billable = billable
               && bd_idempotency_bill_once (runner->idempotency_records,
                                            task->claim.key, &bill.tokens);
  if (billable)
    runner->callbacks->write_billing_record (runner->callbacks, &bill);
  bd_task_remove (runner, task);
}
