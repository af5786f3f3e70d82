/* Tests of the rate limits that runners ask for: who keeps them, and how each
   ends. */
#include "balance/decision.h"
#include "balance/runner_limit.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 100000
/* A limit allows in a window of 4 s so much more than its rate. */
#define WINDOW_MS 4000
#define FACTOR 1.5
#define SLACK 5

struct fixture
{
  struct bd_targets *targets;
  struct bd_selector *selector;
  struct bd_target *target;
  uint64_t random;
};

static void
open_fixture (struct fixture *fixture, int runners)
{
  fixture->targets = bd_targets_create ();
  fixture->selector = bd_selector_create (1);
  fixture->random = 1;
  support_put_runners (fixture->targets, runners, 1);
  fixture->target = support_target (fixture->targets, "r0");
}

static void
close_fixture (struct fixture *fixture)
{
  bd_selector_destroy (fixture->selector);
  bd_targets_destroy (fixture->targets);
}

/* Places a request as the coordinator, or else with SHARE. */
static struct bd_target *
place (struct fixture *fixture, int64_t now_ms,
       const struct bd_runner_limit_share *share)
{
  struct bd_selection_request request = { .service = BD_CHUNK ("llm"),
                                          .zone = BD_CHUNK ("z0"),
                                          .unshared_tokens = 1000,
                                          .now_ms = now_ms,
                                          .coordinated = !share,
                                          .shards = 1 };
  struct bd_overload_request overload
      = { .objective_ms = 60000, .time_left_ms = 60000, .lowest_priority = 5 };

  if (share)
    request.share = *share;
  return bd_decide (fixture->selector, fixture->targets, &request, &overload,
                    false, &fixture->random)
      .selection.target;
}

/* Returns the number of requests that are placed from FROM_MS on for
   DURATION_MS, with one attempt in each millisecond. */
static uint32_t
place_many (struct fixture *fixture, int64_t from_ms, int64_t duration_ms,
            const struct bd_runner_limit_share *share)
{
  uint32_t placed = 0;

  for (int64_t ms = 0; ms < duration_ms; ms++)
    placed += place (fixture, from_ms + ms, share) == fixture->target;
  return placed;
}

/* A coordinator gives a limited runner no more than it asks for, in every
   window, and as much as it asks for; other runners get the rest. */
static void
test_coordinator_keeps_rate (void)
{
  static const int64_t rates[] = { 100, 1000, 4100, 12500, 250000 };

  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct fixture fixture;
      double in_window = (double)rates[i] * WINDOW_MS / 1000000.0;
      uint32_t placed;

      open_fixture (&fixture, 1);
      bd_runner_limit_named (fixture.target, 0, NOW, rates[i]);
      g_assert_cmpuint (place_many (&fixture, NOW, 1, NULL), ==, 0);
      place_many (&fixture, NOW, 60000, NULL);
      for (int64_t ms = 60000; ms < 100000; ms += WINDOW_MS)
        {
          placed = place_many (&fixture, NOW + ms, WINDOW_MS, NULL);
          g_assert_cmpfloat (placed, <=, in_window + 1.0);
          g_assert_cmpfloat (placed, >=, in_window - 1.0);
        }
      /* After a time without requests it gets a burst. */
      placed = place_many (&fixture, NOW + 200000, WINDOW_MS, NULL);
      g_assert_cmpfloat (placed, <=, in_window * FACTOR + SLACK);
      close_fixture (&fixture);
    }
}

/* All instances lose their coordinator at once and place by themselves.  An
   equal share each, without savings, keeps the limit as well. */
static void
test_shares_keep_rate (void)
{
  static const uint32_t instances[] = { 1, 5, 68, 300 };

  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    {
      struct bd_runner_limit_share share = { instances[i], NOW + 60000 };
      double placed = 0.0;

      for (uint32_t n = 0; n < instances[i]; n++)
        {
          struct fixture fixture;

          open_fixture (&fixture, 1);
          bd_runner_limit_named (fixture.target, 0, NOW, 4100);
          for (int64_t ms = 0; ms < WINDOW_MS; ms += 10)
            placed += place (&fixture, NOW + 60000 + ms, &share) != NULL;
          close_fixture (&fixture);
        }
      g_assert_cmpfloat (placed, <=, 4.1 * WINDOW_MS / 1000.0);
    }
}

/* A new coordinator does not know what the one before has sent: it begins
   without savings.  Both together keep the limit. */
