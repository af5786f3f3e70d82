/* Tests of the list of runners: draining, store outages, restarts. */
#include "balance/short_only.h"
#include "balance/target.h"
#include "common/random.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 100000
#define STEP_MS ((int64_t)400)

static bool
usable (struct bd_targets *targets, const char *id)
{
  struct bd_target *target = bd_targets_find (targets, bd_chunk_of (id));

  return target && bd_target_usable (target);
}

static void
test_leaving (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  bd_targets_put (targets, NOW, &entry, 10);
  g_assert_true (usable (targets, "a"));
  entry.draining = true;
  bd_targets_put (targets, NOW, &entry, 12);
  g_assert_false (usable (targets, "a"));
  /* An older entry does not make it usable again. */
  entry.draining = false;
  bd_targets_put (targets, NOW, &entry, 11);
  g_assert_false (usable (targets, "a"));
  bd_targets_remove (targets, NOW, BD_CHUNK ("a"), 13);
  bd_targets_tick (targets, NOW);
  g_assert_null (bd_targets_find (targets, BD_CHUNK ("a")));
  bd_targets_destroy (targets);
}

static void
test_kept_while_in_flight (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");
  struct bd_target *target;

  bd_targets_put (targets, NOW, &entry, 1);
  target = support_target (targets, "a");
  target->in_flight = 1;
  bd_targets_remove (targets, NOW, BD_CHUNK ("a"), 2);
  bd_targets_tick (targets, NOW);
  g_assert_true (support_target (targets, "a") == target);
  g_assert_false (usable (targets, "a"));
  target->in_flight = 0;
  bd_targets_tick (targets, NOW);
  g_assert_null (bd_targets_find (targets, BD_CHUNK ("a")));
  bd_targets_destroy (targets);
}

/* Entries that expire during a store outage lapse, and are removed unless they
   return soon after it. */
static void
test_outage (void)
{
  struct bd_targets *targets = bd_targets_create ();

  support_put_runners (targets, 2, 1);
  bd_targets_set_store_lost (targets);
  bd_targets_remove (targets, NOW, BD_CHUNK ("r0"), 20);
  bd_targets_remove (targets, NOW, BD_CHUNK ("r1"), 21);
  bd_targets_tick (targets, NOW + 60000);
  g_assert_true (usable (targets, "r0"));
  bd_targets_set_store_available (targets, NOW + 60000, BD_OUTAGE_LONG);
  bd_targets_tick (targets, NOW + 60000 + BD_TARGET_LAPSE_MS - 1);
  g_assert_true (usable (targets, "r0"));
  {
    struct bd_target_entry entry = support_entry ("r0", "z0");

    bd_targets_put (targets, NOW + 61000, &entry, 30);
  }
  bd_targets_tick (targets, NOW + 60000 + BD_TARGET_LAPSE_MS);
  g_assert_true (usable (targets, "r0"));
  g_assert_false (usable (targets, "r1"));
  bd_targets_destroy (targets);
}

/* Guards against a runner that has left and is used on because a call to the
   store failed around its removal: after cuts and odd responses it is gone at
   once, after a short outage a second later, however many follow. */
static void
test_short_outages (void)
{
  struct bd_targets *targets = bd_targets_create ();

  support_put_runners (targets, 6, 1);
  bd_targets_set_store_available (targets, NOW, BD_OUTAGE_DOUBTFUL);
  bd_targets_remove (targets, NOW, BD_CHUNK ("r0"), 20);
  g_assert_false (usable (targets, "r0"));
  bd_targets_set_store_lost (targets);
  bd_targets_set_store_available (targets, NOW, BD_OUTAGE_SHORT);
  bd_targets_remove (targets, NOW + 10, BD_CHUNK ("r1"), 21);
  for (int64_t now = NOW + 100; now < NOW + 10 + BD_TARGET_SHORT_LAPSE_MS;
       now += 100)
    {
      bd_targets_set_store_available (targets, now, BD_OUTAGE_SHORT);
      bd_targets_tick (targets, now);
      g_assert_true (usable (targets, "r1"));
    }
  bd_targets_tick (targets, NOW + 10 + BD_TARGET_SHORT_LAPSE_MS);
  g_assert_false (usable (targets, "r1"));
  g_assert_true (usable (targets, "r2"));
  bd_targets_destroy (targets);
}

