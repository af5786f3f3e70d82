/**
 * @file job.h
 * Requests in progress at an entry; private to src/dispatch.
 */
#ifndef BD_JOB_H
#define BD_JOB_H

#include "common/map.h"
#include "dispatch/fleet.h"
#include "retry/retry.h"
#include "stream/stream.h"

/**
 * Limit on the text retained to resume a stream, and on the body of an
 * answer that is not a stream.
 */
#define BD_JOB_RETAINED_MAX_BYTES ((size_t)4 * 1024 * 1024)

/** Most reservations of one attempt. */
#define BD_RESERVATIONS_MAX 6

enum job_state
{
  JOB_RESERVING, /**< Waits for a grant. */
  JOB_RUNNING,   /**< A runner has the request body. */
  JOB_ANSWERED   /**< END was delivered; RECEIPT is due. */
};

/** A RESERVE of the current attempt, sent to one runner. */
struct reservation
{
  struct bd_fleet_runner *runner;
  bool open;   /**< Neither granted nor refused. */
  bool direct; /**< RESERVE carried the request body. */
};

/** A caller's request, over all its attempts. */
struct job
{
  struct bd_dispatch_request request; /**< Chunks point into TEXTS. */
  char *texts;
  uint64_t workspace_hash;
  uint64_t class_hash;
  uint32_t expected_tokens;
  bool keyed;
  bool idempotent;
  bool streamed;
  bool isolated;
  enum job_state state;
  uint32_t attempt;
  uint32_t run_count; /**< Attempts whose body was sent. */
  bool may_have_run;  /**< An earlier attempt may have reached an engine. */
  struct reservation reservations[BD_RESERVATIONS_MAX];
  size_t reservation_count;
  struct bd_fleet_runner *runner; /**< Set in JOB_RUNNING and JOB_ANSWERED. */
  int64_t deadline_ms;
  int64_t queue_until_ms;
  int64_t next_reserve_ms; /**< When to reserve at a further runner. */
  int64_t reserve_interval_ms;
  int64_t last_progress_ms; /**< Last message of the running attempt. */
  int last_error;
  enum bd_ran last_ran;
  int64_t retry_after_ms;
  /* State of the answer. */
  struct bd_stream *stream;
  uint64_t stream_bytes; /**< Bytes delivered by STREAM. */
  bool head_sent;
  bool data_sent;
  int status;
  char *content_type;
  struct bd_buffer retained;   /**< Delivered text, or body so far. */
  struct bd_buffer done_event; /**< [DONE] event, until END is complete. */
  bool truncated; /**< RETAINED lacks a part of a body that is no stream. */
  uint32_t tokens;
  uint32_t delivered_events; /**< Data events sent to the caller. */
  bool end_received;         /**< END came in; chunks may be missing. */
  bool replay;
  struct job *next;
  struct job *previous;
};

struct bd_dispatch
{
  struct bd_dispatch_settings settings;
  char *instance;
  char *zone;
  struct bd_dispatch_callbacks *callbacks;
  struct bd_fleet *fleet;
  struct bd_limiter *limiter;
  struct bd_suspects *suspects;
  struct bd_map *jobs;    /**< Jobs by request identifier. */
  struct bd_map *classes; /**< Mean answer tokens by class hash. */
  struct job *first_job;
  struct job *last_job;
  struct bd_retry_budget budget;
  uint64_t *limited_workspaces; /**< Hashes of workspaces with limits. */
  size_t limited_workspace_count;
  size_t open_jobs; /**< Number of jobs without END or FAIL. */
};

/** Returns the job of REQUEST, or NULL. */
struct job *bd_job_find (const struct bd_dispatch *dispatch,
                         struct bd_id request);

/** Fails or retries the jobs at a runner that was lost or has restarted. */
void bd_dispatch_fail_runner_jobs (struct bd_dispatch *dispatch,
                                   int64_t now_ms,
                                   struct bd_fleet_runner *runner);

/** Sends MESSAGE about the job's attempt.  Returns the callback's result. */
int bd_job_send (struct bd_dispatch *dispatch, const struct job *job,
                 struct bd_fleet_runner *runner, struct bd_message *message);

/** Delivers FAIL and frees the job. */
void bd_job_fail (struct bd_dispatch *dispatch, int64_t now_ms,
                  struct job *job, int error, enum bd_ran ran);

/** Frees the job and releases its share of the workspace's limits. */
void bd_job_free (struct bd_dispatch *dispatch, int64_t now_ms,
                  struct job *job);

/** Starts an attempt by reserving at runners.  May free the job. */
void bd_job_start_attempt (struct bd_dispatch *dispatch, int64_t now_ms,
                           struct job *job);

/** Reserves at a further runner, or repeats a RESERVE that may be lost. */
void bd_job_reserve_more (struct bd_dispatch *dispatch, int64_t now_ms,
                          struct job *job);

/**
 * Accepts a grant: sends the body to RUNNER, unless it RUNS already, and
 * declines the other reservations.
 */
void bd_job_grant (struct bd_dispatch *dispatch, int64_t now_ms,
                   struct job *job, struct bd_fleet_runner *runner, bool runs);

/** Handles a refusal: reserves at another runner, or fails the job. */
void bd_job_refused (struct bd_dispatch *dispatch, int64_t now_ms,
                     struct job *job, struct bd_fleet_runner *runner,
                     const struct bd_message *message);

/**
 * Handles a failed attempt: retries, resumes, or fails the job.
 * DISCONNECTED: the runner or its engine went away, or never accepted the
 * request.  Any other failure may recur at every runner, so its retry is
 * charged to the retry budget.
 */
void bd_job_retry (struct bd_dispatch *dispatch, int64_t now_ms,
                   struct job *job, int error, enum bd_ran ran,
                   bool disconnected);

/* Handlers for messages of the running attempt: */
void bd_job_head (struct job *job, const struct bd_message *message);
void bd_job_chunk (struct bd_dispatch *dispatch, int64_t now_ms,
                   struct job *job, const struct bd_message *message);
void bd_job_end (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
                 const struct bd_message *message);

/** Returns the expected tokens of an answer of the class. */
uint32_t bd_job_expected_tokens (const struct bd_dispatch *dispatch,
                                 uint64_t class_hash, int32_t max_tokens);
/** Adds an answer's token count to the mean of its class. */
void bd_job_record_tokens (struct bd_dispatch *dispatch, uint64_t class_hash,
                           uint32_t tokens);

#endif
