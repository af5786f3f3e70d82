/**
 * @file bench_core.c
 * Microbenchmarks of the core: time per operation and memory per item at
 * several sizes.
 *
 * Prints one JSON line per row, {"name", "size", "ns", "ns_spread", "bytes"}:
 * the median over ROUNDS and the difference of the extremes.  Then one line
 * per fit, {"fit", "x", "intercept", "slope", "slope_error", "unit"}: a
 * least-squares line through the rows of a name with its standard error.
 */
#include "common/clock.h"
#include "common/string.h"
#include "limits/limiter.h"
#include "placement/placement.h"
#include "common/random.h"
#include "retry/retry.h"
#include "limits/tier_queue.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 7
#define SIZES_MAX 8
#define NAME_BYTES 32
#define QUEUE_WORKSPACES 260
#define QUEUE_CLASSES 4
#define OPERATIONS 200000
#define RUNNERS_MAX 120
#define DEMANDS_MAX 300

/** Rows with the same name. */
struct series
{
  const char *name;
  size_t count;
  double sizes[SIZES_MAX];
  double ns[SIZES_MAX];
  double bytes[SIZES_MAX];
};

static void
die (const char *what)
{
  fprintf (stderr, "bench_core: %s\n", what);
  exit (1);
}

static double
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
add_row (struct series *s, double size, double ns[ROUNDS], double bytes)
{
  qsort (ns, ROUNDS, sizeof *ns, compare_doubles);
  printf ("{\"name\":\"%s\",\"size\":%.0f,\"ns\":%.1f,\"ns_spread\":%.1f,"
          "\"bytes\":%.1f}\n",
          s->name, size, ns[ROUNDS / 2], ns[ROUNDS - 1] - ns[0], bytes);
  s->sizes[s->count] = size;
  s->ns[s->count] = ns[ROUNDS / 2];
  s->bytes[s->count] = bytes;
  s->count++;
}

/** Prints the least-squares line of Y over X. */
static void
print_fit (const char *name, const char *x_name, const char *unit,
           const double *x, const double *y, size_t n)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double residual = 0;
  double slope;
  double intercept;
  double spread;

  for (size_t i = 0; i < n; i++)
    {
      sx += x[i];
      sy += y[i];
      sxx += x[i] * x[i];
      sxy += x[i] * y[i];
    }
  spread = sxx - sx * sx / (double)n;
  slope = (sxy - sx * sy / (double)n) / spread;
  intercept = (sy - slope * sx) / (double)n;
  for (size_t i = 0; i < n; i++)
    {
      double r = y[i] - intercept - slope * x[i];

      residual += r * r;
    }
  printf ("{\"fit\":\"%s\",\"x\":\"%s\",\"intercept\":%.4g,\"slope\":%.4g,"
          "\"slope_error\":%.2g,\"unit\":\"%s\"}\n",
          name, x_name, intercept, slope,
          n > 2 ? sqrt (residual / (double)(n - 2) / spread) : 0.0, unit);
}

static void
fit_ns (const struct series *s)
{
  print_fit (s->name, "size", "ns", s->sizes, s->ns, s->count);
}

static void
fit_ns_by_log (const struct series *s)
{
  double logs[SIZES_MAX];

  for (size_t i = 0; i < s->count; i++)
    logs[i] = log2 (s->sizes[i]);
  print_fit (s->name, "log2(size)", "ns", logs, s->ns, s->count);
}

static void
fit_bytes (const struct series *s)
{
  double total[SIZES_MAX];

  for (size_t i = 0; i < s->count; i++)
    total[i] = s->bytes[i] * s->sizes[i];
  print_fit (s->name, "size", "bytes", s->sizes, total, s->count);
}

static struct bd_queue_item
random_queue_item (uint64_t *random, uint64_t number)
{
  uint64_t workspace = bd_random_below (random, QUEUE_WORKSPACES);
  uint32_t class_number = bd_random_below (random, QUEUE_CLASSES);

  return (struct bd_queue_item){
    .request = { bd_random_next (random), number },
    .tier = (uint8_t)class_number,
    .workspace = workspace,
    .class_hash = workspace * QUEUE_CLASSES + class_number,
    .min_share_permille = class_number == 2 ? 20 : 0,
    .cost = 50 + bd_random_below (random, 2000),
    .bytes = 1000,
    .deadline_ms = bd_random_below (random, 1000000),
  };
}

