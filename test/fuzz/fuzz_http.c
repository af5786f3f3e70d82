#include "http/message.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_MAX_BYTES 1024

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Everything that a reader reported, as a hash and counts. */
struct result
{
  uint64_t hash;
  size_t heads;
  size_t ends;
};

static int
on_head (void *context, const struct bd_head *head)
{
  struct result *result = context;

  result->heads++;
  for (size_t i = 0; i < head->field_count; i++)
    result->hash = result->hash * 31 + bd_chunk_hash (head->fields[i].name)
                   + bd_chunk_hash (head->fields[i].value);
  return BD_OK;
}

static int
on_body (void *context, struct bd_chunk data)
{
  struct result *result = context;

  for (size_t i = 0; i < data.length; i++)
    result->hash = result->hash * 31 + (unsigned char)data.data[i];
  return BD_OK;
}

static int
on_end (void *context)
{
  ((struct result *)context)->ends++;
  return BD_OK;
}

static const struct bd_http_handler handler
    = { .on_head = on_head, .on_body = on_body, .on_end = on_end };

static int
read_all (enum bd_http_side side, struct bd_chunk input, size_t piece_bytes,
          struct result *result)
{
  struct bd_http_reader *reader
      = bd_http_reader_create (side, HEAD_MAX_BYTES, &handler, result);
  int error = BD_OK;

  for (size_t offset = 0; offset < input.length && error == BD_OK;
       offset += piece_bytes)
    {
      size_t remaining = input.length - offset;
      size_t ends = result->ends;

      error = bd_http_reader_feed (
          reader, (struct bd_chunk){ input.data + offset,
                                     remaining < piece_bytes ? remaining
                                                             : piece_bytes });
      while (error == BD_OK && result->ends > ends)
        {
          ends = result->ends;
          error = bd_http_reader_next (reader);
        }
    }
  if (error == BD_OK)
    error = bd_http_reader_finish (reader);
  bd_http_reader_destroy (reader);
  return error;
}

/* Fuzzes the HTTP reader.  The result must not depend on how the input is cut
   into pieces, and a message must end at most once. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk input = { (const char *)data, size };

  for (int side = BD_HTTP_REQUESTS; side <= BD_HTTP_RESPONSES; side++)
    {
      struct result at_once = { 0 };
      struct result bytewise = { 0 };
      int error
          = read_all ((enum bd_http_side)side, input, size + 1, &at_once);
      int bytewise_error
          = read_all ((enum bd_http_side)side, input, 1, &bytewise);

      if (at_once.ends > at_once.heads || bytewise.ends > bytewise.heads)
        abort ();
      if ((error == BD_OK) != (bytewise_error == BD_OK))
        abort ();
      if (error == BD_OK && memcmp (&at_once, &bytewise, sizeof at_once) != 0)
        abort ();
    }
  return 0;
}
