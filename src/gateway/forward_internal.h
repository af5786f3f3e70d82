/**
 * @file forward_internal.h
 * Internals of the forwarder: the state of a request that is being forwarded.
 * Private to forward.c (routing of requests), attempt.c (attempts at runners),
 * attempt_result.c (what follows a failed attempt), response.c (runners'
 * responses), continuation.c (the software versions that streams keep to),
 * crash_probe.c (connection probes of runners that may have crashed) and
 * completion.c (final responses to the caller).
 */
#ifndef BD_FORWARD_INTERNAL_H
#define BD_FORWARD_INTERNAL_H

#include "balance/outlier.h"
#include "stream/sse.h"
#include "gateway/crash.h"
#include "gateway/forward.h"

/** Most runners that a request is sent to, even if its route allows more. */
#define BD_FORWARD_TRIED_MAX 8
/** Time to connect to a runner, in milliseconds. */
#define BD_FORWARD_CONNECT_TIMEOUT_MS 300
/**
 * A runner is silent when nothing was received from it for this long, in
 * milliseconds.
 */
#define BD_FORWARD_SILENCE_MS 1000
/**
 * Bytes for an identifier in a log line, or for the identifier of a stream's
 * last event.
 */
#define BD_FORWARD_ID_BYTES 64

/** Why a request is not sent to another runner. */
enum bd_stop_reason
{
  BD_STOP_NO_RUNNER,      /**< No usable runner is left. */
  BD_STOP_NOT_REPEATABLE, /**< The request may have run, and must not run
                             twice. */
  BD_STOP_ATTEMPTS,       /**< The route's limit of attempts is reached. */
  BD_STOP_BUDGET,         /**< The service's retry budget is used up. */
  BD_STOP_SOFTWARE, /**< No usable runner of the software version that began
                       the stream is left. */
  BD_STOP_CRASHES,  /**< The request is quarantined, as runners crashed under
                       it. */
  BD_STOP_TIME      /**< The deadline has passed. */
};

struct bd_forwarder
{
  struct bd_forwarder_options options;
  struct bd_mesh *mesh; /* NULL: there are no peers. */
  struct bd_routing *routing;
  struct bd_forward *first_forward;
  uint32_t instance_count;
  uint64_t random_state;
  struct bd_crashes *crashes;
  size_t probes_in_progress; /* Number of connection probes in progress. */
  size_t buffered_bytes;     /* Bytes of all incomplete responses. */
  int64_t budget_waiters;    /* Number of requests that wait for the retry
                                budget. */
  int64_t last_request_ms;
  int64_t coordinated_ms;  /* When a coordinator answered last. */
  int lowest_priority;     /* Least urgent priority that the routing uses. */
  int64_t accept_until_ms; /* Requests that come later may be refused; 0: the
                              instance is not stopping. */
  int64_t exit_ms;
};

