#include "runner/task.h"

#include <stdio.h>
#include <stdlib.h>

struct bd_runner *
bd_runner_create (const struct bd_runner_settings *settings,
                  struct bd_runner_callbacks *callbacks)
{
  struct bd_runner *runner = calloc (1, sizeof *runner);

  if (!runner)
    return NULL;
  runner->settings = *settings;
  runner->callbacks = callbacks;
  runner->engine_up = true;
  runner->queue = bd_tier_queue_create (&settings->queue);
  runner->idempotency_records
      = bd_idempotency_create (&settings->idempotency_settings);
  runner->tasks = bd_map_create ();
  if (runner->queue && runner->idempotency_records && runner->tasks)
    return runner;
  bd_runner_destroy (runner);
  return NULL;
}

void
bd_runner_destroy (struct bd_runner *runner)
{
  if (!runner)
    return;
  while (runner->first_task)
    bd_task_remove (runner, runner->first_task);
  bd_tier_queue_destroy (runner->queue);
  bd_idempotency_destroy (runner->idempotency_records);
  bd_map_destroy (runner->tasks);
  free (runner);
}

static void
withdraw_and_refuse (struct bd_runner *runner, int64_t now_ms,
                     struct task *task, int error)
{
  enum bd_ran ran = bd_task_withdraw (runner, now_ms, task);

  bd_task_refuse (runner, task, error, ran);
}

struct shed_context
{
  struct bd_runner *runner;
  int64_t now_ms;
  uint8_t for_tier;
};

static void
on_shed (void *context, const struct bd_queue_item *item)
{
  struct shed_context *shed = context;
  struct task *task = item->data;
  char detail[64];

  snprintf (detail, sizeof detail, "tier=%u for_tier=%u", item->tier,
            shed->for_tier);
  shed->runner->callbacks->log_event (shed->runner->callbacks,
                                      BD_EVENT_REQUEST_SHED, item->request,
                                      item->attempt, detail);
  task->state = TASK_WAITING;
  withdraw_and_refuse (shed->runner, shed->now_ms, task, BD_ERR_OVERLOADED);
}

static struct bd_queue_item
make_queue_item (const struct bd_runner *runner, struct task *task)
{
  uint64_t workspace = bd_chunk_hash (bd_chunk_of (task->workspace));
  uint64_t class_hash = bd_chunk_hash (bd_chunk_of (task->class_name));
  bool fifo = runner->settings.fifo;
  struct bd_queue_item item = {
    .request = task->request,
    .attempt = task->attempt,
    .tier = fifo ? 0 : task->tier,
    .workspace = fifo ? 0 : workspace,
    .class_hash = fifo ? 0 : workspace * 31 + class_hash,
    .min_share_permille = fifo ? 0 : (int32_t)task->min_share_permille,
    .cost = task->expected_tokens > 0 ? task->expected_tokens : 1,
    .bytes = task->bytes + (uint32_t)sizeof *task,
    .deadline_ms = task->queue_until_ms,
    .data = task,
  };

  return item;
}

static void
enqueue (struct bd_runner *runner, int64_t now_ms, struct task *task)
{
  struct bd_queue_item item = make_queue_item (runner, task);
  struct shed_context shed = { runner, now_ms, task->tier };
  char detail[64];
  int rc;

  /* The push may shed or refuse the task before it is in the queue. */
  task->state = TASK_WAITING;
  task->is_claimant = true;
  rc = bd_tier_queue_push (runner->queue, &item, on_shed, &shed);
  if (rc != BD_OK)
    {
      withdraw_and_refuse (runner, now_ms, task, rc);
      return;
    }
  task->state = TASK_QUEUED;
  snprintf (detail, sizeof detail, "tier=%u", task->tier);
  runner->callbacks->log_event (runner->callbacks, BD_EVENT_REQUEST_QUEUED,
                                task->request, task->attempt, detail);
}

/* Tells whether a reservation that carries its body can run without a grant: a
   slot is free and the queue is empty. */
static bool
can_run_directly (const struct bd_runner *runner, const struct bd_message *m)
{
  return m->flags & BD_FLAG_DIRECT && !runner->isolated_task
         && runner->engine_up && bd_tier_queue_length (runner->queue) == 0
         && runner->granted_count + runner->running_count
                < runner->settings.slots
         && m->target_incarnation == runner->settings.incarnation;
}

