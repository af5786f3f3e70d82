/* Responses of faulty runners: endless ones, and bytes after the end. */
#include "support_gateway.h"

#include "common/clock.h"

#include <string.h>

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
/* Separates the bytes that are sent once from those that are repeated. */
#define MORE "@MORE"
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

  while (large->len < 900000)
    g_string_append (large, "large");
  for (int i = 0; i < 400000; i++)
    g_string_append_c (small, 's');
  steps[0] = (struct support_step){ large->str, SUPPORT_KEEP };
  steps[1] = (struct support_step){ small->str, SUPPORT_KEEP };
  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &steps[0], 1);
  callers[0] = support_caller_send (&g, 0, text);
  support_await_count (&g, &g.runners[0].request_count, 1);
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
  return g_test_run ();
}
