/* Passive health of runners against their peers. */
#include "balance/outlier.h"
#include "support_targets.h"

#include <glib.h>

#define RUNNERS 6
#define NOW 50000

struct world
{
  struct bd_targets *targets;
  struct bd_target *const *all;
  size_t count;
  int64_t now;
};

static void
open_world (struct world *world)
{
  world->targets = bd_targets_create ();
  support_put_runners (world->targets, RUNNERS, 1);
  world->all = bd_targets_all (world->targets, &world->count);
  world->now = NOW;
}

static void
add (struct world *world, size_t runner, enum bd_result result)
{
  bd_outlier_add (world->all[runner], world->now, result, world->all,
                  world->count);
}

static void
add_all (struct world *world, enum bd_result result, int times)
{
  for (int i = 0; i < times; i++)
    for (size_t r = 0; r < world->count; r++)
      add (world, r, result);
}

/* Pattern: one runner fails part of its requests, its peers none. */
static void
test_grey_runner (void)
{
  struct world world;

  open_world (&world);
  add_all (&world, BD_RESULT_SUCCESS, 3);
  for (int i = 0; i < 4; i++)
    add (&world, 0, BD_RESULT_FAILURE);
  g_assert_false (bd_outlier_allows (world.all[0], world.now));
  for (size_t r = 1; r < world.count; r++)
    g_assert_true (bd_outlier_allows (world.all[r], world.now));
  bd_targets_destroy (world.targets);
}

/* Pattern: all runners fail alike; avoiding some would only move the load. */
static void
test_all_grey (void)
{
  struct world world;

  open_world (&world);
  for (int i = 0; i < 6; i++)
    {
      add_all (&world, BD_RESULT_SUCCESS, 1);
      add_all (&world, BD_RESULT_FAILURE, 1);
    }
  for (size_t r = 0; r < world.count; r++)
    g_assert_true (bd_outlier_allows (world.all[r], world.now));
  bd_targets_destroy (world.targets);
}

/* Pattern: a single failure among successes. */
static void
test_single_failure (void)
{
  struct world world;

  open_world (&world);
  add_all (&world, BD_RESULT_SUCCESS, 2);
  add (&world, 0, BD_RESULT_FAILURE);
  g_assert_true (bd_outlier_allows (world.all[0], world.now));
  bd_targets_destroy (world.targets);
}

/* Pattern: a runner crashed; it is tried again with one request at a time,
   and avoided for longer while that fails. */
static void
test_crash_and_trial (void)
{
  struct world world;
  int64_t first;

  open_world (&world);
  add (&world, 0, BD_RESULT_UNREACHABLE);
  g_assert_false (bd_outlier_allows (world.all[0], world.now));
  first = world.all[0]->record.avoid_until_ms - world.now;
  world.now = world.all[0]->record.avoid_until_ms;
  g_assert_true (bd_outlier_allows (world.all[0], world.now));
  bd_outlier_sent (world.all[0], world.now);
  g_assert_false (bd_outlier_allows (world.all[0], world.now));
  add (&world, 0, BD_RESULT_UNREACHABLE);
  g_assert_cmpint (world.all[0]->record.avoid_until_ms - world.now, >, first);
  world.now = world.all[0]->record.avoid_until_ms;
  bd_outlier_sent (world.all[0], world.now);
  add (&world, 0, BD_RESULT_SUCCESS);
  g_assert_true (bd_outlier_allows (world.all[0], world.now));
  bd_targets_destroy (world.targets);
}

static void
test_forgets (void)
{
  struct world world;

  open_world (&world);
  for (int i = 0; i < 10; i++)
    add (&world, 0, BD_RESULT_FAILURE);
  g_assert_cmpfloat (bd_outlier_failing (world.all[0], world.now), >, 0.8);
  g_assert_cmpfloat (bd_outlier_failing (world.all[0], world.now + 30000), <,
                     0.01);
  bd_targets_destroy (world.targets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/outlier/grey-runner", test_grey_runner);
  g_test_add_func ("/outlier/all-grey", test_all_grey);
  g_test_add_func ("/outlier/single-failure", test_single_failure);
  g_test_add_func ("/outlier/crash-and-trial", test_crash_and_trial);
  g_test_add_func ("/outlier/forgets", test_forgets);
  return g_test_run ();
}
