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
};

struct bd_custody_settings
{
  uint64_t incarnation; /**< This process's. */
  int64_t started_wall_ms;
  int64_t clock_skew_ms; /**< Permitted between any two clocks. */
  uint32_t max_records;
  uint64_t max_answer_bytes; /**< All recorded answers together. */
};

struct bd_custody;

struct bd_custody *
bd_custody_create (const struct bd_custody_settings *settings);
void bd_custody_destroy (struct bd_custody *custody);

/** Tells when this sidecar became home of callers' own keys. */
void bd_custody_home_since (struct bd_custody *custody, int64_t wall_ms);

/** Decides on a claim.  NOW_MS is monotonic, WALL_MS the wall clock. */
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
 * provably did not run, BD_ERR_OUTCOME_UNKNOWN otherwise.
 */
int bd_custody_withdraw (struct bd_custody *custody, int64_t now_ms,
                         struct bd_key key, struct bd_id request);

/** Records the end of a run: the answer, or that the outcome is unknown. */
void bd_custody_finish (struct bd_custody *custody, int64_t now_ms,
                        struct bd_key key, int error, int status,
                        struct bd_chunk content_type, struct bd_chunk answer);

/** The first byte was provably never sent: the key may run again. */
void bd_custody_not_sent (struct bd_custody *custody, int64_t now_ms,
                          struct bd_key key, struct bd_id request);

/** Ends records whose retry window has passed. */
void bd_custody_tick (struct bd_custody *custody, int64_t now_ms);

uint32_t bd_custody_count (const struct bd_custody *custody);

#endif
