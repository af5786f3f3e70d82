#include "common/string.h"
#include "membership/membership.h"

#include <glib.h>
#include <string.h>

#define SUSPECT_MS 2000L
#define GONE_MS 5000L
#define TICK_MS 100L
#define UNKNOWN (-1)

static struct bd_membership *
create (const char *instance, const char *zone, uint64_t incarnation,
        uint32_t max, uint64_t seed)
{
  struct bd_membership_settings s = { .instance = bd_chunk_of (instance),
                                      .address = BD_CHUNK ("127.0.0.1:1"),
                                      .zone = bd_chunk_of (zone),
                                      .incarnation = incarnation,
                                      .suspect_after_ms = SUSPECT_MS,
                                      .gone_after_ms = GONE_MS,
                                      .max_members = max,
                                      .seed = seed };

  return bd_membership_create (&s);
}

static struct bd_member
member (const char *instance, const char *zone, uint64_t incarnation)
{
  struct bd_member m = { .instance = bd_chunk_of (instance),
                         .address = BD_CHUNK ("127.0.0.1:2"),
                         .zone = bd_chunk_of (zone),
                         .incarnation = incarnation,
                         .state = BD_MEMBER_LIVE };

  return m;
}

enum op
{
  REPORTED = 1,
  RECEIVED,
  RECEIVED_LEAVING,
  LEAVING,
  LISTED,
  UNLISTED,
  WAIT
};

