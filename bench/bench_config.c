/*
 * Microbenchmarks of the configuration and the membership at several sizes.
 * Prints one JSON line per size (nanoseconds per operation, bytes allocated
 * by the whole table), then a linear fit per operation with its greatest
 * relative error.
 */
#include "common/string.h"
#include "configuration/config.h"
#include "membership/membership.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ROUND_NS 20000000LL
#define ROUNDS 5
#define POINTS_MAX 8
#define TARGETS 4
#define TEXT_BYTES 64

struct point
{
  double size;
  double ns;
  double bytes;
};

static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static long long
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (long long)t.tv_sec * 1000000000LL + t.tv_nsec;
}

/* Returns the time of one operation in ns: the least of several rounds. */
static double
measure (void (*operation) (void *context, uint64_t count), void *context)
{
  static uint64_t count;
  double best = 0;

  for (int round = 0; round < ROUNDS; round++)
    {
      long long start = now_ns ();
      long long end = start;
      long long done = 0;
      double ns;

      while (end - start < ROUND_NS)
        {
          operation (context, ++count);
          done++;
          end = now_ns ();
        }
      ns = (double)(end - start) / (double)done;
      if (round == 0 || ns < best)
        best = ns;
    }
  return best;
}

/* Fits a line to the member at OFFSET over the points' sizes: least squares of
   the relative error. */
static void
fit (const struct point *points, size_t n, size_t offset, double *base,
     double *slope)
{
  double weights = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;

  for (size_t i = 0; i < n; i++)
    {
      double y = *(const double *)((const char *)&points[i] + offset);
      double weight = 1 / (y * y);

      weights += weight;
      sx += weight * points[i].size;
      sy += weight * y;
      sxx += weight * points[i].size * points[i].size;
      sxy += weight * points[i].size * y;
    }
  *slope = (weights * sxy - sx * sy) / (weights * sxx - sx * sx);
  *base = (sy - *slope * sx) / weights;
}

static void
print_fit (const char *name, const struct point *points, size_t n)
{
  double base;
  double slope;
  double byte_base;
  double byte_slope;
  double error = 0;

  fit (points, n, offsetof (struct point, ns), &base, &slope);
  fit (points, n, offsetof (struct point, bytes), &byte_base, &byte_slope);
  for (size_t i = 0; i < n; i++)
    {
      double e = (base + slope * points[i].size) / points[i].ns - 1;

      error = e > error ? e : error;
      error = -e > error ? -e : error;
    }
  printf ("{\"name\":\"%s\",\"fit\":\"linear\",\"ns_base\":%.1f,"
          "\"ns_per_item\":%.2f,\"greatest_error\":%.3f,\"bytes_base\":%.0f,"
          "\"bytes_per_item\":%.1f}\n",
          name, base, slope, error, byte_base, byte_slope);
}

static void
print_point (const char *name, const struct point *p)
{
  printf ("{\"name\":\"%s\",\"size\":%.0f,\"ns\":%.1f,\"bytes\":%.0f}\n", name,
          p->size, p->ns, p->bytes);
  fflush (stdout);
}

static void
contract_text (struct bd_buffer *b, int i, uint64_t revision)
{
  bd_buffer_reset (b);
  bd_buffer_printf (b,
                    "{\"workspace\":\"w%d\",\"revision\":%llu,"
                    "\"default_class\":\"c0\",\"retry_window_s\":600,"
                    "\"credentials\":[\"%064x\",\"%064x\"],\"limits\":{"
                    "\"requests_per_s\":50,\"tokens_per_s\":20000,"
                    "\"concurrency\":100},\"classes\":{",
                    i, (unsigned long long)revision, 2U * (unsigned)i,
                    2U * (unsigned)i + 1);
  for (int c = 0; c < 4; c++)
    bd_buffer_printf (b,
                      "%s\"c%d\":{\"tier\":%d,\"first_token_ms\":1300,"
                      "\"token_gap_ms\":30,\"deadline_ms\":60000,"
                      "\"idempotent\":true,\"pool\":\"p\","
                      "\"min_share_permille\":50,"
                      "\"max_output_tokens\":512}",
                      c > 0 ? "," : "", c, c);
  bd_buffer_printf (b, "}}");
}

