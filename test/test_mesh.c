/* Gossip between gateway instances, over UDP on loopback. */
#include "gateway/mesh.h"

#include "common/clock.h"
#include "http/socket.h"
#include "support_port.h"
#include "support_targets.h"

#include <glib.h>
#include <string.h>

#define PEERS 2
#define LIMIT_MS 8000
#define SUSPECTS_MAX 256

struct side
{
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_stats *stats;
  struct bd_mesh *mesh;
  uint32_t ip;
  uint32_t instance_count;
  uint32_t newer_ip;
  uint64_t newer_version;
};

struct fixture
{
  uv_loop_t loop;
  uv_timer_t limit;
  bool late;
  struct side sides[PEERS];
};

static void
on_instance_count (void *context, uint32_t count)
{
  ((struct side *)context)->instance_count = count;
}

static void
on_newer_configuration (void *context, uint32_t ip, uint64_t version)
{
  struct side *side = context;

  side->newer_ip = ip;
  side->newer_version = version;
}

static const struct bd_mesh_handler handler
    = { .on_instance_count = on_instance_count,
        .on_newer_configuration = on_newer_configuration };

static void
on_limit (uv_timer_t *timer)
{
  ((struct fixture *)timer->data)->late = true;
}

/* Opens two sides at 127.0.0.1 and 127.0.0.2; the second has the first as a
   seed. */
