/* A request crashes each runner that begins to run it, with its first event.
   Its caller sends it again and again, at all gateways in turn.  Sound
   requests share all parts of its prompt but the last. */
#include "stand.h"

#include <stdlib.h>
#include <string.h>

#define RUNNERS 9
#define BACK_MS 3000
/* Time between two attempts of the request that crashes runners, and for
   which they are sent. */
#define AGAIN_MS 1200
#define SENDING_MS 45000
/* BUDGET: more than three, later than the stable window after the third
   crash. */
#define RETRIES_ALLOWED 3
#define CRASHES_ALLOWED 3
#define SOUND_CALLERS 12
#define EVENTS 16
#define EVENT_MS 100
#define POISON_BODY "plan for carcass 4711\n"
#define POISON_PATH "/carcass/poison/2f"
#define SOUND_PATH "/carcass/2f"

static struct stand_runner runners[RUNNERS];
static struct stand_gateway gateways[STAND_GATEWAYS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t third_crash_ms;
static int crashes;
static int late_arrivals;
static int arrivals;
static int sound_whole;
static int sound_cut;
static bool done;

static void *
restart (void *context)
{
  stand_sleep_ms (BACK_MS);
  stand_runner_start (context, false);
  return NULL;
}

static void
count_arrival (const struct stand_runner *runner)
{
  int64_t now = stand_now_ms ();
  bool late;

  pthread_mutex_lock (&lock);
  arrivals++;
  late = third_crash_ms != 0 && now - third_crash_ms > STAND_STABLE_MS;
  late_arrivals += late;
  pthread_mutex_unlock (&lock);
  stand_record ("runner %s gets the request%s", runner->id,
                late ? ", late" : "");
}

/* Begins to run the request: its first event is the end of the process. */
static void
crash (struct stand_runner *runner)
{
  pthread_mutex_lock (&lock);
  if (++crashes == CRASHES_ALLOWED)
    third_crash_ms = stand_now_ms ();
  pthread_mutex_unlock (&lock);
  stand_record ("runner %s crashes, crash %d", runner->id, crashes);
  stand_runner_crash (runner);
  stand_thread (restart, runner);
}

static bool
serve (struct stand_runner *runner, struct stand_conn *conn, const char *head)
{
  bool is_poison = strstr (head, POISON_PATH) != NULL;

  if (stand_runner_misdirected (runner, conn, head))
    return true;
  if (is_poison)
    count_arrival (runner);
  if (!stand_begin_stream (conn, head))
    return false;
  for (int i = 1; i <= EVENTS; i++)
    {
      stand_sleep_ms (EVENT_MS);
      if (!stand_send_event (runner, conn, i))
        return false;
      if (is_poison && stand_trouble ())
        {
          stand_sleep_ms (EVENT_MS / 4);
          crash (runner);
          return false;
        }
    }
  return stand_end_stream (conn);
}

/* Sends a request at the gateway HOST and reads its answer. */
static void
ask (int host, const char *path, const char *id, const char *part,
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
            "X-Basildock-Prefix-Hash: 5c1e07a2:13300,%s:3720\r\n"
            "X-Basildock-Deadline-Ms: 12000\r\n"
            "Authorization: Token " STAND_KEY "\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            path, id, part, strlen (body), body);
  if (stand_write_text (&conn, text))
    stand_read_reply (&conn, reply);
  stand_close (&conn);
}

static void *
run_sound_caller (void *context)
{
  int number = (int)(intptr_t)context;
  struct stand_reply reply;
  char id[STAND_ID_BYTES];

  for (int i = 0; !done; i++)
    {
      snprintf (id, sizeof id, "50%04x%04x", (unsigned)number, (unsigned)i);
      ask (number % STAND_GATEWAYS + 1, SOUND_PATH, id, id, "sound\n", &reply);
      pthread_mutex_lock (&lock);
      sound_whole += reply.complete && reply.status == 200;
      sound_cut += !reply.complete;
      pthread_mutex_unlock (&lock);
      stand_clear_reply (&reply);
      stand_sleep_ms (100);
    }
  return NULL;
}

static void
send_poison (void)
{
  struct stand_reply reply;
  char id[STAND_ID_BYTES];
  int64_t until_ms = stand_now_ms () + SENDING_MS;

  for (int i = 0; stand_now_ms () < until_ms; i++)
    {
      int host = i % STAND_GATEWAYS + 1;

      snprintf (id, sizeof id, "be%06x", (unsigned)i);
      ask (host, POISON_PATH, id, "e4402b7d", POISON_BODY, &reply);
      stand_record ("attempt %d at gateway %d: status %d, %s", i, host,
                    reply.status, reply.complete ? "whole" : "not whole");
      stand_clear_reply (&reply);
      stand_sleep_ms (AGAIN_MS);
    }
}

int
main (int argc, char **argv)
{
  int result;

  stand_begin (argc > 1 ? argv[1] : ".");
  stand_store_start ();
  stand_store_configure ();
  for (int i = 0; i < RUNNERS; i++)
    stand_runner_create (&runners[i], STAND_RUNNER_HOST + i, "yield-model", 64,
                         serve);
  for (int i = 0; i < STAND_GATEWAYS; i++)
    stand_gateway_start (&gateways[i], i + 1);
  stand_gateways_wait (gateways, STAND_GATEWAYS);
  for (int i = 0; i < SOUND_CALLERS; i++)
    stand_thread (run_sound_caller, (void *)(intptr_t)i);
  stand_sleep_ms (STAND_STABLE_MS + 3000);
  send_poison ();
  done = true;
  stand_sleep_ms (EVENTS * EVENT_MS + 500);
  result = late_arrivals > RETRIES_ALLOWED ? STAND_BROKEN : STAND_HELD;
  if (sound_whole == 0)
    result = STAND_NOT_RUN;
  stand_record ("%d arrivals, %d crashes; sound streams: %d whole, %d cut",
                arrivals, crashes, sound_whole, sound_cut);
  stand_record ("arrivals later than %d ms after the third crash: %d, %d "
                "allowed: BUDGET %s",
                STAND_STABLE_MS, late_arrivals, RETRIES_ALLOWED,
                result == STAND_BROKEN ? "broken" : "held");
  stand_end ();
  return result;
}
