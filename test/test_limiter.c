#include "limits/limiter.h"
#include "common/random.h"
#include "limits/share.h"
#include "support_limiter.h"

#include <glib.h>

#define HISTORIES 1000
#define PHASES 14

static void
random_event (struct limiters *fleet, uint64_t *random)
{
  int k = (int)bd_random_below (random, (uint32_t)fleet->count);

  switch (bd_random_below (random, 8))
    {
    case 0:
      for (int i = 0; i < fleet->count; i++)
        fleet->entries[i].side = (int)bd_random_below (random, 2);
      break;
    case 1:
      for (int i = 0; i < fleet->count; i++)
        fleet->entries[i].side = 0;
      break;
    case 2:
      limiters_stop (fleet, k);
      break;
    case 3:
      limiters_start (fleet, k, false);
      break;
    case 4:
      limiters_start (fleet, k, true);
      break;
    case 5:
      if (bd_random_below (random, 3) > 0)
        break;
      for (int i = 0; i < fleet->count; i++)
        limiters_start (fleet, i, bd_random_below (random, 2) > 0);
      break;
    default:
      break;
    }
}

/**
 * Partitions, deaths, restarts, replacements and shifting demand, combined and
 * repeated, over a link that loses up to 30 % of the messages.
 * limiters_request () checks each admission against the documented bound, and
 * the sum of the shares is checked.
 */
static void
test_random_histories (void)
{
  struct bd_limits limits = { 100, 12000, 60 };

  for (uint64_t seed = 1; seed <= HISTORIES; seed++)
    {
      uint64_t random = seed;
      struct limiters fleet;

      limiters_init (&fleet, seed, 2 + (int)bd_random_below (&random, 7),
                     &limits);
      fleet.loss_permille = bd_random_below (&random, 300);
      fleet.delay_max_ms = 1 + bd_random_below (&random, 300);
      for (int phase = 0; phase < PHASES; phase++)
        {
          for (int i = 0; i < fleet.count; i++)
            fleet.entries[i].offered_per_s
                = bd_random_below (&random, 3) == 0
                      ? 0
                      : bd_random_below (&random, 200);
          random_event (&fleet, &random);
          limiters_run (&fleet, 1000 + bd_random_below (&random, 14000));
        }
      g_assert_cmpfloat (fleet.share_max, <=, SHARES_MAX);
      limiters_clear (&fleet);
    }
}

/**
 * In steady state all entries together admit nearly what one limiter would.
 */
static void
test_steady_state (void)
{
  static const struct
  {
    struct bd_limits limits;
    int count;
    double first_per_s; /**< Offered at the first entry. */
    double others_per_s;
    double ratio_min;
  } cases[] = {
    { { 100, 0, 0 }, 1, 300, 0, 0.95 },    { { 100, 0, 0 }, 4, 100, 100, 0.9 },
    { { 100, 0, 0 }, 12, 40, 40, 0.85 },   { { 100, 0, 0 }, 4, 300, 0, 0.85 },
    { { 0, 5000, 0 }, 4, 100, 100, 0.85 }, { { 0, 0, 40 }, 4, 100, 100, 0.85 },
    { { 1000, 0, 0 }, 8, 20, 20, 0.99 },
  };

  for (size_t c = 0; c < G_N_ELEMENTS (cases); c++)
    {
      struct limiters fleet;
      double ratio;

      limiters_init (&fleet, c + 1, cases[c].count, &cases[c].limits);
      for (int i = 0; i < fleet.count; i++)
        fleet.entries[i].offered_per_s
            = i == 0 ? cases[c].first_per_s : cases[c].others_per_s;
      limiters_run (&fleet, 25000);
      ratio = limiters_central_ratio (&fleet, 60000);
      g_test_message ("case %zu: %.3f of central, shares at most %.3f", c,
                      ratio, fleet.share_max);
      g_assert_cmpfloat (ratio, >=, cases[c].ratio_min);
      g_assert_cmpfloat (ratio, <=, 1.05);
      g_assert_cmpfloat (fleet.share_max, <=, SHARES_MAX);
      limiters_clear (&fleet);
    }
}

/**
 * The entry that holds nearly the whole limit is cut off, and later reunited
 * with the rest.
 */