static struct bd_tier_queue *
filled_queue (size_t size, uint64_t *random, struct bd_queue_item *items)
{
  struct bd_queue_limits limits = { (uint32_t)size + 2, UINT64_MAX, 50 };
  struct bd_tier_queue *q = bd_tier_queue_create (&limits);

  if (!q)
    die ("out of memory");
  for (size_t i = 0; i < size; i++)
    {
      items[i] = random_queue_item (random, i);
      if (bd_tier_queue_push (q, &items[i], NULL, NULL) != BD_OK)
        die ("cannot add an item to the queue");
    }
  return q;
}

enum queue_operation
{
  POP_PUSH,
  REMOVE_PUSH,
  EXPIRE_PUSH,
  SHED_PUSH
};

/** Runs an operation that leaves the queue's length unchanged. */
static void
queue_operation (struct bd_tier_queue *q, enum queue_operation operation,
                 struct bd_queue_item *items, size_t size, uint64_t *random,
                 uint64_t number)
{
  struct bd_queue_item out;
  size_t at = bd_random_below (random, (uint32_t)size);
  bool taken = true;

  if (operation == POP_PUSH)
    taken = bd_tier_queue_pop (q, &out);
  else if (operation == REMOVE_PUSH)
    taken = bd_tier_queue_remove (q, items[at].request, 0, &out);
  else if (operation == EXPIRE_PUSH)
    taken = bd_tier_queue_expire (q, INT64_MAX, &out);
  else
    out = items[at];
  if (!taken)
    die ("the queue has no item to remove");
  out.request.high = bd_random_next (random);
  out.request.low = number;
  out.deadline_ms += 1000;
  if (operation == REMOVE_PUSH)
    items[at] = out;
  if (operation == SHED_PUSH)
    out.tier = 0;
  if (bd_tier_queue_push (q, &out, NULL, NULL) != BD_OK)
    die ("cannot add an item to the queue");
}

static void
bench_queue (enum queue_operation operation, const char *name)
{
  static const size_t sizes[] = { 100, 1000, 10000, 100000 };
  struct series s = { .name = name };

  for (size_t k = 0; k < sizeof sizes / sizeof *sizes; k++)
    {
      struct bd_queue_item *items = calloc (sizes[k], sizeof *items);
      double ns[ROUNDS];
      double bytes = 0;
      /* Shedding fills the queue with its highest tier, so the number of
         operations is limited by its size. */
      size_t count = operation == SHED_PUSH ? sizes[k] / 2 : OPERATIONS;

      if (!items)
        die ("out of memory");
      for (int r = 0; r < ROUNDS; r++)
        {
          uint64_t random = (uint64_t)r + 1;
          double before = allocated_bytes ();
          struct bd_tier_queue *q = filled_queue (sizes[k], &random, items);
          uint64_t number = sizes[k];
          int64_t start_us;

          bytes = (allocated_bytes () - before) / (double)sizes[k];
          for (int i = 0; operation == SHED_PUSH && i < 2; i++)
            {
              struct bd_queue_item low = random_queue_item (&random, number++);

              low.tier = 3;
              if (bd_tier_queue_push (q, &low, NULL, NULL) != BD_OK)
                die ("cannot add an item to the queue");
            }
          start_us = bd_clock_us ();
          for (size_t i = 0; i < count; i++)
            queue_operation (q, operation, items, sizes[k], &random, number++);
          ns[r] = (double)(bd_clock_us () - start_us) * 1000.0 / (double)count;
          bd_tier_queue_destroy (q);
        }
      add_row (&s, (double)sizes[k], ns, bytes);
      free (items);
    }
  fit_ns_by_log (&s);
  fit_ns (&s);
  if (operation == POP_PUSH)
    fit_bytes (&s);
}

