/**
 * @file manifest.h
 * Parsers of the manifest and of pool documents.
 */
#ifndef BD_MANIFEST_H
#define BD_MANIFEST_H

#include "configuration/config.h"

#define BD_CONTRACTS_MAX 4096
#define BD_POOLS_MAX 256
#define BD_ENTRIES_MAX 4096
#define BD_RUNNERS_MAX 16384

/** A document that the manifest lists. */
struct bd_manifest_item
{
  struct bd_chunk name;
  uint64_t revision;
};

/** Lists are ordered by name or instance, without duplicates. */
struct bd_manifest
{
  uint64_t revision;
  size_t contract_count;
  struct bd_manifest_item *contracts;
  size_t pool_count;
  struct bd_manifest_item *pools;
  size_t entry_count;
  struct bd_instance_record *entries;
  char *name_storage; /**< Private: memory that the names point into. */
};

/** Parses a manifest document.  Returns BD_OK, BD_ERR_CONTRACT with REASON
    set, or BD_ERR_NOMEM. */
int bd_manifest_parse (struct bd_chunk json, struct bd_manifest **manifest,
                       char *reason, size_t reason_size);
void bd_manifest_destroy (struct bd_manifest *manifest);

/** Parses a pool document.  Returns BD_OK, BD_ERR_CONTRACT with REASON set, or
    BD_ERR_NOMEM. */
int bd_pool_parse (struct bd_chunk json, struct bd_pool **pool, char *reason,
                   size_t reason_size);
void bd_pool_destroy (struct bd_pool *pool);

#endif