/* A sequence of events for one peer, and the expected state after each. */
static const struct
{
  const char *name;
  struct
  {
    int64_t at_ms;
    enum op op;
    uint64_t incarnation;
    int rc;
    int state;
  } steps[8];
} cases[] = {
  { "reported-then-live",
    { { 0, REPORTED, 0, BD_OK, BD_MEMBER_JOINING },
      { 100, RECEIVED, 4, BD_OK, BD_MEMBER_LIVE },
      { 200, REPORTED, 9, BD_OK, BD_MEMBER_LIVE },
      { 300, RECEIVED, 4, BD_OK, BD_MEMBER_LIVE } } },
  { "reported-never-live",
    { { 0, REPORTED, 0, BD_OK, BD_MEMBER_JOINING },
      { GONE_MS, WAIT, 0, BD_OK, BD_MEMBER_JOINING },
      { GONE_MS + TICK_MS, WAIT, 0, BD_OK, BD_MEMBER_GONE },
      { GONE_MS + TICK_MS, REPORTED, 0, BD_OK, BD_MEMBER_GONE },
      { GONE_MS * 11 + 2 * TICK_MS, WAIT, 0, BD_OK, UNKNOWN },
      { GONE_MS * 12, REPORTED, 0, BD_OK, BD_MEMBER_JOINING } } },
  { "silent",
    { { 0, RECEIVED, 1, BD_OK, BD_MEMBER_LIVE },
      { SUSPECT_MS, WAIT, 0, BD_OK, BD_MEMBER_LIVE },
      { SUSPECT_MS + TICK_MS, WAIT, 0, BD_OK, BD_MEMBER_SUSPECT },
      { SUSPECT_MS + TICK_MS, REPORTED, 1, BD_OK, BD_MEMBER_SUSPECT },
      { GONE_MS, WAIT, 0, BD_OK, BD_MEMBER_SUSPECT },
      { GONE_MS + TICK_MS, WAIT, 0, BD_OK, BD_MEMBER_GONE },
      { GONE_MS + 200, REPORTED, 1, BD_OK, BD_MEMBER_GONE },
      { GONE_MS + 300, RECEIVED, 1, BD_OK, BD_MEMBER_LIVE } } },
  { "suspect-then-live",
    { { 0, RECEIVED, 1, BD_OK, BD_MEMBER_LIVE },
      { SUSPECT_MS + TICK_MS, WAIT, 0, BD_OK, BD_MEMBER_SUSPECT },
      { 3000, RECEIVED, 1, BD_OK, BD_MEMBER_LIVE },
      { 3000 + SUSPECT_MS, WAIT, 0, BD_OK, BD_MEMBER_LIVE } } },
  { "restarted-after-gone",
    { { 0, RECEIVED, 5, BD_OK, BD_MEMBER_LIVE },
      { 6000, WAIT, 0, BD_OK, BD_MEMBER_GONE },
      { 6000, REPORTED, 4, BD_OK, BD_MEMBER_GONE },
      { 6000, REPORTED, 6, BD_OK, BD_MEMBER_JOINING },
      { 6100, RECEIVED, 6, BD_OK, BD_MEMBER_LIVE },
      { 6200, RECEIVED, 5, BD_ERR_STALE, BD_MEMBER_LIVE } } },
  { "restarted-at-once",
    { { 0, RECEIVED, 5, BD_OK, BD_MEMBER_LIVE },
      { 100, RECEIVED, 6, BD_OK, BD_MEMBER_LIVE },
      { 200, RECEIVED, 5, BD_ERR_STALE, BD_MEMBER_LIVE },
      { 200, RECEIVED, 0, BD_ERR_INVALID, BD_MEMBER_LIVE } } },
  /* A wrong incarnation in a third party's report must not make the peer's
     own messages stale. */
  { "false-incarnation",
    { { 0, RECEIVED, 5, BD_OK, BD_MEMBER_LIVE },
      { 6000, WAIT, 0, BD_OK, BD_MEMBER_GONE },
      { 6000, REPORTED, UINT64_MAX, BD_OK, BD_MEMBER_JOINING },
      { 6100, RECEIVED, 5, BD_OK, BD_MEMBER_LIVE } } },
  { "announces-leaving",
    { { 0, RECEIVED, 1, BD_OK, BD_MEMBER_LIVE },
      { 100, RECEIVED_LEAVING, 1, BD_OK, BD_MEMBER_LEAVING },
      { 200, RECEIVED, 1, BD_OK, BD_MEMBER_LEAVING },
      { 300, REPORTED, 1, BD_OK, BD_MEMBER_LEAVING },
      { 400, RECEIVED, 2, BD_OK, BD_MEMBER_LIVE } } },
  { "leaves-and-ends",
    { { 0, RECEIVED, 1, BD_OK, BD_MEMBER_LIVE },
      { 100, LEAVING, 0, BD_OK, BD_MEMBER_LEAVING },
      { GONE_MS, WAIT, 0, BD_OK, BD_MEMBER_LEAVING },
      { GONE_MS + TICK_MS, WAIT, 0, BD_OK, BD_MEMBER_GONE },
      { GONE_MS + 200, LEAVING, 0, BD_OK, BD_MEMBER_GONE },
      { GONE_MS + 200, REPORTED, 1, BD_OK, BD_MEMBER_GONE } } },
  { "listed-of-former-incarnation",
    { { 0, RECEIVED, 1, BD_OK, BD_MEMBER_LIVE },
      { 100, LISTED, 0, BD_OK, BD_MEMBER_LEAVING },
      { 200, RECEIVED, 1, BD_OK, BD_MEMBER_LEAVING },
      { 300, RECEIVED, 2, BD_OK, BD_MEMBER_LIVE },
      { 400, LISTED, 0, BD_OK, BD_MEMBER_LIVE },
      { 500, UNLISTED, 0, BD_OK, BD_MEMBER_LIVE },
      { 600, LISTED, 0, BD_OK, BD_MEMBER_LEAVING } } },
  { "outdated-list-entry",
    { { 0, RECEIVED, 2, BD_OK, BD_MEMBER_LIVE },
      { 100, LISTED, 0, BD_OK, BD_MEMBER_LEAVING },
      { 200, UNLISTED, 0, BD_OK, BD_MEMBER_SUSPECT },
      { 300, RECEIVED, 2, BD_OK, BD_MEMBER_LIVE } } },
  { "unlisted-but-leaves",
    { { 0, RECEIVED_LEAVING, 2, BD_OK, BD_MEMBER_LEAVING },
      { 100, LISTED, 0, BD_OK, BD_MEMBER_LEAVING },
      { 200, UNLISTED, 0, BD_OK, BD_MEMBER_SUSPECT },
      { 300, RECEIVED_LEAVING, 2, BD_OK, BD_MEMBER_LEAVING } } },
  { "unknown",
    { { 0, LEAVING, 0, BD_OK, UNKNOWN }, { 0, LISTED, 0, BD_OK, UNKNOWN } } },
};

static int
apply (struct bd_membership *m, int64_t now, enum op op, uint64_t incarnation)
{
  struct bd_member peer = member ("peer", "bole", incarnation);

  if (op == RECEIVED_LEAVING)
    peer.state = BD_MEMBER_LEAVING;
  switch (op)
    {
    case REPORTED:
      return bd_membership_add_reported (m, now, &peer);
    case RECEIVED:
    case RECEIVED_LEAVING:
      return bd_membership_record_message (m, now, &peer);
    case LEAVING:
      bd_membership_mark_leaving (m, now, peer.instance);
      return BD_OK;
    case LISTED:
    case UNLISTED:
      bd_membership_set_listed_leaving (m, now, peer.instance, op == LISTED);
      return BD_OK;
    case WAIT:
      break;
    }
  return BD_OK;
}

