/* Responses of faulty runners: endless ones, and bytes after the end. */
#include "support_gateway.h"

#include "common/clock.h"
#include "gateway/forward_internal.h"

#include <string.h>
#include <time.h>

#define HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"                        \
  "X-Basildock-Response-Signature: sig\r\n"
#define OK_ANSWER HEAD "Content-Length: 2\r\n\r\nok"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define STREAM                                                                \
  HEAD "Content-Type: text/event-stream\r\n"                                  \
       "Transfer-Encoding: chunked\r\n\r\n"
#define OTHER                                                                 \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: other\r\n"                      \
  "Content-Length: 2\r\n\r\nno"
#define SIGNED_HEAD(status)                                                   \
  "HTTP/1.1 " status "\r\nX-Basildock-Attempt-Id: @ID\r\n"                    \
  "X-Basildock-Response-Signature: sig\r\nContent-Length: 2\r\n\r\nno"

/* Separates the bytes that are sent once from those that are repeated. */
#define MORE "@MORE"
/* Longest turn of the event loop in processor time, and how much of a stream
   without end is watched. */
#define TURN_MAX_MS 100
#define FLOOD_BYTES ((gsize)4 * 1024 * 1024)
#define FLOODS 3
#define TINY "a\n\n"
#define EVENTS_OF_CHUNK ((size_t)16384)
/* A response within the limit of one, but not together with another. */
#define LARGE_BYTES ((size_t)900000)
/* The request's time limit is 3 s; the response must come well before. */
#define SOON_MS 2000

struct endless
{
  const char *name;
  const char *method_path;
  struct support_step step;
};

static const struct endless cases[] = {
  { "head",
    "POST /once/x",
    { "HTTP/1.1 200 OK\r\nX: " MORE "a", SUPPORT_ENDLESS } },
  { "fields",
    "POST /once/x",
    { "HTTP/1.1 200 OK\r\n" MORE "X-A: b\r\n", SUPPORT_ENDLESS } },
  { "interim",
    "POST /once/x",
    { "" MORE "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", SUPPORT_ENDLESS } },
  { "empty-lines", "POST /once/x", { "" MORE "\r\n", SUPPORT_ENDLESS } },
  { "other-answers", "POST /once/x", { "" MORE OTHER, SUPPORT_ENDLESS } },
  { "other-body",
    "POST /once/x",
    { "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: other\r\n\r\n" MORE "no",
      SUPPORT_ENDLESS } },
  { "body", "POST /once/x", { HEAD "\r\n" MORE "body", SUPPORT_ENDLESS } },
  { "chunks", "POST /once/x", { CHUNKED MORE "1\r\na\r\n", SUPPORT_ENDLESS } },
  { "chunk-extension",
    "POST /once/x",
    { CHUNKED "1;a=" MORE "b", SUPPORT_ENDLESS } },
  { "chunk-size", "POST /once/x", { CHUNKED MORE "0", SUPPORT_ENDLESS } },
  { "trailers",
    "POST /once/x",
    { CHUNKED "1\r\na\r\n0\r\n" MORE "X: b\r\n", SUPPORT_ENDLESS } },
  { "event",
    "POST /stream/x",
    { STREAM MORE "4\r\ndata\r\n", SUPPORT_ENDLESS } },
  { "event-lines",
    "POST /stream/x",
    { STREAM MORE "8\r\ndata: a\n\r\n", SUPPORT_ENDLESS } },
  { "blank-lines",
    "POST /stream/x",
    { STREAM MORE "2\r\n\n\n\r\n", SUPPORT_ENDLESS } },
  { "blank-crlf-lines",
    "POST /stream/x",
    { STREAM MORE "4\r\n\r\n\r\n\r\n", SUPPORT_ENDLESS } },
  { "comments",
    "POST /stream/x",
    { STREAM MORE "3\r\n:\n\n\r\n", SUPPORT_ENDLESS } },
};

/* The caller soon gets a final response, the runner's connection is closed,
   and the failure counts against the runner. */
