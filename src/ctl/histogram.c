#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BAR_COLUMNS 40
#define DURATION_TEXT_BYTES 32

static const char *const duration_names[]
    = { "first_token", "token_gap", "whole", "queue_wait" };

static bool
is_duration_name (const char *name)
{
  for (size_t i = 0; i < sizeof duration_names / sizeof duration_names[0]; i++)
    if (strcmp (duration_names[i], name) == 0)
      return true;
  return false;
}

static const char *
format_duration (json_int_t us, char text[DURATION_TEXT_BYTES])
{
  if (us < 1000)
    snprintf (text, DURATION_TEXT_BYTES, "%lld us", (long long)us);
  else if (us < 1000000)
    snprintf (text, DURATION_TEXT_BYTES, "%.3g ms", (double)us / 1e3);
  else
    snprintf (text, DURATION_TEXT_BYTES, "%.4g s", (double)us / 1e6);
  return text;
}

static json_int_t
get_number (const json_t *object, const char *key)
{
  json_int_t n = json_integer_value (json_object_get (object, key));

  return n > 0 ? n : 0;
}

/* Returns the number of values in bucket I.  The buckets of the JSON are
   cumulative; the one after the last has the values above all limits. */
static json_int_t
bucket_count (const json_t *duration, size_t i)
{
  const json_t *buckets = json_object_get (duration, "buckets");
  size_t count = json_array_size (buckets);
  json_int_t cumulative
      = i < count ? get_number (json_array_get (buckets, i), "count")
                  : get_number (duration, "count");
  json_int_t below
      = i > 0 ? get_number (json_array_get (buckets, i - 1), "count") : 0;

  return cumulative > below ? cumulative - below : 0;
}

static void
print_bar (const json_t *duration, size_t i, json_int_t largest)
{
  const json_t *buckets = json_object_get (duration, "buckets");
  size_t count = json_array_size (buckets);
  json_int_t n = bucket_count (duration, i);
  int columns = (int)((double)n / (double)largest * BAR_COLUMNS);
  char limit_text[DURATION_TEXT_BYTES];

  if (n > 0 && columns == 0)
    columns = 1;
  if (i < count)
    format_duration (get_number (json_array_get (buckets, i), "le_us"),
                     limit_text);
  else
    snprintf (limit_text, sizeof limit_text, "more");
  printf ("  %s %8s |", i < count ? "<=" : "  ", limit_text);
  for (int c = 0; c < BAR_COLUMNS; c++)
    putchar (c < columns ? '#' : ' ');
  printf (" %lld\n", (long long)n);
}

/* Prints one bar for each bucket, without the empty buckets at both ends. */
static void
print_bars (const json_t *duration)
{
  size_t count = json_array_size (json_object_get (duration, "buckets")) + 1;
  json_int_t largest = 0;
  size_t first_shown = count;
  size_t last_shown = 0;

  for (size_t i = 0; i < count; i++)
    {
      json_int_t n = bucket_count (duration, i);

      if (n == 0)
        continue;
      if (first_shown == count)
        first_shown = i;
      last_shown = i;
      if (n > largest)
        largest = n;
    }
  for (size_t i = first_shown; i < count && i <= last_shown; i++)
    print_bar (duration, i, largest);
}

static void
print_name (const json_t *object, const char *key)
{
  const char *name = json_string_value (json_object_get (object, key));

  bd_ctl_print_text (bd_chunk_of (name ? name : "?"));
}

static void
print_class (const json_t *class_metrics, const char *duration_name)
{
  const json_t *duration = json_object_get (
      json_object_get (class_metrics, "durations"), duration_name);
  char percentiles[3][DURATION_TEXT_BYTES];

  print_name (class_metrics, "workspace");
  putchar (' ');
  print_name (class_metrics, "class");
  printf (" %s: count %lld, p50 %s, p95 %s, p99 %s\n", duration_name,
          (long long)get_number (duration, "count"),
          format_duration (get_number (duration, "p50_us"), percentiles[0]),
          format_duration (get_number (duration, "p95_us"), percentiles[1]),
          format_duration (get_number (duration, "p99_us"), percentiles[2]));
  print_bars (duration);
}

static bool
matches (const json_t *class_metrics, const char *key, const char *wanted_name)
{
  const char *name = json_string_value (json_object_get (class_metrics, key));

  return !wanted_name || (name && strcmp (name, wanted_name) == 0);
}

static bool
has_values (const json_t *class_metrics, const char *duration_name)
{
  return get_number (
             json_object_get (json_object_get (class_metrics, "durations"),
                              duration_name),
             "count")
         > 0;
}

/* Removes the classes that the options exclude or that have no values, and
   returns the remaining array. */
static json_t *
select_classes (const json_t *root, const struct bd_ctl_options *options)
{
  json_t *classes = json_object_get (root, "classes");

  for (size_t i = json_array_size (classes); i > 0; i--)
    {
      const json_t *class_metrics = json_array_get (classes, i - 1);

      if (!matches (class_metrics, "workspace", options->workspace)
          || !matches (class_metrics, "class", options->class_name)
          || !has_values (class_metrics, options->duration_name))
        json_array_remove (classes, i - 1);
    }
  return classes;
}

static void
print_daemon (const char *address, const json_t *classes,
              const struct bd_ctl_options *options)
{
  size_t i;
  json_t *class_metrics;

  if (options->address_count > 1)
    printf ("== %s\n", address);
  if (json_array_size (classes) == 0)
    puts ("nothing measured");
  json_array_foreach (classes, i, class_metrics)
  {
    print_class (class_metrics, options->duration_name);
  }
}

enum bd_ctl_exit
bd_ctl_histogram (const struct bd_ctl_options *options)
{
  enum bd_ctl_exit rc = BD_CTL_OK;
  json_t *by_address;

  if (!is_duration_name (options->duration_name))
    {
      fputs ("basildockctl: --duration takes first_token, token_gap, whole "
             "or queue_wait\n",
             stderr);
      return BD_CTL_USAGE;
    }
  by_address = json_object ();
  for (size_t i = 0; i < options->address_count; i++)
    {
      const char *address = options->addresses[i];
      json_t *root;
      json_t *classes;

      rc = bd_ctl_worst_exit (
          rc, bd_ctl_fetch (address, "/metrics.json", false, &root));
      if (!root)
        continue;
      classes = select_classes (root, options);
      if (options->json)
        json_object_set (by_address, address, classes);
      else
        print_daemon (address, classes, options);
      json_decref (root);
    }
  if (options->json)
    bd_ctl_print_json (by_address);
  json_decref (by_address);
  return rc;
}
