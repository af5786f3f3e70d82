/* Decisions of a coordinator: placement, refusal under overload, ledger. */
#include "balance/pause.h"
#include "common/random.h"
#include "gateway/coordinator.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 100000
#define OWN_IP 1

struct world
{
  struct bd_targets *targets;
  struct bd_choice *choice;
  struct bd_stats *stats;
  struct bd_coordinator *coordinator;
  uint32_t number;
};

static void
open_world (struct world *world, int runners)
{
  struct bd_coordinator_options options = { .ip = OWN_IP };

  world->targets = bd_targets_create ();
  world->choice = bd_choice_create (1);
  world->stats = bd_stats_create ();
  support_put_runners (world->targets, runners, 3);
  options.targets = world->targets;
  options.choice = world->choice;
  options.stats = world->stats;
  world->coordinator = bd_coordinator_create (&options);
  world->number = 0;
}

static void
close_world (struct world *world)
{
  bd_coordinator_destroy (world->coordinator);
  bd_choice_destroy (world->choice);
  bd_targets_destroy (world->targets);
  bd_stats_destroy (world->stats);
}

static struct bd_placing_ask
long_ask (struct world *world, uint64_t part)
{
  return (struct bd_placing_ask){ .request_number = ++world->number,
                                  .service = BD_CHUNK ("llm"),
                                  .zone = BD_CHUNK ("z0"),
                                  .shards = 1,
                                  .prefix_hash = bd_random_mix (part + 1),
                                  .shared_tokens = 13000,
                                  .own_tokens = 3700,
                                  .overload = { .objective_ms = 2000,
                                                .left_ms = 12000,
                                                .priority = 5,
                                                .least_priority = 5 } };
}

static struct bd_placing_ask
short_ask (struct world *world)
{
  return (struct bd_placing_ask){ .request_number = ++world->number,
                                  .service = BD_CHUNK ("llm"),
                                  .zone = BD_CHUNK ("z0"),
                                  .shards = 1,
                                  .own_tokens = 1100,
                                  .overload = { .objective_ms = 500,
                                                .left_ms = 15000,
                                                .priority = 3,
                                                .least_priority = 5 } };
}

static struct bd_target *
target_of (const struct world *world, uint32_t hash)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (world->targets, &count);

  for (size_t i = 0; i < count; i++)
    if ((uint32_t)all[i]->hash == hash)
      return all[i];
  return NULL;
}

/* Queries for the instance at IP; the request must be placed. */
static struct bd_target *
place (struct world *world, uint32_t ip, const struct bd_placing_ask *ask,
       int64_t now)
{
  struct bd_placing_answer answer
      = bd_coordinator_decide (world->coordinator, ip, ask, now);

  g_assert_cmpint (answer.verdict, ==, BD_PLACING_SENT_TO);
  g_assert_cmpuint (answer.request_number, ==, ask->request_number);
  return target_of (world, answer.target);
}

static void
report (struct world *world, uint32_t ip, uint32_t number, bool ended)
{
  struct bd_placing_report what
      = { .request_number = number, .attempt_ended = ended };

  bd_coordinator_handle_report (world->coordinator, ip, &what, NOW);
}

/* The first second of a burst of long prompts on runners with empty caches,
   from 31 instances that see each prefix once.  Each prefix is processed by
   one runner only, and no runner gets 50 % more tokens than another. */
static void
test_cold_burst (void)
{
  struct world world;
  uint64_t least = UINT64_MAX;
  uint64_t most = 0;
  size_t count;
  struct bd_target *const *all;

  open_world (&world, 36);
  for (uint64_t part = 0; part < 360; part++)
    {
      struct bd_placing_ask ask = long_ask (&world, part);
      struct bd_target *first;

      ask.overload.priority = 0;
      ask.overload.objective_ms = 60000; /* No request is refused. */
      first = place (&world, 2 + (uint32_t)part % 31, &ask, NOW);
      ask.request_number = ++world.number;
      g_assert_true (place (&world, 40, &ask, NOW) == first);
    }
  all = bd_targets_all (world.targets, &count);
  for (size_t i = 0; i < count; i++)
    {
      least = MIN (least, all[i]->booked.prefill_tokens);
      most = MAX (most, all[i]->booked.prefill_tokens);
    }
  g_assert_cmpuint (most * 2, <, least * 3);
  close_world (&world);
}

/* Short streams with tight limits for the time between tokens come in a burst
   together with long prompts.  They share a few runners, which get no long
   prompts while others have room. */