static void
test_partition_adds_nothing (void)
{
  struct bd_limits limits = { 100, 0, 0 };

  for (int cut_count = 1; cut_count <= 3; cut_count++)
    {
      struct limiters fleet;

      limiters_init (&fleet, 5, 4, &limits);
      fleet.entries[0].offered_per_s = 300;
      limiters_run (&fleet, 30000);
      g_assert_cmpfloat (fleet.share_sum, >=, 0.95);
      limiters_set_rate (&fleet, 100);
      for (int i = 0; i < cut_count; i++)
        fleet.entries[i].side = 1;
      g_assert_cmpfloat (limiters_central_ratio (&fleet, 60000), <=, 1.05);
      g_assert_cmpfloat (fleet.share_sum, >=, 0.95);
      for (int i = 0; i < fleet.count; i++)
        g_assert_cmpuint (
            bd_limiter_share (fleet.entries[i].limiter, WORKSPACE), >=, 2000);
      fleet.entries[0].side = 0;
      fleet.entries[1].side = 0;
      fleet.entries[2].side = 0;
      g_assert_cmpfloat (limiters_central_ratio (&fleet, 30000), <=, 1.05);
      g_assert_cmpfloat (fleet.share_max, <=, SHARES_MAX);
      limiters_clear (&fleet);
    }
}

/**
 * Demand moves, or other entries get demand too, while long requests still run
 * at the first entry.
 */
static void
test_long_requests (void)
{
  struct bd_limits limits = { 0, 0, 40 };

  for (int with_others = 0; with_others < 2; with_others++)
    {
      struct limiters fleet;

      limiters_init (&fleet, 8, 4, &limits);
      fleet.duration_ms = 20000;
      fleet.entries[0].offered_per_s = 50;
      limiters_run (&fleet, 40000);
      g_assert_cmpuint (fleet.bound.running, >=, 30);
      limiters_set_rate (&fleet, 50);
      fleet.entries[0].offered_per_s = with_others ? 50 : 0;
      for (int i = 0; i < 900; i++)
        {
          limiters_run (&fleet, 100);
          g_assert_cmpuint (fleet.bound.running, <=, 40 + 4);
        }
      g_assert_cmpuint (fleet.bound.running, >=, 30);
      for (int i = 1; i < 4; i++)
        g_assert_cmpuint (
            bd_limiter_share (fleet.entries[i].limiter, WORKSPACE), >=, 2000);
      limiters_clear (&fleet);
    }
}

/**
 * The share of a dead entry is used by the others, but not before it has
 * expired.
 */
static void
test_death (void)
{
  struct bd_limits limits = { 100, 0, 0 };
  struct limiters fleet;

  limiters_init (&fleet, 6, 4, &limits);
  fleet.entries[0].offered_per_s = 300;
  limiters_run (&fleet, 30000);
  limiters_stop (&fleet, 0);
  limiters_set_rate (&fleet, 100);
  limiters_run (&fleet, BD_SHARE_PEER_EXPIRE_MS - 2000);
  g_assert_cmpfloat (fleet.share_sum, <=, 0.2);
  limiters_run (&fleet, 20000);
  /* Still published, it counts with an equal part beyond the floor. */
  g_assert_cmpfloat (fleet.share_sum, >=, 0.7);
  g_assert_cmpfloat (fleet.share_sum, <=, 0.8);
  limiters_publish (&fleet, 3);
  limiters_run (&fleet, 20000);
  g_assert_cmpfloat (fleet.share_sum, >=, 0.95);
  g_assert_cmpfloat (fleet.share_max, <=, SHARES_MAX);
  limiters_clear (&fleet);
}

/**
 * A restarted entry starts with a small share, alone or with all the others.
 */
static void
test_restarts (void)
{
  struct bd_limits limits = { 100, 0, 0 };

  for (int all = 0; all < 2; all++)
    {
      struct limiters fleet;
      double ratio;

      limiters_init (&fleet, 7, 4, &limits);
      limiters_set_rate (&fleet, 100);
      limiters_run (&fleet, 30000);
      for (int i = 0; i < (all ? 4 : 1); i++)
        limiters_start (&fleet, i, all > 0);
      ratio = limiters_central_ratio (&fleet, BD_SHARE_START_MS - 100);
      g_assert_cmpuint (bd_limiter_share (fleet.entries[0].limiter, WORKSPACE),
                        <=, 250);
      g_assert_cmpfloat (ratio, <=, all ? 0.2 : 1.0);
      limiters_run (&fleet, 15000);
      g_assert_cmpfloat (fleet.share_sum, >=, 0.9);
      g_assert_cmpfloat (fleet.share_max, <=, SHARES_MAX);
      limiters_clear (&fleet);
    }
}

