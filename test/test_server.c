/* The server of callers' connections, without connections. */
#include "http/server.h"
#include "http/socket.h"
#include "support_port.h"

#include <glib.h>

static const struct bd_server_handler handler = { 0 };

/* The second server at an address leaves nothing behind in the event loop,
   which serves the first one on. */
static void
test_address_in_use (void)
{
  char text[SUPPORT_ADDRESS_BYTES];
  struct sockaddr_in address;
  struct bd_server *first;
  struct bd_server *second = NULL;
  uv_loop_t loop;

  support_free_address (text);
  g_assert_cmpint (bd_address_parse (bd_chunk_of (text), &address), ==, BD_OK);
  uv_loop_init (&loop);
  g_assert_cmpint (bd_server_create (&loop, &address, &handler, NULL, &first),
                   ==, BD_OK);
  g_assert_cmpint (bd_server_create (&loop, &address, &handler, NULL, &second),
                   ==, BD_ERR_IO);
  g_assert_null (second);
  bd_server_destroy (first);
  uv_run (&loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&loop), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/server/address-in-use", test_address_in_use);
  return g_test_run ();
}
