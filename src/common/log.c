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
/* How long the writing thread waits for a reader, in milliseconds. */
#define WRITE_WAIT_MS 200

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

/* A kept line.  Writers claim slots by an atomic counter, so the lock of a
   slot is only contended by a reader or by a writer one round ahead. */
struct slot
{
  pthread_mutex_t lock;
  uint64_t number;
  size_t length;
  char line[BD_LOG_KEPT_LINE_BYTES];
};

static struct slot slots[BD_LOG_KEPT_LINES];
static pthread_once_t slots_once = PTHREAD_ONCE_INIT;
static _Atomic uint64_t next_number = 1;
static _Atomic int least_severity = BD_SEVERITY_INFO;
static char instance_name[INSTANCE_MAX_BYTES] = "-";

/* How lines leave the process. */
enum route
{
  ROUTE_ERROR,  /* At once, to standard error. */
  ROUTE_LOOP,   /* Queued for bd_log_flush (). */
  ROUTE_THREAD, /* At once where nothing waits, else by a thread. */
};

/* Lines that wait to be written; a ring of bytes. */
struct queue
{
  pthread_mutex_t lock;
  pthread_cond_t filled;
  pthread_t writer;
  enum route route;
  int fd;
  uint32_t lines_per_s; /* Ordinary lines; 0: any number. */
  size_t start;
  size_t length;
  int64_t second; /* In which lines_now were queued. */
  uint32_t lines_now;
  uint64_t dropped; /* Since the last report. */
  bool stopping;
  char bytes[BD_LOG_QUEUE_BYTES];
};

static struct queue queue = { .lock = PTHREAD_MUTEX_INITIALIZER,
                              .filled = PTHREAD_COND_INITIALIZER,
                              .fd = -1 };

static void
init_slots (void)
{
  for (size_t i = 0; i < BD_LOG_KEPT_LINES; i++)
    pthread_mutex_init (&slots[i].lock, NULL);
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
bd_log_open (const char *instance, enum bd_severity least)
{
  snprintf (instance_name, sizeof instance_name, "%s", instance);
  atomic_store (&least_severity, (int)least);
}

bool
bd_log_shows (enum bd_event event)
{
  return (int)find_event (event)->severity <= atomic_load (&least_severity);
}

static size_t
put_text (char *line, size_t length, const char *format, va_list args)
{
  size_t room = BD_LOG_LINE_MAX_BYTES - 1 - length;
  int n = vsnprintf (line + length, room, format, args);

  if (n < 0)
    return length;
  return length + ((size_t)n < room ? (size_t)n : room - 1);
}

static size_t
put_header (char *line, const struct event_row *row)
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

/* No value may start a new line or steer a terminal. */
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
keep_line (const char *line, size_t length)
{
  uint64_t number = atomic_fetch_add (&next_number, 1);
  struct slot *slot = &slots[number % BD_LOG_KEPT_LINES];

  if (length > BD_LOG_KEPT_LINE_BYTES)
    length = BD_LOG_KEPT_LINE_BYTES;
  pthread_once (&slots_once, init_slots);
  pthread_mutex_lock (&slot->lock);
  if (number > slot->number)
    {
      memcpy (slot->line, line, length);
      slot->length = length;
      slot->number = number;
    }
  pthread_mutex_unlock (&slot->lock);
}

/* True when FD takes PIPE_BUF bytes without blocking. */
static bool
is_writable (int wait_ms)
{
  struct pollfd poller = { .fd = queue.fd, .events = POLLOUT };

  return poll (&poller, 1, wait_ms) > 0 && (poller.revents & POLLOUT);
}

/* Whether a line of SEVERITY is over what a second may hold. */
static bool
over_budget (enum bd_severity severity)
{
  int64_t second = bd_clock_ms () / 1000;

  if (second != queue.second)
    {
      queue.second = second;
      queue.lines_now = 0;
    }
  if (severity < BD_SEVERITY_INFO)
    return false;
  if (queue.lines_per_s > 0 && queue.lines_now >= queue.lines_per_s)
    return true;
  queue.lines_now++;
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

/* Sends LINE, which ends in a newline, on its way. */
static void
put_line (enum bd_severity severity, const char *line, size_t length)
{
  size_t written = 0;

  pthread_mutex_lock (&queue.lock);
  if (over_budget (severity))
    queue.dropped++;
  else
    {
      if (queue.route == ROUTE_THREAD && queue.length == 0 && is_writable (0))
        {
          ssize_t n = write (queue.fd, line, length);

          written = n > 0 ? (size_t)n : 0;
        }
      if (written < length)
        enqueue (severity, line + written, length - written);
      if (queue.route == ROUTE_THREAD && queue.length > 0)
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

  if ((int)row->severity > atomic_load (&least_severity))
    return;
  length = put_header (line, row);
  if (format[0] != '\0')
    {
      line[length++] = ' ';
      va_start (args, format);
      length = put_text (line, length, format, args);
      va_end (args);
    }
  mask_control_bytes (line, length);
  if (queue.route != ROUTE_LOOP)
    keep_line (line, length);
  line[length++] = '\n';
  if (queue.route != ROUTE_ERROR)
    put_line (row->severity, line, length);
  else if (write (STDERR_FILENO, line, length) < 0)
    return;
}

void
bd_log_queue (int fd, uint32_t lines_per_s)
{
  queue.fd = fd;
  queue.lines_per_s = lines_per_s;
  queue.route = fd < 0 ? ROUTE_ERROR : ROUTE_LOOP;
}

/* Writes one piece of the queue.  Returns false when FD takes nothing. */
static bool
write_piece (int wait_ms)
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

/* Says, once a second, how many lines were dropped. */
static void
report_dropped (void)
{
  int64_t second = bd_clock_ms () / 1000;
  uint64_t dropped = 0;

  pthread_mutex_lock (&queue.lock);
  if (second != queue.second)
    {
      dropped = queue.dropped;
      queue.dropped = 0;
    }
  pthread_mutex_unlock (&queue.lock);
  if (dropped > 0)
    bd_log (BD_EVENT_LOG_DROPPED, "lines=%llu", (unsigned long long)dropped);
}

static bool
is_waiting (void)
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
  while (is_waiting () && write_piece (0))
    ;
}

static void *
write_lines (void *unused)
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
      while (is_waiting () && write_piece (WRITE_WAIT_MS))
        ;
      report_dropped ();
    }
  return NULL;
}

