#include "gateway/crash.h"

#include "common/log.h"
#include "gateway/crash_rivals.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Bytes sent on other connections before a crash may be read up to this long
   after its first sign. */
#define LATE_BYTES_MS 200

/* A runner that has crashed and started again is listed with its new start
   within this time. */
#define RESTART_LISTED_MS 3000

/* Confirmed crashes that are remembered, for requests that were at the same
   runner and whose case opens later. */
#define KNOWN_CRASHES_MAX 64

enum probe_state
{
  PROBE_NONE = 0,
  PROBE_IN_PROGRESS,
  PROBE_DONE
};

struct crash_case
{
  struct bd_fingerprint fingerprint;
  struct bd_id crash; /* Identifies the crash; the same at all instances. */
  char *runner;
  int64_t started_ms; /* Start of the runner's process; 0: unknown. */
  int64_t sent_ms;    /* When the attempt was sent. */
  int64_t heard_ms;   /* When the runner was last heard. */
  int64_t opened_ms;
  enum bd_crash_evidence evidence;
  enum probe_state probe;
  bool suspected;   /* The request was suspected when the attempt was sent. */
  bool provisional; /* Counts as a provisional strike. */
  bool arrived;     /* The request reached the runner before the crash. */
  bool has_events;  /* Events of the answer were received. */
};

enum verdict
{
  VERDICT_OPEN = 0,
  VERDICT_CONFIRMED,
  VERDICT_DISMISSED
};

struct bd_crashes
{
  struct bd_crash_rivals rivals;
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  size_t count;
  struct crash_case cases[BD_CRASH_CASES_MAX]; /* In the order of opening. */
  struct bd_id known_crashes[KNOWN_CRASHES_MAX];
  uint64_t dropped_logged;  /* Breakers dropped, as of the last log line. */
  size_t known_crash_count; /* Total number of crashes; modulo
                               KNOWN_CRASHES_MAX, the index of the next one. */
};

struct bd_crashes *
bd_crashes_create (struct bd_targets *targets, struct bd_suspects *suspects,
                   struct bd_part_breakers *breakers, uint64_t seed)
{
  struct bd_crashes *crashes = calloc (1, sizeof *crashes);

  if (!crashes)
    return NULL;
  crashes->targets = targets;
  crashes->suspects = suspects;
  crashes->breakers = breakers;
  if (bd_crash_rivals_init (&crashes->rivals, suspects, breakers, seed)
      == BD_OK)
    return crashes;
  free (crashes);
  return NULL;
}

static void
clear_case (struct crash_case *c)
{
  free (c->runner);
  bd_part_list_clear (&c->fingerprint.parts);
}

