/**
 * @file custody.h
 * Idempotency records of one sidecar incarnation: at every moment at most
 * one incarnation may run a key, and the permission moves only by an
 * explicit hand-over to one named successor.
 */
#ifndef BD_CUSTODY_H
#define BD_CUSTODY_H

#include "basildock.h"

/** A key within a workspace: hash of both, 128 bits. */
struct bd_key
{
  struct bd_id id;
};

enum bd_key_origin
{
  BD_KEY_ISSUED = 0, /**< A sealed token that names its first custodian. */
  BD_KEY_TIMED,      /**< The caller's, time-ordered (UUIDv7). */
  BD_KEY_OPAQUE      /**< The caller's, without a time. */
};

/** Hand-overs of one key, after which it can only run or be ended. */
#define BD_HAND_OVER_MAX_HOPS 2

/** Longest instance name, in bytes. */
#define BD_CUSTODY_NAME_BYTES 64

/** Requests that can wait on one key at a time. */
#define BD_CUSTODY_MAX_WAITERS 8

/** Longest time that a record is asked to be kept, in milliseconds. */
#define BD_CUSTODY_MAX_KEEP_MS (7LL * 24 * 3600 * 1000)

/**
 * The permission to run a key, passed from its holder to one successor.
 * It travels sealed, see bd_token_seal_hand_over ().
 */
struct bd_hand_over
{
  struct bd_key key;
  uint64_t fingerprint;
  char successor[BD_CUSTODY_NAME_BYTES + 1]; /**< Instance name. */
  uint64_t successor_incarnation;
  uint64_t from_incarnation; /**< The holder that passed it on. */
  uint32_t hops;             /**< 1 for the first hand-over of the key. */
  int64_t expires_wall_ms;   /**< Not accepted afterwards. */
};

/** What is asked of the custodian. */
struct bd_custody_claim
{
  struct bd_key key;
  enum bd_key_origin origin;
  uint64_t incarnation;    /**< Issued: the custodian that was named. */
  int64_t key_wall_ms;     /**< Issued and timed: when it was made. */
  int64_t expires_wall_ms; /**< Issued: when it expires. */
  uint64_t fingerprint;    /**< Hash of the request's content. */
  struct bd_id request;    /**< The request that asks. */
  int64_t retry_window_ms;
  /** Opened and authentic, or NULL when the claim comes without one. */
  const struct bd_hand_over *hand_over;
};

/** What the custodian decides. */
enum bd_custody_verdict
{
  BD_CUSTODY_RUN = 0, /**< Queue it; ask bd_custody_start () again. */
  BD_CUSTODY_JOIN,    /**< A duplicate: wait for the first's answer. */
  BD_CUSTODY_REPLAY,  /**< The recorded answer is returned. */
  BD_CUSTODY_REFUSE   /**< ERROR says why. */
};

struct bd_custody_answer
{
  enum bd_custody_verdict verdict;
  int error;                    /**< BD_ERR_…, with BD_CUSTODY_REFUSE. */
  struct bd_id running;         /**< With JOIN: the request that runs. */
  struct bd_chunk recorded;     /**< With REPLAY: valid until the next call. */
  int status;                   /**< With REPLAY: HTTP status. */
  struct bd_chunk content_type; /**< With REPLAY. */
  struct bd_chunk successor;    /**< With BD_ERR_STALE: who holds it now. */
  enum bd_ran ran; /**< With REFUSE: what is known about the key. */
  /** With BD_ERR_STALE: to be sealed for the caller; as RECORDED. */
  const struct bd_hand_over *hand_over;
};

struct bd_custody_settings
{
  uint64_t incarnation; /**< This process's. */
  int64_t started_wall_ms;
  int64_t clock_skew_ms; /**< Permitted between any two clocks. */
  /**
   * Callers' own keys are accepted only for this long after the
   * configuration was last confirmed; 0: this is not checked.
   */
  int64_t confirm_window_ms;
  uint32_t max_records;
  uint64_t max_answer_bytes; /**< All recorded answers together. */
};

struct bd_custody;

struct bd_custody *
bd_custody_create (const struct bd_custody_settings *settings);
void bd_custody_destroy (struct bd_custody *custody);

/**
 * Tells when this sidecar became home of callers' own keys; before it is
 * told, that is the start.
 */
void bd_custody_home_since (struct bd_custody *custody, int64_t wall_ms);

/**
 * Tells that the configuration in force was confirmed by a read which was
 * sent at NOW_MS.
 */
void bd_custody_confirm (struct bd_custody *custody, int64_t now_ms);

