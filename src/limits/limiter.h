/**
 * @file limiter.h
 * Limits per workspace, kept over all entries by shares without shared
 * state.  Each entry holds a share of each limit, which follows the demand
 * that entries tell each other (see share.h).
 *
 * Over-admission, when a message takes less than BD_SHARE_MESSAGE_DELAY_MS,
 * every entry sends to every other at least each BD_SHARE_SILENT_MS / 2, what
 * bd_limiter_demands () gives goes to all, and the number of entries is the
 * published one; up to 30 % of the messages may be lost:
 *  - the shares sum up to at most 1 + BD_SHARE_EXCESS at any time, through
 *    partitions, deaths, restarts and replacements in any mix;
 *  - over any time T the fleet admits at most (1 + BD_SHARE_EXCESS) * limit *
 *    (T + BD_BUCKET_BURST_MS), and one request an entry; each start of an
 *    entry adds one bucket at the floor's rate, at least one request;
 *  - at most (1 + BD_SHARE_EXCESS) * concurrency requests run, and one an
 *    entry, but for those admitted before a partition that lasts longer than
 *    BD_SHARE_LEASE_MS, which run to their end.
 * A partition adds nothing: each side comes down to its equal parts before
 * the other takes more.  A dead entry's share lies idle for
 * BD_SHARE_PEER_EXPIRE_MS, and an equal part of it until the entry is no
 * longer published.  After a restart of all entries at once they share
 * BD_SHARE_FLOOR of each limit for BD_SHARE_START_MS and an answer.
 * An entry that is alive but not published adds an equal part during a
 * partition; a loss in one direction only is not covered.
 */
#ifndef BD_LIMITER_H
#define BD_LIMITER_H

#include "configuration/contract.h"

/** What an entry tells its peers of one workspace. */
struct bd_demand
{
  uint64_t workspace;      /**< Hash of the name. */
  uint32_t requests_per_s; /**< Offered here, smoothed, in thousandths. */
  uint32_t tokens_per_s;   /**< Offered here, smoothed, in thousandths. */
  uint32_t running;        /**< And would, were they not refused. */
  /** Share held now beyond the equal floor, in 1/10000 of the limit. */
  uint32_t share_permyriad;
};

struct bd_limiter;

/** SELF is the hash of this entry's instance name. */
struct bd_limiter *bd_limiter_create (uint64_t self);
void bd_limiter_destroy (struct bd_limiter *limiter);

/**
 * Sets or replaces a workspace's limits; keeps its buckets.  A limit of 0 or
 * less does not limit.  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_limiter_set (struct bd_limiter *limiter, int64_t now_ms,
                    uint64_t workspace, const struct bd_limits *limits);
void bd_limiter_remove (struct bd_limiter *limiter, uint64_t workspace);

/**
 * Admits a request that is expected to use TOKENS.  Returns BD_OK,
 * BD_ERR_RATE_LIMITED or BD_ERR_CONCURRENCY with *RETRY_AFTER_MS set, or
 * BD_ERR_NOT_FOUND.  After a rate refusal, *RETRY_AFTER_MS is the time until
 * the bucket holds enough at the present share; after a refusal for
 * concurrency, the smoothed time between two ends of requests.  A request of
 * more tokens than the bucket can hold is admitted when it is full and leaves
 * a debt.
 */
int bd_limiter_admit (struct bd_limiter *limiter, int64_t now_ms,
                      uint64_t workspace, uint32_t tokens,
                      int32_t *retry_after_ms);

/** Ends an admitted request, correcting the expected tokens by the real. */
void bd_limiter_release (struct bd_limiter *limiter, int64_t now_ms,
                         uint64_t workspace, uint32_t expected_tokens,
                         uint32_t used_tokens);

/**
 * Takes in what PEER told.  Records of a peer expire when not renewed.  Call
 * it for every message of the peer, with COUNT 0 when it told nothing: the
 * peer then counts as in touch.
 */
void bd_limiter_peer_demand (struct bd_limiter *limiter, int64_t now_ms,
                             uint64_t peer, const struct bd_demand *demands,
                             size_t count);

/**
 * Sets how many entries are known to exist, this one included.  Pass the
 * number that the published instance list gives, not the number in touch:
 * the entries beyond a partition must be counted.  Until this is called no
 * share is raised above a small one; with 1 the entry takes all at once.
 */
void bd_limiter_set_peers (struct bd_limiter *limiter, int64_t now_ms,
                           uint32_t entries);

/** Recomputes shares; call about ten times a second. */
void bd_limiter_tick (struct bd_limiter *limiter, int64_t now_ms);

/**
 * Writes what changed enough since the last call to be told, at most MAX.
 * Returns the number written.
 */
size_t bd_limiter_demands (struct bd_limiter *limiter, int64_t now_ms,
                           struct bd_demand *demands, size_t max);

/** Share in force here, floor included, in 1/10000 of the limit. */
uint32_t bd_limiter_share (const struct bd_limiter *limiter,
                           uint64_t workspace);

#endif
