#include "stream/sse.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Feeds INPUT in pieces of STEP bytes and joins the events. */
static void
split (struct bd_chunk input, size_t step, struct bd_buffer *joined,
       size_t *count, size_t *left)
{
  struct bd_sse sse = { 0 };
  struct bd_buffer event = { 0 };

  *count = 0;
  for (size_t at = 0; at < input.length; at += step)
    {
      size_t rest = input.length - at;
      struct bd_chunk piece
          = { .data = input.data + at, .length = rest < step ? rest : step };

      if (bd_sse_feed (&sse, piece) != BD_OK)
        abort ();
      while (bd_sse_next (&sse, &event))
        {
          struct bd_chunk line = bd_sse_data (bd_buffer_chunk (&event));

          if (event.length < 2 || event.data[event.length - 1] != '\n')
            abort ();
          if (line.length > event.length
              || (line.length > 0 && memchr (line.data, '\n', line.length)))
            abort ();
          bd_buffer_append (joined, bd_buffer_chunk (&event));
          (*count)++;
        }
    }
  bd_buffer_append (joined, bd_buffer_chunk (&sse.pending));
  *left = sse.pending.length;
  bd_buffer_clear (&event);
  bd_sse_clear (&sse);
}

/* However the bytes are cut, the same events come out and no byte is lost. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk input = { .data = (const char *)data + 1 };
  struct bd_buffer whole = { 0 };
  struct bd_buffer pieces = { 0 };
  size_t counts[2];
  size_t left[2];

  if (size < 1 || size > BD_SSE_EVENT_MAX_BYTES)
    return 0;
  input.length = size - 1;
  split (input, input.length > 0 ? input.length : 1, &whole, &counts[0],
         &left[0]);
  split (input, data[0] % 16 + 1, &pieces, &counts[1], &left[1]);
  if (!bd_chunk_equal (bd_buffer_chunk (&whole), input)
      || !bd_chunk_equal (bd_buffer_chunk (&pieces), input)
      || counts[0] != counts[1] || left[0] != left[1])
    abort ();
  bd_buffer_clear (&whole);
  bd_buffer_clear (&pieces);
  return 0;
}