/**
 * Decides on a claim.  NOW_MS is monotonic, WALL_MS the wall clock.
 *
 * Without a record of the key, the claim is accepted
 *  - with a hand-over that names this incarnation and has not expired;
 *  - for an issued key that names this incarnation and has not expired;
 *  - for a timed key dated at most clock_skew_ms after WALL_MS, and more than
 *    twice clock_skew_ms after the start and the change of home;
 *  - for an opaque key when the start and the change of home are further
 *    back than the retry window.
 * Twice the skew, because an earlier custodian may have run ahead of this
 * one's clock by the skew, and accepted keys dated ahead of its own by it.
 * Errors: BD_ERR_OUTCOME_UNKNOWN when an earlier run cannot be excluded,
 * BD_ERR_KEY_EXPIRED, BD_ERR_KEY_INVALID for a date in the future,
 * BD_ERR_FULL when there is no room for a new record, BD_ERR_INVALID for a
 * retry window outside 1 ms to BD_CUSTODY_MAX_KEEP_MS.  With a record:
 * BD_ERR_KEY_MISMATCH, BD_ERR_KEY_ENDED, BD_ERR_ALREADY_RAN,
 * BD_ERR_OUTCOME_UNKNOWN or BD_ERR_STALE.  ANSWER's ran is BD_RAN_NO only
 * when the key has not run and never will.  A duplicate delivery of the
 * claim that got RUN gets JOIN with its own identifier.
 */
void bd_custody_claim (struct bd_custody *custody, int64_t now_ms,
                       int64_t wall_ms, const struct bd_custody_claim *claim,
                       struct bd_custody_answer *answer);

/**
 * Right before the first byte goes to the engine: true when REQUEST may
 * run KEY now.  True is returned once per key, ever.
 */
bool bd_custody_start (struct bd_custody *custody, int64_t now_ms,
                       struct bd_key key, struct bd_id request);

/**
 * Withdraws a claim that has not started.  When no other request waits on
 * it the key is ended: it never runs here.  Returns BD_OK when the request
 * provably did not run, BD_ERR_OUTCOME_UNKNOWN otherwise; then the request
 * stays queued for the others that wait, when it has not started.
 */
int bd_custody_withdraw (struct bd_custody *custody, int64_t now_ms,
                         struct bd_key key, struct bd_id request);

/**
 * Passes a key that has not started on to INCARNATION of SUCCESSOR, for
 * every request that waits on it.  The first call decides: later ones give
 * the same hand-over.  OUT is valid until the next call.  Errors:
 * BD_ERR_NOT_FOUND, BD_ERR_INVALID for a name or incarnation that cannot be
 * a successor, BD_ERR_FULL after BD_HAND_OVER_MAX_HOPS, BD_ERR_KEY_ENDED,
 * BD_ERR_ALREADY_RAN, BD_ERR_KEY_EXPIRED past the retry window, or
 * BD_ERR_OUTCOME_UNKNOWN once it has started.
 */
int bd_custody_hand_over (struct bd_custody *custody, int64_t now_ms,
                          int64_t wall_ms, struct bd_key key,
                          struct bd_chunk successor, uint64_t incarnation,
                          const struct bd_hand_over **out);

/**
 * Records the end of a run: the answer with BD_OK, that it ran whole but the
 * answer is not kept with BD_ERR_ALREADY_RAN, otherwise that the outcome is
 * unknown.
 */
void bd_custody_finish (struct bd_custody *custody, int64_t now_ms,
                        struct bd_key key, int error, int status,
                        struct bd_chunk content_type, struct bd_chunk answer);

/** Notes the tokens of a run that has not ended yet, for its bill. */
void bd_custody_used (struct bd_custody *custody, struct bd_key key,
                      uint32_t tokens);

/**
 * True the first time it is asked of a key that ran, with the noted tokens:
 * its answer is billed now and never again.
 */
bool bd_custody_bill (struct bd_custody *custody, struct bd_key key,
                      uint32_t *tokens);

/**
 * The first byte was provably never sent: the key may run again.  It is
 * ended when no request waits on it any more.
 */
void bd_custody_not_sent (struct bd_custody *custody, int64_t now_ms,
                          struct bd_key key, struct bd_id request);

/**
 * Drops records whose retry window has passed, but none that runs.  A
 * dropped issued or timed key, or one that came by a hand-over, stays
 * refused by its expiry or date, whatever the clocks do.  Linear in the
 * number of records: to be called about once a second.
 */
void bd_custody_tick (struct bd_custody *custody, int64_t now_ms);

/** True when there is a record of KEY. */
bool bd_custody_knows (const struct bd_custody *custody, struct bd_key key);

uint32_t bd_custody_count (const struct bd_custody *custody);

#endif
