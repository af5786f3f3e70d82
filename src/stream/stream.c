#include "stream/stream.h"

#include "common/string.h"

#include <stdlib.h>
#include <string.h>

struct held_chunk
{
  char *data;
  size_t length;
  bool present;
};

struct bd_stream
{
  uint32_t attempt;
  uint64_t next; /* Sequence that is delivered next. */
  uint64_t top;  /* One above the highest sequence taken in. */
  uint64_t count;
  bool ended;
  bool broken; /* Something contradicted itself: never whole. */
  size_t held_bytes;
  struct held_chunk held[BD_STREAM_WINDOW_CHUNKS];
  struct bd_buffer text; /* Delivered in all attempts. */
  size_t text_limit;
  uint64_t text_bytes; /* Delivered, kept or not. */
  size_t overlap_at;   /* Where a resumed attempt repeats TEXT. */
};

struct bd_stream *
bd_stream_create (void)
{
  return calloc (1, sizeof (struct bd_stream));
}

static void
held_drop (struct bd_stream *stream, struct held_chunk *held)
{
  stream->held_bytes -= held->length;
  free (held->data);
  memset (held, 0, sizeof *held);
}

static void
held_drop_all (struct bd_stream *stream)
{
  for (size_t i = 0; i < BD_STREAM_WINDOW_CHUNKS; i++)
    held_drop (stream, &stream->held[i]);
}

void
bd_stream_destroy (struct bd_stream *stream)
{
  if (!stream)
    return;
  held_drop_all (stream);
  bd_buffer_clear (&stream->text);
  free (stream);
}

void
bd_stream_keep (struct bd_stream *stream, size_t max_bytes)
{
  stream->text_limit = max_bytes;
}

static bool
text_kept (const struct bd_stream *stream)
{
  return stream->text_bytes == stream->text.length;
}

int
bd_stream_kept (const struct bd_stream *stream, struct bd_chunk *text)
{
  *text = bd_buffer_chunk (&stream->text);
  return text_kept (stream) ? BD_OK : BD_ERR_TOO_LARGE;
}

static void
attempt_start (struct bd_stream *stream, uint32_t attempt)
{
  held_drop_all (stream);
  stream->attempt = attempt;
  stream->next = 0;
  stream->top = 0;
  stream->count = 0;
  stream->ended = false;
}

void
bd_stream_attempt (struct bd_stream *stream, uint32_t attempt)
{
  attempt_start (stream, attempt);
  if (stream->text_bytes > 0)
    stream->broken = true;
  stream->overlap_at = 0;
}

int
bd_stream_resume (struct bd_stream *stream, uint32_t attempt, uint64_t offset)
{
  if (stream->broken)
    return BD_ERR_BROKEN;
  if (offset > stream->text_bytes)
    return BD_ERR_INVALID;
  if (offset < stream->text_bytes && !text_kept (stream))
    return BD_ERR_TOO_LARGE;
  attempt_start (stream, attempt);
  stream->overlap_at
      = text_kept (stream) ? (size_t)offset : stream->text.length;
  return BD_OK;
}

static void
text_keep (struct bd_stream *stream, struct bd_chunk data)
{
  bool whole = text_kept (stream);

  stream->text_bytes += data.length;
  if (!whole)
    return;
  if (stream->text.length + data.length <= stream->text_limit
      && bd_buffer_append (&stream->text, data) == BD_OK)
    stream->overlap_at = stream->text.length;
}

/* Removes from DATA what was delivered before; false when it differs. */
static bool
overlap_skip (struct bd_stream *stream, struct bd_chunk *data)
{
  size_t left = stream->text.length - stream->overlap_at;
  size_t n = data->length < left ? data->length : left;

  if (n == 0)
    return true;
  if (memcmp (stream->text.data + stream->overlap_at, data->data, n) != 0)
    return false;
  stream->overlap_at += n;
  data->data += n;
  data->length -= n;
  return true;
}

static int
stream_deliver (struct bd_stream *stream, struct bd_chunk data,
                void (*deliver) (void *context, struct bd_chunk data),
                void *context)
{
  stream->next++;
  if (!overlap_skip (stream, &data))
    {
      stream->broken = true;
      return BD_ERR_BROKEN;
    }
  if (data.length == 0)
    return BD_OK;
  text_keep (stream, data);
  deliver (context, data);
  return BD_OK;
}

static int
chunk_hold (struct bd_stream *stream, uint64_t sequence, struct bd_chunk data)
{
  struct held_chunk *held = &stream->held[sequence % BD_STREAM_WINDOW_CHUNKS];

  if (held->present)
    return BD_OK;
  if (data.length > BD_STREAM_WINDOW_BYTES - stream->held_bytes)
    return BD_ERR_FULL;
  held->data = bd_chunk_copy (data);
  if (!held->data)
    return BD_ERR_NOMEM;
  held->length = data.length;
  held->present = true;
  stream->held_bytes += data.length;
  return BD_OK;
}

static int
held_deliver (struct bd_stream *stream,
              void (*deliver) (void *context, struct bd_chunk data),
              void *context)
{
  for (;;)
    {
      struct held_chunk *held
          = &stream->held[stream->next % BD_STREAM_WINDOW_CHUNKS];
      struct bd_chunk data = { held->data, held->length };
      int rc;

      if (!held->present)
        return BD_OK;
      rc = stream_deliver (stream, data, deliver, context);
      held_drop (stream, held);
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
    return BD_ERR_BROKEN;
  if (sequence < stream->next)
    return BD_OK;
  if (stream->ended && sequence >= stream->count)
    {
      stream->broken = true;
      return BD_ERR_PROTOCOL;
    }
  if (sequence - stream->next >= BD_STREAM_WINDOW_CHUNKS)
    return BD_ERR_FULL;
  if (sequence > stream->next)
    rc = chunk_hold (stream, sequence, data);
  else
    rc = stream_deliver (stream, data, deliver, context);
  if (rc != BD_OK)
    return rc;
  if (sequence >= stream->top)
    stream->top = sequence + 1;
  return held_deliver (stream, deliver, context);
}

int
bd_stream_end (struct bd_stream *stream, uint32_t attempt, uint64_t count)
{
  if (attempt != stream->attempt)
    return BD_ERR_STALE;
  if (stream->broken)
    return BD_ERR_BROKEN;
  if (count < stream->top || (stream->ended && count != stream->count))
    {
      stream->broken = true;
      return BD_ERR_PROTOCOL;
    }
  stream->ended = true;
  stream->count = count;
  return BD_OK;
}

bool
bd_stream_whole (const struct bd_stream *stream)
{
  return stream->ended && !stream->broken && stream->next == stream->count
         && stream->overlap_at == stream->text.length;
}

uint64_t
bd_stream_delivered (const struct bd_stream *stream)
{
  return stream->next;
}
