/* Tests of routes, services and workspaces. */
#include "balance/routing.h"

#include <glib.h>

static void
add_route (struct bd_routing *routing, const char *name, const char *host,
           const char *prefix, int priority)
{
  struct bd_split splits[]
      = { { BD_CHUNK ("old"), 90 }, { BD_CHUNK ("new"), 10 } };
  struct bd_route route = { .name = bd_chunk_of (name),
                            .host = bd_chunk_of (host),
                            .prefix = bd_chunk_of (prefix),
                            .priority = priority,
                            .split_count = 2,
                            .splits = splits };

  g_assert_cmpint (bd_routing_add_route (routing, &route), ==, BD_OK);
}

static const char *
found (struct bd_routing *routing, const char *host, const char *path)
{
  const struct bd_route *route
      = bd_routing_find (routing, bd_chunk_of (host), bd_chunk_of (path));

  return route ? route->name.data : "none";
}

static void
test_find (void)
{
  struct bd_routing *routing = bd_routing_create (7);

  add_route (routing, "a", "one.example", "/a/", 0);
  add_route (routing, "ab", "one.example", "/a/b/", 0);
  add_route (routing, "other", "two.example", "/a/", 0);
  g_assert_cmpstr (found (routing, "one.example", "/a/x"), ==, "a");
  g_assert_cmpstr (found (routing, "one.example", "/a/b/x"), ==, "ab");
  g_assert_cmpstr (found (routing, "one.example", "/a/b"), ==, "a");
  g_assert_cmpstr (found (routing, "ONE.example:80", "/a/"), ==, "a");
  g_assert_cmpstr (found (routing, "two.example", "/a/b/"), ==, "other");
  g_assert_cmpstr (found (routing, "two.example", "/b/"), ==, "none");
  g_assert_cmpstr (found (routing, "three.example", "/a/"), ==, "none");
  g_assert_cmpuint (bd_routing_version (routing), ==, 7);
  bd_routing_unref (routing);
}

static void
test_split (void)
{
  struct bd_routing *routing = bd_routing_create (1);
  const struct bd_route *route;
  int to_new = 0;

  add_route (routing, "a", "h", "/a/", 0);
  route = bd_routing_find (routing, BD_CHUNK ("h"), BD_CHUNK ("/a/"));
  for (uint64_t i = 0; i < 1000; i++)
    to_new += bd_chunk_equal (bd_route_service (route, i), BD_CHUNK ("new"));
  g_assert_cmpint (to_new, ==, 100);
  bd_routing_unref (routing);
}

static void
test_workspaces (void)
{
  struct bd_routing *routing = bd_routing_create (1);
  struct bd_workspace workspace = { BD_CHUNK ("w"), 1 };
  struct bd_chunk keys[] = { BD_CHUNK ("k1"), BD_CHUNK ("k2") };

  g_assert_false (bd_routing_needs_credentials (routing));
  bd_routing_add_workspace (routing, &workspace, keys, 2);
  g_assert_false (bd_routing_needs_credentials (routing));
  bd_routing_require_credentials (routing);
  g_assert_true (bd_routing_needs_credentials (routing));
  g_assert_true (bd_chunk_equal (
      bd_routing_workspace (routing, BD_CHUNK ("k2"))->name, workspace.name));
  g_assert_null (bd_routing_workspace (routing, BD_CHUNK ("k")));
  g_assert_null (bd_routing_workspace (routing, BD_CHUNK ("")));
  bd_routing_unref (routing);
}

/* The priority of a workspace ranks above that of its routes. */
static void
test_priority (void)
{
  struct bd_routing *routing = bd_routing_create (1);
  struct bd_workspace first = { BD_CHUNK ("w0"), 0 };
  struct bd_workspace second = { BD_CHUNK ("w1"), 1 };
  struct bd_workspace none = { BD_CHUNK ("w2"), -1 };
  const struct bd_route *urgent;
  const struct bd_route *slow;

  add_route (routing, "urgent", "h", "/u/", 0);
  add_route (routing, "slow", "h", "/s/", 2);
  bd_routing_add_workspace (routing, &first, NULL, 0);
  bd_routing_add_workspace (routing, &second, NULL, 0);
  urgent = bd_routing_find (routing, BD_CHUNK ("h"), BD_CHUNK ("/u/"));
  slow = bd_routing_find (routing, BD_CHUNK ("h"), BD_CHUNK ("/s/"));
  g_assert_cmpint (bd_request_priority (&first, slow), <,
                   bd_request_priority (&second, urgent));
  g_assert_cmpint (bd_request_priority (&second, urgent), <,
                   bd_request_priority (&second, slow));
  g_assert_cmpint (bd_request_priority (&none, slow), ==, 2);
  g_assert_cmpint (bd_request_priority (NULL, urgent), ==, 0);
  g_assert_cmpint (bd_routing_lowest_priority (routing), ==,
                   bd_request_priority (&second, slow));
  second.priority = 100;
  g_assert_cmpint (bd_request_priority (&second, slow), ==,
                   BD_PRIORITY_LOWEST);
  bd_routing_unref (routing);
}

static void
test_references (void)
{
  struct bd_routing *routing = bd_routing_create (1);
  struct bd_routing *kept = bd_routing_ref (routing);

  add_route (routing, "a", "h", "/a/", 0);
  bd_routing_unref (routing);
  g_assert_cmpstr (found (kept, "h", "/a/"), ==, "a");
  bd_routing_unref (kept);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/routing/find", test_find);
  g_test_add_func ("/routing/split", test_split);
  g_test_add_func ("/routing/workspaces", test_workspaces);
  g_test_add_func ("/routing/priority", test_priority);
  g_test_add_func ("/routing/references", test_references);
  return g_test_run ();
}
