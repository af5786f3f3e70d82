/**
 * @file message.h
 * An incremental reader of HTTP/1.1 messages, built on http_parser.
 *
 * A head (start line and fields) is buffered until it is complete, checked
 * strictly and passed to the handler once; the body is passed on as it
 * arrives.  The reader stops after each message: data that follows is buffered
 * until bd_http_reader_next ().
 */
#ifndef BD_HTTP_MESSAGE_H
#define BD_HTTP_MESSAGE_H

#include "http/head.h"

/** Most bytes that are buffered after the end of a message. */
#define BD_HTTP_READ_AHEAD_MAX_BYTES ((size_t)64 * 1024)

/** Callbacks of a reader.  An error that one returns stops the reader. */
struct bd_http_handler
{
  int (*on_head) (void *context, const struct bd_head *head);
  int (*on_body) (void *context, struct bd_chunk data);
  int (*on_end) (void *context);
};

struct bd_http_reader;

/**
 * Returns a new reader, or NULL without memory.  It rejects a head of more
 * than HEAD_MAX_BYTES, and more than as many bytes of empty lines and heads of
 * 1xx responses before one.
 */
struct bd_http_reader *
bd_http_reader_create (enum bd_http_side side, size_t head_max_bytes,
                       const struct bd_http_handler *handler, void *context);
void bd_http_reader_destroy (struct bd_http_reader *reader);

/** Changes the size limit of heads, also of one that is incomplete. */
void bd_http_reader_set_head_max (struct bd_http_reader *reader,
                                  size_t head_max_bytes);

/** Reads the next response without a body, whatever its head declares, as for
    the response to HEAD. */
void bd_http_reader_no_body (struct bd_http_reader *reader);

/**
 * Parses DATA.  Returns BD_OK, BD_ERR_INVALID (malformed message),
 * BD_ERR_TOO_LARGE (head, or data after the message), BD_ERR_NOMEM, or an
 * error of the handler.  After an error the reader can only be destroyed.
 */
int bd_http_reader_feed (struct bd_http_reader *reader, struct bd_chunk data);

/**
 * Handles a clean end of the connection, which also ends a response body of
 * undeclared length.  Returns BD_OK, BD_ERR_INCOMPLETE when a message is
 * incomplete, or an error of the handler.
 */
int bd_http_reader_finish (struct bd_http_reader *reader);

/** Starts to read the next message, first from the data that is buffered.
    Returns the same as bd_http_reader_feed (). */
int bd_http_reader_next (struct bd_http_reader *reader);

/** Returns the capacity of the buffer for heads, and of that for data after
   the message. */
size_t bd_http_reader_head_capacity (const struct bd_http_reader *reader);
size_t bd_http_reader_ahead_capacity (const struct bd_http_reader *reader);

/** Returns true between messages, before the first byte of the next one. */
bool bd_http_reader_idle (const struct bd_http_reader *reader);

#endif