static void
run_directly (struct bd_runner *runner, int64_t now_ms, struct task *task,
              const struct bd_message *m)
{
  task->is_claimant = true;
  task->ran_directly = true;
  runner->callbacks->record_wait (runner->callbacks,
                                  bd_chunk_of (task->workspace),
                                  bd_chunk_of (task->class_name), 0);
  task->state = TASK_GRANTED;
  runner->granted_count++;
  bd_task_run (runner, now_ms, task, m);
}

/* Runs the task if it can run directly, otherwise queues it. */
static void
run_or_enqueue (struct bd_runner *runner, int64_t now_ms, struct task *task,
                const struct bd_message *m)
{
  if (can_run_directly (runner, m))
    run_directly (runner, now_ms, task, m);
  else
    enqueue (runner, now_ms, task);
}

void
bd_runner_set_home_since (struct bd_runner *runner, int64_t wall_ms)
{
  bd_idempotency_set_home_since (runner->idempotency_records, wall_ms);
}

void
bd_runner_confirm_configuration (struct bd_runner *runner, int64_t now_ms)
{
  bd_idempotency_confirm_configuration (runner->idempotency_records, now_ms);
}

/* Tells whether a caller's own key has no record here and its home runner is
   another one. */
static bool
has_other_home_runner (struct bd_runner *runner, const struct task *task)
{
  return task->claim.origin != BD_KEY_ISSUED
         && !bd_idempotency_has_record (runner->idempotency_records,
                                        task->claim.key)
         && !runner->callbacks->is_home_runner (runner->callbacks,
                                                task->claim.key.id);
}

static void
claim_key (struct bd_runner *runner, int64_t now_ms, int64_t wall_ms,
           struct task *task, const struct bd_message *m)
{
  struct bd_idempotency_answer answer;

  if (has_other_home_runner (runner, task))
    {
      bd_task_refuse (runner, task, BD_ERR_OUTCOME_UNKNOWN, BD_RAN_UNKNOWN);
      return;
    }
  bd_idempotency_claim (runner->idempotency_records, now_ms, wall_ms,
                        &task->claim, &answer);
  switch (answer.verdict)
    {
    case BD_IDEMPOTENCY_RUN:
      /* A leaving runner ends a new key.  While the engine is down, the task
         waits in the queue. */
      if (runner->leaving)
        withdraw_and_refuse (runner, now_ms, task, BD_ERR_LEAVING);
      else
        run_or_enqueue (runner, now_ms, task, m);
      break;
    case BD_IDEMPOTENCY_JOIN:
      task->state = TASK_WAITING;
      break;
    case BD_IDEMPOTENCY_REPLAY:
      bd_task_replay (runner, now_ms, task, &answer);
      break;
    case BD_IDEMPOTENCY_REFUSE:
      bd_task_refuse (runner, task, answer.error, answer.ran);
      break;
    }
}

/* Returns why a reservation without a key cannot be queued, or BD_OK. */
static int
reservation_error (const struct bd_runner *runner, const struct bd_message *m)
{
  if (m->target_incarnation != 0
      && m->target_incarnation != runner->settings.incarnation)
    return BD_ERR_STALE;
  if (runner->leaving)
    return BD_ERR_LEAVING;
  if (!runner->engine_up)
    return BD_ERR_NO_RUNNER;
  if (!(m->flags & BD_FLAG_IDEMPOTENT))
    return BD_ERR_KEY_REQUIRED;
  return BD_OK;
}

static void
handle_reserve (struct bd_runner *runner, int64_t now_ms, int64_t wall_ms,
                struct bd_chunk entry, const struct bd_message *m)
{
  struct task *task = bd_task_find (runner, m->request, m->attempt);
  int error;

  if (task)
    {
      /* A repeated RESERVE: the grant may have been lost. */
      if (task->state == TASK_GRANTED
          || (task->state == TASK_RUNNING && task->ran_directly))
        bd_task_send_grant (runner, task);
      return;
    }
  task = bd_task_add (runner, now_ms, entry, m);
  if (!task)
    return;
  task->state = TASK_WAITING;
  if (task->keyed)
    {
      claim_key (runner, now_ms, wall_ms, task, m);
      return;
    }
  error = reservation_error (runner, m);
  if (error != BD_OK)
    bd_task_refuse (runner, task, error, BD_RAN_NO);
  else
    run_or_enqueue (runner, now_ms, task, m);
}