static void
test_refusals (void)
{
  struct bd_limits limits = { 10, 1000, 3 };
  struct bd_limits tokens = { 0, 1000, 0 };
  struct bd_limiter *l = bd_limiter_create (1);
  int32_t retry_ms;

  bd_limiter_set_entry_count (l, 0, 1);
  g_assert_cmpint (bd_limiter_set (l, 0, 5, &limits), ==, BD_OK);
  bd_limiter_tick (l, 0);
  g_assert_cmpint (bd_limiter_admit (l, 0, 6, 1, &retry_ms), ==,
                   BD_ERR_NOT_FOUND);
  for (int i = 0; i < 3; i++)
    g_assert_cmpint (bd_limiter_admit (l, 2000, 5, 1, &retry_ms), ==, BD_OK);
  g_assert_cmpint (bd_limiter_admit (l, 2000, 5, 1, &retry_ms), ==,
                   BD_ERR_CONCURRENCY);
  g_assert_cmpint (retry_ms, >, 0);
  for (int i = 0; i < 7; i++)
    {
      bd_limiter_release (l, 2000, 5, 1, 1);
      g_assert_cmpint (bd_limiter_admit (l, 2000, 5, 1, &retry_ms), ==, BD_OK);
    }
  bd_limiter_release (l, 2000, 5, 1, 1);
  g_assert_cmpint (bd_limiter_admit (l, 2000, 5, 1, &retry_ms), ==,
                   BD_ERR_RATE_LIMITED);
  g_assert_cmpint (retry_ms, ==, 100);
  g_assert_cmpint (bd_limiter_admit (l, 2099, 5, 1, &retry_ms), ==,
                   BD_ERR_RATE_LIMITED);
  g_assert_cmpint (bd_limiter_admit (l, 2100, 5, 1, &retry_ms), ==, BD_OK);
  /* More tokens than the bucket holds: admitted when it is full, with a
     debt. */
  g_assert_cmpint (bd_limiter_set (l, 9000, 7, &tokens), ==, BD_OK);
  bd_limiter_tick (l, 9000);
  g_assert_cmpint (bd_limiter_admit (l, 12000, 7, 5000, &retry_ms), ==, BD_OK);
  g_assert_cmpint (bd_limiter_admit (l, 12000, 7, 500, &retry_ms), ==,
                   BD_ERR_RATE_LIMITED);
  g_assert_cmpint (retry_ms, ==, 4500);
  bd_limiter_release (l, 12000, 7, 5000, 2000);
  g_assert_cmpint (bd_limiter_admit (l, 12000, 7, 500, &retry_ms), ==,
                   BD_ERR_RATE_LIMITED);
  g_assert_cmpint (retry_ms, ==, 1500);
  bd_limiter_remove (l, 5);
  g_assert_cmpint (bd_limiter_admit (l, 12000, 5, 1, &retry_ms), ==,
                   BD_ERR_NOT_FOUND);
  bd_limiter_destroy (l);
}

/** The share stays small until the number of entries is known. */
static void
test_unknown_number (void)
{
  struct bd_limits limits = { 100, 0, 0 };
  struct bd_limiter *l = bd_limiter_create (1);

  g_assert_cmpint (bd_limiter_set (l, 0, 5, &limits), ==, BD_OK);
  for (int64_t now_ms = 0; now_ms < 60000; now_ms += TICK_MS)
    {
      struct bd_limiter_demand d[1];
      int32_t retry_ms;

      bd_limiter_admit (l, now_ms, 5, 1, &retry_ms);
      bd_limiter_tick (l, now_ms);
      bd_limiter_collect_demands (l, now_ms, d, 1);
      g_assert_cmpuint (bd_limiter_share (l, 5), <=, 100);
    }
  bd_limiter_destroy (l);
}

/** One share and one peer, without a limiter; updated each 250 ms. */
struct pair
{
  struct bd_share_group group;
  struct bd_share share;
  int64_t now_ms;
  int slot;
};

