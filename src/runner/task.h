/**
 * @file task.h
 * Private to the runner's files, each of which calls those before it only:
 * report.c (what it says of itself), task.c (its tables), run.c (the engine's
 * answers), runner.c (its queue, messages and time).
 */
#ifndef BD_TASK_H
#define BD_TASK_H

#include "common/map.h"
#include "runner/runner.h"
#include "stream/sse.h"

enum task_state
{
  TASK_QUEUED,  /**< Waits for a slot. */
  TASK_GRANTED, /**< Holds a slot until the entry answers. */
  TASK_RUNNING, /**< Given to the engine. */
  TASK_ENDED,   /**< Answered whole; waits for the receipt. */
  TASK_WAITING  /**< Waits for another request with its key. */
};

/** One attempt of a request at this sidecar. */
struct task
{
  struct bd_id request;
  uint32_t attempt;
  enum task_state state;
  uint32_t flags; /**< enum bd_message_flag. */
  uint8_t tier;
  bool keyed;
  bool is_claimant;  /**< Was queued itself, not only joined. */
  bool ran_directly; /**< Was run at once, without a grant. */
  bool to_be_queued; /**< Is to be queued by the pump. */
  bool is_replay;    /**< The answer is a recorded one. */
  char *entry;       /**< Instance that is answered. */
  char *workspace;
  char *class_name;
  struct bd_custody_claim claim;
  uint32_t expected_tokens;
  uint32_t min_share_permille;
  uint32_t bytes;
  int64_t queued_ms;
  int64_t queue_until_ms;
  int64_t expires_ms; /**< Lease or receipt limit, by state. */
  /* The answer so far. */
  int status;
  char *content_type;
  uint64_t next_sequence; /**< Chunks sent. */
  uint32_t tokens;
  uint32_t prior_tokens; /**< Of the answer, delivered by earlier attempts. */
  bool done_seen;        /**< The stream's [DONE] was seen. */
  int64_t last_data_ms;
  struct bd_sse sse;
  struct bd_buffer sse_event;
  struct bd_buffer body; /**< The whole answer, where it is needed. */
  bool body_truncated;   /**< BODY is not the whole answer. */
  struct task *next;     /**< In the runner's list of all tasks. */
  struct task *previous;
};

struct bd_runner
{
  struct bd_runner_settings settings;
  struct bd_runner_port *port;
  struct bd_tier_queue *queue;
  struct bd_custody *custody;
  struct bd_map *tasks;  /**< By request and attempt. */
  struct bd_map *billed; /**< Keys whose answer was billed. */
  struct task *first_task;
  struct task *last_task;
  struct task *isolated_task; /**< Waits for, or holds, the whole runner. */
  uint32_t granted_count;
  uint32_t running_count;
  uint32_t ended_count;
  uint32_t tasks_to_queue; /**< Tasks that the pump has to queue. */
  uint32_t token_time_us;  /**< Smoothed. */
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

/** Removes a task from all tables and frees it. */
void bd_task_remove (struct bd_runner *runner, struct task *task);

/** Sends a message of TYPE about the task to its entry. */
void bd_task_send (struct bd_runner *runner, const struct task *task,
                   struct bd_message *message);

/** Refuses the task and removes it. */
void bd_task_refuse (struct bd_runner *runner, struct task *task, int error,
                     enum bd_ran ran);

/**
 * Withdraws the task's claim on its key, if it has one.  Another task that
 * waits for the key is queued in its place.  Returns whether the request
 * provably did not run.
 */
enum bd_ran bd_task_withdraw (struct bd_runner *runner, int64_t now_ms,
                              struct task *task);

/** Tells the entry that the task has its slot, or runs. */
void bd_task_send_grant (struct bd_runner *runner, const struct task *task);

/** Gives a granted task to the engine. */
void bd_task_run (struct bd_runner *runner, int64_t now_ms, struct task *task,
                  const struct bd_message *message);

/** Answers a task from a record: verdict BD_CUSTODY_REPLAY. */
void bd_task_replay (struct bd_runner *runner, int64_t now_ms,
                     struct task *task,
                     const struct bd_custody_answer *answer);

/** The entry has delivered the answer whole. */
void bd_task_confirm_delivery (struct bd_runner *runner, struct task *task);

/** The engine's answer has ended. */
void bd_task_end (struct bd_runner *runner, int64_t now_ms,
                  struct bd_id request, uint32_t attempt);

/** The engine failed with ERROR; SENT: it may have got the request. */
void bd_task_fail (struct bd_runner *runner, int64_t now_ms,
                   struct bd_id request, uint32_t attempt, int error,
                   bool sent);

/** Refuses what waits without a key: it can run elsewhere. */
void bd_task_refuse_unkeyed (struct bd_runner *runner, int error);

#endif
