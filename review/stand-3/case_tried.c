/* Many callers stream through one gateway, until its share of connections to
   eight of nine runners is used up; the ninth names a rate limit.  Callers
   whose connections to another gateway were reset take their streams up
   there. */
#include "stand.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define RUNNERS 9
#define SLOTS 64
#define LIMITED 8
#define CROWD 760
#define CROWD_TRIES 8
#define AGAIN_MS 300
#define ORDINARY 8
#define TAKERS 6
/* Events that they have, and when their connections are reset after that. */
#define TAKEN_EVENTS 3
#define RESET_MS 2500
#define SHORT_EVENTS 4
#define LONG_EVENTS 100
#define EVENT_MS 50
#define GATEWAY 1
#define OTHER_GATEWAY 2
/* LOST: more than three requests of kept connections. */
#define LOST_ALLOWED 3

static struct stand_runner runners[RUNNERS];
static struct stand_gateway gateways[STAND_GATEWAYS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int crowd_whole;
static int crowd_refused;
static int ordinary_lost;
static int ordinary_ended;
static int limited_count;

/* Returns the number after NAME in the head; 0: none. */
static int
number_of (const char *head, const char *name)
{
  char value[32];

  return stand_field (head, name, value, sizeof value)
             ? (int)strtol (value, NULL, 10)
             : 0;
}

/* A full runner does not run what comes. */
static bool
shed (const struct stand_conn *conn, const char *head)
{
  char id[STAND_ID_BYTES] = "";
  char text[256];

  stand_field (head, "X-Basildock-Attempt-Id", id, sizeof id);
  snprintf (text, sizeof text,
            "HTTP/1.1 503 Service Unavailable\r\n"
            "X-Basildock-Attempt-Id: %s\r\nX-Basildock-Not-Executed: 1\r\n"
            "Server-Limit: 1\r\nContent-Length: 0\r\n\r\n",
            id);
  stand_record ("the limited runner is full and turns %s away", id);
  return stand_write_text (conn, text);
}

static bool
serve (struct stand_runner *runner, struct stand_conn *conn, const char *head)
{
  bool is_limited = runner == &runners[LIMITED];
  int first = number_of (head, "Last-Event-Id") + 1;
  int last = strstr (head, "/cut/long/") ? LONG_EVENTS : SHORT_EVENTS;

  if (stand_runner_misdirected (runner, conn, head))
    return true;
  if (is_limited)
    {
      pthread_mutex_lock (&lock);
      limited_count++;
      pthread_mutex_unlock (&lock);
    }
  if (is_limited && first > 1)
    return shed (conn, head);
  if (!stand_begin_stream (conn, head,
                           is_limited ? "Server-Limit: 1\r\n" : ""))
    return false;
  for (int i = first; i <= last; i++)
    {
      stand_sleep_ms (EVENT_MS);
      if (!stand_send_event (runner, conn, i))
        return false;
    }
  return stand_end_stream (conn);
}

static bool
write_request (const struct stand_conn *conn, const char *path, const char *id,
               const char *fields)
{
  char text[1024];

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
            "X-Basildock-Attempt-Id: %s\r\nX-Basildock-Model: m\r\n"
            "X-Basildock-Token-Usage: 60,150\r\n"
            "X-Basildock-Prefix-Hash: %s:60\r\n"
            "X-Basildock-Deadline-Ms: 6000\r\n"
            "Authorization: Token " STAND_KEY "\r\n%s"
            "Content-Length: 6\r\n\r\nsheet\n",
            path, id, id, fields);
  return stand_write_text (conn, text);
}