static void
grant (struct bd_runner *runner, int64_t now_ms, struct task *task)
{
  task->state = TASK_GRANTED;
  task->expires_ms = now_ms + BD_GRANT_LEASE_MS;
  runner->granted_count++;
  bd_task_send_grant (runner, task);
  runner->callbacks->record_wait (
      runner->callbacks, bd_chunk_of (task->workspace),
      bd_chunk_of (task->class_name), now_ms - task->queued_ms);
  runner->callbacks->log_event (runner->callbacks, BD_EVENT_REQUEST_GRANTED,
                                task->request, task->attempt, "");
}

/* Returns the next queued task that has not expired, or NULL. */
static struct task *
pop_task (struct bd_runner *runner, int64_t now_ms)
{
  struct bd_queue_item item;

  while (bd_tier_queue_pop (runner->queue, &item))
    {
      struct task *task = item.data;

      task->state = TASK_WAITING;
      if (task->queue_until_ms > now_ms)
        return task;
      withdraw_and_refuse (runner, now_ms, task, BD_ERR_DEADLINE);
    }
  return NULL;
}

static void
enqueue_promoted (struct bd_runner *runner, int64_t now_ms)
{
  while (runner->tasks_to_queue > 0)
    {
      struct task *task = runner->first_task;

      while (!task->to_be_queued)
        task = task->next;
      task->to_be_queued = false;
      runner->tasks_to_queue--;
      enqueue (runner, now_ms, task);
    }
}

/* Queues promoted tasks and grants all free slots. */
static void
grant_slots (struct bd_runner *runner, int64_t now_ms)
{
  uint32_t slots = runner->settings.slots;

  enqueue_promoted (runner, now_ms);

  while (runner->engine_up
         && runner->granted_count + runner->running_count < slots)
    {
      struct task *task = runner->isolated_task;

      /* An isolated request waits until the runner is empty, and no other is
         granted before its end. */
      if (task && (runner->granted_count + runner->running_count > 0))
        return;
      if (!task)
        task = pop_task (runner, now_ms);
      if (!task)
        return;
      if (task->flags & BD_FLAG_ALONE)
        runner->isolated_task = task;
      if (runner->isolated_task == task
          && runner->granted_count + runner->running_count > 0)
        return;
      grant (runner, now_ms, task);
    }
}

static void
handle_decline (struct bd_runner *runner, int64_t now_ms, struct task *task)
{
  if (task->state == TASK_RUNNING || task->state == TASK_ENDED)
    return;
  if (task->keyed)
    withdraw_and_refuse (runner, now_ms, task, BD_ERR_CANCELLED);
  else
    bd_task_remove (runner, task);
}

static void
handle_cancel (struct bd_runner *runner, int64_t now_ms, struct task *task)
{
  if (task->state == TASK_ENDED)
    {
      bd_task_remove (runner, task);
      return;
    }
  if (task->state != TASK_RUNNING)
    {
      handle_decline (runner, now_ms, task);
      return;
    }
  /* A request that must not run twice continues, so that its answer can be
     replayed when the caller retries. */
  if (task->flags & BD_FLAG_IDEMPOTENT)
    runner->callbacks->cancel (runner->callbacks, task->request,
                               task->attempt);
}

static void
handle_run (struct bd_runner *runner, int64_t now_ms, struct bd_chunk entry,
            struct task *task, const struct bd_message *m)
{
  /* It is not known any more whether a removed task ran. */
  struct bd_message refusal = { .type = BD_MESSAGE_REFUSE,
                                .request = m->request,
                                .attempt = m->attempt,
                                .incarnation = runner->settings.incarnation,
                                .error = BD_ERR_STALE,
                                .ran = BD_RAN_UNKNOWN };

  if (!task)
    runner->callbacks->send (runner->callbacks, entry, &refusal);
  else if (task->state == TASK_GRANTED && task->expires_ms > now_ms
           && m->target_incarnation == runner->settings.incarnation)
    bd_task_run (runner, now_ms, task, m);
  else if (task->state <= TASK_GRANTED)
    withdraw_and_refuse (runner, now_ms, task, BD_ERR_STALE);
}

