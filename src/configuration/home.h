/**
 * @file home.h
 * The home of a caller's own idempotency key: the runner of the published
 * pool that may run it, by rendezvous hashing.
 */
#ifndef BD_HOME_H
#define BD_HOME_H

#include "configuration/config.h"

/** How strongly INSTANCE is the home of KEY; the highest is. */
uint64_t bd_home_rank (struct bd_id key, struct bd_chunk instance);

/** True when INSTANCE is the home of KEY among the pool's runners. */
bool bd_home_is (const struct bd_pool *pool, struct bd_id key,
                 struct bd_chunk instance);

/** A hash of the pool's runners, which changes when homes may move. */
uint64_t bd_home_roster (const struct bd_pool *pool);

#endif
