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

struct bd_stream;

struct bd_stream *bd_stream_create (void);
void bd_stream_destroy (struct bd_stream *stream);

/** Starts to accept ATTEMPT only; held chunks of others are dropped. */
void bd_stream_attempt (struct bd_stream *stream, uint32_t attempt);

/**
 * Takes a chunk in.  Each chunk that is now in order is passed to DELIVER.
 * Returns BD_OK (also for a duplicate), BD_ERR_STALE for another attempt,
 * BD_ERR_FULL beyond the window, or BD_ERR_PROTOCOL after the end.
 */
int bd_stream_chunk (struct bd_stream *stream, uint32_t attempt,
                     uint64_t sequence, struct bd_chunk data,
                     void (*deliver) (void *context, struct bd_chunk data),
                     void *context);

/** Takes in the end: COUNT chunks make the answer whole. */
int bd_stream_end (struct bd_stream *stream, uint32_t attempt, uint64_t count);

/** True when the end is known and every chunk before it was delivered. */
bool bd_stream_whole (const struct bd_stream *stream);

/** Chunks delivered in order in the current attempt. */
uint64_t bd_stream_delivered (const struct bd_stream *stream);

#endif
