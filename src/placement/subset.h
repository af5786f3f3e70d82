/**
 * @file subset.h
 * The bounded subset of a pool's runners to which an entry connects.
 *
 * Rendezvous hashing of the names of entry and runner: repeatable, different
 * for each entry, and one runner more or less changes one member.  A runner is
 * in SIZE * entries / runners subsets on average, with nearly a Poisson
 * distribution.  With an average of 19 (480 entries, 3,000 runners, SIZE 120)
 * one runner in 2e8 is in none; below an average of about 12 the size must
 * grow.
 */
#ifndef BD_SUBSET_H
#define BD_SUBSET_H

#include "placement/placement.h"

struct bd_subset_member
{
  uint64_t score;
  size_t index; /**< Index in the array of runners. */
  bool local;   /**< In the entry's own zone. */
};

/**
 * Selects up to SIZE of COUNT runners (SIZE 0: all), half of them in ZONE and
 * half elsewhere, as far as there are enough.  ENTRY is the hash of the
 * entry's name.  MEMBERS has room for COUNT.  Returns the number selected.
 */
size_t bd_subset_select (uint64_t entry, struct bd_chunk zone,
                         const struct bd_placement_runner *runners,
                         size_t count, size_t size,
                         struct bd_subset_member *members);

#endif
