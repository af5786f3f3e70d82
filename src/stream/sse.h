/**
 * @file sse.h
 * Splits a byte stream into complete server-sent events.
 */
#ifndef BD_SSE_H
#define BD_SSE_H

#include "common/string.h"

/** Maximum size of an event in bytes. */
#define BD_SSE_EVENT_MAX_BYTES ((size_t)256 * 1024)

struct bd_sse
{
  struct bd_buffer pending; /**< Bytes after the last complete event. */
  size_t scanned;           /**< Private: no event ends before this offset. */
};

void bd_sse_clear (struct bd_sse *sse);

/** Appends received bytes.  Returns BD_OK, BD_ERR_TOO_LARGE or BD_ERR_NOMEM.
 */
int bd_sse_feed (struct bd_sse *sse, struct bd_chunk data);

/**
 * Moves the next complete event, including the blank line at its end, to
 * EVENT, which is emptied first.  Returns false when no event is complete.
 */
bool bd_sse_next (struct bd_sse *sse, struct bd_buffer *event);

/** Returns the value of the field id; data is NULL when there is none. */
struct bd_chunk bd_sse_id (struct bd_chunk event);

/** Returns the value of the first field data; empty when there is none. */
struct bd_chunk bd_sse_data (struct bd_chunk event);

#endif
