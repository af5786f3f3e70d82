/**
 * @file crash.h
 * Tracks attempts that may have crashed their runner until it is known whether
 * they did.  A strike is one runner crash that counts against the fingerprint
 * of a request.  Makes no connections itself; the caller does.
 *
 * An attempt opens a case when it ends without a complete response, or shows
 * none for some time.  The case is confirmed when the runner refuses
 * connections, or when its entry in the platform's list disappears or shows a
 * new start time.  The case is dismissed when something is received from the
 * runner again, when the runner shuts down in an orderly way, or when it is
 * still listed unchanged after the time in which the entry of a crashed runner
 * lapses.  While the case is open it counts as a provisional strike, at this
 * instance only; the strike of a confirmed case is sent to the peers.
 *
 * A confirmed case also counts against the parts of the prompt
 * (part_breaker.h), however much of the answer had been read: a process that
 * ends may lose what it has written.  Required is only that the request had
 * reached the runner, so that sound requests that meet hosts which went dark
 * before are not blamed.
 */
#ifndef BD_CRASH_H
#define BD_CRASH_H

#include "balance/target.h"
#include "retry/part_breaker.h"
#include "retry/suspect.h"

/** Longest time that a case stays open undecided, in milliseconds. */
#define BD_CRASH_OPEN_MAX_MS 30000
/** The entry of a crashed runner lapses within this time, in milliseconds. */
#define BD_CRASH_LAPSE_MS 8000
/**
 * Delay of the probe of a silent runner, in milliseconds.  Something is
 * received from a working runner within this time.
 */
#define BD_CRASH_PROBE_DELAY_MS 300
/** Most open cases; a new one replaces the oldest. */
#define BD_CRASH_CASES_MAX 512

/**
 * How an attempt without a complete response stands or ended; the strongest
 * evidence first.
 */
enum bd_crash_evidence
{
  /** The runner closed or reset the connection. */
  BD_CRASH_CONNECTION_LOST = 0,
  BD_CRASH_TIMED_OUT,  /**< The attempt timed out. */
  BD_CRASH_NO_RESPONSE /**< No response yet, or the caller disconnected before
                          it came. */
};

/** Result of a connection probe. */
enum bd_crash_probe_result
{
  BD_CRASH_PROBE_ACCEPTED = 0,
  BD_CRASH_PROBE_REFUSED,
  BD_CRASH_PROBE_TIMED_OUT
};

/**
 * Identifies a request when it is repeated.  Both hashes cover the body and
 * the workspace; EXACT covers the whole request target, BROAD only its path.
 * Requests that are different may share parts of their prompts.
 */
struct bd_fingerprint
{
  uint64_t exact;
  uint64_t broad;
  struct bd_part_list parts; /**< Owned by the request. */
};

/** An attempt that may have crashed its runner. */
struct bd_crash_attempt
{
  const struct bd_fingerprint *fingerprint;
  const struct bd_target *target;
  int64_t runner_started_ms; /**< Start of the runner's process. */
  int64_t sent_ms;
  enum bd_crash_evidence evidence;
  /** The request was suspected when the attempt was sent. */
  bool suspected;
  /** Events of the answer were received.  The attempt counts as a strike once
      the crash is confirmed, and not before. */
  bool has_events;
};

struct bd_crashes;

/** All must outlive the result.  SEED is the seed of the times of trials.
    Returns NULL when out of memory. */
struct bd_crashes *bd_crashes_create (struct bd_targets *targets,
                                      struct bd_suspects *suspects,
                                      struct bd_part_breakers *breakers,
                                      uint64_t seed);
void bd_crashes_destroy (struct bd_crashes *crashes);

/**
 * Returns the suspicion against a request.  BD_SUSPICION_QUARANTINE is
 * returned for held requests too, and for those with a part that crashes
 * runners.
 */
enum bd_suspicion
bd_crashes_suspicion (struct bd_crashes *crashes, int64_t now_ms,
                      const struct bd_fingerprint *fingerprint);

/** The same for a request of which the caller has some events, or a stream
   that it takes up again. */
enum bd_suspicion
bd_crashes_suspicion_in_progress (struct bd_crashes *crashes, int64_t now_ms,
                                  const struct bd_fingerprint *fingerprint);

/** Records that a request with FINGERPRINT is sent. */
void bd_crashes_sent (struct bd_crashes *crashes, int64_t now_ms,
                      const struct bd_fingerprint *fingerprint);

/** Records that a request with FINGERPRINT got a complete response. */
void bd_crashes_completed (struct bd_crashes *crashes, int64_t now_ms,
                           const struct bd_fingerprint *fingerprint);

/** Opens a case, or strengthens the open one. */
void bd_crashes_open (struct bd_crashes *crashes, int64_t now_ms,
                      const struct bd_crash_attempt *attempt);

/**
 * Returns a runner that is to be probed now, or NULL.  One probe serves all
 * cases of a runner.  To be called until it returns NULL.
 */
const struct bd_target *bd_crashes_next_probe (struct bd_crashes *crashes,
                                               int64_t now_ms);

/** Handles the result of the connection probe of RUNNER.  Returns whether it
    confirmed a case. */
bool bd_crashes_probed (struct bd_crashes *crashes, int64_t now_ms,
                        struct bd_chunk runner,
                        enum bd_crash_probe_result result);

/**
 * Closes the cases that the list of runners, received data or a timeout
 * decides.
 */
void bd_crashes_tick (struct bd_crashes *crashes, int64_t now_ms);

/** Returns the number of open cases. */
size_t bd_crashes_count (const struct bd_crashes *crashes);

#endif
