/* Refusing at once what would wait too long, the least urgent first. */
#include "balance/overload.h"

#include <glib.h>

#define LEAST 5

static struct bd_overload_case
wait_case (double wait_ms, int64_t objective_ms, int priority)
{
  return (struct bd_overload_case){ .wait_ms = wait_ms,
                                    .objective_ms = objective_ms,
                                    .left_ms = 12000,
                                    .priority = priority,
                                    .least_priority = LEAST };
}

/* Pattern: nothing waits.  Nothing is refused, whatever its urgency. */
static void
test_calm (void)
{
  for (int priority = 0; priority <= LEAST; priority++)
    {
      struct bd_overload_case c = wait_case (0, 300, priority);

      g_assert_false (bd_overload_rejects (&c));
    }
}

/* Pattern: long prompts at 2.3 times their rate beside shorter, more urgent
   ones with a tighter objective.  Runners' queues differ: a more urgent
   request must not be refused at a long queue while less urgent ones are
   taken at a queue a third as long. */
static void
test_urgency_first (void)
{
  struct bd_overload_case slow = wait_case (0, 2000, LEAST);
  struct bd_overload_case urgent = wait_case (0, 600, LEAST - 1);

  g_assert_cmpfloat (bd_overload_max_wait_ms (&urgent), >,
                     3 * bd_overload_max_wait_ms (&slow));
}

/* The more urgent of two requests with one objective is taken longer. */
static void
test_monotone (void)
{
  for (int priority = 0; priority < LEAST; priority++)
    {
      struct bd_overload_case more = wait_case (0, 500, priority);
      struct bd_overload_case less = wait_case (0, 500, priority + 1);

      g_assert_cmpfloat (bd_overload_max_wait_ms (&more), >,
                         bd_overload_max_wait_ms (&less));
    }
}

/* All requests of one urgency: that one is the least urgent. */
static void
test_one_urgency (void)
{
  struct bd_overload_case c = wait_case (0, 1000, 0);

  c.least_priority = 0;
  c.wait_ms = 10 * bd_overload_max_wait_ms (&c);
  g_assert_true (bd_overload_rejects (&c));
}

/* Pattern: the pool is pressed.  What cannot be in time any more is refused
   though it is urgent, so that the queue holds what still can; what can is
   taken, and a long prompt's own reading is no reason to refuse it. */
static void
test_under_pressure (void)
{
  struct bd_overload_case c = wait_case (900, 400, 1);

  g_assert_false (bd_overload_rejects (&c));
  c.pressure = 1.0;
  g_assert_true (bd_overload_rejects (&c));
  c.wait_ms = 200;
  c.service_ms = 50;
  g_assert_false (bd_overload_rejects (&c));
  c.wait_ms = 90;
  c.service_ms = 2000;
  g_assert_false (bd_overload_rejects (&c));
}

/* How late a request is counts up to its objective, and not what its own
   reading takes. */
static void
test_lateness (void)
{
  struct bd_overload_case c = wait_case (300, 400, 1);

  c.service_ms = 50;
  g_assert_cmpfloat (bd_overload_lateness (&c), ==, 0.0);
  c.wait_ms = 550;
  g_assert_cmpfloat (bd_overload_lateness (&c), ==, 0.5);
  c.wait_ms = 5000;
  g_assert_cmpfloat (bd_overload_lateness (&c), ==, 1.0);
  c.service_ms = 390;
  g_assert_cmpfloat (bd_overload_lateness (&c), ==, 0.0);
}

/* Pattern: a burst is refused at once.  Its callers come back spread over
   the time the queue needs, never after a third of their time. */
static void
test_returns_spread (void)
{
  struct bd_overload_case c = wait_case (2800, 2000, LEAST);
  uint64_t random = 7;
  int64_t least = G_MAXINT64;
  int64_t most = 0;

  for (int i = 0; i < 1000; i++)
    {
      int64_t ms = bd_overload_retry_after_ms (&c, &random);

      least = MIN (least, ms);
      most = MAX (most, ms);
    }
  g_assert_cmpint (least, >=, 1000);
  g_assert_cmpint (most - least, >, 1000);
  g_assert_cmpint (most, <=, 4000);
  c.left_ms = 900;
  for (int i = 0; i < 1000; i++)
    g_assert_cmpint (bd_overload_retry_after_ms (&c, &random), <=, 300);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/overload/calm", test_calm);
  g_test_add_func ("/overload/urgency-first", test_urgency_first);
  g_test_add_func ("/overload/monotone", test_monotone);
  g_test_add_func ("/overload/one-urgency", test_one_urgency);
  g_test_add_func ("/overload/under-pressure", test_under_pressure);
  g_test_add_func ("/overload/lateness", test_lateness);
  g_test_add_func ("/overload/returns-spread", test_returns_spread);
  return g_test_run ();
}
