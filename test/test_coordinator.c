/* Decisions of a coordinator: placement, refusal under overload, ledger. */
#include "balance/pause.h"
#include "balance/shard.h"
#include "common/random.h"
#include "gateway/coordinator.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 100000
#define OWN_IP 1

struct fixture
{
  struct bd_targets *targets;
  struct bd_selector *selector;
  struct bd_stats *stats;
  struct bd_stream_origins *origins;
  struct bd_coordinator *coordinator;
  uint32_t number;
};

static void
open_fixture (struct fixture *fixture, int runners)
{
  struct bd_coordinator_options options = { .ip = OWN_IP };

  fixture->targets = bd_targets_create ();
  fixture->selector = bd_selector_create (1);
  fixture->stats = bd_stats_create ();
  support_put_runners (fixture->targets, runners, 3);
  options.targets = fixture->targets;
  options.selector = fixture->selector;
  options.stats = fixture->stats;
  fixture->origins = options.origins = bd_stream_origins_create ();
  fixture->coordinator = bd_coordinator_create (&options);
  fixture->number = 0;
}

static void
close_fixture (struct fixture *fixture)
{
  bd_coordinator_destroy (fixture->coordinator);
  bd_selector_destroy (fixture->selector);
  bd_targets_destroy (fixture->targets);
  bd_stats_destroy (fixture->stats);
  bd_stream_origins_destroy (fixture->origins);
}

static struct bd_coordination_query
long_query (struct fixture *fixture, uint64_t prefix)
{
  return (
      struct bd_coordination_query){ .request_number = ++fixture->number,
                                     .service = BD_CHUNK ("llm"),
                                     .zone = BD_CHUNK ("z0"),
                                     .shard_count = 1,
                                     .prefix_hash = bd_random_mix (prefix + 1),
                                     .prefix_tokens = 13000,
                                     .unshared_tokens = 3700,
                                     .overload = { .objective_ms = 2000,
                                                   .time_left_ms = 12000,
                                                   .priority = 5,
                                                   .lowest_priority = 5 } };
}

static struct bd_coordination_query
short_query (struct fixture *fixture)
{
  return (struct bd_coordination_query){ .request_number = ++fixture->number,
                                         .service = BD_CHUNK ("llm"),
                                         .zone = BD_CHUNK ("z0"),
                                         .shard_count = 1,
                                         .unshared_tokens = 1100,
                                         .overload
                                         = { .objective_ms = 500,
                                             .time_left_ms = 15000,
                                             .priority = 3,
                                             .lowest_priority = 5 } };
}

static struct bd_target *
find_target (const struct fixture *fixture, uint32_t hash)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (fixture->targets, &count);

  for (size_t i = 0; i < count; i++)
    if ((uint32_t)all[i]->hash == hash)
      return all[i];
  return NULL;
}

/* Queries for the instance at IP; the request must be placed. */
static struct bd_target *
place (struct fixture *fixture, uint32_t ip,
       const struct bd_coordination_query *query, int64_t now)
{
  struct bd_coordination_reply reply
      = bd_coordinator_decide (fixture->coordinator, ip, query, now);

  g_assert_cmpint (reply.verdict, ==, BD_COORDINATION_PLACED);
  g_assert_cmpuint (reply.request_number, ==, query->request_number);
  return find_target (fixture, reply.target);
}

static void
report (struct fixture *fixture, uint32_t ip, uint32_t number, bool ended)
{
  struct bd_coordination_report report_item
      = { .request_number = number, .attempt_ended = ended };

  bd_coordinator_handle_report (fixture->coordinator, ip, &report_item, NOW);
}

/* The first second of a burst of long prompts on runners with empty caches,
   from 31 instances that see each prefix once.  Each prefix is processed by
   one runner only, and no runner gets 50 % more tokens than another. */