/* Most entries that are deleted soon after a failed call, together or one by
   one, have expired, however little the call showed: those that come back in
   time were always usable. */
static void
test_most_deleted (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("r0", "z0");

  support_put_runners (targets, 5, 1);
  bd_targets_set_store_available (targets, NOW, BD_OUTAGE_DOUBTFUL);
  bd_targets_remove (targets, NOW, BD_CHUNK ("r0"), 20);
  bd_targets_tick (targets, NOW + 100);
  bd_targets_remove (targets, NOW + 100, BD_CHUNK ("r1"), 21);
  g_assert_false (usable (targets, "r0"));
  g_assert_false (usable (targets, "r1"));
  bd_targets_remove (targets, NOW + 200, BD_CHUNK ("r2"), 22);
  bd_targets_remove (targets, NOW + 200, BD_CHUNK ("r3"), 23);
  for (int i = 0; i < 5; i++)
    {
      char id[] = { 'r', (char)('0' + i), '\0' };

      g_assert_true (usable (targets, id));
    }
  bd_targets_put (targets, NOW + 1500, &entry, 30);
  bd_targets_tick (targets, NOW + BD_TARGET_LAPSE_MS);
  g_assert_true (usable (targets, "r0"));
  g_assert_false (usable (targets, "r1"));
  g_assert_false (usable (targets, "r3"));
  bd_targets_destroy (targets);
}

/* Plays one history of failed calls, a letter for each step (d: doubtful, s:
   short, l: long outage, r: the entry of r0 is removed); returns when r0 was
   usable last. */
static int64_t
last_usable_ms (const char *history)
{
  struct bd_targets *targets = bd_targets_create ();
  int64_t last = 0;

  support_put_runners (targets, 4, 1);
  for (int64_t now = NOW; now < NOW + 12000; now += 100)
    {
      int64_t step = (now - NOW) / STEP_MS;
      char what
          = (char)(step < (int64_t)strlen (history) ? history[step] : '-');

      if ((now - NOW) % STEP_MS == 0 && what == 'r')
        bd_targets_remove (targets, now, BD_CHUNK ("r0"), 20);
      else if ((now - NOW) % STEP_MS == 0 && what != '-')
        bd_targets_set_store_available (targets, now,
                                        what == 'd'   ? BD_OUTAGE_DOUBTFUL
                                        : what == 's' ? BD_OUTAGE_SHORT
                                                      : BD_OUTAGE_LONG);
      bd_targets_tick (targets, now);
      if (usable (targets, "r0"))
        last = now;
    }
  bd_targets_destroy (targets);
  return last - NOW;
}

/* All histories of six steps with one removal: without a long outage the
   runner is gone after a second, with one two seconds after the last at most,
   and what lapses by a long one stays for its two seconds. */
static void
test_outage_search (void)
{
  static const char steps[] = "-dslr";
  char history[7] = "";

  for (int number = 0; number < 15625; number++)
    {
      int64_t removed = -1;
      int64_t last_long = -1;
      int removals = 0;
      int64_t last;

      for (int i = 0, rest = number; i < 6; i++, rest /= 5)
        {
          history[i] = steps[rest % 5];
          if (history[i] == 'r' && removals++ == 0)
            removed = i * STEP_MS;
          if (history[i] == 'l')
            last_long = i * STEP_MS;
        }
      if (removals != 1)
        continue;
      last = last_usable_ms (history);
      if (last_long < 0 || last_long + BD_TARGET_LAPSE_MS <= removed)
        g_assert_cmpint (last, <, removed + BD_TARGET_SHORT_LAPSE_MS);
      else if (last_long < removed)
        g_assert_cmpint (last, ==, last_long + BD_TARGET_LAPSE_MS - 100);
      else
        g_assert_cmpint (last, <,
                         MAX (removed, last_long) + BD_TARGET_LAPSE_MS);
    }
}

