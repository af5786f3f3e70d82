/* Fuzzes what an engine sends: the event stream parser and the text that is
   collected from the events in order to resume the stream. */

#include "stream/resume.h"
#include "stream/sse.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define PIECE_BYTES 7

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk stream = { (const char *)data, size };
  struct bd_sse sse = { 0 };
  struct bd_chunk event;
  struct bd_buffer text = { 0 };
  struct bd_buffer continuation = { 0 };
  size_t consumed = 0;

  for (size_t offset = 0; offset < size; offset += PIECE_BYTES)
    {
      struct bd_chunk piece = { stream.data + offset, size - offset };

      if (piece.length > PIECE_BYTES)
        piece.length = PIECE_BYTES;
      if (bd_sse_feed (&sse, piece) != BD_OK)
        break;
      while ((event = bd_sse_next (&sse)).length > 0)
        {
          consumed += event.length;
          bd_resume_append_text (bd_sse_data (event), &text);
        }
    }
  /* The parser neither loses nor adds a byte. */
  if (consumed + bd_sse_rest (&sse).length != size)
    __builtin_trap ();
  bd_resume_body (stream, bd_buffer_chunk (&text), &continuation);
  bd_sse_clear (&sse);
  bd_buffer_clear (&text);
  bd_buffer_clear (&continuation);
  return 0;
}
