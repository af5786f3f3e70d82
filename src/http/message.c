#include "http/message.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

/* A head is taken in steps, so that its buffer does not grow by the body that
   came with it. */
#define HEAD_STEP_BYTES ((size_t)1024)

enum stage
{
  STAGE_HEAD = 0,
  STAGE_BODY,
  STAGE_DONE
};

struct bd_http_reader
{
  enum bd_http_side side;
  enum stage stage;
  size_t head_max_bytes;
  size_t scanned;        /* Bytes of the head already searched for its end. */
  size_t preamble_bytes; /* Empty lines and 1xx heads before the head. */
  bool no_body;
  int error;
  const struct bd_http_handler *handler;
  void *context;
  http_parser parser;
  struct bd_buffer head_bytes;
  struct bd_buffer read_ahead; /* Data after the end of the message. */
  struct bd_head head;
};

/* Callbacks of http_parser.  A head is parsed in one call, so each name and
   value is passed in one piece. */

static int
on_target (http_parser *parser, const char *at, size_t length)
{
  struct bd_http_reader *reader = parser->data;

  reader->head.target = (struct bd_chunk){ at, length };
  return 0;
}

static int
on_field_name (http_parser *parser, const char *at, size_t length)
{
  struct bd_http_reader *reader = parser->data;
  struct bd_head *head = &reader->head;

  if (reader->stage != STAGE_HEAD)
    return 0; /* A trailer. */
  if (head->field_count == BD_HTTP_FIELDS_MAX)
    {
      reader->error = BD_ERR_TOO_LARGE;
      return 1;
    }
  head->fields[head->field_count++]
      = (struct bd_field){ { at, length }, { "", 0 } };
  return 0;
}

static int
on_field_value (http_parser *parser, const char *at, size_t length)
{
  struct bd_http_reader *reader = parser->data;
  struct bd_head *head = &reader->head;

  if (reader->stage == STAGE_HEAD && head->field_count > 0)
    head->fields[head->field_count - 1].value
        = (struct bd_chunk){ at, length };
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  struct bd_http_reader *reader = parser->data;
  struct bd_head *head = &reader->head;
  bool skip = reader->no_body;

  parser->upgrade = 0;
  if (reader->side == BD_HTTP_REQUESTS)
    head->method
        = bd_chunk_of (http_method_str ((enum http_method)parser->method));
  else
    head->status = (int)parser->status_code;
  reader->error = bd_head_check (head, reader->side);
  if (reader->error == BD_OK
      && bd_head_count (head, BD_CHUNK ("Content-Length")) == 1)
    reader->error = bd_number_parse (
        bd_head_value (head, BD_CHUNK ("Content-Length")), &head->body_length);
  if (reader->error != BD_OK)
    return -1;
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  /* A 1xx head is followed by another one. */
  if (reader->side == BD_HTTP_RESPONSES && head->status < 200)
    return 1;
  reader->no_body = false;
  reader->error = reader->handler->on_head (reader->context, head);
  if (reader->error != BD_OK)
    return -1;
  return skip ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  struct bd_http_reader *reader = parser->data;

  reader->error = reader->handler->on_body (reader->context,
                                            (struct bd_chunk){ at, length });
  return reader->error == BD_OK ? 0 : 1;
}

