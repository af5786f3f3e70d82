/**
 * @file limit_notice.h
 * What an instance tells its peers about the rate limit of a runner.
 */
#ifndef BD_LIMIT_NOTICE_H
#define BD_LIMIT_NOTICE_H

#include "balance/runner_limit.h"
#include "wire/pack.h"

/** A runner's rate limit, or the end of it. */
struct bd_limit_notice
{
  uint32_t target;    /**< Low 32 bits of the runner's hash. */
  int64_t started_ms; /**< Start time of the runner's process. */
  uint32_t rate;      /**< Thousandths of a request per second; 0: the
                         limit has ended. */
  int64_t age_ms;     /**< Time since the runner said so. */
};

struct bd_limit_notice bd_limit_notice_of (const struct bd_target *target,
                                           int64_t now_ms);

/** Applies a peer's NOTICE unless more is known here. */
void bd_limit_notice_apply (const struct bd_targets *targets,
                            const struct bd_limit_notice *notice,
                            int64_t now_ms);

void bd_limit_notice_write (struct bd_pack *pack,
                            const struct bd_limit_notice *notice);
void bd_limit_notice_read (struct bd_unpack *unpack,
                           struct bd_limit_notice *notice);

#endif
