/* Gossip datagrams, the queue of strikes, and the ranking of instances. */
#include "gateway/strike_queue.h"
#include "gateway/rank.h"

#include <string.h>

#include <glib.h>

/* More strikes than fit into the queue. */
#define STRIKES (UINT64_C (2) * BD_STRIKE_QUEUE_MAX)

/* Fills BEACON with LOADS, or with as many strikes as fit without them. */
static void
fill (struct bd_beacon *beacon, bool loads)
{
  size_t strikes
      = loads ? BD_BEACON_STRIKES_WITH_LOADS : BD_BEACON_STRIKES_MAX;

  memset (beacon, 0, sizeof *beacon);
  beacon->ip = 0x0100007f;
  beacon->incarnation = UINT64_MAX;
  beacon->status = (struct bd_peer_status){ UINT64_MAX - 1, UINT64_MAX,
                                            BD_PEER_FRESH, 90 };
  beacon->has_loads = loads;
  for (; beacon->address_count < BD_BEACON_ADDRESSES_MAX;
       beacon->address_count++)
    beacon->addresses[beacon->address_count]
        = UINT32_MAX - (uint32_t)beacon->address_count;
  for (; loads && beacon->load_count < BD_BEACON_LOADS_MAX;
       beacon->load_count++)
    beacon->loads[beacon->load_count]
        = (struct bd_beacon_load){ UINT32_MAX - (uint32_t)beacon->load_count,
                                   70000, 70000, true };
  for (; beacon->strike_count < strikes; beacon->strike_count++)
    beacon->strikes[beacon->strike_count]
        = (struct bd_strike){ .fingerprint = UINT64_MAX,
                              .crash = { UINT64_MAX, UINT64_MAX },
                              .alone = true,
                              .age_ms = 3600000 };
  for (; beacon->leaving_count < BD_BEACON_LEAVING_MAX;
       beacon->leaving_count++)
    beacon->leaving_runners[beacon->leaving_count]
        = (struct bd_beacon_leaving_runner){ UINT32_MAX, INT64_MAX };
}

/* Many peers, all runners busy and crashes: the datagram still fits into a
   packet. */
static void
test_full (void)
{
  struct bd_beacon beacon;
  struct bd_beacon read;
  struct bd_buffer out = { 0 };

  fill (&beacon, true);
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  g_assert_cmpuint (out.length, <=, BD_BEACON_MAX_BYTES);
  g_assert_cmpint (bd_beacon_read (bd_buffer_chunk (&out), &read), ==, BD_OK);
  g_assert_cmpuint (read.ip, ==, beacon.ip);
  g_assert_cmpuint (read.status.revision, ==, UINT64_MAX);
  g_assert_cmpuint (read.status.version, ==, UINT64_MAX - 1);
  g_assert_cmpint (read.status.state, ==, BD_PEER_FRESH);
  g_assert_cmpuint (read.address_count, ==, BD_BEACON_ADDRESSES_MAX);
  g_assert_cmpuint (read.addresses[39], ==, beacon.addresses[39]);
  g_assert_cmpuint (read.load_count, ==, BD_BEACON_LOADS_MAX);
  g_assert_cmpuint (read.loads[49].target, ==, beacon.loads[49].target);
  g_assert_cmpuint (read.strike_count, ==, BD_BEACON_STRIKES_WITH_LOADS);
  g_assert_cmpint (read.strikes[5].age_ms, ==, 3600000);
  g_assert_cmpuint (read.leaving_count, ==, BD_BEACON_LEAVING_MAX);
  g_assert_cmpint (read.leaving_runners[5].started_max_ms, ==, INT64_MAX);
  bd_buffer_clear (&out);
}

/* After many crashes, more strikes are sent in place of the loads. */
static void
test_full_of_strikes (void)
{
  struct bd_beacon beacon;
  struct bd_beacon read;
  struct bd_buffer out = { 0 };

  fill (&beacon, false);
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  g_assert_cmpuint (out.length, <=, BD_BEACON_MAX_BYTES);
  g_assert_cmpint (bd_beacon_read (bd_buffer_chunk (&out), &read), ==, BD_OK);
  g_assert_cmpuint (read.strike_count, ==, BD_BEACON_STRIKES_MAX);
  g_assert_cmpint (read.strikes[23].age_ms, ==, 3600000);
  g_assert_false (read.has_loads);
  bd_buffer_clear (&out);
}

/* Beside all loads and few addresses, rate limits of runners fit as well.  A
   peer of an older version sends none. */
