#include "limits/flow.h"
#include "common/random.h"
#include "limits/tier_queue.h"
#include "naive_tier_queue.h"

#include <glib.h>
#include <string.h>

#define HISTORIES 20000
#define OPERATIONS 300

struct shed_list
{
  struct bd_queue_item items[NAIVE_ITEMS];
  size_t count;
};

static void
record_shed (void *context, const struct bd_queue_item *item)
{
  struct shed_list *list = context;

  list->items[list->count++] = *item;
}

static void
assert_same (const struct bd_queue_item *a, const struct bd_queue_item *b)
{
  g_assert_cmpuint (a->request.low, ==, b->request.low);
  g_assert_cmpuint (a->attempt, ==, b->attempt);
  g_assert_true (a->data == b->data);
}

static struct bd_queue_item
random_item (uint64_t *random, int64_t now_ms)
{
  static const uint32_t costs[] = { 1, 64, 100, 256, 900, 5000, 1u << 31 };
  static const int32_t shares[] = { 0, 0, 0, 1, 50, 300, 2000 };
  uint64_t workspace = 1 + bd_random_below (random, 3);
  uint32_t class_number = bd_random_below (random, 3);
  struct bd_queue_item item = {
    .request = { 0, bd_random_below (random, 64) },
    .attempt = bd_random_below (random, 2),
    .tier = (uint8_t)bd_random_below (random, BD_TIER_COUNT),
    .workspace = workspace,
    .class_hash = workspace * 10 + class_number,
    .min_share_permille = shares[bd_random_below (random, 7)],
    .cost = costs[bd_random_below (random, 7)],
    .bytes = bd_random_below (random, 40),
    .deadline_ms = now_ms + bd_random_below (random, 60),
  };

  item.data = GUINT_TO_POINTER (bd_random_below (random, 1000) + 1);
  return item;
}

/**
 * Pushes to both queues.  Checks the rules on tiers against the state before.
 */
static void
push_both (struct bd_tier_queue *q, struct naive_tier_queue *naive,
           const struct bd_queue_item *item)
{
  struct shed_list shed = { .count = 0 };
  struct shed_list naive_shed = { .count = 0 };
  size_t before = naive->item_count;
  size_t lower = 0;
  int rc = bd_tier_queue_push (q, item, record_shed, &shed);

  for (int t = item->tier + 1; t < BD_TIER_COUNT; t++)
    lower += naive_tier_length (naive, t);
  g_assert_cmpint (
      naive_push (naive, item, naive_shed.items, &naive_shed.count), ==, rc);
  g_assert_cmpuint (shed.count, ==, naive_shed.count);
  for (size_t i = 0; i < shed.count; i++)
    {
      assert_same (&shed.items[i], &naive_shed.items[i]);
      g_assert_cmpint (rc, ==, BD_OK);
      g_assert_cmpuint (shed.items[i].tier, >, item->tier);
    }
  if (rc == BD_ERR_OVERLOADED && item->bytes == 0
      && before == naive->limits.max_items)
    g_assert_cmpuint (lower, ==, 0);
}

static void
run_operation (struct bd_tier_queue *q, struct naive_tier_queue *naive,
               uint64_t *random, int64_t now_ms)
{
  struct bd_queue_item item = random_item (random, now_ms);
  struct bd_queue_item a;
  struct bd_queue_item b;
  bool found;

  switch (bd_random_below (random, 8))
    {
    case 0:
      found = bd_tier_queue_remove (q, item.request, item.attempt, &a);
      g_assert_true (found
                     == naive_remove (naive, item.request, item.attempt, &b));
      break;
    case 1:
      found = bd_tier_queue_expire (q, now_ms, &a);
      g_assert_true (found == naive_expire (naive, now_ms, &b));
      break;
    case 2:
    case 3:
    case 4:
      found = bd_tier_queue_pop (q, &a);
      g_assert_true (found == naive_pop (naive, &b));
      break;
    default:
      push_both (q, naive, &item);
      found = false;
    }
  if (found)
    assert_same (&a, &b);
}

