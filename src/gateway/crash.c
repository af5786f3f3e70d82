#include "gateway/crash.h"

#include "common/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Bytes sent on other connections before a crash may be read up to this long
   after its first sign. */
#define LATE_BYTES_MS 200

/* Confirmed crashes that are remembered, for requests that were at the same
   runner and whose case opens later. */
#define ENDS_MAX 64

enum check_state
{
  CHECK_NONE = 0,
  CHECK_UNDER_WAY,
  CHECK_DONE
};

struct crash_case
{
  struct bd_fingerprint fingerprint;
  struct bd_id crash; /* Identifies the crash; the same at all instances. */
  char *runner;
  int64_t born_ms;
  int64_t since_ms;
  enum bd_crash_sign sign;
  enum check_state check;
  bool suspected; /* The request was suspected when the attempt was sent. */
  bool presumed;  /* Counts as a provisional strike. */
};

enum verdict
{
  VERDICT_OPEN = 0,
  VERDICT_PROVED,
  VERDICT_DROPPED
};

struct bd_crashes
{
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  size_t count;
  struct crash_case cases[BD_CRASH_CASES_MAX]; /* In the order of opening. */
  struct bd_id ends[ENDS_MAX];
  size_t end_count; /* Total number of crashes; the next one is stored at its
                       remainder by ENDS_MAX. */
};

struct bd_crashes *
bd_crashes_create (struct bd_targets *targets, struct bd_suspects *suspects)
{
  struct bd_crashes *crashes = calloc (1, sizeof *crashes);

  if (!crashes)
    return NULL;
  crashes->targets = targets;
  crashes->suspects = suspects;
  return crashes;
}

void
bd_crashes_destroy (struct bd_crashes *crashes)
{
  if (!crashes)
    return;
  for (size_t i = 0; i < crashes->count; i++)
    free (crashes->cases[i].runner);
  free (crashes);
}

size_t
bd_crashes_count (const struct bd_crashes *crashes)
{
  return crashes->count;
}

/* Returns the runner of C, or NULL when its entry was removed. */
static struct bd_target *
runner_of (const struct bd_crashes *crashes, const struct crash_case *c)
{
  struct bd_target *target
      = bd_targets_by_hash (crashes->targets, (uint32_t)c->crash.high);

  return target && bd_chunk_equal (target->id, bd_chunk_of (c->runner))
             ? target
             : NULL;
}

/* Suspects. */

enum bd_suspicion
bd_crashes_look (struct bd_crashes *crashes, int64_t now_ms,
                 const struct bd_fingerprint *fingerprint)
{
  struct bd_suspects *suspects = crashes->suspects;
  enum bd_suspicion exact
      = bd_suspects_look (suspects, now_ms, fingerprint->exact);
  enum bd_suspicion broad
      = bd_suspects_look (suspects, now_ms, fingerprint->broad);

  if (bd_suspects_held (suspects, now_ms, fingerprint->exact)
      || bd_suspects_held (suspects, now_ms, fingerprint->broad))
    return BD_SUSPICION_QUARANTINE;
  return exact > broad ? exact : broad;
}

void
bd_crashes_completed (struct bd_crashes *crashes, int64_t now_ms,
                      const struct bd_fingerprint *fingerprint)
{
  bd_suspects_completed (crashes->suspects, now_ms, fingerprint->exact);
  bd_suspects_completed (crashes->suspects, now_ms, fingerprint->broad);
}

/* Records a strike for C against both fingerprints.  Returns whether it is new
   for one of them. */
static bool
strike (struct bd_crashes *crashes, int64_t now_ms, const struct crash_case *c,
        bool presumed)
{
  struct bd_strike strike = { .fingerprint = c->fingerprint.exact,
                              .crash = c->crash,
                              .alone = c->suspected,
                              .presumed = presumed,
                              .age_ms = now_ms - c->since_ms };
  bool fresh = bd_suspects_strike (crashes->suspects, now_ms, &strike);

  strike.fingerprint = c->fingerprint.broad;
  return bd_suspects_strike (crashes->suspects, now_ms, &strike) || fresh;
}

static void
prove (struct bd_crashes *crashes, int64_t now_ms, const struct crash_case *c,
       const char *by)
{
  if (strike (crashes, now_ms, c, false))
    bd_log (BD_EVENT_STRIKE,
            "fingerprint=%016" PRIx64 " crash=%016" PRIx64
            " runner=%s alone=%d by=%s after_ms=%" PRId64,
            c->fingerprint.exact, c->crash.low, c->runner, (int)c->suspected,
            by, now_ms - c->since_ms);
}