static void
pool_text (struct bd_buffer *b, size_t runners, uint64_t revision)
{
  bd_buffer_reset (b);
  bd_buffer_printf (b,
                    "{\"pool\":\"p\",\"revision\":%llu,\"kind\":\"model\","
                    "\"runners\":[",
                    (unsigned long long)revision);
  for (size_t i = 0; i < runners; i++)
    bd_buffer_printf (b,
                      "%s{\"instance\":\"r-%05zu\",\"address\":"
                      "\"10.%zu.%zu.%zu:7101\",\"zone\":\"bole\"}",
                      i > 0 ? "," : "", i, i / 62500, i / 250 % 250, i % 250);
  bd_buffer_printf (b, "]}");
}

static void
manifest_text (struct bd_buffer *b, int contracts, uint64_t revision)
{
  bd_buffer_reset (b);
  bd_buffer_printf (b, "{\"revision\":%llu,\"contracts\":{",
                    (unsigned long long)revision);
  for (int i = 0; i < contracts; i++)
    bd_buffer_printf (b, "%s\"w%d\":1", i > 0 ? "," : "", i);
  bd_buffer_printf (b, "},\"pools\":{\"p\":1},\"entries\":[]}");
}

static void
submit (struct bd_config *config, const char *name, const struct bd_buffer *b)
{
  char reason[300];
  int rc = bd_config_submit (config, bd_chunk_of (name), bd_buffer_chunk (b),
                             reason, sizeof reason);

  if (rc == BD_OK)
    return;
  fprintf (stderr, "bench_config: %s: %d %s\n", name, rc, reason);
  exit (1);
}

struct fixture
{
  struct bd_config *config;
  struct bd_membership *membership;
  struct bd_buffer text;
  size_t item_count;
  int64_t now_ms;
};

static void
submit_contract (void *context, uint64_t count)
{
  struct fixture *t = context;

  contract_text (&t->text, 0, count + 1);
  submit (t->config, "contract/w0", &t->text);
}

static void
submit_manifest (void *context, uint64_t count)
{
  struct fixture *t = context;

  manifest_text (&t->text, (int)t->item_count, count + 1);
  submit (t->config, "manifest", &t->text);
}

static void
submit_pool (void *context, uint64_t count)
{
  struct fixture *t = context;

  pool_text (&t->text, t->item_count, count + 1);
  submit (t->config, "pool/p", &t->text);
}

/* Formats the document only; its time is subtracted from that of submit_pool.
 */
static void
format_pool_text (void *context, uint64_t count)
{
  struct fixture *t = context;

  pool_text (&t->text, t->item_count, count + 1);
}

static void
read_snapshot (void *context, uint64_t count)
{
  struct fixture *t = context;

  (void)count;
  bd_config_snapshot_release (bd_config_snapshot (t->config));
}

static struct fixture
fixture_with_contracts (size_t size)
{
  struct fixture t = { .config = bd_config_create (), .item_count = size };
  char name[32];

  manifest_text (&t.text, (int)size, 1);
  submit (t.config, "manifest", &t.text);
  for (int i = 0; i < (int)size; i++)
    {
      contract_text (&t.text, i, 1);
      snprintf (name, sizeof name, "contract/w%d", i);
      submit (t.config, name, &t.text);
    }
  return t;
}

static void
fixture_free (struct fixture *t)
{
  bd_config_destroy (t->config);
  bd_membership_destroy (t->membership);
  bd_buffer_clear (&t->text);
}

static void
bench_contracts (const char *name, void (*operation) (void *, uint64_t))
{
  static const size_t sizes[] = { 10, 30, 65, 130, 260 };
  struct point points[POINTS_MAX];
  size_t n = sizeof sizes / sizeof sizes[0];

  for (size_t i = 0; i < n; i++)
    {
      size_t before = allocated_bytes ();
      struct fixture t = fixture_with_contracts (sizes[i]);

      points[i].size = (double)sizes[i];
      points[i].bytes = (double)(allocated_bytes () - before);
      points[i].ns = measure (operation, &t);
      print_point (name, &points[i]);
      fixture_free (&t);
    }
  print_fit (name, points, n);
}