static void
test_cold_burst (void)
{
  struct fixture fixture;
  uint64_t least = UINT64_MAX;
  uint64_t most = 0;
  size_t count;
  struct bd_target *const *all;

  open_fixture (&fixture, 36);
  for (uint64_t prefix = 0; prefix < 360; prefix++)
    {
      struct bd_coordination_query query = long_query (&fixture, prefix);
      struct bd_target *first;

      query.overload.priority = 0;
      query.overload.objective_ms = 60000; /* No request is refused. */
      first = place (&fixture, 2 + (uint32_t)prefix % 31, &query, NOW);
      query.request_number = ++fixture.number;
      g_assert_true (place (&fixture, 40, &query, NOW) == first);
    }
  all = bd_targets_all (fixture.targets, &count);
  for (size_t i = 0; i < count; i++)
    {
      least = MIN (least, all[i]->assigned.prefill_tokens);
      most = MAX (most, all[i]->assigned.prefill_tokens);
    }
  g_assert_cmpuint (most * 2, <, least * 3);
  close_fixture (&fixture);
}

/* Short streams with tight limits for the time between tokens come in a burst
   together with long prompts.  They share a few runners, which get no long
   prompts while others have room. */
static void
test_short_beside_long (void)
{
  struct fixture fixture;
  GHashTable *with_short = g_hash_table_new (NULL, NULL);

  open_fixture (&fixture, 20);
  for (int i = 0; i < 40; i++)
    {
      struct bd_coordination_query query = short_query (&fixture);
      struct bd_target *target = place (&fixture, 2, &query, NOW);

      report (&fixture, 2, query.request_number, false);
      g_hash_table_add (with_short, target);
    }
  g_assert_cmpuint (g_hash_table_size (with_short), <=, 5);
  for (uint64_t prefix = 0; prefix < 30; prefix++)
    {
      struct bd_coordination_query query = long_query (&fixture, prefix);

      g_assert_false (g_hash_table_contains (
          with_short, place (&fixture, 3, &query, NOW)));
    }
  g_hash_table_destroy (with_short);
  close_fixture (&fixture);
}

/* The runner that holds a prefix is overloaded.  Another one fetches the
   prefix, but only after it has been read at the first. */
static void
test_fetch (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  struct bd_coordination_reply reply;
  struct bd_target *preferred;

  open_fixture (&fixture, 9);
  query = long_query (&fixture, 1);
  query.fetch_us_per_k = 800;
  query.overload.priority = 0;
  preferred = place (&fixture, 2, &query, NOW);
  preferred->assigned.prefill_tokens += 60000;
  query.request_number = ++fixture.number;
  reply = bd_coordinator_decide (fixture.coordinator, 2, &query, NOW);
  g_assert_cmpint (reply.selection_reason, ==, BD_SELECTION_WARM);
  report (&fixture, 2, 1, false);
  query.request_number = ++fixture.number;
  reply = bd_coordinator_decide (fixture.coordinator, 2, &query, NOW);
  g_assert_cmpint (reply.selection_reason, ==, BD_SELECTION_FETCH);
  g_assert_cmpuint (reply.source, ==, (uint32_t)preferred->hash);
  g_assert_cmpuint (reply.target, !=, reply.source);
  g_assert_cmpuint (reply.prefill_tokens, ==, query.unshared_tokens);
  /* The source must not be a runner that was removed. */
  bd_targets_remove (fixture.targets, NOW, preferred->id, 1000);
  query.request_number = ++fixture.number;
  query.excluded[0] = reply.target;
  query.excluded_count = 1;
  reply = bd_coordinator_decide (fixture.coordinator, 2, &query, NOW);
  g_assert_cmpuint (reply.source, !=, (uint32_t)preferred->hash);
  close_fixture (&fixture);
}

/* Long prompts at three times the runners' capacity.  The least urgent are
   refused and told to retry within a third of their time limit; more urgent
   ones are still placed. */
