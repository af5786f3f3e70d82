/**
 * @file limiter.h
 * Limits per workspace, kept over all entries by shares without shared
 * state.  Each entry holds a share of each limit, which follows the demand
 * that entries tell each other; an unreachable peer keeps its last share
 * until it expires.
 */
#ifndef BD_LIMITER_H
#define BD_LIMITER_H

#include "core/contract.h"

/** What an entry tells its peers of one workspace. */
struct bd_demand
{
  uint64_t workspace;      /**< Hash of the name. */
  uint32_t requests_per_s; /**< Offered here, smoothed, in thousandths. */
  uint32_t tokens_per_s;   /**< Used here, smoothed, in thousandths. */
  uint32_t running;
  uint32_t share_permyriad; /**< Share held now, in 1/10000 of the limit. */
};

struct bd_limiter;

/** SELF is the hash of this entry's instance name. */
struct bd_limiter *bd_limiter_create (uint64_t self);
void bd_limiter_destroy (struct bd_limiter *limiter);

/** Sets or replaces a workspace's limits; keeps its buckets. */
int bd_limiter_set (struct bd_limiter *limiter, int64_t now_ms,
                    uint64_t workspace, const struct bd_limits *limits);
void bd_limiter_remove (struct bd_limiter *limiter, uint64_t workspace);

/**
 * Admits a request that is expected to use TOKENS.  Returns BD_OK,
 * BD_ERR_RATE_LIMITED or BD_ERR_CONCURRENCY with *RETRY_AFTER_MS set, or
 * BD_ERR_NOT_FOUND.
 */
int bd_limiter_admit (struct bd_limiter *limiter, int64_t now_ms,
                      uint64_t workspace, uint32_t tokens,
                      int32_t *retry_after_ms);

/** Ends an admitted request, correcting the expected tokens by the real. */
void bd_limiter_release (struct bd_limiter *limiter, int64_t now_ms,
                         uint64_t workspace, uint32_t expected_tokens,
                         uint32_t used_tokens);

/** Takes in what PEER told.  Records of a peer expire when not renewed. */
void bd_limiter_peer_demand (struct bd_limiter *limiter, int64_t now_ms,
                             uint64_t peer, const struct bd_demand *demands,
                             size_t count);

/** Sets how many entries are known to exist, this one included. */
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

#endif