void
bd_runner_handle_message (struct bd_runner *runner, int64_t now_ms,
                          int64_t wall_ms, struct bd_chunk entry,
                          const struct bd_message *message)
{
  struct task *task
      = bd_task_find (runner, message->request, message->attempt);

  runner->wall_offset_ms = wall_ms - now_ms;
  switch (message->type)
    {
    case BD_MESSAGE_RESERVE:
      handle_reserve (runner, now_ms, wall_ms, entry, message);
      break;
    case BD_MESSAGE_RUN:
      handle_run (runner, now_ms, entry, task, message);
      break;
    case BD_MESSAGE_DECLINE:
      if (task)
        handle_decline (runner, now_ms, task);
      break;
    case BD_MESSAGE_CANCEL:
      if (task)
        handle_cancel (runner, now_ms, task);
      break;
    case BD_MESSAGE_RECEIPT:
      if (task)
        bd_task_confirm_delivery (runner, task);
      break;
    default:
      break;
    }
  grant_slots (runner, now_ms);
}

static void
expire_queue (struct bd_runner *runner, int64_t now_ms)
{
  struct bd_queue_item item;

  while (bd_tier_queue_expire (runner->queue, now_ms, &item))
    {
      struct task *task = item.data;

      task->state = TASK_WAITING;
      runner->callbacks->log_event (runner->callbacks,
                                    BD_EVENT_REQUEST_EXPIRED, task->request,
                                    task->attempt, "");
      withdraw_and_refuse (runner, now_ms, task, BD_ERR_DEADLINE);
    }
}

static void
expire_task (struct bd_runner *runner, int64_t now_ms, struct task *task)
{
  if (task->state == TASK_GRANTED && task->expires_ms <= now_ms)
    withdraw_and_refuse (runner, now_ms, task, BD_ERR_STALE);
  else if (task->state == TASK_ENDED && task->expires_ms <= now_ms)
    bd_task_remove (runner, task);
  else if (task->state == TASK_WAITING && task->queue_until_ms <= now_ms)
    withdraw_and_refuse (runner, now_ms, task, BD_ERR_DEADLINE);
}

void
bd_runner_tick (struct bd_runner *runner, int64_t now_ms, int64_t wall_ms)
{
  struct task *task;

  runner->wall_offset_ms = wall_ms - now_ms;
  expire_queue (runner, now_ms);
  task = runner->first_task;
  while (task)
    {
      struct task *next = task->next;

      if (task->state != TASK_QUEUED && task->state != TASK_RUNNING)
        expire_task (runner, now_ms, task);
      task = next;
    }
  bd_idempotency_tick (runner->idempotency_records, now_ms);
  grant_slots (runner, now_ms);
}

void
bd_runner_engine_end (struct bd_runner *runner, int64_t now_ms,
                      struct bd_id request, uint32_t attempt)
{
  bd_task_end (runner, now_ms, request, attempt);
  grant_slots (runner, now_ms);
}

void
bd_runner_engine_failed (struct bd_runner *runner, int64_t now_ms,
                         struct bd_id request, uint32_t attempt, int error,
                         bool sent)
{
  bd_task_fail (runner, now_ms, request, attempt, error, sent);
  grant_slots (runner, now_ms);
}

void
bd_runner_set_engine (struct bd_runner *runner, int64_t now_ms, bool up)
{
  if (runner->engine_up == up)
    return;
  runner->engine_up = up;
  if (up)
    grant_slots (runner, now_ms);
  else
    bd_task_refuse_unkeyed (runner, BD_ERR_NO_RUNNER);
}

bool
bd_runner_engine_up (const struct bd_runner *runner)
{
  return runner->engine_up;
}

void
bd_runner_start_leaving (struct bd_runner *runner, int64_t now_ms)
{
  runner->leaving = true;
  bd_task_refuse_unkeyed (runner, BD_ERR_LEAVING);
  grant_slots (runner, now_ms);
}

bool
bd_runner_is_leaving (const struct bd_runner *runner)
{
  return runner->leaving;
}

bool
bd_runner_idle (const struct bd_runner *runner)
{
  return runner->first_task == NULL;
}
