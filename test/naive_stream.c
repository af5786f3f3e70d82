#include "naive_stream.h"

#include <string.h>

static void
chunk_free (gpointer data)
{
  if (data)
    g_string_free (data, TRUE);
}

struct naive_stream *
naive_stream_create (void)
{
  struct naive_stream *n = g_new0 (struct naive_stream, 1);

  n->chunks = g_ptr_array_new_with_free_func (chunk_free);
  n->out = g_string_new ("");
  n->count = -1;
  return n;
}

void
naive_stream_destroy (struct naive_stream *n)
{
  g_ptr_array_free (n->chunks, TRUE);
  g_string_free (n->out, TRUE);
  g_free (n);
}

void
naive_stream_restart (struct naive_stream *n, uint32_t attempt)
{
  n->attempt = attempt;
  n->count = -1;
  n->broken = n->broken || n->out->len > 0;
  n->offset = n->out->len;
  g_ptr_array_set_size (n->chunks, 0);
}

int
naive_stream_resume (struct naive_stream *n, uint32_t attempt, uint64_t offset)
{
  bool broken = n->broken;

  if (broken)
    return BD_ERR_INCOMPLETE;
  if (offset > n->out->len)
    return BD_ERR_INVALID;
  if (offset < n->out->len && n->out->len > n->retained_max_bytes)
    return BD_ERR_TOO_LARGE;
  naive_stream_restart (n, attempt);
  n->broken = false;
  n->offset = (gsize)offset;
  return BD_OK;
}

uint64_t
naive_stream_delivered (const struct naive_stream *n)
{
  guint i = 0;

  while (i < n->chunks->len && g_ptr_array_index (n->chunks, i))
    i++;
  return i;
}

/* Appends the first NEXT chunks of the attempt to OUT.  Returns 0, 1 when the
   attempt does not reach the end of OUT, or -1 when it contradicts OUT. */
static int
join_chunks (struct naive_stream *n, guint next)
{
  gsize at = n->offset;

  for (guint i = 0; i < next; i++)
    {
      const GString *c = g_ptr_array_index (n->chunks, i);

      for (gsize k = 0; k < c->len; k++, at++)
        if (at == n->out->len)
          g_string_append_c (n->out, c->str[k]);
        else if (n->out->str[at] != c->str[k])
          return -1;
    }
  return at >= n->out->len ? 0 : 1;
}

static gsize
buffered_bytes (const struct naive_stream *n)
{
  gsize bytes = 0;

  for (guint i = (guint)naive_stream_delivered (n); i < n->chunks->len; i++)
    if (g_ptr_array_index (n->chunks, i))
      bytes += ((const GString *)g_ptr_array_index (n->chunks, i))->len;
  return bytes;
}

int
naive_stream_chunk (struct naive_stream *n, uint32_t attempt,
                    uint64_t sequence, struct bd_chunk data)
{
  uint64_t next = naive_stream_delivered (n);

  if (attempt != n->attempt)
    return BD_ERR_STALE;
  if (n->broken)
    return BD_ERR_INCOMPLETE;
  if (sequence < next)
    return BD_OK;
  if (n->count >= 0 && sequence >= (uint64_t)n->count)
    {
      n->broken = true;
      return BD_ERR_PROTOCOL;
    }
  if (sequence >= next + BD_STREAM_WINDOW_CHUNKS)
    return BD_ERR_FULL;
  if (sequence < n->chunks->len && g_ptr_array_index (n->chunks, sequence))
    return BD_OK;
  if (sequence > next
      && buffered_bytes (n) + data.length > BD_STREAM_WINDOW_BYTES)
    return BD_ERR_FULL;
  if (sequence >= n->chunks->len)
    g_ptr_array_set_size (n->chunks, (gint)sequence + 1);
  n->chunks->pdata[sequence]
      = g_string_new_len (data.data, (gssize)data.length);
  if (join_chunks (n, (guint)naive_stream_delivered (n)) < 0)
    {
      n->broken = true;
      return BD_ERR_INCOMPLETE;
    }
  return BD_OK;
}

int
naive_stream_end (struct naive_stream *n, uint32_t attempt, uint64_t count)
{
  if (attempt != n->attempt)
    return BD_ERR_STALE;
  if (n->broken)
    return BD_ERR_INCOMPLETE;
  if (n->chunks->len > count || (n->count >= 0 && (uint64_t)n->count != count))
    {
      n->broken = true;
      return BD_ERR_PROTOCOL;
    }
  n->count = (int64_t)count;
  return BD_OK;
}

bool
naive_stream_whole (const struct naive_stream *n)
{
  uint64_t next = naive_stream_delivered (n);
  struct naive_stream copy = *n;

  return !n->broken && n->count >= 0 && next == (uint64_t)n->count
         && join_chunks (&copy, (guint)next) == 0;
}
