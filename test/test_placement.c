#include "common/string.h"
#include "placement/affinity.h"
#include "placement/placement.h"
#include "common/random.h"
#include "placement/subset.h"

#include <glib.h>
#include <string.h>

#define NAME_BYTES 24
#define RUNNERS_MAX 301

/** A pool of runners "r0", "r1"... spread over zones "z0", "z1"... */
struct pool
{
  char names[RUNNERS_MAX][NAME_BYTES];
  char zones[RUNNERS_MAX][NAME_BYTES];
  struct bd_placement_runner runners[RUNNERS_MAX];
  size_t count;
};

static void
pool_fill (struct pool *pool, size_t count, size_t zones)
{
  pool->count = count;
  for (size_t i = 0; i < count; i++)
    {
      g_snprintf (pool->names[i], NAME_BYTES, "r%zu", i);
      g_snprintf (pool->zones[i], NAME_BYTES, "z%zu", i % zones);
      pool->runners[i].instance = bd_chunk_of (pool->names[i]);
      pool->runners[i].zone = bd_chunk_of (pool->zones[i]);
    }
}

static struct bd_placement *
create_placement (const struct pool *pool, const char *entry,
                  uint32_t subset_size, enum bd_placement_policy policy)
{
  struct bd_placement_settings settings = { .zone = BD_CHUNK ("z0"),
                                            .instance = bd_chunk_of (entry),
                                            .subset_size = subset_size,
                                            .seed = 7 };
  struct bd_placement *p = bd_placement_create (&settings, policy);

  g_assert_nonnull (p);
  g_assert_cmpint (bd_placement_set_runners (p, pool->runners, pool->count),
                   ==, BD_OK);
  return p;
}

static uint32_t
index_of (const struct bd_placement *p, const char *name)
{
  int i = bd_placement_find (p, bd_chunk_of (name));

  g_assert_cmpint (i, >=, 0);
  return (uint32_t)i;
}

/** Reports the same light load of all runners, measured at NOW_MS. */
static void
report_all (struct bd_placement *p, int64_t now_ms)
{
  struct bd_load_report load = {
    .running = 2, .slots = 8, .token_time_us = 20000, .measured_ms = now_ms
  };

  for (uint32_t i = 0; i < bd_placement_count (p); i++)
    {
      bd_placement_set_state (p, i, BD_RUNNER_LIVE);
      bd_placement_report (p, i, &load);
    }
}

/** Returns how often INDEX is selected in ROUNDS selections of one runner. */
static uint32_t
count_selected (struct bd_placement *p, int64_t now_ms,
                const struct bd_placement_request *request, uint32_t index,
                uint32_t rounds)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < rounds; i++)
    {
      uint32_t chosen = UINT32_MAX;

      g_assert_cmpuint (bd_placement_choose (p, now_ms, request, &chosen, 1),
                        ==, 1);
      count += chosen == index ? 1 : 0;
    }
  return count;
}

#define ENTRIES 48
#define SUBSET 120
#define COVERAGE_MIN 6

static void
test_subset_covers_all (void)
{
  static struct pool pool;
  static struct bd_subset_member members[RUNNERS_MAX];
  uint32_t covered[RUNNERS_MAX] = { 0 };

  pool_fill (&pool, 300, 3);
  for (int e = 0; e < ENTRIES; e++)
    {
      char zone[NAME_BYTES];
      size_t local = 0;
      size_t n;

      g_snprintf (zone, sizeof zone, "z%d", e % 3);
      n = bd_subset_select ((uint64_t)e + 1, bd_chunk_of (zone), pool.runners,
                            300, SUBSET, members);
      g_assert_cmpuint (n, ==, SUBSET);
      for (size_t i = 0; i < n; i++)
        {
          covered[members[i].index]++;
          local += members[i].local ? 1 : 0;
        }
      g_assert_cmpuint (local, ==, SUBSET / 2);
    }
  for (size_t i = 0; i < 300; i++)
    g_assert_cmpuint (covered[i], >=, COVERAGE_MIN);
  /* A zone with too few runners is complemented from the others. */
  g_assert_cmpuint (bd_subset_select (1, BD_CHUNK ("none"), pool.runners, 300,
                                      SUBSET, members),
                    ==, SUBSET);
  g_assert_cmpuint (
      bd_subset_select (1, BD_CHUNK ("z0"), pool.runners, 13, SUBSET, members),
      ==, 13);
}

