/* Exports metrics as Prometheus text and as JSON. */
#include "common/metrics.h"

#include "common/metrics_table.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define METRIC_PREFIX "basildock_"
#define BUCKET_LIMIT_COUNT                                                    \
  (sizeof bucket_limits_us / sizeof bucket_limits_us[0])

static const int64_t bucket_limits_us[]
    = { 1000,    2000,    5000,    10000,    20000,    30000,    50000,
        100000,  200000,  300000,  500000,   800000,   1000000,  1300000,
        2000000, 3000000, 5000000, 10000000, 30000000, 60000000, 300000000 };

struct metric_text
{
  const char *name;
  const char *help;
};

static const struct metric_text counter_texts[] = {
#define TEXT_ROW(id, name, help) { name, help },
  BD_COUNTER_TABLE (TEXT_ROW)
};

static const struct metric_text class_counter_texts[]
    = { BD_CLASS_COUNTER_TABLE (TEXT_ROW) };

static const struct metric_text duration_texts[]
    = { BD_DURATION_TABLE (TEXT_ROW) };

static const char *const direction_names[] = { "received", "sent" };
static const char *const traffic_names[] = { "control", "work" };

static uint64_t
load (const _Atomic uint64_t *counter)
{
  return atomic_load_explicit (counter, memory_order_relaxed);
}

/* Appends a label, with VALUE escaped. */
static int
append_label (struct bd_buffer *b, const char *name, const char *value)
{
  int rc = bd_buffer_printf (b, "%s=\"", name);

  for (const char *c = value; *c && rc == BD_OK; c++)
    {
      if (*c == '"' || *c == '\\')
        rc = bd_buffer_printf (b, "\\%c", *c);
      else if ((unsigned char)*c < 0x20 || *c == 0x7f)
        rc = bd_buffer_printf (b, "?");
      else
        rc = bd_buffer_printf (b, "%c", *c);
    }
  return rc == BD_OK ? bd_buffer_printf (b, "\"") : rc;
}

static int
append_pair_labels (struct bd_buffer *b, const struct bd_class_metrics *pair)
{
  int rc = append_label (b, "workspace", pair->workspace);

  if (rc == BD_OK)
    rc = bd_buffer_printf (b, ",");
  return rc == BD_OK ? append_label (b, "class", pair->class_name) : rc;
}

static int
append_header (struct bd_buffer *b, const char *name, const char *unit,
               const char *help, const char *type)
{
  return bd_buffer_printf (
      b, "# HELP " METRIC_PREFIX "%s%s %s.\n# TYPE " METRIC_PREFIX "%s%s %s\n",
      name, unit, help, name, unit, type);
}

static int
append_counters (struct bd_buffer *b, const struct bd_metrics *m)
{
  int rc = BD_OK;

  for (size_t i = 0; i < BD_COUNTER_COUNT && rc == BD_OK; i++)
    {
      const struct metric_text *t = &counter_texts[i];

      rc = append_header (b, t->name, "_total", t->help, "counter");
      if (rc == BD_OK)
        rc = bd_buffer_printf (b, METRIC_PREFIX "%s_total %llu\n", t->name,
                               (unsigned long long)load (&m->counters[i]));
    }
  return rc;
}

static int
append_refused (struct bd_buffer *b, const struct bd_metrics *m)
{
  int rc = append_header (b, "refused", "_total",
                          "Requests refused, by error kind", "counter");

  for (int e = -1; e > BD_ERR_LIMIT && rc == BD_OK; e--)
    {
      uint64_t n = load (&m->refused[-e]);

      if (n > 0)
        rc = bd_buffer_printf (
            b, METRIC_PREFIX "refused_total{code=\"%s\"} %llu\n",
            bd_error_answer (e)->code, (unsigned long long)n);
    }
  return rc;
}

static int
append_traffic (struct bd_buffer *b, const char *name, const char *help,
                const _Atomic uint64_t counts[2][BD_TRAFFIC_COUNT])
{
  int rc = append_header (b, name, "_total", help, "counter");

  for (size_t i = 0; i < 2; i++)
    for (size_t j = 0; j < BD_TRAFFIC_COUNT && rc == BD_OK; j++)
      rc = bd_buffer_printf (
          b, METRIC_PREFIX "%s_total{direction=\"%s\",traffic=\"%s\"} %llu\n",
          name, direction_names[i], traffic_names[j],
          (unsigned long long)load (&counts[i][j]));
  return rc;
}

