#include "stream/sse.h"

#include <string.h>

void
bd_sse_clear (struct bd_sse *sse)
{
  bd_buffer_clear (&sse->pending);
  *sse = (struct bd_sse){ 0 };
}

/* Removes the events that have been returned. */
static void
remove_taken (struct bd_sse *sse)
{
  if (sse->taken == 0)
    return;
  bd_buffer_consume (&sse->pending, sse->taken);
  sse->line_start -= sse->taken;
  sse->scanned -= sse->taken;
  sse->taken = 0;
}

int
bd_sse_feed (struct bd_sse *sse, struct bd_chunk data)
{
  remove_taken (sse);
  if (sse->pending.length + data.length > BD_SSE_EVENT_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  return bd_buffer_append (&sse->pending, data);
}

/* Whether a line without its LF is empty: lines end in LF or CR LF. */
static bool
is_empty_line (struct bd_chunk line)
{
  return line.length == 0 || (line.length == 1 && line.data[0] == '\r');
}

struct bd_chunk
bd_sse_next (struct bd_sse *sse)
{
  const char *data = sse->pending.data;
  struct bd_chunk event = { NULL, 0 };
  const char *end = NULL;

  while (event.length == 0 && sse->scanned < sse->pending.length
         && (end = memchr (data + sse->scanned, '\n',
                           sse->pending.length - sse->scanned)))
    {
      struct bd_chunk line
          = { data + sse->line_start, (size_t)(end - data) - sse->line_start };

      sse->line_start = (size_t)(end - data) + 1;
      sse->scanned = sse->line_start;
      if (!is_empty_line (line))
        sse->has_line = true;
      else if (sse->has_line)
        event = (struct bd_chunk){ data + sse->taken,
                                   sse->scanned - sse->taken };
    }
  if (event.length > 0)
    {
      sse->taken = sse->scanned;
      sse->has_line = false;
    }
  else
    sse->scanned = sse->pending.length;
  return event;
}

/* Returns the pending bytes from OFFSET on. */
static struct bd_chunk
pending_from (const struct bd_sse *sse, size_t offset)
{
  struct bd_chunk bytes = bd_buffer_chunk (&sse->pending);

  if (offset > 0)
    bytes.data += offset;
  bytes.length -= offset;
  return bytes;
}

struct bd_chunk
bd_sse_rest (const struct bd_sse *sse)
{
  return pending_from (sse, sse->taken);
}

bool
bd_sse_is_between_events (const struct bd_sse *sse)
{
  return !sse->has_line && is_empty_line (pending_from (sse, sse->line_start));
}

bool
bd_sse_has_field (struct bd_chunk event)
{
  while (event.length > 0)
    {
      struct bd_chunk line = bd_chunk_split_off (&event, '\n');

      if (!is_empty_line (line) && line.data[0] != ':')
        return true;
    }
  return false;
}

/* Returns the value of the first line that begins with FIELD. */
static struct bd_chunk
find_field (struct bd_chunk event, struct bd_chunk field)
{
  struct bd_chunk line = { NULL, 0 };
  size_t start = 0;

  while (start < event.length)
    {
      const char *at = event.data + start;
      const char *end = memchr (at, '\n', event.length - start);
      size_t length = end ? (size_t)(end - at) : event.length - start;

      start += length + 1;
      if (length < field.length || memcmp (at, field.data, field.length) != 0)
        continue;
      line.data = at + field.length;
      line.length = length - field.length;
      while (line.length > 0 && *line.data == ' ')
        line.data++, line.length--;
      while (line.length > 0 && line.data[line.length - 1] == '\r')
        line.length--;
      return line;
    }
  return line;
}

struct bd_chunk
bd_sse_id (struct bd_chunk event)
{
  return find_field (event, BD_CHUNK ("id:"));
}

struct bd_chunk
bd_sse_data (struct bd_chunk event)
{
  return find_field (event, BD_CHUNK ("data:"));
}
