/**
 * @file reply.h
 * Writes what a call is given to its caller.
 */
#ifndef BD_REPLY_H
#define BD_REPLY_H

#include "common/metrics.h"
#include "entry/call.h"
#include "entry/callers.h"

/**
 * Appends header lines and body of a JSON error; RETRY_AFTER_MS 0 gives the
 * kind's default, NEXT_KEY may be NULL.
 */
void bd_reply_write_error (const char *request_id, int error, enum bd_ran ran,
                           int64_t retry_after_ms, const char *next_key,
                           struct bd_buffer *fields, struct bd_buffer *body);

/** Sends a JSON error; RETRY_AFTER_MS 0 gives the kind's default. */
void bd_reply_error (struct bd_caller_request *request, const char *request_id,
                     int error, enum bd_ran ran, int64_t retry_after_ms,
                     const char *next_key);

/** Sends a JSON text with status 200. */
void bd_reply_json (struct bd_caller_request *request, const char *request_id,
                    struct bd_chunk json);

/**
 * Writes the deliveries of CALL until its end.  Returns the last step to be
 * posted.
 */
enum bd_http_call_step bd_reply_serve (struct bd_caller_request *request,
                                       struct bd_http_call *call,
                                       struct bd_metrics *metrics);

#endif
