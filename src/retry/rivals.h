/**
 * @file rivals.h
 * What else than a request may have caused the runner crashes under it.
 *
 * Many requests are at a runner when it crashes, and each has several parts
 * that others have too.  Every one of them, request or part, is a suspect.
 * All follow one rule: a crash does not count against a suspect if a rival
 * that was there as well is likelier to be its cause, which is one with more
 * crashes, or with as many if the suspect had a complete answer before and the
 * rival never had one.  A complete answer clears a suspect of all crashes
 * before it.
 */
#ifndef BD_RIVALS_H
#define BD_RIVALS_H

#include "basildock.h"

#include <stdbool.h>

/** Rivals of one kind that were at the same crash. */
struct bd_rival_counts
{
  uint32_t most;         /**< Most crashes that one of them has. */
  uint32_t most_unknown; /**< The same of those without a complete answer. */
};

/** Whether one of RIVALS is likelier to be the cause than a suspect with COUNT
    crashes, which had a complete answer before them or not. */
static inline bool
bd_rivals_outweigh (const struct bd_rival_counts *rivals, uint32_t count,
                    bool harmless_before)
{
  if (rivals->most > count)
    return true;
  return harmless_before && rivals->most_unknown >= count;
}

struct bd_rivals;

struct bd_rivals_ops
{
  /** Whether a rival explains CRASH better than a request with COUNT crashes
      does. */
  bool (*explain) (const struct bd_rivals *rivals, struct bd_id crash,
                   uint32_t count, bool harmless_before);
};

/** Rivals of a request that are known elsewhere. */
struct bd_rivals
{
  const struct bd_rivals_ops *ops;
};

#endif
