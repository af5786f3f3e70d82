/**
 * @file list.h
 * An intrusive, circular, doubly linked list: its nodes are embedded in the
 * caller's records.  The list is a pointer to its first node, NULL when empty.
 */
#ifndef BD_LIST_H
#define BD_LIST_H

#include <stddef.h>

struct bd_list_node
{
  struct bd_list_node *next;
  struct bd_list_node *prev;
};

/** Returns the record of TYPE whose MEMBER is *NODE. */
#define BD_CONTAINER_OF(node, type, member)                                   \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

/** Appends NODE by inserting it before *HEAD in the circular list. */
static inline void
bd_list_append (struct bd_list_node **head, struct bd_list_node *node)
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
bd_list_remove (struct bd_list_node **head, struct bd_list_node *node)
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
