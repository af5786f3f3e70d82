/* Commands that show log lines of several daemons: events, trace, explain. */
#include "ctl/ctl.h"

#include "ctl/request_trace.h"

#include <errno.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Length of a timestamp such as "2026-12-03T23:00:00.000Z". */
#define TIMESTAMP_LENGTH 24
#define REQUEST_ID_MAX_BYTES 128

struct line
{
  const char *text;
  size_t arrival_index; /* Position in the order of arrival. */
};

struct line_list
{
  size_t count;
  struct line *lines;
};

/* Orders by time; lines of the same time stay in the order of arrival. */
static int
compare_lines (const void *a, const void *b)
{
  const struct line *x = a;
  const struct line *y = b;
  int order = strncmp (x->text, y->text, TIMESTAMP_LENGTH);

  if (order != 0)
    return order;
  return (x->arrival_index > y->arrival_index)
         - (x->arrival_index < y->arrival_index);
}

static enum bd_ctl_exit
fetch_lines (const struct bd_ctl_options *options, const char *path,
             json_t *lines)
{
  enum bd_ctl_exit rc = BD_CTL_OK;

  for (size_t i = 0; i < options->address_count; i++)
    {
      json_t *root;

      rc = bd_ctl_worst_exit (
          rc, bd_ctl_fetch (options->addresses[i], path, false, &root));
      if (root)
        json_array_extend (lines, json_object_get (root, "lines"));
      json_decref (root);
    }
  return rc;
}

static struct line_list
sort_lines (const json_t *lines, int line_limit)
{
  struct line_list list = { 0 };
  size_t i;
  json_t *line;

  list.lines = calloc (json_array_size (lines) + 1, sizeof *list.lines);
  if (!list.lines)
    return list;
  json_array_foreach (lines, i, line)
  {
    if (!json_is_string (line))
      continue;
    list.lines[list.count] = (struct line){ json_string_value (line), i };
    list.count++;
  }
  qsort (list.lines, list.count, sizeof *list.lines, compare_lines);
  if (line_limit > 0 && list.count > (size_t)line_limit)
    {
      memmove (list.lines, list.lines + list.count - (size_t)line_limit,
               (size_t)line_limit * sizeof *list.lines);
      list.count = (size_t)line_limit;
    }
  return list;
}

/* Prints {"lines": JSON_LINES} and releases JSON_LINES; does nothing if that
   is NULL. */
static void
print_json_lines (json_t *json_lines)
{
  json_t *root;

  if (!json_lines)
    return;
  root = json_pack ("{s:o}", "lines", json_lines);
  bd_ctl_print_json (root);
  json_decref (root);
}

/* Appends LINE to JSON_LINES, or prints it if JSON_LINES is NULL. */
static void
print_line (struct bd_chunk line, json_t *json_lines)
{
  if (json_lines)
    json_array_append_new (json_lines,
                           json_stringn_nocheck (line.data, line.length));
  else
    {
      bd_ctl_print_text (line);
      putchar ('\n');
    }
}

static void
print_lines (const struct line_list *list, bool json)
{
  json_t *json_lines = json ? json_array () : NULL;

  for (size_t i = 0; i < list->count; i++)
    print_line (bd_chunk_of (list->lines[i].text), json_lines);
  print_json_lines (json_lines);
}

/* Shows the lines that all daemons return for PATH; sets *COUNT to the number
   of lines shown. */
static enum bd_ctl_exit
show_lines (const struct bd_ctl_options *options, const char *path,
            size_t *count)
{
  json_t *lines = json_array ();
  enum bd_ctl_exit rc = fetch_lines (options, path, lines);
  struct line_list list = sort_lines (lines, options->line_limit);

  print_lines (&list, options->json);
  *count = list.count;
  free (list.lines);
  json_decref (lines);
  return rc;
}

enum bd_ctl_exit
bd_ctl_events (const struct bd_ctl_options *options)
{
  size_t count;

  return show_lines (options, "/events", &count);
}

/* Reading of log files. */

