/* Calls over pooled connections. */
#include "http/client.h"
#include "support_gateway.h"

#define SMALL "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

struct result
{
  struct bd_call *call;
  bool pauses; /* Stops reading when something was read. */
  bool ended;
  bool failed;
};

static void
on_head (void *context, const struct bd_head *head)
{
  (void)context;
  (void)head;
}

static void
on_body (void *context, struct bd_chunk data)
{
  (void)context;
  (void)data;
}

static void
on_read (void *context)
{
  struct result *result = context;

  if (result->pauses)
    bd_call_pause (result->call);
}

static void
on_end (void *context)
{
  ((struct result *)context)->ended = true;
}

static void
on_fail (void *context, const struct bd_call_failure *failure)
{
  (void)failure;
  ((struct result *)context)->failed = true;
}

static const struct bd_call_handler handler = { .on_head = on_head,
                                                .on_body = on_body,
                                                .on_read = on_read,
                                                .on_end = on_end,
                                                .on_fail = on_fail };

/* Sends a request to RUNNER and runs until its call has ended. */
static void
run_call (struct support_gateway *g, const struct support_runner *runner,
          struct result *result)
{
  struct bd_call_request request
      = { .head = BD_CHUNK ("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"),
          .connect_timeout_ms = 1000,
          .idle_max_ms = 1000 };

  uv_ip4_addr ("127.0.0.1", runner->port, &request.address);
  result->call = bd_client_call (g->client, &request, &handler, result);
  g_assert_nonnull (result->call);
  while (!result->ended && !result->failed)
    support_run_once (g);
}

/* Guards against a call that never ends, since the one before on its
   connection had stopped reading when its response was complete. */
static void
test_paused_at_end (void)
{
  static const struct support_step steps[]
      = { { SMALL, SUPPORT_KEEP }, { SMALL, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *runner;
  struct result first = { .pauses = true };
  struct result second = { 0 };

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, steps, 2);
  run_call (&g, runner, &first);
  g_assert_true (first.ended);
  run_call (&g, runner, &second);
  g_assert_true (second.ended);
  g_assert_cmpint (runner->connection_count, ==, 1);
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/client/paused-at-end", test_paused_at_end);
  return g_test_run ();
}
