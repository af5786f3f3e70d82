#include "stream/stream.h"

#include "common/string.h"

#include <stdlib.h>
#include <string.h>

struct buffered_chunk
{
  char *data;
  size_t length;
  bool present;
};

struct bd_stream
{
  uint32_t attempt;
  uint64_t next_sequence; /* Sequence number to deliver next. */
  uint64_t sequence_end;  /* One above the highest one accepted. */
  uint64_t end_count;     /* Number of chunks, valid when ENDED. */
  bool ended;
  bool broken; /* Contradictory chunks or ends: never complete. */
  size_t buffered_bytes;
  struct buffered_chunk buffered[BD_STREAM_WINDOW_CHUNKS];
  struct bd_buffer retained; /* First bytes delivered, in all attempts. */
  size_t retained_max_bytes;
  uint64_t delivered_bytes; /* In all attempts, also bytes not in RETAINED. */
  size_t overlap_offset;    /* Offset in RETAINED that the resumed
                               attempt repeats next. */
};

struct bd_stream *
bd_stream_create (void)
{
  return calloc (1, sizeof (struct bd_stream));
}

static void
buffered_drop (struct bd_stream *stream, struct buffered_chunk *chunk)
{
  stream->buffered_bytes -= chunk->length;
  free (chunk->data);
  memset (chunk, 0, sizeof *chunk);
}

static void
buffered_drop_all (struct bd_stream *stream)
{
  for (size_t i = 0; i < BD_STREAM_WINDOW_CHUNKS; i++)
    buffered_drop (stream, &stream->buffered[i]);
}

void
bd_stream_destroy (struct bd_stream *stream)
{
  if (!stream)
    return;
  buffered_drop_all (stream);
  bd_buffer_clear (&stream->retained);
  free (stream);
}

void
bd_stream_set_retention (struct bd_stream *stream, size_t max_bytes)
{
  stream->retained_max_bytes = max_bytes;
}

static bool
retained_complete (const struct bd_stream *stream)
{
  return stream->delivered_bytes == stream->retained.length;
}

int
bd_stream_retained (const struct bd_stream *stream, struct bd_chunk *text)
{
  *text = bd_buffer_chunk (&stream->retained);
  return retained_complete (stream) ? BD_OK : BD_ERR_TOO_LARGE;
}

static void
start_attempt (struct bd_stream *stream, uint32_t attempt)
{
  buffered_drop_all (stream);
  stream->attempt = attempt;
  stream->next_sequence = 0;
  stream->sequence_end = 0;
  stream->end_count = 0;
  stream->ended = false;
}

void
bd_stream_restart (struct bd_stream *stream, uint32_t attempt)
{
  start_attempt (stream, attempt);
  if (stream->delivered_bytes > 0)
    stream->broken = true;
  stream->overlap_offset = 0;
}

int
bd_stream_resume (struct bd_stream *stream, uint32_t attempt, uint64_t offset)
{
  if (stream->broken)
    return BD_ERR_INCOMPLETE;
  if (offset > stream->delivered_bytes)
    return BD_ERR_INVALID;
  if (offset < stream->delivered_bytes && !retained_complete (stream))
    return BD_ERR_TOO_LARGE;
  start_attempt (stream, attempt);
  stream->overlap_offset
      = retained_complete (stream) ? (size_t)offset : stream->retained.length;
  return BD_OK;
}

static void
retain (struct bd_stream *stream, struct bd_chunk data)
{
  bool complete = retained_complete (stream);

  stream->delivered_bytes += data.length;
  if (!complete)
    return;
  if (stream->retained.length + data.length <= stream->retained_max_bytes
      && bd_buffer_append (&stream->retained, data) == BD_OK)
    stream->overlap_offset = stream->retained.length;
}

/* Removes from DATA the bytes that were delivered before.  Returns false when
   they differ. */