/* A request that is being forwarded. */
struct bd_forward
{
  struct bd_forwarder *forwarder;
  struct bd_forward *next;
  struct bd_forward *previous;
  struct bd_exchange *exchange;
  struct bd_routing *routing;
  const struct bd_route *route;
  const struct bd_workspace *workspace;
  struct bd_request_fields request_fields;
  struct bd_chunk service;
  struct bd_selection_request selection_request;
  struct bd_fingerprint fingerprint;
  int64_t arrived_ms;
  int64_t deadline_ms;
  uv_timer_t deadline_timer; /* Expires at deadline_ms. */
  /* Expires when the attempt has been silent for too long; polls the caller's
     unread bytes while reading is paused, and the retry budget between
     attempts. */
  uv_timer_t attempt_timer;
  /* Attempts.  Runners tried are kept as the low 32 bits of their hashes, not
     as pointers, because a runner's entry may be removed while the request
     runs. */
  uint32_t tried[BD_FORWARD_TRIED_MAX];
  size_t tried_count;
  /* Attempts at runners that may have received the request. */
  uint32_t attempts;
  /* The only runner that may get the request until it has confirmed the
     version: low 32 bits of its hash; 0: any. */
  uint32_t holder;
  bool origin_confirmed; /* The version of the continued stream is certain. */
  bool counted_as_first; /* Counted as a first attempt, in proportion to which
                            the retry budget grows. */
  /* Registration with the coordinator. */
  struct bd_coordinator_registration registration;
  struct bd_target *target;
  struct bd_call *call;
  /* Tokens that the runner has to process before the first event of the
     response: those ahead and the request's own. */
  uint64_t first_event_tokens;
  uint64_t prefill_tokens; /* Tokens of the request's own prompt that the
                              runner has to process. */
  /* Share of prefill_tokens that is counted in the target's queue; 0 once the
     prompt has been read. */
  uint64_t queued_tokens;
  int64_t sent_ms;
  bool suspected; /* The request was suspected when the attempt was sent, so a
                     crash counts as one in which it ran alone. */
  /* When the first event of the attempt was received; 0: none yet. */
  int64_t first_event_at_ms;
  int64_t target_started_ms; /* Start time of the runner's process, as listed
                                when the attempt was sent. */
  /* Hash of the software version of the runner, as listed when the attempt was
     sent. */
  uint64_t target_software;
  /* Hash of the software version that began the stream, the only one that may
     go on with it; BD_SOFTWARE_ANY: no event has come yet, or not known. */
  uint64_t stream_software;
  /* Number of the stream that the attempt begins; the attempt's identifier may
     be gone before F is. */
  uint64_t own_stream;
  /* Number of the stream that the caller continues; 0: not named. */
  uint64_t continued_stream;
  /* What the attempt has shown about the runner. */
  struct bd_attempt_outcome outcome;
  int64_t pause_left_ms; /* Time until the first runner that asked for a pause
                            takes requests; 0: none did. */
  int64_t limit_left_ms; /* Time until the caller's turn at runners that limit
                            their requests; 0: none does, or not known. */
  bool runner_was_idle;  /* No wait was expected at the runner. */
  bool may_have_run;
  bool continues;   /* The caller continues a stream that another of its
                       attempts began. */
  bool origin_told; /* Peers were told which version began the stream. */
  /* Why the request was not sent to another runner. */
  enum bd_stop_reason stop_reason;
  bool waits_for_budget; /* Between attempts, until the retry budget has
                            grown. */
  bool retry_denied;     /* The budget was used up at least once. */
  int failed_with; /* Error with which the request fails after the wait. */
  int64_t budget_wait_until_ms; /* 0: no wait since the last attempt. */
  /* Response of the current attempt. */
  int status;
  bool streaming;
  struct bd_response_fields response_fields;
  struct bd_buffer fields;
  struct bd_buffer body;
  struct bd_sse sse;
  struct bd_buffer outgoing; /* Complete events that are not sent yet, as
                                chunks of the response. */
  size_t comment_bytes;      /* Bytes of comments since the last event. */
  size_t buffered_bytes;     /* Bytes in body, sse and outgoing; part of the
                                forwarder's total. */
  /* Response to the caller. */
  bool head_sent; /* The head of a stream has been sent to the caller. */
  /* Time from arrival to the first event; 0: none yet. */
  int64_t first_event_ms;
  int64_t last_event_ms; /* When events were last sent to the caller. */
  int64_t max_gap_ms;    /* Longest time between events. */
  uint64_t event_count;
  uint64_t sent_event_count; /* Events that have been sent to the caller. */
  char last_event_id[BD_FORWARD_ID_BYTES];
  bool reading_paused;
  bool closing; /* Freed except for the timers, which are being closed. */
  int open_timers;
};

/**
 * Returns whether the request may be sent to another runner after it may have
 * run.
 */
bool bd_forward_repeatable (const struct bd_forward *f);

/** Returns the milliseconds since the first byte of the request. */
int64_t bd_forward_elapsed_ms (const struct bd_forward *f);

/** Refuses a request that has not been sent to any runner. */
void bd_forward_refuse (struct bd_forwarder *forwarder,
                        struct bd_exchange *exchange,
                        const struct bd_request_fields *fields, int error);

/**
 * Refuses a request whose expected wait WAIT_MS is over MAX_WAIT_MS, and tells
 * the caller to retry after RETRY_AFTER_MS; frees F.
 */
void bd_forward_refuse_overload (struct bd_forward *f, int64_t wait_ms,
                                 int64_t max_wait_ms, int64_t retry_after_ms);

/**
 * Answers the request with ERROR, or aborts the stream if its head has been
 * sent; frees F.
 */
