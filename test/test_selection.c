/* Tests of the selection of runners. */
#include "balance/selection.h"
#include "balance/outlier.h"
#include "common/random.h"
#include "support_targets.h"

#include <glib.h>
#include <string.h>

#define NOW 50000
#define PREFIX_TOKENS 13000
#define UNSHARED_TOKENS 3700

static struct bd_selection_request
long_prompt (uint64_t prefix)
{
  return (struct bd_selection_request){ .service = BD_CHUNK ("llm"),
                                        .zone = BD_CHUNK ("z0"),
                                        .prefix_hash
                                        = bd_random_mix (prefix + 1),
                                        .prefix_tokens = PREFIX_TOKENS,
                                        .unshared_tokens = UNSHARED_TOKENS,
                                        .now_ms = NOW };
}

static struct bd_selection_request
short_prompt (uint64_t prefix)
{
  struct bd_selection_request request = long_prompt (prefix);

  request.prefix_tokens = 350;
  request.unshared_tokens = 1100;
  return request;
}

static struct bd_selection
pick (struct bd_selector *selector, struct bd_targets *targets,
      const struct bd_selection_request *request)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  return bd_selector_select (selector, request, all, count);
}

/* A burst of long prompts on runners with empty caches.  Instances that have
   not exchanged any message send a prefix to the same runner, so that it is
   processed only once. */
static void
test_same_preferred_runner (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *first_selector = bd_selector_create (1);
  struct bd_selector *second_selector = bd_selector_create (2);

  support_put_runners (targets, 36, 3);
  for (uint64_t prefix = 0; prefix < 900; prefix++)
    {
      struct bd_selection_request request = long_prompt (prefix);
      struct bd_selection a = pick (first_selector, targets, &request);
      struct bd_selection b;

      request.zone = BD_CHUNK ("z2");
      b = pick (second_selector, targets, &request);
      g_assert_true (a.target == b.target);
      g_assert_cmpint (a.reason, ==, BD_SELECTION_PREFERRED);
      g_assert_false (a.target->short_only);
    }
  bd_selector_destroy (first_selector);
  bd_selector_destroy (second_selector);
  bd_targets_destroy (targets);
}

/* About 2.6 requests for each of 900 prefixes within seconds.  The preferred
   runners share the work evenly, and less than a tenth of the prefills is
   duplicated. */
