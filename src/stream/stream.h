/**
 * @file stream.h
 * Reassembles the chunks of an answer.  Chunks may arrive late, twice, out of
 * order or from an attempt that was given up.
 */
#ifndef BD_STREAM_H
#define BD_STREAM_H

#include "basildock.h"

/** Reorder window: chunks buffered while an earlier one is missing. */
#define BD_STREAM_WINDOW_CHUNKS 64

/** Maximum bytes buffered while an earlier chunk is missing. */
#define BD_STREAM_WINDOW_BYTES ((size_t)1 << 20)

struct bd_stream;

struct bd_stream *bd_stream_create (void);
void bd_stream_destroy (struct bd_stream *stream);

/**
 * Accepts only chunks of ATTEMPT from now on (initially 0) and drops buffered
 * chunks of other attempts.  The attempt sends the answer from the start; if
 * bytes were delivered before, the answer can no longer become complete.
 */
void bd_stream_restart (struct bd_stream *stream, uint32_t attempt);

/** Sets how many delivered bytes are retained for a resume; initially 0. */
void bd_stream_set_retention (struct bd_stream *stream, size_t max_bytes);

/**
 * Sets TEXT to the bytes delivered so far in all attempts.  Returns BD_OK, or
 * BD_ERR_TOO_LARGE when TEXT holds only the first of them.
 */
int bd_stream_retained (const struct bd_stream *stream, struct bd_chunk *text);

/**
 * Like bd_stream_restart (), for an attempt that continues the answer at byte
 * OFFSET.  Bytes that it repeats are compared with the retained ones and not
 * delivered again.  Returns BD_OK, BD_ERR_INVALID when OFFSET is beyond the
 * delivered bytes, BD_ERR_TOO_LARGE when the repeated bytes were not retained,
 * or BD_ERR_INCOMPLETE when the answer cannot become complete.
 */
int bd_stream_resume (struct bd_stream *stream, uint32_t attempt,
                      uint64_t offset);

/**
 * Handles a chunk and passes all chunks that are now in order to DELIVER.
 * Returns BD_OK (also for a duplicate), BD_ERR_STALE for another attempt,
 * BD_ERR_FULL when the chunk is beyond the reorder window (it is dropped),
 * BD_ERR_NOMEM, BD_ERR_PROTOCOL for a chunk after the end, or
 * BD_ERR_INCOMPLETE when a resumed attempt differs from the delivered bytes.
 * After either of the last two, all further chunks of the attempt return
 * BD_ERR_INCOMPLETE.
 */
int bd_stream_chunk (struct bd_stream *stream, uint32_t attempt,
                     uint64_t sequence, struct bd_chunk data,
                     void (*deliver) (void *context, struct bd_chunk data),
                     void *context);

/**
 * Handles the end of an attempt, which consists of COUNT chunks.  Returns
 * BD_OK, BD_ERR_STALE for another attempt, BD_ERR_PROTOCOL when COUNT
 * contradicts an earlier end or chunk, or BD_ERR_INCOMPLETE after that.
 */
int bd_stream_end (struct bd_stream *stream, uint32_t attempt, uint64_t count);

/** True when the end has arrived and all chunks before it were delivered. */
bool bd_stream_is_complete (const struct bd_stream *stream);

/** Chunks delivered in order in the current attempt. */
uint64_t bd_stream_delivered (const struct bd_stream *stream);

#endif