static bool
skip_overlap (struct bd_stream *stream, struct bd_chunk *data)
{
  size_t left = stream->retained.length - stream->overlap_offset;
  size_t n = data->length < left ? data->length : left;

  if (n == 0)
    return true;
  if (memcmp (stream->retained.data + stream->overlap_offset, data->data, n)
      != 0)
    return false;
  stream->overlap_offset += n;
  data->data += n;
  data->length -= n;
  return true;
}

static int
stream_deliver (struct bd_stream *stream, struct bd_chunk data,
                void (*deliver) (void *context, struct bd_chunk data),
                void *context)
{
  stream->next_sequence++;
  if (!skip_overlap (stream, &data))
    {
      stream->broken = true;
      return BD_ERR_INCOMPLETE;
    }
  if (data.length == 0)
    return BD_OK;
  retain (stream, data);
  deliver (context, data);
  return BD_OK;
}

static int
buffer_chunk (struct bd_stream *stream, uint64_t sequence,
              struct bd_chunk data)
{
  struct buffered_chunk *chunk
      = &stream->buffered[sequence % BD_STREAM_WINDOW_CHUNKS];

  if (chunk->present)
    return BD_OK;
  if (data.length > BD_STREAM_WINDOW_BYTES - stream->buffered_bytes)
    return BD_ERR_FULL;
  chunk->data = bd_chunk_copy (data);
  if (!chunk->data)
    return BD_ERR_NOMEM;
  chunk->length = data.length;
  chunk->present = true;
  stream->buffered_bytes += data.length;
  return BD_OK;
}

static int
deliver_buffered (struct bd_stream *stream,
                  void (*deliver) (void *context, struct bd_chunk data),
                  void *context)
{
  for (;;)
    {
      struct buffered_chunk *chunk
          = &stream->buffered[stream->next_sequence % BD_STREAM_WINDOW_CHUNKS];
      struct bd_chunk data = { chunk->data, chunk->length };
      int rc;

      if (!chunk->present)
        return BD_OK;
      rc = stream_deliver (stream, data, deliver, context);
      buffered_drop (stream, chunk);
      if (rc != BD_OK)
        return rc;
    }
}

int
bd_stream_chunk (struct bd_stream *stream, uint32_t attempt, uint64_t sequence,
                 struct bd_chunk data,
                 void (*deliver) (void *context, struct bd_chunk data),
                 void *context)
{
  int rc;

  if (attempt != stream->attempt)
    return BD_ERR_STALE;
  if (stream->broken)
    return BD_ERR_INCOMPLETE;
  if (sequence < stream->next_sequence)
    return BD_OK;
  if (stream->ended && sequence >= stream->end_count)
    {
      stream->broken = true;
      return BD_ERR_PROTOCOL;
    }
  if (sequence - stream->next_sequence >= BD_STREAM_WINDOW_CHUNKS)
    return BD_ERR_FULL;
  if (sequence > stream->next_sequence)
    rc = buffer_chunk (stream, sequence, data);
  else
    rc = stream_deliver (stream, data, deliver, context);
  if (rc != BD_OK)
    return rc;
  if (sequence >= stream->sequence_end)
    stream->sequence_end = sequence + 1;
  return deliver_buffered (stream, deliver, context);
}

int
bd_stream_end (struct bd_stream *stream, uint32_t attempt, uint64_t count)
{
  if (attempt != stream->attempt)
    return BD_ERR_STALE;
  if (stream->broken)
    return BD_ERR_INCOMPLETE;
  if (count < stream->sequence_end
      || (stream->ended && count != stream->end_count))
    {
      stream->broken = true;
      return BD_ERR_PROTOCOL;
    }
  stream->ended = true;
  stream->end_count = count;
  return BD_OK;
}

bool
bd_stream_is_complete (const struct bd_stream *stream)
{
  return stream->ended && !stream->broken
         && stream->next_sequence == stream->end_count
         && stream->overlap_offset == stream->retained.length;
}

uint64_t
bd_stream_delivered (const struct bd_stream *stream)
{
  return stream->next_sequence;
}
