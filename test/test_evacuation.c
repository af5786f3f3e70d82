/* Tests of evacuated zones: order of changes, lists, and an older copy of the
   store. */
#include "balance/evacuation.h"
#include "balance/target.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 100000

static bool
usable (struct bd_targets *targets, const char *id)
{
  return bd_target_usable (support_target (targets, id));
}

/* An older change, which may arrive late, changes nothing. */
static void
test_order (void)
{
  struct bd_evacuations evacuations = { 0 };

  g_assert_true (bd_evacuations_set (&evacuations, BD_CHUNK ("a"), true, 5));
  g_assert_false (bd_evacuations_set (&evacuations, BD_CHUNK ("a"), true, 6));
  g_assert_true (bd_evacuations_set (&evacuations, BD_CHUNK ("a"), false, 8));
  g_assert_false (bd_evacuations_set (&evacuations, BD_CHUNK ("a"), true, 7));
  g_assert_false (bd_evacuations_contain (&evacuations, BD_CHUNK ("a")));
  g_assert_false (bd_evacuations_contain (&evacuations, BD_CHUNK ("b")));
  bd_evacuations_clear (&evacuations);
}

/* Any number of zones may be named; the first ones are kept. */
static void
test_bounded (void)
{
  struct bd_evacuations evacuations = { 0 };

  for (int i = 0; i < BD_EVACUATIONS_MAX * 2; i++)
    {
      char *name = g_strdup_printf ("zone-%d", i);

      g_assert_cmpint (
          bd_evacuations_set (&evacuations, bd_chunk_of (name), true, 1), ==,
          i < BD_EVACUATIONS_MAX);
      g_free (name);
    }
  g_assert_cmpuint (evacuations.count, ==, BD_EVACUATIONS_MAX);
  bd_evacuations_clear (&evacuations);
}

/* All zones are evacuated at once: no runner is used, and all are again when
   it is taken back. */
static void
test_all_zones (void)
{
  struct bd_targets *targets = bd_targets_create ();

  support_put_runners (targets, 6, 3);
  for (int i = 0; i < 3; i++)
    {
      char *name = g_strdup_printf ("z%d", i);

      bd_targets_set_evacuated (targets, bd_chunk_of (name), true, 20);
      g_free (name);
    }
  for (int i = 0; i < 6; i++)
    {
      char *id = g_strdup_printf ("r%d", i);

      g_assert_false (usable (targets, id));
      g_free (id);
    }
  bd_targets_set_evacuated (targets, BD_CHUNK ("z1"), false, 21);
  g_assert_true (usable (targets, "r1"));
  g_assert_true (usable (targets, "r4"));
  g_assert_false (usable (targets, "r0"));
  bd_targets_destroy (targets);
}

/* The store returns from a copy made before the evacuation: that holds until
   the operator has had time to write it again. */
static void
test_copy_lacks_evacuation (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("r0", "z0");

  support_put_runners (targets, 1, 1);
  bd_targets_set_evacuated (targets, BD_CHUNK ("z0"), true, 30);
  bd_targets_begin_era (targets, NOW, 20);
  bd_targets_list_begin (targets);
  bd_targets_put (targets, NOW, &entry, 1);
  bd_targets_list_end (targets, NOW, 20);
  bd_targets_tick (targets, NOW + BD_TARGET_DISTRUST_MS - 1);
  g_assert_false (usable (targets, "r0"));
  bd_targets_set_evacuated (targets, BD_CHUNK ("z0"), true, 21);
  bd_targets_tick (targets, NOW + BD_TARGET_DISTRUST_MS);
  g_assert_false (usable (targets, "r0"));
  bd_targets_set_evacuated (targets, BD_CHUNK ("z0"), false, 22);
  g_assert_true (usable (targets, "r0"));
  bd_targets_destroy (targets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/evacuation/order", test_order);
  g_test_add_func ("/evacuation/bounded", test_bounded);
  g_test_add_func ("/evacuation/all-zones", test_all_zones);
  g_test_add_func ("/evacuation/copy-lacks-evacuation",
                   test_copy_lacks_evacuation);
  return g_test_run ();
}