static void
bench_pool (void)
{
  static const size_t sizes[] = { 100, 300, 1000, 3000, 6000, 12000 };
  struct point points[POINTS_MAX];
  size_t n = sizeof sizes / sizeof sizes[0];

  for (size_t i = 0; i < n; i++)
    {
      struct fixture t = fixture_with_contracts (0);
      size_t before = allocated_bytes ();

      t.item_count = sizes[i];
      pool_text (&t.text, t.item_count, 1);
      submit (t.config, "pool/p", &t.text);
      bd_buffer_clear (&t.text);
      points[i].size = (double)sizes[i];
      points[i].bytes = (double)(allocated_bytes () - before);
      points[i].ns
          = measure (submit_pool, &t) - measure (format_pool_text, &t);
      print_point ("offer_pool", &points[i]);
      fixture_free (&t);
    }
  print_fit ("offer_pool", points, n);
}

static struct bd_member
member (char text[TEXT_BYTES], size_t i)
{
  struct bd_member m = { .address = BD_CHUNK ("10.0.0.1:7001"),
                         .incarnation = 1,
                         .state = BD_MEMBER_LIVE };

  snprintf (text, TEXT_BYTES, "entry-%03zu", i);
  m.instance = bd_chunk_of (text);
  m.zone = i % 10 == 0 ? BD_CHUNK ("bole") : BD_CHUNK ("akaki");
  return m;
}

static struct fixture
fixture_with_members (size_t size)
{
  struct bd_membership_settings settings
      = { .instance = BD_CHUNK ("self"),
          .address = BD_CHUNK ("10.0.0.1:7000"),
          .zone = BD_CHUNK ("bole"),
          .incarnation = 1,
          .suspect_after_ms = 2000,
          .gone_after_ms = 5000,
          .max_members = (uint32_t)size,
          .seed = 1 };
  struct fixture t
      = { .membership = bd_membership_create (&settings), .item_count = size };
  char text[TEXT_BYTES];

  for (size_t i = 0; i < size; i++)
    {
      struct bd_member m = member (text, i);

      bd_membership_record_message (t.membership, 0, &m);
    }
  return t;
}

static void
tick (void *context, uint64_t count)
{
  struct fixture *t = context;

  (void)count;
  bd_membership_tick (t->membership, t->now_ms);
}

static void
targets (void *context, uint64_t count)
{
  struct fixture *t = context;
  const struct bd_member *out[TARGETS];

  (void)count;
  bd_membership_pick_targets (t->membership, out, TARGETS);
}

static void
ranked (void *context, uint64_t count)
{
  struct fixture *t = context;

  (void)count;
  bd_membership_is_elected (t->membership, BD_CHUNK ("watch"), 2);
}

static void
record_message (void *context, uint64_t count)
{
  struct fixture *t = context;
  char text[TEXT_BYTES];
  struct bd_member m = member (text, count % t->item_count);

  bd_membership_record_message (t->membership, t->now_ms, &m);
}

static void
bench_members (const char *name, void (*operation) (void *, uint64_t))
{
  static const size_t sizes[] = { 8, 16, 32, 64, 120, 240, 480 };
  struct point points[POINTS_MAX];
  size_t n = sizeof sizes / sizeof sizes[0];

  for (size_t i = 0; i < n; i++)
    {
      size_t before = allocated_bytes ();
      struct fixture t = fixture_with_members (sizes[i]);

      points[i].size = (double)sizes[i];
      points[i].bytes = (double)(allocated_bytes () - before);
      points[i].ns = measure (operation, &t);
      print_point (name, &points[i]);
      fixture_free (&t);
    }
  print_fit (name, points, n);
}

int
main (void)
{
  bench_contracts ("offer_contract", submit_contract);
  bench_contracts ("offer_manifest", submit_manifest);
  bench_contracts ("take_snapshot", read_snapshot);
  bench_pool ();
  bench_members ("membership_heard", record_message);
  bench_members ("membership_tick", tick);
  bench_members ("membership_targets", targets);
  bench_members ("membership_ranked", ranked);
  return 0;
}