static void
unpresume (struct bd_crashes *crashes, struct crash_case *c, const char *by)
{
  if (!c->presumed)
    return;
  c->presumed = false;
  bd_log (BD_EVENT_NO_STRIKE, "fingerprint=%016" PRIx64 " runner=%s by=%s",
          c->fingerprint.exact, c->runner, by);
  bd_suspects_dismiss (crashes->suspects, c->fingerprint.exact, c->crash);
  bd_suspects_dismiss (crashes->suspects, c->fingerprint.broad, c->crash);
}

/* Cases. */

static void
remove_case (struct bd_crashes *crashes, size_t at)
{
  free (crashes->cases[at].runner);
  crashes->count--;
  memmove (&crashes->cases[at], &crashes->cases[at + 1],
           (crashes->count - at) * sizeof crashes->cases[0]);
}

/* Returns the identity of the end of a runner's process.  It is the same at
   all instances, so that a crash counts once however many attempts of a
   request the runner had. */
static struct bd_id
crash_of (const struct bd_target *target, int64_t born_ms)
{
  return (struct bd_id){ target->hash, born_ms != 0
                                           ? (uint64_t)born_ms
                                           : (uint64_t)target->since_ms };
}

static struct crash_case *
find_case (struct bd_crashes *crashes, struct bd_id crash, uint64_t exact)
{
  for (size_t i = 0; i < crashes->count; i++)
    if (bd_id_equal (crashes->cases[i].crash, crash)
        && crashes->cases[i].fingerprint.exact == exact)
      return &crashes->cases[i];
  return NULL;
}

static bool
has_ended (const struct bd_crashes *crashes, struct bd_id crash)
{
  for (size_t i = 0; i < ENDS_MAX; i++)
    if (bd_id_equal (crashes->ends[i], crash))
      return true;
  return false;
}

static bool
leaves (const struct bd_target *target)
{
  return target->leaving_ms != 0 || target->state == BD_TARGET_DRAINING;
}

static void
make_room (struct bd_crashes *crashes)
{
  if (crashes->count < BD_CRASH_CASES_MAX)
    return;
  bd_log (BD_EVENT_CHECK_SKIPPED, "runner=%s open=%zu",
          crashes->cases[0].runner, crashes->count);
  unpresume (crashes, &crashes->cases[0], "room");
  remove_case (crashes, 0);
}

void
bd_crashes_open (struct bd_crashes *crashes, int64_t now_ms,
                 const struct bd_fingerprint *fingerprint,
                 const struct bd_target *target, int64_t born_ms,
                 enum bd_crash_sign sign, bool suspected)
{
  struct crash_case fresh = { .fingerprint = *fingerprint,
                              .crash = crash_of (target, born_ms),
                              .born_ms = born_ms,
                              .since_ms = now_ms,
                              .sign = sign,
                              .suspected = suspected,
                              .presumed = sign != BD_CRASH_QUIET };
  struct crash_case *c = find_case (crashes, fresh.crash, fingerprint->exact);

  if (leaves (target) || (c && c->sign <= sign))
    return;
  if (!c)
    {
      fresh.runner = bd_chunk_copy (target->id);
      if (!fresh.runner)
        return;
      make_room (crashes);
      c = &crashes->cases[crashes->count++];
    }
  else
    fresh.runner = c->runner;
  *c = fresh;
  if (c->presumed)
    strike (crashes, now_ms, c, true);
}

/* Connection probes. */

static bool
is_due (const struct crash_case *c, int64_t now_ms)
{
  return c->check == CHECK_NONE
         && (c->sign == BD_CRASH_BROKEN
             || now_ms - c->since_ms >= BD_CRASH_SILENCE_MS);
}

static bool
is_checked_now (const struct bd_crashes *crashes, const char *runner)
{
  for (size_t i = 0; i < crashes->count; i++)
    if (crashes->cases[i].check == CHECK_UNDER_WAY
        && strcmp (crashes->cases[i].runner, runner) == 0)
      return true;
  return false;
}

