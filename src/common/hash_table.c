#include "common/hash_table.h"

#include "basildock.h"
#include "common/random.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_BUCKETS 16

static size_t
bucket_of (const struct bd_hash_table *table, uint64_t hash)
{
  return (size_t)bd_random_mix (hash) & (table->bucket_count - 1);
}

static int
resize (struct bd_hash_table *table, size_t bucket_count)
{
  struct bd_hash_table grown = { 0 };

  if (bucket_count == 0)
    return BD_ERR_NOMEM;
  grown.buckets = (struct bd_hash_table_node **)calloc (
      bucket_count, sizeof (struct bd_hash_table_node *));
  if (!grown.buckets)
    return BD_ERR_NOMEM;
  grown.bucket_count = bucket_count;
  grown.count = table->count;
  for (size_t i = 0; i < table->bucket_count; i++)
    while (table->buckets[i])
      {
        struct bd_hash_table_node *node = table->buckets[i];
        size_t to = bucket_of (&grown, node->hash);

        table->buckets[i] = node->next;
        node->next = grown.buckets[to];
        grown.buckets[to] = node;
      }
  free ((void *)table->buckets);
  *table = grown;
  return BD_OK;
}

void
bd_hash_table_clear (struct bd_hash_table *table)
{
  free ((void *)table->buckets);
  memset (table, 0, sizeof *table);
}

int
bd_hash_table_insert (struct bd_hash_table *table,
                      struct bd_hash_table_node *node, uint64_t hash)
{
  size_t at;

  if (table->bucket_count == 0 && resize (table, INITIAL_BUCKETS) != BD_OK)
    return BD_ERR_NOMEM;
  /* When memory is short the table stays as it is: it only gets slower. */
  if (table->count >= table->bucket_count)
    (void)resize (table, table->bucket_count * 2);
  at = bucket_of (table, hash);
  node->hash = hash;
  node->next = table->buckets[at];
  table->buckets[at] = node;
  table->count++;
  return BD_OK;
}

void
bd_hash_table_remove (struct bd_hash_table *table,
                      struct bd_hash_table_node *node)
{
  struct bd_hash_table_node **link
      = &table->buckets[bucket_of (table, node->hash)];

  while (*link != node)
    link = &(*link)->next;
  *link = node->next;
  node->next = NULL;
  table->count--;
}

static struct bd_hash_table_node *
next_with_hash (struct bd_hash_table_node *node, uint64_t hash)
{
  while (node && node->hash != hash)
    node = node->next;
  return node;
}

struct bd_hash_table_node *
bd_hash_table_first (const struct bd_hash_table *table, uint64_t hash)
{
  if (table->bucket_count == 0)
    return NULL;
  return next_with_hash (table->buckets[bucket_of (table, hash)], hash);
}

struct bd_hash_table_node *
bd_hash_table_next (const struct bd_hash_table_node *node)
{
  return next_with_hash (node->next, node->hash);
}