static void
test_case (gconstpointer data)
{
  size_t c = GPOINTER_TO_SIZE (data);
  struct bd_membership *m = create ("self", "bole", 1, 8, 1);
  int64_t now = 0;

  for (size_t i = 0; i < 8 && cases[c].steps[i].op != 0; i++)
    {
      const struct bd_member *found;
      int rc;

      for (; now < cases[c].steps[i].at_ms; now += TICK_MS)
        bd_membership_tick (m, now + TICK_MS);
      rc = apply (m, now, cases[c].steps[i].op, cases[c].steps[i].incarnation);
      g_assert_cmpint (rc, ==, cases[c].steps[i].rc);
      found = bd_membership_find (m, BD_CHUNK ("peer"));
      g_assert_cmpint (found ? (int)found->state : UNKNOWN, ==,
                       cases[c].steps[i].state);
    }
  bd_membership_destroy (m);
}

/* A pause of this process does not count as silence of the peers. */
static void
test_own_pause (void)
{
  struct bd_membership *m = create ("self", "bole", 1, 8, 1);
  struct bd_member peer = member ("peer", "bole", 1);

  bd_membership_tick (m, 1000);
  bd_membership_record_message (m, 1000, &peer);
  bd_membership_tick (m, 1500);
  bd_membership_tick (m, 60000);
  g_assert_cmpint (bd_membership_at (m, 0)->state, ==, BD_MEMBER_LIVE);
  for (int64_t now = 60000; now < 60000 + GONE_MS; now += TICK_MS)
    bd_membership_tick (m, now);
  g_assert_cmpint (bd_membership_at (m, 0)->state, ==, BD_MEMBER_GONE);
  bd_membership_destroy (m);
}

static void
test_bounds (void)
{
  static char big[65];
  struct bd_membership *m = create ("self", "bole", 1, 100, 1);
  struct bd_member peer;

  memset (big, 'x', 64);
  peer = member (big, "bole", 1);
  g_assert_cmpint (bd_membership_record_message (m, 0, &peer), ==,
                   BD_ERR_INVALID);
  peer = member ("", "bole", 1);
  g_assert_cmpint (bd_membership_add_reported (m, 0, &peer), ==,
                   BD_ERR_INVALID);
  peer = member ("self", "bole", 9);
  g_assert_cmpint (bd_membership_record_message (m, 0, &peer), ==,
                   BD_ERR_INVALID);
  /* A hundred peers are reported, then a hundred others send a message and
     evict them; one more does not fit. */
  for (int round = 0; round < 2; round++)
    for (int i = 0; i < 100; i++)
      {
        char *name = g_strdup_printf (round == 0 ? "ghost-%d" : "p-%02d", i);

        peer = member (name, i % 2 ? "bole" : "akaki", 1);
        g_assert_cmpint (round == 0
                             ? bd_membership_add_reported (m, 0, &peer)
                             : bd_membership_record_message (m, 0, &peer),
                         ==, BD_OK);
        g_free (name);
      }
  g_assert_cmpuint (bd_membership_count (m), ==, 100);
  for (size_t i = 0; i < 100; i++)
    g_assert_cmpint (bd_membership_at (m, i)->state, ==, BD_MEMBER_LIVE);
  peer = member ("late", "bole", 1);
  g_assert_cmpint (bd_membership_add_reported (m, 0, &peer), ==, BD_ERR_FULL);
  g_assert_cmpint (bd_membership_record_message (m, 0, &peer), ==,
                   BD_ERR_FULL);
  for (int64_t now = 0; now <= GONE_MS + TICK_MS; now += TICK_MS)
    bd_membership_tick (m, now);
  g_assert_cmpint (bd_membership_record_message (m, GONE_MS, &peer), ==,
                   BD_OK);
  g_assert_cmpuint (bd_membership_count (m), ==, 100);
  bd_membership_destroy (m);
}

