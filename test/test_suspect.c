#include "common/string.h"
#include "retry/suspect.h"

#include <glib.h>

#define KEEP_MS 60000
#define POISON 7777

static struct bd_strike
strike_of (uint64_t fingerprint, uint64_t crash, bool alone, bool cleared)
{
  return (struct bd_strike){ .fingerprint = fingerprint,
                             .crash = { .high = 1, .low = crash },
                             .alone = alone,
                             .cleared = cleared };
}

/* Runs the events of one fingerprint and checks the suspicion after each. */
static void
test_histories (void)
{
  /*
   * a-d: crash 1 to 4 beside other requests; A-D: alone; x: crash 1 is cleared
   * by a peer; +: completed here; w: the keep time less 1 ms passes; t: 1 ms
   * and a tick.  Suspicion: n: none, i: isolate, q: quarantine.
   */
  static const struct
  {
    const char *events;
    const char *seen;
  } cases[] = {
    { "a", "i" },
    { "aa", "ii" },
    { "aaaa", "iiii" },
    { "aA", "ii" },
    { "aB", "ii" },
    { "aBC", "iiq" },
    { "AB", "iq" },
    { "AA", "ii" },
    { "ABA", "iqq" },
    { "abcd", "iiii" },
    { "a+", "in" },
    { "ab+", "iin" },
    { "aB+", "iin" },
    { "a+a", "inn" },
    { "a+b", "ini" },
    { "xa", "nn" },
    { "ax", "in" },
    { "axa", "inn" },
    { "xb", "ni" },
    { "awt", "iin" },
    { "AwBt", "iiqq" },
    { "ABwwwtt", "iqqqqqq" },
    { "ABwtwt", "iqqqqq" },
    { "+", "n" },
    { "a+wta", "inn"
               "ni" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct bd_suspects *s = bd_suspects_create (4, KEEP_MS);
      int64_t now = 0;

      for (size_t k = 0; cases[i].events[k]; k++)
        {
          char e = cases[i].events[k];
          bool alone = e >= 'A' && e <= 'D';
          struct bd_strike strike = strike_of (
              POISON, (uint64_t)(e == 'x' ? 1 : (e | 0x20) - 'a' + 1), alone,
              e == 'x');

          if (e == '+')
            bd_suspects_completed (s, now, POISON);
          else if (e == 'w')
            now += KEEP_MS - 1;
          else if (e == 't')
            bd_suspects_tick (s, ++now);
          else
            bd_suspects_record (s, now, &strike);
          if ("niq"[bd_suspects_check (s, now, POISON)] != cases[i].seen[k])
            g_error ("%s: wrong after %zu", cases[i].events, k + 1);
        }
      bd_suspects_destroy (s);
    }
}

static void
test_strikes_are_gossiped_once (void)
{
  struct bd_suspects *a = bd_suspects_create (8, KEEP_MS);
  struct bd_suspects *b = bd_suspects_create (8, KEEP_MS);
  struct bd_strike gossip[4];
  struct bd_strike strike = strike_of (1, 1, false, false);
  size_t strike_count = 0;
  size_t n;

  for (uint64_t f = 0; f < 6; f++)
    {
      strike.fingerprint = f;
      g_assert_true (bd_suspects_record (a, 100, &strike));
      g_assert_false (bd_suspects_record (a, 100, &strike));
    }
  while ((n = bd_suspects_next_gossip (a, 300, gossip, 4)) > 0)
    for (size_t i = 0; i < n; i++, strike_count++)
      {
        g_assert_cmpint (gossip[i].age_ms, ==, 200);
        g_assert_true (bd_suspects_record (b, 5000, &gossip[i]));
      }
  g_assert_cmpuint (strike_count, ==, 6);
  bd_suspects_tick (b, 5000 - 200 + KEEP_MS);
  g_assert_cmpint (bd_suspects_check (b, 5000, 3), ==, BD_SUSPICION_NONE);
  bd_suspects_completed (a, 400, 3);
  g_assert_cmpuint (bd_suspects_next_gossip (a, 400, gossip, 4), ==, 1);
  g_assert_true (gossip[0].cleared && gossip[0].fingerprint == 3);
  strike.age_ms = KEEP_MS;
  g_assert_false (bd_suspects_record (b, 5000, &strike));
  bd_suspects_destroy (a);
  bd_suspects_destroy (b);
}

/* A fingerprint with ever new strikes does not delay the gossip of others. */
static void
test_gossip_is_fair (void)
{
  struct bd_suspects *s = bd_suspects_create (8, KEEP_MS);
  struct bd_strike strike = strike_of (2, 1, false, false);
  struct bd_strike gossip = { 0 };

  for (uint64_t crash = 2; gossip.fingerprint != 2; crash++)
    {
      struct bd_strike again = strike_of (1, crash, false, false);

      g_assert_cmpuint (crash, <, 10);
      bd_suspects_record (s, 0, &again);
      bd_suspects_record (s, 0, &strike);
      bd_suspects_completed (s, 0, 1);
      g_assert_cmpuint (bd_suspects_next_gossip (s, 0, &gossip, 1), ==, 1);
    }
  bd_suspects_destroy (s);
}

static void
test_table_is_bounded (void)
{
  struct bd_suspects *s = bd_suspects_create (64, KEEP_MS);
  struct bd_strike gossip[100];
  int isolated = 0;

  for (uint64_t crash = 1; crash <= 2; crash++)
    {
      struct bd_strike strike = strike_of (POISON, crash, true, false);

      bd_suspects_record (s, 0, &strike);
    }
  for (uint64_t f = 0; f < 100000; f++)
    {
      struct bd_strike strike = strike_of (1 << 20 | f, 9, false, false);

      g_assert_true (bd_suspects_record (s, (int64_t)f / 100, &strike));
    }
  for (uint64_t f = 0; f < 1000; f++)
    {
      struct bd_strike strike = strike_of (1 << 25 | f, 9, false, true);

      g_assert_false (bd_suspects_record (s, 1000, &strike));
    }
  for (uint64_t f = 0; f < 100000; f++)
    isolated
        += bd_suspects_check (s, 1000, 1 << 20 | f) == BD_SUSPICION_ISOLATE;
  g_assert_cmpint (isolated, ==, 63);
  g_assert_cmpint (bd_suspects_check (s, 1000, POISON), ==,
                   BD_SUSPICION_QUARANTINE);
  g_assert_cmpuint (bd_suspects_next_gossip (s, 1000, gossip, 100), <=, 100);
  bd_suspects_destroy (s);
}

/* The runner does not depend on the order of the list, and changes only when
   it is removed itself. */
static void
test_runner (void)
{
  struct bd_chunk names[12];
  struct bd_chunk reversed[12];
  char text[12][8];
  guint hits[12] = { 0 };

  for (int i = 0; i < 12; i++)
    {
      g_snprintf (text[i], sizeof text[i], "r-%d", i);
      names[i] = bd_chunk_of (text[i]);
      reversed[11 - i] = names[i];
    }
  for (uint64_t f = 0; f < 12000; f++)
    {
      uint32_t index_of_12 = bd_suspects_runner (f, names, 12);
      uint32_t index_of_11 = bd_suspects_runner (f, names, 11);

      hits[index_of_12]++;
      g_assert_cmpuint (bd_suspects_runner (f, reversed, 12), ==,
                        11 - index_of_12);
      if (index_of_12 != 11)
        g_assert_cmpuint (index_of_11, ==, index_of_12);
    }
  for (int i = 0; i < 12; i++)
    {
      g_assert_cmpuint (hits[i], >, 700);
      g_assert_cmpuint (hits[i], <, 1300);
    }
}

/*
 * Simulates entries in virtual time.  A caller repeats a request that crashes
 * every runner, through random entries.  The strike is recorded at once at the
 * entry of the request; gossip reaches each other entry with a random delay,
 * and some messages arrive twice.
 */
#define ENTRIES 5
#define MAX_CRASHES_FASTER_THAN_GOSSIP                                        \
  ((guint64)ENTRIES * BD_SUSPECT_MAX_RUNNERS)
#define RUNNERS 12
#define MAX_DELAY_MS 500
#define MAX_NEWS 4096
#define OTHER_REQUESTS 40

struct gossip_message
{
  int64_t at_ms;
  int entry;
  struct bd_strike strike;
};

struct fleet
{
  GRand *rand;
  struct bd_suspects *entries[ENTRIES];
  GArray *messages;
  int64_t now_ms;
  uint64_t crashes;
  struct bd_chunk names[RUNNERS];
  char text[RUNNERS][8];
};

static int
random_below (struct fleet *f, int bound)
{
  return g_rand_int_range (f->rand, 0, bound);
}

static void
fleet_init (struct fleet *f, guint32 seed)
{
  f->rand = g_rand_new_with_seed (seed);
  f->messages = g_array_new (FALSE, FALSE, sizeof (struct gossip_message));
  f->now_ms = 0;
  f->crashes = 0;
  for (int i = 0; i < ENTRIES; i++)
    f->entries[i] = bd_suspects_create (256, KEEP_MS);
  for (int i = 0; i < RUNNERS; i++)
    {
      g_snprintf (f->text[i], sizeof f->text[i], "r-%d", i);
      f->names[i] = bd_chunk_of (f->text[i]);
    }
}

static void
fleet_destroy (struct fleet *f)
{
  for (int i = 0; i < ENTRIES; i++)
    bd_suspects_destroy (f->entries[i]);
  g_array_free (f->messages, TRUE);
  g_rand_free (f->rand);
}

static void
post_gossip (struct fleet *f, int from, const struct bd_strike *strike)
{
  for (int to = 0; to < ENTRIES; to++)
    for (int copy = 0; to != from && copy < 1 + (random_below (f, 8) == 0);
         copy++)
      {
        struct gossip_message n
            = { f->now_ms + 1 + random_below (f, MAX_DELAY_MS), to, *strike };

        g_array_append_val (f->messages, n);
      }
}

static void
deliver_gossip (struct fleet *f)
{
  for (guint i = 0; i < f->messages->len;)
    {
      struct gossip_message n
          = g_array_index (f->messages, struct gossip_message, i);

      if (n.at_ms > f->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (f->messages, i);
      bd_suspects_record (f->entries[n.entry], f->now_ms, &n.strike);
    }
}

static void
advance_fleet (struct fleet *f, int ms)
{
  for (int64_t end = f->now_ms + ms; f->now_ms < end; f->now_ms += 50)
    {
      deliver_gossip (f);
      for (int e = 0; e < ENTRIES; e++)
        {
          struct bd_strike gossip[16];
          size_t n
              = bd_suspects_next_gossip (f->entries[e], f->now_ms, gossip, 16);

          for (size_t i = 0; i < n; i++)
            post_gossip (f, e, &gossip[i]);
          bd_suspects_tick (f->entries[e], f->now_ms);
        }
    }
}

static void
crash (struct fleet *f, int entry, const uint64_t *fingerprints, size_t count)
{
  f->crashes++;
  for (size_t i = 0; i < count; i++)
    {
      struct bd_strike s
          = strike_of (fingerprints[i], f->crashes, count == 1, false);

      bd_suspects_record (f->entries[entry], f->now_ms, &s);
    }
}

/* Attempts the request that crashes its runner, unless it is quarantined. */
static enum bd_suspicion
poison_attempt (struct fleet *f, int entry)
{
  uint64_t fingerprints[4] = { POISON };
  size_t count = 1;
  enum bd_suspicion suspicion
      = bd_suspects_check (f->entries[entry], f->now_ms, POISON);

  if (suspicion == BD_SUSPICION_QUARANTINE)
    return suspicion;
  if (suspicion == BD_SUSPICION_NONE)
    for (int n = random_below (f, 4); n > 0; n--)
      fingerprints[count++] = (uint64_t)random_below (f, OTHER_REQUESTS);
  crash (f, entry, fingerprints, count);
  return suspicion;
}

/* Repeated more slowly than gossip, the request crashes at most
   BD_SUSPECT_MAX_RUNNERS runners, however long it is repeated. */
static void
test_repeated_after_gossip (void)
{
  guint most = 0;

  for (guint32 seed = 0; seed < 200; seed++)
    {
      struct fleet f;

      fleet_init (&f, seed);
      for (int i = 0; i < 40; i++)
        {
          poison_attempt (&f, random_below (&f, ENTRIES));
          advance_fleet (&f,
                         2 * MAX_DELAY_MS + random_below (&f, KEEP_MS / 2));
        }
      g_assert_cmpuint (f.crashes, <=, BD_SUSPECT_MAX_RUNNERS);
      most = MAX (most, (guint)f.crashes);
      fleet_destroy (&f);
    }
  g_assert_cmpuint (most, ==, BD_SUSPECT_MAX_RUNNERS);
}

/*
 * Repeated faster than gossip, the request crashes at most
 * BD_SUSPECT_MAX_RUNNERS runners per entry, and none once gossip has reached
 * all entries.
 */
static void
test_repeated_faster_than_gossip (void)
{
  guint most = 0;

  for (guint32 seed = 0; seed < 200; seed++)
    {
      struct fleet f;

      fleet_init (&f, seed);
      for (int i = 0; i < 100; i++)
        {
          poison_attempt (&f, random_below (&f, ENTRIES));
          advance_fleet (&f, 50);
        }
      g_assert_cmpuint (f.crashes, <=, MAX_CRASHES_FASTER_THAN_GOSSIP);
      most = MAX (most, (guint)f.crashes);
      advance_fleet (&f, 2 * MAX_DELAY_MS);
      for (int e = 0; e < ENTRIES; e++)
        g_assert_cmpint (poison_attempt (&f, e), ==, BD_SUSPICION_QUARANTINE);
      fleet_destroy (&f);
    }
  g_test_message ("at most %u runners were taken down", most);
}

/* Requests beside a crashing one are never quarantined, and are cleared when
   they complete at any entry. */
static void
test_requests_beside_crashes (void)
{
  for (guint32 seed = 0; seed < 100; seed++)
    {
      struct fleet f;

      fleet_init (&f, seed);
      for (int i = 0; i < 60; i++)
        {
          uint64_t fingerprints[4] = { POISON + (uint64_t)i, 1, 2, 3 };

          crash (&f, random_below (&f, ENTRIES), fingerprints, 4);
          advance_fleet (&f, 50 * random_below (&f, 30));
          for (int e = 0; e < ENTRIES; e++)
            for (uint64_t n = 1; n <= 3; n++)
              g_assert_cmpint (bd_suspects_check (f.entries[e], f.now_ms, n),
                               <, BD_SUSPICION_QUARANTINE);
        }
      advance_fleet (&f, 2 * MAX_DELAY_MS);
      bd_suspects_completed (f.entries[random_below (&f, ENTRIES)], f.now_ms,
                             1);
      advance_fleet (&f, 2 * MAX_DELAY_MS);
      for (int e = 0; e < ENTRIES; e++)
        {
          g_assert_cmpint (bd_suspects_check (f.entries[e], f.now_ms, 1), ==,
                           BD_SUSPICION_NONE);
          g_assert_cmpint (bd_suspects_check (f.entries[e], f.now_ms, 2), ==,
                           BD_SUSPICION_ISOLATE);
        }
      fleet_destroy (&f);
    }
}

static bool
explain_none (const struct bd_rivals *rivals, struct bd_id crash,
              uint32_t count, bool harmless_before)
{
  (void)rivals;
  (void)crash;
  (void)count;
  (void)harmless_before;
  return false;
}

/* Returns a table in which POISON has three crashes, the last at 3000; if
   COMPLETED is set, it was completed before. */
static struct bd_suspects *
after_three_crashes (bool completed)
{
  static const struct bd_rivals_ops ops = { .explain = explain_none };
  static const struct bd_rivals rivals = { &ops };
  struct bd_suspects *s = bd_suspects_create (4, KEEP_MS);

  g_assert_cmpint (bd_suspects_weigh_rivals (s, &rivals, 1), ==, BD_OK);
  if (completed)
    bd_suspects_completed (s, 500, POISON);
  for (uint64_t i = 1; i <= 3; i++)
    {
      struct bd_strike strike = strike_of (POISON, i, false, false);

      bd_suspects_record (s, (int64_t)i * 1000, &strike);
    }
  g_assert_true (bd_suspects_must_wait (s, 3010, POISON, false));
  return s;
}

/* Guards against a popular request that is refused for a minute because it was
   at several runners that crashed by themselves: one that was completed before
   is tried soon, and one at a time.  One that never was keeps waiting. */
static void
test_trial (void)
{
  struct bd_suspects *s = after_three_crashes (true);
  int64_t now_ms = 3000 + 2 * BD_SUSPECT_TRIAL_DELAY_MS;

  g_assert_true (bd_suspects_must_wait (s, 2999 + BD_SUSPECT_TRIAL_DELAY_MS,
                                        POISON, false));
  g_assert_false (bd_suspects_must_wait (s, now_ms, POISON, false));
  bd_suspects_sent (s, now_ms, POISON);
  g_assert_true (bd_suspects_must_wait (s, now_ms + 10, POISON, false));
  bd_suspects_completed (s, now_ms + 4000, POISON);
  g_assert_false (bd_suspects_must_wait (s, now_ms + 4000, POISON, false));
  bd_suspects_destroy (s);
  s = after_three_crashes (false);
  g_assert_true (bd_suspects_must_wait (s, now_ms, POISON, false));
  bd_suspects_destroy (s);
}

/* A trial that crashes a runner is followed by the next one a minute later. */
static void
test_trial_crashes (void)
{
  struct bd_suspects *s = after_three_crashes (true);
  struct bd_strike fourth = strike_of (POISON, 4, false, false);
  int64_t now_ms = 3000 + 2 * BD_SUSPECT_TRIAL_DELAY_MS;

  bd_suspects_sent (s, now_ms, POISON);
  bd_suspects_record (s, now_ms, &fourth);
  g_assert_true (bd_suspects_must_wait (
      s, now_ms + BD_SUSPECT_LONG_HOLD_MS - 1, POISON, false));
  bd_suspects_destroy (s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/suspect/histories", test_histories);
  g_test_add_func ("/suspect/strikes-are-gossiped-once",
                   test_strikes_are_gossiped_once);
  g_test_add_func ("/suspect/gossip-is-fair", test_gossip_is_fair);
  g_test_add_func ("/suspect/table-is-bounded", test_table_is_bounded);
  g_test_add_func ("/suspect/runner", test_runner);
  g_test_add_func ("/suspect/repeated-after-gossip",
                   test_repeated_after_gossip);
  g_test_add_func ("/suspect/repeated-faster-than-gossip",
                   test_repeated_faster_than_gossip);
  g_test_add_func ("/suspect/requests-beside-crashes",
                   test_requests_beside_crashes);
  g_test_add_func ("/suspect/trial", test_trial);
  g_test_add_func ("/suspect/trial-crashes", test_trial_crashes);
  return g_test_run ();
}
