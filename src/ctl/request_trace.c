#include "ctl/request_trace.h"

#include "common/event.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Format of a line's timestamp; each 0 stands for a digit. */
#define TIMESTAMP_FORMAT "0000-00-00T00:00:00.000Z"
#define TIMESTAMP_LENGTH (sizeof TIMESTAMP_FORMAT - 1)
/* Range of the event numbers that concern one request. */
#define REQUEST_EVENT_MIN 2000
#define REQUEST_EVENT_MAX 2999
/* Most runners, and most daemons, that a trace remembers. */
#define NAME_SET_MAX 32
#define MS_PER_S 1000

/* Names that occur in the request's own lines. */
struct name_set
{
  struct bd_chunk items[NAME_SET_MAX];
  size_t count;
};

struct bd_request_trace
{
  char *request;
  struct bd_request_trace_line *lines;
  size_t count;
  size_t capacity;
  size_t own_line_count;
  struct name_set runners;
  struct name_set daemons;
};

/* Parsing. */

/* Whether TEXT begins with a timestamp. */
static bool
has_timestamp (struct bd_chunk text)
{
  if (text.length < TIMESTAMP_LENGTH)
    return false;
  for (size_t i = 0; i < TIMESTAMP_LENGTH; i++)
    if (TIMESTAMP_FORMAT[i] == '0' ? !isdigit ((unsigned char)text.data[i])
                                   : text.data[i] != TIMESTAMP_FORMAT[i])
      return false;
  return true;
}

static int64_t
parse_timestamp (struct bd_chunk text)
{
  char copy[TIMESTAMP_LENGTH + 1];
  struct tm parts = { 0 };

  memcpy (copy, text.data, TIMESTAMP_LENGTH);
  copy[TIMESTAMP_LENGTH] = '\0';
  if (!strptime (copy, "%Y-%m-%dT%H:%M:%S", &parts))
    return 0;
  return (int64_t)timegm (&parts) * MS_PER_S + strtol (copy + 20, NULL, 10);
}

/* Removes the first word and the space after it from the start of REST, and
   returns the word. */
static struct bd_chunk
next_word (struct bd_chunk *rest)
{
  const char *space = memchr (rest->data, ' ', rest->length);
  size_t length = space ? (size_t)(space - rest->data) : rest->length;
  struct bd_chunk word = { rest->data, length };
  size_t used = space ? length + 1 : length;

  rest->data += used;
  rest->length -= used;
  return word;
}

/* Returns REST from its first word with "=" on.  The fixed text of an event
   has no "=", so that word is the first field. */
static struct bd_chunk
find_fields (struct bd_chunk rest)
{
  while (rest.length > 0)
    {
      struct bd_chunk word_start = rest;
      struct bd_chunk word = next_word (&rest);

      if (memchr (word.data, '=', word.length))
        return word_start;
    }
  return rest;
}

int
bd_request_trace_parse (struct bd_chunk text,
                        struct bd_request_trace_line *line)
{
  struct bd_chunk rest = text;
  struct bd_chunk event;

  memset (line, 0, sizeof *line);
  while (rest.length > 0 && !has_timestamp (rest))
    {
      rest.data++;
      rest.length--;
    }
  if (rest.length == 0)
    return BD_ERR_INVALID;
  line->text = rest;
  line->logged_ms = parse_timestamp (rest);
  line->timestamp = next_word (&rest);
  line->instance = next_word (&rest);
  next_word (&rest); /* Program and process id. */
  event = next_word (&rest);
  if (event.length != strlen ("BD0000") || memcmp (event.data, "BD", 2) != 0)
    return BD_ERR_INVALID;
  for (size_t i = 2; i < event.length; i++)
    {
      if (!isdigit ((unsigned char)event.data[i]))
        return BD_ERR_INVALID;
      line->event_number = line->event_number * 10 + (event.data[i] - '0');
    }
  line->event_name = next_word (&rest);
  line->fields = find_fields (rest);
  return BD_OK;
}

