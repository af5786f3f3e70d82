/* Tests of the retry budget that all instances share. */
#include "balance/retry_quota.h"

#include <glib.h>

#define INSTANCES 5
#define WINDOW_MS 10000

static const struct bd_retry_limits bounds
    = { .ratio = 0.2, .slack = 56, .window_ms = WINDOW_MS };

#define TICKS 200
#define TICK_MS 200
#define WINDOW_TICKS (WINDOW_MS / TICK_MS)
#define START_MS 1000000

/* Instances of which all requests fail, with the attempts of each tick. */
struct cluster
{
  struct bd_retry_quota *quotas[INSTANCES];
  int first_attempts[TICKS];
  int retries[TICKS];
};

static int64_t
tick_ms (int tick)
{
  return START_MS + tick * TICK_MS;
}

static void
restart_all (struct cluster *f, int64_t now_ms)
{
  for (int m = 0; m < INSTANCES; m++)
    {
      if (f->quotas[m])
        bd_retry_quota_destroy (f->quotas[m]);
      f->quotas[m] = bd_retry_quota_create (&bounds, now_ms);
    }
}

static void
set_instances (struct cluster *f, int64_t now_ms, uint32_t instances)
{
  for (int m = 0; m < INSTANCES; m++)
    bd_retry_quota_set_instances (f->quotas[m], now_ms, instances);
}

/* Sends requests that fail everywhere in TICK. */
static void
fail_all (struct cluster *f, int tick)
{
  int64_t now = tick_ms (tick);

  for (int m = 0; m < INSTANCES; m++)
    for (int i = 0; i < 3; i++)
      {
        bd_retry_quota_record_first (f->quotas[m], now, BD_CHUNK ("s"));
        f->first_attempts[tick]++;
        f->retries[tick]
            += bd_retry_quota_take (f->quotas[m], now, BD_CHUNK ("s"));
        while (i == 0
               && bd_retry_quota_take (f->quotas[m], now, BD_CHUNK ("s")))
          f->retries[tick]++;
      }
}

/* Checks that in any window all instances together stay within the limits, and
   still retry. */
static void
check_windows (struct cluster *f)
{
  for (int end = WINDOW_TICKS; end <= TICKS; end++)
    {
      int attempts = 0;
      int retry_sum = 0;

      for (int t = end - WINDOW_TICKS; t < end; t++)
        {
          attempts += f->first_attempts[t];
          retry_sum += f->retries[t];
        }
      g_assert_cmpfloat (retry_sum, <=,
                         bounds.ratio * attempts + bounds.slack);
      g_assert_cmpint (retry_sum, >, attempts / 10);
    }
  for (int m = 0; m < INSTANCES; m++)
    bd_retry_quota_destroy (f->quotas[m]);
}

/* Every request fails at every runner. */
static void
test_all_requests_fail (void)
{
  struct cluster f = { 0 };

  restart_all (&f, 0);
  set_instances (&f, 0, INSTANCES);
  for (int tick = 0; tick < TICKS; tick++)
    fail_all (&f, tick);
  check_windows (&f);
}

/* All processes are killed while every request fails.  The new ones know
   neither what was spent nor, for a second, one another, so they spend none of
   the slack at first (docs/incidents/BUDGET.md). */
static void
test_restart_while_all_fail (void)
{
  struct cluster f = { 0 };

  restart_all (&f, 0);
  set_instances (&f, 0, INSTANCES);
  for (int tick = 0; tick < TICKS; tick++)
    {
      if (tick == 80 || tick == 110)
        restart_all (&f, tick_ms (tick));
      if (tick == 85 || tick == 115)
        set_instances (&f, tick_ms (tick), INSTANCES);
      fail_all (&f, tick);
    }
  check_windows (&f);
}

/* Each instance is cut off from all others while every request fails, and so
   knows only itself.  It must not spend the whole slack alone
   (docs/incidents/BUDGET.md). */
static void
test_partition_while_all_fail (void)
{
  struct cluster f = { 0 };

  restart_all (&f, 0);
  set_instances (&f, 0, INSTANCES);
  for (int tick = 0; tick < TICKS; tick++)
    {
      if (tick == 80)
        set_instances (&f, tick_ms (tick), 1);
      fail_all (&f, tick);
    }
  check_windows (&f);
}

/* Instances that are gone for long leave their part of the slack to the
   others. */
static void
test_instances_gone_for_long (void)
{
  struct bd_retry_quota *quota = bd_retry_quota_create (&bounds, 0);
  int taken = 0;

  bd_retry_quota_set_instances (quota, 0, 31);
  bd_retry_quota_set_instances (quota, 20000, 1);
  while (bd_retry_quota_take (quota, 20000 + BD_RETRY_QUOTA_SILENT_MS,
                              BD_CHUNK ("s")))
    taken++;
  g_assert_cmpint (taken, >, 31);
  bd_retry_quota_destroy (quota);
}

/* An instance that knows of many others spends only a small part of the
   slack. */
static void
test_slack_divided (void)
{
  struct bd_retry_quota *quota = bd_retry_quota_create (&bounds, 0);
  int taken = 0;

  bd_retry_quota_set_instances (quota, 0, 31);
  for (int i = 0; i < 100; i++)
    taken += bd_retry_quota_take (quota, 15000, BD_CHUNK ("s"));
  g_assert_cmpint (taken, ==, 1);
  bd_retry_quota_destroy (quota);
}

/* Each service has its own quota, and a window's use ends with it. */
static void
test_services_independent (void)
{
  struct bd_retry_quota *quota = bd_retry_quota_create (&bounds, 0);

  while (bd_retry_quota_take (quota, 15000, BD_CHUNK ("a")))
    ;
  g_assert_true (bd_retry_quota_take (quota, 15000, BD_CHUNK ("b")));
  g_assert_false (
      bd_retry_quota_take (quota, 15000 + WINDOW_MS / 2, BD_CHUNK ("a")));
  g_assert_true (
      bd_retry_quota_take (quota, 15000 + WINDOW_MS + 1000, BD_CHUNK ("a")));
  bd_retry_quota_destroy (quota);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry-quota/all-requests-fail", test_all_requests_fail);
  g_test_add_func ("/retry-quota/restart-while-all-fail",
                   test_restart_while_all_fail);
  g_test_add_func ("/retry-quota/partition-while-all-fail",
                   test_partition_while_all_fail);
  g_test_add_func ("/retry-quota/instances-gone-for-long",
                   test_instances_gone_for_long);
  g_test_add_func ("/retry-quota/slack-divided", test_slack_divided);
  g_test_add_func ("/retry-quota/services-independent",
                   test_services_independent);
  return g_test_run ();
}