static void
test_next_coordinator (void)
{
  struct fixture former;
  struct fixture next;
  uint32_t placed = 0;

  open_fixture (&former, 1);
  open_fixture (&next, 1);
  bd_runner_limit_named (former.target, 0, NOW, 1000);
  bd_runner_limit_heard (next.target, 0, NOW + 400, NOW, 1000);
  placed += place_many (&former, NOW + 60000, 2000, NULL);
  bd_runner_limit_begin (next.target, NOW + 62000);
  placed += place_many (&next, NOW + 62000, 2000, NULL);
  g_assert_cmpuint (placed, <=, 5);
  close_fixture (&former);
  close_fixture (&next);
}

/* What other instances place by themselves counts against the coordinator's
   bucket. */
static void
test_debit (void)
{
  struct fixture fixture;

  open_fixture (&fixture, 1);
  bd_runner_limit_named (fixture.target, 0, NOW, 2000);
  bd_runner_limit_debit (fixture.target, NOW + 5000);
  bd_runner_limit_debit (fixture.target, NOW + 5000);
  g_assert_null (place (&fixture, NOW + 5900, NULL));
  g_assert_nonnull (place (&fixture, NOW + 6000, NULL));
  /* However many they are, the runner is used again after a while. */
  for (int i = 0; i < 1000; i++)
    bd_runner_limit_debit (fixture.target, NOW + 6500);
  g_assert_nonnull (place (&fixture, NOW + 8000, NULL));
  close_fixture (&fixture);
}

/* A limited runner is left out while it has no request to spare, and a runner
   that is ejected is used rather than the limit broken. */
static void
test_other_runners (void)
{
  struct fixture fixture;
  struct bd_target *other;

  open_fixture (&fixture, 2);
  other = support_target (fixture.targets, "r1");
  other->assigned.in_flight = 40;
  bd_runner_limit_named (fixture.target, 0, NOW, 1000);
  g_assert_true (place (&fixture, NOW + 999, NULL) == other);
  g_assert_true (place (&fixture, NOW + 1000, NULL) == fixture.target);
  other->health.ejected_until_ms = NOW + 9000;
  g_assert_true (place (&fixture, NOW + 1001, NULL) == other);
  close_fixture (&fixture);
}

/* The limit ends with a response that names none, unless that answers a
   request sent before the limit was named last: it may have been on its way
   since. */
static void
test_end (void)
{
  struct fixture fixture;

  open_fixture (&fixture, 1);
  bd_runner_limit_named (fixture.target, 0, NOW, 1000);
  bd_runner_limit_absent (fixture.target, 0, NOW + 20, NOW - 10);
  g_assert_cmpuint (fixture.target->limit.rate, ==, 1000);
  bd_runner_limit_named (fixture.target, 0, NOW + 30, 500);
  bd_runner_limit_absent (fixture.target, 0, NOW + 40, NOW + 30);
  g_assert_cmpuint (fixture.target->limit.rate, ==, 500);
  bd_runner_limit_absent (fixture.target, 0, NOW + 50, NOW + 31);
  g_assert_cmpuint (fixture.target->limit.rate, ==, 0);
  g_assert_cmpuint (place_many (&fixture, NOW + 50, 100, NULL), ==, 100);
  close_fixture (&fixture);
}

/* The latest of what several instances heard holds, whatever the order in
   which it arrives. */
static void
test_latest_holds (void)
{
  struct fixture fixture;

  open_fixture (&fixture, 1);
  bd_runner_limit_heard (fixture.target, 0, NOW + 500, NOW + 100, 2000);
  bd_runner_limit_heard (fixture.target, 0, NOW + 510, NOW + 90, 4000);
  g_assert_cmpuint (fixture.target->limit.rate, ==, 2000);
  bd_runner_limit_heard (fixture.target, 0, NOW + 520, NOW + 110, 0);
  g_assert_cmpuint (fixture.target->limit.rate, ==, 0);
  bd_runner_limit_heard (fixture.target, 0, NOW + 530, NOW + 100, 2000);
  g_assert_cmpuint (fixture.target->limit.rate, ==, 0);
  close_fixture (&fixture);
}

/* A runner that names 0 is still asked now and then, so that it can end its
   limit; a huge rate is no limit in effect. */