static void
compare_totals (const struct bd_tier_queue *q,
                const struct naive_tier_queue *naive)
{
  uint64_t work = 0;
  uint64_t bytes = 0;

  g_assert_cmpuint (bd_tier_queue_length (q), ==, naive->item_count);
  for (size_t i = 0; i < naive->item_count; i++)
    bytes += naive->items[i].bytes;
  g_assert_cmpuint (bd_tier_queue_bytes (q), ==, bytes);
  for (uint8_t t = 0; t < BD_TIER_COUNT; t++)
    {
      for (size_t i = 0; i < naive->item_count; i++)
        work += naive->items[i].tier == t ? naive->items[i].cost : 0;
      g_assert_cmpuint (bd_tier_queue_work_ahead (q, t), ==, work);
      g_assert_cmpuint (bd_tier_queue_tier_length (q, t), ==,
                        naive_tier_length (naive, t));
    }
}

static void
test_random_histories (void)
{
  for (uint64_t seed = 1; seed <= HISTORIES; seed++)
    {
      uint64_t random = seed;
      struct bd_queue_limits limits
          = { .max_items = 1 + bd_random_below (&random, 40),
              .max_bytes = 20 + bd_random_below (&random, 600),
              .low_tier_share_permille
              = (int32_t)bd_random_below (&random, 600) };
      struct bd_tier_queue *q = bd_tier_queue_create (&limits);
      struct naive_tier_queue naive = { .limits = limits };

      for (int i = 0; i < OPERATIONS; i++)
        run_operation (q, &naive, &random, i);
      compare_totals (q, &naive);
      bd_tier_queue_destroy (q);
    }
}

static void
test_refusals (void)
{
  struct bd_queue_limits limits = { 2, 100, 50 };
  struct bd_tier_queue *q = bd_tier_queue_create (&limits);
  struct bd_queue_item item = { .tier = 1, .cost = 1, .bytes = 60 };
  struct bd_queue_item out;
  struct shed_list shed = { .count = 0 };

  g_assert_false (bd_tier_queue_pop (q, &out));
  g_assert_cmpint (bd_tier_queue_push (q, &item, NULL, NULL), ==, BD_OK);
  g_assert_cmpint (bd_tier_queue_push (q, &item, NULL, NULL), ==,
                   BD_ERR_INVALID);
  item.attempt = 1;
  g_assert_cmpint (bd_tier_queue_push (q, &item, NULL, NULL), ==,
                   BD_ERR_OVERLOADED);
  item.tier = BD_TIER_COUNT;
  g_assert_cmpint (bd_tier_queue_push (q, &item, NULL, NULL), ==,
                   BD_ERR_INVALID);
  item.tier = 0;
  item.bytes = 101;
  g_assert_cmpint (bd_tier_queue_push (q, &item, record_shed, &shed), ==,
                   BD_ERR_TOO_LARGE);
  g_assert_cmpuint (shed.count, ==, 0);
  item.bytes = 100;
  g_assert_cmpint (bd_tier_queue_push (q, &item, record_shed, &shed), ==,
                   BD_OK);
  g_assert_cmpuint (shed.count, ==, 1);
  g_assert_cmpuint (bd_tier_queue_length (q), ==, 1);
  bd_tier_queue_destroy (q);
}

/** Class of a workspace that always has items waiting. */
struct source
{
  uint8_t tier;
  uint64_t workspace;
  int32_t min_share_permille;
  uint32_t cost;
  uint32_t waiting; /**< Number of items kept waiting. */
  uint32_t grant_count;
  uint32_t last_grant;
  uint32_t longest_wait; /**< In grants. */
};

