/**
 * @file sse.h
 * Splits a byte stream into complete server-sent events, in time linear in the
 * number of bytes.
 */
#ifndef BD_SSE_H
#define BD_SSE_H

#include "common/string.h"

/** Maximum size of an event in bytes, with the empty lines before it. */
#define BD_SSE_EVENT_MAX_BYTES ((size_t)256 * 1024)

/** All members are private. */
struct bd_sse
{
  struct bd_buffer pending;
  size_t taken;      /* Bytes of events that have been returned. */
  size_t line_start; /* Offset of the line that is being read. */
  size_t scanned;    /* That line does not end before this offset. */
  bool has_line;     /* The event has a line that is not empty. */
};

void bd_sse_clear (struct bd_sse *sse);

/** Appends received bytes.  Returns BD_OK, BD_ERR_TOO_LARGE or BD_ERR_NOMEM.
 */
int bd_sse_feed (struct bd_sse *sse, struct bd_chunk data);

/**
 * Returns the next complete event, with the empty lines before it and the one
 * at its end; empty if there is none.  It is valid until more bytes are fed.
 */
struct bd_chunk bd_sse_next (struct bd_sse *sse);

/** Returns the bytes after the last event that bd_sse_next () returned. */
struct bd_chunk bd_sse_rest (const struct bd_sse *sse);

/** Returns whether the rest is empty lines only: no event has begun. */
bool bd_sse_is_between_events (const struct bd_sse *sse);

/** Returns whether EVENT has a field, not only comments. */
bool bd_sse_has_field (struct bd_chunk event);

/** Returns the value of the field id; data is NULL when there is none. */
struct bd_chunk bd_sse_id (struct bd_chunk event);

/** Returns the value of the first field data; empty when there is none. */
struct bd_chunk bd_sse_data (struct bd_chunk event);

#endif
