#include "common/log.h"

#include "common/clock.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define REASON_BYTES 300
#define INSTANCE_MAX_BYTES 64
/* How long the writer thread waits for the descriptor to accept data, before
   it reports dropped lines. */
#define WRITABLE_TIMEOUT_MS 200

struct event_row
{
  const char *name;
  const char *text;
  int number;
  enum bd_severity severity;
};

static const struct event_row event_rows[] = {
#define EVENT_ROW(number, name, severity, text)                               \
  { #name, text, number, BD_SEVERITY_##severity },
  BD_EVENT_TABLE (EVENT_ROW)
#undef EVENT_ROW
};

#define EVENT_COUNT (sizeof event_rows / sizeof event_rows[0])

/* A recent line, in a circular array.  Writers claim elements by an atomic
   counter, so the lock of an element is only contended by a reader, or by a
   writer that is a whole round ahead. */
struct recent_line
{
  pthread_mutex_t lock;
  uint64_t number;
  size_t length;
  char line[BD_LOG_RECENT_LINE_BYTES];
};

static struct recent_line recent_lines[BD_LOG_RECENT_LINES];
static pthread_once_t recent_lines_once = PTHREAD_ONCE_INIT;
static _Atomic uint64_t next_number = 1;
static _Atomic int severity_threshold = BD_SEVERITY_INFO;
static char instance_name[INSTANCE_MAX_BYTES] = "-";

/* How lines are written. */
enum output_mode
{
  OUTPUT_STDERR, /* Lines are written to standard error at once. */
  OUTPUT_QUEUE,  /* Lines are queued for bd_log_flush (). */
  OUTPUT_THREAD, /* Lines are written at once if the queue is empty,
                    else by a thread. */
};

/* Lines to be written, in a circular buffer of bytes. */
struct queue
{
  pthread_mutex_t lock;
  pthread_cond_t filled;
  pthread_t writer;
  enum output_mode output_mode;
  int fd;
  uint32_t lines_per_s; /* Limit for info and below; 0: unlimited. */
  size_t start;
  size_t length;
  int64_t rate_second; /* The second that lines_this_second counts. */
  uint32_t lines_this_second;
  uint64_t dropped; /* Lines dropped since the last report. */
  bool stopping;
  char bytes[BD_LOG_QUEUE_BYTES];
};

static struct queue queue = { .lock = PTHREAD_MUTEX_INITIALIZER,
                              .filled = PTHREAD_COND_INITIALIZER,
                              .fd = -1 };

static void
init_recent_lines (void)
{
  for (size_t i = 0; i < BD_LOG_RECENT_LINES; i++)
    pthread_mutex_init (&recent_lines[i].lock, NULL);
}

static const struct event_row *
find_event (enum bd_event event)
{
  size_t low = 0;
  size_t high = EVENT_COUNT;

  while (low + 1 < high)
    {
      size_t middle = low + (high - low) / 2;

      if (event_rows[middle].number <= (int)event)
        low = middle;
      else
        high = middle;
    }
  return &event_rows[low];
}

void
bd_log_init (const char *instance, enum bd_severity threshold)
{
  snprintf (instance_name, sizeof instance_name, "%s", instance);
  atomic_store (&severity_threshold, (int)threshold);
}

bool
bd_log_enabled (enum bd_event event)
{
  return (int)find_event (event)->severity
         <= atomic_load (&severity_threshold);
}

static size_t
append_text (char *line, size_t length, const char *format, va_list args)
{
  size_t room = BD_LOG_LINE_MAX_BYTES - 1 - length;
  int n = vsnprintf (line + length, room, format, args);

  if (n < 0)
    return length;
  return length + ((size_t)n < room ? (size_t)n : room - 1);
}

static size_t
format_header (char *line, const struct event_row *row)
{
  struct timespec now;
  struct tm utc;
  size_t length;
  int n;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  length = strftime (line, BD_LOG_LINE_MAX_BYTES, "%Y-%m-%dT%H:%M:%S", &utc);
  n = snprintf (line + length, BD_LOG_LINE_MAX_BYTES - length,
                ".%03ldZ %s %s[%ld]: BD%d %s %s", now.tv_nsec / 1000000,
                instance_name, program_invocation_short_name, (long)getpid (),
                row->number, row->name, row->text);
  return length + (size_t)n;
}

/* Masks control bytes, so that a value can't forge a line or send escape
   sequences to a terminal. */
static void
mask_control_bytes (char *line, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      unsigned char c = (unsigned char)line[i];

      if (c < 0x20 || c == 0x7f)
        line[i] = '?';
    }
}

