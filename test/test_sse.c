/* Splitting of event streams: what an event is, and what hostile ones cost. */
#include "stream/sse.h"

#include <glib.h>
#include <string.h>
#include <time.h>

/* Feeds TEXT in pieces of SIZE bytes; returns the events, each in brackets,
   and the rest. */
static char *
split (const char *text, size_t size)
{
  struct bd_sse sse = { 0 };
  struct bd_chunk event;
  GString *out = g_string_new (NULL);
  size_t length = strlen (text);
  struct bd_chunk rest;

  for (size_t at = 0; at < length; at += size)
    {
      struct bd_chunk piece = { text + at, MIN (size, length - at) };

      g_assert_cmpint (bd_sse_feed (&sse, piece), ==, BD_OK);
      while ((event = bd_sse_next (&sse)).length > 0)
        g_string_append_printf (out, "[%.*s]", (int)event.length, event.data);
    }
  rest = bd_sse_rest (&sse);
  g_string_append_printf (out, "%.*s%s", (int)rest.length,
                          rest.data ? rest.data : "",
                          bd_sse_is_between_events (&sse) ? "" : "!");
  bd_sse_clear (&sse);
  return g_string_free (out, FALSE);
}

static void
check (const char *text, const char *wanted)
{
  for (size_t size = 1; size <= strlen (text) + 1; size++)
    {
      char *seen = split (text, size);

      g_assert_cmpstr (seen, ==, wanted);
      g_free (seen);
    }
}

/* Empty lines are no events: they go with the next one. */
static void
test_events (void)
{
  check ("", "");
  check ("data: a\n\n", "[data: a\n\n]");
  check ("a\r\n\r\nb\n\r\nc\n", "[a\r\n\r\n][b\n\r\n]c\n!");
  check ("a\n\n\n\nb\n\n", "[a\n\n][\n\nb\n\n]");
  check ("\n\r\n\n", "\n\r\n\n");
  check ("a\n\n\r", "[a\n\n]\r");
  check ("a\n\n\r\r", "[a\n\n]\r\r!");
  check (": c\n\nid: 1\n", "[: c\n\n]id: 1\n!");
}

static void
test_fields (void)
{
  g_assert_true (bd_sse_has_field (BD_CHUNK ("\n: c\ndata\n\n")));
  g_assert_false (bd_sse_has_field (BD_CHUNK ("\n: c\r\n:\n\r\n")));
  g_assert_true (bd_chunk_equal (bd_sse_id (BD_CHUNK ("\n\nid: 7\r\n\r\n")),
                                 BD_CHUNK ("7")));
  g_assert_cmpuint (bd_sse_data (BD_CHUNK (": c\n\n")).length, ==, 0);
}

static double
processor_time (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Returns the processor time that it takes to split the smallest events of
   LENGTH bytes together, TIMES times. */
static double
cost (size_t length, int times)
{
  GString *text = g_string_new (NULL);
  struct bd_chunk event;
  double start;

  while (text->len < length)
    g_string_append (text, "a\n\n");
  start = processor_time ();
  for (int i = 0; i < times; i++)
    {
      struct bd_sse sse = { 0 };

      bd_sse_feed (&sse, (struct bd_chunk){ text->str, length });
      while ((event = bd_sse_next (&sse)).length > 0)
        g_assert_cmpuint (event.length, ==, 3);
      bd_sse_clear (&sse);
    }
  g_string_free (text, TRUE);
  return processor_time () - start;
}

/* Guards against events that each move all bytes after them: as many bytes
   cost much the same in one piece as in sixteen.  The best of several tries
   counts. */
static void
test_cost_is_linear (void)
{
  double ratio = 16.0;

  for (int i = 0; i < 5; i++)
    ratio = MIN (ratio, cost (BD_SSE_EVENT_MAX_BYTES, 1)
                            / cost (BD_SSE_EVENT_MAX_BYTES / 16, 16));
  g_test_message ("ratio %.2f", ratio);
  g_assert_cmpfloat (ratio, <, 4.0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sse/events", test_events);
  g_test_add_func ("/sse/fields", test_fields);
  g_test_add_func ("/sse/cost-is-linear", test_cost_is_linear);
  return g_test_run ();
}