static void
test_replacement_moves_little (void)
{
  static struct pool pool;

  for (size_t e = 0; e < ENTRIES; e++)
    {
      char entry[NAME_BYTES];
      struct bd_placement *before;
      struct bd_placement *after;
      size_t kept = 0;

      g_snprintf (entry, sizeof entry, "entry-%zu", e);
      pool_fill (&pool, 300, 3);
      before = create_placement (&pool, entry, SUBSET, BD_POLICY_LATE_BINDING);
      g_snprintf (pool.names[e * 6], NAME_BYTES, "new");
      pool.runners[e * 6].instance = bd_chunk_of (pool.names[e * 6]);
      after = create_placement (&pool, entry, SUBSET, BD_POLICY_LATE_BINDING);
      for (uint32_t i = 0; i < SUBSET; i++)
        kept += bd_placement_find (before, bd_placement_instance (after, i))
                        >= 0
                    ? 1
                    : 0;
      g_assert_cmpuint (kept, >=, SUBSET - 1);
      bd_placement_destroy (before);
      bd_placement_destroy (after);
    }
}

/** State and cache entries of a runner stay with it when the pool changes. */
static void
test_state_survives_pool_change (void)
{
  static struct pool pool;
  struct bd_placement_request request
      = { .prefix_hash = 99, .expected_tokens = 100 };
  struct bd_placement *p;
  uint32_t holder;

  pool_fill (&pool, 20, 1);
  p = create_placement (&pool, "e", 0, BD_POLICY_LATE_BINDING);
  report_all (p, 0);
  bd_placement_set_state (p, index_of (p, "r3"), BD_RUNNER_DOWN);
  bd_placement_cache_event (p, index_of (p, "r11"), 99, true);
  bd_placement_cache_event (p, index_of (p, "r0"), 98, true);
  g_assert_cmpint (bd_placement_set_runners (p, &pool.runners[1], 15), ==,
                   BD_OK);
  g_assert_cmpint (bd_placement_find (p, BD_CHUNK ("r0")), ==, -1);
  g_assert_cmpint (bd_placement_state (p, index_of (p, "r3")), ==,
                   BD_RUNNER_DOWN);
  holder = index_of (p, "r11");
  g_assert_cmpuint (count_selected (p, 0, &request, holder, 50), ==, 50);
  request.prefix_hash = 98;
  g_assert_cmpuint (count_selected (p, 0, &request, holder, 50), <, 50);
  bd_placement_destroy (p);
}

/**
 * In any state, only runners that are up and not excluded are selected, each
 * once.
 */
static void
test_only_eligible (void)
{
  static struct pool pool;

  pool_fill (&pool, 24, 3);
  for (uint64_t seed = 1; seed <= 3000; seed++)
    {
      uint64_t random = seed;
      struct bd_placement *p = create_placement (&pool, "e", 0, seed % 3);
      uint32_t excluded[2]
          = { bd_random_below (&random, 24), bd_random_below (&random, 24) };
      struct bd_placement_request request
          = { .prefix_hash = bd_random_below (&random, 4),
              .tier = (uint8_t)bd_random_below (&random, 4),
              .expected_tokens = bd_random_below (&random, 300),
              .time_left_ms = (int32_t)bd_random_below (&random, 3000),
              .exclude = excluded,
              .exclude_count = 2 };
      uint32_t chosen[32];
      size_t eligible = 0;
      size_t want = bd_random_below (&random, 32);
      size_t n;

      for (uint32_t i = 0; i < 24; i++)
        {
          enum bd_runner_state state = bd_random_below (&random, 4);
          struct bd_load_report load
              = { .queued = bd_random_below (&random, 50),
                  .running = bd_random_below (&random, 9),
                  .slots = bd_random_below (&random, 9),
                  .token_time_us = bd_random_below (&random, 90000),
                  .measured_ms = bd_random_below (&random, 9000) };

          bd_placement_set_state (p, i, state);
          if (bd_random_below (&random, 3) > 0)
            bd_placement_report (p, i, &load);
          bd_placement_count_reservation (
              p, i, (int)bd_random_below (&random, 5) - 2);
          bd_placement_cache_event (p, i, 1 + bd_random_below (&random, 3),
                                    bd_random_below (&random, 2) > 0);
          if (state != BD_RUNNER_DOWN && state != BD_RUNNER_LEAVING
              && i != excluded[0] && i != excluded[1])
            eligible++;
        }
      n = bd_placement_choose (p, 5000, &request, chosen, want);
      g_assert_cmpuint (n, <=, want);
      g_assert_true ((n > 0) == (want > 0 && eligible > 0));
      for (size_t i = 0; i < n; i++)
        {
          enum bd_runner_state state = bd_placement_state (p, chosen[i]);

          g_assert_true (state != BD_RUNNER_DOWN
                         && state != BD_RUNNER_LEAVING);
          g_assert_true (chosen[i] != excluded[0] && chosen[i] != excluded[1]);
          for (size_t j = 0; j < i; j++)
            g_assert_cmpuint (chosen[i], !=, chosen[j]);
        }
      bd_placement_destroy (p);
    }
}

