/**
 * @file crash_rivals.h
 * Lets the requests and the parts of prompts that are suspected of runner
 * crashes explain each other's crashes (retry/rivals.h).
 */
#ifndef BD_CRASH_RIVALS_H
#define BD_CRASH_RIVALS_H

#include "gateway/crash.h"

struct bd_crash_rivals;

/** The rivals of one kind. */
struct bd_crash_rivals_view
{
  struct bd_rivals base;
  const struct bd_crash_rivals *all;
};

struct bd_crash_rivals
{
  struct bd_crash_rivals_view parts;    /**< As rivals of a request. */
  struct bd_crash_rivals_view requests; /**< As rivals of a part. */
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  const struct bd_fingerprint *request; /**< The one that is looked at. */
};

/** Sets what the rivals of SUSPECTS and of BREAKERS are; RIVALS must stay in
    place as long as these.  SEED is the seed of the times of trials.  Returns
    BD_OK or BD_ERR_NOMEM. */
int bd_crash_rivals_init (struct bd_crash_rivals *rivals,
                          struct bd_suspects *suspects,
                          struct bd_part_breakers *breakers, uint64_t seed);

/** Sets the request that is looked at, which is no rival of its own parts, nor
    they of it; NULL: none. */
void bd_crash_rivals_set_request (struct bd_crash_rivals *rivals,
                                  const struct bd_fingerprint *request);

#endif
