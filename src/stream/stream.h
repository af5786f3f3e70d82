/**
 * @file stream.h
 * Puts the chunks of an answer back in order.  Chunks may come late, twice,
 * out of order or from an attempt that was given up.
 */
#ifndef BD_STREAM_H
#define BD_STREAM_H

#include "basildock.h"

/** Chunks held back while an earlier one is missing. */
#define BD_STREAM_WINDOW_CHUNKS 64

/** Bytes held back while an earlier chunk is missing. */
#define BD_STREAM_WINDOW_BYTES ((size_t)1 << 20)

struct bd_stream;

struct bd_stream *bd_stream_create (void);
void bd_stream_destroy (struct bd_stream *stream);

/**
 * Starts to accept ATTEMPT only (at first it is 0); held chunks of others are
 * dropped.  The attempt begins the answer anew: after anything was delivered
 * the answer can no longer become whole.
 */
void bd_stream_restart (struct bd_stream *stream, uint32_t attempt);

/** Keeps delivered bytes, up to MAX_BYTES, for a resume; at first 0. */
void bd_stream_set_retention (struct bd_stream *stream, size_t max_bytes);

/**
 * Gives the bytes that were delivered so far, in all attempts.  Returns
 * BD_OK, or BD_ERR_TOO_LARGE when TEXT is only their beginning.
 */
int bd_stream_retained (const struct bd_stream *stream, struct bd_chunk *text);

/**
 * As bd_stream_restart (), for an attempt that goes on with the answer at
 * byte OFFSET.  What it repeats of the delivered bytes is compared with them
 * and not delivered again.  Errors: BD_ERR_INVALID for an offset beyond
 * what was delivered, BD_ERR_TOO_LARGE when the repeated bytes were not
 * kept, BD_ERR_BROKEN when the answer cannot become whole.
 */
int bd_stream_resume (struct bd_stream *stream, uint32_t attempt,
                      uint64_t offset);

/**
 * Takes a chunk in.  Each chunk that is now in order is passed to DELIVER.
 * Returns BD_OK (also for a duplicate), BD_ERR_STALE for another attempt,
 * BD_ERR_FULL beyond the window (the chunk is not taken in), BD_ERR_NOMEM,
 * BD_ERR_PROTOCOL after the end, or BD_ERR_BROKEN when a resumed attempt
 * differs from what was delivered and ever after.
 */
int bd_stream_chunk (struct bd_stream *stream, uint32_t attempt,
                     uint64_t sequence, struct bd_chunk data,
                     void (*deliver) (void *context, struct bd_chunk data),
                     void *context);

/**
 * Takes in the end: COUNT chunks make the answer whole.  Returns BD_OK,
 * BD_ERR_STALE for another attempt, BD_ERR_PROTOCOL when it contradicts an
 * earlier end or chunk, or BD_ERR_BROKEN after that.
 */
int bd_stream_end (struct bd_stream *stream, uint32_t attempt, uint64_t count);

/** True when the end is known and every chunk before it was delivered. */
bool bd_stream_whole (const struct bd_stream *stream);

/** Chunks delivered in order in the current attempt. */
uint64_t bd_stream_delivered (const struct bd_stream *stream);

#endif