static void
test_overload (void)
{
  struct fixture fixture;
  int refused = 0;

  open_fixture (&fixture, 6);
  for (uint64_t prefix = 0; prefix < 200; prefix++)
    {
      struct bd_coordination_query query = long_query (&fixture, prefix);
      struct bd_coordination_reply reply
          = bd_coordinator_decide (fixture.coordinator, 2, &query, NOW);

      if (reply.verdict != BD_COORDINATION_REFUSED)
        continue;
      refused++;
      g_assert_cmpint (reply.wait_ms, >, reply.max_wait_ms);
      g_assert_cmpint (reply.retry_after_ms, >, 0);
      g_assert_cmpint (reply.retry_after_ms, <=,
                       query.overload.time_left_ms / 3);
      if (refused > 20)
        continue; /* More of these would fill the runners as well. */
      query.request_number = ++fixture.number;
      query.overload.priority = 4;
      reply = bd_coordinator_decide (fixture.coordinator, 2, &query, NOW);
      g_assert_cmpint (reply.verdict, ==, BD_COORDINATION_PLACED);
    }
  g_assert_cmpint (refused, >, 50);
  close_fixture (&fixture);
}

/* An instance crashes or restarts with requests in flight.  They no longer
   count, so that others' requests are not refused for them. */
static void
test_instance_gone (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  struct bd_coordination_reply reply;

  open_fixture (&fixture, 3);
  for (uint64_t prefix = 0; prefix < 60; prefix++)
    {
      query = long_query (&fixture, prefix);
      query.overload.priority = 0;
      query.overload.objective_ms = 60000; /* No request is refused. */
      place (&fixture, 2, &query, NOW);
    }
  query = long_query (&fixture, 100);
  reply = bd_coordinator_decide (fixture.coordinator, 3, &query, NOW);
  g_assert_cmpint (reply.verdict, ==, BD_COORDINATION_REFUSED);
  bd_coordinator_instance_lost (fixture.coordinator, 2, false, NOW);
  reply = bd_coordinator_decide (fixture.coordinator, 3, &query, NOW);
  g_assert_cmpint (reply.verdict, ==, BD_COORDINATION_PLACED);
  g_assert_cmpint (reply.wait_ms, ==, 0);
  close_fixture (&fixture);
}

/* Failures that other instances report count like the coordinator's own. */
static void
test_failure_reports (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  struct bd_target *failing;

  open_fixture (&fixture, 9);
  query = long_query (&fixture, 1);
  failing = place (&fixture, 2, &query, NOW);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct bd_coordination_report report_item
          = { .request_number = query.request_number,
              .attempt_ended = true,
              .outcome
              = { .has_result = true, .result = BD_OUTLIER_UNREACHABLE } };

      bd_coordinator_handle_report (fixture.coordinator, 2, &report_item, NOW);
      query.request_number = ++fixture.number;
      g_assert_true (place (&fixture, 3, &query, NOW) != failing);
    }
  close_fixture (&fixture);
}

/* A full runner asks one instance for a pause.  The coordinator avoids it for
   other instances too, unless all runners have asked for one: an instance that
   was not asked itself may then use them. */
static void
test_pause_elsewhere (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  struct bd_target *full;
  struct bd_coordination_report report_item = {
    .attempt_ended = true,
    .outcome
    = { .has_result = true, .result = BD_OUTLIER_REJECTED, .pause_ms = 2000 }
  };

  open_fixture (&fixture, 2);
  query = long_query (&fixture, 1);
  full = place (&fixture, 2, &query, NOW);
  report_item.request_number = query.request_number;
  bd_coordinator_handle_report (fixture.coordinator, 2, &report_item, NOW);
  for (int i = 0; i < 20; i++)
    {
      query = short_query (&fixture);
      g_assert_true (place (&fixture, 3, &query, NOW + 1900) != full);
    }
  for (size_t i = 0; i < 2; i++)
    {
      size_t count;

      bd_pause_begin_for_peer (bd_targets_all (fixture.targets, &count)[i],
                               NOW + 1900, 3000);
    }
  query = short_query (&fixture);
  g_assert_nonnull (place (&fixture, 3, &query, NOW + 2000));
  close_fixture (&fixture);
}

