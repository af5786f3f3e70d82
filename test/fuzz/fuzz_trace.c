#include "ctl/request_trace.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Fuzzes the request trace with arbitrary log lines.  The kept lines must be
   sorted by time; there is an explanation only when a line belongs to the
   request. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_request_trace *trace = bd_request_trace_create (BD_CHUNK ("r"));
  const char *text = (const char *)data;
  const struct bd_request_trace_line *lines;
  struct bd_buffer out = { 0 };
  size_t start = 0;
  size_t count;
  size_t own_lines;

  for (size_t i = 0; i <= size; i++)
    if (i == size || text[i] == '\n')
      {
        bd_request_trace_add (trace,
                              (struct bd_chunk){ text + start, i - start });
        start = i + 1;
      }
  own_lines = bd_request_trace_finish (trace);
  lines = bd_request_trace_lines (trace, &count);
  if (own_lines > count)
    abort ();
  for (size_t i = 1; i < count; i++)
    if (lines[i - 1].logged_ms > lines[i].logged_ms)
      abort ();
  if ((bd_request_trace_explain (trace, &out) == BD_OK) != (own_lines > 0))
    abort ();
  bd_buffer_clear (&out);
  bd_request_trace_destroy (trace);
  return 0;
}