static void
test_affinity (void)
{
  static struct pool pool;
  struct bd_placement_request request
      = { .prefix_hash = 5, .expected_tokens = 200 };
  struct bd_load_report half
      = { .running = 4, .slots = 8, .token_time_us = 20000 };
  struct bd_load_report busy = { .queued = 30,
                                 .queued_above = 30,
                                 .running = 8,
                                 .slots = 8,
                                 .token_time_us = 20000 };
  struct bd_placement *p;

  pool_fill (&pool, 60, 1);
  p = create_placement (&pool, "e", 0, BD_POLICY_LATE_BINDING);
  report_all (p, 0);
  bd_placement_cache_event (p, 17, 5, true);
  g_assert_cmpuint (count_selected (p, 0, &request, 17, 100), ==, 100);
  /* Half of the slots busy costs less than the cached prefix saves. */
  bd_placement_report (p, 17, &half);
  g_assert_cmpuint (count_selected (p, 0, &request, 17, 100), ==, 100);
  /* A long queue costs more. */
  bd_placement_report (p, 17, &busy);
  g_assert_cmpuint (count_selected (p, 0, &request, 17, 100), ==, 0);
  bd_placement_cache_event (p, 18, 5, true);
  g_assert_cmpuint (count_selected (p, 0, &request, 18, 100), ==, 100);
  bd_placement_cache_event (p, 18, 5, false);
  g_assert_cmpuint (count_selected (p, 0, &request, 18, 100), <, 20);
  /* The memory is bounded: many other prefixes replace old entries. */
  bd_placement_cache_event (p, 18, 5, true);
  for (uint64_t prefix = 100; prefix < 200000; prefix++)
    bd_placement_cache_event (p, (uint32_t)(prefix % 60), prefix, true);
  g_assert_cmpuint (count_selected (p, 0, &request, 18, 100), <, 20);
  bd_placement_destroy (p);
}

/**
 * A fresh report counts fully and an old one does not count.  The entry's own
 * reservations count until the next report.
 */
static void
test_reports_lag (void)
{
  static struct pool pool;
  struct bd_placement_request request = { .tier = 1, .expected_tokens = 100 };
  struct bd_load_report busy
      = { .queued = 40, .running = 8, .slots = 8, .token_time_us = 20000 };
  struct bd_placement *p;

  pool_fill (&pool, 4, 1);
  p = create_placement (&pool, "e", 0, BD_POLICY_LATE_BINDING);
  report_all (p, 1000);
  bd_placement_report (p, 0, &busy); /* Older than the last report. */
  g_assert_cmpuint (count_selected (p, 1000, &request, 0, 400), >, 50);
  busy.measured_ms = 1000;
  bd_placement_report (p, 0, &busy);
  g_assert_cmpuint (count_selected (p, 1100, &request, 0, 400), ==, 0);
  g_assert_cmpuint (count_selected (p, 9000, &request, 0, 400), >, 50);
  g_assert_cmpuint (count_selected (p, 9000, &request, 0, 400), <, 150);
  /* A queue of lower tiers does not delay tier 0. */
  busy.measured_ms = 9000;
  busy.running = 2;
  report_all (p, 9000);
  bd_placement_report (p, 0, &busy);
  request.tier = 0;
  g_assert_cmpuint (count_selected (p, 9000, &request, 0, 400), >, 50);
  report_all (p, 10000);
  for (int i = 0; i < 20; i++)
    bd_placement_count_reservation (p, 1, 1);
  g_assert_cmpuint (count_selected (p, 10000, &request, 1, 400), ==, 0);
  for (int i = 0; i < 20; i++)
    bd_placement_count_reservation (p, 1, -1);
  g_assert_cmpuint (count_selected (p, 10000, &request, 1, 400), >, 50);
  bd_placement_count_reservation (p, 1, 20);
  report_all (p, 10001);
  g_assert_cmpuint (count_selected (p, 10001, &request, 1, 400), >, 50);
  bd_placement_destroy (p);
}

