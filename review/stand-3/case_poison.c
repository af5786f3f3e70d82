/* A request crashes each runner that begins to run it.  Its caller sends it
   again and again, at all gateways in turn. */
#include "fatal.h"

#define PATH "/carcass/poison/2f"
#define CRASH_COUNT 3
/* Time from an answer to the next attempt, and time for which they go on. */
#define AGAIN_MS 1200
#define SENDING_MS 45000

static void
send_again_and_again (void)
{
  int64_t until_ms = stand_now_ms () + SENDING_MS;
  char id[STAND_ID_BYTES];

  for (int i = 0; stand_now_ms () < until_ms; i++)
    {
      snprintf (id, sizeof id, "be%06x", (unsigned)i);
      fatal_ask (i % STAND_GATEWAYS + 1, PATH, id, "e4402b7d:3720",
                 "plan for carcass 4711\n");
      stand_sleep_ms (AGAIN_MS);
    }
}

int
main (int argc, char **argv)
{
  static const struct fatal_case played
      = { PATH, CRASH_COUNT, send_again_and_again };

  return fatal_play (argc > 1 ? argv[1] : ".", &played);
}