static void
pair_init (struct pair *p)
{
  *p = (struct pair){ .now_ms = 1000 };
  bd_share_group_start (&p->group, p->now_ms);
  p->group.entry_count = 2;
  p->share.created_ms = p->now_ms;
}

static void
pair_receive (struct pair *p, bool with_share, double held)
{
  p->slot = bd_share_group_record_message (&p->group, p->now_ms, 9);
  if (with_share)
    bd_share_record_peer (&p->share, &p->group, p->slot, p->now_ms, held, 0.1);
}

/**
 * Advances to UNTIL_MS.  RECEIVED: messages come from the peer; WITH_SHARE:
 * they contain the share HELD.  SEND: claims are sent.
 */
static void
pair_run (struct pair *p, int64_t until_ms, bool received, bool with_share,
          double held, bool send)
{
  while (p->now_ms < until_ms)
    {
      p->now_ms += 250;
      if (received)
        pair_receive (p, with_share, held);
      bd_share_group_tick (&p->group, p->now_ms);
      bd_share_update (&p->share, &p->group, p->now_ms, 0.8);
      if (send)
        bd_share_mark_claim_sent (&p->share, p->now_ms);
    }
}

/** A claim is taken after it was sent and answered, not before. */
static void
test_claim_needs_answer (void)
{
  struct pair p;

  pair_init (&p);
  pair_run (&p, 3500, true, true, 0.1, false);
  g_assert_cmpfloat (bd_share_in_use (&p.share), ==, 0.0);
  pair_run (&p, 9000, true, true, 0.1, false);
  g_assert_cmpfloat (bd_share_in_use (&p.share), >, 0.4);
  g_assert_cmpfloat (p.share.held, ==, 0.0);
  bd_share_mark_claim_sent (&p.share, p.now_ms);
  pair_run (&p, 12000, false, false, 0.0, false);
  g_assert_cmpfloat (p.share.held, ==, 0.0);
  pair_run (&p, 12250, true, true, 0.1, false);
  g_assert_cmpfloat (p.share.held, >, 0.4);
  /* The next claim needs its own answer. */
  pair_run (&p, 16000, true, true, 0.1, false);
  g_assert_cmpfloat (p.share.claim, >, 0.1);
  g_assert_cmpfloat (p.share.held, <, 0.5);
  /* A part that the peer claimed at the same time is not taken. */
  bd_share_mark_claim_sent (&p.share, p.now_ms);
  pair_run (&p, 17000, true, true, 0.4, false);
  g_assert_cmpfloat (p.share.held, <=, 0.5);
  bd_share_clear (&p.share);
  bd_share_group_clear (&p.group);
}

/** After a silence, a share received before it is no longer relied on. */
static void
test_return_after_silence (void)
{
  struct pair p;

  pair_init (&p);
  pair_run (&p, 10000, true, true, 0.45, true);
  g_assert_cmpfloat (p.share.held, >=, 0.44);
  pair_run (&p, 21000, false, false, 0.0, true);
  g_assert_cmpfloat (p.share.held, <=, 0.46);
  /* The last share received expires now.  The peer sends messages, but not its
     share. */
  pair_run (&p, 23500, true, false, 0.0, true);
  g_assert_cmpfloat (bd_share_in_use (&p.share), <=, 0.46);
  bd_share_clear (&p.share);
  bd_share_group_clear (&p.group);
}

/** A claim is in every message until it is taken. */
static void
test_claim_is_always_sent (void)
{
  struct bd_limits limits = { 100, 0, 0 };
  struct bd_limiter *l = bd_limiter_create (1);
  struct bd_limiter_demand d;
  int32_t retry_ms;
  int consecutive = 0;

  bd_limiter_set_entry_count (l, 1000, 2);
  g_assert_cmpint (bd_limiter_set (l, 1000, 5, &limits), ==, BD_OK);
  for (int64_t now_ms = 1000; now_ms < 9000; now_ms += 250)
    {
      if (now_ms < 4500)
        bd_limiter_record_peer (l, now_ms, 2, NULL, 0);
      for (int i = 0; i < 10; i++)
        bd_limiter_admit (l, now_ms, 5, 1, &retry_ms);
      bd_limiter_tick (l, now_ms);
      if (bd_limiter_collect_demands (l, now_ms, &d, 1) == 1
          && d.share_permyriad > 0)
        consecutive++;
      else
        g_assert_cmpint (consecutive, ==, 0);
    }
  g_assert_cmpint (consecutive, >, 10);
  g_assert_cmpuint (bd_limiter_share (l, 5), ==, 500);
  bd_limiter_destroy (l);
}