static struct bd_placement *
filled_placement (size_t size, enum bd_placement_policy policy)
{
  static char names[RUNNERS_MAX][NAME_BYTES];
  struct bd_placement_runner runners[RUNNERS_MAX];
  struct bd_placement_settings settings = { .zone = BD_CHUNK ("zone-0"),
                                            .instance = BD_CHUNK ("entry"),
                                            .subset_size = RUNNERS_MAX };
  struct bd_placement *p = bd_placement_create (&settings, policy);

  for (size_t i = 0; i < size; i++)
    {
      snprintf (names[i], NAME_BYTES, "runner-%zu", i);
      runners[i].instance = bd_chunk_of (names[i]);
      runners[i].zone = i % 3 == 0 ? BD_CHUNK ("zone-0") : BD_CHUNK ("zone-1");
    }
  if (!p || bd_placement_set_runners (p, runners, size) != BD_OK)
    die ("out of memory");
  for (uint32_t i = 0; i < size; i++)
    {
      struct bd_load_report load = { .queued = i % 5,
                                     .running = i % 9,
                                     .slots = 8,
                                     .token_time_us = 20000 + 100 * i };

      bd_placement_set_state (p, i, BD_RUNNER_LIVE);
      bd_placement_report (p, i, &load);
      bd_placement_cache_event (p, i, 1 + i % 20, true);
    }
  return p;
}

static void
bench_placement (enum bd_placement_policy policy, const char *name)
{
  static const size_t sizes[] = { 12, 30, 60, 120 };
  struct series s = { .name = name };

  for (size_t k = 0; k < sizeof sizes / sizeof *sizes; k++)
    {
      double ns[ROUNDS];
      double bytes = 0;

      for (int r = 0; r < ROUNDS; r++)
        {
          double before = allocated_bytes ();
          struct bd_placement *p = filled_placement (sizes[k], policy);
          int64_t start_us;

          bytes = (allocated_bytes () - before) / (double)sizes[k];
          start_us = bd_clock_us ();
          for (uint32_t i = 0; i < OPERATIONS; i++)
            {
              struct bd_placement_request request = { .prefix_hash = i % 40,
                                                      .tier = i % 4,
                                                      .expected_tokens = 200,
                                                      .time_left_ms = 8000 };
              uint32_t chosen[2];

              /* 29 requests per second: one every 34 ms. */
              if (bd_placement_choose (p, (int64_t)i * 34, &request, chosen, 2)
                  == 0)
                die ("no runner was chosen");
              bd_placement_count_reservation (p, chosen[0],
                                              i % 2 == 0 ? 1 : -1);
            }
          ns[r] = (double)(bd_clock_us () - start_us) * 1000.0 / OPERATIONS;
          bd_placement_destroy (p);
        }
      add_row (&s, (double)sizes[k], ns, bytes);
    }
  fit_ns (&s);
  fit_bytes (&s);
}

static struct bd_limiter *
filled_limiter (size_t workspaces, uint32_t peers)
{
  struct bd_limits limits = { 100, 20000, 200 };
  struct bd_limiter_demand demands[DEMANDS_MAX];
  struct bd_limiter *l = bd_limiter_create (1);

  if (!l)
    die ("out of memory");
  bd_limiter_set_entry_count (l, 0, peers + 1);
  for (size_t w = 0; w < workspaces; w++)
    {
      if (bd_limiter_set (l, 0, w + 1, &limits) != BD_OK)
        die ("out of memory");
      demands[w]
          = (struct bd_limiter_demand){ .workspace = w + 1,
                                        .requests_per_s = 1000,
                                        .tokens_per_s = 200000,
                                        .running = 1,
                                        .share_permyriad = 9000 / peers };
    }
  for (uint32_t p = 0; p < peers; p++)
    bd_limiter_record_peer (l, 0, p + 2, demands, workspaces);
  return l;
}

