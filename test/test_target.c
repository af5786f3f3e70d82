/* Tests of the list of runners: draining, store outages, restarts. */
#include "balance/target.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 100000

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
  bd_targets_set_store_available (targets, NOW + 60000);
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/target/leaving", test_leaving);
  g_test_add_func ("/target/in-flight", test_kept_while_in_flight);
  g_test_add_func ("/target/outage", test_outage);
  g_test_add_func ("/target/drain-then-outage", test_drain_then_outage);
  g_test_add_func ("/target/list", test_list);
  g_test_add_func ("/target/restart", test_restart);
  g_test_add_func ("/target/leaving-by-response", test_leaving_by_response);
  g_test_add_func ("/target/leaving-of-old-process",
                   test_leaving_of_old_process);
  g_test_add_func ("/target/leaving-by-mistake", test_leaving_by_mistake);
  g_test_add_func ("/target/leaving-forgotten", test_leaving_forgotten);
  g_test_add_func ("/target/short-only", test_short_only);
  g_test_add_func ("/target/services-together", test_services_together);
  g_test_add_func ("/target/short-only-few-runners",
                   test_short_only_few_runners);
  g_test_add_func ("/target/by-hash", test_by_hash);
  return g_test_run ();
}