void bd_forward_fail (struct bd_forward *f, int error);

/** Counts and logs a complete response. */
void bd_forward_count_completed (struct bd_forward *f);

/** Updates the number of bytes that are buffered for F. */
void bd_forward_update_buffered (struct bd_forward *f);

/** Cancels the call of F if there is one, and frees F. */
void bd_forward_free (struct bd_forward *f);

/** Ends the attempt, whose call has ended or been cancelled. */
void bd_forward_end_attempt (struct bd_forward *f);

/** Removes the prompt, which has been read, from the target's queue. */
void bd_forward_prefill_done (struct bd_forward *f);

/** Sends the request to the next runner, or fails it. */
void bd_forward_next_attempt (struct bd_forward *f);

/** Registers the attempt with the instance at IP, the new coordinator. */
void bd_forward_reregister (struct bd_forward *f, uint32_t ip, int64_t now_ms);

/**
 * Returns whether the request may be sent to another runner after one received
 * it; takes one retry from the budget.  Otherwise sets F->stop_reason.
 */
bool bd_forward_may_retry (struct bd_forward *f);

/** Ends a wait for the retry budget, if there is one. */
void bd_forward_end_budget_wait (struct bd_forward *f);

/** Handles a response that says that the runner did not run the request. */
void bd_forward_after_refusal (struct bd_forward *f);

/** Handles a failed attempt that the runner may have begun to run. */
void bd_forward_after_failure (struct bd_forward *f, int error,
                               const char *reason);

/** Handles an attempt that never reached the runner. */
void bd_forward_after_no_connection (struct bd_forward *f);

void bd_forward_log_failed_attempt (const struct bd_forward *f,
                                    const char *reason);

/** Returns whether a request on ROUTE continues a stream of which its caller
    has some events. */
bool bd_forward_is_continuation (const struct bd_route *route,
                                 const struct bd_request_fields *fields);

/**
 * Prepares a request whose caller may continue a stream of an earlier attempt.
 */
void bd_forward_init_continuation (struct bd_forward *f);

/** Fills in what QUERY says about the stream that is continued. */
void bd_forward_fill_continuation (const struct bd_forward *f,
                                   struct bd_coordination_query *query);

/**
 * Returns whether the request may be placed: it is known which software
 * version it needs, if any.  REPLY is the coordinator's, or NULL.  Otherwise
 * the query is repeated later, or F has been refused and freed.
 */
bool bd_forward_origin_is_known (struct bd_forward *f,
                                 const struct bd_coordination_reply *reply);

/**
 * Handles that the runner that holds the prompt cannot take the request:
 * returns whether another way is tried, or F has been refused and freed.
 */
bool bd_forward_retry_without_holder (struct bd_forward *f);

/**
 * Lets an attempt that continues a stream wait for a runner of the stream's
 * version that limits its requests.  Returns whether it waits.
 */
bool bd_forward_wait_for_version (struct bd_forward *f);

/** Logs that the request continues a stream at TARGET, if it does. */
void bd_forward_log_continued (const struct bd_forward *f,
                               const struct bd_target *target);

/** Records which software version begins the stream, at its first event. */
void bd_forward_stream_begins (struct bd_forward *f);

/**
 * Checks at the end of an attempt that had events whether the list still shows
 * the process that began the stream, and of one that had none whether it
 * confirmed the version.
 */
void bd_forward_check_software (struct bd_forward *f);

/** Tells peers which software version began the stream. */
void bd_forward_tell_origin (struct bd_forward *f);

/** Records the result of the attempt at its runner. */
void bd_forward_record_result (struct bd_forward *f,
                               enum bd_outlier_result result);

/** Records a result at TARGET for outlier detection. */
void bd_forward_record_target_result (struct bd_forwarder *forwarder,
                                      struct bd_target *target,
                                      enum bd_outlier_result result);

/**
 * Opens a crash case for the attempt, which was sent and got no complete
 * response.
 */
void bd_forward_open_crash_case (struct bd_forward *f,
                                 enum bd_crash_evidence evidence);

/** Starts the connection probes that are due. */
void bd_forward_probe_runners (struct bd_forwarder *forwarder);

/** Handles the response of a runner. */
extern const struct bd_call_handler bd_forward_call_handler;

#endif
