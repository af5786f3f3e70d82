/**
 * @file intake.h
 * Decides which connection is cut while callers' unfinished requests hold more
 * memory, or callers more connections, than the machine has for them.
 */
#ifndef BD_INTAKE_H
#define BD_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A connection. */
struct bd_intake_entry
{
  struct bd_intake_entry *next;
  struct bd_intake_entry *previous;
  size_t bytes;      /**< Capacity of the buffers of what is unfinished. */
  int64_t active_ms; /**< When its caller sent last. */
  bool answering;    /**< A complete request of it has no whole answer yet. */
};

struct bd_intake
{
  struct bd_intake_entry *first;
  size_t bytes;
  size_t count;
  size_t bytes_max; /**< 0: no limit. */
  size_t count_max; /**< Connections; 0: no limit. */
};

void bd_intake_add (struct bd_intake *intake, struct bd_intake_entry *entry);
void bd_intake_remove (struct bd_intake *intake,
                       struct bd_intake_entry *entry);
void bd_intake_set_bytes (struct bd_intake *intake,
                          struct bd_intake_entry *entry, size_t bytes);

/**
 * Returns the entry to cut, or NULL within the limits.  Over the bytes: the
 * largest, in steps of two, and of these the one that was silent the longest,
 * so that a small request is not cut for large ones.  Over the connections:
 * the one without a complete request that was silent the longest.
 */
struct bd_intake_entry *bd_intake_victim (const struct bd_intake *intake);

#endif
