/**
 * @file basildock.h
 * Public types of the basildock core: error kinds, byte views, identifiers.
 */
#ifndef BASILDOCK_H
#define BASILDOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Error kinds.  Functions return BD_OK on success or one of the others.
    bd_error_answer () has the text for each of them. */
enum bd_error
{
  BD_OK = 0,
  BD_ERR_NOMEM = -1,
  BD_ERR_INVALID = -2,
  BD_ERR_UNAUTHORIZED = -3,
  BD_ERR_FORBIDDEN = -4,
  BD_ERR_NOT_FOUND = -5,
  BD_ERR_TOO_LARGE = -6,
  BD_ERR_KEY_REQUIRED = -7,
  BD_ERR_KEY_INVALID = -8,
  BD_ERR_KEY_EXPIRED = -9,
  BD_ERR_KEY_ENDED = -10,
  BD_ERR_KEY_MISMATCH = -11,
  BD_ERR_ALREADY_RAN = -12,
  BD_ERR_OUTCOME_UNKNOWN = -13,
  BD_ERR_RATE_LIMITED = -14,
  BD_ERR_CONCURRENCY = -15,
  BD_ERR_OVERLOADED = -16,
  BD_ERR_NO_RUNNER = -17,
  BD_ERR_DEADLINE = -18,
  BD_ERR_QUARANTINED = -19,
  BD_ERR_LEAVING = -20,
  BD_ERR_ENGINE = -21,
  BD_ERR_INCOMPLETE = -22, /**< An answer or message is incomplete. */
  BD_ERR_CANCELLED = -23,
  BD_ERR_STALE = -24,
  BD_ERR_FULL = -25,
  BD_ERR_TIMEOUT = -26,
  BD_ERR_IO = -27,
  BD_ERR_PROTOCOL = -28,
  BD_ERR_SETTING = -29,
  BD_ERR_CONTRACT = -30,
  BD_ERR_NOT_READY = -31,
  BD_ERR_INTERNAL = -32,
  BD_ERR_HEAD_TOO_LARGE = -33,
  BD_ERR_SLOW_CALLER = -34,
  BD_ERR_SUSPENDED = -35,
  BD_ERR_ORIGIN_UNKNOWN = -36, /**< Which software version began a stream is
                                  not known, so it cannot be continued. */
  BD_ERR_LIMIT = -37           /**< No kind: one below the lowest. */
};

/** Whether a request was executed at a runner. */
enum bd_ran
{
  BD_RAN_NO = 0,
  BD_RAN_UNKNOWN = 1, /**< The request may or may not have run. */
  BD_RAN_YES = 2
};

/** The HTTP answer to a caller for an error kind. */
struct bd_answer
{
  int status;        /**< HTTP status. */
  const char *code;  /**< Machine-readable code, e.g. "rate_limited". */
  const char *text;  /**< One sentence for people. */
  enum bd_ran ran;   /**< Used unless an attempt's outcome is known. */
  int retry_after_s; /**< Default Retry-After; 0: none is sent. */
};

/** Returns the answer for ERROR; unknown values give BD_ERR_INTERNAL's. */
const struct bd_answer *bd_error_answer (int error);

/** Returns "no", "unknown" or "yes". */
const char *bd_ran_name (enum bd_ran ran);

/** A view of bytes, which it does not own. */
struct bd_chunk
{
  const char *data;
  size_t length;
};

/** A 128-bit request identifier. */
struct bd_id
{
  uint64_t high;
  uint64_t low;
};

#endif
