#include "common/log.h"
#include "support_capture.h"

#include <glib.h>
#include <string.h>
#include <sys/types.h>
#include <unistd.h>

#define WRITERS 4
#define LINES_EACH 2000

static void
test_line (void)
{
  struct capture capture;
  char *err;

  bd_log_init ("i-1", BD_SEVERITY_INFO);
  capture_begin (&capture, 2);
  bd_log (BD_EVENT_REQUEST_DONE, "request=%s tokens=%d", "abc", 3);
  err = capture_end (&capture);
  g_assert_true (g_regex_match_simple (
      "^\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z i-1 "
      "test_log\\[\\d+\\]: BD2001 REQUEST_DONE request answered whole "
      "request=abc tokens=3\n$",
      err, 0, 0));
  g_free (err);
}

static void
test_control_bytes_are_escaped (void)
{
  static const struct
  {
    struct bd_chunk value;
    size_t size;
    const char *quoted;
  } cases[] = {
    { { "", 0 }, 3, "\"\"" },
    { { "a b", 3 }, 32, "\"a b\"" },
    { { "a\"b\\c", 5 }, 32, "\"a\\\"b\\\\c\"" },
    { { "x\n\033[2J\0y\177", 8 }, 64, "\"x\\x0a\\x1b[2J\\x00y\"" },
    { { "abcdef", 6 }, 6, "\"abc\"" },
    { { "ab\ncd", 5 }, 8, "\"ab\"" },
  };
  struct capture capture;
  char text[64];
  char *err;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpstr (bd_log_quote (cases[i].value, text, cases[i].size), ==,
                     cases[i].quoted);
  capture_begin (&capture, 2);
  bd_log (BD_EVENT_REQUEST_DONE, "x=%s", "1\n2026 forged\033[31m");
  err = capture_end (&capture);
  g_assert_true (strchr (err, '\n') == err + strlen (err) - 1);
  g_assert_nonnull (strstr (err, "x=1?2026 forged?[31m"));
  g_free (err);
}

static void
test_long_line_is_cut (void)
{
  char *value = g_strnfill ((gsize)3 * BD_LOG_LINE_MAX_BYTES, 'v');
  struct capture capture;
  char *err;

  capture_begin (&capture, 2);
  bd_log (BD_EVENT_REQUEST_DONE, "v=%s", value);
  err = capture_end (&capture);
  g_assert_cmpuint (strlen (err), <=, BD_LOG_LINE_MAX_BYTES);
  g_assert_cmpuint (strlen (err), >, BD_LOG_LINE_MAX_BYTES - 8);
  g_assert_true (g_str_has_suffix (err, "v\n"));
  g_free (err);
  g_free (value);
}

static void
test_severity (void)
{
  struct capture capture;
  char *err;

  bd_log_init ("i-1", BD_SEVERITY_WARNING);
  g_assert_false (bd_log_enabled (BD_EVENT_REQUEST_DONE));
  g_assert_true (bd_log_enabled (BD_EVENT_PROTOCOL_ERROR));
  g_assert_true (bd_log_enabled (BD_EVENT_SETTING_BAD));
  capture_begin (&capture, 2);
  bd_log (BD_EVENT_REQUEST_DONE, "x=1");
  err = capture_end (&capture);
  g_assert_cmpstr (err, ==, "");
  g_free (err);
  bd_log_init ("i-1", BD_SEVERITY_DEBUG);
}

/* bd_log () finds an event by binary search, so the table must be sorted. */
static void
test_events_ascend (void)
{
  static const int numbers[] = {
#define NUMBER(number, name, severity, text) number,
    BD_EVENT_TABLE (NUMBER)
#undef NUMBER
  };

  for (size_t i = 1; i < G_N_ELEMENTS (numbers); i++)
    g_assert_cmpint (numbers[i - 1], <, numbers[i]);
}

static gpointer
write_lines (gpointer data)
{
  for (int i = 0; i < LINES_EACH; i++)
    bd_log (BD_EVENT_REQUEST_DONE, "writer=%d line=%d.",
            GPOINTER_TO_INT (data), i);
  return NULL;
}

