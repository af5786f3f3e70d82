/* Where requests go. */
#include "balance/choice.h"
#include "balance/outlier.h"
#include "common/random.h"
#include "support_targets.h"

#include <glib.h>
#include <string.h>

#define NOW 50000
#define SHARED 13000
#define OWN 3700

static struct bd_demand
long_demand (uint64_t prefix)
{
  return (struct bd_demand){ .service = BD_CHUNK ("llm"),
                             .zone = BD_CHUNK ("z0"),
                             .prefix_hash = bd_random_mix (prefix + 1),
                             .shared_tokens = SHARED,
                             .own_tokens = OWN,
                             .now_ms = NOW };
}

static struct bd_demand
short_demand (uint64_t prefix)
{
  struct bd_demand demand = long_demand (prefix);

  demand.shared_tokens = 350;
  demand.own_tokens = 1100;
  return demand;
}

static struct bd_pick
pick (struct bd_choice *choice, struct bd_targets *targets,
      const struct bd_demand *demand)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  return bd_choice_pick (choice, demand, all, count);
}

/* Pattern: the first seconds of a burst of long prompts on cold runners.
   Instances that never spoke send a part to the same runner, so that it is
   read once. */
static void
test_same_home (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *one = bd_choice_create (1);
  struct bd_choice *other = bd_choice_create (2);

  support_put_runners (targets, 36, 3);
  for (uint64_t prefix = 0; prefix < 900; prefix++)
    {
      struct bd_demand demand = long_demand (prefix);
      struct bd_pick a = pick (one, targets, &demand);
      struct bd_pick b;

      demand.zone = BD_CHUNK ("z2");
      b = pick (other, targets, &demand);
      g_assert_true (a.target == b.target);
      g_assert_cmpint (a.place, ==, BD_PICK_PREFERRED);
      g_assert_false (a.target->short_only);
    }
  bd_choice_destroy (one);
  bd_choice_destroy (other);
  bd_targets_destroy (targets);
}

/* Pattern: 2.6 requests for each of 900 parts within seconds.  Homes share
   the work evenly, and less than a tenth of the readings is done twice. */