/* A draining runner whose entry disappears does not lapse, so it stays
   unusable. */
static void
test_drain_then_outage (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  entry.draining = true;
  bd_targets_put (targets, NOW, &entry, 1);
  bd_targets_set_store_lost (targets);
  bd_targets_remove (targets, NOW, BD_CHUNK ("a"), 2);
  g_assert_false (usable (targets, "a"));
  bd_targets_destroy (targets);
}

/* Runners that a list no longer contains are removed. */
static void
test_list (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("new", "z0");

  support_put_runners (targets, 2, 1);
  bd_targets_list_begin (targets);
  entry = support_entry ("r0", "z0");
  bd_targets_put (targets, NOW, &entry, 1);
  bd_targets_list_end (targets, NOW, 50);
  g_assert_true (usable (targets, "r0"));
  g_assert_false (usable (targets, "r1"));
  bd_targets_destroy (targets);
}

static void
test_restart (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  entry.started_ms = 111;
  bd_targets_put (targets, NOW, &entry, 1);
  support_target (targets, "a")->health.failures = 9;
  entry.started_ms = 222;
  bd_targets_put (targets, NOW + 5, &entry, 2);
  g_assert_cmpfloat (support_target (targets, "a")->health.failures, ==, 0);
  g_assert_cmpint (support_target (targets, "a")->first_seen_ms, ==, NOW + 5);
  bd_targets_destroy (targets);
}

/* Every instance reserves the same runners for short prompts. */
static void
test_short_only (void)
{
  struct bd_targets *ours = bd_targets_create ();
  struct bd_targets *theirs = bd_targets_create ();
  size_t count;
  struct bd_target *const *all;
  int short_count = 0;

  support_put_runners (ours, 39, 3);
  for (int i = 38; i >= 0; i--)
    {
      char *id = g_strdup_printf ("r%d", i);
      char *zone = g_strdup_printf ("z%d", i % 3);
      struct bd_target_entry entry = support_entry (id, zone);

      bd_targets_put (theirs, 0, &entry, 1);
      g_free (id);
      g_free (zone);
    }
  all = bd_targets_all (ours, &count);
  g_assert_cmpuint (count, ==, 39);
  bd_targets_all (theirs, &count);
  for (size_t i = 0; i < 39; i++)
    {
      g_assert_cmpint (all[i]->short_only, ==,
                       support_target (theirs, all[i]->id.data)->short_only);
      short_count += all[i]->short_only;
    }
  g_assert_cmpint (short_count, ==, 8); /* 39 / 5, rounded up. */
  bd_targets_destroy (ours);
  bd_targets_destroy (theirs);
}

/* Computes short_only from its definition, runner by runner. */
static bool
expect_short_only (struct bd_target *const *all, size_t count,
                   const struct bd_target *target)
{
  size_t peers = 0;
  size_t lower = 0;

  for (size_t i = 0; i < count; i++)
    {
      if (!bd_target_usable (all[i])
          || !bd_chunk_equal (all[i]->service, target->service))
        continue;
      peers++;
      lower += all[i]->hash < target->hash;
    }
  return bd_target_usable (target) && peers >= BD_TARGET_SHORT_RUNNERS_MIN
         && lower < (peers + BD_TARGET_SHORT_ONE_IN - 1)
                        / BD_TARGET_SHORT_ONE_IN;
}

static void
check_order (struct bd_targets *targets)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  for (size_t i = 0; i < count; i++)
    {
      size_t own_count;
      struct bd_target *const *own
          = bd_targets_of_service (targets, all[i]->service, &own_count);
      size_t found = 0;

      g_assert_true (all[i]->short_only
                     == expect_short_only (all, count, all[i]));
      for (size_t k = 0; k < own_count; k++)
        {
          g_assert_true (bd_chunk_equal (own[k]->service, all[i]->service));
          g_assert_true (k == 0 || own[k - 1]->hash <= own[k]->hash);
          found += own[k] == all[i];
        }
      g_assert_cmpuint (found, ==, 1);
    }
}

