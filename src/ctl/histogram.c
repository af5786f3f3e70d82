#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BAR_COLUMNS 40
#define TIME_BYTES 32

static const char *const duration_names[]
    = { "first_token", "token_gap", "whole", "queue_wait" };

static bool
is_duration (const char *name)
{
  for (size_t i = 0; i < sizeof duration_names / sizeof duration_names[0]; i++)
    if (strcmp (duration_names[i], name) == 0)
      return true;
  return false;
}

static const char *
format_time (json_int_t us, char text[TIME_BYTES])
{
  if (us < 1000)
    snprintf (text, TIME_BYTES, "%lld us", (long long)us);
  else if (us < 1000000)
    snprintf (text, TIME_BYTES, "%.3g ms", (double)us / 1e3);
  else
    snprintf (text, TIME_BYTES, "%.4g s", (double)us / 1e6);
  return text;
}

static json_int_t
number (const json_t *object, const char *key)
{
  json_int_t n = json_integer_value (json_object_get (object, key));

  return n > 0 ? n : 0;
}

/* Values in bucket I alone; the last is what lies above all limits. */
static json_int_t
values_in (const json_t *duration, size_t i)
{
  const json_t *buckets = json_object_get (duration, "buckets");
  size_t count = json_array_size (buckets);
  json_int_t upto = i < count ? number (json_array_get (buckets, i), "count")
                              : number (duration, "count");
  json_int_t below
      = i > 0 ? number (json_array_get (buckets, i - 1), "count") : 0;

  return upto > below ? upto - below : 0;
}

static void
print_bar (const json_t *duration, size_t i, json_int_t largest)
{
  const json_t *buckets = json_object_get (duration, "buckets");
  size_t count = json_array_size (buckets);
  json_int_t n = values_in (duration, i);
  int columns = (int)((double)n / (double)largest * BAR_COLUMNS);
  char limit[TIME_BYTES];

  if (n > 0 && columns == 0)
    columns = 1;
  if (i < count)
    format_time (number (json_array_get (buckets, i), "le_us"), limit);
  else
    snprintf (limit, sizeof limit, "more");
  printf ("  %s %8s |", i < count ? "<=" : "  ", limit);
  for (int c = 0; c < BAR_COLUMNS; c++)
    putchar (c < columns ? '#' : ' ');
  printf (" %lld\n", (long long)n);
}

/* Leaves out the empty buckets at both ends. */
static void
print_bars (const json_t *duration)
{
  size_t count = json_array_size (json_object_get (duration, "buckets")) + 1;
  json_int_t largest = 0;
  size_t first = count;
  size_t last = 0;

  for (size_t i = 0; i < count; i++)
    {
      json_int_t n = values_in (duration, i);

      if (n == 0)
        continue;
      if (first == count)
        first = i;
      last = i;
      if (n > largest)
        largest = n;
    }
  for (size_t i = first; i < count && i <= last; i++)
    print_bar (duration, i, largest);
}

static void
print_name (const json_t *object, const char *key)
{
  const char *name = json_string_value (json_object_get (object, key));

  bd_ctl_print_text (bd_chunk_of (name ? name : "?"));
}

static void
print_class (const json_t *item, const char *duration_name)
{
  const json_t *duration
      = json_object_get (json_object_get (item, "durations"), duration_name);
  char times[3][TIME_BYTES];

  print_name (item, "workspace");
  putchar (' ');
  print_name (item, "class");
  printf (" %s: count %lld, p50 %s, p95 %s, p99 %s\n", duration_name,
          (long long)number (duration, "count"),
          format_time (number (duration, "p50_us"), times[0]),
          format_time (number (duration, "p95_us"), times[1]),
          format_time (number (duration, "p99_us"), times[2]));
  print_bars (duration);
}

static bool
is_wanted (const json_t *item, const char *key, const char *wanted)
{
  const char *name = json_string_value (json_object_get (item, key));

  return !wanted || (name && strcmp (name, wanted) == 0);
}

static bool
has_values (const json_t *item, const char *duration_name)
{
  return number (json_object_get (json_object_get (item, "durations"),
                                  duration_name),
                 "count")
         > 0;
}

/* Removes the classes that are not asked for or have nothing to show. */
static json_t *
select_classes (const json_t *root, const struct bd_ctl_options *options)
{
  json_t *classes = json_object_get (root, "classes");

  for (size_t i = json_array_size (classes); i > 0; i--)
    {
      const json_t *item = json_array_get (classes, i - 1);

      if (!is_wanted (item, "workspace", options->workspace)
          || !is_wanted (item, "class", options->class_name)
          || !has_values (item, options->duration))
        json_array_remove (classes, i - 1);
    }
  return classes;
}

static void
print_daemon (const char *address, const json_t *classes,
              const struct bd_ctl_options *options)
{
  size_t i;
  json_t *item;

  if (options->address_count > 1)
    printf ("== %s\n", address);
  if (json_array_size (classes) == 0)
    puts ("nothing measured");
  json_array_foreach (classes, i, item)
  {
    print_class (item, options->duration);
  }
}

enum bd_ctl_exit
bd_ctl_histogram (const struct bd_ctl_options *options)
{
  enum bd_ctl_exit rc = BD_CTL_OK;
  json_t *all;

  if (!is_duration (options->duration))
    {
      fputs ("basildockctl: --duration takes first_token, token_gap, whole "
             "or queue_wait\n",
             stderr);
      return BD_CTL_USAGE;
    }
  all = json_object ();
  for (size_t i = 0; i < options->address_count; i++)
    {
      const char *address = options->addresses[i];
      json_t *root;
      json_t *classes;

      rc = bd_ctl_worse (
          rc, bd_ctl_fetch (address, "/metrics.json", false, &root));
      if (!root)
        continue;
      classes = select_classes (root, options);
      if (options->json)
        json_object_set (all, address, classes);
      else
        print_daemon (address, classes, options);
      json_decref (root);
    }
  if (options->json)
    bd_ctl_print_json (all);
  json_decref (all);
  return rc;
}
