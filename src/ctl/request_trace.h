/**
 * @file request_trace.h
 * Request trace: the log lines of several daemons that concern one request, in
 * order of time, and an explanation of how the request ended.
 *
 * A trace has the lines that name the request, and the lines about its runners
 * and daemons from about the same time, which show what the daemons knew.
 */
#ifndef BD_REQUEST_TRACE_H
#define BD_REQUEST_TRACE_H

#include "common/event.h"
#include "common/string.h"

#include <stdbool.h>
#include <stdio.h>

/** Lines about a request's runners and daemons belong to the trace from this
    long before the request's first line until this long after its last one, in
    milliseconds. */
#define BD_REQUEST_TRACE_MARGIN_MS 5000
/** Longest line read, in bytes; longer ones are skipped. */
#define BD_REQUEST_TRACE_LINE_MAX_BYTES 4096
/** Most lines that a trace holds; later ones are dropped. */
#define BD_REQUEST_TRACE_LINES_MAX 1000000

struct bd_request_trace;

/** A parsed log line.  All chunks point into TEXT. */
struct bd_request_trace_line
{
  struct bd_chunk text; /**< The line from its timestamp on. */
  struct bd_chunk timestamp;
  struct bd_chunk instance;
  struct bd_chunk event_name; /**< For instance REQUEST_DONE. */
  struct bd_chunk fields;     /**< From the first key=value on. */
  int event_number;           /**< 2001 for BD2001. */
  int64_t logged_ms;          /**< Unix time of the timestamp. */
  size_t arrival_index;       /**< Position in the order of arrival. */
};

/**
 * Parses TEXT, a log line without its newline.  Text before the timestamp, for
 * instance a file name, is skipped.  Returns BD_OK or BD_ERR_INVALID.
 */
int bd_request_trace_parse (struct bd_chunk text,
                            struct bd_request_trace_line *line);

/** Returns the value of KEY without its quotes, or an empty chunk. */
struct bd_chunk
bd_request_trace_field (const struct bd_request_trace_line *line,
                        const char *key);

/**
 * Creates an empty trace of the request whose identifier in log lines is
 * REQUEST.  Returns NULL if memory runs out.
 */
struct bd_request_trace *bd_request_trace_create (struct bd_chunk request);
void bd_request_trace_destroy (struct bd_request_trace *trace);

/**
 * Adds one line, without its newline; malformed lines and lines of other
 * requests are ignored.  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_request_trace_add (struct bd_request_trace *trace,
                          struct bd_chunk text);

/** Adds all lines of FILE.  Returns BD_OK, BD_ERR_IO or BD_ERR_NOMEM. */
int bd_request_trace_read (struct bd_request_trace *trace, FILE *file);

/**
 * Sorts the lines by time and removes those that do not concern the request,
 * its runners or its daemons.  Returns the number of lines that name the
 * request.
 */
size_t bd_request_trace_finish (struct bd_request_trace *trace);

/** Returns the lines of a finished trace; *COUNT is their number. */
const struct bd_request_trace_line *
bd_request_trace_lines (const struct bd_request_trace *trace, size_t *count);

/** Whether LINE names the request. */
bool bd_request_trace_is_own (const struct bd_request_trace *trace,
                              const struct bd_request_trace_line *line);

/** Whether LINE was logged by a daemon that also logged about the request. */
bool bd_request_trace_is_involved (const struct bd_request_trace *trace,
                                   const struct bd_request_trace_line *line);

/**
 * Appends how the request of a finished trace ended, the logged values that
 * decided it, and the steps before it.  Returns BD_OK, BD_ERR_NOMEM, or
 * BD_ERR_NOT_FOUND if no line names the request.
 */
int bd_request_trace_explain (const struct bd_request_trace *trace,
                              struct bd_buffer *out);

#endif
