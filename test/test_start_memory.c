/* The daemons start while one allocation fails, each in turn. */
#include "common/settings.h"
#include "entry/entry.h"
#include "sidecar/sidecar.h"
#include "support_memory.h"
#include "support_port.h"

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>

#define ALLOCATIONS_MAX 2000

static void
read_settings (const char *role, struct bd_settings *settings)
{
  static char http[SUPPORT_ADDRESS_BYTES];
  static char peer[SUPPORT_ADDRESS_BYTES];
  static char admin[SUPPORT_ADDRESS_BYTES];
  bool is_entry = g_str_equal (role, "entry");
  const char *argv[] = { "basildockd",
                         "--role",
                         role,
                         "--instance",
                         "i",
                         "--zone",
                         "z",
                         "--peer-address",
                         peer,
                         "--admin-address",
                         admin,
                         "--platform-url",
                         "http://127.0.0.1:9",
                         is_entry ? "--http-address" : "--engine-url",
                         is_entry ? http : "http://127.0.0.1:9",
                         is_entry ? "--max-streams" : "--pool",
                         is_entry ? "8" : "p" };

  support_free_address (http);
  support_free_address (peer);
  support_free_address (admin);
  g_assert_cmpint (
      bd_settings_read (G_N_ELEMENTS (argv), (char **)argv, settings), ==,
      BD_OK);
}

/* A daemon that does not start says why. */
static void
test_entry (void)
{
  struct bd_settings settings;
  bool failed = true;

  read_settings ("entry", &settings);
  for (int number = 1; failed; number++)
    {
      struct bd_entry *entry;
      int error = BD_OK;

      g_assert_cmpint (number, <, ALLOCATIONS_MAX);
      support_fail_allocation (number);
      entry = bd_entry_create (&settings, &error);
      failed = support_allocation_failed ();
      if (!entry && error == BD_OK)
        g_error ("allocation %d: no entry and no error", number);
      bd_entry_destroy (entry);
    }
  bd_settings_release (&settings);
}

static void
test_sidecar (void)
{
  struct bd_settings settings;
  bool failed = true;

  read_settings ("sidecar", &settings);
  for (int number = 1; failed; number++)
    {
      struct bd_sidecar *sidecar;
      int error = BD_OK;

      g_assert_cmpint (number, <, ALLOCATIONS_MAX);
      support_fail_allocation (number);
      sidecar = bd_sidecar_create (&settings, &error);
      failed = support_allocation_failed ();
      if (!sidecar && error == BD_OK)
        g_error ("allocation %d: no sidecar and no error", number);
      bd_sidecar_destroy (sidecar);
    }
  bd_settings_release (&settings);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_assert_cmpint (sodium_init (), >=, 0);
  g_test_add_func ("/start-memory/entry", test_entry);
  g_test_add_func ("/start-memory/sidecar", test_sidecar);
  return g_test_run ();
}