/** Grants COUNT items and replaces each by a new one of its source. */
static void
run_sources (struct source *sources, size_t source_count, uint32_t count,
             int32_t low_tier_share_permille)
{
  struct bd_queue_limits limits
      = { 100000, UINT64_MAX, low_tier_share_permille };
  struct bd_tier_queue *q = bd_tier_queue_create (&limits);
  struct bd_queue_item out;
  uint64_t next = 0;

  for (size_t s = 0; s < source_count; s++)
    for (uint32_t i = 0; i < sources[s].waiting; i++)
      {
        struct bd_queue_item item = {
          .request = { s, next++ },
          .tier = sources[s].tier,
          .workspace = sources[s].workspace,
          .class_hash = s,
          .min_share_permille = sources[s].min_share_permille,
          .cost = sources[s].cost,
        };
        g_assert_cmpint (bd_tier_queue_push (q, &item, NULL, NULL), ==, BD_OK);
      }
  for (uint32_t n = 1; n <= count; n++)
    {
      struct source *s;

      g_assert_true (bd_tier_queue_pop (q, &out));
      s = &sources[out.request.high];
      s->grant_count++;
      s->longest_wait = MAX (s->longest_wait, n - s->last_grant);
      s->last_grant = n;
      out.request.low = next++;
      g_assert_cmpint (bd_tier_queue_push (q, &out, NULL, NULL), ==, BD_OK);
    }
  for (size_t s = 0; s < source_count; s++)
    sources[s].longest_wait
        = MAX (sources[s].longest_wait, count - sources[s].last_grant);
  bd_tier_queue_destroy (q);
}

#define TIER_SOURCES 20U
#define SOURCES ((size_t)BD_TIER_COUNT * TIER_SOURCES)

/**
 * Every class progresses while all tiers have more work than fits: 4
 * workspaces of 5 classes per tier, with costs that differ by up to 64 times.
 */
static void
test_no_class_starves (void)
{
  static const int32_t low_shares[] = { 0, 50, 500 };
  static const int32_t min_shares[] = { 0, 10, 400 };

  for (int k = 0; k < 9; k++)
    {
      struct source sources[SOURCES] = { { 0 } };
      int32_t low = CLAMP (low_shares[k / 3], BD_QUEUE_LOW_SHARE_MIN_PERMILLE,
                           BD_QUEUE_LOW_SHARE_MAX_PERMILLE);
      uint32_t turns = BD_FLOW_COST_MAX / BD_FLOW_QUANTUM + 1;
      uint32_t turn_grants = BD_FLOW_QUANTUM / BD_FLOW_COST_MIN;
      uint64_t in_tier = (uint64_t)TIER_SOURCES * turns * turn_grants;

      for (uint32_t s = 0; s < SOURCES; s++)
        sources[s] = (struct source){
          .tier = (uint8_t)(s / TIER_SOURCES),
          .workspace = s % 4,
          .min_share_permille = s % 3 == 0 ? min_shares[k % 3] : 0,
          .cost = s % 4 == 0 ? BD_FLOW_COST_MAX : BD_FLOW_COST_MIN,
          .waiting = 2,
        };
      run_sources (sources, SOURCES, 600000, low_shares[k / 3]);
      for (uint32_t s = 0; s < SOURCES; s++)
        {
          /* A lower tier gets every third of the low grants.  The highest
             keeps at least 30 % of all, half of them by round robin. */
          uint32_t per_turn
              = sources[s].tier > 0 ? 3000 / (uint32_t)low + 1 : 7;

          g_assert_cmpuint (sources[s].longest_wait, <=, in_tier * per_turn);
          g_assert_cmpuint (sources[s].grant_count, >, 0);
        }
    }
}

