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

#include "common/string.h"

/** Most header fields of a message. */
#define BD_HTTP_FIELDS_MAX 100
/** Most bytes that are buffered after the end of a message. */
#define BD_HTTP_READ_AHEAD_MAX_BYTES ((size_t)64 * 1024)

struct bd_field
{
  struct bd_chunk name;
  struct bd_chunk value;
};

/** A message's head.  Its chunks are valid until bd_http_reader_next (). */
struct bd_head
{
  struct bd_chunk method; /**< Requests only. */
  struct bd_chunk target; /**< Requests only, in origin form. */
  int status;             /**< Responses only. */
  size_t field_count;
  struct bd_field fields[BD_HTTP_FIELDS_MAX];
  int64_t body_length; /**< From Content-Length; -1: not declared. */
  bool chunked;
  bool keep_alive; /**< The connection stays open for another message. */
};

/** Returns the field's first value, or an empty chunk with NULL data. */
struct bd_chunk bd_head_value (const struct bd_head *head,
                               struct bd_chunk name);

/** Returns the number of fields named NAME. */
size_t bd_head_count (const struct bd_head *head, struct bd_chunk name);

/** Compares field names, ignoring case. */
bool bd_field_named (struct bd_chunk a, struct bd_chunk b);

/**
 * Returns true for hop-by-hop fields, which apply to one connection only and
 * aren't forwarded, among them those that the Connection field lists.
 */
bool bd_head_hop_by_hop (const struct bd_head *head, struct bd_chunk name);

/** Parses a decimal number without sign.  Returns BD_OK or BD_ERR_INVALID. */
int bd_number_parse (struct bd_chunk text, int64_t *number);

/**
 * Parses the field NAME as a decimal number without sign, with an optional
 * fraction.  Returns BD_OK and the number in thousandths, at most 1e12,
 * BD_ERR_NOT_FOUND without the field, or BD_ERR_INVALID.
 */
int bd_head_decimal (const struct bd_head *head, struct bd_chunk name,
                     int64_t *thousandths);

/**
 * Parses the Retry-After field of a response as a number of seconds, with an
 * optional fraction.  Returns BD_OK and the time in milliseconds,
 * BD_ERR_NOT_FOUND without the field, or BD_ERR_INVALID for a date or any
 * other value.
 */
int bd_head_retry_after_ms (const struct bd_head *head, int64_t *ms);

/** The kind of messages that a reader reads. */
enum bd_http_side
{
  BD_HTTP_REQUESTS = 0,
  BD_HTTP_RESPONSES
};

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
