/* Prints text and JSON values that come from daemons or files; characters that
   control a terminal are escaped. */
#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INDENT_COLUMNS 2
#define GAP_COLUMNS 2

/* UTF-8 characters that control a terminal or the text direction: the leading
   bytes, and the range of the last byte. */
static const struct
{
  const char *lead;
  unsigned char last_min;
  unsigned char last_max;
} control_ranges[] = {
  { "\xc2", 0x80, 0x9f },     /* C1 controls. */
  { "\xe2\x80", 0x8b, 0x8f }, /* Zero width and direction marks. */
  { "\xe2\x80", 0xa8, 0xae }, /* Separators, embeddings, overrides. */
  { "\xe2\x81", 0xa0, 0xaf }, /* Invisible operators, isolates. */
  { "\xef\xbb", 0xbf, 0xbf }, /* Byte order mark. */
};

/* Returns the length of the control character at the start of TEXT, or 0. */
static size_t
control_length (struct bd_chunk text)
{
  unsigned char c = (unsigned char)text.data[0];

  if (c < 0x20 || c == 0x7f)
    return 1;
  for (size_t i = 0; i < sizeof control_ranges / sizeof control_ranges[0]; i++)
    {
      size_t n = strlen (control_ranges[i].lead);
      unsigned char last;

      if (text.length <= n
          || memcmp (text.data, control_ranges[i].lead, n) != 0)
        continue;
      last = (unsigned char)text.data[n];
      if (last >= control_ranges[i].last_min
          && last <= control_ranges[i].last_max)
        return n + 1;
    }
  return 0;
}

int
bd_ctl_escape (struct bd_chunk text, struct bd_buffer *buffer)
{
  int rc = BD_OK;
  size_t i = 0;

  while (i < text.length && rc == BD_OK)
    {
      struct bd_chunk rest = { text.data + i, text.length - i };
      size_t control_bytes = control_length (rest);

      for (size_t j = 0; j < control_bytes && rc == BD_OK; j++)
        rc = bd_buffer_printf (buffer, "\\x%02x", (unsigned char)rest.data[j]);
      if (control_bytes == 0)
        rc = bd_buffer_append (buffer, (struct bd_chunk){ rest.data, 1 });
      i += control_bytes > 0 ? control_bytes : 1;
    }
  return rc;
}

void
bd_ctl_print_text (struct bd_chunk text)
{
  struct bd_buffer b = { 0 };

  if (bd_ctl_escape (text, &b) == BD_OK && b.length > 0)
    fwrite (b.data, 1, b.length, stdout);
  bd_buffer_clear (&b);
}

void
bd_ctl_print_json (const json_t *value)
{
  char *text = json_dumps (value, JSON_INDENT (2) | JSON_ENSURE_ASCII
                                      | JSON_ENCODE_ANY);

  puts (text ? text : "null");
  free (text);
}

/* Returns the escaped text of one value, which the caller frees, or NULL. */
static char *
format_cell (const json_t *value)
{
  struct bd_buffer b = { 0 };
  char *dumped;

  if (!value || json_is_null (value))
    return bd_chunk_copy (BD_CHUNK ("-"));
  if (json_is_string (value))
    {
      bd_ctl_escape ((struct bd_chunk){ json_string_value (value),
                                        json_string_length (value) },
                     &b);
      return b.data ? b.data : bd_chunk_copy (BD_CHUNK (""));
    }
  dumped
      = json_dumps (value, JSON_COMPACT | JSON_ENSURE_ASCII | JSON_ENCODE_ANY);
  return dumped;
}

/* Returns the columns that TEXT takes up: one for each UTF-8 character. */
static size_t
text_width (const char *text)
{
  size_t width = 0;

  for (; *text; text++)
    width += ((unsigned char)*text & 0xc0) != 0x80;
  return width;
}

static void
print_padded (const char *text, size_t width)
{
  size_t used = text_width (text);

  fputs (text, stdout);
  for (; used < width; used++)
    putchar (' ');
}

/* A table to be printed: a header row, then a row for each object. */
struct table
{
  size_t columns;
  size_t rows;
  char **cells;
  size_t *widths;
};

static void
set_cell (struct table *table, size_t row, size_t column, char *text)
{
  size_t width;

  table->cells[row * table->columns + column] = text;
  width = text ? text_width (text) : 0;
  if (width > table->widths[column])
    table->widths[column] = width;
}