static int
append_class_counter (struct bd_buffer *b, size_t counter,
                      const struct bd_metrics_list *list)
{
  const struct metric_text *t = &class_counter_texts[counter];
  char name[64];
  int rc;

  snprintf (name, sizeof name, "class_%s", t->name);
  rc = append_header (b, name, "_total", t->help, "counter");
  for (size_t i = 0; i < list->count && rc == BD_OK; i++)
    {
      rc = bd_buffer_printf (b, METRIC_PREFIX "%s_total{", name);
      if (rc == BD_OK)
        rc = append_pair_labels (b, list->pairs[i]);
      if (rc == BD_OK)
        rc = bd_buffer_printf (
            b, "} %llu\n",
            (unsigned long long)load (&list->pairs[i]->counters[counter]));
    }
  return rc;
}

static int
append_bucket (struct bd_buffer *b, const char *name,
               const struct bd_class_metrics *pair, const char *limit,
               uint64_t count)
{
  int rc = bd_buffer_printf (b, METRIC_PREFIX "%s_seconds_bucket{", name);

  if (rc == BD_OK)
    rc = append_pair_labels (b, pair);
  if (rc != BD_OK)
    return rc;
  return bd_buffer_printf (b, ",le=\"%s\"} %llu\n", limit,
                           (unsigned long long)count);
}

/* Appends the line of a histogram's sum or count (KIND). */
static int
append_summary_line (struct bd_buffer *b, const char *name, const char *kind,
                     const struct bd_class_metrics *pair, const char *value)
{
  int rc = bd_buffer_printf (b, METRIC_PREFIX "%s_seconds_%s{", name, kind);

  if (rc == BD_OK)
    rc = append_pair_labels (b, pair);
  return rc == BD_OK ? bd_buffer_printf (b, "} %s\n", value) : rc;
}

static int
append_duration (struct bd_buffer *b, size_t duration,
                 const struct bd_class_metrics *pair)
{
  const char *name = duration_texts[duration].name;
  const struct bd_histogram *h = pair->durations[duration];
  uint64_t counts[BUCKET_LIMIT_COUNT];
  uint64_t total = bd_histogram_cumulate (h, bucket_limits_us,
                                          BUCKET_LIMIT_COUNT, counts);
  char value[32];
  int rc = BD_OK;

  for (size_t i = 0; i < BUCKET_LIMIT_COUNT && rc == BD_OK; i++)
    {
      snprintf (value, sizeof value, "%g", (double)bucket_limits_us[i] / 1e6);
      rc = append_bucket (b, name, pair, value, counts[i]);
    }
  if (rc == BD_OK)
    rc = append_bucket (b, name, pair, "+Inf", total);
  if (rc == BD_OK)
    {
      snprintf (value, sizeof value, "%.6f",
                (double)bd_histogram_sum_us (h) / 1e6);
      rc = append_summary_line (b, name, "sum", pair, value);
    }
  snprintf (value, sizeof value, "%llu", (unsigned long long)total);
  return rc == BD_OK ? append_summary_line (b, name, "count", pair, value)
                     : rc;
}

static int
append_pairs (struct bd_buffer *b, const struct bd_metrics_list *list)
{
  int rc = BD_OK;

  for (size_t i = 0; i < BD_CLASS_COUNTER_COUNT && rc == BD_OK; i++)
    rc = append_class_counter (b, i, list);
  for (size_t i = 0; i < BD_DURATION_COUNT && rc == BD_OK; i++)
    {
      const struct metric_text *t = &duration_texts[i];

      rc = append_header (b, t->name, "_seconds", t->help, "histogram");
      for (size_t j = 0; j < list->count && rc == BD_OK; j++)
        rc = append_duration (b, i, list->pairs[j]);
    }
  return rc;
}

int
bd_metrics_write_text (const struct bd_metrics *metrics,
                       struct bd_buffer *buffer)
{
  struct bd_metrics_list *list = bd_metrics_list (metrics);
  int rc;

  if (!list)
    return BD_ERR_NOMEM;
  rc = append_counters (buffer, metrics);
  if (rc == BD_OK)
    rc = append_refused (buffer, metrics);
  if (rc == BD_OK)
    rc = append_traffic (buffer, "messages", "Messages between daemons",
                         metrics->messages);
  if (rc == BD_OK)
    rc = append_traffic (buffer, "message_bytes",
                         "Bytes of messages between daemons", metrics->bytes);
  if (rc == BD_OK)
    rc = append_pairs (buffer, list);
  free (list);
  return rc;
}