/* Each live peer is picked at least once in two passes, for any MAX. */
static void
test_targets (void)
{
  for (size_t max = 1; max <= 5; max++)
    {
      struct bd_membership *m = create ("self", "bole", 1, 64, max);
      GHashTable *last = g_hash_table_new (g_direct_hash, g_direct_equal);
      const struct bd_member *targets[8];
      /* Of 24 peers in each zone 16 are live, 4 gone and 4 leaving. */
      int calls_of_pass = (int)((40 + max - 1) / max);
      int probes = 0;

      for (int i = 0; i < 48; i++)
        {
          char *name = g_strdup_printf ("p-%02d", i);
          struct bd_member p
              = member (name, i < 24 ? "bole" : "akaki", (uint64_t)i + 1);

          bd_membership_record_message (m, i % 24 < 4 ? 0 : 4000, &p);
          if (i % 24 >= 20)
            bd_membership_mark_leaving (m, 4000, p.instance);
          g_free (name);
        }
      for (int64_t now = 4000; now <= 5100; now += TICK_MS)
        bd_membership_tick (m, now);
      for (int call = 1; call <= 40 * calls_of_pass; call++)
        {
          size_t n = bd_membership_pick_targets (m, targets, max);

          g_assert_cmpuint (n, <=, max);
          for (size_t i = 0; i < n; i++)
            {
              g_assert_cmpint (targets[i]->state, !=, BD_MEMBER_LEAVING);
              probes += targets[i]->state == BD_MEMBER_GONE;
              g_hash_table_insert (last, (gpointer)targets[i],
                                   GINT_TO_POINTER (call));
              for (size_t j = 0; j < i; j++)
                g_assert_true (targets[j] != targets[i]);
            }
          for (size_t i = 0; call > 2 * calls_of_pass && i < 48; i++)
            {
              const struct bd_member *p = bd_membership_at (m, i);
              int at = GPOINTER_TO_INT (g_hash_table_lookup (last, p));

              if (p->state == BD_MEMBER_LIVE)
                g_assert_cmpint (call - at, <=, 2L * calls_of_pass);
            }
        }
      /* 8 gone peers, each picked in every 8th of 40 to 50 passes. */
      g_assert_cmpint (probes, >=, 32);
      g_assert_cmpint (probes, <=, 56);
      g_hash_table_destroy (last);
      bd_membership_destroy (m);
    }
}

/* A simulated fleet of entries in virtual time. */
#define NODES 48
#define ZONES 3
#define STEP_MS 50L
#define GOSSIP_STEPS 4L
#define FANOUT 4
#define WATCHERS 2
#define REPORT_STEPS 200
#define DELAY_STEPS 3
/* Three passes over 15 peers with two targets per call. */
#define SUSPECT_LIMIT_MS (24 * GOSSIP_STEPS * STEP_MS)
#define WATCHER_GAP_MAX_MS (SUSPECT_LIMIT_MS + (DELAY_STEPS + 2) * STEP_MS)

struct node
{
  struct bd_membership *m;
  char name[8];
  uint64_t incarnation;
  int side;           /* Side of a network partition. */
  int start_step;     /* Step at which it starts again; 0: it is up. */
  int pause_end_step; /* Step at which its pause ends. */
  GArray *inbox[DELAY_STEPS + 1];
};

struct fleet
{
  GRand *rand;
  struct node nodes[NODES];
  int step;
  int loss_percent;
  int watcher_seen_step[ZONES][2];
  int longest_gap_steps;
  long watcher_steps;
  int gone;
};

static const char *const zones[ZONES] = { "akaki", "bole", "kality" };

static bool
node_runs (const struct fleet *f, const struct node *n)
{
  return n->start_step == 0 && n->pause_end_step <= f->step;
}

static void
report_all_nodes (struct fleet *f, struct node *n)
{
  for (int i = 0; i < NODES; i++)
    {
      struct bd_member p = member (f->nodes[i].name, zones[i % ZONES], 0);

      if (&f->nodes[i] != n)
        bd_membership_add_reported (n->m, (int64_t)f->step * STEP_MS, &p);
    }
}

static void
node_start (struct fleet *f, int i)
{
  struct node *n = &f->nodes[i];

  n->incarnation++;
  n->start_step = 0;
  n->m = create (n->name, zones[i % ZONES], n->incarnation, NODES,
                 (uint64_t)g_rand_int (f->rand));
  report_all_nodes (f, n);
}

static void
node_stop (struct fleet *f, struct node *n)
{
  (void)f;
  bd_membership_destroy (n->m);
  n->m = NULL;
  for (int d = 0; d <= DELAY_STEPS; d++)
    g_array_set_size (n->inbox[d], 0);
}

/* A simulated message. */
struct heartbeat
{
  int from;
  uint64_t incarnation;
};

