/* Forwarding of requests, against scripted runners. */
#include "support_gateway.h"
#include "support_responses.h"

#include "common/clock.h"

#include <netinet/tcp.h>
#include <string.h>

#define FAILURE                                                               \
  "HTTP/1.1 500 Internal Server Error\r\nX-Basildock-Attempt-Id: @ID\r\n"     \
  "X-Basildock-Response-Signature: bad\r\nContent-Length: 0\r\n\r\n"

static const struct support_step answers[]
    = { { OK_ANSWER, SUPPORT_KEEP }, { OK_ANSWER, SUPPORT_KEEP } };

static struct support_caller *
call (struct support_gateway *gateway, const char *method_path)
{
  char *text = support_request (method_path, "a1", "", "");
  struct support_caller *caller = support_caller_send (gateway, 0, text);

  g_free (text);
  return caller;
}

/* Fields that only the system may set are replaced, and the credential is not
   forwarded. */
static void
test_fields (void)
{
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;
  char *text = support_request (
      "POST /once/x?q=1", "a1",
      "X-Basildock-Tenant: other\r\nX-Basildock-Kv-Hold: 1\r\n"
      "Kv-From: 10.0.0.1:1/x\r\nX-Basildock-Pin-Ms: 9\r\n"
      "X-Basildock-Request-Priority: 0\r\nX-Basildock-Target-Instance: z\r\n"
      "Connection: X-Basildock-Model, X-Drop\r\nX-Drop: 1\r\nX-Keep: 1\r\n"
      "X-Basildock-Model: m\r\nX-Basildock-Deadline-Ms: 900\r\n",
      "body");

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, answers, 2);
  caller = support_caller_send (&g, 0, text);
  support_await (caller, "\r\n\r\nok");
  assert_contains (caller->in, "X-Basildock-Response-Signature: sig");
  assert_contains (runner->received, "POST /once/x?q=1 HTTP/1.1\r\n");
  assert_contains (runner->received, "X-Basildock-Tenant: w\r\n");
  assert_contains (runner->received, "X-Basildock-Target-Instance: i-0\r\n");
  assert_contains (runner->received, "X-Basildock-Model: m\r\n");
  assert_contains (runner->received, "X-Keep: 1\r\n");
  assert_contains (runner->received, "\r\n\r\nbody");
  assert_lacks (runner->received, "other");
  assert_lacks (runner->received, "Kv-");
  assert_lacks (runner->received, "Pin-Ms");
  assert_lacks (runner->received, "X-Drop");
  assert_lacks (runner->received, "Token");
  assert_lacks (runner->received, "Instance: z");
  assert_lacks (runner->received, "Deadline-Ms: 900\r\n"
                                  "X-Basildock-Deadline-Ms");
  g_free (text);
  support_gateway_close (&g);
}

static void
test_connections_kept (void)
{
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, answers, 2);
  caller = call (&g, "GET /safe/x");
  support_await (caller, "\r\n\r\nok");
  g_string_truncate (caller->in, 0);
  call (&g, "GET /safe/y");
  support_await (caller, "\r\n\r\nok");
  g_assert_cmpint (runner->connection_count, ==, 1);
  support_gateway_close (&g);
}

/* Two requests in one write are answered one after the other. */
static void
test_pipelined (void)
{
  struct support_gateway g;
  struct support_caller *caller;
  char *one = support_request ("GET /safe/x", "a1", "", "");
  char *two = support_request ("GET /none/x", "a2", "", "");
  char *both = g_strconcat (one, two, NULL);

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers, 2);
  caller = support_caller_send (&g, 0, both);
  support_await (caller, "\r\n\r\nok");
  support_await (caller, "HTTP/1.1 404");
  g_free (one);
  g_free (two);
  g_free (both);
  support_gateway_close (&g);
}

/* Sends METHOD_PATH to one runner that plays STEP; the caller must get
   WANTED. */
static void
check_response (const char *method_path, const struct support_step *step,
                const char *wanted)
{
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, step, 1);
  caller = call (&g, method_path);
  support_await (caller, wanted);
  support_gateway_close (&g);
}

struct answer_case
{
  const char *name;
  const char *method_path;
  struct support_step step;
  const char *wanted;
};

static const struct answer_case answer_cases[] = {
  { "whole", "POST /once/x", { OK_ANSWER, SUPPORT_KEEP }, "HTTP/1.1 200 OK" },
  { "until-close",
    "POST /once/x",
    { HEAD "\r\nall of it", SUPPORT_CLOSE },
    "Content-Length: 9\r\n\r\nall of it" },
  /* Found on a day when a runner crashed within such a response, which must
     not look complete. */
  { "until-reset",
    "POST /once/x",
    { HEAD "\r\npart of", SUPPORT_RESET },
    "HTTP/1.1 502" },
  { "short",
    "POST /once/x",
    { HEAD "Content-Length: 9\r\n\r\npart", SUPPORT_CLOSE },
    "HTTP/1.1 502" },
  { "unsigned",
    "POST /once/x",
    { "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"
      "Content-Length: 2\r\n\r\nok",
      SUPPORT_KEEP },
    "HTTP/1.1 502" },
  { "not-http",
    "POST /once/x",
    { "hello\r\n\r\n", SUPPORT_KEEP },
    "HTTP/1.1 502" },
  { "other-request-first",
    "POST /once/x",
    { "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: b2\r\n"
      "X-Basildock-Response-Signature: old\r\nContent-Length: "
      "3\r\n\r\nold" OK_ANSWER,
      SUPPORT_KEEP },
    "Response-Signature: sig\r\nContent-Length: 2\r\n\r\nok" },
  { "error-passed-on",
    "POST /once/x",
    { FAILURE, SUPPORT_KEEP },
    "Response-Signature: bad" },
  { "refused", "POST /once/x", { REFUSAL, SUPPORT_KEEP }, "HTTP/1.1 503" },
  { "refusal-says-when",
    "POST /once/x",
    { REFUSAL, SUPPORT_KEEP },
    "Retry-After: 0." },
  { "reset-once", "POST /once/x", { "", SUPPORT_RESET }, "HTTP/1.1 502" },
  { "no-body-for-head",
    "HEAD /safe/x",
    { HEAD "Content-Length: 2\r\n\r\n", SUPPORT_KEEP },
    "Signature: sig" },
};

