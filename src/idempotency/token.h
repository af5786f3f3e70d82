/**
 * @file token.h
 * Text forms of idempotency keys: sealed (encrypted and authenticated) tokens
 * and handovers, and the classification of callers' own keys.
 */
#ifndef BD_TOKEN_H
#define BD_TOKEN_H

#include "common/string.h"
#include "idempotency/idempotency.h"

/** Prefixes of sealed texts. */
#define BD_TOKEN_PREFIX "bdk1_"
#define BD_HANDOVER_PREFIX "bdh1_"

/** Length of a sealing key, in bytes. */
#define BD_TOKEN_KEY_BYTES 32

/** Most sealing keys at a time: the newest, which seals, and older ones. */
#define BD_TOKEN_MAX_KEYS 3

/** Longest sealed text, in bytes. */
#define BD_TOKEN_TEXT_BYTES 512

/** Longest Idempotency-Key of a caller, in bytes. */
#define BD_TOKEN_HEADER_BYTES 255

/** Contents of an issued key. */
struct bd_token
{
  uint64_t workspace; /**< Hash of the workspace's name. */
  uint64_t class_id;  /**< Hash of the class's name. */
  char first_owner[BD_IDEMPOTENCY_NAME_BYTES + 1]; /**< First owner. */
  uint64_t incarnation; /**< First owner's incarnation. */
  int64_t created_wall_ms;
  int64_t expires_wall_ms;
  struct bd_id id;
};

/** Sealing keys: the first seals, all open. */
struct bd_token_keys
{
  unsigned char keys[BD_TOKEN_MAX_KEYS][BD_TOKEN_KEY_BYTES];
  size_t count;
};

/**
 * Appends TOKEN, sealed with KEY, to TEXT.  Returns BD_OK, BD_ERR_NOMEM or
 * BD_ERR_INVALID for a name that is empty or not terminated.
 */
int bd_token_seal (const unsigned char key[BD_TOKEN_KEY_BYTES],
                   const struct bd_token *token, struct bd_buffer *text);

/**
 * Opens TEXT with any of KEYS.  Returns BD_OK, or BD_ERR_KEY_INVALID if it was
 * forged, truncated or sealed with another key.  Does not check the expiry.
 */
int bd_token_open (const struct bd_token_keys *keys, struct bd_chunk text,
                   struct bd_token *token);

/**
 * Checks that an opened token is valid for a request of WORKSPACE and
 * CLASS_ID, which are hashes as in the token.  Returns BD_OK,
 * BD_ERR_KEY_INVALID for another workspace or class, or BD_ERR_KEY_EXPIRED.
 */
int bd_token_check (const struct bd_token *token, uint64_t workspace,
                    uint64_t class_id, int64_t wall_ms);

/** As bd_token_seal (), for a handover. */
int bd_token_seal_handover (const unsigned char key[BD_TOKEN_KEY_BYTES],
                            const struct bd_handover *handover,
                            struct bd_buffer *text);

/** As bd_token_open (), for a handover. */
int bd_token_open_handover (const struct bd_token_keys *keys,
                            struct bd_chunk text,
                            struct bd_handover *handover);

/**
 * Classifies an Idempotency-Key: an issued key by its prefix, a time-ordered
 * one by the form of a UUIDv7, whose time is stored in WALL_MS (otherwise 0).
 * Returns an enum bd_key_origin, or BD_ERR_KEY_INVALID for text that is not 1
 * to 255 visible ASCII characters (up to BD_TOKEN_TEXT_BYTES for an issued
 * key).
 */
int bd_key_classify (struct bd_chunk text, int64_t *wall_ms);

/** Returns the key with the text TEXT in WORKSPACE. */
struct bd_key bd_key_make (struct bd_chunk workspace, struct bd_chunk text);

#endif
