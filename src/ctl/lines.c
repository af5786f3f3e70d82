/* Commands that show log lines of several daemons: events, trace, explain. */
#include "ctl/ctl.h"

#include "ctl/story.h"

#include <errno.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* "2026-12-03T23:00:00.000Z" */
#define TIME_LENGTH 24
/* Longest identifier of a request. */
#define REQUEST_MAX_BYTES 128

struct line
{
  const char *text;
  size_t number; /* In the order of arrival. */
};

struct line_list
{
  size_t count;
  struct line *lines;
};

/* Orders by time; lines of the same time stay as they came. */
static int
compare_lines (const void *a, const void *b)
{
  const struct line *x = a;
  const struct line *y = b;
  int order = strncmp (x->text, y->text, TIME_LENGTH);

  if (order != 0)
    return order;
  return (x->number > y->number) - (x->number < y->number);
}

static enum bd_ctl_exit
fetch_lines (const struct bd_ctl_options *options, const char *path,
             json_t *all)
{
  enum bd_ctl_exit rc = BD_CTL_OK;

  for (size_t i = 0; i < options->address_count; i++)
    {
      json_t *root;

      rc = bd_ctl_worse (
          rc, bd_ctl_fetch (options->addresses[i], path, false, &root));
      if (root)
        json_array_extend (all, json_object_get (root, "lines"));
      json_decref (root);
    }
  return rc;
}

static struct line_list
sort_lines (const json_t *all, int last)
{
  struct line_list list = { 0 };
  size_t i;
  json_t *line;

  list.lines = calloc (json_array_size (all) + 1, sizeof *list.lines);
  if (!list.lines)
    return list;
  json_array_foreach (all, i, line)
  {
    if (!json_is_string (line))
      continue;
    list.lines[list.count] = (struct line){ json_string_value (line), i };
    list.count++;
  }
  qsort (list.lines, list.count, sizeof *list.lines, compare_lines);
  if (last > 0 && list.count > (size_t)last)
    {
      memmove (list.lines, list.lines + list.count - (size_t)last,
               (size_t)last * sizeof *list.lines);
      list.count = (size_t)last;
    }
  return list;
}

/* Prints {"lines": ARRAY}, unless ARRAY is NULL, and releases it. */
static void
print_array (json_t *array)
{
  json_t *root;

  if (!array)
    return;
  root = json_pack ("{s:o}", "lines", array);
  bd_ctl_print_json (root);
  json_decref (root);
}

/* Prints one line, or adds it to ARRAY unless that is NULL. */
static void
print_line (struct bd_chunk line, json_t *array)
{
  if (array)
    json_array_append_new (array,
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
  json_t *array = json ? json_array () : NULL;

  for (size_t i = 0; i < list->count; i++)
    print_line (bd_chunk_of (list->lines[i].text), array);
  print_array (array);
}

/* *COUNT is the number of lines shown. */
static enum bd_ctl_exit
show_lines (const struct bd_ctl_options *options, const char *path,
            size_t *count)
{
  json_t *all = json_array ();
  enum bd_ctl_exit rc = fetch_lines (options, path, all);
  struct line_list list = sort_lines (all, options->last);

  print_lines (&list, options->json);
  *count = list.count;
  free (list.lines);
  json_decref (all);
  return rc;
}

enum bd_ctl_exit
bd_ctl_events (const struct bd_ctl_options *options)
{
  size_t count;

  return show_lines (options, "/events", &count);
}

/* Log files. */

static enum bd_ctl_exit
read_file (struct bd_story *story, const char *name)
{
  bool is_input = strcmp (name, "-") == 0;
  FILE *file = is_input ? stdin : fopen (name, "r");
  int rc = file ? bd_story_read (story, file) : BD_ERR_IO;

  if (rc != BD_OK)
    fprintf (stderr, "basildockctl: %s: %s\n", name,
             rc == BD_ERR_IO ? strerror (errno) : bd_error_answer (rc)->text);
  if (file && !is_input)
    fclose (file);
  return rc == BD_OK ? BD_CTL_OK : BD_CTL_BAD;
}

/* The story of argument 1 by the files that follow it; NULL: it was told on
   standard error why not. */
static struct bd_story *
read_story (const struct bd_ctl_options *options)
{
  const char *request = options->arguments[1];
  struct bd_story *story;

  if (request[0] == '\0' || strlen (request) > REQUEST_MAX_BYTES
      || strpbrk (request, "\"\\ "))
    {
      fputs ("basildockctl: REQUEST-ID has no spaces, quotes or backslashes\n",
             stderr);
      return NULL;
    }
  story = bd_story_create (bd_chunk_of (request));
  for (size_t i = 2; story && i < options->argument_count; i++)
    if (read_file (story, options->arguments[i]) != BD_CTL_OK)
      {
        bd_story_destroy (story);
        return NULL;
      }
  if (story && bd_story_finish (story) == 0)
    {
      fputs ("basildockctl: no line of this request was read\n", stderr);
      bd_story_destroy (story);
      return NULL;
    }
  return story;
}

static enum bd_ctl_exit
trace_files (const struct bd_ctl_options *options)
{
  struct bd_story *story = read_story (options);
  const struct bd_story_line *lines;
  json_t *array;
  size_t count;
  size_t first = 0;

  if (!story)
    return BD_CTL_BAD;
  array = options->json ? json_array () : NULL;
  lines = bd_story_lines (story, &count);
  if (options->last > 0 && count > (size_t)options->last)
    first = count - (size_t)options->last;
  for (size_t i = first; i < count; i++)
    print_line (lines[i].text, array);
  print_array (array);
  bd_story_destroy (story);
  return BD_CTL_OK;
}

enum bd_ctl_exit
bd_ctl_explain (const struct bd_ctl_options *options)
{
  struct bd_story *story = read_story (options);
  struct bd_buffer text = { 0 };
  json_t *array = options->json ? json_array () : NULL;
  int rc = story ? bd_story_explain (story, &text) : BD_ERR_NOT_FOUND;
  char *rest = text.data;

  while (rc == BD_OK && rest && *rest)
    {
      size_t length = strcspn (rest, "\n");

      print_line ((struct bd_chunk){ rest, length }, array);
      rest += length + (rest[length] == '\n');
    }
  if (rc == BD_OK)
    print_array (array);
  else
    json_decref (array);
  bd_buffer_clear (&text);
  bd_story_destroy (story);
  return rc == BD_OK ? BD_CTL_OK : BD_CTL_BAD;
}

/* Daemons. */

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
      return BD_CTL_BAD;
    }
  return rc;
}

enum bd_ctl_exit
bd_ctl_trace (const struct bd_ctl_options *options)
{
  return options->argument_count > 2 ? trace_files (options)
                                     : trace_daemons (options);
}