static int
on_complete (http_parser *parser)
{
  struct bd_http_reader *reader = parser->data;

  reader->stage = STAGE_DONE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = on_target,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

static void
begin_message (struct bd_http_reader *reader)
{
  bd_buffer_reset (&reader->head_bytes);
  reader->scanned = 0;
  reader->stage = STAGE_HEAD;
  memset (&reader->head, 0, offsetof (struct bd_head, fields));
  reader->head.body_length = -1;
  http_parser_init (&reader->parser, reader->side == BD_HTTP_REQUESTS
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
  reader->parser.data = reader;
}

struct bd_http_reader *
bd_http_reader_create (enum bd_http_side side, size_t head_max_bytes,
                       const struct bd_http_handler *handler, void *context)
{
  struct bd_http_reader *reader = calloc (1, sizeof *reader);

  if (!reader)
    return NULL;
  reader->side = side;
  reader->head_max_bytes = head_max_bytes;
  reader->handler = handler;
  reader->context = context;
  begin_message (reader);
  return reader;
}

void
bd_http_reader_destroy (struct bd_http_reader *reader)
{
  if (!reader)
    return;
  bd_buffer_clear (&reader->head_bytes);
  bd_buffer_clear (&reader->read_ahead);
  free (reader);
}

void
bd_http_reader_set_head_max (struct bd_http_reader *reader,
                             size_t head_max_bytes)
{
  reader->head_max_bytes = head_max_bytes;
}

void
bd_http_reader_no_body (struct bd_http_reader *reader)
{
  reader->no_body = true;
}

/* Returns true when TEXT has a line feed without CR at or after FROM: lines
   must end in CR LF.  NUL bytes are rejected by http_parser, spaces before the
   colon by check_head (). */
static bool
has_bare_line_feed (struct bd_chunk text, size_t from)
{
  for (size_t i = from; i < text.length; i++)
    if (text.data[i] == '\n' && (i == 0 || text.data[i - 1] != '\r'))
      return true;
  return false;
}

/* Returns the length of the head with its blank line, or 0 while it is
   incomplete. */
static size_t
head_length (struct bd_http_reader *reader)
{
  const struct bd_buffer *bytes = &reader->head_bytes;
  size_t from = reader->scanned > 3 ? reader->scanned - 3 : 0;
  const char *end;

  if (bytes->length < 4)
    return 0;
  end = memmem (bytes->data + from, bytes->length - from, "\r\n\r\n", 4);
  reader->scanned = bytes->length;
  return end ? (size_t)(end - bytes->data) + 4 : 0;
}

/* Parses bytes of the body, or a complete head.  Sets *USED to the number of
   bytes consumed. */
static int
run_parser (struct bd_http_reader *reader, struct bd_chunk data, size_t *used)
{
  reader->error = BD_OK;
  *used = http_parser_execute (&reader->parser, &parser_settings, data.data,
                               data.length);
  if (reader->error != BD_OK)
    return reader->error;
  if (reader->stage == STAGE_DONE)
    return BD_OK;
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK || *used != data.length)
    return BD_ERR_INVALID;
  return BD_OK;
}

static int
parse_head (struct bd_http_reader *reader, size_t length)
{
  struct bd_chunk head = { reader->head_bytes.data, length };
  size_t used;
  int error;

  if (has_bare_line_feed (head, 0))
    return BD_ERR_INVALID;
  error = run_parser (reader, head, &used);
  if (error != BD_OK)
    return error;
  if (reader->side == BD_HTTP_RESPONSES && reader->head.status < 200)
    {
      reader->preamble_bytes += length;
      begin_message (reader);
    }
  else if (reader->stage == STAGE_HEAD)
    reader->stage = STAGE_BODY;
  return BD_OK;
}

/* Skips empty lines before a message, as RFC 9112 requires.  Returns the
   number of bytes skipped. */
static size_t
skip_empty_lines (struct bd_http_reader *reader)
{
  struct bd_buffer *bytes = &reader->head_bytes;
  size_t skipped = 0;

  while (bytes->length - skipped >= 2
         && memcmp (bytes->data + skipped, "\r\n", 2) == 0)
    skipped += 2;
  bd_buffer_consume (bytes, skipped);
  reader->scanned -= reader->scanned < skipped ? reader->scanned : skipped;
  return skipped;
}

/* Appends DATA to the head and parses the head once it is complete.  Sets
 *USED to the number of bytes that belong to it. */
static int
feed_head (struct bd_http_reader *reader, struct bd_chunk data, size_t *used)
{
  size_t before = reader->head_bytes.length;
  size_t skipped;
  size_t scanned;
  size_t length;
  int error;

  if (data.length > HEAD_STEP_BYTES)
    data.length = HEAD_STEP_BYTES;
  error = bd_buffer_append (&reader->head_bytes, data);
  if (error != BD_OK)
    return error;
  skipped = skip_empty_lines (reader);
  reader->preamble_bytes += skipped;
  if (reader->preamble_bytes > reader->head_max_bytes)
    return BD_ERR_TOO_LARGE;
  scanned = reader->scanned;
  length = head_length (reader);
  if (length == 0)
    {
      *used = data.length;
      /* Such a head could never be completed. */
      if (has_bare_line_feed (bd_buffer_chunk (&reader->head_bytes), scanned))
        return BD_ERR_INVALID;
      return reader->head_bytes.length > reader->head_max_bytes
                 ? BD_ERR_TOO_LARGE
                 : BD_OK;
    }
  if (length > reader->head_max_bytes)
    return BD_ERR_TOO_LARGE;
  *used = length + skipped - before;
  return parse_head (reader, length);
}

int
bd_http_reader_feed (struct bd_http_reader *reader, struct bd_chunk data)
{
  while (data.length > 0)
    {
      size_t used = data.length;
      int error = BD_OK;

      if (reader->stage == STAGE_DONE)
        {
          if (reader->read_ahead.length + data.length
              > BD_HTTP_READ_AHEAD_MAX_BYTES)
            return BD_ERR_TOO_LARGE;
          return bd_buffer_append (&reader->read_ahead, data);
        }
      if (reader->stage == STAGE_HEAD)
        error = feed_head (reader, data, &used);
      else
        error = run_parser (reader, data, &used);
      if (error != BD_OK)
        return error;
      data.data += used;
      data.length -= used;
      if (reader->stage == STAGE_DONE)
        {
          if (data.length > 0)
            error = bd_buffer_append (&reader->read_ahead, data);
          if (error == BD_OK)
            error = reader->handler->on_end (reader->context);
          return error;
        }
    }
  return BD_OK;
}

int
bd_http_reader_finish (struct bd_http_reader *reader)
{
  size_t used;

  if (reader->stage == STAGE_DONE)
    return BD_OK;
  if (reader->stage == STAGE_HEAD)
    return reader->head_bytes.length > 0 ? BD_ERR_INCOMPLETE : BD_OK;
  if (reader->side == BD_HTTP_REQUESTS || reader->head.chunked
      || reader->head.body_length >= 0)
    return BD_ERR_INCOMPLETE;
  run_parser (reader, (struct bd_chunk){ "", 0 }, &used);
  if (reader->stage != STAGE_DONE)
    return BD_ERR_INCOMPLETE;
  return reader->handler->on_end (reader->context);
}

int
bd_http_reader_next (struct bd_http_reader *reader)
{
  struct bd_buffer read_ahead = reader->read_ahead;
  int error = BD_OK;

  reader->preamble_bytes = 0;
  begin_message (reader);
  memset (&reader->read_ahead, 0, sizeof reader->read_ahead);
  if (read_ahead.length > 0)
    error = bd_http_reader_feed (reader, bd_buffer_chunk (&read_ahead));
  bd_buffer_clear (&read_ahead);
  return error;
}

bool
bd_http_reader_idle (const struct bd_http_reader *reader)
{
  return reader->stage == STAGE_HEAD && reader->head_bytes.length == 0;
}

size_t
bd_http_reader_head_capacity (const struct bd_http_reader *reader)
{
  return reader->head_bytes.capacity;
}

size_t
bd_http_reader_ahead_capacity (const struct bd_http_reader *reader)
{
  return reader->read_ahead.capacity;
}