static void
test_extremes (void)
{
  struct fixture fixture;

  open_fixture (&fixture, 1);
  bd_runner_limit_named (fixture.target, 0, NOW, 0);
  g_assert_cmpuint (place_many (&fixture, NOW, 30001, NULL), ==, 3);
  bd_runner_limit_named (fixture.target, 0, NOW + 30001, INT64_MAX);
  g_assert_cmpuint (place_many (&fixture, NOW + 30010, 100, NULL), ==, 100);
  close_fixture (&fixture);
}

/* A lower rate takes effect at once, also on what was saved up. */
static void
test_lower_rate (void)
{
  struct fixture fixture;

  open_fixture (&fixture, 1);
  bd_runner_limit_named (fixture.target, 0, NOW, 100000);
  bd_runner_limit_named (fixture.target, 0, NOW + 10000, 1000);
  g_assert_cmpuint (place_many (&fixture, NOW + 10000, WINDOW_MS, NULL), <=,
                    5);
  close_fixture (&fixture);
}

/* The runner's entry disappears while the store is away, and returns: the
   limit still holds.  A process that started later has none. */
static void
test_entry_comes_back (void)
{
  struct fixture fixture;
  struct bd_target_entry entry = support_entry ("a", "z0");

  open_fixture (&fixture, 1);
  entry.started_ms = 5;
  bd_targets_put (fixture.targets, NOW, &entry, 11);
  bd_runner_limit_named (support_target (fixture.targets, "a"), 5, NOW, 1000);
  bd_targets_remove (fixture.targets, NOW + 100, entry.id, 12);
  bd_targets_tick (fixture.targets, NOW + 200);
  bd_targets_put (fixture.targets, NOW + 300, &entry, 13);
  g_assert_cmpuint (support_target (fixture.targets, "a")->limit.rate, ==,
                    1000);
  entry.started_ms = 6;
  bd_targets_put (fixture.targets, NOW + BD_TARGET_LIST_DELAY_MAX_MS, &entry,
                  14);
  g_assert_cmpuint (support_target (fixture.targets, "a")->limit.rate, ==, 0);
  bd_runner_limit_heard (support_target (fixture.targets, "a"), 5, NOW + 9000,
                         NOW + 8900, 1000);
  g_assert_cmpuint (support_target (fixture.targets, "a")->limit.rate, ==, 0);
  close_fixture (&fixture);
}

/* Callers whose requests no runner may get are told to return one after the
   other, at the rate of all limited runners, and not too late. */
static void
test_turns (void)
{
  struct fixture fixture;
  size_t count;
  struct bd_target *const *all;
  int64_t last_ms = 0;

  open_fixture (&fixture, 2);
  all = bd_targets_all (fixture.targets, &count);
  g_assert_cmpint (bd_runner_limit_next_turn_ms (all, count, NOW), ==, 0);
  bd_runner_limit_named (all[0], 0, NOW, 2000);
  bd_runner_limit_named (all[1], 0, NOW, 2000);
  g_assert_cmpint (bd_runner_limit_next_turn_ms (all, count, NOW), ==, 500);
  g_assert_cmpint (bd_runner_limit_next_turn_ms (all, count, NOW), ==, 500);
  g_assert_cmpint (bd_runner_limit_next_turn_ms (all, count, NOW), ==, 1000);
  for (int i = 0; i < 1000; i++)
    last_ms = bd_runner_limit_next_turn_ms (all, count, NOW);
  g_assert_cmpint (last_ms, ==, BD_RUNNER_LIMIT_TURN_MAX_MS);
  close_fixture (&fixture);
}

/* A runner that comes back cold takes so many requests of all instances, and
   any number once it is warm.  It got as many as before. */
static void
test_cold (void)
{
  struct fixture fixture;
  struct bd_target_entry entry = support_entry ("r0", "z0");
  uint32_t placed;

  open_fixture (&fixture, 1);
  bd_targets_set_cold_rate (fixture.targets, BD_CHUNK ("llm"), 6600);
  g_assert_cmpuint (place_many (&fixture, NOW, 100, NULL), ==, 100);
  entry.started_ms = 9;
  entry.warmup_left_ms = 3000;
  bd_targets_put (fixture.targets, NOW + 1000, &entry, 50);
  for (int second = 0; second < 3; second++)
    {
      placed = place_many (&fixture, NOW + 1000 + second * 1000, 1000, NULL);
      g_assert_cmpuint (placed, <=, 10);
      g_assert_cmpuint (placed, >=, 5);
    }
  g_assert_cmpuint (place_many (&fixture, NOW + 4000, 100, NULL), ==, 100);
  close_fixture (&fixture);
}

