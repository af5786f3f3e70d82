/* Tests of outlier detection. */
#include "balance/outlier.h"
#include "support_targets.h"

#include <glib.h>

#define RUNNERS 6
#define NOW 50000

struct fixture
{
  struct bd_targets *targets;
  struct bd_target *const *all;
  size_t count;
  int64_t now;
};

static void
set_up (struct fixture *fixture)
{
  fixture->targets = bd_targets_create ();
  support_put_runners (fixture->targets, RUNNERS, 1);
  fixture->all = bd_targets_all (fixture->targets, &fixture->count);
  fixture->now = NOW;
}

static void
add_result (struct fixture *fixture, size_t runner,
            enum bd_outlier_result result)
{
  bd_outlier_add (fixture->all[runner], fixture->now, result, fixture->all,
                  fixture->count);
}

static void
record_all (struct fixture *fixture, enum bd_outlier_result result, int times)
{
  for (int i = 0; i < times; i++)
    for (size_t r = 0; r < fixture->count; r++)
      add_result (fixture, r, result);
}

/* A runner that fails part of its requests while its peers fail none is
   ejected. */
static void
test_partly_failing_runner (void)
{
  struct fixture fixture;

  set_up (&fixture);
  record_all (&fixture, BD_OUTLIER_SUCCESS, 3);
  for (int i = 0; i < 4; i++)
    add_result (&fixture, 0, BD_OUTLIER_FAILURE);
  g_assert_false (bd_outlier_allows (fixture.all[0], fixture.now));
  for (size_t r = 1; r < fixture.count; r++)
    g_assert_true (bd_outlier_allows (fixture.all[r], fixture.now));
  bd_targets_destroy (fixture.targets);
}

/* When all runners fail alike, none is ejected: that would only move the
   load. */
static void
test_all_failing_alike (void)
{
  struct fixture fixture;

  set_up (&fixture);
  for (int i = 0; i < 6; i++)
    {
      record_all (&fixture, BD_OUTLIER_SUCCESS, 1);
      record_all (&fixture, BD_OUTLIER_FAILURE, 1);
    }
  for (size_t r = 0; r < fixture.count; r++)
    g_assert_true (bd_outlier_allows (fixture.all[r], fixture.now));
  bd_targets_destroy (fixture.targets);
}

/* A single failure among successes does not eject a runner. */
static void
test_single_failure (void)
{
  struct fixture fixture;

  set_up (&fixture);
  record_all (&fixture, BD_OUTLIER_SUCCESS, 2);
  add_result (&fixture, 0, BD_OUTLIER_FAILURE);
  g_assert_true (bd_outlier_allows (fixture.all[0], fixture.now));
  bd_targets_destroy (fixture.targets);
}

/* A crashed runner is probed with one request at a time, and ejected for
   longer while the probes fail. */
static void
test_crash_and_probe (void)
{
  struct fixture fixture;
  int64_t first_ms;

  set_up (&fixture);
  add_result (&fixture, 0, BD_OUTLIER_UNREACHABLE);
  g_assert_false (bd_outlier_allows (fixture.all[0], fixture.now));
  first_ms = fixture.all[0]->health.ejected_until_ms - fixture.now;
  fixture.now = fixture.all[0]->health.ejected_until_ms;
  g_assert_true (bd_outlier_allows (fixture.all[0], fixture.now));
  bd_outlier_record_sent (fixture.all[0], fixture.now);
  g_assert_false (bd_outlier_allows (fixture.all[0], fixture.now));
  add_result (&fixture, 0, BD_OUTLIER_UNREACHABLE);
  g_assert_cmpint (fixture.all[0]->health.ejected_until_ms - fixture.now, >,
                   first_ms);
  fixture.now = fixture.all[0]->health.ejected_until_ms;
  bd_outlier_record_sent (fixture.all[0], fixture.now);
  add_result (&fixture, 0, BD_OUTLIER_SUCCESS);
  g_assert_true (bd_outlier_allows (fixture.all[0], fixture.now));
  bd_targets_destroy (fixture.targets);
}

static void
test_results_decay (void)
{
  struct fixture fixture;

  set_up (&fixture);
  for (int i = 0; i < 10; i++)
    add_result (&fixture, 0, BD_OUTLIER_FAILURE);
  g_assert_cmpfloat (bd_outlier_failure_rate (fixture.all[0], fixture.now), >,
                     0.8);
  g_assert_cmpfloat (
      bd_outlier_failure_rate (fixture.all[0], fixture.now + 30000), <, 0.01);
  bd_targets_destroy (fixture.targets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/outlier/partly-failing-runner",
                   test_partly_failing_runner);
  g_test_add_func ("/outlier/all-failing-alike", test_all_failing_alike);
  g_test_add_func ("/outlier/single-failure", test_single_failure);
  g_test_add_func ("/outlier/crash-and-probe", test_crash_and_probe);
  g_test_add_func ("/outlier/results-decay", test_results_decay);
  return g_test_run ();
}
