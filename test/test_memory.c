/* Requests are forwarded while one allocation fails, each in turn.  The linker
   leads the program's calls of malloc () and the like to this file. */
#include "support_gateway.h"

#include <string.h>

#define ALLOCATIONS_MAX 500
#define BODY "0123456789"
#define ANSWER                                                                \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"                        \
  "X-Basildock-Response-Signature: sig\r\n"                                   \
  "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole"
#define STREAM                                                                \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"                        \
  "X-Basildock-Response-Signature: sig\r\n"                                   \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"     \
  "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"

void *__real_malloc (size_t size);
void *__real_calloc (size_t count, size_t size);
void *__real_realloc (void *data, size_t size);
void *__wrap_malloc (size_t size);
void *__wrap_calloc (size_t count, size_t size);
void *__wrap_realloc (void *data, size_t size);

/* Allocations until one fails; 0: none does. */
static int allocations_left;

static bool
allocation_fails (void)
{
  return allocations_left > 0 && --allocations_left == 0;
}

void *
__wrap_malloc (size_t size)
{
  return allocation_fails () ? NULL : __real_malloc (size);
}

void *
__wrap_calloc (size_t count, size_t size)
{
  return allocation_fails () ? NULL : __real_calloc (count, size);
}

void *
__wrap_realloc (void *data, size_t size)
{
  return allocation_fails () ? NULL : __real_realloc (data, size);
}

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

/* Sends a request for PATH, with the allocation NUMBER after that failing.
   Returns whether there were that many. */
static bool
call_without_memory (const char *path, const struct support_step *step,
                     const char *wanted, int number)
{
  struct support_gateway g;
  struct support_caller *caller;
  char *text = support_request (path, "a1", "", BODY);
  bool failed;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, step, 1);
  allocations_left = number;
  caller = support_caller_send (&g, 0, text);
  while (!has_ended (caller))
    support_run_once (&g);
  failed = allocations_left == 0;
  allocations_left = 0;
  g_test_message ("allocation %d: %s", number, caller->in->str);
  if (!received_whole (&g.runners[0], path))
    g_error ("not whole: %s", g.runners[0].received->str);
  if (!answered_whole (caller, wanted))
    g_error ("not whole: %s", caller->in->str);
  support_gateway_close (&g);
  g_free (text);
  return failed;
}

static void
check (const char *path, const struct support_step *step, const char *wanted)
{
  int number = 1;

  while (number < ALLOCATIONS_MAX
         && call_without_memory (path, step, wanted, number))
    number++;
  g_assert_cmpint (number, >, 1);
  g_assert_cmpint (number, <, ALLOCATIONS_MAX);
}

static void
test_plain (void)
{
  static const struct support_step step = { ANSWER, SUPPORT_KEEP };

  check ("GET /safe/x", &step, "\r\n\r\nwhole");
}

static void
test_stream (void)
{
  static const struct support_step step = { STREAM, SUPPORT_KEEP };

  check ("GET /stream/x", &step, "id: 2\ndata: b\n\n");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/memory/plain", test_plain);
  g_test_add_func ("/memory/stream", test_stream);
  return g_test_run ();
}
