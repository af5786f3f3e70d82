/* Commands that show log lines of several daemons: events, trace. */
#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* "2026-12-03T23:00:00.000Z" */
#define TIME_LENGTH 24

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

static void
print_lines (const struct line_list *list, bool json)
{
  json_t *array = json_array ();
  json_t *root = json_pack ("{s:o}", "lines", array);

  for (size_t i = 0; i < list->count; i++)
    {
      if (json)
        {
          json_array_append_new (array, json_string (list->lines[i].text));
          continue;
        }
      bd_ctl_print_text (bd_chunk_of (list->lines[i].text));
      putchar ('\n');
    }
  if (json)
    bd_ctl_print_json (root);
  json_decref (root);
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

enum bd_ctl_exit
bd_ctl_trace (const struct bd_ctl_options *options)
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
