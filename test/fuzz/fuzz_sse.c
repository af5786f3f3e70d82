#include "stream/sse.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Whether TEXT has a line that is not empty; lines end in LF or CR LF. */
static bool
has_line (struct bd_chunk text)
{
  for (size_t i = 0; i < text.length; i++)
    if (text.data[i] != '\n'
        && (text.data[i] != '\r' || (i > 0 && text.data[i - 1] == '\r')
            || (i + 1 < text.length && text.data[i + 1] != '\n')))
      return true;
  return false;
}

/* Feeds INPUT in pieces of PIECE_BYTES bytes; appends the events and the
   pending bytes to JOINED. */
static void
split_events (struct bd_chunk input, size_t piece_bytes,
              struct bd_buffer *joined, size_t *count, size_t *pending)
{
  struct bd_sse sse = { 0 };
  struct bd_chunk event;

  *count = 0;
  for (size_t offset = 0; offset < input.length; offset += piece_bytes)
    {
      size_t remaining = input.length - offset;
      struct bd_chunk piece
          = { .data = input.data + offset,
              .length = remaining < piece_bytes ? remaining : piece_bytes };

      if (bd_sse_feed (&sse, piece) != BD_OK)
        abort ();
      while ((event = bd_sse_next (&sse)).length > 0)
        {
          struct bd_chunk line = bd_sse_data (event);

          if (event.length < 2 || event.data[event.length - 1] != '\n')
            abort ();
          if (line.length > event.length
              || (line.length > 0 && memchr (line.data, '\n', line.length)))
            abort ();
          if (!has_line (event))
            abort ();
          bd_buffer_append (joined, event);
          (*count)++;
        }
    }
  bd_buffer_append (joined, bd_sse_rest (&sse));
  *pending = bd_sse_rest (&sse).length;
  if (bd_sse_is_between_events (&sse) == has_line (bd_sse_rest (&sse)))
    abort ();
  bd_sse_clear (&sse);
}

/* Fuzzes the event stream parser.  The events must not depend on how the input
   is cut into pieces, and no byte may be lost. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk input = { .data = (const char *)data + 1 };
  struct bd_buffer at_once = { 0 };
  struct bd_buffer in_pieces = { 0 };
  size_t counts[2];
  size_t pending[2];

  if (size < 1 || size > BD_SSE_EVENT_MAX_BYTES)
    return 0;
  input.length = size - 1;
  split_events (input, input.length > 0 ? input.length : 1, &at_once,
                &counts[0], &pending[0]);
  split_events (input, data[0] % 16 + 1, &in_pieces, &counts[1], &pending[1]);
  if (!bd_chunk_equal (bd_buffer_chunk (&at_once), input)
      || !bd_chunk_equal (bd_buffer_chunk (&in_pieces), input)
      || counts[0] != counts[1] || pending[0] != pending[1])
    abort ();
  bd_buffer_clear (&at_once);
  bd_buffer_clear (&in_pieces);
  return 0;
}