/**
 * Unchanged demands are not sent.  Changed ones are, however few fit into a
 * message.
 */
static void
test_gossip_is_sparse (void)
{
  enum
  {
    WORKSPACES = 50
  };
  struct bd_limits limits = { 100, 0, 0 };
  struct bd_limiter *l = bd_limiter_create (1);
  struct bd_limiter_demand sent[WORKSPACES];
  bool seen[WORKSPACES] = { false };
  size_t seen_count = 0;
  int32_t retry_ms;

  bd_limiter_set_entry_count (l, 0, 4);
  for (uint64_t w = 0; w < WORKSPACES; w++)
    g_assert_cmpint (bd_limiter_set (l, 0, w, &limits), ==, BD_OK);
  bd_limiter_tick (l, 100);
  g_assert_cmpuint (bd_limiter_collect_demands (l, 100, sent, WORKSPACES), ==,
                    0);
  for (uint64_t w = 0; w < WORKSPACES; w++)
    for (int i = 0; i < 20; i++)
      bd_limiter_admit (l, 150, w, 1, &retry_ms);
  bd_limiter_tick (l, 200);
  for (int round = 0; round < 17; round++)
    {
      size_t n = bd_limiter_collect_demands (l, 200, sent, 3);

      for (size_t i = 0; i < n; i++)
        {
          seen_count += seen[sent[i].workspace] ? 0 : 1;
          seen[sent[i].workspace] = true;
          g_assert_cmpuint (sent[i].requests_per_s, >, 0);
        }
    }
  g_assert_cmpuint (seen_count, ==, WORKSPACES);
  bd_limiter_destroy (l);
}

/* An entry learns its limits before the number of entries.  Its first callers
   get the bucket of the floor's rate, as if it had known both at once; the
   second one was refused. */
static void
test_number_known_late (void)
{
  struct bd_limits limits = { 100, 100000, 100 };
  struct bd_limiter *l = bd_limiter_create (1);
  int32_t retry_after_ms;

  bd_limiter_set (l, 0, 7, &limits);
  g_assert_cmpint (bd_limiter_admit (l, 0, 7, 8, &retry_after_ms), ==, BD_OK);
  bd_limiter_set_entry_count (l, 0, 2);
  for (int i = 1; i < 5; i++)
    g_assert_cmpint (bd_limiter_admit (l, 0, 7, 8, &retry_after_ms), ==,
                     BD_OK);
  g_assert_cmpint (bd_limiter_admit (l, 0, 7, 8, &retry_after_ms), ==,
                   BD_ERR_RATE_LIMITED);
  bd_limiter_set_entry_count (l, 0, 1); /* Fills the bucket once only. */
  g_assert_cmpint (bd_limiter_admit (l, 0, 7, 8, &retry_after_ms), ==,
                   BD_ERR_RATE_LIMITED);
  bd_limiter_destroy (l);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limiter/random-histories", test_random_histories);
  g_test_add_func ("/limiter/steady-state", test_steady_state);
  g_test_add_func ("/limiter/partition-adds-nothing",
                   test_partition_adds_nothing);
  g_test_add_func ("/limiter/long-requests", test_long_requests);
  g_test_add_func ("/limiter/death", test_death);
  g_test_add_func ("/limiter/restarts", test_restarts);
  g_test_add_func ("/limiter/refusals", test_refusals);
  g_test_add_func ("/limiter/unknown-number", test_unknown_number);
  g_test_add_func ("/limiter/number-known-late", test_number_known_late);
  g_test_add_func ("/limiter/claim-needs-answer", test_claim_needs_answer);
  g_test_add_func ("/limiter/return-after-silence", test_return_after_silence);
  g_test_add_func ("/limiter/claim-is-always-sent", test_claim_is_always_sent);
  g_test_add_func ("/limiter/gossip-is-sparse", test_gossip_is_sparse);
  return g_test_run ();
}
