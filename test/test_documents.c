/* Parsers of the Cutline platform's configuration and runner entries. */
#include "documents.h"

#include <arpa/inet.h>
#include <glib.h>

/* Elements of a list. */
#define MANY 300

static const char configuration_json[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/one/\","
      "\"type\":\"streaming\",\"timeoutMs\":12000,\"sloMs\":2000,"
      "\"priority\":2,\"split\":[{\"service\":\"s1\",\"weight\":90},"
      "{\"service\":\"s2\",\"weight\":10}],\"maxAttempts\":1,"
      "\"public\":false,\"resumable\":true,\"targetGapMs\":1000},"
      "{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/two/\","
      "\"type\":\"idempotent\",\"timeoutMs\":800,\"service\":\"s2\","
      "\"maxAttempts\":2,\"public\":true},"
      "{\"name\":\"r3\",\"host\":\"a.example\",\"prefix\":\"/three/\","
      "\"type\":\"unheard-of\",\"service\":\"s2\"},"
      "{\"name\":\"r4\",\"host\":\"a.example\",\"prefix\":\"/four/\","
      "\"type\":\"idempotent\"}],"
      "\"services\":[{\"name\":\"s1\",\"maxConns\":370,"
      "\"engine\":{\"slots\":64}},{\"name\":\"s2\",\"maxConns\":110}],"
      "\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
      "\"headerTimeoutMs\":300,\"idleTimeoutMs\":400},"
      "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\",\"k2\"],"
      "\"priority\":1}],\"unknown\":{}}";

static const struct bd_route *
find_route (struct bd_routing *routing, const char *path)
{
  return bd_routing_find (routing, BD_CHUNK ("a.example"), bd_chunk_of (path));
}

static void
test_configuration (void)
{
  struct bd_routing *routing;
  struct bd_caller_limits limits;
  const struct bd_route *route;

  g_assert_cmpint (bd_cutline_parse_configuration (
                       BD_CHUNK (configuration_json), &routing, &limits),
                   ==, BD_OK);
  g_assert_cmpuint (bd_routing_version (routing), ==, 7);
  route = find_route (routing, "/one/x");
  g_assert_cmpint (route->retry_class, ==, BD_RETRY_STREAM);
  g_assert_true (route->resumable);
  g_assert_cmpuint (route->split_count, ==, 2);
  g_assert_cmpint (route->timeout_ms, ==, 12000);
  g_assert_cmpint (route->objective_ms, ==, 2000);
  g_assert_cmpint (route->gap_max_ms, ==, 1000);
  route = find_route (routing, "/two/x");
  g_assert_cmpint (route->retry_class, ==, BD_RETRY_IDEMPOTENT);
  g_assert_true (route->is_public);
  g_assert_cmpuint (route->attempts_max, ==, 2);
  /* An invalid route is left out; the other routes stay. */
  g_assert_null (find_route (routing, "/three/"));
  g_assert_null (find_route (routing, "/four/"));
  g_assert_true (bd_routing_service (routing, BD_CHUNK ("s1"))->is_engine);
  g_assert_false (bd_routing_service (routing, BD_CHUNK ("s2"))->is_engine);
  g_assert_cmpint (bd_routing_workspace (routing, BD_CHUNK ("k2"))->priority,
                   ==, 1);
  g_assert_cmpuint (limits.head_max_bytes, ==, 100);
  g_assert_cmpuint (limits.body_max_bytes, ==, 200);
  g_assert_cmpint (limits.head_timeout_ms, ==, 300);
  g_assert_cmpint (limits.idle_timeout_ms, ==, 400);
  bd_routing_unref (routing);
}

static void
test_configuration_rejected (void)
{
  static const char *const documents[] = { "",
                                           "{",
                                           "[]",
                                           "{\"routes\":[]}",
                                           "{\"version\":\"7\",\"routes\":[]}",
                                           "{\"version\":7}",
                                           "{\"version\":7,\"routes\":{}}" };
  struct bd_routing *routing;
  struct bd_caller_limits limits;

  for (size_t i = 0; i < G_N_ELEMENTS (documents); i++)
    g_assert_cmpint (bd_cutline_parse_configuration (
                         bd_chunk_of (documents[i]), &routing, &limits),
                     ==, BD_ERR_INVALID);
}

static int
read_runner (const char *text, struct bd_target_entry *entry,
             const char **reason)
{
  static json_t *root;

  json_decref (root);
  root = json_loads (text, 0, NULL);
  return bd_cutline_parse_runner (root, BD_CHUNK ("i-1"), entry, reason);
}

static void
test_runner (void)
{
  struct bd_target_entry entry;
  const char *reason;

  g_assert_cmpint (
      read_runner ("{\"service\":\"s\",\"address\":\"10.1.2.3:8080\","
                   "\"zone\":\"z\",\"slots\":64,\"state\":\"draining\","
                   "\"coldRemainingMs\":70,\"born\":1788000000000,"
                   "\"version\":\"v1.1\",\"sequence\":4,\"extra\":[]}",
                   &entry, &reason),
      ==, BD_OK);
  g_assert_true (entry.draining);
  g_assert_cmpuint (ntohl (entry.ip), ==, 0x0a010203);
  g_assert_cmpuint (ntohs (entry.port), ==, 8080);
  g_assert_cmpuint (entry.slots, ==, 64);
  g_assert_cmpint (entry.warmup_left_ms, ==, 70);
  g_assert_cmpint (entry.started_ms, ==, G_GINT64_CONSTANT (1788000000000));
  g_assert_cmpstr (bd_software_name (&entry.software), ==, "\"v1.1\"");
}

#define VERSIONED_ENTRY(service, address, zone, slots, state, version)        \
  "{\"service\":" service ",\"address\":" address ",\"zone\":" zone           \
  ",\"slots\":" slots ",\"state\":" state version "}"
#define RUNNER_ENTRY(service, address, zone, slots, state)                    \
  VERSIONED_ENTRY (service, address, zone, slots, state, ",\"version\":\"v1\"")
#define SOUND_ENTRY(version)                                                  \
  VERSIONED_ENTRY ("\"s\"", "\"1.2.3.4:5\"", "\"z\"", "1", "\"ready\"",       \
                   version)

/* Without its software version it is not known which streams a runner may go
   on with.  A very long version is one all the same. */
static void
test_runner_version (void)
{
  char *long_version = g_strnfill (10240, 'x');
  char *text
      = g_strdup_printf (SOUND_ENTRY (",\"version\":\"%s\""), long_version);
  static const char *const bad[]
      = { SOUND_ENTRY (""), SOUND_ENTRY (",\"version\":1"),
          SOUND_ENTRY (",\"version\":\"\""), SOUND_ENTRY (",\"version\":[]") };
  struct bd_target_entry entry;
  const char *reason;

  g_assert_cmpint (read_runner (text, &entry, &reason), ==, BD_OK);
  g_assert_cmpuint (entry.software.hash, >, BD_SOFTWARE_UNCERTAIN);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_assert_cmpint (read_runner (bad[i], &entry, &reason), ==,
                       BD_ERR_INVALID);
      g_assert_cmpstr (reason, ==, "version");
    }
  g_free (text);
  g_free (long_version);
}

