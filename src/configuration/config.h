/**
 * @file config.h
 * The active configuration: a manifest, contracts and pools of runners.
 *
 * Documents carry a revision.  A document replaces the active one only when
 * its revision is higher, or equal with a higher content hash, so that all
 * daemons converge on the same content whatever the order of arrival.  A
 * document stays active only while the active manifest lists it; a manifest
 * that no longer lists it deletes it.  A document that is listed again later
 * must have a higher revision than before.  If that revision is rejected,
 * daemons that saw the deletion have no document and the others keep the
 * previous one until a valid revision arrives.  Not thread-safe: the control
 * thread owns the configuration and publishes immutable snapshots.
 */
#ifndef BD_CONFIG_H
#define BD_CONFIG_H

#include "configuration/contract.h"

/** Kind of the backend servers in a pool. */
enum bd_pool_kind
{
  BD_POOL_MODEL = 0,  /**< Model engines. */
  BD_POOL_SERVICE = 1 /**< Plain HTTP services. */
};

/** An instance in a published document: a runner of a pool or an entry. */
struct bd_instance_record
{
  struct bd_chunk instance;
  struct bd_chunk address; /**< "IP:PORT"; for a runner, its sidecar's. */
  struct bd_chunk zone;
  bool checks_fencing;
};

/** One model or service and its runners, ordered by instance. */
struct bd_pool
{
  struct bd_chunk name;
  uint64_t revision;
  enum bd_pool_kind kind;
  size_t runner_count;
  struct bd_instance_record *runners;
};

/** An immutable snapshot of the configuration; valid until released. */
struct bd_config_snapshot
{
  uint64_t manifest_revision;
  size_t contract_count;
  const struct bd_contract **contracts; /**< Ordered by workspace. */
  size_t pool_count;
  const struct bd_pool **pools; /**< Ordered by name. */
  size_t entry_count;
  const struct bd_instance_record *entries; /**< Ordered by instance. */
};

/** After this many rejections a document is no longer requested. */
#define BD_CONFIG_REJECTIONS_MAX 3

struct bd_config;

struct bd_config *bd_config_create (void);
void bd_config_destroy (struct bd_config *config);

/**
 * Submits a document.  NAME is "manifest", "contract/WORKSPACE" or
 * "pool/NAME".  Returns BD_OK when the document is now active, BD_ERR_STALE
 * when the active one is at least as new, BD_ERR_CONTRACT when the document
 * is rejected (REASON names workspace, field and reason; the previous one
 * stays active), BD_ERR_NOT_FOUND when the active manifest does not list
 * NAME, or BD_ERR_NOMEM.
 */
int bd_config_submit (struct bd_config *config, struct bd_chunk name,
                      struct bd_chunk json, char *reason, size_t reason_size);

/** Revision of the active manifest; 0 without one. */
uint64_t bd_config_revision (const struct bd_config *config);

/** Digest over the active documents, compared between peers. */
uint64_t bd_config_digest (const struct bd_config *config);

/**
 * Calls VISIT for each document that the manifest lists with a higher
 * revision than the active one.  A document that was rejected
 * BD_CONFIG_REJECTIONS_MAX times is left out until a newer manifest arrives,
 * so that an invalid document does not use up the call budget of the
 * configuration service.
 */
void bd_config_visit_outdated (const struct bd_config *config,
                               void (*visit) (void *context,
                                              struct bd_chunk name),
                               void *context);

/**
 * Calls VISIT for the active manifest and each active document.  Used when a
 * peer has the same manifest revision and another digest.
 */
void bd_config_visit_active (const struct bd_config *config,
                             void (*visit) (void *context,
                                            struct bd_chunk name,
                                            uint64_t revision, uint64_t hash),
                             void *context);

/**
 * True when a document called NAME with this revision and content hash
 * (bd_chunk_hash () of the text) would become active.
 */
bool bd_config_would_accept (const struct bd_config *config,
                             struct bd_chunk name, uint64_t revision,
                             uint64_t hash);

/** Raw text of an active document; empty when there is none. */
struct bd_chunk bd_config_document (const struct bd_config *config,
                                    struct bd_chunk name);

/**
 * Takes a snapshot; any thread may release it with
 * bd_config_snapshot_release ().  It stays valid when documents are replaced
 * and when CONFIG is destroyed.
 */
struct bd_config_snapshot *bd_config_snapshot (const struct bd_config *config);
void bd_config_snapshot_release (struct bd_config_snapshot *snapshot);

/** Returns the contract of WORKSPACE, or NULL. */
const struct bd_contract *
bd_config_find_contract (const struct bd_config_snapshot *snapshot,
                         struct bd_chunk workspace);

/**
 * Returns the contract that contains the hash of SECRET (a bearer
 * credential), or NULL.  A credential that two contracts contain matches
 * neither of them, so that no request is billed to the wrong workspace.
 */
const struct bd_contract *
bd_config_find_credential (const struct bd_config_snapshot *snapshot,
                           struct bd_chunk secret);

/** Returns the pool called NAME, or NULL. */
const struct bd_pool *
bd_config_find_pool (const struct bd_config_snapshot *snapshot,
                     struct bd_chunk name);

#endif