static enum bd_ctl_exit
read_log_file (struct bd_request_trace *trace, const char *name)
{
  bool is_stdin = strcmp (name, "-") == 0;
  FILE *file = is_stdin ? stdin : fopen (name, "r");
  int rc = file ? bd_request_trace_read (trace, file) : BD_ERR_IO;

  if (rc != BD_OK)
    fprintf (stderr, "basildockctl: %s: %s\n", name,
             rc == BD_ERR_IO ? strerror (errno) : bd_error_answer (rc)->text);
  if (file && !is_stdin)
    fclose (file);
  return rc == BD_OK ? BD_CTL_OK : BD_CTL_FAILED;
}

/* Returns the trace of the request named by argument 1, from the log files
   that follow it.  On an error, prints the reason to standard error and
   returns NULL. */
static struct bd_request_trace *
read_trace (const struct bd_ctl_options *options)
{
  const char *request = options->arguments[1];
  struct bd_request_trace *trace;

  if (request[0] == '\0' || strlen (request) > REQUEST_ID_MAX_BYTES
      || strpbrk (request, "\"\\ "))
    {
      fputs ("basildockctl: REQUEST-ID has no spaces, quotes or backslashes\n",
             stderr);
      return NULL;
    }
  trace = bd_request_trace_create (bd_chunk_of (request));
  for (size_t i = 2; trace && i < options->argument_count; i++)
    if (read_log_file (trace, options->arguments[i]) != BD_CTL_OK)
      {
        bd_request_trace_destroy (trace);
        return NULL;
      }
  if (trace && bd_request_trace_finish (trace) == 0)
    {
      fputs ("basildockctl: no line of this request was read\n", stderr);
      bd_request_trace_destroy (trace);
      return NULL;
    }
  return trace;
}

static enum bd_ctl_exit
trace_files (const struct bd_ctl_options *options)
{
  struct bd_request_trace *trace = read_trace (options);
  const struct bd_request_trace_line *lines;
  json_t *json_lines;
  size_t count;
  size_t first = 0;

  if (!trace)
    return BD_CTL_FAILED;
  json_lines = options->json ? json_array () : NULL;
  lines = bd_request_trace_lines (trace, &count);
  if (options->line_limit > 0 && count > (size_t)options->line_limit)
    first = count - (size_t)options->line_limit;
  for (size_t i = first; i < count; i++)
    print_line (lines[i].text, json_lines);
  print_json_lines (json_lines);
  bd_request_trace_destroy (trace);
  return BD_CTL_OK;
}

enum bd_ctl_exit
bd_ctl_explain (const struct bd_ctl_options *options)
{
  struct bd_request_trace *trace = read_trace (options);
  struct bd_buffer text = { 0 };
  json_t *json_lines = options->json ? json_array () : NULL;
  int rc = trace ? bd_request_trace_explain (trace, &text) : BD_ERR_NOT_FOUND;
  char *rest = text.data;

  while (rc == BD_OK && rest && *rest)
    {
      size_t length = strcspn (rest, "\n");

      print_line ((struct bd_chunk){ rest, length }, json_lines);
      rest += length + (rest[length] == '\n');
    }
  if (rc == BD_OK)
    print_json_lines (json_lines);
  else
    json_decref (json_lines);
  bd_buffer_clear (&text);
  bd_request_trace_destroy (trace);
  return rc == BD_OK ? BD_CTL_OK : BD_CTL_FAILED;
}

/* Reading from daemons. */

static enum bd_ctl_exit
trace_daemons (const struct bd_ctl_options *options)
{
  char request[BD_ID_HEX_LENGTH + 1];
  char path[64];
  struct bd_id id;
  enum bd_ctl_exit rc;
  size_t count;

  if (bd_id_parse (bd_chunk_of (options->arguments[1]), &id) != BD_OK)
    {
      fputs ("basildockctl: REQUEST-ID takes 32 hex digits\n", stderr);
      return BD_CTL_USAGE;
    }
  bd_id_format (id, request);
  snprintf (path, sizeof path, "/trace?request=%s", request);
  rc = show_lines (options, path, &count);
  if (rc == BD_CTL_OK && count == 0)
    {
      fputs ("basildockctl: no line of this request is kept\n", stderr);
      return BD_CTL_FAILED;
    }
  return rc;
}

enum bd_ctl_exit
bd_ctl_trace (const struct bd_ctl_options *options)
{
  return options->argument_count > 2 ? trace_files (options)
                                     : trace_daemons (options);
}
