/**
 * @file hash_table.h
 * An intrusive hash table: its nodes are embedded in the caller's records.
 *
 * The table owns only its buckets.  It may hold several nodes with the same
 * hash; the caller iterates over them and compares the keys.
 */
#ifndef BD_HASH_TABLE_H
#define BD_HASH_TABLE_H

#include <stddef.h>
#include <stdint.h>

/** The node; callers make it the first member of a record, so that both have
    the same address. */
struct bd_hash_table_node
{
  struct bd_hash_table_node *next;
  uint64_t hash;
};

/** A zero-initialized table is empty and valid. */
struct bd_hash_table
{
  struct bd_hash_table_node **buckets;
  size_t bucket_count; /**< Zero or a power of two. */
  size_t count;
};

/** Frees the buckets and empties the table; the nodes are not freed. */
void bd_hash_table_clear (struct bd_hash_table *table);

/** Adds NODE under HASH.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_hash_table_insert (struct bd_hash_table *table,
                          struct bd_hash_table_node *node, uint64_t hash);

/** Removes NODE, which must be in the table. */
void bd_hash_table_remove (struct bd_hash_table *table,
                           struct bd_hash_table_node *node);

/** Returns the first node with HASH, or NULL. */
struct bd_hash_table_node *
bd_hash_table_first (const struct bd_hash_table *table, uint64_t hash);

/** Returns the next node with the same hash as NODE, or NULL. */
struct bd_hash_table_node *
bd_hash_table_next (const struct bd_hash_table_node *node);

#endif