/* One of two runners limits its requests.  It gets no more from five instances
   together than it asks for, and each reply tells under which limit it was
   placed, so that an instance that knows of another one can tell. */
static void
test_rate_limit (void)
{
  struct fixture fixture;
  struct bd_target *limited;
  uint32_t placed = 0;

  open_fixture (&fixture, 2);
  limited = support_target (fixture.targets, "r0");
  bd_runner_limit_named (limited, 0, NOW, 4100);
  for (int64_t ms = 0; ms < 4000; ms += 5)
    {
      struct bd_coordination_query query = short_query (&fixture);
      uint32_t ip = 2 + (uint32_t)ms / 5 % 5;
      struct bd_coordination_reply reply;

      query.overload.objective_ms = 60000; /* No request is refused. */
      query.overload.priority = 0;
      support_target (fixture.targets, "r1")->assigned.in_flight = 50;
      reply
          = bd_coordinator_decide (fixture.coordinator, ip, &query, NOW + ms);
      g_assert_cmpint (reply.verdict, ==, BD_COORDINATION_PLACED);
      if (reply.target != (uint32_t)limited->hash)
        continue;
      g_assert_cmpuint (reply.limit_rate, ==, 4100);
      placed++;
    }
  g_assert_cmpuint (placed, <=, 17);
  g_assert_cmpuint (placed, >=, 15);
  close_fixture (&fixture);
}

/* All runners limit their requests.  The reply tells when the caller should
   come back. */
static void
test_all_limited (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  struct bd_coordination_message message = { .kind = BD_COORDINATION_LIMIT };
  struct bd_coordination_reply reply;

  open_fixture (&fixture, 1);
  message.limit = (struct bd_limit_notice){
    .target = (uint32_t)support_target (fixture.targets, "r0")->hash,
    .rate = 1000,
    .age_ms = 20
  };
  bd_coordinator_handle (fixture.coordinator, 2, &message, NOW);
  query = short_query (&fixture);
  reply = bd_coordinator_decide (fixture.coordinator, 2, &query, NOW + 400);
  g_assert_cmpint (reply.verdict, ==, BD_COORDINATION_NO_RUNNER);
  g_assert_cmpint (reply.retry_after_ms, ==, 1000);
  g_assert_nonnull (place (&fixture, 2, &query, NOW + 1400));
  close_fixture (&fixture);
}

/* A request that another instance placed is entered in the ledger. */
static void
test_placed_elsewhere (void)
{
  struct fixture fixture;
  struct bd_coordination_notice notice = { .request_number = 5,
                                           .prefix_hash = 77,
                                           .prefill_tokens = 9000,
                                           .time_left_ms = 1000 };
  struct bd_target *target;

  open_fixture (&fixture, 3);
  target = support_target (fixture.targets, "r1");
  notice.target = (uint32_t)target->hash;
  bd_coordinator_add_placed (fixture.coordinator, 2, &notice, NOW);
  g_assert_cmpuint (target->assigned.prefill_tokens, ==, 9000);
  g_assert_nonnull (bd_prefix_map_find (
      bd_selector_prefixes (fixture.selector), 77, target, NOW));
  notice.prefill_done = true;
  bd_coordinator_add_placed (fixture.coordinator, 2, &notice, NOW);
  g_assert_cmpuint (target->assigned.prefill_tokens, ==, 0);
  g_assert_cmpuint (target->assigned.in_flight, ==, 1);
  notice.target = 12345; /* Not known here, so nothing is entered. */
  bd_coordinator_add_placed (fixture.coordinator, 3, &notice, NOW);
  bd_coordinator_tick (fixture.coordinator, NOW + 60000);
  g_assert_cmpuint (target->assigned.in_flight, ==, 0);
  close_fixture (&fixture);
}

