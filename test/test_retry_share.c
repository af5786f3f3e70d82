/* The retry budget that all instances share. */
#include "balance/retry_share.h"

#include <glib.h>

#define MEMBERS 5
#define WINDOW_MS 10000

static const struct bd_retry_bounds bounds
    = { .ratio = 0.2, .slack = 56, .window_ms = WINDOW_MS };

#define TICKS 200
#define TICK_MS 200
#define WINDOW_TICKS (WINDOW_MS / TICK_MS)
#define BEGIN_MS 1000000

/* Instances in a storm of failures, and what each tick brought. */
struct fleet
{
  struct bd_retry_share *shares[MEMBERS];
  int firsts[TICKS];
  int repeats[TICKS];
};

static int64_t
time_of (int tick)
{
  return BEGIN_MS + tick * TICK_MS;
}

static void
start (struct fleet *f, int64_t now_ms)
{
  for (int m = 0; m < MEMBERS; m++)
    {
      if (f->shares[m])
        bd_retry_quota_destroy (f->shares[m]);
      f->shares[m] = bd_retry_share_create (&bounds, now_ms);
    }
}

static void
meet (struct fleet *f, int64_t now_ms, uint32_t members)
{
  for (int m = 0; m < MEMBERS; m++)
    bd_retry_share_members (f->shares[m], now_ms, members);
}

/* Every request of TICK fails everywhere. */
static void
storm (struct fleet *f, int tick)
{
  int64_t now = time_of (tick);

  for (int m = 0; m < MEMBERS; m++)
    for (int i = 0; i < 3; i++)
      {
        bd_retry_share_first (f->shares[m], now, BD_CHUNK ("s"));
        f->firsts[tick]++;
        f->repeats[tick]
            += bd_retry_share_take (f->shares[m], now, BD_CHUNK ("s"));
        while (i == 0
               && bd_retry_share_take (f->shares[m], now, BD_CHUNK ("s")))
          f->repeats[tick]++;
      }
}

/* In any window the instances together stay within the bounds, and still
   repeat. */
static void
finish (struct fleet *f)
{
  for (int end = WINDOW_TICKS; end <= TICKS; end++)
    {
      int first = 0;
      int repeat = 0;

      for (int t = end - WINDOW_TICKS; t < end; t++)
        {
          first += f->firsts[t];
          repeat += f->repeats[t];
        }
      g_assert_cmpfloat (repeat, <=, bounds.ratio * first + bounds.slack);
      g_assert_cmpint (repeat, >, first / 10);
    }
  for (int m = 0; m < MEMBERS; m++)
    bd_retry_quota_destroy (f->shares[m]);
}

/* Pattern: every request fails everywhere. */
static void
test_storm (void)
{
  struct fleet f = { 0 };

  start (&f, 0);
  meet (&f, 0, MEMBERS);
  for (int tick = 0; tick < TICKS; tick++)
    storm (&f, tick);
  finish (&f);
}

/* Incident BUDGET: all processes are killed in the storm, and those that come
   know neither what was spent nor, for a second, one another. */
static void
test_killed_in_storm (void)
{
  struct fleet f = { 0 };

  start (&f, 0);
  meet (&f, 0, MEMBERS);
  for (int tick = 0; tick < TICKS; tick++)
    {
      if (tick == 80 || tick == 110)
        start (&f, time_of (tick));
      if (tick == 85 || tick == 115)
        meet (&f, time_of (tick), MEMBERS);
      storm (&f, tick);
    }
  finish (&f);
}

/* Incident BUDGET: each instance is cut off from all others in the storm, and
   sees only itself. */
static void
test_cut_in_storm (void)
{
  struct fleet f = { 0 };

  start (&f, 0);
  meet (&f, 0, MEMBERS);
  for (int tick = 0; tick < TICKS; tick++)
    {
      if (tick == 80)
        meet (&f, time_of (tick), 1);
      storm (&f, tick);
    }
  finish (&f);
}

/* Instances that are gone for long leave their part to the others. */
static void
test_fewer_for_long (void)
{
  struct bd_retry_share *share = bd_retry_share_create (&bounds, 0);
  int taken = 0;

  bd_retry_share_members (share, 0, 31);
  bd_retry_share_members (share, 20000, 1);
  while (bd_retry_share_take (share, 20000 + BD_RETRY_QUOTA_SILENT_MS,
                              BD_CHUNK ("s")))
    taken++;
  g_assert_cmpint (taken, >, 31);
  bd_retry_quota_destroy (share);
}

/* An instance that knows of many others spends a small part of the slack. */
static void
test_slack_divided (void)
{
  struct bd_retry_share *share = bd_retry_share_create (&bounds, 0);
  int taken = 0;

  bd_retry_share_members (share, 0, 31);
  for (int i = 0; i < 100; i++)
    taken += bd_retry_share_take (share, 15000, BD_CHUNK ("s"));
  g_assert_cmpint (taken, ==, 1);
  bd_retry_quota_destroy (share);
}

/* Services have budgets of their own, and a window's use ends with it. */
static void
test_apart (void)
{
  struct bd_retry_share *share = bd_retry_share_create (&bounds, 0);

  while (bd_retry_share_take (share, 15000, BD_CHUNK ("a")))
    ;
  g_assert_true (bd_retry_share_take (share, 15000, BD_CHUNK ("b")));
  g_assert_false (
      bd_retry_share_take (share, 15000 + WINDOW_MS / 2, BD_CHUNK ("a")));
  g_assert_true (
      bd_retry_share_take (share, 15000 + WINDOW_MS + 1000, BD_CHUNK ("a")));
  bd_retry_quota_destroy (share);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry-share/storm", test_storm);
  g_test_add_func ("/retry-share/killed-in-storm", test_killed_in_storm);
  g_test_add_func ("/retry-share/cut-in-storm", test_cut_in_storm);
  g_test_add_func ("/retry-share/fewer-for-long", test_fewer_for_long);
  g_test_add_func ("/retry-share/slack-divided", test_slack_divided);
  g_test_add_func ("/retry-share/apart", test_apart);
  return g_test_run ();
}
