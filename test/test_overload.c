/* Tests of the rejection of requests by their expected wait. */
#include "balance/overload.h"

#include <glib.h>

#define LOWEST_PRIORITY 5

static struct bd_overload_request
make_request (double wait_ms, int64_t objective_ms, int priority)
{
  return (struct bd_overload_request){ .wait_ms = wait_ms,
                                       .objective_ms = objective_ms,
                                       .time_left_ms = 12000,
                                       .priority = priority,
                                       .lowest_priority = LOWEST_PRIORITY };
}

/* Without a wait nothing is rejected, whatever its priority. */
static void
test_no_wait_no_rejection (void)
{
  for (int priority = 0; priority <= LOWEST_PRIORITY; priority++)
    {
      struct bd_overload_request request = make_request (0, 300, priority);

      g_assert_false (bd_overload_rejects (&request));
    }
}

/* Long prompts at 2.3 times their usual rate, beside shorter and more urgent
   ones with a tighter objective.  Queues differ between runners: an urgent
   request must not be rejected at a long queue while a less urgent one is
   admitted at a queue a third as long. */
static void
test_urgent_may_wait_longer (void)
{
  struct bd_overload_request slow = make_request (0, 2000, LOWEST_PRIORITY);
  struct bd_overload_request urgent
      = make_request (0, 600, LOWEST_PRIORITY - 1);

  g_assert_cmpfloat (bd_overload_max_wait_ms (&urgent), >,
                     3 * bd_overload_max_wait_ms (&slow));
}

/* Of two requests with the same objective, the more urgent one may wait
   longer. */
static void
test_monotone (void)
{
  for (int priority = 0; priority < LOWEST_PRIORITY; priority++)
    {
      struct bd_overload_request more = make_request (0, 500, priority);
      struct bd_overload_request less = make_request (0, 500, priority + 1);

      g_assert_cmpfloat (bd_overload_max_wait_ms (&more), >,
                         bd_overload_max_wait_ms (&less));
    }
}

/* When all requests have the same priority, it is the lowest one. */
static void
test_one_priority (void)
{
  struct bd_overload_request request = make_request (0, 1000, 0);

  request.lowest_priority = 0;
  request.wait_ms = 10 * bd_overload_max_wait_ms (&request);
  g_assert_true (bd_overload_rejects (&request));
}

/* Under full pressure an urgent request that would be late is rejected, so
   that the queue holds those that can be in time.  Those are admitted, and the
   prefill time of a long prompt is no reason to reject it. */
static void
test_under_pressure (void)
{
  struct bd_overload_request request = make_request (900, 400, 1);

  g_assert_false (bd_overload_rejects (&request));
  request.pressure = 1.0;
  g_assert_true (bd_overload_rejects (&request));
  request.wait_ms = 200;
  request.service_ms = 50;
  g_assert_false (bd_overload_rejects (&request));
  request.wait_ms = 90;
  request.service_ms = 2000;
  g_assert_false (bd_overload_rejects (&request));
}

/* Lateness is limited to the objective, and excludes lateness that comes from
   the request's own prefill. */
static void
test_lateness (void)
{
  struct bd_overload_request request = make_request (300, 400, 1);

  request.service_ms = 50;
  g_assert_cmpfloat (bd_overload_lateness (&request), ==, 0.0);
  request.wait_ms = 550;
  g_assert_cmpfloat (bd_overload_lateness (&request), ==, 0.5);
  request.wait_ms = 5000;
  g_assert_cmpfloat (bd_overload_lateness (&request), ==, 1.0);
  request.service_ms = 390;
  g_assert_cmpfloat (bd_overload_lateness (&request), ==, 0.0);
}

/* A burst is rejected at once.  Its callers are told to retry at times spread
   over the length of the queue, within a third of their time left. */
static void
test_retry_times_spread (void)
{
  struct bd_overload_request request
      = make_request (2800, 2000, LOWEST_PRIORITY);
  uint64_t random = 7;
  int64_t least = G_MAXINT64;
  int64_t most = 0;

  for (int i = 0; i < 1000; i++)
    {
      int64_t ms = bd_overload_retry_after_ms (&request, &random);

      least = MIN (least, ms);
      most = MAX (most, ms);
    }
  g_assert_cmpint (least, >=, 1000);
  g_assert_cmpint (most - least, >, 1000);
  g_assert_cmpint (most, <=, 4000);
  request.time_left_ms = 900;
  for (int i = 0; i < 1000; i++)
    g_assert_cmpint (bd_overload_retry_after_ms (&request, &random), <=, 300);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/overload/no-wait-no-rejection",
                   test_no_wait_no_rejection);
  g_test_add_func ("/overload/urgent-may-wait-longer",
                   test_urgent_may_wait_longer);
  g_test_add_func ("/overload/monotone", test_monotone);
  g_test_add_func ("/overload/one-priority", test_one_priority);
  g_test_add_func ("/overload/under-pressure", test_under_pressure);
  g_test_add_func ("/overload/lateness", test_lateness);
  g_test_add_func ("/overload/retry-times-spread", test_retry_times_spread);
  return g_test_run ();
}