/* Removes a value from the start of REST, which follows a "=", and returns it
   without its quotes. */
static struct bd_chunk
next_value (struct bd_chunk *rest)
{
  struct bd_chunk value;
  size_t i = 1;

  if (rest->length == 0 || rest->data[0] != '"')
    return next_word (rest);
  while (i < rest->length && rest->data[i] != '"')
    i += rest->data[i] == '\\' && i + 1 < rest->length ? 2 : 1;
  value = (struct bd_chunk){ rest->data + 1, i - 1 };
  i += i < rest->length; /* Closing quote. */
  i += i < rest->length; /* Space after the quote. */
  rest->data += i;
  rest->length -= i;
  return value;
}

struct bd_chunk
bd_request_trace_field (const struct bd_request_trace_line *line,
                        const char *key)
{
  struct bd_chunk rest = line->fields;
  struct bd_chunk wanted = bd_chunk_of (key);

  while (rest.length > 0)
    {
      const char *equals_sign = memchr (rest.data, '=', rest.length);
      struct bd_chunk name = { rest.data, 0 };
      struct bd_chunk value;

      if (!equals_sign)
        break;
      name.length = (size_t)(equals_sign - rest.data);
      rest.data += name.length + 1;
      rest.length -= name.length + 1;
      value = next_value (&rest);
      if (bd_chunk_equal (name, wanted))
        return value;
    }
  return (struct bd_chunk){ "", 0 };
}

/* Collecting. */

struct bd_request_trace *
bd_request_trace_create (struct bd_chunk request)
{
  struct bd_request_trace *trace = calloc (1, sizeof *trace);

  if (trace)
    trace->request = bd_chunk_copy (request);
  if (trace && !trace->request)
    {
      free (trace);
      return NULL;
    }
  return trace;
}

void
bd_request_trace_destroy (struct bd_request_trace *trace)
{
  if (!trace)
    return;
  for (size_t i = 0; i < trace->count; i++)
    free ((char *)trace->lines[i].text.data);
  free (trace->lines);
  free (trace->request);
  free (trace);
}

bool
bd_request_trace_is_own (const struct bd_request_trace *trace,
                         const struct bd_request_trace_line *line)
{
  return bd_chunk_equal (bd_request_trace_field (line, "request"),
                         bd_chunk_of (trace->request));
}

static int
grow_lines (struct bd_request_trace *trace)
{
  size_t capacity = trace->capacity > 0 ? trace->capacity * 2 : 64;
  struct bd_request_trace_line *lines
      = realloc (trace->lines, capacity * sizeof *lines);

  if (!lines)
    return BD_ERR_NOMEM;
  trace->lines = lines;
  trace->capacity = capacity;
  return BD_OK;
}

int
bd_request_trace_add (struct bd_request_trace *trace, struct bd_chunk text)
{
  struct bd_request_trace_line line;
  char *copy;

  if (bd_request_trace_parse (text, &line) != BD_OK
      || trace->count == BD_REQUEST_TRACE_LINES_MAX)
    return BD_OK;
  if (!bd_request_trace_is_own (trace, &line)
      && line.event_number >= REQUEST_EVENT_MIN
      && line.event_number <= REQUEST_EVENT_MAX)
    return BD_OK;
  if (trace->count == trace->capacity && grow_lines (trace) != BD_OK)
    return BD_ERR_NOMEM;
  copy = bd_chunk_copy (line.text);
  if (!copy)
    return BD_ERR_NOMEM;
  bd_request_trace_parse ((struct bd_chunk){ copy, line.text.length }, &line);
  trace->lines[trace->count++] = line;
  return BD_OK;
}

int
bd_request_trace_read (struct bd_request_trace *trace, FILE *file)
{
  char text[BD_REQUEST_TRACE_LINE_MAX_BYTES];
  bool in_long_line = false; /* TEXT continues a line that is too long. */

  while (fgets (text, sizeof text, file))
    {
      size_t length = strlen (text);
      bool line_complete = length > 0 && text[length - 1] == '\n';
      int rc = BD_OK;

      if (!in_long_line && (line_complete || feof (file)))
        rc = bd_request_trace_add (
            trace, (struct bd_chunk){ text, length - line_complete });
      if (rc != BD_OK)
        return rc;
      in_long_line = !line_complete;
    }
  return ferror (file) ? BD_ERR_IO : BD_OK;
}

