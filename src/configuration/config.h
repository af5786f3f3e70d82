/**
 * @file config.h
 * The configuration in force: a manifest, contracts and pools of runners.
 *
 * Documents carry a revision.  A document replaces the one in force only
 * when its revision is higher, or is equal with a higher content hash, so
 * that every daemon converges on the same content whatever the order of
 * arrival.  A document is kept only while the manifest in force names it.
 * The manifest deletes what it no longer names; what is named again later
 * must go on with a higher revision.  If that revision is refused, daemons
 * that saw the deletion have no document and the others keep the former one
 * until a good revision comes.  Not thread-safe: the control thread
 * owns it and publishes immutable snapshots.
 */
#ifndef BD_CONFIG_H
#define BD_CONFIG_H

#include "configuration/contract.h"

/** What stands behind a pool's runners. */
enum bd_pool_kind
{
  BD_POOL_MODEL = 0,  /**< Model engines. */
  BD_POOL_SERVICE = 1 /**< Plain HTTP services. */
};

/** A runner as published: the address is its sidecar's ("IP:PORT"). */
struct bd_roster_entry
{
  struct bd_chunk instance;
  struct bd_chunk address;
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
  struct bd_roster_entry *runners;
};

/** An immutable view; valid until released. */
struct bd_config_snapshot
{
  uint64_t manifest_revision;
  size_t contract_count;
  const struct bd_contract **contracts; /**< Ordered by workspace. */
  size_t pool_count;
  const struct bd_pool **pools; /**< Ordered by name. */
  size_t entry_count;
  const struct bd_roster_entry *entries; /**< Ordered by instance. */
};

/** How often one revision of a document is asked for in vain. */
#define BD_CONFIG_REJECTIONS_MAX 3

struct bd_config;

struct bd_config *bd_config_create (void);
void bd_config_destroy (struct bd_config *config);

/**
 * Offers a document.  NAME is "manifest", "contract/WORKSPACE" or
 * "pool/NAME".  Returns BD_OK when it is now in force, BD_ERR_STALE when one
 * at least as new is already, BD_ERR_CONTRACT when it is refused (REASON
 * names workspace, field and reason; the former stays in force),
 * BD_ERR_NOT_FOUND when the manifest in force does not name it, or
 * BD_ERR_NOMEM.
 */
int bd_config_offer (struct bd_config *config, struct bd_chunk name,
                     struct bd_chunk json, char *reason, size_t reason_size);

/** Revision of the manifest in force; 0 when none is. */
uint64_t bd_config_revision (const struct bd_config *config);

/** Digest over the documents in force, to compare peers with. */
uint64_t bd_config_digest (const struct bd_config *config);

/**
 * Calls VISIT for each document that the manifest names in a higher revision
 * than the one held.  One that was refused BD_CONFIG_REJECTIONS_MAX times is
 * left out until a newer manifest comes, so that a bad document does not use
 * up the service's call budget.
 */
void bd_config_missing (const struct bd_config *config,
                        void (*visit) (void *context, struct bd_chunk name),
                        void *context);

/**
 * Calls VISIT for the manifest and each document in force, to tell a peer
 * whose digest differs although its manifest has the same revision.
 */
void bd_config_visit_active (const struct bd_config *config,
                             void (*visit) (void *context,
                                            struct bd_chunk name,
                                            uint64_t revision, uint64_t hash),
                             void *context);

/**
 * True when a document called NAME with this revision and content hash
 * (bd_chunk_hash () of the text) would replace what is in force.
 */
bool bd_config_would_accept (const struct bd_config *config,
                             struct bd_chunk name, uint64_t revision,
                             uint64_t hash);

/** Raw text of a document in force; empty when there is none. */
struct bd_chunk bd_config_document (const struct bd_config *config,
                                    struct bd_chunk name);

/**
 * Takes a snapshot, to be released by bd_config_snapshot_release () from any
 * thread.  It outlives later offers and the config itself.
 */
struct bd_config_snapshot *bd_config_snapshot (const struct bd_config *config);
void bd_config_snapshot_release (struct bd_config_snapshot *snapshot);

const struct bd_contract *
bd_config_find_contract (const struct bd_config_snapshot *snapshot,
                         struct bd_chunk workspace);

/**
 * Finds the contract that holds the hash of SECRET (a bearer credential).
 * A credential that two contracts hold identifies neither of them: a request
 * must not be billed to the wrong workspace.
 */
const struct bd_contract *
bd_config_find_credential (const struct bd_config_snapshot *snapshot,
                           struct bd_chunk secret);

const struct bd_pool *
bd_config_find_pool (const struct bd_config_snapshot *snapshot,
                     struct bd_chunk name);

#endif
