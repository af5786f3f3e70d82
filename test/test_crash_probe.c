/* Requests that crash every runner that starts them: how the crashes are
   noticed, and how soon the request is refused. */
#include "gateway/crash.h"
#include "support_gateway.h"
#include "support_responses.h"

#include "common/clock.h"

#include <string.h>

/* Crashes under one request after which it is refused. */
#define CRASHES_MAX 2

static const struct support_step good[]
    = { { OK_ANSWER, SUPPORT_KEEP }, { OK_ANSWER, SUPPORT_KEEP } };

/* Caller I sends METHOD_PATH with the fields MORE and waits for WANTED. */
static void
call (struct support_gateway *g, int i, const char *method_path,
      const char *more, const char *wanted)
{
  char *text = support_request (method_path, "a1", more, "");
  struct support_caller *caller = support_caller_send (g, i, text);

  support_await (caller, wanted);
  g_string_truncate (caller->in, 0);
  g_free (text);
}

/* Runs until a runner's crash counts against some request. */
static void
await_strike (struct support_gateway *g)
{
  struct bd_strike strike;

  while (bd_suspects_next_gossip (g->suspects, bd_clock_boot_ms (), &strike, 1)
         == 0)
    support_run_once (g);
}

/* Checks that METHOD_PATH is refused as not run, although a runner is free. */
static void
assert_refused (struct support_gateway *g, const char *method_path)
{
  struct support_runner *last
      = support_gateway_runner (g, CRASHES_MAX, good, 2);
  char *text = support_request (method_path, "a9", "", "");
  struct support_caller *caller = support_caller_send (g, 3, text);

  support_await (caller, "\"request_suspended\"");
  g_assert_nonnull (strstr (caller->in->str, "HTTP/1.1 503"));
  g_assert_nonnull (strstr (caller->in->str, "\"ran\":\"no\""));
  g_assert_cmpint (last->request_count, ==, 0);
  g_free (text);
}

/* Crashes must be noticed on reused connections too, which most requests are
   sent on (docs/incidents/BUDGET.md). */
static void
test_reused_connections (void)
{
  static const struct support_step steps[]
      = { { OK_ANSWER, SUPPORT_KEEP }, { "", SUPPORT_CRASH } };
  struct support_gateway g;

  support_gateway_open (&g);
  for (int i = 0; i < CRASHES_MAX; i++)
    {
      support_gateway_runner (&g, i, steps, 2);
      call (&g, 0, "POST /once/other", "", "\r\n\r\nok");
      call (&g, 0, "POST /once/x", "", "HTTP/1.1 502");
      g_assert_cmpint (g.runners[i].request_count, ==, 2);
      await_strike (&g);
      support_gateway_unlist (&g, i);
    }
  assert_refused (&g, "POST /once/x");
  support_gateway_close (&g);
}

/* A crash must be noticed when the runner does not reset the connection but
   becomes silent, and the request times out (docs/incidents/BUDGET.md). */
static void
test_silence (void)
{
  static const struct support_step hang = { "", SUPPORT_HANG };
  struct support_gateway g;

  support_gateway_open (&g);
  for (int i = 0; i < CRASHES_MAX; i++)
    {
      support_gateway_runner (&g, i, &hang, 1);
      call (&g, 0, "POST /once/x", "X-Basildock-Deadline-Ms: 100\r\n",
            "HTTP/1.1 504");
      await_strike (&g);
      support_gateway_unlist (&g, i);
    }
  assert_refused (&g, "POST /once/x");
  support_gateway_close (&g);
}

/* A crash must be noticed when the runner becomes silent and the request,
   which may not be retried, is still waiting; further copies must not be sent
   then (docs/incidents/BUDGET.md). */
static void
test_silence_while_waiting (void)
{
  static const struct support_step hang = { "", SUPPORT_HANG };
  struct support_gateway g;
  char *text = support_request ("POST /once/x", "a1", "", "");

  support_gateway_open (&g);
  for (int i = 0; i < CRASHES_MAX; i++)
    {
      support_gateway_runner (&g, i, &hang, 1);
      support_caller_send (&g, i, text);
      support_await_count (&g, &g.runners[i].request_count, 1);
      support_gateway_unlist (&g, i);
      await_strike (&g);
      g_assert_cmpuint (g.callers[i].in->len, ==, 0);
    }
  g_free (text);
  assert_refused (&g, "POST /once/x");
  support_gateway_close (&g);
}

/* The runner becomes silent, and another one starts at its address before the
   list shows it.  The response of the new one is no sign of life of the first
   (docs/incidents/BUDGET.md). */
