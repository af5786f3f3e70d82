/* Fetching the configuration from a peer, over real connections. */
#include "gateway/peer_configuration.h"
#include "http/server.h"
#include "http/socket.h"
#include "support_port.h"

#include <glib.h>
#include <string.h>

#define LIMIT_MS 8000
#define STORE_MS 400
#define HEAD_MS 500
#define LARGE_BYTES ((size_t)5 * 1024 * 1024)

/* A peer, and the instance that fetches from it. */
struct fixture
{
  uv_loop_t loop;
  uv_timer_t limit;
  bool late;
  struct bd_client *client;
  struct bd_server *peer;
  bool peer_is_silent; /* The first peer answers nothing. */
  struct bd_peer_configuration *configuration;
  int status;
  const char *fields;
  struct bd_chunk body;
  int request_count;
  int received_count;
  uint64_t revision;
  GString *data;
};

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct fixture *f = context;

  g_assert_true (bd_chunk_equal (bd_exchange_head (exchange)->target,
                                 BD_CHUNK ("/configuration")));
  f->request_count++;
  if (f->peer_is_silent && f->request_count == 1)
    return;
  bd_exchange_reply (exchange, f->status, bd_chunk_of (f->fields), f->body);
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  (void)context;
  (void)exchange;
}

static const struct bd_server_handler handler
    = { .on_request = on_request, .on_abort = on_abort };

static void
on_received (void *context, struct bd_chunk data, uint64_t revision)
{
  struct fixture *f = context;

  f->received_count++;
  f->revision = revision;
  g_string_truncate (f->data, 0);
  g_string_append_len (f->data, data.data, (gssize)data.length);
}

static void
on_limit (uv_timer_t *timer)
{
  ((struct fixture *)timer->data)->late = true;
}

static void
open_fixture (struct fixture *f)
{
  char text[SUPPORT_ADDRESS_BYTES];
  struct sockaddr_in address;

  memset (f, 0, sizeof *f);
  f->status = 200;
  f->fields = "Basildock-Version: 7\r\nBasildock-Revision: 70\r\n";
  f->body = BD_CHUNK ("text");
  f->data = g_string_new (NULL);
  uv_loop_init (&f->loop);
  f->client = bd_client_create (&f->loop);
  support_free_address (text);
  bd_address_parse (bd_chunk_of (text), &address);
  g_assert_cmpint (
      bd_server_create (&f->loop, &address, &handler, f, &f->peer), ==, BD_OK);
  f->configuration
      = bd_peer_configuration_create (f->client, &address, on_received, f);
  uv_timer_init (&f->loop, &f->limit);
  f->limit.data = f;
  uv_timer_start (&f->limit, on_limit, LIMIT_MS, 0);
}

/* Handles of the event loop stay open until the process ends, so the memory
   around them is kept in a copy that they still point into. */
static void
close_fixture (struct fixture *f)
{
  static GPtrArray *kept;

  if (!kept)
    kept = g_ptr_array_new ();
  bd_peer_configuration_destroy (f->configuration);
  g_string_free (f->data, TRUE);
  g_ptr_array_add (kept, g_memdup2 (f, sizeof *f));
}

/* Announces a newer configuration of the peer at NOW_MS, and runs until it was
   fetched or could have been. */
static void
announce_newer (struct fixture *f, int64_t now_ms)
{
  int before = f->request_count;

  bd_peer_configuration_announced (f->configuration, htonl (INADDR_LOOPBACK),
                                   now_ms);
  while (f->request_count == before)
    {
      g_assert_false (f->late);
      uv_run (&f->loop, UV_RUN_ONCE);
    }
  for (int i = 0; i < 2000 && f->received_count == 0; i++)
    uv_run (&f->loop, UV_RUN_NOWAIT);
}

/* The store has some time to deliver the configuration first; then it is
   fetched from the peer. */
static void
test_received (void)
{
  struct fixture f;

  open_fixture (&f);
  bd_peer_configuration_announced (f.configuration, htonl (INADDR_LOOPBACK),
                                   1000);
  uv_run (&f.loop, UV_RUN_NOWAIT);
  g_assert_cmpint (f.request_count, ==, 0);
  announce_newer (&f, 1000 + STORE_MS);
  g_assert_cmpint (f.received_count, ==, 1);
  g_assert_cmpuint (f.revision, ==, 70);
  g_assert_cmpstr (f.data->str, ==, "text");
  close_fixture (&f);
}

/* A response without a newer configuration is ignored. */
static void
test_rejected (void)
{
  static const struct
  {
    int status;
    const char *fields;
  } cases[] = { { 200, "Basildock-Version: 5\r\n" },
                { 200, "Basildock-Version: x\r\n" },
                { 200, "Basildock-Version: 4\r\nBasildock-Revision: 9\r\n" },
                { 200, "Basildock-Revision: 9\r\n" },
                { 200, "A: b\r\n" },
                { 404, "Basildock-Version: 9\r\n" } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture f;

      open_fixture (&f);
      f.status = cases[i].status;
      f.fields = cases[i].fields;
      bd_peer_configuration_set_active (f.configuration, 5);
      bd_peer_configuration_announced (f.configuration,
                                       htonl (INADDR_LOOPBACK), 1000);
      announce_newer (&f, 1000 + STORE_MS);
      g_assert_cmpint (f.received_count, ==, 0);
      close_fixture (&f);
    }
}

/* A response that is too large is ignored as a whole. */
static void
test_too_large (void)
{
  struct fixture f;
  char *large = g_malloc0 (LARGE_BYTES);

  open_fixture (&f);
  f.body = (struct bd_chunk){ large, LARGE_BYTES };
  bd_peer_configuration_announced (f.configuration, htonl (INADDR_LOOPBACK),
                                   1000);
  announce_newer (&f, 1000 + STORE_MS);
  while (bd_server_connections (f.peer) > 0)
    {
      g_assert_false (f.late);
      uv_run (&f.loop, UV_RUN_ONCE);
    }
  g_assert_cmpint (f.received_count, ==, 0);
  g_free (large);
  close_fixture (&f);
}

/* Guards against an instance that keeps an old configuration because the peer
   that it asks never answers: another one is asked when it announces the
   configuration too. */
static void
test_silent_peer (void)
{
  struct fixture f;

  open_fixture (&f);
  f.peer_is_silent = true;
  bd_peer_configuration_announced (f.configuration, htonl (INADDR_LOOPBACK),
                                   1000);
  bd_peer_configuration_announced (f.configuration, htonl (INADDR_LOOPBACK),
                                   1000 + STORE_MS);
  while (f.request_count == 0)
    {
      g_assert_false (f.late);
      uv_run (&f.loop, UV_RUN_ONCE);
    }
  announce_newer (&f, 1000 + STORE_MS + HEAD_MS);
  g_assert_cmpint (f.received_count, ==, 1);
  close_fixture (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer-configuration/received", test_received);
  g_test_add_func ("/peer-configuration/rejected", test_rejected);
  g_test_add_func ("/peer-configuration/too-large", test_too_large);
  g_test_add_func ("/peer-configuration/silent-peer", test_silent_peer);
  return g_test_run ();
}
