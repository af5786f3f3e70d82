#include "http/message.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_MAX_BYTES 1024

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* What a reader told, in one hash and some counts. */
struct told
{
  uint64_t hash;
  size_t heads;
  size_t ends;
};

static int
on_head (void *context, const struct bd_head *head)
{
  struct told *told = context;

  told->heads++;
  for (size_t i = 0; i < head->field_count; i++)
    told->hash = told->hash * 31 + bd_chunk_hash (head->fields[i].name)
                 + bd_chunk_hash (head->fields[i].value);
  return BD_OK;
}

static int
on_body (void *context, struct bd_chunk data)
{
  struct told *told = context;

  for (size_t i = 0; i < data.length; i++)
    told->hash = told->hash * 31 + (unsigned char)data.data[i];
  return BD_OK;
}

static int
on_end (void *context)
{
  ((struct told *)context)->ends++;
  return BD_OK;
}

static const struct bd_http_handler handler
    = { .on_head = on_head, .on_body = on_body, .on_end = on_end };

static int
read_all (enum bd_http_side side, struct bd_chunk input, size_t step,
          struct told *told)
{
  struct bd_http_reader *reader
      = bd_http_reader_create (side, HEAD_MAX_BYTES, &handler, told);
  int error = BD_OK;

  for (size_t at = 0; at < input.length && error == BD_OK; at += step)
    {
      size_t rest = input.length - at;
      size_t ends = told->ends;

      error = bd_http_reader_feed (
          reader,
          (struct bd_chunk){ input.data + at, rest < step ? rest : step });
      while (error == BD_OK && told->ends > ends)
        {
          ends = told->ends;
          error = bd_http_reader_next (reader);
        }
    }
  if (error == BD_OK)
    error = bd_http_reader_finish (reader);
  bd_http_reader_destroy (reader);
  return error;
}

/* Messages read the same however they are cut, and end at most once. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk input = { (const char *)data, size };

  for (int side = BD_HTTP_REQUESTS; side <= BD_HTTP_RESPONSES; side++)
    {
      struct told whole = { 0 };
      struct told bytes = { 0 };
      int error = read_all ((enum bd_http_side)side, input, size + 1, &whole);
      int same = read_all ((enum bd_http_side)side, input, 1, &bytes);

      if (whole.ends > whole.heads || bytes.ends > bytes.heads)
        abort ();
      if ((error == BD_OK) != (same == BD_OK))
        abort ();
      if (error == BD_OK && memcmp (&whole, &bytes, sizeof whole) != 0)
        abort ();
    }
  return 0;
}
