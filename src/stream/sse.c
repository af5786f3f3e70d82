#include "stream/sse.h"

#include <string.h>

void
bd_sse_clear (struct bd_sse *sse)
{
  bd_buffer_clear (&sse->pending);
  sse->scanned = 0;
}

int
bd_sse_feed (struct bd_sse *sse, struct bd_chunk data)
{
  if (sse->pending.length + data.length > BD_SSE_EVENT_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  return bd_buffer_append (&sse->pending, data);
}

/* Returns the length of the first event including the blank line at its end,
   or 0 when it is not complete.  Lines end in LF or CR LF. */
static size_t
event_length (struct bd_sse *sse)
{
  const char *data = sse->pending.data;
  size_t length = sse->pending.length;

  for (size_t i = sse->scanned; i + 1 < length; i++)
    {
      if (data[i] != '\n')
        continue;
      if (data[i + 1] == '\n')
        return i + 2;
      if (i + 2 < length && data[i + 1] == '\r' && data[i + 2] == '\n')
        return i + 3;
    }
  sse->scanned = length > 2 ? length - 2 : 0;
  return 0;
}

bool
bd_sse_next (struct bd_sse *sse, struct bd_buffer *event)
{
  size_t length = event_length (sse);

  bd_buffer_reset (event);
  if (length == 0)
    return false;
  if (bd_buffer_append (event, (struct bd_chunk){ sse->pending.data, length })
      != BD_OK)
    return false;
  bd_buffer_consume (&sse->pending, length);
  sse->scanned = 0;
  return true;
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
