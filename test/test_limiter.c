#include "core/bucket.h"
#include "core/limiter.h"
#include "core/random.h"
#include "core/share.h"
#include "naive_limiter.h"

#include <glib.h>

#define ENTRIES_MAX 12
#define STEP_MS 10
#define TICK_MS 100
#define GOSSIP_MS 200
#define WORKSPACE 77
#define DEMANDS_MAX 4
/** Most that the shares sum to; see limiter.h. */
#define SHARES_MAX (1.0 + BD_SHARE_EXCESS)

/** A message on its way. */
struct message
{
  int64_t arrives_ms;
  uint64_t from;
  int to;
  size_t count;
  struct bd_demand demands[DEMANDS_MAX];
};

/** A request that runs at an entry. */
struct running
{
  int64_t ends_ms;
  int entry;
  uint64_t life; /**< Of the entry's process. */
  uint32_t expected;
  uint32_t used;
};

struct entry
{
  struct bd_limiter *limiter; /**< NULL: dead. */
  uint64_t name;
  uint64_t life;
  double offered_per_s;
  int side; /**< Messages pass between equal sides only. */
  uint64_t admitted;
};

/** Entries that talk over a lossy, delayed link, in virtual time. */
struct fleet
{
  struct entry entries[ENTRIES_MAX];
  int count;
  uint32_t named; /**< Entries in the published instance list. */
  struct bd_limits limits;
  uint64_t random;
  int64_t now_ms;
  uint32_t loss_permille;
  uint32_t delay_max_ms;
  uint32_t tokens; /**< Expected tokens of a request. */
  uint32_t duration_ms;
  uint64_t lives;
  GArray *messages;
  GArray *running;
  struct naive_limiter central; /**< Decides on the same requests. */
  struct naive_limiter audit;   /**< The stated bound: never overdrawn. */
  uint64_t central_admitted;
  uint64_t admitted;
  double share_max;
  double share_sum;
};

/** Starts or restarts the process of entry I; NEW gives it a new name. */
static void
entry_start (struct fleet *f, int i, bool new)
{
  struct entry *e = &f->entries[i];

  bd_limiter_destroy (e->limiter);
  e->life = ++f->lives;
  if (new)
    e->name = bd_random_mix (e->life);
  e->limiter = bd_limiter_create (e->name);
  bd_limiter_set_peers (e->limiter, f->now_ms, f->named);
  g_assert_cmpint (
      bd_limiter_set (e->limiter, f->now_ms, WORKSPACE, &f->limits), ==,
      BD_OK);
  /* A start brings a bucket, filled at the floor. */
  f->audit.requests
      += MAX (1.0, f->limits.requests_per_s * BD_SHARE_FLOOR / f->count);
}

static void
entry_stop (struct fleet *f, int i)
{
  bd_limiter_destroy (f->entries[i].limiter);
  f->entries[i].limiter = NULL;
}

static void
fleet_name (struct fleet *f, uint32_t named)
{
  f->named = named;
  for (int i = 0; i < f->count; i++)
    if (f->entries[i].limiter)
      bd_limiter_set_peers (f->entries[i].limiter, f->now_ms, named);
}

static double
or_unlimited (int32_t limit)
{
  return limit > 0 ? limit : 1e12;
}

static void
fleet_init (struct fleet *f, uint64_t seed, int count,
            const struct bd_limits *limits)
{
  *f = (struct fleet){ .count = count,
                       .named = (uint32_t)count,
                       .limits = *limits,
                       .random = seed,
                       .now_ms = 1000,
                       .delay_max_ms = 50,
                       .tokens = 100,
                       .duration_ms = 500 };
  f->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  f->running = g_array_new (FALSE, FALSE, sizeof (struct running));
  naive_limiter_init (&f->central, or_unlimited (limits->requests_per_s),
                      or_unlimited (limits->tokens_per_s),
                      or_unlimited (limits->concurrency),
                      or_unlimited (limits->requests_per_s),
                      or_unlimited (limits->tokens_per_s));
  f->central.now_ms = f->now_ms;
  naive_limiter_init (
      &f->audit, or_unlimited (limits->requests_per_s) * SHARES_MAX,
      or_unlimited (limits->tokens_per_s) * SHARES_MAX,
      or_unlimited (limits->concurrency) * SHARES_MAX + count,
      or_unlimited (limits->requests_per_s) * SHARES_MAX + count,
      or_unlimited (limits->tokens_per_s) * SHARES_MAX + count * f->tokens);
  f->audit.now_ms = f->now_ms;
  for (int i = 0; i < count; i++)
    entry_start (f, i, true);
}

