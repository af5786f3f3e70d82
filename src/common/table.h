/**
 * @file table.h
 * A hash table of nodes embedded in the caller's records.
 *
 * The table owns its buckets only.  Nodes with equal hashes may coexist: the
 * caller compares keys while it walks them.
 */
#ifndef BD_TABLE_H
#define BD_TABLE_H

#include <stddef.h>
#include <stdint.h>

/** First member of a record, so that a node's address is the record's. */
struct bd_table_node
{
  struct bd_table_node *next;
  uint64_t hash;
};

/** Zero is a valid start. */
struct bd_table
{
  struct bd_table_node **buckets;
  size_t bucket_count; /**< Zero or a power of two. */
  size_t count;
};

/** Frees the buckets; the nodes are the caller's. */
void bd_table_clear (struct bd_table *table);

/** Adds NODE under HASH.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_table_insert (struct bd_table *table, struct bd_table_node *node,
                     uint64_t hash);

/** Removes NODE, which must be in the table. */
void bd_table_remove (struct bd_table *table, struct bd_table_node *node);

/** First node with HASH, or NULL. */
struct bd_table_node *bd_table_first (const struct bd_table *table,
                                      uint64_t hash);

/** Next node with the same hash as NODE, or NULL. */
struct bd_table_node *bd_table_next (const struct bd_table_node *node);

#endif
