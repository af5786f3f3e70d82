#include "idempotency/token.h"

#include "wire/pack.h"

#include <sodium.h>
#include <string.h>

#define PLAIN_BYTES 256
#define SEALED_BYTES                                                          \
  (crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES + PLAIN_BYTES)
#define BASE64 sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define TOKEN_FIELDS 7
#define HAND_OVER_FIELDS 7
#define UUID_LENGTH 36
#define UUID_VERSION_INDEX 14
#define UUID_VARIANT_INDEX 19
#define UUID_TIME_DIGITS 12

static bool
name_valid (const char *name)
{
  size_t n = strnlen (name, BD_IDEMPOTENCY_NAME_BYTES + 1);

  return n > 0 && n <= BD_IDEMPOTENCY_NAME_BYTES;
}

static int
seal (const unsigned char *key, struct bd_chunk prefix, struct bd_chunk plain,
      struct bd_buffer *text)
{
  unsigned char sealed[SEALED_BYTES];
  char encoded[BD_TOKEN_TEXT_BYTES];
  size_t length
      = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES + plain.length;
  int rc;

  randombytes_buf (sealed, crypto_secretbox_NONCEBYTES);
  if (crypto_secretbox_easy (sealed + crypto_secretbox_NONCEBYTES,
                             (const unsigned char *)plain.data, plain.length,
                             sealed, key)
      != 0)
    return BD_ERR_INTERNAL;
  sodium_bin2base64 (encoded, sizeof encoded, sealed, length, BASE64);
  rc = bd_buffer_append (text, prefix);
  if (rc != BD_OK)
    return rc;
  return bd_buffer_append (text, bd_chunk_of (encoded));
}

static bool
text_visible (struct bd_chunk text)
{
  for (size_t i = 0; i < text.length; i++)
    if (text.data[i] < '!' || text.data[i] > '~')
      return false;
  return true;
}

/*
 * Returns the length of the plain text, or BD_ERR_KEY_INVALID.  libsodium
 * 1.0.18 decodes bytes above 127 as '_'.  They are refused before, so that no
 * two texts open to the same token.
 */
static int
unseal (const struct bd_token_keys *keys, struct bd_chunk prefix,
        struct bd_chunk text, unsigned char plain[PLAIN_BYTES])
{
  unsigned char sealed[SEALED_BYTES];
  const unsigned char *box = sealed + crypto_secretbox_NONCEBYTES;
  size_t length;

  if (text.length <= prefix.length || text.length > BD_TOKEN_TEXT_BYTES
      || memcmp (text.data, prefix.data, prefix.length) != 0
      || !text_visible (text))
    return BD_ERR_KEY_INVALID;
  if (sodium_base642bin (sealed, sizeof sealed, text.data + prefix.length,
                         text.length - prefix.length, NULL, &length, NULL,
                         BASE64)
      != 0)
    return BD_ERR_KEY_INVALID;
  if (length < crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES)
    return BD_ERR_KEY_INVALID;
  length -= crypto_secretbox_NONCEBYTES;
  for (size_t i = 0; i < keys->count && i < BD_TOKEN_MAX_KEYS; i++)
    if (crypto_secretbox_open_easy (plain, box, length, sealed, keys->keys[i])
        == 0)
      return (int)(length - crypto_secretbox_MACBYTES);
  return BD_ERR_KEY_INVALID;
}

static int
seal_packed (const struct bd_pack *pack, const unsigned char *key,
             struct bd_chunk prefix, struct bd_buffer *text)
{
  int rc = pack->error;

  if (rc == BD_OK)
    rc = seal (key, prefix, bd_buffer_chunk (pack->buffer), text);
  bd_buffer_clear (pack->buffer);
  return rc;
}

int
bd_token_seal (const unsigned char key[BD_TOKEN_KEY_BYTES],
               const struct bd_token *token, struct bd_buffer *text)
{
  struct bd_buffer plain = { 0 };
  struct bd_pack p = { .buffer = &plain };

  if (!name_valid (token->first_owner))
    return BD_ERR_INVALID;
  bd_pack_array (&p, TOKEN_FIELDS);
  bd_pack_uint (&p, token->workspace);
  bd_pack_uint (&p, token->class_id);
  bd_pack_bin (&p, bd_chunk_of (token->first_owner));
  bd_pack_uint (&p, token->incarnation);
  bd_pack_int (&p, token->created_wall_ms);
  bd_pack_int (&p, token->expires_wall_ms);
  bd_pack_id (&p, token->id);
  return seal_packed (&p, key, BD_CHUNK (BD_TOKEN_PREFIX), text);
}

static void
unpack_name (struct bd_unpack *unpack,
             char name[BD_IDEMPOTENCY_NAME_BYTES + 1])
{
  struct bd_chunk c = bd_unpack_bin (unpack);

  if (c.length == 0 || c.length > BD_IDEMPOTENCY_NAME_BYTES)
    {
      unpack->error = BD_ERR_PROTOCOL;
      return;
    }
  memcpy (name, c.data, c.length);
  name[c.length] = '\0';
}

static bool
unpack_done (const struct bd_unpack *unpack)
{
  return unpack->error == BD_OK && unpack->rest.length == 0;
}

int
bd_token_open (const struct bd_token_keys *keys, struct bd_chunk text,
               struct bd_token *token)
{
  unsigned char plain[PLAIN_BYTES];
  int length = unseal (keys, BD_CHUNK (BD_TOKEN_PREFIX), text, plain);
  struct bd_unpack u = { .rest = { (const char *)plain, 0 } };

