/**
 * @file heap.h
 * An intrusive binary min-heap: its nodes are embedded in the caller's
 * records.
 */
#ifndef BD_HEAP_H
#define BD_HEAP_H

#include <stddef.h>
#include <stdint.h>

/** Nodes with equal keys are sorted by ascending ORDER. */
struct bd_heap_node
{
  int64_t key;
  uint64_t order;
  size_t position; /**< Private: index in the heap's array. */
};

/** A zero-initialized heap is empty and valid. */
struct bd_heap
{
  struct bd_heap_node **nodes;
  size_t count;
  size_t capacity;
};

/** Frees the heap's array and empties the heap; the nodes are not freed. */
void bd_heap_clear (struct bd_heap *heap);

/** Adds NODE, whose key and order are set.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_heap_add (struct bd_heap *heap, struct bd_heap_node *node);

/** Removes NODE, which must be in the heap. */
void bd_heap_remove (struct bd_heap *heap, struct bd_heap_node *node);

/** Changes the key of NODE, which must be in the heap. */
void bd_heap_change (struct bd_heap *heap, struct bd_heap_node *node,
                     int64_t key);

/** Returns the node with the lowest key, or NULL when the heap is empty. */
struct bd_heap_node *bd_heap_first (const struct bd_heap *heap);

#endif