/* Hundreds of runners of several services are added, drained, removed and
   moved one at a time.  After each change the order by service and the
   short-only runners match their definitions. */
static void
test_services_together (void)
{
  struct bd_targets *targets = bd_targets_create ();
  GRand *random = g_rand_new_with_seed (18);
  size_t count;

  for (int i = 0; i < 400; i++)
    {
      char *id = g_strdup_printf ("r%d", g_rand_int_range (random, 0, 80));
      char *service = g_strdup_printf ("s%d", g_rand_int_range (random, 0, 4));
      struct bd_target_entry entry = support_entry (id, "z0");
      const struct bd_target *known
          = bd_targets_find (targets, bd_chunk_of (id));

      entry.service = known && g_rand_int_range (random, 0, 8) > 0
                          ? known->service
                          : bd_chunk_of (service);
      entry.draining = g_rand_int_range (random, 0, 4) == 0;
      if (g_rand_int_range (random, 0, 4) == 0)
        bd_targets_remove (targets, NOW, entry.id, (uint64_t)i + 1);
      else
        bd_targets_put (targets, NOW, &entry, (uint64_t)i + 1);
      if (g_rand_int_range (random, 0, 8) == 0)
        bd_targets_tick (targets, NOW);
      check_order (targets);
      g_free (id);
      g_free (service);
    }
  bd_targets_of_service (targets, BD_CHUNK ("none"), &count);
  g_assert_cmpuint (count, ==, 0);
  g_rand_free (random);
  bd_targets_destroy (targets);
}

/* Two runners are too few to reserve one. */
static void
test_short_only_few_runners (void)
{
  struct bd_targets *targets = bd_targets_create ();
  size_t count;
  struct bd_target *const *all;

  support_put_runners (targets, 2, 1);
  all = bd_targets_all (targets, &count);
  g_assert_false (all[0]->short_only);
  g_assert_false (all[1]->short_only);
  bd_targets_destroy (targets);
}

/* A runner announces in a response that it leaves, before the store shows
   it or while the store is unreachable.  It gets no new requests, whatever
   the store lists for that process.  A new process under the same
   identifier does. */
static void
test_leaving_by_response (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");
  struct bd_target *target;

  entry.started_ms = 7;
  bd_targets_put (targets, NOW, &entry, 1);
  target = support_target (targets, "a");
  g_assert_true (bd_targets_set_leaving (targets, target, 7, NOW, true));
  g_assert_false (bd_targets_set_leaving (targets, target, 7, NOW, true));
  g_assert_false (usable (targets, "a"));
  bd_targets_put (targets, NOW + 1000, &entry, 2);
  g_assert_false (usable (targets, "a"));
  /* The entry disappears and returns. */
  bd_targets_remove (targets, NOW + 2000, entry.id, 3);
  bd_targets_tick (targets, NOW + 2000);
  bd_targets_put (targets, NOW + 3000, &entry, 4);
  g_assert_false (usable (targets, "a"));
  entry.started_ms = 8;
  bd_targets_put (targets, NOW + 4000, &entry, 5);
  g_assert_true (usable (targets, "a"));
  bd_targets_destroy (targets);
}

/* A late response of the previous process does not mark the current one as
   leaving. */
static void
test_leaving_of_old_process (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  entry.started_ms = 8;
  bd_targets_put (targets, NOW, &entry, 1);
  g_assert_false (bd_targets_set_leaving (
      targets, support_target (targets, "a"), 7, NOW, true));
  g_assert_true (usable (targets, "a"));
  bd_targets_destroy (targets);
}

/* The list shows a restart only after the new process has announced that it
   leaves: the request that the announcement answered was sent at 100, so any
   process that had started by then may be the announcing one. */
static void
test_leaving_list_is_late (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  entry.started_ms = 7;
  bd_targets_put (targets, NOW, &entry, 1);
  bd_targets_set_leaving (targets, support_target (targets, "a"), 100, NOW,
                          true);
  g_assert_false (usable (targets, "a"));
  entry.started_ms = 50;
  bd_targets_put (targets, NOW + 1000, &entry, 2);
  g_assert_false (usable (targets, "a"));
  entry.started_ms = 101;
  bd_targets_put (targets, NOW + 2000, &entry, 3);
  g_assert_true (usable (targets, "a"));
  bd_targets_destroy (targets);
}

