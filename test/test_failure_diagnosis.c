/* The cause of a failed request can be found from its identifier and the log
   lines alone: the three diagnoses of docs/OPERATIONS.md. */
#include "ctl/request_trace.h"
#include "support_capture.h"
#include "support_gateway.h"

#include <string.h>

#define RESPONSE_HEAD                                                         \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"                        \
  "X-Basildock-Response-Signature: sig\r\n"

/* Returns the log lines of request a1, in order. */
static char **
request_lines (const char *log)
{
  char **all = g_strsplit (log, "\n", -1);
  GPtrArray *own = g_ptr_array_new ();

  for (char **line = all; *line; line++)
    if (strstr (*line, "request=\"a1\""))
      g_ptr_array_add (own, g_strdup (*line));
  g_ptr_array_add (own, NULL);
  g_strfreev (all);
  return (char **)g_ptr_array_free (own, FALSE);
}

static void
assert_contains (const char *line, const char *const *expected)
{
  g_assert_nonnull (line);
  for (; *expected; expected++)
    if (!strstr (line, *expected))
      g_error ("no \"%s\" in: %s", *expected, line);
}

/* Asserts that the output of "basildockctl explain" for LOG begins with the
   lines of EXPECTED. */
static void
assert_explanation (const char *log, const char *const *expected)
{
  struct bd_request_trace *trace = bd_request_trace_create (BD_CHUNK ("a1"));
  struct bd_buffer text = { 0 };
  char **all = g_strsplit (log, "\n", -1);

  for (char **line = all; *line; line++)
    g_assert_cmpint (bd_request_trace_add (trace, bd_chunk_of (*line)), ==,
                     BD_OK);
  g_strfreev (all);
  g_assert_cmpuint (bd_request_trace_finish (trace), >, 0);
  g_assert_cmpint (bd_request_trace_explain (trace, &text), ==, BD_OK);
  all = g_strsplit (text.data, "\n", -1);
  for (size_t i = 0; expected[i]; i++)
    if (!g_str_has_prefix (all[i], expected[i]))
      g_error ("not \"%s\": %s", expected[i], text.data);
  g_strfreev (all);
  bd_buffer_clear (&text);
  bd_request_trace_destroy (trace);
}

/* Sends a request for METHOD_PATH with FIELDS to a gateway whose runner acts
   as STEP and has QUEUED prompt tokens from other instances.  Waits until the
   caller receives ANSWER or, if that is NULL, until its connection ends.
   Asserts that the request's explanation begins with EXPLANATION.  Returns the
   request's log lines. */
static char **
run_request (const char *method_path, const char *fields,
             const struct support_step *step, uint64_t queued,
             const char *answer, const char *const *explanation)
{
  struct support_gateway g;
  struct support_caller *caller;
  struct capture capture;
  char *text = support_request (method_path, "a1", fields, "");
  char *log;
  char **lines;
  size_t count;

  capture_begin (&capture, 2);
  support_gateway_open (&g);
  support_gateway_runner (&g, 0, step, 1);
  bd_targets_all (g.targets, &count)[0]->peers_prefill_tokens = queued;
  caller = support_caller_send (&g, 0, text);
  if (answer)
    support_await (caller, answer);
  else
    support_await_end (caller);
  log = capture_end (&capture);
  lines = request_lines (log);
  assert_explanation (log, explanation);
  g_free (log);
  g_free (text);
  support_gateway_close (&g);
  return lines;
}

static void
test_refused_under_overload (void)
{
  static const char *const refusal[] = { "BD2002 REQUEST_REFUSED",
                                         "code=overloaded",
                                         "wait_ms=20000",
                                         "limit_ms=",
                                         "priority=",
                                         "retry_ms=",
                                         NULL };
  static const char *const explanation[]
      = { "end: refused before it was sent: the wait expected at the best "
          "runner (wait_ms) is over what its class and urgency allow "
          "(limit_ms) (wait_ms=20000 limit_ms=",
          NULL };
  char **lines = run_request ("POST /stream/x",
                              "X-Basildock-Prefix-Hash: aa:9000,bb:4000\r\n",
                              NULL, 1000000, "HTTP/1.1 503", explanation);

  assert_contains (lines[0], refusal);
  g_assert_null (lines[1]);
  g_strfreev (lines);
}

static void
test_stream_broken (void)
{
  static const struct support_step step
      = { RESPONSE_HEAD "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "f\r\nid: 1\ndata: a\n\n\r\n",
          SUPPORT_RESET };
  static const char *const placed[]
      = { "BD2016 REQUEST_PLACED", "route=stream", "runner=i-0", NULL };
  static const char *const failed[] = { "BD2015 ATTEMPT_FAILED", "runner=i-0",
                                        "reason=reset", "events=1", NULL };
  static const char *const ended[] = { "BD2012 REQUEST_FAILED", "ran=unknown",
                                       "reached=1", "events=1", NULL };
  static const char *const explanation[]
      = { "end: failed: it may have run at a runner, and its route does not "
          "let it run twice (code=outcome_unknown ran=unknown events=1)",
          "because: an attempt failed (runner=i-0 reason=reset status=200 "
          "events=1",
          NULL };
  char **lines
      = run_request ("POST /stream/x", "", &step, 0, NULL, explanation);

  assert_contains (lines[0], placed);
  assert_contains (lines[1], failed);
  assert_contains (lines[2], ended);
  g_strfreev (lines);
}

static void
test_answer_lost (void)
{
  static const struct support_step step = { "", SUPPORT_RESET };
  static const char *const failed[] = { "BD2015 ATTEMPT_FAILED", "runner=i-0",
                                        "reason=reset", "events=0", NULL };
  static const char *const ended[]
      = { "BD2012 REQUEST_FAILED", "route=once", "code=outcome_unknown",
          "ran=unknown",           "reached=1",  NULL };
  static const char *const explanation[]
      = { "end: failed: it may have run at a runner, and its route does not "
          "let it run twice (code=outcome_unknown ran=unknown events=0)",
          "because: an attempt failed (runner=i-0 reason=reset status=0 "
          "events=0",
          NULL };
  char **lines = run_request ("POST /once/x", "", &step, 0, "HTTP/1.1 502",
                              explanation);

  assert_contains (lines[1], failed);
  assert_contains (lines[2], ended);
  g_strfreev (lines);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/failure-diagnosis/refused-under-overload",
                   test_refused_under_overload);
  g_test_add_func ("/failure-diagnosis/stream-broken", test_stream_broken);
  g_test_add_func ("/failure-diagnosis/answer-lost", test_answer_lost);
  return g_test_run ();
}