static void
test_answer (gconstpointer data)
{
  const struct answer_case *c = data;

  check_response (c->method_path, &c->step, c->wanted);
}

/* Sends METHOD_PATH where the first runner that gets it plays FIRST and the
   other one SECOND. */
static void
check_retry (const struct support_step *first,
             const struct support_step *second, const char *method_path,
             const char *wanted, int taken)
{
  struct support_gateway g;
  struct support_caller *caller;
  struct support_step steps[2][2];

  support_gateway_open (&g);
  for (int i = 0; i < 2; i++)
    support_gateway_runner (&g, i, steps[i], 2);
  for (int i = 0; i < 2; i++)
    steps[i][0] = steps[i][1] = *first;
  caller = call (&g, method_path);
  while (g.runners[0].request_count + g.runners[1].request_count == 0)
    uv_run (&g.loop, UV_RUN_ONCE);
  steps[g.runners[0].request_count ? 1 : 0][0] = *second;
  support_await (caller, wanted);
  g_assert_cmpint (g.runners[0].request_count + g.runners[1].request_count, ==,
                   taken);
  support_gateway_close (&g);
}

static void
test_retried (void)
{
  static const struct support_step refusal = { REFUSAL, SUPPORT_KEEP };
  static const struct support_step reset = { "", SUPPORT_RESET };
  static const struct support_step failure = { FAILURE, SUPPORT_KEEP };
  static const struct support_step good = { OK_ANSWER, SUPPORT_KEEP };

  check_retry (&refusal, &good, "GET /safe/x", "\r\n\r\nok", 2);
  check_retry (&reset, &good, "GET /safe/x", "\r\n\r\nok", 2);
  check_retry (&failure, &good, "GET /safe/x", "\r\n\r\nok", 2);
  check_retry (&reset, &good, "POST /once/x", "HTTP/1.1 502", 1);
}

/* A request that may have run is retried at a runner that refuses it, as it is
   full.  The caller must not be told that the request has not run, as it was
   in the soak test with seed 6. */
static void
test_refused_after_run (void)
{
  static const struct support_step refusal = { REFUSAL, SUPPORT_KEEP };
  static const struct support_step reset = { "", SUPPORT_RESET };
  static const struct support_step failure = { FAILURE, SUPPORT_KEEP };

  check_retry (&failure, &refusal, "GET /safe/x", "HTTP/1.1 502", 2);
  check_retry (&reset, &refusal, "GET /safe/x", "\"ran\":\"unknown\"", 2);
  check_retry (&reset, &refusal, "GET /safe/x", "Retry-After: 0.", 2);
}

/* A runner that cannot be connected to has not received the request. */
static void
test_unreachable (void)
{
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_unreachable_runner (&g, 0);
  runner = support_gateway_runner (&g, 1, answers, 2);
  for (int i = 0; i < 2; i++)
    {
      caller = call (&g, "POST /once/x");
      support_await (caller, "\r\n\r\nok");
      g_string_truncate (caller->in, 0);
    }
  g_assert_cmpint (runner->request_count, ==, 2);
  support_gateway_close (&g);
}

/* The entry of the first runner that a request was tried at is removed while
   the request waits at the second.  A third attempt must not use either
   entry. */
static void
test_tried_runner_forgotten (void)
{
  static const struct support_step silence = { "", SUPPORT_KEEP };
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_unreachable_runner (&g, 0);
  support_gateway_runner (&g, 1, &silence, 1);
  bd_targets_find (g.targets, bd_chunk_of (g.runners[1].id))->in_flight = 40;
  caller = call (&g, "GET /safe/x");
  support_await_count (&g, &g.runners[1].request_count, 1);
  support_gateway_unlist (&g, 0);
  support_gateway_runner (&g, 2, answers, 2);
  support_await (caller, "\r\n\r\nok");
  g_assert_cmpint (g.runners[2].request_count, ==, 1);
  support_gateway_close (&g);
}

/* Each runner that could not be connected to counted as one more first
   attempt, and so added a fifth of a retry to the budget
   (docs/incidents/BUDGET.md). */
static void
test_unreachable_not_counted (void)
{
  static const struct support_step refusal = { REFUSAL, SUPPORT_KEEP };
  static const struct bd_retry_limits limits
      = { .ratio = 1.0, .slack = 0, .window_ms = 10000 };
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  bd_retry_quota_set_limits (g.retries, &limits);
  support_gateway_unreachable_runner (&g, 0);
  for (int i = 1; i < 3; i++)
    {
      support_gateway_runner (&g, i, &refusal, 1);
      bd_targets_find (g.targets, bd_chunk_of (g.runners[i].id))->in_flight
          = 40;
    }
  caller = call (&g, "GET /safe/x");
  support_await (caller, "HTTP/1.1 503");
  g_assert_cmpint (g.runners[1].request_count + g.runners[2].request_count, ==,
                   1);
  support_gateway_close (&g);
}

