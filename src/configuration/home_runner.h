/**
 * @file home_runner.h
 * The home runner of an idempotency key that the caller chose: the one runner
 * of the published pool that may run requests with the key, selected by
 * rendezvous hashing.
 */
#ifndef BD_HOME_RUNNER_H
#define BD_HOME_RUNNER_H

#include "configuration/config.h"

/** Returns the rendezvous hash of KEY and INSTANCE.  The home runner of KEY
    has the highest hash. */
uint64_t bd_home_runner_score (struct bd_id key, struct bd_chunk instance);

/** True when INSTANCE is the home runner of KEY in POOL. */
bool bd_home_runner_is (const struct bd_pool *pool, struct bd_id key,
                        struct bd_chunk instance);

/** Hash of the pool's list of runners; it changes when a key may get another
 * home runner. */
uint64_t bd_home_runner_list_hash (const struct bd_pool *pool);

#endif
