/* Tests of what it costs to leave an availability zone. */
#include "balance/zone_cost.h"
#include "balance/selection.h"
#include "common/random.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 50000
#define OBJECTIVE_MS 1000
#define DRAWS 1000

/* Returns the ratio of requests that leave when it saves them SAVED_MS. */
static double
leaving_ratio (double own_delay_ms, double saved_ms)
{
  int leaving = 0;

  for (int i = 0; i < DRAWS; i++)
    {
      struct bd_zone_cost_request request
          = { own_delay_ms, OBJECTIVE_MS, (double)i / DRAWS };

      leaving += saved_ms > bd_zone_cost_ms (&request);
    }
  return (double)leaving / DRAWS;
}

/* Even load: a zone with room keeps all its requests, also when the runners of
   another one have less to do. */
static void
test_room (void)
{
  g_assert_cmpfloat (leaving_ratio (0.0, 0.0), ==, 0.0);
  g_assert_cmpfloat (leaving_ratio (0.0, 50.0), ==, 0.0);
  g_assert_cmpfloat (leaving_ratio (10.0, 50.0), <, 0.25);
}

/* More requests than the zone's runners serve: the share that leaves grows
   with the wait, until a twentieth of the objective. */
static void
test_too_few (void)
{
  double last = leaving_ratio (10.0, 20.0);

  for (int wait_ms = 15; wait_ms <= 50; wait_ms += 5)
    {
      double ratio = leaving_ratio (wait_ms, wait_ms);

      g_assert_cmpfloat (ratio, >, last);
      g_assert_cmpfloat (ratio - last, <, 0.25);
      last = ratio;
    }
  g_assert_cmpfloat (last, ==, 1.0);
}

/* Overload: a zone without room holds no request back beyond the cost of the
   way. */
static void
test_overload (void)
{
  g_assert_cmpfloat (leaving_ratio (200.0, 20.0), ==, 1.0);
  g_assert_cmpfloat (leaving_ratio (200.0, 1.0), ==, 0.0);
}

/* No objective is known: the way between the zones alone counts. */
static void
test_no_objective (void)
{
  struct bd_zone_cost_request calm = { 0.0, 0, 0.9 };
  struct bd_zone_cost_request busy = { 500.0, 0, 0.1 };

  g_assert_cmpfloat (bd_zone_cost_ms (&calm), ==, bd_zone_cost_ms (&busy));
  g_assert_cmpfloat (bd_zone_cost_ms (&calm), >, 0.0);
}

/* Runners of a plain service in zones z0 to z2, and their selector. */
struct fixture
{
  struct bd_targets *targets;
  struct bd_selector *selector;
  struct bd_selection_request request;
};

static void
set_up (struct fixture *f, const void *runners)
{
  f->targets = bd_targets_create ();
  f->selector = bd_selector_create (1);
  f->request = (struct bd_selection_request){ .service = BD_CHUNK ("llm"),
                                              .zone = BD_CHUNK ("z0"),
                                              .objective_ms = OBJECTIVE_MS,
                                              .now_ms = NOW };
  support_put_runners (f->targets, GPOINTER_TO_INT (runners), 3);
}

static void
tear_down (struct fixture *f, const void *runners)
{
  (void)runners;
  bd_selector_destroy (f->selector);
  bd_targets_destroy (f->targets);
}

static struct bd_target *
pick (struct fixture *f)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (f->targets, &count);

  return bd_selector_select (f->selector, &f->request, all, count).target;
}

static bool
stays (struct fixture *f)
{
  return bd_chunk_equal (pick (f)->zone, f->request.zone);
}

/* Sets the requests in flight at all runners of ZONE. */
static void
set_in_flight (struct fixture *f, struct bd_chunk zone, uint32_t in_flight)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (f->targets, &count);

  for (size_t i = 0; i < count; i++)
    if (bd_chunk_equal (all[i]->zone, zone))
      all[i]->in_flight = in_flight;
}

/* Requests placed while the reports stand still: of a zone that has some room
   left, a part leaves, and none comes back. */