int
bd_log_start (int fd, uint32_t lines_per_s)
{
  queue.fd = fd;
  queue.lines_per_s = lines_per_s;
  queue.stopping = false;
  if (pthread_create (&queue.writer, NULL, write_lines, NULL) != 0)
    return BD_ERR_NOMEM;
  queue.route = ROUTE_THREAD;
  return BD_OK;
}

void
bd_log_stop (void)
{
  if (queue.route != ROUTE_THREAD)
    return;
  pthread_mutex_lock (&queue.lock);
  queue.stopping = true;
  pthread_cond_signal (&queue.filled);
  pthread_mutex_unlock (&queue.lock);
  pthread_join (queue.writer, NULL);
  queue.route = ROUTE_ERROR;
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
  uint64_t first = end > BD_LOG_KEPT_LINES ? end - BD_LOG_KEPT_LINES : 1;

  pthread_once (&slots_once, init_slots);
  for (uint64_t number = first; number < end; number++)
    {
      struct slot *slot = &slots[number % BD_LOG_KEPT_LINES];
      char line[BD_LOG_KEPT_LINE_BYTES];
      size_t length = 0;

      pthread_mutex_lock (&slot->lock);
      if (slot->number == number)
        {
          length = slot->length;
          memcpy (line, slot->line, length);
        }
      pthread_mutex_unlock (&slot->lock);
      if (length > 0)
        visit (context, (struct bd_chunk){ line, length });
    }
}

void
bd_log_request (enum bd_event event, struct bd_id request, uint32_t attempt,
                const char *detail)
{
  const char *lead = strchr (detail, '=') ? " " : " detail=";
  char text[BD_ID_HEX_LENGTH + 1];

  if (!bd_log_shows (event))
    return;
  bd_id_format (request, text);
  bd_log (event, "request=%s attempt=%u%s%s", text, attempt,
          detail[0] ? lead : "", detail);
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