static void
fill_table (struct table *table, const json_t *array)
{
  json_t *first_object = json_array_get (array, 0);
  const char *key;
  json_t *value;
  size_t column = 0;

  json_object_foreach (first_object, key, value)
  {
    json_t *head = json_string (key);

    set_cell (table, 0, column, format_cell (head));
    json_decref (head);
    for (size_t row = 1; row < table->rows; row++)
      set_cell (table, row, column,
                format_cell (
                    json_object_get (json_array_get (array, row - 1), key)));
    column++;
  }
}

static void
print_rows (const struct table *table, size_t indent)
{
  for (size_t row = 0; row < table->rows; row++)
    {
      printf ("%*s", (int)indent, "");
      for (size_t column = 0; column < table->columns; column++)
        {
          const char *text = table->cells[row * table->columns + column];
          bool last = column + 1 == table->columns;

          print_padded (text ? text : "-",
                        last ? 0 : table->widths[column] + GAP_COLUMNS);
        }
      putchar ('\n');
    }
}

static void
print_table (const json_t *array, size_t indent)
{
  struct table table
      = { .columns = json_object_size (json_array_get (array, 0)),
          .rows = json_array_size (array) + 1 };

  table.cells = calloc (table.columns * table.rows + 1, sizeof (char *));
  table.widths = calloc (table.columns + 1, sizeof (size_t));
  if (table.cells && table.widths)
    {
      fill_table (&table, array);
      print_rows (&table, indent);
      for (size_t i = 0; i < table.columns * table.rows; i++)
        free (table.cells[i]);
    }
  free (table.cells);
  free (table.widths);
}

static bool
fits_in_cell (const json_t *value)
{
  return !json_is_object (value)
         && !(json_is_array (value)
              && json_is_object (json_array_get (value, 0)));
}

/* Whether VALUE is an object whose members are all objects. */
static bool
is_object_map (const json_t *value)
{
  const char *key;
  json_t *member;

  if (json_object_size (value) == 0)
    return false;
  json_object_foreach ((json_t *)value, key, member)
  {
    if (!json_is_object (member))
      return false;
  }
  return true;
}

/* Returns the members of MAP as a new array of rows, with the member's name in
   the column "name". */
static json_t *
rows_of_map (const json_t *map)
{
  json_t *array = json_array ();
  const char *key;
  json_t *member;

  json_object_foreach ((json_t *)map, key, member)
  {
    json_t *row = json_pack ("{s:s}", "name", key);

    json_object_update_missing (row, member);
    json_array_append_new (array, row);
  }
  return array;
}

static void print_object (const json_t *object, size_t indent);

static void
print_nested (const json_t *value, size_t indent)
{
  json_t *rows;

  if (is_object_map (value))
    {
      rows = rows_of_map (value);
      print_table (rows, indent);
      json_decref (rows);
    }
  else if (json_is_object (value))
    print_object (value, indent);
  else
    print_table (value, indent);
}

static void
print_member (const char *key, const json_t *value, size_t width,
              size_t indent)
{
  struct bd_buffer name = { 0 };
  char *cell;

  bd_ctl_escape (bd_chunk_of (key), &name);
  printf ("%*s", (int)indent, "");
  if (fits_in_cell (value))
    {
      cell = format_cell (value);
      print_padded (name.data ? name.data : "", width + GAP_COLUMNS);
      printf ("%s\n", cell ? cell : "-");
      free (cell);
    }
  else
    {
      printf ("%s:\n", name.data ? name.data : "");
      print_nested (value, indent + INDENT_COLUMNS);
    }
  bd_buffer_clear (&name);
}

/* Recursive; the JSON library limits the depth of nesting. */
static void
print_object (const json_t *object, size_t indent)
{
  size_t width = 0;
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    if (fits_in_cell (value) && text_width (key) > width)
      width = text_width (key);
  }
  json_object_foreach ((json_t *)object, key, value)
  {
    print_member (key, value, width, indent);
  }
}

void
bd_ctl_print_value (const json_t *value)
{
  if (json_is_object (value))
    print_object (value, 0);
  else if (!fits_in_cell (value))
    print_table (value, 0);
}
