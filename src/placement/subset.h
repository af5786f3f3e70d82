/**
 * @file subset.h
 * The bounded part of a pool's runners that an entry talks to.
 *
 * Rendezvous hashing on the names of entry and runner: the same at each
 * computation, different for each entry, and one runner more or less changes
 * one place.  A runner is in SIZE * entries / runners subsets on average, with
 * a distribution close to Poisson's: with an average of 19 (480 entries, 3,000
 * runners, SIZE 120) one in 2e8 is in none; below an average of about 12 the
 * size must grow.
 */
#ifndef BD_SUBSET_H
#define BD_SUBSET_H

#include "placement/placement.h"

struct bd_subset_member
{
  uint64_t score;
  size_t index; /**< In the array of runners. */
  bool local;   /**< In the entry's own zone. */
};

/**
 * Draws up to SIZE of COUNT runners (SIZE 0: all), half of them in ZONE and
 * half elsewhere, as far as there are enough.  ENTRY is the hash of the
 * entry's name.  MEMBERS has room for COUNT.  Returns the number drawn.
 */
size_t bd_subset_select (uint64_t entry, struct bd_chunk zone,
                         const struct bd_placement_runner *runners,
                         size_t count, size_t size,
                         struct bd_subset_member *members);

#endif