/* The list shows a restart between the request and its response, which
   announces that the runner leaves. */
static void
test_leaving_after_restart_is_listed (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  entry.started_ms = 50;
  bd_targets_put (targets, NOW, &entry, 1);
  g_assert_false (bd_targets_set_leaving (
      targets, support_target (targets, "a"), 49, NOW, true));
  g_assert_true (bd_targets_set_leaving (
      targets, support_target (targets, "a"), 100, NOW, true));
  g_assert_false (usable (targets, "a"));
  bd_targets_destroy (targets);
}

/* A runner that is still published as ready long after it announced a leave
   announced it by mistake.  Without this rule a whole pool could stay unusable
   for ever. */
static void
test_leaving_by_mistake (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");
  int64_t late = NOW + BD_TARGET_LEAVING_MAX_MS;

  entry.started_ms = 7;
  bd_targets_put (targets, NOW, &entry, 1);
  bd_targets_set_leaving (targets, support_target (targets, "a"), 7, NOW,
                          true);
  bd_targets_tick (targets, late);
  g_assert_false (
      usable (targets, "a")); /* Not published since the announcement. */
  bd_targets_put (targets, late - 1, &entry, 2);
  g_assert_false (usable (targets, "a"));
  entry.draining = true;
  bd_targets_put (targets, late, &entry, 3);
  entry.draining = false;
  g_assert_false (usable (targets, "a"));
  bd_targets_put (targets, late, &entry, 4);
  g_assert_true (usable (targets, "a"));
  bd_targets_destroy (targets);
}

/* Leave announcements of removed runners are dropped in time. */
static void
test_leaving_forgotten (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  bd_targets_put (targets, NOW, &entry, 1);
  bd_targets_set_leaving (targets, support_target (targets, "a"), 0, NOW,
                          true);
  bd_targets_remove (targets, NOW, entry.id, 2);
  bd_targets_tick (targets, NOW + BD_TARGET_LEAVING_MAX_MS - 1);
  g_assert_nonnull (bd_targets_find (targets, entry.id));
  bd_targets_tick (targets, NOW + BD_TARGET_LEAVING_MAX_MS);
  g_assert_null (bd_targets_find (targets, entry.id));
  bd_targets_destroy (targets);
}

/* Peers and the coordinator name a runner by the low half of its hash.  It
   resolves to the published one, also after a move to another service. */
static void
test_by_hash (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("r7", "z0");
  uint32_t hash;

  support_put_runners (targets, 300, 3);
  for (int i = 0; i < 300; i++)
    {
      char id[16];
      struct bd_target *target;

      g_snprintf (id, sizeof id, "r%d", i);
      target = support_target (targets, id);
      g_assert_true (bd_targets_by_hash (targets, (uint32_t)target->hash)
                     == target);
    }
  hash = (uint32_t)support_target (targets, "r7")->hash;
  entry.service = BD_CHUNK ("other");
  bd_targets_put (targets, 1000, &entry, 1000);
  g_assert_true (bd_chunk_equal (bd_targets_by_hash (targets, hash)->service,
                                 entry.service));
  bd_targets_tick (targets, 1000);
  g_assert_nonnull (bd_targets_by_hash (targets, hash));
  bd_targets_remove (targets, 2000, entry.id, 2000);
  bd_targets_tick (targets, 2000);
  g_assert_null (bd_targets_by_hash (targets, hash));
  bd_targets_destroy (targets);
}

/* The store comes back from an older copy. */

static void
put_ready (struct bd_targets *targets, int64_t now_ms, const char *id,
           int64_t started_ms, uint64_t revision, bool draining)
{
  struct bd_target_entry entry = support_entry (id, "z0");

  entry.started_ms = started_ms;
  entry.draining = draining;
  bd_targets_put (targets, now_ms, &entry, revision);
}

/* The copy has runners as ready that drain, have left or have been replaced
   since.  The first two stay unused until they are known to be wrongly taken
   for leaving: by a later entry, or when the copy's stays. */
