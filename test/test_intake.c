/* Which connection is cut when callers hold too much. */
#include "http/intake.h"

#include <glib.h>

static struct bd_intake intake;
static struct bd_intake_entry entries[3];

static void
fill (size_t a, size_t b, size_t c)
{
  const size_t bytes[] = { a, b, c };

  intake = (struct bd_intake){ 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      entries[i] = (struct bd_intake_entry){ .active_ms = (int64_t)i };
      bd_intake_add (&intake, &entries[i]);
      bd_intake_set_bytes (&intake, &entries[i], bytes[i]);
    }
}

static void
test_bytes (void)
{
  fill (100, 5000, 8000);
  g_assert_null (bd_intake_victim (&intake));
  intake.bytes_max = 13100;
  g_assert_null (bd_intake_victim (&intake));
  intake.bytes_max = 13099;
  g_assert_true (bd_intake_victim (&intake) == &entries[1]);
  bd_intake_remove (&intake, &entries[1]);
  g_assert_cmpuint (intake.bytes, ==, 8100);
  g_assert_cmpuint (intake.count, ==, 2);
  intake.bytes_max = 8000;
  g_assert_true (bd_intake_victim (&intake) == &entries[2]);
}

static void
test_connections (void)
{
  fill (0, 0, 100);
  entries[0].answering = true;
  intake.count_max = 2;
  g_assert_true (bd_intake_victim (&intake) == &entries[1]);
  bd_intake_remove (&intake, &entries[1]);
  g_assert_null (bd_intake_victim (&intake));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/intake/bytes", test_bytes);
  g_test_add_func ("/intake/connections", test_connections);
  return g_test_run ();
}
