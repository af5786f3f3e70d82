/* Fetching the configuration from a peer, over real connections. */
#include "gateway/document.h"
#include "http/server.h"
#include "http/socket.h"
#include "support_port.h"

#include <glib.h>
#include <string.h>

#define LIMIT_MS 8000
#define STORE_MS 400
#define LARGE_BYTES ((size_t)5 * 1024 * 1024)

/* A peer, and the instance that fetches from it. */
struct world
{
  uv_loop_t loop;
  uv_timer_t limit;
  bool late;
  struct bd_client *client;
  struct bd_server *peer;
  struct bd_documents *documents;
  int status;
  const char *fields;
  struct bd_chunk body;
  int asked;
  int came;
  uint64_t revision;
  GString *data;
};

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct world *w = context;

  g_assert_true (bd_chunk_equal (bd_exchange_head (exchange)->target,
                                 BD_CHUNK ("/configuration")));
  w->asked++;
  bd_exchange_reply (exchange, w->status, bd_chunk_of (w->fields), w->body);
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
on_come (void *context, struct bd_chunk data, uint64_t revision)
{
  struct world *w = context;

  w->came++;
  w->revision = revision;
  g_string_truncate (w->data, 0);
  g_string_append_len (w->data, data.data, (gssize)data.length);
}

static void
on_limit (uv_timer_t *timer)
{
  ((struct world *)timer->data)->late = true;
}

static void
open_world (struct world *w)
{
  char text[SUPPORT_ADDRESS_BYTES];
  struct sockaddr_in address;

  memset (w, 0, sizeof *w);
  w->status = 200;
  w->fields = "Basildock-Revision: 7\r\n";
  w->body = BD_CHUNK ("text");
  w->data = g_string_new (NULL);
  uv_loop_init (&w->loop);
  w->client = bd_client_create (&w->loop);
  support_free_address (text);
  bd_address_parse (bd_chunk_of (text), &address);
  g_assert_cmpint (
      bd_server_create (&w->loop, &address, &handler, w, &w->peer), ==, BD_OK);
  w->documents = bd_documents_create (w->client, &address, on_come, w);
  uv_timer_init (&w->loop, &w->limit);
  w->limit.data = w;
  uv_timer_start (&w->limit, on_limit, LIMIT_MS, 0);
}

/* Handles of the event loop stay open until the process ends, so the memory
   around them is kept in a copy that they still point into. */
static void
close_world (struct world *w)
{
  static GPtrArray *kept;

  if (!kept)
    kept = g_ptr_array_new ();
  bd_documents_destroy (w->documents);
  g_string_free (w->data, TRUE);
  g_ptr_array_add (kept, g_memdup2 (w, sizeof *w));
}

/* Announces a newer configuration of the peer at NOW_MS, and runs until it was
   fetched or could have been. */
static void
hear (struct world *w, int64_t now_ms)
{
  int before = w->asked;

  bd_documents_newer (w->documents, htonl (INADDR_LOOPBACK), now_ms);
  while (w->asked == before)
    {
      g_assert_false (w->late);
      uv_run (&w->loop, UV_RUN_ONCE);
    }
  for (int i = 0; i < 2000 && w->came == 0; i++)
    uv_run (&w->loop, UV_RUN_NOWAIT);
}

/* The store has some time to deliver the configuration first; then it is
   fetched from the peer. */
static void
test_comes (void)
{
  struct world w;

  open_world (&w);
  bd_documents_newer (w.documents, htonl (INADDR_LOOPBACK), 1000);
  uv_run (&w.loop, UV_RUN_NOWAIT);
  g_assert_cmpint (w.asked, ==, 0);
  hear (&w, 1000 + STORE_MS);
  g_assert_cmpint (w.came, ==, 1);
  g_assert_cmpuint (w.revision, ==, 7);
  g_assert_cmpstr (w.data->str, ==, "text");
  close_world (&w);
}

/* A response without a newer configuration is ignored. */
static void
test_refused (void)
{
  static const struct
  {
    int status;
    const char *fields;
  } cases[] = { { 200, "Basildock-Revision: 5\r\n" },
                { 200, "Basildock-Revision: x\r\n" },
                { 200, "A: b\r\n" },
                { 404, "Basildock-Revision: 9\r\n" } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct world w;

      open_world (&w);
      w.status = cases[i].status;
      w.fields = cases[i].fields;
      bd_documents_in_force (w.documents, 5);
      bd_documents_newer (w.documents, htonl (INADDR_LOOPBACK), 1000);
      hear (&w, 1000 + STORE_MS);
      g_assert_cmpint (w.came, ==, 0);
      close_world (&w);
    }
}

/* A response that is too large is ignored as a whole. */
static void
test_too_large (void)
{
  struct world w;
  char *large = g_malloc0 (LARGE_BYTES);

  open_world (&w);
  w.body = (struct bd_chunk){ large, LARGE_BYTES };
  bd_documents_newer (w.documents, htonl (INADDR_LOOPBACK), 1000);
  hear (&w, 1000 + STORE_MS);
  while (bd_server_connections (w.peer) > 0)
    {
      g_assert_false (w.late);
      uv_run (&w.loop, UV_RUN_ONCE);
    }
  g_assert_cmpint (w.came, ==, 0);
  g_free (large);
  close_world (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/document/comes", test_comes);
  g_test_add_func ("/document/refused", test_refused);
  g_test_add_func ("/document/too-large", test_too_large);
  return g_test_run ();
}
