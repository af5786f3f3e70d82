/**
 * @file contract.h
 * The contract of a workspace: request classes, limits and credentials.
 * Immutable.
 */
#ifndef BD_CONTRACT_H
#define BD_CONTRACT_H

#include "basildock.h"

#define BD_TIER_COUNT 4
#define BD_CLASSES_MAX 32
#define BD_CREDENTIALS_MAX 16
#define BD_NAME_MAX_BYTES 63
/** Length of a SHA-256 credential hash in lower-case hex. */
#define BD_CREDENTIAL_HEX_LENGTH 64

/** A class of requests.  Tier 0 has the highest priority. */
struct bd_class
{
  struct bd_chunk name;
  uint8_t tier;
  int32_t first_token_ms;     /**< Target time to the first token. */
  int32_t token_gap_ms;       /**< Target time between tokens. */
  int32_t deadline_ms;        /**< From arrival to the end of the answer. */
  bool idempotent;            /**< False: runs at most once, needs a key. */
  struct bd_chunk pool;       /**< Empty: the pool that the request names. */
  int32_t min_share_permille; /**< Guaranteed share of a runner's grants while
                                 the class has requests waiting. */
  int32_t max_output_tokens;
};

/** Rate and concurrency limits of a workspace. */
struct bd_limits
{
  int32_t requests_per_s;
  int32_t tokens_per_s;
  int32_t concurrency;
};

/** Created by bd_contract_parse () and read-only afterwards. */
struct bd_contract
{
  struct bd_chunk workspace;
  uint64_t revision;
  size_t class_count;
  struct bd_class classes[BD_CLASSES_MAX];
  size_t default_class; /**< Index into CLASSES. */
  size_t credential_count;
  char credentials[BD_CREDENTIALS_MAX][BD_CREDENTIAL_HEX_LENGTH + 1];
  struct bd_limits limits;
  int32_t retry_window_s; /**< How long idempotency records are kept. */
  void *name_storage;     /**< Private: memory that the names point into. */
};

/**
 * Parses and validates a contract document (JSON).  On BD_ERR_CONTRACT,
 * REASON holds one line with the workspace, the field and the reason.
 * Returns BD_OK, BD_ERR_CONTRACT or BD_ERR_NOMEM.
 */
int bd_contract_parse (struct bd_chunk json, struct bd_contract **contract,
                       char *reason, size_t reason_size);

void bd_contract_destroy (struct bd_contract *contract);

/** Returns the class called NAME, the default class when NAME is empty, or
 * NULL. */
const struct bd_class *
bd_contract_find_class (const struct bd_contract *contract,
                        struct bd_chunk name);

#endif
