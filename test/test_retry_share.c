/* The retry budget that all instances share. */
#include "balance/retry_share.h"

#include <glib.h>

#define MEMBERS 5
#define WINDOW_MS 10000

static const struct bd_retry_bounds bounds
    = { .ratio = 0.2, .slack = 56, .window_ms = WINDOW_MS };

/* Pattern: every request fails everywhere.  In any window the instances
   together stay within the bounds. */
static void
test_storm (void)
{
  struct bd_retry_share *shares[MEMBERS];
  int firsts[200] = { 0 };
  int repeats[200] = { 0 };

  for (int m = 0; m < MEMBERS; m++)
    {
      shares[m] = bd_retry_share_create (&bounds);
      bd_retry_share_members (shares[m], MEMBERS);
    }
  for (int tick = 0; tick < 200; tick++)
    for (int m = 0; m < MEMBERS; m++)
      for (int i = 0; i < 3; i++)
        {
          int64_t now = 1000000 + tick * 200;

          bd_retry_share_first (shares[m], now, BD_CHUNK ("s"));
          firsts[tick]++;
          repeats[tick]
              += bd_retry_share_take (shares[m], now, BD_CHUNK ("s"));
        }
  for (int end = 50; end <= 200; end++)
    {
      int first = 0;
      int repeat = 0;

      for (int t = end - 50; t < end; t++)
        {
          first += firsts[t];
          repeat += repeats[t];
        }
      g_assert_cmpfloat (repeat, <=, bounds.ratio * first + bounds.slack);
      g_assert_cmpint (repeat, >, first / 10);
    }
  for (int m = 0; m < MEMBERS; m++)
    bd_retry_share_destroy (shares[m]);
}

/* An instance that knows of many others spends a small part of the slack. */
static void
test_slack_divided (void)
{
  struct bd_retry_share *share = bd_retry_share_create (&bounds);
  int taken = 0;

  bd_retry_share_members (share, 31);
  for (int i = 0; i < 100; i++)
    taken += bd_retry_share_take (share, 5000, BD_CHUNK ("s"));
  g_assert_cmpint (taken, ==, 1);
  bd_retry_share_destroy (share);
}

/* Services have budgets of their own, and a window's use ends with it. */
static void
test_apart (void)
{
  struct bd_retry_share *share = bd_retry_share_create (&bounds);

  while (bd_retry_share_take (share, 5000, BD_CHUNK ("a")))
    ;
  g_assert_true (bd_retry_share_take (share, 5000, BD_CHUNK ("b")));
  g_assert_false (
      bd_retry_share_take (share, 5000 + WINDOW_MS / 2, BD_CHUNK ("a")));
  g_assert_true (
      bd_retry_share_take (share, 5000 + WINDOW_MS + 1000, BD_CHUNK ("a")));
  bd_retry_share_destroy (share);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry-share/storm", test_storm);
  g_test_add_func ("/retry-share/slack-divided", test_slack_divided);
  g_test_add_func ("/retry-share/apart", test_apart);
  return g_test_run ();
}
