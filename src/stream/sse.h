/**
 * @file sse.h
 * Splits a byte stream into whole server-sent events.
 */
#ifndef BD_SSE_H
#define BD_SSE_H

#include "common/string.h"

/** Largest event taken in, in bytes. */
#define BD_SSE_EVENT_MAX_BYTES ((size_t)256 * 1024)

struct bd_sse
{
  struct bd_buffer pending; /**< Bytes after the last whole event. */
  size_t scanned;           /**< Private: bytes known to hold no end. */
};

void bd_sse_clear (struct bd_sse *sse);

/** Adds bytes.  Returns BD_OK, BD_ERR_TOO_LARGE or BD_ERR_NOMEM. */
int bd_sse_feed (struct bd_sse *sse, struct bd_chunk data);

/**
 * Moves the next whole event, with its closing blank line, to EVENT (which
 * is emptied first).  Returns false when none is whole.
 */
bool bd_sse_next (struct bd_sse *sse, struct bd_buffer *event);

/** The event's identifier; data NULL when it has none. */
struct bd_chunk bd_sse_id (struct bd_chunk event);

/** The event's first data line without "data:"; empty when it has none. */
struct bd_chunk bd_sse_data (struct bd_chunk event);

#endif
