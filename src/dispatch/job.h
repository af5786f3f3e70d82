/**
 * @file job.h
 * Private to the dispatch's files: its tables.
 */
#ifndef BD_JOB_H
#define BD_JOB_H

#include "common/map.h"
#include "dispatch/fleet.h"
#include "retry/retry.h"
#include "stream/stream.h"

/** Longest text kept to resume a stream, or body of another answer. */
#define BD_JOB_RETAINED_MAX_BYTES ((size_t)4 * 1024 * 1024)

/** Most runners that are asked for one attempt. */
#define BD_RESERVATIONS_MAX 6

enum job_state
{
  JOB_RESERVING, /**< Reservations are out. */
  JOB_RUNNING,   /**< A runner has the body. */
  JOB_ANSWERED   /**< END was delivered; the receipt is due. */
};

/** A runner that holds, or held, a reservation of this attempt. */
struct reservation
{
  struct bd_fleet_runner *runner;
  bool open;   /**< No answer yet. */
  bool direct; /**< The body went with the reservation. */
};

struct job
{
  struct bd_dispatch_request request; /**< Chunks point into OWNED. */
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
  uint32_t run_count; /**< Attempts that were given a body. */
  bool may_have_run;  /**< An earlier attempt may have reached an engine. */
  struct reservation reservations[BD_RESERVATIONS_MAX];
  size_t reservation_count;
  struct bd_fleet_runner *runner; /**< With RUNNING and ANSWERED. */
  int64_t deadline_ms;
  int64_t queue_until_ms;
  int64_t next_reserve_ms; /**< When to ask more runners. */
  int64_t reserve_interval_ms;
  int64_t last_progress_ms; /**< When RUNNING last showed progress. */
  int last_error;
  enum bd_ran last_ran;
  int64_t retry_after_ms;
  /* The answer. */
  struct bd_stream *stream;
  uint64_t stream_bytes; /**< Taken in order from the stream. */
  bool head_sent;
  bool data_sent;
  int status;
  char *content_type;
  struct bd_buffer retained; /**< Delivered text, or the body so far. */
  struct bd_buffer
      done_event; /**< The closing event, until the counted end. */
  bool truncated; /**< KEPT lacks something of an answer that is no stream. */
  uint32_t tokens;
  uint32_t
      delivered_events; /**< Events with data that the caller was given. */
  bool end_received;    /**< END was taken in, chunks are missing. */
  bool replay;
  struct job *next;
  struct job *previous;
};

struct bd_dispatch
{
  struct bd_dispatch_settings settings;
  char *instance;
  char *zone;
  struct bd_dispatch_port *port;
  struct bd_fleet *fleet;
  struct bd_limiter *limiter;
  struct bd_suspects *suspects;
  struct bd_map *jobs;    /**< By request. */
  struct bd_map *classes; /**< Learned work by class. */
  struct job *first_job;
  struct job *last_job;
  struct bd_retry_budget budget;
  uint64_t *limited_workspaces; /**< Workspaces that have limits. */
  size_t limited_workspace_count;
  size_t open_jobs; /**< Jobs without END or FAIL. */
};

/** Sends a message of the job's attempt.  Returns as the port does. */
int bd_job_send (struct bd_dispatch *dispatch, const struct job *job,
                 struct bd_fleet_runner *runner, struct bd_message *message);

/** Delivers FAIL and frees the job. */
void bd_job_fail (struct bd_dispatch *dispatch, int64_t now_ms,
                  struct job *job, int error, enum bd_ran ran);

/** Frees the job and gives back what it was admitted with. */
void bd_job_free (struct bd_dispatch *dispatch, int64_t now_ms,
                  struct job *job);

/** Starts an attempt: asks runners.  The job may be gone afterwards. */
void bd_job_start_attempt (struct bd_dispatch *dispatch, int64_t now_ms,
                           struct job *job);

/** Asks further runners, or again where the answer may have been lost. */
void bd_job_reserve_more (struct bd_dispatch *dispatch, int64_t now_ms,
                          struct job *job);

/**
 * Takes a grant: the runner gets the body, unless it RUNS already; the others
 * are declined.
 */
void bd_job_grant (struct bd_dispatch *dispatch, int64_t now_ms,
                   struct job *job, struct bd_fleet_runner *runner, bool runs);

/** Takes a refusal: asks another runner, or fails the job. */
void bd_job_refused (struct bd_dispatch *dispatch, int64_t now_ms,
                     struct job *job, struct bd_fleet_runner *runner,
                     const struct bd_message *message);

/** The running attempt failed: tries again, resumes, or fails the job. */
/**
 * CUT: the runner or its engine went away, or never took the request; what
 * fails otherwise may fail everywhere and is charged to the retry budget.
 */
void bd_job_retry (struct bd_dispatch *dispatch, int64_t now_ms,
                   struct job *job, int error, enum bd_ran ran,
                   bool disconnected);

/** Messages of the running attempt. */
void bd_job_head (struct job *job, const struct bd_message *message);
void bd_job_chunk (struct bd_dispatch *dispatch, int64_t now_ms,
                   struct job *job, const struct bd_message *message);
void bd_job_end (struct bd_dispatch *dispatch, int64_t now_ms, struct job *job,
                 const struct bd_message *message);

/** Learned tokens of an answer of the class. */
uint32_t bd_job_expected_tokens (const struct bd_dispatch *dispatch,
                                 uint64_t class_hash, int32_t max_tokens);
void bd_job_record_tokens (struct bd_dispatch *dispatch, uint64_t class_hash,
                           uint32_t tokens);

#endif
