#include "common/heap.h"

#include "basildock.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

static bool
precedes (const struct bd_heap_node *a, const struct bd_heap_node *b)
{
  if (a->key != b->key)
    return a->key < b->key;
  return a->order < b->order;
}

static void
set_position (struct bd_heap *heap, struct bd_heap_node *node, size_t position)
{
  heap->nodes[position] = node;
  node->position = position;
}

static void
sift_up (struct bd_heap *heap, struct bd_heap_node *node)
{
  size_t at = node->position;

  while (at > 0 && precedes (node, heap->nodes[(at - 1) / 2]))
    {
      set_position (heap, heap->nodes[(at - 1) / 2], at);
      at = (at - 1) / 2;
    }
  set_position (heap, node, at);
}

static void
sift_down (struct bd_heap *heap, struct bd_heap_node *node)
{
  size_t at = node->position;

  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && precedes (heap->nodes[child + 1], heap->nodes[child]))
        child++;
      if (!precedes (heap->nodes[child], node))
        break;
      set_position (heap, heap->nodes[child], at);
      at = child;
    }
  set_position (heap, node, at);
}

void
bd_heap_clear (struct bd_heap *heap)
{
  free ((void *)heap->nodes);
  memset (heap, 0, sizeof *heap);
}

int
bd_heap_add (struct bd_heap *heap, struct bd_heap_node *node)
{
  if (heap->count == heap->capacity)
    {
      size_t capacity
          = heap->capacity > 0 ? heap->capacity * 2 : INITIAL_CAPACITY;
      void *nodes = realloc ((void *)heap->nodes,
                             capacity * sizeof (struct bd_heap_node *));

      if (!nodes)
        return BD_ERR_NOMEM;
      heap->nodes = (struct bd_heap_node **)nodes;
      heap->capacity = capacity;
    }
  set_position (heap, node, heap->count++);
  sift_up (heap, node);
  return BD_OK;
}

void
bd_heap_remove (struct bd_heap *heap, struct bd_heap_node *node)
{
  struct bd_heap_node *last = heap->nodes[--heap->count];

  if (last == node)
    return;
  set_position (heap, last, node->position);
  sift_up (heap, last);
  sift_down (heap, last);
}

void
bd_heap_change (struct bd_heap *heap, struct bd_heap_node *node, int64_t key)
{
  node->key = key;
  sift_up (heap, node);
  sift_down (heap, node);
}

struct bd_heap_node *
bd_heap_first (const struct bd_heap *heap)
{
  return heap->count > 0 ? heap->nodes[0] : NULL;
}