static void
test_other_at_address (void)
{
  static const struct support_step steps[]
      = { { "", SUPPORT_KEEP },
          { "HTTP/1.1 421 Misdirected Request\r\n"
            "X-Basildock-Attempt-Id: @ID\r\nContent-Length: 0\r\n\r\n",
            SUPPORT_KEEP } };
  struct support_gateway g;
  char *text = support_request ("POST /once/x", "a1",
                                "X-Basildock-Deadline-Ms: 100\r\n", "");

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, steps, 2);
  support_await (support_caller_send (&g, 0, text), "HTTP/1.1 504");
  for (int64_t start = bd_clock_boot_ms ();
       bd_clock_boot_ms () - start < BD_CRASH_PROBE_DELAY_MS;)
    support_run_once (&g);
  call (&g, 1, "POST /once/other", "", "HTTP/1.1 503");
  support_run_once (&g);
  support_run_once (&g);
  support_gateway_unlist (&g, 0);
  await_strike (&g);
  g_free (text);
  support_gateway_close (&g);
}

/* A crash must be noticed when the runner becomes silent and the caller
   disconnects before the request times out (docs/incidents/BUDGET.md). */
static void
test_silence_until_caller_leaves (void)
{
  static const struct support_step hang = { "", SUPPORT_HANG };
  struct support_gateway g;
  char *text = support_request ("POST /once/x", "a1", "", "");

  support_gateway_open (&g);
  for (int i = 0; i < CRASHES_MAX; i++)
    {
      struct support_runner *runner = support_gateway_runner (&g, i, &hang, 1);
      struct support_caller *caller = support_caller_send (&g, i, text);

      support_await_count (&g, &runner->request_count, 1);
      support_disconnect (caller);
      await_strike (&g);
      support_gateway_unlist (&g, i);
    }
  g_free (text);
  assert_refused (&g, "POST /once/x");
  support_gateway_close (&g);
}

/* The retries of one request crash a runner each; the request is refused when
   the caller sends it again (docs/incidents/BUDGET.md). */
static void
test_retries_count (void)
{
  static const struct support_step crash = { "", SUPPORT_CRASH };
  struct support_gateway g;

  support_gateway_open (&g);
  for (int i = 0; i < 2; i++)
    support_gateway_runner (&g, i, &crash, 1);
  call (&g, 0, "GET /safe/x", "", "HTTP/1.1 502");
  g_assert_cmpint (g.runners[0].request_count + g.runners[1].request_count, ==,
                   2);
  for (int i = 0; i < 2; i++)
    {
      await_strike (&g);
      support_gateway_unlist (&g, i);
    }
  assert_refused (&g, "GET /safe/x");
  support_gateway_close (&g);
}

/* An attempt crashes the last runner that the request may crash, and is not
   retried although the route allows it (docs/incidents/BUDGET.md). */
static void
test_no_retry_after_limit (void)
{
  static const struct support_step crash = { "", SUPPORT_CRASH };
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &crash, 1);
  call (&g, 0, "GET /safe/x", "", "HTTP/1.1 502");
  await_strike (&g);
  support_gateway_unlist (&g, 0);
  for (int i = 1; i < 3; i++)
    support_gateway_runner (&g, i, &crash, 1);
  call (&g, 0, "GET /safe/x", "", "HTTP/1.1 502");
  g_assert_cmpint (g.runners[1].request_count + g.runners[2].request_count, ==,
                   1);
  support_gateway_close (&g);
}

/* The request must be recognized when it is sent again with the same path and
   another query string (docs/incidents/BUDGET.md). */
static void
test_other_query (void)
{
  static const char *const paths[]
      = { "POST /once/x?n=1", "POST /once/x?n=2" };
  static const struct support_step crash = { "", SUPPORT_CRASH };
  struct support_gateway g;

  support_gateway_open (&g);
  for (int i = 0; i < CRASHES_MAX; i++)
    {
      support_gateway_runner (&g, i, &crash, 1);
      call (&g, 0, paths[i], "", "HTTP/1.1 502");
      await_strike (&g);
      support_gateway_unlist (&g, i);
    }
  assert_refused (&g, "POST /once/x?n=4");
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash-probe/reused-connections", test_reused_connections);
  g_test_add_func ("/crash-probe/silence", test_silence);
  g_test_add_func ("/crash-probe/silence-while-waiting",
                   test_silence_while_waiting);
  g_test_add_func ("/crash-probe/other-at-address", test_other_at_address);
  g_test_add_func ("/crash-probe/silence-until-caller-disconnects",
                   test_silence_until_caller_leaves);
  g_test_add_func ("/crash-probe/retries-count", test_retries_count);
  g_test_add_func ("/crash-probe/no-retry-after-limit",
                   test_no_retry_after_limit);
  g_test_add_func ("/crash-probe/other-query", test_other_query);
  return g_test_run ();
}
