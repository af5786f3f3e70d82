/**
 * @file head.h
 * The head of an HTTP/1.1 message: start line and fields.
 */
#ifndef BD_HTTP_HEAD_H
#define BD_HTTP_HEAD_H

#include "common/string.h"

/** Most header fields of a message. */
#define BD_HTTP_FIELDS_MAX 100
/** The kind of a message. */
enum bd_http_side
{
  BD_HTTP_REQUESTS = 0,
  BD_HTTP_RESPONSES
};

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

/**
 * Returns how long the sender of HEAD keeps its connection open when idle, in
 * milliseconds, by the Keep-Alive field: DEFAULT_MS if that does not tell, and
 * at most MAX_MS.
 */
int64_t bd_head_keep_alive_ms (const struct bd_head *head, int64_t default_ms,
                               int64_t max_ms);

/**
 * Checks what the parser lets pass: characters, fields that contradict each
 * other, and statuses that are none.  Returns BD_OK or BD_ERR_INVALID.
 */
int bd_head_check (const struct bd_head *head, enum bd_http_side side);

#endif
