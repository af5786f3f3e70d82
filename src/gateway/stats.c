#include "gateway/stats.h"

#include "common/histogram.h"

#include <inttypes.h>
#include <stdlib.h>

struct bd_stats
{
  uint64_t counts[BD_STAT_COUNT];
  int64_t gauges[BD_GAUGE_COUNT];
  uint64_t refused[-BD_ERR_LIMIT]; /* Indexed by the error code, negated. */
  uint64_t failed[-BD_ERR_LIMIT];
  struct bd_histogram *response_time;
};

struct row
{
  const char *name;
  const char *help;
};

static const struct row stat_rows[] = {
#define ROW(id, name, help) { name, help },
  BD_STAT_TABLE (ROW)
};

static const struct row gauge_rows[] = { BD_GAUGE_TABLE (ROW) };
#undef ROW

/* Upper bounds of the histogram's buckets, in microseconds. */
static const int64_t bucket_limits_us[]
    = { 10000,  20000,   50000,   100000,  200000,  300000,  500000,
        800000, 1200000, 2000000, 4000000, 8000000, 15000000 };

#define BUCKET_COUNT (sizeof bucket_limits_us / sizeof bucket_limits_us[0])

struct bd_stats *
bd_stats_create (void)
{
  struct bd_stats *stats = calloc (1, sizeof *stats);

  if (!stats)
    return NULL;
  stats->response_time = bd_histogram_create ();
  if (!stats->response_time)
    {
      free (stats);
      return NULL;
    }
  return stats;
}

void
bd_stats_destroy (struct bd_stats *stats)
{
  if (!stats)
    return;
  bd_histogram_destroy (stats->response_time);
  free (stats);
}

void
bd_stats_count (struct bd_stats *stats, enum bd_stat stat, uint64_t n)
{
  stats->counts[stat] += n;
}

/* Returns the index of ERROR; unknown codes count as internal errors. */
static size_t
code_index (int error)
{
  return (size_t)(error < 0 && error > BD_ERR_LIMIT ? -error
                                                    : -BD_ERR_INTERNAL);
}

void
bd_stats_refused (struct bd_stats *stats, int error)
{
  stats->counts[BD_STAT_REFUSED]++;
  stats->refused[code_index (error)]++;
}

void
bd_stats_failed (struct bd_stats *stats, int error)
{
  stats->counts[BD_STAT_FAILED]++;
  stats->failed[code_index (error)]++;
}

void
bd_stats_set (struct bd_stats *stats, enum bd_gauge gauge, int64_t value)
{
  stats->gauges[gauge] = value;
}

void
bd_stats_add_response_time (struct bd_stats *stats, int64_t time_us)
{
  bd_histogram_add (stats->response_time, time_us);
}

static void
write_by_code (const uint64_t *kinds, const char *name, struct bd_buffer *out)
{
  bd_buffer_printf (out, "# TYPE basildock_%s_by_code_total counter\n", name);
  for (int i = 1; i < -BD_ERR_LIMIT; i++)
    if (kinds[i] > 0)
      bd_buffer_printf (
          out, "basildock_%s_by_code_total{code=\"%s\"} %" PRIu64 "\n", name,
          bd_error_answer (-i)->code, kinds[i]);
}

int
bd_stats_write (const struct bd_stats *stats, struct bd_buffer *out)
{
  uint64_t counts[BUCKET_COUNT];
  uint64_t total;

  for (size_t i = 0; i < BD_STAT_COUNT; i++)
    bd_buffer_printf (out,
                      "# HELP basildock_%s_total %s.\n"
                      "# TYPE basildock_%s_total counter\n"
                      "basildock_%s_total %" PRIu64 "\n",
                      stat_rows[i].name, stat_rows[i].help, stat_rows[i].name,
                      stat_rows[i].name, stats->counts[i]);
  for (size_t i = 0; i < BD_GAUGE_COUNT; i++)
    bd_buffer_printf (out,
                      "# HELP basildock_%s %s.\n"
                      "# TYPE basildock_%s gauge\nbasildock_%s %" PRId64 "\n",
                      gauge_rows[i].name, gauge_rows[i].help,
                      gauge_rows[i].name, gauge_rows[i].name,
                      stats->gauges[i]);
  write_by_code (stats->refused, "refused", out);
  write_by_code (stats->failed, "failed", out);
  total = bd_histogram_cumulate (stats->response_time, bucket_limits_us,
                                 BUCKET_COUNT, counts);
  bd_buffer_printf (out, "# TYPE basildock_answer_seconds histogram\n");
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    bd_buffer_printf (
        out, "basildock_answer_seconds_bucket{le=\"%g\"} %" PRIu64 "\n",
        (double)bucket_limits_us[i] / 1e6, counts[i]);
  return bd_buffer_printf (
      out,
      "basildock_answer_seconds_bucket{le=\"+Inf\"} %" PRIu64
      "\nbasildock_answer_seconds_sum %g\n"
      "basildock_answer_seconds_count %" PRIu64 "\n",
      total, (double)bd_histogram_sum_us (stats->response_time) / 1e6, total);
}
