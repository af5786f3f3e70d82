/* A part of prompts crashes each runner that begins to write an answer on it.
   Several callers ask for it at the same time, again some seconds later. */
#include "fatal.h"

#define PART "bad0bad0"
#define CRASH_COUNT 5
#define CALLERS 12
#define BURSTS 5
#define BURST_MS 4500

struct caller
{
  int burst;
  int number;
};

/* No two requests are alike. */
static void *
ask_once (void *context)
{
  const struct caller *caller = context;
  char id[STAND_ID_BYTES];
  char parts[STAND_ID_BYTES * 2];

  snprintf (id, sizeof id, "be%02x%04x", (unsigned)caller->burst,
            (unsigned)caller->number);
  snprintf (parts, sizeof parts, FATAL_SOUND_PART "," PART ":140,%s:1110", id);
  fatal_ask (caller->number % STAND_GATEWAYS + 1, FATAL_SOUND_PATH, id, parts,
             id);
  return NULL;
}

static void
send_bursts (void)
{
  static struct caller callers[BURSTS][CALLERS];

  for (int i = 0; i < BURSTS; i++)
    {
      stand_record ("%d callers ask", CALLERS);
      for (int k = 0; k < CALLERS; k++)
        {
          callers[i][k] = (struct caller){ i, k };
          stand_thread (ask_once, &callers[i][k]);
        }
      stand_sleep_ms (BURST_MS);
    }
}

int
main (int argc, char **argv)
{
  static const struct fatal_case played = { PART, CRASH_COUNT, send_bursts };

  return fatal_play (argc > 1 ? argv[1] : ".", &played);
}