static json_t *
json_of_text (const char *text)
{
  json_t *string = json_string (text);

  return string ? string : json_string ("?");
}

static json_t *
json_of_counters (const struct metric_text *texts,
                  const _Atomic uint64_t *counters, size_t count)
{
  json_t *object = json_object ();

  for (size_t i = 0; i < count; i++)
    json_object_set_new (object, texts[i].name,
                         json_integer ((json_int_t)load (&counters[i])));
  return object;
}

static json_t *
json_of_refused (const struct bd_metrics *m)
{
  json_t *object = json_object ();

  for (int e = -1; e > BD_ERR_LIMIT; e--)
    if (load (&m->refused[-e]) > 0)
      json_object_set_new (object, bd_error_answer (e)->code,
                           json_integer ((json_int_t)load (&m->refused[-e])));
  return object;
}

static json_t *
json_of_traffic (const struct bd_metrics *m)
{
  json_t *object = json_object ();

  for (size_t i = 0; i < 2; i++)
    for (size_t j = 0; j < BD_TRAFFIC_COUNT; j++)
      {
        char name[64];

        snprintf (name, sizeof name, "%s_%s", traffic_names[j],
                  direction_names[i]);
        json_object_set_new (object, name,
                             json_pack ("{s:I, s:I}", "messages",
                                        (json_int_t)load (&m->messages[i][j]),
                                        "bytes",
                                        (json_int_t)load (&m->bytes[i][j])));
      }
  return object;
}

static json_t *
json_of_duration (const struct bd_histogram *h)
{
  uint64_t counts[BUCKET_LIMIT_COUNT];
  uint64_t total = bd_histogram_cumulate (h, bucket_limits_us,
                                          BUCKET_LIMIT_COUNT, counts);
  json_t *buckets = json_array ();

  for (size_t i = 0; i < BUCKET_LIMIT_COUNT; i++)
    json_array_append_new (buckets,
                           json_pack ("{s:I, s:I}", "le_us",
                                      (json_int_t)bucket_limits_us[i], "count",
                                      (json_int_t)counts[i]));
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:o}", "count", (json_int_t)total, "sum_us",
      (json_int_t)bd_histogram_sum_us (h), "p50_us",
      (json_int_t)bd_histogram_quantile (h, 0.5), "p95_us",
      (json_int_t)bd_histogram_quantile (h, 0.95), "p99_us",
      (json_int_t)bd_histogram_quantile (h, 0.99), "buckets", buckets);
}

static json_t *
json_of_pair (const struct bd_class_metrics *pair)
{
  json_t *durations = json_object ();

  for (size_t i = 0; i < BD_DURATION_COUNT; i++)
    json_object_set_new (durations, duration_texts[i].name,
                         json_of_duration (pair->durations[i]));
  return json_pack ("{s:o, s:o, s:o, s:o}", "workspace",
                    json_of_text (pair->workspace), "class",
                    json_of_text (pair->class_name), "counters",
                    json_of_counters (class_counter_texts, pair->counters,
                                      BD_CLASS_COUNTER_COUNT),
                    "durations", durations);
}

static json_t *
json_of_pairs (const struct bd_metrics *metrics)
{
  struct bd_metrics_list *list = bd_metrics_list (metrics);
  json_t *array = json_array ();

  for (size_t i = 0; list && i < list->count; i++)
    json_array_append_new (array, json_of_pair (list->pairs[i]));
  free (list);
  return array;
}

int
bd_metrics_write_json (const struct bd_metrics *metrics,
                       struct bd_buffer *buffer)
{
  json_t *root = json_pack (
      "{s:o, s:o, s:o, s:o}", "counters",
      json_of_counters (counter_texts, metrics->counters, BD_COUNTER_COUNT),
      "refused", json_of_refused (metrics), "messages",
      json_of_traffic (metrics), "classes", json_of_pairs (metrics));
  char *text = root ? json_dumps (root, JSON_COMPACT) : NULL;
  int rc = BD_ERR_NOMEM;

  if (text)
    rc = bd_buffer_append (buffer, bd_chunk_of (text));
  free (text);
  json_decref (root);
  return rc;
}
