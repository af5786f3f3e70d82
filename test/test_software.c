/* Software versions of runners: how they are compared and logged. */
#include "balance/software.h"

#include <glib.h>
#include <string.h>

static void
test_compared (void)
{
  struct bd_software none = bd_software_of ((struct bd_chunk){ NULL, 0 });
  struct bd_software one = bd_software_of (BD_CHUNK ("v1"));

  g_assert_cmpuint (none.hash, ==, BD_SOFTWARE_UNNAMED);
  g_assert_cmpstr (bd_software_name (&none), ==, "-");
  g_assert_cmpuint (one.hash, >, BD_SOFTWARE_UNCERTAIN);
  g_assert_cmpuint (one.hash, ==, bd_software_of (BD_CHUNK ("v1")).hash);
  g_assert_cmpuint (one.hash, !=, bd_software_of (BD_CHUNK ("v1.1")).hash);
  g_assert_cmpuint (one.hash, !=, bd_software_of (BD_CHUNK ("V1")).hash);
}

/* Long versions that start alike differ, and only their start is kept; control
   bytes do not reach the log. */
static void
test_hostile (void)
{
  char *text = g_strnfill (10240, 'x');
  struct bd_software one = bd_software_of (bd_chunk_of (text));
  struct bd_software other;

  text[10239] = 'y';
  other = bd_software_of (bd_chunk_of (text));
  g_assert_cmpuint (one.hash, !=, other.hash);
  g_assert_cmpuint (strlen (bd_software_name (&one)), <,
                    BD_SOFTWARE_NAME_BYTES);
  other = bd_software_of (BD_CHUNK ("v\n1"));
  g_assert_cmpstr (bd_software_name (&other), ==, "\"v\\x0a1\"");
  g_free (text);
}

/* What entries list one after the other, and whether that is a change. */
static void
test_set (void)
{
  struct bd_software software = { .hash = BD_SOFTWARE_ANY };
  struct bd_software none = { .hash = BD_SOFTWARE_ANY };
  struct bd_software one = bd_software_of (BD_CHUNK ("v1"));
  struct bd_software two = bd_software_of (BD_CHUNK ("v2"));

  g_assert_false (bd_software_set (&software, &one));
  g_assert_false (bd_software_set (&software, &one));
  g_assert_true (bd_software_set (&software, &two));
  g_assert_cmpuint (software.hash, ==, two.hash);
  g_assert_true (bd_software_set (&software, &none));
  g_assert_cmpuint (software.hash, ==, BD_SOFTWARE_UNNAMED);
  g_assert_false (bd_software_set (&software, &none));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/software/compared", test_compared);
  g_test_add_func ("/software/hostile", test_hostile);
  g_test_add_func ("/software/set", test_set);
  return g_test_run ();
}
