/* Values of JSON documents whose types are not known. */
#include "common/json.h"

#include <glib.h>

static void
test_values (void)
{
  json_t *root
      = json_loads ("{\"text\":\"ab\",\"number\":2.5,\"list\":[]}", 0, NULL);

  g_assert_true (
      bd_chunk_equal (bd_json_member_string (root, "text"), BD_CHUNK ("ab")));
  g_assert_cmpfloat (bd_json_member_number (root, "number", 1.0), ==, 2.5);
  json_decref (root);
}

/* Members that are missing or of another type read as none. */
static void
test_other_types (void)
{
  json_t *root = json_loads ("{\"text\":4,\"number\":\"2\"}", 0, NULL);

  g_assert_null (bd_json_member_string (root, "text").data);
  g_assert_null (bd_json_member_string (root, "none").data);
  g_assert_null (bd_json_member_string (NULL, "text").data);
  g_assert_cmpfloat (bd_json_member_number (root, "number", 1.0), ==, 1.0);
  g_assert_cmpfloat (bd_json_member_number (NULL, "number", 1.0), ==, 1.0);
  json_decref (root);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/json/values", test_values);
  g_test_add_func ("/json/other-types", test_other_types);
  return g_test_run ();
}
