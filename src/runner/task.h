/**
 * @file task.h
 * Requests at a sidecar; private to src/runner.  Each of its files calls only
 * those before it: report.c (load reports), task.c (tables), execution.c (runs
 * at the engine), runner.c (queue, messages and timeouts).
 */
#ifndef BD_TASK_H
#define BD_TASK_H

#include "common/map.h"
#include "runner/runner.h"
#include "stream/sse.h"

enum task_state
{
  TASK_QUEUED,  /**< Waits for a slot. */
  TASK_GRANTED, /**< Holds a slot until RUN or the end of the lease. */
  TASK_RUNNING, /**< Was sent to the engine. */
  TASK_ENDED,   /**< Answered completely; waits for RECEIPT. */
  TASK_WAITING  /**< In no queue; waits for another run of its key. */
};

/** An attempt of a request at this sidecar. */
struct task
{
  struct bd_id request;
  uint32_t attempt;
  enum task_state state;
  uint32_t flags; /**< enum bd_message_flag. */
  uint8_t tier;
  bool keyed;
  bool is_claimant;  /**< Was queued or run, not only waiting. */
  bool ran_directly; /**< Ran without a separate grant. */
  bool to_be_queued; /**< To be queued by the next grant_slots (). */
  bool is_replay;    /**< The answer is a recorded one. */
  char *entry;       /**< Instance that sent the reservation. */
  char *workspace;
  char *class_name;
  struct bd_idempotency_claim claim;
  uint32_t expected_tokens;
  uint32_t min_share_permille;
  uint32_t bytes;
  int64_t queued_ms;
  int64_t queue_until_ms;
  int64_t expires_ms; /**< End of the lease or of the wait for RECEIPT. */
  /* State of the answer. */
  int status;
  char *content_type;
  uint64_t next_sequence; /**< Number of the next chunk. */
  uint32_t tokens;
  uint32_t prior_tokens; /**< Tokens delivered by earlier attempts. */
  bool done_seen;        /**< [DONE] of the stream came in. */
  int64_t last_data_ms;
  struct bd_sse sse;
  struct bd_buffer body; /**< The answer, if keyed or parsed as JSON. */
  bool body_truncated;   /**< BODY is incomplete. */
  struct task *next;     /**< In the list of all tasks. */
  struct task *previous;
};

struct bd_runner
{
  struct bd_runner_settings settings;
  struct bd_runner_callbacks *callbacks;
  struct bd_tier_queue *queue;
  struct bd_idempotency *idempotency_records;
  struct bd_map *tasks;  /**< Tasks by request and attempt. */
  struct bd_map *billed; /**< Keys whose answer was billed. */
  struct task *first_task;
  struct task *last_task;
  struct task *isolated_task; /**< Waits for, or has, the runner alone. */
  uint32_t granted_count;
  uint32_t running_count;
  uint32_t ended_count;
  uint32_t tasks_to_queue; /**< Number of tasks with TO_BE_QUEUED. */
  uint32_t token_time_us;  /**< Smoothed time per token. */
  uint64_t crash_number;
  bool engine_up;
  bool leaving;
  int64_t wall_offset_ms; /**< Wall clock minus monotonic clock. */
};

/** Finds a task, or returns NULL. */
struct task *bd_task_find (const struct bd_runner *runner,
                           struct bd_id request, uint32_t attempt);

/** Adds a task for a reservation, or returns NULL. */
struct task *bd_task_add (struct bd_runner *runner, int64_t now_ms,
                          struct bd_chunk entry,
                          const struct bd_message *message);

/** Removes a task from queue, counts and tables, and frees it. */
void bd_task_remove (struct bd_runner *runner, struct task *task);

/** Sends MESSAGE about the task to its entry. */
void bd_task_send (struct bd_runner *runner, const struct task *task,
                   struct bd_message *message);

/** Sends a refusal to the task's entry and removes the task. */
void bd_task_refuse (struct bd_runner *runner, struct task *task, int error,
                     enum bd_ran ran);

/**
 * Withdraws the task's claim on its key, if it has one.  Another task that
 * waits for the key is queued instead.  Returns whether the request ran, as
 * far as is known.
 */
enum bd_ran bd_task_withdraw (struct bd_runner *runner, int64_t now_ms,
                              struct task *task);

/** Sends GRANT to the entry; with BD_FLAG_DIRECT if the task runs already. */
void bd_task_send_grant (struct bd_runner *runner, const struct task *task);

/** Sends a granted task to the engine. */
void bd_task_run (struct bd_runner *runner, int64_t now_ms, struct task *task,
                  const struct bd_message *message);

/** Answers a task with a recorded answer (BD_IDEMPOTENCY_REPLAY). */
void bd_task_replay (struct bd_runner *runner, int64_t now_ms,
                     struct task *task,
                     const struct bd_idempotency_answer *answer);

/** Handles RECEIPT: bills the delivered answer and removes the task. */
void bd_task_confirm_delivery (struct bd_runner *runner, struct task *task);

/** Handles the end of the engine's answer. */
void bd_task_end (struct bd_runner *runner, int64_t now_ms,
                  struct bd_id request, uint32_t attempt);

/** Handles ERROR of the engine; SENT: it may have received the request. */
void bd_task_fail (struct bd_runner *runner, int64_t now_ms,
                   struct bd_id request, uint32_t attempt, int error,
                   bool sent);

/** Refuses queued and granted tasks without a key; they can run elsewhere. */
void bd_task_refuse_unkeyed (struct bd_runner *runner, int error);

#endif
