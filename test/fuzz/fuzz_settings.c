/* Fuzzes the command line parser.  Newlines separate the arguments in the
   input; an odd first byte puts the required flags before them.  Run with
   -close_fd_mask=3, since error messages go to standard error. */
#include "common/settings.h"
#include "common/string.h"

#include <stdlib.h>
#include <string.h>

#define WORDS_MAX 64
#define REQUIRED_COUNT (sizeof required / sizeof required[0])

static const char *const required[] = { "--role=entry",
                                        "--instance=i",
                                        "--zone=z",
                                        "--peer-address=127.0.0.1:1",
                                        "--http-address=127.0.0.1:2",
                                        "--platform-url=http://127.0.0.1:3" };

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  bool with_required = size > 0 && data[0] % 2 == 1;
  struct bd_chunk input = { (const char *)data + 1, size > 0 ? size - 1 : 0 };
  char *text = bd_chunk_copy (input);
  char *argv[WORDS_MAX + REQUIRED_COUNT + 2] = { (char *)"basildockd" };
  struct bd_settings settings;
  char *next = text;
  int argc = 1;

  for (size_t i = 0; with_required && i < REQUIRED_COUNT; i++)
    argv[argc++] = (char *)required[i];
  if (input.length == 0)
    next = NULL;
  while (next && argc <= WORDS_MAX)
    {
      char *end = strchr (next, '\n');

      if (end)
        *end++ = '\0';
      argv[argc++] = next;
      next = end;
    }
  if (bd_settings_read (argc, argv, &settings) == BD_OK
      && (settings.slots < 1 || settings.slots > 4096 || !settings.instance[0]
          || !settings.peer_address[0]))
    abort ();
  bd_settings_release (&settings);
  free (text);
  return 0;
}
