/**
 * @file config_document.h
 * Parsed documents, shared by reference count between the configuration and
 * its snapshots.  Private to src/configuration/config*.c.
 */
#ifndef BD_CONFIG_DOCUMENT_H
#define BD_CONFIG_DOCUMENT_H

#include "configuration/manifest.h"

#include <stdatomic.h>

/** Size of a buffer for "contract/", a name and a NUL. */
#define BD_DOCUMENT_NAME_BYTES (BD_NAME_MAX_BYTES + 16)

enum bd_document_kind
{
  BD_DOCUMENT_MANIFEST = 0,
  BD_DOCUMENT_CONTRACT = 1,
  BD_DOCUMENT_POOL = 2,
  BD_DOCUMENT_KINDS = 3
};

/** A parsed document.  Immutable except for the reference count, which any
 * thread may change. */
struct bd_document
{
  atomic_uint references;
  enum bd_document_kind kind;
  uint64_t revision;
  uint64_t hash;
  struct bd_chunk text;
  union
  {
    struct bd_manifest *manifest;
    struct bd_contract *contract;
    struct bd_pool *pool;
  } content;
};

/**
 * Parses JSON, which must be the document of KIND called NAME.  Returns
 * BD_OK with one reference, BD_ERR_CONTRACT or BD_ERR_NOMEM.
 */
int bd_document_create (enum bd_document_kind kind, struct bd_chunk name,
                        struct bd_chunk json, char *reason, size_t reason_size,
                        struct bd_document **document);

/** Acquires a reference. */
struct bd_document *bd_document_acquire (struct bd_document *document);

/** Releases a reference; DOCUMENT may be NULL. */
void bd_document_release (struct bd_document *document);

/**
 * Creates a snapshot of DOCUMENTS: a manifest if there is one, contracts and
 * pools, each ordered by name.  Takes ownership of the references and of the
 * array, which was allocated by malloc (), also when it returns NULL.
 */
struct bd_config_snapshot *bd_snapshot_create (struct bd_document **documents,
                                               size_t count);

#endif
