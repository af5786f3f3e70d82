/**
 * @file rivals.h
 * What else than a request may have caused the runner crashes under it.
 *
 * Many requests are at a runner when it crashes, and each has several parts
 * that others have too.  Every one of them, request or part, is a suspect.
 * All follow one rule: a crash does not count against a suspect if a rival
 * that was there as well is likelier to be its cause, which is one with more
 * crashes.  A complete answer clears a suspect of all crashes before it, and
 * weighs as much as BD_RIVAL_HARMLESS_WEIGHT crashes against later ones when
 * it is compared with a rival that never had one.
 */
#ifndef BD_RIVALS_H
#define BD_RIVALS_H

#include "basildock.h"

#include <stdbool.h>

/** So many crashes more than those of a rival without a complete answer may be
    chance for a suspect that had one. */
#define BD_RIVAL_HARMLESS_WEIGHT 1

/** Rivals of one kind that were at the same crash. */
struct bd_rival_counts
{
  uint32_t most_known;   /**< Most crashes of one that had such an answer. */
  uint32_t most_unknown; /**< The same of those that never had one. */
};

static inline uint32_t
bd_rivals_most (const struct bd_rival_counts *rivals)
{
  return rivals->most_known > rivals->most_unknown ? rivals->most_known
                                                   : rivals->most_unknown;
}

/** Whether one of RIVALS is likelier to be the cause than a suspect with COUNT
    crashes, which had a complete answer before them or not.  Of two suspects
    at most one is likelier than the other. */
static inline bool
bd_rivals_outweigh (const struct bd_rival_counts *rivals, uint32_t count,
                    bool harmless_before)
{
  if (harmless_before)
    return rivals->most_known > count
           || rivals->most_unknown + BD_RIVAL_HARMLESS_WEIGHT >= count;
  return rivals->most_unknown > count
         || rivals->most_known > count + BD_RIVAL_HARMLESS_WEIGHT;
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
