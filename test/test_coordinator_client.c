/* Placement queries between two instances, over UDP on loopback. */
#include "gateway/coordinator_client.h"
#include "gateway/origin_outbox.h"

#include "common/clock.h"
#include "http/socket.h"
#include "support_mesh.h"
#include "support_port.h"
#include "support_targets.h"

#include <glib.h>
#include <string.h>

#define SIDES 2
#define LIMIT_MS 8000

struct side
{
  struct bd_targets *targets;
  struct bd_selector *selector;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_stats *stats;
  struct bd_mesh *mesh;
  struct bd_stream_origins *origins;
  struct bd_origin_outbox *origin_outbox;
  struct bd_coordinator *coordinator;
  struct bd_coordinator_client *coordinator_client;
  uint32_t ip;
  bool drops_messages; /* Ignores all messages, like an overloaded instance. */
};

struct fixture
{
  uv_loop_t loop;
  uv_timer_t limit;
  bool late;
  int64_t now_ms;
  struct side sides[SIDES];
};

/* Results of queries. */
struct outcome
{
  int replies;
  int timeouts;
  struct bd_coordination_reply reply;
};

static void
on_message (void *context, uint32_t ip,
            const struct bd_coordination_message *message)
{
  struct side *side = context;

  if (!side->drops_messages)
    bd_coordinator_client_handle (side->coordinator_client, ip, message);
}

static struct bd_mesh_handler handler;

static void
on_reply (void *context, const struct bd_coordination_reply *reply)
{
  struct outcome *outcome = context;

  if (!reply)
    {
      outcome->timeouts++;
      return;
    }
  outcome->replies++;
  outcome->reply = *reply;
}

static void
on_limit (uv_timer_t *timer)
{
  ((struct fixture *)timer->data)->late = true;
}

static void
open_side (struct fixture *fixture, uint32_t i, uint16_t port)
{
  struct side *side = &fixture->sides[i];
  struct bd_mesh_options mesh = { .loop = &fixture->loop, .port = port };
  struct bd_coordinator_options coordinator;
  struct bd_coordinator_client_options client_options;

  side->ip = htonl (INADDR_LOOPBACK + i);
  side->targets = bd_targets_create ();
  side->selector = bd_selector_create (1);
  side->suspects = bd_suspects_create (16, 60000);
  side->breakers = bd_part_breakers_create (i);
  side->stats = bd_stats_create ();
  side->origins = bd_stream_origins_create ();
  side->origin_outbox
      = bd_origin_outbox_create (&fixture->loop, side->ip, side->origins);
  support_put_runners (side->targets, 6, 1);
  coordinator = (struct bd_coordinator_options){ .ip = side->ip,
                                                 .selector = side->selector,
                                                 .targets = side->targets,
                                                 .stats = side->stats,
                                                 .origins = side->origins };
  side->coordinator = bd_coordinator_create (&coordinator);
  client_options = (struct bd_coordinator_client_options){
    &fixture->loop, side->ip, side->coordinator, side->stats
  };
  side->coordinator_client = bd_coordinator_client_create (&client_options);
  mesh.ip = side->ip;
  mesh.seeds = &fixture->sides[0].ip;
  mesh.seed_count = 1;
  mesh.targets = side->targets;
  mesh.suspects = side->suspects;
  mesh.breakers = side->breakers;
  mesh.stats = side->stats;
  g_assert_cmpint (bd_mesh_create (&mesh, &handler, side, &side->mesh), ==,
                   BD_OK);
  bd_coordinator_client_set_mesh (side->coordinator_client, side->mesh);
  bd_origin_outbox_set_mesh (side->origin_outbox, side->mesh);
}

/* Sends gossip of both sides and handles what arrives. */
static void
exchange (struct fixture *fixture)
{
  fixture->now_ms += 1000;
  for (int i = 0; i < SIDES; i++)
    bd_mesh_tick (fixture->sides[i].mesh, fixture->now_ms);
  for (int i = 0; i < 50; i++)
    uv_run (&fixture->loop, UV_RUN_NOWAIT);
  g_assert_false (fixture->late);
}

static void
set_state (struct side *side, enum bd_peer_state state)
{
  struct bd_peer_status status = { .state = state, .cpu_millicores = 100 };

  bd_mesh_set_status (side->mesh, &status);
}

