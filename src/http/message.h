/**
 * @file message.h
 * An incremental reader of HTTP/1.1 messages over http_parser.
 *
 * A head is taken in whole, checked strictly and shown once; the body is
 * passed on as it arrives.  The reader stops after each message: what follows
 * is kept until bd_http_reader_next ().
 */
#ifndef BD_HTTP_MESSAGE_H
#define BD_HTTP_MESSAGE_H

#include "common/string.h"

/** Most header fields of a message. */
#define BD_HTTP_FIELDS_MAX 100
/** Most bytes after the end of a message that are kept. */
#define BD_HTTP_READ_AHEAD_MAX_BYTES ((size_t)64 * 1024)

struct bd_field
{
  struct bd_chunk name;
  struct bd_chunk value;
};

/** A message's head.  Its chunks live until the next message begins. */
struct bd_head
{
  struct bd_chunk method; /**< Requests only. */
  struct bd_chunk target; /**< Requests only, in origin form. */
  int status;             /**< Responses only. */
  size_t field_count;
  struct bd_field fields[BD_HTTP_FIELDS_MAX];
  int64_t body_length; /**< -1: not declared. */
  bool chunked;
  bool keep_alive; /**< The connection may carry another message. */
};

/** Returns the field's first value, or an empty chunk with NULL data. */
struct bd_chunk bd_head_value (const struct bd_head *head,
                               struct bd_chunk name);

/** How many fields have NAME. */
size_t bd_head_count (const struct bd_head *head, struct bd_chunk name);

/** Compares field names, which ignore case. */
bool bd_field_named (struct bd_chunk a, struct bd_chunk b);

/**
 * True for fields that concern one connection only, among them those that
 * the head's Connection field names.
 */
bool bd_head_hop_by_hop (const struct bd_head *head, struct bd_chunk name);

/** Reads a decimal number without sign.  Returns BD_OK or BD_ERR_INVALID. */
int bd_number_parse (struct bd_chunk text, int64_t *number);

/**
 * Reads the Retry-After of a response as a number of seconds, fractions
 * allowed.  Returns BD_OK and the time in milliseconds, BD_ERR_NOT_FOUND when
 * there is none, or BD_ERR_INVALID for a date and anything else.
 */
int bd_head_retry_after_ms (const struct bd_head *head, int64_t *ms);

enum bd_http_side
{
  BD_HTTP_REQUESTS = 0,
  BD_HTTP_RESPONSES
};

/** What the reader tells; an error that a function returns stops it. */
struct bd_http_handler
{
  int (*on_head) (void *context, const struct bd_head *head);
  int (*on_body) (void *context, struct bd_chunk data);
  int (*on_end) (void *context);
};

struct bd_http_reader;

/**
 * Heads of more than HEAD_MAX bytes are refused, and so are as many bytes of
 * empty lines and heads of 1xx before one.  Returns NULL: no memory.
 */
struct bd_http_reader *
bd_http_reader_create (enum bd_http_side side, size_t head_max_bytes,
                       const struct bd_http_handler *handler, void *context);
void bd_http_reader_destroy (struct bd_http_reader *reader);

/** Changes the bound on heads that are not yet complete. */
void bd_http_reader_set_head_max (struct bd_http_reader *reader,
                                  size_t head_max_bytes);

/** The response that comes next has no body, whatever its head says. */
void bd_http_reader_no_body (struct bd_http_reader *reader);

/**
 * Takes in bytes.  Returns BD_OK, BD_ERR_INVALID (not HTTP),
 * BD_ERR_TOO_LARGE (head, or bytes ahead), BD_ERR_NOMEM, or what the handler
 * returned; after an error the reader can only be destroyed.
 */
int bd_http_reader_feed (struct bd_http_reader *reader, struct bd_chunk data);

/**
 * The connection ended cleanly.  Ends a body that has no other end.  Returns
 * BD_OK, or BD_ERR_BROKEN when a message is incomplete.
 */
int bd_http_reader_finish (struct bd_http_reader *reader);

/** Goes on to the next message.  Returns as bd_http_reader_feed (). */
int bd_http_reader_next (struct bd_http_reader *reader);

/** True between messages, when no byte of the next one has come. */
bool bd_http_reader_idle (const struct bd_http_reader *reader);

/** True while a head is incomplete. */
bool bd_http_reader_in_head (const struct bd_http_reader *reader);

#endif