static void
test_late_reports (struct fixture *f, const void *runners)
{
  int staying = 0;

  (void)runners;
  set_in_flight (f, BD_CHUNK ("z0"), 32);
  set_in_flight (f, BD_CHUNK ("z1"), 16);
  set_in_flight (f, BD_CHUNK ("z2"), 16);
  for (int i = 0; i < DRAWS; i++)
    staying += stays (f);
  g_assert_cmpint (staying, >, DRAWS / 4);
  g_assert_cmpint (staying, <, DRAWS * 3 / 4);
  f->request.zone = BD_CHUNK ("z1");
  for (int i = 0; i < DRAWS; i++)
    g_assert_true (stays (f));
}

/* The operator empties the zone: all requests leave.  Taken back, its runners
   have nothing to do, and the zone keeps its requests again. */
static void
test_emptied_and_back (struct fixture *f, const void *runners)
{
  (void)runners;
  bd_targets_set_evacuated (f->targets, f->request.zone, true, 100);
  for (int i = 0; i < DRAWS; i++)
    g_assert_false (stays (f));
  bd_targets_set_evacuated (f->targets, f->request.zone, false, 101);
  for (int i = 0; i < DRAWS; i++)
    g_assert_true (stays (f));
}

/* The zone's runners are back and cold: while they warm up, requests go to
   runners of other zones that are warm. */
static void
test_back_cold (struct fixture *f, const void *runners)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (f->targets, &count);

  (void)runners;
  for (size_t i = 0; i < count; i++)
    if (bd_chunk_equal (all[i]->zone, f->request.zone))
      all[i]->warmup_until_ms = NOW + 1000;
  g_assert_false (stays (f));
  f->request.now_ms = NOW + 1000;
  g_assert_true (stays (f));
}

/* One zone: the runner with the least work is taken, whatever the objective.
 */
static void
test_single_zone (void)
{
  struct fixture f;

  set_up (&f, GINT_TO_POINTER (0));
  support_put_runners (f.targets, 3, 1);
  support_target (f.targets, "r0")->in_flight = 2;
  support_target (f.targets, "r1")->in_flight = 1;
  support_target (f.targets, "r2")->in_flight = 2;
  g_assert_true (pick (&f) == support_target (f.targets, "r1"));
  f.request.objective_ms = 0;
  g_assert_true (pick (&f) == support_target (f.targets, "r1"));
  tear_down (&f, NULL);
}

/* A zone of a hundred runners that are all taken finds the one free runner
   elsewhere. */
static void
test_hundreds (struct fixture *f, const void *runners)
{
  (void)runners;
  set_in_flight (f, BD_CHUNK ("z0"), 640);
  set_in_flight (f, BD_CHUNK ("z1"), 640);
  set_in_flight (f, BD_CHUNK ("z2"), 640);
  support_target (f->targets, "r299")->in_flight = 0;
  for (int i = 0; i < DRAWS; i++)
    g_assert_true (pick (f) == support_target (f->targets, "r299"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/zone-cost/room", test_room);
  g_test_add_func ("/zone-cost/too-few", test_too_few);
  g_test_add_func ("/zone-cost/overload", test_overload);
  g_test_add_func ("/zone-cost/no-objective", test_no_objective);
  g_test_add_func ("/zone-cost/single-zone", test_single_zone);
  g_test_add ("/zone-cost/late-reports", struct fixture, GINT_TO_POINTER (3),
              set_up, test_late_reports, tear_down);
  g_test_add ("/zone-cost/emptied-and-back", struct fixture,
              GINT_TO_POINTER (3), set_up, test_emptied_and_back, tear_down);
  g_test_add ("/zone-cost/back-cold", struct fixture, GINT_TO_POINTER (3),
              set_up, test_back_cold, tear_down);
  g_test_add ("/zone-cost/hundreds", struct fixture, GINT_TO_POINTER (300),
              set_up, test_hundreds, tear_down);
  return g_test_run ();
}