/* A service with thousands of runners (3,000 when this was found, 640 here). A
   decision considers one shard, and all requests with the same prefix fall
   into the same shard. */
static void
test_shards (void)
{
  struct fixture fixture;
  size_t count;
  struct bd_target *const *all;
  uint32_t shards;
  size_t in_first = 0;

  open_fixture (&fixture, 640);
  all = bd_targets_all (fixture.targets, &count);
  shards = bd_shard_count (all, count, BD_CHUNK ("llm"));
  g_assert_cmpuint (shards, ==, 10);
  for (size_t i = 0; i < count; i++)
    in_first += bd_shard_of (all[i]->hash, shards) == 0;
  g_assert_cmpuint (in_first, >, 30);
  g_assert_cmpuint (in_first, <, 100);
  for (uint64_t prefix = 0; prefix < 100; prefix++)
    {
      struct bd_coordination_query query = long_query (&fixture, prefix);

      query.shard_count = shards;
      query.shard = bd_shard_of (query.prefix_hash, shards);
      g_assert_cmpuint (
          bd_shard_of (place (&fixture, 2, &query, NOW)->hash, shards), ==,
          query.shard);
    }
  close_fixture (&fixture);
}

/* A stream goes on only at runners of the version that began it, also when
   these all belong to other shards; with none of them left, nowhere. */
static void
test_software (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  struct bd_coordination_reply reply;
  uint64_t old = bd_software_of (BD_CHUNK ("v1")).hash;

  open_fixture (&fixture, 200);
  support_set_software (fixture.targets, "r7", "v1");
  support_set_software (fixture.targets, "r9", "v1");
  for (uint32_t shard = 0; shard < 4; shard++)
    {
      query = long_query (&fixture, shard);
      query.shard_count = 4;
      query.shard = shard;
      query.software = old;
      g_assert_cmpuint (place (&fixture, 2, &query, NOW)->software.hash, ==,
                        old);
    }
  query = long_query (&fixture, 9);
  query.software = BD_SOFTWARE_UNCERTAIN;
  reply = bd_coordinator_decide (fixture.coordinator, 2, &query, NOW);
  g_assert_cmpint (reply.verdict, ==, BD_COORDINATION_NO_RUNNER);
  close_fixture (&fixture);
}

/* Guards against the requests of a session that run at several software
   versions: after all instances have ended, the prompt that a session's
   earlier request left at a runner would be taken for the origin of a stream
   that another version began. */
static void
test_session_software (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  uint64_t old = bd_software_of (BD_CHUNK ("v1")).hash;

  open_fixture (&fixture, 12);
  support_set_software (fixture.targets, "r3", "v1");
  support_set_software (fixture.targets, "r7", "v1");
  query = long_query (&fixture, 1);
  query.own_part = 5;
  query.software = old;
  place (&fixture, 2, &query, NOW);
  /* Requests of the session through any instance keep to its version, though
     most of the runners are of another one. */
  for (uint32_t ip = 1; ip <= 8; ip++)
    {
      query = long_query (&fixture, ip);
      query.own_part = 5;
      g_assert_cmpuint (
          place (&fixture, ip, &query, NOW + 1000 * ip)->software.hash, ==,
          old);
      report (&fixture, ip, query.request_number, true);
    }
  /* With no runner of the version left, the session goes on elsewhere. */
  query = long_query (&fixture, 1);
  query.own_part = 5;
  support_set_software (fixture.targets, "r3", "v2");
  support_set_software (fixture.targets, "r7", "v2");
  g_assert_cmpuint (place (&fixture, 2, &query, NOW + 9000)->software.hash, !=,
                    old);
  close_fixture (&fixture);
}

