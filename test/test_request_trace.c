/* Request traces: parsing, selection and order of log lines, explanations. */
#include "ctl/request_trace.h"

#include <glib.h>
#include <string.h>

/* A log line of INSTANCE at second SS and millisecond MMM. */
#define LINE(ss, mmm, instance, rest)                                         \
  "2026-01-02T03:04:" ss "." mmm "Z " instance " p[1]: " rest "\n"
#define PLACED(runner)                                                        \
  "BD2016 REQUEST_PLACED request placed request=\"r\" runner=" runner         \
  " cost_ms=7 ahead=900 left_ms=800"
#define DONE "BD2001 REQUEST_DONE request answered whole request=\"r\" ms=9"

static struct bd_request_trace *
read_story (const char *text)
{
  struct bd_request_trace *trace = bd_request_trace_create (BD_CHUNK ("r"));
  FILE *file = fmemopen ((char *)text, strlen (text), "r");

  g_assert_cmpint (bd_request_trace_read (trace, file), ==, BD_OK);
  fclose (file);
  return trace;
}

static void
assert_explanation (const char *text, const char *expected)
{
  struct bd_request_trace *trace = read_story (text);
  struct bd_buffer out = { 0 };

  g_assert_cmpuint (bd_request_trace_finish (trace), >, 0);
  g_assert_cmpint (bd_request_trace_explain (trace, &out), ==, BD_OK);
  if (!g_str_has_prefix (out.data, expected))
    g_error ("not \"%s\": %s", expected, out.data);
  bd_buffer_clear (&out);
  bd_request_trace_destroy (trace);
}

static void
test_parse (void)
{
  static const char text[]
      = "  -9.98 edge " LINE ("05", "006", "i-A",
                              "BD2003 REQUEST_RETRY request placed again a=1 "
                              "b=\"x \\\" y=3\" c= d=e=f");
  struct bd_request_trace_line line;

  g_assert_cmpint (bd_request_trace_parse (
                       (struct bd_chunk){ text, strlen (text) - 1 }, &line),
                   ==, BD_OK);
  g_assert_cmpint (line.event_number, ==, 2003);
  g_assert_cmpint (line.logged_ms % 60000, ==, 5006);
  g_assert_true (bd_chunk_equal (line.instance, BD_CHUNK ("i-A")));
  g_assert_true (bd_chunk_equal (line.event_name, BD_CHUNK ("REQUEST_RETRY")));
  g_assert_true (
      bd_chunk_equal (bd_request_trace_field (&line, "a"), BD_CHUNK ("1")));
  g_assert_true (bd_chunk_equal (bd_request_trace_field (&line, "b"),
                                 BD_CHUNK ("x \\\" y=3")));
  g_assert_cmpuint (bd_request_trace_field (&line, "c").length, ==, 0);
  g_assert_true (
      bd_chunk_equal (bd_request_trace_field (&line, "d"), BD_CHUNK ("e=f")));
  g_assert_cmpuint (bd_request_trace_field (&line, "y").length, ==, 0);
}

static void
test_malformed (void)
{
  static const char *const bad[]
      = { "",
          "2026-01-02T03:04:05.006",
          "2026-01-02T03:04:05.006Z",
          "2026-01-02T03:04:05.006Z i p BD200 X t",
          "2026-01-02T03:04:05.006Z i p BD20x1 X t",
          "2026-01-02 03:04:05.006Z i p BD2001 X t" };
  struct bd_request_trace_line line;

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_cmpint (bd_request_trace_parse (bd_chunk_of (bad[i]), &line), ==,
                     BD_ERR_INVALID);
}

/* Log files of several daemons, one after the other, are merged by time; lines
   of the same millisecond stay in the order of arrival.  Lines of other
   requests and runners, and lines long before or after, are left out. */
static void
test_order (void)
{
  static const char text[] = LINE ("20", "000", "i-A", PLACED ("x")) LINE (
      "20", "500", "i-A", DONE) LINE ("20", "100", "i-A",
                                      "BD2016 REQUEST_PLACED request placed "
                                      "request=\"q\" runner=x")
      LINE ("19", "000", "i-B",
            "BD4006 TARGET_AVOIDED runner is avoided for a while runner=x")
          LINE ("19", "000", "i-B",
                "BD4006 TARGET_AVOIDED runner is avoided for a while "
                "runner=z")
              LINE ("19", "000", "i-B",
                    "BD3004 PLATFORM_DOWN configuration service unreachable")
                  LINE ("20", "000", "i-A",
                        "BD3004 PLATFORM_DOWN configuration service "
                        "unreachable")
                      LINE ("10", "000", "i-A",
                            "BD3005 PLATFORM_UP configuration service "
                            "reachable");
  static const int numbers[] = { 4006, 2016, 3004, 2001 };
  struct bd_request_trace *trace = read_story (text);
  const struct bd_request_trace_line *lines;
  size_t count;

  g_assert_cmpuint (bd_request_trace_finish (trace), ==, 2);
  lines = bd_request_trace_lines (trace, &count);
  g_assert_cmpuint (count, ==, G_N_ELEMENTS (numbers));
  for (size_t i = 0; i < count; i++)
    g_assert_cmpint (lines[i].event_number, ==, numbers[i]);
  g_assert_false (bd_request_trace_is_involved (trace, &lines[0]));
  g_assert_true (bd_request_trace_is_involved (trace, &lines[2]));
  bd_request_trace_destroy (trace);
}