static void
test_short_beside_long (void)
{
  struct world world;
  GHashTable *with_short = g_hash_table_new (NULL, NULL);

  open_world (&world, 20);
  for (int i = 0; i < 40; i++)
    {
      struct bd_placing_ask ask = short_ask (&world);
      struct bd_target *target = place (&world, 2, &ask, NOW);

      report (&world, 2, ask.request_number, false);
      g_hash_table_add (with_short, target);
    }
  g_assert_cmpuint (g_hash_table_size (with_short), <=, 5);
  for (uint64_t part = 0; part < 30; part++)
    {
      struct bd_placing_ask ask = long_ask (&world, part);

      g_assert_false (
          g_hash_table_contains (with_short, place (&world, 3, &ask, NOW)));
    }
  g_hash_table_destroy (with_short);
  close_world (&world);
}

/* The runner that holds a prefix is overloaded.  Another one fetches the
   prefix, but only after it has been read at the first. */
static void
test_fetch (void)
{
  struct world world;
  struct bd_placing_ask ask;
  struct bd_placing_answer answer;
  struct bd_target *home;

  open_world (&world, 9);
  ask = long_ask (&world, 1);
  ask.fetch_us = 800;
  ask.overload.priority = 0;
  home = place (&world, 2, &ask, NOW);
  home->booked.prefill_tokens += 60000;
  ask.request_number = ++world.number;
  answer = bd_coordinator_decide (world.coordinator, 2, &ask, NOW);
  g_assert_cmpint (answer.pick_reason, ==, BD_PLACE_WARM);
  report (&world, 2, 1, false);
  ask.request_number = ++world.number;
  answer = bd_coordinator_decide (world.coordinator, 2, &ask, NOW);
  g_assert_cmpint (answer.pick_reason, ==, BD_PLACE_FETCH);
  g_assert_cmpuint (answer.source, ==, (uint32_t)home->hash);
  g_assert_cmpuint (answer.target, !=, answer.source);
  g_assert_cmpuint (answer.prefill_tokens, ==, ask.own_tokens);
  /* The source must not be a runner that was removed. */
  bd_targets_remove (world.targets, NOW, home->id, 1000);
  ask.request_number = ++world.number;
  ask.excluded[0] = answer.target;
  ask.excluded_count = 1;
  answer = bd_coordinator_decide (world.coordinator, 2, &ask, NOW);
  g_assert_cmpuint (answer.source, !=, (uint32_t)home->hash);
  close_world (&world);
}

/* Long prompts at three times the runners' capacity.  The least urgent are
   refused and told to retry within a third of their time limit; more urgent
   ones are still placed. */
static void
test_overload (void)
{
  struct world world;
  int refused = 0;

  open_world (&world, 6);
  for (uint64_t part = 0; part < 200; part++)
    {
      struct bd_placing_ask ask = long_ask (&world, part);
      struct bd_placing_answer answer
          = bd_coordinator_decide (world.coordinator, 2, &ask, NOW);

      if (answer.verdict != BD_PLACING_REFUSED)
        continue;
      refused++;
      g_assert_cmpint (answer.wait_ms, >, answer.limit_ms);
      g_assert_cmpint (answer.retry_ms, >, 0);
      g_assert_cmpint (answer.retry_ms, <=, ask.overload.left_ms / 3);
      if (refused > 20)
        continue; /* More of these would fill the runners as well. */
      ask.request_number = ++world.number;
      ask.overload.priority = 4;
      answer = bd_coordinator_decide (world.coordinator, 2, &ask, NOW);
      g_assert_cmpint (answer.verdict, ==, BD_PLACING_SENT_TO);
    }
  g_assert_cmpint (refused, >, 50);
  close_world (&world);
}

/* An instance crashes or restarts with requests in flight.  They no longer
   count, so that others' requests are not refused for them. */
static void
test_instance_gone (void)
{
  struct world world;
  struct bd_placing_ask ask;
  struct bd_placing_answer answer;

  open_world (&world, 3);
  for (uint64_t part = 0; part < 60; part++)
    {
      ask = long_ask (&world, part);
      ask.overload.priority = 0;
      ask.overload.objective_ms = 60000; /* No request is refused. */
      place (&world, 2, &ask, NOW);
    }
  ask = long_ask (&world, 100);
  answer = bd_coordinator_decide (world.coordinator, 3, &ask, NOW);
  g_assert_cmpint (answer.verdict, ==, BD_PLACING_REFUSED);
  bd_coordinator_instance_lost (world.coordinator, 2, false);
  answer = bd_coordinator_decide (world.coordinator, 3, &ask, NOW);
  g_assert_cmpint (answer.verdict, ==, BD_PLACING_SENT_TO);
  g_assert_cmpint (answer.wait_ms, ==, 0);
  close_world (&world);
}