static void
test_copy_lacks_leaving (void)
{
  struct bd_targets *targets = bd_targets_create ();

  put_ready (targets, NOW, "drains", 5, 10, false);
  put_ready (targets, NOW, "left", 5, 11, false);
  put_ready (targets, NOW, "replaced", 5, 12, false);
  put_ready (targets, NOW, "drains", 5, 30, true);
  bd_targets_remove (targets, NOW, BD_CHUNK ("left"), 31);
  put_ready (targets, NOW, "replaced", 6, 32, true);
  bd_targets_tick (targets, NOW);
  bd_targets_begin_era (targets, NOW + 1000, 20);
  bd_targets_list_begin (targets);
  put_ready (targets, NOW + 1000, "drains", 5, 10, false);
  put_ready (targets, NOW + 1000, "left", 5, 11, false);
  put_ready (targets, NOW + 1000, "replaced", 5, 12, false);
  bd_targets_list_end (targets, NOW + 1000, 20);
  bd_targets_tick (targets, NOW + 1000);
  g_assert_false (usable (targets, "drains"));
  g_assert_false (usable (targets, "left"));
  g_assert_false (usable (targets, "replaced"));
  g_assert_cmpuint (bd_targets_distrusted_count (targets), ==, 2);
  /* Written in the new era, although at a revision of the former one. */
  put_ready (targets, NOW + 1100, "drains", 5, 21, true);
  put_ready (targets, NOW + 1100, "replaced", 6, 22, false);
  bd_targets_tick (targets, NOW + 1000 + BD_TARGET_DISTRUST_MS);
  g_assert_false (usable (targets, "drains"));
  g_assert_true (usable (targets, "replaced"));
  g_assert_true (usable (targets, "left")); /* The store still has it. */
  bd_targets_destroy (targets);
}

/* The copy lacks a runner that has started since, and shows the process before
   of another one.  Both stay in use until they write their entries again. */
static void
test_copy_lacks_start (void)
{
  struct bd_targets *targets = bd_targets_create ();

  put_ready (targets, NOW, "new", 7, 30, false);
  put_ready (targets, NOW, "restarted", 8, 31, false);
  put_ready (targets, NOW, "lost", 9, 32, false);
  bd_targets_begin_era (targets, NOW, 20);
  bd_targets_list_begin (targets);
  put_ready (targets, NOW, "restarted", 5, 12, false);
  bd_targets_list_end (targets, NOW, 20);
  bd_targets_tick (targets, NOW + BD_TARGET_LAPSE_MS - 1);
  g_assert_true (usable (targets, "new"));
  g_assert_true (usable (targets, "restarted"));
  g_assert_cmpint (support_target (targets, "restarted")->started_ms, ==, 8);
  put_ready (targets, NOW + 1500, "new", 7, 21, false);
  bd_targets_tick (targets, NOW + BD_TARGET_LAPSE_MS);
  g_assert_true (usable (targets, "new"));
  g_assert_false (usable (targets, "lost"));
  bd_targets_destroy (targets);
}

/* A small world: runners that start, drain, leave and restart, a store that
   keeps their entries and comes back from copies, and an instance that reads
   it.  Times in milliseconds. */
#define WORLD_RUNNERS 5
#define WORLD_STEP_MS 100
#define WORLD_STEPS 400
/* A living runner writes its entry again within this time; the store drops the
   entry of a dead one after the next. */
#define WORLD_HEARTBEAT_MS 800
#define WORLD_EXPIRY_MS 2400

struct world_entry
{
  bool present;
  bool draining;
  int64_t started_ms;
  uint64_t revision;
  int64_t written_ms;
};

struct world_store
{
  struct world_entry entries[WORLD_RUNNERS];
  uint64_t revision;
};

