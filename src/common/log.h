/**
 * @file log.h
 * Syslog-style lines: one event, then key=value pairs.  Before
 * bd_log_start () or bd_log_queue () they go to standard error.  The last
 * lines are also kept in memory, for the admin port.
 */
#ifndef BD_LOG_H
#define BD_LOG_H

#include "common/event.h"
#include "common/string.h"

#include <stdbool.h>

/** Longest line written, in bytes with the newline; longer ones are cut. */
#define BD_LOG_LINE_MAX_BYTES 2048
/** Longest line kept in memory, in bytes. */
#define BD_LOG_RECENT_LINE_BYTES 512
/** Number of lines kept in memory. */
#define BD_LOG_RECENT_LINES 4096

/** Sets the name that stands in each line and the least severity shown. */
void bd_log_open (const char *instance, enum bd_severity threshold);

/** Bytes of lines that wait to be written. */
#define BD_LOG_QUEUE_BYTES ((size_t)128 * 1024)

/**
 * From now on lines wait in memory for bd_log_flush (), which writes them to
 * FD; below 0: to standard error again.  Ordinary lines (severity info and
 * below) beyond LINES_PER_S (0: any number), and those that find the queue
 * three quarters full, are dropped and counted.  Lines are not kept for the
 * admin port.
 */
void bd_log_queue (int fd, uint32_t lines_per_s);

/**
 * Writes what FD takes without blocking.  Reports dropped lines, once a
 * second, as an event of its own.
 */
void bd_log_flush (void);

/**
 * The same bounds, for a program of several threads: a line goes to FD at once
 * where FD takes it and none waits, else it waits for a thread of the log.
 * Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_log_start (int fd, uint32_t lines_per_s);

/** Ends the thread, after it has written what FD still takes. */
void bd_log_stop (void);

/**
 * Writes one line: timestamp, host part, program, event number and name,
 * then FORMAT's key=value text.  Values with spaces must be quoted by "%s"
 * of bd_log_quote ().  Any thread; a line is written by one call.
 */
void bd_log (enum bd_event event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * Writes a line about a request.  DETAIL is empty, one word, or key=value
 * text.
 */
void bd_log_request (enum bd_event event, struct bd_id request,
                     uint32_t attempt, const char *detail);

/** Writes a line about a document; REASON, if not empty, is quoted. */
void bd_log_document (enum bd_event event, struct bd_chunk name,
                      const char *reason);

/** True when the event's severity would be shown. */
bool bd_log_enabled (enum bd_event event);

/**
 * Writes VALUE in double quotes to TEXT, of SIZE bytes (at least 3): quotes
 * and backslashes are escaped, control bytes become "\\xNN", and what does
 * not fit is cut.  Returns TEXT.
 */
const char *bd_log_quote (struct bd_chunk value, char *text, size_t size);

/**
 * Calls VISIT for each kept line, oldest first; LINE has no newline and is
 * valid during the call only.  Any thread.
 */
void bd_log_visit (void (*visit) (void *context, struct bd_chunk line),
                   void *context);

#endif
