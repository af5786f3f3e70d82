/**
 * @file reply.h
 * Writes the answers of calls, and errors, to callers.
 */
#ifndef BD_REPLY_H
#define BD_REPLY_H

#include "common/metrics.h"
#include "entry/call.h"
#include "entry/worker_pool.h"

/**
 * Appends the header lines and the body of a JSON error.  RETRY_AFTER_MS is
 * raised to the default of ERROR; if that has none, no Retry-After is written.
 * NEXT_KEY, an issued idempotency key to retry with, may be NULL.
 */
void bd_reply_write_error (const char *request_id, int error, enum bd_ran ran,
                           int64_t retry_after_ms, const char *next_key,
                           struct bd_buffer *fields, struct bd_buffer *body);

/** Sends a JSON error, with the arguments of bd_reply_write_error (). */
void bd_reply_error (struct bd_caller_request *request, const char *request_id,
                     int error, enum bd_ran ran, int64_t retry_after_ms,
                     const char *next_key);

/** Sends JSON with status 200. */
void bd_reply_json (struct bd_caller_request *request, const char *request_id,
                    struct bd_chunk json);

/**
 * Writes the deliveries of CALL to the caller until the answer ends or the
 * caller disconnects.  Returns the final step to post.
 */
enum bd_http_call_step bd_reply_serve (struct bd_caller_request *request,
                                       struct bd_http_call *call,
                                       struct bd_metrics *metrics);

#endif