/** Times ticks at ten per second, with a request per workspace before each. */
static void
bench_limiter_tick (uint32_t peers, const char *name)
{
  static const size_t sizes[] = { 10, 50, 100, 260 };
  struct series s = { .name = name };

  for (size_t k = 0; k < sizeof sizes / sizeof *sizes; k++)
    {
      double ns[ROUNDS];
      double bytes = 0;

      for (int r = 0; r < ROUNDS; r++)
        {
          double before = allocated_bytes ();
          struct bd_limiter *l = filled_limiter (sizes[k], peers);
          int64_t spent_us = 0;
          int32_t retry_ms;

          bytes = (allocated_bytes () - before) / (double)sizes[k];
          for (int64_t t = 1; t <= 75; t++)
            {
              int64_t start_us;

              for (size_t w = 0; w < sizes[k]; w++)
                (void)bd_limiter_admit (l, t * 100, w + 1, 100, &retry_ms);
              start_us = bd_clock_us ();
              bd_limiter_tick (l, t * 100);
              spent_us += bd_clock_us () - start_us;
            }
          ns[r] = (double)spent_us * 1000.0 / 75;
          bd_limiter_destroy (l);
        }
      add_row (&s, (double)sizes[k], ns, bytes);
    }
  fit_ns (&s);
  fit_bytes (&s);
}

static void
bench_limiter_admit (void)
{
  static const size_t sizes[] = { 10, 50, 100, 260 };
  struct series s = { .name = "limiter_admit_release" };

  for (size_t k = 0; k < sizeof sizes / sizeof *sizes; k++)
    {
      double ns[ROUNDS];

      for (int r = 0; r < ROUNDS; r++)
        {
          struct bd_limiter *l = filled_limiter (sizes[k], 3);
          int64_t start_us = bd_clock_us ();
          int32_t retry_ms;

          for (uint32_t i = 0; i < OPERATIONS; i++)
            {
              uint64_t w = 1 + i % sizes[k];

              if (bd_limiter_admit (l, i, w, 100, &retry_ms) == BD_OK)
                bd_limiter_release (l, i, w, 100, 90);
            }
          ns[r] = (double)(bd_clock_us () - start_us) * 1000.0 / OPERATIONS;
          bd_limiter_destroy (l);
        }
      add_row (&s, (double)sizes[k], ns, 0);
    }
  fit_ns (&s);
}

/** Times the handling of a peer's demand for all workspaces. */
static void
bench_limiter_peer_demand (void)
{
  static const size_t sizes[] = { 10, 50, 100, 260 };
  struct series s = { .name = "limiter_hear" };

  for (size_t k = 0; k < sizeof sizes / sizeof *sizes; k++)
    {
      struct bd_limiter_demand demands[DEMANDS_MAX];
      double ns[ROUNDS];

      for (size_t w = 0; w < sizes[k]; w++)
        demands[w] = (struct bd_limiter_demand){ .workspace = w + 1,
                                                 .requests_per_s = 5000 };
      for (int r = 0; r < ROUNDS; r++)
        {
          struct bd_limiter *l = filled_limiter (sizes[k], 479);
          int64_t start_us = bd_clock_us ();

          for (uint32_t p = 0; p < 479; p++)
            bd_limiter_record_peer (l, 10, p + 2, demands, sizes[k]);
          ns[r] = (double)(bd_clock_us () - start_us) * 1000.0 / 479;
          bd_limiter_destroy (l);
        }
      add_row (&s, (double)sizes[k], ns,
               (double)sizeof (struct bd_limiter_demand));
    }
  fit_ns (&s);
}

/** Whether the command line selects the benchmarks of GROUP. */
static bool
wanted (int argc, char **argv, const char *group)
{
  return argc < 2 || strcmp (argv[1], group) == 0;
}

/** usage: bench_core [queue|placement|limiter] */
int
main (int argc, char **argv)
{
  if (wanted (argc, argv, "queue"))
    {
      bench_queue (POP_PUSH, "queue_pop_push");
      bench_queue (REMOVE_PUSH, "queue_remove_push");
      bench_queue (EXPIRE_PUSH, "queue_expire_push");
      bench_queue (SHED_PUSH, "queue_push_sheds");
    }
  if (wanted (argc, argv, "placement"))
    {
      bench_placement (BD_POLICY_LATE_BINDING, "placement_late_binding");
      bench_placement (BD_POLICY_TWO_CHOICES, "placement_better_of_two");
    }
  if (wanted (argc, argv, "limiter"))
    {
      bench_limiter_tick (3, "limiter_tick_4_entries");
      bench_limiter_tick (479, "limiter_tick_480_entries");
      bench_limiter_admit ();
      bench_limiter_peer_demand ();
    }
  return 0;
}
