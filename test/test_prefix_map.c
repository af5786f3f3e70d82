/* Tests of the map from prefixes to runners. */
#include "balance/prefix_map.h"
#include "common/random.h"
#include "support_targets.h"

#include <glib.h>

static void
test_find (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_prefix_map *map = bd_prefix_map_create ();
  struct bd_target *r0;
  struct bd_target *r1;

  support_put_runners (targets, 2, 1);
  r0 = support_target (targets, "r0");
  r1 = support_target (targets, "r1");
  g_assert_true (bd_prefix_map_record_sent (map, 7, r0->hash, 1000));
  g_assert_false (bd_prefix_map_record_sent (map, 7, r0->hash, 1500));
  g_assert_nonnull (bd_prefix_map_find (map, 7, r0, 2000));
  g_assert_null (bd_prefix_map_find (map, 7, r1, 2000));
  g_assert_null (bd_prefix_map_find (map, 8, r0, 2000));
  /* A prefix that was only sent is not cached yet.  Sending it again does not
     reset that it is. */
  g_assert_false (bd_prefix_map_find (map, 7, r0, 2000)->cached);
  bd_prefix_map_record_cached (map, 7, r0->hash);
  bd_prefix_map_record_cached (map, 7, r1->hash);
  bd_prefix_map_record_sent (map, 7, r0->hash, 1600);
  g_assert_true (bd_prefix_map_find (map, 7, r0, 2000)->cached);
  /* An entry expires, and is void after a restart of the runner. */
  g_assert_null (bd_prefix_map_find (map, 7, r0, 60000));
  r0->first_seen_ms = 1700;
  g_assert_null (bd_prefix_map_find (map, 7, r0, 2000));
  bd_prefix_map_destroy (map);
  bd_targets_destroy (targets);
}

/* With more prefixes than slots, memory stays bounded and the latest entries
   are kept. */
static void
test_bounded (void)
{
  struct bd_prefix_map *map = bd_prefix_map_create ();
  struct bd_prefix_entry found[64];
  uint64_t random = 1;
  size_t cursor = 0;
  size_t total = 0;
  size_t copied;

  for (int i = 0; i < 400000; i++)
    bd_prefix_map_record_sent (map, bd_random_next (&random) | 1, 5, i / 400);
  while ((copied = bd_prefix_map_iterate (map, &cursor, 1000, found, 64)) > 0)
    total += copied;
  g_assert_cmpuint (cursor, ==, 0);
  g_assert_cmpuint (total, >, 56000);
  g_assert_cmpuint (total, <=, 65536);
  for (size_t i = 0; i < 64; i++)
    g_assert_cmpint (found[i].sent_ms, >=, 0);
  bd_prefix_map_destroy (map);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/prefix-map/find", test_find);
  g_test_add_func ("/prefix-map/bounded", test_bounded);
  return g_test_run ();
}
