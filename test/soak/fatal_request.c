/* Fatal requests crash each runner that starts them.  Callers send them again
   and again to all gateways; the gateways must soon keep them off the
   runners.  Some are alike only in a part of their prompts, which is what
   crashes the runner. */
#include "soak.h"

#include <string.h>

/* Known crashes under one request after which it should not be sent, and those
   under one part of prompts. */
#define CRASHES_ALLOWED 3
#define PART_CRASHES_ALLOWED 5
/* Time for a known crash to reach all gateways by gossip, and sends that are
   tolerated after it. */
#define GOSSIP_MS 3000
#define LATE_SENDS_ALLOWED 3
/* Time that a gateway must run undisturbed after a crash to detect it and to
   gossip it; what it saw is lost when it is killed before. */
#define OBSERVE_MS 2500
#define CRASHES_MAX 64
/* Moments at which a runner crashes under a fatal part: before the head of its
   answer, right after it, or after so many events. */
#define BEFORE_HEAD (-1)
#define EVENTS_MAX 60
/* Index of the first fatal request with a part, and the share of these. */
#define FIRST_WITH_PART 5
#define PART_SHARE 0.4

/* A runner crash under a fatal request. */
struct crash
{
  int64_t at_ms;
  int gateway;
  bool open; /* Not decided yet whether its gateway detected it. */
};

struct soak_fatal
{
  const char *name;
  const char *part;      /* Part of the prompt that is fatal, or NULL. */
  int64_t last_crash_ms; /* Time of the last known crash that is allowed. */
  enum soak_kind kind;
  uint32_t crash_count;
  uint32_t known_crashes;
  struct crash crashes[CRASHES_MAX];
  uint32_t late_sends; /* Sends after the gossip time of that crash. */
  bool host_down;
};

static struct soak_fatal requests[] = {
  { .name = "fatal-safe", .kind = SOAK_IDEMPOTENT },
  { .name = "fatal-once", .kind = SOAK_NON_IDEMPOTENT },
  { .name = "fatal-resume", .kind = SOAK_RESUMABLE },
  { .name = "fatal-safe-dark", .kind = SOAK_IDEMPOTENT, .host_down = true },
  { .name = "fatal-stream-dark", .kind = SOAK_STREAM, .host_down = true },
  { .name = "fatal-part", .kind = SOAK_STREAM, .part = "fa1" },
  { .name = "fatal-part-dark",
    .kind = SOAK_RESUMABLE,
    .part = "fa2",
    .host_down = true }
};

struct soak_fatal *
soak_fatal_next (struct soak *soak)
{
  uint32_t count = G_N_ELEMENTS (requests);
  uint32_t first
      = soak_random_chance (&soak->random, PART_SHARE) ? FIRST_WITH_PART : 0;

  return &requests[first + soak_random_below (&soak->random, count - first)];
}

enum soak_kind
soak_fatal_kind (const struct soak_fatal *fatal)
{
  return fatal->kind;
}

const char *
soak_fatal_name (const struct soak_fatal *fatal)
{
  return fatal->name;
}

const char *
soak_fatal_part (const struct soak_fatal *fatal)
{
  return fatal->part;
}

int32_t
soak_fatal_crash_after (const struct soak *soak,
                        const struct soak_attempt *attempt)
{
  static const int32_t moments[] = { BEFORE_HEAD, 0, 1, 3, 12, EVENTS_MAX };

  if (soak->crash_after != SOAK_CRASH_ANY)
    return soak->crash_after;
  return moments[g_str_hash (attempt->id) % G_N_ELEMENTS (moments)];
}

bool
soak_fatal_breaks_event (const struct soak *soak,
                         const struct soak_attempt *attempt)
{
  return soak_fatal_crash_after (soak, attempt) > 0
         && g_str_hash (attempt->id) / 16 % 2 == 0;
}

static uint32_t
crashes_allowed (const struct soak_fatal *fatal)
{
  return fatal->part ? PART_CRASHES_ALLOWED : CRASHES_ALLOWED;
}

static void
update_crash (const struct soak *soak, struct soak_fatal *fatal,
              struct crash *crash)
{
  int64_t since = soak_now_ms (soak) - crash->at_ms;

  if (!crash->open)
    return;
  if (soak_stable_gateway_ms (soak, crash->gateway) < since)
    crash->open = false;
  else if (since >= OBSERVE_MS)
    {
      crash->open = false;
      if (++fatal->known_crashes == crashes_allowed (fatal))
        fatal->last_crash_ms = crash->at_ms;
    }
}

void
soak_fatal_update (struct soak *soak)
{
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    for (size_t e = 0; e < CRASHES_MAX; e++)
      update_crash (soak, &requests[i], &requests[i].crashes[e]);
}

void
soak_fatal_arrived (struct soak *soak, const struct soak_attempt *attempt)
{
  struct soak_fatal *fatal = attempt->fatal;
  int64_t since = soak_now_ms (soak) - fatal->last_crash_ms;

  if (fatal->known_crashes < crashes_allowed (fatal) || since <= GOSSIP_MS
      || soak_stable_gateway_ms (soak, attempt->gateway) <= GOSSIP_MS)
    return;
  soak_log (soak, "%s (%s) sent by gateway %d, %lld ms after crash %u",
            fatal->name, attempt->id, attempt->gateway, (long long)since,
            crashes_allowed (fatal));
  if (++fatal->late_sends > LATE_SENDS_ALLOWED)
    soak_violation (soak, "BUDGET",
                    "%s was sent %u times after %u runner crashes",
                    fatal->name, fatal->late_sends, fatal->crash_count);
}

bool
soak_fatal_start (struct soak *soak, const struct soak_attempt *attempt,
                  struct soak_runner *runner)
{
  struct soak_fatal *fatal = attempt->fatal;

  if (!soak_plan_crash_runner (soak, runner, fatal->host_down))
    return false;
  soak->runner_crashes++;
  fatal->crashes[fatal->crash_count++ % CRASHES_MAX]
      = (struct crash){ soak_now_ms (soak), attempt->gateway, true };
  soak_log (soak, "%s (%s) sent by gateway %d crashed a runner, crash %u",
            fatal->name, attempt->id, attempt->gateway, fatal->crash_count);
  return true;
}