static void
node_run (struct fleet *f, int i)
{
  struct node *n = &f->nodes[i];
  int64_t now = (int64_t)f->step * STEP_MS;
  GArray *inbox = n->inbox[f->step % (DELAY_STEPS + 1)];
  const struct bd_member *targets[FANOUT];
  size_t count;

  for (guint k = 0; k < inbox->len; k++)
    {
      struct heartbeat h = g_array_index (inbox, struct heartbeat, k);
      struct bd_member p = member (f->nodes[h.from].name,
                                   zones[h.from % ZONES], h.incarnation);

      bd_membership_record_message (n->m, now, &p);
    }
  g_array_set_size (inbox, 0);
  bd_membership_tick (n->m, now);
  if (f->step % REPORT_STEPS == 0)
    report_all_nodes (f, n);
  if ((f->step + i) % GOSSIP_STEPS != 0)
    return;
  count = bd_membership_pick_targets (n->m, targets, FANOUT);
  for (size_t k = 0; k < count; k++)
    {
      struct heartbeat h = { .from = i, .incarnation = n->incarnation };
      int to = (int)g_ascii_strtoll (targets[k]->instance.data + 1, NULL, 10);
      int at = f->step + g_rand_int_range (f->rand, 1, DELAY_STEPS + 1);

      if (f->nodes[to].start_step > 0 || f->nodes[to].side != n->side
          || g_rand_int_range (f->rand, 0, 100) < f->loss_percent)
        continue;
      g_array_append_val (f->nodes[to].inbox[at % (DELAY_STEPS + 1)], h);
    }
}

/* Counts the elected watchers.  A zone with a running node must not be
   without one for longer than WATCHER_GAP_MAX_MS. */
static void
check_watchers (struct fleet *f)
{
  int watchers[ZONES][2] = { { 0 } };
  int running[ZONES][2] = { { 0 } };

  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &f->nodes[i];

      if (!node_runs (f, n))
        continue;
      running[i % ZONES][n->side]++;
      if (bd_membership_is_elected (n->m, BD_CHUNK ("watch"), WATCHERS))
        watchers[i % ZONES][n->side]++;
    }
  for (int z = 0; z < ZONES; z++)
    for (int side = 0; side < 2; side++)
      {
        f->watcher_steps += watchers[z][side];
        if (watchers[z][side] > 0 || running[z][side] == 0)
          f->watcher_seen_step[z][side] = f->step;
        f->longest_gap_steps = MAX (f->longest_gap_steps,
                                    f->step - f->watcher_seen_step[z][side]);
        g_assert_cmpint ((f->step - f->watcher_seen_step[z][side]) * STEP_MS,
                         <=, WATCHER_GAP_MAX_MS);
      }
}

/* Picks a node of zone Z for a fault, in most cases an elected watcher. */
static int
pick_victim (struct fleet *f, int z)
{
  for (int i = z; i < NODES; i += ZONES)
    if (node_runs (f, &f->nodes[i])
        && bd_membership_is_elected (f->nodes[i].m, BD_CHUNK ("watch"),
                                     WATCHERS)
        && g_rand_int_range (f->rand, 0, 4) > 0)
      return i;
  return z + ZONES * g_rand_int_range (f->rand, 0, NODES / ZONES);
}

static void
partition_nodes (struct fleet *f)
{
  for (int i = 0; i < NODES; i++)
    f->nodes[i].side = g_rand_int_range (f->rand, 0, 2);
  for (int z = 0; z < ZONES; z++)
    f->watcher_seen_step[z][0] = f->watcher_seen_step[z][1] = f->step;
}

static void
inject_fault (struct fleet *f, int z)
{
  int i = pick_victim (f, z);
  struct node *n = &f->nodes[i];
  int steps = g_rand_int_range (f->rand, 20, 400);

  if (!node_runs (f, n))
    return;
  switch (g_rand_int_range (f->rand, 0, 6))
    {
    case 0:
    case 1:
      node_stop (f, n);
      n->start_step = f->step + steps;
      break;
    case 2:
      /* Restarts at once and has lost its member table. */
      node_stop (f, n);
      node_start (f, i);
      break;
    case 3:
    case 4:
      n->pause_end_step = f->step + steps;
      break;
    default:
      partition_nodes (f);
    }
}

static void
fleet_step (struct fleet *f)
{
  f->step++;
  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &f->nodes[i];

      if (n->start_step > 0 && n->start_step <= f->step)
        node_start (f, i);
      if (node_runs (f, n))
        node_run (f, i);
    }
}

