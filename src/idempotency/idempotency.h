/**
 * @file idempotency.h
 * Idempotency records of one sidecar incarnation.  At any time at most one
 * incarnation owns a key and may run it.  The ownership moves only by an
 * explicit handover to one named successor.
 */
#ifndef BD_IDEMPOTENCY_H
#define BD_IDEMPOTENCY_H

#include "basildock.h"

/** 128-bit hash of a workspace and an idempotency key in it. */
struct bd_key
{
  struct bd_id id;
};

enum bd_key_origin
{
  BD_KEY_ISSUED = 0,   /**< A sealed token that names its first owner. */
  BD_KEY_TIME_ORDERED, /**< A caller's time-ordered key (UUIDv7). */
  BD_KEY_OPAQUE        /**< A caller's key without a time. */
};

/** Most handovers of one key; then it can only run or be withdrawn. */
#define BD_HANDOVER_MAX_HOPS 2

/** Longest instance name, in bytes. */
#define BD_IDEMPOTENCY_NAME_BYTES 64

/** Most requests that wait on one key at a time. */
#define BD_IDEMPOTENCY_MAX_WAITERS 8

/** Longest retry window of a claim, in milliseconds. */
#define BD_IDEMPOTENCY_MAX_KEEP_MS (7LL * 24 * 3600 * 1000)

/**
 * Transfer of the permission to run a key from its owner to one successor.
 * Sent as sealed text, see bd_token_seal_handover ().
 */
struct bd_handover
{
  struct bd_key key;
  uint64_t fingerprint;
  char successor[BD_IDEMPOTENCY_NAME_BYTES + 1]; /**< Instance name. */
  uint64_t successor_incarnation;
  uint64_t from_incarnation; /**< Incarnation of the previous owner. */
  uint32_t hops;             /**< 1 for the first handover of the key. */
  int64_t expires_wall_ms;   /**< Time from which the handover is refused. */
};

/** A request's claim to run its key. */
struct bd_idempotency_claim
{
  struct bd_key key;
  enum bd_key_origin origin;
  uint64_t incarnation;    /**< Issued key: incarnation of its first owner. */
  int64_t key_wall_ms;     /**< Issued or time-ordered key: creation time. */
  int64_t expires_wall_ms; /**< Issued key: expiry. */
  uint64_t fingerprint;    /**< Hash of the request's content. */
  struct bd_id request;    /**< The claiming request. */
  int64_t retry_window_ms;
  /** Verified handover, or NULL. */
  const struct bd_handover *received_handover;
};

/** Decision on a claim. */
enum bd_idempotency_verdict
{
  BD_IDEMPOTENCY_RUN = 0, /**< Queue; call bd_idempotency_start () to run. */
  BD_IDEMPOTENCY_JOIN,    /**< Duplicate: wait for the first one's answer. */
  BD_IDEMPOTENCY_REPLAY,  /**< Return the recorded answer. */
  BD_IDEMPOTENCY_REFUSE   /**< Refuse with ERROR. */
};

struct bd_idempotency_answer
{
  enum bd_idempotency_verdict verdict;
  int error;                    /**< BD_ERR_…, with BD_IDEMPOTENCY_REFUSE. */
  struct bd_id running;         /**< JOIN: the request to wait for. */
  struct bd_chunk recorded;     /**< REPLAY: answer, valid until next call. */
  int status;                   /**< REPLAY: HTTP status of the answer. */
  struct bd_chunk content_type; /**< REPLAY: content type of the answer. */
  struct bd_chunk successor;    /**< BD_ERR_STALE: name of the new owner. */
  enum bd_ran ran;              /**< REFUSE: whether the key ran. */
  /**
   * BD_ERR_STALE: handover to be sealed for the caller; valid until the next
   * call.
   */
  const struct bd_handover *issued_handover;
};

struct bd_idempotency_settings
{
  uint64_t incarnation; /**< Incarnation of this process. */
  int64_t started_wall_ms;
  int64_t clock_skew_ms; /**< Largest permitted difference between two
                            instances' clocks. */
  /**
   * Callers' own keys are accepted only up to this time after the last
   * confirmation of the configuration; 0 disables the check.
   */
  int64_t confirm_window_ms;
  uint32_t max_records;
  uint64_t max_answer_bytes; /**< Limit on the sum of all answers. */
};

struct bd_idempotency;

struct bd_idempotency *
bd_idempotency_create (const struct bd_idempotency_settings *settings);
void bd_idempotency_destroy (struct bd_idempotency *idempotency);

/**
 * Sets the time since which this sidecar is home runner of callers' own keys;
 * initially the start.
 */
void bd_idempotency_set_home_since (struct bd_idempotency *idempotency,
                                    int64_t wall_ms);

/**
 * Records that the active configuration was confirmed by a read sent at
 * NOW_MS.
 */
void bd_idempotency_confirm_configuration (struct bd_idempotency *idempotency,
                                           int64_t now_ms);

