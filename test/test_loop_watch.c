/* Times in which the event loop stood still. */
#include "gateway/loop_watch.h"

#include <glib.h>

#define INTERVAL 100

static struct bd_loop_delay
delay_after (int64_t boot, int64_t steady, int64_t cpu)
{
  struct bd_loop_clocks last = { 5000, 4000, 300 };
  struct bd_loop_clocks now = { 5000 + boot, 4000 + steady, 300 + cpu };

  return bd_loop_delay_between (&last, &now, INTERVAL);
}

static void
test_in_time (void)
{
  struct bd_loop_delay delay = delay_after (130, 130, 20);

  g_assert_cmpint (delay.suspended_ms, ==, 0);
  g_assert_cmpint (delay.late_ms, ==, 0);
}

/* The loop came late, because the process was busy or got no processor. */
static void
test_late (void)
{
  struct bd_loop_delay delay = delay_after (900, 900, 850);

  g_assert_cmpint (delay.suspended_ms, ==, 0);
  g_assert_cmpint (delay.late_ms, ==, 800);
  g_assert_cmpint (delay.cpu_ms, ==, 850);
}

static void
test_suspended (void)
{
  struct bd_loop_delay delay = delay_after (7100, 100, 2);

  g_assert_cmpint (delay.suspended_ms, ==, 7000);
  g_assert_cmpint (delay.late_ms, ==, 0);
}

static void
test_clocks (void)
{
  struct bd_loop_clocks first = bd_loop_clocks_now ();
  struct bd_loop_clocks second = bd_loop_clocks_now ();

  g_assert_cmpint (second.boot_ms, >=, first.boot_ms);
  g_assert_cmpint (second.steady_ms, >=, first.steady_ms);
  g_assert_cmpint (second.cpu_ms, >=, first.cpu_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/loop-watch/in-time", test_in_time);
  g_test_add_func ("/loop-watch/late", test_late);
  g_test_add_func ("/loop-watch/suspended", test_suspended);
  g_test_add_func ("/loop-watch/clocks", test_clocks);
  return g_test_run ();
}