/* Comes back a few times when it is refused. */
static void *
run_crowd_caller (void *context)
{
  int number = (int)(intptr_t)context;
  struct stand_conn conn;
  struct stand_reply reply = { .status = 503 };
  char id[STAND_ID_BYTES];

  for (int i = 0; i < CROWD_TRIES && reply.status == 503; i++)
    {
      stand_sleep_ms (i > 0 ? AGAIN_MS : 0);
      memset (&reply, 0, sizeof reply);
      snprintf (id, sizeof id, "c%02x%05x", (unsigned)i, (unsigned)number);
      if (!stand_connect (&conn, GATEWAY, STAND_CALLERS_PORT))
        break;
      if (write_request (&conn, "/cut/long/", id, ""))
        stand_read_reply (&conn, &reply);
      stand_clear_reply (&reply);
      stand_close (&conn);
    }
  pthread_mutex_lock (&lock);
  crowd_whole += reply.status == 200 && reply.complete;
  crowd_refused += reply.status == 503;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* Returns whether the answer was whole. */
static bool
ask_ordinary (struct stand_conn *conn, const char *path, int number, int turn)
{
  struct stand_reply reply = { 0 };
  char id[STAND_ID_BYTES];

  snprintf (id, sizeof id, "0d%04x%02x", (unsigned)number, (unsigned)turn);
  if (write_request (conn, path, id, ""))
    stand_read_reply (conn, &reply);
  stand_record ("ordinary caller %d, stream %d: status %d, %s", number, turn,
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
  bool is_lost = false;

  if (stand_connect (&conn, GATEWAY, STAND_CALLERS_PORT))
    {
      is_lost = ask_ordinary (&conn, "/cut/short/", number, 0)
                && !ask_ordinary (&conn, "/cut/long/", number, 1);
      stand_close (&conn);
    }
  pthread_mutex_lock (&lock);
  ordinary_lost += is_lost;
  ordinary_ended++;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* Reads the answer to its request, for which CONN is open. */
static void
end_stream (struct stand_conn *conn, const char *id, const char *what)
{
  struct stand_reply reply;

  stand_read_reply (conn, &reply);
  stand_record ("stream %s as %s: status %d, %s", what, id, reply.status,
                reply.complete ? "whole" : "not whole");
  stand_clear_reply (&reply);
  stand_close (conn);
}

/* Has its connection reset after some events, and takes the stream up. */
static void *
run_taker (void *context)
{
  int number = (int)(intptr_t)context;
  struct linger at_once = { 1, 0 };
  struct stand_conn conn;
  char data[4096];
  char id[STAND_ID_BYTES];
  char fields[STAND_ID_BYTES * 2];

  snprintf (id, sizeof id, "7a%06x", (unsigned)number);
  if (!stand_connect (&conn, OTHER_GATEWAY, STAND_CALLERS_PORT)
      || !write_request (&conn, "/cut/long/", id, ""))
    return NULL;
  if (!stand_trouble ())
    {
      end_stream (&conn, id, "begun");
      return NULL;
    }
  stand_sleep_ms (TAKEN_EVENTS * EVENT_MS + EVENT_MS / 2);
  stand_read_some (&conn, data, sizeof data);
  stand_sleep_ms (RESET_MS);
  setsockopt (conn.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  stand_close (&conn);
  snprintf (fields, sizeof fields, "Last-Event-Id: %d\r\nResumes: %s\r\n",
            TAKEN_EVENTS, id);
  snprintf (id, sizeof id, "7b%06x", (unsigned)number);
  if (stand_connect (&conn, GATEWAY, STAND_CALLERS_PORT)
      && write_request (&conn, "/cut/long/", id, fields))
    end_stream (&conn, id, "taken up");
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
  stand_sleep_ms (STAND_STABLE_MS + 1000);
}

static void
send_all (void)
{
  for (int i = 0; i < ORDINARY; i++)
    stand_thread (run_ordinary_caller, (void *)(intptr_t)i);
  stand_sleep_ms (SHORT_EVENTS * EVENT_MS + 500);
  for (int i = 0; i < TAKERS; i++)
    stand_thread (run_taker, (void *)(intptr_t)i);
  stand_sleep_ms (500);
  for (int i = 0; i < CROWD; i++)
    {
      stand_thread (run_crowd_caller, (void *)(intptr_t)i);
      if (i % 10 == 9)
        stand_sleep_ms (2);
    }
  stand_sleep_ms (LONG_EVENTS * EVENT_MS + 5000);
}

static int
judge (void)
{
  int signal_number = 0;
  int result = ordinary_lost > LOST_ALLOWED ? STAND_BROKEN : STAND_HELD;

  if (stand_gateway_ended (&gateways[GATEWAY - 1], &signal_number))
    stand_record ("gateway %d ended by itself, signal %d", GATEWAY,
                  signal_number);
  if (ordinary_ended < ORDINARY)
    result = STAND_NOT_RUN;
  stand_record ("crowd: %d whole, %d refused; the limited runner got %d",
                crowd_whole, crowd_refused, limited_count);
  stand_record ("streams on kept connections without a whole answer: %d of "
                "%d, %d allowed: LOST %s",
                ordinary_lost, ORDINARY, LOST_ALLOWED,
                result == STAND_BROKEN ? "broken" : "held");
  return result;
}

int
main (int argc, char **argv)
{
  int result;

  stand_begin (argc > 1 ? argv[1] : ".");
  start ();
  send_all ();
  result = judge ();
  stand_end ();
  return result;
}