static void
test_burst_spread (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  GHashTable *read
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uint64_t random = 5;
  uint64_t most = 0;
  uint64_t sum = 0;
  int again = 0;
  size_t count;
  struct bd_target *const *all;

  support_put_runners (targets, 36, 3);
  all = bd_targets_all (targets, &count);
  for (int i = 0; i < 2340; i++)
    {
      struct bd_demand demand = long_demand (bd_random_below (&random, 900));
      struct bd_pick p = pick (choice, targets, &demand);
      char *key = g_strdup_printf ("%lx", (unsigned long)demand.prefix_hash);
      void *before = g_hash_table_lookup (read, key);

      again += before && before != p.target;
      g_hash_table_insert (read, key, p.target);
      p.target->prefill_tokens += OWN;
      /* What each runner reads meanwhile: 2,340 requests in nine seconds. */
      for (size_t r = 0; r < count; r++)
        all[r]->prefill_tokens -= MIN (all[r]->prefill_tokens, 210);
    }
  for (size_t r = 0; r < count; r++)
    {
      sum += all[r]->prefill_tokens;
      most = MAX (most, all[r]->prefill_tokens);
    }
  g_assert_cmpint (again, <, 234);
  g_assert_cmpuint (most, <, 200000);
  g_hash_table_destroy (read);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* Pattern: short streams with tight pauses beside long prompts. */
static void
test_lengths_apart (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);

  support_put_runners (targets, 9, 3);
  for (uint64_t prefix = 0; prefix < 200; prefix++)
    {
      struct bd_demand demand = long_demand (prefix);
      struct bd_pick p = pick (choice, targets, &demand);

      g_assert_false (p.target->short_only);
      bd_choice_sent (choice, &demand, p.target);
      demand = short_demand (prefix);
      p = pick (choice, targets, &demand);
      g_assert_true (p.target->short_only);
      bd_choice_sent (choice, &demand, p.target);
    }
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* Pattern: a deployment with prompts of one length only.  All runners serve
   them: short ones at once, long ones when no short one came for a while. */
static void
test_one_length (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  size_t count;
  struct bd_target *const *all;
  bool on_long = false;
  bool on_short = false;

  support_put_runners (targets, 9, 3);
  all = bd_targets_all (targets, &count);
  for (uint64_t i = 0; i < 60; i++)
    {
      struct bd_demand demand = short_demand (i);
      struct bd_pick p = pick (choice, targets, &demand);

      bd_choice_sent (choice, &demand, p.target);
      p.target->in_flight++;
      on_long |= !p.target->short_only;
    }
  g_assert_true (on_long);
  for (size_t i = 0; i < count; i++)
    all[i]->in_flight = 0;
  bd_choice_destroy (choice);
  choice = bd_choice_create (1);
  for (uint64_t i = 0; i < 120; i++)
    {
      struct bd_demand demand = long_demand (i);
      struct bd_pick p;

      demand.now_ms += (int64_t)i * 500;
      p = pick (choice, targets, &demand);
      bd_choice_sent (choice, &demand, p.target);
      on_short |= p.target->short_only;
    }
  g_assert_true (on_short);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* Pattern: all runners for short prompts crash at once. */
static void
test_overflow (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = short_demand (1);
  size_t count;
  struct bd_target *const *all;

  support_put_runners (targets, 9, 3);
  all = bd_targets_all (targets, &count);
  for (size_t i = 0; i < count; i++)
    if (all[i]->short_only)
      bd_outlier_add (all[i], NOW, BD_RESULT_UNREACHABLE, all, count);
  g_assert_false (pick (choice, targets, &demand).target->short_only);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* A home that leaves, or was tried, gives way to the second. */
static void
test_home_lost (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = long_demand (3);
  struct bd_pick first;
  struct bd_pick second;
  uint32_t tried[1];

  support_put_runners (targets, 9, 3);
  first = pick (choice, targets, &demand);
  tried[0] = (uint32_t)first.target->hash;
  demand.tried = tried;
  demand.tried_count = 1;
  second = pick (choice, targets, &demand);
  g_assert_true (second.target != first.target);
  g_assert_cmpint (second.place, ==, BD_PICK_SECOND);
  demand.tried_count = 0;
  bd_targets_remove (targets, NOW, first.target->id, 100);
  g_assert_true (pick (choice, targets, &demand).target == second.target);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* With no healthy runner, an avoided one is used. */
static void
test_last_resort (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = short_demand (1);
  size_t count;
  struct bd_target *const *all;

  support_put_runners (targets, 1, 1);
  all = bd_targets_all (targets, &count);
  bd_outlier_add (all[0], NOW, BD_RESULT_UNREACHABLE, all, count);
  g_assert_true (pick (choice, targets, &demand).target == all[0]);
  demand.service = BD_CHUNK ("other");
  g_assert_null (pick (choice, targets, &demand).target);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* A plain service: the zone's own runner until its slots are taken. */
static void
test_plain (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = { .service = BD_CHUNK ("llm"),
                              .zone = BD_CHUNK ("z1"),
                              .now_ms = NOW };
  struct bd_pick p;

  support_put_runners (targets, 3, 3);
  p = pick (choice, targets, &demand);
  g_assert_true (bd_chunk_equal (p.target->zone, demand.zone));
  g_assert_cmpfloat (p.wait_ms, ==, 0.0);
  p.target->in_flight = p.target->slots;
  p = pick (choice, targets, &demand);
  g_assert_false (bd_chunk_equal (p.target->zone, demand.zone));
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* Pattern: a plain service whose requests take a millisecond, with a short
   queue.  The wait is judged by its own work, not by that of others. */
static void
test_plain_fast (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = { .service = BD_CHUNK ("llm"),
                              .zone = BD_CHUNK ("z0"),
                              .now_ms = NOW };

  support_put_runners (targets, 1, 1);
  support_target (targets, "r0")->in_flight = 128;
  g_assert_cmpfloat (pick (choice, targets, &demand).wait_ms, >, 50.0);
  for (int i = 0; i < 200; i++)
    bd_speeds_worked (bd_choice_speeds (choice), demand.service, 1);
  g_assert_cmpfloat (pick (choice, targets, &demand).wait_ms, <, 2.0);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* Pattern: streams hold all slots of a runner while it reads next to nothing.
   The wait is that for a slot, by what is learned of how long requests stay,
   and the runner with free slots gets the next one. */
static void
test_slots (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = short_demand (1);
  struct bd_pick p;

  support_put_runners (targets, 1, 1);
  for (int i = 0; i < 50; i++)
    bd_speeds_held (bd_choice_speeds (choice), demand.service, 3200);
  support_target (targets, "r0")->in_flight = 64;
  p = pick (choice, targets, &demand);
  g_assert_cmpfloat (p.wait_ms, >, 49.0);
  g_assert_cmpfloat (p.wait_ms, <, 51.0);
  support_target (targets, "r0")->in_flight = 63 + 64;
  g_assert_cmpfloat (pick (choice, targets, &demand).wait_ms, >, 3000.0);
  support_put_runners (targets, 2, 1);
  g_assert_true (pick (choice, targets, &demand).target
                 == support_target (targets, "r1"));
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* An urgent request does not wait for the slots of those behind it. */
static void
test_slots_by_urgency (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = short_demand (1);
  struct bd_reserved_load *booked;
  double urgent_ms;

  demand.coordinated = true;
  demand.priority = 1;
  support_put_runners (targets, 1, 1);
  for (int i = 0; i < 50; i++)
    bd_speeds_held (bd_choice_speeds (choice), demand.service, 3200);
  booked = &support_target (targets, "r0")->booked;
  booked->in_flight = 64 + 40;
  booked->awaiting_first_event[4] = 40;
  urgent_ms = pick (choice, targets, &demand).wait_ms;
  demand.priority = 4;
  g_assert_cmpfloat (urgent_ms, <, 100.0);
  g_assert_cmpfloat (pick (choice, targets, &demand).wait_ms, >, 2000.0);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* Pattern: the runner that holds a part is so busy that the request would be
   late there.  It goes where it can fetch the part and be in time; without an
   objective that would be lost, it waits. */
static void
test_late_at_home (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = long_demand (1);
  struct bd_target *home;

  demand.coordinated = true;
  demand.fetch_us = 4000;
  demand.own_tokens = 1000;
  support_put_runners (targets, 2, 1);
  home = support_target (targets, "r0");
  bd_parts_sent (bd_choice_parts (choice), demand.prefix_hash, home->hash,
                 NOW);
  bd_parts_read (bd_choice_parts (choice), demand.prefix_hash, home->hash);
  home->booked.prefill_tokens = 35000;
  demand.objective_ms = 5000;
  g_assert_true (pick (choice, targets, &demand).target == home);
  demand.objective_ms = 600;
  g_assert_true (pick (choice, targets, &demand).target != home);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

/* Two runners of a plain service; R0 failed FAILED of 100 lately, R1 12, and
   has as much at work as told.  Which gets the next request? */
static const char *
plain_pick (double failed, uint32_t running0, uint32_t running1)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = { .service = BD_CHUNK ("llm"),
                              .zone = BD_CHUNK ("z0"),
                              .now_ms = NOW };
  struct bd_target *runners[2];
  const char *name;

  support_put_runners (targets, 2, 1);
  for (int i = 0; i < 2; i++)
    {
      runners[i] = support_target (targets, i == 0 ? "r0" : "r1");
      runners[i]->slots = 6;
      runners[i]->record.updated_ms = NOW;
    }
  runners[0]->record.failures = failed;
  runners[0]->record.successes = 100.0 - failed;
  runners[1]->record.failures = 12.0;
  runners[1]->record.successes = 88.0;
  runners[0]->in_flight = running0;
  runners[1]->in_flight = running1;
  name = pick (choice, targets, &demand).target == runners[0] ? "r0" : "r1";
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
  return name;
}

/* Pattern: a plain service near its capacity, all of whose runners fail one
   request in seven.  What one of them failed more by chance must not leave it
   idle while requests queue at the others; one that fails most is left. */
static void
test_plain_failing (void)
{
  g_assert_cmpstr (plain_pick (22.0, 2, 9), ==, "r0");
  g_assert_cmpstr (plain_pick (18.0, 5, 7), ==, "r0");
  g_assert_cmpstr (plain_pick (70.0, 0, 6), ==, "r1");
}

/* What peers have in flight counts like one's own. */
static void
test_peers_count (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_choice *choice = bd_choice_create (1);
  struct bd_demand demand = long_demand (3);
  struct bd_pick p;

  support_put_runners (targets, 9, 3);
  p = pick (choice, targets, &demand);
  p.target->peers_prefill_tokens = 1000000;
  g_assert_true (pick (choice, targets, &demand).target != p.target);
  bd_choice_destroy (choice);
  bd_targets_destroy (targets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/choice/same-home", test_same_home);
  g_test_add_func ("/choice/burst-spread", test_burst_spread);
  g_test_add_func ("/choice/lengths-apart", test_lengths_apart);
  g_test_add_func ("/choice/one-length", test_one_length);
  g_test_add_func ("/choice/overflow", test_overflow);
  g_test_add_func ("/choice/home-lost", test_home_lost);
  g_test_add_func ("/choice/last-resort", test_last_resort);
  g_test_add_func ("/choice/plain", test_plain);
  g_test_add_func ("/choice/plain-fast", test_plain_fast);
  g_test_add_func ("/choice/slots", test_slots);
  g_test_add_func ("/choice/slots-by-urgency", test_slots_by_urgency);
  g_test_add_func ("/choice/late-at-home", test_late_at_home);
  g_test_add_func ("/choice/plain-failing", test_plain_failing);
  g_test_add_func ("/choice/peers-count", test_peers_count);
  return g_test_run ();
}