static void
open_fixture (struct fixture *fixture)
{
  char text[SUPPORT_ADDRESS_BYTES];
  struct sockaddr_in address;

  memset (fixture, 0, sizeof *fixture);
  uv_loop_init (&fixture->loop);
  fixture->now_ms = bd_clock_boot_ms ();
  support_free_address (text);
  bd_address_parse (bd_chunk_of (text), &address);
  for (uint32_t i = 0; i < SIDES; i++)
    open_side (fixture, i, ntohs (address.sin_port));
  uv_timer_init (&fixture->loop, &fixture->limit);
  fixture->limit.data = fixture;
  uv_timer_start (&fixture->limit, on_limit, LIMIT_MS, 0);
  for (int i = 0; i < SIDES; i++)
    set_state (&fixture->sides[i], BD_PEER_FRESH);
  for (int i = 0; i < 3; i++)
    exchange (fixture);
}

/* Handles of the event loop stay open until the process ends, so the memory
   around them is kept in a copy that they still point into. */
static void
keep_fixture (const struct fixture *fixture)
{
  static GPtrArray *kept;

  if (!kept)
    kept = g_ptr_array_new ();
  g_ptr_array_add (kept, g_memdup2 (fixture, sizeof *fixture));
}

static struct bd_coordination_query
pending_query (void)
{
  return (struct bd_coordination_query){ .service = BD_CHUNK ("llm"),
                                         .zone = BD_CHUNK ("z0"),
                                         .shard_count = 1,
                                         .prefix_hash = 42,
                                         .prefix_tokens = 9000,
                                         .unshared_tokens = 1000,
                                         .overload
                                         = { .objective_ms = 1000,
                                             .time_left_ms = 10000,
                                             .priority = 0,
                                             .lowest_priority = 5 } };
}

/* Finds the side that coordinates and the other one. */
static void
find_roles (struct fixture *fixture, struct side **coordinator,
            struct side **other)
{
  uint32_t ip;
  uint64_t key = bd_coordinator_shard_key (BD_CHUNK ("llm"), 0);

  g_assert_cmpuint (bd_mesh_rank (fixture->sides[0].mesh, key,
                                  bd_clock_boot_ms (), false, &ip, 1),
                    ==, 1);
  *coordinator = &fixture->sides[fixture->sides[1].ip == ip];
  *other = &fixture->sides[fixture->sides[1].ip != ip];
}