static void
test_minimum_shares (void)
{
  enum
  {
    GRANTS = 10000,
    RIVALS = 30
  };
  struct source sources[RIVALS + 3] = { 0 };

  for (uint32_t s = 0; s < RIVALS; s++)
    sources[s] = (struct source){ .workspace = s, .cost = 100, .waiting = 3 };
  sources[RIVALS] = (struct source){ .tier = 0,
                                     .workspace = 100,
                                     .min_share_permille = 150,
                                     .cost = 4000,
                                     .waiting = 3 };
  sources[RIVALS + 1] = (struct source){ .tier = 2,
                                         .workspace = 101,
                                         .min_share_permille = 100,
                                         .cost = 4000,
                                         .waiting = 3 };
  sources[RIVALS + 2] = (struct source){
    .tier = 3, .workspace = 102, .cost = 100, .waiting = 3
  };
  run_sources (sources, RIVALS + 3, GRANTS, 50);
  g_assert_cmpuint (sources[RIVALS].grant_count, >=, GRANTS * 149 / 1000);
  g_assert_cmpuint (sources[RIVALS + 1].grant_count, >=, GRANTS * 99 / 1000);
  g_assert_cmpuint (sources[RIVALS + 1].grant_count
                        + sources[RIVALS + 2].grant_count,
                    >=, GRANTS * 50 / 1000);
  g_assert_cmpuint (sources[RIVALS + 2].grant_count, >=, GRANTS * 24 / 1000);
  for (uint32_t s = 0; s < RIVALS; s++)
    g_assert_cmpuint (sources[s].grant_count, >=,
                      GRANTS * 600 / 1000 / RIVALS);
}

/**
 * Minimum shares that sum up to far more than the whole do not displace the
 * highest tier.
 */
static void
test_oversubscribed_shares (void)
{
  enum
  {
    GRANTS = 10000,
    CLASSES = 20
  };
  struct source sources[CLASSES + 1] = { 0 };
  uint32_t lower = 0;

  for (uint32_t s = 0; s < CLASSES; s++)
    sources[s] = (struct source){ .tier = 3,
                                  .workspace = s,
                                  .min_share_permille = 500,
                                  .cost = 100,
                                  .waiting = 2 };
  sources[CLASSES] = (struct source){ .cost = 100, .waiting = 2 };
  run_sources (sources, CLASSES + 1, GRANTS, 50);
  for (uint32_t s = 0; s < CLASSES; s++)
    {
      lower += sources[s].grant_count;
      g_assert_cmpuint (sources[s].grant_count, >, GRANTS / 200);
    }
  g_assert_cmpuint (lower, <=,
                    GRANTS * (BD_QUEUE_RESERVED_PERMILLE + 50) / 1000 + 2);
}

/**
 * Many classes or small requests do not give a workspace more than its share.
 */
static void
test_workspaces_share_equally (void)
{
  enum
  {
    GRANTS = 40000,
    CLASSES = 10
  };
  struct source sources[CLASSES + 1] = { 0 };
  uint64_t many = 0;
  uint64_t single;

  for (uint32_t s = 0; s < CLASSES; s++)
    sources[s] = (struct source){ .workspace = 1, .cost = 64, .waiting = 100 };
  sources[CLASSES]
      = (struct source){ .workspace = 2, .cost = 640, .waiting = 2 };
  run_sources (sources, CLASSES + 1, GRANTS, 50);
  for (uint32_t s = 0; s < CLASSES; s++)
    many += (uint64_t)sources[s].grant_count * 64;
  single = (uint64_t)sources[CLASSES].grant_count * 640;
  g_assert_cmpuint (many * 100, >=, single * 97);
  g_assert_cmpuint (many * 100, <=, single * 103);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tier-queue/random-histories", test_random_histories);
  g_test_add_func ("/tier-queue/refusals", test_refusals);
  g_test_add_func ("/tier-queue/no-class-starves", test_no_class_starves);
  g_test_add_func ("/tier-queue/minimum-shares", test_minimum_shares);
  g_test_add_func ("/tier-queue/oversubscribed-shares",
                   test_oversubscribed_shares);
  g_test_add_func ("/tier-queue/workspaces-share-equally",
                   test_workspaces_share_equally);
  return g_test_run ();
}
