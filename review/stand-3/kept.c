#include "kept.h"

#include <string.h>

#define RUNNERS 9
#define SLOTS 64
/* Streams last 11 s, within the route's 12 s. */
#define EVENTS 44
#define EVENT_MS 250
#define ORDINARY 8
#define ORDINARY_BODY_BYTES 17000
#define WATCH_MS 10
#define WAIT_MS 40000
/* LOST: more than three such requests. */
#define LOST_ALLOWED 3

static struct stand_runner runners[RUNNERS];
static struct stand_gateway gateways[STAND_GATEWAYS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int ordinary_lost;
static int ordinary_ended;
static long most_kb;
static bool over_limit;
static bool done;

static bool
serve (struct stand_runner *runner, struct stand_conn *conn, const char *head)
{
  if (stand_runner_misdirected (runner, conn, head))
    return true;
  if (!stand_begin_stream (conn, head, ""))
    return false;
  for (int i = 1; i <= EVENTS; i++)
    {
      if (!stand_send_event (runner, conn, i))
        return false;
      stand_sleep_ms (EVENT_MS);
    }
  return stand_end_stream (conn);
}

bool
kept_write_head (const struct stand_conn *conn, const char *id,
                 const char *framing)
{
  char head[1024];

  snprintf (head, sizeof head,
            "POST /carcass/2f HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
            "X-Basildock-Attempt-Id: %s\r\nX-Basildock-Model: m\r\n"
            "X-Basildock-Token-Usage: 3720,120\r\n"
            "X-Basildock-Prefix-Hash: 5c1e07a2:13300,%s:3720\r\n"
            "X-Basildock-Deadline-Ms: 12000\r\n"
            "Authorization: Token " STAND_KEY "\r\n%s\r\n\r\n",
            id, id, framing);
  return stand_write_text (conn, head);
}

/* Returns whether the answer was whole. */
static bool
ask (struct stand_conn *conn, int number, int stream)
{
  static const char body[ORDINARY_BODY_BYTES];
  struct stand_reply reply = { 0 };
  char framing[64];
  char id[STAND_ID_BYTES];

  snprintf (id, sizeof id, "0d%04x%02x", (unsigned)number, (unsigned)stream);
  snprintf (framing, sizeof framing, "Content-Length: %d",
            ORDINARY_BODY_BYTES);
  if (kept_write_head (conn, id, framing)
      && stand_write (conn, body, sizeof body))
    stand_read_reply (conn, &reply);
  stand_record ("ordinary caller %d, stream %d: status %d, %s", number, stream,
                reply.status, reply.complete ? "whole" : "not whole");
  stand_clear_reply (&reply);
  return reply.complete;
}

/* Keeps its connection for two streams. */
static void *
run_ordinary_caller (void *context)
{
  int number = (int)(intptr_t)context;
  struct stand_conn conn;
  bool lost = false;

  if (stand_connect (&conn, KEPT_GATEWAY, STAND_CALLERS_PORT))
    {
      lost = ask (&conn, number, 0) && !ask (&conn, number, 1);
      stand_close (&conn);
    }
  pthread_mutex_lock (&lock);
  ordinary_lost += lost;
  ordinary_ended++;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* The platform ends a process whose memory passes the limit. */
static void *
watch_memory (void *context)
{
  (void)context;
  while (!done)
    {
      for (int i = 0; i < STAND_GATEWAYS; i++)
        {
          long kb = stand_gateway_memory_kb (&gateways[i]);

          if (kb > most_kb)
            most_kb = kb;
          if (kb <= STAND_MEMORY_MB * 1024L)
            continue;
          stand_record ("gateway %d uses %ld kB, over %d MB: the platform "
                        "ends it",
                        gateways[i].host, kb, STAND_MEMORY_MB);
          over_limit = true;
          stand_gateway_kill (&gateways[i]);
        }
      stand_sleep_ms (WATCH_MS);
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
  stand_thread (watch_memory, NULL);
  stand_gateways_wait (gateways, STAND_GATEWAYS);
  stand_sleep_ms (STAND_STABLE_MS + 1000);
}

static int
judge (void)
{
  int result = STAND_HELD;

  if (ordinary_ended < ORDINARY)
    result = STAND_NOT_RUN;
  else if (ordinary_lost > LOST_ALLOWED)
    result = STAND_BROKEN;
  stand_record ("most memory %ld kB, limit %d MB, %s", most_kb,
                STAND_MEMORY_MB, over_limit ? "passed" : "kept");
  stand_record ("streams on kept connections without a whole answer: %d of "
                "%d, %d allowed: LOST %s",
                ordinary_lost, ORDINARY, LOST_ALLOWED,
                result == STAND_BROKEN ? "broken" : "held");
  return result;
}

int
kept_play (const char *folder, void (*start_disruption) (void))
{
  int64_t until_ms;
  int result;

  stand_begin (folder);
  start ();
  stand_record ("ordinary callers begin");
  for (int i = 0; i < ORDINARY; i++)
    stand_thread (run_ordinary_caller, (void *)(intptr_t)i);
  stand_sleep_ms (EVENTS * EVENT_MS + 2000);
  if (stand_trouble ())
    {
      stand_record ("the disruption begins");
      start_disruption ();
    }
  until_ms = stand_now_ms () + WAIT_MS;
  while (ordinary_ended < ORDINARY && stand_now_ms () < until_ms)
    stand_sleep_ms (100);
  stand_sleep_ms (1000);
  done = true;
  result = judge ();
  stand_end ();
  return result;
}