static void
test_burst_spread (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  GHashTable *processed_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uint64_t random = 5;
  uint64_t most = 0;
  uint64_t sum = 0;
  int duplicates = 0;
  size_t count;
  struct bd_target *const *all;

  support_put_runners (targets, 36, 3);
  all = bd_targets_all (targets, &count);
  for (int i = 0; i < 2340; i++)
    {
      struct bd_selection_request request
          = long_prompt (bd_random_below (&random, 900));
      struct bd_selection p = pick (selector, targets, &request);
      char *key = g_strdup_printf ("%lx", (unsigned long)request.prefix_hash);
      void *earlier = g_hash_table_lookup (processed_at, key);

      duplicates += earlier && earlier != p.target;
      g_hash_table_insert (processed_at, key, p.target);
      p.target->prefill_tokens += UNSHARED_TOKENS;
      /* Prefill at each runner meanwhile: 2,340 requests in nine seconds. */
      for (size_t r = 0; r < count; r++)
        all[r]->prefill_tokens -= MIN (all[r]->prefill_tokens, 210);
    }
  for (size_t r = 0; r < count; r++)
    {
      sum += all[r]->prefill_tokens;
      most = MAX (most, all[r]->prefill_tokens);
    }
  g_assert_cmpint (duplicates, <, 234);
  g_assert_cmpuint (most, <, 200000);
  g_hash_table_destroy (processed_at);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* Short prompts, whose streams allow only short gaps, avoid the runners of
   long prompts. */
static void
test_short_and_long_separated (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);

  support_put_runners (targets, 9, 3);
  for (uint64_t prefix = 0; prefix < 200; prefix++)
    {
      struct bd_selection_request request = long_prompt (prefix);
      struct bd_selection p = pick (selector, targets, &request);

      g_assert_false (p.target->short_only);
      bd_selector_record_sent (selector, &request, p.target);
      request = short_prompt (prefix);
      p = pick (selector, targets, &request);
      g_assert_true (p.target->short_only);
      bd_selector_record_sent (selector, &request, p.target);
    }
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* With prompts of one length only, all runners serve them: short prompts at
   once, long ones when no short one came for a while. */
static void
test_one_length (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  size_t count;
  struct bd_target *const *all;
  bool on_long = false;
  bool on_short = false;

  support_put_runners (targets, 9, 3);
  all = bd_targets_all (targets, &count);
  for (uint64_t i = 0; i < 60; i++)
    {
      struct bd_selection_request request = short_prompt (i);
      struct bd_selection p = pick (selector, targets, &request);

      bd_selector_record_sent (selector, &request, p.target);
      p.target->in_flight++;
      on_long |= !p.target->short_only;
    }
  g_assert_true (on_long);
  for (size_t i = 0; i < count; i++)
    all[i]->in_flight = 0;
  bd_selector_destroy (selector);
  selector = bd_selector_create (1);
  for (uint64_t i = 0; i < 120; i++)
    {
      struct bd_selection_request request = long_prompt (i);
      struct bd_selection p;

      request.now_ms += (int64_t)i * 500;
      p = pick (selector, targets, &request);
      bd_selector_record_sent (selector, &request, p.target);
      on_short |= p.target->short_only;
    }
  g_assert_true (on_short);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* All short-only runners crash at once; short prompts use the others. */
static void
test_overflow (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = short_prompt (1);
  size_t count;
  struct bd_target *const *all;

  support_put_runners (targets, 9, 3);
  all = bd_targets_all (targets, &count);
  for (size_t i = 0; i < count; i++)
    if (all[i]->short_only)
      bd_outlier_add (all[i], NOW, BD_OUTLIER_UNREACHABLE, all, count);
  g_assert_false (pick (selector, targets, &request).target->short_only);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* A preferred runner that is removed or was tried is replaced by the
   second. */
static void
test_preferred_runner_lost (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = long_prompt (3);
  struct bd_selection first;
  struct bd_selection second;
  uint32_t tried[1];

  support_put_runners (targets, 9, 3);
  first = pick (selector, targets, &request);
  tried[0] = (uint32_t)first.target->hash;
  request.tried = tried;
  request.tried_count = 1;
  second = pick (selector, targets, &request);
  g_assert_true (second.target != first.target);
  g_assert_cmpint (second.reason, ==, BD_SELECTION_SECOND);
  request.tried_count = 0;
  bd_targets_remove (targets, NOW, first.target->id, 100);
  g_assert_true (pick (selector, targets, &request).target == second.target);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* Without a healthy runner, an ejected one is used. */
static void
test_last_resort (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = short_prompt (1);
  size_t count;
  struct bd_target *const *all;

  support_put_runners (targets, 1, 1);
  all = bd_targets_all (targets, &count);
  bd_outlier_add (all[0], NOW, BD_OUTLIER_UNREACHABLE, all, count);
  g_assert_true (pick (selector, targets, &request).target == all[0]);
  request.service = BD_CHUNK ("other");
  g_assert_null (pick (selector, targets, &request).target);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* A plain service uses the runner in its own zone until the slots are
   taken. */
static void
test_plain (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = { .service = BD_CHUNK ("llm"),
                                          .zone = BD_CHUNK ("z1"),
                                          .now_ms = NOW };
  struct bd_selection p;

  support_put_runners (targets, 3, 3);
  p = pick (selector, targets, &request);
  g_assert_true (bd_chunk_equal (p.target->zone, request.zone));
  g_assert_cmpfloat (p.wait_ms, ==, 0.0);
  p.target->in_flight = p.target->slots;
  p = pick (selector, targets, &request);
  g_assert_false (bd_chunk_equal (p.target->zone, request.zone));
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* The wait at a plain service with requests of a millisecond and a short queue
   is estimated from its own measured work, not from the default. */
static void
test_plain_fast (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = { .service = BD_CHUNK ("llm"),
                                          .zone = BD_CHUNK ("z0"),
                                          .now_ms = NOW };

  support_put_runners (targets, 1, 1);
  support_target (targets, "r0")->in_flight = 128;
  g_assert_cmpfloat (pick (selector, targets, &request).wait_ms, >, 50.0);
  for (int i = 0; i < 200; i++)
    bd_service_stats_record_work (bd_selector_stats (selector),
                                  request.service, 1);
  g_assert_cmpfloat (pick (selector, targets, &request).wait_ms, <, 2.0);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* Streams occupy all slots of a runner with hardly any prefill.  The wait is
   the time for a slot, estimated from the mean residence time, and a runner
   with free slots gets the next request. */
static void
test_wait_for_slot (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = short_prompt (1);
  struct bd_selection p;

  support_put_runners (targets, 1, 1);
  for (int i = 0; i < 50; i++)
    bd_service_stats_record_residence (bd_selector_stats (selector),
                                       request.service, 3200);
  support_target (targets, "r0")->in_flight = 64;
  p = pick (selector, targets, &request);
  g_assert_cmpfloat (p.wait_ms, >, 49.0);
  g_assert_cmpfloat (p.wait_ms, <, 51.0);
  support_target (targets, "r0")->in_flight = 63 + 64;
  g_assert_cmpfloat (pick (selector, targets, &request).wait_ms, >, 3000.0);
  support_put_runners (targets, 2, 1);
  g_assert_true (pick (selector, targets, &request).target
                 == support_target (targets, "r1"));
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* An urgent request does not wait for the slots of less urgent ones. */
static void
test_wait_for_slot_by_priority (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = short_prompt (1);
  struct bd_assigned_load *assigned;
  double urgent_ms;

  request.coordinated = true;
  request.priority = 1;
  support_put_runners (targets, 1, 1);
  for (int i = 0; i < 50; i++)
    bd_service_stats_record_residence (bd_selector_stats (selector),
                                       request.service, 3200);
  assigned = &support_target (targets, "r0")->assigned;
  assigned->in_flight = 64 + 40;
  assigned->awaiting_first_event[4] = 40;
  urgent_ms = pick (selector, targets, &request).wait_ms;
  request.priority = 4;
  g_assert_cmpfloat (urgent_ms, <, 100.0);
  g_assert_cmpfloat (pick (selector, targets, &request).wait_ms, >, 2000.0);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* The runner that has the prefix is so busy that the request would be late
   there.  It goes where it can fetch the prefix and be in time.  When it meets
   its objective there anyway, it waits. */
static void
test_late_where_cached (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = long_prompt (1);
  struct bd_target *holder;

  request.coordinated = true;
  request.fetch_us_per_k = 4000;
  request.unshared_tokens = 1000;
  support_put_runners (targets, 2, 1);
  holder = support_target (targets, "r0");
  bd_prefix_map_record_sent (bd_selector_prefixes (selector),
                             request.prefix_hash, holder->hash, NOW);
  bd_prefix_map_record_cached (bd_selector_prefixes (selector),
                               request.prefix_hash, holder->hash);
  holder->assigned.prefill_tokens = 35000;
  request.objective_ms = 5000;
  g_assert_true (pick (selector, targets, &request).target == holder);
  request.objective_ms = 600;
  g_assert_true (pick (selector, targets, &request).target != holder);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

/* Of two runners of a plain service, R0 has failed FAILED of its last 100
   requests and R1 has failed 12.  RUNNING0 and RUNNING1 are in flight.
   Returns the one that gets the next request. */
static const char *
pick_of_two (double failed, uint32_t running0, uint32_t running1)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = { .service = BD_CHUNK ("llm"),
                                          .zone = BD_CHUNK ("z0"),
                                          .now_ms = NOW };
  struct bd_target *runners[2];
  const char *name;

  support_put_runners (targets, 2, 1);
  for (int i = 0; i < 2; i++)
    {
      runners[i] = support_target (targets, i == 0 ? "r0" : "r1");
      runners[i]->slots = 6;
      runners[i]->health.updated_ms = NOW;
    }
  runners[0]->health.failures = failed;
  runners[0]->health.successes = 100.0 - failed;
  runners[1]->health.failures = 12.0;
  runners[1]->health.successes = 88.0;
  runners[0]->in_flight = running0;
  runners[1]->in_flight = running1;
  name = pick (selector, targets, &request).target == runners[0] ? "r0" : "r1";
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
  return name;
}

/* All runners of a plain service near its capacity fail one request in seven.
   A somewhat higher failure rate, which may be chance, must not leave a runner
   idle while requests queue at the others.  A runner that fails most requests
   is not used. */
static void
test_plain_failing (void)
{
  g_assert_cmpstr (pick_of_two (22.0, 2, 9), ==, "r0");
  g_assert_cmpstr (pick_of_two (18.0, 5, 7), ==, "r0");
  g_assert_cmpstr (pick_of_two (70.0, 0, 6), ==, "r1");
}

/* Load reported by peers counts like this instance's own. */
static void
test_peers_count (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = long_prompt (3);
  struct bd_selection p;

  support_put_runners (targets, 9, 3);
  p = pick (selector, targets, &request);
  p.target->peers_prefill_tokens = 1000000;
  g_assert_true (pick (selector, targets, &request).target != p.target);
  bd_selector_destroy (selector);
  bd_targets_destroy (targets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/selection/same-preferred-runner",
                   test_same_preferred_runner);
  g_test_add_func ("/selection/burst-spread", test_burst_spread);
  g_test_add_func ("/selection/short-and-long-separated",
                   test_short_and_long_separated);
  g_test_add_func ("/selection/one-length", test_one_length);
  g_test_add_func ("/selection/overflow", test_overflow);
  g_test_add_func ("/selection/preferred-runner-lost",
                   test_preferred_runner_lost);
  g_test_add_func ("/selection/last-resort", test_last_resort);
  g_test_add_func ("/selection/plain", test_plain);
  g_test_add_func ("/selection/plain-fast", test_plain_fast);
  g_test_add_func ("/selection/wait-for-slot", test_wait_for_slot);
  g_test_add_func ("/selection/wait-for-slot-by-priority",
                   test_wait_for_slot_by_priority);
  g_test_add_func ("/selection/late-where-cached", test_late_where_cached);
  g_test_add_func ("/selection/plain-failing", test_plain_failing);
  g_test_add_func ("/selection/peers-count", test_peers_count);
  return g_test_run ();
}