/**
 * Decides on a claim.  NOW_MS is monotonic, WALL_MS the wall clock.
 *
 * A claim to a key without a record is accepted
 *  - with a handover that names this incarnation and has not expired;
 *  - for an issued key that names this incarnation and has not expired;
 *  - for a time-ordered key created at most clock_skew_ms after WALL_MS, and
 * more than twice clock_skew_ms after the start and the change of home runner;
 *  - for an opaque key when the start and the change of home runner are longer
 *    ago than the retry window.
 * Twice the skew, because the clock of an earlier owner may have been ahead of
 * this one by the skew, and that owner accepted keys ahead of its own clock by
 * the skew.
 * Errors: BD_ERR_OUTCOME_UNKNOWN when an earlier run cannot be excluded,
 * BD_ERR_KEY_EXPIRED, BD_ERR_KEY_INVALID for a date in the future,
 * BD_ERR_FULL when there is no room for a new record, BD_ERR_INVALID for a
 * retry window outside 1 ms to BD_IDEMPOTENCY_MAX_KEEP_MS.  With a record:
 * BD_ERR_KEY_MISMATCH, BD_ERR_KEY_ENDED, BD_ERR_ALREADY_RAN,
 * BD_ERR_OUTCOME_UNKNOWN or BD_ERR_STALE.  The answer's ran tells of the
 * request of this claim: BD_RAN_NO only when it has not run with the key and
 * never will.  With BD_ERR_KEY_MISMATCH the key may have run, with the request
 * that it was first used for.  A duplicate of the claim that got
 * RUN gets JOIN with its own identifier.
 */
void bd_idempotency_claim (struct bd_idempotency *idempotency, int64_t now_ms,
                           int64_t wall_ms,
                           const struct bd_idempotency_claim *claim,
                           struct bd_idempotency_answer *answer);

/**
 * Starts the run of KEY by REQUEST; called right before the first byte is sent
 * to the engine.  Returns true if the key may run now, which happens at most
 * once per key unless bd_idempotency_undo_start () undoes the start.
 */
bool bd_idempotency_start (struct bd_idempotency *idempotency, int64_t now_ms,
                           struct bd_key key, struct bd_id request);

/**
 * Withdraws a claim that has not started.  If no other request waits on the
 * key, the key is ended and never runs here.  Returns BD_OK if the request
 * provably did not run, otherwise BD_ERR_OUTCOME_UNKNOWN; then a key that has
 * not started stays queued for the other waiting requests.
 */
int bd_idempotency_withdraw (struct bd_idempotency *idempotency,
                             int64_t now_ms, struct bd_key key,
                             struct bd_id request);

/**
 * Hands a key that has not started over to INCARNATION of SUCCESSOR, for all
 * requests that wait on it.  Later calls return the handover of the first.
 * OUT is valid until the next call.  Errors: BD_ERR_NOT_FOUND, BD_ERR_INVALID
 * for a name or incarnation that cannot be a successor, BD_ERR_FULL after
 * BD_HANDOVER_MAX_HOPS, BD_ERR_KEY_ENDED, BD_ERR_ALREADY_RAN,
 * BD_ERR_KEY_EXPIRED past the retry window, or BD_ERR_OUTCOME_UNKNOWN once the
 * key has started.
 */
int bd_idempotency_hand_over (struct bd_idempotency *idempotency,
                              int64_t now_ms, int64_t wall_ms,
                              struct bd_key key, struct bd_chunk successor,
                              uint64_t incarnation,
                              const struct bd_handover **out);

/**
 * Records the end of a run.  ERROR BD_OK: stores the answer.
 * BD_ERR_ALREADY_RAN: the run completed, but its answer is not stored.  Any
 * other error: the outcome is unknown.
 */
void bd_idempotency_finish (struct bd_idempotency *idempotency, int64_t now_ms,
                            struct bd_key key, int error, int status,
                            struct bd_chunk content_type,
                            struct bd_chunk answer);

/** Records the tokens of an unfinished run, for billing. */
void bd_idempotency_set_tokens (struct bd_idempotency *idempotency,
                                struct bd_key key, uint32_t tokens);

/**
 * Tells whether the answer of KEY is to be billed, and sets TOKENS.  Returns
 * true once, for a key whose run completed.
 */
bool bd_idempotency_bill_once (struct bd_idempotency *idempotency,
                               struct bd_key key, uint32_t *tokens);

/**
 * Undoes bd_idempotency_start () after the first byte was provably not sent.
 * The key may start again, or is ended if no request waits on it any more.
 */
void bd_idempotency_undo_start (struct bd_idempotency *idempotency,
                                int64_t now_ms, struct bd_key key,
                                struct bd_id request);

/**
 * Drops expired records, except of running keys.  A dropped issued or
 * time-ordered key, or one received by handover, stays refused because of its
 * expiry or creation time, whatever the clocks do.  Takes time linear in the
 * number of records; call about once a second.
 */
void bd_idempotency_tick (struct bd_idempotency *idempotency, int64_t now_ms);

/** Tells whether there is a record of KEY. */
bool bd_idempotency_has_record (const struct bd_idempotency *idempotency,
                                struct bd_key key);

/** Returns the number of records. */
uint32_t bd_idempotency_count (const struct bd_idempotency *idempotency);

#endif