static void
fleet_clear (struct fleet *f)
{
  for (int i = 0; i < f->count; i++)
    entry_stop (f, i);
  g_array_free (f->messages, TRUE);
  g_array_free (f->running, TRUE);
}

static void
fleet_gossip (struct fleet *f, int from)
{
  struct entry *e = &f->entries[from];
  struct message m = { .from = e->name };

  m.count = bd_limiter_demands (e->limiter, f->now_ms, m.demands, DEMANDS_MAX);
  for (m.to = 0; m.to < f->count; m.to++)
    {
      m.arrives_ms
          = f->now_ms + 1 + bd_random_below (&f->random, f->delay_max_ms);
      if (m.to != from && f->entries[m.to].side == e->side
          && bd_random_below (&f->random, 1000) >= f->loss_permille)
        g_array_append_val (f->messages, m);
    }
}

static void
fleet_deliver (struct fleet *f)
{
  for (guint i = 0; i < f->messages->len;)
    {
      struct message m = g_array_index (f->messages, struct message, i);
      struct entry *to = &f->entries[m.to];

      if (m.arrives_ms > f->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (f->messages, i);
      if (to->limiter)
        bd_limiter_peer_demand (to->limiter, f->now_ms, m.from, m.demands,
                                m.count);
    }
}

static void
fleet_end_requests (struct fleet *f)
{
  for (guint i = 0; i < f->running->len;)
    {
      struct running r = g_array_index (f->running, struct running, i);
      struct entry *e = r.entry >= 0 ? &f->entries[r.entry] : NULL;
      bool lost = e && (!e->limiter || e->life != r.life);

      if (r.ends_ms > f->now_ms && !lost)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (f->running, i);
      if (!e)
        naive_limiter_release (&f->central, r.expected, r.used);
      else
        naive_limiter_release (&f->audit, r.expected, r.used);
      if (e && !lost)
        bd_limiter_release (e->limiter, f->now_ms, WORKSPACE, r.expected,
                            r.used);
    }
}

static void
fleet_request (struct fleet *f, int i)
{
  struct entry *e = &f->entries[i];
  int32_t retry_ms = 0;
  struct running r = { .entry = i,
                       .life = e->life,
                       .expected = f->tokens,
                       .used = bd_random_below (&f->random, 2 * f->tokens) };
  struct running central = r;

  r.ends_ms = f->now_ms + 1 + bd_random_below (&f->random, 2 * f->duration_ms);
  central.ends_ms = r.ends_ms;
  central.entry = -1;
  if (naive_limiter_allows (&f->central, f->tokens))
    {
      naive_limiter_take (&f->central, f->tokens);
      f->central_admitted++;
      g_array_append_val (f->running, central);
    }
  if (bd_limiter_admit (e->limiter, f->now_ms, WORKSPACE, f->tokens, &retry_ms)
      != BD_OK)
    {
      g_assert_cmpint (retry_ms, >, 0);
      return;
    }
  g_assert_cmpfloat (f->audit.requests, >=, 1.0);
  g_assert_cmpfloat (f->audit.tokens + (double)f->audit.running * f->tokens,
                     >=, 0.0);
  g_assert_cmpfloat (f->audit.running + 1.0, <=, f->audit.concurrency);
  naive_limiter_take (&f->audit, f->tokens);
  e->admitted++;
  f->admitted++;
  g_array_append_val (f->running, r);
}

static void
fleet_step (struct fleet *f)
{
  double sum = 0.0;

  f->now_ms += STEP_MS;
  naive_limiter_advance (&f->central, f->now_ms);
  naive_limiter_advance (&f->audit, f->now_ms);
  fleet_deliver (f);
  fleet_end_requests (f);
  for (int i = 0; i < f->count; i++)
    {
      struct entry *e = &f->entries[i];
      double expected = e->offered_per_s * STEP_MS / 1000.0;

      if (!e->limiter)
        continue;
      if (f->now_ms % TICK_MS == 0)
        bd_limiter_tick (e->limiter, f->now_ms);
      if ((f->now_ms + (int64_t)20 * i) % GOSSIP_MS == 0)
        fleet_gossip (f, i);
      while (bd_random_below (&f->random, 1000000) < expected * 1e6)
        {
          fleet_request (f, i);
          expected -= 1.0;
        }
      sum += bd_limiter_share (e->limiter, WORKSPACE) / 10000.0;
    }
  f->share_sum = sum;
  f->share_max = MAX (f->share_max, sum);
}

static void
fleet_run (struct fleet *f, int64_t duration_ms)
{
  int64_t end_ms = f->now_ms + duration_ms;

  while (f->now_ms < end_ms)
    fleet_step (f);
}

#define HISTORIES 1000
#define PHASES 14

static void
random_event (struct fleet *f, uint64_t *random)
{
  int k = (int)bd_random_below (random, (uint32_t)f->count);

  switch (bd_random_below (random, 8))
    {
    case 0:
      for (int i = 0; i < f->count; i++)
        f->entries[i].side = (int)bd_random_below (random, 2);
      break;
    case 1:
      for (int i = 0; i < f->count; i++)
        f->entries[i].side = 0;
      break;
    case 2:
      entry_stop (f, k);
      break;
    case 3:
      entry_start (f, k, false);
      break;
    case 4:
      entry_start (f, k, true);
      break;
    case 5:
      if (bd_random_below (random, 3) > 0)
        break;
      for (int i = 0; i < f->count; i++)
        entry_start (f, i, bd_random_below (random, 2) > 0);
      break;
    default:
      break;
    }
}

/**
 * Partitions, deaths, restarts, replacements and shifting demand, together
 * and repeatedly, over a link that loses up to 30 %: fleet_request () checks
 * each admission against the stated bound, and the shares are summed up.
 */
static void
test_random_histories (void)
{
  struct bd_limits limits = { 100, 12000, 60 };

  for (uint64_t seed = 1; seed <= HISTORIES; seed++)
    {
      uint64_t random = seed;
      struct fleet f;

      fleet_init (&f, seed, 2 + (int)bd_random_below (&random, 7), &limits);
      f.loss_permille = bd_random_below (&random, 300);
      f.delay_max_ms = 1 + bd_random_below (&random, 300);
      for (int phase = 0; phase < PHASES; phase++)
        {
          for (int i = 0; i < f.count; i++)
            f.entries[i].offered_per_s = bd_random_below (&random, 3) == 0
                                             ? 0
                                             : bd_random_below (&random, 200);
          random_event (&f, &random);
          fleet_run (&f, 1000 + bd_random_below (&random, 14000));
        }
      g_assert_cmpfloat (f.share_max, <=, SHARES_MAX);
      fleet_clear (&f);
    }
}

/** Runs and returns what was admitted as a part of what central admitted. */
static double
compared_to_central (struct fleet *f, int64_t duration_ms)
{
  uint64_t admitted = f->admitted;
  uint64_t central = f->central_admitted;

  fleet_run (f, duration_ms);
  return (double)(f->admitted - admitted)
         / (double)(f->central_admitted - central);
}

/** In steady state the fleet admits nearly what one limiter would. */
static void
test_steady_state (void)
{
  static const struct
  {
    struct bd_limits limits;
    int count;
    double first_per_s; /**< Offered at the first entry. */
    double others_per_s;
    double least;
  } cases[] = {
    { { 100, 0, 0 }, 1, 300, 0, 0.95 },    { { 100, 0, 0 }, 4, 100, 100, 0.9 },
    { { 100, 0, 0 }, 12, 40, 40, 0.85 },   { { 100, 0, 0 }, 4, 300, 0, 0.85 },
    { { 0, 5000, 0 }, 4, 100, 100, 0.85 }, { { 0, 0, 40 }, 4, 100, 100, 0.85 },
    { { 1000, 0, 0 }, 8, 20, 20, 0.99 },
  };

  for (size_t c = 0; c < G_N_ELEMENTS (cases); c++)
    {
      struct fleet f;
      double part;

      fleet_init (&f, c + 1, cases[c].count, &cases[c].limits);
      for (int i = 0; i < f.count; i++)
        f.entries[i].offered_per_s
            = i == 0 ? cases[c].first_per_s : cases[c].others_per_s;
      fleet_run (&f, 25000);
      part = compared_to_central (&f, 60000);
      g_test_message ("case %zu: %.3f of central, shares at most %.3f", c,
                      part, f.share_max);
      g_assert_cmpfloat (part, >=, cases[c].least);
      g_assert_cmpfloat (part, <=, 1.05);
      g_assert_cmpfloat (f.share_max, <=, 1.05);
      fleet_clear (&f);
    }
}

static void
all_offer (struct fleet *f, double per_s)
{
  for (int i = 0; i < f->count; i++)
    f->entries[i].offered_per_s = per_s;
}

/** One entry holds nearly all when it is cut off, and again on the rest. */
static void
test_partition_adds_nothing (void)
{
  struct bd_limits limits = { 100, 0, 0 };

  for (int cut = 1; cut <= 3; cut++)
    {
      struct fleet f;

      fleet_init (&f, 5, 4, &limits);
      f.entries[0].offered_per_s = 300;
      fleet_run (&f, 30000);
      g_assert_cmpfloat (f.share_sum, >=, 0.95);
      all_offer (&f, 100);
      for (int i = 0; i < cut; i++)
        f.entries[i].side = 1;
      g_assert_cmpfloat (compared_to_central (&f, 60000), <=, 1.05);
      g_assert_cmpfloat (f.share_sum, >=, 0.95);
      for (int i = 0; i < f.count; i++)
        g_assert_cmpuint (bd_limiter_share (f.entries[i].limiter, WORKSPACE),
                          >=, 2000);
      f.entries[0].side = 0;
      f.entries[1].side = 0;
      f.entries[2].side = 0;
      g_assert_cmpfloat (compared_to_central (&f, 30000), <=, 1.05);
      g_assert_cmpfloat (f.share_max, <=, 1.05);
      fleet_clear (&f);
    }
}

/**
 * Demand moves, or the others join, while long requests still run at the
 * first entry.
 */
static void
test_long_requests (void)
{
  struct bd_limits limits = { 0, 0, 40 };

  for (int joined = 0; joined < 2; joined++)
    {
      struct fleet f;

      fleet_init (&f, 8, 4, &limits);
      f.duration_ms = 20000;
      f.entries[0].offered_per_s = 50;
      fleet_run (&f, 40000);
      g_assert_cmpuint (f.audit.running, >=, 30);
      all_offer (&f, 50);
      f.entries[0].offered_per_s = joined ? 50 : 0;
      for (int i = 0; i < 900; i++)
        {
          fleet_run (&f, 100);
          g_assert_cmpuint (f.audit.running, <=, 40 + 4);
        }
      g_assert_cmpuint (f.audit.running, >=, 30);
      for (int i = 1; i < 4; i++)
        g_assert_cmpuint (bd_limiter_share (f.entries[i].limiter, WORKSPACE),
                          >=, 2000);
      fleet_clear (&f);
    }
}

/** A dead entry's share is used by the others, but not before it expired. */
static void
test_death (void)
{
  struct bd_limits limits = { 100, 0, 0 };
  struct fleet f;

  fleet_init (&f, 6, 4, &limits);
  f.entries[0].offered_per_s = 300;
  fleet_run (&f, 30000);
  entry_stop (&f, 0);
  all_offer (&f, 100);
  fleet_run (&f, BD_SHARE_EXPIRE_MS - 2000);
  g_assert_cmpfloat (f.share_sum, <=, 0.2);
  fleet_run (&f, 20000);
  /* Named still, it counts with an equal part of the movable. */
  g_assert_cmpfloat (f.share_sum, >=, 0.7);
  g_assert_cmpfloat (f.share_sum, <=, 0.8);
  fleet_name (&f, 3);
  fleet_run (&f, 20000);
  g_assert_cmpfloat (f.share_sum, >=, 0.95);
  g_assert_cmpfloat (f.share_max, <=, 1.05);
  fleet_clear (&f);
}

/** A restarted entry starts small, alone or with all the others. */
static void
test_restarts (void)
{
  struct bd_limits limits = { 100, 0, 0 };

  for (int all = 0; all < 2; all++)
    {
      struct fleet f;
      double part;

      fleet_init (&f, 7, 4, &limits);
      all_offer (&f, 100);
      fleet_run (&f, 30000);
      for (int i = 0; i < (all ? 4 : 1); i++)
        entry_start (&f, i, all > 0);
      part = compared_to_central (&f, BD_SHARE_START_MS - 100);
      g_assert_cmpuint (bd_limiter_share (f.entries[0].limiter, WORKSPACE), <=,
                        250);
      g_assert_cmpfloat (part, <=, all ? 0.2 : 1.0);
      fleet_run (&f, 15000);
      g_assert_cmpfloat (f.share_sum, >=, 0.9);
      g_assert_cmpfloat (f.share_max, <=, 1.05);
      fleet_clear (&f);
    }
}

static void
test_refusals (void)
{
  struct bd_limits limits = { 10, 1000, 3 };
  struct bd_limits tokens = { 0, 1000, 0 };
  struct bd_limiter *l = bd_limiter_create (1);
  int32_t retry_ms;

  bd_limiter_set_peers (l, 0, 1);
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
  /* More tokens than the bucket holds: admitted when full, then a debt. */
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

/** Before the number of entries is known the share stays small. */
static void
test_unknown_fleet (void)
{
  struct bd_limits limits = { 100, 0, 0 };
  struct bd_limiter *l = bd_limiter_create (1);

  g_assert_cmpint (bd_limiter_set (l, 0, 5, &limits), ==, BD_OK);
  for (int64_t now_ms = 0; now_ms < 60000; now_ms += TICK_MS)
    {
      struct bd_demand d[1];
      int32_t retry_ms;

      bd_limiter_admit (l, now_ms, 5, 1, &retry_ms);
      bd_limiter_tick (l, now_ms);
      bd_limiter_demands (l, now_ms, d, 1);
      g_assert_cmpuint (bd_limiter_share (l, 5), <=, 100);
    }
  bd_limiter_destroy (l);
}

/** What did not change is not told; what did is, whatever the room. */
static void
test_gossip_is_sparse (void)
{
  enum
  {
    WORKSPACES = 50
  };
  struct bd_limits limits = { 100, 0, 0 };
  struct bd_limiter *l = bd_limiter_create (1);
  struct bd_demand told[WORKSPACES];
  bool seen[WORKSPACES] = { false };
  size_t seen_count = 0;
  int32_t retry_ms;

  bd_limiter_set_peers (l, 0, 4);
  for (uint64_t w = 0; w < WORKSPACES; w++)
    g_assert_cmpint (bd_limiter_set (l, 0, w, &limits), ==, BD_OK);
  bd_limiter_tick (l, 100);
  g_assert_cmpuint (bd_limiter_demands (l, 100, told, WORKSPACES), ==, 0);
  for (uint64_t w = 0; w < WORKSPACES; w++)
    for (int i = 0; i < 20; i++)
      bd_limiter_admit (l, 150, w, 1, &retry_ms);
  bd_limiter_tick (l, 200);
  for (int round = 0; round < 17; round++)
    {
      size_t n = bd_limiter_demands (l, 200, told, 3);

      for (size_t i = 0; i < n; i++)
        {
          seen_count += seen[told[i].workspace] ? 0 : 1;
          seen[told[i].workspace] = true;
          g_assert_cmpuint (told[i].requests_per_s, >, 0);
        }
    }
  g_assert_cmpuint (seen_count, ==, WORKSPACES);
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
  g_test_add_func ("/limiter/unknown-fleet", test_unknown_fleet);
  g_test_add_func ("/limiter/gossip-is-sparse", test_gossip_is_sparse);
  return g_test_run ();
}