/* Starts runner 0 with STEPS and an idle runner 1, lets no retry happen before
   a second request has been sent, and sends a first one to runner 0. */
static struct support_caller *
ask_without_budget (struct support_gateway *g,
                    const struct support_step steps[2])
{
  static const struct bd_retry_limits limits
      = { .ratio = 1.0, .slack = 0, .window_ms = 10000 };
  struct support_caller *caller;

  support_gateway_open (g);
  bd_retry_quota_set_limits (g->retries, &limits);
  support_gateway_runner (g, 0, steps, 2);
  support_gateway_runner (g, 1, answers, 2);
  bd_targets_find (g->targets, bd_chunk_of (g->runners[1].id))->in_flight = 40;
  caller = call (g, "GET /safe/x");
  support_await_count (g, &g->runners[0].request_count, 1);
  return caller;
}

/* The same, where runner 0 refuses the first request.  Returns when that is
   known. */
static struct support_caller *
refused_without_budget (struct support_gateway *g,
                        const struct support_step steps[2])
{
  struct support_caller *caller = ask_without_budget (g, steps);
  const struct bd_target *target
      = bd_targets_find (g->targets, bd_chunk_of (g->runners[0].id));

  while (target->in_flight > 0)
    support_run_once (g);
  return caller;
}

/* A runner refuses a request while the retry budget is used up, as it is in
   the first seconds of a process.  The request is sent to the idle runner when
   further requests have raised the budget. */