const struct bd_target *
bd_crashes_due (struct bd_crashes *crashes, int64_t now_ms)
{
  for (size_t i = 0; i < crashes->count; i++)
    {
      struct crash_case *c = &crashes->cases[i];
      const struct bd_target *target;

      if (!is_due (c, now_ms) || is_checked_now (crashes, c->runner))
        continue;
      target = runner_of (crashes, c);
      c->check = target ? CHECK_UNDER_WAY : CHECK_DONE;
      if (target)
        return target;
    }
  return NULL;
}

/* Returns whether another runner was heard from since C opened; otherwise this
   instance may be the one that is cut off from the network. */
static bool
hears_others (const struct bd_crashes *crashes, const struct crash_case *c)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (crashes->targets, &count);

  for (size_t i = 0; i < count; i++)
    if (all[i]->heard_ms > c->since_ms
        && !bd_chunk_equal (all[i]->id, bd_chunk_of (c->runner)))
      return true;
  return false;
}

/* A runner that shuts down refuses connections too, so this proves no
   crash. */
static enum verdict
judge_check (struct bd_crashes *crashes, struct crash_case *c,
             enum bd_crash_check result)
{
  const struct bd_target *target = runner_of (crashes, c);

  c->check = CHECK_DONE;
  if (target && leaves (target))
    return VERDICT_DROPPED;
  /* The kernel accepts connections for a process that hangs, so this proves
     nothing about a silent runner. */
  if (result == BD_CRASH_ACCEPTED && c->sign == BD_CRASH_BROKEN)
    unpresume (crashes, c, "connection");
  else if (result == BD_CRASH_ACCEPTED)
    return VERDICT_OPEN;
  else if (result == BD_CRASH_REFUSED || hears_others (crashes, c))
    return VERDICT_PROVED;
  return VERDICT_OPEN;
}

static void
close_case (struct bd_crashes *crashes, size_t at, enum verdict verdict,
            int64_t now_ms, const char *by)
{
  struct crash_case *c = &crashes->cases[at];

  if (verdict == VERDICT_PROVED)
    {
      if (!has_ended (crashes, c->crash))
        crashes->ends[crashes->end_count++ % ENDS_MAX] = c->crash;
      prove (crashes, now_ms, c, by);
    }
  else
    unpresume (crashes, c, by);
  remove_case (crashes, at);
}

void
bd_crashes_checked (struct bd_crashes *crashes, int64_t now_ms,
                    struct bd_chunk runner, enum bd_crash_check result)
{
  for (size_t i = 0; i < crashes->count;)
    {
      struct crash_case *c = &crashes->cases[i];
      enum verdict verdict = VERDICT_OPEN;

      if (is_due (c, now_ms) || c->check == CHECK_UNDER_WAY)
        if (bd_chunk_equal (bd_chunk_of (c->runner), runner))
          verdict = judge_check (crashes, c, result);
      if (verdict == VERDICT_OPEN)
        i++;
      else
        close_case (crashes, i, verdict, now_ms, "connection");
    }
}

/* Decides C by the list of runners and by what was received from the runner;
   BY is set to the reason, for the log. */
static enum verdict
judge (const struct bd_crashes *crashes, const struct crash_case *c,
       int64_t now_ms, const char **by)
{
  const struct bd_target *target = runner_of (crashes, c);
  int64_t age_ms = now_ms - c->since_ms;

  *by = "list";
  if (!target || target->state == BD_TARGET_GONE
      || target->born_ms != c->born_ms)
    return VERDICT_PROVED;
  *by = "other";
  if (has_ended (crashes, c->crash))
    return VERDICT_PROVED;
  *by = "leaves";
  if (leaves (target))
    return VERDICT_DROPPED;
  *by = "heard";
  if (target->heard_ms > c->since_ms + LATE_BYTES_MS)
    return VERDICT_DROPPED;
  *by = "time";
  if (age_ms > BD_CRASH_OPEN_MOST_MS)
    return VERDICT_DROPPED;
  if (age_ms > BD_CRASH_SETTLE_MS && target->state != BD_TARGET_LAPSED
      && !bd_targets_store_is_lost (crashes->targets))
    return VERDICT_DROPPED;
  return VERDICT_OPEN;
}

void
bd_crashes_tick (struct bd_crashes *crashes, int64_t now_ms)
{
  for (size_t i = 0; i < crashes->count;)
    {
      const char *by;
      enum verdict verdict = judge (crashes, &crashes->cases[i], now_ms, &by);

      if (verdict == VERDICT_OPEN)
        i++;
      else
        close_case (crashes, i, verdict, now_ms, by);
    }
}
