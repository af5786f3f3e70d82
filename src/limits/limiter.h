/**
 * @file limiter.h
 * Limits per workspace, enforced by all entries (front ends) together without
 * shared state.
 * Each entry holds a share of each limit, which follows the demand that the
 * entries send to each other (see share.h).
 *
 * Bounds on over-admission.  They hold when a message takes less than
 * BD_SHARE_MESSAGE_DELAY_MS, every entry sends to every other at least each
 * BD_SHARE_SILENT_MS / 2, the result of bd_limiter_collect_demands () goes to
 * all, and the number of entries is the published one.  Up to 30 % of the
 * messages may be lost.
 * - The shares sum up to at most 1 + BD_SHARE_EXCESS at any time, through
 *   partitions, deaths, restarts and replacements in any mix.
 * - Over any time T all entries together admit at most (1 + BD_SHARE_EXCESS) *
 *   limit * (T + BD_TOKEN_BUCKET_BURST_MS), and one request per entry.  Each
 *   start of an entry adds one bucket at the floor's rate, at least one
 *   request.
 * - At most (1 + BD_SHARE_EXCESS) * concurrency requests run, and one per
 *   entry.  Requests admitted before a partition that lasts longer than
 *   BD_SHARE_LEASE_MS run to their end in addition.
 *
 * A partition adds nothing: each side comes down to its equal parts before the
 * other takes more.  The share of a dead entry is unused for
 * BD_SHARE_PEER_EXPIRE_MS, and an equal part of it until the entry is no
 * longer published.  After a restart of all entries at once they share
 * BD_SHARE_FLOOR of each limit for BD_SHARE_START_MS and one message delay.
 * An entry that is alive but not published adds an equal part during a
 * partition.  A loss in one direction only is not covered.
 */
#ifndef BD_LIMITER_H
#define BD_LIMITER_H

#include "configuration/contract.h"

/** Demand and share of a workspace at one entry, sent to its peers. */
struct bd_limiter_demand
{
  uint64_t workspace;      /**< Hash of the workspace's name. */
  uint32_t requests_per_s; /**< Smoothed rate offered at the entry, in
                              thousandths of a request per second. */
  uint32_t tokens_per_s;   /**< Smoothed rate offered at the entry, in
                              thousandths of a token per second. */
  uint32_t running; /**< Running requests, and those that would run if none
                       were rejected for concurrency. */
  /** Share held beyond the equal floor, in 1/10000 of the limit. */
  uint32_t share_permyriad;
};

struct bd_limiter;

/**
 * SELF is the hash of this entry's instance name.  Returns NULL when out of
 * memory.
 */
struct bd_limiter *bd_limiter_create (uint64_t self);
void bd_limiter_destroy (struct bd_limiter *limiter);

/**
 * Sets or replaces a workspace's limits and keeps its buckets.  A limit of 0
 * or less is no limit.  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_limiter_set (struct bd_limiter *limiter, int64_t now_ms,
                    uint64_t workspace, const struct bd_limits *limits);
void bd_limiter_remove (struct bd_limiter *limiter, uint64_t workspace);

/**
 * Admits a request that is expected to use TOKENS.  Returns BD_OK,
 * BD_ERR_RATE_LIMITED or BD_ERR_CONCURRENCY with *RETRY_AFTER_MS set, or
 * BD_ERR_NOT_FOUND.  After a rejection for a rate, *RETRY_AFTER_MS is the time
 * until the bucket holds enough at the present share; after one for
 * concurrency, the smoothed time between the ends of two requests.  A request
 * of more tokens than the bucket can hold is admitted when the bucket is full
 * and leaves a debt.
 */
int bd_limiter_admit (struct bd_limiter *limiter, int64_t now_ms,
                      uint64_t workspace, uint32_t tokens,
                      int32_t *retry_after_ms);

/**
 * Ends an admitted request and replaces the expected tokens by the used ones.
 */
void bd_limiter_release (struct bd_limiter *limiter, int64_t now_ms,
                         uint64_t workspace, uint32_t expected_tokens,
                         uint32_t used_tokens);

/**
 * Records the demands sent by PEER.  They expire when not renewed.  Call it
 * for every message of the peer, with COUNT 0 when it has no demands: the peer
 * then counts as reachable.
 */
void bd_limiter_record_peer (struct bd_limiter *limiter, int64_t now_ms,
                             uint64_t peer,
                             const struct bd_limiter_demand *demands,
                             size_t count);

/**
 * Sets the number of known entries, this one included.  Pass the number in the
 * published instance list, not the number of reachable ones: entries beyond a
 * partition must be counted.  Until the first call, no share rises above a
 * small one.  With 1 the entry takes the whole limit at once.
 */
void bd_limiter_set_entry_count (struct bd_limiter *limiter, int64_t now_ms,
                                 uint32_t entries);

/** Recomputes shares.  Call it about ten times a second. */
void bd_limiter_tick (struct bd_limiter *limiter, int64_t now_ms);

/**
 * Writes the demands that have changed enough since they were last sent, at
 * most MAX.  Returns the number written.
 */
size_t bd_limiter_collect_demands (struct bd_limiter *limiter, int64_t now_ms,
                                   struct bd_limiter_demand *demands,
                                   size_t max);

/** Returns the active share, floor included, in 1/10000 of the limit. */
uint32_t bd_limiter_share (const struct bd_limiter *limiter,
                           uint64_t workspace);

#endif