struct world
{
  struct bd_targets *targets;
  struct world_store store;
  struct world_store copy;
  bool alive[WORLD_RUNNERS];
  bool draining[WORLD_RUNNERS];
  int64_t started_ms[WORLD_RUNNERS];
  int64_t next_write_ms[WORLD_RUNNERS];
  /* The latest process that the instance knows to leave; 0: none. */
  int64_t known_leaving[WORLD_RUNNERS];
  uint64_t watched_revision;
  bool returned; /* From a copy, which the instance has not read yet. */
  int64_t now_ms;
  uint64_t random;
};

static const char *const world_ids[WORLD_RUNNERS]
    = { "w0", "w1", "w2", "w3", "w4" };

static void
world_write (struct world *world, int i)
{
  world->store.entries[i]
      = (struct world_entry){ true, world->draining[i], world->started_ms[i],
                              ++world->store.revision, world->now_ms };
}

static void
world_delete (struct world *world, int i)
{
  world->store.entries[i].present = false;
  world->store.entries[i].revision = ++world->store.revision;
}

/* One of the runners does something. */
static void
world_act (struct world *world)
{
  int i = (int)bd_random_below (&world->random, WORLD_RUNNERS);

  switch (bd_random_below (&world->random, 6))
    {
    case 0:
      world->draining[i] = true;
      if (world->alive[i])
        world_write (world, i);
      break;
    case 1:
      if (world->alive[i] && world->draining[i])
        world_delete (world, i);
      world->alive[i] = world->alive[i] && !world->draining[i];
      break;
    case 2:
      world->alive[i] = false; /* Crashes, and is silent. */
      break;
    default:
      if (world->alive[i])
        break;
      world->alive[i] = true;
      world->draining[i] = false;
      world->started_ms[i] = world->now_ms;
      world_write (world, i);
      break;
    }
}

static void
world_heartbeats (struct world *world)
{
  for (int i = 0; i < WORLD_RUNNERS; i++)
    {
      struct world_entry *entry = &world->store.entries[i];
      bool same = entry->present && entry->draining == world->draining[i]
                  && entry->started_ms == world->started_ms[i];

      if (world->alive[i] && world->now_ms >= world->next_write_ms[i])
        {
          world->next_write_ms[i]
              = world->now_ms
                + bd_random_below (&world->random, WORLD_HEARTBEAT_MS);
          entry->written_ms = world->now_ms;
          if (!same)
            world_write (world, i);
        }
      if (!world->alive[i] && entry->present
          && world->now_ms - entry->written_ms > WORLD_EXPIRY_MS)
        world_delete (world, i);
    }
}

/* The store keeps a copy, or comes back from the last one. */
static void
world_copies (struct world *world)
{
  uint32_t which = bd_random_below (&world->random, 40);

  if (which < 3)
    world->copy = world->store;
  if (which != 39)
    return;
  world->store = world->copy;
  for (int i = 0; i < WORLD_RUNNERS; i++)
    world->store.entries[i].written_ms = world->now_ms;
  world->returned = true;
}

static void
world_apply (struct world *world, int i)
{
  const struct world_entry *entry = &world->store.entries[i];

  if (entry->present)
    put_ready (world->targets, world->now_ms, world_ids[i], entry->started_ms,
               entry->revision, entry->draining);
  else if (entry->revision > 0)
    bd_targets_remove (world->targets, world->now_ms,
                       bd_chunk_of (world_ids[i]), entry->revision);
}

/* Notes the processes that the instance takes for leaving or gone now; one
   whose entry lapses may still come back. */
static void
world_note_leaving (struct world *world)
{
  for (int i = 0; i < WORLD_RUNNERS; i++)
    {
      const struct world_entry *entry = &world->store.entries[i];

      if (entry->revision > 0 && (!entry->present || entry->draining)
          && !usable (world->targets, world_ids[i]))
        world->known_leaving[i]
            = MAX (world->known_leaving[i], entry->started_ms);
    }
}

