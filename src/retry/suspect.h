/**
 * @file suspect.h
 * Detects requests that crash engines: counts strikes by fingerprint, then
 * isolates and finally quarantines a request.
 */
#ifndef BD_SUSPECT_H
#define BD_SUSPECT_H

#include "retry/rivals.h"

/** Crashes while running alone after which a fingerprint is quarantined. */
#define BD_SUSPECT_QUARANTINE_STRIKES 2

/**
 * Runners that a request which crashes on every run can take down, once its
 * strikes have reached every entry: the first beside other requests, the rest
 * one at a time, alone.  Until the strikes have arrived, each entry admits as
 * many runs one after the other, and copies already in flight add to these.
 * A request that completes some of its runs is cleared by each of them and is
 * not bounded by this.
 */
#define BD_SUSPECT_MAX_RUNNERS (1 + BD_SUSPECT_QUARANTINE_STRIKES)

/**
 * Uncleared crashes after which a request is held, although another request
 * may have caused them.  The time suffices for an innocent request to
 * complete at some runner, and for strikes to be gossiped.  After a further
 * crash the request is hardly innocent, and the longer time applies.
 */
#define BD_SUSPECT_HOLD_CRASHES 2
#define BD_SUSPECT_HOLD_MS 5000
#define BD_SUSPECT_LONG_HOLD_MS 60000

/**
 * A fingerprint that was completed before is hardly the cause, however many
 * crashes it was at: so long after the last one, and up to as long again, one
 * request passes, and if that crashes a runner too, one each
 * BD_SUSPECT_LONG_HOLD_MS.  Its result is waited for BD_SUSPECT_TRIAL_MS.
 */
#define BD_SUSPECT_TRIAL_DELAY_MS 4000
#define BD_SUSPECT_TRIAL_MS 10000

enum bd_suspicion
{
  BD_SUSPICION_NONE = 0,
  BD_SUSPICION_ISOLATE,   /**< Runs alone, on bd_suspects_runner (). */
  BD_SUSPICION_QUARANTINE /**< Every attempt is refused. */
};

/**
 * A strike: one engine or runner crash counted against the fingerprint of a
 * request that was in flight.  Gossiped among entries.
 */
struct bd_strike
{
  uint64_t fingerprint;
  struct bd_id crash; /**< Crash identifier; each counts once. */
  bool alone;         /**< The request was the only one in flight. */
  bool cleared;       /**< The request has completed since. */
  bool provisional;   /**< Unconfirmed: counts, but is not gossiped. */
  int64_t age_ms;     /**< Time since the last crash or refused attempt. */
};

struct bd_suspects;

/**
 * Creates a table of at most MAX_FINGERPRINTS; when it is full, the least
 * suspected and among these the oldest is evicted.  Strikes expire KEEP_MS
 * after the last crash or, in quarantine, after the last refused attempt.  A
 * refused attempt is gossiped if the last gossip of the fingerprint is at
 * least a quarter of KEEP_MS old.
 */
struct bd_suspects *bd_suspects_create (uint32_t max_fingerprints,
                                        int64_t keep_ms);
void bd_suspects_destroy (struct bd_suspects *suspects);

/**
 * From now on strikes count only for crashes that no rival explains: another
 * fingerprint in the table, or RIVALS, which may change between calls and must
 * outlive the table.  SEED is the seed of the times of trials.  Returns BD_OK
 * or BD_ERR_NOMEM.
 */
int bd_suspects_weigh_rivals (struct bd_suspects *suspects,
                              const struct bd_rivals *rivals, uint64_t seed);

/** Records a strike from a sidecar or a peer.  Returns true if it was new. */
bool bd_suspects_record (struct bd_suspects *suspects, int64_t now_ms,
                         const struct bd_strike *strike);

/**
 * Records a strike from a peer that sends it to all other peers itself.  It is
 * passed on only if other crashes of the fingerprint are known here.
 */
bool bd_suspects_record_gossip (struct bd_suspects *suspects, int64_t now_ms,
                                const struct bd_strike *strike);

/** Removes a provisional strike that was not confirmed. */
void bd_suspects_dismiss (struct bd_suspects *suspects, uint64_t fingerprint,
                          struct bd_id crash);

/** Records that a request is sent; if it is a trial, no other may follow until
    its result is known. */
void bd_suspects_sent (struct bd_suspects *suspects, int64_t now_ms,
                       uint64_t fingerprint);

/**
 * Clears the strikes of FINGERPRINT after a completed request, and gossips
 * the cleared strikes.  Peers clear these, and all others that they know in
 * which the request was not alone.
 */
void bd_suspects_completed (struct bd_suspects *suspects, int64_t now_ms,
                            uint64_t fingerprint);

/**
 * Whether another request than the one with the fingerprints EXACT and BROAD
 * is likelier to be the cause of CRASH than a part with COUNT crashes, which
 * was harmless before or not.
 */
bool bd_suspects_explain (const struct bd_suspects *suspects, uint64_t exact,
                          uint64_t broad, struct bd_id crash, uint32_t count,
                          bool harmless_before);

/** Returns the suspicion; in quarantine this counts as a refused attempt. */
enum bd_suspicion bd_suspects_check (struct bd_suspects *suspects,
                                     int64_t now_ms, uint64_t fingerprint);

/** Tells whether the request must wait, without being quarantined.  IN
    PROGRESS: its caller has some of its answer, so that it waits after one
    crash more. */
bool bd_suspects_must_wait (const struct bd_suspects *suspects, int64_t now_ms,
                            uint64_t fingerprint, bool in_progress);

/**
 * Returns the index of the one runner, of COUNT named in INSTANCES, on which
 * an isolated request may run.  Every entry gets the same one, by rendezvous
 * hashing.
 */
uint32_t bd_suspects_runner (uint64_t fingerprint,
                             const struct bd_chunk *instances, size_t count);

/**
 * Returns up to MAX strikes that were not gossiped yet, those of fingerprints
 * with several crashes first.
 */
size_t bd_suspects_next_gossip (struct bd_suspects *suspects, int64_t now_ms,
                                struct bd_strike *strikes, size_t max);

/**
 * Returns up to MAX uncleared strikes of quarantined fingerprints, gossiped or
 * not, for peers that may lack them.  Starts at *CURSOR and advances it.
 */
size_t bd_suspects_list (const struct bd_suspects *suspects, int64_t now_ms,
                         size_t *cursor, struct bd_strike *strikes,
                         size_t max);

/**
 * Returns the next up to MAX uncleared strikes, gossiped or not, for a peer
 * that knows none; 0 after the last one.  Those of fingerprints with the most
 * crashes come first.  *CURSOR is 0 at the first call.
 */
size_t bd_suspects_list_all (const struct bd_suspects *suspects,
                             int64_t now_ms, size_t *cursor,
                             struct bd_strike *strikes, size_t max);

/** Removes expired fingerprints. */
void bd_suspects_tick (struct bd_suspects *suspects, int64_t now_ms);

#endif