static void
store_recent_line (const char *line, size_t length)
{
  uint64_t number = atomic_fetch_add (&next_number, 1);
  struct recent_line *recent_line
      = &recent_lines[number % BD_LOG_RECENT_LINES];

  if (length > BD_LOG_RECENT_LINE_BYTES)
    length = BD_LOG_RECENT_LINE_BYTES;
  pthread_once (&recent_lines_once, init_recent_lines);
  pthread_mutex_lock (&recent_line->lock);
  if (number > recent_line->number)
    {
      memcpy (recent_line->line, line, length);
      recent_line->length = length;
      recent_line->number = number;
    }
  pthread_mutex_unlock (&recent_line->lock);
}

/* Returns true when the descriptor accepts PIPE_BUF bytes without blocking,
   waiting up to WAIT_MS for that. */
static bool
is_writable (int wait_ms)
{
  struct pollfd poller = { .fd = queue.fd, .events = POLLOUT };

  return poll (&poller, 1, wait_ms) > 0 && (poller.revents & POLLOUT);
}

/* Returns true when a line of SEVERITY exceeds lines_per_s; else counts it. */
static bool
over_rate_limit (enum bd_severity severity)
{
  int64_t second = bd_clock_ms () / 1000;

  if (second != queue.rate_second)
    {
      queue.rate_second = second;
      queue.lines_this_second = 0;
    }
  if (severity < BD_SEVERITY_INFO)
    return false;
  if (queue.lines_per_s > 0 && queue.lines_this_second >= queue.lines_per_s)
    return true;
  queue.lines_this_second++;
  return false;
}

static void
enqueue (enum bd_severity severity, const char *line, size_t length)
{
  size_t room = BD_LOG_QUEUE_BYTES - queue.length;
  size_t end = (queue.start + queue.length) % BD_LOG_QUEUE_BYTES;
  size_t first = BD_LOG_QUEUE_BYTES - end;

  if (length > room
      || (severity >= BD_SEVERITY_INFO && room < BD_LOG_QUEUE_BYTES / 4))
    {
      queue.dropped++;
      return;
    }
  if (first > length)
    first = length;
  memcpy (queue.bytes + end, line, first);
  memcpy (queue.bytes, line + first, length - first);
  queue.length += length;
}

/* Writes or queues LINE, which ends in a newline, or drops it. */
static void
output_line (enum bd_severity severity, const char *line, size_t length)
{
  size_t written = 0;

  pthread_mutex_lock (&queue.lock);
  if (over_rate_limit (severity))
    queue.dropped++;
  else
    {
      if (queue.output_mode == OUTPUT_THREAD && queue.length == 0
          && is_writable (0))
        {
          ssize_t n = write (queue.fd, line, length);

          written = n > 0 ? (size_t)n : 0;
        }
      if (written < length)
        enqueue (severity, line + written, length - written);
      if (queue.output_mode == OUTPUT_THREAD && queue.length > 0)
        pthread_cond_signal (&queue.filled);
    }
  pthread_mutex_unlock (&queue.lock);
}

void
bd_log (enum bd_event event, const char *format, ...)
{
  const struct event_row *row = find_event (event);
  char line[BD_LOG_LINE_MAX_BYTES];
  size_t length;
  va_list args;

  if ((int)row->severity > atomic_load (&severity_threshold))
    return;
  length = format_header (line, row);
  if (format[0] != '\0')
    {
      line[length++] = ' ';
      va_start (args, format);
      length = append_text (line, length, format, args);
      va_end (args);
    }
  mask_control_bytes (line, length);
  if (queue.output_mode != OUTPUT_QUEUE)
    store_recent_line (line, length);
  line[length++] = '\n';
  if (queue.output_mode != OUTPUT_STDERR)
    output_line (row->severity, line, length);
  else if (write (STDERR_FILENO, line, length) < 0)
    return;
}

void
bd_log_start_queue (int fd, uint32_t lines_per_s)
{
  queue.fd = fd;
  queue.lines_per_s = lines_per_s;
  queue.output_mode = fd < 0 ? OUTPUT_STDERR : OUTPUT_QUEUE;
}

/* Writes up to PIPE_BUF bytes of the queue.  Returns false when the descriptor
   accepts none. */
static bool
write_block (int wait_ms)
{
  char piece[PIPE_BUF];
  size_t length;
  ssize_t n;

  if (!is_writable (wait_ms))
    return false;
  pthread_mutex_lock (&queue.lock);
  length = BD_LOG_QUEUE_BYTES - queue.start;
  if (length > queue.length)
    length = queue.length;
  if (length > PIPE_BUF)
    length = PIPE_BUF;
  memcpy (piece, queue.bytes + queue.start, length);
  pthread_mutex_unlock (&queue.lock);
  n = write (queue.fd, piece, length);
  if (n <= 0)
    return false;
  pthread_mutex_lock (&queue.lock);
  queue.start = (queue.start + (size_t)n) % BD_LOG_QUEUE_BYTES;
  queue.length -= (size_t)n;
  pthread_mutex_unlock (&queue.lock);
  return true;
}