static void
test_waits_for_budget (void)
{
  static const struct support_step steps[2]
      = { { REFUSAL, SUPPORT_KEEP }, { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_caller *caller = refused_without_budget (&g, steps);
  char *text = support_request ("GET /safe/y", "a2", "", "");

  support_caller_send (&g, 1, text);
  g_free (text);
  support_await (caller, "\r\n\r\nok");
  g_assert_cmpint (g.runners[1].request_count, ==, 1);
  support_gateway_close (&g);
}

static bool
retry_was_denied (const struct support_gateway *g)
{
  struct bd_buffer text = { 0 };
  bool denied;

  bd_stats_write (g->stats, &text);
  denied = strstr (text.data, "retries_denied_total 0\n") == NULL;
  bd_buffer_clear (&text);
  return denied;
}

/* A runner stays silent, and the retry budget is used up when the attempt
   would be given up.  The request goes to the other runner when the budget has
   grown. */
static void
test_silent_without_budget (void)
{
  static const struct support_step steps[2]
      = { { "", SUPPORT_KEEP }, { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_caller *caller = ask_without_budget (&g, steps);
  char *text = support_request ("GET /safe/y", "a2", "", "");

  while (!retry_was_denied (&g))
    support_run_once (&g);
  support_caller_send (&g, 1, text);
  g_free (text);
  support_await (caller, "\r\n\r\nok");
  g_assert_cmpint (g.runners[1].request_count, ==, 1);
  support_gateway_close (&g);
}

/* The caller of a request that waits for the retry budget leaves. */
static void
test_leaves_while_budget_is_used_up (void)
{
  static const struct support_step steps[2]
      = { { REFUSAL, SUPPORT_KEEP }, { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_caller *caller = refused_without_budget (&g, steps);
  char *text = support_request ("GET /safe/y", "a2", "", "");

  support_disconnect (caller);
  support_await (support_caller_send (&g, 1, text), "\r\n\r\nok");
  g_free (text);
  g_assert_cmpint (g.runners[0].request_count + g.runners[1].request_count, ==,
                   2);
  support_gateway_close (&g);
}

/* Returns the end of an established connection in this process whose own
   address has port OWN_PORT and whose peer's has PEER_PORT, in network byte
   order; 0: any port. */
static int
connection_end (in_port_t own_port, in_port_t peer_port)
{
  struct sockaddr_in own = { 0 };
  struct sockaddr_in peer = { 0 };

  for (int fd = 3; fd < 1024; fd++)
    {
      socklen_t length = sizeof own;
      socklen_t peer_length = sizeof peer;

      if (getsockname (fd, (struct sockaddr *)&own, &length) == 0
          && length == sizeof own
          && getpeername (fd, (struct sockaddr *)&peer, &peer_length) == 0
          && (own_port == 0 || own.sin_port == own_port)
          && (peer_port == 0 || peer.sin_port == peer_port))
        return fd;
    }
  g_error ("no such connection");
}

static int
tcp_option (int fd, int option)
{
  int value = 0;
  socklen_t length = sizeof value;

  g_assert_cmpint (getsockopt (fd, IPPROTO_TCP, option, &value, &length), ==,
                   0);
  return value;
}

/* Asserts that the connection of FD outlives one keep-alive probe without an
   answer: the last one is sent before the connection counts as dead. */
static void
assert_outlives_lost_probe (int fd)
{
  gint64 last_probe_s = tcp_option (fd, TCP_KEEPIDLE)
                        + (tcp_option (fd, TCP_KEEPCNT) - INT64_C (1))
                              * tcp_option (fd, TCP_KEEPINTVL);

  g_assert_cmpint (tcp_option (fd, TCP_KEEPCNT), >=, 2);
  g_assert_cmpint (tcp_option (fd, TCP_USER_TIMEOUT), >, last_probe_s * 1000);
}

/* A caller that waits silently must not lose its connection because one
   keep-alive probe is lost. */
static void
test_caller_outlives_lost_probe (void)
{
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers, 2);
  support_await (call (&g, "GET /safe/x"), "\r\n\r\nok");
  assert_outlives_lost_probe (connection_end (g.address.sin_port, 0));
  support_gateway_close (&g);
}

/* A runner that works on a request silently must not lose it because one
   keep-alive probe is lost: the request may run once only. */
static void
test_runner_outlives_lost_probe (void)
{
  struct support_gateway g;
  struct support_runner *runner;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, answers, 2);
  support_await (call (&g, "POST /once/x"), "\r\n\r\nok");
  assert_outlives_lost_probe (
      connection_end (0, htons ((uint16_t)runner->port)));
  support_gateway_close (&g);
}

/* Bytes after a complete response belong to no request. */
static void
test_extra_bytes (void)
{
  static const struct support_step steps[]
      = { { OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, steps, 2);
  caller = call (&g, "POST /once/x");
  support_await (caller, "\r\n\r\nok");
  g_string_truncate (caller->in, 0);
  call (&g, "POST /once/y");
  support_await (caller, "\r\n\r\nok");
  g_assert_cmpint (runner->connection_count, ==, 2);
  support_gateway_close (&g);
}

/* Sends POST /once/x, which must end with STATUS, and runs the connection
   probes that follow. */
static void
call_once (struct support_gateway *g, const char *status)
{
  struct support_caller *caller = call (g, "POST /once/x");

  support_await (caller, status);
  g_string_truncate (caller->in, 0);
  for (int i = 0; i < 20; i++)
    uv_run (&g->loop, UV_RUN_NOWAIT);
}

/* A request crashes each runner that starts to run it.  After the second crash
   it is refused as not run. */
static void
test_crashing_request (void)
{
  static const struct support_step crash = { "", SUPPORT_CRASH };
  struct support_gateway g;
  struct support_runner *last;
  struct support_caller *caller;

  support_gateway_open (&g);
  for (int i = 0; i < 2; i++)
    {
      support_gateway_runner (&g, i, &crash, 1);
      call_once (&g, "HTTP/1.1 502");
      g_assert_cmpint (g.runners[i].request_count, ==, 1);
      support_gateway_unlist (&g, i);
    }
  last = support_gateway_runner (&g, 0, answers, 2);
  caller = call (&g, "POST /once/x");
  support_await (caller, "HTTP/1.1 503");
  assert_contains (caller->in, "\"request_suspended\"");
  assert_contains (caller->in, "\"ran\":\"no\"");
  g_assert_cmpint (last->request_count, ==, 0);
  support_gateway_close (&g);
}

/* A runner resets connections but does not crash.  The request that met this
   several times is not refused. */
static void
test_reset_responses (void)
{
  static const struct support_step steps[] = { { "", SUPPORT_RESET },
                                               { "", SUPPORT_RESET },
                                               { "", SUPPORT_RESET },
                                               { "", SUPPORT_RESET },
                                               { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, steps, 5);
  for (int i = 0; i < 4; i++)
    call_once (&g, "HTTP/1.1 502");
  call_once (&g, "\r\n\r\nok");
  support_gateway_close (&g);
}

static void
test_stream (void)
{
  static const struct support_step step
      = { STREAM_HEAD EVENT ("1") EVENT ("2") LAST_CHUNK, SUPPORT_KEEP };
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &step, 1);
  caller = call (&g, "POST /stream/x");
  support_await (caller, "\r\n0\r\n\r\n");
  assert_contains (caller->in, EVENT ("1") EVENT ("2"));
  support_gateway_close (&g);
}

/* A stream breaks inside an event: the partial event is not forwarded, and the
   response does not look complete. */
static void
test_stream_broken (void)
{
  static const struct support_step step
      = { STREAM_HEAD EVENT ("1") "5\r\nid: 2\r\n", SUPPORT_RESET };
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &step, 1);
  caller = call (&g, "POST /stream/x");
  support_await_end (caller);
  assert_contains (caller->in, EVENT ("1"));
  assert_lacks (caller->in, "id: 2");
  assert_lacks (caller->in, "\r\n0\r\n\r\n");
  support_gateway_close (&g);
}

/* A stream that ends inside an event is not complete either. */
static void
test_stream_ends_in_event (void)
{
  static const struct support_step step
      = { STREAM_HEAD EVENT ("1") "5\r\nid: 2\r\n" LAST_CHUNK, SUPPORT_KEEP };
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &step, 1);
  caller = call (&g, "POST /stream/x");
  support_await_end (caller);
  assert_lacks (caller->in, "\r\n0\r\n\r\n");
  support_gateway_close (&g);
}

static void
test_stream_resumed (void)
{
  static const struct support_step rest
      = { STREAM_HEAD EVENT ("2") LAST_CHUNK, SUPPORT_KEEP };
  struct support_step steps[2];
  struct support_gateway g;
  struct support_caller *caller;
  int second;

  support_gateway_open (&g);
  for (int i = 0; i < 2; i++)
    {
      steps[i]
          = (struct support_step){ STREAM_HEAD EVENT ("1"), SUPPORT_RESET };
      support_gateway_runner (&g, i, &steps[i], 1);
    }
  caller = call (&g, "POST /resume/x");
  while (g.runners[0].request_count + g.runners[1].request_count == 0)
    uv_run (&g.loop, UV_RUN_ONCE);
  second = g.runners[0].request_count ? 1 : 0;
  steps[second] = rest;
  support_await (caller, "\r\n0\r\n\r\n");
  assert_contains (caller->in, EVENT ("1") EVENT ("2"));
  assert_contains (g.runners[second].received, "Last-Event-Id: 1\r\n");
  /* The head of the response was sent once. */
  g_assert_null (strstr (caller->in->str + 10, "HTTP/1.1"));
  support_gateway_close (&g);
}

/* The caller disconnects within a stream, or before any response: the gateway
   closes the runner's connection. */
static void
test_hang_up (void)
{
  static const struct support_step step
      = { STREAM_HEAD EVENT ("1"), SUPPORT_KEEP };
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, &step, 1);
  caller = call (&g, "POST /stream/x");
  support_await (caller, "data: a");
  support_disconnect (caller);
  support_await_count (&g, &runner->closed_count, 1);
  support_gateway_close (&g);
}

static void
test_hang_up_early (void)
{
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, NULL, 0);
  caller = call (&g, "POST /once/x");
  support_await_count (&g, &runner->request_count, 1);
  support_disconnect (caller);
  support_await_count (&g, &runner->closed_count, 1);
  support_gateway_close (&g);
}

/* The final response is sent when the request's time limit is over. */
static void
test_timeout (void)
{
  struct support_gateway g;
  struct support_caller *caller;
  char *text = support_request ("POST /once/x", "a1",
                                "X-Basildock-Deadline-Ms: 150\r\n", "");
  int64_t start = bd_clock_ms ();

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, NULL, 0);
  caller = support_caller_send (&g, 0, text);
  support_await (caller, "HTTP/1.1 504");
  g_assert_cmpint (bd_clock_ms () - start, >=, 145);
  assert_lacks (caller->in, "Retry-After");
  assert_contains (caller->in, "\"ran\":\"unknown\"");
  g_free (text);
  support_gateway_close (&g);
}

