/* The daemons start while one allocation fails, each in turn. */
#include "common/settings.h"
#include "entry/control.h"
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

/* A change of the configuration for which there was no memory is published
   with the next turn, not with the next change. */
static void
test_publish (void)
{
  struct bd_settings settings;
  struct bd_entry *entry;
  int error;
  bool failed = true;

  read_settings ("entry", &settings);
  entry = bd_entry_create (&settings, &error);
  g_assert_nonnull (entry);
  for (int number = 1; failed; number++)
    {
      g_assert_cmpint (number, <, ALLOCATIONS_MAX);
      entry->config_changed = true;
      support_fail_allocation (number);
      bd_control_publish (entry, 1000);
      failed = support_allocation_failed ();
      g_assert_cmpint (entry->config_changed, ==, failed);
    }
  bd_entry_destroy (entry);
  bd_settings_release (&settings);
}

static void
check_connect (struct bd_dispatch_callbacks *callbacks,
               struct bd_chunk instance, struct bd_chunk address)
{
  (void)callbacks;
  (void)instance;
  g_assert_cmpuint (address.length, >, 0);
}

static void
ignore_disconnect (struct bd_dispatch_callbacks *callbacks,
                   struct bd_chunk instance)
{
  (void)callbacks;
  (void)instance;
}

/* Returns a configuration of one workspace and one runner at ADDRESS. */
static struct bd_config_snapshot *
make_snapshot (const char *address)
{
  char *pool = g_strdup_printf (
      "{\"pool\":\"p\",\"revision\":1,\"kind\":\"model\",\"runners\":["
      "{\"instance\":\"r\",\"address\":\"%s\",\"zone\":\"z\"}]}",
      address);
  const char *const documents[][2]
      = { { "manifest", "{\"revision\":1,\"contracts\":{\"w\":1},"
                        "\"pools\":{\"p\":1},\"entries\":[]}" },
          { "contract/w",
            "{\"workspace\":\"w\",\"revision\":1,\"default_class\":\"a\","
            "\"retry_window_s\":600,\"credentials\":[],"
            "\"limits\":{\"requests_per_s\":5,\"tokens_per_s\":100,"
            "\"concurrency\":2},\"classes\":{\"a\":{\"tier\":0,"
            "\"first_token_ms\":1300,\"token_gap_ms\":30,"
            "\"deadline_ms\":10000,\"idempotent\":true,\"pool\":\"p\","
            "\"min_share_permille\":0,\"max_output_tokens\":100}}}" },
          { "pool/p", pool } };
  struct bd_config *config = bd_config_create ();
  struct bd_config_snapshot *snapshot;
  char reason[256] = "";

  for (size_t i = 0; i < G_N_ELEMENTS (documents); i++)
    bd_config_submit (config, bd_chunk_of (documents[i][0]),
                      bd_chunk_of (documents[i][1]), reason, sizeof reason);
  g_assert_cmpstr (reason, ==, "");
  snapshot = bd_config_snapshot (config);
  bd_config_destroy (config);
  g_free (pool);
  return snapshot;
}

/* Applies SNAPSHOT to a dispatcher that has applied BEFORE (may be NULL), with
   each allocation failing in turn.  A dispatcher that could apply only a part
   says so, and applies all of it the next time.  Otherwise a workspace could
   stay without its limits, or a pool without its runners. */
static void
check_dispatch (const struct bd_config_snapshot *before,
                const struct bd_config_snapshot *snapshot)
{
  struct bd_dispatch_settings settings = { .instance = BD_CHUNK ("i"),
                                           .zone = BD_CHUNK ("z"),
                                           .policy = BD_POLICY_LATE_BINDING,
                                           .subset_size = 10 };
  struct bd_dispatch_callbacks callbacks
      = { .connect = check_connect, .disconnect = ignore_disconnect };
  bool failed = true;

  for (int number = 1; failed; number++)
    {
      struct bd_dispatch *dispatch
          = bd_dispatch_create (&settings, &callbacks);
      int error;

      g_assert_cmpint (number, <, ALLOCATIONS_MAX);
      if (before)
        bd_dispatch_configure (dispatch, 1000, before);
      support_fail_allocation (number);
      error = bd_dispatch_configure (dispatch, 1000, snapshot);
      failed = support_allocation_failed ();
      g_assert_cmpint (error, ==, failed ? BD_ERR_NOMEM : BD_OK);
      g_assert_cmpint (bd_dispatch_configure (dispatch, 1000, snapshot), ==,
                       BD_OK);
      bd_dispatch_destroy (dispatch);
    }
}

static void
test_dispatch (void)
{
  struct bd_config_snapshot *first = make_snapshot ("127.0.0.1:9");
  struct bd_config_snapshot *second = make_snapshot ("127.0.0.1:10");

  check_dispatch (NULL, first);
  check_dispatch (first, second);
  bd_config_snapshot_release (first);
  bd_config_snapshot_release (second);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_assert_cmpint (sodium_init (), >=, 0);
  g_test_add_func ("/start-memory/entry", test_entry);
  g_test_add_func ("/start-memory/sidecar", test_sidecar);
  g_test_add_func ("/start-memory/publish", test_publish);
  g_test_add_func ("/start-memory/dispatch", test_dispatch);
  return g_test_run ();
}