struct visited
{
  size_t count;
  char last[BD_LOG_RECENT_LINE_BYTES + 1];
};

static void
count_line (void *context, struct bd_chunk line)
{
  struct visited *visited = context;

  visited->count++;
  g_assert_cmpuint (line.length, <=, BD_LOG_RECENT_LINE_BYTES);
  memcpy (visited->last, line.data, line.length);
  visited->last[line.length] = '\0';
}

/* Lines that several threads log at once aren't interleaved, and the most
   recent ones are held in memory. */
static void
test_threads (void)
{
  GThread *threads[WRITERS];
  struct capture capture;
  struct visited visited = { 0 };
  char *err;
  char **lines;

  capture_begin (&capture, 2);
  for (int i = 0; i < WRITERS; i++)
    threads[i] = g_thread_new ("writer", write_lines, GINT_TO_POINTER (i));
  bd_log_visit (count_line, &visited);
  for (int i = 0; i < WRITERS; i++)
    g_thread_join (threads[i]);
  bd_log (BD_EVENT_DAEMON_STOP, "last=1");
  err = capture_end (&capture);
  lines = g_strsplit (err, "\n", 0);
  g_assert_cmpuint (g_strv_length (lines), ==, WRITERS * LINES_EACH + 2);
  for (size_t i = 0; i < (size_t)WRITERS * LINES_EACH; i++)
    g_assert_true (g_str_has_suffix (lines[i], "."));
  memset (&visited, 0, sizeof visited);
  bd_log_visit (count_line, &visited);
  g_assert_cmpuint (visited.count, ==, BD_LOG_RECENT_LINES);
  g_assert_true (g_str_has_suffix (visited.last, "daemon stopped last=1"));
  g_strfreev (lines);
  g_free (err);
}

/* A reason is quoted; a detail of one word is logged as detail=WORD. */
static void
test_request_and_document_lines (void)
{
  struct bd_id id = { 0, 1 };
  struct capture capture;
  char *err;

  bd_log_init ("i-1", BD_SEVERITY_INFO);
  capture_begin (&capture, 2);
  bd_log_document (BD_EVENT_CONFIG_REFUSED, BD_CHUNK ("manifest"), "a b");
  bd_log_document (BD_EVENT_CONFIG_IN_FORCE, BD_CHUNK ("manifest"), "");
  bd_log_request (BD_EVENT_REQUEST_SHED, id, 2, "tier=1 for_tier=0");
  bd_log_request (BD_EVENT_REQUEST_RETRY, id, 2, "engine_failed");
  err = capture_end (&capture);
  g_assert_nonnull (strstr (err, " document=manifest reason=\"a b\"\n"));
  g_assert_nonnull (strstr (err, " document=manifest\n"));
  g_assert_nonnull (strstr (err, "1 attempt=2 tier=1 for_tier=0\n"));
  g_assert_nonnull (strstr (err, "1 attempt=2 detail=engine_failed\n"));
  g_free (err);
}

/* The log pipe isn't read while the queue fills up: logging doesn't block,
   new lines are dropped, and the oldest ones stay in the queue. */
static void
test_queue_unread (void)
{
  char *text = g_malloc0 (1 << 20);
  size_t length = 0;
  int ends[2];

  g_assert_cmpint (pipe (ends), ==, 0);
  bd_log_init ("i-1", BD_SEVERITY_INFO);
  bd_log_start_queue (ends[1], 400);
  for (int i = 0; i < 3000; i++)
    {
      bd_log (BD_EVENT_REQUEST_DONE, "n=%d", i);
      bd_log (BD_EVENT_MEMBER_GONE, "n=%d filler=%0400d", i, 0);
      bd_log_flush ();
    }
  /* A pipe holds 64 KiB, the queue twice that. */
  while (length < 150000)
    {
      ssize_t n;

      bd_log_flush ();
      n = read (ends[0], text + length, 4096);
      g_assert_cmpint (n, >, 0);
      length += (size_t)n;
    }
  bd_log_start_queue (-1, 0);
  g_assert_nonnull (strstr (text, "n=0 filler"));
  /* Lines of severity info are the first to be dropped. */
  g_assert_null (strstr (text, "REQUEST_DONE request answered whole n=2999"));
  close (ends[0]);
  close (ends[1]);
  g_free (text);
}