/* Logs how many lines were dropped, at most once a second. */
static void
report_dropped (void)
{
  int64_t second = bd_clock_ms () / 1000;
  uint64_t dropped = 0;

  pthread_mutex_lock (&queue.lock);
  if (second != queue.rate_second)
    {
      dropped = queue.dropped;
      queue.dropped = 0;
    }
  pthread_mutex_unlock (&queue.lock);
  if (dropped > 0)
    bd_log (BD_EVENT_LOG_DROPPED, "lines=%llu", (unsigned long long)dropped);
}

static bool
has_queued_bytes (void)
{
  bool waiting;

  pthread_mutex_lock (&queue.lock);
  waiting = queue.length > 0;
  pthread_mutex_unlock (&queue.lock);
  return waiting;
}

void
bd_log_flush (void)
{
  report_dropped ();
  while (has_queued_bytes () && write_block (0))
    ;
}

static void *
run_writer (void *unused)
{
  struct timespec until;
  bool stopping = false;

  (void)unused;
  while (!stopping)
    {
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_sec++;
      pthread_mutex_lock (&queue.lock);
      while (queue.length == 0 && !queue.stopping
             && pthread_cond_timedwait (&queue.filled, &queue.lock, &until)
                    == 0)
        ;
      stopping = queue.stopping;
      pthread_mutex_unlock (&queue.lock);
      while (has_queued_bytes () && write_block (WRITABLE_TIMEOUT_MS))
        ;
      report_dropped ();
    }
  return NULL;
}

int
bd_log_start_thread (int fd, uint32_t lines_per_s)
{
  queue.fd = fd;
  queue.lines_per_s = lines_per_s;
  queue.stopping = false;
  if (pthread_create (&queue.writer, NULL, run_writer, NULL) != 0)
    return BD_ERR_NOMEM;
  queue.output_mode = OUTPUT_THREAD;
  return BD_OK;
}

void
bd_log_stop_thread (void)
{
  if (queue.output_mode != OUTPUT_THREAD)
    return;
  pthread_mutex_lock (&queue.lock);
  queue.stopping = true;
  pthread_cond_signal (&queue.filled);
  pthread_mutex_unlock (&queue.lock);
  pthread_join (queue.writer, NULL);
  queue.output_mode = OUTPUT_STDERR;
}

const char *
bd_log_quote (struct bd_chunk value, char *text, size_t size)
{
  size_t used = 0;

  text[used++] = '"';
  for (size_t i = 0; i < value.length; i++)
    {
      unsigned char c = (unsigned char)value.data[i];
      char piece[5];
      int n;

      if (c < 0x20 || c == 0x7f)
        n = snprintf (piece, sizeof piece, "\\x%02x", c);
      else if (c == '"' || c == '\\')
        n = snprintf (piece, sizeof piece, "\\%c", c);
      else
        n = snprintf (piece, sizeof piece, "%c", c);
      if (used + (size_t)n + 2 > size)
        break;
      memcpy (text + used, piece, (size_t)n);
      used += (size_t)n;
    }
  text[used++] = '"';
  text[used] = '\0';
  return text;
}

void
bd_log_visit (void (*visit) (void *context, struct bd_chunk line),
              void *context)
{
  uint64_t end = atomic_load (&next_number);
  uint64_t first = end > BD_LOG_RECENT_LINES ? end - BD_LOG_RECENT_LINES : 1;

  pthread_once (&recent_lines_once, init_recent_lines);
  for (uint64_t number = first; number < end; number++)
    {
      struct recent_line *recent_line
          = &recent_lines[number % BD_LOG_RECENT_LINES];
      char line[BD_LOG_RECENT_LINE_BYTES];
      size_t length = 0;

      pthread_mutex_lock (&recent_line->lock);
      if (recent_line->number == number)
        {
          length = recent_line->length;
          memcpy (line, recent_line->line, length);
        }
      pthread_mutex_unlock (&recent_line->lock);
      if (length > 0)
        visit (context, (struct bd_chunk){ line, length });
    }
}

void
bd_log_request (enum bd_event event, struct bd_id request, uint32_t attempt,
                const char *detail)
{
  const char *separator = strchr (detail, '=') ? " " : " detail=";
  char text[BD_ID_HEX_LENGTH + 1];

  if (!bd_log_enabled (event))
    return;
  bd_id_format (request, text);
  bd_log (event, "request=%s attempt=%u%s%s", text, attempt,
          detail[0] ? separator : "", detail);
}

void
bd_log_document (enum bd_event event, struct bd_chunk name, const char *reason)
{
  char quoted[REASON_BYTES];

  if (reason[0])
    bd_log (event, "document=%.*s reason=%s", (int)name.length, name.data,
            bd_log_quote (bd_chunk_of (reason), quoted, sizeof quoted));
  else
    bd_log (event, "document=%.*s", (int)name.length, name.data);
}
