/**
 * @file part_list.h
 * The parts that a prompt shares with others, by their hashes.  A prompt may
 * have as many as its head holds.
 */
#ifndef BD_PART_LIST_H
#define BD_PART_LIST_H

#include <stddef.h>
#include <stdint.h>

/** A list that owns its parts.  Empty when zero-initialized. */
struct bd_part_list
{
  size_t count;
  uint64_t *parts;
  size_t capacity;
};

/** Appends PART.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_part_list_add (struct bd_part_list *list, uint64_t part);

/** Sets TO, an empty list, to the parts of FROM.  Returns BD_OK or
    BD_ERR_NOMEM. */
int bd_part_list_copy (struct bd_part_list *to,
                       const struct bd_part_list *from);

void bd_part_list_clear (struct bd_part_list *list);

#endif