void
bd_crashes_destroy (struct bd_crashes *crashes)
{
  if (!crashes)
    return;
  for (size_t i = 0; i < crashes->count; i++)
    clear_case (&crashes->cases[i]);
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

static enum bd_suspicion
suspicion_of (struct bd_crashes *crashes, int64_t now_ms,
              const struct bd_fingerprint *fingerprint, bool in_progress)
{
  struct bd_suspects *suspects = crashes->suspects;
  enum bd_suspicion exact;
  enum bd_suspicion broad;
  bool held;

  bd_crash_rivals_set_request (&crashes->rivals, fingerprint);
  exact = bd_suspects_check (suspects, now_ms, fingerprint->exact);
  broad = bd_suspects_check (suspects, now_ms, fingerprint->broad);
  held = bd_suspects_must_wait (suspects, now_ms, fingerprint->exact,
                                in_progress)
         || bd_suspects_must_wait (suspects, now_ms, fingerprint->broad,
                                   in_progress)
         || bd_part_breakers_check (crashes->breakers, now_ms,
                                    &fingerprint->parts)
                == BD_BREAKER_OPEN;
  bd_crash_rivals_set_request (&crashes->rivals, NULL);
  if (held)
    return BD_SUSPICION_QUARANTINE;
  return exact > broad ? exact : broad;
}

enum bd_suspicion
bd_crashes_suspicion (struct bd_crashes *crashes, int64_t now_ms,
                      const struct bd_fingerprint *fingerprint)
{
  return suspicion_of (crashes, now_ms, fingerprint, false);
}

enum bd_suspicion
bd_crashes_suspicion_in_progress (struct bd_crashes *crashes, int64_t now_ms,
                                  const struct bd_fingerprint *fingerprint)
{
  return suspicion_of (crashes, now_ms, fingerprint, true);
}

void
bd_crashes_sent (struct bd_crashes *crashes, int64_t now_ms,
                 const struct bd_fingerprint *fingerprint)
{
  bd_crash_rivals_set_request (&crashes->rivals, fingerprint);
  bd_part_breakers_sent (crashes->breakers, now_ms, &fingerprint->parts);
  bd_suspects_sent (crashes->suspects, now_ms, fingerprint->exact);
  bd_suspects_sent (crashes->suspects, now_ms, fingerprint->broad);
  bd_crash_rivals_set_request (&crashes->rivals, NULL);
}

void
bd_crashes_completed (struct bd_crashes *crashes, int64_t now_ms,
                      const struct bd_fingerprint *fingerprint)
{
  bd_part_breakers_survived (crashes->breakers, now_ms, &fingerprint->parts);
  bd_suspects_completed (crashes->suspects, now_ms, fingerprint->exact);
  bd_suspects_completed (crashes->suspects, now_ms, fingerprint->broad);
}

/* Records a strike for C against both fingerprints.  Returns whether it is new
   for one of them. */
static bool
record_strike (struct bd_crashes *crashes, int64_t now_ms,
               const struct crash_case *c, bool provisional)
{
  struct bd_strike strike = { .fingerprint = c->fingerprint.exact,
                              .crash = c->crash,
                              .alone = c->suspected,
                              .provisional = provisional,
                              .age_ms = now_ms - c->opened_ms };
  bool fresh = bd_suspects_record (crashes->suspects, now_ms, &strike);

  strike.fingerprint = c->fingerprint.broad;
  return bd_suspects_record (crashes->suspects, now_ms, &strike) || fresh;
}

/* Blames the parts of the prompt for the crash, and returns whether that was
   new. */
static bool
blame_parts (struct bd_crashes *crashes, const struct crash_case *c)
{
  const struct bd_part_list *parts = &c->fingerprint.parts;
  struct bd_part_crash crash = { .id = c->crash,
                                 .sent_ms = c->sent_ms,
                                 .heard_ms = c->heard_ms,
                                 .at_ms = c->opened_ms };

  if (!c->arrived
      || !bd_part_breakers_crashed (crashes->breakers, parts, &crash))
    return false;
  for (size_t i = 0; i < parts->count; i++)
    {
      uint32_t count
          = bd_part_breakers_crashes (crashes->breakers, parts->parts[i]);

      if (bd_part_breakers_is_open (crashes->breakers, parts->parts[i]))
        bd_log (BD_EVENT_PART_OPEN,
                "part=%016" PRIx64 " crashes=%u crash=%016" PRIx64
                " runner=%s",
                parts->parts[i], count, c->crash.low, c->runner);
    }
  return true;
}

static void
confirm_case (struct bd_crashes *crashes, int64_t now_ms,
              const struct crash_case *c, const char *by)
{
  bool blamed = blame_parts (crashes, c);
  bool struck = record_strike (crashes, now_ms, c, false);

  if (blamed || struck)
    bd_log (BD_EVENT_STRIKE,
            "fingerprint=%016" PRIx64 " crash=%016" PRIx64
            " runner=%s alone=%d by=%s after_ms=%" PRId64
            " parts=%zu blamed=%d events=%d",
            c->fingerprint.exact, c->crash.low, c->runner, (int)c->suspected,
            by, now_ms - c->opened_ms, c->fingerprint.parts.count, (int)blamed,
            (int)c->has_events);
}

static void
retract_strike (struct bd_crashes *crashes, struct crash_case *c,
                const char *by)
{
  if (!c->provisional)
    return;
  c->provisional = false;
  bd_log (BD_EVENT_NO_STRIKE, "fingerprint=%016" PRIx64 " runner=%s by=%s",
          c->fingerprint.exact, c->runner, by);
  bd_suspects_dismiss (crashes->suspects, c->fingerprint.exact, c->crash);
  bd_suspects_dismiss (crashes->suspects, c->fingerprint.broad, c->crash);
}

/* Cases. */

static void
remove_case (struct bd_crashes *crashes, size_t index)
{
  clear_case (&crashes->cases[index]);
  crashes->count--;
  memmove (&crashes->cases[index], &crashes->cases[index + 1],
           (crashes->count - index) * sizeof crashes->cases[0]);
}

/* Returns the identity of the end of a runner's process.  It is the same at
   all instances, so that a crash counts once however many attempts of a
   request the runner had. */
static struct bd_id
crash_id (const struct bd_target *target, int64_t started_ms)
{
  return (struct bd_id){ target->hash, started_ms != 0
                                           ? (uint64_t)started_ms
                                           : (uint64_t)target->first_seen_ms };
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
is_known_crash (const struct bd_crashes *crashes, struct bd_id crash)
{
  for (size_t i = 0; i < KNOWN_CRASHES_MAX; i++)
    if (bd_id_equal (crashes->known_crashes[i], crash))
      return true;
  return false;
}

static bool
is_leaving (const struct bd_target *target)
{
  return target->leaving_ms != 0 || target->state == BD_TARGET_DRAINING;
}

static void
evict_oldest (struct bd_crashes *crashes)
{
  if (crashes->count < BD_CRASH_CASES_MAX)
    return;
  bd_log (BD_EVENT_CHECK_SKIPPED, "runner=%s open=%zu",
          crashes->cases[0].runner, crashes->count);
  retract_strike (crashes, &crashes->cases[0], "room");
  remove_case (crashes, 0);
}

/* Returns when TARGET was last heard; the loss of a connection is heard. */
static int64_t
heard_ms (const struct bd_target *target, enum bd_crash_evidence evidence,
          int64_t now_ms)
{
  if (evidence == BD_CRASH_CONNECTION_LOST || target->last_byte_ms > now_ms)
    return now_ms;
  return target->last_byte_ms;
}

/* Returns whether the request reached its runner while that lived.  A host
   that went dark before resets the connection when it is back; C is then the
   case that its silence had opened. */
static bool
has_arrived (const struct bd_crash_attempt *attempt,
             const struct crash_case *c)
{
  if (attempt->target->last_byte_ms > attempt->sent_ms)
    return true;
  return attempt->evidence == BD_CRASH_CONNECTION_LOST && !c;
}

/* Gives C its own copies of what ATTEMPT refers to.  Returns false when out of
   memory. */
static bool
copy_owned (struct crash_case *c, const struct bd_crash_attempt *attempt)
{
  c->runner = bd_chunk_copy (attempt->target->id);
  c->fingerprint.parts = (struct bd_part_list){ 0 };
  if (c->runner
      && bd_part_list_copy (&c->fingerprint.parts,
                            &attempt->fingerprint->parts)
             == BD_OK)
    return true;
  clear_case (c);
  return false;
}

void
bd_crashes_open (struct bd_crashes *crashes, int64_t now_ms,
                 const struct bd_crash_attempt *attempt)
{
  const struct bd_target *target = attempt->target;
  enum bd_crash_evidence evidence = attempt->evidence;
  struct crash_case fresh
      = { .fingerprint = *attempt->fingerprint,
          .crash = crash_id (target, attempt->runner_started_ms),
          .started_ms = attempt->runner_started_ms,
          .sent_ms = attempt->sent_ms,
          .heard_ms = heard_ms (target, evidence, now_ms),
          .opened_ms = now_ms,
          .evidence = evidence,
          .suspected = attempt->suspected,
          .has_events = attempt->has_events,
          .provisional
          = evidence != BD_CRASH_NO_RESPONSE && !attempt->has_events };
  struct crash_case *c
      = find_case (crashes, fresh.crash, fresh.fingerprint.exact);

  if (is_leaving (target) || (c && c->evidence <= evidence))
    return;
  fresh.arrived = has_arrived (attempt, c);
  if (!c)
    {
      if (!copy_owned (&fresh, attempt))
        return;
      evict_oldest (crashes);
      c = &crashes->cases[crashes->count++];
    }
  else
    {
      fresh.runner = c->runner;
      fresh.fingerprint.parts = c->fingerprint.parts;
      fresh.arrived = fresh.arrived || c->arrived;
    }
  *c = fresh;
  if (c->provisional)
    record_strike (crashes, now_ms, c, true);
}

/* Connection probes. */

static bool
probe_is_due (const struct crash_case *c, int64_t now_ms)
{
  return c->probe == PROBE_NONE
         && (c->evidence == BD_CRASH_CONNECTION_LOST
             || now_ms - c->opened_ms >= BD_CRASH_PROBE_DELAY_MS);
}

static bool
is_being_probed (const struct bd_crashes *crashes, const char *runner)
{
  for (size_t i = 0; i < crashes->count; i++)
    if (crashes->cases[i].probe == PROBE_IN_PROGRESS
        && strcmp (crashes->cases[i].runner, runner) == 0)
      return true;
  return false;
}

const struct bd_target *
bd_crashes_next_probe (struct bd_crashes *crashes, int64_t now_ms)
{
  for (size_t i = 0; i < crashes->count; i++)
    {
      struct crash_case *c = &crashes->cases[i];
      const struct bd_target *target;

      if (!probe_is_due (c, now_ms) || is_being_probed (crashes, c->runner))
        continue;
      target = runner_of (crashes, c);
      c->probe = target ? PROBE_IN_PROGRESS : PROBE_DONE;
      if (target)
        return target;
    }
  return NULL;
}

/* Returns whether anything was received from other runners since C opened.
   Otherwise this instance may be the one that is cut off from the network. */
static bool
received_from_others (const struct bd_crashes *crashes,
                      const struct crash_case *c)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (crashes->targets, &count);

  for (size_t i = 0; i < count; i++)
    if (all[i]->last_byte_ms > c->opened_ms
        && !bd_chunk_equal (all[i]->id, bd_chunk_of (c->runner)))
      return true;
  return false;
}

/* A refused probe proves no crash if the runner is shutting down. */
static enum verdict
evaluate_probe (struct bd_crashes *crashes, struct crash_case *c,
                enum bd_crash_probe_result result)
{
  const struct bd_target *target = runner_of (crashes, c);

  c->probe = PROBE_DONE;
  if (target && is_leaving (target))
    return VERDICT_DISMISSED;
  /* The kernel accepts connections for a process that hangs, so this proves
     nothing about a silent runner. */
  if (result == BD_CRASH_PROBE_ACCEPTED
      && c->evidence == BD_CRASH_CONNECTION_LOST)
    retract_strike (crashes, c, "connection");
  else if (result == BD_CRASH_PROBE_ACCEPTED)
    return VERDICT_OPEN;
  else if (result == BD_CRASH_PROBE_REFUSED
           || received_from_others (crashes, c))
    return VERDICT_CONFIRMED;
  return VERDICT_OPEN;
}

static void
close_case (struct bd_crashes *crashes, size_t index, enum verdict verdict,
            int64_t now_ms, const char *by)
{
  struct crash_case *c = &crashes->cases[index];

  if (verdict == VERDICT_CONFIRMED)
    {
      if (!is_known_crash (crashes, c->crash))
        crashes
            ->known_crashes[crashes->known_crash_count++ % KNOWN_CRASHES_MAX]
            = c->crash;
      confirm_case (crashes, now_ms, c, by);
    }
  else
    retract_strike (crashes, c, by);
  remove_case (crashes, index);
}

bool
bd_crashes_probed (struct bd_crashes *crashes, int64_t now_ms,
                   struct bd_chunk runner, enum bd_crash_probe_result result)
{
  bool confirmed = false;

  for (size_t i = 0; i < crashes->count;)
    {
      struct crash_case *c = &crashes->cases[i];
      enum verdict verdict = VERDICT_OPEN;

      if (probe_is_due (c, now_ms) || c->probe == PROBE_IN_PROGRESS)
        if (bd_chunk_equal (bd_chunk_of (c->runner), runner))
          verdict = evaluate_probe (crashes, c, result);
      if (verdict == VERDICT_OPEN)
        i++;
      else
        close_case (crashes, i, verdict, now_ms, "connection");
      confirmed = confirmed || verdict == VERDICT_CONFIRMED;
    }
  return confirmed;
}

/* Returns whether C is to be dismissed because the runner was heard again.
   After a lost connection that may have been its next process, which the list
   shows a little later. */
static bool
is_heard_again (const struct crash_case *c, const struct bd_target *target,
                int64_t age_ms)
{
  return target->last_byte_ms > c->opened_ms + LATE_BYTES_MS
         && (c->evidence != BD_CRASH_CONNECTION_LOST
             || age_ms > RESTART_LISTED_MS);
}

/* Decides C by the list of runners and by what was received from the runner;
   BY is set to the reason, for the log. */
static enum verdict
evaluate_case (const struct bd_crashes *crashes, const struct crash_case *c,
               int64_t now_ms, const char **by)
{
  const struct bd_target *target = runner_of (crashes, c);
  int64_t age_ms = now_ms - c->opened_ms;

  *by = "list";
  if (!target || target->state == BD_TARGET_GONE
      || target->started_ms != c->started_ms)
    return VERDICT_CONFIRMED;
  *by = "other";
  if (is_known_crash (crashes, c->crash))
    return VERDICT_CONFIRMED;
  *by = "leaves";
  if (is_leaving (target))
    return VERDICT_DISMISSED;
  *by = "heard";
  if (is_heard_again (c, target, age_ms))
    return VERDICT_DISMISSED;
  *by = "time";
  if (age_ms > BD_CRASH_OPEN_MAX_MS)
    return VERDICT_DISMISSED;
  if (age_ms > BD_CRASH_LAPSE_MS && target->state != BD_TARGET_LAPSED
      && !bd_targets_store_is_lost (crashes->targets))
    return VERDICT_DISMISSED;
  return VERDICT_OPEN;
}

static void
log_dropped (struct bd_crashes *crashes)
{
  uint64_t dropped = bd_part_breakers_dropped (crashes->breakers);

  if (dropped != crashes->dropped_logged)
    bd_log (BD_EVENT_PARTS_DROPPED, "dropped=%" PRIu64, dropped);
  crashes->dropped_logged = dropped;
}

void
bd_crashes_tick (struct bd_crashes *crashes, int64_t now_ms)
{
  log_dropped (crashes);
  for (size_t i = 0; i < crashes->count;)
    {
      const char *by;
      enum verdict verdict
          = evaluate_case (crashes, &crashes->cases[i], now_ms, &by);

      if (verdict == VERDICT_OPEN)
        i++;
      else
        close_case (crashes, i, verdict, now_ms, by);
    }
}
