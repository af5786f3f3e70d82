/* Gateways before runners that crash under a part of prompts which stands
   behind many others.  Sound requests share those. */
#include "support_gateway.h"
#include "support_responses.h"

/* Crashes after which requests with the part are refused. */
#define CRASHES 3

static const struct support_step answers_then_crashes[]
    = { { STREAM_HEAD EVENT ("1") LAST_CHUNK, SUPPORT_KEEP },
        { STREAM_HEAD, SUPPORT_CRASH } };
static const struct support_step crashes[]
    = { { STREAM_HEAD, SUPPORT_CRASH } };
static const struct support_step answers[]
    = { { STREAM_HEAD EVENT ("1") LAST_CHUNK, SUPPORT_KEEP },
        { STREAM_HEAD EVENT ("1") LAST_CHUNK, SUPPORT_KEEP } };

/* How many parts the requests share with sound ones, and whether the bad part
   stands before these. */
struct count_case
{
  const char *name;
  int shared_parts;
  bool first;
};

static const struct count_case count_cases[] = {
  { "behind-1", 1, false },       { "behind-15", 15, false },
  { "behind-16", 16, false },     { "behind-17", 17, false },
  { "behind-32", 32, false },     { "behind-39", 39, false },
  { "behind-1200", 1200, false }, { "before-39", 39, true },
};

/* Sends request I, with the bad part if BAD is set. */
static struct support_caller *
call (struct support_gateway *g, int i, const struct count_case *c, bool bad)
{
  GString *fields = g_string_new ("X-Basildock-Prefix-Hash: ");
  char *path = g_strdup_printf ("POST /stream/%d", i);
  char *body = g_strdup_printf ("body %d", i);
  struct support_caller *caller;
  char *text;

  if (bad && c->first)
    g_string_append (fields, "bad:9,");
  for (int p = 0; p < c->shared_parts; p++)
    g_string_append_printf (fields, "5%x:9,", (unsigned)p);
  if (bad && !c->first)
    g_string_append (fields, "bad:9,");
  g_string_append_printf (fields, "c%d:9\r\n", i);
  text = support_request (path, "a1", fields->str, body);
  caller = support_caller_send (g, i, text);
  g_free (text);
  g_free (body);
  g_free (path);
  g_string_free (fields, TRUE);
  return caller;
}

/* Waits for an answer without a stream, or for the end of a stream that breaks
   off. */
static void
await_failure (struct support_caller *caller)
{
  support_await (caller, "\r\n\r\n");
  if (strstr (caller->in->str, "text/event-stream"))
    support_await_end (caller);
}

/* Guards against a part that crashes runners and is never blamed, because only
   the first parts of a prompt are looked at (review/10). */
static void
test_count (gconstpointer data)
{
  const struct count_case *c = data;
  struct support_gateway g;
  struct support_caller *caller;
  struct support_runner *runner;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, answers_then_crashes, 2);
  caller = call (&g, 0, c, false);
  support_await (caller, "\r\n0\r\n\r\n");
  for (int i = 0; i < CRASHES; i++)
    {
      if (i > 0)
        support_gateway_runner (&g, i, crashes, 1);
      caller = call (&g, i + 1, c, true);
      await_failure (caller);
      support_gateway_unlist (&g, i);
    }
  runner = support_gateway_runner (&g, CRASHES, answers, 2);
  caller = call (&g, CRASHES + 1, c, true);
  support_await (caller, "\r\n\r\n");
  if (!strstr (caller->in->str, "request_suspended")
      || runner->request_count > 0)
    g_test_fail ();
  caller = call (&g, CRASHES + 2, c, false);
  support_await (caller, "\r\n\r\n");
  if (!strstr (caller->in->str, "text/event-stream"))
    g_test_fail ();
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (count_cases); i++)
    {
      char *path = g_strdup_printf ("/crashing-parts/%s", count_cases[i].name);

      g_test_add_data_func (path, &count_cases[i], test_count);
      g_free (path);
    }
  return g_test_run ();
}