static void
test_unknown_request (void)
{
  struct bd_request_trace *trace = read_story (
      LINE ("20", "000", "i-A", "BD1001 DAEMON_START daemon started"));
  struct bd_buffer out = { 0 };

  g_assert_cmpuint (bd_request_trace_finish (trace), ==, 0);
  g_assert_cmpint (bd_request_trace_explain (trace, &out), ==,
                   BD_ERR_NOT_FOUND);
  bd_request_trace_destroy (trace);
}

/* A request without a logged end: its daemon was killed and started again, was
   stopped, or dropped log lines. */
static void
test_no_end (void)
{
  assert_explanation (
      LINE ("20", "000", "i-A", PLACED ("x"))
          LINE ("21", "000", "i-A", "BD1001 DAEMON_START daemon started"),
      "end: none is logged after BD2016 at i-A\nbecause: the daemon "
      "began anew");
  assert_explanation (
      LINE ("20", "000", "i-A", PLACED ("x"))
          LINE ("21", "000", "i-A", "BD1004 DAEMON_STOP stopped"),
      "end: none is logged after BD2016 at i-A\nbecause: the daemon "
      "stopped at ");
  assert_explanation (
      LINE ("20", "000", "i-A", PLACED ("x")) LINE (
          "21", "000", "i-A", "BD1009 LOG_DROPPED log lines dropped lines=4"),
      "end: none is logged after BD2016 at i-A\nperhaps: log lines "
      "were dropped at ");
}

static void
test_endings (void)
{
  assert_explanation (
      LINE ("20", "000", "i-A", PLACED ("x")) LINE ("20", "500", "i-A", DONE),
      "end: answered whole (ms=9) [BD2001 at i-A, "
      "2026-01-02T03:04:20.500Z]\nstep: a runner was chosen by what "
      "it would cost and what was ahead (runner=x cost_ms=7 "
      "ahead=900 left_ms=800)");
  assert_explanation (
      LINE ("20", "000", "i-A",
            "BD2012 REQUEST_FAILED request ended without an answer "
            "request=\"r\" code=engine_failed ran=unknown "
            "stopped_by=retry_budget reached=1 of=3 events=0"),
      "end: failed: its service's retry budget was used up "
      "(code=engine_failed ran=unknown reached=1 of=3 events=0)");
  assert_explanation (
      LINE ("20", "000", "i-A",
            "BD2010 REQUEST_EXPIRED queued request expired request=r "
            "attempt=2"),
      "end: its deadline passed while it was queued (attempt=2)");
  assert_explanation (LINE ("20", "000", "i-A",
                            "BD2002 REQUEST_REFUSED request refused request=r "
                            "code=rate_limited"),
                      "end: refused, for the reason that code names "
                      "(docs/CALLERS.md) (code=rate_limited)");
}

/* A line longer than BD_REQUEST_TRACE_LINE_MAX_BYTES is skipped without being
   held in memory; the line after it is read. */
static void
test_long_line (void)
{
  char *filler = g_strnfill (100000, 'x');
  char *text
      = g_strconcat (filler, "\n", LINE ("20", "500", "i-A", DONE), NULL);
  struct bd_request_trace *trace;

  trace = read_story (text);
  g_assert_cmpuint (bd_request_trace_finish (trace), ==, 1);
  bd_request_trace_destroy (trace);
  g_free (text);
  g_free (filler);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request-trace/parse", test_parse);
  g_test_add_func ("/request-trace/malformed", test_malformed);
  g_test_add_func ("/request-trace/order", test_order);
  g_test_add_func ("/request-trace/unknown-request", test_unknown_request);
  g_test_add_func ("/request-trace/no-end", test_no_end);
  g_test_add_func ("/request-trace/endings", test_endings);
  g_test_add_func ("/request-trace/long-line", test_long_line);
  return g_test_run ();
}