/* The instance reads the store: by its watch, or whole after a return. */
static void
world_read (struct world *world)
{
  if (world->returned)
    {
      bd_targets_begin_era (world->targets, world->now_ms,
                            world->store.revision);
      bd_targets_list_begin (world->targets);
      for (int i = 0; i < WORLD_RUNNERS; i++)
        if (world->store.entries[i].present)
          world_apply (world, i);
      bd_targets_list_end (world->targets, world->now_ms,
                           world->store.revision);
    }
  else
    for (uint64_t r = world->watched_revision + 1; r <= world->store.revision;
         r++)
      for (int i = 0; i < WORLD_RUNNERS; i++)
        if (world->store.entries[i].revision == r)
          world_apply (world, i);
  world->returned = false;
  world->watched_revision = world->store.revision;
  bd_targets_tick (world->targets, world->now_ms);
  world_note_leaving (world);
}

/* No process is used that was known to leave, whatever a copy says. */
static void
world_check (const struct world *world, uint64_t seed)
{
  for (int i = 0; i < WORLD_RUNNERS; i++)
    {
      const struct bd_target *target
          = bd_targets_find (world->targets, bd_chunk_of (world_ids[i]));

      if (target && bd_target_usable (target)
          && target->started_ms <= world->known_leaving[i])
        g_error ("seed %" G_GUINT64_FORMAT ": %s is used at %" G_GINT64_FORMAT
                 ", its process has left",
                 seed, world_ids[i], world->now_ms);
    }
}

/* When nothing happens any more, exactly the living runners are used. */
static void
world_settle (struct world *world, uint64_t seed)
{
  for (int step = 0; step < 200; step++)
    {
      world->now_ms += WORLD_STEP_MS;
      world_heartbeats (world);
      world_read (world);
    }
  for (int i = 0; i < WORLD_RUNNERS; i++)
    if (usable (world->targets, world_ids[i])
        != (world->alive[i] && !world->draining[i]))
      g_error ("seed %" G_GUINT64_FORMAT ": %s is%s used in the end", seed,
               world_ids[i],
               usable (world->targets, world_ids[i]) ? "" : " not");
}

static void
test_return_search (void)
{
  for (uint64_t seed = 1; seed <= 400; seed++)
    {
      struct world world = { .now_ms = NOW, .random = seed };

      world.targets = bd_targets_create ();
      for (int step = 0; step < WORLD_STEPS; step++)
        {
          world.now_ms += WORLD_STEP_MS;
          if (bd_random_below (&world.random, 4) == 0)
            world_act (&world);
          world_heartbeats (&world);
          world_copies (&world);
          if (bd_random_below (&world.random, 3) > 0)
            world_read (&world);
          world_check (&world, seed);
        }
      world_settle (&world, seed);
      bd_targets_destroy (world.targets);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/target/leaving", test_leaving);
  g_test_add_func ("/target/in-flight", test_kept_while_in_flight);
  g_test_add_func ("/target/outage", test_outage);
  g_test_add_func ("/target/short-outages", test_short_outages);
  g_test_add_func ("/target/most-deleted", test_most_deleted);
  g_test_add_func ("/target/outage-search", test_outage_search);
  g_test_add_func ("/target/drain-then-outage", test_drain_then_outage);
  g_test_add_func ("/target/list", test_list);
  g_test_add_func ("/target/restart", test_restart);
  g_test_add_func ("/target/leaving-by-response", test_leaving_by_response);
  g_test_add_func ("/target/leaving-of-old-process",
                   test_leaving_of_old_process);
  g_test_add_func ("/target/leaving-list-is-late", test_leaving_list_is_late);
  g_test_add_func ("/target/leaving-after-restart-is-listed",
                   test_leaving_after_restart_is_listed);
  g_test_add_func ("/target/leaving-by-mistake", test_leaving_by_mistake);
  g_test_add_func ("/target/leaving-forgotten", test_leaving_forgotten);
  g_test_add_func ("/target/short-only", test_short_only);
  g_test_add_func ("/target/services-together", test_services_together);
  g_test_add_func ("/target/short-only-few-runners",
                   test_short_only_few_runners);
  g_test_add_func ("/target/by-hash", test_by_hash);
  g_test_add_func ("/target/copy-lacks-leaving", test_copy_lacks_leaving);
  g_test_add_func ("/target/copy-lacks-start", test_copy_lacks_start);
  g_test_add_func ("/target/return-search", test_return_search);
  return g_test_run ();
}