/* The bound of one second holds from any moment on and for any rate: the rate
   times 1.5, and 5 requests.  After a pause it may begin with a burst. */
static void
test_cold_bound (void)
{
  static const uint32_t rates[] = { 300, 2000, 6600, 40000, 300000 };

  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct fixture fixture;
      struct bd_target_entry entry = support_entry ("r0", "z0");

      open_fixture (&fixture, 1);
      bd_targets_set_cold_rate (fixture.targets, BD_CHUNK ("llm"), rates[i]);
      entry.warmup_left_ms = 60000;
      bd_targets_put (fixture.targets, NOW, &entry, 50);
      g_assert_cmpfloat (place_many (&fixture, NOW + 20000, 1000, NULL), <=,
                         rates[i] / 1000.0 * 1.5 + 5);
      close_fixture (&fixture);
    }
}

/* The lower of two limits counts, and one outlives the other. */
static void
test_cold_and_named (void)
{
  struct fixture fixture;
  struct bd_target_entry entry = support_entry ("r0", "z0");

  open_fixture (&fixture, 1);
  bd_targets_set_cold_rate (fixture.targets, BD_CHUNK ("llm"), 6000);
  entry.warmup_left_ms = 3000;
  bd_targets_put (fixture.targets, NOW, &entry, 50);
  g_assert_cmpuint (bd_runner_limit_rate (fixture.target, NOW), ==, 6000);
  bd_runner_limit_named (fixture.target, 0, NOW, 9000);
  g_assert_cmpuint (bd_runner_limit_rate (fixture.target, NOW), ==, 6000);
  g_assert_cmpuint (bd_runner_limit_rate (fixture.target, NOW + 3000), ==,
                    9000);
  bd_runner_limit_named (fixture.target, 0, NOW + 100, 2000);
  g_assert_cmpuint (bd_runner_limit_rate (fixture.target, NOW + 100), ==,
                    2000);
  bd_runner_limit_absent (fixture.target, 0, NOW + 300, NOW + 200);
  g_assert_cmpuint (bd_runner_limit_rate (fixture.target, NOW + 300), ==,
                    6000);
  close_fixture (&fixture);
}

/* An entry that is read a second time, after an error of the store, does not
   make its runner cold again; runners that register later have the limit of
   their service too. */
static void
test_cold_once (void)
{
  struct fixture fixture;
  struct bd_target_entry entry = support_entry ("a", "z0");

  open_fixture (&fixture, 1);
  bd_targets_set_cold_rate (fixture.targets, BD_CHUNK ("llm"), 6000);
  entry.warmup_left_ms = 3000;
  bd_targets_put (fixture.targets, NOW, &entry, 50);
  bd_targets_put (fixture.targets, NOW + 9000, &entry, 50);
  g_assert_cmpuint (
      bd_runner_limit_rate (support_target (fixture.targets, "a"), NOW), ==,
      6000);
  g_assert_cmpuint (
      bd_runner_limit_rate (support_target (fixture.targets, "a"), NOW + 9000),
      ==, 0);
  bd_targets_set_cold_rate (fixture.targets, BD_CHUNK ("llm"), 0);
  g_assert_cmpuint (
      bd_runner_limit_rate (support_target (fixture.targets, "a"), NOW), ==,
      0);
  close_fixture (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/runner-limit/coordinator-keeps-rate",
                   test_coordinator_keeps_rate);
  g_test_add_func ("/runner-limit/shares-keep-rate", test_shares_keep_rate);
  g_test_add_func ("/runner-limit/next-coordinator", test_next_coordinator);
  g_test_add_func ("/runner-limit/debit", test_debit);
  g_test_add_func ("/runner-limit/other-runners", test_other_runners);
  g_test_add_func ("/runner-limit/end", test_end);
  g_test_add_func ("/runner-limit/latest-holds", test_latest_holds);
  g_test_add_func ("/runner-limit/extremes", test_extremes);
  g_test_add_func ("/runner-limit/lower-rate", test_lower_rate);
  g_test_add_func ("/runner-limit/entry-comes-back", test_entry_comes_back);
  g_test_add_func ("/runner-limit/turns", test_turns);
  g_test_add_func ("/runner-limit/cold", test_cold);
  g_test_add_func ("/runner-limit/cold-bound", test_cold_bound);
  g_test_add_func ("/runner-limit/cold-and-named", test_cold_and_named);
  g_test_add_func ("/runner-limit/cold-once", test_cold_once);
  return g_test_run ();
}
