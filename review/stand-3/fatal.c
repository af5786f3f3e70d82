#include "fatal.h"

#include <string.h>

#define RUNNERS 9
#define SLOTS 64
#define BACK_MS 3000
/* BUDGET: more than three, later than the stable window after the crash. */
#define LATE_ALLOWED 3
#define SOUND_CALLERS 12
#define SOUND_PAUSE_MS 100
#define EVENTS 16
#define EVENT_MS 100
#define END_MS 25

static const struct fatal_case *current;
static struct stand_runner runners[RUNNERS];
static struct stand_gateway gateways[STAND_GATEWAYS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t counted_from_ms;
static int crashes;
static int arrivals;
static int late_arrivals;
static int sound_whole;
static int sound_refused;
static int sound_cut;
static bool done;

static void *
restart (void *context)
{
  stand_sleep_ms (BACK_MS);
  stand_runner_start (context, false);
  return NULL;
}

/* The request's first event is the end of the process. */
static void
crash (struct stand_runner *runner)
{
  if (!stand_runner_crash (runner))
    return;
  pthread_mutex_lock (&lock);
  if (++crashes == current->crash_count)
    counted_from_ms = stand_now_ms () + STAND_STABLE_MS;
  stand_record ("runner %s crashes, crash %d", runner->id, crashes);
  pthread_mutex_unlock (&lock);
  stand_thread (restart, runner);
}

static void
count_arrival (const struct stand_runner *runner)
{
  bool late;

  pthread_mutex_lock (&lock);
  arrivals++;
  late = counted_from_ms != 0 && stand_now_ms () > counted_from_ms;
  late_arrivals += late;
  pthread_mutex_unlock (&lock);
  stand_record ("runner %s gets a fatal request%s", runner->id,
                late ? ", late" : "");
}

static bool
serve (struct stand_runner *runner, struct stand_conn *conn, const char *head)
{
  bool is_fatal = strstr (head, current->mark) != NULL;

  if (stand_runner_misdirected (runner, conn, head))
    return true;
  if (is_fatal)
    count_arrival (runner);
  if (!stand_begin_stream (conn, head, ""))
    return false;
  for (int i = 1; i <= EVENTS; i++)
    {
      stand_sleep_ms (EVENT_MS);
      if (!stand_send_event (runner, conn, i))
        return false;
      if (is_fatal && stand_trouble ())
        {
          stand_sleep_ms (END_MS);
          crash (runner);
          return false;
        }
    }
  return stand_end_stream (conn);
}

/* Fills in REPLY, which the caller clears. */
static void
ask (int host, const char *path, const char *id, const char *parts,
     const char *body, struct stand_reply *reply)
{
  struct stand_conn conn;
  char text[1024];

  memset (reply, 0, sizeof *reply);
  if (!stand_connect (&conn, host, STAND_CALLERS_PORT))
    return;
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
            "X-Basildock-Attempt-Id: %s\r\nX-Basildock-Model: m\r\n"
            "X-Basildock-Token-Usage: 3720,48\r\n"
            "X-Basildock-Prefix-Hash: %s\r\n"
            "X-Basildock-Deadline-Ms: 12000\r\n"
            "Authorization: Token " STAND_KEY "\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            path, id, parts, strlen (body), body);
  if (stand_write_text (&conn, text))
    stand_read_reply (&conn, reply);
  stand_close (&conn);
}

void
fatal_ask (int host, const char *path, const char *id, const char *parts,
           const char *body)
{
  struct stand_reply reply;

  ask (host, path, id, parts, body, &reply);
  stand_record ("fatal request %s at gateway %d: status %d, %s", id, host,
                reply.status, reply.complete ? "whole" : "not whole");
  stand_clear_reply (&reply);
}

static void *
run_sound_caller (void *context)
{
  int number = (int)(intptr_t)context;
  struct stand_reply reply;
  char id[STAND_ID_BYTES];
  char parts[STAND_ID_BYTES * 2];

  for (int i = 0; !done; i++)
    {
      snprintf (id, sizeof id, "50%04x%04x", (unsigned)number, (unsigned)i);
      snprintf (parts, sizeof parts, FATAL_SOUND_PART ",%s:1110", id);
      ask (number % STAND_GATEWAYS + 1, FATAL_SOUND_PATH, id, parts, "sound\n",
           &reply);
      pthread_mutex_lock (&lock);
      sound_whole += reply.complete && reply.status == 200;
      sound_refused += reply.complete && reply.status == 503;
      sound_cut += !reply.complete;
      pthread_mutex_unlock (&lock);
      stand_clear_reply (&reply);
      stand_sleep_ms (SOUND_PAUSE_MS);
    }
  return NULL;
}

static void
start (void)
{
  stand_store_start ();
  stand_store_configure ();
  for (int i = 0; i < RUNNERS; i++)
    stand_runner_create (&runners[i], STAND_RUNNER_HOST + i, "yield-model",
                         SLOTS, serve);
  for (int i = 0; i < STAND_GATEWAYS; i++)
    stand_gateway_start (&gateways[i], i + 1);
  stand_gateways_wait (gateways, STAND_GATEWAYS);
  for (int i = 0; i < SOUND_CALLERS; i++)
    stand_thread (run_sound_caller, (void *)(intptr_t)i);
  stand_sleep_ms (STAND_STABLE_MS + 3000);
}

static int
judge (void)
{
  int result = late_arrivals > LATE_ALLOWED ? STAND_BROKEN : STAND_HELD;

  if (sound_whole == 0 || arrivals == 0)
    result = STAND_NOT_RUN;
  stand_record (
      "%d arrivals, %d crashes; sound streams: %d whole, %d refused, "
      "%d cut",
      arrivals, crashes, sound_whole, sound_refused, sound_cut);
  stand_record ("arrivals later than %d ms after crash %d: %d, %d allowed: "
                "BUDGET %s",
                STAND_STABLE_MS, current->crash_count, late_arrivals,
                LATE_ALLOWED, result == STAND_BROKEN ? "broken" : "held");
  return result;
}

int
fatal_play (const char *folder, const struct fatal_case *played)
{
  int result;

  current = played;
  stand_begin (folder);
  start ();
  played->send ();
  done = true;
  stand_sleep_ms (EVENTS * EVENT_MS + 500);
  result = judge ();
  stand_end ();
  return result;
}
