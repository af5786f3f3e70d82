/* Requests are forwarded while one allocation fails, each in turn. */
#include "support_gateway.h"
#include "support_memory.h"

#include <string.h>

#define ALLOCATIONS_MAX 500
#define BODY "0123456789"
#define ANSWER                                                                \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"                        \
  "X-Basildock-Response-Signature: sig\r\n"                                   \
  "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole"
#define STREAM_HEAD                                                           \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"                        \
  "X-Basildock-Response-Signature: sig\r\n"                                   \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "f\r\nid: " n "\ndata: a\n\n\r\n"
#define END "0\r\n\r\n"

/* Whether CALLER has got a response that ends, or its connection has ended. */
static bool
has_ended (const struct support_caller *caller)
{
  const char *length = strstr (caller->in->str, "Content-Length: ");
  const char *body = strstr (caller->in->str, "\r\n\r\n");

  if (caller->ended)
    return true;
  if (!body)
    return false;
  if (length && length < body)
    return strlen (body + 4)
           >= (size_t)g_ascii_strtoll (length + 16, NULL, 10);
  return g_str_has_suffix (caller->in->str, "\r\n0\r\n\r\n");
}

/* Whether RUNNER received nothing, or the whole request for PATH, at most
   twice. */
static bool
received_whole (const struct support_runner *runner, const char *path)
{
  const GString *all = runner->received;
  char **parts = g_strsplit (all->str, BODY, -1);
  guint count = g_strv_length (parts);
  bool whole = all->len == 0 || (count > 1 && count <= 3);

  for (guint i = 0; whole && i + 1 < count; i++)
    whole = g_str_has_prefix (parts[i], path)
            && strstr (parts[i], "\r\nX-Basildock-Attempt-Id: a1\r\n")
            && strstr (parts[i], "\r\nX-Basildock-Deadline-Ms: ")
            && g_str_has_suffix (parts[i], "\r\n\r\n");
  whole = whole && (all->len == 0 || *parts[count - 1] == '\0');
  g_strfreev (parts);
  return whole;
}

/* Whether CALLER got nothing, an error, or the answer, with WANTED in it,
   whole; or an answer whose connection broke. */
static bool
answered_whole (const struct support_caller *caller, const char *wanted)
{
  const char *text = caller->in->str;

  if (*text == '\0')
    return caller->ended;
  if (!g_str_has_prefix (text, "HTTP/1.1 200"))
    return g_str_has_prefix (text, "HTTP/1.1 ");
  if (!strstr (text, "\r\nContent-Type: "))
    return false;
  return (caller->ended && !g_str_has_suffix (text, "\r\n0\r\n\r\n"))
         || strstr (text, wanted);
}

/* Sends a request for PATH to two runners that play STEPS, with the allocation
   NUMBER after that failing.  Returns whether there were that many. */
static bool
call_without_memory (const char *path, const struct support_step steps[2],
                     const char *wanted, int number)
{
  struct support_gateway g;
  struct support_caller *caller;
  char *text = support_request (path, "a1", "", BODY);
  bool failed;

  support_gateway_open (&g);
  for (int i = 0; i < 2; i++)
    support_gateway_runner (&g, i, &steps[i], 1);
  bd_targets_find (g.targets, bd_chunk_of (g.runners[1].id))->in_flight = 9;
  support_fail_allocation (number);
  caller = support_caller_send (&g, 0, text);
  while (!has_ended (caller))
    support_run_once (&g);
  failed = support_allocation_failed ();
  g_test_message ("allocation %d: %s", number, caller->in->str);
  for (int i = 0; i < 2; i++)
    if (!received_whole (&g.runners[i], path))
      g_error ("not whole: %s", g.runners[i].received->str);
  /* A second attempt that is not a resumption plays a stream of its own. */
  if (strstr (g.runners[1].received->str, BODY)
      && !strstr (g.runners[1].received->str, "Last-Event-Id: 1\r\n"))
    wanted = strstr (steps[1].bytes, "\r\n\r\n");
  if (!answered_whole (caller, wanted))
    g_error ("not whole: %s", caller->in->str);
  support_gateway_close (&g);
  g_free (text);
  return failed;
}

static void
check (const char *path, const struct support_step steps[2],
       const char *wanted)
{
  int number = 1;

  while (number < ALLOCATIONS_MAX
         && call_without_memory (path, steps, wanted, number))
    number++;
  g_assert_cmpint (number, >, 1);
  g_assert_cmpint (number, <, ALLOCATIONS_MAX);
}

static void
test_plain (void)
{
  static const struct support_step steps[]
      = { { ANSWER, SUPPORT_KEEP }, { ANSWER, SUPPORT_KEEP } };

  check ("GET /safe/x", steps, "\r\n\r\nwhole");
}

static void
test_retry (void)
{
  static const struct support_step steps[]
      = { { "", SUPPORT_RESET }, { ANSWER, SUPPORT_KEEP } };

  check ("GET /safe/x", steps, "\r\n\r\nwhole");
}

static void
test_stream (void)
{
  static const struct support_step steps[]
      = { { STREAM_HEAD EVENT ("1") EVENT ("2") END, SUPPORT_KEEP },
          { STREAM_HEAD EVENT ("1") EVENT ("2") END, SUPPORT_KEEP } };

  check ("GET /stream/x", steps, EVENT ("1") EVENT ("2") END);
}

static void
test_resume (void)
{
  static const struct support_step steps[]
      = { { STREAM_HEAD EVENT ("1"), SUPPORT_RESET },
          { STREAM_HEAD EVENT ("2") END, SUPPORT_KEEP } };

  check ("GET /resume/x", steps, EVENT ("1") EVENT ("2") END);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/memory/plain", test_plain);
  g_test_add_func ("/memory/retry", test_retry);
  g_test_add_func ("/memory/stream", test_stream);
  g_test_add_func ("/memory/resume", test_resume);
  return g_test_run ();
}
