/*
 * Fuzzes the opening and classification of idempotency keys from callers.  In
 * order to reach the parser behind the encryption, the input without its first
 * byte is also sealed with a valid key, as an issued key or as a handover; the
 * first byte selects which.
 */
#include "idempotency/token.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES 256
#define BASE64 sodium_base64_VARIANT_URLSAFE_NO_PADDING

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const struct bd_token_keys keys = { .count = 2 };

static void
open_as_token_and_handover (struct bd_chunk text)
{
  struct bd_token token;
  struct bd_handover handover;

  if (bd_token_open (&keys, text, &token) == BD_OK
      && strlen (token.first_owner) - 1 >= BD_IDEMPOTENCY_NAME_BYTES)
    abort ();
  if (bd_token_open_handover (&keys, text, &handover) == BD_OK
      && strlen (handover.successor) - 1 >= BD_IDEMPOTENCY_NAME_BYTES)
    abort ();
}

static void
classify (struct bd_chunk text)
{
  int64_t wall_ms = -1;
  int origin = bd_key_classify (text, &wall_ms);

  if (origin != BD_KEY_TIME_ORDERED && wall_ms != 0)
    abort ();
  if (wall_ms < 0 || wall_ms >= (int64_t)1 << 48)
    abort ();
  if (origin >= 0 && text.length > BD_TOKEN_TEXT_BYTES)
    abort ();
}

static void
open_sealed_body (const char *prefix, struct bd_chunk body)
{
  unsigned char sealed[crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES
                       + BODY_BYTES]
      = { 0 };
  char text[BD_TOKEN_TEXT_BYTES];
  size_t length = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;

  if (body.length > BODY_BYTES)
    return;
  length += body.length;
  crypto_secretbox_easy (sealed + crypto_secretbox_NONCEBYTES,
                         (const unsigned char *)body.data, body.length, sealed,
                         keys.keys[1]);
  memcpy (text, prefix, strlen (prefix));
  sodium_bin2base64 (text + strlen (prefix), sizeof text - strlen (prefix),
                     sealed, length, BASE64);
  open_as_token_and_handover (bd_chunk_of (text));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk text = { (const char *)data, size };

  open_as_token_and_handover (text);
  classify (text);
  if (size == 0)
    return 0;
  text.data++;
  text.length--;
  open_sealed_body (data[0] & 1 ? BD_TOKEN_PREFIX : BD_HANDOVER_PREFIX, text);
  return 0;
}
