/* Asking runners which prefixes they hold. */
#include "gateway/inventory.h"

#include "common/clock.h"
#include "headers.h"
#include "support_gateway.h"

#include <string.h>

#define LIST                                                                  \
  "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n"                             \
  "{\"epoch\":1,\"next\":9,\"held\":[[\"\",\"a1\",9000,\"m\"],[\"\",\"b2\","  \
  "10,\"m\"]]}"

static uint64_t
prefix_hash (const char *id)
{
  return bd_chunk_hash (bd_chunk_of (id)) ^ bd_chunk_hash (BD_CHUNK ("m"));
}

static struct bd_inventory *
query_runners (struct support_gateway *g)
{
  struct bd_inventory_options options
      = { .client = g->client,
          .dialect = &bd_cutline_dialect,
          .targets = g->targets,
          .prefixes = bd_selector_prefixes (g->selector),
          .origins = g->origins };
  struct bd_inventory *inventory = bd_inventory_create (&options);

  bd_inventory_query (inventory, BD_CHUNK ("s"), bd_clock_boot_ms ());
  return inventory;
}

/* After all instances were killed, the prefixes that runners hold are learned
   again.  Short prefixes are not worth remembering. */
static void
test_listed (void)
{
  static const struct support_step step = { LIST, SUPPORT_KEEP };
  struct support_gateway g;
  struct bd_inventory *inventory;
  struct bd_target *target;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &step, 1);
  inventory = query_runners (&g);
  target = bd_targets_find (g.targets, BD_CHUNK ("i-0"));
  while (!bd_prefix_map_find (bd_selector_prefixes (g.selector),
                              prefix_hash ("a1"), target, bd_clock_boot_ms ()))
    support_run_once (&g);
  g_assert_true (bd_prefix_map_find (bd_selector_prefixes (g.selector),
                                     prefix_hash ("a1"), target,
                                     bd_clock_boot_ms ())
                     ->cached);
  g_assert_null (bd_prefix_map_find (bd_selector_prefixes (g.selector),
                                     prefix_hash ("b2"), target,
                                     bd_clock_boot_ms ()));
  bd_inventory_destroy (inventory);
  support_gateway_close (&g);
}

/* Runners that do not respond, respond with something else, or refuse
   connections. */
static void
test_no_answer (void)
{
  static const struct support_step invalid
      = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", SUPPORT_KEEP };
  struct support_gateway g;
  struct support_runner *runner;
  struct bd_inventory *inventory;

  support_gateway_open (&g);
  support_gateway_unreachable_runner (&g, 1);
  support_gateway_runner (&g, 2, NULL, 0);
  runner = support_gateway_runner (&g, 0, &invalid, 1);
  inventory = query_runners (&g);
  support_await_count (&g, &runner->request_count, 1);
  support_await_count (&g, &g.runners[2].request_count, 1);
  bd_inventory_tick (inventory, bd_clock_boot_ms () + 5000);
  support_await_count (&g, &g.runners[2].closed_count, 1);
  bd_inventory_destroy (inventory);
  support_gateway_close (&g);
}

/* A list that is larger than may be read, of which the part that was kept
   would still be a list.  A list that comes later, whole, is read. */
static void
test_too_large (void)
{
  char *padding = g_strnfill ((gsize)3 * 1024 * 1024, ' ');
  char *large = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Note: %.*s\r\nTransfer-Encoding: chunked\r\n\r\n"
      "b\r\n{\"epoch\":1,\r\n300000\r\n%s\r\n"
      "1c\r\n\"held\":[[\"\",\"a1\",9000,\"m\"]]}\r\n0\r\n\r\n",
      2000, padding, padding);
  struct support_step steps[]
      = { { large, SUPPORT_KEEP }, { LIST, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *runner;
  struct bd_inventory *inventory;
  struct bd_target *target;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, steps, 2);
  inventory = query_runners (&g);
  support_await_count (&g, &runner->closed_count, 1);
  g_assert_cmpint (runner->request_count, ==, 1);
  target = bd_targets_find (g.targets, BD_CHUNK ("i-0"));
  g_assert_null (bd_prefix_map_find (bd_selector_prefixes (g.selector),
                                     prefix_hash ("a1"), target,
                                     bd_clock_boot_ms ()));
  bd_inventory_query (inventory, BD_CHUNK ("s"), bd_clock_boot_ms ());
  while (!bd_prefix_map_find (bd_selector_prefixes (g.selector),
                              prefix_hash ("a1"), target, bd_clock_boot_ms ()))
    support_run_once (&g);
  bd_inventory_destroy (inventory);
  support_gateway_close (&g);
  g_free (large);
  g_free (padding);
}

/* What came of a query: nobody to ask, not all have answered, all have.  Parts
   of any length show the software version of the runner that holds them. */
static void
test_state (void)
{
  static const struct support_step step = { LIST, SUPPORT_KEEP };
  struct support_gateway g;
  struct bd_inventory *inventory;
  struct bd_chunk service = BD_CHUNK ("s");
  struct bd_stream_holder holder;

  support_gateway_open (&g);
  inventory = query_runners (&g);
  g_assert_cmpint (
      bd_inventory_state (inventory, service, bd_clock_boot_ms ()), ==,
      BD_INVENTORY_OLD);
  support_gateway_runner (&g, 0, &step, 1);
  support_gateway_set_software (&g, 0, "v1");
  bd_inventory_query (inventory, service, bd_clock_boot_ms ());
  g_assert_cmpint (
      bd_inventory_state (inventory, service, bd_clock_boot_ms ()), ==,
      BD_INVENTORY_ASKED);
  while (bd_inventory_state (inventory, service, bd_clock_boot_ms ())
         != BD_INVENTORY_KNOWN)
    support_run_once (&g);
  g_assert_true (bd_stream_origins_find_holder (g.origins, prefix_hash ("b2"),
                                                bd_clock_boot_ms (), &holder));
  g_assert_cmpuint (holder.software, ==,
                    bd_software_of (BD_CHUNK ("v1")).hash);
  g_assert_cmpint (
      bd_inventory_state (inventory, service, bd_clock_boot_ms () + 5000), ==,
      BD_INVENTORY_OLD);
  bd_inventory_destroy (inventory);
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/inventory/listed", test_listed);
  g_test_add_func ("/inventory/no-answer", test_no_answer);
  g_test_add_func ("/inventory/too-large", test_too_large);
  g_test_add_func ("/inventory/state", test_state);
  return g_test_run ();
}