/* Failures that other instances report count like the coordinator's own. */
static void
test_results (void)
{
  struct world world;
  struct bd_placing_ask ask;
  struct bd_target *bad;

  open_world (&world, 9);
  ask = long_ask (&world, 1);
  bad = place (&world, 2, &ask, NOW);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct bd_placing_report what
          = { .request_number = ask.request_number,
              .attempt_ended = true,
              .outcome
              = { .has_result = true, .result = BD_RESULT_UNREACHABLE } };

      bd_coordinator_handle_report (world.coordinator, 2, &what, NOW);
      ask.request_number = ++world.number;
      g_assert_true (place (&world, 3, &ask, NOW) != bad);
    }
  close_world (&world);
}

/* A full runner asks one instance for a pause.  The coordinator avoids it for
   other instances too, unless all runners have asked for one: an instance that
   was not asked itself may then use them. */
static void
test_pause_elsewhere (void)
{
  struct world world;
  struct bd_placing_ask ask;
  struct bd_target *full;
  struct bd_placing_report what = { .attempt_ended = true,
                                    .outcome = { .has_result = true,
                                                 .result = BD_RESULT_REFUSED,
                                                 .pause_ms = 2000 } };

  open_world (&world, 2);
  ask = long_ask (&world, 1);
  full = place (&world, 2, &ask, NOW);
  what.request_number = ask.request_number;
  bd_coordinator_handle_report (world.coordinator, 2, &what, NOW);
  for (int i = 0; i < 20; i++)
    {
      ask = short_ask (&world);
      g_assert_true (place (&world, 3, &ask, NOW + 1900) != full);
    }
  for (size_t i = 0; i < 2; i++)
    {
      size_t count;

      bd_pause_begin_elsewhere (bd_targets_all (world.targets, &count)[i],
                                NOW + 1900, 3000);
    }
  ask = short_ask (&world);
  g_assert_nonnull (place (&world, 3, &ask, NOW + 2000));
  close_world (&world);
}

/* A request that another instance placed is entered in the ledger. */
static void
test_placed (void)
{
  struct world world;
  struct bd_placing_placed placed = { .request_number = 5,
                                      .prefix_hash = 77,
                                      .prefill_tokens = 9000,
                                      .left_ms = 1000 };
  struct bd_target *target;

  open_world (&world, 3);
  target = support_target (world.targets, "r1");
  placed.target = (uint32_t)target->hash;
  bd_coordinator_add_placed (world.coordinator, 2, &placed, NOW);
  g_assert_cmpuint (target->booked.prefill_tokens, ==, 9000);
  g_assert_nonnull (
      bd_parts_at (bd_choice_parts (world.choice), 77, target, NOW));
  placed.prefill_done = true;
  bd_coordinator_add_placed (world.coordinator, 2, &placed, NOW);
  g_assert_cmpuint (target->booked.prefill_tokens, ==, 0);
  g_assert_cmpuint (target->booked.in_flight, ==, 1);
  placed.target = 12345; /* Not known here, so nothing is entered. */
  bd_coordinator_add_placed (world.coordinator, 3, &placed, NOW);
  bd_coordinator_tick (world.coordinator, NOW + 60000);
  g_assert_cmpuint (target->booked.in_flight, ==, 0);
  close_world (&world);
}

/* A service with thousands of runners (3,000 when this was found, 640 here). A
   decision considers one shard, and all requests with the same prefix fall
   into the same shard. */
static void
test_shards (void)
{
  struct world world;
  size_t count;
  struct bd_target *const *all;
  uint32_t shards;
  size_t in_first = 0;

  open_world (&world, 640);
  all = bd_targets_all (world.targets, &count);
  shards = bd_choice_shards (all, count, BD_CHUNK ("llm"));
  g_assert_cmpuint (shards, ==, 10);
  for (size_t i = 0; i < count; i++)
    in_first += bd_choice_shard (all[i]->hash, shards) == 0;
  g_assert_cmpuint (in_first, >, 30);
  g_assert_cmpuint (in_first, <, 100);
  for (uint64_t part = 0; part < 100; part++)
    {
      struct bd_placing_ask ask = long_ask (&world, part);

      ask.shards = shards;
      ask.shard = bd_choice_shard (ask.prefix_hash, shards);
      g_assert_cmpuint (
          bd_choice_shard (place (&world, 2, &ask, NOW)->hash, shards), ==,
          ask.shard);
    }
  close_world (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/coordinator/cold-burst", test_cold_burst);
  g_test_add_func ("/coordinator/short-beside-long", test_short_beside_long);
  g_test_add_func ("/coordinator/fetch", test_fetch);
  g_test_add_func ("/coordinator/overload", test_overload);
  g_test_add_func ("/coordinator/instance-gone", test_instance_gone);
  g_test_add_func ("/coordinator/results", test_results);
  g_test_add_func ("/coordinator/pause-elsewhere", test_pause_elsewhere);
  g_test_add_func ("/coordinator/placed", test_placed);
  g_test_add_func ("/coordinator/shards", test_shards);
  return g_test_run ();
}
