/**
 * @file heap.h
 * A binary heap of nodes embedded in the caller's records, lowest key first.
 */
#ifndef BD_HEAP_H
#define BD_HEAP_H

#include <stddef.h>
#include <stdint.h>

/** Nodes with equal keys leave in the sequence of their ORDER. */
struct bd_heap_node
{
  int64_t key;
  uint64_t order;
  size_t position; /**< Private. */
};

/** Zero is a valid start. */
struct bd_heap
{
  struct bd_heap_node **nodes;
  size_t count;
  size_t capacity;
};

/** Frees the array; the nodes are the caller's. */
void bd_heap_clear (struct bd_heap *heap);

/** Adds NODE, its key and order set.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_heap_add (struct bd_heap *heap, struct bd_heap_node *node);

/** Removes NODE, which must be in the heap. */
void bd_heap_remove (struct bd_heap *heap, struct bd_heap_node *node);

/** Changes the key of NODE, which must be in the heap. */
void bd_heap_change (struct bd_heap *heap, struct bd_heap_node *node,
                     int64_t key);

/** The node with the lowest key, or NULL. */
struct bd_heap_node *bd_heap_first (const struct bd_heap *heap);

#endif