static void
test_limits (void)
{
  struct bd_beacon beacon;
  struct bd_beacon read;
  struct bd_buffer out = { 0 };

  fill (&beacon, true);
  beacon.address_count = BD_BEACON_ADDRESSES_WITH_LIMITS;
  for (; beacon.limit_count < BD_BEACON_LIMITS_MAX; beacon.limit_count++)
    beacon.limits[beacon.limit_count]
        = (struct bd_limit_notice){ UINT32_MAX, INT64_MAX, UINT32_MAX,
                                    120000 };
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  g_assert_cmpuint (out.length, <=, BD_BEACON_MAX_BYTES);
  g_assert_cmpint (bd_beacon_read (bd_buffer_chunk (&out), &read), ==, BD_OK);
  g_assert_cmpuint (read.limit_count, ==, BD_BEACON_LIMITS_MAX);
  g_assert_cmpint (read.limits[5].age_ms, ==, 120000);
  g_assert_cmpint (read.limits[5].started_ms, ==, INT64_MAX);
  bd_buffer_reset (&out);
  beacon.limit_count = 0;
  beacon.status.version = 0;
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  out.data[0] = (char)(out.data[0] - 3); /* An array of three fields less. */
  out.length -= 3;
  g_assert_cmpint (bd_beacon_read (bd_buffer_chunk (&out), &read), ==, BD_OK);
  g_assert_cmpuint (read.limit_count, ==, 0);
  g_assert_cmpuint (read.status.version, ==, 0);
  bd_buffer_clear (&out);
}

/* Notices about parts of prompts fit into a datagram of their own.  A peer of
   an older version sends none. */
static void
test_parts (void)
{
  struct bd_beacon beacon;
  struct bd_beacon read;
  struct bd_buffer out = { 0 };

  fill (&beacon, false);
  bd_beacon_strip (&beacon);
  for (; beacon.part_count < BD_BEACON_PARTS_MAX; beacon.part_count++)
    beacon.parts[beacon.part_count]
        = (struct bd_part_notice){ UINT64_MAX,
                                   beacon.part_count % 2 != 0,
                                   { UINT64_MAX, UINT64_MAX },
                                   UINT64_MAX,
                                   3600000,
                                   3550000,
                                   3500000 };
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  g_assert_cmpuint (out.length, <=, BD_BEACON_MAX_BYTES);
  g_assert_cmpint (bd_beacon_read (bd_buffer_chunk (&out), &read), ==, BD_OK);
  g_assert_cmpuint (read.part_count, ==, BD_BEACON_PARTS_MAX);
  g_assert_cmpmem (read.parts, sizeof read.parts, beacon.parts,
                   sizeof beacon.parts);
  bd_buffer_reset (&out);
  beacon.part_count = 0;
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  out.data[0] = (char)(out.data[0] - 1); /* An array of one field less. */
  out.length--;
  g_assert_cmpint (bd_beacon_read (bd_buffer_chunk (&out), &read), ==, BD_OK);
  g_assert_cmpuint (read.part_count, ==, 0);
  g_assert_cmpuint (read.status.version, ==, UINT64_MAX - 1);
  bd_buffer_clear (&out);
}

/* A peer of an older version does not say when the runners of its notices were
   last heard: at the latest when their crash was seen. */
static void
test_parts_without_heard (void)
{
  struct bd_beacon beacon;
  struct bd_beacon read;
  struct bd_buffer out = { 0 };

  fill (&beacon, false);
  bd_beacon_strip (&beacon);
  beacon.part_count = 1;
  beacon.parts[0] = (struct bd_part_notice){
    .part = 9, .sent_age_ms = 90, .heard_age_ms = 80, .age_ms = 70
  };
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  out.data[2] = (char)(out.data[2] - 1); /* An array of one field less. */
  out.length -= 2;
  g_assert_cmpint (bd_beacon_read (bd_buffer_chunk (&out), &read), ==, BD_OK);
  g_assert_cmpuint (read.part_count, ==, 1);
  g_assert_cmpint (read.parts[0].sent_age_ms, ==, 90);
  g_assert_cmpint (read.parts[0].heard_age_ms, ==, 70);
  bd_buffer_clear (&out);
}

/* Without crashes the datagrams of a round are small, no matter how many peers
   and runners there are. */
static void
test_small (void)
{
  struct bd_beacon beacon = { .ip = 1, .address_count = 4 };
  struct bd_buffer out = { 0 };

  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  g_assert_cmpuint (out.length, <=, 64);
  bd_buffer_clear (&out);
}

/* Every truncated datagram is rejected, and so is another format. */
static void
test_cut (void)
{
  struct bd_beacon beacon;
  struct bd_beacon read;
  struct bd_buffer out = { 0 };
  struct bd_chunk bytes;

  fill (&beacon, true);
  g_assert_cmpint (bd_beacon_write (&beacon, &out), ==, BD_OK);
  bytes = bd_buffer_chunk (&out);
  for (size_t i = 0; i < out.length; i++)
    {
      bytes.length = i;
      g_assert_cmpint (bd_beacon_read (bytes, &read), ==, BD_ERR_PROTOCOL);
    }
  out.data[1]++;
  bytes.length = out.length;
  g_assert_cmpint (bd_beacon_read (bytes, &read), ==, BD_ERR_PROTOCOL);
  bd_buffer_clear (&out);
}