static void
test_rejected_requests (void)
{
  struct support_gateway g;
  struct support_caller *caller;
  char *no_key = g_strdup ("GET /safe/x HTTP/1.1\r\nHost: h\r\n"
                           "X-Basildock-Attempt-Id: a\r\n\r\n");
  char *no_id = g_strdup ("GET /safe/x HTTP/1.1\r\nHost: h\r\n"
                          "Authorization: Token k\r\n\r\n");

  support_gateway_open (&g);
  caller = call (&g, "GET /none/x");
  support_await (caller, "HTTP/1.1 404");
  caller = support_caller_send (&g, 1, no_key);
  support_await (caller, "HTTP/1.1 401");
  caller = support_caller_send (&g, 2, no_id);
  support_await (caller, "HTTP/1.1 400");
  g_free (no_key);
  g_free (no_id);
  support_gateway_close (&g);
}

static void
test_no_runner (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  caller = call (&g, "POST /once/x");
  support_await (caller, "HTTP/1.1 503");
  assert_contains (caller->in, "\"ran\":\"no\"");
  assert_contains (caller->in, "Retry-After: ");
  support_gateway_close (&g);
}

#define LEAVING_ANSWER HEAD "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"
#define LEAVING_STREAM                                                        \
  HEAD "Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n"             \
       "Transfer-Encoding: chunked\r\n\r\n"
#define PAUSE(after)                                                          \
  "HTTP/1.1 503 Service Unavailable\r\nX-Basildock-Attempt-Id: @ID\r\n"       \
  "X-Basildock-Not-Executed: 1\r\nRetry-After: " after "\r\n"                 \
  "Content-Length: 0\r\n\r\n"

#define LIMITED_ANSWER(rate)                                                  \
  HEAD "Server-Limit: " rate "\r\nContent-Length: 2\r\n\r\nok"

/* Sends METHOD_PATH on the first caller's connection and waits for WANTED. */
static void
call_again (struct support_gateway *g, const char *method_path,
            const char *wanted)
{
  struct support_caller *caller = call (g, method_path);

  support_await (caller, wanted);
  g_string_truncate (caller->in, 0);
}

/* Makes runner I so busy that any other one is preferred. */
static void
make_busy (struct support_gateway *g, int i)
{
  bd_targets_find (g->targets, bd_chunk_of (g->runners[i].id))->in_flight = 40;
}

/* A runner announces in a response that it shuts down, and the store does not
   know yet or is unreachable.  The response is forwarded, and the idle
   connection is not reused, even if the entry is published once more. */
