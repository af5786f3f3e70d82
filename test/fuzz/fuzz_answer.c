/* Bytes of an engine: event streams, and the text kept of them. */

#include "stream/resume.h"
#include "stream/sse.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define PIECE_BYTES 7

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk all = { (const char *)data, size };
  struct bd_sse sse = { 0 };
  struct bd_buffer event = { 0 };
  struct bd_buffer text = { 0 };
  struct bd_buffer body = { 0 };
  size_t taken = 0;

  for (size_t at = 0; at < size; at += PIECE_BYTES)
    {
      struct bd_chunk piece = { all.data + at, size - at };

      if (piece.length > PIECE_BYTES)
        piece.length = PIECE_BYTES;
      if (bd_sse_feed (&sse, piece) != BD_OK)
        break;
      while (bd_sse_next (&sse, &event))
        {
          taken += event.length;
          bd_resume_collect (bd_sse_data (bd_buffer_chunk (&event)), &text);
        }
    }
  /* No byte is lost or made. */
  if (taken + sse.pending.length != size)
    __builtin_trap ();
  bd_resume_body (all, bd_buffer_chunk (&text), &body);
  bd_sse_clear (&sse);
  bd_buffer_clear (&event);
  bd_buffer_clear (&text);
  bd_buffer_clear (&body);
  return 0;
}