/* A strike is sent several times, with its age; none is lost when there are
   more than fit into the queue. */
static void
test_strike_queue (void)
{
  struct bd_suspects *suspects = bd_suspects_create (400, 60000);
  struct bd_strike_queue queue = { 0 };
  struct bd_beacon beacon = { 0 };
  uint32_t send_counts[STRIKES + 1] = { 0 };

  for (uint64_t i = 1; i <= STRIKES; i++)
    {
      struct bd_strike strike = { .fingerprint = i, .crash = { i, i } };

      bd_suspects_record (suspects, 1000, &strike);
    }
  bd_strike_queue_collect (&queue, suspects, 1000);
  g_assert_cmpuint (queue.count, ==, BD_STRIKE_QUEUE_MAX);
  g_assert_cmpuint (bd_strike_queue_add_to (&queue, 0, &beacon, 1500, 6), ==,
                    6);
  g_assert_cmpuint (beacon.strike_count, ==, 6);
  g_assert_cmpint (beacon.strikes[0].age_ms, ==, 500);
  for (int round = 0; round < 20; round++)
    {
      bd_strike_queue_collect (&queue, suspects, 1500);
      for (size_t i = 0; i < queue.count; i++)
        send_counts[queue.items[i].strike.fingerprint]++;
      bd_strike_queue_mark_sent (&queue, queue.count);
    }
  g_assert_cmpuint (queue.count, ==, 0);
  for (uint64_t i = 1; i <= STRIKES; i++)
    g_assert_cmpuint (send_counts[i], >=, 2);
  bd_suspects_destroy (suspects);
}

/* Runners that crash under load leave a strike on each request that was
   waiting there; the strikes of the request that was in flight at two crashes
   are sent first (docs/incidents/BUDGET.md). */
static void
test_repeated_goes_first (void)
{
  struct bd_suspects *suspects = bd_suspects_create (400, 60000);
  struct bd_strike strike = { .fingerprint = 200 };
  struct bd_strike first[2];

  for (strike.fingerprint = 1; strike.fingerprint <= 300; strike.fingerprint++)
    {
      strike.crash = (struct bd_id){ 1, 1 };
      bd_suspects_record (suspects, 1000, &strike);
    }
  strike.fingerprint = 200;
  strike.crash = (struct bd_id){ 2, 2 };
  bd_suspects_record (suspects, 1000, &strike);
  g_assert_cmpuint (bd_suspects_next_gossip (suspects, 1000, first, 2), ==, 2);
  g_assert_cmpuint (first[0].fingerprint, ==, 200);
  g_assert_cmpuint (first[1].fingerprint, ==, 200);
  bd_suspects_destroy (suspects);
}

/* Able instances rank before unable ones, and strong before weak ones; the
   order of the input does not matter. */
static void
test_rank (void)
{
  struct bd_rank_entry all[] = { { 1, { 0, 0, BD_PEER_UNABLE, 500 } },
                                 { 2, { 0, 0, BD_PEER_FRESH, 100 } },
                                 { 3, { 0, 0, BD_PEER_FRESH, 300 } },
                                 { 4, { 0, 0, BD_PEER_STALE, 500 } },
                                 { 5, { 0, 0, BD_PEER_FRESH, 500 } } };
  uint32_t ips[BD_RANK_MAX];
  uint32_t reordered_ips[BD_RANK_MAX];

  g_assert_cmpuint (bd_rank (all, 5, 7, ips, BD_RANK_MAX), ==, 4);
  g_assert_true ((ips[0] == 3 && ips[1] == 5) || (ips[0] == 5 && ips[1] == 3));
  g_assert_cmpuint (ips[2], ==, 2);
  g_assert_cmpuint (ips[3], ==, 4);
  for (int i = 0; i < 2; i++)
    {
      struct bd_rank_entry other = all[i];

      all[i] = all[4 - i];
      all[4 - i] = other;
    }
  g_assert_cmpuint (bd_rank (all, 5, 7, reordered_ips, BD_RANK_MAX), ==, 4);
  g_assert_cmpmem (ips, 4 * sizeof ips[0], reordered_ips,
                   4 * sizeof reordered_ips[0]);
  g_assert_cmpuint (bd_rank (all, 5, 7, ips, 1), ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/beacon/full", test_full);
  g_test_add_func ("/beacon/full-of-strikes", test_full_of_strikes);
  g_test_add_func ("/beacon/limits", test_limits);
  g_test_add_func ("/beacon/parts", test_parts);
  g_test_add_func ("/beacon/parts-without-heard", test_parts_without_heard);
  g_test_add_func ("/beacon/small", test_small);
  g_test_add_func ("/beacon/truncated", test_cut);
  g_test_add_func ("/beacon/strike-queue", test_strike_queue);
  g_test_add_func ("/beacon/repeated-strike-first", test_repeated_goes_first);
  g_test_add_func ("/beacon/rank", test_rank);
  return g_test_run ();
}
