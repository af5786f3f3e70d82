/*
 * A sound runner of streams that may be resumed: it runs a request, lists the
 * parts of prompts that it holds, and answers 421 to a request for another
 * runner.  SIGUSR1 makes it full for a second: it turns requests away without
 * running them, and asks for a pause of that length.
 */
#include "stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define EVENTS 20
#define EVENT_GAP_MS 100
#define PAUSE_S 1
#define PAUSE_MS (PAUSE_S * INT64_C (1000))
#define HELD_MAX 256
#define PART_BYTES 32

/* Set by SIGUSR1. */
static volatile sig_atomic_t became_full;

/* The runner that this process plays. */
static struct
{
  pthread_mutex_t lock;
  const char *id;
  const char *version;
  int64_t full_until_ms;
  char held[HELD_MAX][PART_BYTES];
  size_t held_count;
} runner = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Keeps the last part of the prompt, as a runner does that has read it. */
static void
hold_last_part (const struct message *request)
{
  char prefix[256] = "";
  char *last;
  bool known = false;

  field_of (request, "X-Basildock-Prefix-Hash", prefix, sizeof prefix);
  last = strrchr (prefix, ',');
  last = last ? last + 1 : prefix;
  last[strcspn (last, ":")] = '\0';
  pthread_mutex_lock (&runner.lock);
  for (size_t i = 0; i < runner.held_count && !known; i++)
    known = strcmp (runner.held[i], last) == 0;
  if (!known && runner.held_count < HELD_MAX)
    snprintf (runner.held[runner.held_count++], PART_BYTES, "%.*s",
              PART_BYTES - 1, last);
  pthread_mutex_unlock (&runner.lock);
}

static bool
answer_kv_list (int fd)
{
  char *body = format_text ("{\"epoch\":1,\"next\":1,\"held\":[");
  bool sent;

  pthread_mutex_lock (&runner.lock);
  for (size_t i = 0; i < runner.held_count; i++)
    {
      char *more = format_text ("%s%s[\"\",\"%s\",660,\"m\"]", body,
                                i > 0 ? "," : "", runner.held[i]);

      free (body);
      body = more;
    }
  record ("%s (%s) lists %zu parts", runner.id, runner.version,
          runner.held_count);
  pthread_mutex_unlock (&runner.lock);
  sent = send_text (fd,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s]}",
                    strlen (body) + 2, body);
  free (body);
  return sent;
}

/* Turns a request away without running it. */
static bool
refuse (int fd, const char *attempt)
{
  record ("%s (%s) refuses %s: full", runner.id, runner.version, attempt);
  return send_text (fd,
                    "HTTP/1.1 503 Service Unavailable\r\n"
                    "X-Basildock-Attempt-Id: %s\r\n"
                    "X-Basildock-Not-Executed: 1\r\nRetry-After: %d\r\n"
                    "Content-Length: 0\r\n\r\n",
                    attempt, PAUSE_S);
}

static bool
run_stream (int fd, const struct message *request, const char *attempt)
{
  char last[32] = "0";
  int first;
  bool open;

  field_of (request, "Last-Event-Id", last, sizeof last);
  first = (int)strtol (last, NULL, 10) + 1;
  record ("%s (%s) runs %s from event %d", runner.id, runner.version, attempt,
          first);
  hold_last_part (request);
  open = send_text (fd,
                    "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: %s\r\n"
                    "X-Basildock-Response-Signature: s.%s.%s\r\n"
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    attempt, runner.id, attempt);
  for (int i = first; open && i <= EVENTS; i++)
    {
      char *event = format_text ("id: %d\ndata: %s %s %d\n\n", i,
                                 runner.version, runner.id, i);

      sleep_ms (EVENT_GAP_MS);
      open = send_text (fd, "%zx\r\n%s\r\n", strlen (event), event);
      free (event);
    }
  return open && send_text (fd, "0\r\n\r\n");
}

/* Whether the runner wants nothing now, which it does for a while from the
   first request on that it gets after the signal. */
static bool
is_full (void)
{
  bool full;

  pthread_mutex_lock (&runner.lock);
  if (became_full)
    runner.full_until_ms = now_ms () + PAUSE_MS;
  became_full = 0;
  full = now_ms () < runner.full_until_ms;
  pthread_mutex_unlock (&runner.lock);
  return full;
}

static bool
answer_request (int fd, const struct message *request)
{
  char attempt[64] = "";
  char wanted[64] = "";

  if (strstr (request->text, "/v1/kv-list"))
    return answer_kv_list (fd);
  field_of (request, "X-Basildock-Attempt-Id", attempt, sizeof attempt);
  if (field_of (request, "X-Basildock-Target-Instance", wanted, sizeof wanted)
      && strcmp (wanted, runner.id) != 0)
    return send_text (fd,
                      "HTTP/1.1 421 Misdirected Request\r\n"
                      "X-Basildock-Instance-Id: %s\r\n"
                      "X-Basildock-Attempt-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n",
                      runner.id, attempt);
  if (is_full ())
    return refuse (fd, attempt);
  return run_stream (fd, request, attempt);
}

static void
handle_runner_connection (int fd)
{
  struct message request;
  bool open = true;

  while (open && read_message (fd, &request, 60000))
    {
      open = request.complete && answer_request (fd, &request);
      free_message (&request);
    }
}

static void
on_signal (int number)
{
  (void)number;
  became_full = 1;
}

/* Arguments: identifier, software version, port, record. */
int
main (int argc, char **argv)
{
  int port = argc == 5 ? (int)strtol (argv[3], NULL, 10) : 0;
  int listener = listen_at ("127.0.0.1", &port);

  if (argc != 5 || listener < 0)
    return EXIT_FAILURE;
  runner.id = argv[1];
  runner.version = argv[2];
  record_open (argv[4]);
  signal (SIGUSR1, on_signal);
  serve (listener, handle_runner_connection);
  for (;;)
    pause ();
}
