/**
 * @file rotation.h
 * Round-robin over a shuffled list: each pass takes every item once in a
 * random order, so that an item waits for two passes at most.
 */
#ifndef BD_ROTATION_H
#define BD_ROTATION_H

#include "basildock.h"

struct bd_rotation
{
  void **items;
  size_t count;
  size_t capacity;
  size_t position; /**< Items before this index were taken in this pass. */
  uint64_t random; /**< State of the random generator. */
};

/** Allocates space for CAPACITY items.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_rotation_init (struct bd_rotation *rotation, size_t capacity,
                      uint64_t seed);
void bd_rotation_clear (struct bd_rotation *rotation);

/** Inserts ITEM at a random place in the rest of this pass; the rotation must
 * not be full. */
void bd_rotation_add (struct bd_rotation *rotation, void *item);

/** Removes ITEM, which must be in the rotation. */
void bd_rotation_remove (struct bd_rotation *rotation, const void *item);

/** Returns the next item, or NULL when the rotation is empty. */
void *bd_rotation_next (struct bd_rotation *rotation);

/** Mixes the bits of X (the output function of splitmix64). */
uint64_t bd_rotation_mix (uint64_t x);

#endif