  memset (token, 0, sizeof *token);
  if (length < 0)
    return length;
  u.rest.length = (size_t)length;
  if (bd_unpack_array (&u) != TOKEN_FIELDS)
    return BD_ERR_KEY_INVALID;
  token->workspace = bd_unpack_uint (&u);
  token->class_id = bd_unpack_uint (&u);
  unpack_name (&u, token->first_owner);
  token->incarnation = bd_unpack_uint (&u);
  token->created_wall_ms = bd_unpack_int (&u);
  token->expires_wall_ms = bd_unpack_int (&u);
  token->id = bd_unpack_id (&u);
  return unpack_done (&u) ? BD_OK : BD_ERR_KEY_INVALID;
}

int
bd_token_check (const struct bd_token *token, uint64_t workspace,
                uint64_t class_id, int64_t wall_ms)
{
  if (token->workspace != workspace || token->class_id != class_id)
    return BD_ERR_KEY_INVALID;
  return token->expires_wall_ms > wall_ms ? BD_OK : BD_ERR_KEY_EXPIRED;
}

int
bd_token_seal_handover (const unsigned char key[BD_TOKEN_KEY_BYTES],
                        const struct bd_handover *handover,
                        struct bd_buffer *text)
{
  struct bd_buffer plain = { 0 };
  struct bd_pack p = { .buffer = &plain };

  if (!name_valid (handover->successor))
    return BD_ERR_INVALID;
  bd_pack_array (&p, HAND_OVER_FIELDS);
  bd_pack_id (&p, handover->key.id);
  bd_pack_uint (&p, handover->fingerprint);
  bd_pack_bin (&p, bd_chunk_of (handover->successor));
  bd_pack_uint (&p, handover->successor_incarnation);
  bd_pack_uint (&p, handover->from_incarnation);
  bd_pack_uint (&p, handover->hops);
  bd_pack_int (&p, handover->expires_wall_ms);
  return seal_packed (&p, key, BD_CHUNK (BD_HANDOVER_PREFIX), text);
}

int
bd_token_open_handover (const struct bd_token_keys *keys, struct bd_chunk text,
                        struct bd_handover *handover)
{
  unsigned char plain[PLAIN_BYTES];
  int length = unseal (keys, BD_CHUNK (BD_HANDOVER_PREFIX), text, plain);
  struct bd_unpack u = { .rest = { (const char *)plain, 0 } };

  memset (handover, 0, sizeof *handover);
  if (length < 0)
    return length;
  u.rest.length = (size_t)length;
  if (bd_unpack_array (&u) != HAND_OVER_FIELDS)
    return BD_ERR_KEY_INVALID;
  handover->key.id = bd_unpack_id (&u);
  handover->fingerprint = bd_unpack_uint (&u);
  unpack_name (&u, handover->successor);
  handover->successor_incarnation = bd_unpack_uint (&u);
  handover->from_incarnation = bd_unpack_uint (&u);
  handover->hops = (uint32_t)bd_unpack_uint (&u);
  handover->expires_wall_ms = bd_unpack_int (&u);
  return unpack_done (&u) ? BD_OK : BD_ERR_KEY_INVALID;
}

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

/* Reads the time of a version 7 UUID; false for any other text. */
static bool
parse_uuid7 (struct bd_chunk text, int64_t *wall_ms)
{
  int64_t time = 0;
  int digits = 0;

  if (text.length != UUID_LENGTH)
    return false;
  for (size_t i = 0; i < UUID_LENGTH; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;
      int value = hex_value (text.data[i]);

      if (dash ? text.data[i] != '-' : value < 0)
        return false;
      if (!dash && digits++ < UUID_TIME_DIGITS)
        time = time << 4 | value;
    }
  if (text.data[UUID_VERSION_INDEX] != '7'
      || (hex_value (text.data[UUID_VARIANT_INDEX]) & 0xc) != 0x8)
    return false;
  *wall_ms = time;
  return true;
}

int
bd_key_classify (struct bd_chunk text, int64_t *wall_ms)
{
  struct bd_chunk prefix = BD_CHUNK (BD_TOKEN_PREFIX);
  bool issued = text.length > prefix.length
                && memcmp (text.data, prefix.data, prefix.length) == 0;
  size_t max_length = issued ? BD_TOKEN_TEXT_BYTES : BD_TOKEN_HEADER_BYTES;

  *wall_ms = 0;
  if (text.length == 0 || text.length > max_length)
    return BD_ERR_KEY_INVALID;
  if (!text_visible (text))
    return BD_ERR_KEY_INVALID;
  if (issued)
    return BD_KEY_ISSUED;
  return parse_uuid7 (text, wall_ms) ? BD_KEY_TIME_ORDERED : BD_KEY_OPAQUE;
}

struct bd_key
bd_key_make (struct bd_chunk workspace, struct bd_chunk text)
{
  crypto_generichash_state state;
  uint64_t length = workspace.length;
  unsigned char digest[sizeof (struct bd_id)];
  struct bd_key key;

  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  crypto_generichash_update (&state, (const unsigned char *)&length,
                             sizeof length);
  crypto_generichash_update (&state, (const unsigned char *)workspace.data,
                             workspace.length);
  crypto_generichash_update (&state, (const unsigned char *)text.data,
                             text.length);
  crypto_generichash_final (&state, digest, sizeof digest);
  memcpy (&key.id, digest, sizeof digest);
  return key;
}