/* Reads into TEXT, of ROOM bytes, until it contains WANTED.  Returns the
   number of bytes. */
static size_t
read_until (int fd, char *text, size_t room, const char *wanted)
{
  size_t length = 0;

  while (!strstr (text, wanted))
    {
      ssize_t n = read (fd, text + length, room - length);

      g_assert_cmpint (n, >, 0);
      length += (size_t)n;
    }
  return length;
}

/* The log pipe isn't read while far more is logged than the pipe and the
   queue hold: no thread blocks, lines above info are kept in favour of others,
   and the number of dropped lines is logged once the pipe is read. */
static void
test_thread_unread (void)
{
  size_t room = 1 << 20;
  char *text = g_malloc0 (room);
  struct visited visited = { 0 };
  int ends[2];

  g_assert_cmpint (pipe (ends), ==, 0);
  bd_log_init ("i-1", BD_SEVERITY_INFO);
  g_assert_cmpint (bd_log_start_thread (ends[1], 0), ==, BD_OK);
  for (int i = 0; i < 400; i++)
    bd_log (BD_EVENT_REQUEST_DONE, "n=%d filler=%0700d", i, 0);
  bd_log (BD_EVENT_BILLING_LINE, "n=400");
  read_until (ends[0], text, room - 1, "BD1009 LOG_DROPPED");
  bd_log_stop_thread ();
  g_assert_nonnull (strstr (text, "n=0 filler"));
  g_assert_nonnull (strstr (text, "answer billed n=400"));
  g_assert_null (strstr (text, "n=399 filler"));
  bd_log_visit (count_line, &visited);
  g_assert_cmpuint (visited.count, >, 400);
  close (ends[0]);
  close (ends[1]);
  g_free (text);
}

/* The limit of lines a second applies to info and below only. */
static void
test_rate_limit (void)
{
  size_t room = 1 << 20;
  char *text = g_malloc0 (room);
  size_t count = 0;
  int ends[2];

  g_assert_cmpint (pipe (ends), ==, 0);
  bd_log_init ("i-1", BD_SEVERITY_INFO);
  g_assert_cmpint (bd_log_start_thread (ends[1], 10), ==, BD_OK);
  for (int i = 0; i < 100; i++)
    bd_log (BD_EVENT_REQUEST_DONE, "n=%d", i);
  for (int i = 0; i < 20; i++)
    bd_log (BD_EVENT_MEMBER_GONE, "n=%d", i);
  read_until (ends[0], text, room - 1, "BD1009 LOG_DROPPED");
  bd_log_stop_thread ();
  for (const char *at = text; (at = strstr (at, "BD2001")); at++)
    count++;
  /* The loop may continue into the next second. */
  g_assert_cmpuint (count, >=, 10);
  g_assert_cmpuint (count, <=, 20);
  g_assert_nonnull (strstr (text, "peer removed n=19"));
  close (ends[0]);
  close (ends[1]);
  g_free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log/line", test_line);
  g_test_add_func ("/log/control-bytes", test_control_bytes_are_escaped);
  g_test_add_func ("/log/request-and-document-lines",
                   test_request_and_document_lines);
  g_test_add_func ("/log/long-line-is-cut", test_long_line_is_cut);
  g_test_add_func ("/log/severity", test_severity);
  g_test_add_func ("/log/events-sorted", test_events_ascend);
  g_test_add_func ("/log/threads", test_threads);
  g_test_add_func ("/log/queue-full-unread-pipe", test_queue_unread);
  g_test_add_func ("/log/thread-unread-pipe", test_thread_unread);
  g_test_add_func ("/log/rate-limit", test_rate_limit);
  return g_test_run ();
}
