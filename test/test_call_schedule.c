/* The times of the calls to a watched service, in virtual time. */
#include "retry/call_schedule.h"

#include <glib.h>
#include <inttypes.h>

/* Interval at which the client looks at the schedule. */
#define TICK_MS 100
/* Time from a call to its response. */
#define RESPONSE_MS 10
#define WATCH_DELAY_MS 400
#define END_MS 30000

/* A service that answers no call that is in flight from START_MS to END_MS. */
struct silence
{
  int64_t start_ms;
  int64_t end_ms;
};

/* A client whose watches find a change every CHANGE_MS. */
struct client
{
  struct bd_call_schedule schedule;
  struct silence silence;
  int64_t change_ms;
  bool calling;
  int64_t started_ms;
  int64_t response_ms; /* When the call is answered. */
};

static void
start_call (struct client *client, int64_t now_ms)
{
  int64_t hold_ms = bd_call_schedule_hold_ms (&client->schedule);
  int64_t change_ms = client->change_ms - now_ms % client->change_ms;

  bd_call_schedule_started (&client->schedule, now_ms, hold_ms);
  client->calling = true;
  client->started_ms = now_ms;
  client->response_ms
      = now_ms + RESPONSE_MS + (change_ms < hold_ms ? change_ms : hold_ms);
}

static bool
is_lost (const struct client *client)
{
  return client->started_ms < client->silence.end_ms
         && client->response_ms >= client->silence.start_ms;
}

/* Returns the time of the first response to a call that was sent after the
   silence. */
static int64_t
run_until_answered (struct client *client)
{
  for (int64_t now_ms = 0; now_ms < END_MS; now_ms += RESPONSE_MS)
    {
      if (client->calling && now_ms >= client->response_ms
          && !is_lost (client))
        {
          client->calling = false;
          bd_call_schedule_answered (&client->schedule, now_ms,
                                     WATCH_DELAY_MS);
          if (client->started_ms >= client->silence.end_ms)
            return now_ms;
        }
      if (now_ms % TICK_MS != 0)
        continue;
      if (client->calling
          && bd_call_schedule_timed_out (&client->schedule, now_ms))
        {
          client->calling = false;
          bd_call_schedule_failed (&client->schedule, now_ms);
        }
      if (!client->calling
          && bd_call_schedule_is_due (&client->schedule, now_ms))
        start_call (client, now_ms);
    }
  return END_MS;
}

/* Guards against changes that are read too late after a silence of the
   service: whenever it starts and ends, the client gets a response within the
   bound after its end. */
static void
test_heard_in_time (void)
{
  static const int64_t bounds_ms[] = { 2500, 3000, 4000, 5000, 8000 };

  for (guint i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    for (int64_t start_ms = 5000; start_ms < 9000; start_ms += 130)
      for (int64_t length_ms = 10; length_ms < 12000; length_ms += 170)
        {
          struct client client = { .change_ms = 20000 };

          bd_call_schedule_init (&client.schedule, bounds_ms[i],
                                 (uint64_t)(start_ms * length_ms));
          client.silence.start_ms = start_ms;
          client.silence.end_ms = start_ms + length_ms;
          g_assert_cmpint (run_until_answered (&client)
                               - client.silence.end_ms,
                           <=, bounds_ms[i]);
        }
}

/* A service that refuses calls is called less and less often, but at least
   every 1.5 s. */
static void
test_backoff (void)
{
  struct bd_call_schedule schedule;
  int64_t now_ms = 0;
  int64_t pause_ms = 0;

  bd_call_schedule_init (&schedule, 3000, 1);
  for (int i = 0; i < 20; i++)
    {
      bd_call_schedule_started (&schedule, now_ms, 0);
      bd_call_schedule_failed (&schedule, now_ms);
      pause_ms = schedule.next_call_ms - now_ms;
      g_assert_false (bd_call_schedule_is_due (&schedule, now_ms));
      g_assert_cmpint (pause_ms, >=, 50);
      g_assert_cmpint (pause_ms, <=, 1500);
      now_ms = schedule.next_call_ms;
    }
  g_assert_cmpint (pause_ms, >=, 500);
  bd_call_schedule_answered (&schedule, now_ms, 0);
  g_assert_true (bd_call_schedule_is_due (&schedule, now_ms));
}

/* The service holds a watch as long as the bound allows, but not while it is
   unknown whether it answers. */
static void
test_hold (void)
{
  struct bd_call_schedule schedule;

  bd_call_schedule_init (&schedule, 3000, 1);
  g_assert_cmpint (bd_call_schedule_hold_ms (&schedule), ==, 1500);
  bd_call_schedule_started (&schedule, 0, 1500);
  g_assert_false (bd_call_schedule_timed_out (&schedule, 2500));
  g_assert_true (bd_call_schedule_timed_out (&schedule, 2501));
  bd_call_schedule_failed (&schedule, 2501);
  g_assert_cmpint (bd_call_schedule_hold_ms (&schedule), ==, 0);
  g_assert_cmpint (schedule.next_call_ms, <=, 2601);
  bd_call_schedule_answered (&schedule, 2700, 0);
  g_assert_cmpint (bd_call_schedule_hold_ms (&schedule), ==, 1500);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/call-schedule/heard-in-time", test_heard_in_time);
  g_test_add_func ("/call-schedule/backoff", test_backoff);
  g_test_add_func ("/call-schedule/hold", test_hold);
  return g_test_run ();
}