static void
test_stragglers (void)
{
  static struct pool pool;
  struct bd_placement_request request = { .expected_tokens = 100 };
  struct bd_load_report slow
      = { .running = 2, .slots = 8, .token_time_us = 60000 };
  struct bd_load_report overloaded = { .queued = 80,
                                       .queued_above = 80,
                                       .running = 8,
                                       .slots = 8,
                                       .token_time_us = 20000 };
  struct bd_placement *p;
  uint32_t chosen[13];
  uint32_t selected = 0;
  size_t n;

  pool_fill (&pool, 13, 1);
  p = create_placement (&pool, "e", 0, BD_POLICY_LATE_BINDING);
  report_all (p, 0);
  bd_placement_report (p, 4, &slow);
  bd_placement_report (p, 9, &slow);
  /* 100 tokens take 2 s on the others and 6 s here. */
  request.time_left_ms = 4000;
  for (int i = 0; i < 1000; i++)
    {
      n = bd_placement_choose (p, 0, &request, chosen, 13);
      g_assert_cmpuint (n, ==, 11);
      for (size_t k = 0; k < n; k++)
        g_assert_true (chosen[k] != 4 && chosen[k] != 9);
    }
  /* Without a target stragglers are selected, but less often than the
     others. */
  request.time_left_ms = 0;
  for (int i = 0; i < 1000; i++)
    {
      n = bd_placement_choose (p, 0, &request, chosen, 13);
      for (size_t k = 0; k < n; k++)
        selected += chosen[k] == 4 || chosen[k] == 9 ? 1 : 0;
    }
  g_assert_cmpuint (selected, >, 0);
  g_assert_cmpuint (selected, <, 2000 / 4);
  /* When all others are worse, a straggler is selected. */
  for (uint32_t i = 0; i < 13; i++)
    if (i != 4)
      bd_placement_report (p, i, &overloaded);
  g_assert_cmpuint (count_selected (p, 200, &request, 4, 1000), >, 20);
  for (uint32_t i = 0; i < 13; i++)
    if (i != 4)
      bd_placement_set_state (p, i, BD_RUNNER_DOWN);
  g_assert_cmpuint (count_selected (p, 200, &request, 4, 100), ==, 100);
  bd_placement_destroy (p);
}

static void
test_crashed_runner_comes_back_slowly (void)
{
  static struct pool pool;
  struct bd_placement_request request = { .expected_tokens = 100 };
  struct bd_placement *p;

  pool_fill (&pool, 4, 1);
  p = create_placement (&pool, "e", 0, BD_POLICY_LATE_BINDING);
  report_all (p, 0);
  count_selected (p, 1000, &request, 0, 1);
  bd_placement_set_state (p, 0, BD_RUNNER_DOWN);
  g_assert_cmpuint (count_selected (p, 1000, &request, 0, 400), ==, 0);
  report_all (p, 2000);
  g_assert_cmpuint (count_selected (p, 2000, &request, 0, 400), ==, 0);
  report_all (p, 12000);
  g_assert_cmpuint (count_selected (p, 12000, &request, 0, 400), >, 50);
  /* A call with an earlier time does not move the clock back. */
  count_selected (p, 50000, &request, 0, 1);
  count_selected (p, 0, &request, 0, 1);
  bd_placement_set_state (p, 0, BD_RUNNER_DOWN);
  report_all (p, 51000);
  g_assert_cmpuint (count_selected (p, 51000, &request, 0, 400), ==, 0);
  bd_placement_destroy (p);
}

static void
test_policies_without_late_binding (void)
{
  static struct pool pool;
  struct bd_placement_request request = { .tier = 1 };
  uint32_t count[10] = { 0 };
  uint32_t chosen[4];
  struct bd_placement *p;

  pool_fill (&pool, 10, 1);
  p = create_placement (&pool, "e", 0, BD_POLICY_RANDOM);
  for (int i = 0; i < 10000; i++)
    {
      g_assert_cmpuint (bd_placement_choose (p, 0, &request, chosen, 4), ==,
                        1);
      count[chosen[0]]++;
    }
  for (int i = 0; i < 10; i++)
    g_assert_true (count[i] > 850 && count[i] < 1150);
  bd_placement_destroy (p);
  p = create_placement (&pool, "e", 0, BD_POLICY_TWO_CHOICES);
  for (uint32_t i = 0; i < 10; i++)
    {
      struct bd_load_report load = { .queued = i, .slots = 1 };

      bd_placement_report (p, i, &load);
    }
  /* The least loaded runner is selected whenever it is sampled: in 2 of 10
     calls. */
  g_assert_cmpuint (count_selected (p, 0, &request, 0, 10000), >, 1850);
  g_assert_cmpuint (count_selected (p, 0, &request, 9, 10000), ==, 0);
  bd_placement_destroy (p);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/placement/subset-covers-all", test_subset_covers_all);
  g_test_add_func ("/placement/replacement-moves-little",
                   test_replacement_moves_little);
  g_test_add_func ("/placement/state-survives-pool-change",
                   test_state_survives_pool_change);
  g_test_add_func ("/placement/only-eligible", test_only_eligible);
  g_test_add_func ("/placement/affinity", test_affinity);
  g_test_add_func ("/placement/reports-lag", test_reports_lag);
  g_test_add_func ("/placement/stragglers", test_stragglers);
  g_test_add_func ("/placement/crashed-runner-comes-back-slowly",
                   test_crashed_runner_comes_back_slowly);
  g_test_add_func ("/placement/policies-without-late-binding",
                   test_policies_without_late_binding);
  return g_test_run ();
}