static struct fleet *
fleet_create (guint32 seed, int loss_percent)
{
  struct fleet *f = g_new0 (struct fleet, 1);

  f->rand = g_rand_new_with_seed (seed);
  f->loss_percent = loss_percent;
  for (int i = 0; i < NODES; i++)
    {
      g_snprintf (f->nodes[i].name, sizeof f->nodes[i].name, "n%d", i);
      for (int d = 0; d <= DELAY_STEPS; d++)
        f->nodes[i].inbox[d]
            = g_array_new (FALSE, FALSE, sizeof (struct heartbeat));
    }
  for (int i = 0; i < NODES; i++)
    node_start (f, i);
  return f;
}

static void
fleet_destroy (struct fleet *f)
{
  for (int i = 0; i < NODES; i++)
    {
      node_stop (f, &f->nodes[i]);
      for (int d = 0; d <= DELAY_STEPS; d++)
        g_array_free (f->nodes[i].inbox[d], TRUE);
    }
  g_rand_free (f->rand);
  g_free (f);
}

/* Two faults at a time, mostly on elected watchers. */
static void
test_watchers_under_faults (void)
{
  int longest_steps = 0;

  for (guint32 seed = 1; seed <= 20; seed++)
    {
      struct fleet *f = fleet_create (seed, 5);

      while (f->step < 3000)
        {
          if (f->step % 200 == 100)
            {
              int z = g_rand_int_range (f->rand, 0, ZONES);

              inject_fault (f, z);
              inject_fault (f, z);
            }
          fleet_step (f);
          check_watchers (f);
        }
      longest_steps = MAX (longest_steps, f->longest_gap_steps);
      fleet_destroy (f);
    }
  g_test_message ("longest time without a watcher %ld ms, bound %ld ms",
                  longest_steps * STEP_MS, WATCHER_GAP_MAX_MS);
}

/* Without faults no peer is removed, and each zone elects exactly the
   required number of watchers. */
static void
test_quiet_fleet (void)
{
  struct fleet *f = fleet_create (31, 5);

  /* All nodes start at once and know the others from reports only. */
  check_watchers (f);
  g_assert_cmpint (f->watcher_steps, ==, 1L * ZONES * WATCHERS);
  while (f->step < 2000)
    {
      fleet_step (f);
      for (int i = 0; i < NODES; i++)
        for (size_t k = 0; k < bd_membership_count (f->nodes[i].m); k++)
          g_assert_cmpint (bd_membership_at (f->nodes[i].m, k)->state, !=,
                           BD_MEMBER_GONE);
      check_watchers (f);
    }
  g_assert_cmpint (f->longest_gap_steps, ==, 0);
  g_assert_cmpint (f->watcher_steps, >=, 2000L * ZONES * WATCHERS);
  /* Lost heartbeats let a third node elect itself for a while. */
  g_assert_cmpint (f->watcher_steps, <=, 2000L * ZONES * WATCHERS * 11 / 10);
  g_assert_cmpint (bd_membership_suspect_limit_ms (f->nodes[0].m, true), ==,
                   SUSPECT_LIMIT_MS);
  fleet_destroy (f);
}

/* After a partition that lasts longer than members are remembered, all nodes
   find each other again. */
static void
test_partition_heals (void)
{
  struct fleet *f = fleet_create (32, 0);

  for (int i = 0; i < NODES; i++)
    f->nodes[i].side = i % 2;
  while (f->step < 2400)
    fleet_step (f);
  for (int i = 0; i < NODES; i++)
    f->nodes[i].side = 0;
  while (f->step < 2800)
    fleet_step (f);
  for (int i = 0; i < NODES; i++)
    for (size_t k = 0; k < NODES - 1; k++)
      g_assert_cmpint (bd_membership_at (f->nodes[i].m, k)->state, ==,
                       BD_MEMBER_LIVE);
  fleet_destroy (f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/membership/%s", cases[i].name);

      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_case);
      g_free (path);
    }
  g_test_add_func ("/membership/own-pause", test_own_pause);
  g_test_add_func ("/membership/bounds", test_bounds);
  g_test_add_func ("/membership/targets", test_targets);
  g_test_add_func ("/membership/watchers-under-faults",
                   test_watchers_under_faults);
  g_test_add_func ("/membership/quiet-fleet", test_quiet_fleet);
  g_test_add_func ("/membership/partition-heals", test_partition_heals);
  return g_test_run ();
}