static void
open_fixture (struct fixture *fixture)
{
  char text[SUPPORT_ADDRESS_BYTES];
  struct sockaddr_in address;

  memset (fixture, 0, sizeof *fixture);
  uv_loop_init (&fixture->loop);
  support_free_address (text);
  bd_address_parse (bd_chunk_of (text), &address);
  for (uint32_t i = 0; i < PEERS; i++)
    {
      struct side *side = &fixture->sides[i];
      struct bd_mesh_options options
          = { .loop = &fixture->loop, .port = ntohs (address.sin_port) };

      side->ip = htonl (INADDR_LOOPBACK + i);
      side->targets = bd_targets_create ();
      support_put_runners (side->targets, 3, 1);
      side->suspects = bd_suspects_create (SUSPECTS_MAX, 60000);
      side->breakers = bd_part_breakers_create (i);
      side->stats = bd_stats_create ();
      options.ip = side->ip;
      options.seeds = &fixture->sides[0].ip;
      options.seed_count = 1;
      options.targets = side->targets;
      options.suspects = side->suspects;
      options.breakers = side->breakers;
      options.stats = side->stats;
      g_assert_cmpint (bd_mesh_create (&options, &handler, side, &side->mesh),
                       ==, BD_OK);
    }
  uv_timer_init (&fixture->loop, &fixture->limit);
  fixture->limit.data = fixture;
  uv_timer_start (&fixture->limit, on_limit, LIMIT_MS, 0);
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

/* Sends gossip of both sides at NOW_MS, and handles what arrives. */
static void
exchange (struct fixture *fixture, int64_t now_ms)
{
  for (int i = 0; i < PEERS; i++)
    bd_mesh_tick (fixture->sides[i].mesh, now_ms);
  for (int i = 0; i < 50; i++)
    uv_run (&fixture->loop, UV_RUN_NOWAIT);
  g_assert_false (fixture->late);
}

static void
introduce_sides (struct fixture *fixture, int64_t now_ms)
{
  for (int i = 0; i < 3; i++)
    exchange (fixture, now_ms + (int64_t)i * 1000);
}

static void
test_join_and_leave (void)
{
  struct fixture fixture;
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  introduce_sides (&fixture, now);
  g_assert_cmpuint (fixture.sides[0].instance_count, ==, 2);
  g_assert_cmpuint (fixture.sides[1].instance_count, ==, 2);
  bd_mesh_leave (fixture.sides[1].mesh);
  for (int i = 0; i < 50; i++)
    uv_run (&fixture.loop, UV_RUN_NOWAIT);
  bd_mesh_tick (fixture.sides[0].mesh, now + 10000);
  g_assert_cmpuint (fixture.sides[0].instance_count, ==, 1);
  keep_fixture (&fixture);
}

static void
test_loads (void)
{
  struct fixture fixture;
  struct bd_target *mine;
  struct bd_target *seen;
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  mine = support_target (fixture.sides[0].targets, "r1");
  seen = support_target (fixture.sides[1].targets, "r1");
  mine->in_flight = 3;
  mine->prefill_tokens = 10240;
  support_target (fixture.sides[0].targets, "r2")->health.ejected_until_ms
      = now + 60000;
  introduce_sides (&fixture, now);
  g_assert_cmpuint (seen->peers_in_flight, ==, 3);
  g_assert_cmpuint (seen->peers_prefill_tokens, ==, 10240);
  g_assert_cmpuint (seen->peers_ejecting, ==, 0);
  g_assert_cmpuint (
      support_target (fixture.sides[1].targets, "r2")->peers_ejecting, ==, 1);
  mine->in_flight = 0;
  mine->prefill_tokens = 0;
  introduce_sides (&fixture, now + 5000);
  g_assert_cmpuint (seen->peers_in_flight, ==, 0);
  keep_fixture (&fixture);
}

/* The operator's version decides, not the revision at which a store had it:
   one that has lost writes gives lower revisions out again. */
static void
test_newer_configuration (void)
{
  struct bd_peer_status status = { .version = 7 };
  struct bd_peer_status later = { .version = 6, .revision = 900 };
  struct fixture fixture;

  open_fixture (&fixture);
  bd_mesh_set_status (fixture.sides[0].mesh, &status);
  bd_mesh_set_status (fixture.sides[1].mesh, &later);
  introduce_sides (&fixture, bd_clock_boot_ms ());
  g_assert_cmpuint (fixture.sides[1].newer_version, ==, 7);
  g_assert_cmpuint (fixture.sides[1].newer_ip, ==, fixture.sides[0].ip);
  g_assert_cmpuint (fixture.sides[0].newer_version, ==, 0);
  keep_fixture (&fixture);
}

/* Crashes that one side saw quarantine a request at the other. */
static void
test_strikes (void)
{
  struct fixture fixture;
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  for (uint64_t i = 1; i <= 3; i++)
    {
      struct bd_strike strike
          = { .fingerprint = 42, .crash = { i, i }, .alone = i > 1 };

      bd_suspects_record (fixture.sides[0].suspects, now, &strike);
    }
  introduce_sides (&fixture, now);
  g_assert_cmpint (bd_suspects_check (fixture.sides[1].suspects, now, 42), ==,
                   BD_SUSPICION_QUARANTINE);
  keep_fixture (&fixture);
}

/* Datagrams from strangers and truncated ones are ignored. */
static void
test_hostile (void)
{
  static const char *const datagrams[]
      = { "",
          "x",
          "\x98\x02",
          "\x98\x02\xce\x7f\x00\x00\x01\x01\x00\x00",
          "\x98\x02\xce\xff\xff\xff\xff\x01\x00\x00\x90\x90\x90",
          "\x98\xcf\xff\xff\xff\xff\xff\xff\xff\xff" };
  struct fixture fixture;
  struct sockaddr_in to;
  uv_udp_t socket;

  open_fixture (&fixture);
  support_free_address ((char[SUPPORT_ADDRESS_BYTES]){ 0 });
  uv_udp_init (&fixture.loop, &socket);
  uv_ip4_addr ("127.0.0.3", 0, &to);
  uv_udp_bind (&socket, (const struct sockaddr *)&to, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (datagrams); i++)
    {
      uv_buf_t buffer = uv_buf_init ((char *)datagrams[i],
                                     (unsigned)strlen (datagrams[i]) + 1);

      to.sin_addr.s_addr = fixture.sides[0].ip;
      uv_udp_try_send (&socket, &buffer, 1, (const struct sockaddr *)&to);
    }
  exchange (&fixture, bd_clock_boot_ms ());
  g_assert_cmpuint (fixture.sides[0].instance_count, ==, 1);
  keep_fixture (&fixture);
}

/* The largest datagram, with many busy runners and many strikes, is sent. */
static void
test_full (void)
{
  struct fixture fixture;
  int64_t now = bd_clock_boot_ms ();
  size_t count;
  size_t reported_count = 0;
  struct bd_target *const *all;

  open_fixture (&fixture);
  for (int i = 0; i < 2; i++)
    support_put_runners (fixture.sides[i].targets, 300, 3);
  all = bd_targets_all (fixture.sides[0].targets, &count);
  for (size_t i = 0; i < count; i++)
    {
      all[i]->in_flight = 4000000000u;
      all[i]->prefill_tokens = UINT64_C (1) << 39;
    }
  for (uint64_t i = 1; i <= 40; i++)
    {
      struct bd_strike strike = { .fingerprint = UINT64_MAX - i,
                                  .crash = { UINT64_MAX, UINT64_MAX - i },
                                  .age_ms = 50000 };

      bd_suspects_record (fixture.sides[0].suspects, now, &strike);
    }
  introduce_sides (&fixture, now);
  g_assert_cmpuint (fixture.sides[1].instance_count, ==, 2);
  all = bd_targets_all (fixture.sides[1].targets, &count);
  for (size_t i = 0; i < count; i++)
    reported_count += all[i]->peers_in_flight > 0;
  g_assert_cmpuint (reported_count, ==, BD_BEACON_LOADS_MAX);
  keep_fixture (&fixture);
}

/* A runner announced its shutdown to one instance.  The other one learns of it
   within a round, but does not apply it to a process that has started
   since. */
static void
test_leaving (void)
{
  struct fixture fixture;
  int64_t now = bd_clock_boot_ms ();
  struct bd_target_entry entry = support_entry ("r1", "z0");
  struct bd_targets *one;
  struct bd_targets *two;

  open_fixture (&fixture);
  introduce_sides (&fixture, now);
  one = fixture.sides[0].targets;
  two = fixture.sides[1].targets;
  bd_targets_set_leaving (one, support_target (one, "r0"), 0, now + 3000,
                          true);
  bd_targets_set_leaving (one, support_target (one, "r1"), 0, now + 3000,
                          true);
  entry.started_ms = 9;
  bd_targets_put (two, now, &entry, 99);
  exchange (&fixture, now + 3500);
  g_assert_false (bd_target_usable (support_target (two, "r0")));
  g_assert_true (bd_target_usable (support_target (two, "r1")));
  g_assert_true (bd_target_usable (support_target (two, "r2")));
  keep_fixture (&fixture);
}

/* A crash under load makes many requests suspect, more than fit into a
   datagram; among them is one under which three runners have crashed.  An
   instance that starts later hears of that one all the same. */
static void
test_new_peer_gets_worst_strikes (void)
{
  struct fixture fixture;
  struct bd_strike strike = { .crash = { 1, 1 } };
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  for (strike.fingerprint = 1; strike.fingerprint <= 200; strike.fingerprint++)
    bd_suspects_record (fixture.sides[0].suspects, now, &strike);
  strike.fingerprint = 150;
  for (strike.crash.low = 2; strike.crash.low <= 3; strike.crash.low++)
    bd_suspects_record (fixture.sides[0].suspects, now, &strike);
  while (bd_suspects_next_gossip (fixture.sides[0].suspects, now, &strike, 1)
         > 0)
    ;
  introduce_sides (&fixture, now);
  g_assert_cmpint (bd_suspects_check (fixture.sides[1].suspects, now, 150), ==,
                   BD_SUSPICION_ISOLATE);
  keep_fixture (&fixture);
}

/* A runner named a rate limit to one instance, and later its end.  The other
   one learns of both within a round, but does not apply them to a process that
   has started since. */
static void
test_limits (void)
{
  struct fixture fixture;
  int64_t now = bd_clock_boot_ms ();
  struct bd_target_entry entry = support_entry ("r1", "z0");
  struct bd_targets *one;
  struct bd_targets *two;

  open_fixture (&fixture);
  introduce_sides (&fixture, now);
  one = fixture.sides[0].targets;
  two = fixture.sides[1].targets;
  bd_runner_limit_named (support_target (one, "r0"), 0, now, 4100);
  bd_runner_limit_named (support_target (one, "r1"), 0, now, 4100);
  entry.started_ms = 9;
  bd_targets_put (two, now, &entry, 99);
  exchange (&fixture, now + 3500);
  g_assert_cmpuint (support_target (two, "r0")->limit.rate, ==, 4100);
  g_assert_cmpuint (support_target (two, "r1")->limit.rate, ==, 0);
  g_assert_cmpuint (support_target (two, "r2")->limit.rate, ==, 0);
  bd_runner_limit_absent (support_target (one, "r0"), 0, now + 3600,
                          now + 3550);
  exchange (&fixture, now + 4500);
  g_assert_cmpuint (support_target (two, "r0")->limit.rate, ==, 0);
  keep_fixture (&fixture);
}

/* An instance that starts after the strikes of a crash were sent, or restarts
   since, gets them all the same (docs/incidents/BUDGET.md). */
static void
test_new_peer_gets_strikes (void)
{
  struct fixture fixture;
  struct bd_strike strike = { .crash = { 1, 1 }, .alone = true };
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  for (strike.fingerprint = 1; strike.fingerprint <= 10; strike.fingerprint++)
    bd_suspects_record (fixture.sides[0].suspects, now, &strike);
  /* The strikes were sent to another peer before, so none is pending. */
  while (bd_suspects_next_gossip (fixture.sides[0].suspects, now, &strike, 1)
         > 0)
    ;
  introduce_sides (&fixture, now);
  for (uint64_t f = 1; f <= 10; f++)
    g_assert_cmpint (bd_suspects_check (fixture.sides[1].suspects, now, f), ==,
                     BD_SUSPICION_ISOLATE);
  keep_fixture (&fixture);
}

/* Records crashes under requests with the part at side 0. */
static void
crash_under_part (struct fixture *fixture, const struct bd_part_list *parts,
                  int64_t now)
{
  for (uint64_t i = 1; i <= BD_PART_CRASHES_MAX; i++)
    {
      int64_t at_ms = now + (int64_t)i;
      struct bd_part_crash crash = { { i, i }, at_ms, at_ms, at_ms };

      bd_part_breakers_crashed (fixture->sides[0].breakers, parts, &crash);
    }
}

/* What crashes under a part of prompts is known to peers at once, before the
   next round, and so is that the part is harmless. */
static void
test_parts_sent_at_once (void)
{
  const struct bd_part_list parts = { 1, (uint64_t[]){ 9 }, 0 };
  struct fixture fixture;
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  introduce_sides (&fixture, now);
  crash_under_part (&fixture, &parts, now + 2000);
  exchange (&fixture, now + 2100);
  g_assert_cmpint (
      bd_part_breakers_check (fixture.sides[1].breakers, now + 2100, &parts),
      ==, BD_BREAKER_OPEN);
  bd_part_breakers_survived (fixture.sides[0].breakers, now + 2200, &parts);
  exchange (&fixture, now + 2200);
  g_assert_cmpint (
      bd_part_breakers_check (fixture.sides[1].breakers, now + 2200, &parts),
      ==, BD_BREAKER_CLOSED);
  keep_fixture (&fixture);
}

/* An instance that starts later, or was out of reach, hears of crashes under
   parts that were sent before. */
static void
test_new_peer_gets_parts (void)
{
  const struct bd_part_list parts = { 1, (uint64_t[]){ 9 }, 0 };
  struct fixture fixture;
  struct bd_part_notice notice;
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  crash_under_part (&fixture, &parts, now - 100);
  while (bd_part_breakers_next_notices (fixture.sides[0].breakers, now,
                                        &notice, 1)
         > 0)
    ;
  introduce_sides (&fixture, now);
  g_assert_cmpint (
      bd_part_breakers_check (fixture.sides[1].breakers, now, &parts), ==,
      BD_BREAKER_OPEN);
  keep_fixture (&fixture);
}

/* The instance that saw a runner crash is killed before the next round; its
   peers have the strike already (docs/incidents/BUDGET.md). */
static void
test_strikes_sent_at_once (void)
{
  struct fixture fixture;
  struct bd_strike strike = { .fingerprint = 7, .crash = { 1, 1 } };
  int64_t now = bd_clock_boot_ms ();

  open_fixture (&fixture);
  introduce_sides (&fixture, now);
  bd_suspects_record (fixture.sides[0].suspects, now + 2000, &strike);
  exchange (&fixture, now + 2100);
  g_assert_cmpint (
      bd_suspects_check (fixture.sides[1].suspects, now + 2100, 7), ==,
      BD_SUSPICION_ISOLATE);
  keep_fixture (&fixture);
}

/* Returns the instance that coordinates KEY, as side 0 sees it. */
static uint32_t
coordinator_of (struct fixture *fixture, uint64_t key, int64_t now_ms)
{
  uint32_t ip = 0;

  bd_mesh_rank (fixture->sides[0].mesh, key, now_ms, false, &ip, 1);
  return ip;
}

/* Guards against streams that go on at another software version, or nowhere,
   because an instance that stood still decides on placements as soon as it
   runs again: until it has heard what it missed, another one does. */
static void
test_standstill (void)
{
  struct bd_peer_status fresh = { .state = BD_PEER_FRESH };
  struct fixture fixture;
  /* Peers are heard of at the real time, so all is played just before it. */
  int64_t now = bd_clock_boot_ms () - 9000;
  uint64_t key = 1;

  open_fixture (&fixture);
  for (int i = 0; i < PEERS; i++)
    bd_mesh_set_status (fixture.sides[i].mesh, &fresh);
  introduce_sides (&fixture, now);
  now += 2000;
  while (coordinator_of (&fixture, key, now) != fixture.sides[0].ip)
    key++;
  for (int64_t end = now + 4000; now < end; now += 500)
    bd_mesh_tick (fixture.sides[1].mesh, now);
  bd_mesh_set_status (fixture.sides[0].mesh, &fresh);
  exchange (&fixture, now);
  g_assert_cmpuint (coordinator_of (&fixture, key, now), ==,
                    fixture.sides[1].ip);
  for (int64_t end = now + 4000; now < end; now += 500)
    {
      exchange (&fixture, now);
      bd_mesh_set_status (fixture.sides[0].mesh, &fresh);
    }
  g_assert_cmpuint (coordinator_of (&fixture, key, now), ==,
                    fixture.sides[0].ip);
  keep_fixture (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mesh/join-and-leave", test_join_and_leave);
  g_test_add_func ("/mesh/loads", test_loads);
  g_test_add_func ("/mesh/newer-configuration", test_newer_configuration);
  g_test_add_func ("/mesh/strikes", test_strikes);
  g_test_add_func ("/mesh/hostile", test_hostile);
  g_test_add_func ("/mesh/leaving", test_leaving);
  g_test_add_func ("/mesh/limits", test_limits);
  g_test_add_func ("/mesh/new-peer-gets-worst-strikes",
                   test_new_peer_gets_worst_strikes);
  g_test_add_func ("/mesh/full", test_full);
  g_test_add_func ("/mesh/new-peer-gets-strikes", test_new_peer_gets_strikes);
  g_test_add_func ("/mesh/strikes-sent-at-once", test_strikes_sent_at_once);
  g_test_add_func ("/mesh/parts-sent-at-once", test_parts_sent_at_once);
  g_test_add_func ("/mesh/new-peer-gets-parts", test_new_peer_gets_parts);
  g_test_add_func ("/mesh/standstill", test_standstill);
  return g_test_run ();
}
