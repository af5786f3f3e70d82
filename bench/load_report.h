/**
 * @file load_report.h
 * Outcomes and latencies of each class, as a table and as one JSON line.
 * Included once, by bench_load.c.
 */
#ifndef BENCH_LOAD_REPORT_H
#define BENCH_LOAD_REPORT_H

#include "load_plan.h"

#define WINDOW_US 10000000
#define WINDOWS_MAX 64
#define CODES_MAX 24

enum outcome
{
  OUTCOME_WHOLE,
  OUTCOME_REFUSED, /* Error response before any output. */
  OUTCOME_BROKEN,  /* Response began but did not complete. */
  OUTCOME_WRONG,   /* Response completed with a wrong text. */
  OUTCOME_LOST,    /* No response, or none before the run ended. */
  OUTCOME_COUNT
};

static const char *const outcome_names[OUTCOME_COUNT]
    = { "whole", "refused", "broken", "wrong", "lost" };

/* Growable list of latencies in microseconds. */
struct samples
{
  int64_t *list;
  size_t count;
  size_t capacity;
};

struct code_count
{
  char code[48];
  long count;
};

struct class_report
{
  long sent;
  long outcomes[OUTCOME_COUNT];
  long attained; /* Whole and within the latency objectives. */
  long replays;
  long tokens; /* Tokens of whole answers, without replays. */
  long attained_tokens;
  long window_completed[WINDOWS_MAX];
  long window_sent[WINDOWS_MAX];
  struct code_count codes[CODES_MAX];
  size_t code_count;
  struct samples first_token;
  struct samples gaps;
};

static void
add_sample (struct samples *s, int64_t us)
{
  if (s->count == s->capacity)
    {
      size_t capacity = s->capacity > 0 ? s->capacity * 2 : 1024;
      int64_t *list = realloc (s->list, capacity * sizeof *list);

      if (!list)
        return;
      s->list = list;
      s->capacity = capacity;
    }
  s->list[s->count++] = us;
}

static int
compare_samples (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Returns quantile P in milliseconds; the samples must be sorted. */
static double
percentile (const struct samples *s, double p)
{
  size_t at = (size_t)(p * (double)s->count);

  if (s->count == 0)
    return 0;
  return (double)s->list[at < s->count ? at : s->count - 1] / 1000.0;
}

static void
count_code (struct class_report *r, const char *code)
{
  size_t i = 0;

  while (i < r->code_count && strcmp (r->codes[i].code, code) != 0)
    i++;
  if (i == CODES_MAX)
    return;
  if (i == r->code_count)
    snprintf (r->codes[r->code_count++].code, sizeof r->codes[i].code, "%s",
              code);
  r->codes[i].count++;
}

static void
count_window (long *windows, int64_t at_us)
{
  int64_t window = at_us / WINDOW_US;

  if (window >= 0 && window < WINDOWS_MAX)
    windows[window]++;
}

/* Counts the windows in which requests were sent and none completed. */
static int
idle_windows (const struct class_report *r)
{
  int idle = 0;

  for (int i = 0; i < WINDOWS_MAX; i++)
    if (r->window_sent[i] > 0 && r->window_completed[i] == 0)
      idle++;
  return idle;
}

static double
share (long part, long whole)
{
  return whole > 0 ? (double)part / (double)whole : 0;
}

static json_t *
class_json (const struct class_report *r, double seconds)
{
  json_t *codes = json_object ();
  json_t *out = json_object ();

  for (size_t i = 0; i < r->code_count; i++)
    json_object_set_new (codes, r->codes[i].code,
                         json_integer (r->codes[i].count));
  json_object_set_new (out, "sent", json_integer (r->sent));
  for (int i = 0; i < OUTCOME_COUNT; i++)
    json_object_set_new (out, outcome_names[i], json_integer (r->outcomes[i]));
  json_object_set_new (out, "replays", json_integer (r->replays));
  json_object_set_new (out, "codes", codes);
  json_object_set_new (out, "attainment",
                       json_real (share (r->attained, r->sent)));
  json_object_set_new (out, "goodput_per_s",
                       json_real ((double)r->attained / seconds));
  json_object_set_new (out, "goodput_tokens_per_s",
                       json_real ((double)r->attained_tokens / seconds));
  json_object_set_new (out, "tokens_delivered", json_integer (r->tokens));
  json_object_set_new (out, "idle_windows", json_integer (idle_windows (r)));
  json_object_set_new (out, "first_token_p50_ms",
                       json_real (percentile (&r->first_token, 0.5)));
  json_object_set_new (out, "first_token_p99_ms",
                       json_real (percentile (&r->first_token, 0.99)));
  json_object_set_new (out, "gap_p50_ms",
                       json_real (percentile (&r->gaps, 0.5)));
  json_object_set_new (out, "gap_p99_ms",
                       json_real (percentile (&r->gaps, 0.99)));
  return out;
}

static void
print_row (const char *name, const struct class_report *r, double seconds)
{
  printf ("%-12s %6ld %6ld %7ld %6ld %5ld %4ld  %6.3f %9.1f %9.1f %9.1f "
          "%7.1f %7.1f %5d\n",
          name, r->sent, r->outcomes[OUTCOME_WHOLE],
          r->outcomes[OUTCOME_REFUSED], r->outcomes[OUTCOME_BROKEN],
          r->outcomes[OUTCOME_WRONG], r->outcomes[OUTCOME_LOST],
          share (r->attained, r->sent), (double)r->attained / seconds,
          percentile (&r->first_token, 0.5),
          percentile (&r->first_token, 0.99), percentile (&r->gaps, 0.5),
          percentile (&r->gaps, 0.99), idle_windows (r));
  for (size_t i = 0; i < r->code_count; i++)
    printf ("  %s: %ld\n", r->codes[i].code, r->codes[i].count);
}

static void
print_report (const struct plan *plan, struct class_report *reports,
              const char *label)
{
  double seconds = (double)plan->duration_us / 1e6;
  json_t *root = json_pack ("{s:s,s:I}", "label", label, "seed",
                            (json_int_t)plan->seed);
  json_t *classes = json_object ();
  char *line;

  printf ("%-12s %6s %6s %7s %6s %5s %4s  %6s %9s %9s %9s %7s %7s %5s\n",
          "class", "sent", "whole", "refused", "broken", "wrong", "lost",
          "attain", "goodput/s", "ttft p50", "ttft p99", "gap p50", "gap p99",
          "idle");
  for (size_t i = 0; i < plan->class_count; i++)
    {
      struct class_report *r = &reports[i];

      if (r->first_token.count > 0)
        qsort (r->first_token.list, r->first_token.count, sizeof (int64_t),
               compare_samples);
      if (r->gaps.count > 0)
        qsort (r->gaps.list, r->gaps.count, sizeof (int64_t), compare_samples);
      print_row (plan->classes[i].name, r, seconds);
      json_object_set_new (classes, plan->classes[i].name,
                           class_json (r, seconds));
    }
  json_object_set_new (root, "classes", classes);
  line = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (6));
  printf ("%s\n", line ? line : "{}");
  free (line);
  json_decref (root);
}

static void
release_reports (const struct plan *plan, struct class_report *reports)
{
  for (size_t i = 0; i < plan->class_count; i++)
    {
      free (reports[i].first_token.list);
      free (reports[i].gaps.list);
    }
}

#endif
