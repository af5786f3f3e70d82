#include "ctl/story.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Any bytes as lines of a log: what is kept lies within the input's lines, and
   is ordered by time. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_story *story = bd_story_create (BD_CHUNK ("r"));
  const char *text = (const char *)data;
  const struct bd_story_line *lines;
  struct bd_buffer out = { 0 };
  size_t start = 0;
  size_t count;
  size_t own;

  for (size_t i = 0; i <= size; i++)
    if (i == size || text[i] == '\n')
      {
        bd_story_add (story, (struct bd_chunk){ text + start, i - start });
        start = i + 1;
      }
  own = bd_story_finish (story);
  lines = bd_story_lines (story, &count);
  if (own > count)
    abort ();
  for (size_t i = 1; i < count; i++)
    if (lines[i - 1].at_ms > lines[i].at_ms)
      abort ();
  if ((bd_story_explain (story, &out) == BD_OK) != (own > 0))
    abort ();
  bd_buffer_clear (&out);
  bd_story_destroy (story);
  return 0;
}
