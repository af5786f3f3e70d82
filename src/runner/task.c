#include "runner/task.h"

#include <stdlib.h>

/* Assumed time per token before the first measurement. */
#define TOKEN_TIME_START_US 10000

struct task *
bd_task_find (const struct bd_runner *runner, struct bd_id request,
              uint32_t attempt)
{
  return bd_map_get (runner->tasks, request, attempt);
}

static void
task_free (struct task *task)
{
  free (task->entry);
  free (task->workspace);
  free (task->class_name);
  free (task->content_type);
  bd_sse_clear (&task->sse);
  bd_buffer_clear (&task->body);
  free (task);
}

static void
fill_claim (struct task *task, const struct bd_message *m)
{
  task->claim = (struct bd_idempotency_claim){
    .key = { m->key },
    .origin = (enum bd_key_origin)m->key_origin,
    .incarnation = m->key_incarnation,
    .key_wall_ms = m->key_wall_ms,
    .expires_wall_ms = m->key_expires_ms,
    .fingerprint = m->fingerprint,
    .request = m->request,
    .retry_window_ms = m->retry_window_ms,
  };
}

static bool
fill_task (struct task *task, int64_t now_ms, struct bd_chunk entry,
           const struct bd_message *m)
{
  task->request = m->request;
  task->attempt = m->attempt;
  task->flags = m->flags;
  task->tier
      = (uint8_t)(m->tier < BD_TIER_COUNT ? m->tier : BD_TIER_COUNT - 1);
  task->keyed = m->key_text.length > 0;
  task->expected_tokens = m->tokens;
  task->min_share_permille = m->min_share_permille;
  task->bytes = m->bytes;
  task->queued_ms = now_ms;
  task->queue_until_ms = now_ms + m->queue_budget_ms;
  task->last_data_ms = now_ms;
  fill_claim (task, m);
  task->entry = bd_chunk_copy (entry);
  task->workspace = bd_chunk_copy (m->workspace);
  task->class_name = bd_chunk_copy (m->class_name);
  return task->entry && task->workspace && task->class_name;
}

struct task *
bd_task_add (struct bd_runner *runner, int64_t now_ms, struct bd_chunk entry,
             const struct bd_message *message)
{
  struct task *task = calloc (1, sizeof *task);

  if (!task)
    return NULL;
  if (!fill_task (task, now_ms, entry, message)
      || bd_map_put (runner->tasks, task->request, task->attempt, task)
             != BD_OK)
    {
      task_free (task);
      return NULL;
    }
  task->previous = runner->last_task;
  if (runner->last_task)
    runner->last_task->next = task;
  else
    runner->first_task = task;
  runner->last_task = task;
  return task;
}

/* Removes the task from the queue or the count of its state. */
static void
remove_from_state (struct bd_runner *runner, struct task *task)
{
  struct bd_queue_item item;

  switch (task->state)
    {
    case TASK_QUEUED:
      bd_tier_queue_remove (runner->queue, task->request, task->attempt,
                            &item);
      break;
    case TASK_GRANTED:
      runner->granted_count--;
      break;
    case TASK_RUNNING:
      runner->running_count--;
      break;
    case TASK_ENDED:
      runner->ended_count--;
      break;
    case TASK_WAITING:
      break;
    }
}

void
bd_task_remove (struct bd_runner *runner, struct task *task)
{
  remove_from_state (runner, task);
  if (runner->isolated_task == task)
    runner->isolated_task = NULL;
  runner->tasks_to_queue -= task->to_be_queued;
  bd_map_remove (runner->tasks, task->request, task->attempt);
  if (task->previous)
    task->previous->next = task->next;
  else
    runner->first_task = task->next;
  if (task->next)
    task->next->previous = task->previous;
  else
    runner->last_task = task->previous;
  task_free (task);
}

void
bd_task_send (struct bd_runner *runner, const struct task *task,
              struct bd_message *message)
{
  message->request = task->request;
  message->attempt = task->attempt;
  message->incarnation = runner->settings.incarnation;
  runner->callbacks->send (runner->callbacks, bd_chunk_of (task->entry),
                           message);
}

/* Estimated time until the queue ahead of TIER has drained. */
static int64_t
drain_time_ms (const struct bd_runner *runner, uint8_t tier)
{
  uint64_t work = bd_tier_queue_work_ahead (runner->queue, tier);
  uint64_t slots = runner->settings.slots > 0 ? runner->settings.slots : 1;
  uint64_t token_time_us = runner->token_time_us > 0 ? runner->token_time_us
                                                     : TOKEN_TIME_START_US;

  return (int64_t)(work * token_time_us / slots / 1000);
}

void
bd_task_refuse (struct bd_runner *runner, struct task *task, int error,
                enum bd_ran ran)
{
  struct bd_message m
      = { .type = BD_MESSAGE_REFUSE,
          .error = error,
          .ran = ran,
          .retry_after_ms = drain_time_ms (runner, task->tier) };

  bd_runner_fill_load (runner, &m);
  bd_task_send (runner, task, &m);
  runner->callbacks->log_event (runner->callbacks, BD_EVENT_REQUEST_REFUSED,
                                task->request, task->attempt,
                                bd_error_answer (error)->code);
  bd_task_remove (runner, task);
}

void
bd_task_refuse_unkeyed (struct bd_runner *runner, int error)
{
  struct task *task = runner->first_task;

  while (task)
    {
      struct task *next = task->next;

      if (task->state <= TASK_GRANTED && !task->keyed)
        bd_task_refuse (runner, task, error, BD_RAN_NO);
      task = next;
    }
}

/* Marks one of the tasks that wait for the key to be queued by the next
   grant_slots (). */
static void
promote_waiting_task (struct bd_runner *runner, const struct task *withdrawn)
{
  struct task *task = runner->first_task;

  while (task
         && (task == withdrawn || task->state != TASK_WAITING || !task->keyed
             || !bd_id_equal (task->claim.key.id, withdrawn->claim.key.id)))
    task = task->next;
  if (!task || task->to_be_queued)
    return;
  task->to_be_queued = true;
  runner->tasks_to_queue++;
}

enum bd_ran
bd_task_withdraw (struct bd_runner *runner, int64_t now_ms, struct task *task)
{
  bool was_claimant
      = task->state != TASK_WAITING || task->is_claimant || task->to_be_queued;

  if (!task->keyed)
    return BD_RAN_NO;
  if (bd_idempotency_withdraw (runner->idempotency_records, now_ms,
                               task->claim.key, task->request)
      == BD_OK)
    return BD_RAN_NO;
  if (was_claimant)
    promote_waiting_task (runner, task);
  return BD_RAN_UNKNOWN;
}

void
bd_task_send_grant (struct bd_runner *runner, const struct task *task)
{
  struct bd_message m
      = { .type = BD_MESSAGE_GRANT, .budget_ms = BD_GRANT_LEASE_MS };

  if (task->state == TASK_RUNNING)
    m.flags |= BD_FLAG_DIRECT;

  bd_runner_fill_load (runner, &m);
  bd_task_send (runner, task, &m);
}