/* A session's request is not held up for the sake of its version: when the
   runners of that one have much to do, it goes elsewhere, and so does an
   attempt after a failure, for which the version may be the cause. */
static void
test_session_elsewhere (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  uint64_t old = bd_software_of (BD_CHUNK ("v1")).hash;
  uint32_t kept = 0;

  open_fixture (&fixture, 12);
  support_set_software (fixture.targets, "r3", "v1");
  for (uint32_t i = 0; i < 12; i++)
    {
      query = long_query (&fixture, i);
      query.own_part = 5 + i;
      query.software = old;
      query.is_retry = true;
      place (&fixture, 2, &query, NOW);
    }
  query = long_query (&fixture, 20);
  query.own_part = 5;
  g_assert_cmpuint (place (&fixture, 2, &query, NOW)->software.hash, !=, old);
  for (uint32_t number = 1; number <= 12; number++)
    report (&fixture, 2, number, true);
  for (uint32_t i = 0; i < 8; i++)
    {
      query = long_query (&fixture, 30 + i);
      query.own_part = 6 + i;
      query.is_retry = true;
      kept += place (&fixture, 2, &query, NOW + 1000)->software.hash == old;
    }
  g_assert_cmpuint (kept, <, 4);
  close_fixture (&fixture);
}

/* The version of a stream that a caller continues: an instance may be about to
   tell it; it is told; what is told contradicts itself. */
static void
test_continued_stream (void)
{
  struct fixture fixture;
  struct bd_coordination_query query;
  uint64_t old = bd_software_of (BD_CHUNK ("v1")).hash;
  struct bd_origin_notice notice = { 77, old, 10000 };
  struct bd_found_origin found;

  open_fixture (&fixture, 6);
  support_set_software (fixture.targets, "r3", "v1");
  query = long_query (&fixture, 1);
  query.continues = true;
  query.stream = 77;
  query.own_part = 5;
  g_assert_cmpint (
      bd_coordinator_decide (fixture.coordinator, 2, &query, NOW).verdict, ==,
      BD_COORDINATION_ORIGIN_PENDING);
  query.waited_ms = 1000;
  g_assert_cmpint (
      bd_coordinator_decide (fixture.coordinator, 2, &query, NOW).verdict, ==,
      BD_COORDINATION_ORIGIN_UNKNOWN);
  bd_origin_notice_apply (fixture.origins, &notice, NOW);
  found = bd_coordinator_find_origin (fixture.coordinator, &query, NOW);
  g_assert_cmpint (found.verdict, ==, BD_COORDINATION_PLACED);
  g_assert_cmpuint (found.software, ==, old);
  g_assert_true (found.confirmed);
  g_assert_true (place (&fixture, 2, &query, NOW)
                 == support_target (fixture.targets, "r3"));
  notice.software = BD_SOFTWARE_UNCERTAIN;
  bd_origin_notice_apply (fixture.origins, &notice, NOW);
  g_assert_cmpint (
      bd_coordinator_decide (fixture.coordinator, 2, &query, NOW).verdict, ==,
      BD_COORDINATION_ORIGIN_UNKNOWN);
  close_fixture (&fixture);
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
  g_test_add_func ("/coordinator/failure-reports", test_failure_reports);
  g_test_add_func ("/coordinator/pause-elsewhere", test_pause_elsewhere);
  g_test_add_func ("/coordinator/rate-limit", test_rate_limit);
  g_test_add_func ("/coordinator/all-limited", test_all_limited);
  g_test_add_func ("/coordinator/placed-elsewhere", test_placed_elsewhere);
  g_test_add_func ("/coordinator/shards", test_shards);
  g_test_add_func ("/coordinator/software", test_software);
  g_test_add_func ("/coordinator/session-software", test_session_software);
  g_test_add_func ("/coordinator/session-elsewhere", test_session_elsewhere);
  g_test_add_func ("/coordinator/continued-stream", test_continued_stream);
  return g_test_run ();
}