static void
await (struct fixture *fixture, const int *count, int wanted)
{
  while (*count < wanted)
    {
      g_assert_false (fixture->late);
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
}

static size_t
assigned_count (const struct side *side)
{
  size_t count;
  size_t sum = 0;
  struct bd_target *const *all = bd_targets_all (side->targets, &count);

  for (size_t i = 0; i < count; i++)
    sum += all[i]->assigned.in_flight;
  return sum;
}

/* Waits until SIDE has WANTED requests in its ledger; reports are sent with a
   delay. */
static void
await_assigned (struct fixture *fixture, const struct side *side,
                size_t wanted)
{
  while (assigned_count (side) != wanted)
    {
      g_assert_false (fixture->late);
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
}

/* Both sides agree on the coordinator, and the other one sends it queries and
   reports. */
static void
test_query (void)
{
  struct fixture fixture;
  struct side *coordinator;
  struct side *other;
  struct bd_coordination_query query = pending_query ();
  struct bd_coordination_reply reply;
  struct bd_coordinator_registration registration;
  struct bd_coordinator_registration own_registration;
  struct outcome outcome = { 0 };
  const struct bd_attempt_outcome success
      = { .has_result = true, .result = BD_OUTLIER_SUCCESS };

  open_fixture (&fixture);
  find_roles (&fixture, &coordinator, &other);
  g_assert_cmpint (bd_coordinator_client_query (
                       coordinator->coordinator_client, &query,
                       &own_registration, &reply, on_reply, &outcome),
                   ==, BD_COORDINATOR_CLIENT_DECIDED);
  g_assert_cmpint (bd_coordinator_client_query (other->coordinator_client,
                                                &query, &registration, &reply,
                                                on_reply, &outcome),
                   ==, BD_COORDINATOR_CLIENT_PENDING);
  await (&fixture, &outcome.replies, 1);
  g_assert_cmpint (outcome.reply.verdict, ==, BD_COORDINATION_PLACED);
  g_assert_cmpuint (assigned_count (coordinator), ==, 2);
  g_assert_cmpuint (assigned_count (other), ==, 0);
  bd_coordinator_client_prefill_done (other->coordinator_client,
                                      &registration);
  bd_coordinator_client_attempt_ended (other->coordinator_client,
                                       &registration, &success);
  bd_coordinator_client_attempt_ended (coordinator->coordinator_client,
                                       &own_registration, &success);
  await_assigned (&fixture, coordinator, 0);
  keep_fixture (&fixture);
}

/* The coordinator stops replying under load.  The instance that asks places
   its requests itself after 40 ms, and after two timeouts it chooses another
   coordinator, here itself. */
static void
test_timeouts (void)
{
  struct fixture fixture;
  struct side *coordinator;
  struct side *other;
  struct bd_coordination_query query = pending_query ();
  struct bd_coordination_reply reply;
  struct bd_coordinator_registration registration[3];
  struct outcome outcome = { 0 };

  open_fixture (&fixture);
  find_roles (&fixture, &coordinator, &other);
  coordinator->drops_messages = true;
  for (int i = 0; i < 2; i++)
    g_assert_cmpint (bd_coordinator_client_query (other->coordinator_client,
                                                  &query, &registration[i],
                                                  &reply, on_reply, &outcome),
                     ==, BD_COORDINATOR_CLIENT_PENDING);
  await (&fixture, &outcome.timeouts, 2);
  g_assert_cmpint (outcome.replies, ==, 0);
  g_assert_cmpint (bd_coordinator_client_query (other->coordinator_client,
                                                &query, &registration[2],
                                                &reply, on_reply, &outcome),
                   ==, BD_COORDINATOR_CLIENT_DECIDED);
  keep_fixture (&fixture);
}

/* A request that ends while its query is pending gets no callback, and does
   not stay in the ledger. */
static void
test_cancelled (void)
{
  struct fixture fixture;
  struct side *coordinator;
  struct side *other;
  struct bd_coordination_query query = pending_query ();
  struct bd_coordination_reply reply;
  struct bd_coordinator_registration registration;
  struct bd_coordinator_registration second_registration;
  struct outcome outcome = { 0 };

  open_fixture (&fixture);
  find_roles (&fixture, &coordinator, &other);
  bd_coordinator_client_query (other->coordinator_client, &query,
                               &registration, &reply, on_reply, &outcome);
  bd_coordinator_client_cancel (other->coordinator_client, &registration);
  bd_coordinator_client_query (other->coordinator_client, &query,
                               &second_registration, &reply, on_reply,
                               &outcome);
  await (&fixture, &outcome.replies, 1);
  g_assert_cmpuint (outcome.reply.request_number, ==,
                    second_registration.request_number);
  await_assigned (&fixture, coordinator, 1);
  g_assert_cmpint (outcome.replies + outcome.timeouts, ==, 1);
  keep_fixture (&fixture);
}

struct changes
{
  struct side *side;
  struct bd_coordinator_registration *registration;
  int count;
};

static void
on_coordinator_change (void *context, uint64_t key, uint32_t ip)
{
  struct changes *changes = context;
  size_t count;
  struct bd_coordination_notice placed
      = { .time_left_ms = 5000, .prefill_done = true };

  g_assert_cmpuint (key, ==, bd_coordinator_shard_key (BD_CHUNK ("llm"), 0));
  changes->count++;
  if (!changes->registration || changes->registration->coordinator_ip == ip)
    return;
  placed.target
      = (uint32_t)bd_targets_all (changes->side->targets, &count)[0]->hash;
  bd_coordinator_client_reregister (changes->side->coordinator_client,
                                    changes->registration, ip, &placed);
  bd_coordinator_client_flush (changes->side->coordinator_client);
}

/* The coordinator is stopped while a hundred requests are in flight.  They are
   registered with the new coordinator, so that its first decisions include
   their load. */
static void
test_coordinator_change (void)
{
  struct fixture fixture;
  struct side *coordinator;
  struct side *other;
  struct bd_coordination_query query = pending_query ();
  struct bd_coordination_reply reply;
  struct bd_coordinator_registration registration;
  struct outcome outcome = { 0 };
  struct changes changes = { 0 };

  open_fixture (&fixture);
  find_roles (&fixture, &coordinator, &other);
  changes.side = other;
  bd_coordinator_client_watch (other->coordinator_client,
                               on_coordinator_change, &changes);
  bd_coordinator_client_query (other->coordinator_client, &query,
                               &registration, &reply, on_reply, &outcome);
  await (&fixture, &outcome.replies, 1);
  g_assert_cmpint (changes.count, ==, 1);
  changes.registration = &registration;
  set_state (coordinator, BD_PEER_UNABLE);
  exchange (&fixture);
  while (changes.count < 2)
    {
      struct bd_coordinator_registration next_registration;

      g_assert_false (fixture.late);
      bd_coordinator_client_query (other->coordinator_client, &query,
                                   &next_registration, &reply, on_reply,
                                   &outcome);
      uv_run (&fixture.loop, UV_RUN_ONCE);
    }
  g_assert_cmpuint (registration.coordinator_ip, ==, other->ip);
  g_assert_cmpuint (assigned_count (other), >=, 1);
  keep_fixture (&fixture);
}

static void
count_change (void *context, uint64_t key, uint32_t ip)
{
  (void)key;
  (void)ip;
  ++*(int *)context;
}

/* A service with thousands of runners, whose shards are queried in turn.  The
   coordinator of each shard is chosen once, so requests in flight are not
   registered again and again. */
static void
test_many_shards (void)
{
  struct fixture fixture;
  struct bd_coordination_query query = pending_query ();
  struct bd_coordination_reply reply;
  struct bd_coordinator_registration registration;
  struct outcome outcome = { 0 };
  int changes = 0;

  open_fixture (&fixture);
  bd_coordinator_client_watch (fixture.sides[0].coordinator_client,
                               count_change, &changes);
  query.shard_count = 190;
  for (int round = 0; round < 3; round++)
    for (query.shard = 0; query.shard < query.shard_count; query.shard++)
      {
        bd_coordinator_client_query (fixture.sides[0].coordinator_client,
                                     &query, &registration, &reply, on_reply,
                                     &outcome);
        bd_coordinator_client_cancel (fixture.sides[0].coordinator_client,
                                      &registration);
      }
  g_assert_cmpint (changes, ==, 190);
  keep_fixture (&fixture);
}

/* A stream that began at one instance is continued with the version that began
   it, also at an instance that asks the coordinator for the first time. */
static void
test_stream_told (void)
{
  struct fixture fixture;
  struct side *coordinator;
  struct side *other;
  struct outcome outcome = { 0 };
  struct bd_coordinator_registration registration = { 0 };
  struct bd_coordination_query query = pending_query ();
  struct bd_coordination_reply reply;
  uint64_t old = bd_software_of (BD_CHUNK ("v1")).hash;
  struct bd_origin_notice notice = { 77, old, 10000 };

  open_fixture (&fixture);
  find_roles (&fixture, &coordinator, &other);
  support_set_software (coordinator->targets, "r4", "v1");
  bd_origin_outbox_tell (other->origin_outbox,
                         bd_coordinator_shard_key (query.service, 0), &notice);
  g_assert_cmpuint (
      bd_stream_origins_find (other->origins, 77, bd_clock_boot_ms ()), ==,
      old);
  while (bd_stream_origins_find (coordinator->origins, 77, bd_clock_boot_ms ())
         != old)
    {
      g_assert_false (fixture.late);
      uv_run (&fixture.loop, UV_RUN_ONCE);
    }
  query.continues = true;
  query.stream = 77;
  g_assert_cmpint (bd_coordinator_client_query (other->coordinator_client,
                                                &query, &registration, &reply,
                                                on_reply, &outcome),
                   ==, BD_COORDINATOR_CLIENT_PENDING);
  await (&fixture, &outcome.replies, 1);
  g_assert_cmpint (outcome.reply.verdict, ==, BD_COORDINATION_PLACED);
  g_assert_cmpuint (outcome.reply.software, ==, old);
  g_assert_cmpuint (
      outcome.reply.target, ==,
      (uint32_t)support_target (coordinator->targets, "r4")->hash);
  keep_fixture (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  handler = support_mesh_handler (on_message);
  g_test_add_func ("/coordinator-client/query", test_query);
  g_test_add_func ("/coordinator-client/timeouts", test_timeouts);
  g_test_add_func ("/coordinator-client/cancelled", test_cancelled);
  g_test_add_func ("/coordinator-client/coordinator-change",
                   test_coordinator_change);
  g_test_add_func ("/coordinator-client/many-shards", test_many_shards);
  g_test_add_func ("/coordinator-client/stream-told", test_stream_told);
  return g_test_run ();
}
