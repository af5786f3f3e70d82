#include "balance/former_software.h"

#include <glib.h>

#define SERVICE 7
#define NOW 100000
/* Versions whose runners end at the same time. */
#define VERSIONS 100

static void
test_lately (void)
{
  struct bd_former_software former = { 0 };

  bd_former_software_record (&former, SERVICE, 11, NOW);
  g_assert_true (bd_former_software_has_other (&former, SERVICE, 12, NOW));
  g_assert_false (bd_former_software_has_other (&former, SERVICE, 11, NOW));
  g_assert_false (
      bd_former_software_has_other (&former, SERVICE + 1, 12, NOW));
  g_assert_false (bd_former_software_has_other (&former, SERVICE, 12,
                                                NOW + BD_FORMER_SOFTWARE_MS));
  bd_former_software_clear (&former);
}

/* Guards against a table of fixed size that forgets versions. */
static void
test_many_versions (void)
{
  struct bd_former_software former = { 0 };

  for (uint64_t i = 0; i < VERSIONS; i++)
    bd_former_software_record (&former, i, 11, NOW);
  for (uint64_t i = 0; i < VERSIONS; i++)
    g_assert_true (bd_former_software_has_other (&former, i, 12, NOW));
  /* Those that ended long ago make room. */
  for (uint64_t i = 0; i < VERSIONS; i++)
    bd_former_software_record (&former, VERSIONS + i, 11,
                               NOW + BD_FORMER_SOFTWARE_MS);
  g_assert_cmpuint (former.count, ==, VERSIONS);
  bd_former_software_clear (&former);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/former-software/lately", test_lately);
  g_test_add_func ("/former-software/many-versions", test_many_versions);
  return g_test_run ();
}