static void
test_leaving (void)
{
  static const struct support_step steps[]
      = { { LEAVING_ANSWER, SUPPORT_KEEP }, { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *leaving;
  struct support_runner *other;

  support_gateway_open (&g);
  leaving = support_gateway_runner (&g, 0, steps, 2);
  call_again (&g, "GET /safe/x", "\r\n\r\nok");
  call_again (&g, "GET /safe/y", "HTTP/1.1 503");
  other = support_gateway_runner (&g, 1, answers, 2);
  support_gateway_list (&g, 0, leaving->port);
  call_again (&g, "GET /safe/z", "\r\n\r\nok");
  call_again (&g, "POST /once/z", "\r\n\r\nok");
  g_assert_cmpint (leaving->request_count, ==, 1);
  g_assert_cmpint (other->request_count, ==, 2);
  support_gateway_close (&g);
}

/* A stream of a runner that shuts down continues to its end; new requests go
   to other runners. */
static void
test_leaving_stream (void)
{
  static const struct support_step steps[]
      = { { LEAVING_STREAM EVENT ("1"), SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *leaving;
  struct support_caller *caller;
  char *text = support_request ("GET /safe/x", "a2", "", "");

  support_gateway_open (&g);
  leaving = support_gateway_runner (&g, 0, steps, 2);
  caller = call (&g, "GET /stream/x");
  support_await (caller, "id: 1");
  support_gateway_runner (&g, 1, answers, 2);
  make_busy (&g, 1);
  support_await (support_caller_send (&g, 1, text), "\r\n\r\nok");
  g_assert_cmpint (leaving->request_count, ==, 1);
  g_assert_cmpint (leaving->closed_count, ==, 0);
  g_assert_false (caller->ended);
  g_free (text);
  support_gateway_close (&g);
}

/* A full runner asks for a pause.  The request is retried at the other one,
   which gets later requests as well. */
static void
test_pause (void)
{
  static const struct support_step full[]
      = { { PAUSE ("30"), SUPPORT_KEEP }, { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *runner;
  struct support_runner *other;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, full, 2);
  call_again (&g, "GET /safe/x", "HTTP/1.1 503");
  other = support_gateway_runner (&g, 1, answers, 2);
  make_busy (&g, 1);
  call_again (&g, "GET /safe/y", "\r\n\r\nok");
  call_again (&g, "POST /once/y", "\r\n\r\nok");
  g_assert_cmpint (runner->request_count, ==, 1);
  g_assert_cmpint (other->request_count, ==, 2);
  support_gateway_close (&g);
}

/* Every runner asks for a pause.  Callers are told at once that the request
   did not run, and to retry when the first pause ends. */
static void
test_pause_all (void)
{
  static const struct support_step first[]
      = { { PAUSE ("20.5"), SUPPORT_KEEP } };
  static const struct support_step second[]
      = { { PAUSE ("7"), SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *runners[2];
  struct support_caller *caller;

  support_gateway_open (&g);
  runners[0] = support_gateway_runner (&g, 0, first, 1);
  runners[1] = support_gateway_runner (&g, 1, second, 1);
  call_again (&g, "GET /safe/x", "HTTP/1.1 503");
  caller = call (&g, "POST /once/y");
  support_await (caller, "\"ran\":\"no\"");
  assert_contains (caller->in, "HTTP/1.1 503");
  assert_contains (caller->in, "Retry-After: 7.");
  g_assert_cmpint (runners[0]->request_count, ==, 1);
  g_assert_cmpint (runners[1]->request_count, ==, 1);
  support_gateway_close (&g);
}

/* A date or an invalid value in Retry-After causes no pause. */
static void
test_pause_unreadable (void)
{
  static const struct support_step steps[]
      = { { PAUSE ("Fri, 04 Dec 2026 08:00:00 GMT"), SUPPORT_KEEP },
          { PAUSE ("-3"), SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, steps, 3);
  call_again (&g, "POST /once/x", "HTTP/1.1 503");
  call_again (&g, "POST /once/y", "HTTP/1.1 503");
  call_again (&g, "POST /once/z", "\r\n\r\nok");
  support_gateway_close (&g);
}

/* A runner asks for at most one request a second, which many requests in a
   row exceed: they went on to it at the rate of before. */
static void
test_rate_limit (void)
{
  static const struct support_step limited_steps[]
      = { { LIMITED_ANSWER ("1"), SUPPORT_KEEP },
          { LIMITED_ANSWER ("1"), SUPPORT_KEEP },
          { LIMITED_ANSWER ("1"), SUPPORT_KEEP },
          { LIMITED_ANSWER ("1"), SUPPORT_KEEP } };
  static const struct support_step other_steps[]
      = { { OK_ANSWER, SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP } };
  int64_t begin_ms = bd_clock_boot_ms ();
  struct support_gateway g;
  struct support_runner *limited;
  int64_t allowed;

  support_gateway_open (&g);
  limited = support_gateway_runner (&g, 0, limited_steps, 4);
  call_again (&g, "GET /safe/x", "\r\n\r\nok");
  support_gateway_runner (&g, 1, other_steps, 4);
  make_busy (&g, 1);
  for (int i = 0; i < 3; i++)
    call_again (&g, "GET /safe/y", "\r\n\r\nok");
  allowed = 1 + (bd_clock_boot_ms () - begin_ms) / 1000;
  if (limited->request_count > allowed)
    {
      g_test_message ("%d requests, %d allowed", limited->request_count,
                      (int)allowed);
      g_test_fail ();
    }
  support_gateway_close (&g);
}

/* All runners limit their requests.  A caller is told at once that its request
   did not run, and when to return.  A response without the limit, to a request
   sent since, ends it. */
static void
test_rate_limit_all (void)
{
  static const struct support_step steps[]
      = { { LIMITED_ANSWER ("0.2"), SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP },
          { OK_ANSWER, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;
  struct bd_target *target;

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, steps, 3);
  call_again (&g, "GET /safe/x", "\r\n\r\nok");
  caller = call (&g, "POST /once/y");
  support_await (caller, "\"ran\":\"no\"");
  assert_contains (caller->in, "HTTP/1.1 503");
  assert_contains (caller->in, "Retry-After: 5.");
  g_string_truncate (caller->in, 0);
  g_assert_cmpint (runner->request_count, ==, 1);
  target = bd_targets_find (g.targets, bd_chunk_of (g.runners[0].id));
  target->limit.share_ms -= 5000;
  target->limit.heard_ms -= 5000;
  call_again (&g, "GET /safe/z", "\r\n\r\nok");
  call_again (&g, "GET /safe/z", "\r\n\r\nok");
  g_assert_cmpint (runner->request_count, ==, 3);
  support_gateway_close (&g);
}

/* The queue of every runner is longer than the request may wait. */
static void
test_overload (void)
{
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;
  size_t count;
  char *text = support_request ("POST /stream/x", "a1",
                                "X-Basildock-Prefix-Hash: aa:9000,bb:4000\r\n"
                                "X-Basildock-Token-Usage: 13000,80\r\n",
                                "");

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, answers, 1);
  bd_targets_all (g.targets, &count)[0]->peers_prefill_tokens = 1000000;
  caller = support_caller_send (&g, 0, text);
  support_await (caller, "HTTP/1.1 503");
  assert_contains (caller->in, "\"overloaded\"");
  assert_contains (caller->in, "Retry-After: ");
  g_assert_cmpint (runner->request_count, ==, 0);
  g_free (text);
  support_gateway_close (&g);
}

/* While the instance stops, requests that would outlive it are refused, those
   that end in time are served, and each response closes its connection. */
static void
test_stopping (void)
{
  struct support_gateway g;
  struct support_caller *caller;
  int64_t now = bd_clock_boot_ms ();
  char *text = support_request ("POST /once/x", "a1",
                                "X-Basildock-Deadline-Ms: 300\r\n", "");

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers, 2);
  bd_server_drain (g.server);
  bd_forwarder_stop (g.forwarder, now - 1, now + 1000);
  caller = call (&g, "POST /once/x");
  support_await_end (caller);
  assert_contains (caller->in, "HTTP/1.1 503");
  assert_contains (caller->in, "Connection: close");
  caller = support_caller_send (&g, 1, text);
  support_await_end (caller);
  assert_contains (caller->in, "\r\n\r\nok");
  assert_contains (caller->in, "Connection: close");
  g_free (text);
  support_gateway_close (&g);
}

/* An idle connection is closed, but not one on which a request has started. */
static void
test_close_idle (void)
{
  struct support_gateway g;
  struct support_caller *idle;
  struct support_caller *busy;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers, 2);
  idle = call (&g, "GET /safe/x");
  support_await (idle, "\r\n\r\nok");
  busy = support_caller_send (&g, 1, "GET /none/x HTTP/1.1\r\nHost: h\r\n");
  while (bd_server_connections (g.server) < 2)
    uv_run (&g.loop, UV_RUN_ONCE);
  uv_run (&g.loop, UV_RUN_NOWAIT);
  bd_server_close_idle (g.server);
  support_await_end (idle);
  support_caller_send (&g, 1, "X-Basildock-Attempt-Id: a\r\n\r\n");
  support_await (busy, "HTTP/1.1 404");
  support_gateway_close (&g);
}

/* A malformed request gets an error response, and the connection is closed. */
static void
test_hostile (void)
{
  static const char *const texts[] = {
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
    "Content-Length: 2\r\n\r\nab",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "zz\r\n",
    "hello\r\n\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct support_gateway g;
      struct support_runner *runner;
      struct support_caller *caller;

      support_gateway_open (&g);
      runner = support_gateway_runner (&g, 0, answers, 2);
      caller = support_caller_send (&g, 0, texts[i]);
      support_await_end (caller);
      assert_contains (caller->in, "HTTP/1.1 400");
      g_assert_cmpint (runner->request_count, ==, 0);
      support_gateway_close (&g);
    }
}

static void
test_limits (void)
{
  struct bd_caller_limits limits = { .head_max_bytes = 300,
                                     .body_max_bytes = 10,
                                     .head_timeout_ms = 50,
                                     .idle_timeout_ms = 50 };
  struct support_gateway g;
  struct support_caller *caller;
  char *long_head;
  char *filler = g_strnfill (400, 'x');

  support_gateway_open (&g);
  bd_server_set_limits (g.server, &limits);
  call (&g, "POST /once/x");
  caller = support_caller_send (&g, 1,
                                "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 11\r\n\r\n");
  support_await (caller, "HTTP/1.1 413");
  long_head = g_strdup_printf ("GET /%s HTTP/1.1\r\n", filler);
  caller = support_caller_send (&g, 2, long_head);
  support_await (caller, "HTTP/1.1 431");
  caller = support_caller_send (&g, 3, "GET /x HTTP/1.1\r\n");
  support_await (caller, "HTTP/1.1 408");
  support_await_end (&g.callers[0]);
  g_free (long_head);
  g_free (filler);
  support_gateway_close (&g);
}

/* Sends request I of those that share the part that crashes runners, and are
   alike in nothing else. */
static struct support_caller *
call_with_part (struct support_gateway *g, int i)
{
  char *path = g_strdup_printf ("POST /stream/%d", i);
  char *parts = g_strdup_printf (
      "X-Basildock-Prefix-Hash: aa:100,%s:200,c%d:30,d%d:10\r\n", "bad", i, i);
  char *body = g_strdup_printf ("body %d", i);
  char *text = support_request (path, "a1", parts, body);
  struct support_caller *caller = support_caller_send (g, i, text);

  g_free (text);
  g_free (body);
  g_free (parts);
  g_free (path);
  return caller;
}

/* How much of an answer to a request with the fatal part reaches the gateway
   before its runner crashes. */
struct crash_case
{
  const char *name;
  struct support_step step;
};

static const struct crash_case crash_cases[] = {
  { "after-head", { STREAM_HEAD, SUPPORT_CRASH } },
  { "before-head", { "", SUPPORT_CRASH } },
  { "within-event", { STREAM_HEAD "5\r\nid: 1\r\n", SUPPORT_CRASH } },
  { "after-event", { STREAM_HEAD EVENT ("1"), SUPPORT_CRASH } },
  { "after-events",
    { STREAM_HEAD EVENT ("1") EVENT ("2") EVENT ("3") "5\r\nid: 4\r\n",
      SUPPORT_CRASH } },
};

/* Waits for an answer without a stream, or for the end of a stream that breaks
   off. */
static void
await_answer (struct support_caller *caller)
{
  support_await (caller, "\r\n\r\n");
  if (strstr (caller->in->str, "text/event-stream"))
    support_await_end (caller);
}

/* Guards against a part of a prompt that crashes each runner that begins to
   answer it, in requests that are otherwise different: after five crashes no
   runner gets one, however much of the answers was read. */
static void
test_crashing_part (gconstpointer data)
{
  const struct crash_case *c = data;
  struct support_gateway g;
  struct support_caller *caller;
  struct support_runner *runner;

  support_gateway_open (&g);
  for (int i = 0; i < 5; i++)
    {
      support_gateway_runner (&g, i, &c->step, 1);
      caller = call_with_part (&g, i);
      await_answer (caller);
      support_gateway_unlist (&g, i);
    }
  runner = support_gateway_runner (&g, 5, &c->step, 1);
  caller = call_with_part (&g, 5);
  support_await (caller, "\r\n\r\n");
  if (runner->request_count > 0)
    g_test_fail ();
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/forward/fields", test_fields);
  g_test_add_func ("/forward/connections-reused", test_connections_kept);
  g_test_add_func ("/forward/pipelined", test_pipelined);
  for (size_t i = 0; i < G_N_ELEMENTS (answer_cases); i++)
    {
      char *path
          = g_strdup_printf ("/forward/answer/%s", answer_cases[i].name);

      g_test_add_data_func (path, &answer_cases[i], test_answer);
      g_free (path);
    }
  g_test_add_func ("/forward/retried", test_retried);
  g_test_add_func ("/forward/refused-after-run", test_refused_after_run);
  g_test_add_func ("/forward/unreachable", test_unreachable);
  g_test_add_func ("/forward/tried-runner-forgotten",
                   test_tried_runner_forgotten);
  g_test_add_func ("/forward/waits-for-budget", test_waits_for_budget);
  g_test_add_func ("/forward/silent-without-budget",
                   test_silent_without_budget);
  g_test_add_func ("/forward/leaves-while-budget-is-used-up",
                   test_leaves_while_budget_is_used_up);
  g_test_add_func ("/forward/unreachable-not-counted",
                   test_unreachable_not_counted);
  g_test_add_func ("/forward/caller-outlives-lost-probe",
                   test_caller_outlives_lost_probe);
  g_test_add_func ("/forward/runner-outlives-lost-probe",
                   test_runner_outlives_lost_probe);
  g_test_add_func ("/forward/extra-bytes", test_extra_bytes);
  g_test_add_func ("/forward/crashing-request", test_crashing_request);
  g_test_add_func ("/forward/reset-responses", test_reset_responses);
  g_test_add_func ("/forward/stream", test_stream);
  g_test_add_func ("/forward/stream-broken", test_stream_broken);
  g_test_add_func ("/forward/stream-ends-in-event", test_stream_ends_in_event);
  g_test_add_func ("/forward/stream-resumed", test_stream_resumed);
  g_test_add_func ("/forward/hang-up", test_hang_up);
  g_test_add_func ("/forward/hang-up-early", test_hang_up_early);
  g_test_add_func ("/forward/timeout", test_timeout);
  g_test_add_func ("/forward/rejected-requests", test_rejected_requests);
  g_test_add_func ("/forward/no-runner", test_no_runner);
  g_test_add_func ("/forward/leaving", test_leaving);
  g_test_add_func ("/forward/leaving-stream", test_leaving_stream);
  g_test_add_func ("/forward/pause", test_pause);
  g_test_add_func ("/forward/pause-all", test_pause_all);
  g_test_add_func ("/forward/pause-unreadable", test_pause_unreadable);
  g_test_add_func ("/forward/overload", test_overload);
  g_test_add_func ("/forward/stopping", test_stopping);
  g_test_add_func ("/forward/close-idle", test_close_idle);
  g_test_add_func ("/forward/hostile", test_hostile);
  g_test_add_func ("/forward/limits", test_limits);
  g_test_add_func ("/forward/rate-limit", test_rate_limit);
  g_test_add_func ("/forward/rate-limit-all", test_rate_limit_all);
  for (size_t i = 0; i < G_N_ELEMENTS (crash_cases); i++)
    {
      char *path
          = g_strdup_printf ("/forward/crashing-part/%s", crash_cases[i].name);

      g_test_add_data_func (path, &crash_cases[i], test_crashing_part);
      g_free (path);
    }
  return g_test_run ();
}
