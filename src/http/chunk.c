#include "http/chunk.h"

/* Longest line with the size of a chunk: 16 digits and CR LF. */
#define SIZE_LINE_BYTES 18

/* Appends the line with the size of a chunk. */
static int
append_size (struct bd_buffer *out, size_t size)
{
  static const char digits[] = "0123456789abcdef";
  char line[SIZE_LINE_BYTES] = { 0 };
  size_t at = sizeof line;

  line[--at] = '\n';
  line[--at] = '\r';
  for (size_t rest = size; rest > 0; rest >>= 4)
    line[--at] = digits[rest & 0xf];
  return bd_buffer_append (out,
                           (struct bd_chunk){ line + at, sizeof line - at });
}

int
bd_http_chunk_append (struct bd_buffer *out, struct bd_chunk data)
{
  size_t before = out->length;

  if (data.length == 0
      || (append_size (out, data.length) == BD_OK
          && bd_buffer_append (out, data) == BD_OK
          && bd_buffer_append (out, BD_CHUNK ("\r\n")) == BD_OK))
    return BD_OK;
  out->length = before;
  out->incomplete = false;
  return BD_ERR_NOMEM;
}