/* Sorting and selection. */

/* Orders by time; lines of the same time stay in the order of arrival. */
static int
compare_lines (const void *a, const void *b)
{
  const struct bd_request_trace_line *x = a;
  const struct bd_request_trace_line *y = b;

  if (x->logged_ms != y->logged_ms)
    return x->logged_ms < y->logged_ms ? -1 : 1;
  return (x->arrival_index > y->arrival_index)
         - (x->arrival_index < y->arrival_index);
}

static bool
has_name (const struct name_set *set, struct bd_chunk name)
{
  for (size_t i = 0; i < set->count; i++)
    if (bd_chunk_equal (set->items[i], name))
      return true;
  return false;
}

static void
add_name (struct name_set *set, struct bd_chunk name)
{
  if (name.length > 0 && set->count < NAME_SET_MAX && !has_name (set, name))
    set->items[set->count++] = name;
}

/* Whether LINE concerns a runner or daemon of the request. */
static bool
is_relevant (const struct bd_request_trace *trace,
             const struct bd_request_trace_line *line)
{
  struct bd_chunk runner = bd_request_trace_field (line, "runner");

  if (runner.length > 0)
    return has_name (&trace->runners, runner);
  return has_name (&trace->daemons, line->instance)
         && line->event_number != BD_EVENT_MEMBER_LIVE
         && line->event_number != BD_EVENT_RETRIES_SHARED;
}

/* Collects the runners and daemons of the request's own lines, and the times
   of the first and the last of these lines. */
static void
scan_own_lines (struct bd_request_trace *trace, int64_t *first_ms,
                int64_t *last_ms)
{
  *first_ms = INT64_MAX;
  *last_ms = INT64_MIN;
  trace->own_line_count = 0;
  for (size_t i = 0; i < trace->count; i++)
    {
      const struct bd_request_trace_line *line = &trace->lines[i];

      if (!bd_request_trace_is_own (trace, line))
        continue;
      trace->own_line_count++;
      add_name (&trace->runners, bd_request_trace_field (line, "runner"));
      add_name (&trace->daemons, line->instance);
      if (line->logged_ms < *first_ms)
        *first_ms = line->logged_ms;
      if (line->logged_ms > *last_ms)
        *last_ms = line->logged_ms;
    }
}

size_t
bd_request_trace_finish (struct bd_request_trace *trace)
{
  int64_t first_ms;
  int64_t last_ms;
  size_t kept_count = 0;

  scan_own_lines (trace, &first_ms, &last_ms);
  for (size_t i = 0; i < trace->count; i++)
    {
      struct bd_request_trace_line line = trace->lines[i];
      bool in_window
          = trace->own_line_count > 0
            && line.logged_ms >= first_ms - BD_REQUEST_TRACE_MARGIN_MS
            && line.logged_ms <= last_ms + BD_REQUEST_TRACE_MARGIN_MS;

      line.arrival_index = i;
      if (bd_request_trace_is_own (trace, &line)
          || (in_window && is_relevant (trace, &line)))
        trace->lines[kept_count++] = line;
      else
        free ((char *)line.text.data);
    }
  trace->count = kept_count;
  if (kept_count > 0)
    qsort (trace->lines, kept_count, sizeof *trace->lines, compare_lines);
  return trace->own_line_count;
}

bool
bd_request_trace_is_involved (const struct bd_request_trace *trace,
                              const struct bd_request_trace_line *line)
{
  return has_name (&trace->daemons, line->instance);
}

const struct bd_request_trace_line *
bd_request_trace_lines (const struct bd_request_trace *trace, size_t *count)
{
  *count = trace->count;
  return trace->lines;
}