static void
test_endless (gconstpointer data)
{
  const struct endless *c = data;
  struct support_gateway g;
  struct support_runner *runner;
  struct support_caller *caller;
  char *text = support_request (c->method_path, "a1", "", "");
  int64_t start = bd_clock_boot_ms ();

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, &c->step, 1);
  caller = support_caller_send (&g, 0, text);
  support_await (caller, "HTTP/1.1 502");
  g_assert_cmpint (bd_clock_boot_ms () - start, <, SOON_MS);
  support_await_count (&g, &runner->closed_count, 1);
  g_assert_cmpfloat (bd_outlier_failure_rate (
                         bd_targets_find (g.targets, bd_chunk_of (runner->id)),
                         bd_clock_boot_ms ()),
                     >, 0.0);
  g_free (text);
  support_gateway_close (&g);
}

/* Endless bytes after a complete response: it is delivered, and the connection
   is not reused. */
static void
test_endless_after_answer (void)
{
  static const struct support_step step
      = { OK_ANSWER MORE "more", SUPPORT_ENDLESS };
  struct support_gateway g;
  struct support_runner *runner;
  char *text = support_request ("POST /once/x", "a1", "", "");

  support_gateway_open (&g);
  runner = support_gateway_runner (&g, 0, &step, 1);
  support_await (support_caller_send (&g, 0, text), "\r\n\r\nok");
  support_await_count (&g, &runner->closed_count, 1);
  g_free (text);
  support_gateway_close (&g);
}

/* Several responses that are within the limit each, but not together: the
   largest one fails, the others are delivered. */
static void
test_buffer_limit (void)
{
  GString *large = g_string_new (HEAD "\r\n");
  GString *small = g_string_new (HEAD "Content-Length: 400000\r\n\r\n");
  struct support_step steps[2];
  struct support_gateway g;
  struct support_caller *callers[2];
  char *text = support_request ("POST /once/x", "a1", "", "");

  while (large->len < sizeof HEAD + LARGE_BYTES)
    g_string_append (large, "large");
  for (int i = 0; i < 400000; i++)
    g_string_append_c (small, 's');
  steps[0] = (struct support_step){ large->str, SUPPORT_KEEP };
  steps[1] = (struct support_step){ small->str, SUPPORT_KEEP };
  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &steps[0], 1);
  callers[0] = support_caller_send (&g, 0, text);
  while (g.forwarder->buffered_bytes < LARGE_BYTES)
    support_run_once (&g);
  support_gateway_unlist (&g, 0);
  support_gateway_runner (&g, 1, &steps[1], 1);
  callers[1] = support_caller_send (&g, 1, text);
  support_await (callers[1], "Content-Length: 400000\r\n\r\nsss");
  support_await (callers[0], "HTTP/1.1 502");
  g_free (text);
  g_string_free (large, TRUE);
  g_string_free (small, TRUE);
  support_gateway_close (&g);
}

/* Guards against a process that ends because the largest buffered response is
   that of a request between two attempts, which has no call to cancel: here it
   waits for the retry budget. */
static void
test_buffer_limit_between_attempts (void)
{
  GString *broken = g_string_new (CHUNKED "aae60\r\n");
  GString *small = g_string_new (HEAD "Content-Length: 400000\r\n\r\n");
  struct support_step steps[3];
  struct support_gateway g;
  struct support_caller *callers[2];
  char *texts[] = { support_request ("GET /safe/x", "a1", "", ""),
                    support_request ("POST /once/x", "a2", "", "") };

  for (int i = 0; i < 0xaae60; i++)
    g_string_append_c (broken, 'b');
  g_string_append (broken, "no chunk");
  for (int i = 0; i < 400000; i++)
    g_string_append_c (small, 's');
  steps[0] = (struct support_step){ broken->str, SUPPORT_KEEP };
  steps[1] = (struct support_step){ small->str, SUPPORT_KEEP };
  steps[2] = (struct support_step){ OK_ANSWER, SUPPORT_KEEP };
  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &steps[0], 1);
  while (bd_retry_quota_take (g.retries, bd_clock_boot_ms (), BD_CHUNK ("s")))
    ;
  callers[0] = support_caller_send (&g, 0, texts[0]);
  support_await_count (&g, &g.runners[0].closed_count, 1);
  support_gateway_unlist (&g, 0);
  support_gateway_runner (&g, 1, &steps[1], 2);
  callers[1] = support_caller_send (&g, 1, texts[1]);
  support_await (callers[1], "Content-Length: 400000\r\n\r\nsss");
  support_await (callers[0], "\r\n\r\nok");
  g_free (texts[0]);
  g_free (texts[1]);
  g_string_free (broken, TRUE);
  g_string_free (small, TRUE);
  support_gateway_close (&g);
}

