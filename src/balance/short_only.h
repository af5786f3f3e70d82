/**
 * @file short_only.h
 * Reserves some runners of each service for requests with short prompts.
 */
#ifndef BD_SHORT_ONLY_H
#define BD_SHORT_ONLY_H

#include "balance/target.h"

/**
 * One in so many runners of a service (rounded up) is reserved for short
 * prompts, if the service has at least BD_TARGET_SHORT_RUNNERS_MIN.
 */
#define BD_TARGET_SHORT_ONE_IN 5
#define BD_TARGET_SHORT_RUNNERS_MIN 3

/**
 * Sets short_only of the COUNT runners, which are ordered by service and by
 * the hash of the identifier.
 */
void bd_short_only_update (struct bd_target *const *targets, size_t count);

#endif
