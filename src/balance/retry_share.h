/**
 * @file retry_share.h
 * One instance's part of a retry budget that all instances share.
 *
 * In any window the repeats of all instances together stay within a ratio of
 * the first attempts plus a slack.  Each instance spends the ratio on its own
 * first attempts, and an equal part of the slack.
 *
 * What was spent is known to the process that spent it.  So a new process
 * spends none of the slack in its first window: the one before it may have
 * done so.  And instances that fall silent keep their part for a while: they
 * may only be out of reach, and spend it.
 */
#ifndef BD_RETRY_SHARE_H
#define BD_RETRY_SHARE_H

#include "common/string.h"

/** How long instances that fell silent keep their part of the slack. */
#define BD_RETRY_QUOTA_SILENT_MS 60000

/** The bounds of the whole system. */
struct bd_retry_bounds
{
  double ratio;      /**< Repeats per first attempt. */
  double slack;      /**< Repeats in a window beyond the ratio. */
  int64_t window_ms; /**< Length of the window. */
};

struct bd_retry_share;

/** The share of a process that starts at NOW_MS. */
struct bd_retry_share *
bd_retry_share_create (const struct bd_retry_bounds *bounds, int64_t now_ms);
void bd_retry_quota_destroy (struct bd_retry_share *quota);

/** Changes the bounds. */
void bd_retry_share_bound (struct bd_retry_share *quota,
                           const struct bd_retry_bounds *bounds);

/** How many instances share the slack, this one included; at least 1. */
void bd_retry_share_members (struct bd_retry_share *quota, int64_t now_ms,
                             uint32_t count);

/** A request for SERVICE was first sent to a runner. */
void bd_retry_share_first (struct bd_retry_share *quota, int64_t now_ms,
                           struct bd_chunk service);

/** Asks for a repeat; true charges it. */
bool bd_retry_share_take (struct bd_retry_share *quota, int64_t now_ms,
                          struct bd_chunk service);

#endif
