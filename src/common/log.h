/**
 * @file log.h
 * Syslog-style log lines: an event, then key=value pairs.  Before
 * bd_log_start_thread () or bd_log_start_queue () they are written to standard
 * error.  The most recent lines are also held in memory, for the admin server.
 */
#ifndef BD_LOG_H
#define BD_LOG_H

#include "common/event.h"
#include "common/string.h"

#include <stdbool.h>

/** Longest line, in bytes with the newline; longer ones are truncated. */
#define BD_LOG_LINE_MAX_BYTES 2048
/** Longest line held in memory, in bytes; longer ones are truncated. */
#define BD_LOG_RECENT_LINE_BYTES 512
/** Number of recent lines held in memory. */
#define BD_LOG_RECENT_LINES 4096

/** Sets the instance name in each line and the least severe level logged. */
void bd_log_init (const char *instance, enum bd_severity threshold);

/** Capacity of the queue of lines to be written, in bytes. */
#define BD_LOG_QUEUE_BYTES ((size_t)128 * 1024)

/**
 * Queues lines in memory until bd_log_flush () writes them to FD; with FD
 * below 0 they are written to standard error again.  Lines of severity info
 * and below are dropped and counted beyond LINES_PER_S (0: unlimited), and
 * while the queue is three quarters full.  In this mode lines are not held for
 * the admin server.
 */
void bd_log_start_queue (int fd, uint32_t lines_per_s);

/**
 * Writes as much of the queue as FD accepts without blocking.  Logs the number
 * of dropped lines as an event, at most once a second.
 */
void bd_log_flush (void);

/**
 * Starts logging to FD from several threads, with the limits of
 * bd_log_start_queue ().  A line is written at once when the queue is empty
 * and FD accepts it, else it is queued for a writer thread.  Returns BD_OK or
 * BD_ERR_NOMEM.
 */
int bd_log_start_thread (int fd, uint32_t lines_per_s);

/** Ends the writer thread, after it wrote what FD accepts of the queue. */
void bd_log_stop_thread (void);

/**
 * Logs one line: timestamp, instance, program and process id, the event's
 * number, name and text, then the key=value text of FORMAT.  Values with
 * spaces must be quoted by bd_log_quote ().  Thread-safe.
 */
void bd_log (enum bd_event event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * Logs a line about a request.  DETAIL is empty, key=value text, or one word,
 * which is logged as detail=WORD.
 */
void bd_log_request (enum bd_event event, struct bd_id request,
                     uint32_t attempt, const char *detail);

/** Logs a line about a document; REASON is quoted, or left out if empty. */
void bd_log_document (enum bd_event event, struct bd_chunk name,
                      const char *reason);

/** Returns true when the event's severity is logged. */
bool bd_log_enabled (enum bd_event event);

/**
 * Writes VALUE in double quotes to TEXT, of SIZE bytes (at least 3).  Quotes
 * and backslashes are escaped, control bytes become "\\xNN", and a value that
 * doesn't fit is truncated.  Returns TEXT.
 */
const char *bd_log_quote (struct bd_chunk value, char *text, size_t size);

/**
 * Calls VISIT for each recent line, oldest first; LINE has no newline and is
 * valid during the call only.  Thread-safe.
 */
void bd_log_visit (void (*visit) (void *context, struct bd_chunk line),
                   void *context);

#endif