static int64_t
processor_time_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Guards against a runner that makes the gateway stand still for all others:
   its small events without end took a turn of the event loop each so much work
   that requests for other runners got no response in time.  The bound is for
   the processor time of a turn, so it does not depend on other processes. */
static void
test_endless_events (void)
{
  GString *events = g_string_new (STREAM MORE);
  struct support_step floods[FLOODS];
  static const struct support_step answer = { OK_ANSWER, SUPPORT_KEEP };
  struct support_gateway g;
  struct support_caller *callers[FLOODS];
  char *stream = support_request ("POST /stream/x", "a1", "", "");
  char *order = support_request ("POST /once/x", "a2", "", "");
  gsize received;

  g_string_append_printf (events, "%zx\r\n", EVENTS_OF_CHUNK * strlen (TINY));
  for (size_t i = 0; i < EVENTS_OF_CHUNK; i++)
    g_string_append (events, TINY);
  g_string_append (events, "\r\n");
  for (int i = 0; i < FLOODS; i++)
    floods[i] = (struct support_step){ events->str, SUPPORT_ENDLESS };
  support_gateway_open (&g);
  support_gateway_runner (&g, 0, floods, FLOODS);
  for (int i = 0; i < FLOODS; i++)
    callers[i] = support_caller_send (&g, i, stream);
  for (int i = 0; i < FLOODS; i++)
    support_await (callers[i], TINY);
  support_gateway_unlist (&g, 0);
  support_gateway_runner (&g, 1, &answer, 1);
  received = callers[0]->in->len;
  while (callers[0]->in->len < received + FLOOD_BYTES)
    {
      int64_t start = processor_time_ms ();

      support_run_once (&g);
      g_assert_cmpint (processor_time_ms () - start, <, TURN_MAX_MS);
    }
  support_await (support_caller_send (&g, FLOODS, order), "\r\n\r\nok");
  for (int i = 0; i < FLOODS; i++)
    g_assert_false (callers[i]->ended);
  g_string_free (events, TRUE);
  g_free (stream);
  g_free (order);
  support_gateway_close (&g);
}

/* Guards against a request that may have run and whose caller is told that it
   has not: a runner's 503, 429 or 408 says so only with the field for it. */
static void
test_refusal_without_field (void)
{
  static const struct support_step steps[]
      = { { SIGNED_HEAD ("503 Service Unavailable"), SUPPORT_KEEP },
          { SIGNED_HEAD ("429 Too Many Requests"), SUPPORT_KEEP },
          { SIGNED_HEAD ("408 Request Timeout"), SUPPORT_KEEP } };
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, steps, 3);
  for (int i = 0; i < 3; i++)
    {
      char *text = support_request ("POST /once/x", "a1", "", "");
      struct support_caller *caller = support_caller_send (&g, i, text);

      support_await (caller, "\"ran\":\"unknown\"");
      g_assert_true (g_str_has_prefix (caller->in->str, "HTTP/1.1 502 "));
      g_free (text);
    }
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/response/endless-%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_endless);
      g_free (path);
    }
  g_test_add_func ("/response/endless-after-answer",
                   test_endless_after_answer);
  g_test_add_func ("/response/buffer-limit", test_buffer_limit);
  g_test_add_func ("/response/buffer-limit-between-attempts",
                   test_buffer_limit_between_attempts);
  g_test_add_func ("/response/endless-events", test_endless_events);
  g_test_add_func ("/response/refusal-without-field",
                   test_refusal_without_field);
  return g_test_run ();
}
