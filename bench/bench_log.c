/* Measures how long a log call holds up its thread, in three cases: the reader
   of the pipe keeps up, nobody reads a pipe of one page, and the line is below
   the log threshold.  The first two are measured with lines flushed by an
   event loop and with the writer thread.  Prints one JSON line a case. */
#include "common/clock.h"
#include "common/log.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define LINES 200000
#define PAGE_BYTES 4096
#define READ_BYTES 65536

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static int
compare (const void *a, const void *b)
{
  const int64_t *x = a;
  const int64_t *y = b;

  return (*x > *y) - (*x < *y);
}

static void *
drain_pipe (void *data)
{
  static char bytes[READ_BYTES];
  const int *fd = data;

  while (read (*fd, bytes, sizeof bytes) > 0)
    ;
  return NULL;
}

/* Logs LINES lines and prints the time of each call.  FLUSHES: flush after
   each line, as an event loop does. */
static void
measure (const char *name, bool flushes)
{
  int64_t *each = malloc (LINES * sizeof *each);
  int64_t sum = 0;

  if (!each)
    return;
  for (int i = 0; i < LINES; i++)
    {
      int64_t before = now_ns ();

      bd_log (BD_EVENT_REQUEST_DONE,
              "request=\"%016x\" route=%s runner=%s status=%d first_ms=%d "
              "gap_ms=%d ms=%d",
              i, "route", "runner", 200, 100, 20, 500);
      if (flushes)
        bd_log_flush ();
      each[i] = now_ns () - before;
      sum += each[i];
    }
  qsort (each, LINES, sizeof *each, compare);
  printf ("{\"log\":\"%s\",\"lines\":%d,\"mean_ns\":%lld,\"p50_ns\":%lld,"
          "\"p99_9_ns\":%lld,\"most_ns\":%lld}\n",
          name, LINES, (long long)(sum / LINES), (long long)each[LINES / 2],
          (long long)each[LINES - LINES / 1000], (long long)each[LINES - 1]);
  free (each);
}

int
main (void)
{
  pthread_t reader;
  int read_ends[2];
  int unread_ends[2];

  if (pipe (read_ends) != 0 || pipe (unread_ends) != 0
      || fcntl (unread_ends[1], F_SETPIPE_SZ, PAGE_BYTES) < 0
      || pthread_create (&reader, NULL, drain_pipe, &read_ends[0]) != 0)
    {
      fputs ("bench_log: cannot create the pipes or the thread\n", stderr);
      return EXIT_FAILURE;
    }
  bd_log_init ("i-1", BD_SEVERITY_ERROR);
  bd_log_start_queue (read_ends[1], 0);
  measure ("below_severity", true);
  bd_log_init ("i-1", BD_SEVERITY_INFO);
  measure ("loop_read", true);
  bd_log_start_queue (unread_ends[1], 0);
  measure ("loop_unread", true);
  if (bd_log_start_thread (read_ends[1], 0) != BD_OK)
    return EXIT_FAILURE;
  measure ("thread_read", false);
  bd_log_stop_thread ();
  if (bd_log_start_thread (unread_ends[1], 0) != BD_OK)
    return EXIT_FAILURE;
  measure ("thread_unread", false);
  bd_log_stop_thread ();
  close (read_ends[1]);
  pthread_join (reader, NULL);
  return EXIT_SUCCESS;
}
