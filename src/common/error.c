#include "basildock.h"

/* The answers, indexed by the negated error kind. */
static const struct bd_answer answers[] = {
  [-BD_OK] = { 200, "ok", "Done.", BD_RAN_YES, 0 },
  [-BD_ERR_NOMEM]
  = { 503, "out_of_memory", "No memory for the request.", BD_RAN_NO, 1 },
  [-BD_ERR_INVALID]
  = { 400, "invalid_request", "The request is malformed.", BD_RAN_NO, 0 },
  [-BD_ERR_UNAUTHORIZED]
  = { 401, "unauthorized", "The credential is missing or unknown.", BD_RAN_NO,
      0 },
  [-BD_ERR_FORBIDDEN]
  = { 403, "forbidden", "The contract does not allow this request.", BD_RAN_NO,
      0 },
  [-BD_ERR_NOT_FOUND]
  = { 404, "not_found", "No such model, service, class or path.", BD_RAN_NO,
      0 },
  [-BD_ERR_TOO_LARGE]
  = { 413, "too_large", "The request exceeds a size limit.", BD_RAN_NO, 0 },
  [-BD_ERR_KEY_REQUIRED]
  = { 428, "idempotency_key_required",
      "A request of this class needs an Idempotency-Key.", BD_RAN_NO, 0 },
  [-BD_ERR_KEY_INVALID]
  = { 400, "idempotency_key_invalid", "The Idempotency-Key is not valid here.",
      BD_RAN_NO, 0 },
  [-BD_ERR_KEY_EXPIRED]
  = { 410, "idempotency_key_expired", "The Idempotency-Key has expired.",
      BD_RAN_UNKNOWN, 0 },
  [-BD_ERR_KEY_ENDED]
  = { 409, "idempotency_key_ended",
      "The key was ended before the request ran.", BD_RAN_NO, 0 },
  [-BD_ERR_KEY_MISMATCH]
  = { 422, "idempotency_key_reused", "The key was used with another request.",
      BD_RAN_NO, 0 },
  [-BD_ERR_ALREADY_RAN]
  = { 409, "already_ran", "The request ran; its answer is no longer kept.",
      BD_RAN_YES, 0 },
  [-BD_ERR_OUTCOME_UNKNOWN]
  = { 502, "outcome_unknown",
      "The request may have run; it will not be run again.", BD_RAN_UNKNOWN,
      0 },
  [-BD_ERR_RATE_LIMITED]
  = { 429, "rate_limited", "The workspace is over its rate.", BD_RAN_NO, 1 },
  [-BD_ERR_CONCURRENCY]
  = { 429, "concurrency_limited",
      "The workspace has too many requests running.", BD_RAN_NO, 1 },
  [-BD_ERR_OVERLOADED]
  = { 503, "overloaded", "The queue is full of work that goes first.",
      BD_RAN_NO, 2 },
  [-BD_ERR_NO_RUNNER]
  = { 503, "no_runner", "No runner can take the request now.", BD_RAN_NO, 2 },
  [-BD_ERR_DEADLINE]
  = { 504, "deadline_exceeded", "The deadline of the class has passed.",
      BD_RAN_NO, 2 },
  [-BD_ERR_QUARANTINED]
  = { 422, "request_quarantined",
      "Runners crashed while they ran this request.", BD_RAN_NO, 0 },
  [-BD_ERR_LEAVING]
  = { 503, "leaving", "The instance is shutting down.", BD_RAN_NO, 1 },
  [-BD_ERR_ENGINE]
  = { 502, "engine_failed", "The runner failed while it ran the request.",
      BD_RAN_UNKNOWN, 0 },
  [-BD_ERR_INCOMPLETE]
  = { 502, "answer_incomplete", "The answer could not be completed.",
      BD_RAN_UNKNOWN, 0 },
  [-BD_ERR_CANCELLED]
  = { 499, "cancelled", "The caller went away.", BD_RAN_UNKNOWN, 0 },
  [-BD_ERR_STALE]
  = { 409, "stale", "A newer revision is in force.", BD_RAN_NO, 0 },
  [-BD_ERR_FULL] = { 503, "full", "A table is full.", BD_RAN_NO, 2 },
  [-BD_ERR_TIMEOUT]
  = { 504, "timeout", "A time limit passed.", BD_RAN_UNKNOWN, 0 },
  [-BD_ERR_IO] = { 502, "io", "Input or output failed.", BD_RAN_UNKNOWN, 0 },
  [-BD_ERR_PROTOCOL]
  = { 502, "protocol", "A peer broke the protocol.", BD_RAN_UNKNOWN, 0 },
  [-BD_ERR_SETTING]
  = { 500, "setting", "A setting is not valid.", BD_RAN_NO, 0 },
  [-BD_ERR_CONTRACT]
  = { 500, "contract", "The contract is not valid.", BD_RAN_NO, 0 },
  [-BD_ERR_NOT_READY]
  = { 503, "not_ready", "No configuration is known yet.", BD_RAN_NO, 1 },
  [-BD_ERR_HEAD_TOO_LARGE]
  = { 431, "head_too_large", "The request's head exceeds the size limit.",
      BD_RAN_NO, 0 },
  [-BD_ERR_SLOW_CALLER]
  = { 408, "slow_caller", "The request took too long to arrive.", BD_RAN_NO,
      0 },
  [-BD_ERR_SUSPENDED] = { 503, "request_suspended",
                          "Runners crashed while they ran this request; it "
                          "is not run for now.",
                          BD_RAN_NO, 10 },
  [-BD_ERR_ORIGIN_UNKNOWN]
  = { 503, "stream_origin_unknown",
      "It is not known which software version began the stream, so it cannot "
      "be continued; a new stream can begin.",
      BD_RAN_NO, 1 },
  [-BD_ERR_INTERNAL]
  = { 500, "internal", "An internal fault.", BD_RAN_UNKNOWN, 0 },
};

const struct bd_answer *
bd_error_answer (int error)
{
  if (error > 0 || error <= BD_ERR_LIMIT)
    error = BD_ERR_INTERNAL;
  return &answers[-error];
}

const char *
bd_ran_name (enum bd_ran ran)
{
  switch (ran)
    {
    case BD_RAN_NO:
      return "no";
    case BD_RAN_YES:
      return "yes";
    case BD_RAN_UNKNOWN:
      break;
    }
  return "unknown";
}