/* Entries in another format, as another program may write them under the
   runners' keys, are rejected with the name of the bad member. */
static void
test_runner_rejected (void)
{
  static const struct
  {
    const char *text;
    const char *reason;
  } cases[] = {
    { "{}", "service" },
    { "[1]", "service" },
    { RUNNER_ENTRY ("4", "\"1.2.3.4:5\"", "\"z\"", "1", "\"ready\""),
      "service" },
    { RUNNER_ENTRY ("\"s\"", "\"1.2.3.4:5\"", "null", "1", "\"ready\""),
      "zone" },
    { RUNNER_ENTRY ("\"s\"", "\"nowhere\"", "\"z\"", "1", "\"ready\""),
      "address" },
    { RUNNER_ENTRY ("\"s\"", "\"1.2.3.4:99999\"", "\"z\"", "1", "\"ready\""),
      "address" },
    { RUNNER_ENTRY ("\"s\"", "7", "\"z\"", "1", "\"ready\""), "address" },
    { RUNNER_ENTRY ("\"s\"", "\"1.2.3.4:5\"", "\"z\"", "1", "\"asleep\""),
      "state" },
    { RUNNER_ENTRY ("\"s\"", "\"1.2.3.4:5\"", "\"z\"", "1", "true"), "state" },
    { RUNNER_ENTRY ("\"s\"", "\"1.2.3.4:5\"", "\"z\"", "\"1\"", "\"ready\""),
      "slots" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct bd_target_entry entry;
      const char *reason;

      g_assert_cmpint (read_runner (cases[i].text, &entry, &reason), ==,
                       BD_ERR_INVALID);
      g_assert_cmpstr (reason, ==, cases[i].reason);
    }
}

/* Guards against keys of a workspace and services of a route that are dropped
   because a table has no room for them: as many as the document names. */
static void
test_many_elements (void)
{
  GString *document = g_string_new (
      "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
      "\"prefix\":\"/r/\",\"type\":\"idempotent\",\"split\":[");
  struct bd_caller_limits limits;
  struct bd_routing *routing;
  char *last_key = g_strdup_printf ("k%d", MANY - 1);
  char *last_service = g_strdup_printf ("s%d", MANY - 1);

  for (int i = 0; i < MANY; i++)
    g_string_append_printf (document, "%s{\"service\":\"s%d\",\"weight\":1}",
                            i > 0 ? "," : "", i);
  g_string_append (document, "]}],\"tenants\":[{\"name\":\"t\",\"apiKeys\":[");
  for (int i = 0; i < MANY; i++)
    g_string_append_printf (document, "%s\"k%d\"", i > 0 ? "," : "", i);
  g_string_append (document, "]}]}");
  g_assert_cmpint (bd_cutline_parse_configuration (bd_chunk_of (document->str),
                                                   &routing, &limits),
                   ==, BD_OK);
  g_assert_nonnull (bd_routing_workspace (routing, BD_CHUNK ("k0")));
  g_assert_nonnull (bd_routing_workspace (routing, bd_chunk_of (last_key)));
  g_assert_true (bd_chunk_equal (
      bd_route_service (find_route (routing, "/r/x"), MANY - 1),
      bd_chunk_of (last_service)));
  bd_routing_unref (routing);
  g_string_free (document, TRUE);
  g_free (last_key);
  g_free (last_service);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/documents/configuration", test_configuration);
  g_test_add_func ("/documents/configuration-rejected",
                   test_configuration_rejected);
  g_test_add_func ("/documents/many-elements", test_many_elements);
  g_test_add_func ("/documents/runner", test_runner);
  g_test_add_func ("/documents/runner-rejected", test_runner_rejected);
  g_test_add_func ("/documents/runner-version", test_runner_version);
  return g_test_run ();
}
