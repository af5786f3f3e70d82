/**
 * @file ring.h
 * A circular doubly linked list of nodes embedded in the caller's records.
 * The owner points to the head; NULL is the empty list.
 */
#ifndef BD_RING_H
#define BD_RING_H

#include <stddef.h>

struct bd_ring
{
  struct bd_ring *next;
  struct bd_ring *prev;
};

/** The record of TYPE that holds NODE as MEMBER. */
#define BD_RECORD(node, type, member)                                         \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

/** Puts NODE before *HEAD, that is at the end. */
static inline void
bd_ring_append (struct bd_ring **head, struct bd_ring *node)
{
  if (!*head)
    {
      node->next = node;
      node->prev = node;
      *head = node;
      return;
    }
  node->next = *head;
  node->prev = (*head)->prev;
  node->prev->next = node;
  (*head)->prev = node;
}

/** Removes NODE, which must be in the list. */
static inline void
bd_ring_remove (struct bd_ring **head, struct bd_ring *node)
{
  if (node->next == node)
    {
      *head = NULL;
      return;
    }
  node->prev->next = node->next;
  node->next->prev = node->prev;
  if (*head == node)
    *head = node->next;
}

#endif
