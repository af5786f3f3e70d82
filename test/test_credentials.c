/* Which requests need a workspace's key, by the configuration in force. */
#include "documents.h"
#include "support_gateway.h"
#include "support_responses.h"

#define ROUTE(name, more)                                                     \
  "{\"name\":\"" name "\",\"host\":\"h\",\"prefix\":\"/" name "/\","          \
  "\"type\":\"idempotent\",\"timeoutMs\":3000,\"service\":\"s\"" more "}"
#define CONFIGURATION(tenants)                                                \
  "{\"version\":1,\"routes\":[" ROUTE ("closed", "") "," ROUTE (              \
      "open", ",\"public\":true") "]" tenants "}"
#define TENANT "{\"name\":\"w\",\"apiKeys\":[\"k\"]}"

static const struct support_step answers[] = { { OK_ANSWER, SUPPORT_KEEP },
                                               { OK_ANSWER, SUPPORT_KEEP },
                                               { OK_ANSWER, SUPPORT_KEEP } };

/* Puts the configuration of DOCUMENT in force. */
static void
configure (struct support_gateway *g, const char *document)
{
  struct bd_routing *routing;
  struct bd_caller_limits limits;

  g_assert_cmpint (bd_cutline_parse_configuration (bd_chunk_of (document),
                                                   &routing, &limits),
                   ==, BD_OK);
  bd_forwarder_set_routing (g->forwarder, routing);
  bd_routing_unref (routing);
}

/* Sends a request with the credential KEY, or without one if that is NULL, and
   returns the answer's status. */
static int
status_of (struct support_gateway *g, int caller, const char *line,
           const char *key)
{
  char *field = key ? g_strdup_printf ("Authorization: Token %s\r\n", key)
                    : g_strdup ("");
  char *text = g_strdup_printf ("%s HTTP/1.1\r\nHost: h\r\n"
                                "X-Basildock-Attempt-Id: a%d\r\n%s"
                                "Content-Length: 0\r\n\r\n",
                                line, caller, field);
  struct support_caller *sent = support_caller_send (g, caller, text);

  support_await (sent, "\r\n\r\n");
  g_free (text);
  g_free (field);
  return (int)g_ascii_strtoll (sent->in->str + sizeof "HTTP/1.1", NULL, 10);
}

/* Configurations of one kind, and the status of a request with key "k", with a
   key that never was one, and without a key. */
struct credential_case
{
  const char *name;
  const char *tenants;
  int with_key;
  int with_unknown;
  int without;
};

static const struct credential_case cases[] = {
  { "tenant", ",\"tenants\":[" TENANT "]", 200, 401, 401 },
  { "last-tenant-gone", ",\"tenants\":[]", 401, 401, 401 },
  { "last-key-gone", ",\"tenants\":[{\"name\":\"w\",\"apiKeys\":[]}]", 401,
    401, 401 },
  { "no-keys", ",\"tenants\":[{\"name\":\"w\"}]", 401, 401, 401 },
  { "malformed-tenant", ",\"tenants\":[{\"apiKeys\":[\"k\"]}]", 401, 401,
    401 },
  { "malformed-list", ",\"tenants\":{}", 401, 401, 401 },
  { "null", ",\"tenants\":null", 401, 401, 401 },
  { "not-given", "", 200, 200, 200 },
};

/* Guards against routes that are open to everybody once the last workspace, or
   its last key, is taken away (review/7). */
static void
test_credential (gconstpointer data)
{
  const struct credential_case *c = data;
  char *document = g_strdup_printf (CONFIGURATION ("%s"), c->tenants);
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers, 3);
  configure (&g, CONFIGURATION (",\"tenants\":[" TENANT "]"));
  configure (&g, document);
  g_assert_cmpint (status_of (&g, 0, "POST /closed/x", "k"), ==, c->with_key);
  g_assert_cmpint (status_of (&g, 1, "POST /closed/x", "zz"), ==,
                   c->with_unknown);
  g_assert_cmpint (status_of (&g, 2, "POST /closed/x", NULL), ==, c->without);
  support_gateway_close (&g);
  g_free (document);
}

/* A public route needs no key, also without any workspace. */
static void
test_public (void)
{
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers, 3);
  configure (&g, CONFIGURATION (",\"tenants\":[]"));
  g_assert_cmpint (status_of (&g, 0, "POST /open/x", NULL), ==, 200);
  g_assert_cmpint (status_of (&g, 1, "POST /open/x", "k"), ==, 200);
  support_gateway_close (&g);
}

/* Changes in quick succession: each holds from the next request on. */
static void
test_changes (void)
{
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers, 3);
  configure (&g, CONFIGURATION (""));
  configure (&g, CONFIGURATION (",\"tenants\":[]"));
  g_assert_cmpint (status_of (&g, 0, "POST /closed/x", "k"), ==, 401);
  configure (&g, CONFIGURATION (",\"tenants\":[" TENANT "]"));
  g_assert_cmpint (status_of (&g, 1, "POST /closed/x", "k"), ==, 200);
  configure (&g, CONFIGURATION (",\"tenants\":[]"));
  g_assert_cmpint (status_of (&g, 2, "POST /closed/x", "k"), ==, 401);
  configure (&g, CONFIGURATION (""));
  g_assert_cmpint (status_of (&g, 3, "POST /closed/x", "k"), ==, 200);
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/credentials/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_credential);
      g_free (path);
    }
  g_test_add_func ("/credentials/public", test_public);
  g_test_add_func ("/credentials/changes", test_changes);
  return g_test_run ();
}
