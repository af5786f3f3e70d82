/**
 * @file retry_quota.h
 * One instance's quota of a retry budget that all instances share.
 *
 * In any window, the retries of all instances together stay within a ratio of
 * the first attempts plus a slack.  Each instance spends the ratio of its own
 * first attempts and an equal part of the slack.
 *
 * A restarted process does not know what its predecessor spent, so a new
 * process spends none of the slack in its first window.  Instances that fall
 * silent keep their part for a while: they may only be unreachable and still
 * spend it.
 */
#ifndef BD_RETRY_QUOTA_H
#define BD_RETRY_QUOTA_H

#include "common/string.h"

/** Time for which a silent instance keeps its part of the slack. */
#define BD_RETRY_QUOTA_SILENT_MS 60000

/** Limits for all instances together. */
struct bd_retry_limits
{
  double ratio;      /**< Retries per first attempt. */
  double slack;      /**< Retries in a window beyond the ratio. */
  int64_t window_ms; /**< Length of the window. */
};

struct bd_retry_quota;

/** Creates the quota of a process that starts at NOW_MS. */
struct bd_retry_quota *
bd_retry_quota_create (const struct bd_retry_limits *limits, int64_t now_ms);
void bd_retry_quota_destroy (struct bd_retry_quota *quota);

/** Replaces the limits. */
void bd_retry_quota_set_limits (struct bd_retry_quota *quota,
                                const struct bd_retry_limits *limits);

/** Sets the number of live instances, this one included; at least 1. */
void bd_retry_quota_set_instances (struct bd_retry_quota *quota,
                                   int64_t now_ms, uint32_t count);

/** Records the first attempt of a request for SERVICE. */
void bd_retry_quota_record_first (struct bd_retry_quota *quota, int64_t now_ms,
                                  struct bd_chunk service);

/** Takes a retry from the quota.  Returns false when it is used up. */
bool bd_retry_quota_take (struct bd_retry_quota *quota, int64_t now_ms,
                          struct bd_chunk service);

#endif
